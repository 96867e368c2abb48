//! When a machine counts as out, from the leader's and the proxy's point of view: messages and clocks alone.

use std::collections::BTreeSet;

use crankpick_fleet::leader::LeaderState;
use crankpick_fleet::lease::Timing;
use crankpick_fleet::messages::{ProcessId, Renewal, Renewed, WORK};
use crankpick_fleet::observation::ProxyReport;
use crankpick_fleet::session::Session;
use crankpick_fleet::state::{Command, Fleet, Outcome};
use crankpick_fleet::work::{Bounds, Machine, MachineKind, Order, Plan, SendPolicy, Stage, Step};

const LEASE: u64 = 1_000_000;
const LONGEST: u64 = 2_000_000;
const WAITS: SendPolicy = SendPolicy { drains: false, waits: true, longest_us: LONGEST };
const DRAINS: SendPolicy = SendPolicy { drains: true, ..WAITS };
const SERVES: SendPolicy = SendPolicy { waits: false, ..WAITS };

fn who(name: &str) -> ProcessId {
    ProcessId { name: name.into(), incarnation: 1 }
}

/// A fleet of these proxies in which machine "m", or proxy "n1", is leaving under version 1. The first
/// proxy owns the work duty.
fn leaving(is: MachineKind, proxies: &[(&str, SendPolicy)]) -> Fleet {
    let mut fleet = Fleet::default();
    let name = if is == MachineKind::Backend { "m" } else { "n1" };
    let joins = proxies.iter().map(|(name, terms)| (who(name), *terms)).collect();
    fleet.apply(Command::Join(joins));
    fleet.apply(Command::Grant { duty: WORK.into(), token: 1, to: who(proxies[0].0) });
    let plan = Plan {
        why: "x".into(),
        bounds: Bounds::default(),
        maintenance: None,
        paused: false,
        cancelled: false,
        waits: String::new(),
        number: 0,
        machines: [(name.to_owned(), Machine::new(is, "z", 0, false))].into(),
    };
    let order = Order::Add { name: "p".into(), plan: Box::new(plan) };
    fleet.apply(Command::Work { id: 1, order });
    for (from, to) in [(Stage::Proposed, Stage::Agreed), (Stage::Agreed, Stage::Leaving)] {
        let revision = fleet.work.plans["p"].machines[name].revision;
        let (plan, machine, why) = ("p".into(), name.into(), String::new());
        let step = Step { token: 1, plan, machine, from, to, revision, why, wall_us: 0 };
        assert_eq!(fleet.apply(Command::Steps(vec![step])), Outcome::Stepped(vec![None]));
    }
    fleet
}

fn renewal(name: &str, terms: SendPolicy, acted: u64, kept: u64, busy: &[&str]) -> Renewal {
    let busy = busy.iter().map(|id| (*id).to_owned()).collect();
    Renewal {
        who: who(name),
        sent_us: 0,
        willing: true,
        writable: true,
        voter: false,
        taken_token: 0,
        taken: acted,
        acted,
        heard: 0,
        kept,
        terms,
        seen: ProxyReport { busy, ..ProxyReport::default() },
        work: None,
    }
}

struct Waiting {
    leader: LeaderState<()>,
    fleet: Fleet,
    times: Timing,
}

impl Waiting {
    fn new(fleet: Fleet) -> Self {
        let mut waiting = Waiting { leader: LeaderState::new("v0", 1, 0), fleet, times: Timing::new(LEASE) };
        // The leader learns of the leaving machine at time 0.
        waiting.leader.fleet_view(0, &waiting.fleet, &waiting.times);
        waiting
    }

    fn receive(&mut self, at_us: u64, renewal: Renewal) {
        self.leader.record_renewal(at_us, renewal, ());
    }

    fn waits_for(&self, now_us: u64) -> Vec<String> {
        let (id, machine) = self.fleet.work.plans["p"].machines.first_key_value().expect("one");
        self.leader.waits(now_us, id, machine, &self.fleet, &self.times)
    }
}

#[test]
fn each_proxy_must_act_have_nothing_in_hand_and_be_unable_to_forget() {
    let mut waiting = Waiting::new(leaving(MachineKind::Backend, &[("a", WAITS), ("b", SERVES)]));
    assert_eq!(waiting.waits_for(60 * LEASE), ["a was not heard of", "b was not heard of"]);
    waiting.receive(1, renewal("a", WAITS, 0, 0, &[]));
    waiting.receive(1, renewal("b", SERVES, 1, 0, &["m"]));
    assert_eq!(waiting.waits_for(2), ["a has yet to act on version 1", "b has something in hand there"]);
    waiting.receive(3, renewal("a", WAITS, 1, 0, &["other"]));
    waiting.receive(3, renewal("b", SERVES, 1, 0, &[]));
    // This proxy would start from its own disk without asking, so a version that is not on its disk does not
    // count.
    assert_eq!(waiting.waits_for(4), ["b has yet to write version 1 to its disk"]);
    waiting.receive(5, renewal("b", SERVES, 1, 1, &[]));
    assert!(waiting.waits_for(6).is_empty());
    // Silent from now on: it cannot send to the machine any more, whatever happens to it.
    assert!(waiting.waits_for(90 * LEASE).is_empty());
    // The older process of an upgrade counts as long as it is heard from.
    let mut older = renewal("a", WAITS, 0, 0, &[]);
    older.who.incarnation = 0;
    waiting.receive(7, older);
    assert_eq!(waiting.waits_for(8), ["a has yet to act on version 1 (a.0)"]);
}

