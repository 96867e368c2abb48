//! Outlier ejection: a backend with a failure rate well above that of its peers receives no requests for an
//! exponentially growing time, then one trial request at a time.

use crate::interface::{Outcome, Timestamp};
use std::time::Duration;

const BASE_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// The weight of one outcome in the failure rate, an exponential moving average.
const FAILURE_RATE_SMOOTHING: f64 = 0.15;
/// The number of consecutive failures that suffices for ejection instead of an absolute failure rate. The failure rate
/// must exceed that of the peers in either case.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// The factor and the margin by which a failure rate must exceed that of the peers.
const PEER_RATE_FACTOR: f64 = 2.0;
const PEER_RATE_MARGIN: f64 = 0.15;
/// The number of consecutive successes that resets the ejection backoff.
const SUCCESSES_TO_RESET_BACKOFF: u32 = 32;
/// The additional ejection time for requests that are not idempotent, so that idempotent ones serve as trials first.
const NON_IDEMPOTENT_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// If the client disconnects after the backend has been silent this long past the expected time, the backend counts as
/// unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(300);
/// The maximum number of consecutive trials that must succeed to end an ejection.
const MAX_TRIALS: u32 = 3;

/// What the outcome of an attempt means for the health of its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Success,
    Failure,
    /// A single such failure ejects: the instance is gone or replaced, or it was silent throughout.
    Fatal,
    Neutral,
}

impl Verdict {
    /// Classifies an outcome. `silence` is how long the backend has been silent past the expected time, or `None` if
    /// anything arrived since the attempt began.
    pub fn classify(outcome: Outcome, silence: Option<Duration>, responded_recently: bool) -> Verdict {
        match outcome {
            Outcome::Done => Verdict::Success,
            Outcome::BackendError | Outcome::Reset => Verdict::Failure,
            Outcome::NoConnection if responded_recently => Verdict::Failure,
            Outcome::NoConnection | Outcome::Misdirected => Verdict::Fatal,
            Outcome::TimedOut if silence.is_none() => Verdict::Failure,
            Outcome::TimedOut => Verdict::Fatal,
            // The client gave up on a backend that was silent throughout.
            Outcome::ClientGone if silence.is_some_and(|silence| silence >= UNRESPONSIVE_AFTER) => {
                Verdict::Fatal
            }
            Outcome::Refused | Outcome::ClientGone => Verdict::Neutral,
        }
    }
}

/// The health of a backend, derived from the outcomes of its attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failure_rate: f64,
    consecutive_failures: u32,
    consecutive_successes: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    trials_left: u32,
    trial_in_flight: bool,
}

impl Health {
    /// The recent share of failed attempts.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the backend is ejected, including its trial phase.
    pub fn ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the backend accepts a request now. A request that is not idempotent becomes a trial only after an
    /// additional delay.
    pub fn open(&self, now: Timestamp, idempotent: bool) -> bool {
        let trial_delay = if idempotent { Duration::ZERO } else { NON_IDEMPOTENT_TRIAL_DELAY };
        self.ejected_until.is_none_or(|until| now >= until + trial_delay && !self.trial_in_flight)
    }

    /// Records the start of an attempt and returns whether it is a trial.
    pub fn begin(&mut self) -> bool {
        self.trial_in_flight |= self.ejected();
        self.ejected()
    }

    /// Records the end of an attempt and returns whether the backend should be ejected, if the service has enough others.
    pub fn record_outcome(&mut self, verdict: Verdict, trial: bool, peer_failure_rate: f64) -> bool {
        self.trial_in_flight &= !trial;
        match verdict {
            Verdict::Neutral => false,
            Verdict::Success => {
                self.record_success();
                false
            }
            Verdict::Failure | Verdict::Fatal => {
                self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_SMOOTHING;
                self.consecutive_successes = 0;
                self.consecutive_failures += 1;
                if self.ejected() && !trial {
                    // Attempts started before the ejection carry no new information.
                    return false;
                }
                let above_peers = self.failure_rate > peer_failure_rate * PEER_RATE_FACTOR + PEER_RATE_MARGIN;
                let failing_often = self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
                    || self.failure_rate > 2.5 * FAILURE_RATE_SMOOTHING;
                trial || verdict == Verdict::Fatal || above_peers && failing_often
            }
        }
    }

    fn record_success(&mut self) {
        self.failure_rate -= self.failure_rate * FAILURE_RATE_SMOOTHING;
        self.consecutive_failures = 0;
        self.consecutive_successes += 1;
        if self.consecutive_successes >= SUCCESSES_TO_RESET_BACKOFF {
            self.ejections = 0;
        }
        if self.ejected() {
            self.trials_left = self.trials_left.saturating_sub(1);
            if self.trials_left == 0 {
                self.ejected_until = None;
                self.failure_rate = self.failure_rate.min(FAILURE_RATE_SMOOTHING);
            }
        }
    }

    /// Ejects the backend, for longer each time. `jitter`, from 0 to 1, spreads the trials of different gateways.
    pub fn eject(&mut self, now: Timestamp, jitter: f64) {
        let backoff = BASE_EJECTION * (1 << self.ejections.min(4));
        let duration = backoff.min(MAX_EJECTION).mul_f64(0.75 + 0.5 * jitter);
        self.ejections += 1;
        self.ejected_until = Some(now + duration);
        self.trials_left = self.ejections.min(MAX_TRIALS);
        self.consecutive_successes = 0;
    }
}
