//! The state of the decisions in `balance`. Nothing is decided here.

use crate::interface::*;
use crate::retry::Retry;
use fastrand::Rng;
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The minimum burst of a tenant's quota bucket: with many proxies one proxy's share gains less than one
/// query per second.
pub(crate) const MIN_QUOTA_BURST: f64 = 4.0;
/// The waves in which candidates are probed for a query: the next in rotation, its group, the proxy's subset,
/// and the remote subset.
pub const MAX_PROBE_WAVES: u32 = 4;
/// The steps in which a backend that was removed from the list is phased out.
pub const PHASE_OUT_STEPS: u8 = 4;
/// Executions dropped within `DEATH_WINDOW_US` from which a backend counts as dead. A single drop doesn't
/// suffice: an answer that can't be read, or that breaks off, is also a drop, and says nothing about the
/// other executions.
pub const DEATH_DROPS: u32 = 3;
const DEATH_WINDOW_US: u64 = 10_000;
/// Longer than the transfer of any body: an execution whose send time lies this far ahead is never late.
pub const FAR_FUTURE_US: u64 = 86_400_000_000;
/// The maximum load of a backend before any outcome is known.
pub const DEFAULT_MAX_LOAD: f64 = 8.0;

/// A small histogram with few coarse bins, in which older values lose weight.
pub struct DecayingHistogram(Histogram<u32>);

impl Default for DecayingHistogram {
    fn default() -> Self {
        DecayingHistogram(Histogram::new_with_bounds(1, 1 << 30, 1).expect("the bounds are valid constants"))
    }
}

impl DecayingHistogram {
    /// Records one value; once there are `max_count`, all counts are halved, so that newer values dominate.
    pub fn record(&mut self, value: f64, max_count: u64) {
        self.0.saturating_record(value as u64);
        if self.0.len() >= max_count {
            self.halve();
        }
    }

    /// Halves all counts, rounding down.
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

    /// The value at a quantile, unless the histogram is empty.
    pub fn at(&self, quantile: f64) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.value_at_quantile(quantile) as f64)
    }

    pub fn mean(&self) -> f64 {
        self.0.mean()
    }
}

/// The mean of some values, or `default` if there are no values.
pub fn mean_or(values: impl Iterator<Item = f64>, default: f64) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        default
    }
}

/// One execution of a query on a backend.
pub struct Execution {
    pub backend: u32,
    /// Its number among all executions of this proxy.
    pub serial: u64,
    pub sent_us: u64,
    pub expected_duration_us: u64,
    /// Whether it is in flight.
    pub in_flight: bool,
    pub cancel_sent: bool,
    pub may_have_run: bool,
    /// In flight for so long that it has already been counted as failed.
    pub late: bool,
}

impl Execution {
    pub fn new(backend: u32, serial: u64, sent_us: u64, expected_duration_us: u64) -> Self {
        let (cancel_sent, may_have_run, late) = (false, false, false);
        Execution {
            backend,
            serial,
            sent_us,
            expected_duration_us,
            in_flight: true,
            cancel_sent,
            may_have_run,
            late,
        }
    }
}

/// A query and its executions.
#[derive(Default)]
pub struct Query {
    pub id: String,
    pub serial: u64,
    pub workload: usize,
    /// Its type by expected load, from 0 (plain) to 3 (heavy).
    pub kind: usize,
    /// What it adds to a backend's load: the load value of its type, or its hint if that is above the
    /// heaviest type's.
    pub load: f64,
    /// Its cost hint in load units.
    pub work: f64,
    /// The candidates probed for it, in order, and the number of waves so far.
    pub probed: Vec<u32>,
    pub probe_waves: u32,
    pub arrived_us: u64,
    pub slo_us: u64,
    /// Until when an answer is worth anything, and the latest time until which its client may wait: see
    /// `Query::set_deadline`.
    pub deadline_us: u64,
    pub longest_us: u64,
    pub importance: f64,
    pub executions: Vec<Execution>,
    /// No further decision is due, though executions may still be in flight.
    pub finished: bool,
    /// The limits in force when it arrived.
    pub limits: ExecutionLimits,
}

impl Query {
    pub fn new(id: &str, serial: u64, workload: usize, arrived_us: u64, limits: ExecutionLimits) -> Self {
        Query { id: id.to_owned(), serial, workload, arrived_us, limits, ..Query::default() }
    }

