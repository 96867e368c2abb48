//! The invariants, judged by the order of what was seen. Nothing here reads a clock or a socket.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use crate::clock::Moment;
use crate::history::{DisturbanceKind, EndOfRest, Exchange, History, Order, OrderEnd, Outcome, Run, RunEnd};
use crate::{budget, departure};

/// Within which an acknowledged configuration is in force everywhere.
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// For how long after a newer acknowledgement an older limit may still be in force, in a run with troubles.
const LIMIT_LINGER: Duration = Duration::from_secs(10);
/// How far a disturbance reaches: a process that was killed or stood still acts until then by what it had read.
const AFTERMATH: Duration = Duration::from_millis(500);
/// A gateway ends a request so much before its deadline at the earliest.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
/// The part of the idle timeout for which clients reuse a connection.
pub const REUSE_SHARE: f64 = 0.8;
/// Statuses that promise that nothing ran.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A change that was acknowledged is missing at the end.
    AcknowledgedLost,
    /// A read answered an older version than one acknowledged two seconds before.
    StaleRead,
    /// A read answered what nobody sent, or what was refused.
    ForeignConfiguration,
    /// Two changes on one version were both acknowledged.
    BothAcknowledged,
    /// An acknowledged change was refused when it was sent again.
    RepeatRefused,
    /// The configuration can't be read at the end.
    NoLastReading,
    /// A backend had begun a request, and its connection ended without an answer or a reason.
    CutAfterStart,
    /// No backend had begun a request, and its connection ended without an answer or a reason.
    CutBeforeStart,
    /// An answer ended early without a reason.
    CutMidAnswer,
    /// Neither an answer nor an end came.
    Silent,
    /// A request that may run once ran twice.
    Twice,
    /// A request that may run once ran, and got a status that promises that it did not.
    PromiseBroken,
    /// An answer belongs to another request, or is not what the backend sent.
    ForeignAnswer,
    /// A backend ran what no client sent.
    Unasked,
    /// A request reached a backend that had left for too long, sent on by a machine in touch.
    Drained,
    /// Requests ran on more backends than their routes' `retries`.
    Budget,
    /// A process logged a broken invariant, or ended by itself.
    Process,
}

/// A broken invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which one.
    pub rule: Rule,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?}: {}", self.rule, self.text)
    }
}

/// Why a connection may end without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Its gateway was killed, or its grace was over.
    Killed,
    /// Its gateway stood still.
    Paused,
    /// The way to it was cut or reset.
    Network,
    /// It was at rest beyond four fifths of every idle timeout that may be in force.
    OverRest,
    /// It was at rest beyond four fifths of an idle timeout that may be in force beside the one its client knew.
    LimitChanged,
    /// Its gateway was told to end some time before, and had not passed the request on.
    Leaving,
    /// Its backend, or the way to it, broke off within the answer.
    BackendBrokeOff,
    /// Its deadline had passed.
    Deadline,
}

/// What was found.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Broken invariants.
    pub violations: Vec<Violation>,
    /// Requests by how they ended.
    pub outcomes: BTreeMap<String, u64>,
    /// Connections cut without an answer: by reason, and whether a backend had begun the request.
    pub cuts: BTreeMap<(Option<Reason>, bool), u64>,
    /// Each of them.
    pub cut_lines: Vec<CutLine>,
    /// Connections at rest that were ended sooner than any idle timeout explains.
    pub early_ends: Vec<EndOfRest>,
    /// Requests that ran on more backends than their routes' `retries`.
    pub beyond_retries: usize,
}

/// A connection that was cut without an answer.
#[derive(Clone, Debug)]
pub struct CutLine {
    /// Why it may be.
    pub reason: Option<Reason>,
    /// What was seen.
    pub text: String,
}

impl Verdict {
    /// Whether all invariants held.
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }

    pub(crate) fn add(&mut self, rule: Rule, text: String) {
        self.violations.push(Violation { rule, text });
    }
}

