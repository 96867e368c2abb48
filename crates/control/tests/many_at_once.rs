//! Many processes end at once, by a kill or by a loss of power, and come back: what was acknowledged is there, reads are
//! confirmed within a fraction of a second, and commands are taken again.

mod simulation;

use std::time::Duration;

use simulation::operators::Wake;
use simulation::schedule::Fault;
use simulation::{ms, run, Core, World};

/// How long the machines are down.
const DOWN: u64 = 620;
/// A change is taken within this time of when the last process is back.
const RECOVERED_WITHIN: Duration = ms(4_000);

/// Which processes end.
#[derive(Clone, Copy, Debug)]
enum Which {
    All,
    AllButOne,
    /// Those of the first zone.
    Zone,
}

/// What the core was at.
#[derive(Clone, Copy, Debug)]
enum During {
    /// Changes follow one another.
    Changes,
    /// A voter was lost for good, and another machine is about to have its vote.
    Replacement,
    /// The first start.
    FirstStart,
    /// All came back from another such end a moment ago.
    Restart,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    which: Which,
    during: During,
    with_power: bool,
    /// Between two ends, in milliseconds.
    apart: u64,
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for which in [Which::All, Which::AllButOne, Which::Zone] {
        for during in [During::Changes, During::Replacement, During::FirstStart, During::Restart] {
            for (with_power, apart) in [(true, 0), (false, 0), (true, 50), (false, 50)] {
                cases.push(Case { which, during, with_power, apart });
            }
        }
    }
    cases
}

fn chosen(world: &World, which: Which) -> Vec<usize> {
    let running = (0..world.nodes.len()).filter(|place| !world.nodes[*place].removed);
    match which {
        Which::All => running.collect(),
        Which::AllButOne => running.skip(1).collect(),
        Which::Zone => running.filter(|place| world.nodes[*place].zone == world.nodes[0].zone).collect(),
    }
}

/// Ends processes, and starts them again.
fn end(world: &mut World, case: Case) {
    let places = chosen(world, case.which);
    for place in &places {
        if case.with_power {
            world.kill(*place);
        } else {
            world.kill_without_power(*place);
        }
        run(world, case.apart);
    }
    run(world, DOWN);
    for place in places {
        world.start(place);
    }
}

fn prepare(world: &mut World, during: During, seed: u64) {
    let jitter = seed * 37 % 700;
    match during {
        During::FirstStart => run(world, 100 + jitter * 2),
        During::Changes => run(world, 6_000 + jitter),
        During::Replacement => {
            run(world, 6_000);
            let lost = world.newest_view().head().and_then(|id| world.place_of(id)).expect("a head");
            world.apply(Fault::Replace(lost));
            run(world, 2_700 + jitter);
        }
        During::Restart => {
            run(world, 6_000);
            let case = Case { which: Which::All, during, with_power: true, apart: 0 };
            end(world, case);
            run(world, jitter / 2);
        }
    }
}

fn play(core: Core, case: Case, seed: u64) {
    let mut world = core.starting(seed);
    world.operators.interval = ms(90);
    world.wake_operator_at(world.now + ms(2_500), Wake::New);
    prepare(&mut world, case.during, seed);
    end(&mut world, case);
    let back = world.now;
    let known = world.checks.newest_acknowledged();
    if matches!(case.during, During::FirstStart) {
        run(&mut world, 3_000);
    }
    while world.checks.newest_acknowledged() == known && world.now < back + RECOVERED_WITHIN * 2 {
        run(&mut world, 50);
    }
    let took = world.now - back;
    assert!(
        world.checks.newest_acknowledged() > known,
        "{core:?} {case:?} seed {seed}: nothing taken: {}",
        world.describe()
    );
    let allowed = if matches!(case.during, During::FirstStart) { ms(7_000) } else { RECOVERED_WITHIN };
    assert!(took <= allowed, "{core:?} {case:?} seed {seed}: {took:?}");
    run(&mut world, 2_000);
    assert!(world.checks.breaches.is_empty(), "{core:?} {case:?} seed {seed}: {:#?}", world.checks.breaches);
}

#[test]
fn a_core_serves_again_after_many_ends_at_once() {
    let cores =
        [Core { machines: 4, losses: 1 }, Core { machines: 5, losses: 2 }, Core { machines: 8, losses: 1 }];
    for core in cores {
        for case in cases() {
            for seed in 0..4 {
                play(core, case, 4_000 + seed);
            }
        }
    }
}

/// All processes start at the same moment, so that the first heartbeats of some find nobody who listens.
#[test]
fn reads_are_confirmed_soon_after_all_have_started_again() {
    let mut slowest = Duration::ZERO;
    for seed in 0..40 {
        let mut world = Core { machines: 6, losses: 1 }.starting(5_000 + seed);
        run(&mut world, 6_000);
        for place in 0..6 {
            world.kill(place);
        }
        run(&mut world, DOWN);
        for place in 0..6 {
            world.start(place);
            run(&mut world, 4);
        }
        let begun = world.now;
        let voters: Vec<usize> =
            world.newest_view().members.iter().filter_map(|member| world.place_of(member.id)).collect();
        while !voters.iter().all(|place| world.is_fresh(*place)) && world.now < begun + ms(3_000) {
            run(&mut world, 1);
        }
        slowest = slowest.max(world.now - begun);
    }
    assert!(slowest <= ms(110), "{slowest:?}");
}
