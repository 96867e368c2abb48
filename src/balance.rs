//! All decisions of the proxy. A host makes one `Balancer` an instance and calls `round` once for
//! each batch of news: inside the call it feeds what came in through `Inbox`; then the round places
//! what waits. Decisions leave through the `Writer`; it and all plain types stand in `interface.rs`.
//! The mechanism (types, groups, rotation, best fit) follows docs/design.md, which names each exception.

use crate::interface::*;
use fastrand::Rng;
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The paper's load values of the four types, from plain to heavy on all counts.
const VALUES: [f64; 4] = [1.0, 2.0, 2.0, 3.0];
const REGROUP_US: u64 = 30_000_000;
const SWEEP_US: u64 = 25_000;
const DEFAULT_MAX: f64 = 8.0;
/// Queries that all proxies together leave with one backend: more only wait there, where they can no
/// longer be rejected, and a crowded backend may slow down and stay slow.
const CROWD: u32 = 6;
/// A backend is judged by its last few outcomes, one bit each, newest lowest.
const OUTCOMES: u32 = 8;

struct Execution {
    backend: u32,
    sent_us: u64,
    expected_us: u64,
    serial: u64,
    out: bool,
    may_have_run: bool,
}

struct Query {
    id: String,
    workload: usize,
    kind: usize,
    load: f64,
    /// What the hint says in the same units, where `load` is the type's value.
    work: f64,
    hint_us: Option<u64>,
    arrived_us: u64,
    deadline_us: u64,
    weight: f64,
    executions: Vec<Execution>,
    over: bool,
}

/// An execution that a backend still holds, with our load on the backend once it was added.
struct Held {
    serial: u64,
    sent_us: u64,
    load: f64,
    work: f64,
    ahead: f64,
}

struct Backend {
    listed: Listed,
    held: VecDeque<Held>,
    load: f64,
    work: f64,
    pace: f64,
    rates: Histogram<u32>,
    rate: Option<f64>,
    sampled_us: u64,
    failures: u32,
    shut_until_us: u64,
    shut_for_us: u64,
    cold_sent: VecDeque<(u64, f64)>,
    max: f64,
}

struct Allowance {
    per_us: f64,
    left: f64,
    filled_us: u64,
}

struct Member {
    backend: u32,
    turn: f64,
}

pub struct Balancer {
    rng: Rng,
    place: Place,
    workloads: Vec<Workload>,
    limits: ExecutionLimits,
    cold: ColdRule,
    beyond_share: f64,
    tenants: Vec<Allowance>,
    must_ask: bool,
    asked_failures: u32,
    target_us: f64,
    crowd: usize,
    fleet: BTreeMap<u32, Backend>,
    groups: [Vec<Member>; 4],
    regroup_us: u64,
    regroup_gap_us: u64,
    hints: Histogram<u32>,
    unit_us: f64,
    speeds: Histogram<u32>,
    traffic: [f64; 4],
    queries: BTreeMap<u64, Query>,
    serials: HashMap<String, u64>,
    waiting: BTreeSet<(Reverse<u64>, u64)>,
    next_serial: u64,
    further: f64,
    sweeping: bool,
    started: bool,
}

pub struct Inbox<'a> {
    b: &'a mut Balancer,
    out: &'a mut dyn Writer,
    now_us: u64,
}

fn halve(histogram: &mut Histogram<u32>) {
    let kept: Vec<(u64, u32)> =
        histogram.iter_recorded().map(|bin| (bin.value_iterated_to(), bin.count_at_value() / 2)).collect();
    histogram.reset();
    for (value, count) in kept {
        histogram.saturating_record_n(value, count);
    }
}

fn small_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, 1 << 30, 1).expect("constant bounds")
}

impl Backend {
    fn new(listed: Listed) -> Self {
        Backend {
            listed,
            held: VecDeque::new(),
            load: 0.0,
            work: 0.0,
            pace: 0.0,
            rates: small_histogram(),
            rate: None,
            sampled_us: 0,
            failures: 0,
            shut_until_us: 0,
            shut_for_us: 0,
            cold_sent: VecDeque::new(),
            max: DEFAULT_MAX,
        }
    }

