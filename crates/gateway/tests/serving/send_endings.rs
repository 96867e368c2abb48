//! Every way in which a send to a backend can end, for each class of request: whether it is retried, and
//! what the client receives. The table is in `docs/answers-and-repeats.md`.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::support::*;

/// More than the socket buffers hold if the receiver does not read.
const LONG_BODY: usize = 8 << 20;
/// Receive buffer size of a backend's socket.
const RECEIVE_BUFFER: usize = 64 << 10;
const LONG_BODIES: &str = r#","limits":{"max_body_bytes":33554432}"#;
const NOT_EXECUTED: &str = "X-Request-Id: 9c41d07be2a35f68\r\nX-Not-Executed: 1\r\n";
const FOREIGN: &str = "X-Request-Id: another\r\nX-Response-Seal: 1\r\n";
const UNSEALED: &str = "X-Request-Id: 9c41d07be2a35f68\r\n";
/// Interval between two polls for a connection, so that waiting threads leave the CPU to working ones.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const EVENT: &str = "id: 1\ndata: x\n\n";
const NEXT_EVENT: &str = "id: 2\ndata: y\n\n";
const DONE: &str = "done";
/// For requests whose backend stays silent and which must not be retried.
const SHORT_DEADLINE: &str = "X-Deadline-Ms: 1500\r\n";

/// Route type and method, which determine whether a request may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestClass {
    IdempotentGet,
    IdempotentPost,
    /// A safe method alone does not permit a retry: the route type decides.
    MutatingGet,
    MutatingPost,
    /// With the client's own idempotency key, which only the backend interprets.
    MutatingKeyed,
    Stream,
    ResumableStream,
}

const CLASSES: [RequestClass; 7] = [
    RequestClass::IdempotentGet,
    RequestClass::IdempotentPost,
    RequestClass::MutatingGet,
    RequestClass::MutatingPost,
    RequestClass::MutatingKeyed,
    RequestClass::Stream,
    RequestClass::ResumableStream,
];

impl RequestClass {
    fn repeatable(self) -> bool {
        matches!(
            self,
            RequestClass::IdempotentGet | RequestClass::IdempotentPost | RequestClass::ResumableStream
        )
    }

    fn streams(self) -> bool {
        matches!(self, RequestClass::Stream | RequestClass::ResumableStream)
    }

    fn has_body(self) -> bool {
        !matches!(self, RequestClass::IdempotentGet | RequestClass::MutatingGet)
    }

