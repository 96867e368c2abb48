//! Tests of race conditions. The rare order is forced by gates in the test doubles, never by sleeping.

use crate::test_doubles::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Connections may take long to open, and executions may not be cancelled.
fn slow_connect_configuration(discovery: &Discovery, backends: &[SocketAddr]) -> Value {
    let mut configured = configuration(discovery, backends);
    configured["settings"]["Limits"]["ConnectTimeoutUs"] = json!(60_000_000);
    configured["settings"]["Limits"]["Cancel"] = json!(false);
    for workload in 0..3 {
        configured["settings"]["Workloads"][workload]["StatementTimeoutUs"] = json!(50_000_000);
    }
    configured
}

/// Sends updates and then an invalid line: once that has ended the watch, the updates have been applied.
fn apply_updates(proxy: &Proxy, mut watch: Watch, news: &[Value]) {
    news.iter().for_each(|news| watch.send(&news.to_string()));
    watch.send("no JSON");
    proxy.wait_for_log("code=\"watch_ended\"");
}

#[test]
fn a_client_that_leaves_ends_what_waits_for_its_connection() {
    for workload in ["read", "pay", "move"] {
        let (discovery, gate) = (Discovery::start(), Gate::shut());
        let proxy = Proxy::start(&slow_connect_configuration(&discovery, &[gate.address]));
        let mut client = proxy.client();
        client.send_query(workload, "leaves", 40_000);
        gate.wait_for(1);
        drop(client);
        gate.wait_for(0);
    }
}

#[test]
fn news_end_what_waits_for_a_connection_to_who_is_out_of_bounds() {
    for news in ["DRAINING", "DELETED", "moved", "unsound", "by hand"] {
        let (discovery, gate, other) = (Discovery::start(), Gate::shut(), Backend::start());
        let mut configured = slow_connect_configuration(&discovery, &[gate.address]);
        configured["admin_addr"] = json!("127.0.0.1:0");
        let proxy = Proxy::start(&configured);
        let watch = discovery.next();
        let mut client = proxy.client();
        client.send_query("pay", "waits", 40_000);
        gate.wait_for(1);
        let one = |entry: Value| list(50, false, vec![entry]);
        match news {
            "moved" => apply_updates(&proxy, watch, &[one(instance("s-0", other.address, "SERVING"))]),
            "unsound" => {
                apply_updates(&proxy, watch, &[one(json!({"instanceId": "s-0", "lifecycle": "ODD"}))])
            }
            "by hand" => assert_eq!(proxy.call("DETACH s-0\n"), "YES\n"),
            state => apply_updates(&proxy, watch, &[one(instance("s-0", gate.address, state))]),
        }
        // It was never executed, so without another backend it is rejected at once.
        assert_eq!(client.receive().status(), 503, "{news}");
        gate.wait_for(0);
        assert!(other.is_quiet());
    }
}

#[test]
fn what_waits_for_a_connection_goes_to_another_backend_once_its_own_drains() {
    let (discovery, gate, other) = (Discovery::start(), Gate::shut(), Backend::start());
    let proxy = Proxy::start(&slow_connect_configuration(&discovery, &[gate.address]));
    let mut watch = discovery.next();
    let mut client = proxy.client();
    client.send_query("pay", "waits", 40_000);
    gate.wait_for(1);
    watch.send(&list(50, false, vec![instance("s-1", other.address, "SERVING")]).to_string());
    apply_updates(&proxy, watch, &[list(51, false, vec![instance("s-0", gate.address, "DRAINING")])]);
    other.next().answer(200, "", "ok");
    assert_eq!(client.receive().body, b"ok");
    gate.wait_for(0);
    let late = gate.open();
    client.send_query("pay", "next", 40_000);
    other.next().answer(200, "", "ok");
    assert_eq!(client.receive().body, b"ok");
    assert!(late.is_quiet());
}

