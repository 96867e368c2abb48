//! Clients: queries at a steady rate to proxies, each with a deadline, and what came of them. Called by `rig`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use crankpick_carry::clock::now_us;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep_until, timeout, Instant};

use crate::sync::lock;

/// What clients wait for, and the slack with which an answer counts as in time.
pub const DEADLINE: Duration = Duration::from_millis(2_000);
const SLACK: Duration = Duration::from_millis(250);
/// Queries of one proxy's clients that are out at a time.
const MOST_OUT: usize = 256;

/// A query's class: how it may be repeated.
pub const CLASSES: [&str; 3] = ["read", "move", "pay"];

#[derive(Default)]
pub struct Tally {
    pub sent: u64,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    /// Neither answered nor refused in time, by a proxy that was there all the while.
    pub lost: Vec<String>,
    /// The same, where the proxy was killed, stopped or gone meanwhile.
    pub excused: u64,
    pub latency_us: Option<Histogram<u64>>,
    /// Queries that were answered 200, or may have been executed.
    pub fates: BTreeMap<String, &'static str>,
}

/// A proxy as its clients see it. Whoever disturbs it says so here first.
#[derive(Default)]
pub struct Disturbed {
    pub now: AtomicBool,
    /// Grows with each disturbance.
    pub times: AtomicU64,
}

pub struct Load {
    pub tally: Arc<Mutex<Tally>>,
}

type Sender = SendRequest<Full<Bytes>>;

impl Load {
    pub fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, 60_000_000, 3).ok();
        Load { tally: Arc::new(Mutex::new(Tally { latency_us, ..Tally::default() })) }
    }

    /// Clients of one proxy, `rate` queries a second until told to end.
    pub async fn run(
        &self,
        name: String,
        address: watch::Receiver<Option<SocketAddr>>,
        rate: f64,
        seed: u64,
        disturbed: Arc<Disturbed>,
        mut over: watch::Receiver<bool>,
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let idle: Arc<Mutex<Vec<Sender>>> = Arc::default();
        let out = Arc::new(Semaphore::new(MOST_OUT));
        let (mut next, mut number) = (Instant::now(), 0_u64);
        loop {
            next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            tokio::select! {
                () = sleep_until(next) => {}
                _ = over.wait_for(|over| *over) => break,
            }
            // One that is away is known to be: its clients go elsewhere.
            let Some(address) = *address.borrow() else { continue };
            let Ok(permit) = Arc::clone(&out).try_acquire_owned() else { continue };
            number += 1;
            let class = CLASSES[rng.usize(0..CLASSES.len())];
            let id = format!("{name}-{seed:x}-{number}");
            let (tally, idle, disturbed) =
                (Arc::clone(&self.tally), Arc::clone(&idle), Arc::clone(&disturbed));
            tokio::spawn(async move {
                let _permit = permit;
                asked(address, class, id, &tally, &idle, &disturbed).await;
            });
        }
        // Those that are out end by their own deadlines.
        let _ = timeout(DEADLINE + SLACK + SLACK, out.acquire_many(MOST_OUT as u32)).await;
    }
}

impl Default for Load {
    fn default() -> Self {
        Load::new()
    }
}

async fn connected(address: SocketAddr) -> Option<Sender> {
    let stream = timeout(Duration::from_secs(1), TcpStream::connect(address)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

async fn asked(
    address: SocketAddr,
    class: &'static str,
    id: String,
    tally: &Mutex<Tally>,
    idle: &Mutex<Vec<Sender>>,
    disturbed: &Disturbed,
) {
    let times = disturbed.times.load(Ordering::SeqCst);
    let method = if class == "read" { Method::GET } else { Method::POST };
    let request = || {
        let request = Request::builder().method(method.clone()).uri(format!("/{class}/1"));
        let request = request.header("host", "lab").header("x-request-id", &id);
        let request = request.header("x-deadline", format!("{}m", DEADLINE.as_millis()));
        let request =
            if class == "move" { request.header("idempotency-key", format!("k-{id}")) } else { request };
        request.body(Full::default()).expect("a sound request")
    };
    let started_us = now_us();
    lock(tally).sent += 1;
    let kept = loop {
        match lock(idle).pop() {
            Some(sender) if sender.is_ready() => break Some(sender),
            Some(_) => {}
            None => break None,
        }
    };
    let mut fresh = kept.is_none();
    let mut sender = match kept {
        Some(sender) => Some(sender),
        None => connected(address).await,
    };
    let ended = loop {
        let Some(mut with) = sender.take() else { break Err("no connection") };
        let answer = timeout(DEADLINE + SLACK, async {
            let answer = with.send_request(request()).await?;
            let status = answer.status().as_u16();
            answer.into_body().collect().await?;
            Ok::<_, hyper::Error>(status)
        });
        match answer.await {
            Ok(Ok(status)) => {
                if with.is_ready() || !with.is_closed() {
                    lock(idle).push(with);
                }
                break Ok(status);
            }
            // A kept connection that ends as a request crosses: sent once more on a new one, as clients do,
            // where the request can't have been read.
            Ok(Err(wrong))
                if !fresh
                    && (wrong.is_canceled() || wrong.is_incomplete_message())
                    && !disturbed.now.load(Ordering::SeqCst)
                    && disturbed.times.load(Ordering::SeqCst) == times =>
            {
                fresh = true;
                sender = connected(address).await;
            }
            Ok(Err(_)) => break Err("broken off"),
            Err(_) => break Err("no answer in time"),
        }
    };
    let took_us = now_us().saturating_sub(started_us);
    let excused = disturbed.now.load(Ordering::SeqCst) || disturbed.times.load(Ordering::SeqCst) != times;
    let mut tally = lock(tally);
    let fate = match ended {
        Ok(200) => {
            tally.completed += 1;
            if let Some(latency) = &mut tally.latency_us {
                latency.saturating_record(took_us.max(1));
            }
            "completed"
        }
        Ok(429 | 503) => {
            tally.rejected += 1;
            "rejected"
        }
        Ok(_) => {
            tally.aborted += 1;
            "aborted"
        }
        Err(_) if excused => {
            tally.excused += 1;
            "excused"
        }
        Err(why) => {
            tally.lost.push(format!("{id}: {why} after {took_us} us"));
            "lost"
        }
    };
    if class != "read" {
        tally.fates.insert(id, fate);
    }
}
