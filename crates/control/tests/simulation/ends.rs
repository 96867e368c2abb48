//! Correlated failures: disks are lost while all other machines lose power, right after an acknowledgement or
//! shortly after a change was sent. They overlap with other faults, follow one another, and combine with
//! network partitions.

use std::collections::BTreeSet;
use std::time::Duration;

use crankpick_control::{Body, View};

use super::operators::Wake;
use super::schedule::{Fault, Report, FAULTS_END, SEEDS};
use super::{ms, Simulation};

/// The number of machines with a disk, and of tolerated losses.
const CLUSTERS: [(usize, usize); 8] = [(3, 1), (5, 2), (8, 1), (8, 2), (4, 1), (3, 1), (5, 2), (7, 3)];
/// The time range, in milliseconds, in which faults begin.
const FAULT_START_MS: std::ops::Range<u64> = 6_500..15_000;
/// The maximum time until a machine starts again.
const MAX_RESTART_DELAY: Duration = ms(1_500);

/// The event that triggers a correlated failure.
#[derive(Clone, Copy, Debug)]
pub enum Trigger {
    Now,
    NextAcknowledgement,
    /// The given time after the next change is submitted.
    AfterChange(Duration),
    /// The given time after a proposal next installs a state, while changes are in progress.
    AfterInstall(Duration),
}

/// Which disks are lost.
#[derive(Clone, Copy, Debug)]
pub enum LostDisks {
    Voters,
    Chain,
    Standbys,
    Any,
}

/// What happens to the machines that keep their disks.
#[derive(Clone, Copy, Debug)]
pub enum OtherMachines {
    KeepRunning,
    LosePower,
    /// Only the machines with a disk lose power.
    DurableMachinesLosePower,
}

/// Loss of disks combined with a power loss of other machines.
#[derive(Clone, Copy, Debug)]
pub struct CorrelatedFailure {
    pub trigger: Trigger,
    pub lost: LostDisks,
    /// The maximum number of lost disks.
    pub max_disks: usize,
    pub others: OtherMachines,
}

impl Simulation {
    /// Injects a failure now, or when its trigger occurs.
    pub fn arm(&mut self, failure: CorrelatedFailure) {
        match failure.trigger {
            Trigger::Now => self.inject_failure(&failure),
            _ => self.armed_failure = Some(failure),
        }
    }

    pub fn trigger_on_acknowledgement(&mut self) {
        let due = |failure: &mut CorrelatedFailure| matches!(failure.trigger, Trigger::NextAcknowledgement);
        if let Some(failure) = self.armed_failure.take_if(due) {
            self.fault_at(self.now, Fault::CorrelatedFailure(failure));
        }
    }

    pub fn trigger_on_change(&mut self) {
        let Some(failure) = self.armed_failure else { return };
        if let Trigger::AfterChange(later) = failure.trigger {
            self.armed_failure = None;
            self.fault_at(self.now + later, Fault::CorrelatedFailure(failure));
        }
    }

    pub fn trigger_on_install(&mut self, body: &Body) {
        let Some(failure) = self.armed_failure else { return };
        if let (Trigger::AfterInstall(later), Body::Install(_)) = (failure.trigger, body) {
            self.armed_failure = None;
            self.fault_at(self.now + later, Fault::CorrelatedFailure(failure));
        }
    }

    pub fn inject_failure(&mut self, failure: &CorrelatedFailure) {
        if self.now >= FAULTS_END {
            return;
        }
        let lost = self.disks_to_lose(failure);
        if self.verbose {
            println!("{:?} {failure:?} loses the disks of {lost:?}", self.now);
        }
        let others: Vec<usize> = (0..self.nodes.len()).filter(|index| !lost.contains(index)).collect();
        for index in &lost {
            self.record_lost_disk();
            self.wipe(*index);
        }
        for index in others {
            let loses_power = match failure.others {
                OtherMachines::KeepRunning => false,
                OtherMachines::LosePower => true,
                OtherMachines::DurableMachinesLosePower => self.nodes[index].durable,
            };
            if loses_power {
                self.kill(index);
            }
        }
        for index in 0..self.nodes.len() {
            let after = Duration::from_micros(self.random.u64(10_000..MAX_RESTART_DELAY.as_micros() as u64));
            self.fault_at(self.now + after, Fault::Start(index));
        }
    }

