//! Clients with kept connections, which know exactly what was written, what came, and how long a connection rested.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::check::REUSE_SHARE;
use crate::clock::Moment;
use crate::configuration::LEAST_TIMEOUT;
use crate::fleet::Fleet;
use crate::history::{EndOfRest, Exchange, Outcome};
use crate::platform::Platform;
use crate::request::Request;
use crate::sync::lock;
use crate::wire::{Rest, Wire, WireError};

/// How long a client waits for anything at all, far beyond any deadline.
const PATIENCE: Duration = Duration::from_secs(15);
/// How long a new connection may take.
const CONNECT: Duration = Duration::from_secs(1);
/// How long a client waits after a connection that did not come up or gave no answer.
const RECONNECT: Duration = Duration::from_millis(100);
/// The longest pause between two parts of a request.
const MOST_SPLIT_MS: u64 = 40;
/// One connection in so many is opened before there is a request for it.
const OPENED_AHEAD: u32 = 8;
/// One connection in so many is left behind after an answer.
const LEFT_BEHIND: u32 = 40;

/// What all clients of a run share.
pub struct Crowd {
    /// The fleet.
    pub fleet: Arc<Fleet>,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The idle timeout of the newest configuration that the operator knows to be taken.
    pub idle_timeout: watch::Sender<Duration>,
    /// Set once no new request is to be sent.
    pub stopping: AtomicBool,
}

/// An open connection.
struct Connection {
    wire: Wire,
    machine: usize,
    relayed: bool,
    /// Whether it was opened before there was a request for it.
    ahead: bool,
    /// Requests sent on it.
    place: u32,
    rest_from: Moment,
}

/// One client.
pub struct Client {
    crowd: Arc<Crowd>,
    rng: Rng,
    number: usize,
    sent: u64,
}

impl Client {
    /// A client; its requests' ids bear its number.
    pub fn new(crowd: &Arc<Crowd>, number: usize, seed: u64) -> Self {
        Client { crowd: Arc::clone(crowd), rng: Rng::with_seed(seed), number, sent: 0 }
    }

    /// Sends requests until the crowd stops.
    pub async fn run(mut self) {
        let mut kept: Option<Connection> = None;
        while !self.crowd.stopping.load(Ordering::Relaxed) {
            let rested = match kept.take() {
                Some(connection) => self.rest(connection).await,
                None => None,
            };
            let connection = match rested {
                Some(connection) => connection,
                None => match self.connect().await {
                    Ok(connection) => connection,
                    Err(_) => {
                        self.crowd.fleet.note("connections that did not come up");
                        sleep(RECONNECT).await;
                        continue;
                    }
                },
            };
            let opened_ahead = connection.place == 0 && self.rng.u32(..OPENED_AHEAD) == 0;
            kept = if opened_ahead && !connection.ahead {
                Some(Connection { ahead: true, ..connection })
            } else {
                self.exchange(connection).await
            };
        }
    }

    async fn connect(&mut self) -> io::Result<Connection> {
        let fleet = &self.crowd.fleet;
        let zone = fleet.layout.zone(self.number % fleet.machines());
        let machine = self.crowd.platform.choose(fleet, &mut self.rng, zone);
        let relayed = self.number % 2 == 1;
        let address = if relayed { fleet.front_relay(machine).address } else { fleet.layout.front(machine) };
        // Nothing can have rested before this.
        let rest_from = fleet.clock.now();
        let wire = Wire::connect(address, CONNECT).await?;
        fleet.note("connections");
        Ok(Connection { wire, machine, relayed, ahead: false, place: 0, rest_from })
    }

