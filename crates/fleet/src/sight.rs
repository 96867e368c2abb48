//! What each proxy sees of the backends, told in coarse steps, and what all of it comes to. Called by `session`
//! for the proxy's own words, by `lead` to sum them up, and by `order`, which settles by the sum alone.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Steps to a doubling: a value is told to within a tenth.
const STEPS: f32 = 4.0;
/// The least value that is told apart from nothing.
const LEAST: f32 = 1.0 / 64.0;
/// How long an objection stands unless it is made again.
const STANDS_US: u64 = 10_000_000;
/// What may be in use of what is left, as one proxy sees it, before it objects.
const STRAINED: f32 = 0.8;
/// Of a word on what is seen: backends, names, objections.
pub const MOST_SEEN: usize = 512;
const MOST_NAMED: usize = 16;

/// A value in steps of a quarter of a doubling.
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

/// One backend as one proxy sees it, in the mechanism's load units.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sees {
    pub zone: String,
    pub cell: u32,
    /// Own units in flight, a mean over some time.
    pub load: Coarse,
    /// The learned maximum.
    pub max: Coarse,
    /// Nothing but failures lately.
    pub lost: bool,
}

/// All that one proxy sees.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub backends: BTreeMap<String, Sees>,
    /// Queries a second, and those of them turned away or given up.
    pub queries: Coarse,
    pub rejected: Coarse,
}

impl View {
    /// Bounded, whatever a list holds.
    pub fn cut(mut self) -> Self {
        while self.backends.len() > MOST_SEEN {
            self.backends.pop_last();
        }
        self
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objection {
    pub machine: String,
    pub why: String,
    /// From when it is heard.
    pub for_us: u64,
}

/// A proxy's words on work, with each sign of life.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// The revision of the work that the objections answer.
    pub revision: u64,
    pub objections: Vec<Objection>,
    /// Of the backends that are out, those at which it still has something in hand.
    pub busy: BTreeSet<String>,
    /// The process itself: told to drain, and nothing in hand any more.
    pub drained: bool,
    /// Where it has changed, or the leader has.
    pub view: Option<View>,
}

/// What a proxy has against these going out, by what it alone sees.
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

/// One backend as all that told of it see it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summed {
    pub zone: String,
    pub cell: u32,
    /// Units in flight, of all proxies.
    pub load: f64,
    /// The middle of the learned maxima.
    pub max: f64,
    /// Proxies that told of it, and those of them that reach it no more.
    pub by: u32,
    pub lost_by: u32,
}

impl Summed {
    pub fn lost(&self) -> bool {
        self.by > 0 && 2 * self.lost_by > self.by
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sight {
    pub backends: BTreeMap<String, Summed>,
    /// Proxies with a session, those of them in touch, and those that told what they see.
    pub proxies: u32,
    pub in_touch: u32,
    pub told: u32,
    pub queries: f64,
    pub rejected: f64,
    /// Those not in touch, a few of them by name.
    pub silent: Vec<String>,
    /// Of the proxies in touch, the lowest revision that any has considered.
    pub considered: u64,
    /// Who objects, to what, and why; in force now.
    pub objections: Vec<(String, String, String)>,
    /// For each machine that leaves: what it still waits for, nothing once it is proved to be out.
    pub waits: BTreeMap<String, Vec<String>>,
    /// For each machine that is back: how many proxies have yet to act on it.
    pub behind: BTreeMap<String, u32>,
    /// Proxies that hold a duty or lead.
    pub in_office: BTreeSet<String>,
}

/// One proxy's last words, as the leader has them.
pub struct Words<'a> {
    pub name: &'a str,
    pub view: Option<&'a View>,
    pub objections: &'a [Objection],
    pub revision: u64,
    /// Since they were heard.
    pub age_us: u64,
    pub in_touch: bool,
}

fn middle(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// The sum of what all proxies say; the same from the same words, in whatever order they come.
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
    // A mean stands for those that have yet to tell.
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
