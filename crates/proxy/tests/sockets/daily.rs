//! What operators do to the program while it serves.

use crate::stand_ins::*;
use serde_json::{json, Value};
use std::io::BufRead;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

const READY: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

fn operated(discovery: &Discovery, backends: &[SocketAddr]) -> Value {
    let mut told = configuration(discovery, backends);
    told["admin_addr"] = json!("127.0.0.1:0");
    told
}

#[test]
fn a_call_is_one_line_and_callers_that_end_none_hold_up_nobody() {
    let discovery = Discovery::start();
    let proxy = Proxy::start(&operated(&discovery, &[]));
    let asked = Instant::now();
    let mut unended: Vec<Client> = (0..40).map(|_| proxy.caller()).collect();
    unended[39].say(b"PING");
    assert_eq!(proxy.call("PING\n"), "YES\n");
    assert_eq!(proxy.call("  PING \r\n"), "YES\n");
    let long = "PING ".repeat(400) + "\n";
    for wrong in
        ["\n", "ping\n", "PING x\n", "PONG\n", "LAMEDUCK now\n", "\u{e9}\n", "PING\0\n", long.as_str()]
    {
        let answer = proxy.call(wrong);
        assert!(answer.starts_with("NO ") && answer.ends_with('\n'), "{wrong:?}: {answer:?}");
    }
    let mut bytes = proxy.caller();
    bytes.say(b"\xff\xfe PING\n");
    assert!(bytes.line().starts_with("NO "));
    assert!(asked.elapsed() < Duration::from_secs(1), "they wait for those that end no call");
    assert_eq!(
        unended.iter_mut().map(Client::line).collect::<String>(),
        "",
        "each is closed in bounded time"
    );
    assert!(asked.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_drained_proxy_answers_what_comes_and_closes_until_it_rejoins() {
    let discovery = Discovery::start();
    let sound = Backend::answering(|asked| asked.answer(200, "", "ok"));
    let proxy = Proxy::start(&operated(&discovery, &[sound]));
    let (mut used, mut idle, mut fresh) = (proxy.client(), proxy.client(), proxy.client());
    for (turn, client) in [&mut used, &mut idle].into_iter().enumerate() {
        client.ask("read", &format!("before{turn}"), 2_000);
        assert_eq!(client.heard().status(), 200);
    }
    let drained = Instant::now();
    assert_eq!((proxy.call("LAMEDUCK\n"), proxy.call("LAMEDUCK\n")), ("YES\n".into(), "YES\n".into()));
    assert!(proxy.call("PING\n").starts_with("NO "));
    // What was opened before, or comes in spite of it, is served; each answer closes.
    let mut late = proxy.client();
    late.say(READY);
    assert_eq!(late.heard().status(), 503);
    for (turn, client) in [&mut used, &mut fresh].into_iter().enumerate() {
        client.ask("pay", &format!("after{turn}"), 2_000);
        let heard = client.heard();
        assert_eq!((heard.status(), heard.header("connection")), (200, Some("close")));
        assert!(client.hear().is_none());
    }
    assert!(idle.hear().is_none());
    let ended = drained.elapsed();
    assert!(
        ended > Duration::from_secs(1) && ended < Duration::from_secs(2),
        "idle ones end after {ended:?}"
    );
    assert_eq!((proxy.call("REJOIN\n"), proxy.call("REJOIN\n")), ("YES\n".into(), "YES\n".into()));
    assert_eq!(proxy.call("PING\n"), "YES\n");
    let mut client = proxy.client();
    for turn in 0..2 {
        client.say(READY);
        assert_eq!(client.heard().status(), 200, "turn {turn}");
    }
}

#[test]
fn a_second_process_takes_over_and_no_client_is_turned_back() {
    let (discovery, backend) = (Discovery::start(), Backend::start());
    let platform = Platform::new("upgrade");
    let notes = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port");
    let mut told = operated(&discovery, &[backend.address]);
    told["peer_listen"] = json!(notes.to_string());
    let mut old = platform.start(&told);
    let (mut busy, mut kept) = (old.client(), old.client());
    kept.ask("read", "before", 3_000);
    backend.next().answer(200, "", "ok");
    assert_eq!(kept.heard().status(), 200);
    busy.ask("pay", "taken", 3_000);
    let mut taken = backend.next();
    let new = platform.start(&told);
    assert_eq!(new.call("PING\n"), "YES\n");
    old.logged("code=\"processes\" others=1");
    old.terminate();
    old.logged("code=\"stopping\"");
    for turn in 0..20 {
        let mut client = new.client();
        client.ask("pay", &format!("late{turn}"), 3_000);
        backend.next().answer(200, "", "late");
        assert_eq!(client.heard().status(), 200, "turn {turn}");
    }
    kept.ask("read", "kept", 3_000);
    backend.next().answer(200, "", "ok");
    let heard = kept.heard();
    assert_eq!((heard.status(), heard.header("connection")), (200, Some("close")));
    taken.answer(200, "", "taken");
    assert_eq!(busy.heard().body, b"taken");
    assert!(old.ended().success());
    new.logged("code=\"processes\" others=0");
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
    let told = operated(&discovery, &[out.address, stays.address]);
    let old = platform.start(&told);
    let mut watch = discovery.next();
    for wrong in ["DETACH\n", "DETACH nobody\n", "ATTACH nobody\n", "DETACH s-0 s-1\n", "DETACH s-00\n"] {
        assert!(old.call(wrong).starts_with("NO "), "{wrong}");
    }
    assert_eq!((old.call("DETACH s-0\n"), old.call("DETACH s-0\n")), ("YES\n".into(), "YES\n".into()));
    let shun = |proxy: &Proxy, after: &str| {
        for turn in 0..6 {
            let mut client = proxy.client();
            client.ask("read", &format!("{after}{turn}"), 2_000);
            stays.next().answer(200, "", "ok");
            assert_eq!(client.heard().status(), 200);
        }
        assert!(out.is_quiet(), "{after}");
    };
    shun(&old, "out");
    // It leaves the list and comes back started anew: it is out all the same.
    watch.say(&list(42, false, vec![instance("s-0", out.address, "DELETED")]).to_string());
    let mut anew = instance("s-0", out.address, "SERVING");
    anew["startedAtMs"] = json!(1);
    watch.say(&list(43, false, vec![anew]).to_string());
    shun(&old, "listed");
    let new = platform.start(&told);
    shun(&new, "upgraded");
    // A call at one binds the other, whichever it is.
    for (one, other) in [(&old, &new), (&new, &old)] {
        assert_eq!(one.call("ATTACH s-0\n"), "YES\n");
        other.logged("code=\"back_by_hand\"");
        assert_eq!(one.call("DETACH s-0\n"), "YES\n");
        other.logged("code=\"out_by_hand\"");
        shun(other, "told by the other");
    }
    drop(old);
    assert_eq!(new.call("ATTACH s-0\n"), "YES\n", "one that was killed is not waited for");
    let mut client = new.client();
    for turn in 0..20 {
        client.ask("read", &format!("back{turn}"), 2_000);
        let mut asked = first_of(&[&out, &stays]);
        asked.answer(200, "", "ok");
        assert_eq!(client.heard().status(), 200);
        if asked.place() == out.address {
            return;
        }
    }
    panic!("it is used again");
}

#[test]
fn a_damaged_file_of_those_out_by_hand_is_told_and_stops_nobody() {
    let (discovery, platform) = (Discovery::start(), Platform::new("damaged"));
    let told = operated(&discovery, &[nowhere()]);
    std::fs::write(platform.folder.join("crankpick-127.0.0.1:0.out.json"), "[\"s-0\"").expect("writable");
    let mut program = program("");
    program.env("TMPDIR", &platform.folder);
    let (mut child, mut log, _) = launch(&told, program);
    let mut said = String::new();
    while !said.contains("code=\"listening\"") {
        assert!(log.read_line(&mut said).expect("text") > 0, "{said}");
    }
    assert!(said.contains("code=\"out_unsound\""), "{said}");
    let _ = child.kill().and_then(|()| child.wait());
}
