//! Each way in which a send to a backend can end, for each class of request: whether it is sent again, and what the
//! client gets. The table stands in `docs/answers-and-repeats.md`.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::stand_ins::*;

/// More than a socket's buffers take from a sender whose other side doesn't read.
const LONG_BODY: usize = 8 << 20;
/// What a backend's socket holds of what it doesn't read.
const RECEIVE_BUFFER: usize = 64 << 10;
const LONG_BODIES: &str = r#","limits":{"max_body_bytes":33554432}"#;
const NOT_EXECUTED: &str = "X-Request-Id: 9c41d07be2a35f68\r\nX-Not-Executed: 1\r\n";
const FOREIGN: &str = "X-Request-Id: another\r\nX-Response-Seal: 1\r\n";
const UNSEALED: &str = "X-Request-Id: 9c41d07be2a35f68\r\n";
/// Between two looks for a connection, so that those that wait leave the cores to those that work.
const BETWEEN_LOOKS: Duration = Duration::from_millis(1);
const EVENT: &str = "id: 1\ndata: x\n\n";
const NEXT_EVENT: &str = "id: 2\ndata: y\n\n";
const DONE: &str = "done";
/// Of requests whose backend stays silent, and which are not to be sent elsewhere.
const SHORT_DEADLINE: &str = "X-Deadline-Ms: 1500\r\n";

/// What a route and a method say of whether a request may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    IdempotentGet,
    IdempotentPost,
    /// A safe method alone allows nothing: the route's type decides.
    MutatingGet,
    MutatingPost,
    /// With a key of the client's own, which is the backend's affair.
    MutatingKeyed,
    Stream,
    ResumableStream,
}

const CLASSES: [Class; 7] = [
    Class::IdempotentGet,
    Class::IdempotentPost,
    Class::MutatingGet,
    Class::MutatingPost,
    Class::MutatingKeyed,
    Class::Stream,
    Class::ResumableStream,
];

impl Class {
    fn repeatable(self) -> bool {
        matches!(self, Class::IdempotentGet | Class::IdempotentPost | Class::ResumableStream)
    }

    fn streams(self) -> bool {
        matches!(self, Class::Stream | Class::ResumableStream)
    }

    fn has_body(self) -> bool {
        !matches!(self, Class::IdempotentGet | Class::MutatingGet)
    }

