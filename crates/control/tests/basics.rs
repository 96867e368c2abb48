//! The ordinary path, one thing at a time, in virtual time.

mod simulation;

use crankpick_control::{CommandId, Input, Outcome, Record, RecordBody, View};
use simulation::schedule::Fault;
use simulation::{command, ms, run, submit, World};

/// Three seeds and others, started one after another, given time to settle.
fn settled(seeds: usize, others: usize) -> World {
    let mut world = World::new(7, seeds, others);
    for place in 0..seeds + others {
        let at = world.now + ms(60 * place as u64);
        world.fault_at(at, Fault::Start(place));
    }
    run(&mut world, 3500);
    world
}

/// Submits at a process and waits for the answer.
fn ask(world: &mut World, place: usize, if_match: u64, generation: u64, salt: u64) -> Option<Outcome> {
    let key = world.heard.len() as u64 + 1_000_000;
    world.input(place, Input::Submit { key: CommandId(key), command: command(if_match, generation, salt) });
    run(world, 3500);
    world.heard.iter().find(|(heard, _)| heard.0 == key).map(|(_, outcome)| *outcome)
}

fn chain(world: &World) -> Vec<usize> {
    world.newest_view().chain.iter().filter_map(|id| world.place_of(*id)).collect()
}

fn generation(world: &World, place: usize) -> u64 {
    let replica = world.nodes[place].replica.as_ref().expect("up");
    replica.newest_committed().map_or(0, |entry| entry.command.generation)
}

fn fine(world: &World) {
    assert!(world.checks.breaches.is_empty(), "{:#?}", world.checks.breaches);
}

/// The machines that vote, by place.
fn voters(world: &World) -> Vec<usize> {
    world.newest_view().members.iter().filter_map(|member| world.place_of(member.id)).collect()
}

/// The one of four that doesn't vote.
fn standby(world: &World) -> usize {
    let voters = voters(world);
    assert_eq!(voters.len(), 3, "{}", world.describe());
    (0..world.nodes.len())
        .find(|place| !voters.contains(place) && !world.nodes[*place].removed)
        .expect("one stands by")
}

#[test]
fn three_seeds_bootstrap_and_a_fourth_stands_by() {
    let world = settled(3, 1);
    assert_eq!(voters(&world), [0, 1, 2]);
    assert_eq!(chain(&world), [0, 1, 2]);
    assert!((0..4).all(|place| world.is_fresh(place)), "{}", world.describe());
    fine(&world);
}

#[test]
fn two_of_three_seeds_bootstrap_and_the_third_joins_late() {
    let mut world = World::new(3, 3, 0);
    world.start(0);
    world.start(2);
    run(&mut world, 4500);
    assert_eq!(world.newest_view().members.len(), 2);
    world.start(1);
    run(&mut world, 2000);
    assert_eq!(world.newest_view().members.len(), 3);
    fine(&world);
}

/// Seeds are named over zones, whether or not they have a disk: those without one don't decide, and are waited for only
/// until they say so.
#[test]
fn the_seeds_with_a_disk_decide_on_the_first_view() {
    for durable in [vec![0], vec![1], vec![0, 2]] {
        let mut world = World::new(3, 3, 2);
        for place in 0..3 {
            world.nodes[place].durable = durable.contains(&place);
        }
        for place in 0..5 {
            world.start(place);
        }
        run(&mut world, 4000);
        let mut expected = durable.clone();
        expected.extend([3, 4]);
        let mut voters = voters(&world);
        voters.sort_unstable();
        // Of four, one stands by.
        voters.iter().for_each(|place| assert!(expected.contains(place), "{}", world.describe()));
        assert_eq!(voters.len(), 3, "{}", world.describe());
        assert_eq!(ask(&mut world, 1, 0, 5, 1), Some(Outcome::Committed));
        fine(&world);
    }
}

