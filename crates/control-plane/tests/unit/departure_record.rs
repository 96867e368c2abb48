//! The encoding of the departures' records is stable, and what is restored from them is the newest word.

use crankpick_registry::{BackendDeparture, DepartureKind};
use crankpick_test_support::Fixtures;

use super::{DepartureRecord, StoredDepartures};
use crate::disk::StoredRecord;

fn departed(id: &str, kind: DepartureKind) -> DepartureRecord {
    DepartureRecord::Departed(BackendDeparture { id: id.to_owned(), kind })
}

#[test]
fn records_keep_their_encoding() {
    let records = [
        ("departure-draining", departed("i-7f3a91c2", DepartureKind::Draining)),
        ("departure-signed-off", departed("i-7f3a91c2", DepartureKind::SignedOff)),
        ("departure-complete", DepartureRecord::Complete { epoch: 71 }),
    ];
    for (name, record) in records {
        let encoded = record.encode().unwrap();
        let stored = Fixtures::of(env!("CARGO_MANIFEST_DIR")).assert_hex(&format!("{name}.hex"), &encoded);
        assert_eq!(DepartureRecord::decode(&stored).unwrap(), record, "{name}");
    }
}

#[test]
fn the_highest_complete_epoch_counts() {
    let records = vec![
        DepartureRecord::Complete { epoch: 4 },
        departed("i", DepartureKind::Draining),
        DepartureRecord::Complete { epoch: 6 },
        departed("i", DepartureKind::SignedOff),
    ];
    let stored = StoredDepartures::from_records(records);
    assert_eq!(stored.complete_epoch, Some(6));
    let kinds: Vec<DepartureKind> = stored.departures.iter().map(|departure| departure.kind).collect();
    assert_eq!(kinds, [DepartureKind::Draining, DepartureKind::SignedOff]);
    assert_eq!(StoredDepartures::from_records(Vec::new()).complete_epoch, None);
}
