//! Basic behaviour of the replicas, one scenario per test, in virtual time.

mod simulation;

use crankpick_control::{CommandId, Input, Outcome, Record, RecordBody, View};
use simulation::schedule::Fault;
use simulation::{command, ms, run, submit, Simulation};

/// Starts the seeds and the other nodes 60 ms apart and runs until the cluster has settled.
fn settled(seeds: usize, others: usize) -> Simulation {
    let mut sim = Simulation::new(7, seeds, others);
    for index in 0..seeds + others {
        let at = sim.now + ms(60 * index as u64);
        sim.fault_at(at, Fault::Start(index));
    }
    run(&mut sim, 3500);
    sim
}

/// Submits a command to a process and returns its answer after 3.5 s, if any.
fn ask(sim: &mut Simulation, index: usize, if_match: u64, generation: u64, salt: u64) -> Option<Outcome> {
    let key = sim.heard.len() as u64 + 1_000_000;
    sim.input(index, Input::Submit { key: CommandId(key), command: command(if_match, generation, salt) });
    run(sim, 3500);
    sim.heard.iter().find(|(heard, _)| heard.0 == key).map(|(_, outcome)| *outcome)
}

fn chain(sim: &Simulation) -> Vec<usize> {
    sim.newest_view().chain.iter().filter_map(|id| sim.index_of(*id)).collect()
}

fn generation(sim: &Simulation, index: usize) -> u64 {
    let replica = sim.nodes[index].replica.as_ref().expect("up");
    replica.newest_committed().map_or(0, |entry| entry.command.generation)
}

fn assert_no_breaches(sim: &Simulation) {
    assert!(sim.checks.breaches.is_empty(), "{:#?}", sim.checks.breaches);
}

/// The node indices of the voters.
fn voters(sim: &Simulation) -> Vec<usize> {
    sim.newest_view().members.iter().filter_map(|member| sim.index_of(member.id)).collect()
}

/// The one node of four that does not vote.
fn standby(sim: &Simulation) -> usize {
    let voters = voters(sim);
    assert_eq!(voters.len(), 3, "{}", sim.describe());
    (0..sim.nodes.len())
        .find(|index| !voters.contains(index) && !sim.nodes[*index].removed)
        .expect("a standby")
}

#[test]
fn three_seeds_bootstrap_and_a_fourth_stands_by() {
    let sim = settled(3, 1);
    assert_eq!(voters(&sim), [0, 1, 2]);
    assert_eq!(chain(&sim), [0, 1, 2]);
    assert!((0..4).all(|index| sim.is_fresh(index)), "{}", sim.describe());
    assert_no_breaches(&sim);
}

#[test]
fn two_of_three_seeds_bootstrap_and_the_third_joins_late() {
    let mut sim = Simulation::new(3, 3, 0);
    sim.start(0);
    sim.start(2);
    run(&mut sim, 4500);
    assert_eq!(sim.newest_view().members.len(), 2);
    sim.start(1);
    run(&mut sim, 2000);
    assert_eq!(sim.newest_view().members.len(), 3);
    assert_no_breaches(&sim);
}

/// Seeds are configured by zone, whether or not they have a disk. Seeds without a disk take no part in the
/// first view, and bootstrap waits for them only until they report that.
#[test]
fn the_seeds_with_a_disk_decide_on_the_first_view() {
    for durable in [vec![0], vec![1], vec![0, 2]] {
        let mut sim = Simulation::new(3, 3, 2);
        for index in 0..3 {
            sim.nodes[index].durable = durable.contains(&index);
        }
        for index in 0..5 {
            sim.start(index);
        }
        run(&mut sim, 4000);
        let mut expected = durable.clone();
        expected.extend([3, 4]);
        let mut voters = voters(&sim);
        voters.sort_unstable();
        // With four candidates, one is a standby.
        voters.iter().for_each(|index| assert!(expected.contains(index), "{}", sim.describe()));
        assert_eq!(voters.len(), 3, "{}", sim.describe());
        assert_eq!(ask(&mut sim, 1, 0, 5, 1), Some(Outcome::Committed));
        assert_no_breaches(&sim);
    }
}

#[test]
fn bootstrap_waits_for_a_seed_that_may_have_a_disk() {
    let mut sim = Simulation::new(3, 3, 0);
    sim.nodes[1].durable = false;
    sim.start(0);
    sim.start(1);
    run(&mut sim, 6_000);
    assert_eq!(sim.newest_view(), View::default(), "the third might bootstrap with others");
    sim.nodes[2].durable = false;
    sim.start(2);
    run(&mut sim, 1_500);
    assert_eq!(voters(&sim), [0]);
    assert_eq!(ask(&mut sim, 2, 0, 5, 1), Some(Outcome::Committed));
}

