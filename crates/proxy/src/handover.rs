//! State shared by the processes of an upgrade: the clients' listening socket, and through `$TMPDIR` the
//! presence of each process and the backends that operators have taken out.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use socket2::SockRef;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::balancer::BalancerHandle;
use crate::registry::{BackendRegistry, DrainSource};

const SOCKET_SUFFIX: &str = ".sock";
/// A live process answers at once; an operator waits 1 s in total.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which the end of another process is detected.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
const MAX_LINE: u64 = 600;

/// Calls that a process forwards to another one.
pub const DETACH: &str = "DETACH";
pub const ATTACH: &str = "ATTACH";

fn is_gone(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{ConnectionRefused, NotFound};
    matches!(error.kind(), ConnectionRefused | NotFound)
}

/// Common prefix of this proxy's files in `$TMPDIR`; None if there is no such directory. It contains the listen
/// address, so files of other proxies differ.
pub fn file_prefix(listen: SocketAddr) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    Some(PathBuf::from(directory).join(format!("crankpick-{listen}")))
}

/// The listening socket that the platform passes to all processes, if any.
pub fn inherited() -> Result<Option<TcpListener>, String> {
    let name = "EDGE_INHERITED_FD";
    let Some(text) = std::env::var(name).ok().filter(|text| !text.is_empty()) else { return Ok(None) };
    let number = text.parse::<i32>().ok().filter(|number| *number > 2);
    let number = number.ok_or_else(|| format!("{name}: invalid file descriptor {text:?}"))?;
    // SAFETY: the descriptor is only borrowed until it is duplicated; a number that is not open yields an
    // error.
    let given = unsafe { BorrowedFd::borrow_raw(number) };
    let duplicate = || {
        if !SockRef::from(&given).is_listener()? {
            return Err(std::io::Error::other("not a listening socket"));
        }
        let listener = std::net::TcpListener::from(given.try_clone_to_owned()?);
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    duplicate().map(Some).map_err(|error| format!("{name}: descriptor {number}: {error}"))
}

/// Backends taken out by operators: applied to the balancer, stored in a file that outlives the process, and
/// forwarded to the other processes.
pub struct ManualDrains {
    balancer: Arc<BalancerHandle>,
    registry: Arc<Mutex<BackendRegistry>>,
    handover: Option<Arc<Handover>>,
    /// Set if `$TMPDIR` is available.
    file: Option<PathBuf>,
}

impl ManualDrains {
    /// Takes out the backends in the file before the first query. A damaged file does not prevent startup.
    pub fn start(
        balancer: Arc<BalancerHandle>,
        registry: Arc<Mutex<BackendRegistry>>,
        handover: Option<Arc<Handover>>,
        prefix: Option<&Path>,
    ) -> Arc<Self> {
        let file = prefix.map(|prefix| prefix.with_added_extension("out.json"));
        let manual_drains = Arc::new(ManualDrains { balancer, registry, handover, file });
        if let Some(handover) = &manual_drains.handover {
            let _ = handover.manual_drains.set(Arc::downgrade(&manual_drains));
        }
        match manual_drains.load() {
            Ok(ids) => ids.iter().for_each(|id| manual_drains.set(id, true)),
            Err(error) => tracing::error!(code = "out_unsound", "manual drains can't be read: {error}"),
        }
        manual_drains
    }

    fn load(&self) -> Result<Vec<String>, String> {
        let Some(file) = &self.file else { return Ok(Vec::new()) };
        match std::fs::read(file) {
            Ok(text) => serde_json::from_slice(&text).map_err(|error| error.to_string()),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(Vec::new()),
            Err(error) => Err(error.to_string()),
        }
    }

    fn set(&self, id: &str, out: bool) {
        let changed = self.registry.lock().unwrap_or_else(PoisonError::into_inner).set_drain(
            id,
            DrainSource::Operator,
            out,
        );
        tracing::info!(code = if out { "out_by_hand" } else { "back_by_hand" }, id, "told by operators");
        if let Some(number) = changed {
            self.balancer.set_manual_drain(number, out);
        }
    }

    /// Replaces the file atomically, so that no process reads a partial one.
    fn store(&self) -> Result<(), String> {
        let Some(file) = &self.file else { return Ok(()) };
        let ids = self.registry.lock().unwrap_or_else(PoisonError::into_inner).drained(DrainSource::Operator);
        let next = file.with_extension(format!("{}", std::process::id()));
        let text = serde_json::to_vec(&ids).map_err(|error| error.to_string())?;
        let stored = std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, file));
        stored.map_err(|error| format!("{}: {error}", file.display()))
    }

    /// Handles an operator's call; it is in force at all processes once this returns.
    pub async fn call(&self, id: &str, out: bool) -> Result<(), String> {
        if !self.registry.lock().unwrap_or_else(PoisonError::into_inner).knows(id) {
            return Err(format!("no backend {id:?} is known"));
        }
        self.set(id, out);
        self.store()?;
        match &self.handover {
            Some(handover) => {
                handover.broadcast(&format!("{} {id}", if out { DETACH } else { ATTACH })).await
            }
            None => Ok(()),
        }
    }
}

/// Presence of this process among those that share `$TMPDIR`. Each process has a socket there; the socket of a
/// dead process refuses connections and is removed.
pub struct Handover {
    /// Kept open: paths through its descriptor stay within the length limit of socket paths, however long the
    /// directory's path is.
    directory: File,
    /// Common prefix of this proxy's socket names.
    prefix: String,
    own_socket: String,
    present: Mutex<BTreeSet<String>>,
    others: watch::Sender<usize>,
    manual_drains: OnceLock<Weak<ManualDrains>>,
}

