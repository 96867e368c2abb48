//! Checks the serialized form of the old fleet's frames and stored values against recorded bytes.
//!
//! Both are encoded with `postcard`, which identifies fields and variants by their order, not by their names.
//! Moving a field or variant breaks upgrades and this test. After an intended change, `BLESS_FIXTURES=1`
//! records the bytes anew.

use std::collections::{BTreeMap, BTreeSet};

use crankpick_carry::frames::{encode, read};
use crankpick_fleet::messages::{
    Ask, MemberStatus, Message, ProcessId, Publication, Renewal, Renewed, Seat, Status, Told, WorkContext,
};
use crankpick_fleet::observation::{
    BackendSummary, BackendView, FleetView, Objection, ProxyReport, Quantized, View,
};
use crankpick_fleet::state::{Command, CurrentSession, Duty, Fleet, Outcome};
use crankpick_fleet::work::{
    Bounds, DepartedProxy, Machine, MachineKind, Order, Plan, Say, SendPolicy, Stage, Step, Work,
};
use crankpick_test_support::Fixtures;

fn who() -> ProcessId {
    ProcessId { name: "n1".into(), incarnation: 0x1234_5678_9abc }
}

fn terms() -> SendPolicy {
    SendPolicy { drains: true, waits: false, longest_us: 2_500_000 }
}

fn publication() -> Publication {
    Publication {
        token: 7,
        version: 19,
        outs: BTreeSet::from(["s-1".into(), "s-2".into()]),
        owner: "n1".into(),
    }
}

fn bounds() -> Bounds {
    Bounds {
        most_out: 5,
        most_out_zone: 4,
        most_out_cell: 3,
        most_cold: 2,
        least_spare: 1.25,
        most_rejected: 0.5,
        most_silent: 0.75,
        quiet: vec![(60, 120), (1_380, 1_440)],
        hang_us: 11,
        work_us: 12,
        warm_us: 13,
        calm_us: 14,
        last_of_cell: true,
    }
}

/// A plan with one machine at each stage.
fn plan() -> Plan {
    let stages = [
        Stage::Proposed,
        Stage::Agreed,
        Stage::Leaving,
        Stage::Out,
        Stage::Beginning,
        Stage::Working,
        Stage::Failed,
        Stage::Mended,
        Stage::Back,
        Stage::Warm,
        Stage::Done,
        Stage::Cancelled,
    ];
    let machine = |index: usize, stage| Machine {
        is: if index.is_multiple_of(2) { MachineKind::Backend } else { MachineKind::Proxy },
        zone: "a".into(),
        cell: 3,
        votes: index == 1,
        stage,
        why: "kernel".into(),
        version: 20,
        revision: 21,
        wall_us: 22,
        put_back: 1,
    };
    let machines =
        stages.into_iter().enumerate().map(|(index, stage)| (format!("m-{index:02}"), machine(index, stage)));
    Plan {
        why: "kernel".into(),
        bounds: bounds(),
        maintenance: Some("127.0.0.1:9999".into()),
        paused: true,
        cancelled: false,
        waits: "for m-01".into(),
        number: 4,
        machines: machines.collect(),
    }
}

/// The number of plans added so far is private and stays at its default.
fn work() -> Work {
    let mut work = Work::default();
    work.revision = 23;
    work.plans.insert("p".into(), plan());
    work
}

fn sight() -> FleetView {
    let summed = BackendSummary { zone: "a".into(), cell: 3, load: 1.5, max: 8.25, by: 5, lost_by: 1 };
    FleetView {
        backends: BTreeMap::from([("s-1".into(), summed)]),
        proxies: 9,
        in_touch: 8,
        told: 7,
        queries: 1_000.5,
        rejected: 0.25,
        silent: vec!["n9".into()],
        ..FleetView::default()
    }
}

fn step() -> Step {
    Step {
        token: 7,
        plan: "p".into(),
        machine: "m-01".into(),
        from: Stage::Agreed,
        to: Stage::Leaving,
        revision: 21,
        why: "next".into(),
        wall_us: 22,
    }
}

