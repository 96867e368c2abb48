//! Takes clients' connections, within a budget of descriptors, until it is told to stop.

use std::collections::BTreeMap;
use std::error::Error;
use std::future::poll_fn;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::header::CONNECTION;
use axum::http::{HeaderValue, Request, StatusCode};
use axum::routing::any;
use axum::Router;
use bytes::BytesMut;
use crankpick_http::body::Guarded;
use crankpick_http::framing::Framing;
use crankpick_http::stall::Stall;
use crankpick_http::stream::{linger, poll_write};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, Instant};
use tower_service::Service;

use crate::lifecycle::{Lifecycle, Stand, LATE};
use crate::query::{answer, plain, Proxy};
use crate::share::halve;

/// Against clients that open a connection and never say anything.
const SILENT: Duration = Duration::from_millis(2_200);
/// Against those that keep one for good. Each end may cross a request, so it is not sooner: where connections
/// are many they end for room.
const RESTED: Duration = Duration::from_secs(6);
/// Against heads that never end; from the opening a little longer.
const HEAD: Duration = Duration::from_millis(2_500);
const FIRST: Duration = Duration::from_millis(2_800);
/// Against clients that don't read their answers.
const UNREAD: Duration = Duration::from_secs(6);
/// How often one that leaves is looked at again while something lies in its socket.
const LOOK: Duration = Duration::from_millis(20);
/// Who connects asks right away: one that has not by then is the first to make room.
const YOUNG: Duration = Duration::from_millis(5);
/// Connections ended together where there is no room.
const AT_ONCE: usize = 4;
/// Of a connection's buffer: heads are small, and many connections share the memory.
const MOST_BUFFER: usize = 32 << 10;
/// Of what is read behind a request in hand, only to find out whether its client is still there: by one connection,
/// and of the memory by all together.
const MOST_AHEAD: usize = 256 << 10;
const AHEAD: usize = 16;
const PART: usize = 4 << 10;

pub fn router(proxy: Arc<Proxy>, stand: Stand) -> Router {
    let ready = |State(stand): State<Stand>| async move {
        match stand.ready() {
            Ok(()) => plain(StatusCode::OK, "ready"),
            Err(why) => plain(StatusCode::SERVICE_UNAVAILABLE, &why),
        }
    };
    let ready = any(ready).with_state(stand);
    Router::new().route("/-/ready", ready).fallback(answer).with_state(proxy)
}

/// What is known of each open connection.
struct Client {
    opened: Instant,
    /// None while a request is in hand.
    idle_since: Mutex<Option<Instant>>,
    asked: AtomicBool,
    asked_to_end: AtomicBool,
    /// Whether some of an answer could not be written yet.
    behind: AtomicBool,
    /// Whether it is to end as soon as nothing is in hand, and nothing more lies in its socket.
    leaving: AtomicBool,
    end: Notify,
    framing: Mutex<Framing>,
    stream: TcpStream,
    ahead: Mutex<Ahead>,
    /// What all connections may still read ahead.
    room: Arc<AtomicUsize>,
}

/// What came behind a request in hand. hyper reads no further while it holds bytes of the next one, so that the end
/// of the client's sending would lie unseen behind them for as long as the request is in hand.
#[derive(Default)]
struct Ahead {
    bytes: BytesMut,
    /// The client's sending has ended, or broken off: it has gone.
    ended: bool,
    /// hyper waits for more, and will see the end itself.
    awaited: bool,
}

impl Drop for Client {
    fn drop(&mut self) {
        let length = self.ahead().bytes.len();
        self.room.fetch_add(length, Ordering::Relaxed);
    }
}

impl Client {
    fn idle(&self) -> Option<Instant> {
        *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_idle(&self, since: Option<Instant>) {
        *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner) = since;
    }

    fn framing(&self) -> MutexGuard<'_, Framing> {
        self.framing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn may_read_ahead(&self, ahead: &Ahead) -> bool {
        ahead.bytes.len() < MOST_AHEAD && self.room.load(Ordering::Relaxed) >= PART
    }

