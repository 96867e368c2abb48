//! Records the events given to an instance and the decisions that it makes, and checks the decisions against the rules.

use crankpick::balance::{Balancer, Inbox};
use crankpick::interface::*;
use std::collections::{BTreeMap, BTreeSet};

#[allow(dead_code, reason = "not every test file uses this")]
pub struct ExecutionRecord {
    pub backend: u32,
    pub at_us: u64,
    pub until_us: u64,
    pub ended: Option<Ended>,
}

impl ExecutionRecord {
    fn may_have_run(&self) -> bool {
        !matches!(self.ended, Some(Ended::Rejected | Ended::Unreachable | Ended::NotSent))
    }
}

/// A query, its executions and its final answer.
pub struct QueryRecord {
    /// The workload and the limits in force when it arrived.
    pub workload: Workload,
    pub limits: ExecutionLimits,
    pub deadline_us: u64,
    pub sent: Vec<ExecutionRecord>,
    pub answer: Option<&'static str>,
}

pub struct Ledger {
    pub now_us: u64,
    pub workloads: Vec<Workload>,
    pub limits: ExecutionLimits,
    /// The instance's indices of the workloads, after a reload.
    pub workload_indices: Vec<usize>,
    pub listed: BTreeMap<u32, (Listed, u64)>,
    /// Backends listed as draining since their last start.
    pub drained: BTreeSet<u32>,
    /// Backends drained by hand.
    pub manually_drained: BTreeSet<u32>,
    pub queries: BTreeMap<String, QueryRecord>,
    pub wakes: Vec<(u64, String)>,
    pub subscriptions: u32,
    pub peers: bool,
    /// Whether queries are marked as retries by the client.
    pub client_retries: bool,
    pub cold: ColdRule,
    pub deployment: Deployment,
    pub probed: Vec<u32>,
    /// The back-offs sent with rejections.
    pub backoffs_us: Vec<u64>,
    pub notes: Vec<(u32, String)>,
    pub violations: Vec<String>,
}

pub const COLD: ColdRule =
    ColdRule { start_capacity: 0.2, cold_us: 10_000_000, capacity_multiple: 3.0, window_us: 2_000_000 };

pub fn workload(repeat: Repeat, group: DedupGroup, importance: f64) -> Workload {
    let (slo_us, window_us) = (1_000_000, 300_000);
    Workload { repeat, group, window_us, slo_us, importance, tardy_importance: 0.3 }
}

pub fn ready(backend: u32) -> Listed {
    let (zone, cell, phase) = (backend % 2, backend % 3, Phase::Ready);
    Listed { backend, zone, cell, phase, weight: 1.0, since_us: 0 }
}

impl Ledger {
    pub fn new(workloads: Vec<Workload>, limits: ExecutionLimits) -> Self {
        let (listed, queries, wakes, violations) = (BTreeMap::new(), BTreeMap::new(), Vec::new(), Vec::new());
        Ledger {
            now_us: 7_000_000,
            workload_indices: Vec::new(),
            workloads,
            limits,
            listed,
            drained: BTreeSet::new(),
            manually_drained: BTreeSet::new(),
            queries,
            wakes,
            subscriptions: 0,
            peers: false,
            client_retries: false,
            cold: COLD,
            deployment: Deployment::default(),
            probed: Vec::new(),
            backoffs_us: Vec::new(),
            notes: Vec::new(),
            violations,
        }
    }

    pub fn balancer(&self, seed: u64, balancers: u32, number: u32) -> Balancer {
        let (workloads, tenants) =
            (self.workloads.clone(), vec![Tenant { quota_per_s: 200.0, over_quota_importance: 0.1 }; 2]);
        let (limits, deployment) = (self.limits, Deployment { peers: self.peers, ..self.deployment });
        Balancer::new(seed, balancers, number, workloads, tenants, limits, self.cold, true, deployment)
    }

    /// Runs one round `step_us` later, with the timers that are due, then checks rule 1 (every query is answered in time).
    pub fn round(
        &mut self,
        balancer: &mut Balancer,
        step_us: u64,
        feed: impl FnOnce(&mut Ledger, &mut Inbox),
    ) {
        self.now_us += step_us;
        let (due, later): (Vec<_>, Vec<_>) = self.wakes.drain(..).partition(|wake| wake.0 <= self.now_us);
        self.wakes = later;
        let mut decisions = DecisionBuffer(Vec::new());
        let result: Result<(), ()> = balancer.round(self.now_us, &mut decisions, |inbox| {
            due.iter().for_each(|wake| inbox.timer_fired(&wake.1));
            feed(self, inbox);
            Ok(())
        });
        result.expect("feeding never fails here");
        decisions.0.into_iter().for_each(|decision| decision(self));
        let now_us = self.now_us;
        let overdue =
            self.queries.iter().filter(|(_, qry)| qry.answer.is_none() && now_us > qry.deadline_us + 20_000);
        let overdue: Vec<String> = overdue.map(|(id, _)| format!("{id} has no answer in time")).collect();
        self.violations.extend(overdue);
    }