    fn route(self) -> String {
        match self {
            Class::IdempotentGet | Class::IdempotentPost => route("/", "idempotent", r#","retries":2"#),
            Class::MutatingGet | Class::MutatingPost | Class::MutatingKeyed => {
                route("/", "mutating", r#","retries":2"#)
            }
            Class::Stream => route("/", "streaming", r#","retries":2"#),
            Class::ResumableStream => route("/", "streaming", r#","retries":2,"resume":true"#),
        }
    }

    fn ask(self, client: &mut Client, headers: &str, body: &str) {
        let key = if self == Class::MutatingKeyed { "Idempotency-Key: k\r\n" } else { "" };
        let method = if self.has_body() { "POST" } else { "GET" };
        client.ask(method, "/", &format!("{headers}{key}"), if self.has_body() { body } else { "" });
    }

    /// A whole sound answer.
    fn sound_answer(self) -> String {
        if self.streams() {
            let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            format!("HTTP/1.1 200 OK\r\n{SOUND}{fields}\r\n{:x}\r\n{EVENT}\r\n0\r\n\r\n", EVENT.len())
        } else {
            format!("HTTP/1.1 200 OK\r\n{SOUND}Content-Length: {}\r\n\r\n{DONE}", DONE.len())
        }
    }

    /// A head without a length, and all or a part of the body.
    fn unframed_answer(self) -> String {
        if self.streams() {
            format!("HTTP/1.1 200 OK\r\n{SOUND}Content-Type: text/event-stream\r\n\r\n{EVENT}")
        } else {
            format!("HTTP/1.1 200 OK\r\n{SOUND}\r\n{DONE}")
        }
    }
}

/// How much of a request its backend reads before it does something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadSoFar {
    PartOfHead,
    PartOfBody,
    All,
}

/// What a backend does then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Close,
    Reset,
    Silence,
    Garbage,
    /// Says that it did not run it, and keeps the connection.
    Rejects,
    /// Says that it is another backend than the one expected.
    Misdirected,
    /// A 503 without the word that nothing ran.
    RefusesWithoutPromise,
    Fails,
    AnswersAnother,
    AnswersUnsealed,
    PartOfAnswerThenClose,
    PartOfAnswerThenReset,
    /// An answer without a length that ends with its connection.
    UnframedThenClose,
    UnframedThenReset,
    UnframedThenSilence,
}

/// What becomes of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It goes to a second backend.
    SentAgain,
    /// It ends with this status.
    Ends(u16),
    /// The event that came was passed on; the stream goes on behind it at a second backend.
    GoesOn,
    /// The event that came was passed on; the answer ends so that it can't look whole.
    BreaksOff,
}

impl Act {
    fn perform(self, class: Class, mut stream: TcpStream) -> Option<TcpStream> {
        let said = match self {
            Act::Garbage => "what is this\r\n\r\n".to_owned(),
            Act::Rejects => format!("HTTP/1.1 503 Full\r\n{NOT_EXECUTED}Content-Length: 4\r\n\r\nfull"),
            Act::Misdirected => "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Act::RefusesWithoutPromise => {
                format!("HTTP/1.1 503 No\r\n{SOUND}Content-Length: 2\r\n\r\nno")
            }
            Act::Fails => format!("HTTP/1.1 500 No\r\n{SOUND}Content-Length: 2\r\n\r\nno"),
            Act::AnswersAnother => format!("HTTP/1.1 200 OK\r\n{FOREIGN}Content-Length: 2\r\n\r\nno"),
            Act::AnswersUnsealed => format!("HTTP/1.1 200 OK\r\n{UNSEALED}Content-Length: 2\r\n\r\nno"),
            Act::PartOfAnswerThenClose | Act::PartOfAnswerThenReset => {
                format!("HTTP/1.1 200 OK\r\n{SOUND}Content-Length: 9\r\n\r\nhalf")
            }
            Act::UnframedThenClose | Act::UnframedThenReset | Act::UnframedThenSilence => {
                class.unframed_answer()
            }
            Act::Close | Act::Reset | Act::Silence => String::new(),
        };
        stream.write_all(said.as_bytes()).expect("the gateway takes it");
        match self {
            Act::Close | Act::PartOfAnswerThenClose | Act::UnframedThenClose => {
                stream.shutdown(std::net::Shutdown::Write).expect("open");
                Some(stream)
            }
            Act::Reset | Act::PartOfAnswerThenReset | Act::UnframedThenReset => {
                reset(stream);
                None
            }
            _ => Some(stream),
        }
    }

    /// The rule for each cell. What isn't idempotent goes again only where it provably did not run.
    fn fate(self, class: Class) -> Fate {
        if class.streams() && matches!(self, Act::UnframedThenReset | Act::UnframedThenSilence) {
            return if class.repeatable() { Fate::GoesOn } else { Fate::BreaksOff };
        }
        match (self, class.repeatable()) {
            (Act::Rejects | Act::Misdirected, _) => Fate::SentAgain,
            (Act::UnframedThenClose, _) => Fate::Ends(200),
            (Act::RefusesWithoutPromise, true) | (_, true) => Fate::SentAgain,
            (Act::Fails, false) => Fate::Ends(500),
            (Act::Silence | Act::UnframedThenSilence, false) => Fate::Ends(504),
            (_, false) => Fate::Ends(502),
        }
    }
}

fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("settable");
}

