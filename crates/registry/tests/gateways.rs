//! Gateways: their leases, their count, and the choice of the home that each follows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crankpick_registry::{
    GatewayCount, GatewayId, GatewayLeases, GatewayTotal, HomeAction, HomeCandidate, HomeSelector,
    HomeSelectorSettings, HomeStatus, ProcessId,
};

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn renew(leases: &mut GatewayLeases, now: u64, gateway: u64, seq: u64) -> bool {
    let node = format!("node-{gateway}");
    leases.renew(at(now), GatewayId(gateway), &node, "z", seq).is_some()
}

#[test]
fn leases_are_announced_only_on_change_and_expire() {
    let (mut first, mut second) =
        (GatewayLeases::new(at(0), ProcessId(1)), GatewayLeases::new(at(0), ProcessId(2)));
    first.peer_up(at(0), ProcessId(2));
    second.peer_up(at(0), ProcessId(1));
    let update = first.renew(at(100), GatewayId(7), "n", "z", 1).unwrap();
    second.merge(at(100), &update);
    assert_eq!(second.total(at(100)), GatewayTotal { count: 1, states_absence: false });
    for step in 1..20 {
        assert!(first.renew(at(100 + 250 * step), GatewayId(7), "n", "z", 1 + step).is_none());
        first.tick(at(110 + 250 * step));
        second.tick(at(110 + 250 * step));
    }
    // The gateway moves to the second process: the expiry of its lease at the first one is no longer
    // announced.
    let moved = second.renew(at(5_000), GatewayId(7), "n", "z", 21).unwrap();
    first.merge(at(5_010), &moved);
    let mut seq = 22;
    for time in (5_250..12_000).step_by(250) {
        seq += 1;
        second.renew(at(time), GatewayId(7), "n", "z", seq);
        assert_eq!(first.tick(at(time)), None);
        second.tick(at(time));
    }
    assert_eq!((first.total(at(12_000)).count, second.total(at(12_000)).count), (1, 1));
    let mut ended = None;
    for time in (12_000..20_000).step_by(250) {
        ended = ended.or(second.tick(at(time)));
        if let Some(update) = &ended {
            first.merge(at(time), update);
        }
    }
    assert_eq!((first.total(at(20_000)).count, second.total(at(20_000)).count), (0, 0));
}

#[test]
fn the_count_falls_no_faster_than_leases_expire() {
    let mut leases = GatewayLeases::new(at(0), ProcessId(1));
    for gateway in 0..13 {
        assert!(renew(&mut leases, 100, gateway, 1));
    }
    assert_eq!(leases.total(at(100)).count, 13);
    for step in 1..40 {
        let now = 100 + 250 * step;
        for gateway in 0..3 {
            renew(&mut leases, now, gateway, 1 + step);
        }
        leases.tick(at(now));
        let count = leases.total(at(now)).count;
        assert!(count == 13 || now > 6_100, "{count} at {now}");
    }
    assert_eq!(leases.total(at(10_000)).count, 3);
}

#[test]
fn an_isolated_or_frozen_process_does_not_count_fewer() {
    let mut leases = GatewayLeases::new(at(0), ProcessId(1));
    for gateway in 0..4 {
        renew(&mut leases, 100, gateway, 1);
    }
    leases.set_isolated(at(200), true);
    for now in (250..20_000).step_by(250) {
        leases.tick(at(now));
    }
    assert_eq!(leases.total(at(20_000)), GatewayTotal { count: 4, states_absence: false });

    let mut frozen = GatewayLeases::new(at(0), ProcessId(1));
    renew(&mut frozen, 100, 1, 1);
    assert_eq!(frozen.tick(at(30_000)), None);
    assert_eq!(frozen.total(at(30_000)), GatewayTotal { count: 1, states_absence: false });
}