    /// The execution that restricts all further ones: the first that is in flight or may have run.
    pub fn binding_execution(&self) -> Option<&Execution> {
        self.executions.iter().find(|exec| exec.in_flight || exec.may_have_run)
    }

    /// For how long a further execution may begin, because the backends still drop repeats of the first;
    /// practically unlimited if there is none, or if the workload isn't deduplicated.
    pub fn dedup_left_us(&self, workloads: &[Workload], now_us: u64) -> u64 {
        let workload = &workloads[self.workload];
        let binding = self.binding_execution().filter(|_| workload.repeat == Repeat::Deduplicated);
        let until_us = binding.map_or(u64::MAX, |first| first.sent_us.saturating_add(workload.window_us));
        until_us.saturating_sub(now_us)
    }

    /// Whether any of its executions is in flight.
    pub fn has_in_flight(&self) -> bool {
        self.executions.iter().any(|exec| exec.in_flight)
    }

    /// Whether its number of executions and its deadline allow one more.
    pub fn may_retry(&self, now_us: u64) -> bool {
        self.executions.len() < self.limits.max_executions as usize && now_us < self.deadline_us
    }

    /// Whether all waves of candidates were probed for it and no probe is pending.
    pub fn probing_done(&self, fleet: &BTreeMap<u32, Backend>) -> bool {
        self.probe_waves >= MAX_PROBE_WAVES
            && self.probed.iter().all(|at| fleet[at].probe_in_flight.is_none())
    }

    /// Its key in the queue: the more important first, then the older.
    pub fn queue_key(&self) -> QueueKey {
        (Reverse((self.importance * 1e3) as u64), self.serial, self.id.clone())
    }
}

/// Importance in thousandths, serial number and id of a waiting query.
pub type QueueKey = (Reverse<u64>, u64, String);

/// An execution in flight on a backend.
pub struct InFlightExecution {
    pub sent_us: u64,
    pub load: f64,
    pub work: f64,
    /// The known work on the backend just after this execution was added.
    pub work_at_send: f64,
    /// Whether the peers that share the backend are notified of it.
    pub notifies_peers: bool,
    /// Presumed to hang on a dead connection, and so not counted as load of the backend.
    pub lost: bool,
    /// Its body is still being sent: the backend has not begun to execute it.
    pub body_incomplete: bool,
}

impl InFlightExecution {
    pub fn new(qry: &Query, sent_us: u64, work_at_send: f64, notifies_peers: bool) -> Self {
        InFlightExecution {
            sent_us,
            load: qry.load,
            work: qry.work,
            work_at_send,
            notifies_peers,
            lost: false,
            body_incomplete: false,
        }
    }
}

/// A peer's latest report of all its executions on a backend; it counts until it expires.
pub struct PeerReport {
    pub peer: u32,
    /// The sequence number of the note, modulo `NOTE_BASE`.
    pub sequence: u8,
    pub count: usize,
    pub work: f64,
    pub until_us: u64,
}

impl PeerReport {
    /// Compares sequence numbers, since notes may arrive out of order: a note is newer if its number lies
    /// within the half of the cycle after the last one's.
    pub fn is_newer_than(&self, last: &PeerReport) -> bool {
        (1..NOTE_BASE / 2).contains(&((NOTE_BASE + self.sequence - last.sequence) % NOTE_BASE))
    }
}

/// The number of values of one digit of a note: the visible ASCII characters.
pub(crate) const NOTE_BASE: u8 = 94;

/// Parses a note between proxies: the low 16 bits of the backend's id in hexadecimal, then four base-94
/// digits: the sequence number, the number of the sender's executions in flight there, and two for their work
/// in quarters of a load unit.
pub fn parse_note(note: &str) -> Option<(u32, PeerReport)> {
    let signs = note.len().checked_sub(4)?;
    let short = u32::from_str_radix(note.get(..signs)?, 16).ok()?;
    let sign = |place: usize| note.as_bytes()[signs + place].checked_sub(33).filter(|sign| *sign < NOTE_BASE);
    let (sequence, count) = (sign(0)?, usize::from(sign(1)?));
    let work = f64::from(u32::from(sign(2)?) * u32::from(NOTE_BASE) + u32::from(sign(3)?)) / 4.0;
    Some((short, PeerReport { peer: 0, sequence, count, work, until_us: 0 }))
}

