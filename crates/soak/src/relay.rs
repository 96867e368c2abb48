//! A relay on the way to one address: it passes bytes on, holds them while the way is cut, or resets connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

const READ_SIZE: usize = 16 << 10;
/// Pieces on their way through one direction of a connection.
const MOST_PIECES: usize = 256;

/// What a relay does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Mode {
    /// How many cuts are in force; nothing passes while there is one.
    cuts: u32,
    /// Rises whenever open connections are to be reset.
    resets: u64,
}

/// A relay to one address.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Relay {
    /// Starts a relay that listens at a free port of loopback and passes all on without delay.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        Relay::with_delay(target, Duration::ZERO).await
    }

    /// The same with a delay of each piece, one way.
    pub async fn with_delay(target: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(Mode::default());
        tokio::spawn(accept(listener, Way { target, delay }, modes));
        Ok(Relay { address, mode })
    }

    /// Holds all bytes and all new connections up.
    pub fn cut(&self) {
        self.mode.send_modify(|mode| mode.cuts += 1);
    }

    /// Takes one cut back; what was held up goes on.
    pub fn join(&self) {
        self.mode.send_modify(|mode| mode.cuts = mode.cuts.saturating_sub(1));
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.mode.send_modify(|mode| mode.resets += 1);
    }
}

/// Where a relay leads.
#[derive(Clone, Copy, Debug)]
struct Way {
    target: SocketAddr,
    delay: Duration,
}

async fn accept(listener: TcpListener, way: Way, modes: watch::Receiver<Mode>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(tokio::spawn(relay(stream, way, modes.clone()))),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            },
            // The relay itself was dropped.
            () = closed(modes.clone()) => return,
        }
    }
}

async fn closed(mut modes: watch::Receiver<Mode>) {
    while modes.changed().await.is_ok() {}
}

async fn relay(caller: TcpStream, way: Way, mut modes: watch::Receiver<Mode>) {
    let resets = modes.borrow_and_update().resets;
    if modes.wait_for(|mode| mode.cuts == 0).await.is_err() {
        return;
    }
    let Ok(called) = TcpStream::connect(way.target).await else {
        return reset(&caller);
    };
    let (_, _) = (caller.set_nodelay(true), called.set_nodelay(true));
    let ((from_caller, to_caller), (from_called, to_called)) = (caller.into_split(), called.into_split());
    let ended = {
        let forth = pass(&from_caller, &to_called, modes.clone(), way.delay);
        let back = pass(&from_called, &to_caller, modes.clone(), way.delay);
        tokio::select! {
            ended = async { tokio::try_join!(forth, back) } => ended.is_ok(),
            reset = modes.wait_for(|mode| mode.resets != resets) => { drop(reset); false }
        }
    };
    if !ended {
        reset(to_caller.as_ref());
        reset(to_called.as_ref());
        // Dropped, these would end their connections in order first.
        to_caller.forget();
        to_called.forget();
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes one direction on until its end in order, each piece so much later. An error is a reset, for both sides.
async fn pass(
    from: &OwnedReadHalf,
    to: &OwnedWriteHalf,
    modes: watch::Receiver<Mode>,
    delay: Duration,
) -> io::Result<()> {
    let (pieces, on_their_way) = mpsc::channel(MOST_PIECES);
    tokio::try_join!(read(from, pieces, modes, delay), write(to, on_their_way))?;
    Ok(())
}

/// A piece and when it is due at the other end.
type Piece = (Instant, Vec<u8>);

async fn read(
    from: &OwnedReadHalf,
    pieces: mpsc::Sender<Piece>,
    mut modes: watch::Receiver<Mode>,
    delay: Duration,
) -> io::Result<()> {
    let mut room = vec![0; READ_SIZE];
    loop {
        from.as_ref().readable().await?;
        let _ = modes.wait_for(|mode| mode.cuts == 0).await;
        let length = match from.try_read(&mut room) {
            Ok(length) => length,
            Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => continue,
            Err(wrong) => return Err(wrong),
        };
        let sent = pieces.send((Instant::now() + delay, room[..length].to_vec())).await;
        if length == 0 || sent.is_err() {
            return Ok(());
        }
    }
}

/// Writes pieces when they are due; an empty one is the end.
async fn write(to: &OwnedWriteHalf, mut pieces: mpsc::Receiver<Piece>) -> io::Result<()> {
    while let Some((due, piece)) = pieces.recv().await {
        sleep_until(due).await;
        if piece.is_empty() {
            return SockRef::from(to.as_ref()).shutdown(std::net::Shutdown::Write);
        }
        write_all(to, &piece).await?;
    }
    Ok(())
}

async fn write_all(to: &OwnedWriteHalf, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.as_ref().writable().await?;
        match to.try_write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => {}
            Err(wrong) => return Err(wrong),
        }
    }
    Ok(())
}
