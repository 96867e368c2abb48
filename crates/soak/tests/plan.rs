//! What is drawn before a run.

use std::path::Path;

use crankpick_soak::departure::{CONTACT, DRAIN};
use crankpick_soak::layout::{Role, Shape};
use crankpick_soak::run::{Options, Plan};
use crankpick_soak::trouble::TroubleKind;

fn options(seed: u64) -> Options {
    Options { seconds: 60, ..Options::new(seed, Path::new("unused")) }
}

#[test]
fn a_seed_draws_the_same_plan_each_time() {
    for seed in 0..20 {
        let (one, other) = (Plan::draw(&options(seed)), Plan::draw(&options(seed)));
        assert_eq!((one.shape, one.idle_timeouts), (other.shape, other.idle_timeouts));
        assert_eq!(one.troubles, other.troubles);
        assert!(one.troubles.len() > 10);
    }
    assert_ne!(Plan::draw(&options(1)).troubles, Plan::draw(&options(2)).troubles);
}

#[test]
fn a_quiet_run_has_the_same_fleet_and_no_troubles() {
    let quiet = Plan::draw(&Options { quiet: true, ..options(3) });
    assert_eq!(quiet.shape, Plan::draw(&options(3)).shape);
    assert!(quiet.troubles.is_empty());
}

#[test]
fn no_more_disks_are_lost_than_the_fleet_bears() {
    let mut lost = 0;
    for seed in 0..200 {
        let plan = Plan::draw(&options(seed));
        let lost_disks = plan.troubles.iter().filter_map(|trouble| match &trouble.kind {
            TroubleKind::Kill { lost_disk, .. } => *lost_disk,
            TroubleKind::Depart { kill: Some(kill), .. } => kill.lost_disk,
            _ => None,
        });
        let disks = lost_disks.filter(|machine| *machine < plan.shape.counting).count();
        assert!(disks <= plan.shape.tolerated, "seed {seed}");
        lost += disks;
    }
    assert!(lost > 100, "{lost}");
}

#[test]
fn troubles_overlap_and_each_kind_comes() {
    let mut kinds = std::collections::BTreeSet::new();
    let mut near = 0;
    for seed in 0..100 {
        let plan = Plan::draw(&options(seed));
        for pair in plan.troubles.windows(2) {
            let apart = pair[1].at.since(pair[0].at);
            near += u32::from(apart.as_millis() < 900);
        }
        for trouble in &plan.troubles {
            let name = format!("{:?}", trouble.kind);
            kinds.insert(name.split_whitespace().next().unwrap_or_default().to_owned());
        }
    }
    assert_eq!(kinds.len(), 17, "{kinds:?}");
    assert!(near > 500, "{near}");
}

#[test]
fn a_whole_core_is_killed_at_once_now_and_then() {
    let shape = Shape::small();
    let whole = |seed| {
        let plan = Plan::draw(&Options { shape: Some(shape), ..options(seed) });
        plan.troubles.iter().any(|trouble| match &trouble.kind {
            TroubleKind::Kill { targets, .. } => {
                targets.iter().filter(|target| target.role == Role::ControlPlane).count() >= shape.counting
            }
            _ => false,
        })
    };
    assert!((0..20).any(whole));
}

/// A departure with a kill of the whole core behind its acknowledgement, and time for machines to be in touch again
/// before the late heartbeat.
#[test]
fn a_run_ends_with_a_departure_that_the_core_does_not_outlive() {
    for seed in 0..50 {
        let plan = Plan::draw(&options(seed));
        let (last, earlier) = plan.troubles.split_last().unwrap();
        let TroubleKind::Depart { late, serves_on, kill: Some(kill), .. } = &last.kind else {
            panic!("seed {seed}: {last}");
        };
        let core = kill.targets.iter().filter(|target| target.role == Role::ControlPlane);
        assert!(core.count() >= plan.shape.counting, "seed {seed}");
        assert!(*late > kill.down + 2 * CONTACT + DRAIN, "seed {seed}");
        assert!(*serves_on > *late, "seed {seed}");
        assert!(earlier.iter().all(|trouble| last.at.since(trouble.at) > CONTACT), "seed {seed}");
    }
}

#[test]
fn a_short_run_has_no_last_departure() {
    let plan = Plan::draw(&Options { seconds: 10, ..options(4) });
    assert!(!plan
        .troubles
        .iter()
        .any(|trouble| matches!(&trouble.kind, TroubleKind::Depart { kill: Some(_), .. })));
}
