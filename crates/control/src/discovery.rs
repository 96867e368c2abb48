//! What a process knows of processes outside its view: seeds, standbys that ask for a vote, and possible replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::types::{Member, MemberId, Now};

/// A request for a vote that isn't repeated counts for so long.
const JOIN_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The most standbys remembered at a time.
const MAX_JOIN_REQUESTS: usize = 16;
/// The most addresses remembered.
const MAX_KNOWN_MACHINES: usize = 64;

/// What this process knows of processes outside its view.
#[derive(Clone, Debug)]
pub(crate) struct Discovery {
    /// This process's own identity is synced.
    pub(crate) identified: bool,
    /// This process started with an empty disk.
    pub(crate) first_start: bool,
    /// When this process started.
    pub(crate) started_at: Now,
    /// When the seeds get the next hello, if no view or nobody of it is known.
    pub(crate) next_hello: Now,
    /// When the members get the next request for a vote, if this process wants one.
    pub(crate) next_join: Now,
    /// Seeds that announced that they take part in the bootstrap and have a disk.
    durable_seeds: Vec<SocketAddr>,
    /// Seeds that announced that they have no disk.
    volatile_seeds: Vec<SocketAddr>,
    join_requests: Vec<JoinRequest>,
    /// Processes that announced themselves since the start and could vote, with whether they have a disk.
    known_machines: BTreeMap<SocketAddr, bool>,
    /// Machines that an operator declared to be gone for good.
    gone_machines: BTreeSet<SocketAddr>,
}

/// A standby that asks for a vote.
#[derive(Clone, Debug)]
struct JoinRequest {
    member: Member,
    first_received: Now,
    last_received: Now,
    /// Its last install failed: it isn't proposed before this.
    postponed_until: Now,
}

impl Discovery {
    /// Nothing is known yet at the start.
    pub(crate) fn new(now: Now) -> Self {
        Discovery {
            identified: false,
            first_start: false,
            started_at: now,
            next_hello: now,
            next_join: now,
            durable_seeds: Vec::new(),
            volatile_seeds: Vec::new(),
            join_requests: Vec::new(),
            known_machines: BTreeMap::new(),
            gone_machines: BTreeSet::new(),
        }
    }

    /// Remembers a process that announced itself. One that was declared to be gone is back.
    pub(crate) fn record_machine(&mut self, member: &Member) {
        let known = self.known_machines.contains_key(&member.address);
        if known || self.known_machines.len() < MAX_KNOWN_MACHINES {
            self.known_machines.insert(member.address, member.durable);
            self.gone_machines.remove(&member.address);
        }
    }

    /// The addresses of the processes that announced themselves and weren't declared to be gone since, with whether they
    /// have a disk.
    pub(crate) fn known_machines(&self) -> impl Iterator<Item = (SocketAddr, bool)> + '_ {
        let machines = self.known_machines.iter().map(|(address, durable)| (*address, *durable));
        machines.filter(|(address, _)| !self.is_gone(*address))
    }

    /// Whether a process announced itself at an address since the start.
    pub(crate) fn has_heard_of(&self, address: SocketAddr) -> bool {
        self.known_machines.contains_key(&address)
    }

    /// An operator declares that a machine is gone for good.
    pub(crate) fn record_gone(&mut self, address: SocketAddr) {
        if self.gone_machines.len() < MAX_KNOWN_MACHINES {
            self.gone_machines.insert(address);
        }
    }

    /// Whether a machine was declared to be gone and hasn't announced itself since.
    pub(crate) fn is_gone(&self, address: SocketAddr) -> bool {
        self.gone_machines.contains(&address)
    }

    /// The machines that are gone.
    pub(crate) fn gone_machines(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.gone_machines.iter().copied()
    }

    /// Remembers a seed that announced itself. One with a disk takes part in the bootstrap only if it says so; one
    /// without a disk is remembered in any case, since it is left out where another seed has a disk.
    pub(crate) fn record_seed(&mut self, address: SocketAddr, durable: bool, takes_part: bool) {
        let seeds = match durable {
            true if !takes_part => return,
            true => &mut self.durable_seeds,
            false => &mut self.volatile_seeds,
        };
        if !seeds.contains(&address) {
            seeds.push(address);
        }
    }

    /// Whether a seed announced that it has no disk.
    pub(crate) fn is_volatile_seed(&self, address: SocketAddr) -> bool {
        self.volatile_seeds.contains(&address)
    }

    /// Whether a seed announced itself for the bootstrap.
    pub(crate) fn is_known_seed(&self, address: SocketAddr) -> bool {
        self.durable_seeds.contains(&address) || self.volatile_seeds.contains(&address)
    }

    /// Takes a request for a vote. A process with another id at the same address replaces the one that was there.
    pub(crate) fn record_join_request(&mut self, now: Now, member: Member) {
        let requests = &mut self.join_requests;
        requests.retain(|known| known.member.id == member.id || known.member.address != member.address);
        if let Some(known) = requests.iter_mut().find(|known| known.member.id == member.id) {
            known.last_received = now;
            known.member = member;
        } else if requests.len() < MAX_JOIN_REQUESTS {
            requests.push(JoinRequest {
                member,
                first_received: now,
                last_received: now,
                postponed_until: now,
            });
        }
    }

    /// Forgets requests for a vote that weren't repeated.
    pub(crate) fn remove_expired_requests(&mut self, now: Now) {
        self.join_requests.retain(|request| now <= request.last_received + JOIN_REQUEST_TIMEOUT);
    }

    /// The standbys that ask for a vote, in the order of their first requests.
    pub(crate) fn joiners(&self) -> impl Iterator<Item = &Member> {
        self.join_requests.iter().map(|request| &request.member)
    }

    /// When a standby first asked for a vote.
    pub(crate) fn join_requested_at(&self, id: MemberId) -> Option<Now> {
        let request = self.join_requests.iter().find(|request| request.member.id == id);
        request.map(|request| request.first_received)
    }

    /// Whether a standby isn't to be proposed yet because its last install failed.
    pub(crate) fn is_postponed(&self, now: Now, id: MemberId) -> bool {
        let mut requests = self.join_requests.iter();
        requests.any(|request| request.member.id == id && now < request.postponed_until)
    }

    /// A standby's install failed: it isn't proposed before `until`.
    pub(crate) fn postpone(&mut self, id: MemberId, until: Now) {
        for request in self.join_requests.iter_mut().filter(|request| request.member.id == id) {
            request.postponed_until = until;
        }
    }
}
