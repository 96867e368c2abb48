//! Which processes should vote in the next view.
//!
//! A core that is to tolerate the loss of `t` machines needs `2t + 1` voters; more of them cost messages and latency and
//! tolerate no more. All other machines that could vote are standbys: they follow the chain and replace a voter that
//! shuts down, is unreachable for too long, or has lost its disk. The set never shrinks below `2t + 1` once it was that large:
//! an unreachable voter keeps its vote until another process can have it.

use std::cmp::Reverse;

use crate::types::Member;

/// The fewest voters that tolerate the loss of one: a core of more than two machines has at least as many.
const MIN_FAULT_TOLERANT_VOTERS: usize = 3;
/// The most voters.
pub(crate) const MAX_VOTERS: usize = 9;

/// The losses that a core is to tolerate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Tolerance {
    /// Machines that may be lost at once.
    pub(crate) nodes: usize,
    /// Zones that may be lost at once.
    pub(crate) zones: usize,
}

impl Tolerance {
    /// The number of voters that tolerates them, if there are as many machines; always odd.
    pub(crate) fn wanted_voters(&self) -> usize {
        let losses = self.nodes.max(self.zones);
        (2 * losses + 1).clamp(MIN_FAULT_TOLERANT_VOTERS, MAX_VOTERS)
    }
}

/// The number of replicas on which an entry survives the loss of `losses` of them, up to [`MAX_VOTERS`].
pub(crate) fn required_replicas(losses: usize) -> usize {
    (losses + 1).min(MAX_VOTERS)
}

/// What is known against a candidate; a lower value is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Condition {
    /// Nothing is known against it.
    Present,
    /// A voter that has been unreachable, or had an unhealthy disk, for long. It may come back with its state.
    Unreachable,
    /// A voter that is shutting down gracefully.
    Leaving,
    /// A voter whose disk was lost: another id is at its address now.
    Replaced,
}

/// A voter, or a standby that asks for a vote.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// The process.
    pub(crate) member: Member,
    /// Whether it votes in the current view.
    pub(crate) voter: bool,
    /// What is known of it.
    pub(crate) condition: Condition,
    /// Whether it has asked for long enough to become a voter for the balance of zones alone.
    pub(crate) stable: bool,
}

/// The voters of the next view: those of the current one in their order, then newcomers. `candidates` holds all voters of
/// the current view, in its order, then those that ask to vote and are ready to.
pub(crate) fn choose_voters(candidates: Vec<Candidate>, tolerance: Tolerance) -> Vec<Member> {
    let candidates = only_durable_if_any(candidates);
    let target = target_size(&candidates, tolerance);
    let candidates = without_unneeded_newcomers(candidates, target);
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

/// Leaves out processes without a disk, unless no candidate has one.
fn only_durable_if_any(candidates: Vec<Candidate>) -> Vec<Candidate> {
    if !candidates.iter().any(|candidate| candidate.member.durable) {
        return candidates;
    }
    candidates.into_iter().filter(|candidate| candidate.member.durable).collect()
}

/// As many voters as wanted; if there are fewer candidates, the largest odd number: an even one needs a larger majority
/// and tolerates no more. But as many as there must be replicas, if there are.
fn target_size(candidates: &[Candidate], tolerance: Tolerance) -> usize {
    let available = candidates.len().min(tolerance.wanted_voters());
    let spare = available > required_replicas(tolerance.nodes);
    if spare && available > 2 && available.is_multiple_of(2) {
        available - 1
    } else {
        available
    }
}

/// While all voters are present and as many as wanted, only a stable newcomer may change the set, for balance.
fn without_unneeded_newcomers(candidates: Vec<Candidate>, target: usize) -> Vec<Candidate> {
    let voters = || candidates.iter().filter(|candidate| candidate.voter);
    let complete = voters().count() == target && voters().all(|voter| voter.condition == Condition::Present);
    if !complete {
        return candidates;
    }
    candidates.into_iter().filter(|candidate| candidate.voter || candidate.stable).collect()
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