#[test]
fn a_seed_that_isnt_heard_may_have_a_disk() {
    let mut world = World::new(3, 3, 0);
    world.nodes[1].durable = false;
    world.start(0);
    world.start(1);
    run(&mut world, 6_000);
    assert_eq!(world.newest_view(), View::default(), "the third might decide with others");
    world.nodes[2].durable = false;
    world.start(2);
    run(&mut world, 1_500);
    assert_eq!(voters(&world), [0]);
    assert_eq!(ask(&mut world, 2, 0, 5, 1), Some(Outcome::Committed));
}

/// Fewer copies than the losses ask for aren't enough while other machines may still join.
#[test]
fn a_machine_that_is_alone_takes_orders_once_nobody_else_came() {
    let mut world = World::new(3, 3, 0);
    for place in 0..3 {
        world.nodes[place].durable = place == 0;
        world.start(place);
    }
    run(&mut world, 1_000);
    assert_eq!(voters(&world), [0]);
    let early = ask(&mut world, 2, 0, 5, 1);
    assert_eq!(early, Some(Outcome::Unknown), "one copy, though one loss is to be borne");
    run(&mut world, 1_000);
    assert_eq!(ask(&mut world, 2, 0, 5, 1), Some(Outcome::Committed));
}

/// One seed alone has a disk. Others with one were heard and are cut off before they could join: a command waits for them,
/// since one copy doesn't outlive the loss that is to be borne.
#[test]
fn a_machine_that_has_heard_of_others_waits_for_them() {
    for cut_after in [300, 350, 400, 500] {
        let mut world = World::new(3, 3, 2);
        for place in 0..5 {
            world.nodes[place].durable = place == 0 || place >= 3;
        }
        for place in 0..3 {
            world.start(place);
        }
        run(&mut world, 1_000);
        assert_eq!(voters(&world), [0]);
        for place in 3..5 {
            world.start(place);
            // They are heard and don't hear: nobody takes them in.
            world.apply(Fault::Cut(vec![(0, place)]));
        }
        run(&mut world, cut_after);
        world.apply(Fault::Cut((0..5).filter(|place| *place != 0).map(|place| (place, 0)).collect()));
        run(&mut world, 7_000);
        let asked = ask(&mut world, 0, 0, 5, 1);
        assert_eq!(asked, Some(Outcome::Unknown), "cut after {cut_after}: one copy of two that are possible");
        world.apply(Fault::Heal);
        run(&mut world, 3_000);
        assert_eq!(ask(&mut world, 0, 0, 5, 1), Some(Outcome::Committed), "{}", world.describe());
        assert!(chain(&world).len() >= 2, "{}", world.describe());
        fine(&world);
    }
}

#[test]
fn a_core_without_disks_bears_the_death_of_one() {
    let mut world = World::new(3, 3, 1);
    for place in 0..4 {
        world.nodes[place].durable = false;
        world.start(place);
    }
    run(&mut world, 3_000);
    assert_eq!(voters(&world), [0, 1, 2], "{}", world.describe());
    assert_eq!(ask(&mut world, 3, 0, 5, 1), Some(Outcome::Committed));
    for dead in 0..3 {
        world.kill(dead);
        run(&mut world, 500);
        world.start(dead);
        run(&mut world, 5_000);
        assert_eq!(chain(&world).len(), 3, "{}", world.describe());
    }
    assert_eq!(
        ask(&mut world, 1, 0, 5, 1),
        Some(Outcome::Committed),
        "remembered by those that were started anew"
    );
}

#[test]
fn one_seed_alone_decides_nothing() {
    let mut world = World::new(3, 3, 1);
    world.start(0);
    world.start(3);
    run(&mut world, 10_000);
    assert_eq!(world.newest_view(), View::default());
}

#[test]
fn a_second_start_with_empty_disks_is_no_bootstrap() {
    let mut world = World::new(3, 3, 1);
    for place in 0..4 {
        world.nodes[place].bootstrap = false;
        world.start(place);
    }
    run(&mut world, 10_000);
    assert_eq!(world.newest_view(), View::default());
}

