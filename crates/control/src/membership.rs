//! Which processes should vote in the next view.
//!
//! A core that is to bear the loss of `t` machines needs `2t + 1` voters; more of them cost messages and latency and
//! bear no more. All other machines that could vote stand by: they keep up with the chain and take the place of a voter
//! that leaves, is gone for too long, or has lost its disk. The set never shrinks below `2t + 1` once it was that large:
//! a voter that is out of reach keeps its vote until somebody else can have it.

use std::cmp::Reverse;

use crate::types::Member;

/// The fewest voters that bear the loss of one: a core of more than two machines has at least as many.
const LEAST_USEFUL: usize = 3;
/// The most voters.
pub(crate) const MOST_VOTERS: usize = 9;

/// What a core is asked to bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Tolerance {
    /// Machines that may be lost at once.
    pub(crate) nodes: usize,
    /// Zones that may be lost at once.
    pub(crate) zones: usize,
}

impl Tolerance {
    /// How many voters bear that, if there are as many machines: always odd.
    pub(crate) fn wanted_voters(&self) -> usize {
        let losses = self.nodes.max(self.zones);
        (2 * losses + 1).clamp(LEAST_USEFUL, MOST_VOTERS)
    }
}

/// On how many replicas an entry outlives the loss of `losses` of them, as far as there may be so many voters.
pub(crate) fn copies_wanted(losses: usize) -> usize {
    (losses + 1).min(MOST_VOTERS)
}

/// What speaks for or against a candidate, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Condition {
    /// Nothing is known against it.
    Present,
    /// A voter that has been out of reach, or its disk sick, for long. It may come back as it was.
    Gone,
    /// A voter that shuts down in order.
    Leaving,
    /// A voter whose disk was lost: its address has another identity now.
    Replaced,
}

/// A process that votes or asks to.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// Who it is.
    pub(crate) member: Member,
    /// It votes in the current view.
    pub(crate) voter: bool,
    /// What is known of it.
    pub(crate) condition: Condition,
    /// It has been ready for long enough to be taken for balance alone.
    pub(crate) settled: bool,
}

/// The voters of the next view: those of the current one in their order, then newcomers. `candidates` holds all voters of
/// the current view, in its order, then those that ask to vote and are ready to.
pub(crate) fn choose_voters(candidates: Vec<Candidate>, tolerance: Tolerance) -> Vec<Member> {
    let candidates = only_durable_if_any(candidates);
    let target = target_size(&candidates, tolerance);
    let candidates = without_needless_newcomers(candidates, target);
    let mut chosen: Vec<usize> = Vec::with_capacity(target);
    while chosen.len() < target {
        let rest = (0..candidates.len()).filter(|index| !chosen.contains(index));
        let best = rest.min_by_key(|index| {
            let candidate = &candidates[*index];
            let zone = &candidate.member.zone;
            let same_zone = chosen.iter().filter(|other| candidates[**other].member.zone == *zone).count();
            (candidate.condition, same_zone, Reverse(candidate.voter), *index)
        });
        match best {
            Some(best) => chosen.push(best),
            None => break,
        }
    }
    chosen.sort_unstable();
    chosen.into_iter().map(|index| candidates[index].member.clone()).collect()
}

/// Processes without a disk vote only where nobody has one.
fn only_durable_if_any(candidates: Vec<Candidate>) -> Vec<Candidate> {
    if !candidates.iter().any(|candidate| candidate.member.durable) {
        return candidates;
    }
    candidates.into_iter().filter(|candidate| candidate.member.durable).collect()
}

/// As many as wanted; if there are fewer, the largest odd number: an even one needs a larger majority and bears no more.
/// But as many as there must be copies, if there are.
fn target_size(candidates: &[Candidate], tolerance: Tolerance) -> usize {
    let available = candidates.len().min(tolerance.wanted_voters());
    let spare = available > copies_wanted(tolerance.nodes);
    if spare && available > 2 && available.is_multiple_of(2) {
        available - 1
    } else {
        available
    }
}

/// While all voters are there and are as many as wanted, only a settled newcomer may change the set, for balance.
fn without_needless_newcomers(candidates: Vec<Candidate>, target: usize) -> Vec<Candidate> {
    let voters = || candidates.iter().filter(|candidate| candidate.voter);
    let complete = voters().count() == target && voters().all(|voter| voter.condition == Condition::Present);
    if !complete {
        return candidates;
    }
    candidates.into_iter().filter(|candidate| candidate.voter || candidate.settled).collect()
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
