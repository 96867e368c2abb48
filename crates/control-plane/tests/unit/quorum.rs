//! Which acknowledgements form a majority of a view.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crankpick_control::{EntryId, Member, MemberId, View};

use super::Quorum;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7500))
}

fn view(numbers: &[u8]) -> View {
    let member = |number: &u8| Member {
        id: MemberId(u64::from(*number)),
        address: address(*number),
        zone: "a".into(),
        durable: true,
    };
    View {
        epoch: 1,
        members: numbers.iter().map(member).collect(),
        chain: numbers.iter().map(|number| MemberId(u64::from(*number))).collect(),
        start: EntryId::default(),
    }
}

fn acknowledged(numbers: &[u8]) -> BTreeSet<SocketAddr> {
    numbers.iter().map(|number| address(*number)).collect()
}

#[test]
fn a_member_counts_itself() {
    let quorum = Quorum::of(&view(&[1, 2, 3]), MemberId(1)).unwrap();
    assert!(!quorum.is_met_by(&acknowledged(&[])));
    assert!(quorum.is_met_by(&acknowledged(&[3])));
    assert!(Quorum::of(&view(&[1]), MemberId(1)).unwrap().is_met_by(&acknowledged(&[])));
}

#[test]
fn non_member_does_not_count_itself() {
    let quorum = Quorum::of(&view(&[1, 2, 3]), MemberId(9)).unwrap();
    assert!(!quorum.is_met_by(&acknowledged(&[1])));
    assert!(!quorum.is_met_by(&acknowledged(&[1, 8, 9])));
    assert!(quorum.is_met_by(&acknowledged(&[1, 2])));
}

#[test]
fn half_of_the_members_are_no_majority() {
    let quorum = Quorum::of(&view(&[1, 2, 3, 4]), MemberId(1)).unwrap();
    assert!(!quorum.is_met_by(&acknowledged(&[2])));
    assert!(quorum.is_met_by(&acknowledged(&[2, 3])));
}

#[test]
fn without_a_view_there_is_no_quorum() {
    assert_eq!(Quorum::of(&View::default(), MemberId(1)), None);
}
