//! What the decisions in `balance` remember. Nothing is decided here.

use crate::interface::*;
use crate::retry::Retry;
use fastrand::Rng;
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Queries a tenant may save up at the least: a share of a quota over many proxies holds less than one.
pub(crate) const MIN_QUOTA_BURST: f64 = 4.0;
/// Waves of candidates that a query has probed for it: rotation's next, its group, the part, those beyond.
pub const MAX_PROBE_WAVES: u32 = 4;
/// Of the use of a backend that the list drops.
pub const PHASE_OUT_STEPS: u8 = 4;
/// Executions dropped together that tell a death from answers that break off one by one, and within what time: an answer
/// that can't be read, or breaks off, is dropped too, and says nothing of the others.
pub const DEATH_DROPS: u32 = 3;
const DEATH_WINDOW_US: u64 = 10_000;
/// Longer than any body is on its way: an execution that counts as sent then is late for nobody.
pub const FAR_FUTURE_US: u64 = 86_400_000_000;
/// What a backend takes on at the most before any outcome tells.
pub const DEFAULT_MAX_LOAD: f64 = 8.0;

/// A small histogram of few coarse bins.
pub struct DecayingHistogram(Histogram<u32>);

impl Default for DecayingHistogram {
    fn default() -> Self {
        DecayingHistogram(
            Histogram::new_with_bounds(1, 1 << 30, 1).expect("the bounds are constant and sound"),
        )
    }
}

impl DecayingHistogram {
    /// Records one value; once `most` are kept, all count half, so that the newer ones lead.
    pub fn record(&mut self, value: f64, most: u64) {
        self.0.saturating_record(value as u64);
        if self.0.len() >= most {
            self.halve();
        }
    }

    pub fn halve(&mut self) {
        if self.0.is_empty() {
            return;
        }
        let halved = |bin: hdrhistogram::iterators::IterationValue<u32>| {
            (bin.value_iterated_to(), bin.count_at_value() / 2)
        };
        let bins: Vec<(u64, u32)> = self.0.iter_recorded().map(halved).collect();
        self.0.reset();
        bins.into_iter().for_each(|(value, count)| self.0.saturating_record_n(value, count));
    }

    pub fn len(&self) -> u64 {
        self.0.len()
    }

    pub fn at(&self, quantile: f64) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.value_at_quantile(quantile) as f64)
    }

    pub fn mean(&self) -> f64 {
        self.0.mean()
    }
}

/// The mean of some values, or what counts where there are none.
pub fn mean_or(values: impl Iterator<Item = f64>, none: f64) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        none
    }
}

pub struct Execution {
    pub backend: u32,
    pub serial: u64,
    pub sent_us: u64,
    pub expected_duration_us: u64,
    pub out: bool,
    pub cancel_sent: bool,
    pub may_have_run: bool,
    /// Out for so long that it counts as failed already.
    pub late: bool,
}

impl Execution {
    pub fn new(backend: u32, serial: u64, sent_us: u64, expected_us: u64) -> Self {
        let (called_off, may_have_run, late) = (false, false, false);
        Execution {
            backend,
            serial,
            sent_us,
            expected_duration_us: expected_us,
            out: true,
            cancel_sent: called_off,
            may_have_run,
            late,
        }
    }
}

#[derive(Default)]
pub struct Query {
    pub id: String,
    pub serial: u64,
    pub workload: usize,
    pub kind: usize,
    /// What it adds to a backend's load: its type's value, or for a long tail what its hint says.
    pub load: f64,
    /// What its hint says in load units.
    pub work: f64,
    /// The candidates probed for it, wave by wave, and how many waves there were.
    pub asked: Vec<u32>,
    pub probe_waves: u32,
    pub arrived_us: u64,
    pub slo_us: u64,
    /// Until when it is worth an answer, and the longest that its client may wait: see `Query::time`.
    pub deadline_us: u64,
    pub longest_us: u64,
    pub importance: f64,
    pub executions: Vec<Execution>,
    pub finished: bool,
    /// Those in force when it came.
    pub limits: ExecutionLimits,
}

