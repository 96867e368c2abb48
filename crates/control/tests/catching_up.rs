//! Catch-up of a member that was absent while hundreds of changes were made, including large ones, over slow
//! links and slow disks: how long it takes, how many bytes are sent, and that the member is neither head nor
//! fresh before it is done.

mod simulation;

use std::sync::Arc;
use std::time::Duration;

use crankpick_control::{Command, CommandId, Input, Outcome};
use simulation::schedule::Fault;
use simulation::{ms, run, ClusterConfig, DiskMode, Network, Simulation};

/// 10 Mbit/s.
const SLOW_LINK_BYTES_PER_MS: u64 = 1_250;
const LARGE_DOCUMENT_BYTES: usize = 500_000;

/// Runs a cluster until it has settled: three voters, the other machines are standbys.
fn settled(seed: u64, machines: usize) -> Simulation {
    let mut sim = ClusterConfig { machines, losses: 1 }.start_cluster(seed);
    run(&mut sim, 4000);
    sim
}

fn generation(sim: &Simulation, index: usize) -> u64 {
    let replica = sim.nodes[index].replica.as_ref();
    replica.and_then(|replica| replica.newest_committed()).map_or(0, |entry| entry.command.generation)
}

/// A command with a document of `size` bytes.
fn command(base: u64, size: usize) -> Arc<Command> {
    let mut bytes = vec![b' '; size];
    let text = format!("{}", base + 1);
    let length = text.len().min(size);
    bytes[..length].copy_from_slice(&text.as_bytes()[..length]);
    Arc::new(Command::new(base, base + 1, bytes))
}

/// Commits changes of `size` bytes one after another through a running machine, with a pause after each.
fn commit_changes(sim: &mut Simulation, index: usize, count: usize, size: usize, pause: u64) {
    for _ in 0..count {
        let newest = (0..sim.nodes.len()).map(|index| generation(sim, index)).max();
        submit_until_committed(sim, index, &command(newest.unwrap_or(0), size));
        run(sim, pause);
    }
}

fn submit_until_committed(sim: &mut Simulation, index: usize, command: &Arc<Command>) {
    let latest = sim.now + ms(20_000);
    while sim.now < latest {
        let key = CommandId(sim.heard.len() as u64 + 5_000_000);
        sim.input(index, Input::Submit { key, command: command.clone() });
        let answer = |sim: &Simulation| sim.heard.iter().rev().find(|(heard, _)| *heard == key).copied();
        while answer(sim).is_none() && sim.now < latest {
            run(sim, 2);
        }
        if answer(sim).is_some_and(|(_, outcome)| outcome == Outcome::Committed) {
            return;
        }
    }
    panic!("not committed: {}", sim.describe());
}

/// Whether a machine is fresh and has the complete state: the headers up to version `newest`, and that entry
/// in full.
fn has_caught_up(sim: &Simulation, index: usize, newest: u64) -> bool {
    let Some(replica) = &sim.nodes[index].replica else { return false };
    let held = replica.snapshot_records().into_iter().any(|record| match record.body {
        crankpick_control::RecordBody::Snapshot(snapshot) => {
            snapshot.headers.last().is_some_and(|change| change.generation >= newest)
                && snapshot.entries.last().is_some_and(|entry| entry.command.generation >= newest)
        }
        _ => false,
    });
    held && sim.is_fresh(index)
}

/// Starts a machine; returns how long it takes to catch up and how many bytes it receives. It must not become
/// head before.
fn time_to_catch_up(sim: &mut Simulation, index: usize, newest: u64) -> (Duration, u64) {
    let received = |sim: &Simulation| sim.links.get(&(index, true)).map_or(0, |link| link.bytes);
    let (begun, before) = (sim.now, received(sim));
    sim.start(index);
    let id = sim.nodes[index].replica.as_ref().expect("up").id();
    while !has_caught_up(sim, index, newest) {
        run(sim, 10);
        let fresh = sim.is_fresh(index) && generation(sim, index) >= newest;
        let heads = sim.newest_view().head() == Some(id);
        assert!(!heads || fresh, "is head with an outdated state: {}", sim.describe());
        assert!(sim.now < begun + ms(30_000), "never caught up: {}", sim.describe());
    }
    assert!(sim.checks.breaches.is_empty(), "{:#?}", sim.checks.breaches);
    (sim.now - begun, received(sim) - before)
}

