//! The gateway under test, with fake backends and clients. Tests wait on channels instead of sleeping for
//! fixed times.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crankpick_configuration::{read, RoutingTable};
use crankpick_gateway::{Cause, GatewaySettings, Shared};
use crankpick_registry::{BackendRecord, BackendTable};
pub use crankpick_test_support::refusing_address;

/// Far longer than any step takes; reached only if a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than any test runs.
pub const LONGER_THAN_ANY_TEST: Duration = Duration::from_secs(3_600);
pub const HOST: &str = "a.example";
pub const ID: &str = "9c41d07be2a35f68";
/// The headers of a valid response to the request `ID`.
pub const VALID_HEADERS: &str = "X-Request-Id: 9c41d07be2a35f68\r\nX-Response-Seal: 3e1b.07\r\n";

/// A header by which a request ends well before the grace period of these gateways.
pub const DEADLINE_WITHIN_GRACE: &str = "X-Deadline-Ms: 5000\r\n";

/// A received message: head lines and body.
#[derive(Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns `None` if the peer has closed or reset the connection.
    fn read(from: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut message = Message { head: read_head(from)?, body: Vec::new() };
        let length = message.header("content-length").map_or(0, |length| length.parse().expect("a length"));
        message.body.resize(length, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn start(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start().split(' ').nth(1).expect("a status").parse().expect("a number")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().skip(1).filter_map(|line| line.split_once(": "));
        fields.find(|field| field.0.eq_ignore_ascii_case(name)).map(|field| field.1)
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("text")
    }
}

fn read_head(from: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// A request received by a fake backend, to be answered by the test.
pub struct BackendRequest {
    pub message: Message,
    /// The connection's index, from 0.
    pub connection: usize,
    stream: TcpStream,
}

impl BackendRequest {
    pub fn respond(&mut self, status: u16, headers: &str, body: &str) {
        self.write_raw(&format!(
            "HTTP/1.1 {status} Said\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Sends the head of an event stream.
    pub fn begin_stream(&mut self) {
        let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        self.write_raw(&format!("HTTP/1.1 200 OK\r\n{VALID_HEADERS}{fields}\r\n"));
    }

    pub fn send_chunk(&mut self, bytes: &str) {
        self.write_raw(&format!("{:x}\r\n{bytes}\r\n", bytes.len()));
    }

    pub fn end_stream(&mut self) {
        self.write_raw("0\r\n\r\n");
    }

    pub fn write_raw(&mut self, bytes: &str) {
        // The gateway may have closed the connection.
        let _ = self.stream.write_all(bytes.as_bytes());
    }

    pub fn disconnect(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub struct Backend {
    pub address: SocketAddr,
    pub requests: Receiver<BackendRequest>,
    /// The indices of connections that the gateway has closed.
    pub closed: Receiver<usize>,
}

fn serve_connection(
    number: usize,
    stream: TcpStream,
    requests: Sender<BackendRequest>,
    closed: Sender<usize>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(message) = Message::read(&mut reader) {
        let stream = stream.try_clone().expect("a second handle");
        if requests.send(BackendRequest { message, connection: number, stream }).is_err() {
            return;
        }
    }
    let _ = closed.send(number);
}

impl Backend {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let ((request_sender, requests), (close_sender, closed)) = (channel(), channel());
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (request_sender, close_sender) = (request_sender.clone(), close_sender.clone());
                std::thread::spawn(move || serve_connection(number, stream, request_sender, close_sender));
            }
        });
        Backend { address, requests, closed }
    }

    pub fn next_request(&self) -> BackendRequest {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request reaches the backend")
    }

    /// Whether no further request has arrived. Anything that the gateway sent before it answered the client
    /// would have arrived by then.
    pub fn has_no_request(&self) -> bool {
        self.requests.try_recv().is_err()
    }
}

/// The next request that reaches any of the backends, with the backend's index.
pub fn next_request_of(backends: &[&Backend]) -> (usize, BackendRequest) {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        for (number, backend) in backends.iter().enumerate() {
            if let Ok(request) = backend.requests.try_recv() {
                return (number, request);
            }
        }
        assert!(Instant::now() < until, "a request reaches a backend");
        std::thread::yield_now();
    }
}

/// A configuration of one host with these routes and the service `s`.
pub fn configuration(generation: u64, routes: &str, more: &str) -> Arc<RoutingTable> {
    let text = format!(
        r#"{{"generation":{generation},"routes":[{routes}],"services":[{{"name":"s","health_path":"/healthz","max_conns":100}},
        {{"name":"t","health_path":"/healthz","max_conns":2}}]{more}}}"#
    );
    let configuration = read(text.as_bytes()).expect("a sound configuration");
    Arc::new(RoutingTable::compile(&configuration))
}

/// A route of the host.
pub fn route(prefix: &str, kind: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{prefix}","host":"{HOST}","prefix":"{prefix}","type":"{kind}","timeout_ms":10000,"slo_ms":1000,
        "service":"s","public":true{more}}}"#
    )
}

