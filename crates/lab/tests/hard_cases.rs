//! Each hard case of one owner at a time as a script in virtual time: whole nodes, the faults one by one.

use crankpick_lab::history::Kind;
use crankpick_lab::world::{Setup, World};

const LEASE: u64 = 1_000_000;

/// A fleet with an owner, in which s-1 is out for all.
fn fleet(seed: u64, others: usize) -> (World, usize) {
    let mut world = World::new(seed, Setup { others, ..Setup::default() });
    world.run_for(4 * LEASE);
    world.ask(0, 1, true, &["s-1"]);
    world.run_for(LEASE);
    assert_eq!(world.acked(), [("1".to_owned(), 1)]);
    let owner = only(&world);
    (world, owner)
}

fn only(world: &World) -> usize {
    let owners = world.owners();
    assert_eq!(owners.len(), 1, "{owners:?}");
    owners[0]
}

fn all(world: &World, count: usize, version: u64) -> bool {
    (0..count).all(|at| world.taken(at).is_some_and(|taken| taken.version == version))
}

fn sound(world: &World) {
    let found = world.found();
    assert!(found.breaches.is_empty(), "{:?}", found.breaches);
    assert_eq!(found.overlap_us, 0);
}

fn stale(world: &World) -> usize {
    world.count(|kind| matches!(kind, Kind::StaleRefused { .. }))
}

/// Its words go out while it is the owner, and come in when it long is not: every receiver refuses them.
#[test]
fn an_owner_held_up_between_its_check_and_its_effect_is_refused_everywhere() {
    for seed in 0..20 {
        let (mut world, owner) = fleet(seed, 2);
        world.late(owner, 4 * LEASE);
        world.ask((owner + 1) % 3, 2, true, &["s-2"]);
        world.run_for(LEASE / 2);
        // Its last publication is on its way. Stopped for longer than the lease, it wakes as owner in its own mind.
        world.pause(owner);
        world.run_for(2 * LEASE);
        let next = only(&world);
        assert_ne!(next, owner);
        world.ask(next, 3, true, &["s-3"]);
        world.run_for(LEASE / 2);
        world.mend();
        world.resume(owner);
        assert!(!world.owners().contains(&owner), "seed {seed}: it still believes");
        let before = world.count(|kind| matches!(kind, Kind::Effect { .. }));
        world.run_for(4 * LEASE);
        sound(&world);
        assert!(stale(&world) > 0, "seed {seed}: nothing late came to a fence");
        assert!(all(&world, 5, 3), "seed {seed}");
        let after = world.count(|kind| matches!(kind, Kind::Effect { .. }));
        assert!(after - before <= 2, "seed {seed}: {} effects of old words", after - before);
    }
}

/// A receiver that starts anew does not trust what it hears before the fleet has told it where the fence is.
#[test]
fn a_receiver_that_has_restarted_in_between_refuses_the_old_owner_too() {
    for seed in 0..20 {
        let (mut world, owner) = fleet(seed, 2);
        world.late(owner, 5 * LEASE);
        world.ask((owner + 1) % 3, 2, true, &["s-2"]);
        world.run_for(LEASE / 2);
        world.pause(owner);
        world.run_for(2 * LEASE);
        let next = only(&world);
        world.ask(next, 3, false, &["s-1", "s-2"]);
        world.run_for(LEASE);
        // Its disk was full: what it took is not kept, and its fence with it.
        world.full(4, true);
        world.kill(4);
        world.full(4, false);
        world.restart(4);
        world.run_for(5 * LEASE);
        world.resume(owner);
        world.mend();
        world.run_for(3 * LEASE);
        sound(&world);
        assert!(all(&world, 5, 3), "seed {seed}");
    }
}

/// One that was cut off and never heard of the new owner may take what the old one says: its content is agreed,
/// and never older than what it has.
#[test]
fn a_receiver_cut_off_with_the_old_owner_takes_nothing_that_was_not_agreed() {
    for seed in 0..20 {
        let (mut world, owner) = fleet(seed, 2);
        let others: Vec<usize> = (0..5).filter(|at| *at != owner && *at != 4).collect();
        world.cut(&[owner, 4], &others);
        world.cut(&others, &[owner, 4]);
        world.run_for(3 * LEASE);
        let next = only(&world);
        world.ask(next, 2, true, &["s-2"]);
        world.run_for(LEASE);
        assert!(!world.owners().contains(&owner));
        assert_eq!(world.taken(4).map(|taken| taken.version), Some(1), "it acts on what it last heard");
        world.mend();
        world.run_for(5 * LEASE);
        sound(&world);
        assert!(all(&world, 5, 2), "seed {seed}");
    }
}

