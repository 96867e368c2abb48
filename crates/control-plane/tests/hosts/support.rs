//! Processes of the control plane on loopback addresses, and calls to them.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crankpick_control_plane::{serve, Listeners};
use crankpick_settings::Settings;
use reqwest::{Client, Method, RequestBuilder, StatusCode};
use serde_json::Value;
use slog::{o, Discard, Logger};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

/// What has to come about in the end has come about by then.
const IN_THE_END: Duration = Duration::from_secs(30);
/// Between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Whether a machine has a disk, and whether it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machine {
    /// It has a disk and counts.
    Disk,
    /// The same, and its disk refuses every write until it is mended.
    RefusingDisk,
    /// It counts, and has no disk.
    Volatile,
    /// It has no disk and doesn't count.
    Plain,
}

/// An answer over HTTP.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// When the caller is to come again.
    pub retry_after: Option<String>,
    /// Where the caller is to go.
    pub location: Option<String>,
    /// Its body.
    pub body: String,
    /// How long it took.
    pub took: Duration,
}

impl Answer {
    /// A field of its body.
    pub fn field(&self, name: &str) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body[name].clone()
    }
}

struct Running {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

struct Process {
    control: SocketAddr,
    settings: String,
    running: Option<Running>,
}

/// Several processes, and one who calls them.
pub struct Core {
    processes: Vec<Process>,
    folder: PathBuf,
    internal_port: u16,
    caller: Runtime,
    client: Client,
}

impl Core {
    /// Starts machines of these kinds, all with empty disks; those that count are the seeds.
    pub fn start(machines: &[Machine]) -> Core {
        let counting: Vec<usize> = (0..machines.len()).filter(|at| machines[*at] != Machine::Plain).collect();
        let seeds = vec![counting; machines.len()];
        Core::start_with_seeds(machines, &seeds)
    }

    /// The same with other seeds for each machine.
    pub fn start_with_seeds(machines: &[Machine], seeds: &[Vec<usize>]) -> Core {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("crankpick-core-{}-{number}", std::process::id()));
        let (internal_port, internal) = bind_all(machines.len());
        let (control_port, control) = bind_all(machines.len());
        let mut core = Core {
            processes: Vec::new(),
            folder,
            internal_port,
            caller: Builder::new_current_thread().enable_all().build().unwrap(),
            client: Client::builder().redirect(reqwest::redirect::Policy::none()).build().unwrap(),
        };
        for (at, machine) in machines.iter().enumerate() {
            let control = SocketAddr::new(address(at), control_port);
            let seeds: Vec<String> = seeds[at]
                .iter()
                .map(|seed| SocketAddr::new(address(*seed), control_port).to_string())
                .collect();
            let settings = core.settings(at, *machine, control, &seeds);
            core.processes.push(Process { control, settings, running: None });
        }
        for (at, listeners) in internal.into_iter().zip(control).enumerate() {
            core.run(at, listeners, true);
        }
        core
    }

    fn settings(&self, at: usize, machine: Machine, control: SocketAddr, seeds: &[String]) -> String {
        let disk = match machine {
            Machine::Disk => {
                let folder = self.folder.join(at.to_string());
                std::fs::create_dir_all(&folder).unwrap();
                format!("data_dir={}\n", folder.display())
            }
            Machine::RefusingDisk => {
                let folder = self.folder.join(at.to_string());
                std::fs::create_dir_all(&self.folder).unwrap();
                // A link to nowhere: nothing can be read or made there, whoever runs this.
                std::os::unix::fs::symlink(self.mended_folder(at), &folder).unwrap();
                format!("data_dir={}\n", folder.display())
            }
            Machine::Volatile | Machine::Plain => String::new(),
        };
        let port = self.internal_port;
        format!(
            "node=n{at}\nrole=control-plane\nserves=control\nip={}\nzone=z{at}\nregion=r\nzones.z{at}=r\n\
             listen.control={control}\nport_range={port},{port}\nseeds={}\ncounts_for_quorum={}\n\
             heartbeat_ms=1200\ntolerate.nodes=1\n{disk}",
            control.ip(),
            seeds.join(","),
            machine != Machine::Plain,
        )
    }