/// Fewer copies than the tolerated losses require are not accepted while other machines may still join.
#[test]
fn a_single_machine_accepts_commands_after_the_join_wait() {
    let mut sim = Simulation::new(3, 3, 0);
    for index in 0..3 {
        sim.nodes[index].durable = index == 0;
        sim.start(index);
    }
    run(&mut sim, 1_000);
    assert_eq!(voters(&sim), [0]);
    let early = ask(&mut sim, 2, 0, 5, 1);
    assert_eq!(early, Some(Outcome::Unknown), "a single copy does not tolerate a loss");
    run(&mut sim, 1_000);
    assert_eq!(ask(&mut sim, 2, 0, 5, 1), Some(Outcome::Committed));
}

/// Only one seed has a disk. Other machines with disks were heard from and are cut off before they join: a
/// command waits for them, since a single copy does not survive the one loss to be tolerated.
#[test]
fn a_machine_that_has_heard_of_others_waits_for_them() {
    for cut_after in [300, 350, 400, 500] {
        let mut sim = Simulation::new(3, 3, 2);
        for index in 0..5 {
            sim.nodes[index].durable = index == 0 || index >= 3;
        }
        for index in 0..3 {
            sim.start(index);
        }
        run(&mut sim, 1_000);
        assert_eq!(voters(&sim), [0]);
        for index in 3..5 {
            sim.start(index);
            // Their messages arrive but they receive none, so they cannot join.
            sim.apply(Fault::Cut(vec![(0, index)]));
        }
        run(&mut sim, cut_after);
        sim.apply(Fault::Cut((0..5).filter(|index| *index != 0).map(|index| (index, 0)).collect()));
        run(&mut sim, 7_000);
        let asked = ask(&mut sim, 0, 0, 5, 1);
        assert_eq!(asked, Some(Outcome::Unknown), "cut after {cut_after}: one copy of two that are possible");
        sim.apply(Fault::Heal);
        run(&mut sim, 3_000);
        assert_eq!(ask(&mut sim, 0, 0, 5, 1), Some(Outcome::Committed), "{}", sim.describe());
        assert!(chain(&sim).len() >= 2, "{}", sim.describe());
        assert_no_breaches(&sim);
    }
}

#[test]
fn a_cluster_without_disks_tolerates_one_process_death() {
    let mut sim = Simulation::new(3, 3, 1);
    for index in 0..4 {
        sim.nodes[index].durable = false;
        sim.start(index);
    }
    run(&mut sim, 3_000);
    assert_eq!(voters(&sim), [0, 1, 2], "{}", sim.describe());
    assert_eq!(ask(&mut sim, 3, 0, 5, 1), Some(Outcome::Committed));
    for dead in 0..3 {
        sim.kill(dead);
        run(&mut sim, 500);
        sim.start(dead);
        run(&mut sim, 5_000);
        assert_eq!(chain(&sim).len(), 3, "{}", sim.describe());
    }
    assert_eq!(ask(&mut sim, 1, 0, 5, 1), Some(Outcome::Committed), "remembered by the restarted processes");
}

#[test]
fn one_seed_alone_decides_nothing() {
    let mut sim = Simulation::new(3, 3, 1);
    sim.start(0);
    sim.start(3);
    run(&mut sim, 10_000);
    assert_eq!(sim.newest_view(), View::default());
}

#[test]
fn a_second_start_with_empty_disks_is_no_bootstrap() {
    let mut sim = Simulation::new(3, 3, 1);
    for index in 0..4 {
        sim.nodes[index].bootstrap = false;
        sim.start(index);
    }
    run(&mut sim, 10_000);
    assert_eq!(sim.newest_view(), View::default());
}

#[test]
fn a_command_submitted_to_any_node_is_committed_on_all() {
    let mut sim = settled(3, 1);
    let mut known = 0;
    for index in 0..4 {
        assert_eq!(ask(&mut sim, index, known, known + 5, 1), Some(Outcome::Committed));
        known += 5;
        assert!((0..4).all(|index| generation(&sim, index) == known));
    }
    assert_no_breaches(&sim);
}

