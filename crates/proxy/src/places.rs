//! Where backends are and which of them may get anything new. Written by `discovery` and by those who take backends
//! out; read by `backends` and `connect` right before an execution's first byte, since news may come between its
//! decision and that.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

#[derive(Default)]
struct All {
    places: BTreeMap<u32, Place>,
    /// Out by hand or for the fleet, also those on no list.
    out: BTreeSet<u32>,
}

struct Place {
    address: SocketAddr,
    /// Whether the list has it as serving, not as draining.
    serving: bool,
}

#[derive(Default)]
pub struct Places {
    all: Mutex<All>,
    changed: watch::Sender<()>,
}

impl Places {
    fn change(&self, change: impl FnOnce(&mut All)) {
        change(&mut self.lock());
        self.changed.send_replace(());
    }

    fn lock(&self) -> MutexGuard<'_, All> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// As listed, where the list tells an address.
    pub fn listed(&self, backend: u32, address: SocketAddr) {
        self.change(|all| {
            let serving = all.places.get(&backend).is_some_and(|place| place.serving);
            all.places.insert(backend, Place { address, serving });
        });
    }

    pub fn serving(&self, backend: u32, serving: bool) {
        self.change(|all| all.places.get_mut(&backend).into_iter().for_each(|place| place.serving = serving));
    }

    pub fn forget(&self, backend: u32) {
        self.change(|all| {
            all.places.remove(&backend);
        });
    }

    pub fn out(&self, backend: u32, out: bool) {
        self.change(|all| {
            match out {
                true => all.out.insert(backend),
                false => all.out.remove(&backend),
            };
        });
    }

    /// Where something new may be sent to this backend; None where nothing may.
    pub fn open(&self, backend: u32) -> Option<SocketAddr> {
        let all = self.lock();
        let place = all.places.get(&backend).filter(|place| place.serving && !all.out.contains(&backend));
        place.map(|place| place.address)
    }

    /// Comes once nothing new may go to this backend at this address.
    pub async fn shut(&self, backend: u32, address: SocketAddr) {
        let mut changed = self.changed.subscribe();
        while self.open(backend) == Some(address) {
            if changed.changed().await.is_err() {
                std::future::pending().await
            }
        }
    }
}
