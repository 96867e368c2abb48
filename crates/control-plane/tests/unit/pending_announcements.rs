//! A draining backend is acknowledged once a majority of the members has the announcement and the reachable peers have
//! acknowledged it or timed out, never without a majority.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{EntryId, Member, MemberId, View};
use crankpick_registry::{Announcement, ProcessId};
use tokio::sync::oneshot::{self, error::TryRecvError};

use super::{PendingAnnouncements, Relay, MAX_PENDING};
use crate::event::HeartbeatResponse;
use crate::quorum::Quorum;

const OWN: u8 = 1;

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7500))
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn quorum(numbers: &[u8]) -> Quorum {
    let member = |number: &u8| Member {
        id: MemberId(u64::from(*number)),
        address: peer(*number),
        zone: "a".into(),
        durable: true,
    };
    let members: Vec<Member> = numbers.iter().map(member).collect();
    let chain = members.iter().map(|member| member.id).collect();
    let view = View { epoch: 1, members, chain, start: EntryId::default() };
    Quorum::of(&view, MemberId(u64::from(OWN))).unwrap()
}

fn announcement() -> Announcement {
    Announcement::of_backends(ProcessId(1), Vec::new())
}

struct TestAnnouncement {
    announcements: PendingAnnouncements,
    number: u64,
    answer: oneshot::Receiver<HeartbeatResponse>,
}

impl TestAnnouncement {
    /// An announcement to `members`, of whom `up` count as reachable, added at 0 ms.
    /// This process has stored it.
    fn started(members: &[u8], up: &[u8]) -> TestAnnouncement {
        let mut test = TestAnnouncement::not_stored(members, up);
        assert_eq!(test.stored(0), None);
        test
    }

    /// As [`Self::started`], with a disk of this process that has not stored it yet.
    fn not_stored(members: &[u8], up: &[u8]) -> TestAnnouncement {
        let mut announcements = PendingAnnouncements::default();
        let (reply, answer) = oneshot::channel();
        let up = up.iter().map(|number| peer(*number));
        let number = announcements.add(at(0), quorum(members), up, announcement(), reply);
        TestAnnouncement { announcements, number, answer }
    }

    fn acknowledged(&mut self, ms: u64, number: u8) -> Option<Relay> {
        self.announcements.acknowledged(at(ms), self.number, peer(number))
    }

    fn stored(&mut self, ms: u64) -> Option<Relay> {
        self.announcements.stored(at(ms), self.number)
    }

    fn response(&mut self) -> Option<HeartbeatResponse> {
        match self.answer.try_recv() {
            Ok(answer) => Some(answer),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Closed) => panic!("dropped without an answer"),
        }
    }
}

#[test]
fn acknowledged_once_all_peers_have_it() {
    let mut test = TestAnnouncement::started(&[1, 2, 3], &[2, 3]);
    assert_eq!(test.acknowledged(10, 2), None);
    assert_eq!(test.acknowledged(11, 2), None);
    assert_eq!(test.response(), None);
    assert_eq!(test.acknowledged(20, 3), None);
    assert_eq!(test.response(), Some(HeartbeatResponse::Acknowledged));
}

/// What is in memory alone is lost when all processes are killed.
#[test]
fn not_acknowledged_before_a_majority_has_stored_it() {
    let mut test = TestAnnouncement::not_stored(&[1, 2, 3], &[2, 3]);
    test.acknowledged(10, 2);
    test.announcements.expire(at(300));
    assert_eq!(test.response(), None, "one of three has stored it");
    test.stored(310);
    assert_eq!(test.response(), Some(HeartbeatResponse::Acknowledged));
}

#[test]
fn acknowledged_by_a_majority_of_others_while_the_own_disk_is_slow() {
    let mut test = TestAnnouncement::not_stored(&[1, 2, 3], &[2, 3]);
    test.acknowledged(10, 2);
    test.acknowledged(10, 3);
    assert_eq!(test.response(), None);
    test.announcements.expire(at(300));
    assert_eq!(test.response(), Some(HeartbeatResponse::Acknowledged));
    assert_eq!(test.stored(900), None);
}

