//! Which gateways are alive: leases that each renews with its reports, known to all control-plane processes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::announcement::Announcement;
use crate::gateway_count::GatewayTotal;
use crate::peers::Peers;
use crate::{Now, ProcessId};

/// A lease that is not renewed for this long ends.
pub(crate) const LEASE: Duration = Duration::from_secs(3);
/// The gateways of a control-plane process that is out of reach count for this long.
const HOME_DEATH: Duration = Duration::from_secs(10);
/// How long an ended lease is remembered.
const TOMBSTONE: Duration = Duration::from_secs(60);
/// A pause of the caller longer than this means that the process itself may have been frozen.
const FREEZE: Duration = Duration::from_millis(700);
/// The most leases known, ended ones included.
const MAX_LEASES: usize = 16_384;
/// The most records in one announcement.
const MAX_BATCH: usize = 512;

/// One start of a gateway process: drawn at random at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayId(pub u64);

/// The lease of one gateway as control-plane processes tell it each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// The incarnation of the gateway.
    pub id: GatewayId,
    /// The machine: its incarnations count as one gateway.
    pub node: String,
    /// The zone it runs in.
    pub zone: String,
    /// The control-plane process that it follows.
    pub home: ProcessId,
    /// The number of its report that this tells of; rises with each report.
    pub seq: u64,
    /// Whether the lease runs.
    pub live: bool,
}

impl GatewayRecord {
    /// A later word supersedes an earlier one; at one `seq`, the end of a lease does.
    fn order(&self) -> (u64, bool, ProcessId) {
        (self.seq, !self.live, self.home)
    }
}

#[derive(Clone, Debug)]
struct Lease {
    record: GatewayRecord,
    /// The newest report heard here, when the gateway follows this process.
    heard: Option<(u64, Now)>,
    /// When its home was found dead.
    orphaned: bool,
    changed_at: Now,
}

impl Lease {
    fn counts(&self) -> bool {
        self.record.live && !self.orphaned
    }
}

/// The leases of all gateways, as one control-plane process knows them.
#[derive(Clone, Debug)]
pub struct GatewayLeases {
    me: ProcessId,
    leases: BTreeMap<GatewayId, Lease>,
    peers: Peers,
    last_call: Now,
    doubt_until: Now,
    isolated: bool,
    total: u32,
    lower_since: Option<Now>,
}

impl GatewayLeases {
    /// No leases, begun at `now` in the process `me`.
    pub fn new(now: Now, me: ProcessId) -> Self {
        Self {
            me,
            leases: BTreeMap::new(),
            peers: Peers::new(HOME_DEATH),
            last_call: now,
            doubt_until: now + LEASE,
            isolated: false,
            total: 0,
            lower_since: None,
        }
    }

    /// Says whether this process reaches the majority of the control plane. While it does not, the count
    /// does not fall: the gateways out of reach still serve.
    pub fn set_isolated(&mut self, now: Now, isolated: bool) {
        self.observe(now);
        if self.isolated && !isolated {
            self.doubt_until = self.doubt_until.max(now + LEASE);
        }
        self.isolated = isolated;
    }

    /// A peer is connected. It is to be told the whole state.
    pub fn peer_up(&mut self, now: Now, peer: ProcessId) {
        self.observe(now);
        self.peers.up(peer);
        for lease in self.leases.values_mut().filter(|lease| lease.record.home == peer) {
            lease.orphaned = false;
        }
    }

    /// The connection to a peer is gone.
    pub fn peer_down(&mut self, now: Now, peer: ProcessId) {
        self.observe(now);
        self.peers.down(now, peer);
    }

    /// A gateway's report renews its lease. What is returned is to be told to all peers.
    pub fn renew(
        &mut self,
        now: Now,
        id: GatewayId,
        node: &str,
        zone: &str,
        seq: u64,
    ) -> Option<Announcement> {
        self.observe(now);
        if let Some(lease) = self.leases.get_mut(&id) {
            if seq <= lease.record.seq || lease.heard.is_some_and(|(heard, _)| seq <= heard) {
                return None;
            }
            lease.heard = Some((seq, now));
            if lease.counts() && lease.record.home == self.me {
                return None;
            }
        } else if self.leases.len() >= MAX_LEASES {
            return None;
        }
        let (node, zone) = (node.to_owned(), zone.to_owned());
        let record = GatewayRecord { id, node, zone, home: self.me, seq, live: true };
        let lease =
            Lease { record: record.clone(), heard: Some((seq, now)), orphaned: false, changed_at: now };
        self.leases.insert(id, lease);
        self.recount(now);
        Some(Announcement::of_gateways(self.me, vec![record]))
    }

