//! The task that owns a member's state: handles events sequentially and performs the resulting actions.

mod api_requests;
mod departures;
mod gateways;
mod peer_messages;
mod replication;
mod timers;

pub(crate) use self::replication::{DISK_FAILING_CODE, REWRITE_FAILING_CODE};

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crankpick_control::{Input, Now, Outputs, Replica};
use crankpick_protocol::ControlPlaneMember;
use crankpick_registry::{GatewayLeases, ProcessId, Registry};
use slog::{info, Logger};
use tokio::sync::mpsc::Receiver;
use tokio::time::{interval, MissedTickBehavior};

use crate::departure_record::{DepartureRecord, StoredDepartures};
use crate::departure_store::DepartureStore;
use crate::departure_sync::DepartureSync;
use crate::disk::Disk;
use crate::event::Event;
use crate::fault_tolerance::ToleranceMonitor;
use crate::log_rewriting::LogRewriting;
use crate::operator_requests::OperatorRequests;
use crate::peer_connections::PeerConnections;
use crate::peers::Peers;
use crate::pending_announcements::PendingAnnouncements;
use crate::quotas::Quotas;
use crate::sessions::{CurrentConfiguration, Sessions};

/// The interval of the timer.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The number of ticks between two rounds of peer and backend timeouts and periodic quota demands.
const TICKS_PER_SLOW_TICK: u64 = 5;
/// The number of slow ticks between two presence messages.
const SLOW_TICKS_PER_PRESENCE: u64 = 2;

/// The timeout of a graceful shutdown, which waits for the other members to replace this one.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// The components of a host.
pub struct HostComponents {
    /// The incarnation of this process.
    pub process: ProcessId,
    /// The address on which peers and gateways reach this process.
    pub address: SocketAddr,
    /// The zone of this process.
    pub zone: String,
    /// The replica, restored from disk.
    pub replica: Replica,
    /// The outputs of restoring the replica, not yet performed.
    pub outputs: Outputs,
    /// The disk; `None` if the state is kept in memory only.
    pub disk: Option<Disk>,
    /// The disk of the departures of backends; `None` if they are kept in memory only.
    pub departure_disk: Option<Disk<DepartureRecord>>,
    /// The departures restored from disk.
    pub stored_departures: StoredDepartures,
    /// The interval of the backends' heartbeats.
    pub heartbeat: Duration,
    /// The registry of backends.
    pub registry: Registry,
    /// The leases of gateways.
    pub gateways: GatewayLeases,
    /// The quotas of tenants.
    pub quotas: Quotas,
    /// The internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// The logger.
    pub log: Logger,
}

/// The owner of a member's state.
pub struct Host {
    started: Instant,
    components: HostComponents,
    connections: PeerConnections,
    peers: Peers,
    pending_announcements: PendingAnnouncements,
    departure_store: DepartureStore,
    departure_sync: DepartureSync,
    tolerance: ToleranceMonitor,
    operator_requests: OperatorRequests,
    sessions: Sessions,
    /// The processes that gateways may connect to as their home: voters and all peers that are up.
    homes: Vec<ControlPlaneMember>,
    leaving_since: Option<Now>,
    current: Option<CurrentConfiguration>,
    log_rewriting: LogRewriting,
    /// Whether the last write to the disk failed.
    disk_failing: bool,
    /// Whether the last write of departures failed.
    departure_disk_failing: bool,
    ticks: u64,
    digest_turn: usize,
}

impl Host {
    /// Creates a host that measures time from `started`.
    pub fn new(mut components: HostComponents, started: Instant) -> Self {
        let departure_sync = restore_departures(&mut components, started.elapsed());
        let connections = PeerConnections::new(components.address);
        let tolerance = ToleranceMonitor::new(components.replica.options().tolerate_nodes);
        let departure_store = DepartureStore::new(components.departure_disk.is_some());
        Host {
            started,
            components,
            connections,
            peers: Peers::default(),
            pending_announcements: PendingAnnouncements::default(),
            departure_store,
            departure_sync,
            tolerance,
            operator_requests: OperatorRequests::default(),
            sessions: Sessions::default(),
            homes: Vec::new(),
            leaving_since: None,
            current: None,
            log_rewriting: LogRewriting::default(),
            disk_failing: false,
            departure_disk_failing: false,
            ticks: 0,
            digest_turn: 0,
        }
    }

    /// Handles events until a graceful shutdown is complete, or all senders are dropped.
    pub async fn run(mut self, mut events: Receiver<Event>) {
        let outputs = std::mem::take(&mut self.components.outputs);
        self.perform_outputs(outputs);
        self.departures_view_changed();
        if let Some(entry) = self.components.replica.newest_committed().cloned() {
            self.apply_committed(&entry);
        }
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
            if self.is_shutdown_complete() {
                return self.finish_shutdown().await;
            }
        }
    }

    fn now(&self) -> Now {
        self.started.elapsed()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ApiRequest(request) => self.handle_api_request(request),
            Event::PeerMessage { from, message } => self.handle_peer_message(from, message),
            Event::GatewayConnected { session, gateway, updates } => {
                self.sessions.connected(session, gateway, updates)
            }
            Event::GatewayReported { session, report } => self.handle_report(session, report),
            Event::GatewayDisconnected { session } => self.sessions.disconnected(session),
            Event::WriteFinished(result) => self.handle_write_result(result),
            Event::DepartureWriteFinished(result) => self.handle_departure_write_result(result),
            Event::SeedsChanged(seeds) => {
                self.components.seeds.clone_from(&seeds);
                self.drive_replica(Input::SeedsChanged(seeds));
            }
            Event::Terminate => self.begin_shutdown(),
        }
        self.drive_patches();
    }

    /// Starts a graceful shutdown. The process keeps serving until the other members have replaced it.
    fn begin_shutdown(&mut self) {
        info!(self.components.log, "leaving");
        self.leaving_since.get_or_insert(self.started.elapsed());
        self.drive_replica(Input::Shutdown);
    }

    /// Whether the other members have replaced this process, or the shutdown has timed out.
    fn is_shutdown_complete(&self) -> bool {
        let Some(since) = self.leaving_since else { return false };
        self.components.replica.has_left() || self.now() >= since + SHUTDOWN_TIMEOUT
    }

    /// Answers the pending requests, and waits for the last messages to be sent.
    async fn finish_shutdown(mut self) {
        self.operator_requests.fail_all();
        let handed_over = self.components.replica.has_left();
        info!(self.components.log, "left"; "handed_over" => handed_over);
        tokio::time::sleep(2 * TICK_INTERVAL).await;
    }
}

/// Restores the departures from disk into the registry. Returns whether others must be read before it is complete.
fn restore_departures(components: &mut HostComponents, now: Now) -> DepartureSync {
    let options = components.replica.options();
    let mut sync = DepartureSync::new(
        components.replica.id(),
        options.tolerate_nodes,
        components.heartbeat,
        options.bootstrap,
    );
    let stored = std::mem::take(&mut components.stored_departures);
    sync.restore(components.replica.view(), stored.complete_epoch);
    components.registry.merge_departures(now, &stored.departures);
    // They are on disk already.
    drop(components.registry.take_departures());
    if !sync.is_informed() {
        components.registry.require_departures();
    }
    sync
}