    fn route(self) -> String {
        match self {
            RequestClass::IdempotentGet | RequestClass::IdempotentPost => {
                route("/", "idempotent", r#","retries":2"#)
            }
            RequestClass::MutatingGet | RequestClass::MutatingPost | RequestClass::MutatingKeyed => {
                route("/", "mutating", r#","retries":2"#)
            }
            RequestClass::Stream => route("/", "streaming", r#","retries":2"#),
            RequestClass::ResumableStream => route("/", "streaming", r#","retries":2,"resume":true"#),
        }
    }

    fn send_request(self, client: &mut Client, headers: &str, body: &str) {
        let key = if self == RequestClass::MutatingKeyed { "Idempotency-Key: k\r\n" } else { "" };
        let method = if self.has_body() { "POST" } else { "GET" };
        client.send_request(method, "/", &format!("{headers}{key}"), if self.has_body() { body } else { "" });
    }

    /// A complete valid response.
    fn valid_response(self) -> String {
        if self.streams() {
            let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            format!("HTTP/1.1 200 OK\r\n{VALID_HEADERS}{fields}\r\n{:x}\r\n{EVENT}\r\n0\r\n\r\n", EVENT.len())
        } else {
            format!("HTTP/1.1 200 OK\r\n{VALID_HEADERS}Content-Length: {}\r\n\r\n{DONE}", DONE.len())
        }
    }

    /// A head without framing, and all or part of the body.
    fn unframed_response(self) -> String {
        if self.streams() {
            format!("HTTP/1.1 200 OK\r\n{VALID_HEADERS}Content-Type: text/event-stream\r\n\r\n{EVENT}")
        } else {
            format!("HTTP/1.1 200 OK\r\n{VALID_HEADERS}\r\n{DONE}")
        }
    }
}

/// How much of a request the backend reads before it acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPart {
    PartOfHead,
    PartOfBody,
    All,
}

/// What the backend does then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackendAction {
    Close,
    Reset,
    Silence,
    Garbage,
    /// Confirms that it did not execute the request, and keeps the connection.
    Rejects,
    /// Responds that it is not the expected backend.
    Misdirected,
    /// A 503 without confirmation that nothing was executed.
    RefusesUnconfirmed,
    ServerError,
    ForeignResponse,
    UnsealedResponse,
    PartialResponseThenClose,
    PartialResponseThenReset,
    /// A response without framing that is delimited by the end of the connection.
    UnframedThenClose,
    UnframedThenReset,
    UnframedThenSilence,
}

/// The expected outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExpectedOutcome {
    /// It is sent to a second backend.
    Retried,
    /// The client receives this status.
    Status(u16),
    /// The first event was forwarded; the stream resumes after it at a second backend.
    Resumed,
    /// The first event was forwarded; the response ends so that it does not look complete.
    Truncated,
}

impl BackendAction {
    fn perform(self, class: RequestClass, mut stream: TcpStream) -> Option<TcpStream> {
        let said = match self {
            BackendAction::Garbage => "what is this\r\n\r\n".to_owned(),
            BackendAction::Rejects => {
                format!("HTTP/1.1 503 Full\r\n{NOT_EXECUTED}Content-Length: 4\r\n\r\nfull")
            }
            BackendAction::Misdirected => "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n".to_owned(),
            BackendAction::RefusesUnconfirmed => {
                format!("HTTP/1.1 503 No\r\n{VALID_HEADERS}Content-Length: 2\r\n\r\nno")
            }
            BackendAction::ServerError => {
                format!("HTTP/1.1 500 No\r\n{VALID_HEADERS}Content-Length: 2\r\n\r\nno")
            }
            BackendAction::ForeignResponse => {
                format!("HTTP/1.1 200 OK\r\n{FOREIGN}Content-Length: 2\r\n\r\nno")
            }
            BackendAction::UnsealedResponse => {
                format!("HTTP/1.1 200 OK\r\n{UNSEALED}Content-Length: 2\r\n\r\nno")
            }
            BackendAction::PartialResponseThenClose | BackendAction::PartialResponseThenReset => {
                format!("HTTP/1.1 200 OK\r\n{VALID_HEADERS}Content-Length: 9\r\n\r\nhalf")
            }
            BackendAction::UnframedThenClose
            | BackendAction::UnframedThenReset
            | BackendAction::UnframedThenSilence => class.unframed_response(),
            BackendAction::Close | BackendAction::Reset | BackendAction::Silence => String::new(),
        };
        stream.write_all(said.as_bytes()).expect("the gateway takes it");
        match self {
            BackendAction::Close
            | BackendAction::PartialResponseThenClose
            | BackendAction::UnframedThenClose => {
                stream.shutdown(std::net::Shutdown::Write).expect("open");
                Some(stream)
            }
            BackendAction::Reset
            | BackendAction::PartialResponseThenReset
            | BackendAction::UnframedThenReset => {
                reset(stream);
                None
            }
            _ => Some(stream),
        }
    }

    /// The rule for each case. Requests that are not idempotent are retried only if they were provably not
    /// executed.
    fn expected(self, class: RequestClass) -> ExpectedOutcome {
        if class.streams()
            && matches!(self, BackendAction::UnframedThenReset | BackendAction::UnframedThenSilence)
        {
            return if class.repeatable() { ExpectedOutcome::Resumed } else { ExpectedOutcome::Truncated };
        }
        match (self, class.repeatable()) {
            (BackendAction::Rejects | BackendAction::Misdirected, _) => ExpectedOutcome::Retried,
            (BackendAction::UnframedThenClose, _) => ExpectedOutcome::Status(200),
            (BackendAction::RefusesUnconfirmed, true) | (_, true) => ExpectedOutcome::Retried,
            (BackendAction::ServerError, false) => ExpectedOutcome::Status(500),
            (BackendAction::Silence | BackendAction::UnframedThenSilence, false) => {
                ExpectedOutcome::Status(504)
            }
            (_, false) => ExpectedOutcome::Status(502),
        }
    }
}

fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("settable");
}