#[test]
fn an_order_submitted_anywhere_is_taken_and_known_everywhere() {
    let mut world = settled(3, 1);
    let mut known = 0;
    for place in 0..4 {
        assert_eq!(ask(&mut world, place, known, known + 5, 1), Some(Outcome::Committed));
        known += 5;
        assert!((0..4).all(|place| generation(&world, place) == known));
    }
    fine(&world);
}

#[test]
fn the_same_order_again_is_taken_and_others_are_refused() {
    let mut world = settled(3, 1);
    assert_eq!(ask(&mut world, 0, 0, 5, 1), Some(Outcome::Committed));
    assert_eq!(ask(&mut world, 1, 5, 9, 1), Some(Outcome::Committed));
    assert_eq!(ask(&mut world, 2, 0, 5, 1), Some(Outcome::Committed), "the same again, after a newer one");
    assert_eq!(ask(&mut world, 2, 0, 5, 2), Some(Outcome::Conflict { current: 9 }), "other bytes");
    assert_eq!(ask(&mut world, 3, 5, 9, 2), Some(Outcome::Conflict { current: 9 }), "the number of another");
    assert_eq!(ask(&mut world, 3, 9, 9, 3), Some(Outcome::Invalid { current: 9 }));
    assert_eq!(ask(&mut world, 3, 12, 15, 3), Some(Outcome::Unknown), "its base may yet come");
    fine(&world);
}

#[test]
fn a_dead_member_is_left_out_and_taken_back() {
    for dead in 0..3 {
        let mut world = settled(3, 0);
        world.kill(dead);
        let place = (dead + 1) % 3;
        assert_eq!(ask(&mut world, place, 0, 5, 1), Some(Outcome::Committed));
        assert!(!chain(&world).contains(&dead));
        assert_eq!(world.newest_view().members.len(), 3, "a member isn't dropped while nobody stands by");
        world.start(dead);
        run(&mut world, 4000);
        assert!(chain(&world).contains(&dead), "{}", world.describe());
        assert_eq!(generation(&world, dead), 5);
        fine(&world);
    }
}

#[test]
fn a_dead_member_gives_its_vote_to_the_standby_and_stands_by_itself() {
    for dead in 0..3 {
        let mut world = settled(3, 1);
        world.kill(dead);
        let place = (dead + 1) % 4;
        assert_eq!(ask(&mut world, place, 0, 5, 1), Some(Outcome::Committed));
        assert!(!chain(&world).contains(&dead));
        run(&mut world, 1000);
        assert!(voters(&world).contains(&3) && !voters(&world).contains(&dead), "{}", world.describe());
        assert_eq!(chain(&world).len(), 3);
        world.start(dead);
        run(&mut world, 4000);
        assert_eq!(standby(&world), dead, "{}", world.describe());
        assert!(world.is_fresh(dead));
        assert_eq!(generation(&world, dead), 5);
        fine(&world);
    }
}

#[test]
fn what_was_acknowledged_survives_when_all_die_at_once() {
    let mut world = settled(3, 1);
    assert_eq!(ask(&mut world, 2, 0, 5, 1), Some(Outcome::Committed));
    world.apply(Fault::KillAll);
    run(&mut world, 500);
    world.apply(Fault::StartAll);
    run(&mut world, 1500);
    assert!(
        (0..4).all(|place| generation(&world, place) == 5 && world.is_fresh(place)),
        "{}",
        world.describe()
    );
    assert_eq!(ask(&mut world, 3, 0, 5, 1), Some(Outcome::Committed));
    fine(&world);
}

