//! The leases of gateways: each renews its lease by its reports, and all control-plane processes know them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::announcement::Announcement;
use crate::freeze::FreezeDetector;
use crate::gateway_count::GatewayTotal;
use crate::peers::Peers;
use crate::{Now, ProcessId};

/// How long a lease runs after its last renewal.
const LEASE_DURATION: Duration = Duration::from_secs(3);
/// The gateways of a home count for this long after the home has become unreachable.
const HOME_DEATH_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the tombstone of an ended lease is kept.
const TOMBSTONE_DURATION: Duration = Duration::from_secs(60);
/// A longer pause between two calls means that this process may have been frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(700);
/// The maximum number of leases, including tombstones.
const MAX_LEASES: usize = 16_384;
/// The maximum number of records in one announcement.
const MAX_BATCH: usize = 512;

/// One incarnation of a gateway: drawn at random at each start of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayId(pub u64);

/// The lease of one gateway, as control-plane processes exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// The incarnation of the gateway.
    pub id: GatewayId,
    /// The machine that it runs on. All incarnations on one machine count as one gateway.
    pub node: String,
    /// The zone that it runs in.
    pub zone: String,
    /// The control-plane process that it follows.
    pub home: ProcessId,
    /// The number of the report that this record was made from; rises with each report.
    pub seq: u64,
    /// Whether the lease runs.
    pub live: bool,
}

impl GatewayRecord {
    /// The order in which records supersede each other: the newer report does; of one report, the end of
    /// the lease.
    fn precedence(&self) -> (u64, bool, ProcessId) {
        (self.seq, !self.live, self.home)
    }
}

/// The newest report of a gateway that follows this process.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    seq: u64,
    received_at: Now,
}

#[derive(Clone, Debug)]
struct Lease {
    record: GatewayRecord,
    last_report: Option<LastReport>,
    /// Whether its home is dead.
    orphaned: bool,
    changed_at: Now,
}

impl Lease {
    fn is_live(&self) -> bool {
        self.record.live && !self.orphaned
    }
}

/// The leases of all gateways, as one control-plane process knows them.
#[derive(Clone, Debug)]
pub struct GatewayLeases {
    local_process: ProcessId,
    leases: BTreeMap<GatewayId, Lease>,
    peers: Peers,
    freezes: FreezeDetector,
    /// Until then there may be gateways that this process does not know.
    grace_until: Now,
    isolated: bool,
    total: u32,
    lower_since: Option<Now>,
}

impl GatewayLeases {
    /// Creates an empty set of leases at `now`, in the process `local_process`.
    pub fn new(now: Now, local_process: ProcessId) -> Self {
        Self {
            local_process,
            leases: BTreeMap::new(),
            peers: Peers::new(HOME_DEATH_TIMEOUT),
            freezes: FreezeDetector::new(now, FREEZE_THRESHOLD),
            grace_until: now + LEASE_DURATION,
            isolated: false,
            total: 0,
            lower_since: None,
        }
    }

    /// Sets whether this process is cut off from the majority of the control plane. While it is, the number
    /// of gateways does not fall, since the unreachable gateways still serve.
    pub fn set_isolated(&mut self, now: Now, isolated: bool) {
        self.record_call(now);
        if self.isolated && !isolated {
            self.restart_grace_period(now);
        }
        self.isolated = isolated;
    }

    /// Records that a peer is connected. The host then sends it the [full state](Self::full_state).
    pub fn peer_up(&mut self, now: Now, peer: ProcessId) {
        self.record_call(now);
        self.peers.mark_reachable(peer);
        for lease in self.leases.values_mut().filter(|lease| lease.record.home == peer) {
            lease.orphaned = false;
        }
    }

    /// Records that the connection to a peer is closed.
    pub fn peer_down(&mut self, now: Now, peer: ProcessId) {
        self.record_call(now);
        self.peers.mark_unreachable(now, peer);
    }

    /// Renews the lease of a gateway by its report `seq`. Returns an update to be sent to all peers; none if
    /// they need not know, or if the report is not newer than the last one.
    pub fn renew(
        &mut self,
        now: Now,
        id: GatewayId,
        node: &str,
        zone: &str,
        seq: u64,
    ) -> Option<Announcement> {
        self.record_call(now);
        let report = LastReport { seq, received_at: now };
        if let Some(lease) = self.leases.get_mut(&id) {
            if seq <= lease.record.seq || lease.last_report.is_some_and(|last| seq <= last.seq) {
                return None;
            }
            lease.last_report = Some(report);
            if lease.is_live() && lease.record.home == self.local_process {
                return None;
            }
        } else if self.leases.len() >= MAX_LEASES {
            return None;
        }
        let (node, zone) = (node.to_owned(), zone.to_owned());
        let record = GatewayRecord { id, node, zone, home: self.local_process, seq, live: true };
        let lease =
            Lease { record: record.clone(), last_report: Some(report), orphaned: false, changed_at: now };
        self.leases.insert(id, lease);
        self.update_total(now);
        Some(Announcement::of_gateways(self.local_process, vec![record]))
    }

