//! What clients are told of their connections' rest, and how long these are kept.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn four_fifths_of_the_limit_are_announced_in_whole_seconds() {
    for (limit, announced) in
        [(15_000, 12_000), (60_000, 48_000), (2_000, 1_000), (1_300, 1_000), (100, 1_000)]
    {
        assert_eq!(announced_idle_timeout(ms(limit)), ms(announced), "{limit} ms");
    }
}

#[test]
fn a_connection_is_kept_for_the_limit_before_its_first_answer() {
    assert_eq!(enforced_idle_timeout(None, ms(300)), ms(300));
}

#[test]
fn a_connection_is_kept_for_a_second_or_a_quarter_longer_than_announced() {
    assert_eq!(enforced_idle_timeout(Some(ms(12_000)), ms(15_000)), ms(15_000));
    assert_eq!(enforced_idle_timeout(Some(ms(1_000)), ms(100)), ms(2_000));
    assert_eq!(enforced_idle_timeout(Some(ms(40_000)), ms(100)), ms(50_000));
}

#[test]
fn whatever_the_limits_then_and_now_a_connection_outlasts_what_was_announced() {
    for then in [1, 100, 999, 1_000, 1_999, 5_000, 15_000, 100_000] {
        for now in [1, 100, 1_000, 15_000, 100_000] {
            let announced = announced_idle_timeout(ms(then));
            assert!(
                enforced_idle_timeout(Some(announced), ms(now)) >= announced + MIN_MARGIN,
                "{then} {now}"
            );
        }
    }
}

#[test]
fn the_header_names_whole_seconds() {
    assert_eq!(header_value(ms(12_000)), "timeout=12");
}
