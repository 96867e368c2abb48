//! The invariants over histories made by hand: each breaks where it should, and a sound history breaks none.

use std::time::Duration;

use crankpick_soak::check::{judge, reason, Reason, Rule};
use crankpick_soak::clock::Moment;
use crankpick_soak::departure::{AcknowledgedDeparture, MachineDisturbance};
use crankpick_soak::history::{
    BackendDisturbance, BackendEnd, Disturbance, DisturbanceKind, EndOfRest, Exchange, History, Order,
    OrderEnd, Outcome, ProcessFinding, Reading, RouteKind, Run, RunEnd,
};
use serde_json::json;

const IDLE_TIMEOUT_MS: u64 = 1_000;

fn at(milliseconds: u64) -> Moment {
    Moment::from_millis(milliseconds)
}

fn answered(status: u16) -> Outcome {
    Outcome::Answered { status, sealed: status == 200, flaw: None }
}

/// A request written at 5 s after half a second of rest.
fn exchange(kind: RouteKind, outcome: Outcome) -> Exchange {
    Exchange {
        id: "c1-1".into(),
        kind,
        machine: 0,
        relayed: false,
        place: 3,
        rest_from: at(4_500),
        write_began: at(5_000),
        written: at(5_000),
        deadline: at(8_000),
        ended: at(5_100),
        outcome,
    }
}

fn run(began: u64) -> Run {
    Run {
        backend: "i-0-1".into(),
        began: at(began),
        last_byte: Some(at(began + 50)),
        end: Some(RunEnd::Answered),
        target: "POST /write/c1-1/50/0/0".into(),
    }
}

fn order(generation: u64, base: u64, sent: u64, end: OrderEnd) -> Order {
    let document = json!({"generation": generation, "sent": sent});
    let idle_timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
    Order { generation, base, document, patch: None, idle_timeout, sent: at(sent), end }
}

fn reading(sent: u64, document: &serde_json::Value, last: bool) -> Reading {
    Reading { sent: at(sent), machine: 0, document: document.clone(), last }
}

/// Two changes, both acknowledged, the second one read at the end.
fn sound() -> History {
    let first = order(1, 0, 0, OrderEnd::Acknowledged(at(100)));
    let second = order(4, 1, 2_000, OrderEnd::Acknowledged(at(2_100)));
    let readings = vec![reading(1_000, &first.document, false), reading(9_000, &second.document, true)];
    let mut history = History { orders: vec![first, second], readings, ..History::default() };
    history.exchanges.push(exchange(RouteKind::Mutating, answered(200)));
    history.runs.insert("c1-1".into(), vec![run(5_020)]);
    history
}

fn cut() -> History {
    let mut history = sound();
    history.exchanges[0].outcome = Outcome::CutNoAnswer;
    history
}