    fn ahead(&self) -> MutexGuard<'_, Ahead> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads on behind what hyper has, as far as there is something and room; whether the client has gone.
    fn read_ahead(&self, mut read: impl FnMut(&mut [u8]) -> io::Result<usize>) -> MutexGuard<'_, Ahead> {
        let (mut ahead, mut part) = (self.ahead(), [0; PART]);
        while !ahead.ended && self.may_read_ahead(&ahead) {
            match read(&mut part) {
                Ok(0) => ahead.ended = true,
                Ok(length) => {
                    self.framing().feed(&part[..length], Instant::now());
                    ahead.bytes.extend_from_slice(&part[..length]);
                    self.room.fetch_sub(length, Ordering::Relaxed);
                }
                Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => break,
                Err(wrong) if wrong.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => ahead.ended = true,
            }
        }
        ahead
    }

    /// Whether its client has gone, by what the kernel has: the runtime may not have been told yet.
    fn gone(&self) -> bool {
        self.read_ahead(|part| (&*SockRef::from(&self.stream)).read(part)).ended
    }

    /// Comes once its client goes where hyper would not notice. To be polled after hyper, in the same task.
    fn poll_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.idle().is_some() || self.ahead().awaited {
            return Poll::Pending;
        }
        while self.may_read_ahead(&self.ahead()) {
            let _ = std::task::ready!(self.stream.poll_read_ready(cx));
            if self.read_ahead(|part| self.stream.try_read(part)).ended {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// The same past what may be read ahead, where only the socket's own word is left.
    async fn hangs_up(&self) {
        loop {
            sleep(LOOK).await;
            let ready = self.stream.ready(Interest::READABLE).await;
            let broken = SockRef::from(&self.stream).take_error();
            if ready.is_ok_and(|ready| ready.is_read_closed()) || !matches!(broken, Ok(None)) {
                return;
            }
        }
    }

    /// When it will have said nothing for too long, or not ended what it says; none while a query is in hand.
    fn patience(&self) -> Option<Instant> {
        let since = self.idle().filter(|_| !self.behind.load(Ordering::Relaxed))?;
        let head = self.framing().head_since();
        let (rest, most) = match self.asked.load(Ordering::Relaxed) {
            true => (RESTED, None),
            false => (SILENT, Some(self.opened + FIRST)),
        };
        let until = head.map_or(since + rest, |head| head + HEAD);
        Some(most.map_or(until, |most| until.min(most)))
    }
}

/// Held by an answer's body: its client is idle once it is through.
struct Answering(Arc<Client>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.set_idle(Some(Instant::now()));
    }
}

#[derive(Default)]
struct Clients {
    open: Mutex<BTreeMap<u64, Arc<Client>>>,
}

impl Clients {
    /// Makes room for a few at once, as they come by hundreds: first those that never asked, but for the
    /// youngest, which may be about to; then those that have been idle for longest.
    fn end_some_idle(&self) {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = open.values().filter(|client| !client.asked_to_end.load(Ordering::Relaxed));
        let idle = idle.filter_map(|client| {
            client.idle().map(|since| (client.asked.load(Ordering::Relaxed), since, client))
        });
        let mut idle: Vec<_> = idle.filter(|(asked, since, _)| *asked || since.elapsed() > YOUNG).collect();
        idle.sort_by_key(|(asked, since, _)| (*asked, *since));
        for (_, _, client) in idle.into_iter().take(AT_ONCE) {
            client.asked_to_end.store(true, Ordering::Relaxed);
            client.end.notify_one();
        }
    }
}

/// A client's connection that ends where nothing of an answer can be written for too long.
struct Patient {
    stall: Stall,
    client: Arc<Client>,
}

impl Patient {
    /// Whether it leaves, at rest. A request may lie in the socket that nobody was told of, above all where this
    /// process stood still for a while: such a one is taken, and ending the connection would lose it.
    fn over(&self) -> bool {
        let overdue = || self.client.patience().is_some_and(|until| until <= Instant::now());
        let rests = || {
            let idle = self.client.idle().is_some() && !self.client.behind.load(Ordering::Relaxed);
            idle && (self.client.framing().head_since().is_none() || overdue())
        };
        let empty = || {
            let looked = SockRef::from(&self.client.stream).peek(&mut [MaybeUninit::uninit()]);
            self.client.ahead().bytes.is_empty() && !matches!(looked, Ok(1..))
        };
        self.client.leaving.load(Ordering::Relaxed) && rests() && empty()
    }

    fn wrote<T>(&mut self, cx: &mut Context<'_>, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let written = self.stall.wrote(cx, written);
        let was_behind = self.client.behind.swap(written.is_pending(), Ordering::Relaxed);
        if was_behind && written.is_ready() && self.client.idle().is_some() {
            // Its rest begins once it has caught up.
            self.client.set_idle(Some(Instant::now()));
        }
        written
    }
}