/// Judges a run.
pub fn judge(history: &History) -> Verdict {
    let mut verdict = Verdict::default();
    judge_orders(history, &mut verdict);
    judge_readings(history, &mut verdict);
    judge_exchanges(history, &mut verdict);
    judge_runs(history, &mut verdict);
    departure::judge(history, &mut verdict);
    budget::judge(history, &mut verdict);
    verdict.early_ends = early_ends(history);
    for finding in &history.process_findings {
        verdict.add(Rule::Process, format!("{}: {}", finding.process, finding.text));
    }
    verdict
}

fn judge_orders(history: &History, verdict: &mut Verdict) {
    let mut taken: HashMap<u64, &Order> = HashMap::new();
    for order in history.orders.iter().filter(|order| order.acknowledged().is_some()) {
        if let Some(other) = taken.insert(order.base, order) {
            let text = format!("{} and {}, both on {}", other.generation, order.generation, order.base);
            verdict.add(Rule::BothAcknowledged, text);
        }
    }
    for generation in &history.repeats_refused {
        verdict.add(Rule::RepeatRefused, format!("generation {generation}"));
    }
}

fn judge_readings(history: &History, verdict: &mut Verdict) {
    for reading in &history.readings {
        let order = history.orders.iter().find(|order| order.document == reading.document);
        let Some(order) = order else {
            let generation = &reading.document["generation"];
            let text =
                format!("machine {} at {}: {generation}, never sent so", reading.machine, reading.sent);
            verdict.add(Rule::ForeignConfiguration, text);
            continue;
        };
        if matches!(order.end, OrderEnd::Refused(_)) {
            let text =
                format!("machine {} at {}: {}, refused", reading.machine, reading.sent, order.generation);
            verdict.add(Rule::ForeignConfiguration, text);
        }
        let due = newest_acknowledged(history, reading.sent);
        if let Some(due) = due.filter(|due| due.generation > order.generation) {
            let text = format!(
                "machine {} answered {} at {}, {} was acknowledged before",
                reading.machine, order.generation, reading.sent, due.generation
            );
            verdict.add(Rule::StaleRead, text);
        }
        if reading.last {
            judge_last_reading(history, order, verdict);
        }
    }
    if !history.readings.iter().any(|reading| reading.last) {
        verdict.add(Rule::NoLastReading, "no machine answered".to_owned());
    }
}

/// The newest change that each read sent at a moment must know.
fn newest_acknowledged(history: &History, sent: Moment) -> Option<&Order> {
    let known = history.orders.iter().filter(|order| {
        order.acknowledged().is_some_and(|acknowledged| acknowledged.plus(CONFIG_APPLY) < sent)
    });
    known.max_by_key(|order| order.generation)
}

/// Everything acknowledged must be among what the last version builds on, or be that version.
fn judge_last_reading(history: &History, last: &Order, verdict: &mut Verdict) {
    let mut generation = last.generation;
    let mut lineage = vec![generation];
    while let Some(order) = taken_as(history, generation) {
        generation = order.base;
        lineage.push(generation);
    }
    for order in history.orders.iter().filter(|order| order.acknowledged().is_some()) {
        let is_last = order.generation == last.generation && order.document == last.document;
        let same_number = order.generation == last.generation && !is_last;
        if !lineage.contains(&order.generation) || same_number {
            let text = format!(
                "{}, acknowledged, is not under {}, read at the end",
                order.generation, last.generation
            );
            verdict.add(Rule::AcknowledgedLost, text);
        }
    }
}

/// The order that was taken under a number: the acknowledged one, or one that was left open.
fn taken_as(history: &History, generation: u64) -> Option<&Order> {
    let named = || history.orders.iter().filter(move |order| order.generation == generation);
    let acknowledged = named().find(|order| order.acknowledged().is_some());
    acknowledged.or_else(|| named().find(|order| order.end == OrderEnd::Open))
}