impl Query {
    pub fn new(id: &str, serial: u64, workload: usize, arrived_us: u64, limits: ExecutionLimits) -> Self {
        Query { id: id.to_owned(), serial, workload, arrived_us, limits, ..Query::default() }
    }

    /// The execution that binds all further ones: the first that is out or may have run.
    pub fn binding_execution(&self) -> Option<&Execution> {
        self.executions.iter().find(|exec| exec.out || exec.may_have_run)
    }

    /// For how long a further execution may begin, as long as its repeats are known.
    pub fn dedup_left_us(&self, workloads: &[Workload], now_us: u64) -> u64 {
        let workload = &workloads[self.workload];
        let binding = self.binding_execution().filter(|_| workload.repeat == Repeat::Deduplicated);
        let until_us = binding.map_or(u64::MAX, |first| first.sent_us.saturating_add(workload.window_us));
        until_us.saturating_sub(now_us)
    }

    pub fn out(&self) -> bool {
        self.executions.iter().any(|exec| exec.out)
    }

    /// Whether its number of executions and its time allow one more.
    pub fn may_retry(&self, now_us: u64) -> bool {
        self.executions.len() < self.limits.max_executions as usize && now_us < self.deadline_us
    }

    /// Whether all waves of candidates were probed for it and none is waited for.
    pub fn probing_done(&self, fleet: &BTreeMap<u32, Backend>) -> bool {
        self.probe_waves >= MAX_PROBE_WAVES && self.asked.iter().all(|at| fleet[at].probe_in_flight.is_none())
    }

    /// Its place among the waiting: the more important before, then the older.
    pub fn queue_key(&self) -> QueueKey {
        (Reverse((self.importance * 1e3) as u64), self.serial, self.id.clone())
    }
}

pub type QueueKey = (Reverse<u64>, u64, String);

/// An execution still out, with our work on the backend once it was added.
pub struct Held {
    pub sent_us: u64,
    pub load: f64,
    pub work: f64,
    pub work_at_send: f64,
    /// Whether the sharers are told of it.
    pub told: bool,
    /// Held to hang on a dead connection: no load of the backend's.
    pub lost: bool,
    /// Its body is still on the way: the backend has not begun.
    pub body_incomplete: bool,
}

impl Held {
    pub fn new(qry: &Query, sent_us: u64, ahead: f64, told: bool) -> Self {
        Held {
            sent_us,
            load: qry.load,
            work: qry.work,
            work_at_send: ahead,
            told,
            lost: false,
            body_incomplete: false,
        }
    }
}

/// What a peer has last told of all its executions on a backend, counted until it is held to be done.
pub struct Told {
    pub peer: u32,
    /// Which of its notes on this backend it was, round and round the signs.
    pub turn: u8,
    pub count: usize,
    pub work: f64,
    pub until_us: u64,
}

impl Told {
    /// Notes overtake one another on their way: only one of the next half round is newer.
    pub fn is_newer_than(&self, last: &Told) -> bool {
        (1..NOTE_BASE / 2).contains(&((NOTE_BASE + self.turn - last.turn) % NOTE_BASE))
    }
}

/// How many values a sign takes: the visible characters.
pub(crate) const NOTE_BASE: u8 = 94;

/// A note between proxies: the end of a backend's id, then four signs: the note's turn, how many of its
/// sender's executions are out there, and two for their work in quarters of a load unit.
pub fn parse_note(note: &str) -> Option<(u32, Told)> {
    let signs = note.len().checked_sub(4)?;
    let short = u32::from_str_radix(note.get(..signs)?, 16).ok()?;
    let sign = |place: usize| note.as_bytes()[signs + place].checked_sub(33).filter(|sign| *sign < NOTE_BASE);
    let (turn, count) = (sign(0)?, usize::from(sign(1)?));
    let work = f64::from(u32::from(sign(2)?) * u32::from(NOTE_BASE) + u32::from(sign(3)?)) / 4.0;
    Some((short, Told { peer: 0, turn, count, work, until_us: 0 }))
}

