//! Faults of real processes: drawn from a seed before a run begins, and played on its rig at their times.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{sleep_until, Instant};

use crate::history::Kind;
use crate::relay::Relay;
use crate::rig::Rig;

/// What the faults of a run are drawn by.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    pub seed: u64,
    pub processes: usize,
    pub seconds: u64,
    pub lease_us: u64,
}

/// Whom a fault befalls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Whom {
    Owner,
    Leader,
    Process(usize),
}

/// What befalls it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum What {
    Kill,
    KillAndLoseDisk,
    Stop,
    /// Cut off with some others on its side; one way only, it may hear but isn't heard.
    Cut {
        with: usize,
        one_way: bool,
    },
    /// All it says arrives late.
    Late {
        late_us: u64,
    },
    DiskFull {
        most: u64,
    },
    DiskFullAtMajority,
    Drain,
    Terminate,
    KillAllVoters,
}

/// One fault of a run; times in microseconds from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    pub at_us: u64,
    pub whom: Whom,
    pub what: What,
    pub lasts_us: u64,
}

/// The faults of a run, drawn before it begins.
pub fn plan(draw: &Draw) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(draw.seed);
    let mut faults = Vec::new();
    let (lease, mut at_us) = (draw.lease_us, 1_500_000);
    let mut lost = false;
    while at_us + 2 * lease < draw.seconds * 1_000_000 {
        let whom = match rng.u32(0..10) {
            0..=5 => Whom::Owner,
            6 | 7 => Whom::Leader,
            _ => Whom::Process(rng.usize(0..draw.processes)),
        };
        let long = lease + rng.u64(lease / 4..lease);
        let (what, lasts_us) = match rng.u32(0..24) {
            20..=23 => (What::Late { late_us: 2 * lease + rng.u64(0..lease) }, long),
            0..=4 => (What::Kill, rng.u64(lease / 2..2 * lease)),
            5 if !lost => {
                lost = true;
                (What::KillAndLoseDisk, rng.u64(lease / 2..lease))
            }
            5..=8 => (What::Stop, long),
            9 => (What::Stop, rng.u64(lease / 5..lease)),
            10..=12 => (What::Cut { with: rng.usize(0..2), one_way: rng.u32(0..3) == 0 }, long),
            13 | 14 => {
                (What::Late { late_us: lease + rng.u64(lease / 2..2 * lease) }, rng.u64(lease / 2..long))
            }
            15 | 16 => (What::DiskFull { most: [0, 4_096, 65_536][rng.usize(0..3)] }, long),
            17 => (What::DiskFullAtMajority, long),
            18 => (What::Drain, rng.u64(lease / 2..lease)),
            _ if rng.u32(0..3) == 0 => (What::KillAllVoters, lease / 2),
            _ => (What::Terminate, lease / 2),
        };
        // What comes late is of interest where it comes from an owner.
        let whom = if matches!(what, What::Late { .. }) { Whom::Owner } else { whom };
        faults.push(Fault { at_us, whom, what, lasts_us });
        // One after another, or now and then a second before the first is over; of every third seed most are.
        let together = if draw.seed.is_multiple_of(3) { 3 } else { 1 };
        let gap = if rng.u32(0..5) < together { lease / 4 } else { lasts_us + 2 * lease + rng.u64(0..lease) };
        at_us += gap;
    }
    faults
}

/// The faults of a plan on a rig, each begun and ended at its time.
pub struct Faults {
    rng: fastrand::Rng,
    /// Whose owner is meant.
    duty: &'static str,
}

impl Faults {
    pub fn new(seed: u64, duty: &'static str) -> Self {
        Faults { rng: fastrand::Rng::with_seed(seed ^ 0xfa), duty }
    }

