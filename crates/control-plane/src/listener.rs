//! Connections from other processes of the fleet: peers, gateways and observers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crankpick_protocol::{
    accept_options, Caller, FrameReader, FrameWriter, GatewayIdentity, GatewayReport, Handshake, HomeUpdate,
    ProtocolError, VERSION,
};
use slog::{debug, Logger};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::event::{Event, PeerPacket, SessionId};

/// Connections at a time.
const CONNECTIONS: usize = 2_000;
const GREETING: Duration = Duration::from_secs(2);
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Reports and pings come several times a second: one who is silent for so long is gone.
const SILENCE: Duration = Duration::from_secs(5);
/// Updates that wait for a gateway; one that takes none is cut off and comes back.
const UPDATES: usize = 16;
const WRITE: Duration = Duration::from_secs(2);
const AFTER_FAILURE: Duration = Duration::from_millis(50);

/// Accepts connections until the process ends.
pub async fn listen(listener: TcpListener, events: Sender<Event>, log: Logger) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    let sessions = Arc::new(AtomicU64::new(1));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        let Ok((stream, from)) = listener.accept().await else {
            sleep(AFTER_FAILURE).await;
            continue;
        };
        let (events, log, sessions) = (events.clone(), log.clone(), Arc::clone(&sessions));
        tokio::spawn(async move {
            let session = SessionId(sessions.fetch_add(1, Ordering::Relaxed));
            if let Err(wrong) = serve(stream, session, events).await {
                debug!(log, "connection ended"; "from" => %from, "code" => wrong.code(), "cause" => %wrong);
            }
            drop(place);
        });
    }
}

async fn serve(stream: TcpStream, session: SessionId, events: Sender<Event>) -> Result<(), ProtocolError> {
    accept_options(&stream, USER_TIMEOUT)?;
    let (read, write) = stream.into_split();
    let mut reader = FrameReader::new(read);
    let hello: Handshake = match timeout(GREETING, reader.next()).await {
        Ok(hello) => match hello? {
            Some(hello) => hello,
            None => return Ok(()),
        },
        Err(_) => return Err(ProtocolError::Stalled),
    };
    if hello.version != VERSION {
        return Ok(());
    }
    match hello.caller {
        Caller::Peer { address } => hear_peer(reader, address, events).await,
        Caller::Gateway(gateway) => serve_gateway(reader, write, session, gateway, events).await,
        Caller::Observer => Ok(()),
    }
}

async fn hear_peer(
    mut reader: FrameReader<OwnedReadHalf>,
    from: SocketAddr,
    events: Sender<Event>,
) -> Result<(), ProtocolError> {
    while let Some(packet) = reader.next::<PeerPacket>().await? {
        if events.send(Event::Peer { from, packet }).await.is_err() {
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
    let (updates, queue) = channel(UPDATES);
    if events.send(Event::Joined { session, gateway, updates }).await.is_err() {
        return Ok(());
    }
    let ended = tokio::select! {
        heard = hear_gateway(&mut reader, session, &events) => heard,
        told = tell_gateway(write, queue) => told,
    };
    let _ended = events.send(Event::Left { session }).await;
    ended
}

async fn hear_gateway(
    reader: &mut FrameReader<OwnedReadHalf>,
    session: SessionId,
    events: &Sender<Event>,
) -> Result<(), ProtocolError> {
    loop {
        let report: GatewayReport = match timeout(SILENCE, reader.next()).await {
            Ok(report) => match report? {
                Some(report) => report,
                None => return Ok(()),
            },
            Err(_) => return Err(ProtocolError::Stalled),
        };
        if events.send(Event::Reported { session, report }).await.is_err() {
            return Ok(());
        }
    }
}

async fn tell_gateway(write: OwnedWriteHalf, mut queue: Receiver<HomeUpdate>) -> Result<(), ProtocolError> {
    let mut writer = FrameWriter::new(write);
    while let Some(update) = queue.recv().await {
        match timeout(WRITE, writer.send(&update)).await {
            Ok(sent) => sent?,
            Err(_) => return Err(ProtocolError::Stalled),
        }
    }
    Ok(())
}