#[test]
fn a_resubmitted_command_is_accepted_and_others_are_refused() {
    let mut sim = settled(3, 1);
    assert_eq!(ask(&mut sim, 0, 0, 5, 1), Some(Outcome::Committed));
    assert_eq!(ask(&mut sim, 1, 5, 9, 1), Some(Outcome::Committed));
    assert_eq!(ask(&mut sim, 2, 0, 5, 1), Some(Outcome::Committed), "resubmitted after a newer command");
    assert_eq!(ask(&mut sim, 2, 0, 5, 2), Some(Outcome::Conflict { current: 9 }), "other bytes");
    assert_eq!(ask(&mut sim, 3, 5, 9, 2), Some(Outcome::Conflict { current: 9 }), "the number of another");
    assert_eq!(ask(&mut sim, 3, 9, 9, 3), Some(Outcome::Invalid { current: 9 }));
    assert_eq!(ask(&mut sim, 3, 12, 15, 3), Some(Outcome::Unknown), "its base may still be committed");
    assert_no_breaches(&sim);
}

#[test]
fn a_dead_member_is_left_out_and_taken_back() {
    for dead in 0..3 {
        let mut sim = settled(3, 0);
        sim.kill(dead);
        let index = (dead + 1) % 3;
        assert_eq!(ask(&mut sim, index, 0, 5, 1), Some(Outcome::Committed));
        assert!(!chain(&sim).contains(&dead));
        assert_eq!(sim.newest_view().members.len(), 3, "a member is not dropped without a standby");
        sim.start(dead);
        run(&mut sim, 4000);
        assert!(chain(&sim).contains(&dead), "{}", sim.describe());
        assert_eq!(generation(&sim, dead), 5);
        assert_no_breaches(&sim);
    }
}

#[test]
fn a_dead_member_gives_its_vote_to_the_standby_and_stands_by_itself() {
    for dead in 0..3 {
        let mut sim = settled(3, 1);
        sim.kill(dead);
        let index = (dead + 1) % 4;
        assert_eq!(ask(&mut sim, index, 0, 5, 1), Some(Outcome::Committed));
        assert!(!chain(&sim).contains(&dead));
        run(&mut sim, 1000);
        assert!(voters(&sim).contains(&3) && !voters(&sim).contains(&dead), "{}", sim.describe());
        assert_eq!(chain(&sim).len(), 3);
        sim.start(dead);
        run(&mut sim, 4000);
        assert_eq!(standby(&sim), dead, "{}", sim.describe());
        assert!(sim.is_fresh(dead));
        assert_eq!(generation(&sim, dead), 5);
        assert_no_breaches(&sim);
    }
}

#[test]
fn what_was_acknowledged_survives_when_all_die_at_once() {
    let mut sim = settled(3, 1);
    assert_eq!(ask(&mut sim, 2, 0, 5, 1), Some(Outcome::Committed));
    sim.apply(Fault::KillAll);
    run(&mut sim, 500);
    sim.apply(Fault::StartAll);
    run(&mut sim, 1500);
    assert!((0..4).all(|index| generation(&sim, index) == 5 && sim.is_fresh(index)), "{}", sim.describe());
    assert_eq!(ask(&mut sim, 3, 0, 5, 1), Some(Outcome::Committed));
    assert_no_breaches(&sim);
}

/// Each replica restores the commit position from its own disk, so after all processes die it need not wait
/// for the others.
#[test]
fn a_restarted_replica_knows_alone_what_was_committed() {
    let mut sim = settled(3, 1);
    assert_eq!(ask(&mut sim, 2, 0, 5, 1), Some(Outcome::Committed));
    run(&mut sim, 1000);
    for index in 0..4 {
        let options = sim.nodes[index].replica.as_ref().expect("up").options().clone();
        let stored = sim.nodes[index].disk.iter();
        let records: Vec<Record> =
            stored.map(|bytes| Record::decode(bytes).expect("a valid record")).collect();
        let restored = crankpick_control::Replica::restore(ms(1), options.clone(), records, &mut Vec::new());
        let known = restored.newest_committed().map(|entry| entry.command.generation);
        assert_eq!((known, restored.freshness(ms(1))), (Some(5), None));
        let snapshot = restored.snapshot_records();
        let again = crankpick_control::Replica::restore(ms(1), options, snapshot, &mut Vec::new());
        assert_eq!(again.newest_committed().map(|entry| entry.command.generation), Some(5));
    }
}

