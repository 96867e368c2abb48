//! Pool of connections to backends: reuses idle connections and limits each backend to this gateway's
//! share.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use crankpick_registry::BackendTable;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use crate::backend_stream::{BackendStream, LinkState};

/// How long transmitted data may remain unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a connection's read buffer.
const MAX_READ_BUFFER: usize = 64 << 10;
/// Fraction of a backend's connection limit that all gateways use together.
const USABLE_FRACTION: f64 = 0.9;

/// Why no connection is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// This gateway's share of the backend's connections, or its own limit, is in use.
    LimitReached,
    /// The connection could not be established.
    Unreachable,
}

/// A connection to a backend that is assigned to one request.
pub(crate) struct BackendConnection {
    pub sender: SendRequest<Full<Bytes>>,
    pub link: Arc<LinkState>,
    id: Arc<str>,
}

struct IdleConnection {
    connection: BackendConnection,
    since: Instant,
    until: Instant,
}

#[derive(Default)]
struct Pool {
    /// Ordered by last use, most recent last.
    idle: Vec<IdleConnection>,
    open: Arc<AtomicUsize>,
}

/// The connections to all backends.
pub(crate) struct BackendPools {
    max_open: usize,
    open: Arc<AtomicUsize>,
    pools: Mutex<BTreeMap<Arc<str>, Pool>>,
}

/// Counts an open connection until it is dropped.
struct ConnectionPermit {
    total: Arc<AtomicUsize>,
    per_backend: Arc<AtomicUsize>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.total.fetch_sub(1, Ordering::Relaxed);
        self.per_backend.fetch_sub(1, Ordering::Relaxed);
    }
}

/// This gateway's share of the connections that a backend accepts.
pub(crate) fn connection_share(max_conns: u32, gateways: usize) -> usize {
    let share = f64::from(max_conns) * USABLE_FRACTION / gateways.max(1) as f64;
    (share as usize).max(1)
}

impl BackendPools {
    pub fn new(max_open: usize) -> Self {
        BackendPools { max_open, open: Arc::default(), pools: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops idle connections to backends that receive no more requests.
    pub fn keep_only(&self, backends: &BackendTable) {
        let receiving = backends.iter().filter(|record| record.may_receive());
        let receiving: BTreeSet<&str> = receiving.map(|record| record.id.as_str()).collect();
        self.lock().retain(|id, _| receiving.contains(&**id));
    }

    /// Takes the most recently used idle connection.
    pub fn take_idle(&self, id: &str) -> Option<BackendConnection> {
        let mut pools = self.lock();
        let idle = &mut pools.get_mut(id)?.idle;
        let now = Instant::now();
        idle.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        // A connection becomes ready only after the previous request has been written completely: an early
        // response may arrive before the end of that request's body.
        let index = idle.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        let connection = idle.remove(index).connection;
        connection.link.begin_reuse();
        Some(connection)
    }

    /// Returns a connection whose response has been read completely; it is reusable for `reusable_for`.
    pub fn release(&self, connection: BackendConnection, reusable_for: Duration) {
        if let Some(pool) = self.lock().get_mut(&connection.id) {
            let since = Instant::now();
            pool.idle.push(IdleConnection { connection, since, until: since + reusable_for });
        }
    }

    /// Opens a connection, up to `share` to this backend.
    pub async fn open(
        &self,
        id: &Arc<str>,
        address: SocketAddr,
        share: usize,
        connect_timeout: Duration,
    ) -> Result<BackendConnection, ConnectError> {
        let permit = self.reserve(id, share).ok_or(ConnectError::LimitReached)?;
        let connected = timeout(connect_timeout, connect(address)).await;
        let stream = connected.ok().and_then(Result::ok).ok_or(ConnectError::Unreachable)?;
        let link = Arc::new(LinkState::default());
        let io = TokioIo::new(BackendStream::new(stream, Arc::clone(&link)));
        let handshake = http1::Builder::new().max_buf_size(MAX_READ_BUFFER).handshake(io).await;
        let (sender, driver) = handshake.map_err(|_| ConnectError::Unreachable)?;
        tokio::spawn(async move {
            // Errors are reported to the request through its sender.
            let _ = driver.await;
            drop(permit);
        });
        Ok(BackendConnection { sender, link, id: Arc::clone(id) })
    }

    fn reserve(&self, id: &Arc<str>, share: usize) -> Option<ConnectionPermit> {
        let mut pools = self.lock();
        if self.open.load(Ordering::Relaxed) >= self.max_open {
            close_longest_idle(&mut pools);
            return None;
        }
        let pool = pools.entry(Arc::clone(id)).or_default();
        if pool.open.load(Ordering::Relaxed) >= share {
            return None;
        }
        pool.open.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionPermit { total: Arc::clone(&self.open), per_backend: Arc::clone(&pool.open) })
    }
}

fn close_longest_idle(pools: &mut BTreeMap<Arc<str>, Pool>) {
    let idle_pools = pools.values_mut().filter(|pool| !pool.idle.is_empty());
    if let Some(pool) = idle_pools.min_by_key(|pool| pool.idle[0].since) {
        pool.idle.remove(0);
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(stream)
}