#[test]
fn cuts_both_ways_one_way_and_in_quick_succession_leave_one_owner() {
    for seed in 0..30 {
        let (mut world, owner) = fleet(seed, 2);
        let others: Vec<usize> = (0..5).filter(|at| *at != owner).collect();
        match seed % 3 {
            0 => {
                world.cut(&[owner], &others);
                world.cut(&others, &[owner]);
            }
            // It hears, and isn't heard.
            1 => world.cut(&[owner], &others),
            // A second cut before the first lease has run out.
            _ => {
                world.cut(&others, &[owner]);
                world.run_for(LEASE / 3);
                world.mend();
                let second = (owner + 1) % 3;
                let rest: Vec<usize> = (0..5).filter(|at| *at != second).collect();
                world.cut(&[second], &rest);
                world.cut(&rest, &[second]);
            }
        }
        world.run_for(4 * LEASE);
        let alive = only(&world);
        if seed % 3 < 2 {
            assert_ne!(alive, owner, "seed {seed}");
        }
        world.ask(alive, 2, true, &["s-2"]);
        world.run_for(LEASE);
        world.mend();
        world.run_for(5 * LEASE);
        sound(&world);
        assert!(all(&world, 5, 2), "seed {seed}");
    }
}

#[test]
fn a_full_disk_costs_the_duty_and_the_lead_and_comes_back_by_itself() {
    for seed in 0..20 {
        let (mut world, owner) = fleet(seed, 2);
        let leader = world.leader().expect("one leads");
        let second = if owner < 3 && owner != leader { owner } else { (leader + 1) % 3 };
        world.full(leader, true);
        world.full(second, true);
        // A majority is full: nothing is agreed, and nothing unwritten is acknowledged.
        world.ask(4, 2, true, &["s-2"]);
        world.run_for(4 * LEASE);
        assert_eq!(world.acked().len(), 1, "seed {seed}: agreed by one voter alone");
        world.full(leader, false);
        world.run_for(4 * LEASE);
        assert_ne!(only(&world), second, "seed {seed}: with one that can't write\n{}", world.told_of());
        world.ask(3, 3, true, &["s-3"]);
        world.run_for(LEASE);
        assert!(world.acked().iter().any(|(call, _)| call == "3"), "seed {seed}: {:?}", world.acked());
        world.full(second, false);
        world.run_for(4 * LEASE);
        sound(&world);
        let version = world.taken(0).map_or(0, |taken| taken.version);
        assert!(all(&world, 5, version) && version >= 2, "seed {seed}");
    }
}

/// The owner gives the duty up, and with no majority nobody hears it: it must say so again, or it would be taken
/// for the owner for good.
#[test]
fn a_duty_given_up_while_nobody_could_hear_it_finds_an_owner_again() {
    for seed in 0..20 {
        let (mut world, owner) = fleet(seed, 2);
        (0..3).for_each(|at| world.full(at, true));
        world.ask(3, 2, true, &["s-2"]);
        world.run_for(LEASE * (1 + seed % 3));
        (0..3).for_each(|at| world.full(at, false));
        world.run_for(5 * LEASE);
        world.ask(4, 3, true, &["s-3"]);
        world.run_for(2 * LEASE);
        only(&world);
        sound(&world);
        let version = world.taken(owner).map_or(0, |taken| taken.version);
        assert!(version >= 2 && all(&world, 5, version), "seed {seed}\n{}", world.told_of());
    }
}

#[test]
fn all_voters_down_and_up_again_keep_what_was_acknowledged() {
    let (mut world, _) = fleet(3, 2);
    (0..3).for_each(|at| world.kill(at));
    world.run_for(2 * LEASE);
    assert!(world.owners().is_empty());
    assert_eq!(world.taken(3).map(|taken| taken.version), Some(1), "the others act on what they have");
    (0..3).for_each(|at| world.restart(at));
    world.run_for(5 * LEASE);
    only(&world);
    world.ask(4, 2, false, &["s-1"]);
    world.run_for(2 * LEASE);
    sound(&world);
    assert!(all(&world, 5, 2));
}

