//! The requests of one tenant that wait for quota, in the order in which they are served. No I/O.
//!
//! A request waits while quota can still come early enough for its answer: at the rate that this gateway has leased, after
//! the requests in front of it, or as a credit that the source of the leases may still pay. It is refused as soon as neither can be.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::holder::Holder;
use crate::Now;

/// The place of a waiting request: the most urgent priority first, then the least time to spare, then the first to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The priority, 0 being the highest.
    pub priority: u8,
    /// The latest time at which the request can be sent to be answered in time.
    pub latest_start: Now,
    /// The order of arrival.
    pub serial: u64,
}

/// The end of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is charged to the quota.
    Admitted,
    /// The quota can't come in time. It accrues after this time, if that is known.
    Refused(Option<Duration>),
}

/// The requests whose wait is over, and when the others are to be looked at again.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settlement {
    /// The requests whose wait is over, in order.
    pub ended: Vec<(Place, Verdict)>,
    /// When to settle again if no grant comes before: the first request is served then, or can't be any more.
    pub next_at: Option<Now>,
}

/// The waiting requests and their costs in units of the quota.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    waiting: BTreeMap<Place, f64>,
}

impl WaitingQueue {
    /// Adds a request.
    pub fn push(&mut self, place: Place, cost: f64) {
        self.waiting.insert(place, cost);
    }

    /// Removes a request whose client has gone.
    pub fn remove(&mut self, place: &Place) {
        self.waiting.remove(place);
    }

    /// The request that is served next.
    pub fn first(&self) -> Option<Place> {
        self.waiting.keys().next().copied()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Reports the need of all waiting requests.
    pub fn record_need(&self, now: Now, holder: &mut Holder) {
        if !self.waiting.is_empty() {
            holder.record_waiting(now, self.waiting.values().sum());
        }
    }

    /// Admits the requests at the front for which there is quota, and refuses those for which it can't come in time. The
    /// source of the leases answers reports until `source_until`, as far as is known.
    pub fn settle(&mut self, now: Now, holder: &mut Holder, source_until: Option<Now>) -> Settlement {
        let mut settlement = Settlement::default();
        while let Some((place, cost)) = self.waiting.first_key_value().map(|(place, cost)| (*place, *cost)) {
            if now > place.latest_start || !holder.take_available(now, cost) {
                break;
            }
            self.waiting.remove(&place);
            settlement.ended.push((place, Verdict::Admitted));
        }
        self.record_need(now, holder);
        self.refuse_hopeless(now, holder, source_until, &mut settlement);
        settlement
    }

    fn refuse_hopeless(
        &mut self,
        now: Now,
        holder: &mut Holder,
        source_until: Option<Now>,
        settlement: &mut Settlement,
    ) {
        let credit_until = source_until.filter(|until| *until > now && holder.may_be_paid(now));
        let accrual = holder.accrual(now);
        let (mut ahead, mut next_at) = (0.0, holder.report_at(now).filter(|at| *at > now));
        self.waiting.retain(|place, cost| {
            let accrues_in = accrual.time_for(ahead + *cost);
            let accrues_at = accrues_in.and_then(|wait| now.checked_add(wait));
            let accrues_in_time =
                accrues_at.filter(|at| *at <= place.latest_start && accrual.can_hold(*cost));
            let until = match (accrues_in_time, credit_until) {
                _ if now >= place.latest_start => None,
                (Some(at), _) => Some(at),
                (None, Some(until)) => Some(until.min(place.latest_start)),
                (None, None) => None,
            };
            match until {
                Some(until) => {
                    ahead += *cost;
                    next_at = Some(next_at.map_or(until, |next| next.min(until)));
                }
                None => settlement.ended.push((*place, Verdict::Refused(accrues_in))),
            }
            until.is_some()
        });
        settlement.next_at = next_at.filter(|_| !self.waiting.is_empty());
    }
}