    pub fn send_query(
        &mut self,
        inbox: &mut Inbox,
        id: &str,
        workload: usize,
        ttl_us: u64,
        hint_us: Option<u64>,
    ) {
        // Where clocks differ, the deadline is later by the clock error.
        let deadline_us = self.now_us + ttl_us + self.deployment.clocks.deadline_us;
        let (settings, limits) = (self.workloads[workload].clone(), self.limits);
        let record = QueryRecord { workload: settings, limits, deadline_us, sent: Vec::new(), answer: None };
        self.queries.insert(id.into(), record);
        inbox
            .query(
                id,
                self.workload_indices.get(workload).copied().unwrap_or(workload),
                0,
                ttl_us,
                hint_us,
                self.client_retries,
            )
            .expect("a known workload");
    }

    pub fn finish(&mut self, inbox: &mut Inbox, id: &str, number: usize, ended: Ended) {
        self.finish_with_report(inbox, id, number, ended, None);
    }

    pub fn finish_with_report(
        &mut self,
        inbox: &mut Inbox,
        id: &str,
        number: usize,
        ended: Ended,
        report: Option<LoadReport>,
    ) {
        let qry = self.queries.get_mut(id).expect("the query was sent before");
        let took_us = self.now_us - qry.sent[number].at_us;
        qry.sent[number].ended = Some(ended);
        if ended == Ended::Completed {
            qry.answer.get_or_insert("completed");
        }
        inbox.outcome(id, number as u32, ended, took_us, qry.answer.is_some(), report);
    }

    pub fn update_list(&mut self, inbox: &mut Inbox, items: &[Listed]) {
        for item in items {
            let before = self.listed.get(&item.backend).map(|listed| listed.0.since_us);
            if item.phase != Phase::Gone && before != Some(item.since_us) {
                self.drained.remove(&item.backend);
            }
            if item.phase == Phase::Terminating {
                self.drained.insert(item.backend);
            }
        }
        self.listed.extend(items.iter().map(|item| (item.backend, (*item, self.now_us))));
        inbox.list(false, items);
    }

    /// Applies new workloads and limits to all queries to come.
    #[allow(dead_code, reason = "not every test file uses this")]
    pub fn reload(&mut self, balancer: &mut Balancer, workloads: Vec<Workload>, limits: ExecutionLimits) {
        (self.workloads, self.limits) = (workloads.clone(), limits);
        self.workload_indices = balancer.reload(workloads, vec![], limits, self.cold);
    }

    #[allow(dead_code, reason = "not every test file uses this")]
    pub fn set_manual_drain(&mut self, inbox: &mut Inbox, backend: u32, drained: bool) {
        let _ = if drained {
            self.manually_drained.insert(backend)
        } else {
            self.manually_drained.remove(&backend)
        };
        inbox.set_manual_drain(backend, drained);
    }

    /// The executions in flight, as query id and execution number.
    #[allow(dead_code, reason = "not every test file uses this")]
    pub fn in_flight(&self) -> Vec<(String, usize)> {
        let all =
            self.queries.iter().flat_map(|(id, qry)| qry.sent.iter().enumerate().map(move |sent| (id, sent)));
        all.filter(|(_, (_, sent))| sent.ended.is_none())
            .map(|(id, (number, _))| (id.clone(), number))
            .collect()
    }

