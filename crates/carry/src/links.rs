//! The connections of a process of the fleet: outgoing ones to voters, and accepted ones. Used by `run`. Each
//! passes what it receives to the event loop there, and drops what it cannot send in time, as a network may.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crankpick_fleet::messages::Message;
use crankpick_fleet::node::Link;
use tokio::io::{AsyncWriteExt, BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Instant};

use crate::frames;

/// Maximum number of frames queued on one connection; further ones are dropped.
const MAX_QUEUED_FRAMES: usize = 256;
/// Maximum number of connections at a time.
const MAX_CONNECTIONS: usize = 4_096;
/// An outgoing connection is closed after this many keepalives in a row without other traffic.
const MAX_IDLE_KEEPALIVES: u32 = 40;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

pub enum LinkEvent {
    Message(Link, Box<Message>),
    Closed(Link),
}

/// The sending end of a connection's queue, and the connection's task.
struct Connection {
    frames: Sender<Vec<u8>>,
    task: AbortHandle,
}

pub struct Links {
    voters: BTreeMap<String, SocketAddr>,
    events: Sender<LinkEvent>,
    connections: BTreeMap<Link, Connection>,
    /// First message on each outgoing connection.
    hello: watch::Sender<Vec<u8>>,
    /// A keepalive is requested on a connection that has been silent for this long; after twice that it is
    /// closed.
    keepalive_interval: Duration,
    pub bytes_out: u64,
    pub bytes_in: Arc<AtomicU64>,
}

impl Links {
    pub fn new(
        voters: BTreeMap<String, SocketAddr>,
        hello: &Message,
        lease_us: u64,
        events: Sender<LinkEvent>,
    ) -> Self {
        Links {
            voters,
            events,
            connections: BTreeMap::new(),
            hello: watch::Sender::new(frames::encode(hello).unwrap_or_default()),
            keepalive_interval: Duration::from_micros(lease_us / 2),
            bytes_out: 0,
            bytes_in: Arc::default(),
        }
    }

    /// Sets the first message of new connections, and sends it on the outgoing ones that are open.
    pub fn hello(&mut self, hello: &Message) {
        let frame = frames::encode(hello).unwrap_or_default();
        self.hello.send_replace(frame.clone());
        for (link, connection) in &self.connections {
            if matches!(link, Link::Voter(_)) {
                let _ = connection.frames.try_send(frame.clone());
            }
        }
    }

    pub fn send(&mut self, link: &Link, message: &Message) {
        if !self.connections.contains_key(link) {
            let Link::Voter(name) = link else { return };
            let Some(address) = self.voters.get(name).copied() else { return };
            let (frames, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
            let outgoing = Outgoing {
                link: link.clone(),
                address,
                hello: self.hello.subscribe(),
                keepalive_interval: self.keepalive_interval,
                events: self.events.clone(),
                bytes_in: Arc::clone(&self.bytes_in),
            };
            let task = tokio::spawn(outgoing.run(queue)).abort_handle();
            self.connections.insert(link.clone(), Connection { frames, task });
        }
        let (Some(connection), Some(frame)) = (self.connections.get(link), frames::encode(message)) else {
            return;
        };
        let length = frame.len() as u64;
        if connection.frames.try_send(frame).is_ok() {
            self.bytes_out += length;
        }
    }

    pub fn add_accepted(&mut self, conn: u64, stream: TcpStream) {
        if self.connections.len() >= MAX_CONNECTIONS {
            return;
        }
        let link = Link::Conn(conn);
        let (frames, mut queue) = mpsc::channel(MAX_QUEUED_FRAMES);
        let (events, keepalive_interval, own_link) =
            (self.events.clone(), self.keepalive_interval, link.clone());
        let bytes_in = Arc::clone(&self.bytes_in);
        let task = tokio::spawn(async move {
            // The side that opened the connection sends keepalives; one that is silent for this long is gone.
            let why = run_connection(
                stream,
                &own_link,
                &mut queue,
                &events,
                keepalive_interval * 8,
                None,
                &bytes_in,
            )
            .await;
            tracing::debug!(code = "fleet_conn_ended", conn, "{why}");
            let _ = events.send(LinkEvent::Closed(own_link)).await;
        });
        self.connections.insert(link, Connection { frames, task: task.abort_handle() });
    }

    pub fn close(&mut self, link: &Link) {
        if let Some(connection) = self.connections.remove(link) {
            connection.task.abort();
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.connections.values().for_each(|connection| connection.task.abort());
    }
}

/// A connection to a voter. It is reopened whenever it has ended and there is something to send.
struct Outgoing {
    link: Link,
    address: SocketAddr,
    hello: watch::Receiver<Vec<u8>>,
    keepalive_interval: Duration,
    events: Sender<LinkEvent>,
    bytes_in: Arc<AtomicU64>,
}

impl Outgoing {
    async fn run(self, mut queue: Receiver<Vec<u8>>) {
        // Opened only when there is something to send.
        while let Some(first) = queue.recv().await {
            let why = match timeout(CONNECT_TIMEOUT, self.connect(&first)).await {
                Ok(Ok(stream)) => {
                    let silence_limit = 2 * self.keepalive_interval;
                    let keepalive = frames::encode(&Message::Beat);
                    run_connection(
                        stream,
                        &self.link,
                        &mut queue,
                        &self.events,
                        silence_limit,
                        keepalive,
                        &self.bytes_in,
                    )
                    .await
                }
                Ok(Err(error)) => error.to_string(),
                Err(_) => "no connection".to_owned(),
            };
            tracing::debug!(code = "fleet_link_ended", address = %self.address, "{why}");
            if self.events.send(LinkEvent::Closed(self.link.clone())).await.is_err() {
                return;
            }
            sleep(RECONNECT_DELAY + Duration::from_millis(fastrand::u64(0..100))).await;
            // Frames queued for the closed connection would be out of date on the next one.
            while queue.try_recv().is_ok() {}
        }
    }

    async fn connect(&self, first: &[u8]) -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address).await?;
        let hello = self.hello.borrow().clone();
        stream.write_all(&hello).await?;
        stream.write_all(first).await?;
        Ok(stream)
    }
}