/// The backends recognise duplicates for one second after the first execution; the connection opens later.
#[test]
fn a_repeat_that_would_come_after_its_window_is_not_begun() {
    let (discovery, first, gate) = (Discovery::start(), Backend::start(), Gate::shut());
    let mut configured = slow_connect_configuration(&discovery, &[first.address, gate.address]);
    configured["settings"]["Limits"]["ConnectTimeoutUs"] = json!(1_500_000);
    configured["settings"]["Workloads"][2]["WindowUs"] = json!(1_000_000);
    let proxy = Proxy::start(&configured);
    let mut client = proxy.client();
    // Either backend may come first: an execution without a connection was never sent and starts no window.
    for turn in 0..2 {
        let sent = Instant::now();
        client.send_query("move", &format!("q{turn}"), 40_000);
        let request = first.next();
        let begun = Instant::now();
        request.break_off();
        assert!(matches!(client.receive().status(), 502 | 503));
        assert!(
            begun.elapsed() < Duration::from_secs(1),
            "after {:?}, {:?}",
            begun.elapsed(),
            sent.elapsed()
        );
    }
    assert!(first.is_quiet());
}

/// Unread bytes behind a request hide the end of the client's stream.
#[test]
fn a_client_that_leaves_behind_pipelined_bytes_is_noticed_all_the_same() {
    for (behind, resets) in [(40, false), (40, true), (30_000, false), (200_000, false)] {
        let (discovery, gate) = (Discovery::start(), Gate::shut());
        let proxy = Proxy::start(&slow_connect_configuration(&discovery, &[gate.address]));
        let mut client = proxy.client();
        client.send_query("pay", "leaves", 40_000);
        client.send(&b"GET /read/x HTTP/1.1\r\nX-Request-Id: behind\r\n\r\n".repeat(behind / 40));
        gate.wait_for(1);
        client.leave(resets);
        gate.wait_for(0);
        let late = gate.open();
        assert!(late.is_quiet(), "{behind}");
    }
}

/// A query waits for capacity and its client disconnects before capacity becomes available.
#[test]
fn nothing_is_begun_for_a_client_that_went_while_its_query_waited() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let mut configured = configuration(&discovery, &[backend.address]);
    for workload in 0..3 {
        configured["settings"]["Workloads"][workload]["SloTimeUs"] = json!(50_000_000);
        configured["settings"]["Workloads"][workload]["StatementTimeoutUs"] = json!(50_000_000);
    }
    let proxy = Proxy::start(&configured);
    // Three executions fill a backend when no peer reports others.
    let mut busy: Vec<Client> = (0..3).map(|_| proxy.client()).collect();
    busy.iter_mut()
        .enumerate()
        .for_each(|(n, client)| client.send_query("read", &format!("busy{n}"), 40_000));
    let mut taken: Vec<ReceivedRequest> = (0..3).map(|_| backend.next()).collect();
    let mut leaving = proxy.client();
    leaving.send_query("read", "leaves", 40_000);
    leaving.send_query("read", "behind", 40_000);
    leaving.leave(false);
    proxy.wait_for_log("code=\"client_gone\"");
    taken.iter_mut().for_each(|request| request.answer(200, "", "ok"));
    busy.iter_mut().for_each(|client| assert_eq!(client.receive().status(), 200));
    busy[0].send_query("read", "next", 40_000);
    let mut next = backend.next();
    assert_eq!(next.message.header("x-request-id"), Some("next"));
    next.answer(200, "", "ok");
    assert!(busy[0].receive().status() == 200 && backend.is_quiet());
}

/// The request and the end of the client's stream are read together, as after the process was suspended.
#[test]
fn nothing_is_begun_for_a_client_that_went_while_the_proxy_stood_still() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let proxy = Proxy::start(&configuration(&discovery, &[backend.address]));
    let mut known = proxy.client();
    known.send_query("read", "before", 3_000);
    backend.next().answer(200, "", "ok");
    assert_eq!(known.receive().status(), 200);
    proxy.stopped(|| {
        known.send_query("pay", "known", 3_000);
        known.leave(false);
        let mut fresh = proxy.client();
        fresh.send_query("pay", "fresh", 3_000);
        fresh.leave(false);
    });
    for _ in 0..2 {
        proxy.wait_for_log("code=\"client_gone\"");
    }
    let mut client = proxy.client();
    client.send_query("pay", "next", 3_000);
    let mut next = backend.next();
    assert_eq!(next.message.header("x-request-id"), Some("next"));
    next.answer(200, "", "ok");
    assert_eq!(client.receive().status(), 200);
}

