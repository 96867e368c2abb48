//! Observations of the backends: what each proxy reports, in quantized form, and the aggregate of all
//! reports. Used by `session` for the proxy's own report, by `leader` to aggregate, and by `scheduler`, which
//! decides from the aggregate alone.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Steps per doubling: a reported value is within a tenth of the measured one.
const STEPS_PER_DOUBLING: f32 = 4.0;
/// The smallest value that is distinguished from zero.
const MIN_VALUE: f32 = 1.0 / 64.0;
/// How long an objection stands unless it is repeated.
const OBJECTION_TTL_US: u64 = 10_000_000;
/// Share of the remaining capacity that may be in use, as seen by one proxy, before it objects.
const MAX_UTILIZATION: f32 = 0.8;
/// Maximum number of backends in one view.
pub const MAX_VIEW_BACKENDS: usize = 512;
/// Maximum number of names and objections in one report.
const MAX_NAMED: usize = 16;

/// A non-negative value, quantized on a logarithmic scale in steps of a quarter of a doubling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Quantized(u8);

impl Quantized {
    pub fn of(value: f64) -> Self {
        let value = value as f32;
        if value.is_nan() || value < MIN_VALUE {
            return Quantized(0);
        }
        Quantized((1.0 + (value / MIN_VALUE).log2() * STEPS_PER_DOUBLING).round().clamp(1.0, 255.0) as u8)
    }

    pub fn value(self) -> f64 {
        match self.0 {
            0 => 0.0,
            step => f64::from(MIN_VALUE * ((f32::from(step) - 1.0) / STEPS_PER_DOUBLING).exp2()),
        }
    }
}

/// One backend as observed by one proxy, in the load units of the balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendView {
    pub zone: String,
    pub cell: u32,
    /// The proxy's own units in flight, averaged over time.
    pub load: Quantized,
    /// The learned maximum.
    pub max: Quantized,
    /// Whether recent queries to it have only failed.
    pub lost: bool,
}

/// All observations of one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub backends: BTreeMap<String, BackendView>,
    /// Queries per second, and those of them that were rejected or given up.
    pub queries: Quantized,
    pub rejected: Quantized,
}

impl View {
    /// Limits the view to `MAX_VIEW_BACKENDS` backends, however many are configured.
    pub fn truncated(mut self) -> Self {
        while self.backends.len() > MAX_VIEW_BACKENDS {
            self.backends.pop_last();
        }
        self
    }
}

/// A proxy's objection to taking a machine out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objection {
    pub machine: String,
    pub why: String,
    /// How long it stands, counted from when it is received.
    pub for_us: u64,
}

/// A proxy's report on maintenance, sent with each renewal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// The revision of the plans that the objections refer to.
    pub revision: u64,
    pub objections: Vec<Objection>,
    /// Of the backends that are out, those where it still has queries in progress.
    pub busy: BTreeSet<String>,
    /// Whether the proxy itself was told to drain and has no queries in progress.
    pub drained: bool,
    /// Sent if the view or the leader has changed.
    pub view: Option<View>,
}

/// The objections to taking out these machines, from one proxy's own view.
pub fn objections(view: &View, next: &[String]) -> Vec<Objection> {
    let reachable_without = |without: &str| {
        let left = view.backends.iter().filter(|(id, backend)| !backend.lost && id.as_str() != without);
        left.map(|(_, backend)| backend).collect::<Vec<_>>()
    };
    let objection_to = |machine: &String| {
        let backend = view.backends.get(machine)?;
        let left = reachable_without(machine);
        let (load, max) = (left.iter(), left.iter());
        let load: f64 = load.map(|backend| backend.load.value()).sum::<f64>() + backend.load.value();
        let max: f64 = max.map(|backend| backend.max.value()).sum();
        let queries = view.queries.value();
        let why = if left.is_empty() && queries > 0.0 {
            "the only backend in reach".to_owned()
        } else if load > f64::from(MAX_UTILIZATION) * max && load > 1.0 {
            format!("{load:.1} units on {max:.1} that would be left")
        } else {
            return None;
        };
        Some(Objection { machine: machine.clone(), why, for_us: OBJECTION_TTL_US })
    };
    next.iter().filter_map(objection_to).take(MAX_NAMED).collect()
}

