//! The processes under test: their starts, signals and ends.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use snafu::{OptionExt, ResultExt};
use tokio::process::{Child, Command};
use tokio::time::sleep;

use crate::error::{FileSnafu, NoProgramSnafu, SoakError, StartSnafu};
use crate::layout::{Layout, Role};
use crate::sync::lock;

/// The variable that names the program.
pub const PROGRAM_VARIABLE: &str = "CRANKPICK_SYSTEM";
const PROGRAM_NAME: &str = "crankpick-system";
/// How often it is looked whether a process has ended.
const LOOK: Duration = Duration::from_millis(20);

/// The program beside this one, or the one that [`PROGRAM_VARIABLE`] names.
pub fn program() -> Result<PathBuf, SoakError> {
    if let Some(named) = std::env::var_os(PROGRAM_VARIABLE) {
        return Ok(named.into());
    }
    let own = std::env::current_exe().ok().context(NoProgramSnafu)?;
    let mut near = own.ancestors().skip(1).take(2).map(|folder| folder.join(PROGRAM_NAME));
    near.find(|path| path.is_file()).context(NoProgramSnafu)
}

/// One process under test, running or not.
pub struct Process {
    /// Its name.
    pub name: String,
    program: PathBuf,
    role: Role,
    settings: PathBuf,
    log: PathBuf,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    child: Option<Child>,
    /// Its end is due: it was told to end.
    ending: bool,
    /// How many pauses are in force.
    pauses: u32,
    /// Rises with each start.
    starts: u64,
}

impl Process {
    /// A process that is not running yet.
    pub fn new(program: &Path, layout: &Layout, machine: usize, role: Role) -> Self {
        Process {
            name: layout.process_name(machine, role),
            program: program.to_owned(),
            role,
            settings: layout.settings_file(machine, role),
            log: layout.log_file(machine, role),
            state: Mutex::default(),
        }
    }

    /// Starts it, unless it runs.
    pub fn start(&self) -> Result<(), SoakError> {
        let mut state = lock(&self.state);
        if state.child.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.context(FileSnafu { path: &self.log })?;
        let mut command = Command::new(&self.program);
        command.arg(self.role.name()).arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::from(log)).kill_on_drop(true);
        let child = command.spawn().context(StartSnafu { name: &self.name })?;
        *state = State { child: Some(child), starts: state.starts + 1, ..State::default() };
        Ok(())
    }

    /// Whether it runs, or stands still.
    pub fn is_up(&self) -> bool {
        lock(&self.state).child.is_some()
    }

    /// Sends SIGKILL; the end is not waited for.
    pub fn kill(&self) {
        let mut state = lock(&self.state);
        state.ending = true;
        if let Some(child) = &mut state.child {
            let _ = child.start_kill();
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        lock(&self.state).ending = true;
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Stops it. Each call needs one of [`Process::resume`].
    pub fn pause(&self) {
        lock(&self.state).pauses += 1;
        self.signal(Signal::STOP);
    }

    /// Takes one pause back.
    pub fn resume(&self) {
        let mut state = lock(&self.state);
        state.pauses = state.pauses.saturating_sub(1);
        let still = state.pauses > 0;
        drop(state);
        if !still {
            self.signal(Signal::CONT);
        }
    }

    fn signal(&self, signal: Signal) {
        let state = lock(&self.state);
        let id = state.child.as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(id, signal);
        }
    }

    /// Waits for the end of the process that runs now; false if it has not ended by then.
    pub async fn ended_within(&self, patience: Duration) -> bool {
        let started = lock(&self.state).starts;
        let until = tokio::time::Instant::now() + patience;
        loop {
            self.reap();
            let state_is_other = {
                let state = lock(&self.state);
                state.child.is_none() || state.starts != started
            };
            if state_is_other {
                return true;
            }
            if tokio::time::Instant::now() > until {
                return false;
            }
            sleep(LOOK).await;
        }
    }

    /// Takes note of an end; the status of one that nobody caused.
    pub fn reap(&self) -> Option<ExitStatus> {
        let mut state = lock(&self.state);
        let status = state.child.as_mut()?.try_wait().ok()??;
        state.child = None;
        (!state.ending).then_some(status)
    }
}
