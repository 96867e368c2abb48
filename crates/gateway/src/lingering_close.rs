//! Ends a connection whose client may still be sending: closed over unread bytes it would be reset, and an answer that
//! its client has not taken yet would be lost.

use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the client may send nothing.
const MOST_SILENCE: Duration = Duration::from_millis(250);
/// How long it is read on in all, and for how many bytes: as many as bodies have by default.
const MOST_TIME: Duration = Duration::from_secs(2);
const MOST_BYTES: usize = 4 << 20;
const PART: usize = 16 << 10;

/// Whether bytes came that were not read.
pub(crate) fn has_unread(stream: &TcpStream) -> bool {
    matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(1..))
}

/// Says that no more is written, and reads on until the client says the same, or for a while.
pub(crate) async fn linger(stream: &TcpStream) {
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let _ = timeout(MOST_TIME, read_on(stream)).await;
}

async fn read_on(stream: &TcpStream) {
    let (mut part, mut read) = (vec![0; PART], 0);
    while read < MOST_BYTES {
        match timeout(MOST_SILENCE, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return,
        }
        match stream.try_read(&mut part) {
            Ok(0) => return,
            Ok(length) => read += length,
            Err(wrong) if wrong.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