/// Two backends at one address: each send is a separate connection, in order.
struct Backends {
    listener: TcpListener,
}

impl Backends {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("settable");
        socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER).expect("settable");
        Backends { listener }
    }

    fn gateway(&self, class: RequestClass) -> Gateway {
        let address = self.listener.local_addr().expect("bound");
        Gateway::start(configuration(1, &class.route(), LONG_BODIES), &[address, address])
    }

    /// The connection of the next send.
    fn accept(&self, case: &str) -> TcpStream {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).expect("settable");
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("settable");
                return stream;
            }
            assert!(Instant::now() < until, "no connection: {case}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn has_no_connection(&self) -> bool {
        self.listener.accept().is_err()
    }
}

fn read_part(stream: &mut TcpStream, part: RequestPart) {
    let mut byte = [0];
    stream.read_exact(&mut byte).expect("a request");
    let mut head = vec![byte[0]];
    while part != RequestPart::PartOfHead && !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    if part == RequestPart::All {
        read_body(stream, &head);
    }
}

fn read_body(stream: &mut TcpStream, head: &[u8]) {
    let head = std::str::from_utf8(head).expect("text").to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: u64 = length.map_or(0, |length| length.parse().expect("a number"));
    let read = std::io::copy(&mut stream.take(length), &mut std::io::sink()).expect("a body");
    assert_eq!(read, length);
}

fn assert_response(class: RequestClass, client: &mut Client, case: &str) {
    let head = client.head();
    assert_eq!(head.status(), 200, "{case}");
    if head.header("transfer-encoding").is_some() {
        let expected = if class.streams() { EVENT } else { DONE };
        assert_eq!(client.chunk().as_deref(), Some(expected), "{case}");
        assert_eq!(client.chunk().as_deref(), Some(""), "{case}");
    } else {
        assert_eq!(head.header("content-length"), Some("4"), "{case}");
        let body: Vec<u8> = (0..DONE.len()).filter_map(|_| client.byte()).collect();
        assert_eq!(body, DONE.as_bytes(), "{case}");
    }
}

fn assert_event(client: &mut Client, case: &str) {
    assert_eq!(client.head().status(), 200, "{case}");
    assert_eq!(client.chunk().as_deref(), Some(EVENT), "{case}");
}

fn check(class: RequestClass, part: RequestPart, action: BackendAction) {
    let case = format!("{class:?}, read {part:?}, then {action:?}");
    let backends = Backends::start();
    let gateway = backends.gateway(class);
    let expected = action.expected(class);
    let mut client = gateway.connect();
    let waits_for_deadline = matches!(expected, ExpectedOutcome::Status(504) | ExpectedOutcome::Truncated);
    let headers = if waits_for_deadline { SHORT_DEADLINE } else { "" };
    let body = if part == RequestPart::PartOfBody { "x".repeat(LONG_BODY) } else { "the body".to_owned() };
    class.send_request(&mut client, headers, &body);
    let mut first = backends.accept(&case);
    read_part(&mut first, part);
    let _first = action.perform(class, first);
    match expected {
        ExpectedOutcome::Retried => {
            let mut second = backends.accept(&case);
            read_part(&mut second, RequestPart::All);
            second.write_all(class.valid_response().as_bytes()).expect("the gateway reads");
            assert_response(class, &mut client, &case);
        }
        ExpectedOutcome::Resumed => {
            assert_event(&mut client, &case);
            let mut second = backends.accept(&case);
            read_part(&mut second, RequestPart::All);
            let response = class.valid_response().replace(EVENT, NEXT_EVENT);
            second.write_all(response.as_bytes()).expect("the gateway reads");
            assert_eq!(client.chunk().as_deref(), Some(NEXT_EVENT), "{case}");
            assert_eq!(client.chunk().as_deref(), Some(""), "{case}");
        }
        ExpectedOutcome::Truncated => {
            assert_event(&mut client, &case);
            assert_eq!(client.chunk(), None, "{case}");
        }
        ExpectedOutcome::Status(200) => assert_response(class, &mut client, &case),
        ExpectedOutcome::Status(status) => assert_eq!(client.read_response().status(), status, "{case}"),
    }
    assert!(backends.has_no_connection(), "{case}");
}

