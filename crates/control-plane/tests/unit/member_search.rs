//! Which processes are polled for the view, and where callers are redirected.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{EntryId, Member, MemberId, View};

use super::MemberSearch;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7500))
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Members in the zones `z1`, `z2` and so on.
fn view(epoch: u64, numbers: &[u8]) -> View {
    let member = |number: &u8| Member {
        id: MemberId(u64::from(*number)),
        address: address(*number),
        zone: format!("z{number}"),
        durable: true,
    };
    let members: Vec<Member> = numbers.iter().map(member).collect();
    let chain = members.iter().map(|member| member.id).collect();
    View { epoch, members, chain, start: EntryId::default() }
}

/// The search of a process in zone `z2` that knows these seeds.
fn search(seeds: &[u8]) -> MemberSearch {
    let seeds = seeds.iter().map(|number| address(*number)).collect();
    MemberSearch::new(at(0), address(90), "z2".into(), seeds, 0)
}

#[test]
fn seeds_are_polled_and_callers_redirected_to_the_responding_member() {
    let mut search = search(&[1, 2, 3]);
    assert_eq!(search.reachable_member(), None);
    assert_eq!(search.poll(at(0)), Some(address(1)));
    assert_eq!(search.poll(at(1)), None);
    search.view_received(at(10), address(1), view(1, &[1, 2, 3]));
    assert_eq!(search.reachable_member(), Some(address(1)));
    assert_eq!(search.poll(at(2_009)), None);
    assert_eq!(search.poll(at(2_010)), Some(address(1)));
}

#[test]
fn unresponsive_member_is_replaced_by_the_next() {
    let mut search = search(&[1, 2, 3]);
    search.poll(at(0));
    search.view_received(at(10), address(1), view(1, &[1, 2, 3]));
    search.poll(at(2_010));
    assert_eq!(search.wake_at(), at(2_610));
    assert_eq!(search.poll(at(2_609)), None);
    // One request has failed, so the candidate after the member of its own zone is polled.
    assert_eq!(search.poll(at(2_610)), Some(address(1)));
    assert_eq!(search.reachable_member(), None);
    assert_eq!(search.poll(at(3_210)), Some(address(3)));
    search.view_received(at(3_220), address(3), view(1, &[1, 2, 3]));
    assert_eq!(search.reachable_member(), Some(address(3)));
}

#[test]
fn non_member_provides_the_view_but_is_no_redirect_target() {
    let mut search = search(&[91, 92]);
    assert_eq!(search.poll(at(0)), Some(address(91)));
    search.view_received(at(10), address(91), view(4, &[1, 2, 3]));
    assert_eq!(search.reachable_member(), None);
    assert_eq!(search.poll(at(610)), Some(address(1)));
    search.view_received(at(620), address(1), view(4, &[1, 2, 3]));
    assert_eq!(search.reachable_member(), Some(address(1)));
}

#[test]
fn former_member_is_no_redirect_target() {
    let mut search = search(&[1]);
    search.poll(at(0));
    search.view_received(at(10), address(1), view(1, &[1, 2, 3]));
    search.view_received(at(20), address(3), view(2, &[2, 3]));
    assert_eq!(search.reachable_member(), None);
    assert_eq!(search.view().epoch, 2);
    search.view_received(at(30), address(1), view(1, &[1, 2, 3]));
    assert_eq!(search.view().epoch, 2);
}

#[test]
fn without_candidates_nothing_is_polled() {
    let mut search = search(&[90]);
    assert_eq!(search.poll(at(0)), None);
    assert_eq!(search.reachable_member(), None);
}

#[test]
fn without_responses_it_polls_once_in_600_ms() {
    let mut search = search(&[1, 2, 3]);
    let polled = (0..60_000).filter(|ms| search.poll(at(*ms)).is_some()).count();
    assert_eq!(polled, 100);
}

/// Guards against a process that never finds the core because all its seeds are outside the core and have just started
/// too: a process of the core that sends a message is polled.
#[test]
fn discovered_process_of_the_core_is_polled() {
    let mut search = search(&[91, 92]);
    assert_eq!(search.poll(at(0)), Some(address(91)));
    search.peer_discovered(at(100), address(2));
    let polled: Vec<_> = (0..3).map(|turn| search.poll(at(100 + 600 * turn))).collect();
    assert!(polled.contains(&Some(address(2))), "{polled:?}");
    search.view_received(at(1_310), address(2), view(3, &[1, 2, 3]));
    assert_eq!(search.view().epoch, 3);
}

#[test]
fn changed_seeds_are_polled() {
    let mut search = search(&[91]);
    assert_eq!(search.poll(at(0)), Some(address(91)));
    search.set_seeds(vec![address(5)]);
    assert_eq!(search.poll(at(600)), Some(address(5)));
}
