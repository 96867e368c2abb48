//! A machine that is gone for good: commands wait for it until an operator says so, and never for a clock alone.

mod simulation;

use crankpick_control::{CommandId, Departure, Input, Outcome};
use simulation::{address, command, run, submit, Core, World};

/// A core that is to bear one loss and consists of one machine, which has heard of a second one that is gone.
fn alone_after_hearing_of_another(seed: u64) -> World {
    let mut world = World::new(seed, 1, 1);
    world.start(0);
    run(&mut world, 3_000);
    // It says who it is, and is gone before it has a vote.
    world.start(1);
    let heard = |world: &World| world.checks.messages_of(1) >= 2;
    while !heard(&world) {
        run(&mut world, 1);
    }
    world.wipe(1);
    world.nodes[1].removed = true;
    run(&mut world, 12_000);
    assert_eq!(world.newest_view().members.len(), 1, "{}", world.describe());
    world
}

fn declare(world: &mut World, place: usize, key: u64, machine: usize) -> Option<Departure> {
    world.input(place, Input::MachineGone { key: CommandId(key), address: address(machine) });
    run(world, 50);
    world.departures.iter().find(|(answered, _)| answered.0 == key).map(|(_, departure)| *departure)
}

fn ask(world: &mut World, place: usize, key: u64, if_match: u64) -> Option<Outcome> {
    submit(world, place, key, command(if_match, if_match + 1, 0));
    run(world, 50);
    world.heard.iter().find(|(heard, _)| heard.0 == key).map(|(_, outcome)| *outcome)
}

#[test]
fn commands_wait_for_a_silent_machine_until_an_operator_says_that_it_is_gone() {
    let mut world = alone_after_hearing_of_another(21);
    run(&mut world, 60_000);
    assert_eq!(ask(&mut world, 0, 1, 0), Some(Outcome::Unknown), "silence alone proves nothing");
    assert_eq!(declare(&mut world, 0, 2, 1), Some(Departure::Recorded));
    assert_eq!(ask(&mut world, 0, 3, 0), Some(Outcome::Committed));
    assert_eq!(declare(&mut world, 0, 4, 1), Some(Departure::Recorded), "again, which changes nothing");
}

#[test]
fn the_word_outlasts_a_loss_of_power_and_rewrites_of_the_file() {
    let mut world = alone_after_hearing_of_another(22);
    assert_eq!(declare(&mut world, 0, 2, 1), Some(Departure::Recorded));
    for key in 10..200 {
        // Enough inputs for several rewrites.
        ask(&mut world, 0, key, key - 10);
    }
    for _ in 0..3 {
        world.kill_without_power(0);
        run(&mut world, 100);
        world.start(0);
        run(&mut world, 6_000);
        let replica = world.nodes[0].replica.as_ref().expect("up");
        let known = replica.newest_committed().expect("kept").command.generation;
        let key = 1_000 + world.now.as_millis() as u64;
        assert_eq!(ask(&mut world, 0, key, known), Some(Outcome::Committed));
    }
}

#[test]
fn a_machine_that_announces_itself_again_counts_again() {
    let mut world = alone_after_hearing_of_another(23);
    assert_eq!(declare(&mut world, 0, 2, 1), Some(Departure::Recorded));
    assert_eq!(ask(&mut world, 0, 3, 0), Some(Outcome::Committed));
    world.nodes[1].removed = false;
    world.start(1);
    run(&mut world, 8_000);
    assert_eq!(world.newest_view().chain.len(), 2, "{}", world.describe());
    assert_eq!(ask(&mut world, 0, 4, 1), Some(Outcome::Committed));
    assert_eq!(declare(&mut world, 0, 5, 1), Some(Departure::StillHere), "it votes now");
}

#[test]
fn who_votes_or_is_heard_or_was_never_known_cant_be_declared_gone() {
    let mut world = Core { machines: 4, losses: 1 }.starting(24);
    run(&mut world, 6_000);
    let head = world.newest_view().head().and_then(|id| world.place_of(id)).expect("a head");
    for machine in 0..4 {
        let answer = declare(&mut world, head, 100 + machine as u64, machine);
        assert_eq!(answer, Some(Departure::StillHere), "machine {machine}");
    }
    assert_eq!(declare(&mut world, head, 200, 77), Some(Departure::UnknownMachine));
    // A voter that is silent keeps its vote: it may hold what nobody else does.
    let view = world.newest_view();
    let voter = view.tail().and_then(|id| world.place_of(id)).expect("a tail");
    world.freeze(voter);
    run(&mut world, 1_500);
    assert_eq!(declare(&mut world, head, 300, voter), Some(Departure::StillHere));
    assert!(world.checks.breaches.is_empty(), "{:#?}", world.checks.breaches);
}
