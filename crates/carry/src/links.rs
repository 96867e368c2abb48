//! The connections of a process of the fleet: those it opens to voters and those it accepts. Called by `run`;
//! each hands what it hears to the one loop there, and loses what it can't say in time, as any network may.

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

/// Frames that wait to be written on one connection; past it they are lost.
const MOST_WAITING: usize = 256;
/// Connections accepted at a time.
const MOST_CONNS: usize = 4_096;
/// Beats in a row with nothing between them, after which a connection is no longer worth them.
const MOST_IDLE: u32 = 40;
const CONNECT: Duration = Duration::from_secs(1);
const AGAIN: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(20);

pub enum Heard {
    Message(Link, Box<Message>),
    Closed(Link),
}

/// A connection's end of the queue to be written, and the task that lives for it.
struct Open {
    frames: Sender<Vec<u8>>,
    task: AbortHandle,
}

pub struct Links {
    voters: BTreeMap<String, SocketAddr>,
    heard: Sender<Heard>,
    open: BTreeMap<Link, Open>,
    /// Said first on each connection that is opened from here.
    hello: watch::Sender<Vec<u8>>,
    /// A connection on which nothing has been heard for so long is asked for a beat, and dead after twice that.
    beat: Duration,
    pub bytes_out: u64,
    pub bytes_in: Arc<AtomicU64>,
}

impl Links {
    pub fn new(
        voters: BTreeMap<String, SocketAddr>,
        hello: &Message,
        lease_us: u64,
        heard: Sender<Heard>,
    ) -> Self {
        Links {
            voters,
            heard,
            open: BTreeMap::new(),
            hello: watch::Sender::new(frames::framed(hello).unwrap_or_default()),
            beat: Duration::from_micros(lease_us / 2),
            bytes_out: 0,
            bytes_in: Arc::default(),
        }
    }

    /// From now on connections begin with this; the ones opened from here are told too.
    pub fn hello(&mut self, hello: &Message) {
        let frame = frames::framed(hello).unwrap_or_default();
        self.hello.send_replace(frame.clone());
        for (link, open) in &self.open {
            if matches!(link, Link::Voter(_)) {
                let _ = open.frames.try_send(frame.clone());
            }
        }
    }

    pub fn say(&mut self, link: &Link, word: &Message) {
        if !self.open.contains_key(link) {
            let Link::Voter(name) = link else { return };
            let Some(address) = self.voters.get(name).copied() else { return };
            let (frames, waiting) = mpsc::channel(MOST_WAITING);
            let dialled = Dialled {
                link: link.clone(),
                address,
                hello: self.hello.subscribe(),
                beat: self.beat,
                heard: self.heard.clone(),
                bytes_in: Arc::clone(&self.bytes_in),
            };
            let task = tokio::spawn(dialled.live(waiting)).abort_handle();
            self.open.insert(link.clone(), Open { frames, task });
        }
        let (Some(open), Some(frame)) = (self.open.get(link), frames::framed(word)) else { return };
        let length = frame.len() as u64;
        if open.frames.try_send(frame).is_ok() {
            self.bytes_out += length;
        }
    }

    pub fn accepted(&mut self, conn: u64, stream: TcpStream) {
        if self.open.len() >= MOST_CONNS {
            return;
        }
        let link = Link::Conn(conn);
        let (frames, mut waiting) = mpsc::channel(MOST_WAITING);
        let (heard, beat, of) = (self.heard.clone(), self.beat, link.clone());
        let bytes_in = Arc::clone(&self.bytes_in);
        let task = tokio::spawn(async move {
            // Whoever opened it beats: one that is silent for so long is gone.
            let why = lives(stream, &of, &mut waiting, &heard, beat * 8, None, &bytes_in).await;
            tracing::debug!(code = "fleet_conn_ended", conn, "{why}");
            let _ = heard.send(Heard::Closed(of)).await;
        });
        self.open.insert(link, Open { frames, task: task.abort_handle() });
    }

