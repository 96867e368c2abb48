//! What two processes of one proxy share by halves. Called by `bodies`, `connect` and `front` for their pools.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{watch, Semaphore};
use tokio::time::sleep;

const PAUSE: Duration = Duration::from_millis(20);

/// Of a pool of permits, half is left to another process for as long as one is there.
pub async fn halve(
    mut others: watch::Receiver<usize>,
    room: Arc<Semaphore>,
    whole: usize,
    make_room: impl Fn(),
) {
    let mut left = Vec::new();
    loop {
        if *others.borrow_and_update() == 0 {
            left.clear();
        } else if left.len() < whole / 2 {
            match Arc::clone(&room).try_acquire_owned() {
                Ok(permit) => left.push(permit),
                Err(_) => {
                    make_room();
                    sleep(PAUSE).await;
                }
            }
            continue;
        }
        if others.changed().await.is_err() {
            return;
        }
    }
}
