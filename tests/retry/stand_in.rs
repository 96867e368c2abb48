//! Simulates discovery and a fleet in virtual time: discovery processes calls in order at a limited rate and abandons
//! those that would wait longer than its time limit. Abandoned calls cost it work as well.

use crankpick::retry::{Failure, Retry, CONNECT_TIMEOUT_US, RESPONSE_TIMEOUT_US};
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

pub const SECOND_US: u64 = 1_000_000;
/// A fleet's ordinary calls: one per proxy in 10 s, the time after which a proxy counts as not calling.
pub const ORDINARY_US: f64 = 10e6;

/// The capacity of discovery.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// The rate of answers, as a multiple of the fleet's ordinary calls.
    pub ordinary: f64,
    /// The cost of an abandoned call, as a fraction of that of an answered one.
    pub abandoned_cost: f64,
    /// How long a call may wait before it is abandoned.
    pub max_wait_us: u64,
}

/// What happens to the fleet at the start of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// All proxies start together.
    Start,
    /// All watches are reset at once.
    Reset,
    /// All watches stop sending data at once.
    Silence,
    /// Discovery is down and returns after this time; until then calls are refused immediately.
    RefusedUntil(u64),
    /// The same, but until then calls get no answer.
    SilentUntil(u64),
}

impl Event {
    /// When discovery becomes reachable.
    pub fn return_us(self) -> u64 {
        match self {
            Event::RefusedUntil(return_us) | Event::SilentUntil(return_us) => return_us,
            Event::Start | Event::Reset | Event::Silence => 0,
        }
    }
}

/// How long a proxy waits before its first call and after a failure.
pub trait WaitPolicy: Clone {
    fn start_us(&self) -> u64;
    fn failed(&mut self, failure: Failure) -> Range<u64>;
}

impl WaitPolicy for Retry {
    fn start_us(&self) -> u64 {
        Retry::start_spread_us(self)
    }

    fn failed(&mut self, failure: Failure) -> Range<u64> {
        Retry::failed(self, failure)
    }
}

/// Waits that are equally short after every failure, so that three fit into 6 s; they kept discovery overloaded.
#[derive(Clone)]
pub struct ShortWaits;

impl WaitPolicy for ShortWaits {
    fn start_us(&self) -> u64 {
        0
    }

    fn failed(&mut self, _: Failure) -> Range<u64> {
        200_000..400_000
    }
}

/// The results of a simulation.
#[derive(Debug)]
pub struct Run {
    /// When each proxy got its answer, from the time discovery became reachable; proxies without an answer are missing.
    pub answered_us: Vec<u64>,
    /// The number of calls to discovery in each second.
    pub calls: Vec<usize>,
}

impl Run {
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.answered_us[((self.answered_us.len() - 1) as f64 * quantile) as usize]
    }

    pub fn last_us(&self) -> u64 {
        self.answered_us.last().copied().unwrap_or(u64::MAX)
    }

    pub fn all_calls(&self) -> usize {
        self.calls.iter().sum()
    }

    pub fn calls_within(&self, seconds: Range<usize>) -> usize {
        self.calls.iter().skip(seconds.start).take(seconds.len()).sum()
    }
}

/// Simulates `event` for a fleet until all proxies have an answer, or until `end_us`.
pub fn simulate(
    proxies: usize,
    waits: impl WaitPolicy,
    event: Event,
    capacity: Capacity,
    end_us: u64,
    seed: u64,
) -> Run {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = vec![waits; proxies];
    let answer_us = ORDINARY_US / proxies as f64 / capacity.ordinary;
    let return_us = event.return_us();
    let mut run = Run { answered_us: Vec::new(), calls: vec![0; (end_us / SECOND_US) as usize + 1] };
    let mut busy_until_us = 0.0_f64;
    let first_us = |waits: &mut _| first_call_us(waits, event, &mut rng);
    let first: Vec<u64> = fleet.iter_mut().map(first_us).collect();
    let mut calls: BinaryHeap<Reverse<(u64, usize)>> =
        first.into_iter().enumerate().map(|(proxy, at_us)| Reverse((at_us, proxy))).collect();
    while let Some(Reverse((now_us, proxy))) = calls.pop().filter(|next| next.0 .0 < end_us) {
        run.calls[(now_us / SECOND_US) as usize] += 1;
        let wait_us = busy_until_us - now_us as f64;
        let (failure, took_us) = if now_us < return_us {
            match event {
                Event::SilentUntil(_) => (Failure::Silent, CONNECT_TIMEOUT_US.max(RESPONSE_TIMEOUT_US)),
                _ => (Failure::Refused, 0),
            }
        } else if wait_us > capacity.max_wait_us as f64 {
            busy_until_us += answer_us * capacity.abandoned_cost;
            (Failure::Refused, 0)
        } else {
            busy_until_us = busy_until_us.max(now_us as f64) + answer_us;
            run.answered_us.push((busy_until_us as u64).max(now_us) - return_us);
            continue;
        };
        let next_call_us = now_us + took_us + rng.u64(fleet[proxy].failed(failure));
        calls.push(Reverse((next_call_us, proxy)));
    }
    run.answered_us.sort_unstable();
    run
}

fn first_call_us(waits: &mut impl WaitPolicy, event: Event, rng: &mut Rng) -> u64 {
    match event {
        Event::Start => rng.u64(0..=waits.start_us()),
        Event::Silence | Event::SilentUntil(_) => rng.u64(waits.failed(Failure::Silent)),
        Event::Reset | Event::RefusedUntil(_) => rng.u64(waits.failed(Failure::Refused)),
    }
}
