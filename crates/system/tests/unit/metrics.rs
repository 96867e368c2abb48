//! The metrics text of a gateway.

use std::time::Duration;

use crankpick_gateway::{Cause, EndReason};

use super::*;

#[test]
fn each_metric_is_a_line_with_its_labels() {
    let counts = [Count { cause: Cause::Requested, name: "requested", number: 7 }];
    let ends = [
        ConnectionEnds {
            reason: EndReason::Idle,
            name: "idle",
            number: 2,
            min_idle: Some(Duration::from_millis(15_000)),
            max_idle: Some(Duration::from_millis(15_250)),
        },
        ConnectionEnds { reason: EndReason::Lost, name: "lost", number: 1, min_idle: None, max_idle: None },
    ];
    let expected = r#"crankpick_requests_in_flight 3
crankpick_events_total{cause="requested"} 7
crankpick_client_connection_ends_total{reason="idle"} 2
crankpick_client_connection_rest_seconds_min{reason="idle"} 15
crankpick_client_connection_rest_seconds_max{reason="idle"} 15.25
crankpick_client_connection_ends_total{reason="lost"} 1
"#;
    assert_eq!(render(3, &counts, &ends), expected);
}
