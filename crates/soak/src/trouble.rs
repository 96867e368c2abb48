//! The troubles of a run, drawn from its seed before it starts.

use std::fmt;
use std::time::Duration;

use fastrand::Rng;

use crate::clock::Moment;
use crate::departure::DepartureKind;
use crate::layout::{Role, Shape};

/// Quiet time before the first troubles and between two groups of them.
const FIRST_MS: u64 = 2_000;
const BETWEEN_MS: std::ops::Range<u64> = 1_500..4_000;
/// Troubles of one group begin within this time, so that they overlap.
const TOGETHER_MS: std::ops::Range<u64> = 0..900;
/// The most troubles of one group.
const MOST_TOGETHER: usize = 3;
const PAUSE_MS: std::ops::Range<u64> = 100..3_000;
const CUT_MS: std::ops::Range<u64> = 300..4_000;
const DOWN_MS: std::ops::Range<u64> = 20..1_500;
const SLOW_MS: std::ops::Range<u64> = 1_000..5_000;
const LATE_MS: std::ops::Range<u64> = 100..2_500;
const RESETS_IN_A_ROW: std::ops::Range<u32> = 3..9;
const RESET_GAP_MS: std::ops::Range<u64> = 100..400;
const LATE_HEARTBEAT_MS: std::ops::Range<u64> = 500..6_000;
const SERVES_ON_MS: std::ops::Range<u64> = 1_000..6_000;
/// The last departure begins so long before the end, and so long after the other troubles.
const LAST_DEPARTURE_MS: u64 = 10_000;
const CALM_BEFORE_DEPARTURE_MS: u64 = 3_000;
/// Its heartbeat comes once machines are in touch again after the kill, and the backend still serves then.
const LAST_DOWN_MS: std::ops::Range<u64> = 50..500;
const LAST_LATE_HEARTBEAT_MS: std::ops::Range<u64> = 5_000..7_000;
const LAST_SERVES_ON: Duration = Duration::from_millis(9_000);

/// One trouble.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// When it begins.
    pub at: Moment,
    /// What it is.
    pub kind: TroubleKind,
}

/// A process, by its machine and role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The machine.
    pub machine: usize,
    /// The role.
    pub role: Role,
}

/// What befalls the fleet or its neighbours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TroubleKind {
    /// SIGKILL of some processes at once, all started again so much later; the disk of one may be lost.
    Kill {
        /// The processes.
        targets: Vec<Target>,
        /// How long they are down.
        down: Duration,
        /// The counting machine whose disk is lost.
        lost_disk: Option<usize>,
    },
    /// SIGSTOP of some processes at once, SIGCONT so much later.
    Pause {
        /// The processes.
        targets: Vec<Target>,
        /// How long they stand still.
        time: Duration,
    },
    /// The processes stand still and go on in turns, again and again: a machine that is too slow.
    Slow {
        /// The processes.
        targets: Vec<Target>,
        /// How long.
        time: Duration,
    },
    /// SIGTERM of some processes at once; of each, SIGKILL at the end of its grace, and a start.
    Roll {
        /// The processes.
        targets: Vec<Target>,
        /// How long each is down.
        down: Duration,
    },
    /// SIGHUP of a process.
    HangUp {
        /// The process.
        target: Target,
    },
    /// Clients' way to a machine by its relay is cut.
    CutFront {
        /// The machine.
        machine: usize,
        /// How long.
        time: Duration,
    },
    /// Clients' connections to a machine by its relay are reset.
    ResetFront {
        /// The machine.
        machine: usize,
    },
    /// The way of the operator and of backends to a machine is cut.
    CutControl {
        /// The machine.
        machine: usize,
        /// How long.
        time: Duration,
    },
    /// Calls to a machine's control address lose their answers.
    ResetControl {
        /// The machine.
        machine: usize,
    },
    /// The way of all gateways to a backend is cut.
    CutBackend {
        /// The backend.
        backend: usize,
        /// How long.
        time: Duration,
    },
    /// All connections to a backend are reset.
    ResetBackend {
        /// The backend.
        backend: usize,
    },
    /// A backend ends without a word and comes back under another id.
    CrashBackend {
        /// The backend.
        backend: usize,
        /// How long it is down.
        down: Duration,
    },
    /// A backend runs requests and breaks off.
    LoseAnswers {
        /// The backend.
        backend: usize,
        /// How long.
        time: Duration,
    },
    /// A backend answers late.
    AnswerLate {
        /// The backend.
        backend: usize,
        /// How late.
        late: Duration,
        /// How long.
        time: Duration,
    },
    /// All connections to all backends are reset several times in a row.
    ResetInARow {
        /// How often.
        times: u32,
        /// The pause between two resets.
        gap: Duration,
    },
    /// A backend leaves, and serves on for a time; a heartbeat that it sent before comes late. Another one takes its
    /// place.
    Depart {
        /// The backend.
        backend: usize,
        /// How it leaves.
        kind: DepartureKind,
        /// How late the heartbeat comes.
        late: Duration,
        /// How long the backend serves on behind the acknowledgement.
        serves_on: Duration,
        /// What is killed right behind the acknowledgement.
        kill: Option<CoreKill>,
    },
    /// A backend refuses.
    Refuse {
        /// The backend.
        backend: usize,
        /// How long.
        time: Duration,
    },
}

