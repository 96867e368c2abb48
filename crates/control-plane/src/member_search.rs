//! How a process that is no candidate for membership knows the members: it asks one of them now and then for the view.
//!
//! Pure: it is told the time and what was heard, and says whom to ask. One question is under way at a time and each
//! waits for the interval, so all such processes together ask at most once in [`ANSWER`] each while nobody answers,
//! and once in [`INTERVAL`] each otherwise.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{Member, Now, View};

/// Between two questions to a member that answers.
const INTERVAL: Duration = Duration::from_secs(2);
/// Processes of the core remembered that said by themselves that they are there.
const NOTICED: usize = 16;
/// An answer that takes longer is none; another one is asked then.
const ANSWER: Duration = Duration::from_millis(600);

/// A question under way.
#[derive(Clone, Copy, Debug)]
struct Question {
    to: SocketAddr,
    since: Now,
}

/// The view as last heard, and the member that is known to be within reach.
#[derive(Clone, Debug)]
pub struct MemberSearch {
    zone: String,
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    /// Processes of the core that were heard, the latest last.
    noticed: Vec<SocketAddr>,
    view: View,
    reached: Option<SocketAddr>,
    question: Option<Question>,
    next_question: Now,
    /// Drawn at the start: it spreads such processes over the members.
    draw: usize,
    /// Questions without an answer since the last one that had one.
    failures: usize,
}

impl MemberSearch {
    /// A search that knows the seeds alone. `draw` is any number, best another one in each process.
    pub fn new(now: Now, own: SocketAddr, zone: String, seeds: Vec<SocketAddr>, draw: usize) -> Self {
        MemberSearch {
            zone,
            own,
            seeds,
            noticed: Vec::new(),
            view: View::default(),
            reached: None,
            question: None,
            next_question: now,
            draw,
            failures: 0,
        }
    }

    /// The view as last heard; epoch 0 while none was.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// A member that answered the last question.
    pub fn reached(&self) -> Option<SocketAddr> {
        self.reached
    }

    /// The settings name other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// A process of the core has said that it is there. It is asked at once where nobody else is known to answer.
    pub fn noticed(&mut self, now: Now, from: SocketAddr) {
        if self.noticed.contains(&from) {
            return;
        }
        if self.noticed.len() >= NOTICED {
            self.noticed.remove(0);
        }
        self.noticed.push(from);
        if self.reached.is_none() && self.view.epoch == 0 {
            self.question = None;
            self.next_question = now;
        }
    }

    /// Whom to ask now.
    pub fn poll(&mut self, now: Now) -> Option<SocketAddr> {
        if self.question.is_some_and(|question| now >= question.since + ANSWER) {
            self.question = None;
            self.reached = None;
            self.failures += 1;
            self.next_question = now;
        }
        if self.question.is_some() || now < self.next_question {
            return None;
        }
        let to = self.reached.or_else(|| self.candidate())?;
        self.question = Some(Question { to, since: now });
        Some(to)
    }

    /// When to poll again.
    pub fn wake_at(&self) -> Now {
        self.question.map_or(self.next_question, |question| question.since + ANSWER)
    }

    /// A process has told its view. One that is no member may know it too, but callers aren't sent there.
    pub fn heard(&mut self, now: Now, from: SocketAddr, view: View) {
        if view.epoch > self.view.epoch {
            self.view = view;
        }
        self.reached = self.reached.filter(|reached| self.is_member(*reached));
        if self.question.is_none_or(|question| question.to != from) {
            return;
        }
        self.question = None;
        if self.is_member(from) {
            self.reached = Some(from);
            self.failures = 0;
            self.next_question = now + INTERVAL;
        } else {
            self.failures += 1;
            self.next_question = now + ANSWER;
        }
    }

    fn is_member(&self, address: SocketAddr) -> bool {
        self.view.members.iter().any(|member| member.address == address)
    }

    /// Whom to ask while nobody is known to answer: the members of the own zone, the others, those of the core that were
    /// heard, the seeds, by turns.
    fn candidate(&self) -> Option<SocketAddr> {
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            self.view.members.iter().partition(|member| member.zone == self.zone);
        let near = rotated(&near, self.draw).map(|member| member.address);
        let far = rotated(&far, self.draw).map(|member| member.address);
        let noticed = self.noticed.iter().rev().copied();
        let seeds = rotated(&self.seeds, self.draw).copied();
        let known = near.chain(far).chain(noticed).chain(seeds);
        let all: Vec<SocketAddr> = known.filter(|address| *address != self.own).collect();
        let place = self.failures.checked_rem(all.len())?;
        all.get(place).copied()
    }
}

/// All of a list, begun at a place.
fn rotated<T>(all: &[T], begin: usize) -> impl Iterator<Item = &T> {
    let (before, after) = all.split_at(begin.checked_rem(all.len()).unwrap_or(0));
    after.iter().chain(before)
}

#[cfg(test)]
#[path = "../tests/unit/member_search.rs"]
mod tests;
