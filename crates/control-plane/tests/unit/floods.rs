//! A draining backend is acknowledged once a majority of the members has the word and the peers within reach had their
//! time, never without a majority.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_control::{EntryId, Member, MemberId, View};
use crankpick_registry::{Announcement, ProcessId};
use tokio::sync::oneshot::{self, error::TryRecvError};

use super::{Floods, Relay, WAITING};
use crate::event::HeartbeatAnswer;
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

fn word() -> Announcement {
    Announcement::of_backends(ProcessId(1), Vec::new())
}

struct Flood {
    floods: Floods,
    number: u64,
    answer: oneshot::Receiver<HeartbeatAnswer>,
}

impl Flood {
    /// A flood among `members` of whom `up` count as within reach, begun at 0 ms.
    fn begun(members: &[u8], up: &[u8]) -> Flood {
        let mut floods = Floods::default();
        let (reply, answer) = oneshot::channel();
        let up = up.iter().map(|number| peer(*number));
        let number = floods.begin(at(0), quorum(members), up, word(), reply);
        Flood { floods, number, answer }
    }

    fn answered(&mut self, ms: u64, number: u8) -> Option<Relay> {
        self.floods.answered(at(ms), self.number, peer(number))
    }

    fn said(&mut self) -> Option<HeartbeatAnswer> {
        match self.answer.try_recv() {
            Ok(answer) => Some(answer),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Closed) => panic!("dropped without an answer"),
        }
    }
}

#[test]
fn acknowledged_once_all_peers_have_it() {
    let mut flood = Flood::begun(&[1, 2, 3], &[2, 3]);
    assert_eq!(flood.answered(10, 2), None);
    assert_eq!(flood.answered(11, 2), None);
    assert_eq!(flood.said(), None);
    assert_eq!(flood.answered(20, 3), None);
    assert_eq!(flood.said(), Some(HeartbeatAnswer::Acknowledged));
}

#[test]
fn acknowledged_by_a_majority_without_a_peer_that_stays_silent() {
    let mut flood = Flood::begun(&[1, 2, 3], &[2, 3]);
    flood.answered(10, 2);
    assert_eq!(flood.floods.tick(at(299)), []);
    assert_eq!(flood.said(), None);
    let relay = Relay { via: vec![peer(2)], to: vec![peer(3)], announcement: word() };
    assert_eq!(flood.floods.tick(at(300)), [relay]);
    assert_eq!(flood.said(), Some(HeartbeatAnswer::Acknowledged));
    assert_eq!(flood.answered(310, 3), None);
}

#[test]
fn not_acknowledged_where_no_peer_is_up() {
    let mut flood = Flood::begun(&[1, 2, 3], &[]);
    flood.floods.tick(at(300));
    assert_eq!(flood.said(), None);
    flood.floods.tick(at(700));
    assert_eq!(flood.said(), Some(HeartbeatAnswer::Unconfirmed));
}

#[test]
fn not_acknowledged_where_peers_that_count_as_up_are_cut_off() {
    let mut flood = Flood::begun(&[1, 2, 3, 4, 5], &[2, 3, 4, 5]);
    flood.answered(10, 2);
    flood.floods.tick(at(300));
    assert_eq!(flood.said(), None);
    flood.floods.tick(at(699));
    assert_eq!(flood.said(), None);
    flood.floods.tick(at(700));
    assert_eq!(flood.said(), Some(HeartbeatAnswer::Unconfirmed));
}

#[test]
fn not_acknowledged_by_peers_that_are_no_members() {
    let mut flood = Flood::begun(&[1, 2, 3], &[7, 8]);
    flood.answered(10, 7);
    flood.answered(10, 8);
    flood.floods.tick(at(700));
    assert_eq!(flood.said(), Some(HeartbeatAnswer::Unconfirmed));
}

#[test]
fn a_majority_that_answers_late_is_enough() {
    let mut flood = Flood::begun(&[1, 2, 3], &[2, 3]);
    flood.floods.tick(at(300));
    assert!(flood.answered(450, 3).is_some());
    assert_eq!(flood.said(), Some(HeartbeatAnswer::Acknowledged));
}

#[test]
fn a_member_that_does_not_count_as_up_gets_the_word_from_others() {
    let mut flood = Flood::begun(&[1, 2, 3], &[2]);
    let relay = Relay { via: vec![peer(2)], to: vec![peer(3)], announcement: word() };
    assert_eq!(flood.answered(10, 2), Some(relay));
    assert_eq!(flood.said(), Some(HeartbeatAnswer::Acknowledged));
}

#[test]
fn the_only_member_acknowledges_by_itself() {
    let mut flood = Flood::begun(&[1], &[]);
    flood.floods.tick(at(0));
    assert_eq!(flood.said(), Some(HeartbeatAnswer::Acknowledged));
}

#[test]
fn sent_elsewhere_once_the_majority_is_out_of_reach() {
    let mut flood = Flood::begun(&[1, 2, 3], &[2, 3]);
    flood.floods.give_up_all();
    assert_eq!(flood.said(), Some(HeartbeatAnswer::Unconfirmed));
}

#[test]
fn sent_elsewhere_where_too_many_wait() {
    let mut floods = Floods::default();
    let mut answers = Vec::new();
    for _ in 0..=WAITING {
        let (reply, answer) = oneshot::channel();
        floods.begin(at(0), quorum(&[1, 2, 3]), [peer(2)], word(), reply);
        answers.push(answer);
    }
    assert_eq!(answers[WAITING].try_recv(), Ok(HeartbeatAnswer::Unconfirmed));
    assert!(answers[0].try_recv().is_err());
}
