//! What idle time is announced to clients, and how long connections are kept.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn announces_four_fifths_of_limit_in_whole_seconds() {
    for (limit, announced) in
        [(15_000, 12_000), (60_000, 48_000), (2_000, 1_000), (1_300, 1_000), (100, 1_000)]
    {
        assert_eq!(announced_idle_timeout(ms(limit)), ms(announced), "{limit} ms");
    }
}

#[test]
fn keeps_limit_before_first_response() {
    assert_eq!(enforced_idle_timeout(None, ms(300)), ms(300));
}

#[test]
fn keeps_one_second_or_a_quarter_longer_than_announced() {
    assert_eq!(enforced_idle_timeout(Some(ms(12_000)), ms(15_000)), ms(15_000));
    assert_eq!(enforced_idle_timeout(Some(ms(1_000)), ms(100)), ms(2_000));
    assert_eq!(enforced_idle_timeout(Some(ms(40_000)), ms(100)), ms(50_000));
}

#[test]
fn enforced_time_exceeds_announced_time_for_any_limits() {
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
fn header_value_is_in_whole_seconds() {
    assert_eq!(header_value(ms(12_000)), "timeout=12");
}
