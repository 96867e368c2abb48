//! Follows the list of backends: a watch whenever the module wants one, its lines fed as they come.

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
use crate::decide::Decide;
use crate::names::Names;

/// How long a call may take: worked out in `retry`, together with the waits between calls.
const SILENT: Duration = Duration::from_micros(WATCH_TIMEOUT_US);
const CALL: Duration = Duration::from_micros(RESPONSE_TIMEOUT_US);
const OPENED: Duration = Duration::from_micros(CONNECT_TIMEOUT_US);
/// Between two tries where an agent beside us has the list: it counts as told as soon as the agent has it, and the
/// shortest grace on drains seen is 150 ms. Twice as long after each that failed, up to the second.
const PUSHED: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(120)];
/// Against a list that never ends.
const MOST_TEXT: usize = 8 << 20;

#[derive(Deserialize, Default)]
pub struct List {
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    pub instances: Vec<Value>,
}

/// Why a call to discovery or its watch is over; the reason is for the log alone.
struct Lost {
    failure: Failure,
    why: String,
}

impl Lost {
    /// Nothing came in time, or no connection.
    fn silent(why: impl Into<String>) -> Self {
        Lost { failure: Failure::Silent, why: why.into() }
    }

    /// It is there, and said no, ended, or can't be understood.
    fn refused(why: impl Into<String>) -> Self {
        Lost { failure: Failure::Refused, why: why.into() }
    }
}

impl From<hyper::Error> for Lost {
    fn from(wrong: hyper::Error) -> Self {
        Lost::refused(wrong.to_string())
    }
}

pub struct Discovery {
    decide: Arc<Decide>,
    backends: Arc<Backends>,
    zones: Vec<String>,
    names: Arc<Mutex<Names>>,
    generation: u64,
    /// Whether what the list drops may still be sent to: the settings' word.
    only_draining_binds: bool,
    /// Dropped by the list, but the module may still use them.
    dropped: BTreeMap<u32, String>,
    /// What it told is no base for changes: it has moved and told nothing yet, or its versions went back.
    whole_wanted: bool,
    /// Whether an agent beside us has the list pushed to it.
    pushed: bool,
    /// How long the first call may wait, so that a fleet that starts together doesn't call at once.
    start: Duration,
    /// Whether anything was heard yet.
    heard: watch::Sender<bool>,
}

impl Discovery {
    pub fn new(
        decide: Arc<Decide>,
        backends: Arc<Backends>,
        zones: Vec<String>,
        names: Arc<Mutex<Names>>,
        only_draining_binds: bool,
        pushed: bool,
        proxies: usize,
    ) -> Self {
        let start_us = if pushed { 0 } else { Retry::new(proxies).start_spread_us() };
        Discovery {
            decide,
            backends,
            zones,
            names,
            generation: 0,
            only_draining_binds,
            dropped: BTreeMap::new(),
            whole_wanted: false,
            pushed,
            start: Duration::from_micros(start_us),
            heard: watch::Sender::new(false),
        }
    }

    /// Turns true with the first word of discovery's.
    pub fn heard(&self) -> watch::Receiver<bool> {
        self.heard.subscribe()
    }

    /// Forgets who is gone, or once the module uses it no more where its going binds nobody.
    fn gone(&mut self, id: &str, backend: u32) {
        if self.only_draining_binds {
            self.dropped.insert(backend, id.to_owned());
        } else {
            self.names().gone(id);
            self.backends.forget(backend);
        }
    }

    fn release_unused(&mut self) {
        let decide = Arc::clone(&self.decide);
        let unused = self.dropped.extract_if(.., |backend, _| !decide.uses(*backend));
        for (backend, id) in unused.collect::<Vec<_>>() {
            self.names().gone(&id);
            self.backends.forget(backend);
        }
    }

