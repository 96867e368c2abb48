//! Carries the troubles of a run out, and heals all in the end.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use crate::backend::{Backend, Behaviour};
use crate::departure::DepartureKind;
use crate::error::SoakError;
use crate::fleet::Fleet;
use crate::history::{DisturbanceKind, ProcessFinding};
use crate::layout::{Role, GRACE};
use crate::sync::lock;
use crate::trouble::{CoreKill, Target, Trouble, TroubleKind};

/// A killed process is gone by then.
const DEATH: Duration = Duration::from_secs(10);
/// For so long after SIGTERM a gateway surely takes connections.
const STILL_ACCEPTED: Duration = Duration::from_millis(2_500);
/// How long a process may take to listen.
const LISTENS: Duration = Duration::from_secs(20);
/// A slow process stands still and goes on for so long in turns.
const SLOW_STOP: Duration = Duration::from_millis(15);
const SLOW_GO: Duration = Duration::from_millis(5);
const LOOK: Duration = Duration::from_millis(20);
/// How often it is looked for processes that ended by themselves.
const WATCH: Duration = Duration::from_millis(200);

/// Who carries troubles out.
#[derive(Clone)]
pub struct Director {
    /// The fleet.
    pub fleet: Arc<Fleet>,
    /// All backends.
    pub backends: Vec<Arc<Backend>>,
}

impl Director {
    /// Carries troubles out at their times; comes back once each is over.
    pub async fn play(&self, troubles: &[Trouble]) {
        let mut playing = JoinSet::new();
        for trouble in troubles {
            self.fleet.clock.sleep_until(trouble.at).await;
            let (director, kind) = (self.clone(), trouble.kind.clone());
            playing.spawn(async move { director.carry_out(kind).await });
        }
        while playing.join_next().await.is_some() {}
    }

    async fn carry_out(&self, kind: TroubleKind) {
        match kind {
            TroubleKind::Kill { targets, down, lost_disk } => self.kill(&targets, down, lost_disk).await,
            TroubleKind::Pause { targets, time } => self.pause(&targets, time).await,
            TroubleKind::Slow { targets, time } => self.slow(&targets, time).await,
            TroubleKind::Roll { targets, down } => {
                let mut rolls = JoinSet::new();
                for target in targets {
                    let director = self.clone();
                    rolls.spawn(async move { director.roll(target, down).await });
                }
                while rolls.join_next().await.is_some() {}
            }
            TroubleKind::HangUp { target } => self.fleet.process(target.machine, target.role).hang_up(),
            TroubleKind::CutFront { machine, time } => {
                let cut = self.fleet.disturb(machine, DisturbanceKind::Cut);
                self.fleet.front_relay(machine).cut();
                sleep(time).await;
                self.fleet.front_relay(machine).join();
                self.fleet.settle(cut);
            }
            TroubleKind::ResetFront { machine } => {
                let reset = self.fleet.disturb(machine, DisturbanceKind::Reset);
                self.fleet.front_relay(machine).reset();
                self.fleet.settle(reset);
            }
            TroubleKind::CutControl { machine, time } => {
                self.fleet.control_relay(machine).cut();
                sleep(time).await;
                self.fleet.control_relay(machine).join();
            }
            TroubleKind::ResetControl { machine } => self.fleet.control_relay(machine).reset(),
            TroubleKind::CutBackend { backend, time } => {
                self.cut_backend(&self.backends[backend], time).await
            }
            TroubleKind::ResetBackend { backend } => self.reset_backend(&self.backends[backend]),
            TroubleKind::ResetInARow { times, gap } => {
                for _ in 0..times {
                    self.backends.iter().for_each(|backend| self.reset_backend(backend));
                    sleep(gap).await;
                }
            }
            TroubleKind::Depart { backend, kind, late, serves_on, kill } => {
                self.depart(&self.backends[backend], kind, late, serves_on, kill).await;
            }
            TroubleKind::CrashBackend { backend, down } => self.crash(backend, down).await,
            TroubleKind::LoseAnswers { backend, time } => {
                self.misbehave(backend, Behaviour::BreaksOff, time).await;
            }
            TroubleKind::AnswerLate { backend, late, time } => {
                self.misbehave(backend, Behaviour::Late(late), time).await;
            }
            TroubleKind::Refuse { backend, time } => {
                self.misbehave(backend, Behaviour::Refuses, time).await;
            }
        }
    }