/// A replica that restarts alone does not expose an entry that was appended and never committed.
#[test]
fn a_restarted_replica_hands_out_nothing_uncommitted() {
    let mut sim = settled(3, 1);
    assert_eq!(ask(&mut sim, 2, 0, 5, 1), Some(Outcome::Committed));
    run(&mut sim, 1000);
    let tail = *sim.newest_view().chain.last().expect("a chain");
    let id = |sim: &Simulation, index: usize| sim.nodes[index].replica.as_ref().expect("up").id();
    let tail = (0..4).find(|index| id(&sim, *index) == tail).expect("one of them");
    sim.kill(tail);
    submit(&mut sim, (tail + 1) % 4, 77, command(5, 6, 2));
    run(&mut sim, 100);
    for index in (0..4).filter(|index| *index != tail) {
        let options = sim.nodes[index].replica.as_ref().expect("up").options().clone();
        let stored = sim.nodes[index].disk.iter();
        let records: Vec<Record> =
            stored.map(|bytes| Record::decode(bytes).expect("a valid record")).collect();
        let restored = crankpick_control::Replica::restore(ms(1), options, records, &mut Vec::new());
        assert_eq!(restored.newest_committed().map(|entry| entry.command.generation), Some(5));
    }
}

#[test]
fn a_wiped_member_is_a_new_one() {
    let mut sim = settled(3, 1);
    assert_eq!(ask(&mut sim, 2, 0, 5, 1), Some(Outcome::Committed));
    for wiped in 0..4 {
        let before = sim.newest_view();
        sim.wipe(wiped);
        run(&mut sim, 400);
        sim.start(wiped);
        run(&mut sim, 4500);
        let after = sim.newest_view();
        let address = sim.nodes[wiped].address;
        let old = before.members.iter().find(|member| member.address == address);
        assert!(old.is_none_or(|old| after.member(old.id).is_none()), "{}", sim.describe());
        assert_eq!(after.members.len(), 3);
        assert_eq!(chain(&sim).len(), 3, "{}", sim.describe());
        assert_eq!(generation(&sim, wiped), 5);
        assert!(chain(&sim).contains(&wiped) || standby(&sim) == wiped);
    }
    assert_eq!(ask(&mut sim, 0, 0, 5, 1), Some(Outcome::Committed), "remembered after all four were wiped");
    assert_no_breaches(&sim);
}

#[test]
fn a_machine_gone_for_good_gives_its_place_to_an_empty_one_at_another_address() {
    let mut sim = settled(3, 1);
    assert_eq!(ask(&mut sim, 2, 0, 5, 1), Some(Outcome::Committed));
    sim.apply(Fault::Replace(1));
    run(&mut sim, 5000);
    let view = sim.newest_view();
    assert_eq!(view.members.len(), 3);
    assert!(view.members.iter().all(|member| member.address != sim.nodes[1].address));
    assert_eq!(chain(&sim).len(), 3);
    assert_eq!(standby(&sim), 4, "the former standby became a voter, the new machine is the standby");
    assert_eq!(generation(&sim, 4), 5);
    assert_no_breaches(&sim);
}

#[test]
fn a_follower_without_a_disk_is_fresh_and_forwards() {
    let mut sim = settled(3, 1);
    let seeds = sim.nodes[0].seeds.clone();
    let follower = sim.add_node(seeds, false, false);
    sim.start(follower);
    run(&mut sim, 1500);
    assert!(sim.is_fresh(follower), "{}", sim.describe());
    assert_eq!(ask(&mut sim, follower, 0, 5, 1), Some(Outcome::Committed));
    assert_eq!(generation(&sim, follower), 5);
    assert_eq!(voters(&sim), [0, 1, 2]);
    assert!(sim.nodes[follower].disk.is_empty());
    assert_no_breaches(&sim);
}

#[test]
fn a_process_restarted_with_other_seeds_finds_the_members_it_knew() {
    let mut sim = settled(3, 1);
    sim.kill(3);
    sim.nodes[3].seeds = vec![simulation::address(9)];
    sim.start(3);
    run(&mut sim, 1500);
    assert!(sim.is_fresh(3), "{}", sim.describe());
    assert_no_breaches(&sim);
}

