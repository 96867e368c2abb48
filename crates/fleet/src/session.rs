//! One process's session with the fleet: its renewals, the leases it holds, the publication it has accepted
//! and the fence that guards it. Used by `node`.

use std::collections::BTreeSet;

use crate::lease::{Fence, Held, HeldLeases, Timing};
use crate::messages::{ProcessId, Publication, Renewal, Renewed, WorkContext, OUTS};
use crate::observation::{objections, ProxyReport, View};
use crate::work::SendPolicy;

/// How long to wait for an answer before trying another voter, in units of the owner's renewal interval.
const ANSWER_TIMEOUT_RENEWALS: u64 = 2;

/// State of one process's session. Times are in microseconds by the process's own clock.
pub struct Session {
    pub who: ProcessId,
    times: Timing,
    pub willing: bool,
    /// Whether the disk accepts writes. A process that cannot persist what it is told owns nothing.
    pub writable: bool,
    pub superseded: bool,
    pub leases: HeldLeases,
    fence: Fence,
    /// The committed version at the time of the first answer. All publications are ignored before that, and
    /// older ones after it: what this process had accepted before a restart may not have reached its disk,
    /// and an old publication would revert it.
    min_version: Option<u64>,
    pub taken: Option<Publication>,
    pub acted: u64,
    /// As the owner of the outs duty: the committed version and set of backends, from the leader.
    agreed: Option<(u64, BTreeSet<String>)>,
    /// Token and version last published, and when.
    last_published: Option<(u64, u64, u64)>,
    next_renewal_us: u64,
    /// When the first renewal since the last answer was sent.
    unanswered_since_us: Option<u64>,
    pub leader: String,
    pub terms: SendPolicy,
    /// The version that the disk holds.
    pub kept: u64,
    /// Until when this process may send, if its policy requires contact with the fleet.
    send_until_us: u64,
    /// Version and send time of an answer whose version is not applied yet. It extends `send_until_us` once
    /// it is.
    unapplied_answer: Option<(u64, u64)>,
    /// Whether the version in force at the fleet's first answer has been applied.
    caught_up: bool,
    pub busy: BTreeSet<String>,
    /// Whether the proxy has no queries in progress while drained for maintenance.
    pub idle: bool,
    view: View,
    /// The leader that the view was last sent to, and the number of renewals since.
    view_sent: Option<(String, u32)>,
    /// The plans' revision, and the backends scheduled to leave next at that revision.
    next: Option<(u64, Vec<String>)>,
    /// Whether this proxy is to be drained for maintenance.
    pub drained: bool,
    /// Input for the owner of the work duty.
    pub work_context: Option<WorkContext>,
}

/// Renewals after which an unchanged view is sent again.
const VIEW_RESEND_RENEWALS: u32 = 8;

/// Changes caused by an answer to a renewal.
#[derive(Default, Debug, PartialEq)]
pub struct Changes {
    pub held: Vec<(String, Held)>,
    pub released: Vec<(String, u64)>,
}

impl Session {
    pub fn new(who: ProcessId, times: Timing, taken: Option<Publication>) -> Self {
        let fence = Fence { seen: taken.as_ref().map_or(0, |taken| taken.token) };
        Session {
            who,
            times,
            willing: true,
            writable: true,
            superseded: false,
            leases: HeldLeases::default(),
            fence,
            min_version: None,
            taken,
            acted: 0,
            agreed: None,
            last_published: None,
            next_renewal_us: 0,
            unanswered_since_us: None,
            leader: String::new(),
            terms: SendPolicy::default(),
            kept: 0,
            send_until_us: 0,
            unapplied_answer: None,
            caught_up: false,
            busy: BTreeSet::new(),
            idle: false,
            view: View::default(),
            view_sent: None,
            next: None,
            drained: false,
            work_context: None,
        }
    }

    /// Until when this process may send anything to a backend, by its own clock.
    pub fn send_until_us(&self) -> u64 {
        match self.terms {
            SendPolicy { drains: true, .. } => self.send_until_us,
            SendPolicy { waits: true, .. } if !self.caught_up => 0,
            _ => u64::MAX,
        }
    }

