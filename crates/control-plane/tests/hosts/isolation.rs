//! A process that can't reach a majority of the core: it neither acknowledges nor rejects requests, and immediately asks
//! callers to retry at another process.

use std::time::Duration;

use crate::support::{eventually, Answer, Cluster, Machine};
use reqwest::StatusCode;

/// The timeout after which callers try another process.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

const FIRST: &str = r#"{"generation":1,"routes":[],"services":[]}"#;
const SECOND: &str = r#"{"generation":2,"routes":[],"services":[]}"#;

fn cluster_with_a_configuration() -> Cluster {
    let cluster = Cluster::start(&[Machine::Disk, Machine::Disk, Machine::Disk]);
    for at in 0..3 {
        cluster.wait_for_members(at, 3);
        cluster.wait_for_peers(at, 2);
    }
    assert_eq!(cluster.put_until_definite(0, "0", FIRST).status, StatusCode::OK);
    cluster
}

fn assert_unavailable(answer: Option<Answer>, code: &str) {
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(answer.field("code"), code, "{answer:?}");
    assert!(answer.retry_after.is_some(), "{answer:?}");
    assert!(answer.took < CALLER_TIMEOUT, "{answer:?}");
}

#[test]
fn a_drain_is_acknowledged_by_a_majority() {
    let cluster = cluster_with_a_configuration();
    assert_eq!(cluster.heartbeat(1, "i", "ready", 1).unwrap().status, StatusCode::OK);
    let drained = eventually("an acknowledged drain", || {
        cluster.heartbeat(1, "i", "draining", 2).filter(|answer| answer.status == StatusCode::OK)
    });
    assert_eq!(drained.body, "{}");
    assert_eq!(cluster.remove_backend(2, "i").unwrap().status, StatusCode::OK);
}

#[test]
fn no_heartbeat_is_acknowledged_right_after_the_other_members_died() {
    let mut cluster = cluster_with_a_configuration();
    assert_eq!(cluster.heartbeat(2, "i", "ready", 1).unwrap().status, StatusCode::OK);
    cluster.kill(0);
    cluster.kill(1);
    // For a while the killed peers still count as up and the members as reachable.
    assert_unavailable(cluster.heartbeat(2, "i", "draining", 2), "CTL-110");
    assert_unavailable(cluster.heartbeat(2, "i", "draining", 3), "CTL-110");
    assert_unavailable(cluster.remove_backend(2, "i"), "CTL-110");
    assert_unavailable(cluster.remove_backend(2, "i"), "CTL-110");
}

#[test]
fn isolated_process_neither_acknowledges_nor_rejects() {
    let mut cluster = cluster_with_a_configuration();
    cluster.kill(0);
    cluster.kill(1);
    eventually("a process that detects its isolation", || {
        cluster.heartbeat(2, "j", "ready", 1).filter(|answer| answer.status != StatusCode::OK)
    });
    assert_unavailable(cluster.heartbeat(2, "j", "ready", 2), "CTL-110");
    assert_unavailable(cluster.heartbeat(2, "j", "draining", 3), "CTL-110");
    assert_unavailable(cluster.remove_backend(2, "j"), "CTL-110");
    assert_unavailable(cluster.put(2, "1", SECOND), "CTL-101");
    assert_unavailable(cluster.put(2, "0", SECOND), "CTL-101");
    assert_unavailable(cluster.put(2, "1", FIRST), "CTL-101");
    assert_unavailable(cluster.get(2), "CTL-101");
    cluster.restart(0);
    let committed = cluster.put_until_definite(2, "1", SECOND);
    assert_eq!(committed.status, StatusCode::OK, "{committed:?}");
    eventually("an acknowledged sign-off", || {
        cluster.remove_backend(2, "j").filter(|answer| answer.status == StatusCode::OK)
    });
}

#[test]
fn status_shows_the_tolerable_losses() {
    let mut cluster = cluster_with_a_configuration();
    let status = cluster.status(1).unwrap();
    assert_eq!((status.field("bearable_losses"), status.field("tolerated_losses")), (1.into(), 1.into()));
    assert_eq!(status.field("warnings"), serde_json::json!([]));
    assert_eq!(status.field("violations")["CTL-311"], 0, "{}", status.body);
    cluster.kill(0);
    let status = eventually("a status without tolerable losses", || {
        cluster.status(1).filter(|status| status.field("bearable_losses") == 0)
    });
    assert_eq!(status.field("warnings"), serde_json::json!(["CTL-302"]));
}