pub struct Gateway {
    pub address: SocketAddr,
    pub shared: Arc<Shared>,
    /// Receives a message when the gateway has stopped.
    pub ended: Receiver<()>,
}

impl Gateway {
    /// Starts a gateway with these routes and these backends of the service `s`.
    pub fn start(routing: Arc<RoutingTable>, backends: &[SocketAddr]) -> Gateway {
        Gateway::with(routing, backends, |_| {})
    }

    pub fn with(
        routing: Arc<RoutingTable>,
        backends: &[SocketAddr],
        set: impl FnOnce(&mut GatewaySettings),
    ) -> Gateway {
        let gateway = Gateway::unconfigured(set);
        gateway.shared.publish_routing(routing);
        gateway.shared.confirm_routing(gateway.shared.now());
        gateway.shared.publish_backends(backend_table("s", backends));
        gateway
    }

    /// Starts a gateway without any published snapshot.
    pub fn unconfigured(set: impl FnOnce(&mut GatewaySettings)) -> Gateway {
        let mut settings = GatewaySettings::new("z", 4_100, 260 << 20);
        settings.seed = 1;
        settings.freshness.refuse_within = LONGER_THAN_ANY_TEST;
        set(&mut settings);
        let shared = Shared::new(settings, slog::Logger::root(slog::Discard, slog::o!()));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        listener.set_nonblocking(true).expect("settable");
        let (ends, ended) = channel();
        let served = Arc::clone(&shared);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
                crankpick_gateway::serve(listener, served).await;
            });
            let _ = ends.send(());
        });
        Gateway { address, shared, ended }
    }

    pub fn count(&self, cause: Cause) -> u64 {
        let counts = self.shared.counts();
        counts.iter().find(|count| count.cause == cause).map_or(0, |count| count.number)
    }

    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the gateway accepts");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("settable");
        Client { reader: BufReader::new(stream) }
    }

    /// Sends a request on a new connection.
    pub fn send_request(&self, method: &str, path: &str, headers: &str, body: &str) -> Client {
        let mut client = self.connect();
        client.send_request(method, path, headers, body);
        client
    }

    pub fn get(&self, path: &str) -> Client {
        self.send_request("GET", path, "", "")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.shared.begin_shutdown();
        if !std::thread::panicking() {
            let invariants = [
                Cause::InvariantRequestUnanswered,
                Cause::InvariantRestCutShort,
                Cause::InvariantTakenTooLate,
            ];
            for violation in invariants {
                assert_eq!(self.count(violation), 0, "{violation:?}");
            }
        }
    }
}

/// Backends `b0`, `b1` and so on of a service.
pub fn backend_table(service: &str, backends: &[SocketAddr]) -> Arc<BackendTable> {
    let records = backends
        .iter()
        .enumerate()
        .map(|(number, address)| BackendRecord::ready(&format!("b{number}"), service, *address, "z", 8));
    Arc::new(BackendTable::from_records(records))
}

/// A client connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn write_raw(&mut self, bytes: &str) {
        self.reader.get_mut().write_all(bytes.as_bytes()).expect("the gateway reads");
    }

    pub fn send_request(&mut self, method: &str, path: &str, headers: &str, body: &str) {
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n");
        self.write_raw(&format!("{head}{headers}{length}\r\n{body}"));
    }

    /// Reads the next response with a `Content-Length`.
    pub fn read_response(&mut self) -> Message {
        Message::read(&mut self.reader).expect("an answer")
    }

    pub fn head(&mut self) -> Message {
        Message { head: read_head(&mut self.reader).expect("a head"), body: Vec::new() }
    }

    /// Reads the next chunk of a stream; `None` if the connection ended before it.
    pub fn chunk(&mut self) -> Option<String> {
        let mut size = String::new();
        if self.reader.read_line(&mut size).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(size.trim(), 16).expect("a size");
        let mut bytes = vec![0; size + 2];
        self.reader.read_exact(&mut bytes).ok()?;
        bytes.truncate(size);
        Some(String::from_utf8(bytes).expect("text"))
    }

    /// Reads the next byte; `None` if the connection ended.
    pub fn byte(&mut self) -> Option<u8> {
        let mut byte = [0];
        self.reader.read_exact(&mut byte).ok().map(|()| byte[0])
    }

    /// Whether the gateway closes the connection without sending anything more.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        let read = self.reader.read_to_end(&mut rest);
        rest.is_empty()
            && read.map_or_else(|error| error.kind() == std::io::ErrorKind::ConnectionReset, |_| true)
    }

    /// Whether the connection ends with a reset, regardless of earlier data.
    pub fn is_reset(&mut self) -> bool {
        let read = self.reader.read_to_end(&mut Vec::new());
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset)
    }

    /// For a thread that writes while the response is awaited.
    pub fn clone_stream(&self) -> TcpStream {
        self.reader.get_ref().try_clone().expect("a second handle")
    }

    pub fn disconnect(self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Both);
    }
}
