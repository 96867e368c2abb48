//! The one owner of all state of a process of the control plane: takes events in order, and carries out what follows.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crankpick_configuration::{ConfigurationError, RoutingTable};
use crankpick_control::{Entry, Input, Message, Now, Order, Output, Outputs, Replica, Ticket, View};
use crankpick_protocol::{ConfigurationMark, CoreMember, Report, TenantGrant};
use crankpick_quota::HolderId;
use crankpick_registry::{
    Announcement, GatewayLeases, Heard, HeartbeatError, HeartbeatState, ProcessId, Registry,
};
use slog::{info, warn, Logger};
use tokio::sync::mpsc::Receiver;
use tokio::sync::oneshot;
use tokio::time::{interval, MissedTickBehavior};

use crate::disk::{Disk, Write, Written};
use crate::event::{Call, Event, HeartbeatAnswer, PeerPacket, PutAnswer, SessionId};
use crate::floods::{Floods, Relay};
use crate::links::Links;
use crate::operator::Operator;
use crate::peers::{PeerChange, Peers};
use crate::quorum::{reaches_majority, Quorum};
use crate::quotas::{DemandsToSend, Quotas};
use crate::sessions::{Current, Sessions, Standing};

const TICK: Duration = Duration::from_millis(50);
/// Ticks between looks at silence, presence and demands.
const SLOW_TICKS: u64 = 5;
/// Slow ticks between words of presence and digests.
const PRESENCE: u64 = 2;
const DIGEST: u64 = 4;
/// The file on disk is rewritten past this many times its last rewritten size, and this many bytes.
const REWRITE_RATIO: u64 = 4;
const REWRITE_BYTES: u64 = 2 << 20;
/// The longest that a process which leaves waits for the others to go on without it.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// After a freshness of more than this the process counts as cut off from the majority.
const ISOLATED: Duration = Duration::from_millis(1_000);
/// Files are never rewritten below this share of the disk.
const REWRITE_LATEST: u64 = 8 << 20;

/// What a host is made of.
pub struct Parts {
    /// This start of the process.
    pub process: ProcessId,
    /// Where peers and gateways reach it.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: String,
    /// The replica, as restored.
    pub replica: Replica,
    /// What its restoration wants done.
    pub outputs: Outputs,
    /// The disk, where there is one.
    pub disk: Option<Disk>,
    /// The backends.
    pub registry: Registry,
    /// The gateways.
    pub gateways: GatewayLeases,
    /// Tenants' quotas.
    pub quotas: Quotas,
    /// Peers to be told of this process before any view is known.
    pub seeds: Vec<SocketAddr>,
    /// Where log lines go.
    pub log: Logger,
}

/// The owner of all state.
pub struct Host {
    started: Instant,
    parts: Parts,
    links: Links,
    peers: Peers,
    floods: Floods,
    operator: Operator,
    sessions: Sessions,
    /// The voters and all others that gateways may have for their home.
    members: Vec<CoreMember>,
    leaving_since: Option<Now>,
    current: Option<Current>,
    rewritten_bytes: u64,
    rewriting: bool,
    ticks: u64,
    digest_turn: usize,
}

impl Host {
    /// A host whose time begins at `started`.
    pub fn new(parts: Parts, started: Instant) -> Self {
        let links = Links::new(parts.address);
        Host {
            started,
            parts,
            links,
            peers: Peers::default(),
            floods: Floods::default(),
            operator: Operator::default(),
            sessions: Sessions::default(),
            members: Vec::new(),
            leaving_since: None,
            current: None,
            rewritten_bytes: 0,
            rewriting: false,
            ticks: 0,
            digest_turn: 0,
        }
    }

