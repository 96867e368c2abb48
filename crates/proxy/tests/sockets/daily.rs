//! Tests of operators' actions on a running proxy.

use crate::test_doubles::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

const READY: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

fn with_admin(discovery: &Discovery, backends: &[SocketAddr]) -> Value {
    let mut configured = configuration(discovery, backends);
    configured["admin_addr"] = json!("127.0.0.1:0");
    configured
}

#[test]
fn a_call_is_one_line_and_callers_that_end_none_hold_up_nobody() {
    let discovery = Discovery::start();
    let proxy = Proxy::start(&with_admin(&discovery, &[refusing_address()]));
    let started = Instant::now();
    let mut unended: Vec<Client> = (0..40).map(|_| proxy.caller()).collect();
    unended[39].send(b"PING");
    assert_eq!(proxy.call("PING\n"), "YES\n");
    assert_eq!(proxy.call("  PING \r\n"), "YES\n");
    let long = "PING ".repeat(400) + "\n";
    for invalid in
        ["\n", "ping\n", "PING x\n", "PONG\n", "LAMEDUCK now\n", "\u{e9}\n", "PING\0\n", long.as_str()]
    {
        let answer = proxy.call(invalid);
        assert!(answer.starts_with("NO ") && answer.ends_with('\n'), "{invalid:?}: {answer:?}");
    }
    let mut bytes = proxy.caller();
    bytes.send(b"\xff\xfe PING\n");
    assert!(bytes.line().starts_with("NO "));
    assert!(started.elapsed() < Duration::from_secs(1), "they wait for those that end no call");
    assert_eq!(
        unended.iter_mut().map(Client::line).collect::<String>(),
        "",
        "each is closed in bounded time"
    );
    assert!(started.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_drained_proxy_answers_what_comes_and_closes_until_it_rejoins() {
    let discovery = Discovery::start();
    let sound = Backend::answering(|request| request.answer(200, "", "ok"));
    let proxy = Proxy::start(&with_admin(&discovery, &[sound]));
    let (mut used, mut idle, mut fresh) = (proxy.client(), proxy.client(), proxy.client());
    for (turn, client) in [&mut used, &mut idle].into_iter().enumerate() {
        client.send_query("read", &format!("before{turn}"), 2_000);
        assert_eq!(client.receive().status(), 200);
    }
    let drained = Instant::now();
    assert_eq!((proxy.call("LAMEDUCK\n"), proxy.call("LAMEDUCK\n")), ("YES\n".into(), "YES\n".into()));
    assert!(proxy.call("PING\n").starts_with("NO "));
    // Connections opened before the drain, or in spite of it, are served; each response closes.
    let mut late = proxy.client();
    late.send(READY);
    assert_eq!(late.receive().status(), 503);
    for (turn, client) in [&mut used, &mut fresh].into_iter().enumerate() {
        client.send_query("pay", &format!("after{turn}"), 2_000);
        let response = client.receive();
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
        assert!(client.try_receive().is_none());
    }
    assert!(idle.try_receive().is_none());
    let ended = drained.elapsed();
    assert!(
        ended > Duration::from_secs(1) && ended < Duration::from_secs(2),
        "idle ones end after {ended:?}"
    );
    assert_eq!((proxy.call("REJOIN\n"), proxy.call("REJOIN\n")), ("YES\n".into(), "YES\n".into()));
    assert_eq!(proxy.call("PING\n"), "YES\n");
    let mut client = proxy.client();
    for turn in 0..2 {
        client.send(READY);
        assert_eq!(client.receive().status(), 200, "turn {turn}");
    }
}

#[test]
fn a_second_process_takes_over_and_no_client_is_turned_back() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let platform = Platform::new("upgrade");
    let notes = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port");
    let mut configured = with_admin(&discovery, &[backend.address]);
    configured["peer_listen"] = json!(notes.to_string());
    let mut old = platform.start(&configured);
    let (mut busy, mut kept) = (old.client(), old.client());
    kept.send_query("read", "before", 3_000);
    backend.next().answer(200, "", "ok");
    assert_eq!(kept.receive().status(), 200);
    busy.send_query("pay", "taken", 3_000);
    let mut taken = backend.next();
    let new = platform.start(&configured);
    assert_eq!(new.call("PING\n"), "YES\n");
    old.wait_for_log("code=\"processes\" others=1");
    old.terminate();
    old.wait_for_log("code=\"stopping\"");
    for turn in 0..20 {
        let mut client = new.client();
        client.send_query("pay", &format!("late{turn}"), 3_000);
        backend.next().answer(200, "", "late");
        assert_eq!(client.receive().status(), 200, "turn {turn}");
    }
    kept.send_query("read", "kept", 3_000);
    backend.next().answer(200, "", "ok");
    let response = kept.receive();
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    taken.answer(200, "", "taken");
    assert_eq!(busy.receive().body, b"taken");
    assert!(old.ended().success());
    new.wait_for_log("code=\"processes\" others=0");
}

#[test]
fn without_a_folder_to_share_it_serves_all_the_same() {
    let discovery = Discovery::start();
    let sound = Backend::answering(|request| request.answer(200, "", "ok"));
    let mut platform = Platform::new("gone");
    platform.directory.push("not-there");
    let proxy = platform.start(&with_admin(&discovery, &[sound]));
    assert_eq!(proxy.call("PING\n"), "YES\n");
    assert!(proxy.call("DETACH s-0\n").starts_with("NO "), "what can't be kept is not promised");
    assert_eq!(proxy.call("DETACH nobody\n"), "NO no backend \"nobody\" is known\n");
    platform.directory.pop();
}

#[test]
fn a_descriptor_that_is_no_listening_socket_is_bad_configuration() {
    let discovery = Discovery::start();
    for (first, number) in [("", "7"), ("exec 7</dev/null;", "7"), ("", "seven"), ("", "1"), ("", "-1")] {
        let mut program = program(first);
        program.env("EDGE_INHERITED_FD", number);
        let (mut child, mut log, _) = launch(&configuration(&discovery, &[]), program);
        let mut said = String::new();
        std::io::Read::read_to_string(&mut log, &mut said).expect("text");
        let success = child.wait().expect("it ends").success();
        assert!(
            !success && said.lines().count() == 1 && said.contains("EDGE_INHERITED_FD"),
            "{number}: {said}"
        );
    }
}

#[test]
fn a_backend_out_by_hand_gets_nothing_from_either_process_until_it_is_back() {
    let (discovery, out, stays) = (Discovery::start(), Backend::start(), Backend::start());
    let platform = Platform::new("by-hand");
    let configured = with_admin(&discovery, &[out.address, stays.address]);
    let old = platform.start(&configured);
    let mut watch = discovery.next();
    for invalid in ["DETACH\n", "DETACH nobody\n", "ATTACH nobody\n", "DETACH s-0 s-1\n", "DETACH s-00\n"] {
        assert!(old.call(invalid).starts_with("NO "), "{invalid}");
    }
    assert_eq!((old.call("DETACH s-0\n"), old.call("DETACH s-0\n")), ("YES\n".into(), "YES\n".into()));
    let shun = |proxy: &Proxy, after: &str| {
        for turn in 0..6 {
            let mut client = proxy.client();
            client.send_query("read", &format!("{after}{turn}"), 2_000);
            stays.next().answer(200, "", "ok");
            assert_eq!(client.receive().status(), 200);
        }
        assert!(out.is_quiet(), "{after}");
    };
    shun(&old, "out");
    // The backend leaves the list and comes back restarted: it must still be out.
    watch.send(&list(42, false, vec![instance("s-0", out.address, "DELETED")]).to_string());
    let mut anew = instance("s-0", out.address, "SERVING");
    anew["startedAtMs"] = json!(1);
    watch.send(&list(43, false, vec![anew]).to_string());
    shun(&old, "listed");
    let new = platform.start(&configured);
    shun(&new, "upgraded");
    // A call at either process applies to both.
    for (one, other) in [(&old, &new), (&new, &old)] {
        assert_eq!(one.call("ATTACH s-0\n"), "YES\n");
        other.wait_for_log("code=\"back_by_hand\"");
        assert_eq!(one.call("DETACH s-0\n"), "YES\n");
        other.wait_for_log("code=\"out_by_hand\"");
        shun(other, "told by the other");
    }
    drop(old);
    assert_eq!(new.call("ATTACH s-0\n"), "YES\n", "one that was killed is not waited for");
    let mut client = new.client();
    for turn in 0..20 {
        client.send_query("read", &format!("back{turn}"), 2_000);
        let mut request = next_of(&[&out, &stays]);
        request.answer(200, "", "ok");
        assert_eq!(client.receive().status(), 200);
        if request.backend_address() == out.address {
            return;
        }
    }
    panic!("it is used again");
}

#[test]
fn a_damaged_file_of_those_out_by_hand_is_told_and_stops_nobody() {
    let (discovery, platform) = (Discovery::start(), Platform::new("damaged"));
    let configured = with_admin(&discovery, &[refusing_address()]);
    std::fs::write(platform.directory.join("crankpick-127.0.0.1:0.out.json"), "[\"s-0\"").expect("writable");
    let mut program = program("");
    program.env("TMPDIR", &platform.directory);
    let (mut child, mut log, _) = launch(&configured, program);
    let mut said = String::new();
    while !said.contains("code=\"listening\"") {
        assert!(log.read_line(&mut said).expect("text") > 0, "{said}");
    }
    assert!(said.contains("code=\"out_unsound\""), "{said}");
    let _ = child.kill().and_then(|()| child.wait());
}

/// Far more than the proxy buffers, or than socket buffers hold on the way.
const LONG: usize = 24 << 20;

fn head(id: &str, said: &str) -> String {
    format!("POST /pay/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nX-Deadline: 2000m\r\n{said}\r\n")
}

/// A backend whose connections are handled by the test itself.
fn manual_backend() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

fn accepted(listener: &TcpListener) -> BufReader<TcpStream> {
    let stream = listener.accept().expect("the proxy connects").0;
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    BufReader::new(stream)
}

fn head_of(reader: &mut BufReader<TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(reader.read_line(&mut head).expect("a head") > 0, "{head}");
    }
    head
}

