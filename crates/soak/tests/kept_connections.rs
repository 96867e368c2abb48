//! When a gateway may end a client's kept connection, on real processes: never so that a request which its client may
//! send at that moment is cut.

mod support;

use std::time::Duration;

use crankpick_soak::wire::{Rest, Wire};
use support::Machine;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Asks on a kept connection and tells how it ended.
async fn asked(machine: &mut Machine, wire: &mut Wire) -> Result<u16, String> {
    let answer = machine.ask(wire).await.map_err(|wrong| wrong.to_string())?;
    Ok(answer.head.status().unwrap_or_default())
}

/// A connection that rests while the limit grows may rest for as long as the larger limit says.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_larger_idle_timeout_holds_for_connections_that_rest_already() {
    const SMALL: Duration = Duration::from_secs(3);
    const LARGE: Duration = Duration::from_secs(60);
    let mut machine = Machine::start("larger", SMALL).await;
    let mut wire = machine.connect().await.expect("it listens");
    let opened = Instant::now();
    assert_eq!(asked(&mut machine, &mut wire).await, Ok(200));
    sleep_until(opened + SMALL * 2 / 3).await;
    assert_eq!(asked(&mut machine, &mut wire).await, Ok(200));
    let rested = Instant::now();
    // Older than the small limit: its gateway has looked at it within this rest.
    sleep_until(opened + SMALL * 4 / 3).await;
    machine.configure(LARGE).await;
    // On a machine so slow that the limit came too late, the smaller one rightly ended the connection.
    let in_time = rested.elapsed() < SMALL;
    let ended = timeout(SMALL * 2, wire.disturbed()).await;
    if in_time {
        assert!(ended.is_err(), "{ended:?} after {:?} of rest", rested.elapsed());
        assert_eq!(asked(&mut machine, &mut wire).await, Ok(200));
    }
    machine.close().await;
}

/// A gateway that stood still over the end of idle timeouts serves what came meanwhile; unless it says that it ends a
/// connection, the next request there is as good as any.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_came_while_their_gateway_stood_still_leave_usable_connections() {
    const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
    const ROUNDS: usize = 3;
    let mut machine = Machine::start("stood-still", IDLE_TIMEOUT).await;
    for round in 0..ROUNDS {
        let after = standing_still(&mut machine, IDLE_TIMEOUT).await;
        let ended: Vec<&Option<Duration>> = after.iter().filter(|after| after.is_some()).collect();
        assert!(ended.is_empty(), "round {round}: ended with no word of it, after a rest of {ended:?}");
    }
    machine.close().await;
}

/// Sends requests on kept connections while their gateway stands still. For each connection that was not said to end:
/// the rest after which it ended, if it did soon.
async fn standing_still(machine: &mut Machine, idle_timeout: Duration) -> Vec<Option<Duration>> {
    const CONNECTIONS: usize = 20;
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut wire = machine.connect().await.expect("it listens");
        assert_eq!(asked(machine, &mut wire).await, Ok(200));
        connections.push(wire);
    }
    machine.gate().pause();
    for wire in &mut connections {
        let request = machine.request();
        wire.write(&request.bytes()).await.expect("open");
    }
    sleep(idle_timeout * 2).await;
    machine.gate().resume();
    let mut asking = JoinSet::new();
    for mut wire in connections {
        asking.spawn(async move {
            wire.read_answer().await.ok().filter(|answer| !answer.head.closes())?;
            let rested = Instant::now();
            let ended = timeout(idle_timeout / 2, wire.disturbed()).await;
            Some(ended.ok().map(|_| rested.elapsed()))
        });
    }
    let mut kept = Vec::new();
    while let Some(asked) = asking.join_next().await {
        kept.extend(asked.expect("it asks"));
    }
    kept
}

/// As long as a gateway that was told to end takes connections, it answers their first requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_a_leaving_gateway_still_takes_gets_its_first_answer() {
    /// From well before resting connections are ended until long after the last one is taken.
    const OPENED: std::ops::Range<u64> = 2_000..3_600;
    const EACH_MS: usize = 10;
    /// A client's request comes so long after its connection.
    const FIRST_REQUEST: Duration = Duration::from_millis(30);
    let mut machine = Machine::start("leaving", Duration::from_secs(15)).await;
    machine.gate().terminate();
    let told = Instant::now();
    let mut asking = JoinSet::new();
    let mut opened = 0;
    for after in OPENED.step_by(EACH_MS) {
        sleep_until(told + Duration::from_millis(after)).await;
        let Ok(mut wire) = machine.connect().await else { continue };
        opened += 1;
        let request = machine.request();
        asking.spawn(async move {
            sleep(FIRST_REQUEST).await;
            let rest = wire.at_rest();
            let written = wire.write(&request.bytes()).await;
            let answer = wire.read_answer().await;
            (
                after,
                rest,
                written.is_ok(),
                answer.map(|answer| answer.head.status()).map_err(|wrong| wrong.to_string()),
            )
        });
    }
    assert!(opened > 0, "it takes connections for a while");
    let mut cut = Vec::new();
    while let Some(asked) = asking.join_next().await {
        let asked = asked.expect("it asks");
        if asked.1 != Rest::Open || asked.3.is_err() {
            cut.push(asked);
        }
    }
    cut.sort_by_key(|(after, ..)| *after);
    assert!(cut.is_empty(), "of {opened} connections {} were cut: {cut:?}", cut.len());
    machine.close().await;
}