/// Processes that are killed right behind an acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoreKill {
    /// The processes: all of the core at least.
    pub targets: Vec<Target>,
    /// How long they are down.
    pub down: Duration,
    /// The counting machine whose disk is lost.
    pub lost_disk: Option<usize>,
}

/// Draws the troubles of a run of so many seconds. The last ones of a run that is long enough are a departure with a kill
/// of the core right behind its acknowledgement, and nothing else, so that machines are in touch again before a late
/// heartbeat comes.
pub fn draw(rng: &mut Rng, shape: &Shape, seconds: u64) -> Vec<Trouble> {
    let mut drawer = Drawer { rng, shape, disks_left: shape.tolerated };
    let mut troubles = Vec::new();
    let mut at = FIRST_MS;
    let departure_at = (seconds * 1_000).checked_sub(LAST_DEPARTURE_MS).filter(|at| *at >= LAST_DEPARTURE_MS);
    let until = departure_at.map_or(seconds * 1_000, |at| at - CALM_BEFORE_DEPARTURE_MS);
    while at + 1_000 < until {
        for _ in 0..drawer.rng.usize(1..=MOST_TOGETHER) {
            let begins = at + drawer.rng.u64(TOGETHER_MS);
            troubles.push(Trouble { at: Moment::from_millis(begins), kind: drawer.kind() });
        }
        at += drawer.rng.u64(BETWEEN_MS);
    }
    if let Some(at) = departure_at {
        let kind = drawer.last_departure();
        troubles.push(Trouble { at: Moment::from_millis(at), kind });
    }
    troubles.sort_by_key(|trouble| trouble.at);
    troubles
}

/// All processes are slow for so many seconds.
pub fn all_slow(shape: &Shape, seconds: u64) -> Trouble {
    let kind = TroubleKind::Slow { targets: all_processes(shape), time: Duration::from_secs(seconds) };
    Trouble { at: Moment::default(), kind }
}

fn all_processes(shape: &Shape) -> Vec<Target> {
    let machines = 0..shape.machines();
    machines.flat_map(|machine| Role::ALL.map(|role| Target { machine, role })).collect()
}

struct Drawer<'a> {
    rng: &'a mut Rng,
    shape: &'a Shape,
    /// How many more disks may be lost.
    disks_left: usize,
}

