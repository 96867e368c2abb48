//! The operator: changes of the configuration under way one after the other or as rivals, and reads.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use serde_json::Value;
use tokio::time::sleep;

use crate::client::Crowd;
use crate::configuration::{draw, Constants, Drawn};
use crate::fleet::{ControlAnswer, Fleet};
use crate::history::{Order, OrderEnd, Reading};
use crate::patch::{between, Patched};
use crate::sync::lock;

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(1);
/// The first pause after a call without a clear answer; it doubles.
const PAUSE: Duration = Duration::from_millis(50);
const MOST_PAUSE: Duration = Duration::from_millis(800);
/// Pauses between two reads.
const READ_PAUSE_MS: Range<u64> = 30..250;
/// An order on top of another version is refused so.
const OTHER_VERSION: u16 = 412;

/// How an order was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Acknowledged,
    Refused,
    /// It was given up.
    Unclear,
}

/// The operator.
pub struct Operator {
    crowd: Arc<Crowd>,
    constants: Constants,
    /// Pauses between two changes, in milliseconds.
    pauses: Range<u64>,
    rng: Rng,
    /// The newest version that it knows.
    base: u64,
}

impl Operator {
    /// An operator who has sent nothing yet.
    pub fn new(crowd: &Arc<Crowd>, constants: Constants, pauses: Range<u64>, seed: u64) -> Self {
        Operator { crowd: Arc::clone(crowd), constants, pauses, rng: Rng::with_seed(seed), base: 0 }
    }

    fn fleet(&self) -> &Arc<Fleet> {
        &self.crowd.fleet
    }

    /// Sends the first configuration until it is taken.
    pub async fn begin(&mut self) -> bool {
        self.change(false).await
    }

    /// Sends changes until the crowd stops.
    pub async fn run(mut self) {
        while !self.crowd.stopping.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(self.rng.u64(self.pauses.clone()))).await;
            let rival = self.rng.u32(..6) == 0;
            let taken = self.change(rival).await;
            if taken && self.rng.u32(..5) == 0 {
                self.repeat().await;
            }
        }
    }

    /// One change, or two at once on the same version; whether one was acknowledged.
    async fn change(&mut self, rival: bool) -> bool {
        let generation = self.base + self.rng.u64(1..6);
        let drawn = draw(&mut self.rng, generation, self.constants);
        let first = self.file(drawn);
        let seed = self.rng.u64(..);
        let answer = if rival {
            let other_generation = if self.rng.bool() { generation } else { generation + 1 };
            let other = draw(&mut self.rng, other_generation, self.constants);
            let second = self.file(other);
            let (one, other) =
                tokio::join!(submit(&self.crowd, first, seed), submit(&self.crowd, second, !seed));
            if other == Answer::Acknowledged {
                other
            } else {
                one
            }
        } else {
            submit(&self.crowd, first, seed).await
        };
        match answer {
            Answer::Acknowledged => self.learn_acknowledged(),
            Answer::Refused => self.learn_by_reading().await,
            Answer::Unclear => {}
        }
        answer == Answer::Acknowledged
    }

    /// Notes an order before it is sent; its place among the orders. Half of those whose base is known are patches.
    fn file(&mut self, drawn: Drawn) -> usize {
        let as_patch = self.rng.bool();
        let fleet = self.fleet();
        let mut history = lock(&fleet.history);
        let generation = drawn.document["generation"].as_u64().unwrap_or_default();
        let of_base = |order: &&Order| order.generation == self.base && order.acknowledged().is_some();
        let base = history.orders.iter().find(of_base).filter(|_| as_patch);
        let patched = base.map(|base| between(&base.document, base.idle_timeout, &drawn.document));
        let (drawn, patch) = match patched {
            Some(Patched { patch, result }) => (result, Some(patch)),
            None => (drawn, None),
        };
        history.orders.push(Order {
            generation,
            base: self.base,
            document: drawn.document,
            patch,
            idle_timeout: drawn.idle_timeout,
            sent: fleet.clock.now(),
            end: OrderEnd::Open,
        });
        history.orders.len() - 1
    }

    fn learn_acknowledged(&mut self) {
        let history = lock(&self.crowd.fleet.history);
        let taken = history.orders.iter().filter(|order| order.acknowledged().is_some());
        if let Some(order) = taken.max_by_key(|order| order.generation) {
            self.base = order.generation;
            self.crowd.idle_timeout.send_replace(order.idle_timeout);
        }
    }

    /// Another version is in force: it is read.
    async fn learn_by_reading(&mut self) {
        let mut rng = self.rng.fork();
        while !self.crowd.stopping.load(Ordering::Relaxed) {
            let machine = rng.usize(..self.fleet().machines());
            if let Some(document) = read(self.fleet(), machine, false).await {
                self.base = document["generation"].as_u64().unwrap_or(self.base).max(self.base);
                return;
            }
            sleep(PAUSE).await;
        }
    }

    /// Sends the newest acknowledged order once more.
    async fn repeat(&mut self) {
        let newest = {
            let history = lock(&self.fleet().history);
            let place = history.orders.iter().rposition(|order| order.generation == self.base);
            place.map(|place| history.orders[place].clone())
        };
        let Some(order) = newest.filter(|order| order.acknowledged().is_some()) else { return };
        let machine = self.rng.usize(..self.fleet().machines());
        let answer = send(self.fleet(), &order, machine).await;
        self.fleet().note("acknowledged changes sent again");
        if answer.is_some_and(|answer| (400..500).contains(&answer.status) && answer.status != 408) {
            lock(&self.fleet().history).repeats_refused.push(order.generation);
        }
    }
}

