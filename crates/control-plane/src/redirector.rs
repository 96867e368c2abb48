//! A process on a machine that is no candidate for membership: it sends callers to a member of the core.
//!
//! It holds no replica and takes no part in floods, sessions and quotas. It keeps the view at hand (`member_search.rs`):
//! for its callers, for gateways that have it for a seed, and for processes of the core that look for the members.

use std::net::SocketAddr;
use std::time::Instant;

use crankpick_control::{Body, Hello, Member, MemberId, Message, Now, Sender as Replier, View};
use crankpick_protocol::{CoreMember, HomeUpdate};
use crankpick_registry::{GatewayTotal, ProcessId};
use serde::Serialize;
use slog::{info, Logger};
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::entropy;
use crate::event::{Event, PeerPacket, SessionId};
use crate::links::Links;
use crate::member_search::MemberSearch;

/// Gateways that ask at a time; more are turned away.
const GATEWAYS: usize = 256;

/// Where callers are sent, and what is known.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Directions {
    /// A member that is within reach.
    pub redirects_to: Option<SocketAddr>,
    /// The view's number; 0 while none is known.
    pub epoch: u64,
    /// Where the members are reached.
    pub members: Vec<SocketAddr>,
}

/// The owner of the process's state.
pub struct Redirector {
    started: Instant,
    process: ProcessId,
    me: Member,
    search: MemberSearch,
    links: Links,
    gateways: Vec<(SessionId, Sender<HomeUpdate>)>,
    directions: watch::Sender<Directions>,
    log: Logger,
}

impl Redirector {
    /// A process at `address` in `zone` that knows the seeds alone. `directions` hears where callers are to go.
    pub fn new(
        started: Instant,
        address: SocketAddr,
        zone: String,
        seeds: Vec<SocketAddr>,
        directions: watch::Sender<Directions>,
        log: Logger,
    ) -> Self {
        let me = Member { id: MemberId(entropy::draw()), address, zone: zone.clone(), durable: false };
        Redirector {
            started,
            process: ProcessId(entropy::draw()),
            me,
            search: MemberSearch::new(started.elapsed(), address, zone, seeds, entropy::draw() as usize),
            links: Links::new(address),
            gateways: Vec::new(),
            directions,
            log,
        }
    }

    /// Takes events until the process is to end.
    pub async fn run(mut self, mut events: Receiver<Event>) {
        loop {
            if let Some(member) = self.search.poll(self.now()) {
                self.ask(member);
            }
            self.publish();
            let wake = self.started + self.search.wake_at();
            tokio::select! {
                event = events.recv() => match event {
                    Some(Event::Terminate) | None => return,
                    Some(event) => self.take(event),
                },
                _ = sleep_until(wake.into()) => {}
            }
        }
    }

    fn now(&self) -> Now {
        self.started.elapsed()
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Peer { from, packet: PeerPacket::Replica(message) } => self.heard(from, message),
            // A process of the core has this one for a seed.
            Event::Peer { from, packet: PeerPacket::Presence { .. } } => {
                self.search.noticed(self.now(), from)
            }
            Event::Seeds(seeds) => self.search.set_seeds(seeds),
            Event::Joined { session, updates, .. } => {
                if self.gateways.len() < GATEWAYS {
                    self.gateways.push((session, updates));
                }
            }
            Event::Reported { session, report } => self.answer_gateway(session, report.number),
            Event::Left { session } => self.gateways.retain(|(open, _)| *open != session),
            // Calls are answered by the API itself; the rest is meant for processes of the core.
            Event::Call(_) | Event::Peer { .. } | Event::Disk(_) | Event::Terminate => {}
        }
    }

    /// Asks a member for its view: it tells one that is above the epoch named.
    fn ask(&mut self, member: SocketAddr) {
        let hello = Hello { member: self.me.clone(), bootstrap: false, epoch: 0 };
        self.say(member, None, Body::Hello(hello));
    }

    fn say(&mut self, to: SocketAddr, target: Option<MemberId>, body: Body) {
        let sender = Replier { id: self.me.id, address: self.me.address };
        self.links.send(to, &PeerPacket::Replica(Message { sender, target, body }));
    }

    fn heard(&mut self, from: SocketAddr, message: Message) {
        match message.body {
            Body::Decide(view) => self.learn(from, *view),
            // A seed that has a disk is to know that this one doesn't vote on the first view.
            Body::Hello(hello) if hello.bootstrap && self.search.view().epoch == 0 => self.ask(from),
            // Another one has this process for a seed.
            Body::Hello(hello) if hello.epoch < self.search.view().epoch => {
                let view = self.search.view().clone();
                self.say(message.sender.address, Some(message.sender.id), Body::Decide(Box::new(view)));
            }
            _ => {}
        }
    }

    fn learn(&mut self, from: SocketAddr, view: View) {
        let known = self.search.view().epoch;
        self.search.heard(self.now(), from, view);
        let view = self.search.view();
        if view.epoch > known {
            info!(self.log, "view"; "epoch" => view.epoch, "members" => view.members.len());
        }
    }

    /// A gateway is told where the members are; with no freshness it leaves for one of them.
    fn answer_gateway(&mut self, session: SessionId, number: u64) {
        let members = self.search.view().members.iter();
        let update = HomeUpdate {
            home: self.process,
            answers: Some(number),
            freshness_ms: None,
            members: members
                .map(|member| CoreMember { address: member.address, zone: member.zone.clone() })
                .collect(),
            configuration: None,
            changes: None,
            gateways: GatewayTotal { count: 0, settled: false },
            grants: Vec::new(),
        };
        self.gateways.retain(|(open, updates)| *open != session || updates.try_send(update.clone()).is_ok());
    }

    fn publish(&self) {
        let view = self.search.view();
        let reached = self.search.reached();
        self.directions.send_if_modified(|directions| {
            let changed = directions.redirects_to != reached || directions.epoch != view.epoch;
            if changed {
                directions.redirects_to = reached;
                directions.epoch = view.epoch;
                directions.members = view.members.iter().map(|member| member.address).collect();
            }
            changed
        });
    }
}
