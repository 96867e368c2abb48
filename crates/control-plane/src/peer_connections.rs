//! Outgoing connections to the other control-plane processes.
//!
//! Each direction uses separate connections, opened by the sender: one for small and one for large messages, so that
//! heartbeats aren't delayed behind a configuration on a slow link, and one for the departures of backends, which earlier
//! builds refuse. Messages may be lost with a connection; senders retry
//! what must arrive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use crankpick_protocol::{dial, encode, Caller, DialOptions, FrameWriter, Handshake, ProtocolError};
use fastrand::Rng;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::{sleep, timeout};

use crate::event::PeerMessage;
use crate::random_ids::random_id;

/// Frames above this size, in bytes, use the connection for large messages.
const LARGE_FRAME_BYTES: usize = 16 << 10;
/// The capacity of a connection's send queue; if it overflows, the connection is closed and the queued frames are dropped.
const MAX_QUEUED_FRAMES: usize = 512;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The timeout for writing a small frame. Each byte adds a microsecond, as on the slowest supported link.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay before reconnecting, drawn at random. Each process has one sender per peer, so a peer sees one attempt per
/// 60 ms on average from each of the few other processes of the control plane.
const RECONNECT_DELAY_MS: std::ops::Range<u64> = 40..80;
/// A connection without messages for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The connections of this process to its peers, opened when first used.
pub struct PeerConnections {
    local_address: SocketAddr,
    dial_options: DialOptions,
    open: BTreeMap<(SocketAddr, Lane), Sender<Bytes>>,
}

/// One of the connections to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lane {
    Small,
    Large,
    Departures,
}

impl Lane {
    /// The connection for a message whose frame has this length in bytes.
    fn of(message: &PeerMessage, frame_bytes: usize) -> Lane {
        match message {
            PeerMessage::DepartureQuery | PeerMessage::DepartureReport { .. } => Lane::Departures,
            _ if frame_bytes > LARGE_FRAME_BYTES => Lane::Large,
            _ => Lane::Small,
        }
    }

    /// How the sender at this address introduces itself.
    fn caller(self, address: SocketAddr) -> Caller {
        match self {
            Lane::Small | Lane::Large => Caller::Peer { address },
            Lane::Departures => Caller::DepartureReader { address },
        }
    }
}

impl PeerConnections {
    /// Opens no connections yet. `local_address` is the address on which peers reach this process.
    pub fn new(local_address: SocketAddr) -> Self {
        let from = match local_address.ip() {
            std::net::IpAddr::V4(ip) => ip,
            std::net::IpAddr::V6(_) => std::net::Ipv4Addr::UNSPECIFIED,
        };
        let dial_options = DialOptions { from, connect_timeout: CONNECT_TIMEOUT, user_timeout: USER_TIMEOUT };
        PeerConnections { local_address, dial_options, open: BTreeMap::new() }
    }

    /// Queues a message. It is lost if the connection fails or the peer reads too slowly.
    pub fn send(&mut self, to: SocketAddr, message: &PeerMessage) {
        let Ok(frame) = encode(message) else { return };
        let lane = Lane::of(message, frame.len());
        let caller = lane.caller(self.local_address);
        let connection = self
            .open
            .entry((to, lane))
            .or_insert_with(|| open_connection(caller.clone(), to, self.dial_options));
        if connection.try_send(frame.clone()).is_ok() {
            return;
        }
        // Closed or full: replace the connection, starting with the newest message.
        let connection = open_connection(caller, to, self.dial_options);
        let _lost = connection.try_send(frame);
        self.open.insert((to, lane), connection);
    }
}

fn open_connection(caller: Caller, to: SocketAddr, dial_options: DialOptions) -> Sender<Bytes> {
    let (sender, queue) = channel(MAX_QUEUED_FRAMES);
    tokio::spawn(run_connection(caller, to, dial_options, queue));
    sender
}

async fn run_connection(
    caller: Caller,
    to: SocketAddr,
    dial_options: DialOptions,
    mut queue: Receiver<Bytes>,
) {
    let mut rng = Rng::with_seed(random_id());
    while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, queue.recv()).await {
        let finished = send_all(&caller, to, dial_options, first, &mut queue).await;
        if finished.is_ok() {
            return;
        }
        sleep(Duration::from_millis(rng.u64(RECONNECT_DELAY_MS))).await;
        // Messages queued for the failed connection are stale.
        while queue.try_recv().is_ok() {}
    }
}

/// Sends frames until the connection is idle or all senders are gone.
///
/// # Errors
///
/// If the connection can't be opened or a write fails or times out.
async fn send_all(
    caller: &Caller,
    to: SocketAddr,
    dial_options: DialOptions,
    first: Bytes,
    queue: &mut Receiver<Bytes>,
) -> Result<(), ProtocolError> {
    let stream = dial(to, dial_options).await?;
    let mut writer = FrameWriter::new(stream);
    writer.send(&Handshake::new(caller.clone())).await?;
    let mut frame = first;
    loop {
        let write_timeout = WRITE_TIMEOUT + Duration::from_micros(frame.len() as u64);
        let sent = timeout(write_timeout, writer.send_frame(&frame)).await;
        sent.map_err(|_| ProtocolError::TimedOut)??;
        frame = match timeout(IDLE_TIMEOUT, queue.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) | Err(_) => return Ok(()),
        };
    }
}
