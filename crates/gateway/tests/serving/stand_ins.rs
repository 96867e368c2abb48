//! The gateway under test and what stands in for its neighbours: backends and clients. What the tests wait for
//! comes on channels, never after a set time.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crankpick_configuration::{read, RoutingTable};
use crankpick_gateway::{Cause, GatewaySettings, Shared};
use crankpick_registry::{BackendRecord, BackendTable};
pub use crankpick_test_support::refusing_address;

/// Far longer than anything here takes: reached only where a test fails.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Longer than any test lasts.
pub const ALWAYS: Duration = Duration::from_secs(3_600);
pub const HOST: &str = "a.example";
pub const ID: &str = "9c41d07be2a35f68";
/// The headers of a sound answer to the request `ID`.
pub const SOUND: &str = "X-Request-Id: 9c41d07be2a35f68\r\nX-Response-Seal: 3e1b.07\r\n";

/// A header by which a request is done well before the grace of these gateways is over.
pub const DONE_SOON: &str = "X-Deadline-Ms: 5000\r\n";

/// A message as it came: head lines, then the body.
#[derive(Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// None once the other side has closed or reset the connection.
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

/// A request that has reached a backend and waits there for what the test makes of it.
pub struct Asked {
    pub message: Message,
    /// The number of its connection, from 0.
    pub connection: usize,
    stream: TcpStream,
}

impl Asked {
    pub fn answer(&mut self, status: u16, headers: &str, body: &str) {
        self.say(&format!("HTTP/1.1 {status} Said\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// The head of a stream.
    pub fn begin_stream(&mut self) {
        let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        self.say(&format!("HTTP/1.1 200 OK\r\n{SOUND}{fields}\r\n"));
    }

    pub fn piece(&mut self, bytes: &str) {
        self.say(&format!("{:x}\r\n{bytes}\r\n", bytes.len()));
    }

    pub fn end_stream(&mut self) {
        self.say("0\r\n\r\n");
    }

    pub fn say(&mut self, bytes: &str) {
        // The gateway may have given it up.
        let _ = self.stream.write_all(bytes.as_bytes());
    }

    pub fn break_off(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub struct Backend {
    pub address: SocketAddr,
    pub asked: Receiver<Asked>,
    /// The numbers of connections that the gateway has ended.
    pub closed: Receiver<usize>,
}

fn hold(number: usize, stream: TcpStream, asked: Sender<Asked>, closed: Sender<usize>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(message) = Message::read(&mut reader) {
        let stream = stream.try_clone().expect("a second handle");
        if asked.send(Asked { message, connection: number, stream }).is_err() {
            return;
        }
    }
    let _ = closed.send(number);
}

impl Backend {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let ((asks, asked), (closes, closed)) = (channel(), channel());
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (asks, closes) = (asks.clone(), closes.clone());
                std::thread::spawn(move || hold(number, stream, asks, closes));
            }
        });
        Backend { address, asked, closed }
    }

    pub fn next(&self) -> Asked {
        self.asked.recv_timeout(PATIENCE).expect("a request reaches the backend")
    }

    /// Nothing more has come, and what the gateway sent before it answered the client would have.
    pub fn is_quiet(&self) -> bool {
        self.asked.try_recv().is_err()
    }
}

/// The next request that reaches any of them, and which.
pub fn first_of(backends: &[&Backend]) -> (usize, Asked) {
    let until = Instant::now() + PATIENCE;
    loop {
        for (number, backend) in backends.iter().enumerate() {
            if let Ok(asked) = backend.asked.try_recv() {
                return (number, asked);
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
    /// Comes once it has ended.
    pub ended: Receiver<()>,
}

impl Gateway {
    /// One with these routes, and these backends of the service `s`.
    pub fn start(routing: Arc<RoutingTable>, backends: &[SocketAddr]) -> Gateway {
        Gateway::with(routing, backends, |_| {})
    }

    pub fn with(
        routing: Arc<RoutingTable>,
        backends: &[SocketAddr],
        set: impl FnOnce(&mut GatewaySettings),
    ) -> Gateway {
        let gateway = Gateway::knowing_nothing(set);
        gateway.shared.publish_routing(routing);
        gateway.shared.confirm_routing(gateway.shared.now());
        gateway.shared.publish_backends(table("s", backends));
        gateway
    }

    /// One that nothing was published to.
    pub fn knowing_nothing(set: impl FnOnce(&mut GatewaySettings)) -> Gateway {
        let mut settings = GatewaySettings::new("z", 4_100, 260 << 20);
        settings.seed = 1;
        settings.freshness.refuse_within = ALWAYS;
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
        stream.set_read_timeout(Some(PATIENCE)).expect("settable");
        Client { reader: BufReader::new(stream) }
    }

    /// A request on a connection of its own.
    pub fn ask(&self, method: &str, path: &str, headers: &str, body: &str) -> Client {
        let mut client = self.connect();
        client.ask(method, path, headers, body);
        client
    }

    pub fn get(&self, path: &str) -> Client {
        self.ask("GET", path, "", "")
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
pub fn table(service: &str, backends: &[SocketAddr]) -> Arc<BackendTable> {
    let records = backends
        .iter()
        .enumerate()
        .map(|(number, address)| BackendRecord::ready(&format!("b{number}"), service, *address, "z", 8));
    Arc::new(BackendTable::from_records(records))
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn say(&mut self, bytes: &str) {
        self.reader.get_mut().write_all(bytes.as_bytes()).expect("the gateway reads");
    }

    pub fn ask(&mut self, method: &str, path: &str, headers: &str, body: &str) {
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {ID}\r\n");
        self.say(&format!("{head}{headers}{length}\r\n{body}"));
    }

    /// The next answer of a told length.
    pub fn answer(&mut self) -> Message {
        Message::read(&mut self.reader).expect("an answer")
    }

    pub fn head(&mut self) -> Message {
        Message { head: read_head(&mut self.reader).expect("a head"), body: Vec::new() }
    }

    /// The next chunk of a stream; none where the connection ended before one.
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

    /// The next byte; none where the connection ended.
    pub fn byte(&mut self) -> Option<u8> {
        let mut byte = [0];
        self.reader.read_exact(&mut byte).ok().map(|()| byte[0])
    }

    /// Whether the gateway ends the connection with nothing more on it.
    pub fn ends(&mut self) -> bool {
        let mut rest = Vec::new();
        let read = self.reader.read_to_end(&mut rest);
        rest.is_empty()
            && read.map_or_else(|error| error.kind() == std::io::ErrorKind::ConnectionReset, |_| true)
    }

    /// Whether the connection ends by a reset, whatever came before.
    pub fn is_reset(&mut self) -> bool {
        let read = self.reader.read_to_end(&mut Vec::new());
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset)
    }

    /// For a thread that writes while the answer is waited for.
    pub fn second_handle(&self) -> TcpStream {
        self.reader.get_ref().try_clone().expect("a second handle")
    }

    pub fn leave(self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Both);
    }
}
