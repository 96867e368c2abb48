//! State that only the leader has, beside the replicated state: when each process was last heard from, and
//! from that which sessions have ended and which duties need a new owner. It is discarded when the leadership
//! is lost. Used by `node`.

use std::collections::{BTreeMap, BTreeSet};

use crate::lease::Timing;
use crate::messages::{MemberStatus, ProcessId, Renewal, Renewed, WorkContext, DUTIES, WORK};
use crate::observation::{aggregate, FleetView, LatestReport, View};
use crate::state::{Command, Fleet};
use crate::work::{Machine, MachineKind, SendPolicy, Stage};

/// A session ends after this many leases without a renewal.
const SESSION_TIMEOUT_LEASES: u64 = 3;
/// Maximum number of sessions begun or ended by one log entry.
const MAX_SESSIONS_PER_ENTRY: usize = 256;

/// The last renewal received from a process.
pub struct Heard<R> {
    pub renewal: Renewal,
    pub at_us: u64,
    /// Where answers go.
    pub route: R,
    /// The last view that the process reported.
    pub view: Option<View>,
}

/// `R` is the type of a return route to a process.
pub struct LeaderState<R> {
    pub name: String,
    pub term: u64,
    /// When this voter learned that it leads. Whatever earlier leaders answered was received before.
    since_us: u64,
    /// By process: during an upgrade both processes count until one is gone.
    pub heard: BTreeMap<ProcessId, Heard<R>>,
    /// Renewals awaiting a majority's confirmation of the leadership, with the round that will confirm it.
    waiting: BTreeMap<ProcessId, (u64, Heard<R>)>,
    round: u64,
    /// When the sessions were last checked.
    sessions_checked_us: u64,
    /// When the outstanding round was requested.
    round_requested_us: Option<u64>,
    /// When each owner's last confirmed renewal was received, or its grant took effect.
    renewed_us: BTreeMap<String, u64>,
    /// Duties with a proposed grant. Until it takes effect or the leadership is lost, the current owner is
    /// told nothing that would extend its lease.
    granting: BTreeSet<String>,
    joining: BTreeSet<ProcessId>,
    leaving: BTreeSet<ProcessId>,
    /// Processes that announced their exit and had answered all queries.
    exited: BTreeSet<ProcessId>,
    /// For each leaving machine, its revision and when this leader learned of it. Earlier leaders learned of
    /// it earlier.
    leaving_us: BTreeMap<String, (u64, u64)>,
}

/// Maximum number of reasons reported for one waiting machine.
const MAX_REASONS: usize = 6;

impl<R: Clone> LeaderState<R> {
    pub fn new(name: &str, term: u64, now_us: u64) -> Self {
        LeaderState {
            name: name.to_owned(),
            term,
            since_us: now_us,
            heard: BTreeMap::new(),
            waiting: BTreeMap::new(),
            sessions_checked_us: 0,
            // A round of an earlier term must not confirm one of this term.
            round: term << 24,
            round_requested_us: None,
            renewed_us: BTreeMap::new(),
            granting: BTreeSet::new(),
            joining: BTreeSet::new(),
            leaving: BTreeSet::new(),
            exited: BTreeSet::new(),
            leaving_us: BTreeMap::new(),
        }
    }

    /// Records a renewal; it is answered once a later round has been confirmed.
    pub fn record_renewal(&mut self, now_us: u64, renewal: Renewal, route: R) {
        let who = renewal.who.clone();
        let view = renewal.seen.view.clone();
        let view = view.or_else(|| self.heard.get(&who).and_then(|heard| heard.view.clone()));
        let heard = Heard { renewal: renewal.clone(), at_us: now_us, route: route.clone(), view };
        self.heard.insert(who.clone(), heard);
        self.waiting.insert(who, (self.round + 1, Heard { renewal, at_us: now_us, route, view: None }));
    }