fn judge_exchanges(history: &History, verdict: &mut Verdict) {
    for exchange in &history.exchanges {
        match &exchange.outcome {
            Outcome::Answered { status, sealed, flaw } => {
                let source = if *sealed { "backend" } else { "gateway" };
                *verdict.outcomes.entry(format!("{status} of a {source}")).or_default() += 1;
                if let Some(flaw) = flaw {
                    verdict.add(Rule::ForeignAnswer, format!("{}: {flaw}", told(exchange)));
                }
                judge_promise(history, exchange, *status, verdict);
            }
            Outcome::CutNoAnswer => judge_cut(history, exchange, verdict),
            Outcome::CutMidAnswer => {
                *verdict.outcomes.entry("cut within the answer".into()).or_default() += 1;
                if reason(history, exchange).is_none() {
                    verdict.add(Rule::CutMidAnswer, told(exchange));
                }
            }
            Outcome::Silent => {
                *verdict.outcomes.entry("silence".into()).or_default() += 1;
                if disturbed(history, exchange).is_none() {
                    verdict.add(Rule::Silent, told(exchange));
                }
            }
            Outcome::Garbled { text } => {
                *verdict.outcomes.entry("no HTTP".into()).or_default() += 1;
                verdict.add(Rule::ForeignAnswer, format!("{}: {text}", told(exchange)));
            }
        }
    }
}

fn judge_promise(history: &History, exchange: &Exchange, status: u16, verdict: &mut Verdict) {
    let ran = history.runs.get(&exchange.id).is_some_and(|runs| !runs.is_empty());
    if !PROMISES.contains(&status) || !ran {
        return;
    }
    if exchange.kind.may_repeat() {
        let what = "promise after a run of a request that may run again".to_owned();
        *verdict.outcomes.entry(what).or_default() += 1;
    } else {
        verdict.add(Rule::PromiseBroken, format!("{}: {status}, yet it ran", told(exchange)));
    }
}

fn judge_cut(history: &History, exchange: &Exchange, verdict: &mut Verdict) {
    let begun = history.runs.contains_key(&exchange.id);
    let reason = reason(history, exchange);
    *verdict.outcomes.entry("cut, no answer".into()).or_default() += 1;
    *verdict.cuts.entry((reason, begun)).or_default() += 1;
    let why = reason.map_or("no reason".to_owned(), |reason| format!("{reason:?}"));
    let text = format!("{}, begun: {begun}, {why}", told(exchange));
    verdict.cut_lines.push(CutLine { reason, text: text.clone() });
    if reason.is_none() {
        verdict.add(if begun { Rule::CutAfterStart } else { Rule::CutBeforeStart }, text);
    }
}

/// Why the connection of a request may have ended before its answer did.
pub fn reason(history: &History, exchange: &Exchange) -> Option<Reason> {
    if let Some(reason) = disturbed(history, exchange) {
        return Some(reason);
    }
    if exchange.outcome == Outcome::CutMidAnswer {
        let mut runs = history.runs.get(&exchange.id).into_iter().flatten();
        if runs.any(|run| broke_off(history, run, exchange.ended)) {
            return Some(Reason::BackendBrokeOff);
        }
    }
    if exchange.ended.plus(DEADLINE_MARGIN) >= exchange.deadline {
        return Some(Reason::Deadline);
    }
    is_crossing(history, exchange).then(|| over_rest(history, exchange)).flatten()
}

/// Whether a backend, or the way to it, broke off.
fn broke_off(history: &History, run: &Run, ended: Moment) -> bool {
    let disturbed = history.backend_disturbances.iter().any(|disturbance| disturbance.touches(run, ended));
    run.end == Some(RunEnd::BrokenOff) || disturbed
}

/// The disturbance that touched the connection of a request.
fn disturbed(history: &History, exchange: &Exchange) -> Option<Reason> {
    let (from, to) = (exchange.rest_from, exchange.ended);
    disturbance_between(history, exchange.machine, exchange.relayed, from, to)
        .filter(|reason| *reason != Reason::Leaving || is_crossing(history, exchange))
}

/// Whether a connection ended before a request on it was passed on.
fn is_crossing(history: &History, exchange: &Exchange) -> bool {
    exchange.outcome == Outcome::CutNoAnswer && !history.runs.contains_key(&exchange.id)
}

