//! Leases as owners and receivers see them: how long an owner may believe it is one, and the fence that
//! refuses an old one. Called by `session` on the owner's and the receiver's side.

use std::collections::BTreeMap;

/// The times that all processes of a fleet agree on by their file, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    pub lease_us: u64,
    /// How often an owner renews.
    pub renew_us: u64,
    /// How often all others do.
    pub session_us: u64,
    /// What the owner's lease is shorter by than the fleet's view of it, against clocks of unlike pace.
    pub margin_us: u64,
    /// A step of the engine's clock, and how many of them make a heartbeat and an election.
    pub tick_us: u64,
    pub heartbeat_ticks: usize,
    pub election_ticks: usize,
}

impl Times {
    /// A lease of 3 s, the rest in proportion.
    pub fn new(lease_us: u64) -> Self {
        Times {
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

/// A duty that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    pub token: u64,
    pub from_us: u64,
    /// From then on it does nothing in the duty's name.
    pub until_us: u64,
}

/// What one process holds, by its own clock, which must run on while the machine sleeps.
#[derive(Clone, Default, Debug, PartialEq, Eq, Hash)]
pub struct Holding {
    held: BTreeMap<String, Held>,
    /// Tokens let go of: an answer that was on its way then gives none of them back.
    let_go: BTreeMap<String, u64>,
}

impl Holding {
    /// The fleet's answer to a renewal sent at `sent_us`. The lease counts from then, since the fleet may have
    /// heard it at once and the answer may have been long on its way.
    pub fn renewed(
        &mut self,
        now_us: u64,
        duty: &str,
        token: u64,
        sent_us: u64,
        times: &Times,
    ) -> Option<Held> {
        let until_us = (sent_us + times.lease_us).saturating_sub(times.margin_us);
        if until_us <= now_us || self.has_let_go(duty, token) {
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

    /// Whether this process has given the duty up under this token.
    pub fn has_let_go(&self, duty: &str, token: u64) -> bool {
        self.let_go.get(duty).is_some_and(|gone| *gone >= token)
    }

    /// The token, while the lease lasts: to be asked at the moment of use, not before.
    pub fn token(&self, now_us: u64, duty: &str) -> Option<u64> {
        self.held.get(duty).filter(|held| now_us < held.until_us).map(|held| held.token)
    }

    /// What has run out since this was last asked.
    pub fn lapsed(&mut self, now_us: u64) -> Vec<(String, u64)> {
        let mut lapsed = Vec::new();
        self.held.retain(|duty, held| {
            let lasts = now_us < held.until_us;
            if !lasts {
                lapsed.push((duty.clone(), held.token));
            }
            lasts
        });
        lapsed
    }

    /// Gives the duty up for good under this token; false where it was not held.
    pub fn let_go(&mut self, duty: &str, token: u64) -> bool {
        let gone = self.let_go.entry(duty.to_owned()).or_default();
        *gone = (*gone).max(token);
        match self.held.get(duty) {
            Some(held) if held.token <= token => self.held.remove(duty).is_some(),
            _ => false,
        }
    }

    pub fn all(&self, now_us: u64) -> impl Iterator<Item = (&str, u64)> {
        let lasts = move |held: &Held| now_us < held.until_us;
        self.held.iter().filter(move |(_, held)| lasts(held)).map(|(duty, held)| (duty.as_str(), held.token))
    }
}

/// The highest token that a receiver has let through for one duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    pub seen: u64,
}

impl Fence {
    /// Lets an owner's word through, or says which token stands against it.
    pub fn pass(&mut self, token: u64) -> Result<(), u64> {
        if token < self.seen {
            return Err(self.seen);
        }
        self.seen = token;
        Ok(())
    }
}