impl AsyncRead for Patient {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let client = &self.client;
        let mut ahead = client.ahead();
        ahead.awaited = false;
        if !ahead.bytes.is_empty() {
            let length = ahead.bytes.len().min(buf.remaining());
            buf.put_slice(&ahead.bytes.split_to(length));
            client.room.fetch_add(length, Ordering::Relaxed);
            return Poll::Ready(Ok(()));
        } else if ahead.ended {
            return Poll::Ready(Ok(()));
        }
        drop(ahead);
        loop {
            let read = match client.stream.poll_read_ready(cx)? {
                Poll::Ready(()) => client.stream.try_read(buf.initialize_unfilled()),
                Poll::Pending if self.over() => {
                    // An end of input is what makes hyper let go of a connection at rest.
                    return Poll::Ready(Ok(()));
                }
                Poll::Pending => {
                    client.ahead().awaited = true;
                    return Poll::Pending;
                }
            };
            match read {
                Ok(length) => {
                    let came = &buf.initialize_unfilled()[..length];
                    client.framing().feed(came, Instant::now());
                    buf.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => {}
                Err(wrong) => return Poll::Ready(Err(wrong)),
            }
        }
    }
}

impl Patient {
    fn write(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let written = poll_write(&self.client.stream, cx, write);
        self.wrote(cx, written)
    }
}

impl AsyncWrite for Patient {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // All that is written is with the kernel, which holds nothing back.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.client.stream).shutdown(Shutdown::Write))
    }
}

/// Accepts until the process is to end and a little longer, then waits for all connections to end.
/// Past `easy` open ones idle ones end already: whoever deals out connections may count those that nobody
/// uses against those that ask.
pub async fn run(
    listener: TcpListener,
    router: Router,
    budget: usize,
    easy: usize,
    memory: usize,
    lifecycle: watch::Receiver<Lifecycle>,
    others: watch::Receiver<usize>,
) {
    let ahead = Arc::new(AtomicUsize::new(memory / AHEAD));
    let clients = Arc::new(Clients::default());
    let room = Arc::new(Semaphore::new(budget));
    let leave_room = {
        let clients = Arc::clone(&clients);
        halve(others.clone(), Arc::clone(&room), budget, move || clients.end_some_idle())
    };
    let leave_room = tokio::spawn(leave_room);
    let mut number = 0;
    let mut told = lifecycle.clone();
    let mut late = Box::pin(async {
        let _ = told.wait_for(|lifecycle| matches!(lifecycle, Lifecycle::Ending(_))).await;
        // Where another process accepts from the same socket it takes all that comes from now on.
        if *others.borrow() == 0 {
            sleep(LATE).await;
        }
    });
    let mut take = |stream: TcpStream, address: SocketAddr, permit: OwnedSemaphorePermit| {
        if budget.saturating_sub(room.available_permits()) > easy {
            clients.end_some_idle();
        }
        number += 1;
        let client = Arc::new(Client {
            opened: Instant::now(),
            idle_since: Mutex::new(Some(Instant::now())),
            asked: AtomicBool::new(false),
            asked_to_end: AtomicBool::new(false),
            behind: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            end: Notify::new(),
            framing: Mutex::new(Framing::new()),
            stream,
            ahead: Mutex::default(),
            room: Arc::clone(&ahead),
        });
        clients.open.lock().unwrap_or_else(PoisonError::into_inner).insert(number, Arc::clone(&client));
        let (clients, router, lifecycle) = (Arc::clone(&clients), router.clone(), lifecycle.clone());
        tokio::spawn(async move {
            let opened = Instant::now();
            let code = hold(&client, router, lifecycle).await;
            clients.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
            let open_ms = opened.elapsed().as_millis() as u64;
            tracing::info!(code, %address, open_ms, "client connection ended");
            match code {
                // To a client of HTTP/1.0 an end in order would say that the answer is whole.
                "cut_off" => drop(SockRef::from(&client.stream).set_linger(Some(Duration::ZERO))),
                // Its place is wanted now, and its last answer went long ago.
                "over_budget" => {}
                _ => linger(&client.stream).await,
            }
            drop(permit);
        });
    };
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut late => break,
            accepted = accept(&listener, &room, &clients) => accepted,
        };
        let (stream, address, permit) = accepted;
        take(stream, address, permit);
    }
    // What the kernel has taken up for us by now would be reset with the listener. Another process would take it.
    if let Some(last) = listener.into_std().ok().filter(|_| *others.borrow() == 0) {
        while let Ok(permit) = Arc::clone(&room).try_acquire_owned() {
            let accepted = last.accept().and_then(|(stream, address)| {
                stream.set_nonblocking(true)?;
                Ok((TcpStream::from_std(stream)?, address))
            });
            let Ok((stream, address)) = accepted else { break };
            take(stream, address, permit);
        }
    }
    leave_room.abort();
    let _ = leave_room.await;
    let _ = room.acquire_many(budget as u32).await;
}