    /// The next round to request from a majority, if a renewal waits for one.
    pub fn next_round(&mut self, now_us: u64, times: &Timing) -> Option<u64> {
        let timeout_us = 2 * times.heartbeat_ticks as u64 * times.tick_us;
        let round_in_flight = self.round_requested_us.is_some_and(|asked| now_us < asked + timeout_us);
        if self.waiting.is_empty() || round_in_flight {
            return None;
        }
        self.round += 1;
        self.round_requested_us = Some(now_us);
        Some(self.round)
    }

    /// A majority has confirmed the leadership since this round was requested: answers the renewals received
    /// before it.
    pub fn answer_confirmed(
        &mut self,
        now_us: u64,
        round: u64,
        fleet: &Fleet,
        times: &Timing,
    ) -> Vec<(R, Renewed)> {
        if round == self.round {
            self.round_requested_us = None;
        }
        let mut answers = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for (who, (needed_round, heard)) in waiting {
            if needed_round > round {
                self.waiting.insert(who, (needed_round, heard));
                continue;
            }
            let who = &heard.renewal.who;
            let current = fleet.sessions.get(&who.name);
            let superseded = current.is_some_and(|current| current.incarnation > who.incarnation);
            if !fleet.is_current(who) && !superseded {
                // Its session has not begun yet; it will have by the next renewal.
                continue;
            }
            let mut duties = Vec::new();
            for (duty, state) in &fleet.duties {
                if !superseded && state.owner.as_ref() == Some(who) && !self.granting.contains(duty) {
                    let renewed = self.renewed_us.entry(duty.clone()).or_default();
                    *renewed = (*renewed).max(heard.at_us);
                    duties.push((duty.clone(), state.token));
                }
            }
            let needs_outs = !duties.is_empty() && heard.renewal.heard != fleet.version;
            let owns_work = duties.iter().any(|(duty, _)| duty == WORK);
            let has_open_plan = fleet.work.open_plans().next().is_some();
            let (revision, known_revision) = (fleet.work.revision, heard.renewal.work);
            let work_context = (owns_work && has_open_plan).then(|| WorkContext {
                revision,
                work: (known_revision != Some(revision)).then(|| fleet.work.clone()),
                sight: self.fleet_view(now_us, fleet, times),
            });
            let answer = Renewed {
                who: who.clone(),
                sent_us: heard.renewal.sent_us,
                superseded,
                version: fleet.version,
                tokens: fleet.duties.iter().map(|(name, duty)| (name.clone(), duty.token)).collect(),
                outs: needs_outs.then(|| fleet.published()),
                duties,
                leader: self.name.clone(),
                next: has_open_plan.then(|| (revision, fleet.work.next_backends())),
                drained: fleet.work.is_drained(&who.name),
                work: work_context.map(Box::new),
            };
            answers.push((heard.route, answer));
        }
        answers
    }

    /// Handles a command that has taken effect.
    pub fn applied(&mut self, now_us: u64, command: &Command) {
        self.no_longer_pending(command);
        if let Command::Grant { duty, .. } = command {
            self.renewed_us.insert(duty.clone(), now_us);
        }
    }

    /// The process gave up a duty: it gets no other until it states that it is willing again.
    pub fn duty_released(&mut self, who: &ProcessId) {
        if let Some(heard) = self.heard.get_mut(who) {
            heard.renewal.willing = false;
        }
    }

    pub fn has_heard_from(&self, name: &str) -> bool {
        self.latest_renewal(name).is_some()
    }

    /// The last renewal of a proxy's newest process.
    fn latest_renewal(&self, name: &str) -> Option<&Heard<R>> {
        let who = |incarnation| ProcessId { name: name.to_owned(), incarnation };
        self.heard.range(who(0)..=who(u64::MAX)).next_back().map(|(_, heard)| heard)
    }

    /// The commands to propose now. `no_longer_pending` must be called for each that could not be proposed.
    pub fn due_commands(&mut self, now_us: u64, fleet: &Fleet, times: &Timing) -> Vec<Command> {
        let mut commands = Vec::new();
        // There can be hundreds of sessions, so they are checked periodically and not on each message.
        if now_us >= self.sessions_checked_us + times.tick_us / 2 {
            self.sessions_checked_us = now_us;
            commands.extend(self.session_changes(now_us, fleet, times));
        }
        for duty in DUTIES {
            commands.extend(self.grant(now_us, duty, fleet, times));
        }
        commands
    }

