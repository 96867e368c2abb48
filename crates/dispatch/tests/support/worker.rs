//! A small model of a backend without an engine: slots, a queue, and a refusal where both are full.

use crankpick_dispatch::ReportedLoad;
use std::collections::VecDeque;

#[derive(Debug)]
pub struct Worker {
    slots: usize,
    queue: usize,
    running: usize,
    waiting: VecDeque<usize>,
}

/// What became of a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Started,
    Queued,
    Refused,
}

impl Worker {
    pub fn new(slots: usize, queue: usize) -> Worker {
        Worker { slots, queue, running: 0, waiting: VecDeque::new() }
    }

    pub fn push(&mut self, id: usize) -> Taken {
        if self.running < self.slots {
            self.running += 1;
            Taken::Started
        } else if self.waiting.len() < self.queue {
            self.waiting.push_back(id);
            Taken::Queued
        } else {
            Taken::Refused
        }
    }

    /// One has ended: the next that starts.
    pub fn done(&mut self) -> Option<usize> {
        self.running -= 1;
        let next = self.waiting.pop_front();
        self.running += usize::from(next.is_some());
        next
    }

    pub fn load(&self) -> ReportedLoad {
        let (running, waiting) = (self.running as u32, self.waiting.len() as u32);
        ReportedLoad { running, waiting, slots: self.slots as u32 }
    }
}
