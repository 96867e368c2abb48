//! The parts of a fleet in virtual time, and what happens to them.

use std::collections::BTreeSet;
use std::time::Duration;

use crankpick_quota::{Allocator, Demand, Grant, Holder, HolderId, QuotaBounds, QuotaLimit};

use super::load::Load;

#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub gateways: usize,
    pub homes: usize,
    pub bounds: QuotaBounds,
    pub limit: QuotaLimit,
    pub load: Load,
    pub seed: u64,
    pub begin: Duration,
    pub length: Duration,
    /// The limit changes then to this.
    pub change: Option<(Duration, QuotaLimit)>,
    pub faults: Vec<(Duration, Fault)>,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    RestartGateway(usize),
    /// Kills a home; its gateways move to others, and it comes back after this time.
    KillHome(usize, Duration),
    /// Cuts a gateway off from all homes for this time.
    CutGateway(usize, Duration),
    /// Cuts a home off from the owner for this time; its gateways stay with it.
    CutHome(usize, Duration),
    /// The owner is lost; another takes over after this time.
    LoseOwner(Duration),
    /// The owner is cut off with one home, which takes its old token to be the newest; another takes over.
    SplitOwner(usize, Duration),
    KillAll,
    /// Kills the owner and all homes; the gateways go on.
    KillCore,
}

#[derive(Debug)]
pub enum Event {
    Arrival,
    GatewayTick(usize, u64),
    HomeTick(usize, u64),
    /// Looks again whether to report because of a need.
    GatewayPoll(usize, u64),
    HomePoll(usize, u64),
    OwnerTick,
    GatewayReport {
        gateway: usize,
        id: u64,
        home: usize,
        sent_at: Duration,
        demand: Demand,
    },
    GatewayGrant {
        gateway: usize,
        id: u64,
        sent_at: Duration,
        grant: Grant,
    },
    HomeReport {
        home: usize,
        id: u64,
        owner: usize,
        sent_at: Duration,
        demand: Demand,
    },
    HomeGrant {
        home: usize,
        id: u64,
        sent_at: Duration,
        grant: Grant,
    },
    Fault(usize),
    OwnerTakesOver {
        split_home: Option<usize>,
    },
    HomeUp(usize),
    HealGateway(usize),
    HealHome(usize),
}

pub struct Queued {
    pub at: Duration,
    pub number: u64,
    pub event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

pub struct Waiting {
    pub since: Duration,
    pub amount: f64,
    pub owed: bool,
}

pub struct Gateway {
    pub id: u64,
    pub holder: Holder,
    pub home: usize,
    pub cut: bool,
    pub last_sent: Duration,
    pub waiting: Vec<Waiting>,
    /// A poll is on its way.
    pub polled: bool,
}

pub struct Home {
    pub id: u64,
    pub allocator: Allocator,
    pub up: bool,
    pub cut: bool,
    pub owner: usize,
    pub last_sent: Duration,
    pub gateways: BTreeSet<HolderId>,
    pub polled: bool,
}

pub struct Owner {
    pub allocator: Allocator,
    pub up: bool,
    pub lost_at: Option<Duration>,
}
