//! Many processes end at once, by a kill or by a power loss, and restart: acknowledged changes are kept,
//! reads are confirmed within a fraction of a second, and commands commit again.

mod simulation;

use std::time::Duration;

use simulation::operators::Wake;
use simulation::schedule::Fault;
use simulation::{ms, run, ClusterConfig, Simulation};

/// How long the machines are down, in milliseconds.
const DOWNTIME_MS: u64 = 620;
/// The maximum time from the restart of the last process to the next committed change.
const RECOVERED_WITHIN: Duration = ms(4_000);

/// The set of processes that end.
#[derive(Clone, Copy, Debug)]
enum Scope {
    All,
    AllButOne,
    /// The processes in the zone of the first machine.
    Zone,
}

/// The activity of the cluster when the processes end.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Changes are being committed.
    Changes,
    /// A voter was lost permanently, and another machine is about to replace it.
    Replacement,
    /// The cluster starts for the first time.
    FirstStart,
    /// All processes have just restarted after they ended at once.
    Restart,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    scope: Scope,
    phase: Phase,
    keeps_power: bool,
    /// The time between the ends of two processes, in milliseconds.
    interval_ms: u64,
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for scope in [Scope::All, Scope::AllButOne, Scope::Zone] {
        for phase in [Phase::Changes, Phase::Replacement, Phase::FirstStart, Phase::Restart] {
            for (keeps_power, interval_ms) in [(true, 0), (false, 0), (true, 50), (false, 50)] {
                cases.push(Case { scope, phase, keeps_power, interval_ms });
            }
        }
    }
    cases
}

fn affected_nodes(sim: &Simulation, scope: Scope) -> Vec<usize> {
    let running = (0..sim.nodes.len()).filter(|index| !sim.nodes[*index].removed);
    match scope {
        Scope::All => running.collect(),
        Scope::AllButOne => running.skip(1).collect(),
        Scope::Zone => running.filter(|index| sim.nodes[*index].zone == sim.nodes[0].zone).collect(),
    }
}

/// Stops the affected processes, and starts them again after the downtime.
fn stop_and_restart(sim: &mut Simulation, case: Case) {
    let indices = affected_nodes(sim, case.scope);
    for index in &indices {
        if case.keeps_power {
            sim.kill(*index);
        } else {
            sim.power_off(*index);
        }
        run(sim, case.interval_ms);
    }
    run(sim, DOWNTIME_MS);
    for index in indices {
        sim.start(index);
    }
}

fn run_to_phase(sim: &mut Simulation, phase: Phase, seed: u64) {
    let jitter = seed * 37 % 700;
    match phase {
        Phase::FirstStart => run(sim, 100 + jitter * 2),
        Phase::Changes => run(sim, 6_000 + jitter),
        Phase::Replacement => {
            run(sim, 6_000);
            let lost = sim.newest_view().head().and_then(|id| sim.index_of(id)).expect("a head");
            sim.apply(Fault::Replace(lost));
            run(sim, 2_700 + jitter);
        }
        Phase::Restart => {
            run(sim, 6_000);
            let case = Case { scope: Scope::All, phase, keeps_power: true, interval_ms: 0 };
            stop_and_restart(sim, case);
            run(sim, jitter / 2);
        }
    }
}

fn run_case(cluster: ClusterConfig, case: Case, seed: u64) {
    let mut sim = cluster.start_cluster(seed);
    sim.operators.interval = ms(90);
    sim.wake_operator_at(sim.now + ms(2_500), Wake::New);
    run_to_phase(&mut sim, case.phase, seed);
    stop_and_restart(&mut sim, case);
    let back = sim.now;
    let known = sim.checks.newest_acknowledged();
    if matches!(case.phase, Phase::FirstStart) {
        run(&mut sim, 3_000);
    }
    while sim.checks.newest_acknowledged() == known && sim.now < back + RECOVERED_WITHIN * 2 {
        run(&mut sim, 50);
    }
    let took = sim.now - back;
    assert!(
        sim.checks.newest_acknowledged() > known,
        "{cluster:?} {case:?} seed {seed}: nothing committed: {}",
        sim.describe()
    );
    let allowed = if matches!(case.phase, Phase::FirstStart) { ms(7_000) } else { RECOVERED_WITHIN };
    assert!(took <= allowed, "{cluster:?} {case:?} seed {seed}: {took:?}");
    run(&mut sim, 2_000);
    assert!(sim.checks.breaches.is_empty(), "{cluster:?} {case:?} seed {seed}: {:#?}", sim.checks.breaches);
}

#[test]
fn a_cluster_recovers_after_simultaneous_process_ends() {
    let clusters = [
        ClusterConfig { machines: 4, losses: 1 },
        ClusterConfig { machines: 5, losses: 2 },
        ClusterConfig { machines: 8, losses: 1 },
    ];
    for cluster in clusters {
        for case in cases() {
            for seed in 0..4 {
                run_case(cluster, case, 4_000 + seed);
            }
        }
    }
}

/// All processes start at nearly the same time, so the first heartbeats of some reach no running process.
#[test]
fn reads_are_confirmed_soon_after_all_have_started_again() {
    let mut slowest = Duration::ZERO;
    for seed in 0..40 {
        let mut sim = ClusterConfig { machines: 6, losses: 1 }.start_cluster(5_000 + seed);
        run(&mut sim, 6_000);
        for index in 0..6 {
            sim.kill(index);
        }
        run(&mut sim, DOWNTIME_MS);
        for index in 0..6 {
            sim.start(index);
            run(&mut sim, 4);
        }
        let begun = sim.now;
        let voters: Vec<usize> =
            sim.newest_view().members.iter().filter_map(|member| sim.index_of(member.id)).collect();
        while !voters.iter().all(|index| sim.is_fresh(*index)) && sim.now < begun + ms(3_000) {
            run(&mut sim, 1);
        }
        slowest = slowest.max(sim.now - begun);
    }
    assert!(slowest <= ms(110), "{slowest:?}");
}