/// Updates of discovery must be applied within 6 s, even if calls to it fail meanwhile.
#[test]
fn two_silences_in_a_row_leave_time_to_be_told() {
    let discovery = Discovery::start();
    let _proxy = Proxy::start(&configuration(&discovery, &[refusing_address()]));
    let mut first = discovery.next();
    let silent = Instant::now();
    first.send("");
    let _second = discovery.next();
    let _third = discovery.next();
    assert!(silent.elapsed() < Duration::from_secs(6), "{:?}", silent.elapsed());
}

#[test]
fn bytes_that_trickle_are_no_sign_of_life() {
    for part in [" ", "{\"generation\":50,"] {
        let discovery = Discovery::start();
        let _proxy = Proxy::start(&configuration(&discovery, &[refusing_address()]));
        let (watch, begun) = (discovery.next(), Instant::now());
        std::thread::scope(|scope| {
            scope.spawn(|| watch.trickle(part, Duration::from_millis(100)));
            let _next = discovery.next();
            assert!(begun.elapsed() < Duration::from_secs(4), "{part:?}: {:?}", begun.elapsed());
        });
    }
}

#[test]
fn changes_from_before_what_is_known_change_nothing_and_the_whole_list_is_asked_for() {
    let (discovery, old, new) = (Discovery::start(), Backend::start(), Backend::start());
    let proxy = Proxy::start(&configuration(&discovery, &[old.address]));
    let mut watch = discovery.next();
    let drains = vec![instance("s-0", old.address, "DRAINING"), instance("s-1", new.address, "SERVING")];
    watch.send(&list(50, false, drains).to_string());
    watch.send(&list(49, false, vec![instance("s-0", old.address, "SERVING")]).to_string());
    let whole = discovery.next();
    assert_eq!(whole.request, "GET /api/targets HTTP/1.1");
    let mut client = proxy.client();
    for turn in 0..4 {
        client.send_query("read", &format!("q{turn}"), 2_000);
        new.next().answer(200, "", "ok");
        assert_eq!(client.receive().status(), 200);
    }
    assert!(old.is_quiet());
    // Discovery may have restarted its generations: its full list is applied.
    let watch = whole.respond(&list(3, true, vec![instance("s-0", old.address, "SERVING")]).to_string());
    assert_eq!(watch.request, "GET /api/targets?watch=1&after=3 HTTP/1.1");
    client.send_query("read", "back", 2_000);
    old.next().answer(200, "", "ok");
    assert_eq!(client.receive().status(), 200);
}

/// Updates known to the local agent must be applied from the start of the process.
#[test]
fn where_lists_are_pushed_nothing_is_served_before_the_agents_first_word() {
    let (discovery, drains, serves) = (Discovery::start(), Backend::start(), Backend::start());
    let mut configured = configuration(&discovery, &[drains.address, serves.address]);
    let listen = free_address();
    configured["settings"]["Discovery"] = json!("automatic");
    configured["listen"] = json!(listen.to_string());
    std::thread::scope(|scope| {
        let proxy = scope.spawn(|| Proxy::start(&configured));
        let mut watch = discovery.next();
        assert!(std::net::TcpStream::connect(listen).is_err(), "it accepts already");
        watch.send(&list(50, false, vec![instance("s-0", drains.address, "DRAINING")]).to_string());
        let proxy = proxy.join().expect("it starts");
        let mut client = proxy.client();
        for turn in 0..4 {
            client.send_query("read", &format!("q{turn}"), 2_000);
            serves.next().answer(200, "", "ok");
            assert_eq!(client.receive().status(), 200);
        }
        assert!(drains.is_quiet());
        // Neither may a watch that ends delay an update.
        let ended = Instant::now();
        watch.send("no JSON");
        let _next = discovery.next();
        assert!(ended.elapsed() < Duration::from_millis(240), "{:?}", ended.elapsed());
    });
}

#[test]
fn where_lists_are_pushed_a_silent_agent_does_not_keep_a_process_from_starting() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let mut configured = configuration(&discovery, &[backend.address]);
    configured["settings"]["Discovery"] = json!("automatic");
    let started = Instant::now();
    let proxy = Proxy::start(&configured);
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    let mut client = proxy.client();
    client.send_query("read", "q", 2_000);
    backend.next().answer(200, "", "ok");
    assert_eq!(client.receive().status(), 200);
}