#[derive(Default)]
pub struct Backend {
    /// When the first of the last executions dropped together was, and how many were.
    recent_drops: (u64, u32),
    pub listed: Listed,
    /// Taken out by hand, whatever the list says.
    pub out: bool,
    /// Whether it was listed as draining since its start.
    pub drained: bool,
    /// Steps of the way to full use that are left to one which the list has dropped without draining.
    pub phase_out_steps: u8,
    /// When it last started, or came back from those out by hand with no start told since; 0 means long ago.
    pub since_us: u64,
    /// When this proxy heard of that start.
    pub start_heard_us: u64,
    pub held: BTreeMap<u64, Held>,
    /// The other proxies that use it, and what they have told of.
    pub sharing_peers: Vec<u32>,
    pub told: Vec<Told>,
    pub turn: u8,
    pub utilisation: Option<f64>,
    /// What counts as its utilisation: its own report, else the mean of the reports there are.
    pub effective_utilisation: f64,
    pub paces: DecayingHistogram,
    /// The middle of the paces, kept since it is asked for far more often than it moves.
    pub median_pace: Option<f64>,
    pub sampled_us: u64,
    /// The latest execution that has completed: what was sent before it and is still out was passed by.
    pub last_completed_serial: u64,
    /// Work a microsecond as last set from the outcomes, and the maximum that follows from it.
    pub pace: f64,
    pub max: f64,
    /// The last outcomes, one bit each, newest lowest; a set bit is a failure.
    pub failures: u8,
    pub ejected_until_us: u64,
    pub ejection_us: u64,
    /// Since when it is left alone for being crowded, and how long.
    pub cooldown: (u64, f64),
    pub cold_sent: VecDeque<(u64, f64)>,
    /// When the probe that is out left, and how many executions had left by then.
    pub probe_in_flight: Option<(u64, u64)>,
    /// What the last probe found there beside ours, and when.
    pub seen: (u64, f64),
    /// What is left of it by now, as last set.
    pub found: f64,
}

impl Backend {
    /// One more execution dropped: whether so many were at once that all in work there broke, not one answer alone.
    pub fn record_drop(&mut self, now_us: u64) -> bool {
        if now_us > self.recent_drops.0 + DEATH_WINDOW_US {
            self.recent_drops = (now_us, 0);
        }
        self.recent_drops.1 += 1;
        self.recent_drops.1 == DEATH_DROPS
    }

    /// Breaks what it has in work: it will be back as one that has just started, but still as listed and as taken
    /// out by hand.
    pub fn died(&mut self, now_us: u64) {
        let (drained, out, steps) = (self.drained, self.out, self.phase_out_steps);
        self.restart(now_us, now_us);
        (self.drained, self.out, self.phase_out_steps) = (drained, out, steps);
    }

    /// What started anew is judged and learned anew; what is still out there counts on.
    fn restart(&mut self, since_us: u64, heard_us: u64) {
        let (listed, held) = (self.listed, std::mem::take(&mut self.held));
        let sharers = std::mem::take(&mut self.sharing_peers);
        *self = Backend {
            listed,
            held,
            since_us,
            start_heard_us: heard_us,
            sharing_peers: sharers,
            ..Backend::default()
        };
    }

    /// The work sent there while cold, since then.
    pub fn cold_work_since(&self, since_us: u64) -> f64 {
        self.cold_sent.iter().filter(|sent| sent.0 >= since_us).map(|sent| sent.1).sum()
    }

    pub fn ready(&self) -> bool {
        (self.listed.phase == Phase::Ready || self.phase_out_steps > 0) && !self.out
    }

    /// Its weight in the list, where that says anything.
    pub fn weight(&self) -> f64 {
        self.listed.weight.max(0.01)
    }

    /// Our executions that the backend is held to have.
    pub fn there(&self) -> impl Iterator<Item = &Held> {
        self.held.values().filter(|held| !held.lost && !held.body_incomplete)
    }

    pub fn idle(&self) -> bool {
        self.there().next().is_none()
    }

    pub fn load(&self) -> f64 {
        let own: f64 = self.there().map(|held| held.load).sum();
        own + self.peer_work() + self.found + self.effective_utilisation * self.max
    }

    pub fn work(&self) -> f64 {
        self.peer_work() + self.found + self.there().map(|held| held.work).sum::<f64>()
    }

