//! Writing to and closing client sockets.

use std::io;
use std::net::Shutdown;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long, and for how many bytes, a connection is read after its write side is closed: closing it with
/// unread bytes would reset it and lose the last response.
const LINGER: Duration = Duration::from_millis(250);
const MAX_LINGERED: usize = 1 << 20;
const READ_CHUNK: usize = 4 << 10;

/// Calls `write` once the socket is writable.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Closes the write side, then reads for a while until the peer closes its own.
pub async fn linger(stream: &TcpStream) {
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let drain = async {
        let (mut part, mut read) = ([0; READ_CHUNK], 0);
        while read < MAX_LINGERED && stream.readable().await.is_ok() {
            match stream.try_read(&mut part) {
                Ok(0) => return,
                Ok(length) => read += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = timeout(LINGER, drain).await;
}
