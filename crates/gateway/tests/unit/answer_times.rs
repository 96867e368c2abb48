//! What is expected of answers by how long others took.

use super::*;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn the_longest_answer_lately_is_expected_and_half_as_much_again() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.expected(s(1), "r"), None);
    for took in [2, 4, 1] {
        times.note(s(1), "r", s(took));
    }
    assert_eq!(times.expected(s(1), "r"), Some(s(6)));
    assert_eq!(times.expected(s(1), "other"), None);
}

#[test]
fn an_answer_is_remembered_for_one_window_after_its_own() {
    let mut times = AnswerTimes::default();
    times.note(s(14), "r", s(4));
    times.note(s(16), "r", s(2));
    assert_eq!(times.expected(s(29), "r"), Some(s(6)));
    assert_eq!(times.expected(s(30), "r"), Some(s(3)));
    assert_eq!(times.expected(s(45), "r"), None);
}

#[test]
fn a_window_without_answers_forgets_both() {
    let mut times = AnswerTimes::default();
    times.note(s(1), "r", s(4));
    times.note(s(46), "r", s(2));
    assert_eq!(times.expected(s(46), "r"), Some(s(3)));
}

#[test]
fn no_more_routes_are_remembered_than_there_is_room_for() {
    let mut times = AnswerTimes::default();
    for number in 0..=MOST_ROUTES {
        times.note(s(1), &number.to_string(), s(1));
    }
    assert_eq!((times.routes.len(), times.expected(s(1), &MOST_ROUTES.to_string())), (MOST_ROUTES, None));
    times.note(s(40), "new", s(1));
    assert_eq!((times.routes.len(), times.expected(s(40), "new")), (1, Some(Duration::from_millis(1_500))));
}