/// Stops one of four machines, with or without losing its disk, while the others commit changes, then lets it
/// catch up.
fn catch_up_after_absence(
    seed: u64,
    changes: usize,
    size: usize,
    bytes_per_ms: u64,
    wiped: bool,
) -> (Duration, u64) {
    let mut sim = settled(seed, 4);
    commit_changes(&mut sim, 1, 3, size, 20);
    let index = [0, 3][seed as usize % 2];
    if wiped {
        sim.wipe(index);
    } else {
        sim.kill(index);
    }
    commit_changes(&mut sim, 1, changes, size, 0);
    run(&mut sim, 3000);
    sim.network = Network { bytes_per_ms, ..Network::RELIABLE };
    let newest = generation(&sim, 1);
    time_to_catch_up(&mut sim, index, newest)
}

#[test]
fn catch_up_time_is_nearly_independent_of_missed_changes() {
    for wiped in [false, true] {
        for changes in [10, 100, 1_000, 4_000, 6_000] {
            for seed in 0..2 {
                let (time, bytes) =
                    catch_up_after_absence(seed, changes, 2_000, SLOW_LINK_BYTES_PER_MS, wiped);
                println!("{changes} changes of 2 KB missed, wiped {wiped}: {time:?}, {bytes} bytes");
                assert!(time < ms(3_000), "{changes} changes: {time:?}");
                assert!(bytes < 1_200_000, "{changes} changes: {bytes} bytes");
            }
        }
    }
}

#[test]
fn catch_up_time_grows_only_with_the_newest_version_size() {
    for wiped in [false, true] {
        for size in [1_000, 50_000, LARGE_DOCUMENT_BYTES, 4_000_000] {
            for seed in 0..2 {
                let (time, bytes) = catch_up_after_absence(seed, 20, size, SLOW_LINK_BYTES_PER_MS, wiped);
                println!("20 changes of {size} bytes missed, wiped {wiped}: {time:?}, {bytes} bytes");
                let transfers = size as u64 / SLOW_LINK_BYTES_PER_MS;
                assert!(time < ms(2_500 + 4 * transfers), "{size} bytes: {time:?}");
                assert!(bytes < 600_000 + 4 * size as u64, "{size} bytes: {bytes} bytes sent");
            }
        }
    }
}

/// About sixteen changes a second continue while a wiped machine returns, so new changes repeatedly overtake
/// the transfer.
#[test]
fn a_transfer_overtaken_by_new_changes_completes() {
    for (size, bytes_per_ms, slowest) in
        [(2_000, SLOW_LINK_BYTES_PER_MS, 4_000), (LARGE_DOCUMENT_BYTES, 10 * SLOW_LINK_BYTES_PER_MS, 8_000)]
    {
        for seed in 0..4 {
            let mut sim = settled(seed, 4);
            sim.network = Network { bytes_per_ms, ..Network::RELIABLE };
            commit_changes(&mut sim, 1, 50, size, 0);
            let index = [0, 2, 3][seed as usize % 3];
            sim.wipe(index);
            commit_changes(&mut sim, 1, 20, size, 10);
            let begun = sim.now;
            sim.start(index);
            let mut caught_up = None;
            while caught_up.is_none() && sim.now < begun + ms(slowest) {
                let newest = generation(&sim, 1);
                commit_changes(&mut sim, 1, 1, size, 20);
                caught_up = has_caught_up(&sim, index, newest).then_some(sim.now - begun);
            }
            println!("{size} bytes, seed {seed}: {caught_up:?}");
            assert!(caught_up.is_some(), "{size} bytes, seed {seed}: {}", sim.describe());
            assert!(sim.checks.breaches.is_empty(), "{:#?}", sim.checks.breaches);
        }
    }
}

/// A voter that returns after missing hundreds of changes joins the chain only once it has caught up; then
/// the cluster tolerates the loss of another voter.
#[test]
fn a_caught_up_member_covers_the_next_loss() {
    for seed in 0..12 {
        let mut sim = settled(seed, 3);
        commit_changes(&mut sim, 1, 50, 2_000, 0);
        let index = [0, 2][seed as usize % 2];
        if seed % 3 == 0 {
            sim.wipe(index);
        } else {
            sim.kill(index);
        }
        commit_changes(&mut sim, 1, 300, 2_000, 0);
        sim.network = Network { bytes_per_ms: SLOW_LINK_BYTES_PER_MS, ..Network::RELIABLE };
        if seed % 2 == 0 {
            sim.set_disk(index, DiskMode::Slow(ms(60)));
        }
        sim.start(index);
        run(&mut sim, 4_000);
        sim.set_disk(index, DiskMode::Healthy);
        sim.kill(2 - index);
        let newest = generation(&sim, 1);
        let begun = sim.now;
        submit_until_committed(&mut sim, 1, &command(newest, 2_000));
        assert!(sim.now < begun + ms(4_000), "seed {seed}: {}", sim.describe());
        assert!(sim.checks.breaches.is_empty(), "{:#?}", sim.checks.breaches);
    }
}

