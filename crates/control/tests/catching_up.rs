//! A member that was away while hundreds of changes were made, large ones too, over slow links and slow disks: how long
//! until it has caught up, how much is sent for that, and that it neither heads nor counts as fresh before.

mod simulation;

use std::sync::Arc;
use std::time::Duration;

use crankpick_control::{Command, CommandId, Input, Outcome};
use simulation::schedule::Fault;
use simulation::{ms, run, Core, DiskMode, Network, World};

/// 10 Mbit/s.
const SLOW_LINK: u64 = 1_250;
const LARGE: usize = 500_000;

/// Machines that have settled: three voters, the others standing by.
fn settled(seed: u64, machines: usize) -> World {
    let mut world = Core { machines, losses: 1 }.starting(seed);
    run(&mut world, 4000);
    world
}

fn generation(world: &World, place: usize) -> u64 {
    let replica = world.nodes[place].replica.as_ref();
    replica.and_then(|replica| replica.newest_committed()).map_or(0, |entry| entry.command.generation)
}

/// A command with a document of that size.
fn command(base: u64, size: usize) -> Arc<Command> {
    let mut bytes = vec![b' '; size];
    let text = format!("{}", base + 1);
    let length = text.len().min(size);
    bytes[..length].copy_from_slice(&text.as_bytes()[..length]);
    Arc::new(Command::new(base, base + 1, bytes))
}

/// Has changes of that size taken one after another, by a machine that is up, with a pause after each.
fn change(world: &mut World, place: usize, count: usize, size: usize, pause: u64) {
    for _ in 0..count {
        let newest = (0..world.nodes.len()).map(|place| generation(world, place)).max();
        take(world, place, &command(newest.unwrap_or(0), size));
        run(world, pause);
    }
}

fn take(world: &mut World, place: usize, command: &Arc<Command>) {
    let latest = world.now + ms(20_000);
    while world.now < latest {
        let key = CommandId(world.heard.len() as u64 + 5_000_000);
        world.input(place, Input::Submit { key, command: command.clone() });
        let answer = |world: &World| world.heard.iter().rev().find(|(heard, _)| *heard == key).copied();
        while answer(world).is_none() && world.now < latest {
            run(world, 2);
        }
        if answer(world).is_some_and(|(_, outcome)| outcome == Outcome::Committed) {
            return;
        }
    }
    panic!("not taken: {}", world.describe());
}

/// Whether a machine holds the whole state: all of its changes, and the newest in full.
fn has_caught_up(world: &World, place: usize, newest: u64) -> bool {
    let Some(replica) = &world.nodes[place].replica else { return false };
    let held = replica.snapshot_records().into_iter().any(|record| match record.body {
        crankpick_control::RecordBody::Snapshot(snapshot) => {
            snapshot.headers.last().is_some_and(|change| change.generation >= newest)
                && snapshot.entries.last().is_some_and(|entry| entry.command.generation >= newest)
        }
        _ => false,
    });
    held && world.is_fresh(place)
}

/// How long a machine that starts now takes, and what it is sent meanwhile. It doesn't head before.
fn time_to_catch_up(world: &mut World, place: usize, newest: u64) -> (Duration, u64) {
    let received = |world: &World| world.links.get(&(place, true)).map_or(0, |link| link.bytes);
    let (begun, before) = (world.now, received(world));
    world.start(place);
    let id = world.nodes[place].replica.as_ref().expect("up").id();
    while !has_caught_up(world, place, newest) {
        run(world, 10);
        let fresh = world.is_fresh(place) && generation(world, place) >= newest;
        let heads = world.newest_view().head() == Some(id);
        assert!(!heads || fresh, "heads with an old state: {}", world.describe());
        assert!(world.now < begun + ms(30_000), "never caught up: {}", world.describe());
    }
    assert!(world.checks.breaches.is_empty(), "{:#?}", world.checks.breaches);
    (world.now - begun, received(world) - before)
}

