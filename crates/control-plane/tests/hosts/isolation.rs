//! A process that reaches no majority of the core: it confirms nothing, refuses nothing that may be news to it, and says
//! at once that callers are to go elsewhere.

use std::time::Duration;

use crate::support::{in_the_end, Answer, Core, Machine};
use reqwest::StatusCode;

/// Callers go elsewhere by themselves after a second of silence.
const CALLERS_PATIENCE: Duration = Duration::from_secs(1);

const FIRST: &str = r#"{"generation":1,"routes":[],"services":[]}"#;
const SECOND: &str = r#"{"generation":2,"routes":[],"services":[]}"#;

fn core_with_a_configuration() -> Core {
    let core = Core::start(&[Machine::Disk, Machine::Disk, Machine::Disk]);
    for at in 0..3 {
        core.wait_for_members(at, 3);
        core.wait_for_peers(at, 2);
    }
    assert_eq!(core.put_until_clear(0, "0", FIRST).status, StatusCode::OK);
    core
}

fn sends_elsewhere(answer: Option<Answer>, code: &str) {
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(answer.field("code"), code, "{answer:?}");
    assert!(answer.retry_after.is_some(), "{answer:?}");
    assert!(answer.took < CALLERS_PATIENCE, "{answer:?}");
}

#[test]
fn a_drain_is_acknowledged_by_a_majority() {
    let core = core_with_a_configuration();
    assert_eq!(core.heartbeat(1, "i", "ready", 1).unwrap().status, StatusCode::OK);
    let drained = in_the_end("an acknowledged drain", || {
        core.heartbeat(1, "i", "draining", 2).filter(|answer| answer.status == StatusCode::OK)
    });
    assert_eq!(drained.body, "{}");
    assert_eq!(core.sign_off(2, "i").unwrap().status, StatusCode::OK);
}

#[test]
fn no_heartbeat_is_acknowledged_right_after_the_others_are_gone() {
    let mut core = core_with_a_configuration();
    assert_eq!(core.heartbeat(2, "i", "ready", 1).unwrap().status, StatusCode::OK);
    core.kill(0);
    core.kill(1);
    // The peers count as up for a while, and the members as reached.
    sends_elsewhere(core.heartbeat(2, "i", "draining", 2), "CTL-110");
    sends_elsewhere(core.heartbeat(2, "i", "draining", 3), "CTL-110");
    sends_elsewhere(core.sign_off(2, "i"), "CTL-110");
    sends_elsewhere(core.sign_off(2, "i"), "CTL-110");
}

#[test]
fn a_process_cut_off_confirms_and_refuses_nothing() {
    let mut core = core_with_a_configuration();
    core.kill(0);
    core.kill(1);
    in_the_end("a process that knows that it is cut off", || {
        core.heartbeat(2, "j", "ready", 1).filter(|answer| answer.status != StatusCode::OK)
    });
    sends_elsewhere(core.heartbeat(2, "j", "ready", 2), "CTL-110");
    sends_elsewhere(core.heartbeat(2, "j", "draining", 3), "CTL-110");
    sends_elsewhere(core.sign_off(2, "j"), "CTL-110");
    sends_elsewhere(core.put(2, "1", SECOND), "CTL-101");
    sends_elsewhere(core.put(2, "0", SECOND), "CTL-101");
    sends_elsewhere(core.put(2, "1", FIRST), "CTL-101");
    sends_elsewhere(core.get(2), "CTL-101");
    core.restart(0);
    let taken = core.put_until_clear(2, "1", SECOND);
    assert_eq!(taken.status, StatusCode::OK, "{taken:?}");
    in_the_end("an acknowledged sign-off", || {
        core.sign_off(2, "j").filter(|answer| answer.status == StatusCode::OK)
    });
}

#[test]
fn the_status_tells_how_many_losses_can_be_borne() {
    let mut core = core_with_a_configuration();
    let status = core.status(1).unwrap();
    assert_eq!((status.field("bearable_losses"), status.field("tolerated_losses")), (1.into(), 1.into()));
    assert_eq!(status.field("warnings"), serde_json::json!([]));
    assert_eq!(status.field("violations")["CTL-311"], 0, "{}", status.body);
    core.kill(0);
    let status = in_the_end("a core that bears no loss", || {
        core.status(1).filter(|status| status.field("bearable_losses") == 0)
    });
    assert_eq!(status.field("warnings"), serde_json::json!(["CTL-302"]));
}