    async fn kill(&self, targets: &[Target], down: Duration, lost_disk: Option<usize>) {
        let gates = targets.iter().filter(|target| target.role == Role::Gate);
        let disturbances: Vec<usize> =
            gates.map(|gate| self.fleet.disturb(gate.machine, DisturbanceKind::Killed)).collect();
        let machines = self.disturb_machines(targets);
        for target in targets {
            self.fleet.process(target.machine, target.role).kill();
        }
        for target in targets {
            self.fleet.process(target.machine, target.role).ended_within(DEATH).await;
        }
        if let Some(machine) = lost_disk {
            self.lose_disk(machine);
        }
        sleep(down).await;
        for target in targets {
            self.start(*target).await;
        }
        disturbances.into_iter().for_each(|disturbance| self.fleet.settle(disturbance));
        self.settle_machines(machines);
    }

    fn disturb_machines(&self, targets: &[Target]) -> Vec<usize> {
        targets.iter().map(|target| self.fleet.disturb_machine(target.machine, target.role)).collect()
    }

    fn settle_machines(&self, disturbances: Vec<usize>) {
        disturbances.into_iter().for_each(|disturbance| self.fleet.settle_machine(disturbance));
    }

    fn lose_disk(&self, machine: usize) {
        let running = self.fleet.process(machine, Role::ControlPlane).is_up();
        let Some(folder) = self.fleet.layout.data_folder(machine, Role::ControlPlane) else { return };
        if running {
            // Another trouble has started it again meanwhile: a disk is lost only under a process that is down.
            self.fleet.note("disks not lost: their process was up again");
            return;
        }
        let _ = std::fs::remove_dir_all(&folder);
        let _ = std::fs::create_dir_all(&folder);
        self.fleet.note("disks lost");
    }

    async fn pause(&self, targets: &[Target], time: Duration) {
        let gates = targets.iter().filter(|target| target.role == Role::Gate);
        let disturbances: Vec<usize> =
            gates.map(|gate| self.fleet.disturb(gate.machine, DisturbanceKind::Paused)).collect();
        let machines = self.disturb_machines(targets);
        for target in targets {
            self.fleet.process(target.machine, target.role).pause();
        }
        sleep(time).await;
        for target in targets {
            self.fleet.process(target.machine, target.role).resume();
        }
        disturbances.into_iter().for_each(|disturbance| self.fleet.settle(disturbance));
        self.settle_machines(machines);
    }

    /// Short stops, far below any bound that clients heed: no disturbance that would explain anything.
    async fn slow(&self, targets: &[Target], time: Duration) {
        let until = Instant::now() + time;
        let machines = self.disturb_machines(targets);
        while Instant::now() < until {
            for target in targets {
                self.fleet.process(target.machine, target.role).pause();
            }
            sleep(SLOW_STOP).await;
            for target in targets {
                self.fleet.process(target.machine, target.role).resume();
            }
            sleep(SLOW_GO).await;
        }
        self.settle_machines(machines);
    }

    async fn roll(&self, target: Target, down: Duration) {
        let process = self.fleet.process(target.machine, target.role);
        let is_gate = target.role == Role::Gate;
        let machines = self.disturb_machines(&[target]);
        process.terminate();
        let mut ended = process.ended_within(STILL_ACCEPTED).await;
        let leaving = is_gate.then(|| self.fleet.disturb(target.machine, DisturbanceKind::Leaving));
        if !ended {
            ended = process.ended_within(GRACE - STILL_ACCEPTED).await;
        }
        if !ended {
            self.fleet.note("processes killed at the end of their grace");
            let over = is_gate.then(|| self.fleet.disturb(target.machine, DisturbanceKind::GraceOver));
            process.kill();
            process.ended_within(DEATH).await;
            over.into_iter().for_each(|over| self.fleet.settle(over));
        }
        sleep(down).await;
        self.start(target).await;
        leaving.into_iter().for_each(|leaving| self.fleet.settle(leaving));
        self.settle_machines(machines);
    }

