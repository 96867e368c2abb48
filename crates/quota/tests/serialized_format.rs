//! The serialized form of every message of this crate, compared with recorded bytes.
//!
//! Gateways and control-plane processes of different builds exchange these messages, so a reordered field
//! breaks a rolling upgrade. Each test builds the value itself, expects the recorded bytes and decodes them
//! again. `BLESS_FIXTURES=1` records the bytes again after an intended change.

use std::fmt::Debug;
use std::time::Duration;

use crankpick_quota::{Demand, Grant, GrantSource, HeldLease, HolderId, OwnerIncarnation};
use crankpick_test_support::Fixtures;
use serde::de::DeserializeOwned;
use serde::Serialize;

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

/// Each field has a different value.
const OWNER_INCARNATION: OwnerIncarnation = OwnerIncarnation { token: 7 << 20, nonce: 0x1234_5678_9abc_def0 };
const HELD_LEASE: HeldLease = HeldLease {
    token: 7_340_033,
    number: 41,
    rate: 274.5,
    burst: 1_024.25,
    debt: 12.125,
    remaining: Duration::new(3, 250_000_000),
};
const DEMAND: Demand =
    Demand { rate: 310.5, need: 60_000.0, level: -4.75, returned: 2.5, held_lease: Some(HELD_LEASE) };
const GRANT: Grant = Grant {
    source: GrantSource(5),
    token: 7_340_034,
    owner: OWNER_INCARNATION,
    number: 42,
    rate: 275.5,
    burst: 1_025.25,
    debt: 13.125,
    credit: 600.5,
    valid_for: Duration::new(4, 750_000_000),
};

#[test]
fn identifiers_keep_their_form() {
    assert_message("holder-id", &HolderId(0x1234_5678_9abc_def0));
    assert_message("grant-source-owner", &GrantSource::OWNER);
    assert_message("grant-source-home", &GrantSource::home(5));
    assert_message("lineage", &OWNER_INCARNATION);
}

#[test]
fn demands_keep_their_form() {
    assert_message("claim", &HELD_LEASE);
    assert_message("demand", &DEMAND);
    assert_message("demand-without-claim", &Demand { held_lease: None, ..DEMAND });
    assert_message("demand-default", &Demand::default());
}

#[test]
fn grants_keep_their_form() {
    assert_message("grant", &GRANT);
    let nothing = Grant { rate: 0.0, burst: 0.0, debt: 0.0, credit: 0.0, valid_for: Duration::ZERO, ..GRANT };
    assert_message("grant-of-nothing", &nothing);
}
