//! A member is cut off for 20 s, twice, while commands are submitted on both sides. The others continue in
//! time. The isolated member confirms and refuses nothing and is not fresh; it catches up before it counts as
//! fresh again.

mod simulation;

use std::time::Duration;

use crankpick_control::{CommandId, Input, Outcome};
use simulation::operators::Wake;
use simulation::schedule::Fault;
use simulation::{command, is_refusal, ms, run, ClusterConfig, Simulation};

const CUT_DURATION_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug)]
enum CutDirection {
    Both,
    Outward,
    Inward,
}

fn settled_cluster(seed: u64, machines: usize, losses: usize) -> Simulation {
    let mut sim = ClusterConfig { machines, losses }.start_cluster(seed);
    sim.operators.interval = ms(400);
    sim.wake_operator_at(sim.now + ms(2500), Wake::New);
    run(&mut sim, 6000);
    sim
}

/// Cuts the connections of machines to all others, in the given direction.
fn cut(sim: &mut Simulation, isolated: &[usize], way: CutDirection) {
    let others: Vec<usize> = (0..sim.nodes.len()).filter(|index| !isolated.contains(index)).collect();
    let mut pairs = Vec::new();
    for index in isolated {
        for other in &others {
            match way {
                CutDirection::Both => pairs.extend([(*index, *other), (*other, *index)]),
                CutDirection::Outward => pairs.push((*index, *other)),
                CutDirection::Inward => pairs.push((*other, *index)),
            }
        }
    }
    sim.apply(Fault::Cut(pairs));
}

/// Waits until a change commits; returns how long that took.
fn wait_for_commit(sim: &mut Simulation) -> Duration {
    let begun = sim.now;
    let known = sim.checks.newest_acknowledged();
    while sim.checks.newest_acknowledged() == known && sim.now < begun + ms(6_000) {
        run(sim, 20);
    }
    assert!(sim.checks.newest_acknowledged() > known, "nothing committed: {}", sim.describe());
    sim.now - begun
}

/// Submits a command to a machine; returns its outcome within 3.2 s, if any.
fn ask(sim: &mut Simulation, index: usize, if_match: u64, generation: u64) -> Option<Outcome> {
    let key = CommandId(sim.heard.len() as u64 + 7_000_000);
    sim.input(index, Input::Submit { key, command: command(if_match, generation, 999) });
    run(sim, 3_200);
    sim.heard.iter().find(|(heard, _)| *heard == key).map(|(_, outcome)| *outcome)
}

fn run_case(seed: u64, machines: usize, losses: usize, isolated: &[usize], way: CutDirection) {
    let mut sim = settled_cluster(seed, machines, losses);
    for again in 0..2 {
        let what = format!("seed {seed}, {machines} machines, {isolated:?} cut off {way:?}, time {again}");
        cut(&mut sim, isolated, way);
        let begun = sim.now;
        let first = wait_for_commit(&mut sim);
        assert!(first < ms(4_000), "{what}: {first:?}");
        run(&mut sim, 2_000);
        let known = sim.checks.newest_acknowledged();
        for index in isolated {
            assert!(!sim.is_fresh(*index), "{what}: fresh though cut off\n{}", sim.describe());
            let outcome = ask(&mut sim, *index, known, known + 1);
            let refused = outcome.is_some_and(is_refusal);
            assert!(!refused && outcome != Some(Outcome::Committed), "{what}: {outcome:?}");
        }
        sim.run_until(begun + ms(CUT_DURATION_MS));
        wait_for_commit(&mut sim);
        sim.apply(Fault::Heal);
        run(&mut sim, 4_000);
        for index in isolated {
            assert!(sim.is_fresh(*index), "{what}: not back\n{}", sim.describe());
        }
        assert!(sim.checks.breaches.is_empty(), "{what}: {:#?}", sim.checks.breaches);
    }
}

#[test]
fn each_member_in_turn() {
    for way in [CutDirection::Both, CutDirection::Outward, CutDirection::Inward] {
        for (machines, losses) in [(3, 1), (4, 1), (5, 2), (8, 2)] {
            for index in 0..machines {
                run_case(index as u64, machines, losses, &[index], way);
            }
        }
    }
}

#[test]
fn two_of_a_zone_together() {
    for way in [CutDirection::Both, CutDirection::Outward, CutDirection::Inward] {
        for first in 0..4 {
            run_case(40 + first as u64, 8, 2, &[first, first + 4], way);
        }
    }
}

/// Without a majority on either side of a partition, nothing is confirmed.
#[test]
fn without_a_majority_nobody_confirms() {
    for seed in 0..8 {
        let mut sim = settled_cluster(seed, 3, 1);
        for index in 0..3 {
            cut(&mut sim, &[index], CutDirection::Both);
        }
        run(&mut sim, 1_500);
        let known = sim.checks.newest_acknowledged();
        sim.operators.interval = ms(100);
        run(&mut sim, 20_000);
        assert_eq!(sim.checks.newest_acknowledged(), known, "seed {seed}: {}", sim.describe());
        assert!((0..3).all(|index| !sim.is_fresh(index)));
        sim.apply(Fault::Heal);
        run(&mut sim, 500);
        wait_for_commit(&mut sim);
        assert!(sim.checks.breaches.is_empty(), "seed {seed}: {:#?}", sim.checks.breaches);
    }
}