/// A backend: its entry in the list, this proxy's executions there, and what has been learned about it.
#[derive(Default)]
pub struct Backend {
    /// When the first of the most recent drops within `DEATH_WINDOW_US` occurred, and how many there were.
    recent_drops: (u64, u32),
    pub listed: Listed,
    /// Drained by hand, whatever the list says.
    pub manually_drained: bool,
    /// Whether it was listed as draining since its start.
    pub drained: bool,
    /// The remaining use, in steps, of a backend that was removed from the list without draining.
    pub phase_out_steps: u8,
    /// When it last started, or returned from a manual drain with no start reported since; 0 means long ago.
    pub since_us: u64,
    /// When this proxy learned of that start.
    pub start_learned_us: u64,
    /// This proxy's executions in flight, by serial number.
    pub executions: BTreeMap<u64, InFlightExecution>,
    /// The other proxies that use it, and their latest reports.
    pub sharing_peers: Vec<u32>,
    pub peer_reports: Vec<PeerReport>,
    /// The sequence number of the last note sent about it.
    pub note_sequence: u8,
    pub utilisation: Option<f64>,
    /// The utilisation in use: its own report, else the mean over the backends that report.
    pub effective_utilisation: f64,
    /// The paces seen: work in flight when an execution was sent, by the time it took. In load units per
    /// microsecond, scaled by 1e9.
    pub paces: DecayingHistogram,
    /// The median of the paces, cached because it is read far more often than it changes.
    pub median_pace: Option<f64>,
    pub sampled_us: u64,
    /// The latest execution that has completed: those sent before it and still in flight have been overtaken.
    pub last_completed_serial: u64,
    /// The estimated work per microsecond, and the maximum load that follows from it.
    pub pace: f64,
    pub max: f64,
    /// The last outcomes, one bit each, newest lowest; a set bit is a failure.
    pub failures: u8,
    /// Until when it is ejected, and the length of the ejection; it grows with repeated failures.
    pub ejected_until_us: u64,
    pub ejection_us: u64,
    /// The start and length of a pause after an answer that was delayed by the load of other proxies.
    pub cooldown: (u64, f64),
    /// When work was sent there while it was cold, and how much.
    pub cold_sent: VecDeque<(u64, f64)>,
    /// When the pending probe was sent, and the serial number that the next execution had then.
    pub probe_in_flight: Option<(u64, u64)>,
    /// When the last probe returned, and the work of other proxies that it found.
    pub last_probe: (u64, f64),
    /// The estimated remainder of that work now.
    pub probed_work: f64,
}

impl Backend {
    /// Counts a dropped execution. True once there are enough at the same time to conclude that the backend
    /// died, rather than that a single answer broke off.
    pub fn record_drop(&mut self, now_us: u64) -> bool {
        if now_us > self.recent_drops.0 + DEATH_WINDOW_US {
            self.recent_drops = (now_us, 0);
        }
        self.recent_drops.1 += 1;
        self.recent_drops.1 == DEATH_DROPS
    }

    /// The backend has died. It will return as one that has just started, but its draining, manual drain and
    /// phase-out still apply.
    pub fn mark_dead(&mut self, now_us: u64) {
        let (drained, manually_drained, phase_out_steps) =
            (self.drained, self.manually_drained, self.phase_out_steps);
        self.restart(now_us, now_us);
        (self.drained, self.manually_drained, self.phase_out_steps) =
            (drained, manually_drained, phase_out_steps);
    }

    /// Resets what was learned about it, after a restart; executions still in flight there continue to count.
    fn restart(&mut self, since_us: u64, start_learned_us: u64) {
        let (listed, executions) = (self.listed, std::mem::take(&mut self.executions));
        let sharing_peers = std::mem::take(&mut self.sharing_peers);
        *self =
            Backend { listed, executions, since_us, start_learned_us, sharing_peers, ..Backend::default() };
    }

    /// The work sent there since the given time while it was cold.
    pub fn cold_work_since(&self, since_us: u64) -> f64 {
        self.cold_sent.iter().filter(|sent| sent.0 >= since_us).map(|sent| sent.1).sum()
    }

    /// Whether it may be sent queries, as far as the list and the operators say.
    pub fn ready(&self) -> bool {
        (self.listed.phase == Phase::Ready || self.phase_out_steps > 0) && !self.manually_drained
    }

