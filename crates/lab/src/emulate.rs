//! Emulated neighbours of the proxies: backends that keep account of what reached them and what took effect,
//! and the discovery that lists them. Called by `rig`.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use crankpick_carry::clock::now_us;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::sleep;

use crate::sync::lock;

/// How long a deduplicated query's first execution stands against repeats of it.
pub const WINDOW_US: u64 = 5_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Nature {
    /// Work of a mean query, in microseconds on a core.
    pub cost_us: u64,
    pub cores: usize,
    /// Of its full speed, when it has just started; it grows to 1 over `cold_us`.
    pub start_speed: f64,
    pub cold_us: u64,
}

impl Default for Nature {
    fn default() -> Self {
        Nature { cost_us: 4_000, cores: 4, start_speed: 0.5, cold_us: 1_000_000 }
    }
}

/// One execution that reached a backend whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    pub t_us: u64,
    pub query: String,
    pub class: String,
    pub backend: usize,
}

/// What all backends of a run saw, together.
#[derive(Default)]
pub struct Account {
    pub executions: Vec<Execution>,
    /// Effects by the query's key or id: when, and where.
    effects: BTreeMap<String, Vec<(u64, usize)>>,
    /// Keys lately seen, in order, with the time from which each is forgotten.
    seen: VecDeque<(u64, String)>,
    pub dropped_repeats: u64,
}

impl Account {
    /// Whether this execution takes effect: a deduplicated one only the first time within its window.
    fn enter(&mut self, t_us: u64, class: &str, query: &str, key: Option<&str>, backend: usize) {
        let (query, class) = (query.to_owned(), class.to_owned());
        while self.seen.front().is_some_and(|(until, _)| *until < t_us) {
            self.seen.pop_front();
        }
        let repeat = key.is_some_and(|key| self.seen.iter().any(|(_, seen)| seen == key));
        if repeat {
            self.dropped_repeats += 1;
        } else {
            let name = key.unwrap_or(&query).to_owned();
            if let Some(key) = key {
                self.seen.push_back((t_us + WINDOW_US, key.to_owned()));
            }
            self.effects.entry(name).or_default().push((t_us, backend));
        }
        self.executions.push(Execution { t_us, query, class, backend });
    }

    /// Non-idempotent and deduplicated queries that took effect more than once.
    pub fn twice(&self, bound: impl Fn(&str) -> bool) -> Vec<String> {
        let twice = self.effects.iter().filter(|(name, times)| times.len() > 1 && bound(name));
        twice.map(|(name, times)| format!("{name} took effect {} times", times.len())).collect()
    }
}

struct Shared {
    number: usize,
    nature: Nature,
    cores: Semaphore,
    held: std::sync::atomic::AtomicUsize,
    started_us: Mutex<u64>,
    account: Arc<Mutex<Account>>,
    slow: std::sync::atomic::AtomicU32,
    down: std::sync::atomic::AtomicBool,
}

#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    shared: Arc<Shared>,
}

impl Backend {
    /// `zone` and `cell` are where the list says that it is.
    pub async fn start(
        number: usize,
        (zone, cell): (String, u32),
        nature: Nature,
        account: Arc<Mutex<Account>>,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            number,
            nature,
            cores: Semaphore::new(nature.cores),
            held: Default::default(),
            started_us: Mutex::new(0),
            account,
            slow: std::sync::atomic::AtomicU32::new(1),
            down: Default::default(),
        });
        let address = Backend::listen(&shared).await?;
        Ok(Backend { id: format!("s-{number}"), address, zone, cell, shared })
    }

    async fn listen(shared: &Arc<Shared>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let serving = Arc::clone(shared);
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let shared = Arc::clone(&serving);
                if shared.down.load(std::sync::atomic::Ordering::Relaxed) {
                    continue;
                }
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    let answer = service_fn(move |request| answered(Arc::clone(&shared), request));
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), answer)
                        .await;
                });
            }
        });
        Ok(address)
    }

    /// The same machine at another address; the old one still answers.
    pub async fn move_on(&mut self) -> std::io::Result<()> {
        self.address = Backend::listen(&self.shared).await?;
        Ok(())
    }

    /// While it is down it ends each connection, and answers nothing.
    pub fn down(&self, down: bool) {
        self.shared.down.store(down, std::sync::atomic::Ordering::Relaxed);
    }

    /// From now on it is so many times slower.
    pub fn slow(&self, times: u32) {
        self.shared.slow.store(times.max(1), std::sync::atomic::Ordering::Relaxed);
    }

    /// As if its process had started anew.
    pub fn restarted(&self) {
        *lock(&self.shared.started_us) = now_us();
    }
}

