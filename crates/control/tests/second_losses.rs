//! Losses after a wipe, a replacement, a restart or a graceful shutdown: a command still commits in time, and
//! no acknowledged change is lost.

mod simulation;

use std::time::Duration;

use crankpick_control::View;
use simulation::operators::Wake;
use simulation::schedule::Fault;
use simulation::{ms, run, ClusterConfig, Simulation};

/// The maximum time until a caller has its acknowledgement.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_millis(4000);

const THREE: ClusterConfig = ClusterConfig { machines: 3, losses: 1 };
const FIVE: ClusterConfig = ClusterConfig { machines: 5, losses: 2 };
const EIGHT: ClusterConfig = ClusterConfig { machines: 8, losses: 2 };
const CLUSTERS: [ClusterConfig; 4] = [THREE, ClusterConfig { machines: 4, losses: 1 }, FIVE, EIGHT];

fn settled_cluster(seed: u64, cluster: ClusterConfig) -> Simulation {
    let mut sim = cluster.start_cluster(seed);
    sim.operators.interval = ms(500);
    sim.wake_operator_at(sim.now + ms(2500), Wake::New);
    run(&mut sim, 6000);
    sim
}

/// The node indices of the voters.
fn voters(sim: &Simulation) -> Vec<usize> {
    sim.newest_view().members.iter().filter_map(|member| sim.index_of(member.id)).collect()
}

fn votes(view: &View, sim: &Simulation, index: usize) -> bool {
    view.members.iter().any(|member| member.address == sim.nodes[index].address)
}

/// Asserts that a command submitted from now on commits in time.
fn assert_command_commits(sim: &mut Simulation, what: &str) {
    let begun = sim.now;
    let known = sim.checks.newest_acknowledged();
    while sim.now < begun + ACKNOWLEDGED_WITHIN {
        run(sim, 20);
        if sim.checks.newest_acknowledged() > known {
            assert!(sim.checks.breaches.is_empty(), "{what}: {:#?}", sim.checks.breaches);
            return;
        }
    }
    panic!("{what}: no command committed\n{}", sim.describe());
}

/// Loses as many random voters as the cluster tolerates, at the same time.
fn lose_voters(sim: &mut Simulation, cluster: ClusterConfig, wiped: bool) {
    let mut voters = voters(sim);
    sim.random.shuffle(&mut voters);
    for index in voters.into_iter().take(cluster.losses) {
        if wiped {
            sim.wipe(index);
        } else {
            sim.kill(index);
        }
    }
}

/// The times between a first fault and the further losses, in milliseconds.
const DELAYS_MS: [u64; 4] = [6_000, 9_000, 15_000, 30_000];

/// Injects a first fault, and further losses some time after it.
fn fault_then_losses(what: &str, first: impl Fn(&mut Simulation, usize)) {
    for cluster in CLUSTERS {
        for seed in 0..12 {
            let mut sim = settled_cluster(seed, cluster);
            let voters = voters(&sim);
            assert_eq!(voters.len(), cluster.voters(), "{}", sim.describe());
            first(&mut sim, voters[seed as usize % voters.len()]);
            run(&mut sim, DELAYS_MS[seed as usize % DELAYS_MS.len()]);
            lose_voters(&mut sim, cluster, seed % 2 == 0);
            assert_command_commits(&mut sim, &format!("{what}, {cluster:?}, seed {seed}"));
        }
    }
}

#[test]
fn losses_after_a_planned_replacement_are_tolerated() {
    fault_then_losses("planned replacement", |sim, index| {
        sim.apply(Fault::ReplaceInOrder { index, after: ms(1000) });
    });
}

#[test]
fn losses_after_a_replacement_are_tolerated() {
    fault_then_losses("replacement", |sim, index| sim.apply(Fault::Replace(index)));
}

#[test]
fn losses_after_a_wipe_are_tolerated() {
    fault_then_losses("wipe", |sim, index| {
        sim.wipe(index);
        sim.fault_at(sim.now + ms(500), Fault::Start(index));
    });
}

#[test]
fn losses_after_a_restart_are_tolerated() {
    fault_then_losses("restart", |sim, index| sim.apply(Fault::Shutdown { index, returns: true }));
}

#[test]
fn losses_after_a_rolling_restart_are_tolerated() {
    for cluster in CLUSTERS {
        for seed in 0..4 {
            let mut sim = settled_cluster(seed, cluster);
            for index in 0..cluster.machines {
                let at = sim.now + ms(2500 * index as u64);
                sim.fault_at(at, Fault::Shutdown { index, returns: true });
            }
            run(&mut sim, 2500 * cluster.machines as u64 + 6000);
            lose_voters(&mut sim, cluster, seed % 2 == 0);
            assert_command_commits(&mut sim, &format!("roll, {cluster:?}, seed {seed}"));
        }
    }
}

