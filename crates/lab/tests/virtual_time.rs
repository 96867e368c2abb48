//! Seeded schedules of faults in virtual time: whole nodes, the engine among them.

use crankpick_lab::world::{Setup, World};

#[test]
fn no_two_owners_no_stale_effect_nothing_acknowledged_lost() {
    let (mut owners, mut stale, mut acked, mut effects) = (0, 0, 0, 0);
    let schedules: u64 = std::env::var("SCHEDULES").ok().and_then(|text| text.parse().ok()).unwrap_or(300);
    let first: u64 = std::env::var("FIRST").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut bad = 0;
    for seed in first..first + schedules {
        let setup = Setup { voters: if seed.is_multiple_of(5) { 5 } else { 3 }, ..Setup::default() };
        let mut world = World::new(seed, setup);
        world.play();
        let found = world.found();
        if !found.breaches.is_empty() {
            bad += 1;
            println!("seed {seed}: {:?}", found.breaches);
        }
        owners += found.owners;
        stale += found.stale_tried;
        acked += found.acked;
        effects += found.effects;
    }
    println!("{schedules} schedules: {owners} owners, {stale} stale tried, {acked} acked, {effects} effects");
    assert_eq!(bad, 0, "of {schedules} schedules broke a promise");
}
