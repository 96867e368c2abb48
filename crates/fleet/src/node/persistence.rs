//! Persistence: what must be written before any output is released, and the handling of write failures.

use crate::messages::Message;
use crate::storage::{Batch, Disk, PersistentState};

use super::{Event, Link, Node, Output};

/// Maximum number of consensus rounds in one call to `pump`, since proposals and their outcomes trigger one
/// another.
const MAX_ROUNDS: usize = 8;

impl Node {
    /// Advances everything as far as possible now. The resulting outputs are returned by `take_outputs`.
    pub fn pump(&mut self, now_us: u64, disk: &mut dyn Disk) {
        if self.disk_error.is_some() {
            return;
        }
        if let Err(why) = self.try_pump(now_us, disk) {
            self.disk_failed(why);
        }
    }

    fn try_pump(&mut self, now_us: u64, disk: &mut dyn Disk) -> Result<(), String> {
        self.write_publication(disk)?;
        self.advance_log_creation(now_us, disk)?;
        for _ in 0..MAX_ROUNDS {
            if !self.advance_consensus(now_us, disk)? {
                break;
            }
        }
        Ok(())
    }

    /// Persists the publication accepted last. On failure it is kept for the next attempt.
    fn write_publication(&mut self, disk: &mut dyn Disk) -> Result<(), String> {
        let Some(publication) = self.unwritten.take() else { return Ok(()) };
        let version = publication.version;
        let batch = Batch { taken: Some(publication), ..Batch::default() };
        if let Err(why) = disk.write(&batch) {
            self.unwritten = batch.taken;
            return Err(why);
        }
        if self.kept.seat != 0 {
            self.session.kept = version;
        }
        Ok(())
    }

    /// One round of consensus. Returns whether there may be more to do.
    fn advance_consensus(&mut self, now_us: u64, disk: &mut dyn Disk) -> Result<bool, String> {
        let Some(consensus) = self.consensus_mut() else { return Ok(false) };
        let progress = consensus.pump(disk)?;
        for (voter, message) in progress.messages {
            self.send_consensus(voter, message);
        }
        for name in progress.replaced {
            self.event(Event::VoterReplaced { name });
        }
        self.update_leadership(now_us);
        let mut advanced = !progress.applied.is_empty() || !progress.confirmed.is_empty();
        for (call, command, outcome) in progress.applied {
            self.command_applied(now_us, call, &command, outcome);
        }
        for round in progress.confirmed {
            self.leadership_confirmed(now_us, round);
        }
        advanced |= self.propose_as_leader(now_us);
        Ok(advanced)
    }

    fn send_consensus(&mut self, voter: u64, message: Vec<u8>) {
        let name = self.consensus().and_then(|consensus| consensus.voter_name(voter)).map(str::to_owned);
        if let Some(name) = name {
            self.send(Link::Voter(name), Message::Agree(message));
        }
    }

    /// The disk accepts writes again; `kept` is its contents, read again.
    pub fn disk_recovered(&mut self, now_us: u64, kept: PersistentState) {
        if self.disk_error.take().is_none() {
            return;
        }
        self.session.writable = true;
        self.event(Event::DiskRecovered);
        // What was accepted in the meantime has not been written yet.
        self.unwritten = self.session.taken.clone().filter(|taken| kept.taken.as_ref() != Some(taken));
        self.load(now_us, kept);
        self.session.renew_now(now_us);
    }

    /// The disk is not available, at the start or later. This process stops voting and owning duties, and
    /// announces it, so that a process that can write takes over at once.
    pub fn disk_failed(&mut self, why: String) {
        if self.disk_error.is_none() {
            self.event(Event::DiskFailed { why: why.clone() });
        }
        self.disk_error = Some(why);
        self.session.writable = false;
        self.session.kept = 0;
        self.lose_leadership();
        self.voter = None;
        let hello = self.hello();
        self.outputs.push_back(Output::Hello(hello));
        let released = self.session.release_all(u64::MIN);
        self.report_released(released);
        self.session.renew_now(0);
        for conn in self.peers.keys() {
            self.outputs.push_back(Output::Send(Link::Conn(*conn), Message::Away));
        }
    }
}
