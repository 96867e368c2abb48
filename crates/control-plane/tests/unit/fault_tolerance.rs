//! A lasting shortfall of tolerable failures is reported once, and so is its end.

use std::time::Duration;

use super::{ToleranceChange, ToleranceMonitor};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn lasting_shortfall_and_its_end_are_reported_once() {
    let mut monitor = ToleranceMonitor::new(2);
    assert_eq!(monitor.observe(at(0), 1), None);
    assert_eq!(monitor.observe(at(2_999), 1), None);
    assert_eq!(monitor.observe(at(3_000), 0), Some(ToleranceChange::Low { tolerable: 0 }));
    assert_eq!(monitor.observe(at(9_000), 0), None);
    assert_eq!(monitor.observe(at(9_250), 2), Some(ToleranceChange::Sufficient { tolerable: 2 }));
    assert_eq!(monitor.observe(at(9_500), 3), None);
}

#[test]
fn short_shortfall_is_not_reported() {
    let mut monitor = ToleranceMonitor::new(1);
    assert_eq!(monitor.observe(at(0), 0), None);
    assert_eq!(monitor.observe(at(2_000), 1), None);
    assert_eq!(monitor.observe(at(4_000), 0), None);
    assert_eq!(monitor.observe(at(6_999), 0), None);
    assert_eq!(monitor.observe(at(7_000), 0), Some(ToleranceChange::Low { tolerable: 0 }));
}

#[test]
fn no_shortfall_if_no_failure_must_be_tolerable() {
    let mut monitor = ToleranceMonitor::new(0);
    assert_eq!(monitor.observe(at(0), 0), None);
    assert_eq!(monitor.observe(at(60_000), 0), None);
}