impl Drawer<'_> {
    fn kind(&mut self) -> TroubleKind {
        match self.rng.u32(..28) {
            0..=3 => TroubleKind::Kill { targets: vec![self.target()], down: self.down(), lost_disk: None },
            4 => TroubleKind::Kill { targets: self.core(), down: self.down(), lost_disk: None },
            5 => TroubleKind::Kill { targets: self.all(), down: self.down(), lost_disk: None },
            6 | 7 => self.lose_disk(),
            8..=10 => TroubleKind::Pause { targets: vec![self.target()], time: self.time(PAUSE_MS) },
            11 => TroubleKind::Pause { targets: self.side(), time: self.time(PAUSE_MS) },
            12 | 13 => TroubleKind::Roll { targets: vec![self.target()], down: self.down() },
            14 => TroubleKind::Roll { targets: self.some_gates(), down: self.down() },
            15 => TroubleKind::HangUp { target: self.target() },
            16 => TroubleKind::CutFront { machine: self.machine(), time: self.time(CUT_MS) },
            17 => TroubleKind::ResetFront { machine: self.machine() },
            18 => TroubleKind::CutControl { machine: self.machine(), time: self.time(CUT_MS) },
            19 => TroubleKind::ResetControl { machine: self.machine() },
            20 => TroubleKind::Slow { targets: self.machine_whole(), time: self.time(SLOW_MS) },
            21 | 22 => {
                let times = self.rng.u32(RESETS_IN_A_ROW);
                TroubleKind::ResetInARow { times, gap: self.time(RESET_GAP_MS) }
            }
            23 => self.departure(LATE_HEARTBEAT_MS, None),
            _ => self.of_backend(),
        }
    }

    fn of_backend(&mut self) -> TroubleKind {
        let backend = self.rng.usize(..self.shape.backends);
        let time = self.time(CUT_MS);
        match self.rng.u32(..7) {
            0 => TroubleKind::CutBackend { backend, time },
            1 => TroubleKind::ResetBackend { backend },
            2 => TroubleKind::CrashBackend { backend, down: self.down() },
            3 | 4 => TroubleKind::LoseAnswers { backend, time },
            5 => TroubleKind::AnswerLate { backend, late: self.time(LATE_MS), time },
            _ => TroubleKind::Refuse { backend, time },
        }
    }

    fn departure(&mut self, late_ms: std::ops::Range<u64>, kill: Option<CoreKill>) -> TroubleKind {
        let kind = if self.rng.bool() { DepartureKind::SignOff } else { DepartureKind::Draining };
        let late = self.time(late_ms);
        let serves_on = if kill.is_some() { LAST_SERVES_ON } else { self.time(SERVES_ON_MS) };
        TroubleKind::Depart { backend: self.rng.usize(..self.shape.backends), kind, late, serves_on, kill }
    }

    /// A departure whose acknowledgement is followed by a kill of the core or of all, with a lost disk if one may be
    /// lost.
    fn last_departure(&mut self) -> TroubleKind {
        let targets = if self.rng.bool() { self.core() } else { self.all() };
        let lost_disk =
            (self.disks_left > 0 && self.rng.bool()).then(|| self.rng.usize(..self.shape.counting));
        let down = self.time(LAST_DOWN_MS);
        self.departure(LAST_LATE_HEARTBEAT_MS, Some(CoreKill { targets, down, lost_disk }))
    }

    /// A disk is lost, its process killed alone or together with all others of the core.
    fn lose_disk(&mut self) -> TroubleKind {
        if self.disks_left == 0 {
            return TroubleKind::Kill { targets: self.core(), down: self.down(), lost_disk: None };
        }
        self.disks_left -= 1;
        let machine = self.rng.usize(..self.shape.counting);
        let alone = vec![Target { machine, role: Role::ControlPlane }];
        let targets = if self.rng.bool() { self.core() } else { alone };
        TroubleKind::Kill { targets, down: self.down(), lost_disk: Some(machine) }
    }

    fn time(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.u64(range))
    }

    fn down(&mut self) -> Duration {
        self.time(DOWN_MS)
    }

    fn machine(&mut self) -> usize {
        self.rng.usize(..self.shape.machines())
    }

    fn target(&mut self) -> Target {
        Target { machine: self.machine(), role: Role::ALL[self.rng.usize(..2)] }
    }

    fn machine_whole(&mut self) -> Vec<Target> {
        let machine = self.machine();
        Role::ALL.map(|role| Target { machine, role }).to_vec()
    }

    /// The gateways of about half of the machines.
    fn some_gates(&mut self) -> Vec<Target> {
        let machines = 0..self.shape.machines();
        let some: Vec<usize> = machines.filter(|_| self.rng.bool()).collect();
        some.into_iter().map(|machine| Target { machine, role: Role::Gate }).collect()
    }

    fn core(&self) -> Vec<Target> {
        (0..self.shape.counting).map(|machine| Target { machine, role: Role::ControlPlane }).collect()
    }

    fn all(&self) -> Vec<Target> {
        all_processes(self.shape)
    }

    /// All processes of about half of the machines: nobody hears them, nor they anybody.
    fn side(&mut self) -> Vec<Target> {
        let side: Vec<usize> = (0..self.shape.machines()).filter(|_| self.rng.bool()).collect();
        side.into_iter().flat_map(|machine| Role::ALL.map(|role| Target { machine, role })).collect()
    }
}

