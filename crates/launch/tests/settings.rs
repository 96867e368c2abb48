//! Settings as passed to instances: absent ones have no effect, and invalid ones are rejected with a one-line
//! error.

use crankpick::interface::{ClockError, ScoringMix};
use serde_json::{json, Value};

/// The settings with the value at `path` set, or without it.
fn settings(path: &str, value: Option<Value>) -> Value {
    let mut conf = json!({
        "Balancers": 2, "Discovery": "subscribe", "Limits": {"MaxExecutions": 2}, "Safety": {}, "ScoringMix": {},
        "Workloads": [{"Repeat": "retryable", "Importance": 1.0, "SloTimeUs": 1_000_000}],
    });
    let Some(value) = value else { return conf };
    let (section, name) = path.split_once('.').expect("a part and a name");
    conf[section][name] = value;
    conf
}

#[test]
fn what_is_absent_changes_nothing() {
    let standing = crankpick_launch::standing(&settings("", None)).expect("sound");
    assert_eq!((standing.response_buffers, standing.ask_within_us), (None, None));
    assert_eq!((standing.clocks, standing.scoring), (ClockError::default(), ScoringMix::default()));
}

#[test]
fn each_setting_reaches_the_module() {
    let standing_with =
        |path, value| crankpick_launch::standing(&settings(path, Some(value))).expect("sound");
    assert_eq!(standing_with("Limits.ResponseRoom", json!(7)).response_buffers, Some(7));
    assert_eq!(standing_with("Safety.AskWithinUs", json!(5_000_000)).ask_within_us, Some(5_000_000));
    assert_eq!(standing_with("Safety.DeadlineErrorUs", json!(600)).clocks.deadline_us, 600);
    assert_eq!(standing_with("Safety.StartDriftUs", json!(700)).clocks.start_us, 700);
    let mut conf = settings("ScoringMix.NinesPart", Some(json!(0.4)));
    conf["ScoringMix"]["FullAtNines"] = json!(3);
    conf["ScoringMix"]["SlowEnd"] = json!(0.2);
    conf["ScoringMix"]["TailSlack"] = json!(0.01);
    let goal = ScoringMix { nines_part: 0.4, full_at_nines: 3.0, slow_end: 0.2, tail_slack: 0.01 };
    assert_eq!(crankpick_launch::standing(&conf).expect("sound").scoring, goal);
}

#[test]
fn the_drain_clock_is_for_those_who_must_ask() {
    let mut conf = settings("Safety.AskWithinUs", Some(json!(5_000_000)));
    conf["Discovery"] = json!("automatic");
    assert_eq!(crankpick_launch::standing(&conf).expect("sound").ask_within_us, None);
}

#[test]
fn what_is_unsound_is_refused_in_one_line_that_names_it() {
    let cases = [
        ("Limits.ResponseRoom", json!(0)),
        ("Limits.ResponseRoom", json!("few")),
        ("Safety.AskWithinUs", json!(0)),
        ("Safety.DeadlineErrorUs", json!(-1)),
        ("Safety.StartDriftUs", json!("late")),
        ("ScoringMix.NinesPart", json!(-0.1)),
        ("ScoringMix.FullAtNines", json!(-3)),
        ("ScoringMix.SlowEnd", json!(0.2)),
        ("ScoringMix.TailSlack", json!(-0.01)),
    ];
    for (path, value) in cases {
        let conf = settings(path, Some(value.clone()));
        let error = crankpick_launch::balancer(7, &conf).err().unwrap_or_default();
        let name = if path.ends_with("SlowEnd") { "TailSlack" } else { path };
        assert!(error.contains(name) && !error.contains('\n'), "{path} = {value}: {error:?}");
    }
    let without_measure = settings("ScoringMix.NinesPart", Some(json!(0.4)));
    assert!(crankpick_launch::balancer(7, &without_measure)
        .err()
        .is_some_and(|error| error.contains("FullAtNines")));
}
