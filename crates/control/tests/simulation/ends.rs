//! Ends: disks are lost, and all other machines lose power at the same moment, right after an acknowledgement or soon
//! after a change was sent. Other trouble overlaps with them, several ends come in a row, and the core is cut into halves.

use std::collections::BTreeSet;
use std::time::Duration;

use crankpick_control::{Body, View};

use super::operators::Wake;
use super::schedule::{Fault, Report, SEEDS, TROUBLE_ENDS};
use super::{ms, World};

/// The machines with a disk, and the losses that the core bears.
const CORES: [(usize, usize); 8] = [(3, 1), (5, 2), (8, 1), (8, 2), (4, 1), (3, 1), (5, 2), (7, 3)];
/// The span in which ends and other trouble begin.
const TROUBLE: std::ops::Range<u64> = 6_500..15_000;
/// The latest that a machine starts again.
const LATEST_START: Duration = ms(1_500);

/// What brings an end about.
#[derive(Clone, Copy, Debug)]
pub enum Moment {
    Now,
    NextAcknowledgement,
    /// So long after the next change is sent.
    AfterChange(Duration),
    /// So long after a proposal next installs a state, while changes are under way.
    AfterInstall(Duration),
}

/// Which disks are lost.
#[derive(Clone, Copy, Debug)]
pub enum Lost {
    Voters,
    Chain,
    Standbys,
    Any,
}

/// What becomes of the other machines.
#[derive(Clone, Copy, Debug)]
pub enum Others {
    RunOn,
    LosePower,
    /// Those that count.
    CoreLosesPower,
}

/// Disks are lost, and others lose power.
#[derive(Clone, Copy, Debug)]
pub struct End {
    pub moment: Moment,
    pub lost: Lost,
    /// At most so many disks.
    pub disks: usize,
    pub others: Others,
}

impl World {
    /// Waits for the moment of an end.
    pub fn arm(&mut self, end: End) {
        match end.moment {
            Moment::Now => self.strike(&end),
            _ => self.pending_end = Some(end),
        }
    }

    pub fn strike_after_an_acknowledgement(&mut self) {
        let due = |end: &mut End| matches!(end.moment, Moment::NextAcknowledgement);
        if let Some(end) = self.pending_end.take_if(due) {
            self.fault_at(self.now, Fault::End(end));
        }
    }

    pub fn strike_after_a_change(&mut self) {
        let Some(end) = self.pending_end else { return };
        if let Moment::AfterChange(later) = end.moment {
            self.pending_end = None;
            self.fault_at(self.now + later, Fault::End(end));
        }
    }

    pub fn strike_after_an_install(&mut self, body: &Body) {
        let Some(end) = self.pending_end else { return };
        if let (Moment::AfterInstall(later), Body::Install(_)) = (end.moment, body) {
            self.pending_end = None;
            self.fault_at(self.now + later, Fault::End(end));
        }
    }

    pub fn strike(&mut self, end: &End) {
        if self.now >= TROUBLE_ENDS {
            return;
        }
        let lost = self.disks_to_lose(end);
        if self.verbose {
            println!("{:?} {end:?} takes the disks of {lost:?}", self.now);
        }
        let others: Vec<usize> = (0..self.nodes.len()).filter(|place| !lost.contains(place)).collect();
        for place in &lost {
            self.note_lost();
            self.wipe(*place);
        }
        for place in others {
            let loses_power = match end.others {
                Others::RunOn => false,
                Others::LosePower => true,
                Others::CoreLosesPower => self.nodes[place].durable,
            };
            if loses_power {
                self.kill(place);
            }
        }
        for place in 0..self.nodes.len() {
            let after = Duration::from_micros(self.random.u64(10_000..LATEST_START.as_micros() as u64));
            self.fault_at(self.now + after, Fault::Start(place));
        }
    }

    /// Disks that may be lost now: no view that may be in force lacks more than the core bears.
    fn disks_to_lose(&mut self, end: &End) -> Vec<usize> {
        let views = self.views_in_force();
        let Some(newest) = views.last() else { return Vec::new() };
        let is = |list: &[std::net::SocketAddr], place: usize| list.contains(&self.nodes[place].address);
        let voters: Vec<_> = newest.members.iter().map(|member| member.address).collect();
        let chain = newest.chain.iter().filter_map(|id| newest.member(*id));
        let chain: Vec<_> = chain.map(|member| member.address).collect();
        let wanted = |place: &usize| match end.lost {
            Lost::Voters => is(&voters, *place),
            Lost::Chain => is(&chain, *place),
            Lost::Standbys => !is(&voters, *place),
            Lost::Any => true,
        };
        let mut candidates: Vec<usize> = (0..self.nodes.len())
            .filter(|place| !self.nodes[*place].disk.is_empty())
            .filter(wanted)
            .collect();
        self.random.shuffle(&mut candidates);
        let lately = self.disks_lost_within(ms(4000));
        let mut lost: BTreeSet<usize> = BTreeSet::new();
        for place in candidates {
            let counted = lost.len() + lately < self.tolerate && lost.len() < end.disks;
            let with = lost.iter().copied().chain([place]).collect();
            if counted && views.iter().all(|view| self.bears_without(view, &with)) {
                lost.insert(place);
            }
        }
        lost.into_iter().collect()
    }

