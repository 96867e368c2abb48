//! A disk that refuses every write, from the first start on, in service and at a restart: its process counts for nothing
//! that it can't store, others take its place, and it comes back by itself.

mod simulation;

use simulation::operators::Wake;
use simulation::schedule::Fault;
use simulation::{ms, run, Core, DiskMode, World};

const CORE: Core = Core { machines: 4, losses: 1 };

fn with_changes(world: &mut World) {
    world.operators.interval = ms(300);
    world.wake_operator_at(world.now + ms(4_000), Wake::New);
}

/// Changes are taken within a time.
fn takes_changes(world: &mut World, within: u64) {
    let known = world.checks.newest_acknowledged();
    run(world, within);
    assert!(world.checks.newest_acknowledged() > known, "nothing taken: {}", world.describe());
}

fn fine(world: &World) {
    assert!(world.checks.breaches.is_empty(), "{:#?}", world.checks.breaches);
}

fn votes(world: &World, place: usize) -> bool {
    world.newest_view().members.iter().any(|member| world.place_of(member.id) == Some(place))
}

fn in_chain(world: &World, place: usize) -> bool {
    world.newest_view().chain.iter().any(|id| world.place_of(*id) == Some(place))
}

#[test]
fn a_seed_whose_disk_is_full_from_the_first_start_is_done_without() {
    for seed in 0..12 {
        for place in 0..3 {
            let mut world = CORE.starting(6_000 + seed);
            with_changes(&mut world);
            world.set_disk(place, DiskMode::Full);
            run(&mut world, 9_000);
            assert!(!votes(&world, place), "seed {seed}: {}", world.describe());
            assert_eq!(world.newest_view().members.len(), 3, "the fourth has its vote: {}", world.describe());
            let replica = world.nodes[place].replica.as_ref().expect("up");
            assert!(replica.is_disk_unhealthy());
            assert!(world.is_fresh(place), "it follows and can serve reads: {}", world.describe());
            takes_changes(&mut world, 1_500);
            world.set_disk(place, DiskMode::Well);
            run(&mut world, 6_000);
            let replica = world.nodes[place].replica.as_ref().expect("up");
            assert!(!replica.is_disk_unhealthy());
            // It stands by with all that was taken.
            takes_changes(&mut world, 1_500);
            let newest = replica_generation(&world, place);
            assert!(newest + 2 >= world.checks.newest_acknowledged(), "seed {seed}: {newest}");
            fine(&world);
        }
    }
}

fn replica_generation(world: &World, place: usize) -> u64 {
    let replica = world.nodes[place].replica.as_ref().expect("up");
    replica.newest_committed().map_or(0, |entry| entry.command.generation)
}

#[test]
fn disks_that_are_all_full_at_the_first_start_begin_once_they_take_writes() {
    let mut world = CORE.starting(6_100);
    for place in 0..4 {
        world.set_disk(place, DiskMode::Full);
    }
    run(&mut world, 6_000);
    assert_eq!(world.newest_view().epoch, 0, "nothing can be decided: {}", world.describe());
    for place in 0..4 {
        world.set_disk(place, DiskMode::Well);
    }
    run(&mut world, 3_500);
    assert_eq!(world.newest_view().members.len(), 3, "{}", world.describe());
    with_changes(&mut world);
    run(&mut world, 4_000);
    takes_changes(&mut world, 1_500);
    fine(&world);
}

/// Each member of the chain in turn, and one of them restarts while its disk is full.
#[test]
fn a_member_whose_disk_fills_up_is_replaced_and_comes_back() {
    for seed in 0..8 {
        for restarts in [false, true] {
            let mut world = CORE.starting(6_200 + seed);
            with_changes(&mut world);
            run(&mut world, 7_000);
            let view = world.newest_view();
            let index = seed as usize % view.chain.len();
            let place = world.place_of(view.chain[index]).expect("known");
            world.set_disk(place, DiskMode::Full);
            run(&mut world, 300);
            if restarts {
                world.kill(place);
                run(&mut world, 200);
                world.start(place);
            }
            takes_changes(&mut world, 2_500);
            run(&mut world, 5_000);
            assert!(!in_chain(&world, place), "seed {seed}: {}", world.describe());
            assert!(!votes(&world, place), "the fourth has its vote: {}", world.describe());
            world.set_disk(place, DiskMode::Well);
            run(&mut world, 3_000);
            // It can take another's place again.
            let other = (0..4).find(|other| *other != place && in_chain(&world, *other)).expect("a replica");
            world.apply(Fault::Disk(other, DiskMode::Full));
            run(&mut world, 9_000);
            assert!(votes(&world, place), "seed {seed}: {}", world.describe());
            takes_changes(&mut world, 1_500);
            fine(&world);
        }
    }
}
