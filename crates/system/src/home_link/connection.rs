//! One connection to a control-plane process: the queue of reports towards it, and the updates that come back.

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

/// A home answers each report: one that sends nothing for so long is taken for gone.
const HOME_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Reports that may wait for a home that doesn't read.
pub(super) const MAX_QUEUED_REPORTS: usize = 8;
/// Updates kept of a home that isn't followed yet.
const MAX_DEFERRED_UPDATES: usize = 16;
/// Reports whose answers may still come.
const MAX_UNANSWERED_REPORTS: usize = 64;

/// What a connection's task tells the link.
pub(super) enum Event {
    /// The home at this address has sent an update.
    Update(SocketAddr, HomeUpdate),
    /// The connection to this address has ended.
    Closed(SocketAddr),
}

/// The link's side of a connection; its task ends once this is dropped.
pub(super) struct Connection {
    reports: Sender<GatewayReport>,
    unanswered: VecDeque<SentReport>,
    /// When the last report was handed to the connection.
    pub last_report_at: Option<Now>,
    /// When the home's configuration was the newest, by its last answer; none where it can't tell, or where that
    /// was before this process began.
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

    /// Queues a report. One that finds the queue full is dropped: the next says all that it said.
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

    /// When the report of that number was sent. It and older ones are forgotten.
    pub fn take_sent_at(&mut self, number: u64) -> Option<Now> {
        while self.unanswered.front().is_some_and(|oldest| oldest.number <= number) {
            let oldest = self.unanswered.pop_front()?;
            if oldest.number == number {
                return Some(oldest.at);
            }
        }
        None
    }

    /// Keeps an update until the home is followed. False if there is no room for it: the home sends nothing twice, so
    /// the connection is of no use any more.
    pub fn defer(&mut self, update: HomeUpdate) -> bool {
        let has_room = self.deferred.len() < MAX_DEFERRED_UPDATES;
        if has_room {
            self.deferred.push_back(update);
        }
        has_room
    }

    /// The updates that came before the home was followed, in the order in which they came.
    pub fn take_deferred(&mut self) -> VecDeque<HomeUpdate> {
        std::mem::take(&mut self.deferred)
    }
}

/// Dials a home, then carries reports to it and its updates back until either side ends or falls silent.
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
