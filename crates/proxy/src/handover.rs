//! What the processes of an upgrade share: the clients' listening socket, and through `$TMPDIR` word of
//! one another and the backends that operators have taken out.

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

use crate::decide::Decide;
use crate::names::{By, Names};

const ENDING: &str = ".sock";
/// A process that is there answers at once; a caller waits 1 s for all of it.
const ANSWER: Duration = Duration::from_millis(400);
/// How soon the end of another process is noticed.
const LOOK: Duration = Duration::from_millis(250);
const PAUSE: Duration = Duration::from_millis(20);
const MOST_LINE: u64 = 600;

/// The calls as one process passes them to another.
pub const DETACH: &str = "DETACH";
pub const ATTACH: &str = "ATTACH";

fn gone(wrong: &std::io::Error) -> bool {
    use std::io::ErrorKind::{ConnectionRefused, NotFound};
    matches!(wrong.kind(), ConnectionRefused | NotFound)
}

/// What this proxy's files in `$TMPDIR` begin with; None where nothing may be left there. Another proxy's,
/// at another address, are not ours.
pub fn place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("crankpick-{listen}")))
}

/// The listening socket that the platform holds for all processes, where it names one.
pub fn inherited() -> Result<Option<TcpListener>, String> {
    let name = "EDGE_INHERITED_FD";
    let Some(text) = std::env::var(name).ok().filter(|text| !text.is_empty()) else { return Ok(None) };
    let number = text.parse::<i32>().ok().filter(|number| *number > 2);
    let number = number.ok_or_else(|| format!("{name}: no descriptor in {text:?}"))?;
    // SAFETY: only borrowed until it is duplicated; a number that stands for nothing is told by an error.
    let given = unsafe { BorrowedFd::borrow_raw(number) };
    let own = || {
        if !SockRef::from(&given).is_listener()? {
            return Err(std::io::Error::other("not a listening socket"));
        }
        let listener = std::net::TcpListener::from(given.try_clone_to_owned()?);
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    own().map(Some).map_err(|wrong| format!("{name}: descriptor {number}: {wrong}"))
}

/// Who is out by hand: for the module, in the file that outlives this process, and told to the others.
pub struct ByHand {
    decide: Arc<Decide>,
    names: Arc<Mutex<Names>>,
    handover: Option<Arc<Handover>>,
    /// Where there is one.
    file: Option<PathBuf>,
}

impl ByHand {
    /// Takes those out that the file names, before any query comes. A damaged file stops nobody.
    pub fn start(
        decide: Arc<Decide>,
        names: Arc<Mutex<Names>>,
        handover: Option<Arc<Handover>>,
        place: Option<&Path>,
    ) -> Arc<Self> {
        let file = place.map(|place| place.with_added_extension("out.json"));
        let by_hand = Arc::new(ByHand { decide, names, handover, file });
        if let Some(handover) = &by_hand.handover {
            let _ = handover.by_hand.set(Arc::downgrade(&by_hand));
        }
        match by_hand.kept() {
            Ok(ids) => ids.iter().for_each(|id| by_hand.set(id, true)),
            Err(wrong) => tracing::error!(code = "out_unsound", "who is out by hand can't be read: {wrong}"),
        }
        by_hand
    }

    fn kept(&self) -> Result<Vec<String>, String> {
        let Some(file) = &self.file else { return Ok(Vec::new()) };
        match std::fs::read(file) {
            Ok(text) => serde_json::from_slice(&text).map_err(|wrong| wrong.to_string()),
            Err(wrong) if wrong.kind() == std::io::ErrorKind::NotFound => Ok(Vec::new()),
            Err(wrong) => Err(wrong.to_string()),
        }
    }

    fn set(&self, id: &str, out: bool) {
        let changed = self.names.lock().unwrap_or_else(PoisonError::into_inner).set(id, By::Hand, out);
        tracing::info!(code = if out { "out_by_hand" } else { "back_by_hand" }, id, "told by operators");
        if let Some(number) = changed {
            self.decide.by_hand(number, out);
        }
    }

    /// Replaced whole, so that nobody reads half a file.
    fn keep(&self) -> Result<(), String> {
        let Some(file) = &self.file else { return Ok(()) };
        let ids = self.names.lock().unwrap_or_else(PoisonError::into_inner).all_out(By::Hand);
        let next = file.with_extension(format!("{}", std::process::id()));
        let text = serde_json::to_vec(&ids).map_err(|wrong| wrong.to_string())?;
        let kept = std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, file));
        kept.map_err(|wrong| format!("{}: {wrong}", file.display()))
    }

    /// One call of an operator's, in force at all processes once this returns.
    pub async fn call(&self, id: &str, out: bool) -> Result<(), String> {
        if !self.names.lock().unwrap_or_else(PoisonError::into_inner).knows(id) {
            return Err(format!("no backend {id:?} is known"));
        }
        self.set(id, out);
        self.keep()?;
        match &self.handover {
            Some(handover) => handover.tell(&format!("{} {id}", if out { DETACH } else { ATTACH })).await,
            None => Ok(()),
        }
    }
}

/// This process among those that share `$TMPDIR`. Each has a socket there, named for it; a dead one's
/// refuses and is removed.
pub struct Handover {
    /// Held open: by its descriptor the sockets' paths stay short, however long the folder's is.
    folder: File,
    /// What all names of this proxy's sockets begin with.
    stem: String,
    own: String,
    there: Mutex<BTreeSet<String>>,
    others: watch::Sender<usize>,
    by_hand: OnceLock<Weak<ByHand>>,
}

