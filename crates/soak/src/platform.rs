//! The platform in front of the gateways: it asks who is ready, and chooses where a new connection goes.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use fastrand::Rng;
use tokio::time::{interval, timeout, MissedTickBehavior};

use crate::fleet::{call, Fleet};
use crate::sync::lock;

/// How often readiness is asked for, and how long an answer may take.
const QUESTION: Duration = Duration::from_secs(1);
/// After so many misses a gateway receives no new connections.
const MISSES: u32 = 2;

/// Who receives new connections.
pub struct Platform {
    misses: Mutex<Vec<u32>>,
}

impl Platform {
    /// Asks from now on, until the runtime ends.
    pub fn start(fleet: &Arc<Fleet>) -> Arc<Self> {
        let platform = Arc::new(Platform { misses: Mutex::new(vec![MISSES; fleet.machines()]) });
        for machine in 0..fleet.machines() {
            tokio::spawn(ask(Arc::clone(fleet), Arc::clone(&platform), machine));
        }
        platform
    }

    /// Whether a machine receives new connections by itself.
    pub fn is_in(&self, machine: usize) -> bool {
        lock(&self.misses)[machine] < MISSES
    }

    /// Chooses where a connection of a client in this zone goes: where under half of the zone's gateways are in, to any
    /// of the zone.
    pub fn choose(&self, fleet: &Fleet, rng: &mut Rng, zone: &str) -> usize {
        let all: Vec<usize> =
            (0..fleet.machines()).filter(|machine| fleet.layout.zone(*machine) == zone).collect();
        let ready: Vec<usize> = all.iter().copied().filter(|machine| self.is_in(*machine)).collect();
        if !ready.is_empty() && ready.len() * 2 >= all.len() {
            return ready[rng.usize(..ready.len())];
        }
        let elsewhere: Vec<usize> = (0..fleet.machines()).filter(|machine| self.is_in(*machine)).collect();
        match (ready.is_empty(), elsewhere.is_empty()) {
            (true, false) => elsewhere[rng.usize(..elsewhere.len())],
            _ => all[rng.usize(..all.len())],
        }
    }
}

async fn ask(fleet: Arc<Fleet>, platform: Arc<Platform>, machine: usize) {
    let mut ticks = interval(QUESTION);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let asked = timeout(QUESTION, call(fleet.layout.ready(machine), "GET /v1/readyz HTTP/1.1", "")).await;
        let ready = asked.is_ok_and(|answer| answer.is_ok_and(|answer| answer.head.status() == Some(200)));
        let misses = &mut lock(&platform.misses)[machine];
        *misses = if ready { 0 } else { *misses + 1 };
    }
}