    /// Tells all who share it, where that is worth it, of what is out there: each note stands alone, as
    /// others may be lost or late.
    pub fn notify_peers(&mut self, worth: bool, out: &mut dyn Writer) {
        if !worth {
            return;
        }
        self.turn = (self.turn + 1) % NOTE_BASE;
        let sign = |value: u32| char::from(33 + value.min(u32::from(NOTE_BASE) - 1) as u8);
        let told = || self.there().filter(|held| held.told);
        let work = (told().map(|held| held.work).sum::<f64>() * 4.0).round();
        let work = (work as u32).clamp(u32::from(told().count() > 0), u32::from(NOTE_BASE).pow(2) - 1);
        let (high, low) = (work / u32::from(NOTE_BASE), work % u32::from(NOTE_BASE));
        let short = self.listed.backend & 0xffff;
        let signs = [u32::from(self.turn), told().count() as u32, high, low].map(sign);
        let note = format!("{short:x}{}", String::from_iter(signs));
        self.sharing_peers.iter().for_each(|peer| out.send_note(*peer, &note));
    }

    /// How many executions are out there, as far as is known.
    pub fn execution_count(&self) -> usize {
        self.there().count() + self.told.iter().map(|told| told.count).sum::<usize>()
    }

    /// The work that peers have told of.
    pub fn peer_work(&self) -> f64 {
        self.told.iter().map(|told| told.work).sum()
    }

    pub fn spare_capacity(&self) -> f64 {
        self.max - self.load()
    }

    pub fn record_pace(&mut self, pace: f64, most: u64, now_us: u64) {
        self.paces.record(pace * 1e9, most);
        self.refresh_median_pace(now_us);
    }

    pub(crate) fn refresh_median_pace(&mut self, now_us: u64) {
        self.median_pace = self.paces.at(0.5).map(|pace| pace / 1e9);
        self.sampled_us = now_us;
    }

    pub fn record_report(&mut self, report: LoadReport) {
        self.utilisation = report.utilisation.or(self.utilisation);
    }
}

/// A mean that goes with the newer values.
#[derive(Default)]
pub struct MovingAverage {
    pub mean: f64,
    pub count: u32,
}

impl MovingAverage {
    /// Adds one value; the last `most` or so count.
    pub fn add(&mut self, value: f64, most: u32) {
        self.count = (self.count + 1).min(most);
        self.mean += (value - self.mean) / f64::from(self.count);
    }
}

/// What part of a workload's last executions failed, and how long it rests after the latest where it holds up
/// its backends.
#[derive(Default)]
pub struct FailureRate {
    pub mean: f64,
    pub count: u32,
    pub paused_until_us: u64,
}

impl FailureRate {
    /// Counts one; where most failed a success counts for more, since few go out.
    pub fn ended(&mut self, completed: bool, rests_until_us: u64) {
        let most = if completed && self.mean > 0.5 { 8 } else { 24 };
        self.count = (self.count + 1).min(24);
        self.mean += (f64::from(u8::from(!completed)) - self.mean) / f64::from(self.count.min(most));
        self.paused_until_us = if completed { 0 } else { rests_until_us };
    }
}

/// Answers that clients read slowly, as far as it shows: when all buffers were last held by them, until when
/// the next comes free at the latest, and when an answer last came back.
#[derive(Default)]
pub struct UnreadResponses {
    pub last_full_us: u64,
    pub until_us: u64,
    pub last_response_us: u64,
}

/// What a tenant may still ask for within its share.
pub struct QuotaBucket {
    pub rate_per_us: f64,
    pub left: f64,
    pub refilled_us: u64,
    /// What the importance beyond it is scaled by.
    pub over_quota_importance: f64,
}

impl QuotaBucket {
    pub fn new(per_s: f64, beyond: f64) -> Self {
        QuotaBucket {
            rate_per_us: per_s / 1e6,
            left: per_s.max(MIN_QUOTA_BURST),
            refilled_us: 0,
            over_quota_importance: beyond,
        }
    }
}