    /// Chooses disks that may be lost now: no view that may be in force loses more members than tolerated.
    fn disks_to_lose(&mut self, failure: &CorrelatedFailure) -> Vec<usize> {
        let views = self.views_in_force();
        let Some(newest) = views.last() else { return Vec::new() };
        let is = |list: &[std::net::SocketAddr], index: usize| list.contains(&self.nodes[index].address);
        let voters: Vec<_> = newest.members.iter().map(|member| member.address).collect();
        let chain = newest.chain.iter().filter_map(|id| newest.member(*id));
        let chain: Vec<_> = chain.map(|member| member.address).collect();
        let wanted = |index: &usize| match failure.lost {
            LostDisks::Voters => is(&voters, *index),
            LostDisks::Chain => is(&chain, *index),
            LostDisks::Standbys => !is(&voters, *index),
            LostDisks::Any => true,
        };
        let mut candidates: Vec<usize> = (0..self.nodes.len())
            .filter(|index| !self.nodes[*index].disk.is_empty())
            .filter(wanted)
            .collect();
        self.random.shuffle(&mut candidates);
        let lately = self.disks_lost_within(ms(4000));
        let mut lost: BTreeSet<usize> = BTreeSet::new();
        for index in candidates {
            let counted = lost.len() + lately < self.tolerate && lost.len() < failure.max_disks;
            let with = lost.iter().copied().chain([index]).collect();
            if counted && views.iter().all(|view| self.tolerates_loss_of(view, &with)) {
                lost.insert(index);
            }
        }
        lost.into_iter().collect()
    }

    fn tolerates_loss_of(&self, view: &View, lost: &BTreeSet<usize>) -> bool {
        let kept = |id| {
            let mut nodes = self.nodes.iter().enumerate();
            nodes.any(|(index, node)| {
                !lost.contains(&index) && !node.disk.is_empty() && node.identity == Some(id)
            })
        };
        let missing = view.members.iter().filter(|member| !kept(member.id)).count();
        view.members.len() > 2 * self.tolerate && missing <= self.tolerate
    }

    /// The newest view that a majority of its members would know after a restart, and all later ones.
    fn views_in_force(&self) -> Vec<View> {
        let views = self.checks.views();
        let lasting = views.iter().rposition(|view| self.is_durably_entered(view));
        views[lasting.unwrap_or(0)..].to_vec()
    }

    fn draw_failure(&mut self) -> CorrelatedFailure {
        let trigger = match self.random.u32(0..7) {
            0 => Trigger::Now,
            1 | 2 => Trigger::NextAcknowledgement,
            3 | 4 => Trigger::AfterInstall(Duration::from_micros(self.random.u64(0..8_000))),
            _ => Trigger::AfterChange(Duration::from_micros(self.random.u64(5_000..400_000))),
        };
        let lost = *self
            .random
            .choice(&[LostDisks::Voters, LostDisks::Chain, LostDisks::Standbys, LostDisks::Any])
            .unwrap();
        let max_disks = if self.random.u32(0..5) == 0 { 0 } else { self.random.usize(1..=self.tolerate) };
        let others = match self.random.u32(0..6) {
            0 => OtherMachines::KeepRunning,
            1 => OtherMachines::DurableMachinesLosePower,
            _ => OtherMachines::LosePower,
        };
        CorrelatedFailure { trigger, lost, max_disks, others }
    }

    /// Partitions the machines with a disk into two halves; all other machines reach both.
    fn draw_split(&mut self) -> Vec<(usize, usize)> {
        let mut durable: Vec<usize> =
            (0..self.nodes.len()).filter(|index| self.nodes[*index].durable).collect();
        self.random.shuffle(&mut durable);
        let (one, other) = durable.split_at(durable.len() / 2);
        let pairs = one.iter().flat_map(|one| other.iter().map(|other| (*one, *other)));
        pairs.flat_map(|(one, other)| [(one, other), (other, one)]).collect()
    }

