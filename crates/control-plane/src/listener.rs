//! Accepts connections from the other processes of the fleet: peers, gateways and observers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crankpick_protocol::{
    accept_options, Caller, FrameReader, FrameWriter, GatewayIdentity, GatewayReport, Handshake, HomeUpdate,
    ProtocolError, PROTOCOL_VERSION,
};
use slog::{debug, Logger};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::event::{Event, PeerMessage, SessionId};

/// The maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 2_000;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection without a report for this long is closed; gateways report several times a second.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// The capacity of a gateway's update queue; if it overflows, the connection is closed and the gateway reconnects.
const MAX_QUEUED_UPDATES: usize = 16;
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the process ends.
pub async fn listen(listener: TcpListener, events: Sender<Event>, log: Logger) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let sessions = Arc::new(AtomicU64::new(1));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (events, log, sessions) = (events.clone(), log.clone(), Arc::clone(&sessions));
        tokio::spawn(async move {
            let session = SessionId(sessions.fetch_add(1, Ordering::Relaxed));
            if let Err(error) = serve(stream, session, events).await {
                debug!(log, "connection ended"; "from" => %from, "code" => error.code(), "cause" => %error);
            }
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, session: SessionId, events: Sender<Event>) -> Result<(), ProtocolError> {
    accept_options(&stream, USER_TIMEOUT)?;
    let (read, write) = stream.into_split();
    let mut reader = FrameReader::new(read);
    let next = timeout(HANDSHAKE_TIMEOUT, reader.next::<Handshake>()).await;
    let Some(handshake) = next.map_err(|_| ProtocolError::TimedOut)?? else { return Ok(()) };
    if handshake.version != PROTOCOL_VERSION {
        return Ok(());
    }
    match handshake.caller {
        Caller::Peer { address } | Caller::DepartureReader { address } => {
            read_peer_messages(reader, address, events).await
        }
        Caller::Gateway(gateway) => serve_gateway(reader, write, session, gateway, events).await,
        Caller::Observer => Ok(()),
    }
}

async fn read_peer_messages(
    mut reader: FrameReader<OwnedReadHalf>,
    from: SocketAddr,
    events: Sender<Event>,
) -> Result<(), ProtocolError> {
    while let Some(message) = reader.next::<PeerMessage>().await? {
        if events.send(Event::PeerMessage { from, message }).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

async fn serve_gateway(
    mut reader: FrameReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
    session: SessionId,
    gateway: GatewayIdentity,
    events: Sender<Event>,
) -> Result<(), ProtocolError> {
    let (updates, queue) = channel(MAX_QUEUED_UPDATES);
    if events.send(Event::GatewayConnected { session, gateway, updates }).await.is_err() {
        return Ok(());
    }
    let ended = tokio::select! {
        result = read_reports(&mut reader, session, &events) => result,
        result = write_updates(write, queue) => result,
    };
    let _ended = events.send(Event::GatewayDisconnected { session }).await;
    ended
}

async fn read_reports(
    reader: &mut FrameReader<OwnedReadHalf>,
    session: SessionId,
    events: &Sender<Event>,
) -> Result<(), ProtocolError> {
    loop {
        let next = timeout(REPORT_TIMEOUT, reader.next::<GatewayReport>()).await;
        let Some(report) = next.map_err(|_| ProtocolError::TimedOut)?? else { return Ok(()) };
        if events.send(Event::GatewayReported { session, report }).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_updates(write: OwnedWriteHalf, mut queue: Receiver<HomeUpdate>) -> Result<(), ProtocolError> {
    let mut writer = FrameWriter::new(write);
    while let Some(update) = queue.recv().await {
        let sent = timeout(WRITE_TIMEOUT, writer.send(&update)).await;
        sent.map_err(|_| ProtocolError::TimedOut)??;
    }
    Ok(())
}
