//! Connections to the other processes of the control plane: one each way, opened by who sends, and another one for large
//! messages, so that heartbeats don't wait behind a configuration on a slow link. Messages may be lost with a connection;
//! what must arrive is said again by who said it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use crankpick_protocol::{dial, encode, Caller, DialOptions, FrameWriter, Handshake, ProtocolError};
use fastrand::Rng;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::{sleep, timeout};

use crate::entropy;
use crate::event::PeerPacket;

/// Frames above this size go over the connection for large ones.
const LARGE_FRAME: usize = 16 << 10;
/// Frames that wait for a peer; the connection of one that takes none is closed and they go with it.
const QUEUE: usize = 512;
const CONNECT: Duration = Duration::from_millis(500);
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// For a small frame to be taken by the system; a byte takes a microsecond on the slowest link that is reckoned with.
const WRITE: Duration = Duration::from_millis(1_500);
/// Before a connection is tried again: each peer has one caller for each other, so the sum is one call in 60 ms from
/// each of the few other processes of the control plane.
const AGAIN_MS: std::ops::Range<u64> = 40..80;
/// After which a link that has nothing to say is closed.
const IDLE: Duration = Duration::from_secs(20);

/// All links of this process.
pub struct Links {
    own: SocketAddr,
    options: DialOptions,
    open: BTreeMap<(SocketAddr, Lane), Sender<Bytes>>,
}

/// Which of the two connections to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lane {
    Small,
    Large,
}

impl Links {
    /// `own` is where peers reach this process.
    pub fn new(own: SocketAddr) -> Self {
        let from = match own.ip() {
            std::net::IpAddr::V4(ip) => ip,
            std::net::IpAddr::V6(_) => std::net::Ipv4Addr::UNSPECIFIED,
        };
        let options = DialOptions { from, within: CONNECT, user_timeout: USER_TIMEOUT };
        Links { own, options, open: BTreeMap::new() }
    }

    /// Sends a message, or loses it.
    pub fn send(&mut self, to: SocketAddr, packet: &PeerPacket) {
        let Ok(frame) = encode(packet) else { return };
        let lane = if frame.len() > LARGE_FRAME { Lane::Large } else { Lane::Small };
        let link = self.open.entry((to, lane)).or_insert_with(|| open_link(self.own, to, self.options));
        if link.try_send(frame.clone()).is_ok() {
            return;
        }
        // Closed, or full: begun anew, with the newest word first.
        let link = open_link(self.own, to, self.options);
        let _lost = link.try_send(frame);
        self.open.insert((to, lane), link);
    }
}

fn open_link(own: SocketAddr, to: SocketAddr, options: DialOptions) -> Sender<Bytes> {
    let (sender, queue) = channel(QUEUE);
    tokio::spawn(run_link(own, to, options, queue));
    sender
}

async fn run_link(own: SocketAddr, to: SocketAddr, options: DialOptions, mut queue: Receiver<Bytes>) {
    let mut rng = Rng::with_seed(entropy::draw());
    while let Ok(Some(first)) = timeout(IDLE, queue.recv()).await {
        let broken = send_all(own, to, options, first, &mut queue).await;
        if broken.is_ok() {
            return;
        }
        sleep(Duration::from_millis(rng.u64(AGAIN_MS))).await;
        // What was meant for a connection that is gone is old by now.
        while queue.try_recv().is_ok() {}
    }
}

/// Sends until the connection breaks, or until nothing more is to be sent.
async fn send_all(
    own: SocketAddr,
    to: SocketAddr,
    options: DialOptions,
    first: Bytes,
    queue: &mut Receiver<Bytes>,
) -> Result<(), ProtocolError> {
    let stream = dial(to, options).await?;
    let mut writer = FrameWriter::new(stream);
    writer.send(&Handshake::new(Caller::Peer { address: own })).await?;
    let mut frame = first;
    loop {
        let within = WRITE + Duration::from_micros(frame.len() as u64);
        match timeout(within, writer.send_frame(&frame)).await {
            Ok(sent) => sent?,
            Err(_) => return Err(ProtocolError::Stalled),
        }
        frame = match timeout(IDLE, queue.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) | Err(_) => return Ok(()),
        };
    }
}
