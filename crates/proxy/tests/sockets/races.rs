//! Two things that may come in either order, the rare order forced: by gates in the stand-ins, never by sleeping.

use crate::stand_ins::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Connections may be long in coming up, and what is out may not be called off.
fn slow_to_connect(discovery: &Discovery, backends: &[SocketAddr]) -> Value {
    let mut told = configuration(discovery, backends);
    told["settings"]["Limits"]["ConnectTimeoutUs"] = json!(60_000_000);
    told["settings"]["Limits"]["Cancel"] = json!(false);
    for workload in 0..3 {
        told["settings"]["Workloads"][workload]["StatementTimeoutUs"] = json!(50_000_000);
    }
    told
}

/// What was said on the watch has been taken in once what can't be understood behind it has ended the watch.
fn told(proxy: &Proxy, mut watch: Watch, news: &[Value]) {
    news.iter().for_each(|news| watch.say(&news.to_string()));
    watch.say("no JSON");
    proxy.logged("code=\"watch_ended\"");
}

#[test]
fn a_client_that_leaves_ends_what_waits_for_its_connection() {
    for workload in ["read", "pay", "move"] {
        let (discovery, gate) = (Discovery::start(), Gate::shut());
        let proxy = Proxy::start(&slow_to_connect(&discovery, &[gate.address]));
        let mut client = proxy.client();
        client.ask(workload, "leaves", 40_000);
        gate.wait_for(1);
        drop(client);
        gate.wait_for(0);
    }
}

#[test]
fn news_end_what_waits_for_a_connection_to_who_is_out_of_bounds() {
    for news in ["DRAINING", "DELETED", "moved", "unsound", "by hand"] {
        let (discovery, gate, other) = (Discovery::start(), Gate::shut(), Backend::start());
        let mut configured = slow_to_connect(&discovery, &[gate.address]);
        configured["admin_addr"] = json!("127.0.0.1:0");
        let proxy = Proxy::start(&configured);
        let watch = discovery.next();
        let mut client = proxy.client();
        client.ask("pay", "waits", 40_000);
        gate.wait_for(1);
        let one = |entry: Value| list(50, false, vec![entry]);
        match news {
            "moved" => told(&proxy, watch, &[one(instance("s-0", other.address, "SERVING"))]),
            "unsound" => told(&proxy, watch, &[one(json!({"instanceId": "s-0", "lifecycle": "ODD"}))]),
            "by hand" => assert_eq!(proxy.call("DETACH s-0\n"), "YES\n"),
            state => told(&proxy, watch, &[one(instance("s-0", gate.address, state))]),
        }
        // It never ran, so where nobody else is there it is rejected, at once.
        assert_eq!(client.heard().status(), 503, "{news}");
        gate.wait_for(0);
        assert!(other.is_quiet());
    }
}

#[test]
fn what_waits_for_a_connection_goes_to_another_backend_once_its_own_drains() {
    let (discovery, gate, other) = (Discovery::start(), Gate::shut(), Backend::start());
    let proxy = Proxy::start(&slow_to_connect(&discovery, &[gate.address]));
    let mut watch = discovery.next();
    let mut client = proxy.client();
    client.ask("pay", "waits", 40_000);
    gate.wait_for(1);
    watch.say(&list(50, false, vec![instance("s-1", other.address, "SERVING")]).to_string());
    told(&proxy, watch, &[list(51, false, vec![instance("s-0", gate.address, "DRAINING")])]);
    other.next().answer(200, "", "ok");
    assert_eq!(client.heard().body, b"ok");
    gate.wait_for(0);
    let late = gate.open();
    client.ask("pay", "next", 40_000);
    other.next().answer(200, "", "ok");
    assert_eq!(client.heard().body, b"ok");
    assert!(late.is_quiet());
}