    /// Records that the proxy's dispatch has applied this version, and which of the backends that are out
    /// still have queries in progress.
    pub fn record_applied(&mut self, now_us: u64, version: u64, busy: BTreeSet<String>) {
        self.acted = self.acted.max(version);
        self.busy = busy;
        self.catch_up();
        self.renew_now(now_us);
    }

    /// Permission to send is extended only by a renewal whose answer named a version that is applied. So once
    /// the fleet has waited for a lease, a process that lacks a version has lost its permission.
    fn catch_up(&mut self) {
        if let Some((version, sent_us)) = self.unapplied_answer.filter(|(version, _)| *version <= self.acted)
        {
            let until = (sent_us + self.times.lease_us).saturating_sub(self.times.margin_us);
            self.send_until_us = self.send_until_us.max(until);
            self.caught_up |= version <= self.acted;
            self.unapplied_answer = None;
        }
    }

    /// Records what the proxy observes of its backends.
    pub fn set_view(&mut self, view: View) {
        if view != self.view {
            self.view = view.truncated();
            self.view_sent = None;
        }
    }

    /// The report on maintenance that goes with a renewal.
    fn report(&mut self) -> ProxyReport {
        let (busy, drained) = (self.busy.clone(), self.drained && self.idle);
        let Some((revision, next)) = &self.next else {
            return ProxyReport { busy, drained, ..ProxyReport::default() };
        };
        let unchanged = self
            .view_sent
            .as_ref()
            .is_some_and(|(to, ago)| *to == self.leader && *ago < VIEW_RESEND_RENEWALS);
        let told = if unchanged { self.view_sent.take().map_or(0, |told| told.1) + 1 } else { 0 };
        self.view_sent = Some((self.leader.clone(), told));
        let objections = objections(&self.view, next);
        ProxyReport {
            revision: *revision,
            objections,
            busy,
            drained,
            view: (!unchanged).then(|| self.view.clone()),
        }
    }

    /// Makes the next renewal due now.
    pub fn renew_now(&mut self, now_us: u64) {
        self.next_renewal_us = self.next_renewal_us.min(now_us);
    }

    /// Whether the answer is so late that another voter should be tried.
    pub fn answer_overdue(&mut self, now_us: u64) -> bool {
        let patience = ANSWER_TIMEOUT_RENEWALS * self.times.renew_us + self.times.tick_us;
        let answer_overdue = self.unanswered_since_us.is_some_and(|since| now_us > since + patience);
        if answer_overdue {
            self.unanswered_since_us = None;
            self.renew_now(now_us);
        }
        answer_overdue
    }

    /// The next renewal, if it is due.
    pub fn next_renewal(&mut self, now_us: u64, voter: bool) -> Option<Renewal> {
        if now_us < self.next_renewal_us {
            return None;
        }
        let owns = self.leases.iter(now_us).next().is_some();
        let owner_interval = owns || self.unanswered_since_us.is_some();
        self.next_renewal_us =
            now_us + if owner_interval { self.times.renew_us } else { self.times.session_us };
        self.unanswered_since_us.get_or_insert(now_us);
        // An answer is expected within the owner's interval, even in a session that renews less often.
        self.next_renewal_us = self.next_renewal_us.min(now_us + self.times.session_us);
        let seen = self.report();
        Some(Renewal {
            who: self.who.clone(),
            sent_us: now_us,
            willing: self.willing && !self.superseded,
            writable: self.writable,
            voter,
            taken_token: self.fence.seen,
            taken: self.taken.as_ref().map_or(0, |taken| taken.version),
            acted: self.acted,
            heard: self.agreed.as_ref().map_or(0, |agreed| agreed.0),
            kept: self.kept,
            terms: self.terms,
            seen,
            work: self
                .work_context
                .as_ref()
                .and_then(|work_context| work_context.work.as_ref().map(|_| work_context.revision)),
        })
    }

    /// Takes over the work context. The plans held so far stay valid if the answer has no newer ones.
    fn update_work_context(&mut self, work_context: Option<Box<WorkContext>>) {
        let Some(mut new) = work_context.map(|work_context| *work_context) else { return };
        if new.work.is_none() {
            let old = self.work_context.take().filter(|old| old.revision == new.revision);
            new.work = old.and_then(|old| old.work);
        }
        self.work_context = Some(new);
    }

