//! A stand-in for the system that begins work on machines, and for its staff: it keeps a fence as the fleet's
//! receivers do, begins each piece of work once, and says when it is over. Called by `work` and by tests.

use std::collections::{BTreeMap, BTreeSet};
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
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::emulate::Inventory;
use crate::history::{Kind, Line};
use crate::rig::{called, Record};
use crate::sync::lock;

const AGAIN: Duration = Duration::from_millis(400);

/// What a piece of work does to its machine besides.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    Nothing,
    /// It starts anew, and discovery says so.
    Restarts,
    /// It comes up at another address while it is still under work.
    Moves,
    /// It leaves the list and is listed again.
    Unlisted,
    /// It fails at first.
    Fails,
}

struct State {
    seen: u64,
    begun: BTreeSet<String>,
    under: BTreeMap<String, u32>,
    rng: fastrand::Rng,
    /// Calls that get no answer though they are carried out, out of ten.
    mute: u32,
    pub twice: Vec<String>,
    again: u64,
}

#[derive(Clone)]
pub struct Maintenance {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    inventory: Arc<Inventory>,
    admins: Arc<Vec<watch::Receiver<Option<SocketAddr>>>>,
    record: Arc<Mutex<Record>>,
    /// Of a piece of work, at the least and at the most.
    work_us: (u64, u64),
}

impl Maintenance {
    pub async fn start(
        inventory: Arc<Inventory>,
        admins: Vec<watch::Receiver<Option<SocketAddr>>>,
        record: Arc<Mutex<Record>>,
        work_us: (u64, u64),
        seed: u64,
        mute: u32,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = State {
            seen: 0,
            begun: BTreeSet::new(),
            under: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed ^ 0x3a),
            mute,
            twice: Vec::new(),
            again: 0,
        };
        let maintenance = Maintenance {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            inventory,
            admins: Arc::new(admins),
            record,
            work_us,
        };
        let serving = maintenance.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let serving = serving.clone();
                tokio::spawn(async move {
                    let answer = service_fn(move |request| serving.clone().answered(request));
                    let http = hyper::server::conn::http1::Builder::new();
                    let _ = http.serve_connection(TokioIo::new(stream), answer).await;
                });
            }
        });
        Ok(maintenance)
    }

    /// Machines begun, calls repeated under the same id, and work begun a second time.
    pub fn told(&self) -> (usize, u64, Vec<String>) {
        let state = lock(&self.state);
        (state.begun.len(), state.again, state.twice.clone())
    }

    fn line(&self, kind: Kind) {
        lock(&self.record).lines.push(Line { t_us: now_us(), kind });
    }

    async fn answered(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let body = request.into_body().collect().await?.to_bytes();
        let call: Value = serde_json::from_slice(&body).unwrap_or_default();
        let text = |name: &str| call[name].as_str().unwrap_or_default().to_owned();
        let (id, machine, token) = (text("id"), text("machine"), call["token"].as_u64().unwrap_or(0));
        let (status, said, mute) = self.begin(id, machine, token);
        if mute {
            // Carried out, and nobody hears of it.
            sleep(Duration::from_secs(3)).await;
        }
        let mut answer = Response::new(Full::new(Bytes::from(said.to_string())));
        *answer.status_mut() = status;
        Ok(answer)
    }

    fn begin(&self, id: String, machine: String, token: u64) -> (StatusCode, Value, bool) {
        let mut state = lock(&self.state);
        if token < state.seen {
            let seen = state.seen;
            drop(state);
            self.line(Kind::StaleBegin { machine, token, seen });
            return (StatusCode::CONFLICT, json!({"seen": seen}), false);
        }
        state.seen = token;
        let mute = state.rng.u32(0..10) < state.mute;
        if !state.begun.insert(id.clone()) {
            state.again += 1;
            return (StatusCode::OK, json!({"begun": "before"}), mute);
        }
        let times = state.under.entry(machine.clone()).or_default();
        *times += 1;
        if *times > 1 {
            state.twice.push(format!("{machine} begun twice, the second time as {id}"));
        }
        let long = Duration::from_micros(state.rng.u64(self.work_us.0..self.work_us.1));
        let does = [Does::Nothing, Does::Nothing, Does::Restarts, Does::Moves, Does::Unlisted, Does::Fails];
        let does = does[state.rng.usize(0..does.len())];
        drop(state);
        self.line(Kind::WorkBegins { machine: machine.clone(), token, id });
        tokio::spawn(self.clone().work(machine, long, does));
        (StatusCode::OK, json!({"begun": "now"}), mute)
    }

    async fn work(self, machine: String, long: Duration, does: Does) {
        let number = machine.strip_prefix("s-").and_then(|number| number.parse::<usize>().ok());
        let unix_ms = || {
            let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            since.unwrap_or_default().as_millis() as u64
        };
        sleep(long / 2).await;
        if let Some(number) = number {
            // It shows up in discovery as serving in each case, while work goes on.
            match does {
                Does::Restarts => {
                    self.inventory.backend(number).restarted();
                    self.inventory.change(number, |_, started, _| *started = unix_ms());
                }
                Does::Moves => {
                    let mut moved = self.inventory.backend(number);
                    if moved.move_on().await.is_ok() {
                        self.inventory.change(number, |backend, _, _| *backend = moved);
                    }
                }
                Does::Unlisted => {
                    self.inventory.change(number, |_, _, listed| *listed = false);
                    sleep(long / 4).await;
                    self.inventory.change(number, |_, _, listed| *listed = true);
                }
                Does::Nothing | Does::Fails => {}
            }
        }
        sleep(long / 2).await;
        if does == Does::Fails {
            self.say("FAILED", &machine, |said| said.is_ok()).await;
            sleep(long / 2).await;
        }
        // From the first word on the fleet may use it again.
        self.line(Kind::WorkEnds { machine: machine.clone() });
        self.say("DONE", &machine, |said| match said {
            Ok(_) => true,
            // It may have been agreed by a call whose answer was lost.
            Err(why) => why.contains("no open plan"),
        })
        .await;
    }

    async fn say(&self, word: &str, machine: &str, enough: impl Fn(&Result<String, String>) -> bool) {
        loop {
            let at = fastrand::usize(0..self.admins.len());
            let admin = *self.admins[at].borrow();
            if let Some(admin) = admin {
                // A new call each time: one that was refused since it came too soon would be so for good.
                let said =
                    called(admin, &format!("FLEET WORK {word} {:x} {machine}", fastrand::u128(1..))).await;
                if enough(&said) {
                    return;
                }
            }
            sleep(AGAIN).await;
        }
    }
}
