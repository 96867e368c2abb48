//! A process that is not a candidate for membership: it redirects callers to a member of the core.
//!
//! It has no replica and does not take part in announcements, sessions and quotas. It tracks the newest view
//! (`member_search.rs`) for its callers, for gateways that use it as a seed, and for processes that search for members.

use std::net::SocketAddr;
use std::time::Instant;

use crankpick_control::{Body, Hello, Member, MemberId, Message, Now, Sender as MessageSender, View};
use crankpick_protocol::HomeUpdate;
use crankpick_registry::{GatewayTotal, ProcessId};
use serde::Serialize;
use slog::{info, Logger};
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::event::{Event, PeerMessage, SessionId};
use crate::member_search::MemberSearch;
use crate::peer_connections::PeerConnections;
use crate::peers::home_of;
use crate::random_ids::random_id;

/// The maximum number of connected gateways; further ones get no answer.
const MAX_GATEWAYS: usize = 256;

/// The redirect target and the view it was chosen from. Serialized as the status of this process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RedirectState {
    /// A reachable member.
    pub redirects_to: Option<SocketAddr>,
    /// The epoch of the view, 0 while none is known.
    pub epoch: u64,
    /// The addresses of the members.
    pub members: Vec<SocketAddr>,
}

/// The task that owns the state of the process.
pub struct Redirector {
    started: Instant,
    process: ProcessId,
    identity: Member,
    search: MemberSearch,
    connections: PeerConnections,
    gateways: Vec<(SessionId, Sender<HomeUpdate>)>,
    redirect_state: watch::Sender<RedirectState>,
    log: Logger,
}

impl Redirector {
    /// Creates a process at `address` in `zone` that knows only the seeds. Changes are published to `redirect_state`.
    pub fn new(
        started: Instant,
        address: SocketAddr,
        zone: String,
        seeds: Vec<SocketAddr>,
        redirect_state: watch::Sender<RedirectState>,
        log: Logger,
    ) -> Self {
        let identity = Member { id: MemberId(random_id()), address, zone: zone.clone(), durable: false };
        Redirector {
            started,
            process: ProcessId(random_id()),
            identity,
            search: MemberSearch::new(started.elapsed(), address, zone, seeds, random_id() as usize),
            connections: PeerConnections::new(address),
            gateways: Vec::new(),
            redirect_state,
            log,
        }
    }

    /// Handles events until the process is terminated.
    pub async fn run(mut self, mut events: Receiver<Event>) {
        loop {
            if let Some(member) = self.search.poll(self.now()) {
                self.request_view(member);
            }
            self.publish();
            let wake = self.started + self.search.wake_at();
            tokio::select! {
                event = events.recv() => match event {
                    Some(Event::Terminate) | None => return,
                    Some(event) => self.handle_event(event),
                },
                _ = sleep_until(wake.into()) => {}
            }
        }
    }

    fn now(&self) -> Now {
        self.started.elapsed()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::PeerMessage { from, message: PeerMessage::Replica(message) } => {
                self.handle_replica_message(from, message)
            }
            // A process of the core uses this one as a seed.
            Event::PeerMessage { from, message: PeerMessage::Presence { .. } } => {
                self.search.peer_discovered(self.now(), from)
            }
            Event::SeedsChanged(seeds) => self.search.set_seeds(seeds),
            Event::GatewayConnected { session, updates, .. } => {
                if self.gateways.len() < MAX_GATEWAYS {
                    self.gateways.push((session, updates));
                }
            }
            Event::GatewayReported { session, report } => self.answer_gateway(session, report.number),
            Event::GatewayDisconnected { session } => self.gateways.retain(|(open, _)| *open != session),
            // The API answers requests itself; the other messages are intended for processes of the core.
            Event::ApiRequest(_)
            | Event::PeerMessage { .. }
            | Event::WriteFinished(_)
            | Event::DepartureWriteFinished(_)
            | Event::Terminate => {}
        }
    }

    /// Requests the view of a member, which answers if its epoch is higher than the one sent.
    fn request_view(&mut self, member: SocketAddr) {
        let hello = Hello { member: self.identity.clone(), bootstrap: false, epoch: 0 };
        self.send(member, None, Body::Hello(hello));
    }

    fn send(&mut self, to: SocketAddr, target: Option<MemberId>, body: Body) {
        let sender = MessageSender { id: self.identity.id, address: self.identity.address };
        self.connections.send(to, &PeerMessage::Replica(Message { sender, target, body }));
    }

    fn handle_replica_message(&mut self, from: SocketAddr, message: Message) {
        match message.body {
            Body::Decide(view) => self.handle_view(from, *view),
            // A bootstrapping seed with a disk must learn that this process doesn't vote on the first view.
            Body::Hello(hello) if hello.bootstrap && self.search.view().epoch == 0 => self.request_view(from),
            // Another process uses this one as a seed.
            Body::Hello(hello) if hello.epoch < self.search.view().epoch => {
                let view = self.search.view().clone();
                self.send(message.sender.address, Some(message.sender.id), Body::Decide(Box::new(view)));
            }
            _ => {}
        }
    }

    fn handle_view(&mut self, from: SocketAddr, view: View) {
        let known = self.search.view().epoch;
        self.search.view_received(self.now(), from, view);
        let view = self.search.view();
        if view.epoch > known {
            info!(self.log, "view"; "epoch" => view.epoch, "members" => view.members.len());
        }
    }

    /// Sends the members to a gateway. Because the update has no freshness, the gateway switches to one of them.
    fn answer_gateway(&mut self, session: SessionId, number: u64) {
        let update = HomeUpdate {
            home: self.process,
            answers: Some(number),
            freshness_ms: None,
            members: self.search.view().members.iter().map(home_of).collect(),
            configuration: None,
            changes: None,
            gateways: GatewayTotal { count: 0, states_absence: false },
            grants: Vec::new(),
        };
        self.gateways.retain(|(open, updates)| *open != session || updates.try_send(update.clone()).is_ok());
    }

    fn publish(&self) {
        let view = self.search.view();
        let reached = self.search.reachable_member();
        self.redirect_state.send_if_modified(|redirect_state| {
            let changed = redirect_state.redirects_to != reached || redirect_state.epoch != view.epoch;
            if changed {
                redirect_state.redirects_to = reached;
                redirect_state.epoch = view.epoch;
                redirect_state.members = view.members.iter().map(|member| member.address).collect();
            }
            changed
        });
    }
}
