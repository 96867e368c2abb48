//! Lingering close of a connection whose client may still be sending: closing it with unread data would
//! reset it, and the client could lose a response that it has not read yet.

use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the client may be silent.
const MAX_SILENCE: Duration = Duration::from_millis(250);
/// Limits for reading in total. The size limit is the default maximum size of a body.
const MAX_LINGER: Duration = Duration::from_secs(2);
const MAX_LINGER_BYTES: usize = 4 << 20;
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Whether the socket has unread data.
pub(crate) fn has_unread(stream: &TcpStream) -> bool {
    matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(1..))
}

/// Shuts down the write side, then reads until the client closes its side or a limit is reached.
pub(crate) async fn linger(stream: &TcpStream) {
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let _ = timeout(MAX_LINGER, read_until_closed(stream)).await;
}

async fn read_until_closed(stream: &TcpStream) {
    let (mut buffer, mut read) = (vec![0; READ_BUFFER_BYTES], 0);
    while read < MAX_LINGER_BYTES {
        match timeout(MAX_SILENCE, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return,
        }
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(length) => read += length,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
