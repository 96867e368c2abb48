//! A client's socket: written as far as it takes bytes, and ended in order.

use std::io;
use std::net::Shutdown;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long, and for how many bytes, a connection is read on behind its end: closed over unread bytes it would be
/// reset, and what was last written to it lost.
const LINGER: Duration = Duration::from_millis(250);
const MOST_LINGERED: usize = 1 << 20;
const PART: usize = 4 << 10;

/// Writes by `write` once the socket takes something.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Says that no more is written, and reads on for a while until the other side says the same.
pub async fn linger(stream: &TcpStream) {
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let reads_on = async {
        let (mut part, mut read) = ([0; PART], 0);
        while read < MOST_LINGERED && stream.readable().await.is_ok() {
            match stream.try_read(&mut part) {
                Ok(0) => return,
                Ok(length) => read += length,
                Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = timeout(LINGER, reads_on).await;
}