    /// Its weight in the list, bounded away from 0.
    pub fn weight(&self) -> f64 {
        self.listed.weight.max(0.01)
    }

    /// This proxy's executions that are presumed to be at the backend.
    pub fn active_executions(&self) -> impl Iterator<Item = &InFlightExecution> {
        self.executions.values().filter(|exec| !exec.lost && !exec.body_incomplete)
    }

    /// Whether none of this proxy's executions is there.
    pub fn idle(&self) -> bool {
        self.active_executions().next().is_none()
    }

    /// Its load in load units, from this proxy, peers, other traffic found by probes and reported
    /// utilisation.
    pub fn load(&self) -> f64 {
        let own: f64 = self.active_executions().map(|exec| exec.load).sum();
        own + self.peer_work() + self.probed_work + self.effective_utilisation * self.max
    }

    /// The known work in flight there.
    pub fn work(&self) -> f64 {
        self.peer_work() + self.probed_work + self.active_executions().map(|exec| exec.work).sum::<f64>()
    }

    /// If `changed`, notifies all peers that share it of everything this proxy has in flight there. Each note
    /// is complete by itself, since others may be lost or late.
    pub fn notify_peers(&mut self, changed: bool, writer: &mut dyn Writer) {
        if !changed {
            return;
        }
        self.note_sequence = (self.note_sequence + 1) % NOTE_BASE;
        let sign = |value: u32| char::from(33 + value.min(u32::from(NOTE_BASE) - 1) as u8);
        let notified = || self.active_executions().filter(|exec| exec.notifies_peers);
        let work = (notified().map(|exec| exec.work).sum::<f64>() * 4.0).round();
        let work = (work as u32).clamp(u32::from(notified().count() > 0), u32::from(NOTE_BASE).pow(2) - 1);
        let (high, low) = (work / u32::from(NOTE_BASE), work % u32::from(NOTE_BASE));
        let short = self.listed.backend & 0xffff;
        let signs = [u32::from(self.note_sequence), notified().count() as u32, high, low].map(sign);
        let note = format!("{short:x}{}", String::from_iter(signs));
        self.sharing_peers.iter().for_each(|peer| writer.send_note(*peer, &note));
    }

    /// The known number of executions in flight there.
    pub fn execution_count(&self) -> usize {
        self.active_executions().count() + self.peer_reports.iter().map(|report| report.count).sum::<usize>()
    }

    /// The work that peers have reported.
    pub fn peer_work(&self) -> f64 {
        self.peer_reports.iter().map(|report| report.work).sum()
    }

    /// How much load it can take before its maximum; negative beyond it.
    pub fn spare_capacity(&self) -> f64 {
        self.max - self.load()
    }

    /// Records the pace of one outcome; roughly the last `max_count` count.
    pub fn record_pace(&mut self, pace: f64, max_count: u64, now_us: u64) {
        self.paces.record(pace * 1e9, max_count);
        self.refresh_median_pace(now_us);
    }

    /// Recomputes the cached median of the paces.
    pub(crate) fn refresh_median_pace(&mut self, now_us: u64) {
        self.median_pace = self.paces.at(0.5).map(|pace| pace / 1e9);
        self.sampled_us = now_us;
    }

    /// Takes the utilisation from a report, if it has one.
    pub fn record_report(&mut self, report: LoadReport) {
        self.utilisation = report.utilisation.or(self.utilisation);
    }
}

/// A moving mean that follows the newer values.
#[derive(Default)]
pub struct MovingAverage {
    pub mean: f64,
    pub count: u32,
}

impl MovingAverage {
    /// Adds one value; roughly the last `max_count` values count.
    pub fn add(&mut self, value: f64, max_count: u32) {
        self.count = (self.count + 1).min(max_count);
        self.mean += (value - self.mean) / f64::from(self.count);
    }
}

/// The failure rate of a workload's recent executions, and until when the workload pauses after a failure if
/// it blocks its backends.
#[derive(Default)]
pub struct FailureRate {
    pub mean: f64,
    pub count: u32,
    pub paused_until_us: u64,
}