    /// Takes events until the process is to end.
    pub async fn run(mut self, mut events: Receiver<Event>) {
        let outputs = std::mem::take(&mut self.parts.outputs);
        self.carry_out(outputs);
        if let Some(entry) = self.parts.replica.newest_committed().cloned() {
            self.committed(&entry);
        }
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
            if self.may_end() {
                return self.end().await;
            }
        }
    }

    fn now(&self) -> Now {
        self.started.elapsed()
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Call(call) => self.call(call),
            Event::Peer { from, packet } => self.peer(from, packet),
            Event::Joined { session, gateway, updates } => self.sessions.joined(session, gateway, updates),
            Event::Reported { session, report } => self.reported(session, report),
            Event::Left { session } => self.sessions.left(session),
            Event::Disk(written) => self.written(written),
            Event::Terminate => self.leave(),
        }
    }

    /// Says that this process leaves. It serves on until the others have taken over what it holds.
    fn leave(&mut self) {
        info!(self.parts.log, "leaving");
        self.leaving_since.get_or_insert(self.started.elapsed());
        self.replica(Input::Leave);
    }

    /// Whether this process leaves and the core goes on without it, or time is up.
    fn may_end(&self) -> bool {
        let Some(since) = self.leaving_since else { return false };
        self.parts.replica.has_left() || self.now() >= since + LEAVE_LIMIT
    }

    /// Lets the last messages go out.
    async fn end(self) {
        let left = self.parts.replica.has_left();
        info!(self.parts.log, "left"; "handed_over" => left);
        tokio::time::sleep(2 * TICK).await;
    }

    // The replicated state.

    fn replica(&mut self, input: Input) {
        let now = self.now();
        let mut outputs = Outputs::new();
        self.parts.replica.handle(now, input, &mut outputs);
        self.carry_out(outputs);
        self.operator.settle_reads(now, &self.parts.replica);
    }

    fn carry_out(&mut self, outputs: Outputs) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send_message(to, message),
                Output::Persist { ticket, records } => self.persist(ticket, records),
                Output::Answer { key, outcome } => self.operator.end_order(key, outcome),
                Output::Committed(entry) => self.committed(&entry),
                Output::ViewChanged(view) => self.view_changed(&view),
            }
        }
    }

    fn send_message(&mut self, to: SocketAddr, message: Message) {
        self.links.send(to, &PeerPacket::Replica(message));
    }

    fn persist(&mut self, ticket: Ticket, records: Vec<crankpick_control::Record>) {
        let handed = match &self.parts.disk {
            Some(disk) => disk.write(Write::Append { ticket: ticket.0, records }),
            None => false,
        };
        if !handed {
            self.replica(Input::DiskRefused(ticket));
        }
    }

    fn written(&mut self, written: Written) {
        match written {
            Written::Synced { ticket, bytes } => {
                self.replica(Input::Persisted(Ticket(ticket)));
                self.rewrite_when_long(bytes);
            }
            Written::Refused { ticket } => {
                warn!(self.parts.log, "the disk refused a write"; "code" => "CTL-301");
                self.replica(Input::DiskRefused(Ticket(ticket)));
                self.rewrite_when_long(u64::MAX);
            }
            Written::Rewritten { bytes } => {
                self.rewriting = false;
                self.rewritten_bytes = bytes;
            }
        }
    }

    fn rewrite_when_long(&mut self, bytes: u64) {
        let long = (self.rewritten_bytes * REWRITE_RATIO).clamp(REWRITE_BYTES, REWRITE_LATEST);
        if self.rewriting || bytes < long || bytes <= self.rewritten_bytes.saturating_mul(2) {
            return;
        }
        let records = self.parts.replica.snapshot_records();
        if let Some(disk) = self.parts.disk.as_ref().filter(|_| !records.is_empty()) {
            self.rewriting = disk.write(Write::Rewrite { records });
        }
    }

    fn committed(&mut self, entry: &Entry) {
        let mark = ConfigurationMark { position: entry.id.position, generation: entry.order.generation };
        match crankpick_configuration::read(&entry.order.bytes) {
            Ok(configuration) => self.parts.quotas.configure(&RoutingTable::compile(&configuration)),
            Err(wrong) => warn!(self.parts.log, "a committed configuration can't be read"; "cause" => %wrong),
        }
        info!(self.parts.log, "configuration committed"; "generation" => mark.generation);
        self.current = Some(Current { mark, document: entry.order.bytes.clone() });
        self.push();
    }

    fn view_changed(&mut self, view: &View) {
        let chain: Vec<String> = view
            .chain
            .iter()
            .filter_map(|id| view.member(*id))
            .map(|member| member.address.ip().to_string())
            .collect();
        info!(self.parts.log, "view"; "epoch" => view.epoch, "members" => view.members.len(),
            "chain" => chain.join(","));
        self.note_homes();
        self.parts.quotas.view_changed(view);
    }

    /// The voters, whether or not they are within reach, and all peers that are.
    fn note_homes(&mut self) {
        let voters = self.parts.replica.view().members.iter();
        let mut homes: Vec<CoreMember> = voters
            .map(|member| CoreMember { address: member.address, zone: member.zone.clone() })
            .chain(self.peers.homes())
            .collect();
        if let Some(zone) = self.own_home() {
            homes.push(zone);
        }
        homes.sort_by_key(|home| home.address);
        homes.dedup_by_key(|home| home.address);
        self.members = homes;
    }

    /// This process, which its gateways are to know as well, unless it leaves.
    fn own_home(&self) -> Option<CoreMember> {
        let home = CoreMember { address: self.parts.address, zone: self.parts.zone.clone() };
        self.leaving_since.is_none().then_some(home)
    }

    // Calls of the operator and of backends.

    fn call(&mut self, call: Call) {
        let now = self.now();
        match call {
            Call::Put { if_match, body, reply } => self.put(if_match, &body, reply),
            Call::Get { reply } => {
                self.operator.begin_read(now, reply);
                self.operator.settle_reads(now, &self.parts.replica);
            }
            Call::Heartbeat { id, heartbeat, reply } => {
                let draining = heartbeat.state == HeartbeatState::Draining;
                let heard = self.parts.registry.heartbeat(now, &id, heartbeat);
                self.heard(&id, heard, draining, reply);
            }
            Call::Leave { id, reply } => {
                let heard = self.parts.registry.leave(now, &id);
                self.heard(&id, heard, true, reply);
            }
            Call::Status { reply } => {
                let _gone = reply.send(self.status());
            }
        }
    }

    fn put(&mut self, if_match: u64, body: &[u8], reply: oneshot::Sender<PutAnswer>) {
        let generation = match check(body) {
            Ok(generation) => generation,
            Err(wrong) => {
                let _gone = reply.send(PutAnswer::Invalid(wrong.to_string()));
                return;
            }
        };
        let Some(key) = self.operator.begin_order(self.now(), &self.parts.replica, reply) else { return };
        let order = order(if_match, generation, body);
        self.replica(Input::Submit { key, order: order.into() });
    }

    /// Spreads what a backend said. One that drains or leaves is acknowledged once a majority of the members has the
    /// word, any other one at once. Whatever a process says that reaches no majority, it does not acknowledge: the
    /// backend goes to another one.
    fn heard(
        &mut self, id: &str, heard: Result<Heard, HeartbeatError>, ending: bool,
        reply: oneshot::Sender<HeartbeatAnswer>,
    ) {
        let heard = match heard {
            Ok(heard) => heard,
            Err(wrong) => {
                let _gone = reply.send(HeartbeatAnswer::Refused(wrong));
                return;
            }
        };
        if ending {
            self.spread_ending(id, heard.announcement, reply);
        } else {
            let contact = reaches_majority(&self.parts.replica);
            let _gone = reply.send(if contact {
                HeartbeatAnswer::Acknowledged
            } else {
                HeartbeatAnswer::Unconfirmed
            });
            self.flood(0, heard.announcement);
        }
        if heard.changed {
            self.push();
        }
    }

    /// Spreads the word of a backend that drains or leaves, also where it is not news here: an earlier copy may not
    /// have reached a majority.
    fn spread_ending(
        &mut self, id: &str, news: Option<Announcement>, reply: oneshot::Sender<HeartbeatAnswer>,
    ) {
        let now = self.now();
        let replica = &self.parts.replica;
        let quorum = Quorum::of(replica.view(), replica.id()).filter(|_| reaches_majority(replica));
        let announcement = news.or_else(|| self.parts.registry.announcement_of(now, id));
        let (Some(quorum), Some(word)) = (quorum, announcement.clone()) else {
            let _gone = reply.send(HeartbeatAnswer::Unconfirmed);
            self.flood(0, announcement);
            return;
        };
        let number = self.floods.begin(now, quorum, self.peers.up(), word, reply);
        self.flood(number, announcement);
        self.settle_floods();
    }

    /// Ends the waits of backends that are over.
    fn settle_floods(&mut self) {
        let now = self.now();
        if !reaches_majority(&self.parts.replica) {
            self.floods.give_up_all();
        }
        for relay in self.floods.tick(now) {
            self.relay(&relay);
        }
    }

    /// Has those that hold an announcement pass it on.
    fn relay(&mut self, relay: &Relay) {
        let packet =
            PeerPacket::Relay { to: relay.to.clone(), announcements: vec![relay.announcement.clone()] };
        for peer in &relay.via {
            self.links.send(*peer, &packet);
        }
    }

    fn flood(&mut self, number: u64, announcement: Option<Announcement>) {
        let Some(announcement) = announcement else { return };
        let packet = PeerPacket::Announce { number, announcements: vec![announcement] };
        for peer in self.peers.up().collect::<Vec<_>>() {
            self.links.send(peer, &packet);
        }
    }

    // Peers.

    fn peer(&mut self, from: SocketAddr, packet: PeerPacket) {
        let now = self.now();
        match packet {
            PeerPacket::Replica(message) => self.replica(Input::Message(message)),
            PeerPacket::Announce { number, announcements } => self.announced(from, number, &announcements),
            PeerPacket::Relay { to, announcements } => self.pass_on(&to, &announcements),
            PeerPacket::Announced { number } => {
                if let Some(relay) = self.floods.answered(now, number, from) {
                    self.relay(&relay);
                }
            }
            PeerPacket::Presence { process, zone, peers, recall } => {
                self.peers.mentioned(now, &peers);
                self.presence(from, process, zone, recall);
            }
            PeerPacket::Digest(digest) => {
                let announcements = self.parts.registry.answer_digest(now, &digest);
                self.tell_all(from, announcements);
            }
            PeerPacket::Demands { number, home, epoch, demands } => {
                let others: Vec<ProcessId> = self.peers.processes().collect();
                let fresh = self.parts.replica.freshness(now);
                let grants = self.parts.quotas.own(now, home, epoch, demands, fresh, &others);
                if !grants.is_empty() {
                    self.links.send(from, &PeerPacket::Grants { number, grants });
                }
            }
            PeerPacket::Grants { number, grants } => self.granted(number, grants),
        }
    }

    fn announced(&mut self, from: SocketAddr, number: u64, announcements: &[Announcement]) {
        let now = self.now();
        for announcement in announcements {
            let corrections = self.parts.registry.merge(now, announcement);
            self.flood(0, corrections);
            self.parts.gateways.merge(now, announcement);
        }
        if number > 0 {
            self.links.send(from, &PeerPacket::Announced { number });
        }
        self.push();
    }

    /// Tells peers what another one can't tell them: members and those within reach alone.
    fn pass_on(&mut self, to: &[SocketAddr], announcements: &[Announcement]) {
        let known: BTreeSet<SocketAddr> =
            self.members.iter().map(|member| member.address).chain(self.peers.up()).collect();
        let own = self.parts.address;
        for peer in to.iter().filter(|peer| known.contains(peer) && **peer != own) {
            self.tell_all(*peer, announcements.to_vec());
        }
    }

    fn presence(&mut self, from: SocketAddr, process: ProcessId, zone: String, recall: bool) {
        let now = self.now();
        let changes = self.peers.heard(now, from, process, zone);
        let came = changes.iter().any(|change| matches!(change, PeerChange::Up(..)));
        self.peers_changed(changes);
        if recall || came {
            let whole = self.parts.registry.whole(now);
            self.tell_all(from, whole);
            let whole = self.parts.gateways.whole();
            self.tell_all(from, whole);
        }
    }

    fn tell_all(&mut self, to: SocketAddr, announcements: Vec<Announcement>) {
        if !announcements.is_empty() {
            self.links.send(to, &PeerPacket::Announce { number: 0, announcements });
        }
    }

    fn peers_changed(&mut self, changes: Vec<PeerChange>) {
        let now = self.now();
        if !changes.is_empty() {
            self.note_homes();
        }
        for change in changes {
            match change {
                PeerChange::Up(address, process) => {
                    info!(self.parts.log, "peer up"; "address" => %address);
                    self.parts.registry.peer_up(now, process);
                    self.parts.gateways.peer_up(now, process);
                }
                PeerChange::Down(process) => {
                    info!(self.parts.log, "peer down"; "process" => process.0);
                    self.parts.registry.peer_down(now, process);
                    self.parts.gateways.peer_down(now, process);
                }
            }
        }
    }

    // Gateways.

    fn reported(&mut self, session: SessionId, mut report: Report) {
        let now = self.now();
        let Some(open) = self.sessions.get(session) else { return };
        let (holder, id) = (open.holder(), open.id());
        let (node, zone) = (open.gateway.node.clone(), open.gateway.zone.clone());
        let renewed = self.parts.gateways.renew(now, id, &node, &zone, report.number);
        self.flood(0, renewed);
        let grants = self.parts.quotas.report(now, holder, std::mem::take(&mut report.demands));
        self.with_sessions(|sessions, standing| sessions.answer(session, &report, grants, standing));
        self.look_after_quotas();
    }

    /// Lends on what has come in, and asks owners at once for what gateways still need.
    fn look_after_quotas(&mut self) {
        let now = self.now();
        let settled = self.parts.quotas.settle(now);
        self.lend(settled);
        let urgent = self.parts.quotas.urgent_demands(now);
        self.ask_owners(urgent);
    }

    fn granted(&mut self, number: u64, grants: Vec<TenantGrant>) {
        let now = self.now();
        let settled = self.parts.quotas.granted(now, number, grants);
        self.lend(settled);
    }

    fn lend(&mut self, settled: Vec<(HolderId, TenantGrant)>) {
        for (holder, grant) in settled {
            self.with_sessions(|sessions, standing| sessions.grant(holder, vec![grant], standing));
        }
    }

    fn push(&mut self) {
        self.with_sessions(Sessions::push);
    }

    fn with_sessions(&mut self, act: impl FnOnce(&mut Sessions, &Standing<'_>)) {
        let now = self.now();
        let freshness = self.parts.replica.freshness(now);
        let standing = Standing {
            now,
            freshness_ms: freshness.map(|age| age.as_millis() as u32),
            current: self.current.as_ref(),
            registry: &self.parts.registry,
            members: &self.members,
            gateways: self.parts.gateways.total(now),
        };
        act(&mut self.sessions, &standing);
    }

    // Time.

    fn tick(&mut self) {
        self.ticks += 1;
        self.replica(Input::Tick);
        self.operator.settle_orders(self.now(), &self.parts.replica);
        self.settle_floods();
        self.look_after_quotas();
        if self.ticks.is_multiple_of(SLOW_TICKS) {
            self.slow_tick(self.ticks / SLOW_TICKS);
        }
    }

    fn slow_tick(&mut self, turn: u64) {
        let now = self.now();
        let isolated = self.parts.replica.freshness(now).is_none_or(|age| age > ISOLATED);
        self.parts.registry.set_isolated(now, isolated);
        self.parts.gateways.set_isolated(now, isolated);
        let changes = self.peers.tick(now);
        self.peers_changed(changes);
        let silent = self.parts.registry.tick(now);
        let changed = silent.is_some();
        self.flood(0, silent);
        let ended = self.parts.gateways.tick(now);
        self.flood(0, ended);
        if changed {
            self.push();
        }
        let demands = self.parts.quotas.demands(now);
        self.ask_owners(demands);
        if turn.is_multiple_of(PRESENCE) {
            self.say_present();
        }
        if turn.is_multiple_of(DIGEST) {
            self.send_digest();
        }
    }

    fn ask_owners(&mut self, asked: Vec<DemandsToSend>) {
        let now = self.now();
        for DemandsToSend { to, number, epoch, demands } in asked {
            let home = self.parts.process;
            if to == self.parts.address {
                let others: Vec<ProcessId> = self.peers.processes().collect();
                let fresh = self.parts.replica.freshness(now);
                let grants = self.parts.quotas.own(now, home, epoch, demands, fresh, &others);
                self.granted(number, grants);
            } else {
                self.links.send(to, &PeerPacket::Demands { number, home, epoch, demands });
            }
        }
    }

    fn say_present(&mut self) {
        let own = self.parts.address;
        let mut others: Vec<SocketAddr> = self.members.iter().map(|member| member.address).collect();
        others.extend(self.peers.up());
        others.extend(self.peers.mentions());
        others.extend(self.parts.seeds.iter().copied());
        others.sort();
        others.dedup();
        let recall = self.ticks <= SLOW_TICKS * PRESENCE;
        let (process, zone) = (self.parts.process, self.parts.zone.clone());
        let packet = PeerPacket::Presence { process, zone, peers: self.peers.up().collect(), recall };
        for other in others.into_iter().filter(|other| *other != own) {
            self.links.send(other, &packet);
        }
    }

    fn send_digest(&mut self) {
        let peers: Vec<SocketAddr> = self.peers.up().collect();
        if peers.is_empty() {
            return;
        }
        self.digest_turn += 1;
        let digest = self.parts.registry.digest();
        self.links.send(peers[self.digest_turn % peers.len()], &PeerPacket::Digest(digest));
    }

    fn status(&self) -> String {
        crate::status::describe(&crate::status::Facts {
            now: self.now(),
            address: self.parts.address,
            zone: &self.parts.zone,
            replica: &self.parts.replica,
            registry: &self.parts.registry,
            generation: self.current.as_ref().map(|current| current.mark.generation),
            gateways: self.sessions.gateways().map(|gateway| gateway.node.clone()).collect(),
            fleet_gateways: self.parts.gateways.total(self.now()).count,
            tenants_owned: self.parts.quotas.owned(),
            peers_up: self.peers.up().count(),
        })
    }
}

/// The version of a configuration that is valid by itself.
fn check(body: &[u8]) -> Result<u64, ConfigurationError> {
    crankpick_configuration::read(body).map(|configuration| configuration.generation)
}

/// The order of a configuration. A copy of it that is encoded in another way is the same order.
fn order(if_match: u64, generation: u64, body: &[u8]) -> Order {
    let order = Order::new(if_match, generation, body.to_vec());
    match crankpick_configuration::fingerprint(body) {
        Some(digest) => Order { digest, ..order },
        None => order,
    }
}