    fn draw_overlapping_fault(&mut self, at: Duration) -> Vec<(Duration, Fault)> {
        let duration = ms(self.random.u64(100..4500));
        let machines = self.nodes.len();
        let many = self.random.usize(1..machines);
        let many = self.random.choose_multiple(0..machines, many);
        match self.random.u32(0..8) {
            0 | 1 => vec![(at, Fault::Cut(self.draw_split())), (at + duration, Fault::Heal)],
            2 => {
                let starts = many.iter().map(|index| (at + duration, Fault::Start(*index)));
                let starts: Vec<_> = starts.collect();
                [vec![(at, Fault::KillMany(many))], starts].concat()
            }
            3 => {
                let frozen = many.iter().map(|index| (at, Fault::Freeze(*index)));
                let thawed = many.iter().map(|index| (at + duration, Fault::Thaw(*index)));
                frozen.chain(thawed).collect()
            }
            4 => {
                let usual = self.operators.interval;
                vec![(at, Fault::Interval(ms(30))), (at + duration, Fault::Interval(usual))]
            }
            _ => self.draw_fault(at, duration, machines),
        }
    }

    fn schedule_failures(&mut self) -> String {
        for index in 0..self.nodes.len() {
            let at = self.now + ms(self.random.u64(0..300));
            self.fault_at(at, Fault::Start(index));
        }
        self.operators.interval = ms(*self.random.choice(&[40, 150, 300, 700]).unwrap_or(&300));
        self.operators.answers_lost = *self.random.choice(&[0, 20]).unwrap_or(&0);
        self.wake_operator_at(self.now + ms(700), Wake::New);
        let mut faults = Vec::new();
        for _ in 0..self.random.u32(0..4) {
            let at = ms(self.random.u64(FAULT_START_MS));
            faults.extend(self.draw_overlapping_fault(at));
        }
        let mut at = ms(self.random.u64(FAULT_START_MS));
        for _ in 0..self.random.u32(1..4) {
            let failure = self.draw_failure();
            faults.push((at, Fault::Arm(failure)));
            if let Trigger::AfterInstall(_) = failure.trigger {
                // A frozen member is excluded from the next view, which causes a proposal.
                let index = self.random.usize(0..self.nodes.len());
                faults.push((at, Fault::Freeze(index)));
                faults.push((at + ms(2_000), Fault::Thaw(index)));
            }
            at += ms(*self.random.choice(&[50, 400, 1500, 2500]).unwrap_or(&400));
        }
        let mut trace = format!("  {} machines, {} losses\n", self.nodes.len(), self.tolerate);
        for (at, fault) in faults {
            let at = at.min(FAULTS_END - MAX_RESTART_DELAY);
            trace += &format!("  {at:?} {fault:?}\n");
            self.fault_at(at, fault);
        }
        trace
    }
}

/// Runs the schedule of correlated failures of a seed.
pub fn run(seed: u64) -> Report {
    let (machines, tolerate) = CLUSTERS[seed as usize % CLUSTERS.len()];
    let mut random = fastrand::Rng::with_seed(seed ^ 0x5eed);
    // Seeds are configured by zone, whether or not they have a disk.
    let without_disk = if random.u32(0..4) == 0 { random.usize(1..SEEDS) } else { 0 };
    let mut sim = Simulation::new(seed, SEEDS, machines + without_disk - SEEDS);
    for index in 0..without_disk {
        sim.nodes[index].durable = false;
    }
    sim.tolerate = tolerate;
    for _ in 0..random.u32(0..3) {
        let seeds = sim.nodes[0].seeds.clone();
        sim.add_node(seeds, false, false);
    }
    let trace = sim.schedule_failures();
    sim.finish(seed, trace)
}