fn orders() -> Vec<Order> {
    let say = |say| Order::Say { name: "p".into(), say };
    vec![
        Order::Add { name: "p".into(), plan: Box::new(plan()) },
        say(Say::Pause),
        say(Say::Resume),
        say(Say::Cancel),
        Order::Ended { machine: "m-01".into(), well: true },
        Order::Forget { name: "n9".into() },
    ]
}

fn commands() -> Vec<(String, Command)> {
    let mut commands = vec![
        ("join".into(), Command::Join(vec![(who(), terms())])),
        ("leave".into(), Command::Leave(vec![(who(), true)])),
        ("grant".into(), Command::Grant { duty: "outs".into(), token: 8, to: who() }),
        ("release".into(), Command::Release { duty: "outs".into(), token: 8 }),
        ("outs".into(), Command::Outs { id: 1 << 100, out: true, ids: vec!["s-1".into()] }),
        ("steps".into(), Command::Steps(vec![step()])),
        ("waits".into(), Command::Waits { token: 8, plan: "p".into(), why: "m-01".into() }),
    ];
    for (index, order) in orders().into_iter().enumerate() {
        commands.push((format!("work-{index}"), Command::Work { id: 5, order }));
    }
    commands
}

fn outcomes() -> [Outcome; 5] {
    [
        Outcome::Version(20),
        Outcome::Granted,
        Outcome::Nothing,
        Outcome::Refused("no".into()),
        Outcome::Stepped(vec![None, Some("no".into())]),
    ]
}

fn renewal() -> Renewal {
    let sees = BackendView {
        zone: "a".into(),
        cell: 3,
        load: Quantized::of(2.0),
        max: Quantized::of(9.0),
        lost: true,
    };
    let view = View {
        backends: BTreeMap::from([("s-1".into(), sees)]),
        queries: Quantized::of(100.0),
        rejected: Quantized::of(1.0),
    };
    let objection = Objection { machine: "s-1".into(), why: "strained".into(), for_us: 31 };
    let seen = ProxyReport {
        revision: 23,
        objections: vec![objection],
        busy: BTreeSet::from(["s-2".into()]),
        drained: true,
        view: Some(view),
    };
    Renewal {
        who: who(),
        sent_us: 41,
        willing: true,
        writable: false,
        voter: true,
        taken_token: 7,
        taken: 18,
        acted: 17,
        heard: 19,
        kept: 16,
        terms: terms(),
        seen,
        work: Some(23),
    }
}

fn renewed() -> Renewed {
    Renewed {
        who: who(),
        sent_us: 41,
        superseded: false,
        duties: vec![("outs".into(), 7)],
        version: 19,
        tokens: vec![("outs".into(), 7), ("work".into(), 8)],
        outs: Some(BTreeSet::from(["s-1".into()])),
        leader: "n2".into(),
        next: Some((23, vec!["s-3".into()])),
        drained: true,
        work: Some(Box::new(WorkContext { revision: 23, work: Some(work()), sight: sight() })),
    }
}

fn status() -> Status {
    let member = MemberStatus {
        name: "n1".into(),
        incarnation: "1234".into(),
        voter: true,
        writable: true,
        willing: false,
        token: 7,
        taken: 18,
        acted: 17,
        silent_us: 51,
    };
    Status {
        leader: "n2".into(),
        term: 3,
        version: 19,
        outs: BTreeSet::from(["s-1".into()]),
        duties: BTreeMap::from([("outs".into(), (Some("n1".into()), 7))]),
        members: vec![member],
        unheard: vec!["n3".into()],
        absent: vec![DepartedProxy { who: who(), terms: terms(), parted: true }],
    }
}