/// One of four is away while changes are made; with its disk, or without. The chain goes on without it.
fn away(seed: u64, changes: usize, size: usize, bytes_per_ms: u64, wiped: bool) -> (Duration, u64) {
    let mut world = settled(seed, 4);
    change(&mut world, 1, 3, size, 20);
    let place = [0, 3][seed as usize % 2];
    if wiped {
        world.wipe(place);
    } else {
        world.kill(place);
    }
    change(&mut world, 1, changes, size, 0);
    run(&mut world, 3000);
    world.network = Network { bytes_per_ms, ..Network::CALM };
    let newest = generation(&world, 1);
    time_to_catch_up(&mut world, place, newest)
}

#[test]
fn the_time_hangs_little_on_how_many_changes_were_missed() {
    for wiped in [false, true] {
        for changes in [10, 100, 1_000, 4_000, 6_000] {
            for seed in 0..2 {
                let (time, bytes) = away(seed, changes, 2_000, SLOW_LINK, wiped);
                println!("{changes} changes of 2 KB missed, wiped {wiped}: {time:?}, {bytes} bytes");
                assert!(time < ms(3_000), "{changes} changes: {time:?}");
                assert!(bytes < 1_200_000, "{changes} changes: {bytes} bytes");
            }
        }
    }
}

#[test]
fn the_time_grows_with_the_size_of_the_newest_version_alone() {
    for wiped in [false, true] {
        for size in [1_000, 50_000, LARGE, 4_000_000] {
            for seed in 0..2 {
                let (time, bytes) = away(seed, 20, size, SLOW_LINK, wiped);
                println!("20 changes of {size} bytes missed, wiped {wiped}: {time:?}, {bytes} bytes");
                let transfers = size as u64 / SLOW_LINK;
                assert!(time < ms(2_500 + 4 * transfers), "{size} bytes: {time:?}");
                assert!(bytes < 600_000 + 4 * size as u64, "{size} bytes: {bytes} bytes sent");
            }
        }
    }
}

/// Sixteen changes a second go on while a wiped machine comes back: the transfer is overtaken again and again.
#[test]
fn a_transfer_that_is_overtaken_ends() {
    for (size, bytes_per_ms, slowest) in [(2_000, SLOW_LINK, 4_000), (LARGE, 10 * SLOW_LINK, 8_000)] {
        for seed in 0..4 {
            let mut world = settled(seed, 4);
            world.network = Network { bytes_per_ms, ..Network::CALM };
            change(&mut world, 1, 50, size, 0);
            let place = [0, 2, 3][seed as usize % 3];
            world.wipe(place);
            change(&mut world, 1, 20, size, 10);
            let begun = world.now;
            world.start(place);
            let mut caught_up = None;
            while caught_up.is_none() && world.now < begun + ms(slowest) {
                let newest = generation(&world, 1);
                change(&mut world, 1, 1, size, 20);
                caught_up = has_caught_up(&world, place, newest).then_some(world.now - begun);
            }
            println!("{size} bytes, seed {seed}: {caught_up:?}");
            assert!(caught_up.is_some(), "{size} bytes, seed {seed}: {}", world.describe());
            assert!(world.checks.breaches.is_empty(), "{:#?}", world.checks.breaches);
        }
    }
}

/// The voter that is replaced after a restart of hundreds of changes ago isn't let in before it has caught up, and then it
/// bears a loss of the others.
#[test]
fn one_that_has_caught_up_bears_the_next_loss() {
    for seed in 0..12 {
        let mut world = settled(seed, 3);
        change(&mut world, 1, 50, 2_000, 0);
        let place = [0, 2][seed as usize % 2];
        if seed % 3 == 0 {
            world.wipe(place);
        } else {
            world.kill(place);
        }
        change(&mut world, 1, 300, 2_000, 0);
        world.network = Network { bytes_per_ms: SLOW_LINK, ..Network::CALM };
        if seed % 2 == 0 {
            world.set_disk(place, DiskMode::Slow(ms(60)));
        }
        world.start(place);
        run(&mut world, 4_000);
        world.set_disk(place, DiskMode::Well);
        world.kill(2 - place);
        let newest = generation(&world, 1);
        let begun = world.now;
        take(&mut world, 1, &command(newest, 2_000));
        assert!(world.now < begun + ms(4_000), "seed {seed}: {}", world.describe());
        assert!(world.checks.breaches.is_empty(), "{:#?}", world.checks.breaches);
    }
}