/// Each replica knows by itself what was committed: after a loss of all it need not wait for the others to tell it.
#[test]
fn a_restarted_replica_knows_alone_what_was_committed() {
    let mut world = settled(3, 1);
    assert_eq!(ask(&mut world, 2, 0, 5, 1), Some(Outcome::Committed));
    run(&mut world, 1000);
    for place in 0..4 {
        let options = world.nodes[place].replica.as_ref().expect("up").options().clone();
        let stored = world.nodes[place].disk.iter();
        let records: Vec<Record> = stored.map(|bytes| Record::decode(bytes).expect("sound")).collect();
        let restored = crankpick_control::Replica::restore(ms(1), options.clone(), records, &mut Vec::new());
        let known = restored.newest_committed().map(|entry| entry.command.generation);
        assert_eq!((known, restored.freshness(ms(1))), (Some(5), None));
        let snapshot = restored.snapshot_records();
        let again = crankpick_control::Replica::restore(ms(1), options, snapshot, &mut Vec::new());
        assert_eq!(again.newest_committed().map(|entry| entry.command.generation), Some(5));
    }
}

/// An entry that was appended and never committed isn't handed out by a replica that restarts alone.
#[test]
fn a_restarted_replica_hands_out_nothing_uncommitted() {
    let mut world = settled(3, 1);
    assert_eq!(ask(&mut world, 2, 0, 5, 1), Some(Outcome::Committed));
    run(&mut world, 1000);
    let tail = *world.newest_view().chain.last().expect("a chain");
    let id = |world: &World, place: usize| world.nodes[place].replica.as_ref().expect("up").id();
    let tail = (0..4).find(|place| id(&world, *place) == tail).expect("one of them");
    world.kill(tail);
    submit(&mut world, (tail + 1) % 4, 77, command(5, 6, 2));
    run(&mut world, 100);
    for place in (0..4).filter(|place| *place != tail) {
        let options = world.nodes[place].replica.as_ref().expect("up").options().clone();
        let stored = world.nodes[place].disk.iter();
        let records: Vec<Record> = stored.map(|bytes| Record::decode(bytes).expect("sound")).collect();
        let restored = crankpick_control::Replica::restore(ms(1), options, records, &mut Vec::new());
        assert_eq!(restored.newest_committed().map(|entry| entry.command.generation), Some(5));
    }
}

#[test]
fn a_wiped_member_is_a_new_one() {
    let mut world = settled(3, 1);
    assert_eq!(ask(&mut world, 2, 0, 5, 1), Some(Outcome::Committed));
    for wiped in 0..4 {
        let before = world.newest_view();
        world.wipe(wiped);
        run(&mut world, 400);
        world.start(wiped);
        run(&mut world, 4500);
        let after = world.newest_view();
        let address = world.nodes[wiped].address;
        let old = before.members.iter().find(|member| member.address == address);
        assert!(old.is_none_or(|old| after.member(old.id).is_none()), "{}", world.describe());
        assert_eq!(after.members.len(), 3);
        assert_eq!(chain(&world).len(), 3, "{}", world.describe());
        assert_eq!(generation(&world, wiped), 5);
        assert!(chain(&world).contains(&wiped) || standby(&world) == wiped);
    }
    assert_eq!(ask(&mut world, 0, 0, 5, 1), Some(Outcome::Committed), "remembered by four wiped ones");
    fine(&world);
}

#[test]
fn a_machine_gone_for_good_gives_its_place_to_an_empty_one_at_another_address() {
    let mut world = settled(3, 1);
    assert_eq!(ask(&mut world, 2, 0, 5, 1), Some(Outcome::Committed));
    world.apply(Fault::Replace(1));
    run(&mut world, 5000);
    let view = world.newest_view();
    assert_eq!(view.members.len(), 3);
    assert!(view.members.iter().all(|member| member.address != world.nodes[1].address));
    assert_eq!(chain(&world).len(), 3);
    assert_eq!(standby(&world), 4, "the one that stood by took its place, the new one stands by");
    assert_eq!(generation(&world, 4), 5);
    fine(&world);
}

#[test]
fn a_follower_without_a_disk_is_fresh_and_forwards() {
    let mut world = settled(3, 1);
    let seeds = world.nodes[0].seeds.clone();
    let follower = world.add_node(seeds, false, false);
    world.start(follower);
    run(&mut world, 1500);
    assert!(world.is_fresh(follower), "{}", world.describe());
    assert_eq!(ask(&mut world, follower, 0, 5, 1), Some(Outcome::Committed));
    assert_eq!(generation(&world, follower), 5);
    assert_eq!(voters(&world), [0, 1, 2]);
    assert!(world.nodes[follower].disk.is_empty());
    fine(&world);
}

