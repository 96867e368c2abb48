//! The bytes on the wire: frames of earlier builds are read as the same messages, and this build writes the same frames.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_protocol::{
    compress, decompress, encode, Caller, ConfigurationUpdate, ConfigurationVersion, ControlPlaneMember,
    FrameReader, GatewayIdentity, GatewayReport, Handshake, HomeUpdate, TenantDemand, TenantGrant,
};
use crankpick_quota::{Demand, Grant, GrantSource, HeldLease, OwnerIncarnation};
use crankpick_registry::{
    Changes, Cursor, GatewayTotal, Heartbeat, HeartbeatState, LoadedModel, ProcessId, Registry,
    RegistrySettings,
};
use crankpick_test_support::Fixtures;
use serde::de::DeserializeOwned;
use serde::Serialize;

fn fixtures() -> Fixtures {
    Fixtures::of(env!("CARGO_MANIFEST_DIR"))
}

async fn check_frame<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, message: &T) {
    let written = encode(message).unwrap();
    let frame = fixtures().assert_hex(name, &written);
    let read = FrameReader::new(&frame[..]).next::<T>().await.unwrap().unwrap();
    assert_eq!(&read, message, "{name}");
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], 7500))
}

fn gateway() -> GatewayIdentity {
    GatewayIdentity { node: "gateway-1".into(), incarnation: 0x0123_4567_89ab_cdef, zone: "zone-a".into() }
}

fn configuration() -> ConfigurationVersion {
    ConfigurationVersion { position: 41, generation: 42 }
}

fn claim() -> HeldLease {
    HeldLease {
        token: 3,
        number: 4,
        rate: 5.5,
        burst: 6.25,
        debt: 7.125,
        remaining: Duration::new(2, 500_000_000),
    }
}

fn demand(held_lease: Option<HeldLease>) -> Demand {
    Demand { rate: 1.5, need: 2.5, level: -3.5, returned: 4.5, held_lease }
}

fn grant(source: GrantSource) -> Grant {
    Grant {
        source,
        token: 11,
        owner: OwnerIncarnation { token: 12, nonce: 13 },
        number: 14,
        rate: 15.5,
        burst: 16.5,
        debt: 17.5,
        credit: 18.5,
        valid_for: Duration::from_millis(4_750),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        service: "chat".into(),
        address: address(4),
        zone: "zone-d".into(),
        generation: "v5".into(),
        slots: 6,
        state: HeartbeatState::Draining,
        cold_left_ms: 700,
        stage: "decode".into(),
        models: vec![LoadedModel { name: "model".into(), generation: 2, loras: vec!["adapter".into()] }],
        seq: 8,
    }
}

fn changes() -> Changes {
    let now = Duration::from_secs(1);
    let settings = RegistrySettings::new(Duration::from_secs(1));
    let mut registry = Registry::new(Duration::ZERO, ProcessId(9), settings);
    registry.heartbeat(now, "backend-1", heartbeat()).unwrap();
    let mut changes = registry.changes_since(now, None);
    // Not sent: the reader sets it by its own clock.
    changes.records[0].warm_at = Duration::ZERO;
    changes
}

#[tokio::test]
async fn greetings_of_each_caller_keep_their_bytes() {
    check_frame("hello-peer.hex", &Handshake::new(Caller::Peer { address: address(1) })).await;
    let six = Caller::Peer { address: "[fd00::1]:7500".parse().unwrap() };
    check_frame("hello-peer-ipv6.hex", &Handshake::new(six)).await;
    let reader = Handshake::new(Caller::DepartureReader { address: address(1) });
    check_frame("hello-departure-reader.hex", &reader).await;
    check_frame("hello-gateway.hex", &Handshake::new(Caller::Gateway(gateway()))).await;
    check_frame("hello-observer.hex", &Handshake::new(Caller::Observer)).await;
}

#[tokio::test]
async fn reports_keep_their_bytes() {
    let full = GatewayReport {
        number: 7,
        configuration: Some(configuration()),
        cursor: Some(Cursor { incarnation: ProcessId(8), number: 9 }),
        demands: vec![
            TenantDemand { tenant: "with-claim".into(), demand: demand(Some(claim())) },
            TenantDemand { tenant: "without".into(), demand: demand(None) },
        ],
        accepts_compressed: true,
    };
    check_frame("report-full.hex", &full).await;
    let empty = GatewayReport {
        number: 0,
        configuration: None,
        cursor: None,
        demands: Vec::new(),
        accepts_compressed: false,
    };
    check_frame("report-empty.hex", &empty).await;
}

#[tokio::test]
async fn updates_keep_their_bytes() {
    let full = HomeUpdate {
        home: ProcessId(21),
        answers: Some(22),
        freshness_ms: Some(23),
        members: vec![
            ControlPlaneMember { address: address(2), zone: "zone-b".into() },
            ControlPlaneMember { address: address(3), zone: "zone-c".into() },
        ],
        configuration: Some(ConfigurationUpdate {
            version: configuration(),
            document: br#"{"generation":42}"#.to_vec(),
        }),
        changes: Some(changes()),
        gateways: GatewayTotal { count: 24, states_absence: true },
        grants: vec![
            TenantGrant { tenant: "owned".into(), grant: grant(GrantSource::OWNER) },
            TenantGrant { tenant: "leased".into(), grant: grant(GrantSource::home(25)) },
        ],
    };
    check_frame("update-full.hex", &full).await;
    let empty = HomeUpdate {
        home: ProcessId(0),
        answers: None,
        freshness_ms: None,
        members: Vec::new(),
        configuration: None,
        changes: None,
        gateways: GatewayTotal { count: 0, states_absence: false },
        grants: Vec::new(),
    };
    check_frame("update-empty.hex", &empty).await;
}

/// Compressed bytes may differ from build to build: they are read, not compared.
#[test]
fn a_compressed_document_of_an_earlier_build_is_read() {
    let document = br#"{"generation":42,"routes":[],"services":[],"again":{"routes":[],"services":[]}}"#;
    let compressed = fixtures().hex("document-compressed.hex", &compress(document));
    assert_eq!(*decompress(&compressed).unwrap(), document[..]);
}
