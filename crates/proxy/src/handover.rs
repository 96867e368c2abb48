//! What the processes of an upgrade share: the clients' listening socket, and through `$TMPDIR` word of
//! one another.

use std::collections::BTreeSet;
use std::fs::File;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use socket2::SockRef;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, timeout};

const ENDING: &str = ".crankpick";
/// A process that is there answers at once; a caller waits 1 s for all of it.
const ANSWER: Duration = Duration::from_millis(400);
/// How soon the end of another process is noticed.
const LOOK: Duration = Duration::from_millis(250);
const PAUSE: Duration = Duration::from_millis(20);
const MOST_LINE: u64 = 600;

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

/// Of a pool of permits, half is left to another process for as long as one is there.
pub async fn halve(
    mut others: watch::Receiver<usize>, room: Arc<Semaphore>, whole: usize, make_room: impl Fn(),
) {
    let mut left = Vec::new();
    loop {
        if *others.borrow_and_update() == 0 {
            left.clear();
        } else if left.len() < whole / 2 {
            match Arc::clone(&room).try_acquire_owned() {
                Ok(permit) => left.push(permit),
                Err(_) => {
                    make_room();
                    sleep(PAUSE).await;
                }
            }
            continue;
        }
        if others.changed().await.is_err() {
            return;
        }
    }
}

/// This process among those that share `$TMPDIR`. Each has a socket there, named for it; a dead one's
/// refuses and is removed.
pub struct Handover {
    /// Held open: by its descriptor the sockets' paths stay short, however long the folder's is.
    folder: File,
    own: String,
    there: Mutex<BTreeSet<String>>,
    others: watch::Sender<usize>,
}

impl Handover {
    /// Takes its place and finds out who else is there.
    pub async fn start() -> Result<Arc<Self>, String> {
        let folder = std::env::temp_dir();
        let open = File::open(&folder).map_err(|wrong| format!("{}: {wrong}", folder.display()))?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own = format!("{}-{:x}{ENDING}", std::process::id(), now.as_nanos());
        let others = watch::Sender::new(0);
        let handover = Arc::new(Handover { folder: open, own, there: Mutex::default(), others });
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
        for name in names.filter(|name| name.ends_with(ENDING) && *name != self.own) {
            match self.ask(&name, &format!("HERE {}", self.own)).await {
                Ok(_) => self.set_there(&name, true),
                Err(wrong) if wrong.kind() == std::io::ErrorKind::ConnectionRefused => {
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
            _ => "NO\n",
        };
        stream.get_mut().write_all(answer.as_bytes()).await
    }

    /// Leaves the folder as it was found.
    pub fn end(&self) {
        let _ = std::fs::remove_file(self.path(&self.own));
    }
}
