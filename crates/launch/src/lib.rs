//! Turns what an instance is told at its start, and the entries of its list, into the core's types.
//! Both hosts use it, so that a setting means the same on sockets as in the simulator.

mod list;

pub use list::{Entry, Instance};

use crankpick::balance::Balancer;
use crankpick::interface::{
    ClockError, ColdRule, DedupGroup, Deployment, ExecutionLimits, Repeat, ScoringMix, Tenant, Workload,
};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The value at `path`; what is absent takes its type's zero, and what is mistyped is named.
pub fn at<T: DeserializeOwned + Default>(conf: &Value, path: &str) -> Result<T, String> {
    let place = path.split('.').try_fold(conf, |place, step| place.get(step));
    match place {
        None | Some(Value::Null) => Ok(T::default()),
        Some(value) => T::deserialize(value).map_err(|wrong| format!("{path} in the settings: {wrong}")),
    }
}

fn repeat(name: String) -> Result<Repeat, String> {
    match name.as_str() {
        "retryable" => Ok(Repeat::Idempotent),
        "dedup" => Ok(Repeat::Deduplicated),
        "fragile" => Ok(Repeat::NonIdempotent),
        other => Err(format!("settings: unknown Repeat {other:?}")),
    }
}

/// What may be repeated, workload by workload.
pub fn repeats(conf: &Value) -> Result<Vec<Repeat>, String> {
    each(conf, "Workloads", "Repeat")?.into_iter().map(repeat).collect()
}

fn workload(conf: &Value) -> Result<Workload, String> {
    let group: String = at(conf, "Group")?;
    Ok(Workload {
        repeat: repeat(at(conf, "Repeat")?)?,
        group: match group.as_str() {
            "all" | "" => DedupGroup::All,
            "zone" => DedupGroup::Zone,
            "cell" => DedupGroup::Cell,
            other => return Err(format!("settings: unknown Group {other:?}")),
        },
        window_us: at(conf, "WindowUs")?,
        slo_us: at(conf, "SloTimeUs")?,
        importance: at(conf, "Importance")?,
        tardy_importance: at(conf, "TardyImportance")?,
    })
}

fn tenant(conf: &Value, beyond_importance: f64) -> Result<Tenant, String> {
    Ok(Tenant { quota_per_s: at(conf, "QuotaRps")?, over_quota_importance: beyond_importance })
}

/// The value that every entry of the list at `path` has under `name`: the names of workloads, say.
pub fn each<T: DeserializeOwned + Default>(conf: &Value, path: &str, name: &str) -> Result<Vec<T>, String> {
    let entries: Vec<Value> = at(conf, path)?;
    entries.iter().map(|entry| at(entry, name)).collect()
}

/// A figure that can't be below zero; absent is zero.
fn amount(conf: &Value, path: &str) -> Result<f64, String> {
    let amount: f64 = at(conf, path)?;
    match amount.is_finite() && amount >= 0.0 {
        true => Ok(amount),
        false => Err(format!("{path} in the settings: {amount} is below zero")),
    }
}

/// Absent settings leave a proxy that stands nowhere and asks nobody.
pub fn standing(conf: &Value) -> Result<Deployment, String> {
    let zone: Option<u32> = at(conf, "Zone")?;
    let zones: Vec<String> = at(conf, "Zones")?;
    if zone.is_some_and(|zone| zone as usize >= zones.len()) {
        return Err(format!("Zone in the settings: {} of {} Zones", zone.unwrap_or(0), zones.len()));
    }
    // Where answers bring reports, probes would tell nothing new.
    let via: String = at(conf, "Report.Via")?;
    let untold = match via.as_str() {
        "piggyback" | "" => false,
        "pull" | "silent" => true,
        other => return Err(format!("settings: unknown Report.Via {other:?}")),
    };
    Ok(Deployment {
        zone,
        cross_zone_cost: amount(conf, "Prices.CrossZone")?,
        connection: amount(conf, "Prices.Connection")? + amount(conf, "Prices.Handshake")?,
        probes: at::<bool>(conf, "Limits.Probes")? && untold,
        peers: at(conf, "Limits.Peers")?,
        removal_not_binding: at(conf, "Safety.RemovalNotBinding")?,
        response_buffers: above_zero(conf, "Limits.ResponseRoom")?.map(|room| room as usize),
        ask_within_us: ask_within(conf)?,
        clocks: ClockError {
            deadline_us: at(conf, "Safety.DeadlineErrorUs")?,
            start_us: at(conf, "Safety.StartDriftUs")?,
        },
        scoring: goal(conf)?,
    })
}

