//! The serialized form of every message of this crate, compared with recorded bytes.
//!
//! Gateways and control-plane processes of different builds exchange these messages, so a renamed variant or
//! a reordered field breaks a rolling upgrade. Each test builds the value itself, expects the recorded bytes
//! and decodes them again. `BLESS_FIXTURES=1` records the bytes again after an intended change.

use std::fmt::Debug;
use std::time::Duration;

use crankpick_registry::{
    Announcement, BackendRecord, BackendState, Changes, Cursor, Digest, GatewayId, GatewayRecord,
    GatewayTotal, Heartbeat, HeartbeatState, HomeCandidate, LoadedModel, ProcessId, Registry,
    RegistrySettings,
};
use crankpick_test_support::Fixtures;
use serde::de::DeserializeOwned;
use serde::Serialize;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

fn fixtures() -> Fixtures {
    Fixtures::of(env!("CARGO_MANIFEST_DIR"))
}

/// Asserts that `value` is encoded as the recorded bytes and decoded from them.
fn assert_message<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let mut bytes = Vec::new();
    rmp_serde::encode::write(&mut bytes, value).unwrap();
    let recorded = fixtures().assert_hex(&format!("{name}.hex"), &bytes);
    let decoded: T = rmp_serde::from_slice(&recorded).unwrap();
    assert_eq!(&decoded, value, "{name}: decoded as another value");
}

fn models() -> Vec<LoadedModel> {
    vec![
        LoadedModel {
            name: "qwen".to_owned(),
            generation: 7,
            loras: vec!["law".to_owned(), "tax".to_owned()],
        },
        LoadedModel { name: "plain".to_owned(), generation: 0, loras: Vec::new() },
    ]
}

/// A record in which each field has a different value. `warm_at` is not sent.
fn record() -> BackendRecord {
    let address = "10.1.2.3:8080".parse().unwrap();
    let mut record = BackendRecord::ready("i-0001", "huvo11a", address, "hakata-a", 64);
    record.generation = "v3".to_owned();
    record.draining = true;
    record.deleted = false;
    record.seq = 4_711;
    record.origin = ProcessId(0x1234_5678_9abc_def0);
    record.cold_left_ms = 1_500;
    record.stage = "dual".to_owned();
    record.models = models();
    record
}

fn heartbeat(address: &str, seq: u64) -> Heartbeat {
    Heartbeat {
        service: "huvo11a".to_owned(),
        address: address.parse().unwrap(),
        zone: "hakata-a".to_owned(),
        generation: "v3".to_owned(),
        slots: 64,
        state: HeartbeatState::Ready,
        cold_left_ms: 0,
        stage: "dual".to_owned(),
        models: models(),
        seq,
    }
}

/// An announcement as a peer decodes it: `warm_at` is not sent.
fn as_received(announcement: Option<Announcement>) -> Announcement {
    let mut announcement = announcement.expect("the registry announces a change");
    for record in &mut announcement.backends {
        record.warm_at = Duration::ZERO;
    }
    announcement
}

fn gateway(live: bool) -> GatewayRecord {
    GatewayRecord {
        id: GatewayId(0xfeed_beef_0000_0001),
        node: "edge-1".to_owned(),
        zone: "hakata-b".to_owned(),
        home: ProcessId(25),
        seq: 900,
        live,
    }
}

fn registry() -> Registry {
    Registry::new(Duration::from_secs(1), ProcessId(7), RegistrySettings::new(HEARTBEAT_INTERVAL))
}

#[test]
fn identifiers_keep_their_form() {
    assert_message("process-id", &ProcessId(0x1234_5678_9abc_def0));
    assert_message("gateway-id", &GatewayId(0xfeed_beef_0000_0001));
}

#[test]
fn every_backend_state_keeps_its_form() {
    assert_message("backend-state-ready", &BackendState::Ready);
    assert_message("backend-state-draining", &BackendState::Draining);
    assert_message("backend-state-silent", &BackendState::Silent);
    assert_message("backend-state-gone", &BackendState::Gone);
}

#[test]
fn a_backend_record_keeps_its_form() {
    assert_message("backend-record", &record());
    let mut deleted = record();
    deleted.draining = false;
    deleted.deleted = true;
    deleted.state = BackendState::Gone;
    assert_message("backend-record-deleted", &deleted);
    let mut ipv6 = record();
    ipv6.address = "[fd00::1]:8080".parse().unwrap();
    assert_message("backend-record-ipv6", &ipv6);
    assert_message("loaded-model", &models()[0]);
}

