//! Restart of a replica from records that the chain did not write, and handling of late answers and duplicate
//! identities.

mod simulation;

use std::sync::Arc;

use crankpick_control::{
    Ballot, Body, CaughtUp, Echo, Entry, EntryId, Heartbeat, Input, Member, MemberId, Message, Options,
    Output, Record, RecordBody, Replica, Sender, StateTransfer, Timing, View, ViolationKind,
};
use simulation::{address, command, ms};

const HEAD: MemberId = MemberId(1);
const MIDDLE: MemberId = MemberId(2);
const TAIL: MemberId = MemberId(3);

fn member(id: MemberId) -> Member {
    Member { id, address: address(id.0 as usize), zone: format!("z{}", id.0), durable: true }
}

/// Five voters, of which three hold the state.
fn view() -> View {
    let members = (1..=5).map(|id| member(MemberId(id))).collect();
    View { epoch: 1, members, chain: vec![HEAD, MIDDLE, TAIL], start: EntryId::default() }
}

fn options(id: MemberId) -> Options {
    Options {
        address: member(id).address,
        zone: member(id).zone,
        seeds: Vec::new(),
        bootstrap: false,
        durable: true,
        tolerate_nodes: 2,
        tolerate_zones: 0,
        entropy: 7,
        timing: Timing::default(),
    }
}

fn record(number: u64, body: RecordBody) -> Record {
    Record { number, body }
}

/// Records of a tail that received an entry, synced only by the head, through a proposal that was abandoned.
fn records_of_the_tail() -> Vec<Record> {
    let entry = Arc::new(Entry { id: EntryId { epoch: 1, position: 1 }, command: command(0, 5, 1) });
    let since = Some(EntryId::default());
    let transfer = StateTransfer { complete: 1, since, headers: vec![entry.header()], newest: Some(entry) };
    let ballot = Ballot { counter: 1, proposer: MemberId(4), incarnation: 9 };
    vec![
        record(1, RecordBody::Identity { id: TAIL, bootstrap: Vec::new() }),
        record(2, RecordBody::Entered(Box::new(view()))),
        record(3, RecordBody::Installed { epoch: 1, ballot, transfer }),
    ]
}

/// A heartbeat in which the predecessor reports that it and the head hold the start state of the view.
fn predecessor_is_open() -> Input {
    let heartbeat = Heartbeat {
        sent: Echo { incarnation: 1, sent: 1 },
        echo: None,
        epoch: 1,
        accepted: false,
        sealed: false,
        matched: true,
        opened: true,
        last: EntryId::default(),
        committed: EntryId::default(),
        disk_healthy: true,
        shutting_down: false,
        unreachable: 0,
        committed_bytes: 0,
    };
    let sender = Sender { id: MIDDLE, address: member(MIDDLE).address };
    Input::Message(Message { sender, target: Some(TAIL), body: Body::Heartbeat(heartbeat) })
}

fn commits(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| match output {
        Output::Committed(_) => true,
        Output::Send { message, .. } => matches!(message.body, Body::Commit(_)),
        _ => false,
    })
}

/// Only two of five disks hold the entry, and two losses are to be tolerated.
#[test]
fn a_tail_commits_nothing_that_a_proposal_installed() {
    let mut outputs = Vec::new();
    let mut tail = Replica::restore(ms(1), options(TAIL), records_of_the_tail(), &mut outputs);
    tail.handle(ms(10), predecessor_is_open(), &mut outputs);
    assert!(!commits(&outputs), "{outputs:#?}");
}

/// The same, with a file rewrite in between.
#[test]
fn a_tail_restored_from_a_snapshot_commits_nothing_that_a_proposal_installed() {
    let before = Replica::restore(ms(1), options(TAIL), records_of_the_tail(), &mut Vec::new());
    let mut outputs = Vec::new();
    let mut tail = Replica::restore(ms(1), options(TAIL), before.snapshot_records(), &mut outputs);
    tail.handle(ms(10), predecessor_is_open(), &mut outputs);
    assert!(!commits(&outputs), "{outputs:#?}");
}

const STANDBY: MemberId = MemberId(4);

/// The first entries of view 1.
fn entries(count: u64) -> Vec<Arc<Entry>> {
    let entry =
        |position| Entry { id: EntryId { epoch: 1, position }, command: command(position - 1, position, 1) };
    (1..=count).map(|position| Arc::new(entry(position))).collect()
}

fn caught_up(count: u64) -> Input {
    let entries = entries(count);
    let headers = entries.iter().map(|entry| entry.header()).collect();
    let newest = entries.last().cloned();
    let transfer = StateTransfer { complete: 0, since: Some(EntryId::default()), headers, newest };
    let body = Body::CaughtUp(Box::new(CaughtUp { epoch: 1, transfer }));
    let sender = Sender { id: HEAD, address: member(HEAD).address };
    Input::Message(Message { sender, target: Some(STANDBY), body })
}

/// A replica outside the chain keeps the entries it has caught up with when an earlier answer arrives late.
#[test]
fn a_late_answer_does_not_discard_newer_entries() {
    let records = vec![
        record(1, RecordBody::Identity { id: STANDBY, bootstrap: Vec::new() }),
        record(2, RecordBody::Entered(Box::new(view()))),
    ];
    let mut outputs = Vec::new();
    let mut standby = Replica::restore(ms(1), options(STANDBY), records, &mut outputs);
    standby.handle(ms(10), caught_up(3), &mut outputs);
    standby.handle(ms(20), caught_up(2), &mut outputs);
    let RecordBody::Snapshot(snapshot) = standby.snapshot_records().remove(0).body else { unreachable!() };
    assert_eq!(snapshot.committed, EntryId { epoch: 1, position: 3 });
    assert_eq!(snapshot.headers.len(), 3);
    assert!(standby.violations().is_empty(), "{:?}", standby.violations());
}

/// Two processes with the same identity would mistake each other's messages for their own.
#[test]
fn another_process_with_the_same_identity_is_reported() {
    let records = vec![record(1, RecordBody::Identity { id: STANDBY, bootstrap: Vec::new() })];
    let mut outputs = Vec::new();
    let mut standby = Replica::restore(ms(1), options(STANDBY), records, &mut outputs);
    let sender = Sender { id: STANDBY, address: address(9) };
    let message = Message { sender, target: None, body: Body::Fetch };
    standby.handle(ms(10), Input::Message(message), &mut outputs);
    assert_eq!(standby.violations().get(&ViolationKind::SameIdentity), Some(&1));
}
