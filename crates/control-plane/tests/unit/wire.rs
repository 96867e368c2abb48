//! The encoding of peer messages is stable: this build decodes messages of earlier builds and encodes the same bytes.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{Body, MemberId, Message, Sender};
use crankpick_protocol::{encode, FrameReader, TenantDemand, TenantGrant};
use crankpick_quota::{Demand, Grant, GrantSource, HeldLease, OwnerIncarnation};
use crankpick_registry::{
    Announcement, BackendDeparture, DepartureKind, Digest, GatewayId, GatewayRecord, Heartbeat,
    HeartbeatState, LoadedModel, ProcessId, Registry, RegistrySettings,
};
use crankpick_test_support::Fixtures;

use super::PeerMessage;

/// Compares the encoded message with the fixture, and the decoded fixture with the message.
async fn check_frame(name: &str, message: &PeerMessage) {
    let encoded = encode(message).unwrap();
    let frame = Fixtures::of(env!("CARGO_MANIFEST_DIR")).assert_hex(name, &encoded);
    let read = FrameReader::new(&frame[..]).next::<PeerMessage>().await.unwrap().unwrap();
    assert_eq!(format!("{read:?}"), format!("{message:?}"), "{name}");
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], 7500))
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        service: "chat".into(),
        address: address(4),
        zone: "zone-d".into(),
        generation: "v5".into(),
        slots: 6,
        state: HeartbeatState::Ready,
        cold_left_ms: 0,
        stage: "decode".into(),
        models: vec![LoadedModel { name: "model".into(), generation: 2, loras: vec!["adapter".into()] }],
        seq: 8,
    }
}

fn backends() -> Announcement {
    let settings = RegistrySettings::new(Duration::from_secs(1));
    let mut registry = Registry::new(Duration::ZERO, ProcessId(9), settings);
    let outcome = registry.heartbeat(Duration::from_secs(1), "backend-1", heartbeat()).unwrap();
    let mut announcement = outcome.announcement.unwrap();
    // Not encoded: the receiver sets it from its own clock.
    announcement.backends[0].warm_at = Duration::ZERO;
    announcement
}

fn gateways() -> Announcement {
    let gateway = GatewayRecord {
        id: GatewayId(31),
        node: "gateway-1".into(),
        zone: "zone-e".into(),
        home: ProcessId(32),
        seq: 33,
        live: true,
    };
    Announcement::of_gateways(ProcessId(34), vec![gateway])
}

fn demands() -> Vec<TenantDemand> {
    let held_lease = HeldLease {
        token: 3,
        number: 4,
        rate: 5.5,
        burst: 6.25,
        debt: 7.125,
        remaining: Duration::new(2, 500),
    };
    let demand = Demand { rate: 1.5, need: 2.5, level: -3.5, returned: 4.5, held_lease: Some(held_lease) };
    let without_held_lease = Demand { held_lease: None, ..demand };
    vec![
        TenantDemand { tenant: "with-claim".into(), demand },
        TenantDemand { tenant: "without".into(), demand: without_held_lease },
    ]
}

fn grants() -> Vec<TenantGrant> {
    let grant = Grant {
        source: GrantSource::OWNER,
        token: 11,
        owner: OwnerIncarnation { token: 12, nonce: 13 },
        number: 14,
        rate: 15.5,
        burst: 16.5,
        debt: 17.5,
        credit: 18.5,
        valid_for: Duration::from_millis(4_750),
    };
    vec![TenantGrant { tenant: "owned".into(), grant }]
}

fn departure_report() -> PeerMessage {
    let departures = vec![
        BackendDeparture { id: "backend-1".into(), kind: DepartureKind::Draining },
        BackendDeparture { id: "backend-2".into(), kind: DepartureKind::SignedOff },
    ];
    PeerMessage::DepartureReport { epoch: 61, sound: true, departures }
}

fn replica_message() -> Message {
    let sender = Sender { id: MemberId(41), address: address(5) };
    Message { sender, target: Some(MemberId(42)), body: Body::Fetch }
}

#[tokio::test]
async fn peer_messages_keep_their_encoding() {
    let presence = |peers, wants_full_state| PeerMessage::Presence {
        process: ProcessId(51),
        zone: "zone-f".into(),
        peers,
        wants_full_state,
    };
    let messages = [
        ("replica", PeerMessage::Replica(replica_message())),
        ("announce", PeerMessage::Announce { number: 52, announcements: vec![backends(), gateways()] }),
        ("announce-empty", PeerMessage::Announce { number: 0, announcements: Vec::new() }),
        ("announced", PeerMessage::AnnounceAcknowledged { number: 53 }),
        ("presence", presence(vec![address(6), "[fd00::1]:7500".parse().unwrap()], true)),
        ("presence-empty", presence(Vec::new(), false)),
        ("digest", PeerMessage::Digest(Digest { sums: vec![0, 1, u64::MAX] })),
        (
            "demands",
            PeerMessage::QuotaDemands { number: 54, home: ProcessId(55), epoch: 56, demands: demands() },
        ),
        ("grants", PeerMessage::QuotaGrants { number: 57, grants: grants() }),
        ("departure-query", PeerMessage::DepartureQuery),
        ("departure-report", departure_report()),
        ("relay", PeerMessage::Relay { to: vec![address(7), address(8)], announcements: vec![gateways()] }),
    ];
    for (name, message) in &messages {
        check_frame(&format!("peer-{name}.hex"), message).await;
    }
}
