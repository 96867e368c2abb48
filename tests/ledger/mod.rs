//! An independent record of what an instance was told and what it decided, which holds the rules against it.

use crankpick::balance::{Balancer, Inbox};
use crankpick::interface::*;
use std::collections::{BTreeMap, BTreeSet};

#[allow(dead_code, reason = "each test file takes what it needs of this one")]
pub struct Sent {
    pub backend: u32,
    pub at_us: u64,
    pub until_us: u64,
    pub ended: Option<Ended>,
}

impl Sent {
    fn may_have_run(&self) -> bool {
        !matches!(self.ended, Some(Ended::Rejected | Ended::Unreachable | Ended::NotSent))
    }
}

pub struct Taken {
    /// The workload and the limits that it came with.
    pub workload: Workload,
    pub limits: ExecutionLimits,
    pub deadline_us: u64,
    pub sent: Vec<Sent>,
    pub answer: Option<&'static str>,
}

pub struct Ledger {
    pub now_us: u64,
    pub workloads: Vec<Workload>,
    pub limits: ExecutionLimits,
    /// The module's numbers for the workloads, once they have changed.
    pub numbers: Vec<usize>,
    pub told: BTreeMap<u32, (Listed, u64)>,
    /// Listed as draining since their last start.
    pub drained: BTreeSet<u32>,
    /// Out by hand.
    pub out: BTreeSet<u32>,
    pub queries: BTreeMap<String, Taken>,
    pub wakes: Vec<(u64, String)>,
    pub asked: u32,
    pub peers: bool,
    /// Whether queries come as a client's repetitions.
    pub again: bool,
    pub cold: ColdRule,
    pub standing: Deployment,
    pub probed: Vec<u32>,
    /// When the rejected are to come back.
    pub advised: Vec<u64>,
    pub notes: Vec<(u32, String)>,
    pub wrong: Vec<String>,
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
        let (told, queries, wakes, wrong) = (BTreeMap::new(), BTreeMap::new(), Vec::new(), Vec::new());
        Ledger {
            now_us: 7_000_000,
            numbers: Vec::new(),
            workloads,
            limits,
            told,
            drained: BTreeSet::new(),
            out: BTreeSet::new(),
            queries,
            wakes,
            asked: 0,
            peers: false,
            again: false,
            cold: COLD,
            standing: Deployment::default(),
            probed: Vec::new(),
            advised: Vec::new(),
            notes: Vec::new(),
            wrong,
        }
    }

    pub fn balancer(&self, seed: u64, balancers: u32, number: u32) -> Balancer {
        let (workloads, tenants) =
            (self.workloads.clone(), vec![Tenant { quota_per_s: 200.0, over_quota_importance: 0.1 }; 2]);
        let (limits, standing) = (self.limits, Deployment { peers: self.peers, ..self.standing });
        Balancer::new(seed, balancers, number, workloads, tenants, limits, self.cold, true, standing)
    }

    /// One round `step_us` later, with the timers that are due; then the clock is held against rule 1.
    pub fn round(
        &mut self,
        balancer: &mut Balancer,
        step_us: u64,
        feed: impl FnOnce(&mut Ledger, &mut Inbox),
    ) {
        self.now_us += step_us;
        let (due, later): (Vec<_>, Vec<_>) = self.wakes.drain(..).partition(|wake| wake.0 <= self.now_us);
        self.wakes = later;
        let mut written = Written(Vec::new());
        let fed: Result<(), ()> = balancer.round(self.now_us, &mut written, |inbox| {
            due.iter().for_each(|wake| inbox.timer_fired(&wake.1));
            feed(self, inbox);
            Ok(())
        });
        fed.expect("feeding never fails here");
        written.0.into_iter().for_each(|decision| decision(self));
        let now_us = self.now_us;
        let overdue =
            self.queries.iter().filter(|(_, qry)| qry.answer.is_none() && now_us > qry.deadline_us + 20_000);
        let overdue: Vec<String> = overdue.map(|(id, _)| format!("{id} has no answer in time")).collect();
        self.wrong.extend(overdue);
    }

    pub fn take(&mut self, inbox: &mut Inbox, id: &str, workload: usize, ttl_us: u64, hint_us: Option<u64>) {
        // Where clocks differ the final answer is in time until that much later.
        let deadline_us = self.now_us + ttl_us + self.standing.clocks.deadline_us;
        let (about, limits) = (self.workloads[workload].clone(), self.limits);
        let taken = Taken { workload: about, limits, deadline_us, sent: Vec::new(), answer: None };
        self.queries.insert(id.into(), taken);
        inbox
            .query(
                id,
                self.numbers.get(workload).copied().unwrap_or(workload),
                0,
                ttl_us,
                hint_us,
                self.again,
            )
            .expect("a known workload");
    }

    pub fn end(&mut self, inbox: &mut Inbox, id: &str, number: usize, ended: Ended) {
        self.end_with(inbox, id, number, ended, None);
    }

    pub fn end_with(
        &mut self,
        inbox: &mut Inbox,
        id: &str,
        number: usize,
        ended: Ended,
        report: Option<LoadReport>,
    ) {
        let qry = self.queries.get_mut(id).expect("taken before");
        let took_us = self.now_us - qry.sent[number].at_us;
        qry.sent[number].ended = Some(ended);
        if ended == Ended::Completed {
            qry.answer.get_or_insert("completed");
        }
        inbox.outcome(id, number as u32, ended, took_us, qry.answer.is_some(), report);
    }

    pub fn tell(&mut self, inbox: &mut Inbox, items: &[Listed]) {
        for item in items {
            let before = self.told.get(&item.backend).map(|told| told.0.since_us);
            if item.phase != Phase::Gone && before != Some(item.since_us) {
                self.drained.remove(&item.backend);
            }
            if item.phase == Phase::Terminating {
                self.drained.insert(item.backend);
            }
        }
        self.told.extend(items.iter().map(|item| (item.backend, (*item, self.now_us))));
        inbox.list(false, items);
    }

    /// Other limits and repeats for all queries to come.
    #[allow(dead_code, reason = "each test file takes what it needs of this one")]
    pub fn reload(&mut self, balancer: &mut Balancer, workloads: Vec<Workload>, limits: ExecutionLimits) {
        (self.workloads, self.limits) = (workloads.clone(), limits);
        self.numbers = balancer.reload(workloads, vec![], limits, self.cold);
    }

    #[allow(dead_code, reason = "each test file takes what it needs of this one")]
    pub fn by_hand(&mut self, inbox: &mut Inbox, backend: u32, out: bool) {
        let _ = if out { self.out.insert(backend) } else { self.out.remove(&backend) };
        inbox.set_manual_drain(backend, out);
    }

    /// The executions still out, by query and number.
    #[allow(dead_code, reason = "each test file takes what it needs of this one")]
    pub fn out(&self) -> Vec<(String, usize)> {
        let all =
            self.queries.iter().flat_map(|(id, qry)| qry.sent.iter().enumerate().map(move |sent| (id, sent)));
        all.filter(|(_, (_, sent))| sent.ended.is_none())
            .map(|(id, (number, _))| (id.clone(), number))
            .collect()
    }

    fn sent(&mut self, id: &str, backend: u32, timeout_us: u64, begin_within_us: u64) {
        let now_us = self.now_us;
        let Some((on, told_us)) = self.told.get(&backend).copied() else {
            return self.wrong.push(format!("{id} went to {backend}, which no list has named"));
        };
        let qry = self.queries.get_mut(id).expect("only taken queries are executed");
        let (workload, limits) = (&qry.workload, qry.limits);
        let group = |listed: Listed| match workload.group {
            DedupGroup::All => 0,
            DedupGroup::Zone => listed.zone,
            DedupGroup::Cell => listed.cell,
        };
        let out = qry.sent.iter().any(|sent| sent.ended.is_none());
        let first = qry.sent.iter().find(|sent| sent.may_have_run());
        let outside = |first: &Sent| {
            group(on) != group(self.told[&first.backend].0) || now_us > first.at_us + workload.window_us
        };
        // What is still to be written may be written that much later.
        let begins_late = |first: &Sent| now_us + begin_within_us > first.at_us + workload.window_us;
        let binds = !self.standing.removal_not_binding || self.drained.contains(&backend);
        let deduplicated = workload.repeat == Repeat::Deduplicated;
        let breaks = [
            (qry.answer.is_some() || now_us > qry.deadline_us, "is executed after its answer or deadline"),
            (
                on.phase != Phase::Ready && binds && now_us > told_us + 500_000,
                "goes to one that drains or is gone",
            ),
            (self.out.contains(&backend), "goes to one that is out by hand"),
            (out && !limits.may_duplicate, "is out twice at a time"),
            (qry.sent.len() as u32 >= limits.max_executions, "is executed too often"),
            (workload.repeat == Repeat::NonIdempotent && first.is_some(), "may have two effects"),
            (deduplicated && first.is_some_and(outside), "is repeated outside its group or window"),
            (deduplicated && first.is_some_and(begins_late), "may begin after its window"),
        ];
        let broken = breaks.iter().filter(|rule| rule.0).map(|rule| format!("{id} {}", rule.1));
        self.wrong.extend(broken);
        qry.sent.push(Sent { backend, at_us: now_us, until_us: now_us + timeout_us, ended: None });
    }

    fn answered(&mut self, id: &str, answer: &'static str) {
        let qry = self.queries.get_mut(id).expect("only taken queries are answered");
        let workload = &qry.workload;
        let harmless = workload.repeat == Repeat::Idempotent
            || workload.repeat == Repeat::Deduplicated && workload.group == DedupGroup::All;
        if answer == "rejected" && !harmless && qry.sent.iter().any(Sent::may_have_run) {
            self.wrong.push(format!("{id} is rejected though it may have run"));
        }
        if self.now_us > qry.deadline_us + 20_000 {
            self.wrong.push(format!("{id} is answered too late"));
        }
        // A client may leave in the very round that answers it, which the round cannot know.
        if qry.answer.replace(answer).is_some_and(|earlier| earlier != "withdrawn") {
            self.wrong.push(format!("{id} is answered twice"));
        }
    }
}

