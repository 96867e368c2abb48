//! Clients' bodies, read whole in bounded memory.

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

/// What takes no place in the memory: connections are bounded.
const SMALL: usize = 16 << 10;

/// The most that is read of a body that nobody needs.
const MOST_DISCARDED: u64 = 256 << 10;

/// The memory for what is not small, in places of `SMALL` bytes.
pub(crate) struct BodyMemory {
    places: Arc<Semaphore>,
}

/// What may be read of a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    pub most: u64,
    /// How long it may stand still.
    pub still: Duration,
}

/// A whole body with its places in the memory.
pub(crate) struct WholeBody {
    pub bytes: Bytes,
    _places: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    pub fn new(bytes: u64) -> Self {
        let places = usize::try_from(bytes).unwrap_or(usize::MAX) / SMALL;
        BodyMemory { places: Arc::new(Semaphore::new(places.clamp(1, Semaphore::MAX_PERMITS))) }
    }

    fn take(&self, held: &mut Option<OwnedSemaphorePermit>, length: usize) -> Result<(), Refusal> {
        if length <= SMALL {
            return Ok(());
        }
        let there = held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let lacking = length.div_ceil(SMALL).saturating_sub(there);
        let lacking = u32::try_from(lacking).map_err(|_| Refusal::NoMemory)?;
        let taken = Arc::clone(&self.places).try_acquire_many_owned(lacking);
        let taken = taken.map_err(|_| Refusal::NoMemory)?;
        match held {
            Some(held) => held.merge(taken),
            None => *held = Some(taken),
        }
        Ok(())
    }

    /// Reads a body whole, or says why not.
    pub async fn read(&self, mut body: Incoming, limits: BodyLimits) -> Result<WholeBody, Refusal> {
        let mut places = None;
        let told = body.size_hint();
        if told.lower() > limits.most {
            return Err(Refusal::BodyTooLong);
        }
        self.take(&mut places, told.lower() as usize)?;
        let mut read = BytesMut::new();
        loop {
            let next = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx));
            let frame = match timeout(limits.still, next).await {
                Err(_) => return Err(Refusal::BodyTimeout),
                Ok(None) => return Ok(WholeBody { bytes: read.freeze(), _places: places }),
                Ok(Some(Err(_))) => return Err(Refusal::BodyBrokenOff),
                Ok(Some(Ok(frame))) => frame,
            };
            // Trailers stay behind: they belong to the hop that they came on.
            let Ok(data) = frame.into_data() else { continue };
            let length = read.len() + data.len();
            if length as u64 > limits.most {
                return Err(Refusal::BodyTooLong);
            }
            self.take(&mut places, length)?;
            if read.is_empty() && body.is_end_stream() {
                return Ok(WholeBody { bytes: data, _places: places });
            }
            read.extend_from_slice(&data);
        }
    }
}

/// Reads a body that nobody needs, so that its connection can serve on, for so long at most. Whether all of it came.
pub(crate) async fn discard(body: Incoming, within: Duration) -> bool {
    timeout(within, read_to_end(body)).await.unwrap_or(false)
}

async fn read_to_end(mut body: Incoming) -> bool {
    if body.size_hint().lower() > MOST_DISCARDED {
        return false;
    }
    let mut read = 0;
    while read <= MOST_DISCARDED {
        match poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
            None => return true,
            Some(Ok(frame)) => read += frame.data_ref().map_or(0, |data| data.len() as u64),
            Some(Err(_)) => return false,
        }
    }
    false
}
