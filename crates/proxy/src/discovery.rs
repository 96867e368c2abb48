//! Follows the list of backends: opens a watch whenever the balancer requests one and feeds it the updates.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use crankpick::interface::{Listed, Phase};
use crankpick::retry::{Failure, Retry, CONNECT_TIMEOUT_US, RESPONSE_TIMEOUT_US, WATCH_TIMEOUT_US};
use crankpick_launch::Instance;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::Response;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::backends::Backends;
use crate::balancer::BalancerHandle;
use crate::registry::BackendRegistry;

/// Timeouts of a call; derived in `crankpick::retry` together with the backoff between calls.
const WATCH_TIMEOUT: Duration = Duration::from_micros(WATCH_TIMEOUT_US);
const RESPONSE_TIMEOUT: Duration = Duration::from_micros(RESPONSE_TIMEOUT_US);
const CONNECT_TIMEOUT: Duration = Duration::from_micros(CONNECT_TIMEOUT_US);
/// Minimum and maximum backoff if a local agent serves the list; doubled after each failure. Updates are
/// expected to be applied as soon as the agent has them, and the shortest drain grace period observed is 150
/// ms.
const AGENT_BACKOFF: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(120)];
/// Maximum size of a list in bytes; guards against one that never ends.
const MAX_LIST_BYTES: usize = 8 << 20;

#[derive(Deserialize, Default)]
pub struct List {
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    pub instances: Vec<Value>,
}

/// Why a call to discovery or a watch ended; `why` is only logged.
struct WatchError {
    failure: Failure,
    why: String,
}

impl WatchError {
    /// No connection, or no response in time.
    fn silent(why: impl Into<String>) -> Self {
        WatchError { failure: Failure::Silent, why: why.into() }
    }

    /// Discovery was reached, but rejected the call, closed it or sent something that can't be parsed.
    fn refused(why: impl Into<String>) -> Self {
        WatchError { failure: Failure::Refused, why: why.into() }
    }
}

impl From<hyper::Error> for WatchError {
    fn from(error: hyper::Error) -> Self {
        WatchError::refused(error.to_string())
    }
}

pub struct Discovery {
    balancer: Arc<BalancerHandle>,
    backends: Arc<Backends>,
    zones: Vec<String>,
    registry: Arc<Mutex<BackendRegistry>>,
    generation: u64,
    /// Setting `Safety.RemovalNotBinding`: backends that the list drops may still receive requests.
    removal_not_binding: bool,
    /// Dropped by the list, but the balancer may still use them.
    dropped: BTreeMap<u32, String>,
    /// A full list is needed before updates can be applied: discovery has moved to a new address, or its
    /// generation went back.
    full_list_needed: bool,
    /// Whether the list is pushed to a local agent.
    pushed: bool,
    /// Maximum delay of the first call, so that proxies that start together don't call at the same time.
    start: Duration,
    /// Whether anything was received yet.
    received: watch::Sender<bool>,
}

impl Discovery {
    pub fn new(
        balancer: Arc<BalancerHandle>,
        backends: Arc<Backends>,
        zones: Vec<String>,
        registry: Arc<Mutex<BackendRegistry>>,
        removal_not_binding: bool,
        pushed: bool,
        proxies: usize,
    ) -> Self {
        let start_us = if pushed { 0 } else { Retry::new(proxies).start_spread_us() };
        Discovery {
            balancer,
            backends,
            zones,
            registry,
            generation: 0,
            removal_not_binding,
            dropped: BTreeMap::new(),
            full_list_needed: false,
            pushed,
            start: Duration::from_micros(start_us),
            received: watch::Sender::new(false),
        }
    }

    /// Becomes true with the first message from discovery.
    pub fn received(&self) -> watch::Receiver<bool> {
        self.received.subscribe()
    }

    /// Removes a backend; if removal is not binding, only once the balancer no longer uses it.
    fn remove(&mut self, id: &str, backend: u32) {
        if self.removal_not_binding {
            self.dropped.insert(backend, id.to_owned());
        } else {
            self.registry().remove(id);
            self.backends.forget(backend);
        }
    }

    fn release_unused(&mut self) {
        let balancer = Arc::clone(&self.balancer);
        let unused = self.dropped.extract_if(.., |backend, _| !balancer.uses(*backend));
        for (backend, id) in unused.collect::<Vec<_>>() {
            self.registry().remove(&id);
            self.backends.forget(backend);
        }
    }