/// Large changes over links of 10 Mbit/s must not cause lasting failure suspicions: each change commits.
#[test]
fn large_changes_over_slow_links_are_taken() {
    for seed in 0..3 {
        let mut sim = settled(seed, 4);
        sim.network = Network { bytes_per_ms: SLOW_LINK_BYTES_PER_MS, ..Network::RELIABLE };
        let mut slowest = Duration::ZERO;
        for _ in 0..20 {
            let begun = sim.now;
            commit_changes(&mut sim, 1, 1, LARGE_DOCUMENT_BYTES, 0);
            slowest = slowest.max(sim.now - begun);
        }
        println!("seed {seed}: 20 changes of {LARGE_DOCUMENT_BYTES} bytes, the slowest in {slowest:?}");
        assert!(slowest < ms(4_000), "{slowest:?}");
        run(&mut sim, 4_000);
        assert!((0..4).all(|index| generation(&sim, index) == 20), "{}", sim.describe());
        assert!(sim.checks.breaches.is_empty(), "{:#?}", sim.checks.breaches);
    }
}

/// All processes die after hundreds of changes. Whichever starts first, nothing older than the acknowledged
/// state is served.
#[test]
fn a_member_with_an_old_state_doesnt_lead_after_all_restart() {
    for seed in 0..12 {
        let mut sim = settled(seed, 3);
        commit_changes(&mut sim, 1, 30, 500, 0);
        let old = [0, 2][seed as usize % 2];
        sim.kill(old);
        commit_changes(&mut sim, 1, 300, 500, 0);
        let newest = generation(&sim, 1);
        sim.apply(Fault::KillAll);
        run(&mut sim, 200);
        sim.start(old);
        run(&mut sim, 50 * seed);
        assert!(!sim.is_fresh(old) || generation(&sim, old) >= newest);
        sim.apply(Fault::StartAll);
        run(&mut sim, 4_000);
        assert!((0..3).all(|index| sim.is_fresh(index) && generation(&sim, index) == newest));
        commit_changes(&mut sim, 1, 1, 500, 0);
        assert!(sim.checks.breaches.is_empty(), "{:#?}", sim.checks.breaches);
    }
}

/// A command older than the remembered history may have been committed, so its outcome is unknown instead of
/// a refusal.
#[test]
fn a_command_older_than_the_history_is_never_refused() {
    let mut sim = settled(1, 3);
    let ask = |sim: &mut Simulation, command: Arc<Command>| {
        let key = CommandId(sim.heard.len() as u64 + 9_000_000);
        sim.input(1, Input::Submit { key, command });
        run(sim, 300);
        sim.heard.iter().find(|(heard, _)| *heard == key).map(|(_, outcome)| *outcome)
    };
    commit_changes(&mut sim, 1, 4_500, 60, 0);
    assert_eq!(ask(&mut sim, command(10, 60)), Some(Outcome::Unknown), "committed long ago");
    assert_eq!(ask(&mut sim, command(4_000, 60)), Some(Outcome::Committed), "remembered");
    assert_eq!(ask(&mut sim, command(4_000, 61)), Some(Outcome::Conflict { current: 4_500 }), "a rival");
    assert!(sim.checks.breaches.is_empty(), "{:#?}", sim.checks.breaches);
}

/// A command submitted while a large state is transferred to a new member does not wait for the transfer.
#[test]
fn the_chain_doesnt_wait_for_a_newcomers_transfer() {
    for seed in 0..24 {
        let mut sim = settled(seed, 3);
        commit_changes(&mut sim, 1, 1, 2_000_000, 0);
        let index = [0, 2][seed as usize % 2];
        sim.wipe(index);
        run(&mut sim, 2_000);
        sim.network = Network { bytes_per_ms: SLOW_LINK_BYTES_PER_MS, ..Network::RELIABLE };
        sim.start(index);
        run(&mut sim, 100 + 100 * seed);
        let begun = sim.now;
        commit_changes(&mut sim, 1, 1, 100, 0);
        assert!(sim.now < begun + ms(600), "seed {seed}: {:?}", sim.now - begun);
    }
}