#[test]
fn a_cut_off_member_isnt_fresh_and_takes_nothing() {
    let mut sim = settled(3, 1);
    let head = chain(&sim)[0];
    let pairs =
        (0..4).filter(|other| *other != head).flat_map(|other| [(head, other), (other, head)]).collect();
    sim.apply(Fault::Cut(pairs));
    run(&mut sim, 700);
    assert!(!sim.is_fresh(head));
    assert_eq!(ask(&mut sim, head, 0, 5, 1), Some(Outcome::Unknown));
    assert_eq!(ask(&mut sim, (head + 1) % 4, 0, 6, 2), Some(Outcome::Committed));
    sim.apply(Fault::Heal);
    run(&mut sim, 3500);
    assert!(sim.is_fresh(head));
    assert_eq!(generation(&sim, head), 6);
    assert_no_breaches(&sim);
}

#[test]
fn a_snapshot_stands_in_for_all_records_before_it() {
    let mut sim = settled(3, 1);
    assert_eq!(ask(&mut sim, 2, 0, 5, 1), Some(Outcome::Committed));
    for index in 0..4 {
        let replica = sim.nodes[index].replica.as_ref().expect("up");
        let snapshot = replica.snapshot_records();
        let mut records: Vec<Record> = sim.nodes[index]
            .disk
            .iter()
            .map(|bytes| Record::decode(bytes).expect("a valid record"))
            .collect();
        // Records that the snapshot already includes are skipped when they are replayed after it.
        let again = records.clone();
        records.extend(snapshot.clone());
        records.extend(again);
        for records in [records, snapshot] {
            let options = replica.options().clone();
            let restored = crankpick_control::Replica::restore(ms(1), options, records, &mut Vec::new());
            assert_eq!(restored.id(), replica.id());
            assert_eq!(restored.view(), replica.view());
            let kept = restored.snapshot_records();
            let (RecordBody::Snapshot(kept), RecordBody::Snapshot(first)) =
                (&kept[0].body, &replica.snapshot_records()[0].body)
            else {
                panic!("snapshots");
            };
            assert_eq!((kept.matched, kept.complete), (first.matched, first.complete));
            assert_eq!(kept.headers, first.headers);
            assert_eq!(kept.entries.last(), first.entries.last());
        }
    }
}

#[test]
fn a_wiped_member_ignores_messages_to_its_old_identity() {
    let mut sim = settled(3, 1);
    let old = sim.nodes[1].identity.expect("known");
    sim.wipe(1);
    sim.start(1);
    let new = sim.nodes[1].replica.as_ref().expect("up").id();
    assert_ne!(old, new);
    run(&mut sim, 50);
    let replica = sim.nodes[1].replica.as_ref().expect("up");
    assert!(replica.newest_committed().is_none());
    assert_no_breaches(&sim);
}

/// An entry that the head has not synced must not become part of another replica's state: after a restart the
/// head would assign the same entry id to another entry.
#[test]
fn unsynced_head_entries_are_not_propagated() {
    for wait in [20, 60, 100, 200, 300, 400] {
        let mut sim = settled(3, 1);
        let indices = chain(&sim);
        let (head, next) = (indices[0], indices[1]);
        sim.set_disk(head, simulation::DiskMode::Stalled);
        sim.input(head, Input::Submit { key: CommandId(1), command: command(0, 5, 1) });
        sim.apply(Fault::Leave(next));
        run(&mut sim, wait);
        for index in 0..4 {
            sim.power_off(index);
        }
        sim.set_disk(head, simulation::DiskMode::Healthy);
        sim.apply(Fault::StartAll);
        run(&mut sim, 150);
        for index in 0..4 {
            sim.input(index, Input::Submit { key: CommandId(2), command: command(0, 6, 2) });
        }
        run(&mut sim, 4000);
        assert_no_breaches(&sim);
        let mut states: Vec<Vec<crankpick_control::EntryHeader>> = Vec::new();
        for node in &sim.nodes {
            for record in node.replica.as_ref().expect("up").snapshot_records() {
                if let RecordBody::Snapshot(snapshot) = record.body {
                    states.push(snapshot.headers);
                }
            }
        }
        assert!(states.windows(2).all(|pair| pair[0] == pair[1]), "after {wait} ms: {states:?}");
    }
}

#[test]
fn a_wiped_member_whose_seeds_are_gone_is_found_by_the_others() {
    let mut sim = settled(3, 1);
    sim.nodes[1].seeds = vec![simulation::address(9)];
    sim.wipe(1);
    sim.start(1);
    run(&mut sim, 4500);
    assert!(sim.is_fresh(1), "{}", sim.describe());
    assert!(chain(&sim).contains(&1) || standby(&sim) == 1);
    assert_eq!(chain(&sim).len(), 3);
    assert_no_breaches(&sim);
}
