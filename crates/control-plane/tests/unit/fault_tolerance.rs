//! A lack of members that lasts is told once, and its end.

use std::time::Duration;

use super::{ToleranceChange, ToleranceMonitor};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_lack_that_lasts_is_told_once_and_so_is_its_end() {
    let mut monitor = ToleranceMonitor::new(2);
    assert_eq!(monitor.observe(at(0), 1), None);
    assert_eq!(monitor.observe(at(2_999), 1), None);
    assert_eq!(monitor.observe(at(3_000), 0), Some(ToleranceChange::Low { tolerable: 0 }));
    assert_eq!(monitor.observe(at(9_000), 0), None);
    assert_eq!(monitor.observe(at(9_250), 2), Some(ToleranceChange::Sufficient { tolerable: 2 }));
    assert_eq!(monitor.observe(at(9_500), 3), None);
}

#[test]
fn a_short_lack_is_not_told() {
    let mut monitor = ToleranceMonitor::new(1);
    assert_eq!(monitor.observe(at(0), 0), None);
    assert_eq!(monitor.observe(at(2_000), 1), None);
    assert_eq!(monitor.observe(at(4_000), 0), None);
    assert_eq!(monitor.observe(at(6_999), 0), None);
    assert_eq!(monitor.observe(at(7_000), 0), Some(ToleranceChange::Low { tolerable: 0 }));
}

#[test]
fn where_no_loss_is_to_be_borne_there_is_no_lack() {
    let mut monitor = ToleranceMonitor::new(0);
    assert_eq!(monitor.observe(at(0), 0), None);
    assert_eq!(monitor.observe(at(60_000), 0), None);
}
