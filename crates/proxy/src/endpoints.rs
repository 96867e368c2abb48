//! Addresses of the backends, and which of them may receive new requests. Written by `discovery` and by those
//! that take backends out; read by `backends` and `connect` directly before the first byte of an execution,
//! since the state may change after the decision.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

#[derive(Default)]
struct All {
    endpoints: BTreeMap<u32, Endpoint>,
    /// Taken out by operators or by the fleet; may contain backends that are not listed.
    out: BTreeSet<u32>,
}

struct Endpoint {
    address: SocketAddr,
    /// Whether the list has it as serving rather than draining.
    serving: bool,
}

#[derive(Default)]
pub struct Endpoints {
    all: Mutex<All>,
    changed: watch::Sender<()>,
}

impl Endpoints {
    fn change(&self, change: impl FnOnce(&mut All)) {
        change(&mut self.lock());
        self.changed.send_replace(());
    }

    fn lock(&self) -> MutexGuard<'_, All> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the address from the list.
    pub fn set_address(&self, backend: u32, address: SocketAddr) {
        self.change(|all| {
            let serving = all.endpoints.get(&backend).is_some_and(|endpoint| endpoint.serving);
            all.endpoints.insert(backend, Endpoint { address, serving });
        });
    }

    pub fn set_serving(&self, backend: u32, serving: bool) {
        self.change(|all| {
            all.endpoints.get_mut(&backend).into_iter().for_each(|endpoint| endpoint.serving = serving)
        });
    }

    pub fn forget(&self, backend: u32) {
        self.change(|all| {
            all.endpoints.remove(&backend);
        });
    }

    pub fn set_drained(&self, backend: u32, out: bool) {
        self.change(|all| {
            match out {
                true => all.out.insert(backend),
                false => all.out.remove(&backend),
            };
        });
    }

    /// The address for new requests to this backend; None if it may receive none.
    pub fn available_address(&self, backend: u32) -> Option<SocketAddr> {
        let all = self.lock();
        let endpoint =
            all.endpoints.get(&backend).filter(|endpoint| endpoint.serving && !all.out.contains(&backend));
        endpoint.map(|endpoint| endpoint.address)
    }

    /// Completes when this backend may no longer receive new requests at this address.
    pub async fn unavailable(&self, backend: u32, address: SocketAddr) {
        let mut changed = self.changed.subscribe();
        while self.available_address(backend) == Some(address) {
            if changed.changed().await.is_err() {
                std::future::pending().await
            }
        }
    }
}
