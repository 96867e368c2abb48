//! Splits resources between two processes of one proxy. Called by `bodies`, `connect` and `front` for their
//! pools.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{watch, Semaphore};
use tokio::time::sleep;

const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Withholds half of a pool's permits while another process runs.
pub async fn cede_half(
    mut others: watch::Receiver<usize>,
    pool: Arc<Semaphore>,
    total: usize,
    make_room: impl Fn(),
) {
    let mut withheld = Vec::new();
    loop {
        if *others.borrow_and_update() == 0 {
            withheld.clear();
        } else if withheld.len() < total / 2 {
            match Arc::clone(&pool).try_acquire_owned() {
                Ok(permit) => withheld.push(permit),
                Err(_) => {
                    make_room();
                    sleep(RETRY_DELAY).await;
                }
            }
            continue;
        }
        if others.changed().await.is_err() {
            return;
        }
    }
}
