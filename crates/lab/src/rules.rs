//! The rules on queries, held against what clients and emulated backends saw, whatever a run was about.

use serde::Serialize;

use crate::load::{Load, Tally};
use crate::rig::{Rig, Seen};
use crate::sync::lock;

/// After a proxy has said that a backend is out, what it sent before may still arrive.
const GRACE_US: u64 = 300_000;
/// Breaches of one rule that are told one by one.
const MOST_TOLD: usize = 20;

/// What became of the queries of a run.
#[derive(Serialize, Default)]
pub struct Queries {
    pub sent: u64,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub excused: u64,
    pub lost: usize,
    pub p50_us: u64,
    pub p99_us: u64,
    pub executions: usize,
    pub dropped_repeats: u64,
    pub twice: usize,
    pub at_backends_out: usize,
}

/// Executions at a backend that the proxy which sent them had said to be out.
fn at_backends_out(seen: &[Seen], rig: &Rig) -> Vec<String> {
    let account = lock(&rig.account);
    let mut breaches = Vec::new();
    for (at, proc) in rig.procs.iter().enumerate() {
        let prefix = format!("{}-", proc.name);
        let own: Vec<&Seen> = seen.iter().filter(|seen| seen.process == at).collect();
        for (number, backend) in rig.backends.iter().enumerate() {
            // Spans in which it was surely out here: from its word to the next one, or its next start.
            let mut spans: Vec<(u64, u64)> = Vec::new();
            for one in &own {
                let this = one.line["id"] == backend.id.as_str();
                match one.code.as_str() {
                    "out_by_fleet" if this => spans.push((one.t_us + GRACE_US, u64::MAX)),
                    "back_by_fleet" if this => {
                        spans
                            .iter_mut()
                            .for_each(|span| span.1 = span.1.min(one.t_us.saturating_sub(GRACE_US)));
                    }
                    "started" => spans.iter_mut().for_each(|span| span.1 = span.1.min(one.t_us)),
                    _ => {}
                }
            }
            let broken = account.executions.iter().filter(|execution| {
                execution.backend == number
                    && execution.query.starts_with(&prefix)
                    && spans.iter().any(|(from, until)| (*from..*until).contains(&execution.t_us))
            });
            breaches.extend(
                broken.map(|one| format!("{} sent {} to {} which is out", proc.name, one.query, backend.id)),
            );
        }
    }
    breaches
}

fn queries(tally: &Tally, rig: &Rig) -> Queries {
    let account = lock(&rig.account);
    let quantile = |part| tally.latency_us.as_ref().map_or(0, |latency| latency.value_at_quantile(part));
    Queries {
        sent: tally.sent,
        completed: tally.completed,
        rejected: tally.rejected,
        aborted: tally.aborted,
        excused: tally.excused,
        lost: tally.lost.len(),
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        executions: account.executions.len(),
        dropped_repeats: account.dropped_repeats,
        twice: 0,
        at_backends_out: 0,
    }
}

/// The rules on queries, as clients and emulated backends saw them, whatever the run was about.
pub fn rules(load: &Load, rig: &Rig, seen: &[Seen]) -> (Queries, Vec<String>) {
    let tally = lock(&load.tally);
    let mut queries = queries(&tally, rig);
    let mut breaches: Vec<String> =
        tally.lost.iter().take(MOST_TOLD).map(|lost| format!("query lost: {lost}")).collect();
    // Those whose class may not be repeated: by their keys, or ids of that class.
    let bound = |name: &str| name.starts_with("k-") || tally.fates.contains_key(name);
    let twice = lock(&rig.account).twice(bound);
    queries.twice = twice.len();
    breaches.extend(twice.into_iter().take(MOST_TOLD));
    let out = at_backends_out(seen, rig);
    queries.at_backends_out = out.len();
    breaches.extend(out.into_iter().take(MOST_TOLD));
    let lost_decisions = seen.iter().filter(|seen| seen.code == "fleet_broken").count();
    if lost_decisions > 0 {
        breaches.push(format!("the fleet's part broke {lost_decisions} times"));
    }
    (queries, breaches)
}
