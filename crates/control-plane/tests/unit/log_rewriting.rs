//! When the log is rewritten, and how failed rewrites are delayed.

use std::time::Duration;

use super::{LogRewriting, RewriteCause};

const MIB: u64 = 1 << 20;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn log_is_rewritten_once_it_has_grown() {
    let mut rewriting = LogRewriting::default();
    assert!(!rewriting.is_due(at(1), RewriteCause::Length(2 * MIB - 1)));
    assert!(rewriting.is_due(at(1), RewriteCause::Length(2 * MIB)));
    rewriting.begin();
    assert!(!rewriting.is_due(at(1), RewriteCause::Length(9 * MIB)), "one at a time");
    assert!(!rewriting.succeed(MIB));
    assert!(!rewriting.is_due(at(1), RewriteCause::Length(4 * MIB - 1)));
    assert!(rewriting.is_due(at(1), RewriteCause::Length(4 * MIB)));
    rewriting.begin();
    rewriting.succeed(5 * MIB);
    assert!(!rewriting.is_due(at(1), RewriteCause::Length(10 * MIB)), "it hasn't more than doubled");
    assert!(rewriting.is_due(at(1), RewriteCause::Length(10 * MIB + 1)));
}

#[test]
fn failed_rewrite_is_delayed_and_reported_once() {
    let mut rewriting = LogRewriting::default();
    assert!(rewriting.is_due(at(1), RewriteCause::FailedWrite));
    rewriting.begin();
    assert!(rewriting.fail(at(1)), "the first failure is reported");
    assert!(rewriting.is_failing());
    for second in 1..6 {
        assert!(!rewriting.is_due(at(second), RewriteCause::FailedWrite), "{second}");
        assert!(!rewriting.is_due(at(second), RewriteCause::Length(100 * MIB)), "{second}");
    }
    assert!(rewriting.is_due(at(6), RewriteCause::FailedWrite));
    rewriting.begin();
    assert!(!rewriting.fail(at(6)), "the second failure isn't reported");
    rewriting.begin();
    assert!(rewriting.succeed(MIB), "the recovery is reported");
    assert!(!rewriting.is_failing());
    assert!(rewriting.is_due(at(6), RewriteCause::FailedWrite));
}