/// Sends an order until it has a clear answer, or the run ends.
async fn submit(crowd: &Arc<Crowd>, place: usize, seed: u64) -> Answer {
    let fleet = &crowd.fleet;
    let mut rng = Rng::with_seed(seed);
    let mut pause = PAUSE;
    while !crowd.stopping.load(Ordering::Relaxed) {
        let order = lock(&fleet.history).orders[place].clone();
        let machine = rng.usize(..fleet.machines());
        let status = send(fleet, &order, machine).await.map(|answer| answer.status);
        let now = fleet.clock.now();
        let end = match status {
            Some(200) => OrderEnd::Acknowledged(now),
            Some(OTHER_VERSION) => OrderEnd::Refused(now),
            unclear => {
                let answer = unclear.map_or("nothing".to_owned(), |status| status.to_string());
                fleet.note(&format!("changes answered with {answer} by machine {machine}"));
                sleep(pause.mul_f64(0.5 + rng.f64())).await;
                pause = (pause * 2).min(MOST_PAUSE);
                continue;
            }
        };
        lock(&fleet.history).orders[place].end = end;
        let acknowledged = matches!(end, OrderEnd::Acknowledged(_));
        return if acknowledged { Answer::Acknowledged } else { Answer::Refused };
    }
    Answer::Unclear
}

async fn send(fleet: &Fleet, order: &Order, machine: usize) -> Option<ControlAnswer> {
    let (method, body) = match &order.patch {
        Some(patch) => ("PATCH", patch),
        None => ("PUT", &order.document),
    };
    fleet.note(&format!("changes sent by {method}"));
    let head =
        format!("{method} /v1/config HTTP/1.1\r\nIf-Match: {}\r\nContent-Type: application/json", order.base);
    fleet.call_control(machine, &head, &body.to_string(), PATIENCE).await.ok()
}

/// Reads the configuration at a machine and notes what it answered.
pub async fn read(fleet: &Fleet, machine: usize, last: bool) -> Option<Value> {
    let answer = fleet.call_control(machine, "GET /v1/config HTTP/1.1", "", PATIENCE).await;
    let Ok(answer) = answer else {
        fleet.note("reads answered with nothing");
        return None;
    };
    if answer.status != 200 {
        fleet.note(&format!("reads answered with {}", answer.status));
        return None;
    }
    fleet.note("reads");
    let document: Value = serde_json::from_slice(&answer.message.body).unwrap_or(Value::Null);
    let reading = Reading { sent: answer.sent, machine: answer.machine, document: document.clone(), last };
    lock(&fleet.history).readings.push(reading);
    Some(document)
}

/// Reads the configuration at any machine, again and again, until `stopping`.
pub async fn read_on(fleet: Arc<Fleet>, stopping: Arc<AtomicBool>, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    while !stopping.load(Ordering::Relaxed) {
        let machine = rng.usize(..fleet.machines());
        read(&fleet, machine, false).await;
        sleep(Duration::from_millis(rng.u64(READ_PAUSE_MS))).await;
    }
}