    /// The share of its capacity that a started backend surely has; 1 once warm.
    fn warmth(&self, cold: &ColdRule, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.listed.since_us);
        if self.listed.since_us == 0 || age_us >= cold.cold_us {
            return 1.0;
        }
        cold.start_capacity + (1.0 - cold.start_capacity) * age_us as f64 / cold.cold_us as f64
    }

    fn open(&self, now_us: u64) -> bool {
        self.listed.phase == Phase::Ready
            && now_us >= self.shut_until_us
            && (self.shut_for_us == 0 || self.held.is_empty())
    }

    fn learn(&mut self, ahead: f64, took_us: u64, now_us: u64) {
        self.rates.saturating_record((ahead * 1e9 / took_us.max(1000) as f64) as u64);
        if self.rates.len() >= 2 * u64::from(OUTCOMES) {
            halve(&mut self.rates);
        }
        self.sampled_us = now_us;
        self.rate = Some(self.rates.value_at_quantile(0.5) as f64 / 1e9);
    }
}

impl Query {
    fn may_have_run(&self) -> Option<&Execution> {
        self.executions.iter().find(|exec| exec.out || exec.may_have_run)
    }

    fn out(&self) -> bool {
        self.executions.iter().any(|exec| exec.out)
    }
}

impl Balancer {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        seed: u64,
        place: Place,
        workloads: Vec<Workload>,
        tenants: Vec<Tenant>,
        beyond_share: f64,
        limits: ExecutionLimits,
        cold: ColdRule,
        must_ask: bool,
        _warm_keys: bool,
    ) -> Self {
        let slo_us = workloads.iter().map(|workload| workload.slo_us).min().unwrap_or(1_000_000);
        let balancers = f64::from(place.balancers.max(1));
        let allowance = |tenant: &Tenant| Allowance {
            per_us: tenant.quota_per_s / balancers / 1e6,
            left: tenant.quota_per_s / balancers,
            filled_us: 0,
        };
        Balancer {
            rng: Rng::with_seed(seed),
            place,
            limits,
            cold,
            beyond_share,
            tenants: tenants.iter().map(allowance).collect(),
            must_ask,
            asked_failures: 0,
            target_us: slo_us as f64 / 8.0,
            crowd: (CROWD / place.balancers.max(1)).max(1) as usize,
            workloads,
            fleet: BTreeMap::new(),
            groups: Default::default(),
            regroup_us: 0,
            regroup_gap_us: 1_000_000,
            hints: small_histogram(),
            unit_us: 0.0,
            speeds: small_histogram(),
            traffic: [0.0; 4],
            queries: BTreeMap::new(),
            serials: HashMap::new(),
            waiting: BTreeSet::new(),
            next_serial: 0,
            further: 10.0,
            sweeping: false,
            started: false,
        }
    }

    /// Takes in all news of one batch through `feed`, then places what waits.
    pub fn round<E>(
        &mut self,
        now_us: u64,
        out: &mut dyn Writer,
        feed: impl FnOnce(&mut Inbox) -> Result<(), E>,
    ) -> Result<(), E> {
        if !self.started {
            self.started = true;
            if self.must_ask {
                out.subscribe();
            }
        }
        feed(&mut Inbox { b: self, out, now_us })?;
        self.set_maxima(now_us);
        if now_us >= self.regroup_us {
            self.regroup(now_us);
        }
        self.place_waiting(now_us, out);
        if !self.sweeping && !self.queries.is_empty() {
            self.sweeping = true;
            out.wake(SWEEP_US, "sweep");
        }
        Ok(())
    }

    /// A maximum is the load that a backend works off within the target time at the pace its outcomes
    /// show; without outcomes it is the mean of the others' maxima.
    fn set_maxima(&mut self, now_us: u64) {
        let known: Vec<f64> = self.fleet.values().filter_map(|backend| backend.rate).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        for backend in self.fleet.values_mut() {
            let pace = if known.is_empty() { DEFAULT_MAX / self.target_us } else { mean };
            let mut pace = backend.rate.unwrap_or(pace);
            // A backend that stands still yields no outcomes: what it has held longest bounds its pace.
            if let Some(oldest) = backend.held.front() {
                let age_us = now_us.saturating_sub(oldest.sent_us).max(1);
                pace = pace.min(oldest.ahead / age_us as f64);
            }
            backend.pace = pace;
            backend.max = pace * self.target_us * backend.warmth(&self.cold, now_us);
        }
    }

    fn kind_of(&self, hint_us: Option<u64>) -> (usize, f64) {
        let Some(hint_us) = hint_us.filter(|_| self.unit_us > 0.0) else { return (0, VALUES[0]) };
        let units = hint_us as f64 / self.unit_us;
        let kind = [1.5, 2.0, 2.5].iter().filter(|edge| units >= **edge).count();
        // Long tails: beyond the heaviest value a query counts what its hint says.
        (kind, if kind == 3 { units.max(VALUES[3]) } else { VALUES[kind] })
    }

    fn regroup(&mut self, now_us: u64) {
        self.regroup_us = now_us + self.regroup_gap_us;
        self.regroup_gap_us = (self.regroup_gap_us * 2).min(REGROUP_US);
        let mut servers: Vec<(u32, f64)> = self
            .fleet
            .values()
            .filter(|backend| backend.listed.phase == Phase::Ready)
            .map(|backend| (backend.listed.backend, backend.max))
            .collect();
        servers.sort_by(|a, b| b.1.total_cmp(&a.1));
        let whole: f64 = servers.iter().map(|server| server.1).sum();
        let units: f64 = self.traffic.iter().sum();
        let mut wanted = self.traffic.map(|traffic| whole * traffic / units.max(1e-9));
        let mut groups: [Vec<Member>; 4] = Default::default();
        if units > 0.0 {
            for (index, (backend, max)) in servers.iter().enumerate() {
                let empty = |kind: &usize| wanted[*kind] > 0.0 && groups[*kind].is_empty();
                let bare = (0..4).filter(empty).count();
                let among = (0..4).filter(|kind| servers.len() - index > bare || empty(kind));
                let kind = among.max_by(|a, b| wanted[*a].total_cmp(&wanted[*b])).unwrap_or(0);
                wanted[kind] -= max;
                groups[kind].push(Member { backend: *backend, turn: 0.0 });
            }
        }
        for group in &mut groups {
            if group.is_empty() {
                group.extend(servers.iter().map(|server| Member { backend: server.0, turn: 0.0 }));
            }
            for member in group.iter_mut() {
                member.turn = self.rng.f64() * self.fleet[&member.backend].listed.weight;
            }
        }
        self.groups = groups;
        self.traffic = self.traffic.map(|traffic| traffic / 2.0);
        if !self.hints.is_empty() {
            self.unit_us = self.hints.mean() / 2.0;
            halve(&mut self.hints);
        }
    }

    fn leave(&mut self, backend: u32, now_us: u64) {
        for group in &mut self.groups {
            group.retain(|member| member.backend != backend);
        }
        if self.groups.iter().any(Vec::is_empty) {
            self.regroup_us = now_us;
        }
    }

    /// Whether rule 2 and the settings let this query have an execution on this backend now.
    fn allowed(&self, qry: &Query, backend: &Backend, now_us: u64) -> bool {
        let listed = &backend.listed;
        let Some(earlier) = qry.may_have_run() else { return true };
        let workload = &self.workloads[qry.workload];
        match workload.repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => false,
            Repeat::Deduplicated => {
                let first = &self.fleet[&earlier.backend].listed;
                now_us < earlier.sent_us + workload.window_us
                    && match workload.group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => listed.zone == first.zone,
                        DedupGroup::Cell => listed.cell == first.cell,
                    }
            }
        }
    }

    fn within_cold_budget(&self, backend: &Backend, load: f64, now_us: u64) -> bool {
        let warmth = backend.warmth(&self.cold, now_us);
        if warmth >= 1.0 {
            return true;
        }
        let warm = self.fleet.values().filter(|other| other.warmth(&self.cold, now_us) >= 1.0);
        let pace = warm.filter_map(|other| other.rate).fold(f64::INFINITY, f64::min);
        let pace = if pace.is_finite() { pace } else { DEFAULT_MAX / self.target_us };
        let window = self.cold.window_us as f64;
        let budget =
            self.cold.multiple * warmth * pace * window / f64::from(self.place.balancers.max(1)) / 2.0;
        let since = now_us.saturating_sub(self.cold.window_us);
        let sent: f64 = backend.cold_sent.iter().filter(|sent| sent.0 >= since).map(|sent| sent.1).sum();
        sent + load <= budget
    }

    fn choose(&mut self, serial: u64, now_us: u64, second: bool) -> Option<u32> {
        let ready = self.fleet.values().filter(|backend| backend.listed.phase == Phase::Ready).count();
        let held: usize = self.fleet.values().map(|backend| backend.held.len()).sum();
        // Where proxies are many, one query of each on a backend is a crowd already.
        if held >= (ready * CROWD as usize / self.place.balancers.max(1) as usize).max(1) {
            return None;
        }
        let qry = &self.queries[&serial];
        let usable = |backend: &Backend| {
            backend.open(now_us)
                && backend.held.len() < self.crowd
                && qry.executions.iter().all(|exec| exec.backend != backend.listed.backend)
                && self.allowed(qry, backend, now_us)
                && self.within_cold_budget(backend, qry.load, now_us)
        };
        let group = &self.groups[qry.kind];
        let members: Vec<usize> =
            (0..group.len()).filter(|i| usable(&self.fleet[&group[*i].backend])).collect();
        let (load, max) = members.iter().fold((0.0, 0.0), |sum, i| {
            let backend = &self.fleet[&group[*i].backend];
            (sum.0 + backend.load, sum.1 + backend.max)
        });
        if !members.is_empty() && load <= max / 10.0 {
            let group = &mut self.groups[qry.kind];
            let mut total = 0.0;
            for i in &members {
                let weight = self.fleet[&group[*i].backend].listed.weight;
                group[*i].turn += weight;
                total += weight;
            }
            let next = members.into_iter().max_by(|a, b| group[*a].turn.total_cmp(&group[*b].turn))?;
            group[next].turn -= total;
            return Some(group[next].backend);
        }
        let load = qry.load;
        let members: Vec<u32> = members.iter().map(|i| group[*i].backend).collect();
        let others: Vec<u32> = self
            .fleet
            .values()
            .filter(|backend| usable(backend))
            .map(|backend| backend.listed.backend)
            .collect();
        let reach = 1.0 + qry.weight;
        // A long tail is past every maximum: it fits where it would end within its SLO time.
        let left_us = (qry.arrived_us + self.workloads[qry.workload].slo_us).saturating_sub(now_us) as f64;
        let (work, tail) = (qry.work, load > VALUES[3]);
        let fits = |backend: &Backend| {
            if tail {
                backend.load < backend.max && backend.work + work <= backend.pace * left_us
            } else {
                backend.held.is_empty() || backend.load + load <= backend.max
            }
        };
        let bears = |backend: &Backend| !second && backend.load < backend.max * reach;
        self.roomiest(&members, fits)
            .or_else(|| self.roomiest(&others, fits))
            .or_else(|| self.roomiest(&members, bears))
            .or_else(|| self.roomiest(&others, bears))
    }

    fn roomiest(&mut self, among: &[u32], takes: impl Fn(&Backend) -> bool) -> Option<u32> {
        let (mut best, mut most, mut ties) = (None, f64::NEG_INFINITY, 0);
        for id in among {
            let backend = &self.fleet[id];
            let room = backend.max - backend.load;
            if !takes(backend) || room < most {
                continue;
            }
            ties = if room > most { 1 } else { ties + 1 };
            if self.rng.u32(0..ties) == 0 {
                best = Some(*id);
            }
            most = room;
        }
        best
    }

    fn execute(&mut self, serial: u64, id: u32, now_us: u64, out: &mut dyn Writer) {
        let qry = self.queries.get_mut(&serial).expect("placed queries are live");
        let backend = self.fleet.get_mut(&id).expect("chosen backends are known");
        self.next_serial += 1;
        backend.load += qry.load;
        backend.work += qry.work;
        let held = Held { serial: self.next_serial, sent_us: now_us, load: qry.load, work: qry.work, ahead: backend.work };
        if backend.warmth(&self.cold, now_us) < 1.0 {
            backend.cold_sent.push_back((now_us, qry.load));
        }
        backend.held.push_back(held);
        qry.executions.push(Execution {
            backend: id,
            sent_us: now_us,
            expected_us: (backend.work / backend.pace.max(1e-9)) as u64,
            serial: self.next_serial,
            out: true,
            may_have_run: false,
        });
        out.execute(&qry.id, id, qry.deadline_us - now_us);
    }

    fn place_waiting(&mut self, now_us: u64, out: &mut dyn Writer) {
        let order: Vec<(Reverse<u64>, u64)> = self.waiting.iter().copied().collect();
        let mut full = false;
        for entry in order {
            let qry = &self.queries[&entry.1];
            let last_chance = qry.deadline_us <= now_us + 2 * SWEEP_US;
            if full && !last_chance {
                continue;
            }
            let free = qry.may_have_run().is_none();
            if qry.deadline_us > now_us {
                if let Some(id) = self.choose(entry.1, now_us, false) {
                    self.waiting.remove(&entry);
                    self.execute(entry.1, id, now_us, out);
                    continue;
                }
            }
            full |= free;
            if last_chance {
                self.give_up(entry.1, out);
            }
        }
    }

    /// The final answer to a query that gets no further execution, at once.
    fn give_up(&mut self, serial: u64, out: &mut dyn Writer) {
        let wait_us = self.expected_wait_us(0);
        let qry = self.queries.get_mut(&serial).expect("given up once");
        let workload = &self.workloads[qry.workload];
        let harmless = match workload.repeat {
            Repeat::Idempotent => true,
            Repeat::Deduplicated => workload.group == DedupGroup::All || qry.may_have_run().is_none(),
            Repeat::NonIdempotent => qry.may_have_run().is_none(),
        };
        if harmless {
            out.reject(&qry.id, (wait_us as u64).max(100_000).min(self.limits.max_backoff_us));
        } else {
            out.abort(&qry.id);
        }
        self.close(serial, out);
    }

    /// Ends a query here; its executions still out are called off and counted until they end.
    fn close(&mut self, serial: u64, out: &mut dyn Writer) {
        let Some(qry) = self.queries.get_mut(&serial) else { return };
        self.waiting.remove(&(Reverse(rank(qry.weight)), serial));
        if !qry.over && self.limits.cancel {
            for (number, _) in qry.executions.iter().enumerate().filter(|(_, exec)| exec.out) {
                out.cancel(&qry.id, number as u32);
            }
        }
        qry.over = true;
        if !qry.out() {
            self.serials.remove(&qry.id);
            self.queries.remove(&serial);
        }
    }

    fn expected_wait_us(&self, least: u64) -> f64 {
        let ahead: f64 = self
            .waiting
            .iter()
            .take_while(|entry| entry.0 .0 >= least)
            .map(|entry| self.queries[&entry.1].load)
            .sum();
        let pace: f64 = self.fleet.values().filter(|b| b.listed.phase == Phase::Ready).map(|b| b.max).sum();
        ahead / (pace / self.target_us).max(1e-9)
    }

    fn judge(&mut self, id: u32, success: bool, now_us: u64) {
        let ready = self.fleet.values().filter(|b| b.listed.phase == Phase::Ready).count() as u32;
        let shut = self.fleet.values().filter(|b| b.shut_for_us > 0).count() as u32;
        let mask = (1 << OUTCOMES) - 1;
        let all: u32 = self.fleet.values().map(|b| (b.failures & mask).count_ones()).sum();
        let backend = self.fleet.get_mut(&id).expect("judged backends are known");
        backend.failures = backend.failures << 1 | u32::from(!success);
        let own = (backend.failures & mask).count_ones();
        if success {
            backend.shut_for_us = 0;
            backend.shut_until_us = 0;
        } else if backend.shut_for_us > 0 || (own >= 3 && own * ready >= 2 * all && shut * 3 < ready) {
            backend.shut_for_us = (backend.shut_for_us * 2).clamp(500_000, 4_000_000);
            backend.shut_until_us = now_us + backend.shut_for_us;
            backend.failures = 0;
        }
    }

    fn sweep(&mut self, now_us: u64, out: &mut dyn Writer) {
        for backend in self.fleet.values_mut() {
            if backend.rate.is_some() && now_us > backend.sampled_us + 5_000_000 {
                halve(&mut backend.rates);
                backend.sampled_us = now_us;
                if backend.rates.is_empty() {
                    backend.rate = None;
                }
            }
            while backend.cold_sent.front().is_some_and(|sent| sent.0 + self.cold.window_us < now_us) {
                backend.cold_sent.pop_front();
            }
        }
        let stale: Vec<u64> = self
            .waiting
            .iter()
            .map(|entry| entry.1)
            .filter(|serial| {
                let qry = &self.queries[serial];
                now_us > qry.arrived_us + self.workloads[qry.workload].slo_us / 2
            })
            .collect();
        for serial in stale {
            self.give_up(serial, out);
        }
        let late: Vec<u64> = self
            .queries
            .iter()
            .filter(|(_, qry)| !qry.over && qry.executions.len() == 1 && qry.out())
            .filter(|(_, qry)| {
                now_us > qry.executions[0].sent_us + self.workloads[qry.workload].slo_us / 3
 && now_us > qry.executions[0].sent_us + 2 * qry.executions[0].expected_us
                    && (qry.executions.len() as u32) < self.limits.max_executions
            })
            .map(|(serial, _)| *serial)
            .collect();
        for serial in late {
            if self.further < 1.0 || !self.limits.may_duplicate {
                break;
            }
            if let Some(id) = self.choose(serial, now_us, true) {
                self.further -= 1.0;
                self.execute(serial, id, now_us, out);
            }
        }
    }
}

