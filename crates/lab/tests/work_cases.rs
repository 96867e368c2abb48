//! Each hard case of machines out for work as a script in virtual time: whole nodes, the faults one by one.

use std::collections::BTreeMap;

use crankpick_fleet::work::{Bounds, Machine, MachineKind, Order, Plan, Say, SendPolicy, Stage};
use crankpick_lab::world::{Plans, Setup, World};

const LEASE: u64 = 1_000_000;
const LONG: u64 = 90 * LEASE;
const WAITS: SendPolicy = SendPolicy { drains: false, waits: true, longest_us: 1_500_000 };
const DRAINS: SendPolicy = SendPolicy { drains: true, ..WAITS };

fn world(seed: u64, plans: Plans) -> World {
    let plans = Plans { operators: false, ..plans };
    let mut world = World::new(seed, Setup { plans: Some(plans), faulty_us: 0, ..Setup::default() });
    world.run_for(4 * LEASE);
    world.plan_work();
    world
}

fn sound(world: &World) {
    let found = world.found();
    assert!(found.breaches.is_empty(), "{:?}", found.breaches);
}

fn ends(world: &mut World) {
    let over = world.until(LONG, |world| world.plan_over("patch"));
    let waits = &world.work().plans["patch"].waits;
    assert!(over, "waits: {waits}\n{}", world.told_of());
    sound(world);
    let twice = world.begun().iter().find(|(_, times)| **times != 1);
    assert_eq!(twice, None);
}

fn until_at(world: &mut World, stage: Stage) -> String {
    assert!(world.until(LONG, |world| world.at_stage(stage).is_some()), "none comes to be {}", stage.name());
    world.at_stage(stage).expect("just seen")
}

#[test]
fn an_owner_stopped_after_agreed_is_followed_by_one_that_goes_on() {
    for seed in 0..6 {
        let mut world = world(seed, Plans::default());
        until_at(&mut world, Stage::Agreed);
        let owner = world.work_owner().expect("somebody settled it");
        world.pause(owner);
        world.run_for(4 * LEASE);
        let next = world.work_owner().expect("another");
        assert_ne!(next, owner);
        // One that serves on when it is cut off is waited for: it may be about to send.
        assert!(world.begun().is_empty());
        world.resume(owner);
        ends(&mut world);
    }
}

/// The call is on its way when its owner stops; the next one finds "beginning" and calls under the same id; then
/// the first call arrives.
#[test]
fn work_that_two_owners_begin_is_begun_once() {
    let mut stale = 0;
    for seed in 0..6 {
        let mut world = world(seed, Plans::default());
        world.calls_late(Some(5 * LEASE));
        until_at(&mut world, Stage::Beginning);
        world.run_for(200_000);
        let owner = world.work_owner().expect("somebody called");
        world.pause(owner);
        world.calls_late(Some(2_000));
        assert!(world.until(LONG, |world| world.work_owner().is_some_and(|next| next != owner)));
        until_at(&mut world, Stage::Working);
        world.run_for(5 * LEASE);
        world.resume(owner);
        ends(&mut world);
        stale += world.worked().2;
    }
    assert!(stale > 0, "no late call was refused");
}

#[test]
fn a_proxy_cut_off_that_serves_on_holds_the_machine_up_and_is_named() {
    let mut world = world(3, Plans { terms: WAITS, ..Plans::default() });
    let all: Vec<usize> = (0..5).collect();
    world.cut(&[4], &all);
    world.cut(&all, &[4]);
    world.run_for(12 * LEASE);
    assert!(world.begun().is_empty(), "work was begun while one may still send: {:?}", world.begun());
    let work = world.work();
    let told =
        |plan: &Plan| plan.waits.contains("p1") || plan.machines.values().any(|one| one.why.contains("p1"));
    assert!(work.plans.values().any(told), "{work:?}");
    world.mend();
    ends(&mut world);
}

#[test]
fn a_proxy_cut_off_that_drains_is_not_waited_for_and_comes_back_harmless() {
    let mut world = world(4, Plans { terms: DRAINS, ..Plans::default() });
    let all: Vec<usize> = (0..5).collect();
    world.cut(&[4], &all);
    world.cut(&all, &[4]);
    until_at(&mut world, Stage::Working);
    world.mend();
    ends(&mut world);
}

/// An operator's word that it is down lets work go on without it.
#[test]
fn a_proxy_that_left_without_a_word_is_waited_for_until_it_is_vouched_for() {
    let mut world = world(5, Plans { terms: WAITS, ..Plans::default() });
    world.kill(4);
    world.run_for(15 * LEASE);
    assert!(world.begun().is_empty(), "{:?}", world.begun());
    world.say(Order::Forget { name: "p1".into() });
    ends(&mut world);
}

#[test]
fn the_last_ready_backend_of_a_cell_stays_unless_the_plan_says_so() {
    let one_each = |last_of_cell| Plans {
        backends: 6,
        bounds: Bounds { last_of_cell, ..Plans::default().bounds },
        ..Plans::default()
    };
    let mut stays = world(6, one_each(false));
    stays.run_for(10 * LEASE);
    assert!(stays.begun().is_empty());
    assert!(stays.work().plans["patch"].waits.contains("the last ready backend of cell"));
    ends(&mut world(6, one_each(true)));
}

