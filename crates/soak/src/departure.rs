//! Backends that leave: what they announce, and whether any request reached them later than it may.

use std::time::Duration;

use crate::check::{Rule, Verdict};
use crate::clock::Moment;
use crate::history::{Exchange, History, Run};

/// A machine is in touch once it and the core have been undisturbed for this long, as the settings tell the program.
pub const CONTACT: Duration = Duration::from_millis(1_500);
/// For how long after its acknowledgement a departing backend may get new requests, as the settings tell the program.
pub const DRAIN: Duration = Duration::from_millis(1_000);
/// A core that was disturbed, perhaps as a whole, has machines in touch so many contact times later.
const CONTACTS_AFTER_CORE: u32 = 2;

/// How a backend leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureKind {
    /// It says `draining`, serves on, signs off, and ends.
    Draining,
    /// It signs off at once, serves on, and ends.
    SignOff,
}

/// What a backend tells the control plane.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Announced {
    /// That it takes requests.
    #[default]
    Ready,
    /// That it drains.
    Draining,
    /// Nothing more: it has signed off.
    SignedOff,
}

/// A departure that a control plane acknowledged.
#[derive(Clone, Debug)]
pub struct AcknowledgedDeparture {
    /// The incarnation's id.
    pub backend: String,
    /// When the acknowledgement came.
    pub acknowledged: Moment,
}

/// A time in which a machine's processes were killed, ended, stood still or were slow.
#[derive(Clone, Copy, Debug)]
pub struct MachineDisturbance {
    /// The machine.
    pub machine: usize,
    /// Whether its control plane counts for the quorum, and was disturbed.
    pub is_core: bool,
    /// When it began; before it takes effect.
    pub from: Moment,
    /// When it ended; after it was taken back.
    pub to: Option<Moment>,
}

/// Judges that no request reached a departed backend too late, sent on by a machine in touch.
pub(crate) fn judge(history: &History, verdict: &mut Verdict) {
    for exchange in &history.exchanges {
        for run in history.runs.get(&exchange.id).into_iter().flatten() {
            let departure = history.departures.iter().find(|departure| departure.backend == run.backend);
            let Some(departure) = departure else { continue };
            if run.began > departure.acknowledged.plus(DRAIN) && is_in_touch(history, exchange, run) {
                let late = run.began.since(departure.acknowledged);
                let text = format!(
                    "{} taken by machine {} began at {} {late:?} after its departure was acknowledged",
                    exchange.id, exchange.machine, run.backend
                );
                verdict.add(Rule::Drained, text);
            }
        }
    }
}

/// Whether the machine that took a request was in touch as a run of it began, and the way to the backend sound.
fn is_in_touch(history: &History, exchange: &Exchange, run: &Run) -> bool {
    let disturbed = history.machine_disturbances.iter().any(|disturbance| {
        let reach = match disturbance.is_core {
            true => CONTACT * CONTACTS_AFTER_CORE,
            false => CONTACT,
        };
        let concerns = disturbance.is_core || disturbance.machine == exchange.machine;
        concerns && is_near(disturbance.from, disturbance.to, run.began, reach)
    });
    let own = history.disturbances.iter().filter(|disturbance| disturbance.machine == exchange.machine);
    let own_disturbed =
        own.into_iter().any(|disturbance| is_near(disturbance.from, disturbance.to, run.began, CONTACT));
    let way = history.backend_disturbances.iter().filter(|disturbance| disturbance.backend == run.backend);
    let way_disturbed =
        way.into_iter().any(|disturbance| is_near(disturbance.from, disturbance.to, run.began, CONTACT));
    !disturbed && !own_disturbed && !way_disturbed
}

/// Whether something was in force at a moment, or so shortly before.
fn is_near(from: Moment, to: Option<Moment>, at: Moment, reach: Duration) -> bool {
    from <= at && to.is_none_or(|to| to.plus(reach) >= at)
}
