//! A relay on the way to one address: it passes bytes on, holds them while the way is cut, or resets connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const READ_SIZE: usize = 16 << 10;

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
    /// Starts a relay that listens at a free port of loopback.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(Mode::default());
        tokio::spawn(accept(listener, target, modes));
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

async fn accept(listener: TcpListener, target: SocketAddr, modes: watch::Receiver<Mode>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(tokio::spawn(relay(stream, target, modes.clone()))),
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

async fn relay(caller: TcpStream, target: SocketAddr, mut modes: watch::Receiver<Mode>) {
    let resets = modes.borrow_and_update().resets;
    if modes.wait_for(|mode| mode.cuts == 0).await.is_err() {
        return;
    }
    let Ok(called) = TcpStream::connect(target).await else {
        return reset(&caller);
    };
    let (_, _) = (caller.set_nodelay(true), called.set_nodelay(true));
    let ((from_caller, to_caller), (from_called, to_called)) = (caller.into_split(), called.into_split());
    let ended = {
        let forth = pass(&from_caller, &to_called, modes.clone());
        let back = pass(&from_called, &to_caller, modes.clone());
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

/// Passes one direction on until its end in order. An error is a reset, for both sides.
async fn pass(from: &OwnedReadHalf, to: &OwnedWriteHalf, mut modes: watch::Receiver<Mode>) -> io::Result<()> {
    let mut room = vec![0; READ_SIZE];
    loop {
        from.as_ref().readable().await?;
        let _ = modes.wait_for(|mode| mode.cuts == 0).await;
        let length = match from.try_read(&mut room) {
            Ok(length) => length,
            Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => continue,
            Err(wrong) => return Err(wrong),
        };
        if length == 0 {
            return SockRef::from(to.as_ref()).shutdown(std::net::Shutdown::Write);
        }
        write_all(to, &room[..length]).await?;
    }
}

async fn write_all(to: &OwnedWriteHalf, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => {}
            Err(wrong) => return Err(wrong),
        }
    }
    Ok(())
}
