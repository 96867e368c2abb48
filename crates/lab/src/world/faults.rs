//! Faults and operators' calls as drawn from the seed, and their end.

use crankpick_fleet::storage::PersistentState;

use super::host::PowerFailure;
use super::processes::OutsCall;
use super::World;
use crate::history::Kind;

/// Backends that operators' calls are about.
const BACKENDS: u32 = 12;

impl World {
    /// One drawn fault; each second one ends a kind of trouble instead.
    pub(super) fn fault(&mut self, number: u32) {
        if number % 2 == 1 {
            return self.heal_some();
        }
        let at = self.draw_target();
        let what = self.begin_fault(at);
        self.record(Kind::Fault { what });
    }

    /// A process, a voter more often than others; the owner or the leader more often than chance has it.
    fn draw_target(&mut self) -> usize {
        let (voters, all) = (self.setup.voters, self.hosts.len());
        let any = if self.rng.u32(0..4) == 0 { self.rng.usize(0..all) } else { self.rng.usize(0..voters) };
        let owner = self.hosts.iter().position(|host| host.holds_a_lease(self.t));
        let leader = self.hosts.iter().position(|host| host.is_leader());
        match self.rng.u32(0..4) {
            0 => owner.unwrap_or(any),
            1 => leader.unwrap_or(any),
            _ => any,
        }
    }

    /// Brings a fault over a process, and says which.
    fn begin_fault(&mut self, at: usize) -> String {
        let name = self.hosts[at].name.clone();
        let is_up = self.hosts[at].node.is_some();
        let may_lose_disk = at < self.setup.voters && self.started && !self.lost_a_disk && is_up;
        match self.rng.u32(0..12) {
            0 | 1 if is_up => {
                self.crash(at, true);
                format!("kill {name}")
            }
            2 if may_lose_disk => {
                self.lost_a_disk = true;
                self.kill_with_disk(at);
                format!("kill {name}, its disk is lost")
            }
            3 | 4 if !self.hosts[at].paused => {
                self.hosts[at].paused = true;
                format!("stop {name}")
            }
            5 => {
                self.hosts[at].disk.full = true;
                format!("disk of {name} full")
            }
            6 => {
                (0..self.setup.voters / 2 + 1).for_each(|voter| self.hosts[voter].disk.full = true);
                "disks of a majority full".into()
            }
            7 => {
                let (writes_left, last_write_survives) = (self.rng.u32(0..6), self.rng.bool());
                self.hosts[at].disk.power_failure = Some(PowerFailure { writes_left, last_write_survives });
                format!("power of {name} about to fail in a write")
            }
            8 => self.partition(at),
            9 => {
                let late_us = self.rng.u64(200_000..3 * self.setup.lease_us);
                self.late(at, late_us);
                format!("words of {name} late by {late_us} us")
            }
            10 => {
                let loss = 0.3 * self.rng.f32();
                for pair in pairs(self.hosts.len()) {
                    self.paths.entry(pair).or_default().loss = loss;
                }
                format!("loss {loss:.2}")
            }
            _ => {
                if is_up && !self.hosts[at].paused {
                    self.hosts[at].exiting = true;
                    self.prepare_exit(at);
                } else {
                    self.settle(at);
                }
                format!("{name} told to end")
            }
        }
    }

    /// Cuts the processes in two, the one given on the smaller side or alone.
    fn partition(&mut self, at: usize) -> String {
        let all = self.hosts.len();
        let side: Vec<bool> = (0..all).map(|one| one == at || self.rng.u32(0..4) == 0).collect();
        let one_way = self.rng.u32(0..3) == 0;
        for (from, to) in pairs(all) {
            if side[from] != side[to] && (!one_way || side[from]) {
                self.paths.entry((from, to)).or_default().cut = true;
            }
        }
        format!("cut {side:?} one way {one_way}")
    }

    /// Ends one kind of trouble.
    fn heal_some(&mut self) {
        match self.rng.u32(0..4) {
            0 => self.mend(),
            1 => (0..self.hosts.len()).for_each(|at| self.resume(at)),
            2 => self.hosts.iter_mut().for_each(|host| host.disk.full = false),
            _ => {
                for at in 0..self.hosts.len() {
                    if self.hosts[at].node.is_none() {
                        self.start(at);
                    }
                }
            }
        }
    }

    /// Ends all trouble.
    pub(super) fn heal(&mut self) {
        self.record(Kind::Heal { what: "all".into() });
        self.mend();
        for at in 0..self.hosts.len() {
            self.hosts[at].disk.full = false;
            self.hosts[at].disk.power_failure = None;
            self.resume(at);
            // One told to exit has ended by now. Of the others some go on as they are: a start anew would hide what
            // they can't get out of.
            let is_up = self.hosts[at].node.is_some();
            if is_up && !self.hosts[at].exiting && self.rng.bool() {
                continue;
            }
            if self.hosts[at].node.is_some() {
                self.crash(at, true);
            }
            self.start(at);
        }
    }

    /// A process that was paused goes on.
    pub fn resume(&mut self, at: usize) {
        if !std::mem::take(&mut self.hosts[at].paused) {
            return;
        }
        // What stood in its sockets is read now, and its timers fire late: either may come first.
        if self.rng.bool() {
            self.tick(at);
        }
        for (link, message) in std::mem::take(&mut self.hosts[at].inbox) {
            self.receive(at, link, message);
        }
    }

    /// The process ends, and its disk with it: it starts again with a new one.
    pub fn kill_with_disk(&mut self, at: usize) {
        self.crash(at, false);
        self.hosts[at].disk.kept = PersistentState::new(self.rng.u64(1..));
    }

    /// A drawn call of an operator, now and then at two processes.
    pub(super) fn drawn_call(&mut self) {
        let at = self.rng.usize(0..self.hosts.len());
        if self.hosts[at].paused || self.hosts[at].node.is_none() {
            return;
        }
        self.last_command += 1;
        let (id, out) = (self.last_command, self.rng.u32(0..3) > 0);
        let ids = (0..self.rng.usize(1..3)).map(|_| format!("b{}", self.rng.u32(0..BACKENDS))).collect();
        let call = OutsCall { id, out, ids };
        let twice = self.rng.u32(0..8) == 0;
        let other = self.rng.usize(0..self.hosts.len());
        for at in [Some(at), twice.then_some(other)].into_iter().flatten() {
            if self.running(at).is_none() {
                continue;
            }
            if self.call(at, &call) {
                // Until it is answered, nobody knows: a process that dies first leaves it unsure.
                self.record(Kind::Unsure { command: call.name(), ids: call.ids.clone() });
            }
            self.settle(at);
        }
    }
}

fn pairs(all: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..all).flat_map(move |from| (0..all).filter(move |to| *to != from).map(move |to| (from, to)))
}