#[test]
fn a_long_body_reaches_the_backend_while_the_client_still_sends_it() {
    let (discovery, (listener, address)) = (Discovery::start(), manual_backend());
    let proxy = Proxy::start(&with_admin(&discovery, &[address]));
    let part = vec![b'x'; LONG / 4];
    for said in [format!("Content-Length: {LONG}\r\n"), "Transfer-Encoding: chunked\r\n".to_owned()] {
        let chunked = said.contains("chunked");
        let mut client = proxy.client();
        let send = |client: &mut Client| {
            if chunked {
                client.send(format!("{:x}\r\n", part.len()).as_bytes());
            }
            client.send(&part);
            if chunked {
                client.send(b"\r\n");
            }
        };
        client.send(head("long", &said).as_bytes());
        let all = std::thread::scope(|scope| {
            scope.spawn(|| send(&mut client));
            let mut backend = accepted(&listener);
            let received_head = head_of(&mut backend).to_lowercase();
            assert!(received_head.contains(&said.to_lowercase()), "{received_head}");
            // Part of it arrives before the client has sent the rest.
            backend.read_exact(&mut vec![0; LONG / 8]).expect("it flows");
            backend
        });
        let mut backend = all;
        std::thread::scope(|scope| {
            scope.spawn(|| {
                (0..3).for_each(|_| send(&mut client));
                if chunked {
                    client.send(b"0\r\nTrailer: t\r\n\r\n");
                }
            });
            let mut left = LONG - LONG / 8;
            while left > 0 {
                let read = backend.fill_buf().expect("more").len();
                assert!(read > 0, "cut off with {left} to come");
                // Leave the bytes behind the body, which end it, unread.
                let read = read.min(left);
                left -= read;
                backend.consume(read);
            }
            if chunked {
                // The chunk framing adds some bytes.
                let mut rest = Vec::new();
                while !rest.ends_with(b"0\r\n\r\n") {
                    assert!(backend.read_until(b'\n', &mut rest).expect("an end") > 0);
                }
            }
        });
        backend.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").expect("written");
        assert_eq!(client.receive().body, b"ok");
    }
}

