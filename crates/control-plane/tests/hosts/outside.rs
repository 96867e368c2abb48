//! Machines without a disk: outside the core they send callers to a member; where all that count have none, they are
//! the core.

use reqwest::{Method, StatusCode};

use crate::support::{in_the_end, Core, Machine};

const FIRST: &str = r#"{"generation":1,"routes":[],"services":[]}"#;

/// Waits until a process outside the core sends callers to a member.
fn wait_for_directions(core: &Core, at: usize) {
    in_the_end("directions", || {
        core.get(at).filter(|answer| answer.status == StatusCode::TEMPORARY_REDIRECT)
    });
}

#[test]
fn callers_are_sent_to_a_member() {
    let core = Core::start(&[Machine::Disk, Machine::Plain]);
    core.wait_for_members(0, 1);
    wait_for_directions(&core, 1);
    let calls = [
        (Method::PUT, "/v1/config"),
        (Method::PATCH, "/v1/config"),
        (Method::PUT, "/v1/instances/i"),
        (Method::DELETE, "/v1/instances/i"),
    ];
    for (method, path) in calls {
        let answer = core.call(1, method, path, Some("0"), FIRST).unwrap();
        assert_eq!(answer.status, StatusCode::TEMPORARY_REDIRECT, "{answer:?}");
        assert_eq!(answer.location, Some(core.url(0, path)), "{answer:?}");
    }
    let status = core.status(1).unwrap();
    assert_eq!(status.field("members").as_array().map(Vec::len), Some(1), "{status:?}");
    assert_eq!(core.status(0).unwrap().field("members").as_array().map(Vec::len), Some(1));
    assert_eq!(core.status(0).unwrap().field("peers_up"), 0);
}

#[test]
fn callers_are_sent_to_another_member_or_away_where_one_is_gone() {
    let mut core = Core::start(&[Machine::Disk, Machine::Disk, Machine::Disk, Machine::Plain]);
    core.wait_for_members(0, 3);
    wait_for_directions(&core, 3);
    let first = core.get(3).unwrap().location.unwrap();
    let members: Vec<String> = (0..3).map(|at| core.url(at, "/v1/config")).collect();
    let gone = members.iter().position(|member| *member == first).unwrap();
    core.kill(gone);
    in_the_end("directions to another member", || {
        let location = core.get(3)?.location?;
        (location != first && members.contains(&location)).then_some(())
    });
    for at in 0..3 {
        core.kill(at);
    }
    let away = in_the_end("word that nobody is within reach", || {
        core.heartbeat(3, "i", "ready", 1).filter(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
    });
    assert_eq!(away.field("code"), "CTL-111");
    assert!(away.retry_after.is_some());
}

#[test]
fn a_member_to_be_finds_the_core_by_a_seed_outside_it() {
    let machines = [Machine::Disk, Machine::Plain, Machine::Disk];
    let core = Core::start_with_seeds(&machines, &[vec![0], vec![0], vec![1]]);
    core.wait_for_members(2, 2);
    assert_eq!(core.put_until_clear(2, "0", FIRST).status, StatusCode::OK);
}

#[test]
fn machines_that_count_without_a_disk_are_a_core() {
    let mut core = Core::start(&[Machine::Volatile, Machine::Volatile, Machine::Volatile]);
    core.wait_for_members(0, 3);
    assert_eq!(core.put_until_clear(0, "0", FIRST).status, StatusCode::OK);
    core.kill(0);
    let read =
        in_the_end("the configuration", || core.get(1).filter(|answer| answer.status == StatusCode::OK));
    assert_eq!(read.body, FIRST);
    core.restart(0);
    core.wait_for_members(0, 3);
    assert_eq!(core.put_until_clear(0, "0", FIRST).status, StatusCode::OK);
}