async fn answered(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    use std::sync::atomic::Ordering::Relaxed;
    let header =
        |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let (query, key) = (header("x-request-id"), header("idempotency-key"));
    let class = request.uri().path().split('/').nth(1).unwrap_or_default().to_owned();
    let _ = request.into_body().collect().await?;
    let Some(query) = query else {
        let mut none = Response::new(Full::default());
        *none.status_mut() = StatusCode::NOT_FOUND;
        return Ok(none);
    };
    if shared.down.load(Relaxed) {
        let mut broken = Response::new(Full::default());
        *broken.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return Ok(broken);
    }
    lock(&shared.account).enter(now_us(), &class, &query, key.as_deref(), shared.number);
    let held = shared.held.fetch_add(1, Relaxed) + 1;
    let Nature { cost_us, start_speed, cold_us, .. } = shared.nature;
    let age_us = now_us().saturating_sub(*lock(&shared.started_us));
    let warm = if cold_us == 0 { 1.0 } else { (age_us as f64 / cold_us as f64).min(1.0) };
    let speed = start_speed + (1.0 - start_speed) * warm;
    let work = cost_us as f64 * f64::from(shared.slow.load(Relaxed)) / speed;
    {
        let _core = shared.cores.acquire().await;
        sleep(Duration::from_micros(work as u64)).await;
    }
    shared.held.fetch_sub(1, Relaxed);
    let mut answer = Response::new(Full::new(Bytes::from(format!("{{\"query\":\"{query}\"}}"))));
    if let Ok(load) = format!("inflight={held}").parse() {
        answer.headers_mut().insert("x-load", load);
    }
    Ok(answer)
}

/// The list as a fleet's own inventory would have it: changed one machine at a time, told whole.
pub struct Inventory {
    entries: Mutex<Vec<(Backend, &'static str, u64, bool)>>,
    list: watch::Sender<(u64, Vec<Value>)>,
}

impl Inventory {
    pub fn of(backends: &[Backend], discovery: &Discovery) -> Self {
        let entries = backends.iter().map(|backend| (backend.clone(), "SERVING", 0, true)).collect();
        Inventory { entries: Mutex::new(entries), list: discovery.list.clone() }
    }

    /// Lifecycle, start, and whether it is listed at all.
    pub fn change(&self, number: usize, change: impl FnOnce(&mut Backend, &mut u64, &mut bool)) {
        let mut entries = lock(&self.entries);
        if let Some((backend, _, started_ms, listed)) = entries.get_mut(number) {
            change(backend, started_ms, listed);
        }
        let there = entries.iter().filter(|(.., listed)| *listed);
        let told =
            there.map(|(backend, lifecycle, started, _)| entry(backend, lifecycle, *started)).collect();
        self.list.send_modify(|list| *list = (list.0 + 1, told));
    }

    pub fn backend(&self, number: usize) -> Backend {
        lock(&self.entries)[number].0.clone()
    }
}

/// Discovery: the list of backends, and watches that follow it.
pub struct Discovery {
    pub address: SocketAddr,
    list: watch::Sender<(u64, Vec<Value>)>,
}

pub fn entry(backend: &Backend, lifecycle: &str, started_ms: u64) -> Value {
    json!({"instanceId": backend.id, "hostPort": backend.address.to_string(), "zone": backend.zone, "cell": backend.cell,
           "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started_ms})
}

impl Discovery {
    pub async fn start(entries: Vec<Value>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (list, _) = watch::channel((1, entries));
        let lists = list.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(watched(stream, lists.subscribe()));
            }
        });
        Ok(Discovery { address, list })
    }

    pub fn known(&self) -> Value {
        let (generation, instances) = self.list.borrow().clone();
        json!({"generation": generation, "reset": true, "instances": instances})
    }

    /// The list from now on.
    pub fn tell(&self, entries: Vec<Value>) {
        self.list.send_modify(|list| *list = (list.0 + 1, entries));
    }
}

async fn watched(stream: TcpStream, mut list: watch::Receiver<(u64, Vec<Value>)>) {
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    while let Ok(Some(first)) = lines.next_line().await {
        // The head ends with an empty line.
        while let Ok(Some(line)) = lines.next_line().await {
            if line.is_empty() {
                break;
            }
        }
        let watch = first.contains("watch=1");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if writer.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        loop {
            let (generation, instances) = list.borrow_and_update().clone();
            let line = json!({"generation": generation, "reset": true, "instances": instances}).to_string();
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if writer.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            if !watch {
                let _ = writer.write_all(b"0\r\n\r\n").await;
                break;
            }
            loop {
                tokio::select! {
                    changed = list.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return,
                    },
                    () = sleep(Duration::from_secs(1)) => {
                        if writer.write_all(b"1\r\n\n\r\n").await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
    }
}
