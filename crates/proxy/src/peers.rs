//! Short messages between proxies over UDP: each is a note of the module's, lost or late at times.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::net::UdpSocket;

/// Longer ones are not for the network between proxies.
const MOST_BYTES: usize = 256;
const PAUSE: Duration = Duration::from_millis(100);

pub struct Peers {
    /// None where proxies may not talk.
    socket: Option<UdpSocket>,
    /// In the order of the proxies' numbers.
    addresses: Vec<SocketAddr>,
}

impl Peers {
    pub fn new(listen: Option<SocketAddr>, addresses: Vec<SocketAddr>) -> Result<Self, String> {
        let open = |address: SocketAddr| {
            let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
            // A second process of an upgrade binds it while this one is there, and gets what comes from then on.
            socket.set_reuse_address(true)?;
            socket.bind(&address.into())?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket.into())
        };
        let socket = listen.map(open).transpose();
        Ok(Peers { socket: socket.map_err(|wrong| format!("peer_listen: {wrong}"))?, addresses })
    }

    /// A full socket buffer loses the note, as the network may: none of them is worth waiting for.
    pub fn tell(&self, peer: u32, bytes: &str) {
        if let (Some(socket), Some(address)) = (&self.socket, self.addresses.get(peer as usize)) {
            if bytes.len() <= MOST_BYTES {
                let _ = socket.try_send_to(bytes.as_bytes(), *address);
            }
        }
    }

    pub async fn listen(self: Arc<Self>, told: impl Fn(u32, &str)) {
        let Some(socket) = &self.socket else { return };
        let mut bytes = [0; MOST_BYTES];
        loop {
            let (length, from) = match socket.recv_from(&mut bytes).await {
                Ok(received) => received,
                Err(wrong) => {
                    tracing::warn!(code = "peer_error", "{wrong}");
                    // An error that stays must not take the whole thread.
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
            };
            let peer = self.addresses.iter().position(|address| *address == from);
            if let (Some(peer), Ok(note)) = (peer, std::str::from_utf8(&bytes[..length])) {
                told(peer as u32, note);
            }
        }
    }
}