#[test]
fn what_is_no_longer_kept_goes_to_no_other_backend() {
    let (discovery, (one, first), (two, second)) = (Discovery::start(), manual_backend(), manual_backend());
    let mut configured = with_admin(&discovery, &[first, second]);
    // With this setting a failed execution of a short body would be retried elsewhere.
    configured["settings"]["Workloads"][1]["Repeat"] = json!("dedup");
    let proxy = Proxy::start(&configured);
    let mut client = proxy.client();
    client.send(head("gone", &format!("Idempotency-Key: k\r\nContent-Length: {LONG}\r\n")).as_bytes());
    client.send(&vec![b'x'; 1 << 20]);
    [&one, &two].iter().for_each(|listener| listener.set_nonblocking(true).expect("set"));
    let stream = loop {
        if let Some((stream, _)) = [&one, &two].iter().find_map(|listener| listener.accept().ok()) {
            break stream;
        }
        std::thread::yield_now();
    };
    stream.set_nonblocking(false).expect("set");
    let mut backend = BufReader::new(stream);
    backend.read_exact(&mut vec![0; 512 << 10]).expect("more than is kept");
    drop(backend);
    assert!(matches!(client.receive().status(), 502 | 503));
    assert!([&one, &two].iter().all(|listener| listener.accept().is_err()));
}

