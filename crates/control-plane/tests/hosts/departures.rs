//! An operator declares over HTTP that a machine is gone: the head answers, others send the operator there, and what is
//! wrong is told with its code and changes nothing.

use crate::support::{in_the_end, Answer, Core, Machine};
use reqwest::{Method, StatusCode};

fn declare(core: &Core, at: usize, machine: &str) -> Answer {
    let path = format!("/v1/machines/{machine}");
    in_the_end("an answer", || {
        let answer = core.call(at, Method::DELETE, &path, None, "")?;
        (answer.status != StatusCode::SERVICE_UNAVAILABLE).then_some(answer)
    })
}

#[test]
fn only_a_machine_that_is_known_and_silent_can_be_declared_gone() {
    let core = Core::start(&[Machine::Disk, Machine::Disk, Machine::Disk]);
    for at in 0..3 {
        core.wait_for_members(at, 3);
    }
    let member = core.status(0).unwrap().field("members")[1]["address"].as_str().unwrap().to_owned();
    let answers: Vec<Answer> = (0..3).map(|at| declare(&core, at, &member)).collect();
    let redirected = answers.iter().filter(|answer| answer.status == StatusCode::TEMPORARY_REDIRECT);
    let locations: Vec<&String> = redirected.filter_map(|answer| answer.location.as_ref()).collect();
    assert_eq!(locations.len(), 2, "two of three aren't the head: {answers:?}");
    assert!(locations.iter().all(|location| location.ends_with(&format!("/v1/machines/{member}"))));
    let head = answers.iter().position(|answer| answer.status == StatusCode::CONFLICT).expect("a head");
    assert_eq!(answers[head].field("code"), "CTL-112");
    let unknown = declare(&core, head, "127.9.9.9:7500");
    assert_eq!((unknown.status, unknown.field("code")), (StatusCode::NOT_FOUND, "CTL-113".into()));
    let unsound = declare(&core, head, "nowhere");
    assert_eq!((unsound.status, unsound.field("code")), (StatusCode::BAD_REQUEST, "CTL-114".into()));
    core.wait_for_members(head, 3);
}
