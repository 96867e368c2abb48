//! Machines out for work under drawn faults in virtual time: whole nodes, a maintenance system, staff.

use crankpick_lab::world::{Plans, Setup, World};

#[test]
fn nobody_sends_to_a_machine_under_work_and_each_plan_ends() {
    let schedules: u64 = std::env::var("SCHEDULES").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    let first: u64 = std::env::var("FIRST").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    let (mut bad, mut machines, mut again, mut stale) = (0, 0, 0, 0);
    for seed in first..first + schedules {
        let mut world = World::new(seed, Setup { plans: Some(Plans::drawn(seed)), ..Setup::default() });
        world.play_work();
        let found = world.found();
        if !found.breaches.is_empty() {
            bad += 1;
            println!("seed {seed}: {:?}", found.breaches);
        }
        let worked = world.worked();
        machines += worked.0;
        again += worked.1;
        stale += worked.2;
    }
    println!("{schedules} schedules: {machines} machines, {again} begun again, {stale} stale calls");
    assert_eq!(bad, 0, "of {schedules} schedules broke a promise");
    assert!(machines > 8 * schedules as usize && again > 0, "{machines} machines, {again} begun again");
}
