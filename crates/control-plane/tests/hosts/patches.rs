//! `PATCH /v1/config`: follows the same rules as replacing the whole configuration.

use reqwest::{Method, StatusCode};
use serde_json::{json, Value};

use crate::support::{eventually, Answer, Cluster, Machine};

fn route(name: &str) -> Value {
    json!({"name": name, "host": "h.example", "prefix": format!("/{name}/"), "type": "mutating", "timeout_ms": 1000,
        "service": "s"})
}

/// The first configuration, with these routes.
fn document(generation: u64, routes: &[&str]) -> Value {
    let routes: Vec<Value> = routes.iter().map(|name| route(name)).collect();
    json!({"generation": generation, "routes": routes, "services": [{"name": "s"}]})
}

/// Adds one route.
fn patch_adding_route(generation: u64, name: &str) -> String {
    json!({"generation": generation, "upsert": {"routes": [route(name)]}}).to_string()
}

fn patch(cluster: &Cluster, at: usize, if_match: &str, body: &str) -> Option<Answer> {
    cluster.call(at, Method::PATCH, "/v1/config", Some(if_match), body)
}

/// Sends a patch until its response is definite.
fn patch_until_definite(cluster: &Cluster, at: usize, if_match: &str, body: &str) -> Answer {
    eventually("a definite response", || {
        patch(cluster, at, if_match, body).filter(|answer| !answer.status.is_server_error())
    })
}

fn status(cluster: &Cluster, at: usize, if_match: &str, body: &str) -> StatusCode {
    patch_until_definite(cluster, at, if_match, body).status
}

/// The configuration read from a process, once it can answer.
fn read_configuration(cluster: &Cluster, at: usize) -> Value {
    let answer =
        eventually("the configuration", || cluster.get(at).filter(|answer| answer.status == StatusCode::OK));
    serde_json::from_str(&answer.body).unwrap()
}

fn cluster_of_three() -> Cluster {
    let cluster = Cluster::start(&[Machine::Disk, Machine::Disk, Machine::Disk]);
    cluster.wait_for_members(0, 3);
    let first = document(5, &["a"]).to_string();
    assert_eq!(cluster.put_until_definite(0, "0", &first).status, StatusCode::OK);
    cluster
}

#[test]
fn patch_is_committed_and_every_process_returns_the_result() {
    let cluster = cluster_of_three();
    let change = json!({"generation": 9, "upsert": {"routes": [route("b")], "tenants": [{"name": "t", "api_keys": ["k"]}]},
        "delete": {"routes": ["a"]}});
    assert_eq!(status(&cluster, 1, "5", &change.to_string()), StatusCode::OK);
    let mut wanted = document(9, &["b"]);
    wanted["tenants"] = json!([{"name": "t", "api_keys": ["k"]}]);
    for at in 0..3 {
        assert_eq!(read_configuration(&cluster, at), wanted, "process {at}");
    }
}

#[test]
fn repeated_patch_is_acknowledged_and_another_one_on_its_base_is_rejected() {
    let mut cluster = cluster_of_three();
    assert_eq!(status(&cluster, 0, "5", &patch_adding_route(6, "b")), StatusCode::OK);
    for at in 0..3 {
        assert_eq!(
            status(&cluster, at, "\"5\"", &patch_adding_route(6, "b")),
            StatusCode::OK,
            "repeated at {at}"
        );
        assert_eq!(
            status(&cluster, at, "5", &patch_adding_route(6, "c")),
            StatusCode::PRECONDITION_FAILED,
            "another change at {at}"
        );
        assert_eq!(
            status(&cluster, at, "5", &patch_adding_route(7, "b")),
            StatusCode::PRECONDITION_FAILED,
            "at {at}"
        );
    }
    assert_eq!(status(&cluster, 1, "6", &patch_adding_route(8, "c")), StatusCode::OK);
    for at in 0..3 {
        cluster.kill(at);
    }
    for at in 0..3 {
        cluster.restart(at);
    }
    cluster.wait_for_members(0, 3);
    assert_eq!(read_configuration(&cluster, 2), document(8, &["a", "b", "c"]));
    for at in 0..3 {
        assert_eq!(
            status(&cluster, at, "6", &patch_adding_route(8, "c")),
            StatusCode::OK,
            "after the restart at {at}"
        );
        assert_eq!(
            status(&cluster, at, "5", &patch_adding_route(6, "c")),
            StatusCode::PRECONDITION_FAILED,
            "at {at}"
        );
    }
}

