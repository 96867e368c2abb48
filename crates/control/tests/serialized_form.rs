//! The serialized form of messages and records must not change, so that files and
//! processes of the previous version can read them.
//!
//! Each line of a fixture file is a name and the bytes in hex, written by the code of the first commit of
//! this test. To add a line for a new variant, run with `BLESS_FIXTURES=1` and review the difference before
//! committing it.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use crankpick_control::{
    Accept, Append, Ballot, Body, CatchUp, CaughtUp, Command, Commit, Echo, Entry, EntryHeader, EntryId,
    Forward, ForwardAnswer, Heartbeat, Hello, Install, Member, MemberId, Message, Nack, Outcome, Prepare,
    Promise, Rank, Record, RecordBody, Sender, Snapshot, StateTransfer, View,
};
use crankpick_test_support::Fixtures;
use serde::{de::DeserializeOwned, Serialize};

/// One value of each variant, with the name of its line in the fixture file.
type Samples<T> = Vec<(&'static str, T)>;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7000 + u16::from(last)))
}

fn member(number: u8, durable: bool) -> Member {
    Member {
        id: MemberId(0x0102_0304_0506_0700 + u64::from(number)),
        address: address(number),
        zone: format!("zone-{number}"),
        durable,
    }
}

fn entry_id(epoch: u64, position: u64) -> EntryId {
    EntryId { epoch, position }
}

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, proposer: MemberId(0xa1a2), incarnation: 0xb1b2_b3b4_b5b6_b7b8 }
}

fn view(epoch: u64) -> View {
    View {
        epoch,
        members: vec![member(1, true), member(2, true), member(3, false)],
        chain: vec![member(2, true).id, member(1, true).id],
        start: entry_id(3, 17),
    }
}

fn command() -> Arc<Command> {
    Arc::new(Command {
        if_match: 41,
        generation: 42,
        digest: 0x1122_3344 << 90,
        bytes: vec![0, 1, 0x7f, 0xff],
    })
}

fn entry() -> Arc<Entry> {
    Arc::new(Entry { id: entry_id(4, 18), command: command() })
}

fn header() -> EntryHeader {
    EntryHeader { id: entry_id(4, 18), if_match: 41, generation: 42, digest: 0x1122_3344 << 90 }
}

fn transfer() -> StateTransfer {
    StateTransfer {
        complete: 4,
        since: Some(entry_id(3, 17)),
        headers: vec![header(), EntryHeader { id: entry_id(4, 19), if_match: 42, generation: 43, digest: 7 }],
        newest: Some(entry()),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        sent: Echo { incarnation: 71, sent: 72 },
        echo: Some(Echo { incarnation: 73, sent: 74 }),
        epoch: 5,
        accepted: true,
        sealed: false,
        matched: true,
        opened: false,
        last: entry_id(4, 19),
        committed: entry_id(4, 18),
        disk_healthy: true,
        shutting_down: false,
        unreachable: 0b101,
        committed_bytes: 4096,
    }
}

fn outcomes() -> Samples<Outcome> {
    let samples = vec![
        ("Taken", Outcome::Committed),
        ("Conflict", Outcome::Conflict { current: 42 }),
        ("Invalid", Outcome::Invalid { current: 43 }),
        ("Unclear", Outcome::Unknown),
    ];
    for (_, outcome) in &samples {
        // Fails to compile when a variant is added, which then needs a sample above.
        match outcome {
            Outcome::Committed | Outcome::Conflict { .. } | Outcome::Invalid { .. } | Outcome::Unknown => {}
        }
    }
    samples
}

