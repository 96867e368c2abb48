//! Processes without a disk: outside the core they redirect callers to a member. If no candidate for membership has a
//! disk, the candidates form a core in memory.

use reqwest::{Method, StatusCode};

use crate::support::{eventually, Cluster, Machine};

const FIRST: &str = r#"{"generation":1,"routes":[],"services":[]}"#;

/// Waits until a process outside the core redirects callers to a member.
fn wait_for_redirect(cluster: &Cluster, at: usize) {
    eventually("a redirect", || {
        cluster.get(at).filter(|answer| answer.status == StatusCode::TEMPORARY_REDIRECT)
    });
}

#[test]
fn callers_are_redirected_to_a_member() {
    let cluster = Cluster::start(&[Machine::Disk, Machine::NonCandidate]);
    cluster.wait_for_members(0, 1);
    wait_for_redirect(&cluster, 1);
    let calls = [
        (Method::PUT, "/v1/config"),
        (Method::PATCH, "/v1/config"),
        (Method::PUT, "/v1/instances/i"),
        (Method::DELETE, "/v1/instances/i"),
    ];
    for (method, path) in calls {
        let answer = cluster.call(1, method, path, Some("0"), FIRST).unwrap();
        assert_eq!(answer.status, StatusCode::TEMPORARY_REDIRECT, "{answer:?}");
        assert_eq!(answer.location, Some(cluster.url(0, path)), "{answer:?}");
    }
    let status = cluster.status(1).unwrap();
    assert_eq!(status.field("members").as_array().map(Vec::len), Some(1), "{status:?}");
    assert_eq!(cluster.status(0).unwrap().field("members").as_array().map(Vec::len), Some(1));
    assert_eq!(cluster.status(0).unwrap().field("peers_up"), 0);
}

#[test]
fn callers_are_redirected_to_another_member_or_get_503_without_any() {
    let mut cluster = Cluster::start(&[Machine::Disk, Machine::Disk, Machine::Disk, Machine::NonCandidate]);
    cluster.wait_for_members(0, 3);
    wait_for_redirect(&cluster, 3);
    let first = cluster.get(3).unwrap().location.unwrap();
    let members: Vec<String> = (0..3).map(|at| cluster.url(at, "/v1/config")).collect();
    let killed = members.iter().position(|member| *member == first).unwrap();
    cluster.kill(killed);
    eventually("a redirect to another member", || {
        let location = cluster.get(3)?.location?;
        (location != first && members.contains(&location)).then_some(())
    });
    for at in 0..3 {
        cluster.kill(at);
    }
    let unavailable = eventually("an error because no member is reachable", || {
        cluster
            .heartbeat(3, "i", "ready", 1)
            .filter(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
    });
    assert_eq!(unavailable.field("code"), "CTL-111");
    assert!(unavailable.retry_after.is_some());
}

#[test]
fn candidate_finds_the_core_through_a_seed_outside_it() {
    let machines = [Machine::Disk, Machine::NonCandidate, Machine::Disk];
    let cluster = Cluster::start_with_seeds(&machines, &[vec![0], vec![0], vec![1]]);
    cluster.wait_for_members(2, 2);
    assert_eq!(cluster.put_until_definite(2, "0", FIRST).status, StatusCode::OK);
}

#[test]
fn candidates_without_disks_form_a_core() {
    let mut cluster = Cluster::start(&[Machine::Volatile, Machine::Volatile, Machine::Volatile]);
    cluster.wait_for_members(0, 3);
    assert_eq!(cluster.put_until_definite(0, "0", FIRST).status, StatusCode::OK);
    cluster.kill(0);
    let read =
        eventually("the configuration", || cluster.get(1).filter(|answer| answer.status == StatusCode::OK));
    assert_eq!(read.body, FIRST);
    cluster.restart(0);
    cluster.wait_for_members(0, 3);
    assert_eq!(cluster.put_until_definite(0, "0", FIRST).status, StatusCode::OK);
}