#[test]
fn cancelled_at_whatever_stage_a_plan_ends_and_what_was_begun_is_waited_for() {
    use Stage::{Agreed, Back, Beginning, Failed, Leaving, Mended, Out, Proposed, Warm, Working};
    for stage in [Proposed, Agreed, Leaving, Out, Beginning, Working, Mended, Back, Warm] {
        let mut world = world(7, Plans::default());
        let machine = until_at(&mut world, stage);
        world.say(Order::Say { name: "patch".into(), say: Say::Cancel });
        assert!(world.until(LONG, |world| world.plan_over("patch")), "{}", stage.name());
        sound(&world);
        let over = world.stage(&machine);
        assert!(matches!(over, Some(Stage::Done | Stage::Cancelled)), "{}: {over:?}", stage.name());
    }
    // Failed it stays out, whoever cancels, until it is done.
    let mut world = world(8, Plans::default());
    world.staff_away(true);
    let machine = until_at(&mut world, Working);
    world.staff_away(false);
    world.say(Order::Ended { machine: machine.clone(), well: false });
    assert!(world.until(LONG, |world| matches!(
        world.stage(&machine),
        Some(Failed | Mended | Back | Warm | Stage::Done)
    )));
    world.say(Order::Say { name: "patch".into(), say: Say::Cancel });
    assert!(world.until(LONG, |world| world.plan_over("patch")));
    sound(&world);
}

#[test]
fn a_machine_that_is_never_done_stays_out_and_the_plan_says_so() {
    let mut world = world(9, Plans::default());
    world.staff_away(true);
    let machine = until_at(&mut world, Stage::Working);
    world.run_for(20 * LEASE);
    assert_eq!(world.stage(&machine), Some(Stage::Working));
    assert!(world.work().plans["patch"].waits.contains("under work for longer than the plan says"));
    world.staff_away(false);
    ends(&mut world);
}

#[test]
fn a_full_disk_at_the_owner_and_a_restart_of_all_change_nothing_of_what_is_under_work() {
    let mut world = world(10, Plans { terms: WAITS, ..Plans::default() });
    world.staff_away(true);
    until_at(&mut world, Stage::Working);
    let owner = world.work_owner().expect("one owns it");
    world.full(owner, true);
    assert!(world.until(LONG, |world| world.work_owner().is_some_and(|next| next != owner)));
    let under: Vec<String> = world.begun().keys().cloned().collect();
    (0..5).for_each(|at| world.kill(at));
    world.run_for(2 * LEASE);
    world.full(owner, false);
    (0..5).for_each(|at| world.restart(at));
    world.run_for(5 * LEASE);
    for machine in under {
        assert_eq!(world.stage(&machine), Some(Stage::Working), "{machine}");
    }
    world.staff_away(false);
    ends(&mut world);
}

#[test]
fn a_second_plan_for_a_machine_of_the_first_is_refused() {
    let mut world = world(11, Plans::default());
    until_at(&mut world, Stage::Agreed);
    let first = world.work().plans["patch"].clone();
    let machines = BTreeMap::from([("s-4".to_owned(), Machine::new(MachineKind::Backend, "z1", 1, false))]);
    world.say(Order::Add { name: "other".into(), plan: Box::new(Plan { machines, ..first.clone() }) });
    world.run_for(3 * LEASE);
    assert!(!world.work().plans.contains_key("other"));
    let machines = BTreeMap::from([("t-1".to_owned(), Machine::new(MachineKind::Backend, "z9", 1, false))]);
    world.say(Order::Add { name: "apart".into(), plan: Box::new(Plan { machines, ..first }) });
    assert!(world.until(LONG, |world| world.plan_over("apart") && world.plan_over("patch")));
    sound(&world);
}

/// A proxy that reports no load at all, or far too much: it moves the sum by its share, and nothing breaks.
#[test]
fn a_proxy_whose_notes_are_wrong_by_a_lot_breaks_no_bound() {
    for (seed, load) in [(12, 0.0), (13, 3.0)] {
        let mut world = world(seed, Plans::default());
        world.lies(2, load);
        ends(&mut world);
    }
}

fn two_kinds() -> Plans {
    let bounds = Bounds { last_of_cell: true, ..Plans::default().bounds };
    Plans { proxies: 5, backends: 6, bounds, ..Plans::default() }
}

/// Drained, handed over, worked on and back: never two voters of three, never the owner before it has handed over.
#[test]
fn proxies_are_machines_too() {
    let mut world = world(14, two_kinds());
    for _ in 0..200 {
        world.run_for(LEASE / 10);
        if let Some(owner) = world.work_owner() {
            let name = ["v0", "v1", "v2", "p0", "p1"][owner];
            assert!(
                !matches!(world.stage(name), Some(Stage::Out | Stage::Beginning | Stage::Working)),
                "{name}"
            );
        }
    }
    assert!(world.until(LONG, |world| world.plan_over("patch")), "{:?}", world.work().plans["patch"]);
    assert_eq!(world.begun().len(), 5 + 6);
    sound(&world);
}

/// The right to send counts from the renewal, not from its answer: one that was long on its way gives none.
#[test]
fn an_answer_that_comes_late_gives_no_right_to_send() {
    let bounds = Bounds { most_silent: 0.9, ..Plans::default().bounds };
    for seed in 20..32 {
        let plans = Plans { terms: DRAINS, bounds: bounds.clone(), operators: false, ..Plans::default() };
        let mut world = World::new(seed, Setup { plans: Some(plans), faulty_us: 0, ..Setup::default() });
        world.run_for(4 * LEASE);
        let leader = world.leader().expect("one leads");
        world.late_to(leader, &[3, 4], 9 * LEASE);
        world.run_for(7 * LEASE / 10);
        // What the old leader said is on its way still; nothing else comes through.
        let others: Vec<usize> = (0..5).filter(|at| *at != leader).collect();
        world.cut(&others, &[3, 4]);
        world.cut(&[3, 4], &(0..5).collect::<Vec<_>>());
        world.plan_work();
        world.run_for(14 * LEASE);
        assert!(!world.begun().is_empty(), "seed {seed}: nothing was begun while the answer was on its way");
        sound(&world);
    }
}