/// Runs all classes concurrently, since some cases wait for a deadline or a silence limit.
fn check_all(parts: &[RequestPart], actions: &[BackendAction]) {
    std::thread::scope(|scope| {
        for class in CLASSES {
            scope.spawn(move || {
                for part in parts.iter().filter(|part| **part != RequestPart::PartOfBody || class.has_body())
                {
                    for action in actions {
                        check(class, *part, *action);
                    }
                }
            });
        }
    });
}

const PARTS: [RequestPart; 3] = [RequestPart::PartOfHead, RequestPart::PartOfBody, RequestPart::All];

#[test]
fn connection_closed_without_response() {
    check_all(&PARTS, &[BackendAction::Close, BackendAction::Reset]);
}

#[test]
fn silent_backend() {
    check_all(&PARTS, &[BackendAction::Silence]);
}

#[test]
fn malformed_response() {
    check_all(&PARTS, &[BackendAction::Garbage]);
}

#[test]
fn confirmed_non_execution() {
    check_all(&PARTS, &[BackendAction::Rejects, BackendAction::Misdirected]);
}

#[test]
fn unconfirmed_refusal_and_server_error() {
    check_all(&[RequestPart::All], &[BackendAction::RefusesUnconfirmed, BackendAction::ServerError]);
}

#[test]
fn foreign_or_unsealed_response() {
    check_all(&[RequestPart::All], &[BackendAction::ForeignResponse, BackendAction::UnsealedResponse]);
}

#[test]
fn truncated_response() {
    check_all(
        &[RequestPart::All],
        &[BackendAction::PartialResponseThenClose, BackendAction::PartialResponseThenReset],
    );
}

/// An orderly close ends such a response; a reset truncates it.
#[test]
fn unframed_response_body() {
    let actions = [
        BackendAction::UnframedThenClose,
        BackendAction::UnframedThenReset,
        BackendAction::UnframedThenSilence,
    ];
    check_all(&[RequestPart::All], &actions);
}

/// Nothing of the request was written.
#[test]
fn connection_refused() {
    for class in CLASSES {
        let backends = Backends::start();
        let address = backends.listener.local_addr().expect("bound");
        let gateway = Gateway::start(configuration(1, &class.route(), ""), &[refusing_address(), address]);
        for _ in 0..4 {
            let mut client = gateway.connect();
            class.send_request(&mut client, "", "x");
            let mut stream = backends.accept(&format!("{class:?}"));
            read_part(&mut stream, RequestPart::All);
            let response = class.valid_response().replacen("\r\n", "\r\nConnection: close\r\n", 1);
            stream.write_all(response.as_bytes()).expect("the gateway reads");
            assert_response(class, &mut client, &format!("{class:?}"));
        }
    }
}

/// The backend has closed or reset an idle connection: nothing was written on it.
#[test]
fn dead_idle_connection() {
    for class in CLASSES {
        for resets in [false, true] {
            let backends = Backends::start();
            let address = backends.listener.local_addr().expect("bound");
            let gateway = Gateway::start(configuration(1, &class.route(), ""), &[address]);
            let mut client = gateway.connect();
            for _ in 0..2 {
                class.send_request(&mut client, "", "x");
                let mut stream = backends.accept(&format!("{class:?}, reset {resets}"));
                read_part(&mut stream, RequestPart::All);
                stream.write_all(class.valid_response().as_bytes()).expect("the gateway reads");
                assert_response(class, &mut client, &format!("{class:?}, reset {resets}"));
                if resets {
                    reset(stream);
                }
            }
        }
    }
}

