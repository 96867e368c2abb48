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
use crate::lifecycle::STILL_ACCEPTED;
use crate::shared::Shared;

/// Who connects asks right away: one that has not by then is the first to make room.
const YOUNG: Duration = Duration::from_millis(50);
/// Connections ended together where there is no room: they come by hundreds.
const EVICTED_AT_ONCE: usize = 8;
/// How long it is waited after an accept that failed: what goes wrong here passes.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The connections open.
#[derive(Default)]
struct Clients {
    open: Mutex<OpenClients>,
}

#[derive(Default)]
struct OpenClients {
    last: u64,
    by_number: BTreeMap<u64, Arc<Client>>,
}

impl Clients {
    fn lock(&self) -> MutexGuard<'_, OpenClients> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, client: Arc<Client>) -> u64 {
        let mut open = self.lock();
        open.last += 1;
        let number = open.last;
        open.by_number.insert(number, client);
        number
    }

    fn remove(&self, number: u64) {
        self.lock().by_number.remove(&number);
    }

    /// Makes room for a few: first those that never asked, then those that have rested for longest.
    fn evict_some(&self, shared: &Shared) {
        let open = self.lock();
        let resting = open.by_number.values().filter(|client| !client.is_leaving());
        let resting = resting.filter_map(|client| {
            let since = client.idle_since()?;
            let old = client.has_asked() || since.elapsed() > YOUNG;
            old.then_some((client.has_asked(), since, client))
        });
        let mut resting: Vec<_> = resting.collect();
        resting.sort_by_key(|(asked, since, _)| (*asked, *since));
        for (_, _, client) in resting.into_iter().take(EVICTED_AT_ONCE) {
            shared.count(Cause::ClientEvicted);
            client.evict();
        }
    }
}

/// Serves clients' connections from `listener` until the process is to end and all in hand is answered, or its
/// grace is over.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let clients = Arc::new(Clients::default());
    let take = |stream: TcpStream, permit: OwnedSemaphorePermit| {
        let client = Arc::new(Client::new(stream));
        let number = clients.add(Arc::clone(&client));
        let (clients, shared) = (Arc::clone(&clients), Arc::clone(&shared));
        tokio::spawn(async move {
            connection::serve(client, shared).await;
            clients.remove(number);
            drop(permit);
        });
    };
    let mut late = std::pin::pin!(shared.lifecycle.ended_for(STILL_ACCEPTED));
    loop {
        tokio::select! {
            biased;
            () = late.as_mut() => break,
            (stream, permit) = accept(&listener, &clients, &shared) => take(stream, permit),
        }
    }
    // What the kernel has taken up for us by now would be reset with the listener.
    while let (Some(stream), Some(permit)) = (accept_waiting(&listener).await, shared.front.try_take()) {
        take(stream, permit);
    }
    drop(listener);
    tokio::select! {
        () = shared.front.emptied() => {}
        () = shared.lifecycle.grace_over() => shared.check_late_requests(),
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
    clients: &Clients,
    shared: &Shared,
) -> (TcpStream, OwnedSemaphorePermit) {
    loop {
        let permit = match shared.front.try_take() {
            Some(permit) => permit,
            None => {
                // Beyond the budget the kernel holds what comes until a place is free.
                clients.evict_some(shared);
                tokio::select! {
                    Some(permit) = shared.front.take() => permit,
                    () = sleep(ACCEPT_PAUSE) => continue,
                }
            }
        };
        match listener.accept().await {
            Ok((stream, _)) => return (stream, permit),
            Err(wrong) => {
                slog::warn!(shared.log, "accept failed"; "error" => %wrong);
                clients.evict_some(shared);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
