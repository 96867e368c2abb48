//! Full disks that refuse every write, from the first start, in service or at a restart. Such a process does
//! not count for anything it cannot store, others replace it, and it returns by itself once the disk accepts
//! writes.

mod simulation;

use simulation::operators::Wake;
use simulation::schedule::Fault;
use simulation::{ms, run, ClusterConfig, DiskMode, Simulation};

const CLUSTER: ClusterConfig = ClusterConfig { machines: 4, losses: 1 };

fn submit_changes_periodically(sim: &mut Simulation) {
    sim.operators.interval = ms(300);
    sim.wake_operator_at(sim.now + ms(4_000), Wake::New);
}

/// Asserts that a change commits within `within` milliseconds.
fn assert_changes_commit(sim: &mut Simulation, within: u64) {
    let known = sim.checks.newest_acknowledged();
    run(sim, within);
    assert!(sim.checks.newest_acknowledged() > known, "nothing committed: {}", sim.describe());
}

fn assert_no_breaches(sim: &Simulation) {
    assert!(sim.checks.breaches.is_empty(), "{:#?}", sim.checks.breaches);
}

fn votes(sim: &Simulation, index: usize) -> bool {
    sim.newest_view().members.iter().any(|member| sim.index_of(member.id) == Some(index))
}

fn in_chain(sim: &Simulation, index: usize) -> bool {
    sim.newest_view().chain.iter().any(|id| sim.index_of(*id) == Some(index))
}

#[test]
fn a_seed_with_a_full_disk_at_first_start_is_not_needed() {
    for seed in 0..12 {
        for index in 0..3 {
            let mut sim = CLUSTER.start_cluster(6_000 + seed);
            submit_changes_periodically(&mut sim);
            sim.set_disk(index, DiskMode::Full);
            run(&mut sim, 9_000);
            assert!(!votes(&sim, index), "seed {seed}: {}", sim.describe());
            assert_eq!(
                sim.newest_view().members.len(),
                3,
                "the fourth machine is a voter instead: {}",
                sim.describe()
            );
            let replica = sim.nodes[index].replica.as_ref().expect("up");
            assert!(replica.is_disk_unhealthy());
            assert!(sim.is_fresh(index), "it follows the chain and can serve reads: {}", sim.describe());
            assert_changes_commit(&mut sim, 1_500);
            sim.set_disk(index, DiskMode::Healthy);
            run(&mut sim, 6_000);
            let replica = sim.nodes[index].replica.as_ref().expect("up");
            assert!(!replica.is_disk_unhealthy());
            // It is a standby that has all committed changes.
            assert_changes_commit(&mut sim, 1_500);
            let newest = replica_generation(&sim, index);
            assert!(newest + 2 >= sim.checks.newest_acknowledged(), "seed {seed}: {newest}");
            assert_no_breaches(&sim);
        }
    }
}

fn replica_generation(sim: &Simulation, index: usize) -> u64 {
    let replica = sim.nodes[index].replica.as_ref().expect("up");
    replica.newest_committed().map_or(0, |entry| entry.command.generation)
}

#[test]
fn bootstrap_starts_once_initially_full_disks_accept_writes() {
    let mut sim = CLUSTER.start_cluster(6_100);
    for index in 0..4 {
        sim.set_disk(index, DiskMode::Full);
    }
    run(&mut sim, 6_000);
    assert_eq!(sim.newest_view().epoch, 0, "nothing can be decided: {}", sim.describe());
    for index in 0..4 {
        sim.set_disk(index, DiskMode::Healthy);
    }
    run(&mut sim, 3_500);
    assert_eq!(sim.newest_view().members.len(), 3, "{}", sim.describe());
    submit_changes_periodically(&mut sim);
    run(&mut sim, 4_000);
    assert_changes_commit(&mut sim, 1_500);
    assert_no_breaches(&sim);
}

/// Fills the disk of one chain member, with and without a restart while the disk is full.
#[test]
fn a_member_whose_disk_fills_up_is_replaced_and_comes_back() {
    for seed in 0..8 {
        for restarts in [false, true] {
            let mut sim = CLUSTER.start_cluster(6_200 + seed);
            submit_changes_periodically(&mut sim);
            run(&mut sim, 7_000);
            let view = sim.newest_view();
            let index = seed as usize % view.chain.len();
            let index = sim.index_of(view.chain[index]).expect("known");
            sim.set_disk(index, DiskMode::Full);
            run(&mut sim, 300);
            if restarts {
                sim.kill(index);
                run(&mut sim, 200);
                sim.start(index);
            }
            assert_changes_commit(&mut sim, 2_500);
            run(&mut sim, 5_000);
            assert!(!in_chain(&sim, index), "seed {seed}: {}", sim.describe());
            assert!(!votes(&sim, index), "the fourth machine is a voter instead: {}", sim.describe());
            sim.set_disk(index, DiskMode::Healthy);
            run(&mut sim, 3_000);
            // It can replace another member again.
            let other = (0..4).find(|other| *other != index && in_chain(&sim, *other)).expect("a replica");
            sim.apply(Fault::Disk(other, DiskMode::Full));
            run(&mut sim, 9_000);
            assert!(votes(&sim, index), "seed {seed}: {}", sim.describe());
            assert_changes_commit(&mut sim, 1_500);
            assert_no_breaches(&sim);
        }
    }
}