type Decision = Box<dyn FnOnce(&mut Ledger)>;

struct Written(Vec<Decision>);

impl Written {
    fn put(&mut self, decision: impl FnOnce(&mut Ledger) + 'static) {
        self.0.push(Box::new(decision));
    }
}

impl Writer for Written {
    fn execute(&mut self, qry: &str, backend: u32, timeout_us: u64, begin_within_us: u64) {
        let qry = qry.to_owned();
        self.put(move |ledger| ledger.sent(&qry, backend, timeout_us, begin_within_us));
    }
    fn cancel(&mut self, qry: &str, execution: u32) {
        let qry = qry.to_owned();
        self.put(move |ledger| {
            if !ledger.queries[&qry].limits.cancel || ledger.queries[&qry].sent.len() <= execution as usize {
                ledger.wrong.push(format!("{qry} is cancelled where it may not be or never went"));
            }
        });
    }
    fn reject(&mut self, qry: &str, backoff_us: u64) {
        let qry = qry.to_owned();
        self.put(move |ledger| {
            ledger.advised.push(backoff_us);
            ledger.answered(&qry, "rejected");
        });
    }
    fn abort(&mut self, qry: &str) {
        let qry = qry.to_owned();
        self.put(move |ledger| ledger.answered(&qry, "aborted"));
    }
    fn wake(&mut self, in_us: u64, token: &str) {
        let token = token.to_owned();
        self.put(move |ledger| ledger.wakes.push((ledger.now_us + in_us, token)));
    }
    fn subscribe(&mut self) {
        self.put(|ledger| ledger.asked += 1);
    }
    fn probe(&mut self, backend: u32) {
        self.put(move |ledger| {
            ledger.wrong.extend((!ledger.standing.probes).then(|| "a probe leaves where none may".into()));
            ledger.probed.push(backend);
        });
    }
    fn send_note(&mut self, peer: u32, bytes: &str) {
        let note = (peer, bytes.to_owned());
        self.put(move |ledger| {
            ledger.wrong.extend((!ledger.peers).then(|| "a note leaves where none may".into()));
            ledger.notes.push(note);
        });
    }
}
