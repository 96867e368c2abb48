//! A loss right after a repair, a replacement or an orderly end: a command is still taken in time, and nothing that was
//! acknowledged is gone.

mod simulation;

use std::time::Duration;

use crankpick_control::View;
use simulation::operators::Wake;
use simulation::schedule::Fault;
use simulation::{ms, run, Core, World};

/// A caller has its answer after so long at the latest.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_millis(4000);

const THREE: Core = Core { machines: 3, losses: 1 };
const FIVE: Core = Core { machines: 5, losses: 2 };
const EIGHT: Core = Core { machines: 8, losses: 2 };
const CORES: [Core; 4] = [THREE, Core { machines: 4, losses: 1 }, FIVE, EIGHT];

fn calm(seed: u64, core: Core) -> World {
    let mut world = core.starting(seed);
    world.operators.interval = ms(500);
    world.wake_operator_at(world.now + ms(2500), Wake::New);
    run(&mut world, 6000);
    world
}

/// The machines that vote.
fn voters(world: &World) -> Vec<usize> {
    world.newest_view().members.iter().filter_map(|member| world.place_of(member.id)).collect()
}

fn votes(view: &View, world: &World, place: usize) -> bool {
    view.members.iter().any(|member| member.address == world.nodes[place].address)
}

/// Asserts that a command sent now is taken in time.
fn takes_an_order(world: &mut World, what: &str) {
    let begun = world.now;
    let known = world.checks.newest_acknowledged();
    while world.now < begun + ACKNOWLEDGED_WITHIN {
        run(world, 20);
        if world.checks.newest_acknowledged() > known {
            assert!(world.checks.breaches.is_empty(), "{what}: {:#?}", world.checks.breaches);
            return;
        }
    }
    panic!("{what}: no command was taken\n{}", world.describe());
}

/// Loses as many voters as the core bears, at one moment.
fn lose(world: &mut World, core: Core, wiped: bool) {
    let mut voters = voters(world);
    world.random.shuffle(&mut voters);
    for place in voters.into_iter().take(core.losses) {
        if wiped {
            world.wipe(place);
        } else {
            world.kill(place);
        }
    }
}

/// How long after a first trouble the further losses come.
const LATER: [u64; 4] = [6_000, 9_000, 15_000, 30_000];

/// Brings a first trouble about, and further losses some time after it.
fn first_then_losses(what: &str, first: impl Fn(&mut World, usize)) {
    for core in CORES {
        for seed in 0..12 {
            let mut world = calm(seed, core);
            let voters = voters(&world);
            assert_eq!(voters.len(), core.voters(), "{}", world.describe());
            first(&mut world, voters[seed as usize % voters.len()]);
            run(&mut world, LATER[seed as usize % LATER.len()]);
            lose(&mut world, core, seed % 2 == 0);
            takes_an_order(&mut world, &format!("{what}, {core:?}, seed {seed}"));
        }
    }
}

#[test]
fn after_a_planned_replacement_the_next_losses_are_borne() {
    first_then_losses("planned replacement", |world, place| {
        world.apply(Fault::ReplaceInOrder { place, after: ms(1000) });
    });
}

#[test]
fn after_a_replacement_the_next_losses_are_borne() {
    first_then_losses("replacement", |world, place| world.apply(Fault::Replace(place)));
}

#[test]
fn after_a_wipe_the_next_losses_are_borne() {
    first_then_losses("wipe", |world, place| {
        world.wipe(place);
        world.fault_at(world.now + ms(500), Fault::Start(place));
    });
}

#[test]
fn after_a_restart_the_next_losses_are_borne() {
    first_then_losses("restart", |world, place| world.apply(Fault::Shutdown { place, returns: true }));
}

#[test]
fn after_a_roll_through_all_the_next_losses_are_borne() {
    for core in CORES {
        for seed in 0..4 {
            let mut world = calm(seed, core);
            for place in 0..core.machines {
                let at = world.now + ms(2500 * place as u64);
                world.fault_at(at, Fault::Shutdown { place, returns: true });
            }
            run(&mut world, 2500 * core.machines as u64 + 6000);
            lose(&mut world, core, seed % 2 == 0);
            takes_an_order(&mut world, &format!("roll, {core:?}, seed {seed}"));
        }
    }
}