    /// Cuts the way to a backend for a time.
    async fn cut_backend(&self, backend: &Backend, time: Duration) {
        let (Some(relay), Some(id)) = (backend.relay(), backend.running_id()) else { return };
        let disturbance = self.fleet.disturb_backend(id, true);
        relay.cut();
        sleep(time).await;
        relay.join();
        self.fleet.settle_backend(disturbance);
    }

    /// Resets all connections to a backend.
    fn reset_backend(&self, backend: &Backend) {
        let (Some(relay), Some(id)) = (backend.relay(), backend.running_id()) else { return };
        let disturbance = self.fleet.disturb_backend(id, false);
        relay.reset();
        self.fleet.settle_backend(disturbance);
    }

    /// Has a backend leave, processes killed right behind the acknowledgement, and another backend take its place.
    async fn depart(
        &self,
        backend: &Arc<Backend>,
        kind: DepartureKind,
        late: Duration,
        serves_on: Duration,
        kill: Option<CoreKill>,
    ) {
        let Some(number) = backend.depart(kind, late).await else { return };
        let killing = async {
            if let Some(CoreKill { targets, down, lost_disk }) = kill {
                self.kill(&targets, down, lost_disk).await;
            }
        };
        tokio::join!(killing, sleep(serves_on));
        if backend.running() != Some(number) {
            return;
        }
        if kind == DepartureKind::Draining {
            for machine in 0..self.fleet.machines() {
                if backend.sign_off(machine, number).await {
                    break;
                }
            }
        }
        backend.crash();
        let _ = backend.start(number + 1).await;
    }

    async fn crash(&self, backend: usize, down: Duration) {
        let backend = &self.backends[backend];
        let Some(number) = backend.running() else { return };
        backend.crash();
        sleep(down).await;
        if backend.running().is_none() {
            let _ = backend.start(number + 1).await;
        }
    }

    async fn misbehave(&self, backend: usize, behaviour: Behaviour, time: Duration) {
        self.backends[backend].behave(behaviour);
        sleep(time).await;
        self.backends[backend].behave(Behaviour::Sound);
    }

    /// Starts a process, unless it runs; comes back once it listens.
    async fn start(&self, target: Target) {
        let process = self.fleet.process(target.machine, target.role);
        if let Err(wrong) = process.start() {
            self.find(&process.name, wrong.to_string());
            return;
        }
        let layout = &self.fleet.layout;
        let address = match target.role {
            Role::Gate => layout.front(target.machine),
            Role::ControlPlane => layout.control(target.machine),
        };
        let until = Instant::now() + LISTENS;
        while process.is_up() && Instant::now() < until {
            if timeout(LOOK, TcpStream::connect(address)).await.is_ok_and(|open| open.is_ok()) {
                return;
            }
            sleep(LOOK).await;
        }
    }

    /// Looks for processes that ended by themselves, and starts them again.
    pub async fn watch(self) {
        loop {
            sleep(WATCH).await;
            for process in self.fleet.processes() {
                if let Some(status) = process.reap() {
                    self.find(&process.name, format!("ended by itself: {status}"));
                    let _ = process.start();
                }
            }
        }
    }

    fn find(&self, process: &str, text: String) {
        let finding = ProcessFinding { process: process.to_owned(), text };
        lock(&self.fleet.history).process_findings.push(finding);
    }

    /// Starts whatever is down.
    pub fn heal(&self) -> Result<(), SoakError> {
        for process in self.fleet.processes() {
            process.resume();
            process.reap();
            process.start()?;
        }
        Ok(())
    }
}
