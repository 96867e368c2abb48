//! Reads client request bodies completely, in bounded memory.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::refusal::Refusal;

/// Size of one memory permit. Bodies up to this size need none, since the number of connections is bounded.
const PERMIT_BYTES: usize = 16 << 10;

/// Maximum number of bytes read of a body that is discarded.
const MAX_DISCARDED_BYTES: u64 = 256 << 10;

/// Memory budget for larger bodies, in permits of `PERMIT_BYTES`.
pub(crate) struct BodyMemory {
    permits: Arc<Semaphore>,
}

/// Limits for reading a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    pub max_bytes: u64,
    /// Maximum time without progress.
    pub stall_timeout: Duration,
}

/// A completely read body with its memory permits.
pub(crate) struct BufferedBody {
    pub bytes: Bytes,
    _permits: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    pub fn new(bytes: u64) -> Self {
        let permits = usize::try_from(bytes).unwrap_or(usize::MAX) / PERMIT_BYTES;
        BodyMemory { permits: Arc::new(Semaphore::new(permits.clamp(1, Semaphore::MAX_PERMITS))) }
    }

    fn reserve(&self, permits: &mut Option<OwnedSemaphorePermit>, length: usize) -> Result<(), Refusal> {
        if length <= PERMIT_BYTES {
            return Ok(());
        }
        let available = permits.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = length.div_ceil(PERMIT_BYTES).saturating_sub(available);
        let missing = u32::try_from(missing).map_err(|_| Refusal::NoMemory)?;
        let taken = Arc::clone(&self.permits).try_acquire_many_owned(missing);
        let taken = taken.map_err(|_| Refusal::NoMemory)?;
        match permits {
            Some(permits) => permits.merge(taken),
            None => *permits = Some(taken),
        }
        Ok(())
    }

    /// Reads a body completely, or returns why it is refused.
    pub async fn read(&self, mut body: Incoming, limits: BodyLimits) -> Result<BufferedBody, Refusal> {
        let mut permits = None;
        let announced = body.size_hint();
        if announced.lower() > limits.max_bytes {
            return Err(Refusal::BodyTooLong);
        }
        self.reserve(&mut permits, announced.lower() as usize)?;
        let mut read = BytesMut::new();
        loop {
            let next = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx));
            let frame = match timeout(limits.stall_timeout, next).await {
                Err(_) => return Err(Refusal::BodyTimeout),
                Ok(None) => return Ok(BufferedBody { bytes: read.freeze(), _permits: permits }),
                Ok(Some(Err(_))) => return Err(Refusal::BodyBrokenOff),
                Ok(Some(Ok(frame))) => frame,
            };
            // Trailers are dropped: they belong to the hop on which they were received.
            let Ok(data) = frame.into_data() else { continue };
            let length = read.len() + data.len();
            if length as u64 > limits.max_bytes {
                return Err(Refusal::BodyTooLong);
            }
            self.reserve(&mut permits, length)?;
            if read.is_empty() && body.is_end_stream() {
                return Ok(BufferedBody { bytes: data, _permits: permits });
            }
            read.extend_from_slice(&data);
        }
    }
}

/// Reads and discards a body for up to `time_limit`, so that its connection can be reused. Returns whether
/// all of it was received.
pub(crate) async fn discard(body: Incoming, time_limit: Duration) -> bool {
    timeout(time_limit, read_to_end(body)).await.unwrap_or(false)
}

async fn read_to_end(mut body: Incoming) -> bool {
    if body.size_hint().lower() > MAX_DISCARDED_BYTES {
        return false;
    }
    let mut read = 0;
    while read <= MAX_DISCARDED_BYTES {
        match poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
            None => return true,
            Some(Ok(frame)) => read += frame.data_ref().map_or(0, |data| data.len() as u64),
            Some(Err(_)) => return false,
        }
    }
    false
}