#[test]
fn a_gateway_adopts_a_lower_count_with_delay() {
    let mut count = GatewayCount::new();
    assert_eq!(count.count(), None);
    count.update(at(0), GatewayTotal { count: 13, states_absence: true });
    count.update(at(100), GatewayTotal { count: 1, states_absence: false });
    count.update(at(9_000), GatewayTotal { count: 2, states_absence: false });
    assert_eq!(count.count(), Some(13));
    count.update(at(9_100), GatewayTotal { count: 9, states_absence: true });
    count.update(at(13_000), GatewayTotal { count: 9, states_absence: true });
    assert_eq!(count.count(), Some(13));
    count.update(at(13_200), GatewayTotal { count: 9, states_absence: true });
    assert_eq!(count.count(), Some(9));
    count.update(at(13_300), GatewayTotal { count: 10, states_absence: false });
    assert_eq!(count.count(), Some(10));
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, index as u8, 1], 7500))
}

fn zones(count: usize) -> BTreeMap<String, String> {
    (0..count).map(|zone| (format!("zone-{zone}"), format!("region-{}", zone / 5))).collect()
}

fn candidates(count: usize) -> Vec<HomeCandidate> {
    (0..count).map(|zone| HomeCandidate { address: address(zone), zone: format!("zone-{zone}") }).collect()
}

fn selector(zone: usize, seed: u64) -> HomeSelector {
    let settings = HomeSelectorSettings {
        zone: format!("zone-{zone}"),
        regions: zones(25),
        seeds: (0..3).map(address).collect(),
    };
    HomeSelector::new(at(0), settings, seed)
}

const FRESH: HomeStatus = HomeStatus { configuration_age: Some(Duration::from_millis(100)) };
const STALE: HomeStatus = HomeStatus { configuration_age: Some(Duration::from_secs(3)) };

/// Polls the selector every 50 ms and records the answers of `answer` for dialed and followed homes.
fn poll_until(
    selector: &mut HomeSelector,
    from: u64,
    until: u64,
    answer: impl Fn(SocketAddr) -> Option<HomeStatus>,
) {
    for now in (from..until).step_by(50) {
        for action in selector.poll(at(now)) {
            if let HomeAction::Dial(home) = action {
                match answer(home) {
                    Some(answer) => selector.record_answer(at(now), home, answer),
                    None => selector.record_failure(at(now), home),
                }
            }
        }
        if let Some(home) = selector.followed_home() {
            match answer(home) {
                Some(answer) => selector.record_answer(at(now), home, answer),
                None => selector.record_failure(at(now), home),
            }
            selector.set_members(at(now), &candidates(25));
        }
    }
}

#[test]
fn homes_are_chosen_by_zone_then_region_then_any() {
    let mut selector = selector(7, 3);
    poll_until(&mut selector, 0, 3_000, |_| Some(FRESH));
    assert_eq!(selector.followed_home(), Some(address(7)));
    poll_until(&mut selector, 3_000, 6_000, |home| (home != address(7)).then_some(FRESH));
    let followed = selector.followed_home().unwrap();
    assert!((5..10).map(address).any(|region| region == followed), "{followed}");
    poll_until(&mut selector, 6_000, 12_000, |home| {
        (!(5..10).map(address).any(|near| near == home)).then_some(FRESH)
    });
    assert!(selector.followed_home().is_some());
    poll_until(&mut selector, 12_000, 30_000, |_| Some(FRESH));
    assert_eq!(selector.followed_home(), Some(address(7)));
}

#[test]
fn a_stale_home_is_replaced_by_a_fresh_one_and_kept_if_there_is_none() {
    let mut selector = selector(1, 5);
    poll_until(&mut selector, 0, 3_000, |_| Some(FRESH));
    assert_eq!(selector.followed_home(), Some(address(1)));
    poll_until(&mut selector, 3_000, 5_000, |home| Some(if home == address(1) { STALE } else { FRESH }));
    assert_ne!(selector.followed_home(), Some(address(1)));
    let least_stale = |home| HomeStatus {
        configuration_age: Some(Duration::from_secs(if home == address(4) { 2 } else { 9 })),
    };
    poll_until(&mut selector, 5_000, 60_000, |home| Some(least_stale(home)));
    assert_eq!(selector.followed_home(), Some(address(4)));
}

