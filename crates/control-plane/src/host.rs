//! The one owner of all state of a process of the control plane: takes events in order, and carries out what follows.

mod calls;
mod gateways;
mod peers;
mod replication;
mod timers;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crankpick_control::{Input, Now, Outputs, Replica};
use crankpick_protocol::CoreMember;
use crankpick_registry::{GatewayLeases, ProcessId, Registry};
use slog::{info, Logger};
use tokio::sync::mpsc::Receiver;
use tokio::time::{interval, MissedTickBehavior};

use crate::disk::Disk;
use crate::event::Event;
use crate::floods::Floods;
use crate::links::Links;
use crate::operator::Operator;
use crate::peers::Peers;
use crate::quotas::Quotas;
use crate::resilience::Resilience;
use crate::sessions::{Current, Sessions};

/// Between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Ticks between looks at silence, presence and demands.
const SLOW_TICKS: u64 = 5;
/// Slow ticks between words of presence.
const PRESENCE: u64 = 2;

/// The longest that a process which leaves waits for the others to go on without it.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

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
    resilience: Resilience,
    operator: Operator,
    sessions: Sessions,
    /// The voters and all others that gateways may have for their home.
    homes: Vec<CoreMember>,
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
        let resilience = Resilience::new(parts.replica.options().tolerate_nodes);
        Host {
            started,
            parts,
            links,
            peers: Peers::default(),
            floods: Floods::default(),
            resilience,
            operator: Operator::default(),
            sessions: Sessions::default(),
            homes: Vec::new(),
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
            Event::Seeds(seeds) => {
                self.parts.seeds.clone_from(&seeds);
                self.replica(Input::SeedsChanged(seeds));
            }
            Event::Terminate => self.leave(),
        }
        self.drive_patches();
    }

    /// Says that this process leaves. It serves on until the others have taken over what it holds.
    fn leave(&mut self) {
        info!(self.parts.log, "leaving");
        self.leaving_since.get_or_insert(self.started.elapsed());
        self.replica(Input::Shutdown);
    }

    /// Whether this process leaves and the core goes on without it, or time is up.
    fn may_end(&self) -> bool {
        let Some(since) = self.leaving_since else { return false };
        self.parts.replica.has_left() || self.now() >= since + LEAVE_LIMIT
    }

    /// Lets the last messages go out.
    async fn end(self) {
        let handed_over = self.parts.replica.has_left();
        info!(self.parts.log, "left"; "handed_over" => handed_over);
        tokio::time::sleep(2 * TICK).await;
    }
}