/// Its votes were on the disk that is gone: under the old name it may only listen until it is taken in.
#[test]
fn a_voter_with_a_new_disk_is_taken_in_and_never_votes_as_the_old_one() {
    for seed in 0..20 {
        let (mut world, _) = fleet(seed, 2);
        let leader = world.leader().expect("one leads");
        let lost = (leader + 1) % 3;
        world.kill_with_disk(lost);
        world.run_for(LEASE);
        world.restart(lost);
        // Of the two that have the log one must not be enough together with the new disk.
        let third = 3 - leader - lost;
        world.pause(third);
        world.kill(leader);
        world.run_for(3 * LEASE);
        assert_eq!(world.leader(), None, "seed {seed}: a new disk helped to elect");
        world.resume(third);
        world.restart(leader);
        world.run_for(8 * LEASE);
        world.ask(lost, 2, true, &["s-2"]);
        world.run_for(2 * LEASE);
        sound(&world);
        assert!(all(&world, 5, 2), "seed {seed}\n{}", world.told_of());
        // Taken in for good: with it, the fleet bears the loss of another.
        world.kill(third);
        world.ask(4, 3, true, &["s-3"]);
        world.run_for(4 * LEASE);
        assert!(world.acked().iter().any(|(call, _)| call == "3"), "seed {seed}\n{}", world.told_of());
    }
}

#[test]
fn a_proxy_told_to_end_hands_over_at_once() {
    for seed in 0..20 {
        let (mut world, owner) = fleet(seed, 2);
        world.told_to_end(owner);
        world.run_for(200_000);
        assert_ne!(only(&world), owner, "seed {seed}");
        world.run_for(LEASE);
        sound(&world);
        let found = world.found();
        assert!(found.handed_us.iter().all(|us| *us < 200_000), "seed {seed}: {:?}", found.handed_us);
    }
}

#[test]
fn two_processes_of_one_proxy_are_one_session_and_never_two_owners() {
    for seed in 0..20 {
        let (mut world, owner) = fleet(seed, 2);
        let second = world.second_process(owner);
        world.run_for(3 * LEASE);
        assert!(!world.owners().contains(&second) || !world.owners().contains(&owner), "seed {seed}");
        only(&world);
        // Both serve, so both must know what is out, whoever votes.
        world.ask((owner + 1) % 3, 2, true, &["s-2"]);
        world.run_for(LEASE);
        for at in [owner, second] {
            assert_eq!(
                world.taken(at).map(|taken| taken.version),
                Some(2),
                "seed {seed}\n{}",
                world.told_of()
            );
        }
        // The older ends, as upgrades do.
        world.told_to_end(owner);
        world.run_for(LEASE / 2);
        world.kill(owner);
        world.run_for(3 * LEASE);
        only(&world);
        sound(&world);
    }
}

#[test]
fn out_and_back_at_the_same_moment_are_ordered_and_a_repeated_call_is_done_once() {
    for seed in 0..20 {
        let (mut world, _) = fleet(seed, 2);
        world.ask(3, 7, true, &["s-7"]);
        world.ask(4, 8, false, &["s-7"]);
        world.run_for(LEASE);
        let acked = world.acked();
        let version = |call: &str| acked.iter().find(|(id, _)| id == call).map(|(_, version)| *version);
        let (out, back) = (version("7").expect("told"), version("8").expect("told"));
        let is_out = world.taken(0).is_some_and(|taken| taken.outs.contains("s-7"));
        assert_eq!(is_out, out > back, "seed {seed}: out {out}, back {back}");
        // Under the same id: told the same, and done once, though the backend was called back meanwhile.
        world.ask(1, 9, true, &["s-9"]);
        world.run_for(LEASE);
        world.ask(1, 10, false, &["s-9"]);
        world.run_for(LEASE);
        world.ask(2, 9, true, &["s-9"]);
        world.run_for(LEASE);
        let nine: Vec<u64> =
            world.acked().iter().filter(|(id, _)| id == "9").map(|(_, version)| *version).collect();
        assert_eq!((nine.len(), nine[0]), (2, nine[1]), "seed {seed}");
        assert!(all(&world, 5, nine[0] + 1), "seed {seed}");
        sound(&world);
    }
}