    /// Commands for sessions that have begun or ended.
    fn session_changes(&mut self, now_us: u64, fleet: &Fleet, times: &Timing) -> Vec<Command> {
        let mut commands = Vec::new();
        self.heard.retain(|_, heard| now_us <= heard.at_us + SESSION_TIMEOUT_LEASES * times.lease_us);
        let exited = &mut self.exited;
        self.heard.retain(|who, _| !exited.contains(who));
        let new = |who: &ProcessId, terms: &SendPolicy| {
            let current = fleet.sessions.get(&who.name);
            current.is_none_or(|current| {
                current.incarnation < who.incarnation
                    || current.incarnation == who.incarnation && current.terms != *terms
            })
        };
        let joins = self.heard.iter().map(|(who, heard)| (who, heard.renewal.terms));
        let joins = joins.filter(|(who, terms)| new(who, terms) && !self.joining.contains(who));
        let joins = joins.take(MAX_SESSIONS_PER_ENTRY).map(|(who, terms)| (who.clone(), terms));
        let joins: Vec<(ProcessId, SendPolicy)> = joins.collect();
        if !joins.is_empty() {
            self.joining.extend(joins.iter().map(|(who, _)| who.clone()));
            commands.push(Command::Join(joins));
        }
        let timeout_elapsed = now_us > self.since_us + SESSION_TIMEOUT_LEASES * times.lease_us;
        let silent = fleet.sessions.iter().filter(|(name, _)| !self.has_heard_from(name));
        let silent =
            silent.map(|(name, current)| ProcessId { name: name.clone(), incarnation: current.incarnation });
        let leaves = silent.map(|who| (self.exited.contains(&who), who));
        let leaves =
            leaves.filter(|(parted, who)| (*parted || timeout_elapsed) && !self.leaving.contains(who));
        let leaves: Vec<(ProcessId, bool)> =
            leaves.take(MAX_SESSIONS_PER_ENTRY).map(|(parted, who)| (who, parted)).collect();
        self.exited.retain(|who| fleet.is_current(who));
        if !leaves.is_empty() {
            self.leaving.extend(leaves.iter().map(|(who, _)| who.clone()));
            commands.push(Command::Leave(leaves));
        }
        commands
    }

    /// A process has announced its exit.
    pub fn process_exited(&mut self, who: ProcessId) {
        self.heard.remove(&who);
        self.waiting.remove(&who);
        self.exited.insert(who);
        self.sessions_checked_us = 0;
    }

    /// Records since when each leaving machine is known.
    fn track_leaving(&mut self, now_us: u64, fleet: &Fleet) {
        let all = fleet.work.open_plans().flat_map(|(_, plan)| &plan.machines);
        let all: BTreeMap<&String, u64> = all
            .filter(|(_, machine)| machine.stage == Stage::Leaving)
            .map(|(id, machine)| (id, machine.revision))
            .collect();
        self.leaving_us.retain(|id, since| all.get(id) == Some(&since.0));
        for (id, revision) in all {
            self.leaving_us.entry(id.clone()).or_insert((revision, now_us));
        }
    }

