//! A member is cut off for twenty seconds, twice, while commands go on at both sides: the others go on in time, it confirms
//! and refuses nothing that isn't committed, doesn't count as fresh, and takes what is newer before it does again.

mod simulation;

use std::time::Duration;

use crankpick_control::{CommandId, Input, Outcome};
use simulation::operators::Wake;
use simulation::schedule::Fault;
use simulation::{command, is_refusal, ms, run, Core, World};

const CUT_FOR: u64 = 20_000;

#[derive(Clone, Copy, Debug)]
enum Way {
    Both,
    Outward,
    Inward,
}

fn calm(seed: u64, machines: usize, losses: usize) -> World {
    let mut world = Core { machines, losses }.starting(seed);
    world.operators.interval = ms(400);
    world.wake_operator_at(world.now + ms(2500), Wake::New);
    run(&mut world, 6000);
    world
}

/// Cuts machines off from all others.
fn cut(world: &mut World, off: &[usize], way: Way) {
    let others: Vec<usize> = (0..world.nodes.len()).filter(|place| !off.contains(place)).collect();
    let mut pairs = Vec::new();
    for place in off {
        for other in &others {
            match way {
                Way::Both => pairs.extend([(*place, *other), (*other, *place)]),
                Way::Outward => pairs.push((*place, *other)),
                Way::Inward => pairs.push((*other, *place)),
            }
        }
    }
    world.apply(Fault::Cut(pairs));
}

/// Waits until a change is taken, and tells how long that took.
fn take(world: &mut World) -> Duration {
    let begun = world.now;
    let known = world.checks.newest_acknowledged();
    while world.checks.newest_acknowledged() == known && world.now < begun + ms(6_000) {
        run(world, 20);
    }
    assert!(world.checks.newest_acknowledged() > known, "nothing taken: {}", world.describe());
    world.now - begun
}

/// What a command gets at a machine within the callers' patience.
fn ask(world: &mut World, place: usize, if_match: u64, generation: u64) -> Option<Outcome> {
    let key = CommandId(world.heard.len() as u64 + 7_000_000);
    world.input(place, Input::Submit { key, command: command(if_match, generation, 999) });
    run(world, 3_200);
    world.heard.iter().find(|(heard, _)| *heard == key).map(|(_, outcome)| *outcome)
}

fn one_run(seed: u64, machines: usize, losses: usize, off: &[usize], way: Way) {
    let mut world = calm(seed, machines, losses);
    for again in 0..2 {
        let what = format!("seed {seed}, {machines} machines, {off:?} cut off {way:?}, time {again}");
        cut(&mut world, off, way);
        let begun = world.now;
        let first = take(&mut world);
        assert!(first < ms(4_000), "{what}: {first:?}");
        run(&mut world, 2_000);
        let known = world.checks.newest_acknowledged();
        for place in off {
            assert!(!world.is_fresh(*place), "{what}: fresh though cut off\n{}", world.describe());
            let outcome = ask(&mut world, *place, known, known + 1);
            let refused = outcome.is_some_and(is_refusal);
            assert!(!refused && outcome != Some(Outcome::Committed), "{what}: {outcome:?}");
        }
        world.run_until(begun + ms(CUT_FOR));
        take(&mut world);
        world.apply(Fault::Heal);
        run(&mut world, 4_000);
        for place in off {
            assert!(world.is_fresh(*place), "{what}: not back\n{}", world.describe());
        }
        assert!(world.checks.breaches.is_empty(), "{what}: {:#?}", world.checks.breaches);
    }
}

#[test]
fn each_member_in_turn() {
    for way in [Way::Both, Way::Outward, Way::Inward] {
        for (machines, losses) in [(3, 1), (4, 1), (5, 2), (8, 2)] {
            for place in 0..machines {
                one_run(place as u64, machines, losses, &[place], way);
            }
        }
    }
}

#[test]
fn two_of_a_zone_together() {
    for way in [Way::Both, Way::Outward, Way::Inward] {
        for first in 0..4 {
            one_run(40 + first as u64, 8, 2, &[first, first + 4], way);
        }
    }
}

/// A majority that is cut in two confirms nothing on either side.
#[test]
fn without_a_majority_nobody_confirms() {
    for seed in 0..8 {
        let mut world = calm(seed, 3, 1);
        for place in 0..3 {
            cut(&mut world, &[place], Way::Both);
        }
        run(&mut world, 1_500);
        let known = world.checks.newest_acknowledged();
        world.operators.interval = ms(100);
        run(&mut world, 20_000);
        assert_eq!(world.checks.newest_acknowledged(), known, "seed {seed}: {}", world.describe());
        assert!((0..3).all(|place| !world.is_fresh(place)));
        world.apply(Fault::Heal);
        run(&mut world, 500);
        take(&mut world);
        assert!(world.checks.breaches.is_empty(), "seed {seed}: {:#?}", world.checks.breaches);
    }
}