/// It may have run, so it must not be rejected; its deadline counts from the end of the body.
#[test]
fn a_long_body_that_has_gone_whole_may_have_run() {
    let (discovery, (listener, address)) = (Discovery::start(), manual_backend());
    let proxy = Proxy::start(&with_admin(&discovery, &[address]));
    for disconnects in [true, false] {
        let mut client = proxy.client();
        client.send(
            head("whole", &format!("Content-Length: {}\r\n", 1 << 20)).replace("2000m", "700m").as_bytes(),
        );
        client.send(&vec![b'x'; 1 << 20]);
        let mut backend = accepted(&listener);
        head_of(&mut backend);
        backend.read_exact(&mut vec![0; 1 << 20]).expect("all of it");
        let gone = Instant::now();
        if disconnects {
            backend.get_mut().shutdown(std::net::Shutdown::Both).expect("shut");
        }
        assert_eq!(client.receive().status(), 502, "{disconnects}");
        assert!(gone.elapsed() < Duration::from_millis(1_000), "{disconnects}: {:?}", gone.elapsed());
    }
}

/// SIGKILL may arrive before its response: a body that isn't complete soon after SIGTERM is rejected.
#[test]
fn a_body_that_is_not_whole_soon_after_the_end_was_told_is_turned_back() {
    let (discovery, (listener, address)) = (Discovery::start(), manual_backend());
    let proxy = Proxy::start(&with_admin(&discovery, &[address]));
    let (mut short, mut long) = (proxy.client(), proxy.client());
    short.send((head("short", "Content-Length: 9\r\n") + "some").as_bytes());
    long.send(head("long", "Content-Length: 3000000\r\n").as_bytes());
    long.send(&vec![b'x'; 1 << 20]);
    let mut backend = accepted(&listener);
    backend.read_exact(&mut vec![0; 512 << 10]).expect("more than is kept");
    let signalled = Instant::now();
    proxy.terminate();
    assert_eq!((long.receive().status(), short.receive().status()), (503, 408), "neither has run");
    assert!(signalled.elapsed() < Duration::from_millis(1_500), "{:?}", signalled.elapsed());
}

