//! Accepts client connections, up to a limit, until shortly after the shutdown signal.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

use crate::client::Client;
use crate::connection;
use crate::counters::Cause;
use crate::lifecycle::ACCEPT_AFTER_SIGNAL;
use crate::shared::Shared;

/// Clients send a request right after connecting; a connection that has not done so by then is evicted
/// first.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(50);
/// Number of connections evicted together when the limit is reached: new connections arrive by the
/// hundreds.
const EVICTION_BATCH: usize = 8;
/// Delay after a failed accept; such errors are transient.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The open client connections.
#[derive(Default)]
struct OpenConnections {
    open: Mutex<ConnectionTable>,
}

#[derive(Default)]
struct ConnectionTable {
    last_id: u64,
    by_id: BTreeMap<u64, Arc<Client>>,
}

impl OpenConnections {
    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, client: Arc<Client>) -> u64 {
        let mut open = self.lock();
        open.last_id += 1;
        let id = open.last_id;
        open.by_id.insert(id, client);
        id
    }

    fn remove(&self, id: u64) {
        self.lock().by_id.remove(&id);
    }

    /// Evicts a few idle connections: first those that never sent a request, then those that have been idle
    /// longest.
    fn evict_idle(&self, shared: &Shared) {
        let open = self.lock();
        let idle = open.by_id.values().filter(|client| !client.is_closing());
        let idle = idle.filter_map(|client| {
            let since = client.idle_since()?;
            let evictable = client.has_sent_request() || since.elapsed() > FIRST_REQUEST_GRACE;
            evictable.then_some((client.has_sent_request(), since, client))
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort_by_key(|(sent_request, since, _)| (*sent_request, *since));
        for (_, _, client) in idle.into_iter().take(EVICTION_BATCH) {
            shared.count(Cause::ClientEvicted);
            client.evict();
        }
    }
}

/// Serves client connections from `listener` until the shutdown signal has been received and all requests
/// are answered, or the grace period ends.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let clients = Arc::new(OpenConnections::default());
    let start_serving = |stream: TcpStream, permit: OwnedSemaphorePermit| {
        let client = Arc::new(Client::new(stream));
        let id = clients.add(Arc::clone(&client));
        let (clients, shared) = (Arc::clone(&clients), Arc::clone(&shared));
        tokio::spawn(async move {
            connection::serve(client, shared).await;
            clients.remove(id);
            drop(permit);
        });
    };
    let mut accept_until = std::pin::pin!(shared.lifecycle.wait_since_shutdown(ACCEPT_AFTER_SIGNAL));
    loop {
        tokio::select! {
            biased;
            () = accept_until.as_mut() => break,
            (stream, permit) = accept(&listener, &clients, &shared) => start_serving(stream, permit),
        }
    }
    // Connections that the kernel has accepted by now would be reset when the listener is closed.
    while let (Some(stream), Some(permit)) =
        (accept_waiting(&listener).await, shared.client_connections.try_acquire())
    {
        start_serving(stream, permit);
    }
    drop(listener);
    tokio::select! {
        () = shared.client_connections.wait_until_empty() => {}
        () = shared.lifecycle.wait_for_grace_end() => shared.check_late_requests(),
    }
    slog::info!(shared.log, "clients served"; "broken_off" => shared.in_flight(), "up" => ?shared.now());
}

/// Accepts a connection from the backlog, if there is one.
async fn accept_waiting(listener: &TcpListener) -> Option<TcpStream> {
    tokio::select! {
        biased;
        accepted = listener.accept() => accepted.ok().map(|(stream, _)| stream),
        () = std::future::ready(()) => None,
    }
}

/// Accepts the next connection. Accept errors are transient and must not end the loop.
async fn accept(
    listener: &TcpListener,
    clients: &OpenConnections,
    shared: &Shared,
) -> (TcpStream, OwnedSemaphorePermit) {
    loop {
        let permit = match shared.client_connections.try_acquire() {
            Some(permit) => permit,
            None => {
                // Beyond the limit, new connections wait in the kernel's backlog until a permit is free.
                clients.evict_idle(shared);
                tokio::select! {
                    Some(permit) = shared.client_connections.acquire() => permit,
                    () = sleep(ACCEPT_RETRY_DELAY) => continue,
                }
            }
        };
        match listener.accept().await {
            Ok((stream, _)) => return (stream, permit),
            Err(error) => {
                slog::warn!(shared.log, "accept failed"; "error" => %error);
                clients.evict_idle(shared);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