/// Large changes over links of 10 Mbit/s don't make members suspect one another for good: each is taken.
#[test]
fn large_changes_over_slow_links_are_taken() {
    for seed in 0..3 {
        let mut world = settled(seed, 4);
        world.network = Network { bytes_per_ms: SLOW_LINK, ..Network::CALM };
        let mut slowest = Duration::ZERO;
        for _ in 0..20 {
            let begun = world.now;
            change(&mut world, 1, 1, LARGE, 0);
            slowest = slowest.max(world.now - begun);
        }
        println!("seed {seed}: 20 changes of {LARGE} bytes, the slowest in {slowest:?}");
        assert!(slowest < ms(4_000), "{slowest:?}");
        run(&mut world, 4_000);
        assert!((0..4).all(|place| generation(&world, place) == 20), "{}", world.describe());
        assert!(world.checks.breaches.is_empty(), "{:#?}", world.checks.breaches);
    }
}

/// All processes die after hundreds of changes; whoever starts first, nothing older than what was acknowledged is served.
#[test]
fn a_member_with_an_old_state_doesnt_lead_after_all_restart() {
    for seed in 0..12 {
        let mut world = settled(seed, 3);
        change(&mut world, 1, 30, 500, 0);
        let old = [0, 2][seed as usize % 2];
        world.kill(old);
        change(&mut world, 1, 300, 500, 0);
        let newest = generation(&world, 1);
        world.apply(Fault::KillAll);
        run(&mut world, 200);
        world.start(old);
        run(&mut world, 50 * seed);
        assert!(!world.is_fresh(old) || generation(&world, old) >= newest);
        world.apply(Fault::StartAll);
        run(&mut world, 4_000);
        assert!((0..3).all(|place| world.is_fresh(place) && generation(&world, place) == newest));
        change(&mut world, 1, 1, 500, 0);
        assert!(world.checks.breaches.is_empty(), "{:#?}", world.checks.breaches);
    }
}

/// Beyond what is remembered nothing is known: such a command may have been taken, so it isn't refused.
#[test]
fn an_order_older_than_what_is_remembered_is_never_refused() {
    let mut world = settled(1, 3);
    let ask = |world: &mut World, command: Arc<Command>| {
        let key = CommandId(world.heard.len() as u64 + 9_000_000);
        world.input(1, Input::Submit { key, command });
        run(world, 300);
        world.heard.iter().find(|(heard, _)| *heard == key).map(|(_, outcome)| *outcome)
    };
    change(&mut world, 1, 4_500, 60, 0);
    assert_eq!(ask(&mut world, command(10, 60)), Some(Outcome::Unknown), "taken long ago");
    assert_eq!(ask(&mut world, command(4_000, 60)), Some(Outcome::Committed), "remembered");
    assert_eq!(ask(&mut world, command(4_000, 61)), Some(Outcome::Conflict { current: 4_500 }), "a rival");
    assert!(world.checks.breaches.is_empty(), "{:#?}", world.checks.breaches);
}

/// A large state goes to a newcomer while the chain goes on: a command sent meanwhile doesn't wait for it.
#[test]
fn the_chain_doesnt_wait_for_a_newcomers_transfer() {
    for seed in 0..24 {
        let mut world = settled(seed, 3);
        change(&mut world, 1, 1, 2_000_000, 0);
        let place = [0, 2][seed as usize % 2];
        world.wipe(place);
        run(&mut world, 2_000);
        world.network = Network { bytes_per_ms: SLOW_LINK, ..Network::CALM };
        world.start(place);
        run(&mut world, 100 + 100 * seed);
        let begun = world.now;
        change(&mut world, 1, 1, 100, 0);
        assert!(world.now < begun + ms(600), "seed {seed}: {:?}", world.now - begun);
    }
}
