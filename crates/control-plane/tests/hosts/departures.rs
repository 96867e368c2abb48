//! `DELETE /v1/machines/ADDRESS`: the head of the chain answers, the other members redirect to it, and invalid requests
//! get an error code and change nothing.

use crate::support::{eventually, Answer, Cluster, Machine};
use reqwest::{Method, StatusCode};

fn declare(cluster: &Cluster, at: usize, machine: &str) -> Answer {
    let path = format!("/v1/machines/{machine}");
    eventually("an answer", || {
        let answer = cluster.call(at, Method::DELETE, &path, None, "")?;
        (answer.status != StatusCode::SERVICE_UNAVAILABLE).then_some(answer)
    })
}

#[test]
fn only_a_known_unreachable_machine_can_be_declared_gone() {
    let cluster = Cluster::start(&[Machine::Disk, Machine::Disk, Machine::Disk]);
    for at in 0..3 {
        cluster.wait_for_members(at, 3);
    }
    let member = cluster.status(0).unwrap().field("members")[1]["address"].as_str().unwrap().to_owned();
    let answers: Vec<Answer> = (0..3).map(|at| declare(&cluster, at, &member)).collect();
    let redirected = answers.iter().filter(|answer| answer.status == StatusCode::TEMPORARY_REDIRECT);
    let locations: Vec<&String> = redirected.filter_map(|answer| answer.location.as_ref()).collect();
    assert_eq!(locations.len(), 2, "two of three members aren't the head: {answers:?}");
    assert!(locations.iter().all(|location| location.ends_with(&format!("/v1/machines/{member}"))));
    let head = answers.iter().position(|answer| answer.status == StatusCode::CONFLICT).expect("a head");
    assert_eq!(answers[head].field("code"), "CTL-112");
    let unknown = declare(&cluster, head, "127.9.9.9:7500");
    assert_eq!((unknown.status, unknown.field("code")), (StatusCode::NOT_FOUND, "CTL-113".into()));
    let invalid = declare(&cluster, head, "nowhere");
    assert_eq!((invalid.status, invalid.field("code")), (StatusCode::BAD_REQUEST, "CTL-114".into()));
    cluster.wait_for_members(head, 3);
}