    /// Plays a plan from now on, each fault begun and ended at its time.
    pub async fn play(&mut self, rig: &mut Rig, faults: &[Fault]) -> Result<(), String> {
        let start = Instant::now();
        // Beginnings and ends in the order of their times.
        let mut due: Vec<(u64, usize, bool)> = Vec::new();
        for (number, fault) in faults.iter().enumerate() {
            due.push((fault.at_us, number, true));
            due.push((fault.at_us + fault.lasts_us, number, false));
        }
        due.sort();
        let mut at = vec![0; faults.len()];
        for (at_us, number, begins) in due {
            sleep_until(start + Duration::from_micros(at_us)).await;
            match begins {
                true => at[number] = self.begin(rig, &faults[number]).await,
                false => self.end(rig, &faults[number], at[number]).await?,
            }
        }
        Ok(())
    }

    fn target(&self, rig: &Rig, whom: Whom) -> usize {
        match whom {
            Whom::Owner => rig.owner(self.duty).unwrap_or(0),
            Whom::Leader => rig.last("fleet_leads", "process").unwrap_or(0),
            Whom::Process(at) => at % rig.procs.len(),
        }
    }

    async fn begin(&mut self, rig: &mut Rig, fault: &Fault) -> usize {
        let at = self.target(rig, fault.whom);
        let name = rig.procs[at].name.clone();
        rig.line(Kind::Fault { what: format!("{:?} at {name} ({:?})", fault.what, fault.whom) });
        match fault.what {
            What::Kill | What::KillAndLoseDisk => {
                rig.kill(at).await;
                if fault.what == What::KillAndLoseDisk {
                    rig.lose_disk(at);
                }
            }
            What::Stop => rig.stop(at),
            What::Cut { with, one_way } => {
                let mut side: BTreeSet<usize> =
                    (0..with).map(|_| self.rng.usize(0..rig.procs.len())).collect();
                side.insert(at);
                for ((from, to), relay) in &rig.relays {
                    match (side.contains(from), side.contains(to)) {
                        (true, false) => relay.set(|mode| (mode.forth_cut, mode.back_cut) = (true, !one_way)),
                        (false, true) => relay.set(|mode| (mode.forth_cut, mode.back_cut) = (!one_way, true)),
                        _ => {}
                    }
                }
            }
            What::Late { late_us } => {
                for ((from, to), relay) in &rig.relays {
                    // What it says, on links of its own and as an answer on others'.
                    if *from == at || *to == at {
                        relay.set(|mode| mode.late_us = late_us);
                    }
                }
            }
            What::DiskFull { most } => rig.disk(at, Some(most)),
            What::DiskFullAtMajority => {
                rig.line(Kind::Majority { there: false });
                (0..rig.layout.voters / 2 + 1).for_each(|voter| rig.disk(voter, Some(0)));
            }
            What::Drain => {
                let _ = rig.call(at, "LAMEDUCK").await;
            }
            What::Terminate => rig.end(at).await,
            What::KillAllVoters => {
                rig.line(Kind::Majority { there: false });
                for voter in 0..rig.layout.voters {
                    rig.kill(voter).await;
                }
            }
        }
        at
    }

    async fn end(&mut self, rig: &mut Rig, fault: &Fault, at: usize) -> Result<(), String> {
        rig.line(Kind::Heal { what: format!("{:?}", fault.what) });
        match fault.what {
            What::Kill | What::KillAndLoseDisk | What::Terminate => {
                if !rig.is_up(at) {
                    rig.start(at).await?;
                }
            }
            What::Stop => rig.go_on(at),
            What::Cut { .. } | What::Late { .. } => rig.relays.values().for_each(Relay::heal),
            What::DiskFull { .. } => rig.disk(at, None),
            What::DiskFullAtMajority => {
                (0..rig.layout.voters).for_each(|voter| rig.disk(voter, None));
                rig.line(Kind::Majority { there: true });
            }
            What::Drain => {
                let _ = rig.call(at, "REJOIN").await;
            }
            What::KillAllVoters => {
                for voter in 0..rig.layout.voters {
                    if !rig.is_up(voter) {
                        rig.start(voter).await?;
                    }
                }
                rig.line(Kind::Majority { there: true });
            }
        }
        Ok(())
    }
}