    fn run(&mut self, at: usize, (internal, control): (TcpListener, TcpListener), bootstrap: bool) {
        let process = &mut self.processes[at];
        let text = format!("{}bootstrap={bootstrap}\n", process.settings);
        let settings = Settings::parse(Path::new("settings"), text.as_bytes()).unwrap();
        internal.set_nonblocking(true).unwrap();
        control.set_nonblocking(true).unwrap();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let listeners = Listeners {
                    internal: tokio::net::TcpListener::from_std(internal).unwrap(),
                    control: tokio::net::TcpListener::from_std(control).unwrap(),
                };
                let log = Logger::root(Discard, o!());
                tokio::select! {
                    ended = serve(&settings, None, listeners, std::future::pending(), log) => ended.unwrap(),
                    _killed = stopped => {}
                }
            });
        });
        process.running = Some(Running { stop, thread });
    }

    /// Where a refusing disk keeps its files once it is mended.
    fn mended_folder(&self, at: usize) -> PathBuf {
        self.folder.join(format!("{at}-mended"))
    }

    /// From now on a refusing disk takes writes.
    pub fn mend_disk(&self, at: usize) {
        std::fs::create_dir(self.mended_folder(at)).unwrap();
    }

    /// No process may have seen an invariant of the control state broken. One that doesn't count keeps none.
    fn check_invariants(&self, at: usize) {
        let Some(status) = self.status(at).filter(|_| !std::thread::panicking()) else { return };
        let violations = status.field("violations");
        for (code, count) in violations.as_object().into_iter().flatten() {
            assert_eq!(count.as_u64(), Some(0), "process {at}: {code}");
        }
    }

    /// Ends a process at once, as a kill does.
    pub fn kill(&mut self, at: usize) {
        if self.processes[at].running.is_some() {
            self.check_invariants(at);
        }
        if let Some(running) = self.processes[at].running.take() {
            let _ended = running.stop.send(());
            running.thread.join().unwrap();
        }
    }

    /// Starts a process that was killed, with the disk as it left it.
    pub fn restart(&mut self, at: usize) {
        let control = self.processes[at].control;
        let internal = SocketAddr::new(control.ip(), self.internal_port);
        let listeners = (bind(internal), bind(control));
        self.run(at, listeners, false);
    }

    /// The URL of a path at a process.
    pub fn url(&self, at: usize, path: &str) -> String {
        format!("http://{}{path}", self.processes[at].control)
    }

    /// Calls a process; nothing where the connection breaks.
    pub fn call(
        &self,
        at: usize,
        method: Method,
        path: &str,
        if_match: Option<&str>,
        body: &str,
    ) -> Option<Answer> {
        let request = self.request(at, method, path, if_match, body);
        self.caller.block_on(answer(request))
    }

    /// Makes several calls at once.
    pub fn call_all(&self, calls: &[(usize, Method, &str, &str, &str)]) -> Vec<Option<Answer>> {
        let requests: Vec<RequestBuilder> = calls
            .iter()
            .map(|(at, method, path, if_match, body)| {
                self.request(*at, method.clone(), path, Some(if_match), body)
            })
            .collect();
        self.caller.block_on(async {
            let asked: Vec<_> = requests.into_iter().map(|request| tokio::spawn(answer(request))).collect();
            let mut answers = Vec::new();
            for one in asked {
                answers.push(one.await.unwrap());
            }
            answers
        })
    }

    fn request(
        &self,
        at: usize,
        method: Method,
        path: &str,
        if_match: Option<&str>,
        body: &str,
    ) -> RequestBuilder {
        let url = self.url(at, path);
        let request = self.client.request(method, url).body(body.to_owned());
        match if_match {
            Some(if_match) => request.header("If-Match", if_match),
            None => request,
        }
    }

    /// Sends an order.
    pub fn put(&self, at: usize, if_match: &str, body: &str) -> Option<Answer> {
        self.call(at, Method::PUT, "/v1/config", Some(if_match), body)
    }

    /// Sends an order again until its answer is clear.
    pub fn put_until_clear(&self, at: usize, if_match: &str, body: &str) -> Answer {
        let clear = |answer: &Answer| !answer.status.is_server_error();
        in_the_end("a clear answer", || self.put(at, if_match, body).filter(clear))
    }

    /// Reads the configuration.
    pub fn get(&self, at: usize) -> Option<Answer> {
        self.call(at, Method::GET, "/v1/config", None, "")
    }

    /// How things stand at a process.
    pub fn status(&self, at: usize) -> Option<Answer> {
        self.call(at, Method::GET, "/v1/status", None, "").filter(|answer| answer.status == StatusCode::OK)
    }

    /// Waits until a process is in a view with that many members, and sure of it.
    pub fn wait_for_members(&self, at: usize, members: usize) {
        in_the_end("a view", || {
            let status = self.status(at)?;
            let known = status.field("members").as_array().map_or(0, Vec::len) == members;
            let fresh = status.field("freshness_ms").as_u64().is_some_and(|age| age < 600);
            (known && fresh).then_some(())
        });
    }

    /// Waits until a process counts that many peers as up.
    pub fn wait_for_peers(&self, at: usize, peers: u64) {
        in_the_end("peers", || (self.status(at)?.field("peers_up").as_u64() == Some(peers)).then_some(()));
    }

    /// A backend's heartbeat.
    pub fn heartbeat(&self, at: usize, id: &str, state: &str, seq: u64) -> Option<Answer> {
        let body =
            format!(r#"{{"service":"s","address":"10.9.0.1:80","zone":"z","state":"{state}","seq":{seq}}}"#);
        self.call(at, Method::PUT, &format!("/v1/instances/{id}"), None, &body)
    }

    /// A backend's sign-off.
    pub fn sign_off(&self, at: usize, id: &str) -> Option<Answer> {
        self.call(at, Method::DELETE, &format!("/v1/instances/{id}"), None, "")
    }
}