#[test]
fn who_drains_itself_is_shut_out_after_a_lease_and_its_longest_execution() {
    let mut waiting = Waiting::new(leaving(MachineKind::Backend, &[("a", DRAINS)]));
    waiting.receive(1, renewal("a", DRAINS, 0, 0, &[]));
    assert_eq!(waiting.waits_for(LEASE + LONGEST - 1).len(), 1);
    assert!(waiting.waits_for(LEASE + LONGEST).is_empty());
    // A proxy that is in contact and busy is waited for nevertheless.
    waiting.receive(2, renewal("a", DRAINS, 1, 1, &["m"]));
    assert_eq!(waiting.waits_for(9 * LEASE), ["a has something in hand there"]);
}

#[test]
fn who_left_is_reckoned_with_unless_it_can_not_send() {
    for (terms, parted, waits) in [
        (WAITS, true, ""),
        (WAITS, false, "a left without a word"),
        (SERVES, true, "a has ended, and may start and serve unheard"),
        (SERVES, false, "a left without a word"),
        (DRAINS, false, ""),
    ] {
        let mut fleet = leaving(MachineKind::Backend, &[("a", terms)]);
        fleet.apply(Command::Leave(vec![(who("a"), parted)]));
        let mut waiting = Waiting::new(fleet);
        let told = waiting.waits_for(LEASE + LONGEST);
        assert_eq!(told.join(""), waits, "{terms:?} {parted}");
        waiting.fleet.apply(Command::Work { id: 2, order: Order::Forget { name: "a".into() } });
        assert!(waiting.waits_for(LEASE + LONGEST).is_empty());
    }
}

#[test]
fn a_proxy_has_gone_once_it_owns_nothing_and_has_nothing_in_hand() {
    let mut waiting = Waiting::new(leaving(MachineKind::Proxy, &[("n1", WAITS)]));
    let mut report = renewal("n1", WAITS, 1, 1, &[]);
    report.seen.drained = true;
    waiting.receive(1, report);
    assert_eq!(waiting.waits_for(2), ["n1 has yet to hand over what it owns or leads"]);
    waiting.fleet.apply(Command::Release { duty: WORK.into(), token: 1 });
    assert!(waiting.waits_for(3).is_empty());
    waiting.receive(4, renewal("n1", WAITS, 1, 1, &[]));
    assert_eq!(waiting.waits_for(5), ["n1 has yet to answer what it has in hand"]);
}

fn answer(sent_us: u64, version: u64) -> Renewed {
    Renewed {
        who: who("a"),
        sent_us,
        superseded: false,
        duties: Vec::new(),
        version,
        tokens: Vec::new(),
        outs: None,
        leader: "v0".into(),
        next: None,
        drained: false,
        work: None,
    }
}

/// The permission counts from the sending of the renewal, less the margin, and is extended only by answers
/// whose version has been applied.
#[test]
fn the_right_to_send_ends_before_the_fleet_counts_on_it() {
    let times = Timing::new(LEASE);
    let mut session = Session::new(who("a"), times, None);
    session.terms = DRAINS;
    assert_eq!(session.send_until_us(), 0);
    session.handle_answer(900, answer(100, 0));
    assert_eq!(session.send_until_us(), 100 + LEASE - times.margin_us);
    session.handle_answer(2_000, answer(1_500, 1));
    assert_eq!(session.send_until_us(), 100 + LEASE - times.margin_us, "version 1 is not acted on");
    session.record_applied(2_100, 1, BTreeSet::new());
    assert_eq!(session.send_until_us(), 1_500 + LEASE - times.margin_us);
    // An older answer does not shorten it.
    session.handle_answer(2_200, answer(1_000, 1));
    assert_eq!(session.send_until_us(), 1_500 + LEASE - times.margin_us);
    let mut waits = Session::new(who("a"), times, None);
    waits.terms = WAITS;
    assert_eq!(waits.send_until_us(), 0, "unheard it sends nothing");
    waits.handle_answer(900, answer(100, 1));
    assert_eq!(waits.send_until_us(), 0, "version 1 is not acted on");
    waits.record_applied(1_000, 1, BTreeSet::new());
    assert_eq!(waits.send_until_us(), u64::MAX);
    let mut serves = Session::new(who("a"), times, None);
    serves.terms = SERVES;
    assert_eq!(serves.send_until_us(), u64::MAX);
}
