//! Two operators send different commands under one number at different members, while the head dies, is wiped, cut off or
//! leaves: one of them is confirmed at the most, and the confirmed one is confirmed again whenever it is sent again.

mod simulation;

use std::sync::Arc;

use crankpick_control::{Command, CommandId, Input, Outcome};
use simulation::schedule::Fault;
use simulation::{command, is_refusal, ms, run, Core, World};

fn settled(seed: u64, machines: usize) -> World {
    let mut world = Core { machines, losses: 1 }.starting(seed);
    run(&mut world, 5000);
    world
}

/// Submits a command; the key under which its answer is heard.
fn send(world: &mut World, place: usize, command: &Arc<Command>) -> CommandId {
    let key = CommandId(world.random.u64(1_000_000_000..u64::MAX));
    world.input(place, Input::Submit { key, command: command.clone() });
    key
}

fn answer(world: &World, key: CommandId) -> Option<Outcome> {
    world.heard.iter().find(|(heard, _)| *heard == key).map(|(_, outcome)| *outcome)
}

/// What a caller gets who sends a command to one member after another until there is a clear answer.
fn insist(world: &mut World, command: &Arc<Command>) -> Option<Outcome> {
    for place in (0..world.nodes.len()).cycle().take(24) {
        if world.nodes[place].replica.is_none() {
            continue;
        }
        let key = send(world, place, command);
        run(world, 1_000);
        if let Some(outcome) = answer(world, key).filter(|outcome| *outcome != Outcome::Unknown) {
            return Some(outcome);
        }
    }
    None
}

/// What befalls the head while both are on their way.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Nothing,
    Killed,
    Wiped,
    CutOff,
    Leaves,
    AllKilled,
}

fn befall(world: &mut World, trouble: Trouble, head: usize, after: u64) {
    let at = world.now + ms(after);
    let others = (0..world.nodes.len()).filter(|place| *place != head);
    match trouble {
        Trouble::Nothing => {}
        Trouble::Killed => {
            world.fault_at(at, Fault::Kill(head));
            world.fault_at(at + ms(2500), Fault::Start(head));
        }
        Trouble::Wiped => {
            world.fault_at(at, Fault::Wipe(head));
            world.fault_at(at + ms(800), Fault::Start(head));
        }
        Trouble::CutOff => {
            let pairs = others.flat_map(|other| [(head, other), (other, head)]).collect();
            world.fault_at(at, Fault::Cut(pairs));
            world.fault_at(at + ms(6000), Fault::Heal);
        }
        Trouble::Leaves => world.fault_at(at, Fault::Shutdown { place: head, returns: true }),
        Trouble::AllKilled => {
            world.fault_at(at, Fault::KillAll);
            world.fault_at(at + ms(300), Fault::StartAll);
        }
    }
}

fn one_run(seed: u64, machines: usize, trouble: Trouble, after: u64) {
    let what = format!("{machines} machines, {trouble:?} after {after} ms, seed {seed}");
    let mut world = settled(seed, machines);
    let first = command(0, 3, 1);
    assert_eq!(insist(&mut world, &first), Some(Outcome::Committed), "{what}");
    let head = world.newest_view().head().and_then(|id| world.place_of(id)).expect("a head");
    let (one, other) = (command(3, 7, 10), command(3, 7, 11));
    befall(&mut world, trouble, head, after);
    let sent = [
        (send(&mut world, head, &one), 0),
        (send(&mut world, head, &one), 0),
        (send(&mut world, (head + 1) % 3, &other), 1),
        (send(&mut world, (head + 2) % 3, &one), 0),
        (send(&mut world, (head + 2) % 3, &other), 1),
    ];
    run(&mut world, 7_000);
    let outcomes = [insist(&mut world, &one), insist(&mut world, &other)];
    let taken: Vec<usize> = (0..2).filter(|rival| outcomes[*rival] == Some(Outcome::Committed)).collect();
    assert_eq!(taken.len(), 1, "{what}: {outcomes:?} {}", world.describe());
    assert!(outcomes[1 - taken[0]].is_some_and(is_refusal), "{what}: {outcomes:?}");
    for (key, rival) in sent {
        let outcome = answer(&world, key);
        let confirmed = outcome == Some(Outcome::Committed);
        let refused = outcome.is_some_and(is_refusal);
        assert!(!(confirmed && rival != taken[0]), "{what}: both were confirmed");
        assert!(!(refused && rival == taken[0]), "{what}: the one that was taken was refused");
    }
    let winner = [one, other][taken[0]].clone();
    assert_eq!(insist(&mut world, &command(7, 9, 1)), Some(Outcome::Committed), "{what}");
    world.apply(Fault::KillAll);
    run(&mut world, 200);
    world.apply(Fault::StartAll);
    run(&mut world, 3_000);
    for again in [&winner, &first] {
        assert_eq!(
            insist(&mut world, again),
            Some(Outcome::Committed),
            "{what}: sent again after a newer one"
        );
    }
    assert!(world.checks.breaches.is_empty(), "{what}: {:#?}", world.checks.breaches);
}

#[test]
fn one_of_two_rivals_is_confirmed_whatever_befalls_the_head() {
    let troubles = [
        Trouble::Nothing,
        Trouble::Killed,
        Trouble::Wiped,
        Trouble::CutOff,
        Trouble::Leaves,
        Trouble::AllKilled,
    ];
    for trouble in troubles {
        for machines in [3, 4, 5] {
            for after in [0, 1, 2, 3, 4, 6, 8, 12, 20, 60] {
                one_run(after * 7 + machines as u64, machines, trouble, after);
            }
        }
    }
}

#[test]
fn an_inquiry_finds_the_order_that_was_taken_and_never_takes_one() {
    let mut world = settled(11, 3);
    let first = command(0, 3, 1);
    let inquiry = |command: &Arc<Command>| {
        Arc::new(Command::inquiry(command.if_match, command.generation, command.digest))
    };
    let key = send(&mut world, 0, &inquiry(&first));
    run(&mut world, 4_000);
    assert_eq!(answer(&world, key), Some(Outcome::Unknown), "it may yet be taken");
    assert_eq!(insist(&mut world, &first), Some(Outcome::Committed));
    assert_eq!(insist(&mut world, &inquiry(&first)), Some(Outcome::Committed));
    let rival = command(0, 3, 2);
    assert_eq!(insist(&mut world, &inquiry(&rival)), Some(Outcome::Conflict { current: 3 }));
    let next = command(3, 5, 3);
    let key = send(&mut world, 1, &inquiry(&next));
    run(&mut world, 4_000);
    assert_eq!(answer(&world, key), Some(Outcome::Unknown));
    assert_eq!(insist(&mut world, &next), Some(Outcome::Committed));
}