/// The gravest disturbance that touched a connection between two moments, or shortly before.
fn disturbance_between(
    history: &History,
    machine: usize,
    relayed: bool,
    from: Moment,
    to: Moment,
) -> Option<Reason> {
    let touching = history.disturbances.iter().filter(|disturbance| {
        let aftermath = disturbance.to.map(|end| end.plus(AFTERMATH));
        let in_time = disturbance.from <= to && aftermath.is_none_or(|end| end >= from);
        disturbance.touches(machine, relayed) && in_time
    });
    let reasons = touching.map(|disturbance| match disturbance.kind {
        DisturbanceKind::Killed | DisturbanceKind::GraceOver => Reason::Killed,
        DisturbanceKind::Paused => Reason::Paused,
        DisturbanceKind::Cut | DisturbanceKind::Reset => Reason::Network,
        DisturbanceKind::Leaving => Reason::Leaving,
    });
    reasons.min()
}

/// Whether the connection was at rest for too long, by any idle timeout that may be in force at its gateway.
fn over_rest(history: &History, exchange: &Exchange) -> Option<Reason> {
    let rest = exchange.written.since(exchange.rest_from);
    let timeouts = timeouts_in_force(history, exchange.write_began, exchange.ended);
    let (least, most) = (timeouts.iter().min()?, timeouts.iter().max()?);
    if rest > most.mul_f64(REUSE_SHARE) {
        Some(Reason::OverRest)
    } else if rest > least.mul_f64(REUSE_SHARE) {
        Some(Reason::LimitChanged)
    } else {
        None
    }
}

/// The idle timeouts of all configurations that may be in force at some machine between two moments.
fn timeouts_in_force(history: &History, from: Moment, to: Moment) -> Vec<Duration> {
    orders_in_force(history, from, to).map(|order| order.idle_timeout).collect()
}

/// The configurations that may be in force at some machine between two moments.
pub(crate) fn orders_in_force(
    history: &History,
    from: Moment,
    to: Moment,
) -> impl Iterator<Item = &Order> + '_ {
    let linger = if history.is_calm { CONFIG_APPLY } else { LIMIT_LINGER };
    let replaced = move |order: &Order| {
        let newer = history.orders.iter().filter(|newer| newer.generation > order.generation);
        let acknowledged = newer.filter_map(Order::acknowledged).min();
        acknowledged.is_some_and(|acknowledged| acknowledged.plus(linger) < from)
    };
    let sent = history.orders.iter().filter(move |order| order.sent <= to);
    sent.filter(move |order| !replaced(order))
}

/// Connections ended at rest before four fifths of every idle timeout that may be in force, with nothing that
/// touched them: a request sent at that moment would cross the end.
fn early_ends(history: &History) -> Vec<EndOfRest> {
    let is_early = |end: &&EndOfRest| {
        let rest = end.ended.since(end.rest_from);
        let timeouts = timeouts_in_force(history, end.ended, end.ended);
        let allowed = timeouts.iter().min().is_some_and(|least| rest < least.mul_f64(REUSE_SHARE));
        allowed && disturbance_between(history, end.machine, end.relayed, end.rest_from, end.ended).is_none()
    };
    history.ends_of_rest.iter().filter(is_early).copied().collect()
}

fn judge_runs(history: &History, verdict: &mut Verdict) {
    let sent: HashMap<&str, &Exchange> =
        history.exchanges.iter().map(|exchange| (exchange.id.as_str(), exchange)).collect();
    for (id, runs) in &history.runs {
        let Some(exchange) = sent.get(id.as_str()) else { continue };
        if runs.len() > 1 && !exchange.kind.may_repeat() {
            verdict.add(Rule::Twice, format!("{}: {} runs", told(exchange), runs.len()));
        }
        for run in runs.iter().filter(|run| !run.target.contains(id.as_str())) {
            verdict.add(Rule::Unasked, format!("{}: {} at {}", told(exchange), run.target, run.backend));
        }
    }
}

/// A request in words.
fn told(exchange: &Exchange) -> String {
    let rest = exchange.written.since(exchange.rest_from).as_secs_f64() * 1e3;
    let held = exchange.ended.since(exchange.written).as_secs_f64() * 1e3;
    format!(
        "{} ({:?}) at machine {}{}, request {} of its connection, written at {} after {rest:.1} ms of rest, \
         ended {held:.1} ms later",
        exchange.id,
        exchange.kind,
        exchange.machine,
        if exchange.relayed { " by relay" } else { "" },
        exchange.place,
        exchange.written
    )
}