#[test]
fn a_long_answer_flows_and_waits_for_a_client_that_reads_slowly() {
    let (discovery, (listener, address)) = (Discovery::start(), manual_backend());
    let mut configured = with_admin(&discovery, &[address]);
    configured["limits"]["memory_mb"] = json!(16);
    let proxy = Proxy::start(&configured);
    for said in [format!("Content-Length: {LONG}\r\n"), "Connection: close\r\n".to_owned()] {
        let mut client = proxy.client();
        client.send_query("pay", "long", 1_000);
        let mut backend = accepted(&listener);
        head_of(&mut backend);
        backend.consume(2);
        let sent = Instant::now();
        let backend = backend.get_mut();
        backend.write_all(format!("HTTP/1.1 200 OK\r\n{said}\r\n").as_bytes()).expect("written");
        backend.write_all(&vec![b'x'; 256 << 10]).expect("written");
        // The first bytes arrive before the last are produced, and a pause beyond the deadline does not end the
        // response.
        assert_eq!(client.status_line(), 200);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(Duration::from_millis(1_200));
                backend.write_all(&vec![b'x'; LONG - (256 << 10)]).expect("written");
                backend.shutdown(std::net::Shutdown::Write).expect("shut");
            });
            client.rest(LONG, Duration::from_millis(1_500));
        });
        assert!(sent.elapsed() > Duration::from_millis(1_400));
        assert!(proxy.memory_mb() < 16, "{} MB", proxy.memory_mb());
    }
}

/// A response of unknown length may be long: at its deadline it is streamed, not cut off.
#[test]
fn an_answer_that_comes_slowly_past_its_deadline_is_not_cut_off() {
    let (discovery, (listener, address)) = (Discovery::start(), manual_backend());
    let proxy = Proxy::start(&with_admin(&discovery, &[address]));
    let mut client = proxy.client();
    client.send_query("pay", "slow", 600);
    let mut backend = accepted(&listener);
    head_of(&mut backend);
    backend.get_mut().write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("written");
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..12 {
                backend.get_mut().write_all(b"3e8\r\n").expect("not cut off");
                backend.get_mut().write_all(&[b'x'; 1_000]).expect("not cut off");
                backend.get_mut().write_all(b"\r\n").expect("not cut off");
                std::thread::sleep(Duration::from_millis(100));
            }
            backend.get_mut().write_all(b"0\r\n\r\n").expect("not cut off");
        });
        assert_eq!(client.status_line(), 200);
        client.rest(12_000, Duration::ZERO);
    });
}

#[test]
fn an_answer_that_flows_as_the_process_ends_flows_to_its_end() {
    let (discovery, (listener, address)) = (Discovery::start(), manual_backend());
    let mut proxy = Proxy::start(&with_admin(&discovery, &[address]));
    let mut client = proxy.client();
    client.send_query("pay", "long", 1_000);
    let mut backend = accepted(&listener);
    head_of(&mut backend);
    let part = vec![b'x'; LONG / 8];
    backend
        .get_mut()
        .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n").as_bytes())
        .expect("written");
    let signalled = Instant::now();
    proxy.terminate();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..8 {
                backend.get_mut().write_all(&part).expect("written");
                std::thread::sleep(Duration::from_millis(600));
            }
        });
        assert_eq!(client.status_line(), 200);
        client.rest(LONG, Duration::ZERO);
    });
    assert!(signalled.elapsed() > Duration::from_secs(4) && proxy.ended().success());
}