/// Those who drop a repeat do so for a second from the first execution on; the connection comes up later.
#[test]
fn a_repeat_that_would_come_after_its_window_is_not_begun() {
    let (discovery, first, gate) = (Discovery::start(), Backend::start(), Gate::shut());
    let mut configured = slow_to_connect(&discovery, &[first.address, gate.address]);
    configured["settings"]["Limits"]["ConnectTimeoutUs"] = json!(1_500_000);
    configured["settings"]["Workloads"][2]["WindowUs"] = json!(1_000_000);
    let proxy = Proxy::start(&configured);
    let mut client = proxy.client();
    // Rotation may take either first: one that finds no connection never ran and binds nobody.
    for turn in 0..2 {
        let sent = Instant::now();
        client.ask("move", &format!("q{turn}"), 40_000);
        let asked = first.next();
        let begun = Instant::now();
        asked.break_off();
        assert!(matches!(client.heard().status(), 502 | 503));
        assert!(
            begun.elapsed() < Duration::from_secs(1),
            "after {:?}, {:?}",
            begun.elapsed(),
            sent.elapsed()
        );
    }
    assert!(first.is_quiet());
}

/// What lies unread behind a request hides the end of its client's sending.
#[test]
fn a_client_that_leaves_behind_pipelined_bytes_is_noticed_all_the_same() {
    for (behind, resets) in [(40, false), (40, true), (30_000, false), (200_000, false)] {
        let (discovery, gate) = (Discovery::start(), Gate::shut());
        let proxy = Proxy::start(&slow_to_connect(&discovery, &[gate.address]));
        let mut client = proxy.client();
        client.ask("pay", "leaves", 40_000);
        client.say(&b"GET /read/x HTTP/1.1\r\nX-Request-Id: behind\r\n\r\n".repeat(behind / 40));
        gate.wait_for(1);
        client.leave(resets);
        gate.wait_for(0);
        let late = gate.open();
        assert!(late.is_quiet(), "{behind}");
    }
}

/// A query of the client's waits for room, its own connection being long gone, when room comes.
#[test]
fn nothing_is_begun_for_a_client_that_went_while_its_query_waited() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let mut configured = configuration(&discovery, &[backend.address]);
    for workload in 0..3 {
        configured["settings"]["Workloads"][workload]["SloTimeUs"] = json!(50_000_000);
        configured["settings"]["Workloads"][workload]["StatementTimeoutUs"] = json!(50_000_000);
    }
    let proxy = Proxy::start(&configured);
    // Three at one backend are its crowd where nobody tells of others.
    let mut busy: Vec<Client> = (0..3).map(|_| proxy.client()).collect();
    busy.iter_mut().enumerate().for_each(|(n, client)| client.ask("read", &format!("busy{n}"), 40_000));
    let mut taken: Vec<Asked> = (0..3).map(|_| backend.next()).collect();
    let mut leaving = proxy.client();
    leaving.ask("read", "leaves", 40_000);
    leaving.ask("read", "behind", 40_000);
    leaving.leave(false);
    proxy.logged("code=\"client_gone\"");
    taken.iter_mut().for_each(|asked| asked.answer(200, "", "ok"));
    busy.iter_mut().for_each(|client| assert_eq!(client.heard().status(), 200));
    busy[0].ask("read", "next", 40_000);
    let mut next = backend.next();
    assert_eq!(next.message.header("x-request-id"), Some("next"));
    next.answer(200, "", "ok");
    assert!(busy[0].heard().status() == 200 && backend.is_quiet());
}

/// The request and the end of its client's sending are read in one go, as after a stall.
#[test]
fn nothing_is_begun_for_a_client_that_went_while_the_proxy_stood_still() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let proxy = Proxy::start(&configuration(&discovery, &[backend.address]));
    let mut known = proxy.client();
    known.ask("read", "before", 3_000);
    backend.next().answer(200, "", "ok");
    assert_eq!(known.heard().status(), 200);
    proxy.stopped(|| {
        known.ask("pay", "known", 3_000);
        known.leave(false);
        let mut fresh = proxy.client();
        fresh.ask("pay", "fresh", 3_000);
        fresh.leave(false);
    });
    for _ in 0..2 {
        proxy.logged("code=\"client_gone\"");
    }
    let mut client = proxy.client();
    client.ask("pay", "next", 3_000);
    let mut next = backend.next();
    assert_eq!(next.message.header("x-request-id"), Some("next"));
    next.answer(200, "", "ok");
    assert_eq!(client.heard().status(), 200);
}
