//! TCP connections between two processes of the fleet. A partition isn't signalled, so each side has its own timeouts.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use snafu::ResultExt;
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::error::IoSnafu;
use crate::ProtocolError;

/// The options of an outgoing connection.
#[derive(Clone, Copy, Debug)]
pub struct DialOptions {
    /// The local address to bind: that of this machine.
    pub from: Ipv4Addr,
    /// The timeout for establishing the connection.
    pub connect_timeout: Duration,
    /// The longest that sent data may stay unacknowledged before the connection is closed.
    pub user_timeout: Duration,
}

/// Opens a connection.
///
/// # Errors
///
/// [`ProtocolError::TimedOut`] after the connect timeout; [`ProtocolError::Io`] if the connection fails.
pub async fn dial(to: SocketAddr, options: DialOptions) -> Result<TcpStream, ProtocolError> {
    let socket = TcpSocket::new_v4().context(IoSnafu)?;
    socket.bind(SocketAddr::V4(SocketAddrV4::new(options.from, 0))).context(IoSnafu)?;
    let stream = match timeout(options.connect_timeout, socket.connect(to)).await {
        Ok(connected) => connected.context(IoSnafu)?,
        Err(_) => return Err(ProtocolError::TimedOut),
    };
    accept_options(&stream, options.user_timeout)?;
    Ok(stream)
}

/// Sets the socket options of both ends of a connection: no Nagle delay, and the TCP user timeout.
///
/// # Errors
///
/// [`ProtocolError::Io`] if an option can't be set.
pub fn accept_options(stream: &TcpStream, user_timeout: Duration) -> Result<(), ProtocolError> {
    stream.set_nodelay(true).context(IoSnafu)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout)).context(IoSnafu)
}