    /// Joins what a peer announced.
    pub fn merge(&mut self, now: Now, announcement: &Announcement) {
        self.observe(now);
        for word in &announcement.gateways {
            self.join(now, word);
        }
        self.recount(now);
    }

    /// To be called each 250 ms or so: ends leases. What is returned is to be told to all peers.
    pub fn tick(&mut self, now: Now) -> Option<Announcement> {
        self.observe(now);
        let ended = self.end_leases(now);
        self.find_orphans(now);
        self.leases.retain(|_, lease| lease.counts() || now.saturating_sub(lease.changed_at) <= TOMBSTONE);
        self.recount(now);
        (!ended.is_empty()).then(|| Announcement::of_gateways(self.me, ended))
    }

    /// The whole state in batches, for a peer that has just connected.
    pub fn whole(&self) -> Vec<Announcement> {
        let records: Vec<GatewayRecord> = self.leases.values().map(|lease| lease.record.clone()).collect();
        let batches = records.chunks(MAX_BATCH);
        batches.map(|batch| Announcement::of_gateways(self.me, batch.to_vec())).collect()
    }

    /// How many gateways there are. Rises at once; falls only after leases have ended, and stayed so.
    pub fn total(&self, now: Now) -> GatewayTotal {
        GatewayTotal { count: self.total, settled: !self.isolated && now >= self.doubt_until }
    }

    /// The gateways whose leases run.
    pub fn live(&self) -> impl Iterator<Item = &GatewayRecord> {
        self.leases.values().filter(|lease| lease.counts()).map(|lease| &lease.record)
    }

    fn join(&mut self, now: Now, word: &GatewayRecord) {
        if word.home != self.me && word.live {
            self.peers.named(now, word.home);
        }
        let full = self.leases.len() >= MAX_LEASES;
        match self.leases.get_mut(&word.id) {
            Some(lease) if word.order() > lease.record.order() => {
                let heard_since = lease.heard.is_some_and(|(heard, _)| heard > word.seq);
                if heard_since && !word.live {
                    return;
                }
                lease.record = word.clone();
                lease.orphaned = false;
                lease.changed_at = now;
                lease.heard = lease.heard.filter(|_| word.home == self.me && word.live);
            }
            Some(_) => {}
            None if !full => {
                let lease = Lease { record: word.clone(), heard: None, orphaned: false, changed_at: now };
                self.leases.insert(word.id, lease);
            }
            None => {}
        }
    }

    fn end_leases(&mut self, now: Now) -> Vec<GatewayRecord> {
        let mut ended = Vec::new();
        for lease in self.leases.values_mut() {
            let Some((seq, heard_at)) = lease.heard else {
                continue;
            };
            if now.saturating_sub(heard_at) <= LEASE {
                continue;
            }
            lease.heard = None;
            if lease.record.live && lease.record.home == self.me {
                lease.record.seq = seq;
                lease.record.live = false;
                lease.changed_at = now;
                ended.push(lease.record.clone());
            }
        }
        ended
    }

    fn find_orphans(&mut self, now: Now) {
        if self.isolated {
            return;
        }
        let dead = self.peers.take_dead(now);
        for lease in self.leases.values_mut() {
            if dead.contains(&lease.record.home) {
                lease.orphaned = true;
                lease.changed_at = now;
            }
        }
    }

    fn recount(&mut self, now: Now) {
        let nodes: BTreeSet<&str> = self.live().map(|record| record.node.as_str()).collect();
        let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX);
        if count >= self.total {
            self.total = count;
            self.lower_since = None;
            return;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.saturating_sub(since) >= LEASE && !self.isolated {
            self.total = count;
            self.lower_since = None;
        }
    }

    /// Notes the time of a call. A long pause may mean that this process was frozen: it then doubts first.
    fn observe(&mut self, now: Now) {
        let pause = now.saturating_sub(self.last_call);
        self.last_call = self.last_call.max(now);
        if pause <= FREEZE {
            return;
        }
        self.doubt_until = self.doubt_until.max(now + LEASE);
        self.peers.excuse(pause);
        for lease in self.leases.values_mut() {
            lease.heard = lease.heard.map(|(seq, heard_at)| (seq, heard_at + pause));
        }
    }
}
