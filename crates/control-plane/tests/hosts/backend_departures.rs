//! An acknowledged draining or sign-off of a backend survives what may be lost: all processes at once, and a disk beside
//! them. Afterwards a late heartbeat must not bring the backend back.

use crate::support::{eventually, Cluster, Machine};
use reqwest::StatusCode;

const MACHINES: [Machine; 3] = [Machine::Disk, Machine::Disk, Machine::Disk];

fn started() -> Cluster {
    let cluster = Cluster::start(&MACHINES);
    for at in 0..MACHINES.len() {
        cluster.wait_for_members(at, MACHINES.len());
        cluster.wait_for_peers(at, 2);
    }
    cluster
}

fn restart_all(cluster: &mut Cluster, wiped: Option<usize>) {
    for at in 0..MACHINES.len() {
        cluster.kill(at);
    }
    if let Some(at) = wiped {
        cluster.wipe_disk(at);
    }
    for at in 0..MACHINES.len() {
        cluster.restart(at);
    }
}

/// Sends a heartbeat until it is acknowledged.
fn heartbeat(cluster: &Cluster, at: usize, id: &str, state: &str, seq: u64) {
    eventually("an acknowledged heartbeat", || {
        let answer = cluster.heartbeat(at, id, state, seq)?;
        (answer.status == StatusCode::OK).then_some(())
    });
}

fn wait_until_settled(cluster: &Cluster) {
    for at in 0..MACHINES.len() {
        eventually("a settled registry", || {
            (cluster.status(at)?.field("backends_settled") == true).then_some(())
        });
    }
}

/// Checks that no process has gateways send to the backend, and that new backends are still taken.
fn check_not_revived(cluster: &Cluster, id: &str) {
    heartbeat(cluster, 1, "new", "ready", 1);
    wait_until_settled(cluster);
    for at in 0..MACHINES.len() {
        eventually("the new backend", || {
            cluster.receiving_backends(at).contains(&"new".to_owned()).then_some(())
        });
        assert!(!cluster.receiving_backends(at).contains(&id.to_owned()), "process {at}");
    }
}

#[test]
fn acknowledged_sign_off_survives_the_kill_of_all_processes() {
    let mut cluster = started();
    heartbeat(&cluster, 0, "leaving", "ready", 2);
    assert_eq!(cluster.remove_backend(1, "leaving").unwrap().status, StatusCode::OK);
    restart_all(&mut cluster, None);
    heartbeat(&cluster, 0, "leaving", "ready", 1);
    check_not_revived(&cluster, "leaving");
}

#[test]
fn acknowledged_draining_survives_the_kill_of_all_processes() {
    let mut cluster = started();
    heartbeat(&cluster, 0, "leaving", "ready", 2);
    assert_eq!(cluster.heartbeat(1, "leaving", "draining", 3).unwrap().status, StatusCode::OK);
    restart_all(&mut cluster, None);
    heartbeat(&cluster, 0, "leaving", "ready", 1);
    check_not_revived(&cluster, "leaving");
}

/// Each process in turn is the one whose disk is wiped, and gets the late heartbeat right after its start, before it can
/// have read what the others have kept.
#[test]
fn acknowledged_sign_off_survives_the_kill_of_all_processes_and_the_loss_of_a_disk() {
    for wiped in 0..MACHINES.len() {
        let mut cluster = started();
        heartbeat(&cluster, 0, "leaving", "ready", 2);
        assert_eq!(cluster.remove_backend(1, "leaving").unwrap().status, StatusCode::OK);
        restart_all(&mut cluster, Some(wiped));
        heartbeat(&cluster, wiped, "leaving", "ready", 1);
        check_not_revived(&cluster, "leaving");
    }
}

/// A process whose own disk refuses all writes acknowledges what a majority of the members has stored.
#[test]
fn sign_off_is_acknowledged_by_the_disks_that_are_well() {
    let cluster = Cluster::start(&[Machine::Disk, Machine::Disk, Machine::FailingDisk]);
    cluster.wait_for_members(0, 2);
    cluster.wait_for_members(2, 2);
    cluster.wait_for_peers(2, 2);
    heartbeat(&cluster, 0, "leaving", "ready", 2);
    eventually("an acknowledged sign-off", || {
        let answer = cluster.remove_backend(2, "leaving")?;
        (answer.status == StatusCode::OK).then_some(())
    });
}

/// The backends of the largest deployment.
const LARGEST_FLEET: usize = 3_300;
/// The most bytes that a departure may take on disk: its record, and its part of a rewrite.
const MAX_BYTES_PER_DEPARTURE: u64 = 160;

/// All backends of the largest deployment drain and sign off as fast as they are answered: the departures share syncs, and
/// the log stays small.
#[test]
fn departures_of_the_largest_fleet_share_syncs_and_stay_small_on_disk() {
    let cluster = started();
    let ids: Vec<String> = (0..LARGEST_FLEET).map(|number| format!("i-{number:08x}")).collect();
    let departures = cluster.depart_concurrently(0, &ids);
    let departed = departures.acknowledged;
    assert_eq!(departed, 2 * LARGEST_FLEET);
    for at in 0..MACHINES.len() {
        let log = cluster.departure_log(at);
        println!(
            "process {at}: {departed} departures in {:?}, {} bytes, {} writes in the last file",
            departures.took, log.bytes, log.writes
        );
        assert!(log.bytes <= MAX_BYTES_PER_DEPARTURE * LARGEST_FLEET as u64, "{log:?}");
        assert!(log.writes < departed as u64, "{log:?}");
    }
}