    /// Lets a connection rest for a drawn time; none if it can't be used any more.
    async fn rest(&mut self, mut connection: Connection) -> Option<Connection> {
        let fleet = Arc::clone(&self.crowd.fleet);
        let mut limits = self.crowd.idle_timeout.subscribe();
        let mut longest = Duration::ZERO;
        let mut until = connection.rest_from;
        loop {
            let allowed = limits.borrow_and_update().mul_f64(REUSE_SHARE);
            if allowed > longest {
                // A connection may rest for longer once its client knows a larger limit.
                until = connection.rest_from.plus(allowed.mul_f64(self.share_of_rest()));
            }
            longest = allowed;
            tokio::select! {
                () = fleet.clock.sleep_until(until) => break,
                rest = connection.wire.disturbed() => {
                    self.ended_at_rest(&connection, rest);
                    return None;
                }
                changed = limits.changed() => if changed.is_err() { return None },
            }
        }
        if fleet.clock.now().since(connection.rest_from) > longest {
            fleet.note("connections not used again: at rest for too long");
            return None;
        }
        match connection.wire.at_rest() {
            Rest::Open => Some(connection),
            rest => {
                self.ended_at_rest(&connection, rest);
                None
            }
        }
    }

    /// The part of the longest rest for which a connection is to rest.
    fn share_of_rest(&mut self) -> f64 {
        match self.rng.u32(..10) {
            0 => 0.0,
            1..=5 => self.rng.f64(),
            // Close to the end of what is allowed.
            _ => 0.9 + 0.1 * self.rng.f64(),
        }
    }

    fn ended_at_rest(&self, connection: &Connection, rest: Rest) {
        let fleet = &self.crowd.fleet;
        let ended = fleet.clock.now();
        let mut history = lock(&fleet.history);
        if rest == Rest::Bytes {
            history.note("bytes on a connection at rest");
            return;
        }
        let Connection { machine, relayed, rest_from, .. } = *connection;
        history.ends_of_rest.push(EndOfRest { machine, relayed, rest_from, ended });
    }

    /// Sends a request and waits for how it ends; the connection, if it can be kept.
    async fn exchange(&mut self, mut connection: Connection) -> Option<Connection> {
        let fleet = Arc::clone(&self.crowd.fleet);
        self.sent += 1;
        let request = Request::draw(&mut self.rng, format!("c{}-{}", self.number, self.sent));
        let write_began = fleet.clock.now();
        if self.write(&mut connection.wire, &request.bytes()).await.is_err() {
            fleet.note("requests not written whole");
            return None;
        }
        let written = fleet.clock.now();
        let answer = timeout(PATIENCE, connection.wire.read_answer()).await;
        let ended = fleet.clock.now();
        let mut keep = false;
        let outcome = match answer {
            Err(_) => Outcome::Silent,
            Ok(Ok(message)) => {
                keep = !message.head.closes();
                let status = message.head.status().unwrap_or_default();
                let sealed = message.head.value("x-response-seal").is_some();
                Outcome::Answered { status, sealed, flaw: request.flaw(&message) }
            }
            Ok(Err(wrong)) => ending(&wrong),
        };
        if !matches!(outcome, Outcome::Answered { .. }) {
            sleep(RECONNECT).await;
        }
        let mut history = lock(&fleet.history);
        let exchange = Exchange {
            id: request.task.id.clone(),
            kind: request.kind,
            machine: connection.machine,
            relayed: connection.relayed,
            place: connection.place,
            rest_from: connection.rest_from,
            write_began,
            written,
            deadline: write_began.plus(request.deadline.min(LEAST_TIMEOUT)),
            ended,
            outcome,
        };
        history.exchanges.push(exchange);
        connection.place += 1;
        connection.rest_from = history.earliest_rest(&request.task.id, written);
        let left_behind = self.rng.u32(..LEFT_BEHIND) == 0;
        (keep && !left_behind).then_some(connection)
    }

    /// Writes a request, now and then in two parts.
    async fn write(&mut self, wire: &mut Wire, bytes: &[u8]) -> io::Result<()> {
        if self.rng.u32(..10) > 0 {
            return wire.write(bytes).await;
        }
        let (first, second) = bytes.split_at(self.rng.usize(1..bytes.len()));
        wire.write(first).await?;
        sleep(Duration::from_millis(self.rng.u64(..=MOST_SPLIT_MS))).await;
        wire.write(second).await
    }
}

fn ending(wrong: &WireError) -> Outcome {
    match wrong {
        WireError::Malformed { text } => Outcome::Garbled { text: text.clone() },
        _ if wrong.before_first_byte() => Outcome::CutNoAnswer,
        _ => Outcome::CutMidAnswer,
    }
}