impl Drop for Core {
    fn drop(&mut self) {
        for at in 0..self.processes.len() {
            self.kill(at);
        }
        let _kept = std::fs::remove_dir_all(&self.folder);
    }
}

async fn answer(request: RequestBuilder) -> Option<Answer> {
    let begun = Instant::now();
    let response = request.send().await.ok()?;
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let (status, retry_after, location) = (response.status(), header("Retry-After"), header("Location"));
    let body = response.text().await.ok()?;
    Some(Answer { status, retry_after, location, body, took: begun.elapsed() })
}

/// Looks until something is found.
pub fn in_the_end<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begun.elapsed() < IN_THE_END, "{what} did not come about");
        std::thread::sleep(LOOK);
    }
}

/// The machines' addresses, all on loopback.
fn address(at: usize) -> std::net::IpAddr {
    std::net::IpAddr::from([127, 0, 0, u8::try_from(at + 1).unwrap()])
}

/// One port that is free at all addresses: all processes of a fleet use the same.
fn bind_all(machines: usize) -> (u16, Vec<TcpListener>) {
    in_the_end("a free port", || {
        let first = TcpListener::bind((address(0), 0)).ok()?;
        let port = first.local_addr().ok()?.port();
        let others = (1..machines).map(|at| TcpListener::bind((address(at), port)).ok());
        let others: Option<Vec<TcpListener>> = others.collect();
        Some((port, std::iter::once(first).chain(others?).collect()))
    })
}

fn bind(address: SocketAddr) -> TcpListener {
    in_the_end("the port of the process before", || TcpListener::bind(address).ok())
}