/// All that an instance remembers.
#[derive(Default)]
pub struct Balancer {
    pub(crate) rng: Rng,
    pub(crate) subset_seed: u64,
    pub(crate) proxy_count: usize,
    pub(crate) number: usize,
    /// That stand for this proxy.
    pub(crate) processes: usize,
    pub(crate) deployment: Deployment,
    /// The quickest probe, which found nothing to wait for.
    pub(crate) fastest_probe_us: u64,
    /// The load, in maxima, that the last probes found, and when.
    pub(crate) probed_load: (u64, f64),
    /// When all maxima are set next, and when old paces fade.
    pub(crate) next_maxima_us: u64,
    pub(crate) next_decay_us: u64,
    /// The pace usual for a list weight of 1, and the highest weight.
    pub(crate) pace_per_weight: f64,
    pub(crate) max_weight: f64,
    /// The mean of the utilisations reported.
    pub(crate) mean_utilisation: f64,
    /// The mean importance of a query, by its work.
    pub(crate) mean_importance: f64,
    pub(crate) workloads: Vec<Workload>,
    pub(crate) limits: ExecutionLimits,
    pub(crate) cold: ColdRule,
    pub(crate) tenants: Vec<QuotaBucket>,
    pub(crate) must_subscribe: bool,
    pub(crate) retry: Retry,
    /// When the first list came.
    pub(crate) first_list_us: u64,
    pub(crate) target_us: f64,
    pub(crate) max_importance: f64,
    pub(crate) slowest_pace: f64,
    pub(crate) fleet: BTreeMap<u32, Backend>,
    /// Who is out by hand, and since when: also those on no list.
    pub(crate) out: BTreeMap<u32, u64>,
    /// The backends that this proxy uses: all, or where proxies are many its part of the list.
    pub(crate) subset: Vec<u32>,
    /// Those outside its zone that a probing proxy may use.
    pub(crate) remote_subset: Vec<u32>,
    pub(crate) groups: [Vec<Member>; 4],
    pub(crate) regroup_us: u64,
    pub(crate) regroup_interval_us: u64,
    pub(crate) hints: DecayingHistogram,
    pub(crate) speeds: DecayingHistogram,
    pub(crate) unit_us: f64,
    pub(crate) traffic: [f64; 4],
    pub(crate) queries: BTreeMap<String, Query>,
    pub(crate) waiting: BTreeSet<QueueKey>,
    pub(crate) last_serial: u64,
    pub(crate) retry_budget: f64,
    /// Queries that any backend is held to bear, by the restarts seen.
    pub(crate) execution_limit: f64,
    /// What this proxy had out as queries came, and what the backends' reports said they held.
    pub(crate) own_in_flight: MovingAverage,
    pub(crate) reported_in_flight: MovingAverage,
    pub(crate) unread: UnreadResponses,
    /// What part of each workload's executions failed of late.
    pub(crate) failure_rates: Vec<FailureRate>,
    pub(crate) sweep_scheduled: bool,
    /// Whether the next wake is a late one, as nothing waited.
    pub(crate) idle_sweep: bool,
}

impl Balancer {
    pub fn new(
        seed: u64,
        balancers: u32,
        number: u32,
        workloads: Vec<Workload>,
        tenants: Vec<Tenant>,
        limits: ExecutionLimits,
        cold: ColdRule,
        must_ask: bool,
        standing: Deployment,
    ) -> Self {
        let mut balancer = Balancer {
            rng: Rng::with_seed(seed),
            subset_seed: seed,
            proxy_count: balancers.max(1) as usize,
            number: number as usize,
            processes: 1,
            deployment: standing,
            fastest_probe_us: u64::MAX,
            must_subscribe: must_ask,
            retry: Retry::new(balancers as usize).with_ask_limit(standing.ask_within_us),
            regroup_interval_us: 1_000_000,
            retry_budget: 10.0,
            execution_limit: f64::MAX,
            ..Balancer::default()
        };
        balancer.reload(workloads, tenants, limits, cold);
        balancer
    }