    fn record_execution(&mut self, id: &str, backend: u32, timeout_us: u64, begin_within_us: u64) {
        let now_us = self.now_us;
        let Some((on, listed_us)) = self.listed.get(&backend).copied() else {
            return self.violations.push(format!("{id} was sent to {backend}, which was never listed"));
        };
        let qry = self.queries.get_mut(id).expect("only queries that were sent are executed");
        let (workload, limits) = (&qry.workload, qry.limits);
        let group = |listed: Listed| match workload.group {
            DedupGroup::All => 0,
            DedupGroup::Zone => listed.zone,
            DedupGroup::Cell => listed.cell,
        };
        let in_flight = qry.sent.iter().any(|sent| sent.ended.is_none());
        let first = qry.sent.iter().find(|sent| sent.may_have_run());
        let outside = |first: &ExecutionRecord| {
            group(on) != group(self.listed[&first.backend].0) || now_us > first.at_us + workload.window_us
        };
        // The first byte may be written up to `begin_within_us` later.
        let begins_late =
            |first: &ExecutionRecord| now_us + begin_within_us > first.at_us + workload.window_us;
        let binds = !self.deployment.removal_not_binding || self.drained.contains(&backend);
        let deduplicated = workload.repeat == Repeat::Deduplicated;
        let rules = [
            (qry.answer.is_some() || now_us > qry.deadline_us, "is executed after its answer or deadline"),
            (
                on.phase != Phase::Ready && binds && now_us > listed_us + 500_000,
                "is sent to a backend that drains or is gone",
            ),
            (self.manually_drained.contains(&backend), "is sent to a backend that is drained by hand"),
            (in_flight && !limits.may_duplicate, "has two executions in flight"),
            (qry.sent.len() as u32 >= limits.max_executions, "is executed too often"),
            (workload.repeat == Repeat::NonIdempotent && first.is_some(), "may be executed twice"),
            (
                deduplicated && first.is_some_and(outside),
                "is repeated outside its deduplication group or window",
            ),
            (deduplicated && first.is_some_and(begins_late), "may begin after its deduplication window"),
        ];
        let broken = rules.iter().filter(|rule| rule.0).map(|rule| format!("{id} {}", rule.1));
        self.violations.extend(broken);
        qry.sent.push(ExecutionRecord { backend, at_us: now_us, until_us: now_us + timeout_us, ended: None });
    }

    fn record_answer(&mut self, id: &str, answer: &'static str) {
        let qry = self.queries.get_mut(id).expect("only queries that were sent are answered");
        let workload = &qry.workload;
        let harmless = workload.repeat == Repeat::Idempotent
            || workload.repeat == Repeat::Deduplicated && workload.group == DedupGroup::All;
        if answer == "rejected" && !harmless && qry.sent.iter().any(ExecutionRecord::may_have_run) {
            self.violations.push(format!("{id} is rejected though it may have run"));
        }
        if self.now_us > qry.deadline_us + 20_000 {
            self.violations.push(format!("{id} is answered too late"));
        }
        // A client may cancel in the same round that answers it, which the instance cannot know.
        if qry.answer.replace(answer).is_some_and(|earlier| earlier != "withdrawn") {
            self.violations.push(format!("{id} is answered twice"));
        }
    }
}

type Decision = Box<dyn FnOnce(&mut Ledger)>;

struct DecisionBuffer(Vec<Decision>);

impl DecisionBuffer {
    fn push(&mut self, decision: impl FnOnce(&mut Ledger) + 'static) {
        self.0.push(Box::new(decision));
    }
}

impl Writer for DecisionBuffer {
    fn execute(&mut self, qry: &str, backend: u32, timeout_us: u64, begin_within_us: u64) {
        let qry = qry.to_owned();
        self.push(move |ledger| ledger.record_execution(&qry, backend, timeout_us, begin_within_us));
    }
    fn cancel(&mut self, qry: &str, execution: u32) {
        let qry = qry.to_owned();
        self.push(move |ledger| {
            if !ledger.queries[&qry].limits.cancel || ledger.queries[&qry].sent.len() <= execution as usize {
                ledger
                    .violations
                    .push(format!("{qry} is cancelled though that is not allowed or it was never sent"));
            }
        });
    }
    fn reject(&mut self, qry: &str, backoff_us: u64) {
        let qry = qry.to_owned();
        self.push(move |ledger| {
            ledger.backoffs_us.push(backoff_us);
            ledger.record_answer(&qry, "rejected");
        });
    }
    fn abort(&mut self, qry: &str) {
        let qry = qry.to_owned();
        self.push(move |ledger| ledger.record_answer(&qry, "aborted"));
    }
    fn wake(&mut self, in_us: u64, token: &str) {
        let token = token.to_owned();
        self.push(move |ledger| ledger.wakes.push((ledger.now_us + in_us, token)));
    }
    fn subscribe(&mut self) {
        self.push(|ledger| ledger.subscriptions += 1);
    }
    fn probe(&mut self, backend: u32) {
        self.push(move |ledger| {
            ledger.violations.extend(
                (!ledger.deployment.probes).then(|| "a probe is sent though probes are disabled".into()),
            );
            ledger.probed.push(backend);
        });
    }
    fn send_note(&mut self, peer: u32, bytes: &str) {
        let note = (peer, bytes.to_owned());
        self.push(move |ledger| {
            ledger
                .violations
                .extend((!ledger.peers).then(|| "a note is sent though peers are disabled".into()));
            ledger.notes.push(note);
        });
    }
}