fn messages() -> Vec<(String, Message)> {
    let (call, duty) = (61, "outs".to_owned());
    let ask = |ask| Message::Ask { who: who(), call, ask };
    let told = |told| Message::Told { who: who(), call, told };
    let mut messages = vec![
        ("hello".into(), Message::Hello { fleet: "f".into(), who: who(), voter: true }),
        ("beat".into(), Message::Beat),
        (
            "seat".into(),
            Message::Seat(Seat { id: 9, roster: Some(BTreeMap::from([("n1".into(), 9)])), started: true }),
        ),
        ("agree".into(), Message::Agree(vec![0, 1, 0xff])),
        ("renew".into(), Message::Renew(renewal())),
        ("renewed".into(), Message::Renewed(renewed())),
        ("nudge".into(), Message::Nudge(who())),
        ("release".into(), Message::Release { duty: duty.clone(), token: 7, who: who() }),
        ("ask-status".into(), ask(Ask::Status)),
        ("ask-work".into(), ask(Ask::Work)),
        ("told-status".into(), told(Told::Status(Box::new(status())))),
        ("told-work".into(), told(Told::Work(Box::new((work(), sight()))))),
        ("told-not-now".into(), told(Told::NotNow("nobody leads".into()))),
        ("publish".into(), Message::Publish { publication: publication(), passed: true }),
        ("stale".into(), Message::Stale { duty, token: 7, seen: 8 }),
        ("away".into(), Message::Away),
        ("part".into(), Message::Part(who())),
    ];
    messages.extend(
        commands().into_iter().map(|(name, command)| (format!("ask-{name}"), ask(Ask::Command(command)))),
    );
    for (index, outcome) in outcomes().into_iter().enumerate() {
        messages.push((format!("told-outcome-{index}"), told(Told::Done(outcome))));
    }
    messages
}

/// Fails to compile when a variant is added, which needs a sample above.
fn variant(message: &Message) -> usize {
    match message {
        Message::Hello { .. } => 0,
        Message::Beat => 1,
        Message::Seat(_) => 2,
        Message::Agree(_) => 3,
        Message::Renew(_) => 4,
        Message::Renewed(_) => 5,
        Message::Nudge(_) => 6,
        Message::Release { .. } => 7,
        Message::Ask { .. } => 8,
        Message::Told { .. } => 9,
        Message::Publish { .. } => 10,
        Message::Stale { .. } => 11,
        Message::Away => 12,
        Message::Part(_) => 13,
    }
}

fn fixtures() -> Fixtures {
    Fixtures::of(env!("CARGO_MANIFEST_DIR"))
}

#[tokio::test]
async fn every_word_keeps_its_frame() {
    let messages = messages();
    let variants: BTreeSet<usize> = messages.iter().map(|(_, message)| variant(message)).collect();
    assert_eq!(variants, (0..14).collect(), "each variant has a sample");
    let encoded: Vec<_> = messages
        .iter()
        .map(|(name, message)| (name.clone(), encode(message).expect("short enough")))
        .collect();
    let recorded = fixtures().assert_hex_lines("words.hex", &encoded);
    for (recorded, (name, message)) in recorded.iter().zip(&messages) {
        let decoded = read(&mut &recorded[..], &mut Vec::new()).await.expect("a recorded frame is read");
        assert_eq!(&decoded, message, "{name}: read as another value");
    }
}

/// The values that the store holds beside the Raft log, and the state contained in its snapshots.
#[test]
fn stored_values_keep_their_form() {
    let mut fleet = Fleet::with_voters(BTreeMap::from([("n1".into(), 9), ("n2".into(), 10)]));
    fleet.sessions.insert("n1".into(), CurrentSession { incarnation: 5, terms: terms() });
    fleet.absent.insert("n9".into(), DepartedProxy { who: who(), terms: terms(), parted: false });
    fleet.duties.insert("outs".into(), Duty { owner: Some(who()), token: 7 });
    fleet.outs.insert("s-1".into());
    fleet.work = work();
    fleet.version = 19;
    let roster = fleet.seats.clone();
    let encoded = vec![
        ("taken".to_owned(), postcard::to_stdvec(&publication()).unwrap()),
        ("roster".to_owned(), postcard::to_stdvec(&roster).unwrap()),
        ("fleet".to_owned(), postcard::to_stdvec(&fleet).unwrap()),
    ];
    let recorded = fixtures().assert_hex_lines("stored.hex", &encoded);
    assert_eq!(postcard::from_bytes::<Publication>(&recorded[0]).unwrap(), publication());
    assert_eq!(postcard::from_bytes::<BTreeMap<String, u64>>(&recorded[1]).unwrap(), roster);
    assert_eq!(postcard::from_bytes::<Fleet>(&recorded[2]).unwrap(), fleet);
}
