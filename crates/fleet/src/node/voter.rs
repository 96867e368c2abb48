//! The voter of a process: creation of the log, and the consensus that maintains it.

use crate::consensus::{initial_batch, Consensus};
use crate::log_creation::{CreationStep, LogCreation};
use crate::messages::{Message, Roster, Seat};
use crate::storage::{Batch, Disk};

use super::messages::Sender;
use super::{Event, Link, Node, Output};

/// How often a voter without a log sends its state to the others.
const SEAT_INTERVAL_US: u64 = 200_000;
/// Maximum number of missed ticks that are caught up one by one. After a longer pause, one tick stands for
/// all missed ones.
const MAX_CATCH_UP_TICKS: u64 = 4;

/// Absent in a process that is not a voter or whose disk accepts no writes.
pub(super) struct Voter {
    pub(super) log_creation: LogCreation,
    /// None until the log has been created.
    pub(super) consensus: Option<Consensus>,
    next_seat_us: u64,
    next_tick_us: u64,
}

impl Voter {
    pub(super) fn new(now_us: u64, log_creation: LogCreation) -> Self {
        Voter { log_creation, consensus: None, next_seat_us: now_us, next_tick_us: now_us }
    }

    fn started(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::started)
    }

    /// Ticks the consensus when a tick is due. After a pause, messages that arrived meanwhile have not been
    /// handled yet.
    fn tick(&mut self, now_us: u64, tick_us: u64) {
        let Some(consensus) = &mut self.consensus else { return };
        if now_us < self.next_tick_us {
            return;
        }
        consensus.tick();
        let paused = now_us > self.next_tick_us + MAX_CATCH_UP_TICKS * tick_us;
        self.next_tick_us = tick_us + if paused { now_us } else { self.next_tick_us };
    }
}

impl Node {
    /// Starts the voter, if this process is one and its disk is available.
    pub(super) fn start_voter(&mut self, now_us: u64) {
        if !self.plan.voters.contains(&self.process.name) || self.kept.seat == 0 {
            return;
        }
        let started = self.kept.log.snapshot_index() > 0;
        let seat = Seat { id: self.kept.seat, roster: self.kept.roster.clone(), started };
        let log_creation = LogCreation::new(seat, self.process.name.clone(), self.plan.voters.clone());
        self.voter = Some(Voter::new(now_us, log_creation));
        let hello = self.hello();
        self.outputs.push_back(Output::Hello(hello));
        if started {
            self.start_consensus(now_us);
        }
    }

    fn start_consensus(&mut self, now_us: u64) {
        let seed = self.seed ^ self.process.incarnation ^ now_us;
        match Consensus::new(&self.kept, self.process.incarnation, &self.plan.times, seed) {
            Ok(consensus) => {
                if let Some(voter) = &mut self.voter {
                    voter.consensus = Some(consensus);
                    voter.log_creation.own.started = self.kept.log.snapshot_index() > 0;
                    voter.next_tick_us = now_us;
                }
            }
            Err(why) => self.disk_failed(why),
        }
    }

    pub(super) fn consensus(&self) -> Option<&Consensus> {
        self.voter.as_ref()?.consensus.as_ref()
    }

    pub(super) fn consensus_mut(&mut self) -> Option<&mut Consensus> {
        self.voter.as_mut()?.consensus.as_mut()
    }

    fn other_voters(&self) -> impl Iterator<Item = &String> {
        self.plan.voters.iter().filter(|name| **name != self.process.name)
    }

    pub(super) fn send_to_voters(&mut self, message: &Message) {
        let voters: Vec<String> = self.other_voters().cloned().collect();
        for name in voters {
            self.send(Link::Voter(name), message.clone());
        }
    }

    pub(super) fn tick_voter(&mut self, now_us: u64) {
        let tick_us = self.plan.times.tick_us;
        let Some(voter) = &mut self.voter else { return };
        voter.tick(now_us, tick_us);
        if !voter.started() && now_us >= voter.next_seat_us {
            voter.next_seat_us = now_us + SEAT_INTERVAL_US;
            let seat = voter.log_creation.own.clone();
            self.send_to_voters(&Message::Seat(seat));
        }
    }

    /// Handles another voter's state during log creation. Only voters send this, whatever the sender's last
    /// hello said.
    pub(super) fn receive_seat(&mut self, sender: &Sender, seat: Seat) {
        if !self.plan.voters.contains(&sender.name) {
            return;
        }
        let Some(voter) = &mut self.voter else { return };
        if !voter.started() {
            voter.log_creation.record(&sender.name, seat);
            return;
        }
        voter.log_creation.own.started = true;
        let own = voter.log_creation.own.clone();
        if let Some(consensus) = &mut voter.consensus {
            consensus.replace_voter(&sender.name, seat.id);
        }
        if !seat.started {
            self.send(Link::Voter(sender.name.clone()), Message::Seat(own));
        }
    }

    /// A Raft message from another voter.
    pub(super) fn receive_consensus(&mut self, sender: &Sender, message: &[u8]) {
        if !self.plan.voters.contains(&sender.name) {
            return;
        }
        if let Some(consensus) = self.consensus_mut() {
            consensus.step(&sender.name, message);
        }
    }

    /// Takes the next step of log creation, if the log does not exist yet.
    pub(super) fn advance_log_creation(&mut self, now_us: u64, disk: &mut dyn Disk) -> Result<(), String> {
        let Some(voter) = self.voter.as_ref().filter(|voter| voter.consensus.is_none()) else {
            return Ok(());
        };
        match voter.log_creation.next() {
            CreationStep::Wait => Ok(()),
            CreationStep::CommitRoster(roster) => self.commit_roster(now_us, roster, disk),
            CreationStep::Start(roster) => self.create_log(now_us, &roster, disk),
            CreationStep::Listen => {
                self.start_consensus(now_us);
                self.event(Event::AwaitingAdmission);
                Ok(())
            }
        }
    }

    /// Commits this voter to a roster, on disk before it is announced.
    fn commit_roster(&mut self, now_us: u64, roster: Roster, disk: &mut dyn Disk) -> Result<(), String> {
        self.write(disk, &Batch { roster: Some(roster.clone()), ..Batch::default() })?;
        if let Some(voter) = &mut self.voter {
            voter.log_creation.own.roster = Some(roster);
            voter.next_seat_us = now_us;
        }
        Ok(())
    }

    fn create_log(&mut self, now_us: u64, roster: &Roster, disk: &mut dyn Disk) -> Result<(), String> {
        self.write(disk, &initial_batch(roster))?;
        self.start_consensus(now_us);
        // The others must learn of it, even if they committed to the roster first.
        if let Some(seat) = self.voter.as_ref().map(|voter| voter.log_creation.own.clone()) {
            self.send_to_voters(&Message::Seat(seat));
        }
        self.event(Event::LogFounded { voters: roster.len() });
        Ok(())
    }

    fn write(&mut self, disk: &mut dyn Disk, batch: &Batch) -> Result<(), String> {
        disk.write(batch)?;
        self.kept.apply(batch);
        Ok(())
    }
}
