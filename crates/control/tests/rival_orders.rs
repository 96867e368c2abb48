//! Two operators submit different commands with the same generation to different members, while the head is
//! killed, wiped, cut off or leaves: at most one of them is confirmed, and it is confirmed again whenever it
//! is resubmitted.

mod simulation;

use std::sync::Arc;

use crankpick_control::{Command, CommandId, Input, Outcome};
use simulation::schedule::Fault;
use simulation::{command, is_refusal, ms, run, ClusterConfig, Simulation};

fn settled(seed: u64, machines: usize) -> Simulation {
    let mut sim = ClusterConfig { machines, losses: 1 }.start_cluster(seed);
    run(&mut sim, 5000);
    sim
}

/// Submits a command; returns the key of its answer.
fn send(sim: &mut Simulation, index: usize, command: &Arc<Command>) -> CommandId {
    let key = CommandId(sim.random.u64(1_000_000_000..u64::MAX));
    sim.input(index, Input::Submit { key, command: command.clone() });
    key
}

fn answer(sim: &Simulation, key: CommandId) -> Option<Outcome> {
    sim.heard.iter().find(|(heard, _)| *heard == key).map(|(_, outcome)| *outcome)
}

/// Submits a command to one member after another until there is a definite answer, and returns that.
fn submit_until_decided(sim: &mut Simulation, command: &Arc<Command>) -> Option<Outcome> {
    for index in (0..sim.nodes.len()).cycle().take(24) {
        if sim.nodes[index].replica.is_none() {
            continue;
        }
        let key = send(sim, index, command);
        run(sim, 1_000);
        if let Some(outcome) = answer(sim, key).filter(|outcome| *outcome != Outcome::Unknown) {
            return Some(outcome);
        }
    }
    None
}

/// The fault of the head while both commands are in progress.
#[derive(Clone, Copy, Debug)]
enum HeadFault {
    Nothing,
    Killed,
    Wiped,
    CutOff,
    Leaves,
    AllKilled,
}

fn schedule_fault(sim: &mut Simulation, fault: HeadFault, head: usize, after: u64) {
    let at = sim.now + ms(after);
    let others = (0..sim.nodes.len()).filter(|index| *index != head);
    match fault {
        HeadFault::Nothing => {}
        HeadFault::Killed => {
            sim.fault_at(at, Fault::Kill(head));
            sim.fault_at(at + ms(2500), Fault::Start(head));
        }
        HeadFault::Wiped => {
            sim.fault_at(at, Fault::Wipe(head));
            sim.fault_at(at + ms(800), Fault::Start(head));
        }
        HeadFault::CutOff => {
            let pairs = others.flat_map(|other| [(head, other), (other, head)]).collect();
            sim.fault_at(at, Fault::Cut(pairs));
            sim.fault_at(at + ms(6000), Fault::Heal);
        }
        HeadFault::Leaves => sim.fault_at(at, Fault::Shutdown { index: head, returns: true }),
        HeadFault::AllKilled => {
            sim.fault_at(at, Fault::KillAll);
            sim.fault_at(at + ms(300), Fault::StartAll);
        }
    }
}

fn run_case(seed: u64, machines: usize, fault: HeadFault, after: u64) {
    let what = format!("{machines} machines, {fault:?} after {after} ms, seed {seed}");
    let mut sim = settled(seed, machines);
    let first = command(0, 3, 1);
    assert_eq!(submit_until_decided(&mut sim, &first), Some(Outcome::Committed), "{what}");
    let head = sim.newest_view().head().and_then(|id| sim.index_of(id)).expect("a head");
    let (one, other) = (command(3, 7, 10), command(3, 7, 11));
    schedule_fault(&mut sim, fault, head, after);
    let sent = [
        (send(&mut sim, head, &one), 0),
        (send(&mut sim, head, &one), 0),
        (send(&mut sim, (head + 1) % 3, &other), 1),
        (send(&mut sim, (head + 2) % 3, &one), 0),
        (send(&mut sim, (head + 2) % 3, &other), 1),
    ];
    run(&mut sim, 7_000);
    let outcomes = [submit_until_decided(&mut sim, &one), submit_until_decided(&mut sim, &other)];
    let taken: Vec<usize> = (0..2).filter(|rival| outcomes[*rival] == Some(Outcome::Committed)).collect();
    assert_eq!(taken.len(), 1, "{what}: {outcomes:?} {}", sim.describe());
    assert!(outcomes[1 - taken[0]].is_some_and(is_refusal), "{what}: {outcomes:?}");
    for (key, rival) in sent {
        let outcome = answer(&sim, key);
        let confirmed = outcome == Some(Outcome::Committed);
        let refused = outcome.is_some_and(is_refusal);
        assert!(!(confirmed && rival != taken[0]), "{what}: both were confirmed");
        assert!(!(refused && rival == taken[0]), "{what}: the committed command was refused");
    }
    let winner = [one, other][taken[0]].clone();
    assert_eq!(submit_until_decided(&mut sim, &command(7, 9, 1)), Some(Outcome::Committed), "{what}");
    sim.apply(Fault::KillAll);
    run(&mut sim, 200);
    sim.apply(Fault::StartAll);
    run(&mut sim, 3_000);
    for again in [&winner, &first] {
        assert_eq!(
            submit_until_decided(&mut sim, again),
            Some(Outcome::Committed),
            "{what}: resubmitted after a newer command"
        );
    }
    assert!(sim.checks.breaches.is_empty(), "{what}: {:#?}", sim.checks.breaches);
}

#[test]
fn exactly_one_of_two_rival_commands_commits_after_any_head_fault() {
    let troubles = [
        HeadFault::Nothing,
        HeadFault::Killed,
        HeadFault::Wiped,
        HeadFault::CutOff,
        HeadFault::Leaves,
        HeadFault::AllKilled,
    ];
    for fault in troubles {
        for machines in [3, 4, 5] {
            for after in [0, 1, 2, 3, 4, 6, 8, 12, 20, 60] {
                run_case(after * 7 + machines as u64, machines, fault, after);
            }
        }
    }
}

#[test]
fn an_inquiry_reports_a_committed_command_and_never_commits_one() {
    let mut sim = settled(11, 3);
    let first = command(0, 3, 1);
    let inquiry = |command: &Arc<Command>| {
        Arc::new(Command::inquiry(command.if_match, command.generation, command.digest))
    };
    let key = send(&mut sim, 0, &inquiry(&first));
    run(&mut sim, 4_000);
    assert_eq!(answer(&sim, key), Some(Outcome::Unknown), "it may still be committed");
    assert_eq!(submit_until_decided(&mut sim, &first), Some(Outcome::Committed));
    assert_eq!(submit_until_decided(&mut sim, &inquiry(&first)), Some(Outcome::Committed));
    let rival = command(0, 3, 2);
    assert_eq!(submit_until_decided(&mut sim, &inquiry(&rival)), Some(Outcome::Conflict { current: 3 }));
    let next = command(3, 5, 3);
    let key = send(&mut sim, 1, &inquiry(&next));
    run(&mut sim, 4_000);
    assert_eq!(answer(&sim, key), Some(Outcome::Unknown));
    assert_eq!(submit_until_decided(&mut sim, &next), Some(Outcome::Committed));
}
