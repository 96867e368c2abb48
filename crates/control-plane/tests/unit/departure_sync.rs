//! When a process knows every departure that was acknowledged: which members it must have read, which of them count, and
//! what it does if too few do.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{EntryId, Member, MemberId, View};

use super::{Completion, DepartureSync, MAX_WAIT_HEARTBEATS};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7500))
}

fn view(epoch: u64, numbers: &[u8]) -> View {
    let member = |number: &u8| Member {
        id: MemberId(u64::from(*number)),
        address: address(*number),
        zone: "a".into(),
        durable: true,
    };
    let members: Vec<Member> = numbers.iter().map(member).collect();
    let chain = members.iter().map(|member| member.id).collect();
    View { epoch, members, chain, start: EntryId::default() }
}

/// Process 1 after a restart, with a log that is complete for `complete_epoch`.
fn restarted(view: &View, complete_epoch: Option<u64>) -> DepartureSync {
    restarted_in(1, view, complete_epoch)
}

/// As [`restarted`], in a fleet that bears the loss of `tolerate_nodes` members.
fn restarted_in(tolerate_nodes: usize, view: &View, complete_epoch: Option<u64>) -> DepartureSync {
    let mut sync = DepartureSync::new(MemberId(1), tolerate_nodes, HEARTBEAT, false);
    sync.restore(view, complete_epoch);
    sync
}

/// The most members that may lack an acknowledged departure, and one more.
#[test]
fn as_many_members_are_read_as_can_not_all_lack_a_departure() {
    for (members, others_to_read) in [(1, 0), (2, 0), (3, 1), (4, 1), (5, 2), (6, 2), (7, 3), (8, 3)] {
        let numbers: Vec<u8> = (1..=members).collect();
        let mut sync = restarted_in(0, &view(3, &numbers), Some(3));
        for read in 0..others_to_read {
            assert_eq!(sync.complete(at(0), true), None, "{members} members, {read} others read");
            sync.report_received(address(read + 2), 3, true);
        }
        sync.complete(at(0), true);
        assert!(sync.is_informed(), "{members} members");
        let majority = usize::from(members) / 2 + 1;
        assert!(usize::from(others_to_read) + 1 > usize::from(members) - majority);
    }
}

/// Five members, of which three have stored a departure, two of these are lost, and only one stands by: of the four that
/// are left two lack it.
#[test]
fn members_that_were_lost_may_be_those_that_have_stored_a_departure() {
    let mut sync = restarted_in(2, &view(6, &[1, 2, 3, 4]), Some(6));
    sync.report_received(address(2), 6, true);
    assert_eq!(sync.complete(at(0), true), None, "both may lack it");
    sync.report_received(address(3), 6, true);
    assert_eq!(sync.complete(at(0), true), Some(Completion::Read));
    let all_that_are_left = restarted_in(2, &view(6, &[1]), Some(6));
    assert!(all_that_are_left.is_informed());
}

#[test]
fn process_with_a_wiped_disk_does_not_count_itself() {
    let mut sync = DepartureSync::new(MemberId(1), 1, HEARTBEAT, false);
    sync.view_changed(&view(4, &[1, 2, 3, 4]));
    assert_eq!(sync.sound_epoch(), None);
    sync.report_received(address(2), 4, true);
    assert_eq!(sync.complete(at(0), true), None);
    sync.report_received(address(2), 4, true);
    assert_eq!(sync.complete(at(0), true), None, "the same member twice");
    sync.report_received(address(3), 4, true);
    assert_eq!(sync.complete(at(0), true), Some(Completion::Read));
    assert_eq!(sync.sound_epoch(), Some(4));
    assert_eq!(sync.complete(at(0), true), None, "told once");
}

