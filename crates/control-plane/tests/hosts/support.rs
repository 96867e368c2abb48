//! A cluster of control-plane processes on loopback addresses, and an HTTP client for it.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crankpick_control_plane::{serve, Listeners};
use crankpick_protocol::{
    Caller, FrameReader, FrameWriter, GatewayIdentity, GatewayReport, Handshake, HomeUpdate,
};
use crankpick_registry::BackendRecord;
use crankpick_settings::Settings;
use reqwest::{Client, Method, RequestBuilder, StatusCode};
use serde_json::Value;
use slog::{o, Discard, Logger};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

/// The timeout of [`eventually`].
const TIMEOUT: Duration = Duration::from_secs(30);
/// The interval at which [`eventually`] polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The kind of a machine: whether it has a disk, and whether it is a candidate for membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machine {
    /// A candidate with a disk.
    Disk,
    /// A candidate with a disk that fails all writes until it is repaired.
    FailingDisk,
    /// A candidate without a disk.
    Volatile,
    /// Not a candidate, without a disk.
    NonCandidate,
}

/// How many departures are under way at a time.
const CONCURRENT_DEPARTURES: usize = 60;

/// A call: the process, the method, the path and the body.
type Call = (usize, Method, String, String);

/// The result of many departures.
#[derive(Debug)]
pub struct Departures {
    /// The acknowledged calls.
    pub acknowledged: usize,
    /// The time that they took.
    pub took: Duration,
}

/// The size of a log on disk.
#[derive(Debug)]
pub struct DepartureLog {
    /// The bytes of its file.
    pub bytes: u64,
    /// The writes to its file, each with a sync.
    pub writes: u64,
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The `Retry-After` header.
    pub retry_after: Option<String>,
    /// The `Location` header.
    pub location: Option<String>,
    /// The body.
    pub body: String,
    /// The time until the response was complete.
    pub took: Duration,
}

impl Answer {
    /// A field of the JSON body.
    pub fn field(&self, name: &str) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body[name].clone()
    }
}

struct RunningProcess {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

struct Process {
    control: SocketAddr,
    settings: String,
    running: Option<RunningProcess>,
}

/// A cluster of processes, and a client that calls them.
pub struct Cluster {
    processes: Vec<Process>,
    directory: PathBuf,
    internal_port: u16,
    caller: Runtime,
    client: Client,
}

impl Cluster {
    /// Starts machines of these kinds with empty disks. The candidates for membership are the seeds.
    pub fn start(machines: &[Machine]) -> Cluster {
        let candidates: Vec<usize> =
            (0..machines.len()).filter(|at| machines[*at] != Machine::NonCandidate).collect();
        let seeds = vec![candidates; machines.len()];
        Cluster::start_with_seeds(machines, &seeds)
    }

    /// Starts machines with individual seeds for each one.
    pub fn start_with_seeds(machines: &[Machine], seeds: &[Vec<usize>]) -> Cluster {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let directory =
            std::env::temp_dir().join(format!("crankpick-cluster-{}-{number}", std::process::id()));
        let (internal_port, internal) = bind_all(machines.len());
        let (control_port, control) = bind_all(machines.len());
        let mut cluster = Cluster {
            processes: Vec::new(),
            directory,
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
            let settings = cluster.settings(at, *machine, control, &seeds);
            cluster.processes.push(Process { control, settings, running: None });
        }
        for (at, listeners) in internal.into_iter().zip(control).enumerate() {
            cluster.run(at, listeners, true);
        }
        cluster
    }