fn record_bodies() -> Samples<RecordBody> {
    let snapshot = Snapshot {
        id: MemberId(9),
        bootstrap: vec![address(1), address(2)],
        view: view(5),
        promised: Some(ballot(6)),
        accepted: Some((ballot(5), view(6))),
        matched: true,
        complete: 4,
        committed: entry_id(4, 18),
        headers: vec![header()],
        entries: vec![entry()],
    };
    let bare_snapshot = Snapshot {
        id: MemberId(9),
        bootstrap: Vec::new(),
        view: View::default(),
        promised: None,
        accepted: None,
        matched: false,
        complete: 0,
        committed: EntryId::default(),
        headers: Vec::new(),
        entries: Vec::new(),
    };
    vec![
        ("Identity", RecordBody::Identity { id: MemberId(9), bootstrap: vec![address(1), address(2)] }),
        ("Promised", RecordBody::Promised { epoch: 5, ballot: ballot(6) }),
        ("Accepted", RecordBody::Accepted { epoch: 5, ballot: ballot(6), next: Box::new(view(6)) }),
        ("Entered", RecordBody::Entered(Box::new(view(5)))),
        ("Installed", RecordBody::Installed { epoch: 5, ballot: ballot(6), transfer: transfer() }),
        ("Appended", RecordBody::Appended { entry: entry() }),
        ("Committed", RecordBody::Committed(entry_id(4, 18))),
        ("Snapshot", RecordBody::Snapshot(Box::new(snapshot))),
        ("Snapshot-bare", RecordBody::Snapshot(Box::new(bare_snapshot))),
        ("CaughtUp", RecordBody::CaughtUp { transfer: transfer() }),
        ("MachineGone", RecordBody::MachineGone { address: address(4) }),
    ]
}

/// The number of the variant. Fails to compile when a variant is added, which then needs a sample.
fn record_variant(body: &RecordBody) -> usize {
    match body {
        RecordBody::Identity { .. } => 0,
        RecordBody::Promised { .. } => 1,
        RecordBody::Accepted { .. } => 2,
        RecordBody::Entered(_) => 3,
        RecordBody::Installed { .. } => 4,
        RecordBody::Appended { .. } => 5,
        RecordBody::Committed(_) => 6,
        RecordBody::Snapshot(_) => 7,
        RecordBody::CaughtUp { .. } => 8,
        RecordBody::MachineGone { .. } => 9,
    }
}

fn message_bodies() -> Samples<Body> {
    let promise = Promise {
        ballot: ballot(6),
        zone: "zone-1".to_owned(),
        rank: Rank { complete: 4, last: entry_id(4, 19) },
        accepted: Some((ballot(5), view(6))),
        state: Some(transfer()),
    };
    let bare_promise = Promise { accepted: None, state: None, ..promise.clone() };
    let install = Install { ballot: ballot(6), view: view(5), transfer: transfer() };
    let forward_answer = |outcome| Body::ForwardAnswer(ForwardAnswer { epoch: 5, key: 61, outcome });
    let mut samples = vec![
        ("Hello", Body::Hello(Hello { member: member(1, true), bootstrap: true, epoch: 5 })),
        ("Join", Body::Join(member(3, false))),
        ("Heartbeat", Body::Heartbeat(heartbeat())),
        ("Heartbeat-first", Body::Heartbeat(Heartbeat { echo: None, ..heartbeat() })),
        (
            "Prepare",
            Body::Prepare(Prepare {
                ballot: ballot(6),
                view: view(5),
                rank: Rank { complete: 4, last: entry_id(4, 19) },
            }),
        ),
        ("Promise", Body::Promise(Box::new(promise))),
        ("Promise-bare", Body::Promise(Box::new(bare_promise))),
        ("Install", Body::Install(Box::new(install))),
        ("Installed", Body::Installed(ballot(6))),
        ("Accept", Body::Accept(Box::new(Accept { ballot: ballot(6), view: view(5), next: view(6) }))),
        ("Accepted", Body::Accepted(ballot(6))),
        ("Nack", Body::Nack(Nack { refused: ballot(6), promised: ballot(7) })),
        ("Decide", Body::Decide(Box::new(view(6)))),
        ("Append", Body::Append(Append { epoch: 5, entry: entry(), committed: entry_id(3, 17) })),
        ("Commit", Body::Commit(Commit { epoch: 5, committed: entry_id(4, 18) })),
        ("Fetch", Body::Fetch),
        ("Learn", Body::Learn(entry())),
        ("Forward", Body::Forward(Forward { epoch: 5, key: 61, command: command() })),
        ("CatchUp", Body::CatchUp(CatchUp { epoch: 5, last: entry_id(4, 19), known: entry_id(4, 18) })),
        ("CaughtUp", Body::CaughtUp(Box::new(CaughtUp { epoch: 5, transfer: transfer() }))),
        (
            "CaughtUp-empty",
            Body::CaughtUp(Box::new(CaughtUp { epoch: 5, transfer: StateTransfer::default() })),
        ),
    ];
    let answers =
        ["ForwardAnswer-Taken", "ForwardAnswer-Conflict", "ForwardAnswer-Invalid", "ForwardAnswer-Unclear"];
    for (name, (_, outcome)) in answers.into_iter().zip(outcomes()) {
        samples.push((name, forward_answer(outcome)));
    }
    samples
}

