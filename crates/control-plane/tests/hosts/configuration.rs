//! `PUT /v1/config`: a repeated change is recognized whatever its JSON formatting, and each generation can be used by one
//! change only.

use crate::support::{Cluster, Machine};
use reqwest::{Method, StatusCode};

/// A configuration of this generation with one route.
fn document(generation: u64, prefix: &str) -> String {
    format!(
        r#"{{"generation":{generation},"routes":[{{"name":"r","host":"h.example","prefix":"{prefix}","type":"mutating","timeout_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}]}}"#
    )
}

/// The same configuration in another JSON formatting.
fn reformatted_document(generation: u64, prefix: &str) -> String {
    format!(
        "{{\n  \"services\": [ {{ \"name\": \"s\" }} ],\n  \"routes\": [ {{ \"service\": \"s\", \"timeout_ms\": 1.0e3, \
         \"type\": \"mutating\", \"prefix\": \"{}\", \"host\": \"h.example\", \"name\": \"r\" }} ],\n  \
         \"generation\": {generation}\n}}\n",
        prefix.replace('/', "\\/")
    )
}

fn status(cluster: &Cluster, if_match: &str, body: &str) -> StatusCode {
    cluster.put_until_definite(0, if_match, body).status
}

#[test]
fn repeated_change_is_acknowledged_whatever_its_formatting() {
    let cluster = Cluster::start(&[Machine::Disk]);
    assert_eq!(status(&cluster, "0", &document(5, "/a/")), StatusCode::OK);
    assert_eq!(status(&cluster, "0", &document(5, "/a/")), StatusCode::OK);
    assert_eq!(status(&cluster, "0", &reformatted_document(5, "/a/")), StatusCode::OK);
    for if_match in ["\"0\"", "W/\"0\"", " 0 "] {
        assert_eq!(status(&cluster, if_match, &document(5, "/a/")), StatusCode::OK, "{if_match}");
    }
    assert_eq!(cluster.get(0).unwrap().body, document(5, "/a/"));
}

#[test]
fn another_change_of_the_same_generation_is_rejected() {
    let cluster = Cluster::start(&[Machine::Disk]);
    assert_eq!(status(&cluster, "0", &document(5, "/a/")), StatusCode::OK);
    assert_eq!(status(&cluster, "0", &document(5, "/b/")), StatusCode::PRECONDITION_FAILED);
    assert_eq!(status(&cluster, "5", &document(5, "/a/")), StatusCode::BAD_REQUEST);
    assert_eq!(cluster.get(0).unwrap().body, document(5, "/a/"));
}

#[test]
fn change_is_recognized_after_later_ones_and_after_a_restart() {
    let mut cluster = Cluster::start(&[Machine::Disk]);
    assert_eq!(status(&cluster, "0", &document(5, "/a/")), StatusCode::OK);
    assert_eq!(status(&cluster, "5", &document(9, "/b/")), StatusCode::OK);
    assert_eq!(status(&cluster, "0", &reformatted_document(5, "/a/")), StatusCode::OK);
    cluster.kill(0);
    cluster.restart(0);
    assert_eq!(status(&cluster, "0", &document(5, "/a/")), StatusCode::OK);
    assert_eq!(status(&cluster, "\"5\"", &reformatted_document(9, "/b/")), StatusCode::OK);
    assert_eq!(status(&cluster, "0", &document(9, "/b/")), StatusCode::PRECONDITION_FAILED);
    assert_eq!(cluster.get(0).unwrap().body, document(9, "/b/"));
}

#[test]
fn concurrent_identical_changes_are_both_acknowledged() {
    let cluster = Cluster::start(&[Machine::Disk, Machine::Disk, Machine::Disk]);
    cluster.wait_for_members(0, 3);
    assert_eq!(status(&cluster, "0", &document(1, "/a/")), StatusCode::OK);
    let (plain, other) = (document(2, "/b/"), reformatted_document(2, "/b/"));
    let requests = [
        (0, Method::PUT, "/v1/config", "1", plain.as_str()),
        (0, Method::PUT, "/v1/config", "\"1\"", other.as_str()),
        (1, Method::PUT, "/v1/config", "1", other.as_str()),
        (2, Method::PUT, "/v1/config", "1", plain.as_str()),
    ];
    for answer in cluster.call_concurrently(&requests) {
        let answer = answer.unwrap();
        assert!(answer.status == StatusCode::OK || answer.status.is_server_error(), "{answer:?}");
    }
    for (at, _, _, if_match, body) in requests {
        assert_eq!(cluster.put_until_definite(at, if_match, body).status, StatusCode::OK);
    }
}

#[test]
fn exactly_one_of_several_changes_of_one_generation_is_committed() {
    let cluster = Cluster::start(&[Machine::Disk, Machine::Disk, Machine::Disk]);
    cluster.wait_for_members(0, 3);
    assert_eq!(status(&cluster, "0", &document(1, "/a/")), StatusCode::OK);
    let bodies: Vec<String> = (0..6).map(|index| document(2, &format!("/index{index}/"))).collect();
    let competing: Vec<(usize, Method, &str, &str, &str)> = bodies
        .iter()
        .enumerate()
        .map(|(index, body)| (index % 3, Method::PUT, "/v1/config", "1", body.as_str()))
        .collect();
    cluster.call_concurrently(&competing);
    let statuses =
        competing.iter().map(|(at, _, _, if_match, body)| cluster.put_until_definite(*at, if_match, body));
    let statuses: Vec<StatusCode> = statuses.map(|answer| answer.status).collect();
    let committed: Vec<usize> =
        (0..statuses.len()).filter(|index| statuses[*index] == StatusCode::OK).collect();
    assert_eq!(committed.len(), 1, "{statuses:?}");
    let rejected = statuses.iter().filter(|status| **status == StatusCode::PRECONDITION_FAILED).count();
    assert_eq!(rejected, statuses.len() - 1, "{statuses:?}");
}

/// Guards against a lost error response: an error found in the headers or because of the body's length must reach an
/// operator who is still sending the body.
#[test]
fn error_response_reaches_an_operator_who_sends_a_long_body() {
    let cluster = Cluster::start(&[Machine::Disk]);
    let long = " ".repeat(12 << 20);
    for _ in 0..8 {
        let too_long = cluster.put(0, "0", &long).expect("an answer");
        assert_eq!(
            (too_long.status, too_long.field("code")),
            (StatusCode::PAYLOAD_TOO_LARGE, "CTL-103".into())
        );
        let invalid = cluster.put(0, "none", &long[..4 << 20]).expect("an answer");
        assert_eq!((invalid.status, invalid.field("code")), (StatusCode::BAD_REQUEST, "CTL-102".into()));
    }
}