    /// Settings for all queries to come; returns the numbers of their workloads. One that is as it was keeps its
    /// number, and none is given twice, since open queries and some about to come still go by the old ones.
    pub fn reload(
        &mut self,
        workloads: Vec<Workload>,
        tenants: Vec<Tenant>,
        limits: ExecutionLimits,
        cold: ColdRule,
    ) -> Vec<usize> {
        let slo_us = workloads.iter().map(|workload| workload.slo_us).min().unwrap_or(0);
        self.target_us = (slo_us as f64 / 8.0).max(1.0);
        self.max_importance = workloads.iter().map(|workload| workload.importance).fold(1e-9, f64::max);
        let share = |tenant: &Tenant| tenant.quota_per_s / self.proxy_count as f64;
        let allowance = |tenant: &Tenant| QuotaBucket::new(share(tenant), tenant.over_quota_importance);
        self.tenants = tenants.iter().map(allowance).collect();
        (self.limits, self.cold) = (limits, cold);
        let mut numbers = Vec::new();
        for workload in workloads {
            let free = |(number, known): (usize, &Workload)| *known == workload && !numbers.contains(&number);
            let number = self.workloads.iter().enumerate().position(free).unwrap_or_else(|| {
                self.workloads.push(workload);
                self.workloads.len() - 1
            });
            numbers.push(number);
        }
        self.failure_rates.resize_with(self.workloads.len(), FailureRate::default);
        numbers
    }

    /// Whether a backend may still be sent to, or is known to a query.
    pub fn knows_backend(&self, id: u32) -> bool {
        self.fleet.contains_key(&id)
    }