/// With standbys, permanent losses are compensated within seconds, so that the same number of losses is
/// tolerated again.
#[test]
fn standbys_replace_permanently_lost_voters() {
    for seed in 0..12 {
        let mut sim = settled_cluster(seed, EIGHT);
        lose_voters(&mut sim, EIGHT, true);
        run(&mut sim, 6000);
        assert_eq!(voters(&sim).len(), 5, "{}", sim.describe());
        lose_voters(&mut sim, EIGHT, true);
        assert_command_commits(&mut sim, &format!("seed {seed}"));
    }
}

#[test]
fn two_replaced_at_once_and_two_more_lost() {
    for cluster in [FIVE, EIGHT] {
        for seed in 0..12 {
            let mut sim = settled_cluster(seed, cluster);
            let voters = voters(&sim);
            sim.apply(Fault::ReplaceInOrder { index: voters[0], after: ms(700) });
            sim.apply(Fault::ReplaceInOrder { index: voters[1], after: ms(900) });
            run(&mut sim, 8000);
            lose_voters(&mut sim, cluster, seed % 2 == 0);
            assert_command_commits(&mut sim, &format!("{cluster:?}, seed {seed}"));
        }
    }
}

/// A replaced member that restarts with its old disk has no vote until it is admitted again.
#[test]
fn one_that_was_replaced_comes_back_without_a_vote() {
    for seed in 0..12 {
        let mut sim = settled_cluster(seed, THREE);
        let index = voters(&sim)[seed as usize % 3];
        let seeds = sim.nodes[index].seeds.clone();
        let new = sim.add_node(seeds, false, true);
        sim.start(new);
        run(&mut sim, 1500);
        sim.kill(index);
        run(&mut sim, 4500);
        let view = sim.newest_view();
        assert!(votes(&view, &sim, new) && !votes(&view, &sim, index), "{}", sim.describe());
        sim.start(index);
        run(&mut sim, 4000);
        let after = sim.newest_view();
        assert_eq!(after.members, view.members, "{}", sim.describe());
        assert!(sim.is_fresh(index), "{}", sim.describe());
        lose_voters(&mut sim, THREE, seed % 2 == 0);
        assert_command_commits(&mut sim, &format!("seed {seed}"));
    }
}

/// A leaving process does not end before the others continue without it in the chain; with a standby, also
/// without its vote.
#[test]
fn a_process_that_leaves_hands_over_first() {
    for cluster in CLUSTERS {
        for seed in 0..8 {
            let mut sim = settled_cluster(seed, cluster);
            let index = voters(&sim)[seed as usize % 3];
            let begun = sim.now;
            sim.input(index, crankpick_control::Input::Shutdown);
            let left = |sim: &Simulation| sim.nodes[index].replica.as_ref().is_some_and(|it| it.has_left());
            assert!(!left(&sim), "{}", sim.describe());
            while !left(&sim) && sim.now < begun + ms(3000) {
                run(&mut sim, 10);
            }
            assert!(sim.now < begun + ms(600), "{cluster:?}, seed {seed}: {}", sim.describe());
            let view = sim.newest_view();
            assert_eq!(view.chain.iter().filter_map(|id| sim.index_of(*id)).find(|it| *it == index), None);
            let spare = cluster.machines > cluster.voters();
            assert_eq!(votes(&view, &sim, index), !spare, "{cluster:?}: {}", sim.describe());
        }
    }
}

/// One of three machines has lost its disk and is not a member again yet when another is told to leave
/// permanently: that one stays until the state is on two other disks, and nothing is lost.
#[test]
fn a_leaving_process_waits_for_two_other_copies() {
    for seed in 0..24 {
        let mut sim = settled_cluster(seed, THREE);
        let (wiped, leaving) = (seed as usize % 3, (seed as usize + 1) % 3);
        sim.wipe(wiped);
        sim.fault_at(sim.now + ms(300 + 20 * seed), Fault::Start(wiped));
        run(&mut sim, 100 + 25 * seed);
        sim.apply(Fault::Shutdown { index: leaving, returns: false });
        run(&mut sim, 6000);
        assert_command_commits(&mut sim, &format!("seed {seed}"));
    }
}

/// A new member dies while the state is installed on it: the others continue, and it or another one is
/// admitted later.
#[test]
fn a_new_member_that_dies_during_install_blocks_nothing() {
    for seed in 0..24 {
        let mut sim = settled_cluster(seed, THREE);
        let index = voters(&sim)[seed as usize % 3];
        let seeds = sim.nodes[index].seeds.clone();
        let new = sim.add_node(seeds, false, true);
        sim.start(new);
        run(&mut sim, 1200);
        sim.input(index, crankpick_control::Input::Shutdown);
        run(&mut sim, 2 + seed * 2);
        sim.freeze(new);
        assert_command_commits(&mut sim, &format!("frozen, seed {seed}"));
        sim.wipe(new);
        run(&mut sim, 300);
        sim.start(new);
        run(&mut sim, 3500);
        sim.kill(index);
        assert_command_commits(&mut sim, &format!("back, seed {seed}"));
    }
}