    pub fn close(&mut self, link: &Link) {
        if let Some(open) = self.open.remove(link) {
            open.task.abort();
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.open.values().for_each(|open| open.task.abort());
    }
}

/// A connection to a voter, opened anew as often as it ends while there is something to say.
struct Dialled {
    link: Link,
    address: SocketAddr,
    hello: watch::Receiver<Vec<u8>>,
    beat: Duration,
    heard: Sender<Heard>,
    bytes_in: Arc<AtomicU64>,
}

impl Dialled {
    async fn live(self, mut waiting: Receiver<Vec<u8>>) {
        // Opened once there is something to say, and again when there is.
        while let Some(first) = waiting.recv().await {
            let why = match timeout(CONNECT, self.opened(&first)).await {
                Ok(Ok(stream)) => {
                    let dead = 2 * self.beat;
                    let beat = frames::framed(&Message::Beat);
                    lives(stream, &self.link, &mut waiting, &self.heard, dead, beat, &self.bytes_in).await
                }
                Ok(Err(wrong)) => wrong.to_string(),
                Err(_) => "no connection".to_owned(),
            };
            tracing::debug!(code = "fleet_link_ended", address = %self.address, "{why}");
            if self.heard.send(Heard::Closed(self.link.clone())).await.is_err() {
                return;
            }
            sleep(AGAIN + Duration::from_millis(fastrand::u64(0..100))).await;
            // Said to a connection that was gone, they would come as news on the next.
            while waiting.try_recv().is_ok() {}
        }
    }

    async fn opened(&self, first: &[u8]) -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address).await?;
        let hello = self.hello.borrow().clone();
        stream.write_all(&hello).await?;
        stream.write_all(first).await?;
        Ok(stream)
    }
}

/// Both directions of one connection until either ends; says why.
async fn lives(
    stream: TcpStream,
    link: &Link,
    waiting: &mut Receiver<Vec<u8>>,
    heard: &Sender<Heard>,
    dead: Duration,
    beat: Option<Vec<u8>>,
    bytes_in: &AtomicU64,
) -> String {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (BufReader::new(reader), BufWriter::new(writer));
    // An answer to a beat, for the writing half.
    let (asked, mut beats) = mpsc::channel::<()>(1);
    let answers = beat.is_none();
    let reading = async {
        let mut room = Vec::new();
        loop {
            let word = timeout(dead, frames::read(&mut reader, &mut room)).await;
            let word = match word {
                Ok(Ok(word)) => word,
                Ok(Err(why)) => return why,
                Err(_) => return "silent".to_owned(),
            };
            bytes_in.fetch_add(room.len() as u64 + 4, Ordering::Relaxed);
            if word == Message::Beat {
                if answers {
                    let _ = asked.try_send(());
                }
                continue;
            }
            if heard.send(Heard::Message(link.clone(), Box::new(word))).await.is_err() {
                return "the fleet's part has ended".to_owned();
            }
        }
    };
    let writing = async {
        let answer = frames::framed(&Message::Beat).unwrap_or_default();
        let mut next = Instant::now() + dead / 2;
        let mut idle = 0;
        loop {
            let frame = tokio::select! {
                biased;
                frame = waiting.recv() => match frame {
                    Some(frame) => {
                        idle = 0;
                        frame
                    }
                    None => return "no longer wanted".to_owned(),
                },
                Some(()) = beats.recv() => answer.clone(),
                () = tokio::time::sleep_until(next) => {
                    next = Instant::now() + dead / 2;
                    idle += 1;
                    match &beat {
                        Some(_) if idle > MOST_IDLE => return "idle".to_owned(),
                        Some(beat) => beat.clone(),
                        None => continue,
                    }
                }
            };
            let written = async {
                writer.write_all(&frame).await?;
                writer.flush().await
            };
            match timeout(dead, written).await {
                Ok(Ok(())) => {}
                Ok(Err(wrong)) => return wrong.to_string(),
                Err(_) => return "takes nothing".to_owned(),
            }
        }
    };
    tokio::select! {
        why = reading => why,
        why = writing => why,
    }
}

/// Accepts until the process ends; where the address is taken, by the older process of an upgrade say, it is
/// tried again.
pub async fn listen(address: SocketAddr, accepted: Sender<TcpStream>) {
    let mut told = false;
    loop {
        let listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(wrong) => {
                if !std::mem::replace(&mut told, true) {
                    tracing::warn!(code = "fleet_no_listener", %address, "{wrong}");
                }
                sleep(5 * PAUSE).await;
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
                Err(wrong) => {
                    tracing::warn!(code = "accept_error", "fleet: {wrong}");
                    sleep(PAUSE).await;
                }
            }
        }
    }
}