fn rank(weight: f64) -> u64 {
    (weight * 1000.0) as u64
}

impl Inbox<'_> {
    pub fn query(
        &mut self,
        id: &str,
        workload: usize,
        tenant: usize,
        _key: Option<&str>,
        ttl_us: u64,
        hint_us: Option<u64>,
    ) -> Result<(), String> {
        let most = self.b.workloads.iter().map(|workload| workload.importance).fold(0.0, f64::max);
        let Some(about) = self.b.workloads.get(workload) else {
            return Err(format!("workload {workload} is not in the settings"));
        };
        let (slo_us, tardy) = (about.slo_us, about.tardy_importance);
        let mut weight = about.importance / most.max(1e-9);
        if let Some(share) = self.b.tenants.get_mut(tenant) {
            let gained = share.per_us * self.now_us.saturating_sub(share.filled_us) as f64;
            share.left = (share.left + gained).min(share.per_us * 1e6);
            share.filled_us = self.now_us;
            if share.left >= 1.0 {
                share.left -= 1.0;
            } else {
                weight *= self.b.beyond_share;
            }
        }
        if let Some(hint_us) = hint_us {
            self.b.hints.saturating_record(hint_us);
            if self.b.hints.len().is_power_of_two() {
                self.b.unit_us = self.b.hints.mean() / 2.0;
            }
        }
        // Some queries cannot end in time even on the fastest backend: executed, they would only
        // keep it from the others, the more so as clients ask again.
        let fastest = self.b.speeds.value_at_quantile(0.9) as f64 / 1e3;
        let takes_us = hint_us.filter(|_| fastest > 0.0).map_or(0.0, |hint_us| hint_us as f64 / fastest);
        if takes_us > slo_us as f64 {
            weight *= tardy;
        }
        let (kind, load) = self.b.kind_of(hint_us);
        self.b.traffic[kind] += load;
        self.b.further = (self.b.further + 0.1).min(20.0);
        self.b.next_serial += 1;
        let serial = self.b.next_serial;
        let qry = Query {
            id: id.to_owned(),
            workload,
            kind,
            load,
            work: hint_us.filter(|_| self.b.unit_us > 0.0).map_or(load, |hint| hint as f64 / self.b.unit_us),
            hint_us,
            arrived_us: self.now_us,
            deadline_us: self.now_us + ttl_us,
            weight,
            executions: Vec::new(),
            over: false,
        };
        self.b.serials.insert(id.to_owned(), serial);
        self.b.queries.insert(serial, qry);
        let pressure = self.b.expected_wait_us(rank(weight)) / slo_us.max(1) as f64;
        if takes_us > ttl_us as f64 || self.b.rng.f64() < (pressure - 0.25) / 0.5 {
            self.b.give_up(serial, self.out);
        } else {
            self.b.waiting.insert((Reverse(rank(weight)), serial));
        }
        Ok(())
    }

    #[allow(clippy::too_many_arguments)]
    pub fn outcome(
        &mut self,
        id: &str,
        execution: u32,
        ended: Ended,
        took_us: u64,
        over: bool,
        backend: u32,
        _report: Option<LoadReport>,
    ) {
        let Some(&serial) = self.b.serials.get(id) else { return };
        let qry = self.b.queries.get_mut(&serial).expect("serials are of live queries");
        let Some(exec) = qry.executions.get_mut(execution as usize).filter(|exec| exec.out) else { return };
        exec.out = false;
        exec.may_have_run = !matches!(ended, Ended::TurnedAway | Ended::Unreachable | Ended::NotSent);
        let at = self.b.fleet.get_mut(&backend).expect("executions go to known backends");
        if let Some(place) = at.held.iter().position(|held| held.serial == exec.serial) {
            let held = at.held.remove(place).expect("found above");
            at.load = if at.held.is_empty() { 0.0 } else { at.load - held.load };
            at.work = if at.held.is_empty() { 0.0 } else { at.work - held.work };
            if matches!(ended, Ended::Completed | Ended::TimedOut) {
                at.learn(held.ahead, took_us, self.now_us);
            }
        }
        match ended {
            Ended::Completed => {
                if let Some(hint_us) = self.b.queries[&serial].hint_us {
                    self.b.speeds.saturating_record(hint_us * 1000 / took_us.max(1));
                    if self.b.speeds.len() >= 256 {
                        halve(&mut self.b.speeds);
                    }
                }
                self.b.judge(backend, true, self.now_us);
            }
            Ended::Cancelled | Ended::NotSent => {}
            // It says itself that it is full; as it answers at once it would else look the roomiest.
            Ended::TurnedAway => {
                let at = self.b.fleet.get_mut(&backend).expect("just used");
                at.shut_until_us = at.shut_until_us.max(self.now_us + 2 * self.b.target_us as u64);
            }
            _ => self.b.judge(backend, false, self.now_us),
        }
        let qry = &self.b.queries[&serial];
        if over || qry.over {
            self.b.close(serial, self.out);
        } else if !qry.out() {
            let free = matches!(ended, Ended::Unreachable);
            let more = (qry.executions.len() as u32) < self.b.limits.max_executions
                && qry.deadline_us > self.now_us
                && (free || self.b.further >= 1.0)
                && self.b.fleet.values().any(|other| {
                    other.listed.phase == Phase::Ready && self.b.allowed(qry, other, self.now_us)
                });
            if more {
                self.b.further -= if free { 0.0 } else { 1.0 };
                self.b.waiting.insert((Reverse(rank(qry.weight)), serial));
            } else {
                self.b.give_up(serial, self.out);
            }
        }
    }

    /// A stream has started: the answer is the client's now and nothing is left to decide.
    pub fn begun(&mut self, id: &str, _execution: u32) {
        if let Some(serial) = self.b.serials.get(id) {
            self.b.queries.get_mut(serial).expect("serials are of live queries").over = true;
        }
    }

    pub fn withdrawn(&mut self, id: &str) {
        if let Some(&serial) = self.b.serials.get(id) {
            self.b.close(serial, self.out);
        }
    }

    pub fn woken(&mut self, token: &str) {
        match token {
            "sweep" => {
                self.b.sweeping = false;
                self.b.sweep(self.now_us, self.out);
            }
            "ask" => self.out.subscribe(),
            _ => {}
        }
    }

    pub fn probed(&mut self, _backend: u32, _ended: Ended, _report: Option<LoadReport>) {}

    pub fn note(&mut self, _peer: u32, _bytes: &str) {}

    pub fn list_lost(&mut self) {
        self.b.asked_failures = (self.b.asked_failures + 1).min(4);
        let most = 250_000u64 << self.b.asked_failures;
        self.out.wake(self.b.rng.u64(most / 2..most), "ask");
    }

    pub fn list_changes(&mut self, items: &[Listed]) {
        self.b.asked_failures = 0;
        for item in items {
            let fresh = |b: &Backend| b.listed.since_us == item.since_us && b.listed.phase == item.phase;
            if self.b.fleet.get(&item.backend).is_some_and(fresh) {
                self.b.fleet.get_mut(&item.backend).expect("just seen").listed = *item;
                continue;
            }
            let old = self.b.fleet.remove(&item.backend);
            let restarted = old.as_ref().is_none_or(|old| old.listed.since_us != item.since_us);
            let mut backend = Backend::new(*item);
            if let Some(old) = old {
                (backend.held, backend.load, backend.work) = (old.held, old.load, old.work);
                if !restarted {
                    (backend.rates, backend.rate) = (old.rates, old.rate);
                }
            }
            self.b.fleet.insert(item.backend, backend);
            if item.phase != Phase::Ready {
                self.b.leave(item.backend, self.now_us);
            } else {
                self.b.regroup_us = self.now_us;
            }
        }
    }

    pub fn list_whole(&mut self, items: &[Listed]) {
        let named: BTreeSet<u32> = items.iter().map(|item| item.backend).collect();
        let missing: Vec<u32> = self.b.fleet.keys().filter(|id| !named.contains(id)).copied().collect();
        for id in missing {
            self.b.fleet.get_mut(&id).expect("listed above").listed.phase = Phase::Gone;
            self.b.leave(id, self.now_us);
        }
        self.list_changes(items);
    }
}
