//! UDP messages between the balancers of the proxies. They may be lost or delayed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::net::UdpSocket;

/// Larger messages are not sent over the network between proxies.
const MAX_BYTES: usize = 256;
const RETRY_DELAY: Duration = Duration::from_millis(100);

pub struct Peers {
    /// None if proxies may not communicate.
    socket: Option<UdpSocket>,
    /// Indexed by proxy number.
    addresses: Vec<SocketAddr>,
}

impl Peers {
    pub fn new(listen: Option<SocketAddr>, addresses: Vec<SocketAddr>) -> Result<Self, String> {
        let open = |address: SocketAddr| {
            let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
            // During an upgrade the new process binds it while this one still runs, and receives everything
            // from then on.
            socket.set_reuse_address(true)?;
            socket.bind(&address.into())?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket.into())
        };
        let socket = listen.map(open).transpose();
        Ok(Peers { socket: socket.map_err(|error| format!("peer_listen: {error}"))?, addresses })
    }

    /// Sends a message. If the socket buffer is full the message is dropped, as the network may do too: no
    /// message is worth waiting for.
    pub fn send(&self, peer: u32, bytes: &str) {
        if let (Some(socket), Some(address)) = (&self.socket, self.addresses.get(peer as usize)) {
            if bytes.len() <= MAX_BYTES {
                let _ = socket.try_send_to(bytes.as_bytes(), *address);
            }
        }
    }

    pub async fn listen(self: Arc<Self>, on_message: impl Fn(u32, &str)) {
        let Some(socket) = &self.socket else { return };
        let mut bytes = [0; MAX_BYTES];
        loop {
            let (length, from) = match socket.recv_from(&mut bytes).await {
                Ok(received) => received,
                Err(error) => {
                    tracing::warn!(code = "peer_error", "{error}");
                    // A persistent error must not busy-loop the thread.
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            let peer = self.addresses.iter().position(|address| *address == from);
            if let (Some(peer), Ok(message)) = (peer, std::str::from_utf8(&bytes[..length])) {
                on_message(peer as u32, message);
            }
        }
    }
}
