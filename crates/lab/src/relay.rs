//! A relay on one link between two processes: what goes through it is passed on, held, late, or lost in one
//! direction or both. Called by `rig`, one for each way from a process to a voter.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// Pieces on their way through one direction of one connection.
const MOST_HELD: usize = 1_024;

/// What a link does now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mode {
    /// What the dialler says doesn't arrive: the connection stays open and silent.
    pub forth_cut: bool,
    /// Nor what it is answered.
    pub back_cut: bool,
    /// All arrives so much later, in order.
    pub late_us: u64,
    /// Grows whenever open connections are to be reset.
    pub resets: u64,
}

pub struct Relay {
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Relay {
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(Mode::default());
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(relayed(stream, to, modes.clone()));
            }
        });
        Ok(Relay { address, mode })
    }

    pub fn set(&self, change: impl FnOnce(&mut Mode)) {
        self.mode.send_modify(change);
    }

    /// As it was; connections that lost something are reset, since nothing could go on in them.
    pub fn heal(&self) {
        self.mode.send_modify(|mode| {
            let broken = mode.forth_cut || mode.back_cut;
            *mode = Mode { resets: mode.resets + u64::from(broken), ..Mode::default() };
        });
    }
}

async fn relayed(dialler: TcpStream, to: SocketAddr, modes: watch::Receiver<Mode>) {
    // A cut link takes connections up as a network that says nothing would: they open and stay silent.
    let mut up = modes.clone();
    let begun = up.borrow().resets;
    let _ = up.wait_for(|mode| !mode.forth_cut || mode.resets > begun).await;
    let Ok(voter) = TcpStream::connect(to).await else { return };
    let (_, _) = (dialler.set_nodelay(true), voter.set_nodelay(true));
    let ((from_dialler, to_dialler), (from_voter, to_voter)) = (dialler.into_split(), voter.into_split());
    let mut resets = modes.clone();
    tokio::select! {
        // Late pieces still arrive after the end that sent them has gone.
        () = async {
            tokio::join!(
                passed(from_dialler, to_voter, modes.clone(), |mode| mode.forth_cut),
                passed(from_voter, to_dialler, modes.clone(), |mode| mode.back_cut),
            );
        } => {}
        _ = resets.wait_for(|mode| mode.resets > begun) => {}
    }
}

/// One direction until its end; pieces keep their order and their time on the way.
async fn passed(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    modes: watch::Receiver<Mode>,
    cut: fn(&Mode) -> bool,
) {
    let (send, mut held) = mpsc::channel::<(Instant, Vec<u8>)>(MOST_HELD);
    let read = async {
        let mut room = vec![0; 16 << 10];
        loop {
            let length = from.read(&mut room).await.unwrap_or(0);
            let mode = *modes.borrow();
            if length == 0 {
                break;
            }
            if cut(&mode) {
                continue;
            }
            let due = Instant::now() + Duration::from_micros(mode.late_us);
            if send.send((due, room[..length].to_vec())).await.is_err() {
                break;
            }
        }
        drop(send);
    };
    let write = async {
        while let Some((due, piece)) = held.recv().await {
            sleep_until(due).await;
            if to.write_all(&piece).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}
