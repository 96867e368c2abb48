//! Votes outlast restarts: a voter that comes back never votes twice in a term, unless its disk forgets.

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
    agree: Consensus,
}

fn times() -> Timing {
    Timing::new(1_000_000)
}

impl Voter {
    fn new(seat: u64, roster: &Roster) -> Self {
        let mut disk = MemDisk(PersistentState::new(seat));
        disk.write(&initial_batch(roster)).expect("room");
        let agree = Consensus::new(&disk.0, 1, &times(), seat).expect("sound");
        Voter { disk, agree }
    }

    fn restart(&mut self, forgets: bool) {
        if forgets {
            (self.disk.0.log.hard.vote, self.disk.0.log.hard.term) = (0, 1);
        }
        self.agree = Consensus::new(&self.disk.0, 2, &times(), 9).expect("sound");
    }

    fn pump(&mut self) -> Progress {
        self.agree.pump(&mut self.disk).expect("room")
    }

    /// Ticks until it has something to say.
    fn stand(&mut self) -> Vec<(u64, Vec<u8>)> {
        for _ in 0..100 {
            self.agree.tick();
            let said = self.pump().messages;
            if !said.is_empty() {
                return said;
            }
        }
        panic!("it never stands");
    }

    fn hear(&mut self, from: &str, words: &[(u64, Vec<u8>)], own: u64) -> Vec<(u64, Vec<u8>)> {
        words.iter().filter(|(to, _)| *to == own).for_each(|(_, word)| self.agree.step(from, word));
        self.pump().messages
    }
}

/// a and b both stand in one term, and only c hears them; between the two it restarts.
fn both_lead(forgets: bool) -> (bool, bool, bool) {
    let roster: Roster = [("a", 1), ("b", 2), ("c", 3)].map(|(name, seat)| (name.to_owned(), seat)).into();
    let (mut a, mut b, mut c) = (Voter::new(1, &roster), Voter::new(2, &roster), Voter::new(3, &roster));
    // Each asks first whether it would be voted for, which binds nobody: c says yes to both.
    let (asks_a, asks_b) = (a.stand(), b.stand());
    let yes_a = c.hear("a", &asks_a, 3);
    let yes_b = c.hear("b", &asks_b, 3);
    let votes_a = a.hear("c", &yes_a, 1);
    let votes_b = b.hear("c", &yes_b, 2);
    let given_a = c.hear("a", &votes_a, 3);
    c.restart(forgets);
    let given_b = c.hear("b", &votes_b, 3);
    a.hear("c", &given_a, 1);
    b.hear("c", &given_b, 2);
    (a.agree.is_leader(), b.agree.is_leader(), a.agree.term() == b.agree.term())
}

#[test]
fn a_voter_that_restarts_does_not_vote_twice_in_a_term() {
    assert_eq!(both_lead(false), (true, false, true));
}

/// What the test above is there to catch.
#[test]
fn a_disk_that_forgets_a_vote_makes_two_leaders_in_a_term() {
    assert_eq!(both_lead(true), (true, true, true));
}
