//! Leases from the side of owners and receivers: how long an owner may rely on its lease, and the fence that
//! rejects an outdated owner. Used by `session` for both.

use std::collections::BTreeMap;

/// The intervals on which all processes of a fleet agree by their fleet file, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    pub lease_us: u64,
    /// Renewal interval of a process that owns a duty.
    pub renew_us: u64,
    /// Renewal interval of all other processes.
    pub session_us: u64,
    /// How much shorter the owner's lease is by its own clock than by the leader's, to allow for clock drift.
    pub margin_us: u64,
    /// The tick of the Raft library, and the number of ticks in a heartbeat interval and in an election
    /// timeout.
    pub tick_us: u64,
    pub heartbeat_ticks: usize,
    pub election_ticks: usize,
}

impl Timing {
    /// Derives all intervals from the lease.
    pub fn new(lease_us: u64) -> Self {
        Timing {
            lease_us,
            renew_us: lease_us / 6,
            session_us: lease_us / 2,
            margin_us: lease_us / 20,
            tick_us: 50_000,
            heartbeat_ticks: 2,
            election_ticks: 10,
        }
    }
}

/// A lease on a duty that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    pub token: u64,
    pub from_us: u64,
    /// From then on, this process must not act as the owner.
    pub until_us: u64,
}

/// The leases that one process holds, by its own clock. That clock must not stop while the machine sleeps.
#[derive(Clone, Default, Debug, PartialEq, Eq, Hash)]
pub struct HeldLeases {
    held: BTreeMap<String, Held>,
    /// Tokens given up. An answer still in transit does not restore them.
    released: BTreeMap<String, u64>,
}

impl HeldLeases {
    /// Handles the leader's answer to a renewal sent at `sent_us`. The lease counts from the sending, since
    /// the leader may have received the renewal at once and the answer may have been delayed.
    pub fn renew(
        &mut self,
        now_us: u64,
        duty: &str,
        token: u64,
        sent_us: u64,
        times: &Timing,
    ) -> Option<Held> {
        let until_us = (sent_us + times.lease_us).saturating_sub(times.margin_us);
        if until_us <= now_us || self.has_released(duty, token) {
            return None;
        }
        let held = self.held.entry(duty.to_owned()).or_insert(Held { token, from_us: now_us, until_us });
        if held.token > token {
            return None;
        }
        if held.token < token || held.until_us <= now_us {
            *held = Held { token, from_us: now_us, until_us };
        }
        held.until_us = held.until_us.max(until_us);
        Some(*held)
    }

    /// Whether this process has given up the duty under this token or a later one.
    pub fn has_released(&self, duty: &str, token: u64) -> bool {
        self.released.get(duty).is_some_and(|given_up| *given_up >= token)
    }

    /// The token, while the lease is valid. To be checked at the moment of use, not before.
    pub fn token(&self, now_us: u64, duty: &str) -> Option<u64> {
        self.held.get(duty).filter(|held| now_us < held.until_us).map(|held| held.token)
    }

    /// Removes and returns the leases that have expired.
    pub fn take_expired(&mut self, now_us: u64) -> Vec<(String, u64)> {
        let mut expired = Vec::new();
        self.held.retain(|duty, held| {
            let lasts = now_us < held.until_us;
            if !lasts {
                expired.push((duty.clone(), held.token));
            }
            lasts
        });
        expired
    }

    /// Gives up the duty permanently under this token. Returns false if it was not held.
    pub fn release(&mut self, duty: &str, token: u64) -> bool {
        let given_up = self.released.entry(duty.to_owned()).or_default();
        *given_up = (*given_up).max(token);
        match self.held.get(duty) {
            Some(held) if held.token <= token => self.held.remove(duty).is_some(),
            _ => false,
        }
    }

    pub fn iter(&self, now_us: u64) -> impl Iterator<Item = (&str, u64)> {
        let lasts = move |held: &Held| now_us < held.until_us;
        self.held.iter().filter(move |(_, held)| lasts(held)).map(|(duty, held)| (duty.as_str(), held.token))
    }
}

/// The highest token that a receiver has accepted for one duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    pub seen: u64,
}

impl Fence {
    /// Accepts an owner's token, or returns the higher one that was seen before.
    pub fn accept(&mut self, token: u64) -> Result<(), u64> {
        if token < self.seen {
            return Err(self.seen);
        }
        self.seen = token;
        Ok(())
    }
}