    fn registry(&self) -> MutexGuard<'_, BackendRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Parses an entry and records its address.
    fn entry(&mut self, entry: &Value) -> Result<Listed, String> {
        let instance = Instance::deserialize(entry).map_err(|error| error.to_string())?;
        let last = self.registry().latest(&instance.instance_id);
        let listed = instance.listed(last.backend, &self.zones)?;
        if listed.phase == Phase::Gone {
            // A removal may contain the id alone. Its zone and cell still matter for requests that may have run
            // there.
            self.remove(&instance.instance_id, last.backend);
            return Ok(Listed { phase: Phase::Gone, ..last });
        }
        let address = instance.host_port.parse();
        let address = address.map_err(|_| format!("hostPort {:?}", instance.host_port))?;
        self.backends.endpoints().set_address(listed.backend, address);
        self.dropped.remove(&listed.backend);
        self.registry().insert(instance.instance_id, listed);
        Ok(listed)
    }

    /// Applies the list stored before the start, completely or not at all.
    pub fn load_known(&mut self, list: &List) -> Result<(), String> {
        let items: Result<Vec<Listed>, String> =
            list.instances.iter().map(|entry| self.entry(entry)).collect();
        self.generation = list.generation;
        let items = items?;
        self.update_serving(&items);
        self.balancer.list(true, &items);
        Ok(())
    }

    /// Applies an update. An invalid entry must not block the others: its backend counts as draining until a
    /// valid entry arrives.
    fn update(&mut self, list: &List) {
        let mut items: Vec<Listed> = Vec::new();
        if list.reset {
            let id = |entry| Value::get(entry, "instanceId").and_then(Value::as_str);
            let named: BTreeSet<&str> = list.instances.iter().filter_map(id).collect();
            let missing = self.registry().missing(&named);
            missing.iter().for_each(|(id, backend)| self.remove(id, *backend));
        }
        for entry in &list.instances {
            items.extend(self.entry(entry).or_else(|error| {
                tracing::warn!(code = "entry_unsound", "{error}, in {entry}");
                let id = entry.get("instanceId").and_then(Value::as_str).ok_or(())?;
                Ok::<_, ()>(Listed { phase: Phase::Terminating, ..self.registry().latest(id) })
            }));
        }
        self.generation = list.generation;
        self.update_serving(&items);
        self.balancer.list(list.reset, &items);
        self.release_unused();
    }

    /// Updates the serving state, which also applies to executions still waiting for a connection. Removed
    /// backends keep theirs: removal may not be binding.
    fn update_serving(&self, items: &[Listed]) {
        for item in items.iter().filter(|item| item.phase != Phase::Gone) {
            self.backends.endpoints().set_serving(item.backend, item.phase == Phase::Ready);
        }
    }

    /// Runs forever. The balancer requests each call and sets the backoff after a failure. A new address is
    /// called at once; until it has sent a list, the backends known so far stay.
    pub fn follow(
        self,
        address_changes: watch::Receiver<SocketAddr>,
        list_requested: Arc<Notify>,
    ) -> impl Future<Output = ()> {
        let first = *address_changes.borrow();
        self.follow_from(first, address_changes, list_requested)
    }

    async fn follow_from(
        mut self,
        mut last: SocketAddr,
        mut address_changes: watch::Receiver<SocketAddr>,
        list_requested: Arc<Notify>,
    ) {
        let mut backoff = AGENT_BACKOFF[0];
        sleep(self.start.mul_f64(fastrand::f64())).await;
        loop {
            tokio::select! {
                () = list_requested.notified() => {}
                Ok(()) = address_changes.changed() => {}
            }
            // Both may be ready at once, so the branch that was taken doesn't show whether the address changed.
            let address = *address_changes.borrow_and_update();
            self.full_list_needed |= std::mem::replace(&mut last, address) != address;
            let previous = self.generation;
            let WatchError { failure, why } = tokio::select! {
                ended = self.watch(address) => {
                    let Err(error) = ended;
                    error
                }
                Ok(()) = address_changes.changed() => {
                    tracing::info!(code = "watch_moved", %address, generation = self.generation, "discovery address changed");
                    address_changes.mark_changed();
                    continue;
                }
            };
            tracing::warn!(code = "watch_ended", %address, generation = self.generation, "{why}");
            if self.pushed {
                backoff = if previous == self.generation {
                    (backoff * 2).min(AGENT_BACKOFF[1])
                } else {
                    AGENT_BACKOFF[0]
                };
                sleep(backoff).await;
                list_requested.notify_one();
            } else {
                self.balancer.notify(|inbox| inbox.list_failed(failure));
            }
        }
    }

