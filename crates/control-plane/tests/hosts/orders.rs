//! Operators' orders over HTTP: the same one again is the same one, however it is written; one change has a number.

use crate::support::{Core, Machine};
use reqwest::{Method, StatusCode};

/// A configuration of that number with one route.
fn document(generation: u64, prefix: &str) -> String {
    format!(
        r#"{{"generation":{generation},"routes":[{{"name":"r","host":"h.example","prefix":"{prefix}","type":"mutating","timeout_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}]}}"#
    )
}

/// The same written by another encoder.
fn encoded_otherwise(generation: u64, prefix: &str) -> String {
    format!(
        "{{\n  \"services\": [ {{ \"name\": \"s\" }} ],\n  \"routes\": [ {{ \"service\": \"s\", \"timeout_ms\": 1.0e3, \
         \"type\": \"mutating\", \"prefix\": \"{}\", \"host\": \"h.example\", \"name\": \"r\" }} ],\n  \
         \"generation\": {generation}\n}}\n",
        prefix.replace('/', "\\/")
    )
}

fn status(core: &Core, if_match: &str, body: &str) -> StatusCode {
    core.put_until_clear(0, if_match, body).status
}

#[test]
fn the_same_order_again_is_taken_again_however_it_is_written() {
    let core = Core::start(&[Machine::Disk]);
    assert_eq!(status(&core, "0", &document(5, "/a/")), StatusCode::OK);
    assert_eq!(status(&core, "0", &document(5, "/a/")), StatusCode::OK);
    assert_eq!(status(&core, "0", &encoded_otherwise(5, "/a/")), StatusCode::OK);
    for written in ["\"0\"", "W/\"0\"", " 0 "] {
        assert_eq!(status(&core, written, &document(5, "/a/")), StatusCode::OK, "{written}");
    }
    assert_eq!(core.get(0).unwrap().body, document(5, "/a/"));
}

#[test]
fn another_change_of_the_same_number_is_refused() {
    let core = Core::start(&[Machine::Disk]);
    assert_eq!(status(&core, "0", &document(5, "/a/")), StatusCode::OK);
    assert_eq!(status(&core, "0", &document(5, "/b/")), StatusCode::PRECONDITION_FAILED);
    assert_eq!(status(&core, "5", &document(5, "/a/")), StatusCode::BAD_REQUEST);
    assert_eq!(core.get(0).unwrap().body, document(5, "/a/"));
}

#[test]
fn an_order_is_known_after_later_ones_and_after_a_restart() {
    let mut core = Core::start(&[Machine::Disk]);
    assert_eq!(status(&core, "0", &document(5, "/a/")), StatusCode::OK);
    assert_eq!(status(&core, "5", &document(9, "/b/")), StatusCode::OK);
    assert_eq!(status(&core, "0", &encoded_otherwise(5, "/a/")), StatusCode::OK);
    core.kill(0);
    core.restart(0);
    assert_eq!(status(&core, "0", &document(5, "/a/")), StatusCode::OK);
    assert_eq!(status(&core, "\"5\"", &encoded_otherwise(9, "/b/")), StatusCode::OK);
    assert_eq!(status(&core, "0", &document(9, "/b/")), StatusCode::PRECONDITION_FAILED);
    assert_eq!(core.get(0).unwrap().body, document(9, "/b/"));
}

#[test]
fn twins_under_way_at_once_are_both_taken() {
    let core = Core::start(&[Machine::Disk, Machine::Disk, Machine::Disk]);
    core.wait_for_members(0, 3);
    assert_eq!(status(&core, "0", &document(1, "/a/")), StatusCode::OK);
    let (plain, other) = (document(2, "/b/"), encoded_otherwise(2, "/b/"));
    let twins = [
        (0, Method::PUT, "/v1/config", "1", plain.as_str()),
        (0, Method::PUT, "/v1/config", "\"1\"", other.as_str()),
        (1, Method::PUT, "/v1/config", "1", other.as_str()),
        (2, Method::PUT, "/v1/config", "1", plain.as_str()),
    ];
    for answer in core.call_all(&twins) {
        let answer = answer.unwrap();
        assert!(answer.status == StatusCode::OK || answer.status.is_server_error(), "{answer:?}");
    }
    for (at, _, _, if_match, body) in twins {
        assert_eq!(core.put_until_clear(at, if_match, body).status, StatusCode::OK);
    }
}

#[test]
fn of_different_changes_of_one_number_exactly_one_is_taken() {
    let core = Core::start(&[Machine::Disk, Machine::Disk, Machine::Disk]);
    core.wait_for_members(0, 3);
    assert_eq!(status(&core, "0", &document(1, "/a/")), StatusCode::OK);
    let bodies: Vec<String> = (0..6).map(|rival| document(2, &format!("/rival{rival}/"))).collect();
    let rivals: Vec<(usize, Method, &str, &str, &str)> = bodies
        .iter()
        .enumerate()
        .map(|(rival, body)| (rival % 3, Method::PUT, "/v1/config", "1", body.as_str()))
        .collect();
    core.call_all(&rivals);
    let ends = rivals.iter().map(|(at, _, _, if_match, body)| core.put_until_clear(*at, if_match, body));
    let ends: Vec<StatusCode> = ends.map(|answer| answer.status).collect();
    let taken: Vec<usize> = (0..ends.len()).filter(|rival| ends[*rival] == StatusCode::OK).collect();
    assert_eq!(taken.len(), 1, "{ends:?}");
    let refused = ends.iter().filter(|end| **end == StatusCode::PRECONDITION_FAILED).count();
    assert_eq!(refused, ends.len() - 1, "{ends:?}");
}

/// A refusal that is judged from the head, or because of the length, reaches an operator who is still sending.
#[test]
fn a_refusal_reaches_an_operator_who_sends_a_long_body() {
    let core = Core::start(&[Machine::Disk]);
    let long = " ".repeat(12 << 20);
    for _ in 0..8 {
        let too_long = core.put(0, "0", &long).expect("an answer");
        assert_eq!(
            (too_long.status, too_long.field("code")),
            (StatusCode::PAYLOAD_TOO_LARGE, "CTL-103".into())
        );
        let unsound = core.put(0, "none", &long[..4 << 20]).expect("an answer");
        assert_eq!((unsound.status, unsound.field("code")), (StatusCode::BAD_REQUEST, "CTL-102".into()));
    }
}
