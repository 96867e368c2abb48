//! Connections between two processes of the fleet. A cut says nothing, so each gives up by itself.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use snafu::ResultExt;
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::error::IoSnafu;
use crate::ProtocolError;

/// How a connection is opened.
#[derive(Clone, Copy, Debug)]
pub struct DialOptions {
    /// The address that it comes from: that of this machine.
    pub from: Ipv4Addr,
    /// For it to come up.
    pub within: Duration,
    /// How long what was sent may stay without an acknowledgement.
    pub user_timeout: Duration,
}

/// Opens a connection.
pub async fn dial(to: SocketAddr, options: DialOptions) -> Result<TcpStream, ProtocolError> {
    let socket = TcpSocket::new_v4().context(IoSnafu)?;
    socket.bind(SocketAddr::V4(SocketAddrV4::new(options.from, 0))).context(IoSnafu)?;
    let stream = match timeout(options.within, socket.connect(to)).await {
        Ok(connected) => connected.context(IoSnafu)?,
        Err(_) => return Err(ProtocolError::Stalled),
    };
    accept_options(&stream, options.user_timeout)?;
    Ok(stream)
}

/// Sets what holds for both ends of a connection: no waiting for more to send, and an end where nothing is acknowledged.
pub fn accept_options(stream: &TcpStream, user_timeout: Duration) -> Result<(), ProtocolError> {
    stream.set_nodelay(true).context(IoSnafu)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout)).context(IoSnafu)
}
