//! Observations of the backends: what each proxy reports, in quantized form, and the aggregate of all
//! reports. Used by `session` for the proxy's own report, by `leader` to aggregate, and by `scheduler`, which
//! decides from the aggregate alone.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Steps per doubling: a reported value is within a tenth of the measured one.
const STEPS: f32 = 4.0;
/// The smallest value that is distinguished from zero.
const LEAST: f32 = 1.0 / 64.0;
/// How long an objection stands unless it is repeated.
const STANDS_US: u64 = 10_000_000;
/// Share of the remaining capacity that may be in use, as seen by one proxy, before it objects.
const STRAINED: f32 = 0.8;
/// Maximum number of backends in one view.
pub const MOST_SEEN: usize = 512;
/// Maximum number of names and objections in one report.
const MOST_NAMED: usize = 16;

/// A non-negative value, quantized on a logarithmic scale in steps of a quarter of a doubling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Coarse(u8);

impl Coarse {
    pub fn of(value: f64) -> Self {
        let value = value as f32;
        if value.is_nan() || value < LEAST {
            return Coarse(0);
        }
        Coarse((1.0 + (value / LEAST).log2() * STEPS).round().clamp(1.0, 255.0) as u8)
    }

    pub fn value(self) -> f64 {
        match self.0 {
            0 => 0.0,
            step => f64::from(LEAST * ((f32::from(step) - 1.0) / STEPS).exp2()),
        }
    }
}

/// One backend as observed by one proxy, in the load units of the balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sees {
    pub zone: String,
    pub cell: u32,
    /// The proxy's own units in flight, averaged over time.
    pub load: Coarse,
    /// The learned maximum.
    pub max: Coarse,
    /// Whether recent queries to it have only failed.
    pub lost: bool,
}

/// All observations of one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub backends: BTreeMap<String, Sees>,
    /// Queries per second, and those of them that were rejected or given up.
    pub queries: Coarse,
    pub rejected: Coarse,
}

impl View {
    /// Limits the view to `MAX_VIEW_BACKENDS` backends, however many are configured.
    pub fn cut(mut self) -> Self {
        while self.backends.len() > MOST_SEEN {
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
pub struct Seen {
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
    let there = |without: &str| {
        let left = view.backends.iter().filter(|(id, one)| !one.lost && id.as_str() != without);
        left.map(|(_, one)| one).collect::<Vec<_>>()
    };
    let object = |machine: &String| {
        let one = view.backends.get(machine)?;
        let left = there(machine);
        let (load, max) = (left.iter(), left.iter());
        let load: f64 = load.map(|one| one.load.value()).sum::<f64>() + one.load.value();
        let max: f64 = max.map(|one| one.max.value()).sum();
        let queries = view.queries.value();
        let why = if left.is_empty() && queries > 0.0 {
            "the only backend in reach".to_owned()
        } else if load > f64::from(STRAINED) * max && load > 1.0 {
            format!("{load:.1} units on {max:.1} that would be left")
        } else {
            return None;
        };
        Some(Objection { machine: machine.clone(), why, for_us: STANDS_US })
    };
    next.iter().filter_map(object).take(MOST_NAMED).collect()
}

/// One backend, aggregated over all proxies that report it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summed {
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

impl Summed {
    pub fn lost(&self) -> bool {
        self.by > 0 && 2 * self.lost_by > self.by
    }
}

/// The aggregate of all proxies' reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sight {
    pub backends: BTreeMap<String, Summed>,
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
pub struct Words<'a> {
    pub name: &'a str,
    pub view: Option<&'a View>,
    pub objections: &'a [Objection],
    pub revision: u64,
    /// Time since the report was received.
    pub age_us: u64,
    pub in_touch: bool,
}

fn middle(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Aggregates all proxies' reports. The result does not depend on their order.
pub fn summed<'a>(words: impl Iterator<Item = Words<'a>>) -> Sight {
    let mut sight = Sight { considered: u64::MAX, ..Sight::default() };
    let mut maxima: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for one in words {
        sight.proxies += 1;
        if !one.in_touch {
            if sight.silent.len() < MOST_NAMED {
                sight.silent.push(one.name.to_owned());
            }
            continue;
        }
        sight.in_touch += 1;
        sight.considered = sight.considered.min(one.revision);
        for objection in one.objections.iter().filter(|objection| one.age_us < objection.for_us) {
            if sight.objections.len() < MOST_NAMED {
                let (machine, why) = (objection.machine.clone(), objection.why.clone());
                sight.objections.push((one.name.to_owned(), machine, why));
            }
        }
        let Some(view) = one.view else { continue };
        sight.told += 1;
        sight.queries += view.queries.value();
        sight.rejected += view.rejected.value();
        for (id, sees) in &view.backends {
            let summed = sight.backends.entry(id.clone()).or_insert_with(|| Summed {
                zone: sees.zone.clone(),
                cell: sees.cell,
                ..Summed::default()
            });
            summed.load += sees.load.value();
            summed.by += 1;
            summed.lost_by += u32::from(sees.lost);
            if !sees.lost {
                maxima.entry(id).or_default().push(sees.max.value());
            }
        }
    }
    // Proxies that have not reported a view are counted at the mean of those that have.
    let scale = f64::from(sight.in_touch) / f64::from(sight.told.max(1));
    for (id, summed) in &mut sight.backends {
        summed.max = maxima.get_mut(id.as_str()).map_or(0.0, |all| middle(all));
        summed.load *= scale;
    }
    sight
}

#[cfg(test)]
#[path = "../tests/unit/sight.rs"]
mod tests;