    fn names(&self) -> MutexGuard<'_, Names> {
        self.names.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One entry, with its address in place.
    fn entry(&mut self, entry: &Value) -> Result<Listed, String> {
        let instance = Instance::deserialize(entry).map_err(|wrong| wrong.to_string())?;
        let last = self.names().last(&instance.instance_id);
        let listed = instance.listed(last.backend, &self.zones)?;
        if listed.phase == Phase::Gone {
            // It may come with its id alone. Its zone and cell still bind what may have run there.
            self.gone(&instance.instance_id, last.backend);
            return Ok(Listed { phase: Phase::Gone, ..last });
        }
        let address = instance.host_port.parse();
        let address = address.map_err(|_| format!("hostPort {:?}", instance.host_port))?;
        self.backends.places().listed(listed.backend, address);
        self.dropped.remove(&listed.backend);
        self.names().listed(instance.instance_id, listed);
        Ok(listed)
    }

    /// Takes in the list from before the start, whole and sound or not at all.
    pub fn known(&mut self, list: &List) -> Result<(), String> {
        let items: Result<Vec<Listed>, String> =
            list.instances.iter().map(|entry| self.entry(entry)).collect();
        self.generation = list.generation;
        let items = items?;
        self.serving(&items);
        self.decide.list(true, &items);
        Ok(())
    }

    /// Takes in news. An entry that can't be understood must not keep the others' from us: its backend
    /// counts as draining until there is better news.
    fn news(&mut self, list: &List) {
        let mut items: Vec<Listed> = Vec::new();
        if list.reset {
            let id = |entry| Value::get(entry, "instanceId").and_then(Value::as_str);
            let named: BTreeSet<&str> = list.instances.iter().filter_map(id).collect();
            let missing = self.names().missing(&named);
            missing.iter().for_each(|(id, backend)| self.gone(id, *backend));
        }
        for entry in &list.instances {
            items.extend(self.entry(entry).or_else(|wrong| {
                tracing::warn!(code = "entry_unsound", "{wrong}, in {entry}");
                let id = entry.get("instanceId").and_then(Value::as_str).ok_or(())?;
                Ok::<_, ()>(Listed { phase: Phase::Terminating, ..self.names().last(id) })
            }));
        }
        self.generation = list.generation;
        self.serving(&items);
        self.decide.list(list.reset, &items);
        self.release_unused();
    }

    /// What waits for its connection is held to the news as well. Whose going binds nobody serves on.
    fn serving(&self, items: &[Listed]) {
        for item in items.iter().filter(|item| item.phase != Phase::Gone) {
            self.backends.places().serving(item.backend, item.phase == Phase::Ready);
        }
    }

    /// Runs for good: the module says when to ask, also how long to wait after a loss. A new address is
    /// asked at once; until it has told of any, the backends known so far stay.
    pub fn follow(self, place: watch::Receiver<SocketAddr>, wanted: Arc<Notify>) -> impl Future<Output = ()> {
        let first = *place.borrow();
        self.follow_from(first, place, wanted)
    }

    async fn follow_from(
        mut self,
        mut last: SocketAddr,
        mut place: watch::Receiver<SocketAddr>,
        wanted: Arc<Notify>,
    ) {
        let mut pause = PUSHED[0];
        sleep(self.start.mul_f64(fastrand::f64())).await;
        loop {
            tokio::select! {
                () = wanted.notified() => {}
                Ok(()) = place.changed() => {}
            }
            // Both may have come at once, so that it is not told by which was taken.
            let address = *place.borrow_and_update();
            self.whole_wanted |= std::mem::replace(&mut last, address) != address;
            let heard = self.generation;
            let Lost { failure, why } = tokio::select! {
                ended = self.watch(address) => {
                    let Err(lost) = ended;
                    lost
                }
                Ok(()) = place.changed() => {
                    tracing::info!(code = "watch_moved", %address, generation = self.generation, "asked elsewhere");
                    place.mark_changed();
                    continue;
                }
            };
            tracing::warn!(code = "watch_ended", %address, generation = self.generation, "{why}");
            if self.pushed {
                pause = if heard == self.generation { (pause * 2).min(PUSHED[1]) } else { PUSHED[0] };
                sleep(pause).await;
                wanted.notify_one();
            } else {
                self.decide.news(|inbox| inbox.list_failed(failure));
            }
        }
    }