/// When an ending process no longer accepts requests, since SIGKILL may arrive before the response.
const LATE: Duration = Duration::from_millis(650);

#[test]
fn what_comes_whole_too_late_after_the_signal_to_end_is_rejected_at_once_and_told_when_to_come_back() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let mut proxy = Proxy::start(&configuration(&discovery, &[backend.address]));
    let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    // A query in flight keeps its connection open. Behind it are another request, half a head and half a body.
    clients[0].send_query("pay", "taken", 3_000);
    let mut taken = backend.next();
    clients[0].send_query("pay", "behind", 3_000);
    clients[1].send(b"GET /read/x HTTP/1.1\r\nX-Request-Id: half\r\n");
    let body = "POST /pay/x HTTP/1.1\r\nX-Request-Id: body\r\nContent-Length: 2\r\n\r\no";
    clients[2].send(body.as_bytes());
    proxy.terminate();
    proxy.wait_for_log("code=\"stopping\"");
    let signalled = Instant::now();
    // The half body is answered with 408 once the process accepts no more requests.
    assert_eq!(clients[2].receive().status(), 408);
    assert!(signalled.elapsed() >= LATE - Duration::from_millis(50));
    taken.answer(200, "", "ok");
    assert_eq!(clients[0].receive().status(), 200);
    clients[1].send(b"\r\n");
    let response = clients[1].receive();
    assert_eq!((response.status(), response.header("connection")), (503, Some("close")));
    assert!(response.header("retry-after").is_some());
    assert!(backend.is_quiet() && proxy.ended().success());
}

/// The process is suspended from SIGTERM until it accepts no more requests.
#[test]
fn what_waits_in_the_listeners_queue_as_it_closes_is_answered() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let mut proxy = Proxy::start(&configuration(&discovery, &[backend.address]));
    proxy.terminate();
    proxy.wait_for_log("code=\"stopping\"");
    let signalled = Instant::now();
    let mut clients = Vec::new();
    proxy.stopped(|| {
        clients.extend((0..5).map(|_| proxy.client()));
        clients
            .iter_mut()
            .enumerate()
            .for_each(|(n, client)| client.send_query("pay", &format!("q{n}"), 3_000));
        // The time itself must pass here.
        std::thread::sleep((LATE + Duration::from_millis(100)).saturating_sub(signalled.elapsed()));
    });
    for client in &mut clients {
        let response = client.receive();
        assert!(response.status() == 503 && response.header("retry-after").is_some(), "{}", response.head);
    }
    assert!(backend.is_quiet() && proxy.ended().success());
}

#[test]
fn an_answer_outlives_the_end_of_its_connection_over_unread_bytes() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let mut configured = configuration(&discovery, &[backend.address]);
    configured["admin_addr"] = json!("127.0.0.1:0");
    let proxy = Proxy::start(&configured);
    let mut client = proxy.client();
    client.send_query("pay", "last", 3_000);
    let mut request = backend.next();
    client.send(&[b'x'; 600_000]);
    // When drained, it closes the connection after the response, with bytes still unread.
    assert_eq!(proxy.call("LAMEDUCK\n"), "YES\n");
    request.answer(200, "", "ok");
    proxy.wait_for_log("code=\"drained\"");
    // Its response shows that the other connection has been closed, if at all.
    assert!(proxy.call("PING\n").starts_with("NO"));
    assert!(!client.is_reset());
    assert_eq!((client.receive().body.as_slice(), client.try_receive().is_none()), (b"ok".as_slice(), true));
}

