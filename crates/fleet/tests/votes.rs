//! Votes survive restarts: a restarted voter does not vote twice in a term unless its disk loses the vote.

use crankpick_fleet::consensus::{initial_batch, Consensus, Progress};
use crankpick_fleet::lease::Timing;
use crankpick_fleet::messages::Roster;
use crankpick_fleet::storage::{Batch, Disk, PersistentState};

struct MemDisk(PersistentState);

impl Disk for MemDisk {
    fn write(&mut self, batch: &Batch) -> Result<(), String> {
        self.0.apply(batch);
        Ok(())
    }
}

struct Voter {
    disk: MemDisk,
    consensus: Consensus,
}

fn times() -> Timing {
    Timing::new(1_000_000)
}

impl Voter {
    fn new(seat: u64, roster: &Roster) -> Self {
        let mut disk = MemDisk(PersistentState::new(seat));
        disk.write(&initial_batch(roster)).expect("room");
        let consensus = Consensus::new(&disk.0, 1, &times(), seat).expect("sound");
        Voter { disk, consensus }
    }

    fn restart(&mut self, forgets: bool) {
        if forgets {
            (self.disk.0.log.hard.vote, self.disk.0.log.hard.term) = (0, 1);
        }
        self.consensus = Consensus::new(&self.disk.0, 2, &times(), 9).expect("sound");
    }

    fn pump(&mut self) -> Progress {
        self.consensus.pump(&mut self.disk).expect("room")
    }

    /// Ticks until the voter starts an election.
    fn start_election(&mut self) -> Vec<(u64, Vec<u8>)> {
        for _ in 0..100 {
            self.consensus.tick();
            let sent = self.pump().messages;
            if !sent.is_empty() {
                return sent;
            }
        }
        panic!("the voter never starts an election");
    }

    fn receive(&mut self, from: &str, messages: &[(u64, Vec<u8>)], own: u64) -> Vec<(u64, Vec<u8>)> {
        messages
            .iter()
            .filter(|(to, _)| *to == own)
            .for_each(|(_, message)| self.consensus.step(from, message));
        self.pump().messages
    }
}

/// a and b are candidates in the same term and only c receives their messages; c restarts between the two.
fn elect_both(forgets: bool) -> (bool, bool, bool) {
    let roster: Roster = [("a", 1), ("b", 2), ("c", 3)].map(|(name, seat)| (name.to_owned(), seat)).into();
    let (mut a, mut b, mut c) = (Voter::new(1, &roster), Voter::new(2, &roster), Voter::new(3, &roster));
    // Pre-vote requests do not bind the voter: c grants both.
    let (pre_vote_a, pre_vote_b) = (a.start_election(), b.start_election());
    let pre_vote_granted_a = c.receive("a", &pre_vote_a, 3);
    let pre_vote_granted_b = c.receive("b", &pre_vote_b, 3);
    let vote_request_a = a.receive("c", &pre_vote_granted_a, 1);
    let vote_request_b = b.receive("c", &pre_vote_granted_b, 2);
    let vote_a = c.receive("a", &vote_request_a, 3);
    c.restart(forgets);
    let vote_b = c.receive("b", &vote_request_b, 3);
    a.receive("c", &vote_a, 1);
    b.receive("c", &vote_b, 2);
    (a.consensus.is_leader(), b.consensus.is_leader(), a.consensus.term() == b.consensus.term())
}

#[test]
fn a_voter_that_restarts_does_not_vote_twice_in_a_term() {
    assert_eq!(elect_both(false), (true, false, true));
}

/// Shows the failure that the test above guards against.
#[test]
fn a_disk_that_forgets_a_vote_makes_two_leaders_in_a_term() {
    assert_eq!(elect_both(true), (true, true, true));
}
