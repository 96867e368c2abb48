//! Patches of the configuration over HTTP: on the same terms as a whole configuration.

use reqwest::{Method, StatusCode};
use serde_json::{json, Value};

use crate::support::{in_the_end, Answer, Core, Machine};

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
fn adding(generation: u64, name: &str) -> String {
    json!({"generation": generation, "upsert": {"routes": [route(name)]}}).to_string()
}

fn patch(core: &Core, at: usize, if_match: &str, body: &str) -> Option<Answer> {
    core.call(at, Method::PATCH, "/v1/config", Some(if_match), body)
}

/// Sends a patch again until its answer is clear.
fn until_clear(core: &Core, at: usize, if_match: &str, body: &str) -> Answer {
    in_the_end("a clear answer", || {
        patch(core, at, if_match, body).filter(|answer| !answer.status.is_server_error())
    })
}

fn status(core: &Core, at: usize, if_match: &str, body: &str) -> StatusCode {
    until_clear(core, at, if_match, body).status
}

/// What a process reads back, once it may.
fn read_back(core: &Core, at: usize) -> Value {
    let answer =
        in_the_end("the configuration", || core.get(at).filter(|answer| answer.status == StatusCode::OK));
    serde_json::from_str(&answer.body).unwrap()
}

fn core_of_three() -> Core {
    let core = Core::start(&[Machine::Disk, Machine::Disk, Machine::Disk]);
    core.wait_for_members(0, 3);
    let first = document(5, &["a"]).to_string();
    assert_eq!(core.put_until_clear(0, "0", &first).status, StatusCode::OK);
    core
}

#[test]
fn a_patch_is_taken_and_read_back_whole_at_every_process() {
    let core = core_of_three();
    let change = json!({"generation": 9, "upsert": {"routes": [route("b")], "tenants": [{"name": "t", "api_keys": ["k"]}]},
        "delete": {"routes": ["a"]}});
    assert_eq!(status(&core, 1, "5", &change.to_string()), StatusCode::OK);
    let mut wanted = document(9, &["b"]);
    wanted["tenants"] = json!([{"name": "t", "api_keys": ["k"]}]);
    for at in 0..3 {
        assert_eq!(read_back(&core, at), wanted, "process {at}");
    }
}

#[test]
fn a_patch_again_is_acknowledged_again_and_another_one_on_its_base_is_refused() {
    let mut core = core_of_three();
    assert_eq!(status(&core, 0, "5", &adding(6, "b")), StatusCode::OK);
    for at in 0..3 {
        assert_eq!(status(&core, at, "\"5\"", &adding(6, "b")), StatusCode::OK, "again at {at}");
        assert_eq!(
            status(&core, at, "5", &adding(6, "c")),
            StatusCode::PRECONDITION_FAILED,
            "a rival at {at}"
        );
        assert_eq!(status(&core, at, "5", &adding(7, "b")), StatusCode::PRECONDITION_FAILED, "at {at}");
    }
    assert_eq!(status(&core, 1, "6", &adding(8, "c")), StatusCode::OK);
    for at in 0..3 {
        core.kill(at);
    }
    for at in 0..3 {
        core.restart(at);
    }
    core.wait_for_members(0, 3);
    assert_eq!(read_back(&core, 2), document(8, &["a", "b", "c"]));
    for at in 0..3 {
        assert_eq!(
            status(&core, at, "6", &adding(8, "c")),
            StatusCode::OK,
            "after the loss of power at {at}"
        );
        assert_eq!(status(&core, at, "5", &adding(6, "c")), StatusCode::PRECONDITION_FAILED, "at {at}");
    }
}

#[test]
fn of_rival_patches_and_whole_configurations_exactly_one_is_taken() {
    let core = core_of_three();
    let patches: Vec<String> = (0..4).map(|rival| adding(6, &format!("rival{rival}"))).collect();
    let wholes: Vec<String> =
        (0..2).map(|rival| document(6, &["a", &format!("whole{rival}")]).to_string()).collect();
    let rivals: Vec<(usize, Method, &str, &str, &str)> = (patches.iter().map(|body| (Method::PATCH, body)))
        .chain(wholes.iter().map(|body| (Method::PUT, body)))
        .enumerate()
        .map(|(rival, (method, body))| (rival % 3, method, "/v1/config", "5", body.as_str()))
        .collect();
    core.call_all(&rivals);
    let ends: Vec<StatusCode> = rivals
        .iter()
        .map(|(at, method, path, if_match, body)| {
            let again = || core.call(*at, method.clone(), path, Some(if_match), body);
            in_the_end("a clear answer", || again().filter(|answer| !answer.status.is_server_error())).status
        })
        .collect();
    let taken = ends.iter().filter(|end| **end == StatusCode::OK).count();
    let refused = ends.iter().filter(|end| **end == StatusCode::PRECONDITION_FAILED).count();
    assert_eq!((taken, refused), (1, ends.len() - 1), "{ends:?}");
}

#[test]
fn unsound_patches_are_refused_and_nothing_is_taken() {
    let core = core_of_three();
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
        let answer = until_clear(&core, 0, "5", body);
        assert_eq!(
            (answer.status, answer.field("code")),
            (StatusCode::BAD_REQUEST, json!("CTL-105")),
            "{body}"
        );
        assert!(answer.body.contains(code), "{body}: {answer:?}");
    }
    assert_eq!(patch(&core, 0, "x", &adding(6, "b")).unwrap().field("code"), json!("CTL-102"));
    assert_eq!(read_back(&core, 0), document(5, &["a"]));
}

#[test]
fn a_patch_on_a_version_that_nobody_knows_is_neither_taken_nor_refused() {
    let core = core_of_three();
    let answer = patch(&core, 0, "6", &adding(7, "b")).unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(read_back(&core, 0), document(5, &["a"]));
}

#[test]
fn four_megabytes_are_taken() {
    let core = Core::start(&[Machine::Disk]);
    assert_eq!(core.put_until_clear(0, "0", &document(5, &["a"]).to_string()).status, StatusCode::OK);
    let note = "n".repeat(4000);
    let mut routes = Vec::new();
    for number in 0..1000 {
        let mut long = route(&format!("long{number}"));
        long["note"] = json!(note);
        routes.push(long);
    }
    let change = json!({"generation": 6, "upsert": {"routes": routes}}).to_string();
    assert!(change.len() > 4_000_000 && change.len() < 4 << 20, "{}", change.len());
    assert_eq!(status(&core, 0, "5", &change), StatusCode::OK);
    assert_eq!(read_back(&core, 0)["routes"].as_array().map(Vec::len), Some(1001));
}