/// Without a declared length the end of the connection ends the response, but only an orderly close.
#[test]
fn an_answer_of_no_told_length_that_is_reset_is_not_whole() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let proxy = Proxy::start(&configuration(&discovery, &[backend.address]));
    for (turn, resets) in [false, true, false, true].into_iter().enumerate() {
        let mut client = proxy.client();
        client.send_query("pay", &format!("short{turn}"), 3_000);
        let mut request = backend.next();
        request.send(b"HTTP/1.1 200 OK\r\n\r\nsome");
        request.end(resets);
        assert_eq!(client.receive().status(), if resets { 502 } else { 200 }, "turn {turn}");
    }
    // A response larger than the buffer is streamed; an HTTP/1.0 client too can detect its end only by the
    // close.
    for (version, resets) in [("1.1", false), ("1.1", true), ("1.0", false), ("1.0", true)] {
        let mut client = proxy.client();
        let head = format!("GET /read/x HTTP/{version}\r\nHost: x\r\nX-Request-Id: {version}{resets}\r\n");
        client.send(format!("{head}X-Deadline: 3000m\r\nConnection: close\r\n\r\n").as_bytes());
        let mut request = backend.next();
        let (part, chunked) = (vec![b'x'; 300_000], version == "1.1");
        request.send(b"HTTP/1.1 200 OK\r\n\r\n");
        request.send(&part);
        assert_eq!(client.status_line(), 200);
        client.rest(200_000, Duration::ZERO);
        request.end(resets);
        let (rest, in_order) = client.rest_in_order();
        let whole = in_order && (!chunked || rest.ends_with(b"0\r\n\r\n"));
        assert_eq!(whole, !resets, "HTTP/{version}, resets {resets}, in order {in_order}");
    }
}

/// Idle clients hold as many descriptors as the kernel allows, while the discovery address is unreachable.
#[test]
fn idle_clients_leave_room_for_discovery_backends_and_callers() {
    let (place, backend, other) = (free_address(), Backend::start(), Backend::start());
    let mut configured = configuration(&Discovery::start(), &[backend.address]);
    configured["discovery"] = json!(place.to_string());
    configured["admin_addr"] = json!("127.0.0.1:0");
    configured["limits"]["sockets"] = json!(72);
    let proxy = Proxy::started(&configured, program("ulimit -n 72;"));
    proxy.wait_for_log("code=\"watch_ended\"");
    let mut crowd: Vec<Client> = (0..200).map(|_| proxy.client()).collect();
    crowd.iter_mut().step_by(3).for_each(|client| client.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"));
    let mut fresh = proxy.client();
    fresh.send_query("read", "meanwhile", 3_000);
    backend.next().answer(200, "", "ok");
    assert_eq!(fresh.receive().status(), 200);
    assert_eq!(proxy.call("PING\n"), "YES\n");
    let back = Instant::now();
    let discovery = Discovery::start_at(place);
    let mut watch = discovery.next();
    let drains =
        vec![instance("s-0", backend.address, "DRAINING"), instance("s-1", other.address, "SERVING")];
    watch.send(&list(50, false, drains).to_string());
    apply_updates(&proxy, watch, &[]);
    assert!(back.elapsed() < Duration::from_secs(2), "{:?}", back.elapsed());
    let mut fresh = proxy.client();
    fresh.send_query("read", "after", 3_000);
    other.next().answer(200, "", "ok");
    assert!(fresh.receive().status() == 200 && backend.is_quiet());
}

/// Any invalid input on a watch must lead to another call soon, and no part of it may be applied.
#[test]
fn unsound_lists_change_nothing_and_are_asked_for_again() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let proxy = Proxy::start(&configuration(&discovery, &[backend.address]));
    let mut client = proxy.client();
    for (turn, unsound) in [
        "{\"generation\":60,\"reset\":true,\"instances\":7}",
        "{\"generation\":-1,\"reset\":true,\"instances\":[]}",
        "{\"generation\":60,\"reset\":\"yes\",\"instances\":[]}",
        "[]",
        "\"",
        "{]",
        "{\"generation\":60,\"reset\":true,\"instances\":[\u{0}]}",
    ]
    .into_iter()
    .enumerate()
    {
        let mut watch = discovery.next();
        assert!(watch.request.ends_with("after=41 HTTP/1.1"), "{}", watch.request);
        watch.send(unsound);
        proxy.wait_for_log("code=\"watch_ended\"");
        client.send_query("read", &format!("q{turn}"), 3_000);
        backend.next().answer(200, "", "ok");
        assert_eq!(client.receive().status(), 200, "{unsound}");
    }
    // Invalid entries: backends they name are drained, the other entries are applied, and the watch continues.
    let odd =
        [json!(7), json!({}), json!({"instanceId": 7}), json!({"instanceId": "s-0", "weight": "heavy"})];
    let other = Backend::start();
    let mut news = odd.to_vec();
    news.push(instance("s-1", other.address, "SERVING"));
    let watch = discovery.next();
    apply_updates(&proxy, watch, &[list(60, false, news)]);
    client.send_query("read", "after", 3_000);
    other.next().answer(200, "", "ok");
    assert!(client.receive().status() == 200 && backend.is_quiet());
}