    /// Handles the leader's answer to a renewal.
    pub fn handle_answer(&mut self, now_us: u64, answer: Renewed) -> Changes {
        let mut changes = Changes::default();
        self.unanswered_since_us = None;
        self.leader = answer.leader;
        self.superseded = answer.superseded;
        self.min_version.get_or_insert(answer.version);
        self.unapplied_answer = Some((answer.version, answer.sent_us));
        self.catch_up();
        let changed = answer.next.as_ref().map(|next| next.0) != self.next.as_ref().map(|next| next.0);
        if changed && answer.next.as_ref().is_some_and(|(_, next)| !next.is_empty()) {
            // Machines scheduled to leave wait until every proxy has considered them.
            self.renew_now(now_us);
        }
        (self.next, self.drained) = (answer.next, answer.drained);
        self.update_work_context(answer.work);
        for (duty, token) in &answer.tokens {
            if duty == OUTS {
                // A lower token has no effect on the fence.
                let _ = self.fence.accept(*token);
            }
        }
        if let Some(outs) = answer.outs {
            if self.agreed.as_ref().is_none_or(|agreed| agreed.0 < answer.version) {
                self.agreed = Some((answer.version, outs));
            }
        }
        for (duty, token) in &answer.duties {
            // Gives back a duty that this process no longer wants. One that it has given back before is given
            // back again: if that message was lost, the fleet would otherwise regard this process as the
            // owner permanently.
            let given_up = self.leases.has_released(duty, *token);
            if given_up || !self.willing || self.superseded || !self.writable {
                changes.released.push((duty.clone(), *token));
                continue;
            }
            let was = self.leases.token(now_us, duty);
            if let Some(held) = self.leases.renew(now_us, duty, *token, answer.sent_us, &self.times) {
                changes.held.push((duty.clone(), held));
                if was.is_none() {
                    // From now on this process renews at the owner's interval.
                    self.next_renewal_us = self.next_renewal_us.min(now_us + self.times.renew_us);
                }
            }
        }
        if self.superseded {
            changes.released.extend(self.release_all(now_us));
        }
        changes
    }

    /// Stops owning anything at once. Returns the duties that the fleet must be told are free.
    pub fn release_all(&mut self, now_us: u64) -> Vec<(String, u64)> {
        let all: Vec<(String, u64)> =
            self.leases.iter(now_us).map(|(duty, token)| (duty.to_owned(), token)).collect();
        all.iter().for_each(|(duty, token)| {
            self.leases.release(duty, *token);
        });
        all
    }

    /// Whether the version in force is known, and accepted if there is one.
    pub fn knows_current_version(&self) -> bool {
        self.min_version
            .is_some_and(|min_version| self.taken.as_ref().map_or(0, |taken| taken.version) >= min_version)
    }

    /// The publication to send as owner of the outs duty, if one is due: at once on a change, and from time
    /// to time because messages can be lost. The lease is checked here, at the moment of use.
    pub fn publish(&mut self, now_us: u64) -> Option<Publication> {
        let token = self.leases.token(now_us, OUTS)?;
        let (version, outs) = self.agreed.clone()?;
        let changed = self.last_published.is_none_or(|(was, last, at_us)| {
            (was, last) != (token, version) || now_us >= at_us + self.times.lease_us / 2
        });
        if !changed {
            return None;
        }
        self.last_published = Some((token, version, now_us));
        Some(Publication { token, version, outs, owner: self.who.to_string() })
    }

    /// Accepts a publication. Returns whether it changes anything, or the token that fences it off if its
    /// owner is out of date.
    pub fn accept(&mut self, publication: &Publication) -> Result<bool, u64> {
        if publication.token >= self.fence.seen
            && self.min_version.is_none_or(|min_version| publication.version < min_version)
        {
            return Ok(false);
        }
        self.fence.accept(publication.token)?;
        let version = self.taken.as_ref().map_or(0, |taken| taken.version);
        let token = self.taken.as_ref().map_or(0, |taken| taken.token);
        if publication.version < version || (publication.version, publication.token) == (version, token) {
            return Ok(false);
        }
        self.taken = Some(publication.clone());
        Ok(true)
    }

    /// The publication that the sender of this renewal has yet to receive.
    pub fn missed_by(&self, renewal: &Renewal) -> Option<&Publication> {
        self.taken.as_ref().filter(|taken| renewal.taken < taken.version || renewal.taken_token < taken.token)
    }
}