fn rules(history: &History) -> Vec<Rule> {
    judge(history).violations.iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_sound_history_breaks_nothing() {
    let verdict = judge(&sound());
    assert!(verdict.holds(), "{:?}", verdict.violations);
    assert_eq!(verdict.outcomes["200 of a backend"], 1);
}

#[test]
fn a_cut_without_an_answer_is_told_apart_by_whether_a_backend_had_begun() {
    let mut history = cut();
    assert_eq!(rules(&history), [Rule::CutAfterStart]);
    assert_eq!(judge(&history).cuts[&(None, true)], 1);
    history.runs.clear();
    assert_eq!(rules(&history), [Rule::CutBeforeStart]);
    assert_eq!(judge(&history).cuts[&(None, false)], 1);
}

#[test]
fn a_disturbance_of_its_own_gateway_explains_a_cut() {
    let disturbance =
        |machine, kind, from, to| Disturbance { machine, kind, from: at(from), to: Some(at(to)) };
    let explained = |disturbance| {
        let history = History { disturbances: vec![disturbance], ..cut() };
        reason(&history, &history.exchanges[0])
    };
    assert_eq!(explained(disturbance(0, DisturbanceKind::Killed, 5_050, 6_000)), Some(Reason::Killed));
    assert_eq!(explained(disturbance(0, DisturbanceKind::Paused, 4_600, 4_700)), Some(Reason::Paused));
    assert_eq!(explained(disturbance(1, DisturbanceKind::Killed, 5_050, 6_000)), None, "another machine");
    assert_eq!(explained(disturbance(0, DisturbanceKind::Killed, 5_200, 6_000)), None, "later");
    assert_eq!(explained(disturbance(0, DisturbanceKind::Paused, 1_000, 3_000)), None, "long before");
    assert_eq!(explained(disturbance(0, DisturbanceKind::Cut, 4_600, 6_000)), None, "not by the relay");
    let mut relayed = cut();
    relayed.exchanges[0].relayed = true;
    relayed.disturbances.push(disturbance(0, DisturbanceKind::Cut, 4_600, 6_000));
    assert_eq!(reason(&relayed, &relayed.exchanges[0]), Some(Reason::Network));
}

#[test]
fn a_gateway_that_leaves_may_end_a_connection_but_not_a_request_that_it_passed_on() {
    let mut history = cut();
    let (from, to) = (at(4_900), Some(at(9_000)));
    history.disturbances.push(Disturbance { machine: 0, kind: DisturbanceKind::Leaving, from, to });
    assert_eq!(rules(&history), [Rule::CutAfterStart]);
    history.exchanges[0].outcome = Outcome::CutMidAnswer;
    assert_eq!(rules(&history), [Rule::CutMidAnswer]);
    history.exchanges[0].outcome = Outcome::CutNoAnswer;
    history.runs.clear();
    assert_eq!(reason(&history, &history.exchanges[0]), Some(Reason::Leaving));
}

#[test]
fn a_connection_that_ends_at_rest_is_early_before_four_fifths_of_the_timeout() {
    let mut history = sound();
    let end = |rested: u64| EndOfRest {
        machine: 0,
        relayed: false,
        rest_from: at(4_000),
        ended: at(4_000 + rested),
    };
    history.ends_of_rest.extend([end(700), end(799), end(801), end(1_000)]);
    assert_eq!(judge(&history).early_ends.len(), 2);
    let (from, to) = (at(4_100), Some(at(4_200)));
    history.disturbances.push(Disturbance { machine: 0, kind: DisturbanceKind::Killed, from, to });
    assert_eq!(judge(&history).early_ends.len(), 0);
}

#[test]
fn a_rest_beyond_four_fifths_of_the_timeout_explains_a_cut_that_no_backend_had_begun() {
    let mut history = cut();
    history.runs.clear();
    history.exchanges[0].rest_from = at(4_150);
    assert_eq!(reason(&history, &history.exchanges[0]), Some(Reason::OverRest));
    history.exchanges[0].rest_from = at(4_250);
    assert_eq!(reason(&history, &history.exchanges[0]), None);
    // A version with a smaller one may be in force.
    let smaller = Order { idle_timeout: Duration::from_millis(500), ..order(5, 4, 4_900, OrderEnd::Open) };
    history.orders.push(smaller);
    assert_eq!(reason(&history, &history.exchanges[0]), Some(Reason::LimitChanged));
    // One that was replaced is in force for a while, as long as machines may be in trouble.
    history.orders[2].sent = at(2_000);
    history.orders.push(order(6, 5, 2_100, OrderEnd::Acknowledged(at(2_200))));
    assert_eq!(reason(&history, &history.exchanges[0]), Some(Reason::LimitChanged));
    history.is_calm = true;
    assert_eq!(reason(&history, &history.exchanges[0]), None);
    history.is_calm = false;
    // A request that was passed on is never explained so.
    history.runs.insert("c1-1".into(), vec![run(5_020)]);
    assert_eq!(reason(&history, &history.exchanges[0]), None);
}

#[test]
fn only_a_backend_that_broke_off_or_the_deadline_explains_an_answer_that_ends_early() {
    let mut history = sound();
    history.exchanges[0].outcome = Outcome::CutMidAnswer;
    assert_eq!(rules(&history), [Rule::CutMidAnswer]);
    history.exchanges[0].ended = at(8_100);
    assert_eq!(rules(&history), []);
    history.exchanges[0].ended = at(5_100);
    history.runs.get_mut("c1-1").expect("it ran")[0].end = Some(RunEnd::BrokenOff);
    assert_eq!(rules(&history), []);
}

#[test]
fn a_way_to_its_backend_that_broke_explains_an_answer_that_ends_early() {
    let mut history = sound();
    history.exchanges[0].outcome = Outcome::CutMidAnswer;
    let disturbance = |backend: &str, from, to| BackendDisturbance {
        is_cut: true,
        backend: backend.into(),
        from: at(from),
        to: Some(at(to)),
    };
    history.backend_disturbances.push(disturbance("i-1-1", 5_030, 5_040));
    history.backend_disturbances.push(disturbance("i-0-1", 4_000, 5_010));
    history.backend_disturbances.push(disturbance("i-0-1", 5_200, 5_300));
    assert_eq!(rules(&history), [Rule::CutMidAnswer], "another backend, before, and after");
    history.backend_disturbances.push(disturbance("i-0-1", 5_030, 5_030));
    assert_eq!(rules(&history), []);
    // Before an answer a gateway has one of its own.
    history.exchanges[0].outcome = Outcome::CutNoAnswer;
    assert_eq!(rules(&history), [Rule::CutAfterStart]);
}

#[test]
fn a_gateway_that_says_nothing_breaks_a_rule_unless_it_stood_still() {
    let mut history = sound();
    history.exchanges[0].outcome = Outcome::Silent;
    history.exchanges[0].ended = at(20_000);
    assert_eq!(rules(&history), [Rule::Silent]);
    let (from, to) = (at(5_010), Some(at(6_000)));
    history.disturbances.push(Disturbance { machine: 0, kind: DisturbanceKind::Paused, from, to });
    assert_eq!(rules(&history), []);
}

#[test]
fn a_mutating_request_runs_once_and_not_at_all_behind_a_promise() {
    let mut history = sound();
    history.runs.get_mut("c1-1").expect("it ran").push(run(5_040));
    assert_eq!(rules(&history), [Rule::Twice]);
    history.exchanges[0].kind = RouteKind::Idempotent;
    assert_eq!(rules(&history), []);
    for promise in [408, 421, 429, 503] {
        let mut history = sound();
        history.exchanges[0].outcome = answered(promise);
        assert_eq!(rules(&history), [Rule::PromiseBroken], "{promise}");
        history.runs.clear();
        assert_eq!(rules(&history), [], "{promise}");
    }
}

#[test]
fn an_answer_with_a_flaw_and_a_run_of_something_else_break_rules() {
    let mut history = sound();
    let flaw = Some("the answer to c2-1".to_owned());
    history.exchanges[0].outcome = Outcome::Answered { status: 200, sealed: true, flaw };
    assert_eq!(rules(&history), [Rule::ForeignAnswer]);
    let mut history = sound();
    history.runs.get_mut("c1-1").expect("it ran")[0].target = "POST /write/c9-9/50/0/0".into();
    assert_eq!(rules(&history), [Rule::Unasked]);
}

#[test]
fn an_acknowledged_change_may_not_be_missing_at_the_end() {
    let mut history = sound();
    // Another change on the same version is read in place of the acknowledged one.
    let rival = order(6, 1, 2_000, OrderEnd::Open);
    history.readings[1].document = rival.document.clone();
    history.orders.push(rival);
    assert_eq!(rules(&history), [Rule::AcknowledgedLost]);
    // An open one on top of it is no loss.
    history.orders[2].base = 4;
    assert_eq!(rules(&history), []);
    history.readings.pop();
    assert_eq!(rules(&history), [Rule::NoLastReading]);
}

#[test]
fn an_acknowledged_change_may_not_be_replaced_by_another_of_its_number() {
    let mut history = sound();
    let rival = order(4, 1, 2_050, OrderEnd::Open);
    history.readings[1].document = rival.document.clone();
    history.orders.push(rival);
    assert_eq!(rules(&history), [Rule::AcknowledgedLost]);
}

#[test]
fn a_read_is_stale_two_seconds_after_an_acknowledgement_and_no_sooner() {
    let mut history = sound();
    let old = history.orders[0].document.clone();
    history.readings.push(reading(4_000, &old, false));
    assert_eq!(rules(&history), []);
    history.readings.push(reading(4_200, &old, false));
    assert_eq!(rules(&history), [Rule::StaleRead]);
}

#[test]
fn a_read_tells_only_what_was_sent_and_not_refused() {
    let mut history = sound();
    history.readings.push(reading(2_000, &json!({"generation": 4, "sent": 1}), false));
    assert_eq!(rules(&history), [Rule::ForeignConfiguration]);
    let mut history = sound();
    let refused = order(9, 1, 2_000, OrderEnd::Refused(at(2_200)));
    history.readings.push(reading(2_300, &refused.document, false));
    history.orders.push(refused);
    assert_eq!(rules(&history), [Rule::ForeignConfiguration]);
}

#[test]
fn of_two_changes_on_one_version_one_is_acknowledged() {
    let mut history = sound();
    history.orders.push(order(5, 1, 2_000, OrderEnd::Acknowledged(at(2_200))));
    assert!(rules(&history).contains(&Rule::BothAcknowledged));
    let mut history = sound();
    history.repeats_refused.push(4);
    assert_eq!(rules(&history), [Rule::RepeatRefused]);
}

#[test]
fn what_a_process_says_of_itself_breaks_a_rule() {
    let mut history = sound();
    history
        .process_findings
        .push(ProcessFinding { process: "machine-0-gate".into(), text: "panicked".into() });
    assert_eq!(rules(&history), [Rule::Process]);
}

#[test]
fn a_rest_begins_no_later_than_its_answer_left_the_backend() {
    let mut history = sound();
    assert_eq!(history.earliest_rest("c1-1", at(5_000)), at(5_070));
    history.runs.clear();
    assert_eq!(history.earliest_rest("c1-1", at(5_000)), at(5_000), "a refusal may come at once");
}

/// A backend that left at 3 s, by an acknowledgement, and ran a request at 5.02 s.
fn departed() -> History {
    let departure = AcknowledgedDeparture { backend: "i-0-1".into(), acknowledged: at(3_000) };
    History { departures: vec![departure], ..sound() }
}

#[test]
fn a_request_at_a_backend_that_has_left_breaks_drain() {
    assert_eq!(rules(&departed()), [Rule::Drained]);
    let mut soon = departed();
    soon.departures[0].acknowledged = at(4_020);
    assert_eq!(rules(&soon), [], "within the time that it is given");
    let mut another = departed();
    another.departures[0].backend = "i-1-1".into();
    assert_eq!(rules(&another), [], "another backend");
}

#[test]
fn a_machine_out_of_touch_breaks_no_drain() {
    let disturbance = |machine, is_core, from, to| MachineDisturbance {
        machine,
        is_core,
        from: at(from),
        to: Some(at(to)),
    };
    let with = |disturbance| History { machine_disturbances: vec![disturbance], ..departed() };
    assert_eq!(rules(&with(disturbance(0, false, 3_000, 3_600))), [], "its own processes");
    assert_eq!(rules(&with(disturbance(0, false, 3_000, 3_500))), [Rule::Drained], "contact time ago");
    assert_eq!(rules(&with(disturbance(1, false, 3_000, 3_600))), [Rule::Drained], "another machine");
    assert_eq!(rules(&with(disturbance(1, true, 1_000, 2_100))), [], "the core");
    assert_eq!(rules(&with(disturbance(1, true, 1_000, 2_000))), [Rule::Drained], "twice as long ago");
    let still = MachineDisturbance { machine: 1, is_core: true, from: at(1_000), to: None };
    assert_eq!(rules(&with(still)), [], "still under way");
    let mut reset = departed();
    let own = Disturbance { machine: 0, kind: DisturbanceKind::Reset, from: at(4_000), to: Some(at(4_000)) };
    reset.disturbances.push(own);
    assert_eq!(rules(&reset), [], "its connections were reset");
    let mut held_up = departed();
    let way =
        BackendDisturbance { backend: "i-0-1".into(), is_cut: true, from: at(4_000), to: Some(at(4_000)) };
    held_up.backend_disturbances.push(way);
    assert_eq!(rules(&held_up), [], "held up on the way to the backend");
}

/// Requests with `retries` 2, each of which ran on so many backends.
fn spread(requests: usize, backends: usize) -> History {
    let mut history = sound();
    history.exchanges.clear();
    history.runs.clear();
    history.orders[1].document["routes"] = json!([{"prefix": "/resume/", "retries": 2}]);
    history.readings[1].document = history.orders[1].document.clone();
    for request in 0..requests {
        let id = format!("c1-{request}");
        let runs = (0..backends).map(|backend| Run {
            backend: format!("i-{backend}-1"),
            target: format!("POST /resume/{id}/50/0/0"),
            ..run(5_020)
        });
        history.runs.insert(id.clone(), runs.collect());
        history.exchanges.push(Exchange { id, ..exchange(RouteKind::Resumable, answered(200)) });
    }
    history
}

#[test]
fn more_than_three_requests_on_more_backends_than_retries_break_budget() {
    assert_eq!(rules(&spread(4, 3)), [Rule::Budget; 4]);
    assert_eq!(judge(&spread(3, 3)).beyond_retries, 3);
    assert_eq!(rules(&spread(3, 3)), []);
    assert_eq!(rules(&spread(9, 2)), []);
}

#[test]
fn runs_are_counted_by_backends() {
    let mut history = spread(4, 2);
    for runs in history.runs.values_mut() {
        let again = runs.clone();
        runs.extend(again);
    }
    assert_eq!(rules(&history), []);
}

#[test]
fn a_backend_that_ended_or_was_cut_off_meanwhile_does_not_count() {
    let mut ended = spread(4, 3);
    ended.backend_ends.push(BackendEnd { backend: "i-0-1".into(), at: at(5_050) });
    assert_eq!(rules(&ended), []);
    ended.backend_ends[0].at = at(5_150);
    assert_eq!(rules(&ended).len(), 4, "later");
    let way =
        |is_cut| BackendDisturbance { backend: "i-0-1".into(), is_cut, from: at(5_030), to: Some(at(5_040)) };
    let with = |way| History { backend_disturbances: vec![way], ..spread(4, 3) };
    assert_eq!(rules(&with(way(true))), []);
    assert_eq!(rules(&with(way(false))).len(), 4, "a reset is no end");
}

#[test]
fn the_most_retries_of_all_configurations_that_may_be_in_force_count() {
    let mut history = spread(4, 3);
    history.orders[0].document["routes"] = json!([{"prefix": "/resume/", "retries": 3}]);
    history.readings[0].document = history.orders[0].document.clone();
    assert_eq!(rules(&history), [], "the older one may still be in force");
    history.is_calm = true;
    assert_eq!(rules(&history).len(), 4, "two seconds after the newer one is acknowledged it is not");
}