    /// A watch's first object or empty line: the next loss is a first one, however long nothing changes until then.
    /// Its answer's head alone says nothing yet, it may still be given up.
    fn tells(&self, address: SocketAddr) {
        tracing::info!(code = "watch_tells", %address, generation = self.generation, "the list is followed");
        self.decide.list(false, &[]);
    }

    /// One watch, to its end.
    async fn watch(&mut self, address: SocketAddr) -> Result<Infallible, Lost> {
        let stream = timeout(OPENED, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| Lost::silent("no connection"))?;
        let stream = stream.map_err(|wrong| Lost::silent(wrong.to_string()))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        // Ends by itself once the answer below is dropped.
        tokio::spawn(connection);
        if self.whole_wanted {
            let whole = asked(&mut sender, address, "/api/targets".to_owned()).await?.into_body();
            let whole = timeout(CALL, Limited::new(whole, MOST_TEXT).collect()).await;
            let whole = whole.map_err(|_| Lost::silent("silent"))?;
            let whole = whole.map_err(|wrong| Lost::refused(wrong.to_string()))?.to_bytes();
            let list = understood(&whole).map_err(Lost::refused)?;
            self.news(&List { reset: true, ..list });
            self.whole_wanted = false;
            sender.ready().await?;
        }
        let path = format!("/api/targets?watch=1&after={}", self.generation);
        let mut body = asked(&mut sender, address, path).await?.into_body();
        let (mut object, mut last, mut told) = (Object::default(), Instant::now(), false);
        loop {
            // Bytes that trickle are no sign of life: only what ends an object, or an empty line between two.
            let frame = timeout_at(last + SILENT, body.frame()).await.map_err(|_| Lost::silent("silent"))?;
            let Some(frame) = frame else { return Err(Lost::refused("closed")) };
            let Ok(data) = frame?.into_data() else { continue };
            for byte in data {
                if object.takes(byte).map_err(Lost::refused)? {
                    let list = understood(&object.text).map_err(Lost::refused)?;
                    if list.generation < self.generation && !list.reset {
                        self.whole_wanted = true;
                        return Err(Lost::refused(format!("went back to {}", list.generation)));
                    }
                    self.news(&list);
                    object = Object::default();
                } else if byte != b'\n' || !object.text.is_empty() {
                    continue;
                }
                last = Instant::now();
                if !std::mem::replace(&mut told, true) {
                    self.tells(address);
                }
            }
            self.heard.send_if_modified(|heard| !std::mem::replace(heard, true));
        }
    }
}

/// One object of a watch as it comes in: on a line, or indented over several.
#[derive(Default)]
struct Object {
    text: Vec<u8>,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Object {
    /// Takes one byte; whether the object is whole with it. Errors name what can be no part of a list.
    fn takes(&mut self, byte: u8) -> Result<bool, String> {
        if self.text.is_empty() && byte.is_ascii_whitespace() {
            return Ok(false);
        }
        if self.text.is_empty() && byte != b'{' {
            return Err(format!("not to be understood: {:?} between objects", char::from(byte)));
        }
        if self.text.len() >= MOST_TEXT {
            return Err("an object past all bounds".to_owned());
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

async fn asked(
    sender: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: String,
) -> Result<Response<Incoming>, Lost> {
    let request = hyper::Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(|wrong| Lost::refused(wrong.to_string()))?;
    let answer = timeout(CALL, sender.send_request(request)).await;
    let answer = answer.map_err(|_| Lost::silent("no answer"))??;
    match answer.status().is_success() {
        true => Ok(answer),
        false => Err(Lost::refused(format!("answered {}", answer.status()))),
    }
}

fn understood(text: &[u8]) -> Result<List, String> {
    serde_json::from_slice(text).map_err(|wrong| format!("not to be understood: {wrong}"))
}

#[cfg(test)]
#[path = "../tests/unit/discovery.rs"]
mod tests;
