//! A run in plain words, for the terminal and for its folder.

use std::fmt::{self, Write as _};
use std::path::Path;

use snafu::ResultExt;

use crate::check::Reason;
use crate::configuration::IdleTimeouts;
use crate::error::{FileSnafu, SoakError};
use crate::run::Report;

impl Report {
    /// Writes the report and the history of requests into a folder.
    pub fn write(&self, folder: &Path) -> Result<(), SoakError> {
        let path = folder.join("report.txt");
        std::fs::write(&path, self.to_string()).context(FileSnafu { path })?;
        let path = folder.join("history.txt");
        std::fs::write(&path, self.history_lines()).context(FileSnafu { path })
    }

    /// All that was seen, a line each.
    fn history_lines(&self) -> String {
        let mut text = String::new();
        for exchange in &self.history.exchanges {
            let runs = self.history.runs.get(&exchange.id);
            let _ = writeln!(text, "{exchange:?} runs {:?}", runs.map(Vec::as_slice).unwrap_or_default());
        }
        for end in &self.history.ends_of_rest {
            let _ = writeln!(text, "{end:?}");
        }
        for disturbance in &self.history.disturbances {
            let _ = writeln!(text, "{disturbance:?}");
        }
        for disturbance in &self.history.machine_disturbances {
            let _ = writeln!(text, "{disturbance:?}");
        }
        for disturbance in &self.history.backend_disturbances {
            let _ = writeln!(text, "{disturbance:?}");
        }
        for departure in &self.history.departures {
            let _ = writeln!(text, "{departure:?}");
        }
        for end in &self.history.backend_ends {
            let _ = writeln!(text, "{end:?}");
        }
        for order in &self.history.orders {
            let (generation, base, idle) = (order.generation, order.base, order.idle_timeout);
            let _ = writeln!(
                text,
                "order {generation} on {base}, idle timeout {idle:?}, sent at {}, {:?}",
                order.sent, order.end
            );
        }
        for reading in &self.history.readings {
            let generation = &reading.document["generation"];
            let _ =
                writeln!(text, "read {generation} at machine {}, sent at {}", reading.machine, reading.sent);
        }
        text
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (options, shape) = (&self.options, &self.plan.shape);
        let timeouts = match self.plan.idle_timeouts {
            IdleTimeouts::Constant(timeout) => format!("always {timeout:?}"),
            IdleTimeouts::Drawn => "drawn with each change".to_owned(),
        };
        writeln!(
            out,
            "seed {}: {} s, {} clients, {} machines that count, {} that don't, {} zones, {} may be lost, idle timeout {timeouts}",
            options.seed, options.seconds, options.clients, shape.counting, shape.others, shape.zones, shape.tolerated
        )?;
        for trouble in &self.plan.troubles {
            writeln!(out, "  {trouble}")?;
        }
        self.write_counts(out)?;
        for cut in self.verdict.cut_lines.iter().filter(|cut| is_remarkable(cut.reason)) {
            writeln!(out, "  cut: {}", cut.text)?;
        }
        for violation in &self.verdict.violations {
            writeln!(out, "VIOLATION {violation}")?;
        }
        if let Some(folder) = &self.folder {
            writeln!(out, "kept in {}", folder.display())?;
        }
        let held = if self.verdict.holds() { "all invariants held" } else { "invariants broken" };
        writeln!(out, "seed {}: {held}", options.seed)
    }
}

/// A process that is killed, and a way that is cut or reset, cut whatever is on them.
fn is_remarkable(reason: Option<Reason>) -> bool {
    !matches!(reason, Some(Reason::Killed | Reason::Network))
}

impl Report {
    fn write_counts(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let history = &self.history;
        let taken = history.orders.iter().filter(|order| order.acknowledged().is_some()).count();
        writeln!(
            out,
            "  {} requests, {} changes sent, {taken} acknowledged, {} reads answered",
            history.exchanges.len(),
            history.orders.len(),
            history.readings.len()
        )?;
        for (outcome, number) in &self.verdict.outcomes {
            writeln!(out, "  {outcome}: {number}")?;
        }
        for ((reason, begun), number) in &self.verdict.cuts {
            let reason = reason.map_or("no reason".to_owned(), |reason| format!("{reason:?}"));
            let begun = if *begun { "begun at a backend" } else { "begun nowhere" };
            writeln!(out, "  cut without an answer, {begun}, {reason}: {number}")?;
        }
        writeln!(
            out,
            "  departures acknowledged: {}, requests that ran on more backends than allowed: {}",
            history.departures.len(),
            self.verdict.beyond_retries
        )?;
        for (note, number) in &history.notes {
            writeln!(out, "  {note}: {number}")?;
        }
        writeln!(
            out,
            "  connections ended at rest: {}, sooner than any idle timeout explains: {}",
            history.ends_of_rest.len(),
            self.verdict.early_ends.len()
        )?;
        for end in &self.verdict.early_ends {
            let rest = end.ended.since(end.rest_from);
            writeln!(out, "  early end: at machine {} at {} after {rest:?} of rest", end.machine, end.ended)?;
        }
        let counters: Vec<String> =
            self.counters.iter().map(|(name, number)| format!("{name}={number}")).collect();
        writeln!(out, "  counters of the gateways: {}", counters.join(" "))
    }
}
