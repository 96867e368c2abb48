//! A maintenance plan as written by operators: a TOML file, read and validated as a whole; errors name the
//! file, the line and the reason. The command line reads the file; the proxy that it calls resolves machines
//! named by zone or cell.

use std::collections::BTreeMap;
use std::path::Path;

use crankpick_fleet::work::{Bounds, Machine, MachineKind, Plan, MAX_MACHINES};
use serde::{Deserialize, Serialize};
use toml::Spanned;

/// Upper bound of all durations in a plan.
const MAX_US: u64 = 30 * 86_400 * 1_000_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    name: Spanned<String>,
    why: Spanned<String>,
    work_us: Option<Spanned<u64>>,
    maintenance: Option<Spanned<std::net::SocketAddr>>,
    #[serde(default)]
    machines: Vec<Spanned<Chosen>>,
    bounds: Spanned<Limits>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Limits {
    most_out: Spanned<u32>,
    most_out_zone: Option<Spanned<u32>>,
    most_out_cell: Option<Spanned<u32>>,
    most_cold: Option<Spanned<u32>>,
    least_spare: Option<Spanned<f64>>,
    most_rejected: Option<Spanned<f64>>,
    most_silent: Option<Spanned<f64>>,
    #[serde(default)]
    quiet_hours: Vec<Spanned<String>>,
    hang_us: Option<Spanned<u64>>,
    warm_us: Option<Spanned<u64>>,
    calm_us: Option<Spanned<u64>>,
    #[serde(default)]
    last_of_cell: bool,
}

/// Machines by name, or all backends of a zone or cell.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Chosen {
    #[serde(skip_serializing_if = "Option::is_none")]
    backend: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    proxy: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    zone: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cell: Option<u32>,
}

/// A valid file whose machines have not been resolved yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Draft {
    name: String,
    why: String,
    maintenance: Option<String>,
    bounds: Bounds,
    machines: Vec<Chosen>,
}

pub fn read(path: &Path) -> Result<Draft, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
    let parsed = toml::from_str::<Text>(&text).map_err(|error| {
        let at = error.span().map_or(1, |span| line(span.start));
        (at, error.message().replace('\n', ", "))
    });
    let validated = parsed.and_then(|text| validate(text).map_err(|(at, why)| (line(at), why)));
    validated.map_err(|(line, why)| format!("{}:{line}: {why}", path.display()))
}

type LocatedError = (usize, String);

fn within<T: PartialOrd + Copy + std::fmt::Display>(
    value: &Option<Spanned<T>>,
    name: &str,
    default: T,
    min: T,
    max: T,
) -> Result<T, LocatedError> {
    let Some(spanned) = value else { return Ok(default) };
    let value = *spanned.get_ref();
    match value >= min && value <= max {
        true => Ok(value),
        false => Err((spanned.span().start, format!("{name} {value}: from {min} to {max}"))),
    }
}

/// Parses a range as `22:00-06:30`, in UTC.
fn parse_quiet_hours(text: &Spanned<String>) -> Result<(u32, u32), LocatedError> {
    let minute = |text: &str| {
        let (hour, minute) = text.trim().split_once(':')?;
        let (hour, minute) = (hour.parse::<u32>().ok()?, minute.parse::<u32>().ok()?);
        (hour < 24 && minute < 60).then_some(60 * hour + minute)
    };
    let range =
        text.get_ref().split_once('-').and_then(|(from, until)| Some((minute(from)?, minute(until)?)));
    range.filter(|(from, until)| from != until).ok_or_else(|| {
        (
            text.span().start,
            format!("quiet_hours {:?}: two different times of day, as in 22:00-06:30", text.get_ref()),
        )
    })
}