/// A backend may respond before it has read a long body, and continue reading it from the same connection.
#[test]
fn connection_is_not_reused_before_request_body_is_written() {
    for class in [RequestClass::MutatingPost, RequestClass::IdempotentPost] {
        let case = format!("{class:?}, early response");
        let backends = Backends::start();
        let address = backends.listener.local_addr().expect("bound");
        let gateway = Gateway::start(configuration(1, &class.route(), LONG_BODIES), &[address]);
        let mut client = gateway.connect();
        class.send_request(&mut client, "", &"x".repeat(LONG_BODY));
        let mut first = backends.accept(&case);
        read_part(&mut first, RequestPart::PartOfBody);
        first.write_all(class.valid_response().as_bytes()).expect("the gateway reads");
        assert_response(class, &mut client, &case);
        class.send_request(&mut client, "", "another");
        let mut second = backends.accept(&case);
        read_part(&mut second, RequestPart::All);
        second.write_all(class.valid_response().as_bytes()).expect("the gateway reads");
        assert_response(class, &mut client, &case);
        let mut rest = vec![0; LONG_BODY];
        first.read_exact(&mut rest).expect("the rest of the body");
        assert!(rest.iter().all(|byte| *byte == b'x'), "{case}");
    }
}

/// A second response, or a late one in place of the next response, is detected by its ID.
#[test]
fn surplus_response_is_discarded() {
    for class in CLASSES {
        let case = format!("{class:?}, two responses");
        let backends = Backends::start();
        let gateway = backends.gateway(class);
        let mut client = gateway.connect();
        class.send_request(&mut client, "", "x");
        let mut first = backends.accept(&case);
        read_part(&mut first, RequestPart::All);
        let surplus = class.valid_response().replace(ID, "another");
        first.write_all((surplus + &class.valid_response()).as_bytes()).expect("the gateway reads");
        if class.repeatable() {
            let mut second = backends.accept(&case);
            read_part(&mut second, RequestPart::All);
            second.write_all(class.valid_response().as_bytes()).expect("the gateway reads");
            assert_response(class, &mut client, &case);
        } else {
            assert_eq!(client.read_response().status(), 502, "{case}");
        }
        // The connection is closed together with the surplus response.
        assert_eq!(first.read(&mut [0]).unwrap_or(0), 0, "{case}");
        assert!(backends.has_no_connection(), "{case}");
    }
}

/// The second backend is told the time left at that point, not the time left at the first send.
#[test]
fn second_send_carries_remaining_deadline() {
    const GIVEN: u64 = 5_000;
    let case = "a second send";
    let backends = Backends::start();
    let gateway = backends.gateway(RequestClass::IdempotentGet);
    let mut client = gateway.connect();
    client.send_request("GET", "/", &format!("X-Deadline-Ms: {GIVEN}\r\n"), "");
    let first = backends.accept(case);
    let given_first = deadline_of(&first);
    let reached_at = Instant::now();
    let spent = Duration::from_millis(120);
    while reached_at.elapsed() < spent {
        std::thread::sleep(POLL_INTERVAL);
    }
    reset(first);
    let mut second = backends.accept(case);
    let given_second = deadline_of(&second);
    second.write_all(RequestClass::IdempotentGet.valid_response().as_bytes()).expect("the gateway reads");
    assert_response(RequestClass::IdempotentGet, &mut client, case);
    assert!(given_first <= GIVEN, "{given_first}");
    assert!(u128::from(given_second) + spent.as_millis() <= given_first.into(), "{given_second}");
}

fn deadline_of(stream: &TcpStream) -> u64 {
    let mut head = Vec::new();
    let mut stream = stream;
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text").to_ascii_lowercase();
    let deadline = head.lines().find_map(|line| line.strip_prefix("x-deadline-ms: "));
    deadline.expect("a deadline").parse().expect("a number")
}

/// When the client disconnects, the backend connection is closed immediately.
#[test]
fn client_disconnect_closes_backend_connection() {
    for class in CLASSES {
        let case = format!("{class:?}, client disconnected");
        let backends = Backends::start();
        let gateway = backends.gateway(class);
        let mut client = gateway.connect();
        class.send_request(&mut client, "", "x");
        let mut first = backends.accept(&case);
        read_part(&mut first, RequestPart::All);
        first.set_read_timeout(Some(Duration::from_millis(500))).expect("settable");
        client.disconnect();
        let read = first.read(&mut [0]);
        let ended = read
            .as_ref()
            .map_or_else(|error| error.kind() != std::io::ErrorKind::WouldBlock, |read| *read == 0);
        assert!(ended, "{case}: {read:?}");
        assert!(backends.has_no_connection(), "{case}");
    }
}