impl fmt::Display for Target {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{}", self.machine, self.role.name())
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} {}", self.at, self.kind)
    }
}

impl fmt::Display for TroubleKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TroubleKind::Kill { targets, down, lost_disk } => {
                write!(out, "kill {}, down for {down:?}", named(targets))?;
                lost_disk.map_or(Ok(()), |machine| write!(out, ", disk of {machine} lost"))
            }
            TroubleKind::Pause { targets, time } => write!(out, "pause {} for {time:?}", named(targets)),
            TroubleKind::Slow { targets, time } => write!(out, "slow {} for {time:?}", named(targets)),
            TroubleKind::Roll { targets, down } => {
                write!(out, "roll {}, down for {down:?}", named(targets))
            }
            TroubleKind::HangUp { target } => write!(out, "SIGHUP of {target}"),
            TroubleKind::CutFront { machine, time } => write!(out, "clients cut from {machine} for {time:?}"),
            TroubleKind::ResetFront { machine } => write!(out, "clients' connections to {machine} reset"),
            TroubleKind::CutControl { machine, time } => {
                write!(out, "operator and backends cut from {machine} for {time:?}")
            }
            TroubleKind::ResetControl { machine } => {
                write!(out, "calls to the control plane of {machine} reset")
            }
            TroubleKind::CutBackend { backend, time } => {
                write!(out, "backend {backend} cut off for {time:?}")
            }
            TroubleKind::ResetBackend { backend } => write!(out, "connections to backend {backend} reset"),
            TroubleKind::CrashBackend { backend, down } => {
                write!(out, "backend {backend} crashes, down for {down:?}")
            }
            TroubleKind::LoseAnswers { backend, time } => {
                write!(out, "backend {backend} breaks off for {time:?}")
            }
            TroubleKind::AnswerLate { backend, late, time } => {
                write!(out, "backend {backend} answers {late:?} late for {time:?}")
            }
            TroubleKind::Refuse { backend, time } => write!(out, "backend {backend} refuses for {time:?}"),
            TroubleKind::ResetInARow { times, gap } => {
                write!(out, "connections to all backends reset {times} times, {gap:?} apart")
            }
            TroubleKind::Depart { backend, kind, late, serves_on, kill } => {
                write!(out, "backend {backend} leaves ({kind:?}), serves on for {serves_on:?}, heartbeat {late:?} late")?;
                let Some(CoreKill { targets, down, lost_disk }) = kill else { return Ok(()) };
                write!(out, "; behind the acknowledgement kill {}, down for {down:?}", named(targets))?;
                lost_disk.map_or(Ok(()), |machine| write!(out, ", disk of {machine} lost"))
            }
        }
    }
}

fn named(targets: &[Target]) -> String {
    let names: Vec<String> = targets.iter().map(Target::to_string).collect();
    names.join(" ")
}
