//! Takes clients' connections, within a budget, until the process is to end and a little longer.

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

/// Who connects asks right away: one that has not by then is the first to make room.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(50);
/// Connections ended together where there is no room: they come by hundreds.
const EVICTION_BATCH: usize = 8;
/// How long it is waited after an accept that failed: what goes wrong here passes.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The connections open.
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

    /// Makes room for a few: first those that never asked, then those that have rested for longest.
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

/// Serves clients' connections from `listener` until the process is to end and all in hand is answered, or its
/// grace is over.
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
    // What the kernel has taken up for us by now would be reset with the listener.
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

/// A connection that waits to be accepted, if there is one.
async fn accept_waiting(listener: &TcpListener) -> Option<TcpStream> {
    tokio::select! {
        biased;
        accepted = listener.accept() => accepted.ok().map(|(stream, _)| stream),
        () = std::future::ready(()) => None,
    }
}

/// The next connection. What goes wrong here passes: no error may end the loop.
async fn accept(
    listener: &TcpListener,
    clients: &OpenConnections,
    shared: &Shared,
) -> (TcpStream, OwnedSemaphorePermit) {
    loop {
        let permit = match shared.client_connections.try_acquire() {
            Some(permit) => permit,
            None => {
                // Beyond the budget the kernel holds what comes until a place is free.
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