impl Handover {
    /// Creates this process's socket and looks for other processes.
    pub async fn start(path_prefix: &Path) -> Result<Arc<Self>, String> {
        let name = |part: Option<&std::ffi::OsStr>| part.unwrap_or_default().to_string_lossy().into_owned();
        let (directory, prefix) =
            (path_prefix.parent().unwrap_or(path_prefix), name(path_prefix.file_name()));
        let open = File::open(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // The separator is needed because another address may begin with the whole of this one.
        let prefix = prefix + "-";
        let own_socket = format!("{prefix}{}-{:x}{SOCKET_SUFFIX}", std::process::id(), now.as_nanos());
        let (others, manual_drains) = (watch::Sender::new(0), OnceLock::new());
        let handover = Arc::new(Handover {
            directory: open,
            prefix,
            own_socket,
            present: Mutex::default(),
            others,
            manual_drains,
        });
        let listener = UnixListener::bind(handover.path(&handover.own_socket));
        let listener = listener.map_err(|error| format!("{}: {error}", directory.display()))?;
        tokio::spawn(Arc::clone(&handover).listen(listener));
        handover.refresh().await;
        tokio::spawn(Arc::clone(&handover).follow());
        Ok(handover)
    }

    /// Number of other processes.
    pub fn others(&self) -> watch::Receiver<usize> {
        self.others.subscribe()
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/self/fd/{}/{name}", self.directory.as_raw_fd()))
    }

    fn set_present(&self, name: &str, present: bool) {
        let mut all = self.present.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = if present { all.insert(name.to_owned()) } else { all.remove(name) };
        if changed {
            tracing::info!(code = "processes", others = all.len(), "other processes of this proxy");
            self.others.send_replace(all.len());
        }
    }

    /// Contacts each process that has a socket.
    async fn refresh(&self) {
        let names = std::fs::read_dir(self.path("")).into_iter().flatten().flatten();
        let names = names.filter_map(|entry| entry.file_name().into_string().ok());
        let is_other_process = |name: &String| {
            name.starts_with(&self.prefix) && name.ends_with(SOCKET_SUFFIX) && *name != self.own_socket
        };
        for name in names.filter(is_other_process) {
            match self.ask(&name, &format!("HERE {}", self.own_socket)).await {
                Ok(_) => self.set_present(&name, true),
                Err(error) if is_gone(&error) => {
                    let _ = std::fs::remove_file(self.path(&name));
                    self.set_present(&name, false);
                }
                // It may be busy, and counts as running until it is known to have ended.
                Err(error) => tracing::warn!(code = "process_silent", name, "{error}"),
            }
        }
        let exists = |name: &String| self.path(name).exists();
        let present = self.present.lock().unwrap_or_else(PoisonError::into_inner).clone();
        present.iter().filter(|name| !exists(name)).for_each(|name| self.set_present(name, false));
    }

    /// Forwards a call to all other processes; returns once all that are running have confirmed it.
    async fn broadcast(&self, line: &str) -> Result<(), String> {
        let present = self.present.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for name in &present {
            match self.ask(name, line).await {
                Ok(answer) if answer.starts_with("YES") => {}
                Ok(answer) => return Err(format!("another process says {answer:?}")),
                Err(error) if is_gone(&error) => self.set_present(name, false),
                Err(error) => return Err(format!("another process: {error}")),
            }
        }
        Ok(())
    }

    async fn follow(self: Arc<Self>) {
        let mut others = self.others();
        loop {
            let _ = others.wait_for(|others| *others > 0).await;
            sleep(POLL_INTERVAL).await;
            self.refresh().await;
        }
    }

    async fn ask(&self, name: &str, line: &str) -> std::io::Result<String> {
        let asked = async {
            let mut stream = BufReader::new(UnixStream::connect(self.path(name)).await?);
            stream.get_mut().write_all(format!("{line}\n").as_bytes()).await?;
            let mut answer = String::new();
            (&mut stream).take(MAX_LINE).read_line(&mut answer).await?;
            Ok(answer)
        };
        timeout(RESPONSE_TIMEOUT, asked).await.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
    }

    async fn listen(self: Arc<Self>, listener: UnixListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY).await;
                continue;
            };
            // One at a time: there are one or two other processes, and each call is short.
            let _ = timeout(RESPONSE_TIMEOUT, self.handle(stream)).await;
        }
    }

    async fn handle(&self, stream: UnixStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        (&mut stream).take(MAX_LINE).read_line(&mut line).await?;
        let answer = match line.trim_end().split_once(' ') {
            Some(("HERE", name)) => {
                self.set_present(name, true);
                "YES\n"
            }
            Some((call @ (DETACH | ATTACH), id)) => match self.manual_drains.get().and_then(Weak::upgrade) {
                Some(manual_drains) => {
                    manual_drains.set(id, call == DETACH);
                    // Of two concurrent calls each process may have written the file without the other one.
                    manual_drains.store().map_or("NO not kept\n", |()| "YES\n")
                }
                // This process has not read the file yet, which already contains this call.
                None => "YES\n",
            },
            _ => "NO\n",
        };
        stream.get_mut().write_all(answer.as_bytes()).await
    }

    /// Removes this process's socket.
    pub fn remove_socket(&self) {
        let _ = std::fs::remove_file(self.path(&self.own_socket));
    }
}