/// Runs both directions of a connection until either ends; returns the reason.
async fn run_connection(
    stream: TcpStream,
    link: &Link,
    queue: &mut Receiver<Vec<u8>>,
    events: &Sender<LinkEvent>,
    silence_limit: Duration,
    keepalive: Option<Vec<u8>>,
    bytes_in: &AtomicU64,
) -> String {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (BufReader::new(reader), BufWriter::new(writer));
    // Requests to the writing half to answer a keepalive.
    let (keepalive_requested, mut keepalive_requests) = mpsc::channel::<()>(1);
    let answers_keepalives = keepalive.is_none();
    let reading = async {
        let mut buffer = Vec::new();
        loop {
            let message = timeout(silence_limit, frames::read(&mut reader, &mut buffer)).await;
            let message = match message {
                Ok(Ok(message)) => message,
                Ok(Err(why)) => return why,
                Err(_) => return "silent".to_owned(),
            };
            bytes_in.fetch_add(buffer.len() as u64 + 4, Ordering::Relaxed);
            if message == Message::Beat {
                if answers_keepalives {
                    let _ = keepalive_requested.try_send(());
                }
                continue;
            }
            if events.send(LinkEvent::Message(link.clone(), Box::new(message))).await.is_err() {
                return "the event loop has ended".to_owned();
            }
        }
    };
    let writing = async {
        let answer = frames::encode(&Message::Beat).unwrap_or_default();
        let mut next = Instant::now() + silence_limit / 2;
        let mut idle = 0;
        loop {
            let frame = tokio::select! {
                biased;
                frame = queue.recv() => match frame {
                    Some(frame) => {
                        idle = 0;
                        frame
                    }
                    None => return "closed by this process".to_owned(),
                },
                Some(()) = keepalive_requests.recv() => answer.clone(),
                () = tokio::time::sleep_until(next) => {
                    next = Instant::now() + silence_limit / 2;
                    idle += 1;
                    match &keepalive {
                        Some(_) if idle > MAX_IDLE_KEEPALIVES => return "idle".to_owned(),
                        Some(keepalive) => keepalive.clone(),
                        None => continue,
                    }
                }
            };
            let written = async {
                writer.write_all(&frame).await?;
                writer.flush().await
            };
            match timeout(silence_limit, written).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return error.to_string(),
                Err(_) => return "takes nothing".to_owned(),
            }
        }
    };
    tokio::select! {
        why = reading => why,
        why = writing => why,
    }
}

/// Accepts connections until the process ends. If the address is in use, for instance by the older process of
/// an upgrade, binding is retried.
pub async fn listen(address: SocketAddr, accepted: Sender<TcpStream>) {
    let mut logged = false;
    loop {
        let listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(error) => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::warn!(code = "fleet_no_listener", %address, "{error}");
                }
                sleep(5 * ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if accepted.send(stream).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    tracing::warn!(code = "accept_error", "fleet: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}