    fn bears_without(&self, view: &View, lost: &BTreeSet<usize>) -> bool {
        let kept = |id| {
            let mut nodes = self.nodes.iter().enumerate();
            nodes.any(|(place, node)| {
                !lost.contains(&place) && !node.disk.is_empty() && node.identity == Some(id)
            })
        };
        let missing = view.members.iter().filter(|member| !kept(member.id)).count();
        view.members.len() > 2 * self.tolerate && missing <= self.tolerate
    }

    /// The newest view that a majority of its members would know after a restart, and all later ones.
    fn views_in_force(&self) -> Vec<View> {
        let views = self.checks.views();
        let lasting = views.iter().rposition(|view| self.is_entered_for_good(view));
        views[lasting.unwrap_or(0)..].to_vec()
    }

    fn draw_end(&mut self) -> End {
        let moment = match self.random.u32(0..7) {
            0 => Moment::Now,
            1 | 2 => Moment::NextAcknowledgement,
            3 | 4 => Moment::AfterInstall(Duration::from_micros(self.random.u64(0..8_000))),
            _ => Moment::AfterChange(Duration::from_micros(self.random.u64(5_000..400_000))),
        };
        let lost = *self.random.choice(&[Lost::Voters, Lost::Chain, Lost::Standbys, Lost::Any]).unwrap();
        let disks = if self.random.u32(0..5) == 0 { 0 } else { self.random.usize(1..=self.tolerate) };
        let others = match self.random.u32(0..6) {
            0 => Others::RunOn,
            1 => Others::CoreLosesPower,
            _ => Others::LosePower,
        };
        End { moment, lost, disks, others }
    }

    /// Machines with a disk in two halves that don't reach each other; all others reach both.
    fn draw_halves(&mut self) -> Vec<(usize, usize)> {
        let mut durable: Vec<usize> =
            (0..self.nodes.len()).filter(|place| self.nodes[*place].durable).collect();
        self.random.shuffle(&mut durable);
        let (one, other) = durable.split_at(durable.len() / 2);
        let pairs = one.iter().flat_map(|one| other.iter().map(|other| (*one, *other)));
        pairs.flat_map(|(one, other)| [(one, other), (other, one)]).collect()
    }

    fn draw_overlapping(&mut self, at: Duration) -> Vec<(Duration, Fault)> {
        let long = ms(self.random.u64(100..4500));
        let machines = self.nodes.len();
        let many = self.random.usize(1..machines);
        let many = self.random.choose_multiple(0..machines, many);
        match self.random.u32(0..8) {
            0 | 1 => vec![(at, Fault::Cut(self.draw_halves())), (at + long, Fault::Heal)],
            2 => {
                let starts = many.iter().map(|place| (at + long, Fault::Start(*place)));
                let starts: Vec<_> = starts.collect();
                [vec![(at, Fault::KillMany(many))], starts].concat()
            }
            3 => {
                let frozen = many.iter().map(|place| (at, Fault::Freeze(*place)));
                let thawed = many.iter().map(|place| (at + long, Fault::Thaw(*place)));
                frozen.chain(thawed).collect()
            }
            4 => {
                let usual = self.operators.interval;
                vec![(at, Fault::Interval(ms(30))), (at + long, Fault::Interval(usual))]
            }
            _ => self.draw(at, long, machines),
        }
    }

    fn prepare_ends(&mut self) -> String {
        for place in 0..self.nodes.len() {
            let at = self.now + ms(self.random.u64(0..300));
            self.fault_at(at, Fault::Start(place));
        }
        self.operators.interval = ms(*self.random.choice(&[40, 150, 300, 700]).unwrap_or(&300));
        self.operators.answers_lost = *self.random.choice(&[0, 20]).unwrap_or(&0);
        self.wake_operator_at(self.now + ms(700), Wake::New);
        let mut faults = Vec::new();
        for _ in 0..self.random.u32(0..4) {
            let at = ms(self.random.u64(TROUBLE));
            faults.extend(self.draw_overlapping(at));
        }
        let mut at = ms(self.random.u64(TROUBLE));
        for _ in 0..self.random.u32(1..4) {
            let end = self.draw_end();
            faults.push((at, Fault::Arm(end)));
            if let Moment::AfterInstall(_) = end.moment {
                // One that is frozen is left out of the next view.
                let place = self.random.usize(0..self.nodes.len());
                faults.push((at, Fault::Freeze(place)));
                faults.push((at + ms(2_000), Fault::Thaw(place)));
            }
            at += ms(*self.random.choice(&[50, 400, 1500, 2500]).unwrap_or(&400));
        }
        let mut trace = format!("  {} machines, {} losses\n", self.nodes.len(), self.tolerate);
        for (at, fault) in faults {
            let at = at.min(TROUBLE_ENDS - LATEST_START);
            trace += &format!("  {at:?} {fault:?}\n");
            self.fault_at(at, fault);
        }
        trace
    }
}

/// Runs one schedule.
pub fn run(seed: u64) -> Report {
    let (machines, tolerate) = CORES[seed as usize % CORES.len()];
    let mut random = fastrand::Rng::with_seed(seed ^ 0x5eed);
    // Seeds are named over zones, whether or not they have a disk.
    let without_disk = if random.u32(0..4) == 0 { random.usize(1..SEEDS) } else { 0 };
    let mut world = World::new(seed, SEEDS, machines + without_disk - SEEDS);
    for place in 0..without_disk {
        world.nodes[place].durable = false;
    }
    world.tolerate = tolerate;
    for _ in 0..random.u32(0..3) {
        let seeds = world.nodes[0].seeds.clone();
        world.add_node(seeds, false, false);
    }
    let trace = world.prepare_ends();
    world.finish(seed, trace)
}
