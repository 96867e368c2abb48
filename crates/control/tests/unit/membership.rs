//! Tests of the choice of the next voters.

use std::net::SocketAddr;

use super::*;
use crate::types::MemberId;

fn member(number: u8, zone: &str) -> Member {
    let address = SocketAddr::from(([10, 0, 0, number], 1));
    Member { id: MemberId(u64::from(number)), address, zone: zone.to_string(), durable: true }
}

fn voter(number: u8, zone: &str, condition: Condition) -> Candidate {
    Candidate { member: member(number, zone), voter: true, condition, stable: true }
}

fn non_voter(number: u8, zone: &str) -> Candidate {
    Candidate { member: member(number, zone), voter: false, condition: Condition::Present, stable: true }
}

fn without_disk(mut candidate: Candidate) -> Candidate {
    candidate.member.durable = false;
    candidate
}

fn voter_ids(nodes: usize, candidates: &[Candidate]) -> Vec<u64> {
    let tolerance = Tolerance { nodes, zones: 0 };
    choose_voters(candidates.to_vec(), tolerance).iter().map(|member| member.id.0).collect()
}

use Condition::{Leaving, Present, Replaced, Unreachable};

#[test]
fn one_loss_requires_three_voters_and_the_fourth_is_a_standby() {
    let voters = [voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present)];
    let mut candidates = voters.to_vec();
    candidates.push(non_voter(4, "d"));
    assert_eq!(voter_ids(1, &candidates), [1, 2, 3]);
}

#[test]
fn two_losses_require_five_voters_spread_over_the_zones() {
    let mut candidates = vec![voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present)];
    for (number, zone) in [(4, "a"), (5, "b"), (6, "c"), (7, "d"), (8, "d")] {
        candidates.push(non_voter(number, zone));
    }
    assert_eq!(voter_ids(2, &candidates), [1, 2, 3, 4, 7]);
}

#[test]
fn an_even_number_of_machines_leaves_one_standby() {
    let mut candidates = vec![voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present)];
    candidates.push(non_voter(4, "d"));
    assert_eq!(voter_ids(2, &candidates), [1, 2, 3], "four voters tolerate no more losses than three");
    candidates.push(non_voter(5, "d"));
    assert_eq!(voter_ids(2, &candidates), [1, 2, 3, 4, 5], "both are added at once");
}

#[test]
fn all_machines_vote_if_there_are_too_few() {
    assert_eq!(voter_ids(1, &[voter(1, "a", Present)]), [1]);
    assert_eq!(voter_ids(1, &[voter(1, "a", Present), non_voter(2, "a")]), [1, 2]);
    assert_eq!(voter_ids(0, &[voter(1, "a", Present), non_voter(2, "a"), non_voter(3, "a")]), [1, 2, 3]);
}

#[test]
fn a_standby_replaces_a_leaving_unreachable_or_replaced_voter() {
    for condition in [Leaving, Unreachable, Replaced] {
        let candidates =
            [voter(1, "a", Present), voter(2, "b", condition), voter(3, "c", Present), non_voter(4, "b")];
        assert_eq!(voter_ids(1, &candidates), [1, 3, 4], "{condition:?}");
    }
}

#[test]
fn no_voter_is_dropped_without_a_standby() {
    for condition in [Leaving, Unreachable, Replaced] {
        let candidates = [voter(1, "a", Present), voter(2, "b", condition), voter(3, "c", Present)];
        assert_eq!(voter_ids(1, &candidates), [1, 2, 3], "{condition:?}");
    }
    let five = [
        voter(1, "a", Present),
        voter(2, "b", Unreachable),
        voter(3, "c", Replaced),
        voter(4, "d", Present),
        voter(5, "e", Present),
    ];
    assert_eq!(voter_ids(2, &five), [1, 2, 3, 4, 5]);
}

#[test]
fn a_surplus_voter_is_dropped() {
    let silent =
        [voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present), voter(4, "d", Unreachable)];
    assert_eq!(voter_ids(1, &silent), [1, 2, 3], "four voters with one unreachable tolerate no loss");
    let whole =
        [voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present), voter(4, "d", Present)];
    assert_eq!(voter_ids(1, &whole), [1, 2, 3]);
}

#[test]
fn the_one_that_may_come_back_keeps_its_vote_longest() {
    let candidates =
        [voter(1, "a", Replaced), voter(2, "b", Unreachable), voter(3, "c", Leaving), non_voter(4, "a")];
    assert_eq!(voter_ids(1, &candidates), [2, 3, 4]);
}

#[test]
fn zones_are_balanced_only_with_a_stable_candidate() {
    let mut candidates = vec![voter(1, "a", Present), voter(2, "b", Present), voter(3, "b", Present)];
    candidates.push(Candidate { stable: false, ..non_voter(4, "c") });
    assert_eq!(voter_ids(1, &candidates), [1, 2, 3]);
    candidates[3].stable = true;
    assert_eq!(voter_ids(1, &candidates), [1, 2, 4]);
    candidates[3].stable = false;
    candidates[0].condition = Unreachable;
    assert_eq!(
        voter_ids(1, &candidates),
        [2, 3, 4],
        "an unstable candidate replaces an unreachable voter at once"
    );
}

#[test]
fn machines_without_a_disk_vote_only_if_no_machine_has_one() {
    let diskless = [
        without_disk(voter(1, "a", Present)),
        without_disk(voter(2, "b", Present)),
        without_disk(voter(3, "c", Present)),
    ];
    assert_eq!(voter_ids(1, &diskless), [1, 2, 3]);
    let mut one_disk = diskless.to_vec();
    one_disk.push(non_voter(4, "d"));
    assert_eq!(voter_ids(1, &one_disk), [4]);
}

#[test]
fn tolerated_zones_require_as_many_voters_as_tolerated_machines() {
    let wanted = |nodes, zones| Tolerance { nodes, zones }.wanted_voters();
    assert_eq!(
        [wanted(0, 0), wanted(1, 0), wanted(2, 0), wanted(0, 2), wanted(3, 1), wanted(9, 0)],
        [3, 3, 5, 5, 7, 9]
    );
}

#[test]
fn there_are_at_least_as_many_voters_as_required_copies() {
    let mut candidates = vec![voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present)];
    candidates.push(non_voter(4, "d"));
    assert_eq!(voter_ids(3, &candidates), [1, 2, 3, 4], "three copies do not survive three losses");
    candidates.push(non_voter(5, "d"));
    candidates.push(non_voter(6, "d"));
    assert_eq!(voter_ids(3, &candidates), [1, 2, 3, 4, 5], "the sixth is a standby");
    assert_eq!(voter_ids(5, &candidates), [1, 2, 3, 4, 5, 6]);
}