/// All body memory is held by requests whose backend neither responds nor reads.
#[test]
fn a_body_that_finds_no_memory_is_rejected_while_its_client_still_waits() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let mut configured = configuration(&discovery, &[backend.address]);
    configured["limits"]["memory_mb"] = json!(1);
    configured["settings"]["Limits"]["IdleCloseUs"] = json!(30_000_000);
    let proxy = Proxy::start(&configured);
    let head = |id: &str, length: usize, wait_ms: u32| {
        let head =
            format!("POST /pay/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nX-Deadline: {wait_ms}m\r\n");
        format!("{head}Content-Length: {length}\r\n\r\n").into_bytes()
    };
    let mut holding: Vec<Client> = (0..8).map(|_| proxy.client()).collect();
    for (number, client) in holding.iter_mut().enumerate() {
        // The rest of the body is still to come, so that its permits are held and nothing has been decided.
        client.send(&head(&format!("holds{number}"), 40_000, 3_000));
        client.send(&[b'x'; 30_000]);
    }
    // Once this is answered those permits are held, as the proxy has read what came before.
    let mut asks = proxy.client();
    asks.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(asks.receive().status(), 200);
    let mut late = proxy.client();
    let sent = Instant::now();
    late.send(&head("late", 20_000, 1_000));
    late.send(&[b'x'; 20_000]);
    let response = late.receive();
    assert_eq!((response.status(), response.header("connection")), (503, Some("close")));
    assert!(response.header("retry-after").is_some() && sent.elapsed() < Duration::from_millis(900));
    assert!(backend.is_quiet());
    // A body that waited for memory has that much less time left.
    let mut waits = proxy.client();
    let sent = Instant::now();
    waits.send(&head("waits", 20_000, 2_000));
    waits.send(&[b'x'; 20_000]);
    // The time itself must pass here.
    std::thread::sleep(Duration::from_millis(300));
    holding[0].send(&[b'x'; 10_000]);
    backend.next().answer(200, "", "ok");
    assert_eq!(holding[0].receive().status(), 200);
    let freed = sent.elapsed();
    let mut request = backend.next();
    let left = request.message.header("x-deadline").and_then(|left| left.strip_suffix('u')).expect("told");
    let left = Duration::from_micros(left.parse().expect("a number"));
    assert!(left <= Duration::from_millis(2_010) - freed.min(Duration::from_millis(300)), "{left:?}");
    request.answer(200, "", "ok");
    assert_eq!(waits.receive().status(), 200);
}

#[test]
fn a_process_that_knows_no_backend_is_not_ready_before_discovery_tells_of_one() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let mut configured = configuration(&discovery, &[]);
    let listen = free_address();
    configured["listen"] = json!(listen.to_string());
    std::thread::scope(|scope| {
        let proxy = scope.spawn(|| Proxy::start(&configured));
        let mut watch = discovery.next();
        assert!(std::net::TcpStream::connect(listen).is_err(), "it accepts already");
        watch.send(&list(50, true, vec![instance("s-0", backend.address, "SERVING")]).to_string());
        let proxy = proxy.join().expect("it starts");
        let mut client = proxy.client();
        client.send_query("pay", "first", 2_000);
        backend.next().answer(200, "", "ok");
        assert_eq!(client.receive().status(), 200);
    });
    // If discovery is unreachable, the proxy still starts in the end.
    configured["discovery"] = json!(refusing_address().to_string());
    let started = Instant::now();
    let proxy = Proxy::start(&configured);
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    let mut client = proxy.client();
    client.send_query("pay", "none", 2_000);
    let response = client.receive();
    assert!(response.status() == 503 && response.header("retry-after").is_some(), "{}", response.head);
}