#[test]
fn acknowledged_by_a_majority_without_an_unresponsive_peer() {
    let mut test = TestAnnouncement::started(&[1, 2, 3], &[2, 3]);
    test.acknowledged(10, 2);
    assert_eq!(test.announcements.expire(at(299)), []);
    assert_eq!(test.response(), None);
    let relay = Relay { via: vec![peer(2)], to: vec![peer(3)], announcement: announcement() };
    assert_eq!(test.announcements.expire(at(300)), [relay]);
    assert_eq!(test.response(), Some(HeartbeatResponse::Acknowledged));
    assert_eq!(test.acknowledged(310, 3), None);
}

#[test]
fn not_acknowledged_if_no_peer_is_up() {
    let mut test = TestAnnouncement::started(&[1, 2, 3], &[]);
    test.announcements.expire(at(300));
    assert_eq!(test.response(), None);
    test.announcements.expire(at(700));
    assert_eq!(test.response(), Some(HeartbeatResponse::Unconfirmed));
}

#[test]
fn not_acknowledged_if_peers_that_count_as_up_are_isolated() {
    let mut test = TestAnnouncement::started(&[1, 2, 3, 4, 5], &[2, 3, 4, 5]);
    test.acknowledged(10, 2);
    test.announcements.expire(at(300));
    assert_eq!(test.response(), None);
    test.announcements.expire(at(699));
    assert_eq!(test.response(), None);
    test.announcements.expire(at(700));
    assert_eq!(test.response(), Some(HeartbeatResponse::Unconfirmed));
}

#[test]
fn acknowledgements_by_non_members_are_not_enough() {
    let mut test = TestAnnouncement::started(&[1, 2, 3], &[7, 8]);
    test.acknowledged(10, 7);
    test.acknowledged(10, 8);
    test.announcements.expire(at(700));
    assert_eq!(test.response(), Some(HeartbeatResponse::Unconfirmed));
}

#[test]
fn late_majority_is_enough() {
    let mut test = TestAnnouncement::started(&[1, 2, 3], &[2, 3]);
    test.announcements.expire(at(300));
    assert!(test.acknowledged(450, 3).is_some());
    assert_eq!(test.response(), Some(HeartbeatResponse::Acknowledged));
}

#[test]
fn member_that_is_not_up_gets_the_announcement_by_relay() {
    let mut test = TestAnnouncement::started(&[1, 2, 3], &[2]);
    let relay = Relay { via: vec![peer(2)], to: vec![peer(3)], announcement: announcement() };
    assert_eq!(test.acknowledged(10, 2), Some(relay));
    assert_eq!(test.response(), Some(HeartbeatResponse::Acknowledged));
}

#[test]
fn only_member_acknowledges_by_itself() {
    let mut test = TestAnnouncement::started(&[1], &[]);
    test.announcements.expire(at(0));
    assert_eq!(test.response(), Some(HeartbeatResponse::Acknowledged));
}

#[test]
fn unconfirmed_once_the_majority_is_unreachable() {
    let mut test = TestAnnouncement::started(&[1, 2, 3], &[2, 3]);
    test.announcements.fail_all();
    assert_eq!(test.response(), Some(HeartbeatResponse::Unconfirmed));
}

#[test]
fn unconfirmed_if_too_many_are_pending() {
    let mut announcements = PendingAnnouncements::default();
    let mut answers = Vec::new();
    for _ in 0..=MAX_PENDING {
        let (reply, answer) = oneshot::channel();
        announcements.add(at(0), quorum(&[1, 2, 3]), [peer(2)], announcement(), reply);
        answers.push(answer);
    }
    assert_eq!(answers[MAX_PENDING].try_recv(), Ok(HeartbeatResponse::Unconfirmed));
    assert!(answers[0].try_recv().is_err());
}
