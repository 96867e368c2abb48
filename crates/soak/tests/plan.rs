//! What is drawn before a run.

use std::path::Path;

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
        let disks = plan.troubles.iter().filter(
            |trouble| matches!(&trouble.kind, TroubleKind::Kill { lost_disk: Some(machine), .. } if *machine < plan.shape.counting),
        );
        let disks = disks.count();
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
    assert_eq!(kinds.len(), 15, "{kinds:?}");
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