impl Handover {
    /// Takes its place and finds out who else is there.
    pub async fn start(place: &Path) -> Result<Arc<Self>, String> {
        let name = |part: Option<&std::ffi::OsStr>| part.unwrap_or_default().to_string_lossy().into_owned();
        let (folder, stem) = (place.parent().unwrap_or(place), name(place.file_name()));
        let open = File::open(folder).map_err(|wrong| format!("{}: {wrong}", folder.display()))?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Another address may begin with the whole of this one.
        let stem = stem + "-";
        let own = format!("{stem}{}-{:x}{ENDING}", std::process::id(), now.as_nanos());
        let (others, by_hand) = (watch::Sender::new(0), OnceLock::new());
        let handover =
            Arc::new(Handover { folder: open, stem, own, there: Mutex::default(), others, by_hand });
        let listener = UnixListener::bind(handover.path(&handover.own));
        let listener = listener.map_err(|wrong| format!("{}: {wrong}", folder.display()))?;
        tokio::spawn(Arc::clone(&handover).listen(listener));
        handover.look().await;
        tokio::spawn(Arc::clone(&handover).follow());
        Ok(handover)
    }

    /// How many other processes are there.
    pub fn others(&self) -> watch::Receiver<usize> {
        self.others.subscribe()
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/self/fd/{}/{name}", self.folder.as_raw_fd()))
    }

    fn set_there(&self, name: &str, there: bool) {
        let mut all = self.there.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = if there { all.insert(name.to_owned()) } else { all.remove(name) };
        if changed {
            tracing::info!(code = "processes", others = all.len(), "other processes of this proxy");
            self.others.send_replace(all.len());
        }
    }

    /// Asks each process that has a socket for a sign of life.
    async fn look(&self) {
        let names = std::fs::read_dir(self.path("")).into_iter().flatten().flatten();
        let names = names.filter_map(|entry| entry.file_name().into_string().ok());
        let ours =
            |name: &String| name.starts_with(&self.stem) && name.ends_with(ENDING) && *name != self.own;
        for name in names.filter(ours) {
            match self.ask(&name, &format!("HERE {}", self.own)).await {
                Ok(_) => self.set_there(&name, true),
                Err(wrong) if gone(&wrong) => {
                    let _ = std::fs::remove_file(self.path(&name));
                    self.set_there(&name, false);
                }
                // It may be busy: it is there until it is known to be gone.
                Err(wrong) => tracing::warn!(code = "process_silent", name, "{wrong}"),
            }
        }
        let stand = |name: &String| self.path(name).exists();
        let there = self.there.lock().unwrap_or_else(PoisonError::into_inner).clone();
        there.iter().filter(|name| !stand(name)).for_each(|name| self.set_there(name, false));
    }

    /// Passes a call on to each other process; done once all that are there have said so.
    async fn tell(&self, line: &str) -> Result<(), String> {
        let there = self.there.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for name in &there {
            match self.ask(name, line).await {
                Ok(answer) if answer.starts_with("YES") => {}
                Ok(answer) => return Err(format!("another process says {answer:?}")),
                Err(wrong) if gone(&wrong) => self.set_there(name, false),
                Err(wrong) => return Err(format!("another process: {wrong}")),
            }
        }
        Ok(())
    }

    async fn follow(self: Arc<Self>) {
        let mut others = self.others();
        loop {
            let _ = others.wait_for(|others| *others > 0).await;
            sleep(LOOK).await;
            self.look().await;
        }
    }

    async fn ask(&self, name: &str, line: &str) -> std::io::Result<String> {
        let asked = async {
            let mut stream = BufReader::new(UnixStream::connect(self.path(name)).await?);
            stream.get_mut().write_all(format!("{line}\n").as_bytes()).await?;
            let mut answer = String::new();
            (&mut stream).take(MOST_LINE).read_line(&mut answer).await?;
            Ok(answer)
        };
        timeout(ANSWER, asked).await.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
    }

    async fn listen(self: Arc<Self>, listener: UnixListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(PAUSE).await;
                continue;
            };
            // In turn: the others are one or two, and each call is short.
            let _ = timeout(ANSWER, self.hear(stream)).await;
        }
    }

    async fn hear(&self, stream: UnixStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        (&mut stream).take(MOST_LINE).read_line(&mut line).await?;
        let answer = match line.trim_end().split_once(' ') {
            Some(("HERE", name)) => {
                self.set_there(name, true);
                "YES\n"
            }
            Some((call @ (DETACH | ATTACH), id)) => match self.by_hand.get().and_then(Weak::upgrade) {
                Some(by_hand) => {
                    by_hand.set(id, call == DETACH);
                    // Two calls at a time may each have written without the other.
                    by_hand.keep().map_or("NO not kept\n", |()| "YES\n")
                }
                // It has yet to read the file, which holds this call already.
                None => "YES\n",
            },
            _ => "NO\n",
        };
        stream.get_mut().write_all(answer.as_bytes()).await
    }

    /// Leaves the folder as it was found.
    pub fn end(&self) {
        let _ = std::fs::remove_file(self.path(&self.own));
    }
}
