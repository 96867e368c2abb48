//! Ejection: a backend whose sends fail well above its peers' gets none for a growing time, then one at a time.

use crate::interface::{Outcome, Timestamp};
use std::time::Duration;

const FIRST_REST: Duration = Duration::from_millis(500);
const LONGEST_REST: Duration = Duration::from_secs(8);
/// What one outcome counts in the failure rate.
const SHARE: f64 = 0.15;
/// Failures in a row that eject without regard to the rate.
const IN_A_ROW: u32 = 3;
/// How far above its peers a failure rate must be.
const TIMES_PEERS: f64 = 2.0;
const ABOVE_PEERS: f64 = 0.15;
/// Good answers in a row after which old ejections are forgotten.
const FORGIVEN: u32 = 32;
/// How much longer it rests where only requests that must not run twice could try it.
const ONCE_PATIENCE: Duration = Duration::from_secs(1);
/// Silence past what was expected after which a send that was given up on shows that its backend is dark.
const DARK: Duration = Duration::from_millis(300);
/// Trials in a row that must succeed, at the most.
const MOST_TRIALS: u32 = 3;

/// What an outcome says of the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Good,
    Bad,
    /// It can't have been this backend, or it was silent all the while.
    Ruinous,
    Nothing,
}

impl Verdict {
    /// `silent` is for how long nothing has come from the backend, if nothing has since the send began.
    pub fn of(outcome: Outcome, silent: Option<Duration>, responded_recently: bool) -> Verdict {
        match outcome {
            Outcome::Done => Verdict::Good,
            Outcome::BackendError | Outcome::Reset => Verdict::Bad,
            Outcome::NoConnection if responded_recently => Verdict::Bad,
            Outcome::NoConnection | Outcome::Misdirected => Verdict::Ruinous,
            Outcome::TimedOut if silent.is_none() => Verdict::Bad,
            Outcome::TimedOut => Verdict::Ruinous,
            // Nobody waits longer for a backend that says nothing at all.
            Outcome::ClientGone if silent.is_some_and(|silent| silent >= DARK) => Verdict::Ruinous,
            Outcome::Refused | Outcome::ClientGone => Verdict::Nothing,
        }
    }
}

/// Whether a backend may be sent requests, by what became of those before.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    rate: f64,
    in_a_row: u32,
    good_in_a_row: u32,
    strikes: u32,
    rest_until: Option<Timestamp>,
    trials_left: u32,
    trial_out: bool,
}

impl Health {
    /// The share of sends that fail, of late.
    pub fn failure_rate(&self) -> f64 {
        self.rate
    }

    /// Whether it rests or is on trial.
    pub fn ejected(&self) -> bool {
        self.rest_until.is_some()
    }

    /// Whether it may be sent a request now; one that may run only once is no trial before its time.
    pub fn open(&self, now: Timestamp, idempotent: bool) -> bool {
        let patience = if idempotent { Duration::ZERO } else { ONCE_PATIENCE };
        self.rest_until.is_none_or(|until| now >= until + patience && !self.trial_out)
    }

    /// A request goes there: where it was ejected, as a trial.
    pub fn begin(&mut self) -> bool {
        self.trial_out |= self.ejected();
        self.ejected()
    }

    /// A send ended; true if the backend is to be ejected, should its service bear it.
    pub fn judge(&mut self, verdict: Verdict, trial: bool, peers: f64) -> bool {
        self.trial_out &= !trial;
        match verdict {
            Verdict::Nothing => false,
            Verdict::Good => {
                self.good();
                false
            }
            Verdict::Bad | Verdict::Ruinous => {
                self.rate += (1.0 - self.rate) * SHARE;
                self.good_in_a_row = 0;
                self.in_a_row += 1;
                if self.ejected() && !trial {
                    // What went out before tells nothing new.
                    return false;
                }
                let above = self.rate > peers * TIMES_PEERS + ABOVE_PEERS;
                let many = self.in_a_row >= IN_A_ROW || self.rate > 2.5 * SHARE;
                trial || verdict == Verdict::Ruinous || above && many
            }
        }
    }

    fn good(&mut self) {
        self.rate -= self.rate * SHARE;
        self.in_a_row = 0;
        self.good_in_a_row += 1;
        if self.good_in_a_row >= FORGIVEN {
            self.strikes = 0;
        }
        if self.ejected() {
            self.trials_left = self.trials_left.saturating_sub(1);
            if self.trials_left == 0 {
                self.rest_until = None;
                self.rate = self.rate.min(SHARE);
            }
        }
    }

    /// It rests, longer each time; `jitter` of 0 to 1 spreads the gateways' trials.
    pub fn eject(&mut self, now: Timestamp, jitter: f64) {
        let doubled = FIRST_REST * (1 << self.strikes.min(4));
        let rest = doubled.min(LONGEST_REST).mul_f64(0.75 + 0.5 * jitter);
        self.strikes += 1;
        self.rest_until = Some(now + rest);
        self.trials_left = self.strikes.min(MOST_TRIALS);
        self.good_in_a_row = 0;
    }
}
