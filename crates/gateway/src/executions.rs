//! The backends that may have executed a request, and where it may be executed next.
//!
//! A route's `retries` bounds the number of backends that execute one request, however often it is sent to each of them:
//! a stream whose connection was reset may resume at a backend that has already executed it. A backend that has ended
//! does not count: what it executed is over.

use std::sync::Arc;

use crankpick_configuration::RouteRule;
use crankpick_dispatch::{BackendKey, BackendState, Dispatcher, Target};

/// Where a request may be executed next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// At any backend.
    AnyBackend,
    /// Only at these, which have executed it before.
    Among(Vec<BackendKey>),
    /// Nowhere: it may have been executed, and must not be executed again.
    Nowhere,
}

/// A backend that may have executed the request.
#[derive(Clone, Debug)]
struct Executor {
    id: Arc<str>,
    key: BackendKey,
    /// The sends that it may have executed, including one in flight.
    executions: u32,
    /// It could not be connected to after it had executed the request.
    unreachable: bool,
}

/// The backends that may have executed one request.
#[derive(Clone, Debug)]
pub(crate) struct Executions {
    repeatable: bool,
    max_backends: usize,
    executors: Vec<Executor>,
}

impl Executions {
    /// No backend has executed the request yet.
    pub fn new(route: &RouteRule) -> Executions {
        Executions {
            repeatable: route.repeatable(),
            max_backends: route.retries as usize,
            executors: Vec::new(),
        }
    }

    /// Whether no backend may have executed the request.
    pub fn is_empty(&self) -> bool {
        self.executors.is_empty()
    }

    /// Records that the request is about to be sent: from now on this backend may execute it.
    pub fn begin(&mut self, target: &Target) {
        match self.executors.iter_mut().find(|executor| executor.id == target.id) {
            Some(executor) => {
                executor.executions += 1;
                executor.unreachable = false;
            }
            None => self.executors.push(Executor {
                id: Arc::clone(&target.id),
                key: target.backend,
                executions: 1,
                unreachable: false,
            }),
        }
    }

    /// Records that the backend has not executed the last send: it said so, or nothing was written.
    pub fn retract(&mut self, target: &Target) {
        for executor in self.executors.iter_mut().filter(|executor| executor.id == target.id) {
            executor.executions -= 1;
        }
        self.executors.retain(|executor| executor.executions > 0);
    }

    /// Records that no connection to the backend could be established.
    pub fn unreachable(&mut self, target: &Target) {
        for executor in self.executors.iter_mut().filter(|executor| executor.id == target.id) {
            executor.unreachable = true;
        }
    }

    /// Where the request may be executed next, according to the backends that the dispatcher knows.
    pub fn permission(&self, dispatcher: &Dispatcher) -> Permission {
        if self.executors.is_empty() {
            return Permission::AnyBackend;
        }
        if !self.repeatable {
            return Permission::Nowhere;
        }
        let running = self.executors.iter().filter(|executor| !executor.has_ended(dispatcher));
        if running.count() < self.max_backends {
            return Permission::AnyBackend;
        }
        Permission::Among(self.executors.iter().map(|executor| executor.key).collect())
    }

    /// Whether the request may be sent to this backend.
    pub fn permits(&self, dispatcher: &Dispatcher, target: &Target) -> bool {
        match self.permission(dispatcher) {
            Permission::AnyBackend => true,
            Permission::Among(backends) => backends.contains(&target.backend),
            Permission::Nowhere => false,
        }
    }
}

impl Executor {
    /// Whether the backend has ended. It is gone, or its heartbeats have stopped and it accepts no connections: either
    /// alone also befalls a backend that runs.
    fn has_ended(&self, dispatcher: &Dispatcher) -> bool {
        match dispatcher.backend_state(&self.id) {
            None | Some(BackendState::Gone) => true,
            Some(BackendState::Silent) => self.unreachable,
            Some(BackendState::Ready | BackendState::Draining) => false,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/executions.rs"]
mod tests;