impl FailureRate {
    /// Counts one execution. While most fail, a success weighs more, since few executions are sent then.
    pub fn ended(&mut self, completed: bool, paused_until_us: u64) {
        let most = if completed && self.mean > 0.5 { 8 } else { 24 };
        self.count = (self.count + 1).min(24);
        self.mean += (f64::from(u8::from(!completed)) - self.mean) / f64::from(self.count.min(most));
        self.paused_until_us = if completed { 0 } else { paused_until_us };
    }
}

/// The state of the response buffers, as inferred: when slow readers last held all of them, until when the
/// next becomes free at the latest (0 if one is free), and when an answer last arrived.
#[derive(Default)]
pub struct ResponseBufferState {
    pub last_full_us: u64,
    pub until_us: u64,
    pub last_response_us: u64,
}

/// A token bucket for this proxy's share of a tenant's quota.
pub struct QuotaBucket {
    pub rate_per_us: f64,
    pub left: f64,
    pub refilled_us: u64,
    /// The factor applied to the importance of queries beyond the quota.
    pub over_quota_importance: f64,
}

impl QuotaBucket {
    pub fn new(per_s: f64, over_quota_importance: f64) -> Self {
        QuotaBucket {
            rate_per_us: per_s / 1e6,
            left: per_s.max(MIN_QUOTA_BURST),
            refilled_us: 0,
            over_quota_importance,
        }
    }
}

/// The state of one instance of the decision module.
#[derive(Default)]
pub struct Balancer {
    pub(crate) rng: Rng,
    /// Seeds the random choice of the subset.
    pub(crate) subset_seed: u64,
    pub(crate) proxy_count: usize,
    pub(crate) number: usize,
    /// How many processes run as this proxy.
    pub(crate) processes: usize,
    pub(crate) deployment: Deployment,
    /// The duration of the fastest probe, which is assumed to have found no queue.
    pub(crate) fastest_probe_us: u64,
    /// When the last probes for a query ended, and the load of the best backend that they found, as a
    /// multiple of its maximum.
    pub(crate) probed_load: (u64, f64),
    /// When all maxima are recomputed next, and when old paces are next decayed.
    pub(crate) next_maxima_us: u64,
    pub(crate) next_decay_us: u64,
    /// The mean pace for a list weight of 1, and the highest weight in the list.
    pub(crate) pace_per_weight: f64,
    pub(crate) max_weight: f64,
    /// The mean of the reported utilisations.
    pub(crate) mean_utilisation: f64,
    /// The moving mean of a query's importance times its work.
    pub(crate) mean_importance: f64,
    pub(crate) workloads: Vec<Workload>,
    pub(crate) limits: ExecutionLimits,
    pub(crate) cold: ColdRule,
    pub(crate) tenants: Vec<QuotaBucket>,
    pub(crate) must_subscribe: bool,
    pub(crate) retry: Retry,
    /// When the first list arrived.
    pub(crate) first_list_us: u64,
    /// The time for which a backend's maximum load is sized: an eighth of the shortest SLO time.
    pub(crate) target_us: f64,
    pub(crate) max_importance: f64,
    pub(crate) slowest_pace: f64,
    pub(crate) fleet: BTreeMap<u32, Backend>,
    /// The backends drained by hand, listed or not, and since when.
    pub(crate) manual_drains: BTreeMap<u32, u64>,
    /// The backends that this proxy uses: all of them, or with many proxies its arc of the list.
    pub(crate) subset: Vec<u32>,
    /// The backends outside its zone that a probing proxy may use.
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
    /// The most queries in flight that any backend is assumed to survive, given the restarts seen.
    pub(crate) execution_limit: f64,
    /// The executions that this proxy had in flight as queries arrived, and those that backends reported.
    pub(crate) own_in_flight: MovingAverage,
    pub(crate) reported_in_flight: MovingAverage,
    pub(crate) buffer_state: ResponseBufferState,
    /// The recent failure rate of each workload.
    pub(crate) failure_rates: Vec<FailureRate>,
    /// Whether a timer for the next sweep is set.
    pub(crate) sweep_scheduled: bool,
    /// Whether that timer has the longer interval, because no query was waiting.
    pub(crate) idle_sweep: bool,
}

