//! Takes clients' connections.

use std::sync::Arc;

use tokio::net::TcpListener;

use crate::shared::Shared;

/// Serves clients' connections from `listener` until the process is to end and all in hand is answered.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let _ = listener;
    shared.lifecycle.grace_over().await;
}