/// A count or time that means nothing at 0; absent is none.
fn above_zero(conf: &Value, path: &str) -> Result<Option<u64>, String> {
    match at::<Option<u64>>(conf, path)? {
        Some(0) => {
            Err(format!("{path} in the settings: 0 is too few; leave it out where nothing is bounded"))
        }
        other => Ok(other),
    }
}

/// Only who must ask for the list can have asked too long ago.
fn ask_within(conf: &Value) -> Result<Option<u64>, String> {
    match at::<String>(conf, "Discovery")?.as_str() {
        "subscribe" => above_zero(conf, "Safety.AskWithinUs"),
        _ => Ok(None),
    }
}

/// A part that counts needs the figure that it is counted by.
fn goal(conf: &Value) -> Result<ScoringMix, String> {
    let goal = ScoringMix {
        nines_part: amount(conf, "ScoringMix.NinesPart")?,
        full_at_nines: amount(conf, "ScoringMix.FullAtNines")?,
        slow_end: amount(conf, "ScoringMix.SlowEnd")?,
        tail_slack: amount(conf, "ScoringMix.TailSlack")?,
    };
    if goal.nines_part > 0.0 && goal.full_at_nines <= 0.0 {
        return Err("ScoringMix.FullAtNines in the settings: NinesPart counts, so it must be above 0".into());
    }
    if goal.slow_end > 0.0 && !(goal.tail_slack > 0.0 && goal.tail_slack < 1.0) {
        let slack = goal.tail_slack;
        return Err(format!("ScoringMix.TailSlack in the settings: SlowEnd counts, and {slack} is no share"));
    }
    Ok(goal)
}

/// What queries may name, in the order of the settings.
pub fn workloads(conf: &Value) -> Result<Vec<Workload>, String> {
    at::<Vec<Value>>(conf, "Workloads")?.iter().map(workload).collect()
}

pub fn tenants(conf: &Value) -> Result<Vec<Tenant>, String> {
    let beyond: f64 = at(conf, "BeyondShareImportance")?;
    at::<Vec<Value>>(conf, "Tenants")?.iter().map(|one| tenant(one, beyond)).collect()
}

pub fn limits(conf: &Value) -> Result<ExecutionLimits, String> {
    let advice: bool = at(conf, "Limits.RetryAfter")?;
    Ok(ExecutionLimits {
        max_executions: at(conf, "Limits.MaxExecutions")?,
        may_duplicate: at(conf, "Limits.MayDuplicate")?,
        cancel: at(conf, "Limits.Cancel")?,
        max_backoff_us: if advice { at(conf, "Limits.MaxRetryAfterUs")? } else { 0 },
    })
}

pub fn cold(conf: &Value) -> Result<ColdRule, String> {
    let share: Option<f64> = at(conf, "Safety.ColdShare")?;
    let share = share.unwrap_or(1.0);
    if !(0.0..=1.0).contains(&share) {
        return Err(format!("Safety.ColdShare in the settings: {share} is no share"));
    }
    Ok(ColdRule {
        start_capacity: at(conf, "Safety.StartCapacity")?,
        cold_us: at(conf, "Safety.ColdUs")?,
        capacity_multiple: at::<f64>(conf, "Safety.TipMultiple")? * share,
        window_us: at(conf, "Safety.OverloadForUs")?,
    })
}

pub fn balancer(salt: u64, conf: &Value) -> Result<Balancer, String> {
    if !conf.is_object() {
        return Err("the settings are not an object".into());
    }
    let discovery: String = at(conf, "Discovery")?;
    Ok(Balancer::new(
        salt,
        at(conf, "Balancers")?,
        at(conf, "MyNumber")?,
        workloads(conf)?,
        tenants(conf)?,
        limits(conf)?,
        cold(conf)?,
        discovery == "subscribe",
        standing(conf)?,
    ))
}