    /// Called at a watch's first object or empty line: resets the failure count, so that the next failure
    /// counts as the first, however long the watch is idle before it. The response head alone isn't enough, as
    /// the watch may still be rejected.
    fn watch_confirmed(&self, address: SocketAddr) {
        tracing::info!(code = "watch_tells", %address, generation = self.generation, "the list is followed");
        self.balancer.list(false, &[]);
    }

    /// Runs one watch until it ends.
    async fn watch(&mut self, address: SocketAddr) -> Result<Infallible, WatchError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| WatchError::silent("no connection"))?;
        let stream = stream.map_err(|error| WatchError::silent(error.to_string()))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        // Ends by itself when the response below is dropped.
        tokio::spawn(connection);
        if self.full_list_needed {
            let full_list = get(&mut sender, address, "/api/targets".to_owned()).await?.into_body();
            let full_list =
                timeout(RESPONSE_TIMEOUT, Limited::new(full_list, MAX_LIST_BYTES).collect()).await;
            let full_list = full_list.map_err(|_| WatchError::silent("silent"))?;
            let full_list = full_list.map_err(|error| WatchError::refused(error.to_string()))?.to_bytes();
            let list = parse_list(&full_list).map_err(WatchError::refused)?;
            self.update(&List { reset: true, ..list });
            self.full_list_needed = false;
            sender.ready().await?;
        }
        let path = format!("/api/targets?watch=1&after={}", self.generation);
        let mut body = get(&mut sender, address, path).await?.into_body();
        let (mut object, mut last_activity, mut confirmed) = (ObjectParser::default(), Instant::now(), false);
        loop {
            // Single bytes don't reset the timeout: only a complete object or an empty line between two does.
            let frame = timeout_at(last_activity + WATCH_TIMEOUT, body.frame())
                .await
                .map_err(|_| WatchError::silent("silent"))?;
            let Some(frame) = frame else { return Err(WatchError::refused("closed")) };
            let Ok(data) = frame?.into_data() else { continue };
            for byte in data {
                if object.push(byte).map_err(WatchError::refused)? {
                    let list = parse_list(&object.text).map_err(WatchError::refused)?;
                    if list.generation < self.generation && !list.reset {
                        self.full_list_needed = true;
                        return Err(WatchError::refused(format!("went back to {}", list.generation)));
                    }
                    self.update(&list);
                    object = ObjectParser::default();
                } else if byte != b'\n' || !object.text.is_empty() {
                    continue;
                }
                last_activity = Instant::now();
                if !std::mem::replace(&mut confirmed, true) {
                    self.watch_confirmed(address);
                }
            }
            self.received.send_if_modified(|received| !std::mem::replace(received, true));
        }
    }
}

/// Incremental parser for one JSON object of a watch, on one line or indented over several.
#[derive(Default)]
struct ObjectParser {
    text: Vec<u8>,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl ObjectParser {
    /// Consumes one byte; returns whether the object is complete. Fails on input that can't be part of a list.
    fn push(&mut self, byte: u8) -> Result<bool, String> {
        if self.text.is_empty() && byte.is_ascii_whitespace() {
            return Ok(false);
        }
        if self.text.is_empty() && byte != b'{' {
            return Err(format!("unexpected {:?} between objects", char::from(byte)));
        }
        if self.text.len() >= MAX_LIST_BYTES {
            return Err("object is too large".to_owned());
        }
        self.text.push(byte);
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' => self.escaped = self.quoted,
            b'"' => self.quoted = !self.quoted,
            b'{' | b'[' if !self.quoted => self.depth += 1,
            b'}' | b']' if !self.quoted => self.depth -= 1,
            _ => {}
        }
        Ok(self.depth == 0)
    }
}

async fn get(
    sender: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: String,
) -> Result<Response<Incoming>, WatchError> {
    let request = hyper::Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(|error| WatchError::refused(error.to_string()))?;
    let answer = timeout(RESPONSE_TIMEOUT, sender.send_request(request)).await;
    let answer = answer.map_err(|_| WatchError::silent("no answer"))??;
    match answer.status().is_success() {
        true => Ok(answer),
        false => Err(WatchError::refused(format!("answered {}", answer.status()))),
    }
}

fn parse_list(text: &[u8]) -> Result<List, String> {
    serde_json::from_slice(text).map_err(|error| format!("invalid list: {error}"))
}

#[cfg(test)]
#[path = "../tests/unit/discovery.rs"]
mod tests;