    /// What this proxy's backends hold and can hold: nothing is decided by it here.
    pub fn capacities(&self) -> impl Iterator<Item = BackendCapacity> + '_ {
        let used =
            |id: &u32| self.subset.is_empty() || self.subset.contains(id) || self.remote_subset.contains(id);
        self.fleet.iter().filter(move |(id, _)| used(id)).map(|(id, backend)| BackendCapacity {
            backend: *id,
            zone: backend.listed.zone,
            cell: backend.listed.cell,
            ready: backend.ready(),
            load: backend.there().map(|held| held.load).sum(),
            max: backend.max,
            lost: backend.ejection_us > 0 || backend.failures & 0b111 == 0b111,
        })
    }

    pub(crate) fn subset_backends(&self) -> impl Iterator<Item = &Backend> {
        self.subset.iter().map(|id| &self.fleet[id])
    }

    /// How many proxies use a backend, a number below 1 that comes with this one's turn at it, and when that began.
    /// Turns are a window long and begin evenly apart; in any row of them the numbers are spread as evenly as can be,
    /// as multiples of the golden part are, so that as many lie below a part as add up to it, though each proxy's part
    /// may differ. Where candidates are probed each proxy may use any backend.
    pub(crate) fn turn(&self, backend: &Backend, now_us: u64, window_us: u64) -> (usize, f64, u64) {
        const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
        let before = backend.sharing_peers.partition_point(|other| (*other as usize) < self.number);
        let (users, place) = match self.deployment.probes {
            true => (self.proxy_count, self.number),
            false => (backend.sharing_peers.len() + 1, before),
        };
        let since_us = now_us.saturating_sub(window_us * place as u64 / users as u64);
        let turn = since_us / window_us * users as u64 + place as u64 + u64::from(backend.listed.backend);
        (users, turn.wrapping_mul(GOLDEN) as f64 / u64::MAX as f64, now_us - since_us % window_us)
    }

    /// Takes in a query that has come.
    pub(crate) fn admit(&mut self, qry: Query) {
        self.last_serial = qry.serial;
        self.own_in_flight.add(self.out(), 64);
        let worth = qry.importance * qry.work;
        self.mean_importance += (worth - self.mean_importance) / self.hints.len().clamp(1, 64) as f64;
        self.queries.insert(qry.id.clone(), qry);
    }

    /// Gives this proxy a few backends of its zone, and as many elsewhere, drawn by lot.
    pub(crate) fn draw_subset(&mut self, mut ids: Vec<u32>, most: usize) {
        ids.sort_by_cached_key(|id| Rng::with_seed(self.subset_seed ^ u64::from(*id)).u64(..));
        let here = |id: &u32| self.deployment.zone.is_none_or(|zone| self.fleet[id].listed.zone == zone);
        let (mut near, mut far): (Vec<u32>, Vec<u32>) = ids.into_iter().partition(here);
        [&mut near, &mut far].into_iter().for_each(|part| part.truncate(most));
        (self.subset, self.remote_subset) = if near.is_empty() { (far, near) } else { (near, far) };
    }

    /// Gives this proxy its arc of the list, and each backend in it those who share it.
    pub(crate) fn assign_arc(&mut self, ids: &[u32], part: usize) {
        let (count, balancers) = (ids.len(), self.proxy_count);
        let holds = |of: usize, at: usize| (at + count - of * count / balancers % count) % count < part;
        for (place, id) in ids.iter().enumerate() {
            let backend = self.fleet.get_mut(id).expect("ready ones are listed");
            backend.sharing_peers.clear();
            if holds(self.number, place) {
                self.subset.push(*id);
                let others = (0..balancers).filter(|other| *other != self.number && holds(*other, place));
                backend.sharing_peers.extend(others.map(|other| other as u32));
            }
        }
    }

    /// The backends in an order in which each zone's lie evenly apart, the same at every proxy.
    pub(crate) fn interleave_zones(&self, ids: &[u32]) -> Vec<u32> {
        let mut zones: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        ids.iter().for_each(|id| zones.entry(self.fleet[id].listed.zone).or_default().push(*id));
        let evenly = |zone: &Vec<u32>| {
            let place = |at: usize| (at * 2 + 1) * 1_000_000 / zone.len();
            zone.iter().enumerate().map(|(at, id)| (place(at), *id)).collect::<Vec<_>>()
        };
        let mut order: Vec<(usize, u32)> = zones.values().flat_map(evenly).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// How many executions are out to backends that this proxy uses.
    pub(crate) fn out(&self) -> f64 {
        self.subset_backends().map(|backend| backend.there().count() as f64).sum()
    }

    /// A load unit is half the mean hint, so that the values' cuts lie where most hints do.
    pub(crate) fn record_hint(&mut self, hint_us: f64) {
        self.hints.record(hint_us, 512);
        if self.hints.len().is_power_of_two() {
            self.unit_us = self.hints.mean() / 2.0;
        }
    }

    /// Takes in entries of the list; tells whether a ready backend came, whether one left, and the most that was
    /// held by one that ended without draining. Those that a whole list no longer names are gone.
    pub(crate) fn listed(&mut self, whole: bool, items: &[Listed], now_us: u64) -> (bool, bool, Option<f64>) {
        self.retry.heard();
        self.first_list_us = if self.first_list_us == 0 { now_us } else { self.first_list_us };
        let (mut came, mut left, mut held) = (false, false, None);
        let named: BTreeSet<u32> = items.iter().map(|item| item.backend).collect();
        let missing = self.fleet.values().filter(|backend| whole && !named.contains(&backend.listed.backend));
        let gone = missing.map(|backend| Listed { phase: Phase::Gone, ..backend.listed });
        for item in gone.collect::<Vec<_>>().iter().chain(items) {
            let backend = self.fleet.entry(item.backend).or_default();
            let was = backend.ready();
            let loose = self.deployment.removal_not_binding && item.phase == Phase::Gone;
            // That it is gone, where this binds nobody, is no news of its start.
            let item = if loose { Listed { phase: Phase::Gone, ..backend.listed } } else { *item };
            let starts = backend.listed.since_us != item.since_us;
            let ended = item.phase == Phase::Gone && !loose || starts;
            if backend.listed.phase == Phase::Ready && !backend.drained && ended {
                held = Some(held.map_or(0.0, |held: f64| held).max(backend.execution_count() as f64));
            }
            if starts {
                // A stamp may be off, and a later start than it tells may have shown: the later of them counts.
                let drift_us = self.deployment.clocks.start_us.min(now_us.saturating_sub(item.since_us));
                let stamp_us = item.since_us + if item.since_us > 0 { drift_us } else { 0 };
                backend.restart(stamp_us.max(backend.since_us), now_us);
            }
            backend.drained |= item.phase == Phase::Terminating;
            let may_serve = loose && !backend.drained;
            let dropped = may_serve && backend.listed.phase == Phase::Ready;
            backend.phase_out_steps =
                if dropped { PHASE_OUT_STEPS } else { backend.phase_out_steps * u8::from(may_serve) };
            (backend.listed, backend.out) = (item, self.out.contains_key(&item.backend));
            (came, left) = (came || backend.ready() && !was, left || was && !backend.ready());
        }
        self.remove_gone();
        (came, left, held)
    }

    /// The latest execution of a query is the last, and counts as sent only once its body has come whole.
    pub(crate) fn body_progress(&mut self, id: &str, whole: bool, now_us: u64) {
        let Some(qry) = self.queries.get_mut(id) else { return };
        let Some(exec) = qry.executions.last_mut().filter(|exec| exec.out) else { return };
        qry.limits.max_executions = 0;
        exec.sent_us = if whole { now_us } else { now_us + FAR_FUTURE_US };
        let Some(backend) = self.fleet.get_mut(&exec.backend) else { return };
        let before = backend.work();
        if let Some(held) = backend.held.get_mut(&exec.serial) {
            (held.sent_us, held.work_at_send, held.body_incomplete) =
                (exec.sent_us, before + held.work, !whole);
        }
    }

    /// Takes a backend out or back; one that comes back may have started anew with nobody told of it yet.
    pub(crate) fn set_manual_drain(&mut self, id: u32, out: bool, now_us: u64) {
        let out_us =
            if out { *self.out.entry(id).or_insert(now_us) } else { self.out.remove(&id).unwrap_or(0) };
        if let Some(backend) = self.fleet.get_mut(&id) {
            if !out && backend.listed.since_us < out_us {
                backend.restart(now_us, now_us);
            }
            backend.out = out;
        }
        self.remove_gone();
        self.regroup_us = now_us;
    }

    pub(crate) fn told(&mut self, peer: u32, note: &str, until_us: u64) {
        let Some((short, told)) = parse_note(note) else { return };
        let Some(id) = self.subset.iter().find(|id| *id & 0xffff == short) else { return };
        let last = &mut self.fleet.get_mut(id).expect("parts hold listed backends").told;
        if last.iter().all(|last| last.peer != peer || told.is_newer_than(last)) {
            last.retain(|last| last.peer != peer);
            last.push(Told { peer, until_us, ..told });
        }
    }

    /// Ends a query here; executions still out are called off and count until their outcome.
    pub(crate) fn close(&mut self, id: &str, out: &mut dyn Writer) {
        let Some(qry) = self.queries.get_mut(id) else { return };
        self.waiting.remove(&qry.queue_key());
        if !qry.finished && qry.limits.cancel {
            let still = qry.executions.iter().enumerate().filter(|(_, exec)| exec.out);
            still.for_each(|(number, _)| out.cancel(&qry.id, number as u32));
        }
        qry.finished = true;
        if !qry.out() {
            self.queries.remove(id);
        }
    }

    /// Leaves out of parts and groups whoever is not ready, and forgets those gone that no query knows.
    pub(crate) fn remove_gone(&mut self) {
        let fleet = &mut self.fleet;
        self.subset.retain(|id| fleet[id].ready());
        self.remote_subset.retain(|id| fleet[id].ready());
        self.groups.iter_mut().for_each(|group| group.retain(|member| fleet[&member.backend].ready()));
        let executions = self.queries.values().flat_map(|qry| &qry.executions);
        let asked = self.queries.values().flat_map(|qry| qry.asked.iter().copied());
        let known: BTreeSet<u32> = executions.map(|exec| exec.backend).chain(asked).collect();
        let named = |backend: &Backend| backend.listed.phase != Phase::Gone || backend.phase_out_steps > 0;
        fleet.retain(|id, backend| named(backend) || known.contains(id));
    }
}

/// A backend in a group, with its turn in the rotation.
pub struct Member {
    pub backend: u32,
    pub turn: f64,
}

impl Member {
    /// With a first turn drawn by chance, below what its weight adds each time.
    pub fn new(server: &Backend, chance: f64) -> Self {
        Member { backend: server.listed.backend, turn: chance * server.listed.weight }
    }
}

#[cfg(test)]
#[path = "../tests/unit/kept.rs"]
mod tests;
