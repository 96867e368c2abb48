//! Who votes next, case by case.

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

fn newcomer(number: u8, zone: &str) -> Candidate {
    Candidate { member: member(number, zone), voter: false, condition: Condition::Present, stable: true }
}

fn volatile(mut candidate: Candidate) -> Candidate {
    candidate.member.durable = false;
    candidate
}

fn chosen(nodes: usize, candidates: &[Candidate]) -> Vec<u64> {
    let tolerance = Tolerance { nodes, zones: 0 };
    choose_voters(candidates.to_vec(), tolerance).iter().map(|member| member.id.0).collect()
}

use Condition::{Leaving, Present, Replaced, Unreachable};

#[test]
fn one_loss_wants_three_voters_and_the_fourth_stands_by() {
    let voters = [voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present)];
    let mut candidates = voters.to_vec();
    candidates.push(newcomer(4, "d"));
    assert_eq!(chosen(1, &candidates), [1, 2, 3]);
}

#[test]
fn two_losses_want_five_voters_spread_over_the_zones() {
    let mut candidates = vec![voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present)];
    for (number, zone) in [(4, "a"), (5, "b"), (6, "c"), (7, "d"), (8, "d")] {
        candidates.push(newcomer(number, zone));
    }
    assert_eq!(chosen(2, &candidates), [1, 2, 3, 4, 7]);
}

#[test]
fn an_even_number_of_machines_leaves_one_standing_by() {
    let mut candidates = vec![voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present)];
    candidates.push(newcomer(4, "d"));
    assert_eq!(chosen(2, &candidates), [1, 2, 3], "four bear no more than three");
    candidates.push(newcomer(5, "d"));
    assert_eq!(chosen(2, &candidates), [1, 2, 3, 4, 5], "both at once");
}

#[test]
fn few_machines_all_vote() {
    assert_eq!(chosen(1, &[voter(1, "a", Present)]), [1]);
    assert_eq!(chosen(1, &[voter(1, "a", Present), newcomer(2, "a")]), [1, 2]);
    assert_eq!(chosen(0, &[voter(1, "a", Present), newcomer(2, "a"), newcomer(3, "a")]), [1, 2, 3]);
}

#[test]
fn a_voter_that_leaves_is_gone_or_replaced_gives_its_vote_to_one_that_stands_by() {
    for condition in [Leaving, Unreachable, Replaced] {
        let candidates =
            [voter(1, "a", Present), voter(2, "b", condition), voter(3, "c", Present), newcomer(4, "b")];
        assert_eq!(chosen(1, &candidates), [1, 3, 4], "{condition:?}");
    }
}

#[test]
fn nobody_is_dropped_while_nobody_stands_by() {
    for condition in [Leaving, Unreachable, Replaced] {
        let candidates = [voter(1, "a", Present), voter(2, "b", condition), voter(3, "c", Present)];
        assert_eq!(chosen(1, &candidates), [1, 2, 3], "{condition:?}");
    }
    let five = [
        voter(1, "a", Present),
        voter(2, "b", Unreachable),
        voter(3, "c", Replaced),
        voter(4, "d", Present),
        voter(5, "e", Present),
    ];
    assert_eq!(chosen(2, &five), [1, 2, 3, 4, 5]);
}

#[test]
fn one_too_many_is_dropped() {
    let silent =
        [voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present), voter(4, "d", Unreachable)];
    assert_eq!(chosen(1, &silent), [1, 2, 3], "four voters of whom one is gone bear no loss");
    let whole =
        [voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present), voter(4, "d", Present)];
    assert_eq!(chosen(1, &whole), [1, 2, 3]);
}

#[test]
fn the_one_that_may_come_back_keeps_its_vote_longest() {
    let candidates =
        [voter(1, "a", Replaced), voter(2, "b", Unreachable), voter(3, "c", Leaving), newcomer(4, "a")];
    assert_eq!(chosen(1, &candidates), [2, 3, 4]);
}

#[test]
fn zones_are_balanced_only_by_one_that_has_settled() {
    let mut candidates = vec![voter(1, "a", Present), voter(2, "b", Present), voter(3, "b", Present)];
    candidates.push(Candidate { stable: false, ..newcomer(4, "c") });
    assert_eq!(chosen(1, &candidates), [1, 2, 3]);
    candidates[3].stable = true;
    assert_eq!(chosen(1, &candidates), [1, 2, 4]);
    candidates[3].stable = false;
    candidates[0].condition = Unreachable;
    assert_eq!(chosen(1, &candidates), [2, 3, 4], "needed at once");
}

#[test]
fn machines_without_a_disk_vote_only_where_nobody_has_one() {
    let without = [
        volatile(voter(1, "a", Present)),
        volatile(voter(2, "b", Present)),
        volatile(voter(3, "c", Present)),
    ];
    assert_eq!(chosen(1, &without), [1, 2, 3]);
    let mut one_disk = without.to_vec();
    one_disk.push(newcomer(4, "d"));
    assert_eq!(chosen(1, &one_disk), [4]);
}

#[test]
fn lost_zones_ask_for_as_many_voters_as_lost_machines() {
    let wanted = |nodes, zones| Tolerance { nodes, zones }.wanted_voters();
    assert_eq!(
        [wanted(0, 0), wanted(1, 0), wanted(2, 0), wanted(0, 2), wanted(3, 1), wanted(9, 0)],
        [3, 3, 5, 5, 7, 9]
    );
}

#[test]
fn as_many_vote_as_there_must_be_copies() {
    let mut candidates = vec![voter(1, "a", Present), voter(2, "b", Present), voter(3, "c", Present)];
    candidates.push(newcomer(4, "d"));
    assert_eq!(chosen(3, &candidates), [1, 2, 3, 4], "three copies don't outlive three losses");
    candidates.push(newcomer(5, "d"));
    candidates.push(newcomer(6, "d"));
    assert_eq!(chosen(3, &candidates), [1, 2, 3, 4, 5], "the sixth stands by");
    assert_eq!(chosen(5, &candidates), [1, 2, 3, 4, 5, 6]);
}