/// The number of the variant. Fails to compile when a variant is added, which then needs a sample.
fn message_variant(body: &Body) -> usize {
    match body {
        Body::Hello(_) => 0,
        Body::Join(_) => 1,
        Body::Heartbeat(_) => 2,
        Body::Prepare(_) => 3,
        Body::Promise(_) => 4,
        Body::Install(_) => 5,
        Body::Installed(_) => 6,
        Body::Accept(_) => 7,
        Body::Accepted(_) => 8,
        Body::Nack(_) => 9,
        Body::Decide(_) => 10,
        Body::Append(_) => 11,
        Body::Commit(_) => 12,
        Body::Fetch => 13,
        Body::Learn(_) => 14,
        Body::Forward(_) => 15,
        Body::ForwardAnswer(_) => 16,
        Body::CatchUp(_) => 17,
        Body::CaughtUp(_) => 18,
    }
}

/// Checks that each line decodes to the sample of its name, that each sample encodes to its line, and that
/// none is missing.
fn check<T>(file: &str, samples: Samples<T>)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let encode = |value: &T| rmp_serde::to_vec(value).expect("samples can be encoded");
    let written: Vec<(String, Vec<u8>)> =
        samples.iter().map(|(name, value)| ((*name).to_owned(), encode(value))).collect();
    let recorded = Fixtures::of(env!("CARGO_MANIFEST_DIR")).assert_hex_lines(file, &written);
    for (bytes, (name, value)) in recorded.iter().zip(&samples) {
        let decoded: T = rmp_serde::from_slice(bytes)
            .unwrap_or_else(|error| panic!("{file}: {name} can no longer be decoded: {error}"));
        assert_eq!(&decoded, value, "{file}: {name} is decoded as another value");
    }
}

fn assert_all_sampled(variants: impl Iterator<Item = usize>, count: usize) {
    let sampled: std::collections::BTreeSet<usize> = variants.collect();
    assert_eq!(sampled, (0..count).collect(), "each variant has a sample");
}

#[test]
fn records_keep_their_stored_bytes() {
    let bodies = record_bodies();
    assert_all_sampled(bodies.iter().map(|(_, body)| record_variant(body)), 10);
    let records = bodies.into_iter().zip(101..);
    check("records.hex", records.map(|((name, body), number)| (name, Record { number, body })).collect());
}

#[test]
fn messages_keep_their_bytes() {
    let bodies = message_bodies();
    assert_all_sampled(bodies.iter().map(|(_, body)| message_variant(body)), 19);
    let sender = Sender { id: MemberId(0xc1c2), address: address(1) };
    let mut targets = [Some(MemberId(0xd1d2)), None].into_iter().cycle();
    let messages = bodies.into_iter().map(|(name, body)| {
        let target = targets.next().flatten();
        (name, Message { sender, target, body })
    });
    check("messages.hex", messages.collect());
}

#[test]
fn outcomes_keep_their_bytes() {
    check("outcomes.hex", outcomes());
}

#[test]
fn records_are_stored_as_the_fixtures_are() {
    for (name, body) in record_bodies() {
        let record = Record { number: 7, body };
        let bytes = record.encode().expect("samples can be encoded");
        assert_eq!(bytes, rmp_serde::to_vec(&record).expect("samples can be encoded"), "{name}");
        assert_eq!(Record::decode(&bytes).expect("what was encoded can be decoded"), record, "{name}");
    }
}

/// Members and heartbeats written before a field was added are decoded with the default value of the field.
#[test]
fn values_written_before_a_field_was_added_are_read() {
    #[derive(Serialize)]
    struct OldMember(MemberId, SocketAddr, String);
    let old = OldMember(MemberId(5), address(5), "zone-5".to_owned());
    let read: Member = rmp_serde::from_slice(&rmp_serde::to_vec(&old).expect("encodes")).expect("decodes");
    assert_eq!(
        read,
        Member { id: MemberId(5), address: address(5), zone: "zone-5".to_owned(), durable: true }
    );
}
