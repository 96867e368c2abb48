//! Member discovery for a process that is not a candidate for membership: it polls a member for the view.
//!
//! Performs no I/O: callers pass in the time and the received messages, and send the requests. At most one request is in
//! flight, so each such process sends at most one per [`RESPONSE_TIMEOUT`] while there is no response, and one per
//! [`POLL_INTERVAL`] otherwise.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{Member, Now, View};

/// The interval between requests to a responding member.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum number of discovered processes to remember.
const MAX_DISCOVERED: usize = 16;
/// After this time a request has failed, and another process is polled.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// A request in flight.
#[derive(Clone, Copy, Debug)]
struct ViewRequest {
    to: SocketAddr,
    since: Now,
}

/// The newest known view, and the member that is known to be reachable.
#[derive(Clone, Debug)]
pub struct MemberSearch {
    zone: String,
    local_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    /// Processes of the core that sent a message, the most recently discovered last.
    discovered: Vec<SocketAddr>,
    view: View,
    reachable_member: Option<SocketAddr>,
    request: Option<ViewRequest>,
    next_request_at: Now,
    /// A random offset into the candidate lists, to spread processes over the members.
    rotation: usize,
    /// Consecutive failed requests.
    failures: usize,
}

impl MemberSearch {
    /// Creates a search that knows only the seeds. `rotation` should be random, to spread processes over the members.
    pub fn new(
        now: Now,
        local_address: SocketAddr,
        zone: String,
        seeds: Vec<SocketAddr>,
        rotation: usize,
    ) -> Self {
        MemberSearch {
            zone,
            local_address,
            seeds,
            discovered: Vec::new(),
            view: View::default(),
            reachable_member: None,
            request: None,
            next_request_at: now,
            rotation,
            failures: 0,
        }
    }

    /// The newest known view, with epoch 0 while none is known.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The member that answered the last request, if one did.
    pub fn reachable_member(&self) -> Option<SocketAddr> {
        self.reachable_member
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Records that a process of the core sent a message. If no view is known yet, the next request is due
    /// immediately.
    pub fn peer_discovered(&mut self, now: Now, from: SocketAddr) {
        if self.discovered.contains(&from) {
            return;
        }
        if self.discovered.len() >= MAX_DISCOVERED {
            self.discovered.remove(0);
        }
        self.discovered.push(from);
        if self.reachable_member.is_none() && self.view.epoch == 0 {
            self.request = None;
            self.next_request_at = now;
        }
    }

    /// The process to send a request to now, if any.
    pub fn poll(&mut self, now: Now) -> Option<SocketAddr> {
        if self.request.is_some_and(|request| now >= request.since + RESPONSE_TIMEOUT) {
            self.request = None;
            self.reachable_member = None;
            self.failures += 1;
            self.next_request_at = now;
        }
        if self.request.is_some() || now < self.next_request_at {
            return None;
        }
        let to = self.reachable_member.or_else(|| self.candidate())?;
        self.request = Some(ViewRequest { to, since: now });
        Some(to)
    }

    /// When to call [`MemberSearch::poll`] again.
    pub fn wake_at(&self) -> Now {
        self.request.map_or(self.next_request_at, |request| request.since + RESPONSE_TIMEOUT)
    }

    /// Records a view received from `from`. A process that is not a member may send one too, but callers aren't redirected
    /// to it.
    pub fn view_received(&mut self, now: Now, from: SocketAddr, view: View) {
        if view.epoch > self.view.epoch {
            self.view = view;
        }
        self.reachable_member = self.reachable_member.filter(|reached| self.is_member(*reached));
        if self.request.is_none_or(|request| request.to != from) {
            return;
        }
        self.request = None;
        if self.is_member(from) {
            self.reachable_member = Some(from);
            self.failures = 0;
            self.next_request_at = now + POLL_INTERVAL;
        } else {
            self.failures += 1;
            self.next_request_at = now + RESPONSE_TIMEOUT;
        }
    }

    fn is_member(&self, address: SocketAddr) -> bool {
        self.view.members.iter().any(|member| member.address == address)
    }

    /// The next process to poll while no member is known to respond. Cycles through the members of the local zone, the
    /// other members, discovered processes and seeds.
    fn candidate(&self) -> Option<SocketAddr> {
        let (same_zone, other_zones): (Vec<&Member>, Vec<&Member>) =
            self.view.members.iter().partition(|member| member.zone == self.zone);
        let same_zone = rotated(&same_zone, self.rotation).map(|member| member.address);
        let other_zones = rotated(&other_zones, self.rotation).map(|member| member.address);
        let discovered = self.discovered.iter().rev().copied();
        let seeds = rotated(&self.seeds, self.rotation).copied();
        let known = same_zone.chain(other_zones).chain(discovered).chain(seeds);
        let all: Vec<SocketAddr> = known.filter(|address| *address != self.local_address).collect();
        let index = self.failures.checked_rem(all.len())?;
        all.get(index).copied()
    }
}

/// Iterates over a whole list from a starting index, wrapping around.
fn rotated<T>(all: &[T], start: usize) -> impl Iterator<Item = &T> {
    let (before, after) = all.split_at(start.checked_rem(all.len()).unwrap_or(0));
    after.iter().chain(before)
}

#[cfg(test)]
#[path = "../tests/unit/member_search.rs"]
mod tests;