/// All 25 homes are down for 5 s: the dial rate of 1,100 gateways is bounded, and all soon have a home again.
#[test]
fn retries_of_a_whole_fleet_are_bounded() {
    let mut gateways: Vec<HomeSelector> =
        (0..1_100).map(|index| selector(index % 25, index as u64)).collect();
    let mut dials = vec![0_usize; 30];
    let mut homeless_until = 0;
    for now in (0..20_000).step_by(10) {
        let down = (10_000..15_000).contains(&now);
        for gateway in &mut gateways {
            let followed = gateway.followed_home();
            if let Some(home) = followed {
                if down {
                    gateway.record_failure(at(now), home);
                } else if now % 250 == 0 {
                    gateway.record_answer(at(now), home, FRESH);
                    gateway.set_members(at(now), &candidates(25));
                }
            }
            for action in gateway.poll(at(now)) {
                let HomeAction::Dial(home) = action else {
                    continue;
                };
                dials[now as usize / 1_000] += 1;
                if down {
                    gateway.record_failure(at(now), home);
                } else {
                    gateway.record_answer(at(now), home, FRESH);
                }
            }
        }
        if now >= 15_000 && gateways.iter().any(|gateway| gateway.followed_home().is_none()) {
            homeless_until = now;
        }
    }
    let most = dials[10..15].iter().max().unwrap();
    println!("dials a second while all homes are down: {:?}", &dials[10..15]);
    println!(
        "dials a second after: {:?}; all have a home {} ms after the homes are back",
        &dials[15..20],
        homeless_until - 15_000 + 10
    );
    assert!(*most <= 6 * 1_100, "{dials:?}");
    assert!(dials[14] <= 1_100, "{dials:?}");
    assert!(homeless_until - 15_000 <= 2_500, "{homeless_until}");
}

/// Returns how long a gateway follows its home after the home was isolated, in milliseconds. Another home of
/// its region does not answer if `second_is_silent` is set.
fn time_to_leave_an_isolated_home(seed: u64, second_is_silent: bool) -> u64 {
    let (home, second) = (address(7), address(8));
    let mut selector = selector(7, seed);
    poll_until(&mut selector, 0, 8_000, |_| Some(FRESH));
    assert_eq!(selector.followed_home(), Some(home));
    // The isolation begins at an arbitrary time between two reports.
    let cut = 8_000 + seed % 250;
    for now in (8_000_u64..20_000).step_by(10) {
        if now % 250 == 0 {
            let age = Duration::from_millis(100 + now.saturating_sub(cut));
            selector.record_answer(at(now), home, HomeStatus { configuration_age: Some(age) });
        }
        for action in selector.poll(at(now)) {
            match action {
                HomeAction::Dial(other) if second_is_silent && other == second => {}
                HomeAction::Dial(other) => selector.record_answer(at(now), other, FRESH),
                HomeAction::Follow(_) | HomeAction::Close(_) => {}
            }
        }
        if selector.followed_home() != Some(home) {
            return now - cut;
        }
    }
    panic!("the isolated home is never left");
}

#[test]
fn an_isolated_home_is_left_within_a_second() {
    let slowest = (0..500).map(|seed| time_to_leave_an_isolated_home(seed, false)).max().unwrap();
    println!("an isolated home is left after {slowest} ms at most");
    assert!(slowest <= 1_000, "{slowest} ms");
}

#[test]
fn an_isolated_home_is_left_within_a_second_if_the_next_is_silent() {
    let slowest = (0..500).map(|seed| time_to_leave_an_isolated_home(seed, true)).max().unwrap();
    println!("with a silent one in between it is left after {slowest} ms at most");
    assert!(slowest <= 1_000, "{slowest} ms");
}