#[test]
fn all_forms_of_a_request_are_served() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let proxy = Proxy::start(&with_admin(&discovery, &[backend.address]));
    let mut client = proxy.client();
    let serve = |client: &mut Client, said: &[u8], body: &[u8]| {
        client.send(said);
        let mut request = backend.next();
        assert_eq!((request.message.body.as_slice(), request.message.header("expect")), (body, None));
        request.answer(200, "", "ok");
        assert_eq!(client.receive().body, b"ok");
    };
    let chunked =
        head("chunked", "Transfer-Encoding: chunked\r\nTrailer: T\r\n") + "2;x=y\r\nok\r\n0\r\nT: t\r\n\r\n";
    chunked.as_bytes().iter().take(chunked.len() - 1).for_each(|byte| client.send(&[*byte]));
    serve(&mut client, b"\n", b"ok");
    let absolute = head("absolute", "Content-Length: 0\r\n").replace("/pay/x", "http://api.internal/pay/x");
    serve(&mut client, absolute.as_bytes(), b"");
    client.send(head("expects", "Content-Length: 2\r\nExpect: 100-continue\r\n").as_bytes());
    assert_eq!(client.status_line(), 100);
    serve(&mut client, b"ok", b"ok");
    // Both are sent before either is answered; they are answered in order.
    let pair = head("one", "Content-Length: 1\r\n") + "1" + &head("two", "Content-Length: 1\r\n") + "2";
    serve(&mut client, pair.as_bytes(), b"1");
    serve(&mut client, b"", b"2");
    let mut old = proxy.client();
    let said = head("old", "Content-Length: 0\r\n").replace("HTTP/1.1", "HTTP/1.0");
    serve(&mut old, said.as_bytes(), b"");
    assert!(old.try_receive().is_none());
}

/// A client may take 2 s for a head, also after an idle time, and longer for a body that makes progress.
#[test]
fn slow_clients_are_served_and_those_that_stand_still_are_not() {
    let discovery = Discovery::start();
    let sound = Backend::answering(|request| request.answer(200, "", "ok"));
    let proxy = Proxy::start(&with_admin(&discovery, &[sound]));
    let mut client = proxy.client();
    client.send_query("read", "first", 1_000);
    assert_eq!(client.receive().status(), 200);
    let said = head("slow", "Content-Length: 20\r\n") + &"x".repeat(20);
    let (pieces, mut sent) = (said.as_bytes().chunks(said.len() / 8 + 1), 0);
    for piece in pieces {
        std::thread::sleep(Duration::from_millis(300));
        client.send(piece);
        sent += 1;
    }
    assert_eq!((client.receive().status(), sent), (200, 8));
    let stands = Instant::now();
    client.send(&said.as_bytes()[..said.len() - 1]);
    assert_eq!(client.receive().status(), 408);
    assert!(stands.elapsed() < Duration::from_secs(3));
}

#[test]
fn settings_change_for_queries_to_come_and_open_ones_keep_theirs() {
    let (discovery, one, other) = (Discovery::start(), Backend::start(), Backend::start());
    let first = with_admin(&discovery, &[one.address, other.address]);
    let next = || next_of(&[&one, &other]);
    let proxy = Proxy::start(&first);
    let mut open = proxy.client();
    open.send_query("read", "open", 2_000);
    let mut held = next();
    // A retryable workload becomes non-retryable, one is added and one removed, and only one execution is
    // allowed.
    let mut second = first.clone();
    second["settings"]["Workloads"] = json!([workload("new", "fragile"), workload("read", "fragile")]);
    second["settings"]["Limits"]["MaxExecutions"] = json!(1);
    proxy.reconfigure(&second.to_string());
    proxy.wait_for_log("code=\"reloaded\"");
    let mut client = proxy.client();
    for (ask, id, status) in [("pay", "dropped", 400), ("read", "a get", 400)] {
        client.send_query(ask, id, 2_000);
        assert_eq!(client.receive().status(), status, "{id}");
    }
    for name in ["new", "read"] {
        client.send(head(name, "Content-Length: 0\r\n").replace("/pay/", &format!("/{name}/")).as_bytes());
        let mut request = next();
        assert_eq!(request.message.header("x-request-id"), Some(name));
        request.answer(500, "", "");
        assert_eq!(client.receive().status(), 502, "one chance, and one execution");
    }
    // The running query may still be retried, with the limits that it started with.
    held.answer(500, "", "");
    let mut again = next();
    assert_eq!(again.message.header("x-request-id"), Some("open"));
    again.answer(200, "", "ok");
    assert_eq!(open.receive().status(), 200);
    proxy.reconfigure(&first.to_string());
    proxy.wait_for_log("code=\"reloaded\"");
    client.send_query("pay", "back", 2_000);
    next().answer(200, "", "ok");
    assert_eq!(client.receive().status(), 200);
}