impl Balancer {
    /// `number` is this proxy's index among `proxy_count`. The first round requests the list if
    /// `must_subscribe`.
    pub fn new(
        seed: u64,
        proxy_count: u32,
        number: u32,
        workloads: Vec<Workload>,
        tenants: Vec<Tenant>,
        limits: ExecutionLimits,
        cold: ColdRule,
        must_subscribe: bool,
        deployment: Deployment,
    ) -> Self {
        let mut balancer = Balancer {
            rng: Rng::with_seed(seed),
            subset_seed: seed,
            proxy_count: proxy_count.max(1) as usize,
            number: number as usize,
            processes: 1,
            deployment,
            fastest_probe_us: u64::MAX,
            must_subscribe,
            retry: Retry::new(proxy_count as usize).with_ask_limit(deployment.ask_within_us),
            regroup_interval_us: 1_000_000,
            retry_budget: 10.0,
            execution_limit: f64::MAX,
            ..Balancer::default()
        };
        balancer.reload(workloads, tenants, limits, cold);
        balancer
    }

    /// Applies new settings to all queries to come; returns the workloads' indices. An unchanged workload
    /// keeps its index and no index is reused, since open queries, and some that are about to arrive, still
    /// refer to the old ones.
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
            let free =
                |(number, existing): (usize, &Workload)| *existing == workload && !numbers.contains(&number);
            let number = self.workloads.iter().enumerate().position(free).unwrap_or_else(|| {
                self.workloads.push(workload);
                self.workloads.len() - 1
            });
            numbers.push(number);
        }
        self.failure_rates.resize_with(self.workloads.len(), FailureRate::default);
        numbers
    }

    /// Whether a backend may still be sent queries, or is referred to by a query.
    pub fn knows_backend(&self, id: u32) -> bool {
        self.fleet.contains_key(&id)
    }

    /// The load and capacity of the backends that this proxy uses, for planners outside; not used for
    /// decisions here.
    pub fn capacities(&self) -> impl Iterator<Item = BackendCapacity> + '_ {
        let used =
            |id: &u32| self.subset.is_empty() || self.subset.contains(id) || self.remote_subset.contains(id);
        self.fleet.iter().filter(move |(id, _)| used(id)).map(|(id, backend)| BackendCapacity {
            backend: *id,
            zone: backend.listed.zone,
            cell: backend.listed.cell,
            ready: backend.ready(),
            load: backend.active_executions().map(|exec| exec.load).sum(),
            max: backend.max,
            lost: backend.ejection_us > 0 || backend.failures & 0b111 == 0b111,
        })
    }

    /// The backends of this proxy's subset.
    pub(crate) fn subset_backends(&self) -> impl Iterator<Item = &Backend> {
        self.subset.iter().map(|id| &self.fleet[id])
    }

    /// How many proxies use a backend, a low-discrepancy number below 1 for this proxy's current time slot at
    /// it, and when that slot began. Slots are one window long and the proxies' slots start at even offsets.
    /// The numbers are multiples of the golden ratio, so over any run of slots they are evenly distributed:
    /// the fraction of slots whose number lies below a proxy's share matches that share, even if shares
    /// differ between proxies. Where candidates are probed, each proxy may use any backend.
    pub(crate) fn time_slot(&self, backend: &Backend, now_us: u64, window_us: u64) -> (usize, f64, u64) {
        const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
        let before = backend.sharing_peers.partition_point(|other| (*other as usize) < self.number);
        let (users, place) = match self.deployment.probes {
            true => (self.proxy_count, self.number),
            false => (backend.sharing_peers.len() + 1, before),
        };
        let since_us = now_us.saturating_sub(window_us * place as u64 / users as u64);
        let slot = since_us / window_us * users as u64 + place as u64 + u64::from(backend.listed.backend);
        (users, slot.wrapping_mul(GOLDEN) as f64 / u64::MAX as f64, now_us - since_us % window_us)
    }

    /// Adds a query that has arrived.
    pub(crate) fn admit(&mut self, qry: Query) {
        self.last_serial = qry.serial;
        self.own_in_flight.add(self.executions_in_flight(), 64);
        let worth = qry.importance * qry.work;
        self.mean_importance += (worth - self.mean_importance) / self.hints.len().clamp(1, 64) as f64;
        self.queries.insert(qry.id.clone(), qry);
    }

    /// Assigns this proxy a few random backends of its zone, and as many of other zones.
    pub(crate) fn draw_subset(&mut self, mut ids: Vec<u32>, max_count: usize) {
        ids.sort_by_cached_key(|id| Rng::with_seed(self.subset_seed ^ u64::from(*id)).u64(..));
        let here = |id: &u32| self.deployment.zone.is_none_or(|zone| self.fleet[id].listed.zone == zone);
        let (mut near, mut far): (Vec<u32>, Vec<u32>) = ids.into_iter().partition(here);
        [&mut near, &mut far].into_iter().for_each(|part| part.truncate(max_count));
        (self.subset, self.remote_subset) = if near.is_empty() { (far, near) } else { (near, far) };
    }

    /// Assigns this proxy its arc of the list, and determines for each backend in it which peers share it.
    pub(crate) fn assign_arc(&mut self, ids: &[u32], part: usize) {
        let (count, balancers) = (ids.len(), self.proxy_count);
        let holds = |of: usize, at: usize| (at + count - of * count / balancers % count) % count < part;
        for (place, id) in ids.iter().enumerate() {
            let backend = self.fleet.get_mut(id).expect("ready backends are listed");
            backend.sharing_peers.clear();
            if holds(self.number, place) {
                self.subset.push(*id);
                let others = (0..balancers).filter(|other| *other != self.number && holds(*other, place));
                backend.sharing_peers.extend(others.map(|other| other as u32));
            }
        }
    }

    /// Orders the backends so that those of each zone are evenly spaced; the order is the same at every
    /// proxy.
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

    /// How many executions this proxy has in flight at the backends of its subset.
    pub(crate) fn executions_in_flight(&self) -> f64 {
        self.subset_backends().map(|backend| backend.active_executions().count() as f64).sum()
    }

    /// Records a cost hint. A load unit is half the mean hint, so that the cut-offs between types lie where
    /// most hints do.
    pub(crate) fn record_hint(&mut self, hint_us: f64) {
        self.hints.record(hint_us, 512);
        if self.hints.len().is_power_of_two() {
            self.unit_us = self.hints.mean() / 2.0;
        }
    }

    /// Applies entries of the list. Returns whether a ready backend was added, whether one was removed, and
    /// the most executions known at a backend that ended without draining. Backends missing from a complete
    /// list are gone.
    pub(crate) fn listed(
        &mut self,
        complete: bool,
        items: &[Listed],
        now_us: u64,
    ) -> (bool, bool, Option<f64>) {
        self.retry.reset();
        self.first_list_us = if self.first_list_us == 0 { now_us } else { self.first_list_us };
        let (mut added, mut removed, mut executions) = (false, false, None);
        let named: BTreeSet<u32> = items.iter().map(|item| item.backend).collect();
        let missing =
            self.fleet.values().filter(|backend| complete && !named.contains(&backend.listed.backend));
        let gone = missing.map(|backend| Listed { phase: Phase::Gone, ..backend.listed });
        for item in gone.collect::<Vec<_>>().iter().chain(items) {
            let backend = self.fleet.entry(item.backend).or_default();
            let was_ready = backend.ready();
            let not_binding = self.deployment.removal_not_binding && item.phase == Phase::Gone;
            // Where removal is not binding, an entry that says only "gone" carries no new start time.
            let item = if not_binding { Listed { phase: Phase::Gone, ..backend.listed } } else { *item };
            let starts = backend.listed.since_us != item.since_us;
            let ended = item.phase == Phase::Gone && !not_binding || starts;
            if backend.listed.phase == Phase::Ready && !backend.drained && ended {
                executions = Some(executions.unwrap_or(0.0_f64).max(backend.execution_count() as f64));
            }
            if starts {
                // The start time may be off by the clock error, and a later start may have been observed: the
                // later counts.
                let drift_us = self.deployment.clocks.start_us.min(now_us.saturating_sub(item.since_us));
                let stamp_us = item.since_us + if item.since_us > 0 { drift_us } else { 0 };
                backend.restart(stamp_us.max(backend.since_us), now_us);
            }
            backend.drained |= item.phase == Phase::Terminating;
            let may_serve = not_binding && !backend.drained;
            let dropped = may_serve && backend.listed.phase == Phase::Ready;
            backend.phase_out_steps =
                if dropped { PHASE_OUT_STEPS } else { backend.phase_out_steps * u8::from(may_serve) };
            (backend.listed, backend.manually_drained) =
                (item, self.manual_drains.contains_key(&item.backend));
            (added, removed) =
                (added || backend.ready() && !was_ready, removed || was_ready && !backend.ready());
        }
        self.remove_gone();
        (added, removed, executions)
    }

    /// No further execution of the query is possible; the latest counts as sent only once its body is
    /// complete.
    pub(crate) fn body_progress(&mut self, id: &str, complete: bool, now_us: u64) {
        let Some(qry) = self.queries.get_mut(id) else { return };
        let Some(exec) = qry.executions.last_mut().filter(|exec| exec.in_flight) else { return };
        qry.limits.max_executions = 0;
        exec.sent_us = if complete { now_us } else { now_us + FAR_FUTURE_US };
        let Some(backend) = self.fleet.get_mut(&exec.backend) else { return };
        let before = backend.work();
        if let Some(in_flight) = backend.executions.get_mut(&exec.serial) {
            (in_flight.sent_us, in_flight.work_at_send, in_flight.body_incomplete) =
                (exec.sent_us, before + in_flight.work, !complete);
        }
    }

    /// Drains a backend or returns it to service. A returning backend may have restarted without this having
    /// been reported yet, so it counts as just started.
    pub(crate) fn set_manual_drain(&mut self, id: u32, drained: bool, now_us: u64) {
        let drained_us = if drained {
            *self.manual_drains.entry(id).or_insert(now_us)
        } else {
            self.manual_drains.remove(&id).unwrap_or(0)
        };
        if let Some(backend) = self.fleet.get_mut(&id) {
            if !drained && backend.listed.since_us < drained_us {
                backend.restart(now_us, now_us);
            }
            backend.manually_drained = drained;
        }
        self.remove_gone();
        self.regroup_us = now_us;
    }

    /// Stores a peer's note, unless a newer one has arrived.
    pub(crate) fn record_peer_note(&mut self, peer: u32, note: &str, until_us: u64) {
        let Some((short, report)) = parse_note(note) else { return };
        let Some(id) = self.subset.iter().find(|id| *id & 0xffff == short) else { return };
        let reports =
            &mut self.fleet.get_mut(id).expect("the subset contains only listed backends").peer_reports;
        if reports.iter().all(|last| last.peer != peer || report.is_newer_than(last)) {
            reports.retain(|last| last.peer != peer);
            reports.push(PeerReport { peer, until_us, ..report });
        }
    }

    /// Finishes a query; executions still in flight are cancelled and count until their outcome.
    pub(crate) fn close(&mut self, id: &str, writer: &mut dyn Writer) {
        let Some(qry) = self.queries.get_mut(id) else { return };
        self.waiting.remove(&qry.queue_key());
        if !qry.finished && qry.limits.cancel {
            let in_flight = qry.executions.iter().enumerate().filter(|(_, exec)| exec.in_flight);
            in_flight.for_each(|(number, _)| writer.cancel(&qry.id, number as u32));
        }
        qry.finished = true;
        if !qry.has_in_flight() {
            self.queries.remove(id);
        }
    }

    /// Removes backends that are not ready from the subsets and groups, and forgets those that are gone and
    /// that no query refers to.
    pub(crate) fn remove_gone(&mut self) {
        let fleet = &mut self.fleet;
        self.subset.retain(|id| fleet[id].ready());
        self.remote_subset.retain(|id| fleet[id].ready());
        self.groups.iter_mut().for_each(|group| group.retain(|member| fleet[&member.backend].ready()));
        let executions = self.queries.values().flat_map(|qry| &qry.executions);
        let probed = self.queries.values().flat_map(|qry| qry.probed.iter().copied());
        let referenced: BTreeSet<u32> = executions.map(|exec| exec.backend).chain(probed).collect();
        let named = |backend: &Backend| backend.listed.phase != Phase::Gone || backend.phase_out_steps > 0;
        fleet.retain(|id, backend| named(backend) || referenced.contains(id));
    }
}

/// A backend in a group, with its current weight in the smooth weighted round robin.
pub struct Member {
    pub backend: u32,
    pub current_weight: f64,
}

impl Member {
    /// Starts at a random position in the rotation, below the weight that it gains each time.
    pub fn new(server: &Backend, chance: f64) -> Self {
        Member { backend: server.listed.backend, current_weight: chance * server.listed.weight }
    }
}

#[cfg(test)]
#[path = "../tests/unit/kept.rs"]
mod tests;