#[test]
fn exactly_one_of_competing_patches_and_replacements_is_committed() {
    let cluster = cluster_of_three();
    let patches: Vec<String> = (0..4).map(|index| patch_adding_route(6, &format!("patch{index}"))).collect();
    let replacements: Vec<String> =
        (0..2).map(|index| document(6, &["a", &format!("whole{index}")]).to_string()).collect();
    let competing: Vec<(usize, Method, &str, &str, &str)> =
        (patches.iter().map(|body| (Method::PATCH, body)))
            .chain(replacements.iter().map(|body| (Method::PUT, body)))
            .enumerate()
            .map(|(index, (method, body))| (index % 3, method, "/v1/config", "5", body.as_str()))
            .collect();
    cluster.call_concurrently(&competing);
    let statuses: Vec<StatusCode> = competing
        .iter()
        .map(|(at, method, path, if_match, body)| {
            let call = || cluster.call(*at, method.clone(), path, Some(if_match), body);
            eventually("a definite response", || call().filter(|answer| !answer.status.is_server_error()))
                .status
        })
        .collect();
    let committed = statuses.iter().filter(|status| **status == StatusCode::OK).count();
    let rejected = statuses.iter().filter(|status| **status == StatusCode::PRECONDITION_FAILED).count();
    assert_eq!((committed, rejected), (1, statuses.len() - 1), "{statuses:?}");
}

#[test]
fn invalid_patches_are_rejected_and_nothing_is_committed() {
    let cluster = cluster_of_three();
    let no_name = r#"{"generation":6,"upsert":{"routes":[{"host":"h"}]}}"#;
    let cases = [
        (r#"{"upsert":{}}"#, "CFG-105"),
        ("[]", "CFG-105"),
        (r#"{"generation":6,"upsert":{"keys":[{"name":"x"}]}}"#, "CFG-120"),
        (no_name, "CFG-121"),
        (r#"{"generation":6,"delete":{"routes":["a","a"]}}"#, "CFG-122"),
        (r#"{"generation":6,"upsert":{"routes":[{"name":"a"}]},"delete":{"routes":["a"]}}"#, "CFG-123"),
        (r#"{"generation":6,"delete":{"routes":["nobody"]}}"#, "CFG-124"),
        (r#"{"generation":6,"delete":{"services":["s"]}}"#, "CFG-107"),
        (r#"{"generation":5}"#, "generation is not above"),
    ];
    for (body, code) in cases {
        let answer = patch_until_definite(&cluster, 0, "5", body);
        assert_eq!(
            (answer.status, answer.field("code")),
            (StatusCode::BAD_REQUEST, json!("CTL-105")),
            "{body}"
        );
        assert!(answer.body.contains(code), "{body}: {answer:?}");
    }
    assert_eq!(patch(&cluster, 0, "x", &patch_adding_route(6, "b")).unwrap().field("code"), json!("CTL-102"));
    assert_eq!(read_configuration(&cluster, 0), document(5, &["a"]));
}

#[test]
fn patch_on_an_unknown_version_is_neither_committed_nor_rejected() {
    let cluster = cluster_of_three();
    let answer = patch(&cluster, 0, "6", &patch_adding_route(7, "b")).unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(read_configuration(&cluster, 0), document(5, &["a"]));
}

#[test]
fn patch_of_four_megabytes_is_committed() {
    let cluster = Cluster::start(&[Machine::Disk]);
    assert_eq!(cluster.put_until_definite(0, "0", &document(5, &["a"]).to_string()).status, StatusCode::OK);
    let note = "n".repeat(4000);
    let mut routes = Vec::new();
    for number in 0..1000 {
        let mut long = route(&format!("long{number}"));
        long["note"] = json!(note);
        routes.push(long);
    }
    let change = json!({"generation": 6, "upsert": {"routes": routes}}).to_string();
    assert!(change.len() > 4_000_000 && change.len() < 4 << 20, "{}", change.len());
    assert_eq!(status(&cluster, 0, "5", &change), StatusCode::OK);
    assert_eq!(read_configuration(&cluster, 0)["routes"].as_array().map(Vec::len), Some(1001));
}