/// Two backends at one address: each send is a connection of its own, in their order.
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

    fn gateway(&self, class: Class) -> Gateway {
        let address = self.listener.local_addr().expect("bound");
        Gateway::start(configuration(1, &class.route(), LONG_BODIES), &[address, address])
    }

    /// The connection of the next send.
    fn accept(&self, cell: &str) -> TcpStream {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).expect("settable");
                stream.set_read_timeout(Some(PATIENCE)).expect("settable");
                return stream;
            }
            assert!(Instant::now() < until, "no send: {cell}");
            std::thread::sleep(BETWEEN_LOOKS);
        }
    }

    fn is_quiet(&self) -> bool {
        self.listener.accept().is_err()
    }
}

fn read_part(stream: &mut TcpStream, part: ReadSoFar) {
    let mut byte = [0];
    stream.read_exact(&mut byte).expect("a request");
    let mut head = vec![byte[0]];
    while part != ReadSoFar::PartOfHead && !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    if part == ReadSoFar::All {
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

fn assert_answer(class: Class, client: &mut Client, cell: &str) {
    let head = client.head();
    assert_eq!(head.status(), 200, "{cell}");
    if head.header("transfer-encoding").is_some() {
        let expected = if class.streams() { EVENT } else { DONE };
        assert_eq!(client.chunk().as_deref(), Some(expected), "{cell}");
        assert_eq!(client.chunk().as_deref(), Some(""), "{cell}");
    } else {
        assert_eq!(head.header("content-length"), Some("4"), "{cell}");
        let body: Vec<u8> = (0..DONE.len()).filter_map(|_| client.byte()).collect();
        assert_eq!(body, DONE.as_bytes(), "{cell}");
    }
}

fn assert_event(client: &mut Client, cell: &str) {
    assert_eq!(client.head().status(), 200, "{cell}");
    assert_eq!(client.chunk().as_deref(), Some(EVENT), "{cell}");
}

fn check(class: Class, part: ReadSoFar, act: Act) {
    let cell = format!("{class:?}, read {part:?}, then {act:?}");
    let backends = Backends::start();
    let gateway = backends.gateway(class);
    let fate = act.fate(class);
    let mut client = gateway.connect();
    let waits = matches!(fate, Fate::Ends(504) | Fate::BreaksOff);
    let headers = if waits { SHORT_DEADLINE } else { "" };
    let body = if part == ReadSoFar::PartOfBody { "x".repeat(LONG_BODY) } else { "the body".to_owned() };
    class.ask(&mut client, headers, &body);
    let mut first = backends.accept(&cell);
    read_part(&mut first, part);
    let _first = act.perform(class, first);
    match fate {
        Fate::SentAgain => {
            let mut second = backends.accept(&cell);
            read_part(&mut second, ReadSoFar::All);
            second.write_all(class.sound_answer().as_bytes()).expect("the gateway reads");
            assert_answer(class, &mut client, &cell);
        }
        Fate::GoesOn => {
            assert_event(&mut client, &cell);
            let mut second = backends.accept(&cell);
            read_part(&mut second, ReadSoFar::All);
            let answer = class.sound_answer().replace(EVENT, NEXT_EVENT);
            second.write_all(answer.as_bytes()).expect("the gateway reads");
            assert_eq!(client.chunk().as_deref(), Some(NEXT_EVENT), "{cell}");
            assert_eq!(client.chunk().as_deref(), Some(""), "{cell}");
        }
        Fate::BreaksOff => {
            assert_event(&mut client, &cell);
            assert_eq!(client.chunk(), None, "{cell}");
        }
        Fate::Ends(200) => assert_answer(class, &mut client, &cell),
        Fate::Ends(status) => assert_eq!(client.answer().status(), status, "{cell}"),
    }
    assert!(backends.is_quiet(), "{cell}");
}

/// Each class, all at once: some wait for a deadline or for a silence to last too long.
fn check_all(parts: &[ReadSoFar], acts: &[Act]) {
    std::thread::scope(|scope| {
        for class in CLASSES {
            scope.spawn(move || {
                for part in parts.iter().filter(|part| **part != ReadSoFar::PartOfBody || class.has_body()) {
                    for act in acts {
                        check(class, *part, *act);
                    }
                }
            });
        }
    });
}

const PARTS: [ReadSoFar; 3] = [ReadSoFar::PartOfHead, ReadSoFar::PartOfBody, ReadSoFar::All];

#[test]
fn a_connection_that_ends_without_an_answer() {
    check_all(&PARTS, &[Act::Close, Act::Reset]);
}

#[test]
fn a_backend_that_says_nothing() {
    check_all(&PARTS, &[Act::Silence]);
}

#[test]
fn what_is_no_answer() {
    check_all(&PARTS, &[Act::Garbage]);
}

#[test]
fn a_word_that_nothing_ran() {
    check_all(&PARTS, &[Act::Rejects, Act::Misdirected]);
}

#[test]
fn an_answer_that_promises_nothing() {
    check_all(&[ReadSoFar::All], &[Act::RefusesWithoutPromise, Act::Fails]);
}

#[test]
fn an_answer_to_another_request_or_of_nobody() {
    check_all(&[ReadSoFar::All], &[Act::AnswersAnother, Act::AnswersUnsealed]);
}

#[test]
fn an_answer_that_breaks_off() {
    check_all(&[ReadSoFar::All], &[Act::PartOfAnswerThenClose, Act::PartOfAnswerThenReset]);
}

/// The end in order of its connection is the end of such an answer; a reset is none.
#[test]
fn an_answer_without_a_length() {
    let acts = [Act::UnframedThenClose, Act::UnframedThenReset, Act::UnframedThenSilence];
    check_all(&[ReadSoFar::All], &acts);
}

/// Nothing of the request was written.
#[test]
fn no_connection_at_all() {
    for class in CLASSES {
        let backends = Backends::start();
        let address = backends.listener.local_addr().expect("bound");
        let gateway = Gateway::start(configuration(1, &class.route(), ""), &[refusing_address(), address]);
        for _ in 0..4 {
            let mut client = gateway.connect();
            class.ask(&mut client, "", "x");
            let mut stream = backends.accept(&format!("{class:?}"));
            read_part(&mut stream, ReadSoFar::All);
            let answer = class.sound_answer().replacen("\r\n", "\r\nConnection: close\r\n", 1);
            stream.write_all(answer.as_bytes()).expect("the gateway reads");
            assert_answer(class, &mut client, &format!("{class:?}"));
        }
    }
}

/// A kept connection that its backend has ended meanwhile, in order or not: nothing was written on it.
#[test]
fn a_kept_connection_that_has_ended() {
    for class in CLASSES {
        for resets in [false, true] {
            let backends = Backends::start();
            let address = backends.listener.local_addr().expect("bound");
            let gateway = Gateway::start(configuration(1, &class.route(), ""), &[address]);
            let mut client = gateway.connect();
            for _ in 0..2 {
                class.ask(&mut client, "", "x");
                let mut stream = backends.accept(&format!("{class:?}, reset {resets}"));
                read_part(&mut stream, ReadSoFar::All);
                stream.write_all(class.sound_answer().as_bytes()).expect("the gateway reads");
                assert_answer(class, &mut client, &format!("{class:?}, reset {resets}"));
                if resets {
                    reset(stream);
                }
            }
        }
    }
}

/// A backend may answer before it has read a long body, and read on later: it gets the rest of that body there.
#[test]
fn an_early_answer_keeps_its_connection_from_others_until_the_body_is_in() {
    for class in [Class::MutatingPost, Class::IdempotentPost] {
        let cell = format!("{class:?}, answered early");
        let backends = Backends::start();
        let address = backends.listener.local_addr().expect("bound");
        let gateway = Gateway::start(configuration(1, &class.route(), LONG_BODIES), &[address]);
        let mut client = gateway.connect();
        class.ask(&mut client, "", &"x".repeat(LONG_BODY));
        let mut first = backends.accept(&cell);
        read_part(&mut first, ReadSoFar::PartOfBody);
        first.write_all(class.sound_answer().as_bytes()).expect("the gateway reads");
        assert_answer(class, &mut client, &cell);
        class.ask(&mut client, "", "another");
        let mut second = backends.accept(&cell);
        read_part(&mut second, ReadSoFar::All);
        second.write_all(class.sound_answer().as_bytes()).expect("the gateway reads");
        assert_answer(class, &mut client, &cell);
        let mut rest = vec![0; LONG_BODY];
        first.read_exact(&mut rest).expect("the rest of the body");
        assert!(rest.iter().all(|byte| *byte == b'x'), "{cell}");
    }
}

/// A second answer, and one that comes late in the place of the next one's, are known by their id.
#[test]
fn a_surplus_answer_is_nobodys() {
    for class in CLASSES {
        let cell = format!("{class:?}, answered twice");
        let backends = Backends::start();
        let gateway = backends.gateway(class);
        let mut client = gateway.connect();
        class.ask(&mut client, "", "x");
        let mut first = backends.accept(&cell);
        read_part(&mut first, ReadSoFar::All);
        let surplus = class.sound_answer().replace(ID, "another");
        first.write_all((surplus + &class.sound_answer()).as_bytes()).expect("the gateway reads");
        if class.repeatable() {
            let mut second = backends.accept(&cell);
            read_part(&mut second, ReadSoFar::All);
            second.write_all(class.sound_answer().as_bytes()).expect("the gateway reads");
            assert_answer(class, &mut client, &cell);
        } else {
            assert_eq!(client.answer().status(), 502, "{cell}");
        }
        // What came behind goes with its connection.
        assert_eq!(first.read(&mut [0]).unwrap_or(0), 0, "{cell}");
        assert!(backends.is_quiet(), "{cell}");
    }
}

/// A second backend is told what is left then, not what was left for the first.
#[test]
fn a_second_send_has_no_more_time_than_is_left() {
    const GIVEN: u64 = 5_000;
    let cell = "a second send";
    let backends = Backends::start();
    let gateway = backends.gateway(Class::IdempotentGet);
    let mut client = gateway.connect();
    client.ask("GET", "/", &format!("X-Deadline-Ms: {GIVEN}\r\n"), "");
    let first = backends.accept(cell);
    let given_first = deadline_of(&first);
    let reached_at = Instant::now();
    let spent = Duration::from_millis(120);
    while reached_at.elapsed() < spent {
        std::thread::sleep(BETWEEN_LOOKS);
    }
    reset(first);
    let mut second = backends.accept(cell);
    let given_second = deadline_of(&second);
    second.write_all(Class::IdempotentGet.sound_answer().as_bytes()).expect("the gateway reads");
    assert_answer(Class::IdempotentGet, &mut client, cell);
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
    let told = head.lines().find_map(|line| line.strip_prefix("x-deadline-ms: "));
    told.expect("a deadline").parse().expect("a number")
}

/// As long as a client is there its backend works; once it has left, the connection ends at once.
#[test]
fn a_client_that_leaves_ends_its_backends_work() {
    for class in CLASSES {
        let cell = format!("{class:?}, left");
        let backends = Backends::start();
        let gateway = backends.gateway(class);
        let mut client = gateway.connect();
        class.ask(&mut client, "", "x");
        let mut first = backends.accept(&cell);
        read_part(&mut first, ReadSoFar::All);
        first.set_read_timeout(Some(Duration::from_millis(500))).expect("settable");
        client.leave();
        let read = first.read(&mut [0]);
        let ended = read
            .as_ref()
            .map_or_else(|error| error.kind() != std::io::ErrorKind::WouldBlock, |read| *read == 0);
        assert!(ended, "{cell}: {read:?}");
        assert!(backends.is_quiet(), "{cell}");
    }
}