    fn settings(&self, at: usize, machine: Machine, control: SocketAddr, seeds: &[String]) -> String {
        let disk = match machine {
            Machine::Disk => {
                let directory = self.directory.join(at.to_string());
                std::fs::create_dir_all(&directory).unwrap();
                format!("data_dir={}\n", directory.display())
            }
            Machine::FailingDisk => {
                let directory = self.directory.join(at.to_string());
                std::fs::create_dir_all(&self.directory).unwrap();
                // A dangling symbolic link: no files can be read or created there, even by root.
                std::os::unix::fs::symlink(self.repaired_directory(at), &directory).unwrap();
                format!("data_dir={}\n", directory.display())
            }
            Machine::Volatile | Machine::NonCandidate => String::new(),
        };
        let port = self.internal_port;
        format!(
            "node=n{at}\nrole=control-plane\nserves=control\nip={}\nzone=z{at}\nregion=r\nzones.z{at}=r\n\
             listen.control={control}\nport_range={port},{port}\nseeds={}\ncounts_for_quorum={}\n\
             heartbeat_ms=1200\ntolerate.nodes=1\n{disk}",
            control.ip(),
            seeds.join(","),
            machine != Machine::NonCandidate,
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
        process.running = Some(RunningProcess { stop, thread });
    }

    /// The directory in which a failing disk stores its files once it is repaired.
    fn repaired_directory(&self, at: usize) -> PathBuf {
        self.directory.join(format!("{at}-mended"))
    }

    /// Makes a failing disk accept writes.
    pub fn repair_disk(&self, at: usize) {
        std::fs::create_dir(self.repaired_directory(at)).unwrap();
    }

    /// Checks that a process has seen no invariant violation. A process outside the core has no such counters.
    fn check_invariants(&self, at: usize) {
        let Some(status) = self.status(at).filter(|_| !std::thread::panicking()) else { return };
        let violations = status.field("violations");
        for (code, count) in violations.as_object().into_iter().flatten() {
            assert_eq!(count.as_u64(), Some(0), "process {at}: {code}");
        }
    }

    /// Terminates a process abruptly.
    pub fn kill(&mut self, at: usize) {
        if self.processes[at].running.is_some() {
            self.check_invariants(at);
        }
        if let Some(running) = self.processes[at].running.take() {
            let _ended = running.stop.send(());
            running.thread.join().unwrap();
        }
    }

    /// Restarts a killed process on its existing disk.
    pub fn restart(&mut self, at: usize) {
        let control = self.processes[at].control;
        let internal = SocketAddr::new(control.ip(), self.internal_port);
        let listeners = (bind(internal), bind(control));
        self.run(at, listeners, false);
    }

    /// The URL of a path on a process.
    pub fn url(&self, at: usize, path: &str) -> String {
        format!("http://{}{path}", self.processes[at].control)
    }

    /// Calls a process. `None` if the connection fails.
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

    /// Makes several calls concurrently.
    pub fn call_concurrently(&self, calls: &[(usize, Method, &str, &str, &str)]) -> Vec<Option<Answer>> {
        let requests: Vec<RequestBuilder> = calls
            .iter()
            .map(|(at, method, path, if_match, body)| {
                self.request(*at, method.clone(), path, Some(if_match), body)
            })
            .collect();
        self.caller.block_on(async {
            let tasks: Vec<_> = requests.into_iter().map(|request| tokio::spawn(answer(request))).collect();
            let mut answers = Vec::new();
            for task in tasks {
                answers.push(task.await.unwrap());
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

    /// Replaces the configuration.
    pub fn put(&self, at: usize, if_match: &str, body: &str) -> Option<Answer> {
        self.call(at, Method::PUT, "/v1/config", Some(if_match), body)
    }

    /// Sends a configuration until its response is definite.
    pub fn put_until_definite(&self, at: usize, if_match: &str, body: &str) -> Answer {
        let is_definite = |answer: &Answer| !answer.status.is_server_error();
        eventually("a definite response", || self.put(at, if_match, body).filter(is_definite))
    }

    /// Reads the configuration.
    pub fn get(&self, at: usize) -> Option<Answer> {
        self.call(at, Method::GET, "/v1/config", None, "")
    }

    /// Reads the status of a process.
    pub fn status(&self, at: usize) -> Option<Answer> {
        self.call(at, Method::GET, "/v1/status", None, "").filter(|answer| answer.status == StatusCode::OK)
    }

    /// Waits until a process has a recently confirmed view with this many members.
    pub fn wait_for_members(&self, at: usize, members: usize) {
        eventually("a view", || {
            let status = self.status(at)?;
            let known = status.field("members").as_array().map_or(0, Vec::len) == members;
            let fresh = status.field("freshness_ms").as_u64().is_some_and(|age| age < 600);
            (known && fresh).then_some(())
        });
    }

    /// Waits until a process sees this many peers up.
    pub fn wait_for_peers(&self, at: usize, peers: u64) {
        eventually("peers", || (self.status(at)?.field("peers_up").as_u64() == Some(peers)).then_some(()));
    }

    /// Sends a backend's heartbeat.
    pub fn heartbeat(&self, at: usize, id: &str, state: &str, seq: u64) -> Option<Answer> {
        let (at, method, path, body) = heartbeat_call(at, id, state, seq);
        self.call(at, method, &path, None, &body)
    }

    /// Empties the disk of a killed process.
    pub fn wipe_disk(&self, at: usize) {
        let directory = self.directory.join(at.to_string());
        std::fs::remove_dir_all(&directory).unwrap();
        std::fs::create_dir_all(&directory).unwrap();
    }

    /// The backends to which a gateway that has just connected to this process may send requests.
    pub fn receiving_backends(&self, at: usize) -> Vec<String> {
        let address = SocketAddr::new(self.processes[at].control.ip(), self.internal_port);
        self.caller.block_on(first_table(address))
    }

    /// Has backends drain and sign off, many at a time, each call repeated until it is acknowledged.
    pub fn depart_concurrently(&self, at: usize, ids: &[String]) -> Departures {
        let started = Instant::now();
        let mut acknowledged = 0;
        for batch in ids.chunks(CONCURRENT_DEPARTURES) {
            let drains: Vec<Call> = batch.iter().map(|id| heartbeat_call(at, id, "draining", 1)).collect();
            let sign_offs =
                batch.iter().map(|id| (at, Method::DELETE, format!("/v1/instances/{id}"), String::new()));
            for mut calls in [drains, sign_offs.collect()] {
                while !calls.is_empty() {
                    let borrowed: Vec<(usize, Method, &str, &str, &str)> = calls
                        .iter()
                        .map(|(at, method, path, body)| {
                            (*at, method.clone(), path.as_str(), "", body.as_str())
                        })
                        .collect();
                    let answers = self.call_concurrently(&borrowed);
                    let is_acknowledged = |answer: &Option<Answer>| {
                        answer.as_ref().is_some_and(|answer| answer.status == StatusCode::OK)
                    };
                    let mut answered = answers.iter().map(is_acknowledged);
                    let before = calls.len();
                    calls.retain(|_| answered.next() == Some(false));
                    acknowledged += before - calls.len();
                }
            }
        }
        Departures { acknowledged, took: started.elapsed() }
    }

    /// The departures' log of a process.
    pub fn departure_log(&self, at: usize) -> DepartureLog {
        let directory = self.directory.join(at.to_string()).join("departures");
        let mut bytes = Vec::new();
        for entry in std::fs::read_dir(directory).unwrap() {
            bytes = std::fs::read(entry.unwrap().path()).unwrap();
        }
        DepartureLog { bytes: bytes.len() as u64, writes: last_write_number(&bytes) }
    }

    /// Removes a backend.
    pub fn remove_backend(&self, at: usize, id: &str) -> Option<Answer> {
        self.call(at, Method::DELETE, &format!("/v1/instances/{id}"), None, "")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for at in 0..self.processes.len() {
            self.kill(at);
        }
        let _ignored = std::fs::remove_dir_all(&self.directory);
    }
}

fn heartbeat_call(at: usize, id: &str, state: &str, seq: u64) -> Call {
    let body =
        format!(r#"{{"service":"s","address":"10.9.0.1:80","zone":"z","state":"{state}","seq":{seq}}}"#);
    (at, Method::PUT, format!("/v1/instances/{id}"), body)
}

/// The number of the last write in a log's file: a frame has it at offset 8, the length of its payload at offset 20, and
/// a header of 24 bytes.
fn last_write_number(mut file: &[u8]) -> u64 {
    let mut number = 0;
    while let Some((header, rest)) = file.split_at_checked(24) {
        number = u64::from_le_bytes(header[8..16].try_into().unwrap());
        let length = u32::from_le_bytes(header[20..24].try_into().unwrap()) as usize;
        file = &rest[length..];
    }
    number
}

/// The backends that may receive requests, by the first update that a new gateway gets at `address`.
async fn first_table(address: SocketAddr) -> Vec<String> {
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (read, write) = stream.split();
    let (mut reader, mut writer) = (FrameReader::new(read), FrameWriter::new(write));
    let gateway = GatewayIdentity { node: "gateway".into(), incarnation: 1, zone: "z0".into() };
    writer.send(&Handshake::new(Caller::Gateway(gateway))).await.unwrap();
    let report = GatewayReport {
        number: 1,
        configuration: None,
        cursor: None,
        demands: Vec::new(),
        accepts_compressed: true,
    };
    writer.send(&report).await.unwrap();
    loop {
        let update: HomeUpdate = reader.next().await.unwrap().expect("an update");
        let Some(changes) = update.changes else { continue };
        let receiving = changes.records.into_iter().filter(BackendRecord::may_receive);
        return receiving.map(|record| record.id).collect();
    }
}

async fn answer(request: RequestBuilder) -> Option<Answer> {
    let started = Instant::now();
    let response = request.send().await.ok()?;
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let (status, retry_after, location) = (response.status(), header("Retry-After"), header("Location"));
    let body = response.text().await.ok()?;
    Some(Answer { status, retry_after, location, body, took: started.elapsed() })
}

/// Polls until `poll` returns a value; panics after a timeout.
pub fn eventually<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The loopback address of a machine.
fn address(at: usize) -> std::net::IpAddr {
    std::net::IpAddr::from([127, 0, 0, u8::try_from(at + 1).unwrap()])
}

/// Binds one port on all addresses, since all processes of a fleet use the same port.
fn bind_all(machines: usize) -> (u16, Vec<TcpListener>) {
    eventually("a free port", || {
        let first = TcpListener::bind((address(0), 0)).ok()?;
        let port = first.local_addr().ok()?.port();
        let others = (1..machines).map(|at| TcpListener::bind((address(at), port)).ok());
        let others: Option<Vec<TcpListener>> = others.collect();
        Some((port, std::iter::once(first).chain(others?).collect()))
    })
}

fn bind(address: SocketAddr) -> TcpListener {
    eventually("the port of the previous process", || TcpListener::bind(address).ok())
}