#[test]
fn of_a_broken_file_nothing_is_taken() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let sound = with_admin(&discovery, &[backend.address]);
    let proxy = Proxy::start(&sound);
    let mut changed = sound.clone();
    changed["settings"]["Workloads"][0]["Name"] = json!("renamed");
    let whole = changed.to_string();
    let mut broken =
        vec![String::new(), whole[..whole.len() / 2].to_owned(), "{}".to_owned(), "[]".to_owned()];
    for path in [
        "/seed",
        "/discovery",
        "/settings",
        "/settings/Limits/MaxExecutions",
        "/settings/Limits/Cancel",
        "/settings/Workloads",
        "/settings/Workloads/0/Name",
        "/settings/Workloads/1/StatementTimeoutUs",
        "/settings/Workloads/2/Repeat",
        "/settings/Tenants/0/QuotaRps",
        "/settings/Safety",
        "/limits/sockets",
    ] {
        let mut configured = changed.clone();
        let (holder, key) = path.rsplit_once('/').expect("a path");
        let holder = configured.pointer_mut(holder).and_then(Value::as_object_mut).expect("there");
        holder.remove(key).expect("there before");
        broken.push(configured.to_string());
    }
    for (path, value) in [
        ("Limits/MaxExecutions", json!(0)),
        ("Limits/MaxExecutions", json!(-2)),
        ("Limits/MaxExecutions", json!("4")),
        ("Limits/MaxExecutions", json!(null)),
        ("Limits", json!([])),
        ("Workloads/1/StatementTimeoutUs", json!(0)),
        ("Workloads/1/StatementTimeoutUs", json!(-1)),
        ("Workloads/1/StatementTimeoutUs", json!(1.5)),
        ("Workloads/0/SloTimeUs", json!(0)),
        ("Workloads", json!([])),
        ("Workloads/1/Name", json!("move")),
        ("Workloads/0/Repeat", json!("often")),
    ] {
        let mut configured = changed.clone();
        *configured["settings"].pointer_mut(&format!("/{path}")).expect("there") = value;
        broken.push(configured.to_string());
    }
    for text in broken {
        proxy.reconfigure(&text);
        proxy.wait_for_log("code=\"reload_unsound\"");
        let mut client = proxy.client();
        client.send_query("read", "same", 2_000);
        let mut request = backend.next();
        request.answer(200, "", "ok");
        assert_eq!(client.receive().status(), 200, "{text}");
    }
    proxy.reconfigure(&whole);
    proxy.wait_for_log("code=\"reloaded\"");
}

/// Idle connections are closed to make room, or because they timed out, while their sockets hold requests that
/// the suspended process has not seen.
#[test]
fn what_came_while_it_stood_still_is_answered() {
    let discovery = Discovery::start();
    let sound = Backend::answering(|request| request.answer(200, "", "ok"));
    let mut configured = with_admin(&discovery, &[sound]);
    configured["limits"]["sockets"] = json!(96);
    let proxy = Proxy::start(&configured);
    let mut clients: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
    for (turn, client) in clients.iter_mut().enumerate() {
        client.send_query("read", &format!("before{turn}"), 3_000);
        assert_eq!(client.receive().status(), 200);
    }
    proxy.stopped(|| {
        // Longer than the idle timeout of new connections, with more new connections than there is room for
        // beside the idle ones.
        std::thread::sleep(Duration::from_millis(2_400));
        clients.extend((0..30).map(|_| proxy.client()));
        for (turn, client) in clients.iter_mut().enumerate() {
            client.send_query("read", &format!("meanwhile{turn}"), 3_000);
        }
    });
    for (turn, client) in clients.iter_mut().enumerate() {
        assert!(client.try_receive().is_some(), "{turn} was lost");
    }
}