    /// Merges a peer's announcement.
    pub fn merge(&mut self, now: Now, announcement: &Announcement) {
        self.record_call(now);
        for update in &announcement.gateways {
            self.merge_record(now, update);
        }
        self.update_total(now);
    }

    /// Ends the leases that were not renewed. To be called about every 250 ms. Returns an update to be sent
    /// to all peers.
    pub fn tick(&mut self, now: Now) -> Option<Announcement> {
        self.record_call(now);
        let ended = self.end_leases(now);
        self.mark_orphans(now);
        self.leases
            .retain(|_, lease| lease.is_live() || now.saturating_sub(lease.changed_at) <= TOMBSTONE_DURATION);
        self.update_total(now);
        (!ended.is_empty()).then(|| Announcement::of_gateways(self.local_process, ended))
    }

    /// All records in batches, for a peer that has just connected.
    pub fn full_state(&self) -> Vec<Announcement> {
        let records: Vec<GatewayRecord> = self.leases.values().map(|lease| lease.record.clone()).collect();
        let batches = records.chunks(MAX_BATCH);
        batches.map(|batch| Announcement::of_gateways(self.local_process, batch.to_vec())).collect()
    }

    /// The number of gateways. Rises at once; falls only after leases have ended, and no sooner than one
    /// further lease duration.
    pub fn total(&self, now: Now) -> GatewayTotal {
        GatewayTotal { count: self.total, states_absence: !self.isolated && now >= self.grace_until }
    }

    /// The gateways whose leases run.
    pub fn live_gateways(&self) -> impl Iterator<Item = &GatewayRecord> {
        self.leases.values().filter(|lease| lease.is_live()).map(|lease| &lease.record)
    }

    fn merge_record(&mut self, now: Now, update: &GatewayRecord) {
        if update.home != self.local_process && update.live {
            self.peers.track(now, update.home);
        }
        let full = self.leases.len() >= MAX_LEASES;
        match self.leases.get_mut(&update.id) {
            Some(lease) if update.precedence() > lease.record.precedence() => {
                // The gateway has reported here since: the end of its lease elsewhere does not matter.
                let reported_since = lease.last_report.is_some_and(|last| last.seq > update.seq);
                if reported_since && !update.live {
                    return;
                }
                lease.record = update.clone();
                lease.orphaned = false;
                lease.changed_at = now;
                let still_follows = update.home == self.local_process && update.live;
                lease.last_report = lease.last_report.filter(|_| still_follows);
            }
            Some(_) => {}
            None if !full => {
                let record = update.clone();
                let lease = Lease { record, last_report: None, orphaned: false, changed_at: now };
                self.leases.insert(update.id, lease);
            }
            None => {}
        }
    }

    fn end_leases(&mut self, now: Now) -> Vec<GatewayRecord> {
        let mut ended = Vec::new();
        for lease in self.leases.values_mut() {
            let Some(last) = lease.last_report else {
                continue;
            };
            if now.saturating_sub(last.received_at) <= LEASE_DURATION {
                continue;
            }
            lease.last_report = None;
            if lease.record.live && lease.record.home == self.local_process {
                lease.record.seq = last.seq;
                lease.record.live = false;
                lease.changed_at = now;
                ended.push(lease.record.clone());
            }
        }
        ended
    }

    fn mark_orphans(&mut self, now: Now) {
        if self.isolated {
            return;
        }
        let dead = self.peers.remove_dead(now);
        for lease in self.leases.values_mut() {
            if dead.contains(&lease.record.home) {
                lease.orphaned = true;
                lease.changed_at = now;
            }
        }
    }

    fn update_total(&mut self, now: Now) {
        let nodes: BTreeSet<&str> = self.live_gateways().map(|record| record.node.as_str()).collect();
        let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX);
        if count >= self.total {
            self.total = count;
            self.lower_since = None;
            return;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.saturating_sub(since) >= LEASE_DURATION && !self.isolated {
            self.total = count;
            self.lower_since = None;
        }
    }

    /// Records the time of a call. A long pause since the last one may mean that this process was frozen and
    /// missed reports: nothing expires by that pause, and the grace period starts again.
    fn record_call(&mut self, now: Now) {
        let Some(pause) = self.freezes.record_call(now) else { return };
        self.restart_grace_period(now);
        self.peers.extend_timeouts(pause);
        for report in self.leases.values_mut().filter_map(|lease| lease.last_report.as_mut()) {
            report.received_at += pause;
        }
    }

    fn restart_grace_period(&mut self, now: Now) {
        self.grace_until = self.grace_until.max(now + LEASE_DURATION);
    }
}