    /// What a leaving machine still waits for; empty once no proxy can send to it any more.
    pub fn waits(
        &self,
        now_us: u64,
        id: &str,
        machine: &Machine,
        fleet: &Fleet,
        times: &Timing,
    ) -> Vec<String> {
        let since = self.leaving_us.get(id).filter(|since| since.0 == machine.revision);
        let Some((_, since_us)) = since.copied() else {
            return vec!["the leader has just heard of it".into()];
        };
        if machine.is == MachineKind::Proxy {
            return self.proxy_waits(id, fleet).into_iter().collect();
        }
        let cut_off =
            |terms: &SendPolicy| terms.drains && now_us >= since_us + times.lease_us + terms.longest_us;
        let version = machine.version;
        // It has applied the version, has no queries in progress there, and cannot lose the version over a
        // restart without contact to the fleet.
        let clear = |renewal: &Renewal| {
            let kept = renewal.terms.waits || renewal.kept >= version;
            renewal.acted >= version && kept && !renewal.seen.busy.contains(id)
        };
        let why = |renewal: &Renewal| {
            let name = &renewal.who.name;
            if renewal.acted < version {
                format!("{name} has yet to act on version {version}")
            } else if renewal.seen.busy.contains(id) {
                format!("{name} has something in hand there")
            } else {
                format!("{name} has yet to write version {version} to its disk")
            }
        };
        let mut waits = Vec::new();
        for (name, current) in &fleet.sessions {
            let who = ProcessId { name: name.clone(), incarnation: current.incarnation };
            let heard = self.heard.get(&who).map(|heard| &heard.renewal);
            let busy =
                heard.is_some_and(|renewal| renewal.acted >= version && renewal.seen.busy.contains(id));
            if heard.is_some_and(clear) || !busy && cut_off(&current.terms) {
                continue;
            }
            waits.push(heard.map_or_else(|| format!("{name} was not heard of"), why));
        }
        // Older processes of an upgrade, and processes whose session has not begun yet.
        for (who, heard) in self.heard.iter().filter(|(who, _)| !fleet.is_current(who)) {
            if !clear(&heard.renewal) && !cut_off(&heard.renewal.terms) {
                waits.push(format!("{} ({who})", why(&heard.renewal)));
            }
        }
        for (name, absent) in fleet.absent.iter().filter(|(_, absent)| !cut_off(&absent.terms)) {
            waits.push(match absent.parted {
                true => format!("{name} has ended, and may start and serve unheard"),
                false => format!("{name} left without a word"),
            });
        }
        waits.truncate(MAX_REASONS);
        waits
    }

    fn office_holders(&self, fleet: &Fleet) -> BTreeSet<String> {
        let owners = fleet.duties.values().filter_map(|duty| duty.owner.as_ref());
        owners.map(|who| who.name.clone()).chain([self.name.clone()]).collect()
    }

    fn proxy_waits(&self, name: &str, fleet: &Fleet) -> Option<String> {
        if self.office_holders(fleet).contains(name) {
            return Some(format!("{name} has yet to hand over what it owns or leads"));
        }
        if !fleet.sessions.contains_key(name) {
            let silent = fleet.absent.get(name).is_some_and(|absent| !absent.parted);
            return silent.then(|| format!("{name} left without a word"));
        }
        let drained = |heard: &Heard<R>| heard.renewal.seen.drained;
        match self.latest_renewal(name) {
            Some(heard) if drained(heard) => None,
            Some(_) => Some(format!("{name} has yet to answer what it has in hand")),
            None => Some(format!("{name} was not heard of")),
        }
    }

    /// The aggregated observations of all proxies, and the progress of each machine.
    pub fn fleet_view(&mut self, now_us: u64, fleet: &Fleet, times: &Timing) -> FleetView {
        self.track_leaving(now_us, fleet);
        let max_age_us = times.lease_us + times.session_us;
        let reports = fleet.sessions.iter().map(|(name, current)| {
            let who = ProcessId { name: name.clone(), incarnation: current.incarnation };
            let heard = self.heard.get(&who);
            let age_us = heard.map_or(u64::MAX, |heard| now_us.saturating_sub(heard.at_us));
            let seen = heard.map(|heard| &heard.renewal.seen);
            LatestReport {
                name,
                view: heard.and_then(|heard| heard.view.as_ref()),
                objections: seen.map_or(&[], |seen| &seen.objections),
                revision: seen.map_or(0, |seen| seen.revision),
                age_us,
                in_touch: age_us <= max_age_us,
            }
        });
        let mut sight = aggregate(reports);
        let silent = fleet.absent.iter().filter(|(_, absent)| !absent.parted).map(|(name, _)| name);
        for name in silent {
            sight.proxies += 1;
            sight.silent.push(name.clone());
        }
        sight.in_office = self.office_holders(fleet);
        for (id, machine) in fleet.work.open_plans().flat_map(|(_, plan)| &plan.machines) {
            if machine.stage == Stage::Leaving {
                sight.waits.insert(id.clone(), self.waits(now_us, id, machine, fleet, times));
            }
            if machine.stage == Stage::Back {
                let behind = |heard: &&Heard<R>| heard.renewal.acted < machine.version;
                let current =
                    self.heard.iter().filter(|(who, _)| fleet.is_current(who)).map(|(_, heard)| heard);
                sight.behind.insert(id.clone(), current.filter(behind).count() as u32);
            }
        }
        sight
    }