#[test]
fn a_process_restarted_with_other_seeds_finds_the_members_it_knew() {
    let mut world = settled(3, 1);
    world.kill(3);
    world.nodes[3].seeds = vec![simulation::address(9)];
    world.start(3);
    run(&mut world, 1500);
    assert!(world.is_fresh(3), "{}", world.describe());
    fine(&world);
}

#[test]
fn a_cut_off_member_isnt_fresh_and_takes_nothing() {
    let mut world = settled(3, 1);
    let head = chain(&world)[0];
    let pairs =
        (0..4).filter(|other| *other != head).flat_map(|other| [(head, other), (other, head)]).collect();
    world.apply(Fault::Cut(pairs));
    run(&mut world, 700);
    assert!(!world.is_fresh(head));
    assert_eq!(ask(&mut world, head, 0, 5, 1), Some(Outcome::Unknown));
    assert_eq!(ask(&mut world, (head + 1) % 4, 0, 6, 2), Some(Outcome::Committed));
    world.apply(Fault::Heal);
    run(&mut world, 3500);
    assert!(world.is_fresh(head));
    assert_eq!(generation(&world, head), 6);
    fine(&world);
}

#[test]
fn a_snapshot_stands_in_for_all_records_before_it() {
    let mut world = settled(3, 1);
    assert_eq!(ask(&mut world, 2, 0, 5, 1), Some(Outcome::Committed));
    for place in 0..4 {
        let replica = world.nodes[place].replica.as_ref().expect("up");
        let snapshot = replica.snapshot_records();
        let mut records: Vec<Record> =
            world.nodes[place].disk.iter().map(|bytes| Record::decode(bytes).expect("sound")).collect();
        // The records that it holds come again after it: they are skipped.
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
fn nothing_is_said_to_one_that_isnt_meant() {
    let mut world = settled(3, 1);
    let old = world.nodes[1].identity.expect("known");
    world.wipe(1);
    world.start(1);
    let new = world.nodes[1].replica.as_ref().expect("up").id();
    assert_ne!(old, new);
    run(&mut world, 50);
    let replica = world.nodes[1].replica.as_ref().expect("up");
    assert!(replica.newest_committed().is_none());
    fine(&world);
}

/// What only the head's memory holds must not become part of another's state: after a restart the head would give its
/// name to another entry.
#[test]
fn what_the_head_hasnt_synced_isnt_handed_on() {
    for wait in [20, 60, 100, 200, 300, 400] {
        let mut world = settled(3, 1);
        let places = chain(&world);
        let (head, next) = (places[0], places[1]);
        world.set_disk(head, simulation::DiskMode::Stalled);
        world.input(head, Input::Submit { key: CommandId(1), command: command(0, 5, 1) });
        world.apply(Fault::Leave(next));
        run(&mut world, wait);
        for place in 0..4 {
            world.kill_without_power(place);
        }
        world.set_disk(head, simulation::DiskMode::Well);
        world.apply(Fault::StartAll);
        run(&mut world, 150);
        for place in 0..4 {
            world.input(place, Input::Submit { key: CommandId(2), command: command(0, 6, 2) });
        }
        run(&mut world, 4000);
        fine(&world);
        let mut states: Vec<Vec<crankpick_control::EntryHeader>> = Vec::new();
        for node in &world.nodes {
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
    let mut world = settled(3, 1);
    world.nodes[1].seeds = vec![simulation::address(9)];
    world.wipe(1);
    world.start(1);
    run(&mut world, 4500);
    assert!(world.is_fresh(1), "{}", world.describe());
    assert!(chain(&world).contains(&1) || standby(&world) == 1);
    assert_eq!(chain(&world).len(), 3);
    fine(&world);
}
