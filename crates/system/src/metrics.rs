//! A gateway's metrics in the Prometheus text format.

use std::fmt::Write;

use crankpick_gateway::{ConnectionEnds, Count, Shared};

/// The metrics of a gateway.
pub fn text(shared: &Shared) -> String {
    render(shared.in_flight(), &shared.counts(), &shared.connection_ends())
}

fn render(in_flight: usize, counts: &[Count], ends: &[ConnectionEnds]) -> String {
    let mut text = String::new();
    write_sample(&mut text, "crankpick_requests_in_flight", "", in_flight as f64);
    for count in counts {
        write_sample(&mut text, "crankpick_events_total", &label("cause", count.name), count.number as f64);
    }
    for end in ends {
        let reason = label("reason", end.name);
        write_sample(&mut text, "crankpick_client_connection_ends_total", &reason, end.number as f64);
        if let Some((least, longest)) = end.min_idle.zip(end.max_idle) {
            write_sample(
                &mut text,
                "crankpick_client_connection_rest_seconds_min",
                &reason,
                least.as_secs_f64(),
            );
            write_sample(
                &mut text,
                "crankpick_client_connection_rest_seconds_max",
                &reason,
                longest.as_secs_f64(),
            );
        }
    }
    text
}

fn label(name: &str, value: &str) -> String {
    format!("{{{name}=\"{value}\"}}")
}

fn write_sample(text: &mut String, name: &str, labels: &str, value: f64) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{name}{labels} {value}");
}

#[cfg(test)]
#[path = "../tests/unit/metrics.rs"]
mod tests;