    /// A command is no longer pending: it took effect, or it was not proposed and is to be tried again.
    pub fn no_longer_pending(&mut self, command: &Command) {
        match command {
            Command::Join(all) => all.iter().for_each(|(who, _)| {
                self.joining.remove(who);
            }),
            Command::Leave(all) => all.iter().for_each(|(who, _)| {
                self.leaving.remove(who);
            }),
            Command::Grant { duty, .. } => {
                self.granting.remove(duty);
            }
            _ => {}
        }
    }

    /// Grants a duty to a new owner once the old owner's lease has expired by this clock too. It is counted
    /// from when the owner's last renewal was received, which is after it was sent, or from the start of the
    /// leadership.
    fn grant(&mut self, now_us: u64, duty: &str, fleet: &Fleet, times: &Timing) -> Option<Command> {
        if self.granting.contains(duty) {
            return None;
        }
        let state = fleet.duties.get(duty).cloned().unwrap_or_default();
        if state.owner.is_some() {
            let last = self.renewed_us.get(duty).copied().unwrap_or(0).max(self.since_us);
            if now_us < last + times.lease_us {
                return None;
            }
        }
        let to = self.candidate(now_us, state.owner.as_ref(), fleet, times)?;
        self.granting.insert(duty.to_owned());
        Some(Command::Grant { duty: duty.to_owned(), token: state.token + 1, to })
    }

    /// Prefers a voter, since it learns of changes first; then another process than the leader, so that one
    /// failure does not affect both; then another than the last owner, whose lease expired; then the one that
    /// owns the fewest duties.
    fn candidate(
        &self,
        now_us: u64,
        last: Option<&ProcessId>,
        fleet: &Fleet,
        times: &Timing,
    ) -> Option<ProcessId> {
        let max_age_us = times.session_us + times.session_us / 2 + 4 * times.tick_us;
        let eligible = self.heard.values().filter(|heard| {
            let renewal = &heard.renewal;
            let accepts = renewal.willing && renewal.writable;
            accepts && now_us <= heard.at_us + max_age_us && fleet.is_current(&renewal.who)
        });
        let owned =
            |who: &ProcessId| fleet.duties.values().filter(|duty| duty.owner.as_ref() == Some(who)).count();
        let best = eligible.min_by_key(|heard| {
            let who = &heard.renewal.who;
            (Some(who) == last, !heard.renewal.voter, who.name == self.name, owned(who), &who.name)
        });
        best.map(|heard| heard.renewal.who.clone())
    }

    /// The route to a process that must learn of a change at once.
    pub fn route(&self, who: &ProcessId) -> Option<&R> {
        self.heard.get(who).map(|heard| &heard.route)
    }

    pub fn members(&self, now_us: u64) -> Vec<MemberStatus> {
        let status = |heard: &Heard<R>| {
            let Renewal { who, willing, writable, voter, taken_token, taken, acted, .. } = &heard.renewal;
            MemberStatus {
                name: who.name.clone(),
                incarnation: format!("{:x}", who.incarnation),
                voter: *voter,
                writable: *writable,
                willing: *willing,
                token: *taken_token,
                taken: *taken,
                acted: *acted,
                silent_us: now_us.saturating_sub(heard.at_us),
            }
        };
        self.heard.values().map(status).collect()
    }
}
