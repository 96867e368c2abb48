//! Permanently lost machines: commands wait until an operator declares such a machine gone; elapsed time
//! alone never releases them.

mod simulation;

use crankpick_control::{CommandId, Departure, Input, Outcome};
use simulation::{address, command, run, submit, ClusterConfig, Simulation};

/// A cluster that must tolerate one loss, consists of one machine, and has heard from a second machine that
/// is now gone.
fn single_member_after_another_announced_itself(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 1, 1);
    sim.start(0);
    run(&mut sim, 3_000);
    // The second machine announces itself, and is lost before it becomes a voter.
    sim.start(1);
    let heard = |sim: &Simulation| sim.checks.messages_of(1) >= 2;
    while !heard(&sim) {
        run(&mut sim, 1);
    }
    sim.wipe(1);
    sim.nodes[1].removed = true;
    run(&mut sim, 12_000);
    assert_eq!(sim.newest_view().members.len(), 1, "{}", sim.describe());
    sim
}

fn declare(sim: &mut Simulation, index: usize, key: u64, machine: usize) -> Option<Departure> {
    sim.input(index, Input::MachineGone { key: CommandId(key), address: address(machine) });
    run(sim, 50);
    sim.departures.iter().find(|(answered, _)| answered.0 == key).map(|(_, departure)| *departure)
}

fn ask(sim: &mut Simulation, index: usize, key: u64, if_match: u64) -> Option<Outcome> {
    submit(sim, index, key, command(if_match, if_match + 1, 0));
    run(sim, 50);
    sim.heard.iter().find(|(heard, _)| heard.0 == key).map(|(_, outcome)| *outcome)
}

#[test]
fn commands_wait_for_a_silent_machine_until_an_operator_declares_it_gone() {
    let mut sim = single_member_after_another_announced_itself(21);
    run(&mut sim, 60_000);
    assert_eq!(ask(&mut sim, 0, 1, 0), Some(Outcome::Unknown), "silence does not prove a loss");
    assert_eq!(declare(&mut sim, 0, 2, 1), Some(Departure::Recorded));
    assert_eq!(ask(&mut sim, 0, 3, 0), Some(Outcome::Committed));
    assert_eq!(declare(&mut sim, 0, 4, 1), Some(Departure::Recorded), "declaring it again changes nothing");
}

#[test]
fn a_departure_record_survives_power_loss_and_file_rewrites() {
    let mut sim = single_member_after_another_announced_itself(22);
    assert_eq!(declare(&mut sim, 0, 2, 1), Some(Departure::Recorded));
    for key in 10..200 {
        // Enough inputs to cause several file rewrites.
        ask(&mut sim, 0, key, key - 10);
    }
    for _ in 0..3 {
        sim.power_off(0);
        run(&mut sim, 100);
        sim.start(0);
        run(&mut sim, 6_000);
        let replica = sim.nodes[0].replica.as_ref().expect("up");
        let known = replica.newest_committed().expect("kept").command.generation;
        let key = 1_000 + sim.now.as_millis() as u64;
        assert_eq!(ask(&mut sim, 0, key, known), Some(Outcome::Committed));
    }
}

#[test]
fn a_machine_that_announces_itself_again_counts_again() {
    let mut sim = single_member_after_another_announced_itself(23);
    assert_eq!(declare(&mut sim, 0, 2, 1), Some(Departure::Recorded));
    assert_eq!(ask(&mut sim, 0, 3, 0), Some(Outcome::Committed));
    sim.nodes[1].removed = false;
    sim.start(1);
    run(&mut sim, 8_000);
    assert_eq!(sim.newest_view().chain.len(), 2, "{}", sim.describe());
    assert_eq!(ask(&mut sim, 0, 4, 1), Some(Outcome::Committed));
    assert_eq!(declare(&mut sim, 0, 5, 1), Some(Departure::StillHere), "it is a voter now");
}

#[test]
fn voters_live_and_unknown_machines_cannot_be_declared_gone() {
    let mut sim = ClusterConfig { machines: 4, losses: 1 }.start_cluster(24);
    run(&mut sim, 6_000);
    let head = sim.newest_view().head().and_then(|id| sim.index_of(id)).expect("a head");
    for machine in 0..4 {
        let answer = declare(&mut sim, head, 100 + machine as u64, machine);
        assert_eq!(answer, Some(Departure::StillHere), "machine {machine}");
    }
    assert_eq!(declare(&mut sim, head, 200, 77), Some(Departure::UnknownMachine));
    // A silent voter keeps its vote: it may hold entries that no other machine has.
    let view = sim.newest_view();
    let voter = view.tail().and_then(|id| sim.index_of(id)).expect("a tail");
    sim.freeze(voter);
    run(&mut sim, 1_500);
    assert_eq!(declare(&mut sim, head, 300, voter), Some(Departure::StillHere));
    assert!(sim.checks.breaches.is_empty(), "{:#?}", sim.checks.breaches);
}
