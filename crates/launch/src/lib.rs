//! Converts an instance's settings and the entries of the backend list into the core's types. Both hosts use
//! it, so that a setting has the same meaning on sockets as in the simulator.

mod list;

pub use list::{Entry, Instance};

use crankpick::balance::Balancer;
use crankpick::interface::{
    ClockError, ColdRule, DedupGroup, Deployment, ExecutionLimits, Repeat, ScoringMix, Tenant, Workload,
};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The value at the dotted `path`. An absent value is its type's default; a value of the wrong type is an
/// error that names the path.
pub fn at<T: DeserializeOwned + Default>(conf: &Value, path: &str) -> Result<T, String> {
    let value_at_path = path.split('.').try_fold(conf, |value_at_path, step| value_at_path.get(step));
    match value_at_path {
        None | Some(Value::Null) => Ok(T::default()),
        Some(value) => T::deserialize(value).map_err(|error| format!("{path} in the settings: {error}")),
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

/// The repeat policy of each workload.
pub fn repeats(conf: &Value) -> Result<Vec<Repeat>, String> {
    entry_values(conf, "Workloads", "Repeat")?.into_iter().map(repeat).collect()
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

/// The value of `name` in each entry of the list at `path`, for instance the names of the workloads.
pub fn entry_values<T: DeserializeOwned + Default>(
    conf: &Value,
    path: &str,
    name: &str,
) -> Result<Vec<T>, String> {
    let entries: Vec<Value> = at(conf, path)?;
    entries.iter().map(|entry| at(entry, name)).collect()
}

/// A finite, non-negative number; 0 if absent.
fn non_negative(conf: &Value, path: &str) -> Result<f64, String> {
    let amount: f64 = at(conf, path)?;
    match amount.is_finite() && amount >= 0.0 {
        true => Ok(amount),
        false => Err(format!("{path} in the settings: {amount} is negative or not finite")),
    }
}

/// Absent settings describe a proxy without a zone, probes or peers.
pub fn standing(conf: &Value) -> Result<Deployment, String> {
    let zone: Option<u32> = at(conf, "Zone")?;
    let zones: Vec<String> = at(conf, "Zones")?;
    if zone.is_some_and(|zone| zone as usize >= zones.len()) {
        return Err(format!("Zone in the settings: {} of {} Zones", zone.unwrap_or(0), zones.len()));
    }
    // If answers carry reports, probes would add no information.
    let via: String = at(conf, "Report.Via")?;
    let without_reports = match via.as_str() {
        "piggyback" | "" => false,
        "pull" | "silent" => true,
        other => return Err(format!("settings: unknown Report.Via {other:?}")),
    };
    Ok(Deployment {
        zone,
        cross_zone_cost: non_negative(conf, "Prices.CrossZone")?,
        connection: non_negative(conf, "Prices.Connection")? + non_negative(conf, "Prices.Handshake")?,
        probes: at::<bool>(conf, "Limits.Probes")? && without_reports,
        peers: at(conf, "Limits.Peers")?,
        removal_not_binding: at(conf, "Safety.RemovalNotBinding")?,
        response_buffers: positive(conf, "Limits.ResponseRoom")?.map(|room| room as usize),
        ask_within_us: ask_within(conf)?,
        clocks: ClockError {
            deadline_us: at(conf, "Safety.DeadlineErrorUs")?,
            start_us: at(conf, "Safety.StartDriftUs")?,
        },
        scoring: goal(conf)?,
    })
}

/// A count or duration for which 0 is not valid; None if absent.
fn positive(conf: &Value, path: &str) -> Result<Option<u64>, String> {
    match at::<Option<u64>>(conf, path)? {
        Some(0) => Err(format!("{path} in the settings: 0 is not allowed; leave it out for no limit")),
        other => Ok(other),
    }
}

/// Applies only with the `subscribe` discovery: a proxy that does not request the list cannot have an
/// outdated request.
fn ask_within(conf: &Value) -> Result<Option<u64>, String> {
    match at::<String>(conf, "Discovery")?.as_str() {
        "subscribe" => positive(conf, "Safety.AskWithinUs"),
        _ => Ok(None),
    }
}

/// The scoring goal. Each part with a positive weight needs the figure that it is measured by.
fn goal(conf: &Value) -> Result<ScoringMix, String> {
    let goal = ScoringMix {
        nines_part: non_negative(conf, "ScoringMix.NinesPart")?,
        full_at_nines: non_negative(conf, "ScoringMix.FullAtNines")?,
        slow_end: non_negative(conf, "ScoringMix.SlowEnd")?,
        tail_slack: non_negative(conf, "ScoringMix.TailSlack")?,
    };
    if goal.nines_part > 0.0 && goal.full_at_nines <= 0.0 {
        return Err("ScoringMix.FullAtNines in the settings: NinesPart is set, so it must be above 0".into());
    }
    if goal.slow_end > 0.0 && !(goal.tail_slack > 0.0 && goal.tail_slack < 1.0) {
        let slack = goal.tail_slack;
        return Err(format!(
            "ScoringMix.TailSlack in the settings: SlowEnd is set, and {slack} is not between 0 and 1"
        ));
    }
    Ok(goal)
}

/// The workloads that queries may name, in the order of the settings.
pub fn workloads(conf: &Value) -> Result<Vec<Workload>, String> {
    at::<Vec<Value>>(conf, "Workloads")?.iter().map(workload).collect()
}

pub fn tenants(conf: &Value) -> Result<Vec<Tenant>, String> {
    let beyond_importance: f64 = at(conf, "BeyondShareImportance")?;
    at::<Vec<Value>>(conf, "Tenants")?.iter().map(|one| tenant(one, beyond_importance)).collect()
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

pub fn cold_rule(conf: &Value) -> Result<ColdRule, String> {
    let share: Option<f64> = at(conf, "Safety.ColdShare")?;
    let share = share.unwrap_or(1.0);
    if !(0.0..=1.0).contains(&share) {
        return Err(format!("Safety.ColdShare in the settings: {share} is not between 0 and 1"));
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
        cold_rule(conf)?,
        discovery == "subscribe",
        standing(conf)?,
    ))
}