#[test]
fn only_sound_members_of_the_same_view_count() {
    let mut sync = restarted(&view(4, &[1, 2, 3]), Some(4));
    sync.report_received(address(2), 4, false);
    sync.report_received(address(3), 3, true);
    sync.report_received(address(3), 5, true);
    sync.report_received(address(9), 4, true);
    assert_eq!(sync.complete(at(0), true), None);
    assert_eq!(sync.unread_members().collect::<Vec<_>>(), [address(2), address(3)]);
}

/// A member that was down in between has not stored what was acknowledged meanwhile, although its disk is there.
#[test]
fn member_that_missed_a_view_is_not_sound() {
    assert_eq!(restarted(&view(7, &[1, 2, 3]), Some(5)).sound_epoch(), None);
    let mut sync = restarted(&view(5, &[1, 2, 3]), Some(5));
    assert_eq!(sync.sound_epoch(), Some(5));
    sync.view_changed(&view(7, &[1, 2, 3]));
    assert_eq!(sync.sound_epoch(), None);
}

/// The process ended between storing the view and storing that its log is complete for it.
#[test]
fn log_that_is_complete_for_the_view_before_is_sound() {
    assert_eq!(restarted(&view(6, &[1, 2, 3]), Some(5)).sound_epoch(), Some(6));
    assert_eq!(restarted(&view(6, &[2, 3, 4]), Some(5)).sound_epoch(), None, "not a member any more");
    assert_eq!(restarted(&view(6, &[1, 2, 3]), None).sound_epoch(), None);
}

#[test]
fn member_of_both_views_stays_informed() {
    let mut sync = restarted(&view(5, &[1, 2, 3]), Some(5));
    sync.report_received(address(2), 5, true);
    sync.complete(at(0), true);
    sync.view_changed(&view(6, &[1, 2, 4]));
    assert!(sync.is_informed());
    assert_eq!(sync.sound_epoch(), Some(6));
    sync.view_changed(&view(7, &[2, 3, 4]));
    assert!(!sync.is_informed(), "a process that isn't a member doesn't store what is acknowledged");
    sync.view_changed(&view(8, &[1, 2, 3, 4]));
    assert!(!sync.is_informed(), "it reads again what it may have missed");
    sync.report_received(address(2), 8, true);
    sync.report_received(address(3), 8, true);
    assert_eq!(sync.complete(at(0), true), Some(Completion::Read));
}

#[test]
fn reports_of_an_earlier_view_do_not_count_in_the_next_one() {
    let mut sync = restarted(&view(5, &[1, 2, 3, 4, 5]), Some(5));
    sync.report_received(address(2), 5, true);
    sync.view_changed(&view(6, &[1, 2, 3, 4, 5]));
    sync.report_received(address(3), 6, true);
    assert_eq!(sync.complete(at(0), true), None);
}

#[test]
fn first_start_of_the_fleet_has_nothing_to_read() {
    let mut sync = DepartureSync::new(MemberId(1), 1, HEARTBEAT, true);
    assert!(sync.is_informed());
    assert_eq!(sync.sound_epoch(), None);
    sync.view_changed(&view(2, &[1, 2, 3]));
    assert!(sync.is_informed());
    assert_eq!(sync.sound_epoch(), Some(2));
}

/// More disks are gone than the fleet tolerates: nobody can know what was on them, and service must go on.
#[test]
fn gives_up_only_in_reach_of_a_majority() {
    let mut sync = DepartureSync::new(MemberId(1), 1, HEARTBEAT, false);
    sync.view_changed(&view(4, &[1, 2, 3]));
    let max_wait = u64::try_from(HEARTBEAT.as_millis()).unwrap() * u64::from(MAX_WAIT_HEARTBEATS);
    assert_eq!(sync.complete(at(0), false), None);
    assert_eq!(sync.complete(at(60_000), false), None);
    assert_eq!(sync.complete(at(60_000), true), None);
    assert_eq!(sync.complete(at(60_000 + max_wait - 1), true), None);
    assert_eq!(sync.complete(at(60_000 + max_wait), true), Some(Completion::GivenUp));
    assert!(sync.is_informed());
}
