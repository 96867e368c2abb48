//! One machine with a backend of each service, as real processes, for tests that follow a single connection.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crankpick_soak::backend::Backend;
use crankpick_soak::configuration::{draw, Constants, IdleTimeouts};
use crankpick_soak::fleet::Fleet;
use crankpick_soak::history::RouteKind;
use crankpick_soak::layout::{Layout, Role, Shape};
use crankpick_soak::process::{program, Process};
use crankpick_soak::request::{Request, Task};
use crankpick_soak::wire::{Message, Wire, WireError};
use tokio::time::{sleep, timeout, Instant};

/// Far longer than anything takes.
pub const SOON: Duration = Duration::from_secs(30);
/// Routes split their requests at random, the smaller share being one in a hundred at least.
const SERVED_IN_A_ROW: u32 = 60;
const LOOK: Duration = Duration::from_millis(10);

/// The machine under test.
pub struct Machine {
    /// Its fleet of one.
    pub fleet: Arc<Fleet>,
    folder: PathBuf,
    generation: u64,
    requests: u64,
}

impl Machine {
    /// Starts it with a configuration of this idle timeout in force.
    pub async fn start(name: &str, idle_timeout: Duration) -> Self {
        let folder = std::env::temp_dir().join(format!("crankpick-soak-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let shape = Shape { counting: 1, others: 0, zones: 1, tolerated: 0, backends: 2 };
        let layout = Layout::new(shape, &folder).expect("free ports");
        let fleet = Fleet::new(layout, &program().expect("built")).await.expect("its files");
        let fleet = Arc::new(fleet);
        fleet.start_all().expect("they start");
        for number in 0..shape.backends {
            Backend::new(&fleet, number, 1).start(1).await.expect("a port");
        }
        let mut machine = Machine { fleet, folder, generation: 0, requests: 0 };
        machine.configure(idle_timeout).await;
        machine.served().await;
        machine
    }

    /// The gateway's process.
    pub fn gate(&self) -> &Process {
        self.fleet.process(0, Role::Gate)
    }

    /// Has a configuration with this idle timeout acknowledged, and waits until its gateway goes by it.
    pub async fn configure(&mut self, idle_timeout: Duration) {
        let base = self.generation;
        self.generation += 1;
        let mut rng = fastrand::Rng::with_seed(self.generation);
        let idle_timeouts = IdleTimeouts::Constant(idle_timeout);
        let document =
            draw(&mut rng, self.generation, Constants { idle_timeouts, resumable_retries: 2 }).document;
        let head = format!("PUT /v1/config HTTP/1.1\r\nIf-Match: {base}\r\nContent-Type: application/json");
        let until = Instant::now() + SOON;
        loop {
            let answer = self.fleet.call_control(0, &head, &document.to_string(), SOON).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                break;
            }
            assert!(Instant::now() < until, "the configuration is not taken");
            sleep(LOOK).await;
        }
        let in_force = format!("configuration in force, generation: {}", self.generation);
        let log = self.fleet.layout.log_file(0, Role::Gate);
        while !std::fs::read_to_string(&log).unwrap_or_default().contains(&in_force) {
            assert!(Instant::now() < until, "the configuration is not in force");
            sleep(LOOK).await;
        }
    }

    /// Waits until many requests in a row are answered: the backends of both services are known.
    async fn served(&mut self) {
        let until = Instant::now() + SOON;
        let mut in_a_row = 0;
        while in_a_row < SERVED_IN_A_ROW {
            let mut wire = self.connect().await.expect("it listens");
            let answer = self.ask(&mut wire).await;
            let served = answer.is_ok_and(|answer| answer.head.status() == Some(200));
            in_a_row = if served { in_a_row + 1 } else { 0 };
            assert!(Instant::now() < until, "the backends are not known");
        }
    }

    /// A new connection of a client.
    pub async fn connect(&self) -> std::io::Result<Wire> {
        let until = Instant::now() + SOON;
        loop {
            match Wire::connect(self.fleet.layout.front(0), SOON).await {
                Err(_) if self.requests == 0 && Instant::now() < until => sleep(LOOK).await,
                opened => return opened,
            }
        }
    }

    /// A request that takes a backend next to nothing.
    pub fn request(&mut self) -> Request {
        self.requests += 1;
        let id = format!("c0-{}", self.requests);
        let task = Task { id, work: Duration::from_millis(1), events: 0, filler: 0 };
        let deadline = Duration::from_secs(20);
        Request { kind: RouteKind::Idempotent, task, deadline, chunked: false }
    }

    /// Sends a request and reads its answer.
    pub async fn ask(&mut self, wire: &mut Wire) -> Result<Message, WireError> {
        let request = self.request();
        let written = wire.write(&request.bytes()).await;
        written.map_err(|source| WireError::Failed { bytes: 0, source })?;
        timeout(SOON, wire.read_answer()).await.expect("an answer or an end")
    }

    /// Ends its processes.
    pub async fn close(self) {
        for process in self.fleet.processes() {
            process.resume();
            process.kill();
            process.ended_within(SOON).await;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
