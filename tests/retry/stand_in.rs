//! Discovery as a fleet meets it, in virtual time: it works through calls in turn, as many a second as it can, and
//! gives up what would wait longer than its patience. What it gives up costs it work as well.

use crankpick::retry::{Failure, Retry, CONNECT_TIMEOUT_US, RESPONSE_TIMEOUT_US};
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

pub const SECOND_US: u64 = 1_000_000;
/// A fleet's ordinary calls: each proxy's one in the time after which it would count as not asking, 10 s.
pub const ORDINARY_US: f64 = 10e6;

/// What discovery can do.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Answers, in times the fleet's ordinary calls.
    pub ordinary: f64,
    /// What a call that is given up costs, as a part of one that is answered.
    pub given_up: f64,
    /// How long a call may wait for its turn.
    pub patience_us: u64,
}

/// What happens to the fleet at the start of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// All proxies start together.
    Start,
    /// All watches are reset at once.
    Reset,
    /// All watches fall silent at once.
    Silence,
    /// Discovery has gone down and is back after this long; calls until then are refused at once.
    RefusedUntil(u64),
    /// The same, and calls until then get no answer.
    SilentUntil(u64),
}

impl Event {
    /// From when on discovery can be reached.
    pub fn back_us(self) -> u64 {
        match self {
            Event::RefusedUntil(back_us) | Event::SilentUntil(back_us) => back_us,
            Event::Start | Event::Reset | Event::Silence => 0,
        }
    }
}

/// How a proxy waits.
pub trait Waits: Clone {
    fn start_us(&self) -> u64;
    fn failed(&mut self, failure: Failure) -> Range<u64>;
}

impl Waits for Retry {
    fn start_us(&self) -> u64 {
        Retry::start_spread_us(self)
    }

    fn failed(&mut self, failure: Failure) -> Range<u64> {
        Retry::failed(self, failure)
    }
}

/// The waits that held discovery over its capacity: as short after each failure, so that three fit into 6 s.
#[derive(Clone)]
pub struct ShortWaits;

impl Waits for ShortWaits {
    fn start_us(&self) -> u64 {
        0
    }

    fn failed(&mut self, _: Failure) -> Range<u64> {
        200_000..400_000
    }
}

/// What a run showed.
#[derive(Debug)]
pub struct Run {
    /// When each proxy had heard, counted from when discovery could be reached; those that never did are missing.
    pub heard_us: Vec<u64>,
    /// Calls that came to discovery, by second.
    pub calls: Vec<usize>,
}

impl Run {
    pub fn part_us(&self, part: f64) -> u64 {
        self.heard_us[((self.heard_us.len() - 1) as f64 * part) as usize]
    }

    pub fn last_us(&self) -> u64 {
        self.heard_us.last().copied().unwrap_or(u64::MAX)
    }

    pub fn all_calls(&self) -> usize {
        self.calls.iter().sum()
    }

    pub fn calls_within(&self, seconds: Range<usize>) -> usize {
        self.calls.iter().skip(seconds.start).take(seconds.len()).sum()
    }
}

/// Plays `event` to a fleet until all have heard, or `end_us` is over.
pub fn play(
    proxies: usize,
    waits: impl Waits,
    event: Event,
    capacity: Capacity,
    end_us: u64,
    seed: u64,
) -> Run {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = vec![waits; proxies];
    let answer_us = ORDINARY_US / proxies as f64 / capacity.ordinary;
    let back_us = event.back_us();
    let mut run = Run { heard_us: Vec::new(), calls: vec![0; (end_us / SECOND_US) as usize + 1] };
    let mut busy_until_us = 0.0_f64;
    let first_us = |waits: &mut _| first_call_us(waits, event, &mut rng);
    let first: Vec<u64> = fleet.iter_mut().map(first_us).collect();
    let mut calls: BinaryHeap<Reverse<(u64, usize)>> =
        first.into_iter().enumerate().map(|(proxy, at_us)| Reverse((at_us, proxy))).collect();
    while let Some(Reverse((now_us, proxy))) = calls.pop().filter(|next| next.0 .0 < end_us) {
        run.calls[(now_us / SECOND_US) as usize] += 1;
        let wait_us = busy_until_us - now_us as f64;
        let (failure, took_us) = if now_us < back_us {
            match event {
                Event::SilentUntil(_) => (Failure::Silent, CONNECT_TIMEOUT_US.max(RESPONSE_TIMEOUT_US)),
                _ => (Failure::Refused, 0),
            }
        } else if wait_us > capacity.patience_us as f64 {
            busy_until_us += answer_us * capacity.given_up;
            (Failure::Refused, 0)
        } else {
            busy_until_us = busy_until_us.max(now_us as f64) + answer_us;
            run.heard_us.push((busy_until_us as u64).max(now_us) - back_us);
            continue;
        };
        let again_us = now_us + took_us + rng.u64(fleet[proxy].failed(failure));
        calls.push(Reverse((again_us, proxy)));
    }
    run.heard_us.sort_unstable();
    run
}

fn first_call_us(waits: &mut impl Waits, event: Event, rng: &mut Rng) -> u64 {
    match event {
        Event::Start => rng.u64(0..=waits.start_us()),
        Event::Silence | Event::SilentUntil(_) => rng.u64(waits.failed(Failure::Silent)),
        Event::Reset | Event::RefusedUntil(_) => rng.u64(waits.failed(Failure::Refused)),
    }
}
