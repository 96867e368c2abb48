//! A connection to a control-plane process: the queue of outgoing reports, and the received updates.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_protocol::{
    dial, Caller, DialOptions, FrameReader, FrameWriter, GatewayIdentity, GatewayReport, Handshake,
    HomeUpdate, ProtocolError,
};
use crankpick_registry::Now;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::timeout;

/// A home answers each report; one that sends nothing for this long is considered dead.
const HOME_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The capacity of the report queue.
pub(super) const MAX_QUEUED_REPORTS: usize = 8;
/// The maximum number of updates kept from a home that isn't followed yet.
const MAX_DEFERRED_UPDATES: usize = 16;
/// The maximum number of tracked unanswered reports.
const MAX_UNANSWERED_REPORTS: usize = 64;

/// An event from a connection's task to the link.
pub(super) enum Event {
    /// The home at this address has sent an update.
    Update(SocketAddr, HomeUpdate),
    /// The connection to this address has ended.
    Closed(SocketAddr),
}

/// The link's handle to a connection. The connection's task ends when the handle is dropped.
pub(super) struct Connection {
    reports: Sender<GatewayReport>,
    unanswered: VecDeque<SentReport>,
    /// When the last report was queued.
    pub last_report_at: Option<Now>,
    /// When the home's configuration was last known to be the newest, according to its last answer. `None` if the home
    /// doesn't know, or if it was before this process started.
    pub newest_as_of: Option<Now>,
    deferred: VecDeque<HomeUpdate>,
}

struct SentReport {
    number: u64,
    at: Now,
}

impl Connection {
    pub fn new(reports: Sender<GatewayReport>) -> Self {
        Connection {
            reports,
            unanswered: VecDeque::new(),
            last_report_at: None,
            newest_as_of: None,
            deferred: VecDeque::new(),
        }
    }

    /// Queues a report. It is dropped if the queue is full, since the next report contains the same information.
    pub fn send(&mut self, now: Now, report: GatewayReport) {
        let number = report.number;
        if self.reports.try_send(report).is_err() {
            return;
        }
        self.unanswered.push_back(SentReport { number, at: now });
        self.last_report_at = Some(now);
        if self.unanswered.len() > MAX_UNANSWERED_REPORTS {
            self.unanswered.pop_front();
        }
    }

    /// When the report with this number was sent. Stops tracking it and older ones.
    pub fn take_sent_at(&mut self, number: u64) -> Option<Now> {
        while self.unanswered.front().is_some_and(|oldest| oldest.number <= number) {
            let oldest = self.unanswered.pop_front()?;
            if oldest.number == number {
                return Some(oldest.at);
            }
        }
        None
    }

    /// Keeps an update until the home is followed. Returns false if there is no room for it. The connection must then be
    /// closed, because the home doesn't send updates twice.
    pub fn defer(&mut self, update: HomeUpdate) -> bool {
        let has_room = self.deferred.len() < MAX_DEFERRED_UPDATES;
        if has_room {
            self.deferred.push_back(update);
        }
        has_room
    }

    /// Returns the updates received before the home was followed, in order.
    pub fn take_deferred(&mut self) -> VecDeque<HomeUpdate> {
        std::mem::take(&mut self.deferred)
    }
}

/// Connects to a home, then sends reports and receives updates until either side closes the connection or the home times
/// out.
pub(super) async fn run(
    home: SocketAddr,
    identity: GatewayIdentity,
    options: DialOptions,
    reports: Receiver<GatewayReport>,
    events: &Sender<Event>,
) -> Result<(), ProtocolError> {
    let (read, write) = dial(home, options).await?.into_split();
    let mut writer = FrameWriter::new(write);
    writer.send(&Handshake::new(Caller::Gateway(identity))).await?;
    tokio::select! {
        received = receive_updates(home, FrameReader::new(read), events) => received,
        sent = send_reports(writer, reports) => sent,
    }
}

async fn receive_updates<R: AsyncRead + Unpin>(
    home: SocketAddr,
    mut reader: FrameReader<R>,
    events: &Sender<Event>,
) -> Result<(), ProtocolError> {
    loop {
        let Ok(received) = timeout(HOME_TIMEOUT, reader.next::<HomeUpdate>()).await else {
            return Err(ProtocolError::TimedOut);
        };
        let Some(update) = received? else { return Ok(()) };
        if events.send(Event::Update(home, update)).await.is_err() {
            return Ok(());
        }
    }
}

async fn send_reports<W: AsyncWrite + Unpin>(
    mut writer: FrameWriter<W>,
    mut reports: Receiver<GatewayReport>,
) -> Result<(), ProtocolError> {
    while let Some(report) = reports.recv().await {
        writer.send(&report).await?;
    }
    Ok(())
}