/// Where machines stand by, a loss for good is made up for within seconds, so that the same again is borne.
#[test]
fn losses_for_good_are_made_up_for_by_those_that_stand_by() {
    for seed in 0..12 {
        let mut world = calm(seed, EIGHT);
        lose(&mut world, EIGHT, true);
        run(&mut world, 6000);
        assert_eq!(voters(&world).len(), 5, "{}", world.describe());
        lose(&mut world, EIGHT, true);
        takes_an_order(&mut world, &format!("seed {seed}"));
    }
}

#[test]
fn two_replaced_at_once_and_two_more_lost() {
    for core in [FIVE, EIGHT] {
        for seed in 0..12 {
            let mut world = calm(seed, core);
            let voters = voters(&world);
            world.apply(Fault::ReplaceInOrder { place: voters[0], after: ms(700) });
            world.apply(Fault::ReplaceInOrder { place: voters[1], after: ms(900) });
            run(&mut world, 8000);
            lose(&mut world, core, seed % 2 == 0);
            takes_an_order(&mut world, &format!("{core:?}, seed {seed}"));
        }
    }
}

/// One that was replaced and starts again with its old disk votes only once it is let in anew.
#[test]
fn one_that_was_replaced_comes_back_without_a_vote() {
    for seed in 0..12 {
        let mut world = calm(seed, THREE);
        let place = voters(&world)[seed as usize % 3];
        let seeds = world.nodes[place].seeds.clone();
        let new = world.add_node(seeds, false, true);
        world.start(new);
        run(&mut world, 1500);
        world.kill(place);
        run(&mut world, 4500);
        let view = world.newest_view();
        assert!(votes(&view, &world, new) && !votes(&view, &world, place), "{}", world.describe());
        world.start(place);
        run(&mut world, 4000);
        let after = world.newest_view();
        assert_eq!(after.members, view.members, "{}", world.describe());
        assert!(world.is_fresh(place), "{}", world.describe());
        lose(&mut world, THREE, seed % 2 == 0);
        takes_an_order(&mut world, &format!("seed {seed}"));
    }
}

/// A process that leaves doesn't end before the others go on without it; where one stands by, without its vote.
#[test]
fn a_process_that_leaves_hands_over_first() {
    for core in CORES {
        for seed in 0..8 {
            let mut world = calm(seed, core);
            let place = voters(&world)[seed as usize % 3];
            let begun = world.now;
            world.input(place, crankpick_control::Input::Shutdown);
            let left = |world: &World| world.nodes[place].replica.as_ref().is_some_and(|it| it.has_left());
            assert!(!left(&world), "{}", world.describe());
            while !left(&world) && world.now < begun + ms(3000) {
                run(&mut world, 10);
            }
            assert!(world.now < begun + ms(600), "{core:?}, seed {seed}: {}", world.describe());
            let view = world.newest_view();
            assert_eq!(view.chain.iter().filter_map(|id| world.place_of(*id)).find(|it| *it == place), None);
            let spare = core.machines > core.voters();
            assert_eq!(votes(&view, &world, place), !spare, "{core:?}: {}", world.describe());
        }
    }
}

/// Of three, one has lost its disk and hasn't been let in yet, when another one is told to leave for good: it stays until
/// the state is on two disks without it, and nothing is lost.
#[test]
fn the_last_but_one_copy_doesnt_leave() {
    for seed in 0..24 {
        let mut world = calm(seed, THREE);
        let (wiped, leaving) = (seed as usize % 3, (seed as usize + 1) % 3);
        world.wipe(wiped);
        world.fault_at(world.now + ms(300 + 20 * seed), Fault::Start(wiped));
        run(&mut world, 100 + 25 * seed);
        world.apply(Fault::Shutdown { place: leaving, returns: false });
        run(&mut world, 6000);
        takes_an_order(&mut world, &format!("seed {seed}"));
    }
}

/// A newcomer dies while the state is installed on it: the others go on, and it or the next one is let in later.
#[test]
fn a_newcomer_that_dies_half_installed_stops_nobody() {
    for seed in 0..24 {
        let mut world = calm(seed, THREE);
        let place = voters(&world)[seed as usize % 3];
        let seeds = world.nodes[place].seeds.clone();
        let new = world.add_node(seeds, false, true);
        world.start(new);
        run(&mut world, 1200);
        world.input(place, crankpick_control::Input::Shutdown);
        run(&mut world, 2 + seed * 2);
        world.freeze(new);
        takes_an_order(&mut world, &format!("frozen, seed {seed}"));
        world.wipe(new);
        run(&mut world, 300);
        world.start(new);
        run(&mut world, 3500);
        world.kill(place);
        takes_an_order(&mut world, &format!("back, seed {seed}"));
    }
}