fn validate(text: Text) -> Result<Draft, LocatedError> {
    let name = text.name.get_ref().clone();
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !(1..=64).contains(&name.len()) || !name.bytes().all(allowed) {
        return Err((text.name.span().start, "name: 1 to 64 of letters, digits, -, _ and .".into()));
    }
    if text.why.get_ref().trim().is_empty() || text.why.get_ref().len() > 200 {
        return Err((text.why.span().start, "why: a reason of 1 to 200 bytes is required".into()));
    }
    let (defaults, limits) = (Bounds::default(), text.bounds.get_ref());
    let most_out = *limits.most_out.get_ref();
    if most_out == 0 {
        return Err((limits.most_out.span().start, "most_out 0: no machine could ever be taken out".into()));
    }
    let bounds = Bounds {
        most_out,
        most_out_zone: within(&limits.most_out_zone, "most_out_zone", u32::MAX, 1, most_out)?,
        most_out_cell: within(&limits.most_out_cell, "most_out_cell", u32::MAX, 1, most_out)?,
        most_cold: within(&limits.most_cold, "most_cold", u32::MAX, 1, u32::MAX)?,
        least_spare: within(&limits.least_spare, "least_spare", defaults.least_spare, 1.0, 1_000.0)?,
        most_rejected: within(&limits.most_rejected, "most_rejected", defaults.most_rejected, 0.0, 1.0)?,
        most_silent: within(&limits.most_silent, "most_silent", defaults.most_silent, 0.0, 1.0)?,
        quiet: limits.quiet_hours.iter().map(parse_quiet_hours).collect::<Result<_, _>>()?,
        hang_us: within(&limits.hang_us, "hang_us", defaults.hang_us, 1_000_000, MAX_US)?,
        work_us: within(&text.work_us, "work_us", defaults.work_us, 1, MAX_US)?,
        warm_us: within(&limits.warm_us, "warm_us", defaults.warm_us, 0, MAX_US)?,
        calm_us: within(&limits.calm_us, "calm_us", defaults.calm_us, 0, MAX_US)?,
        last_of_cell: limits.last_of_cell,
    };
    if text.machines.is_empty() {
        return Err((text.bounds.span().start, "no [[machines]]".into()));
    }
    let mut seen = std::collections::BTreeSet::new();
    for chosen in &text.machines {
        let Chosen { backend, proxy, zone, cell } = chosen.get_ref();
        let at = chosen.span().start;
        let ways = [backend.is_some(), proxy.is_some(), zone.is_some()].iter().filter(|is| **is).count();
        if ways != 1 || cell.is_some() && zone.is_none() {
            return Err((at, "a machine: a backend, a proxy, a zone, or a zone with a cell".into()));
        }
        if let Some(name) = backend.as_ref().or(proxy.as_ref()) {
            if name.is_empty() || name.contains(char::is_whitespace) {
                return Err((at, format!("not a machine name: {name:?}")));
            }
            if !seen.insert(name.clone()) {
                return Err((at, format!("{name:?} twice")));
            }
        }
    }
    Ok(Draft {
        name,
        why: text.why.into_inner(),
        maintenance: text.maintenance.map(|at| at.get_ref().to_string()),
        bounds,
        machines: text.machines.into_iter().map(Spanned::into_inner).collect(),
    })
}

impl Draft {
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Resolves the draft to a plan with each machine by name; `listed` are the known backends with zone and
    /// cell.
    pub fn plan(self, listed: &[(String, String, u32)], voters: &[String]) -> Result<(String, Plan), String> {
        let mut machines = BTreeMap::new();
        let mut add = |name: &str, machine: Machine| match machines.contains_key(name) {
            // A machine may be named both by itself and by its zone; but not as both a proxy and a backend.
            true if machines.get(name).map(|one: &Machine| one.is) != Some(machine.is) => {
                Err(format!("{name:?} is a proxy and a backend"))
            }
            true => Ok(()),
            false => {
                machines.insert(name.to_owned(), machine);
                Ok(())
            }
        };
        for chosen in &self.machines {
            if let Some(name) = &chosen.proxy {
                add(name, Machine::new(MachineKind::Proxy, "", 0, voters.contains(name)))?;
                continue;
            }
            let fits = |(id, zone, cell): &&(String, String, u32)| match &chosen.backend {
                Some(name) => id == name,
                None => Some(zone) == chosen.zone.as_ref() && chosen.cell.is_none_or(|one| one == *cell),
            };
            let mut some = false;
            for (id, zone, cell) in listed.iter().filter(fits) {
                add(id, Machine::new(MachineKind::Backend, zone, *cell, false))?;
                some = true;
            }
            if !some {
                return Err(match (&chosen.backend, &chosen.zone) {
                    (Some(name), _) => format!("no backend {name:?} is listed"),
                    (_, zone) => format!("no backend is listed in zone {:?}", zone.as_deref().unwrap_or("")),
                });
            }
        }
        if machines.len() > MAX_MACHINES {
            return Err(format!("{} machines: {MAX_MACHINES} at most", machines.len()));
        }
        let Draft { name, why, maintenance, bounds, .. } = self;
        let (paused, cancelled, waits, number) = (false, false, String::new(), 0);
        Ok((name, Plan { why, bounds, maintenance, paused, cancelled, waits, number, machines }))
    }
}