/// One backend, aggregated over all proxies that report it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendSummary {
    pub zone: String,
    pub cell: u32,
    /// Units in flight, of all proxies.
    pub load: f64,
    /// The median of the learned maxima.
    pub max: f64,
    /// Proxies that report it, and those of them that no longer reach it.
    pub by: u32,
    pub lost_by: u32,
}

impl BackendSummary {
    pub fn is_lost(&self) -> bool {
        self.by > 0 && 2 * self.lost_by > self.by
    }
}

/// The aggregate of all proxies' reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    pub backends: BTreeMap<String, BackendSummary>,
    /// Proxies with a session, those of them in contact, and those that have reported a view.
    pub proxies: u32,
    pub in_touch: u32,
    pub told: u32,
    pub queries: f64,
    pub rejected: f64,
    /// Proxies not in contact. At most `MAX_NAMED` of them are listed.
    pub silent: Vec<String>,
    /// The lowest plan revision considered by any proxy in contact.
    pub considered: u64,
    /// Objections in force: proxy, machine and reason.
    pub objections: Vec<(String, String, String)>,
    /// For each machine that is leaving, what it still waits for; empty once it is proved to be out.
    pub waits: BTreeMap<String, Vec<String>>,
    /// For each machine that is back, the number of proxies that have yet to apply it.
    pub behind: BTreeMap<String, u32>,
    /// Proxies that own a duty or lead the voters.
    pub in_office: BTreeSet<String>,
}

/// The latest report of one proxy, as the leader has it.
pub struct LatestReport<'a> {
    pub name: &'a str,
    pub view: Option<&'a View>,
    pub objections: &'a [Objection],
    pub revision: u64,
    /// Time since the report was received.
    pub age_us: u64,
    pub in_touch: bool,
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Aggregates all proxies' reports. The result does not depend on their order.
pub fn aggregate<'a>(reports: impl Iterator<Item = LatestReport<'a>>) -> FleetView {
    let mut fleet_view = FleetView { considered: u64::MAX, ..FleetView::default() };
    let mut maxima: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for report in reports {
        fleet_view.proxies += 1;
        if !report.in_touch {
            if fleet_view.silent.len() < MAX_NAMED {
                fleet_view.silent.push(report.name.to_owned());
            }
            continue;
        }
        fleet_view.in_touch += 1;
        fleet_view.considered = fleet_view.considered.min(report.revision);
        for objection in report.objections.iter().filter(|objection| report.age_us < objection.for_us) {
            if fleet_view.objections.len() < MAX_NAMED {
                let (machine, why) = (objection.machine.clone(), objection.why.clone());
                fleet_view.objections.push((report.name.to_owned(), machine, why));
            }
        }
        let Some(view) = report.view else { continue };
        fleet_view.told += 1;
        fleet_view.queries += view.queries.value();
        fleet_view.rejected += view.rejected.value();
        for (id, observed) in &view.backends {
            let summary = fleet_view.backends.entry(id.clone()).or_insert_with(|| BackendSummary {
                zone: observed.zone.clone(),
                cell: observed.cell,
                ..BackendSummary::default()
            });
            summary.load += observed.load.value();
            summary.by += 1;
            summary.lost_by += u32::from(observed.lost);
            if !observed.lost {
                maxima.entry(id).or_default().push(observed.max.value());
            }
        }
    }
    // Proxies that have not reported a view are counted at the mean of those that have.
    let scale = f64::from(fleet_view.in_touch) / f64::from(fleet_view.told.max(1));
    for (id, summary) in &mut fleet_view.backends {
        summary.max = maxima.get_mut(id.as_str()).map_or(0.0, |all| median(all));
        summary.load *= scale;
    }
    fleet_view
}

#[cfg(test)]
#[path = "../tests/unit/observation.rs"]
mod tests;