/// The next connection. What goes wrong here passes: no error may end the loop.
async fn accept(
    listener: &TcpListener,
    room: &Arc<Semaphore>,
    clients: &Clients,
) -> (TcpStream, SocketAddr, OwnedSemaphorePermit) {
    loop {
        let permit = match Arc::clone(room).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                // Beyond the budget the kernel holds what comes until a place is free.
                clients.end_some_idle();
                tokio::select! {
                    permit = Arc::clone(room).acquire_owned() => match permit {
                        Ok(permit) => permit,
                        Err(_) => std::future::pending().await,
                    },
                    () = sleep(YOUNG) => continue,
                }
            }
        };
        match listener.accept().await {
            Ok((stream, address)) => return (stream, address, permit),
            Err(wrong) => {
                tracing::warn!(code = "accept_error", "{wrong}");
                clients.end_some_idle();
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Why a request is not answered.
#[derive(Debug)]
struct Gone;

impl std::fmt::Display for Gone {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("the client has gone")
    }
}

impl Error for Gone {}

fn timed_out(wrong: &hyper::Error) -> bool {
    let source = wrong.source().and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| source.kind() == io::ErrorKind::TimedOut)
}

/// Serves one connection to its end; returns the reason's code.
async fn hold(
    client: &Arc<Client>,
    router: Router,
    mut lifecycle: watch::Receiver<Lifecycle>,
) -> &'static str {
    let _ = client.stream.set_nodelay(true);
    let told = lifecycle.clone();
    let service = service_fn(|mut request: Request<Incoming>| {
        if let Some(came) = client.framing().next_request() {
            request.extensions_mut().insert(came);
        }
        client.asked.store(true, Ordering::Relaxed);
        client.set_idle(None);
        let (mut router, told) = (router.clone(), told.clone());
        async move {
            // Nothing is begun for who left behind it, or while it lay here.
            if client.gone() {
                return Err(Gone);
            }
            // hyper may have looked for a body just before it came.
            if !client.ahead().bytes.is_empty() {
                tokio::task::yield_now().await;
            }
            let Ok(answer) = router.call(request).await;
            let mut answer = answer.map(|body| Body::new(Guarded::new(body, Answering(Arc::clone(client)))));
            if told.borrow().ready().is_err() || client.leaving.load(Ordering::Relaxed) {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(answer)
        }
    });
    let connection =
        http1::Builder::new().header_read_timeout(None).max_buf_size(MOST_BUFFER).serve_connection(
            TokioIo::new(Patient { stall: Stall::new(UNREAD), client: Arc::clone(client) }),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    let (mut code, mut leaving) = (None, false);
    loop {
        let leave = lifecycle.borrow_and_update().leave(client.opened);
        // Once it leaves it ends by itself, but for what still lies in its socket.
        let soon =
            Instant::now() + if client.leaving.load(Ordering::Relaxed) { LOOK } else { Duration::ZERO };
        let patience = client.patience().unwrap_or_else(|| Instant::now() + SILENT).max(soon);
        let (leave_at, why) = leave.unwrap_or((client.opened, "closed_by_client"));
        let full = !client.may_read_ahead(&client.ahead());
        tokio::select! {
            biased;
            ended = connection.as_mut() => {
                return match ended {
                    Ok(()) => code.unwrap_or(why),
                    Err(_) if client.ahead().ended => "client_gone",
                    Err(wrong) if wrong.is_parse() => "not_http",
                    Err(wrong) if wrong.is_user() => "cut_off",
                    Err(wrong) if timed_out(&wrong) => "unread",
                    Err(_) => code.unwrap_or("client_gone"),
                };
            }
            () = poll_fn(|cx| client.poll_gone(cx)) => return "client_gone",
            () = client.hangs_up(), if full && client.idle().is_none() => return "client_gone",
            Ok(()) = lifecycle.changed() => {}
            () = sleep_until(patience) => {
                if client.patience().is_some_and(|until| until <= Instant::now()) {
                    code.get_or_insert("silent");
                    client.leaving.store(true, Ordering::Relaxed);
                }
            }
            () = sleep_until(leave_at), if leave.is_some() && !leaving => {
                leaving = true;
                client.leaving.store(true, Ordering::Relaxed);
            }
            () = client.end.notified() => {
                code = Some("over_budget");
                client.leaving.store(true, Ordering::Relaxed);
            }
        }
    }
}