/// The presence inside a record is not public, so the registry itself creates a record of each presence.
#[test]
fn a_backend_record_of_every_presence_keeps_its_form() {
    let start = Duration::from_secs(1);
    let mut registry = registry();
    let present = registry.heartbeat(start, "i-0001", heartbeat("10.1.2.3:8080", 5)).unwrap();
    assert_message("announcement-present", &as_received(present.announcement));

    let displaced = registry.heartbeat(start, "i-0002", heartbeat("10.1.2.3:8080", 1)).unwrap();
    let displaced = as_received(displaced.announcement);
    assert_eq!(displaced.backends[0].state, BackendState::Gone);
    assert_message("announcement-displaced", &displaced);

    let mut silent = None;
    for step in 1..40 {
        silent = silent.or_else(|| registry.tick(start + Duration::from_millis(250) * step));
    }
    let silent = as_received(silent);
    assert_eq!(silent.backends[0].state, BackendState::Silent);
    assert_message("announcement-silent", &silent);
}

#[test]
fn gateway_messages_keep_their_form() {
    assert_message("gateway-record-live", &gateway(true));
    assert_message("gateway-record-ended", &gateway(false));
    assert_message("gateway-total", &GatewayTotal { count: 1_100, states_absence: true });
    let address = "10.9.8.7:7101".parse().unwrap();
    assert_message("home-candidate", &HomeCandidate { address, zone: "hakata-c".to_owned() });
}

#[test]
fn announcements_keep_their_form() {
    let from = ProcessId(7);
    let both = Announcement { from, backends: vec![record()], gateways: vec![gateway(true), gateway(false)] };
    assert_message("announcement", &both);
}

#[test]
fn changes_and_cursors_keep_their_form() {
    let cursor = Cursor { incarnation: ProcessId(7), number: 81_234 };
    assert_message("cursor", &cursor);
    let changes = Changes { cursor, full: true, states_absence: false, records: vec![record()] };
    assert_message("changes", &changes);
    assert_message(
        "changes-empty",
        &Changes { cursor, full: false, states_absence: true, records: Vec::new() },
    );
}

/// Processes of different builds compare digests, so the sums themselves are part of the serialized form.
#[test]
fn digests_keep_their_form_and_their_sums() {
    assert_message("digest", &Digest { sums: vec![0, 1, u64::MAX] });
    let start = Duration::from_secs(1);
    let mut registry = registry();
    for number in 0..100 {
        let id = format!("i-{number:04}");
        let address = format!("10.1.2.{number}:8080");
        let mut heartbeat = heartbeat(&address, 3 + number);
        if number % 3 == 0 {
            heartbeat.state = HeartbeatState::Draining;
        }
        registry.heartbeat(start, &id, heartbeat).unwrap();
    }
    assert_message("digest-of-registry", &registry.digest());
    // Without heartbeats for this long all backends are silent, which must change the sums.
    for step in 1..20 {
        registry.tick(start + Duration::from_millis(250) * step);
    }
    assert_message("digest-of-silent-registry", &registry.digest());
}

fn assert_heartbeat(name: &str, value: &Heartbeat) {
    let written = serde_json::to_string_pretty(value).unwrap();
    let recorded = fixtures().assert_text(&format!("{name}.json"), &written);
    let decoded: Heartbeat = serde_json::from_str(&recorded).unwrap();
    assert_eq!(&decoded, value, "{name}: decoded as another value");
}

#[test]
fn a_heartbeat_keeps_its_json_form() {
    let mut ready = heartbeat("10.1.2.3:8080", 12);
    ready.cold_left_ms = 1_500;
    assert_heartbeat("heartbeat-ready", &ready);
    let draining = Heartbeat { state: HeartbeatState::Draining, models: Vec::new(), ..ready };
    assert_heartbeat("heartbeat-draining", &draining);
}

#[test]
fn a_heartbeat_may_leave_out_optional_fields_and_hold_unknown_ones() {
    let body = r#"{"service":"s","address":"10.1.2.3:80","state":"ready","seq":1,"later":{"field":true}}"#;
    let read: Heartbeat = serde_json::from_str(body).unwrap();
    let expected = Heartbeat {
        service: "s".to_owned(),
        address: "10.1.2.3:80".parse().unwrap(),
        zone: String::new(),
        generation: String::new(),
        slots: 0,
        state: HeartbeatState::Ready,
        cold_left_ms: 0,
        stage: String::new(),
        models: Vec::new(),
        seq: 1,
    };
    assert_eq!(read, expected);
    let model: LoadedModel = serde_json::from_str(r#"{"name":"m"}"#).unwrap();
    assert_eq!(model, LoadedModel { name: "m".to_owned(), generation: 0, loras: Vec::new() });
}
