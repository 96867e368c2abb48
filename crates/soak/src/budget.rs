//! On how many backends one request ran, against its route's `retries`.

use std::collections::BTreeSet;

use crate::check::{orders_in_force, Rule, Verdict};
use crate::history::{Exchange, History, RouteKind, Run};

/// So many requests of a run may run on too many backends.
const ALLOWED: usize = 3;

/// Judges that no more than a few requests ran on more backends than their routes allow.
pub(crate) fn judge(history: &History, verdict: &mut Verdict) {
    let beyond: Vec<String> =
        history.exchanges.iter().filter_map(|exchange| runs_beyond(history, exchange)).collect();
    verdict.beyond_retries = beyond.len();
    if beyond.len() > ALLOWED {
        for text in beyond {
            verdict.add(Rule::Budget, text);
        }
    }
}

/// What is to be said of a request that ran on too many backends.
fn runs_beyond(history: &History, exchange: &Exchange) -> Option<String> {
    let runs = history.runs.get(&exchange.id)?;
    let counted = runs.iter().filter(|run| !has_ended(history, exchange, run));
    let backends: BTreeSet<&str> = counted.map(|run| run.backend.as_str()).collect();
    let retries = retries_in_force(history, exchange)?;
    (backends.len() > retries as usize).then(|| {
        format!("{} ({:?}) ran on {backends:?}, where {retries} are allowed", exchange.id, exchange.kind)
    })
}

/// Whether the backend of a run ended, or was cut off, before the request ended.
fn has_ended(history: &History, exchange: &Exchange, run: &Run) -> bool {
    let ends = history.backend_ends.iter();
    let mut ends = ends.filter(|end| end.backend == run.backend && end.at <= exchange.ended);
    let cuts = history.backend_disturbances.iter().filter(|disturbance| disturbance.is_cut);
    ends.next().is_some() || cuts.into_iter().any(|cut| cut.touches(run, exchange.ended))
}

/// The most `retries` of the request's route in any configuration by which it may have been taken.
fn retries_in_force(history: &History, exchange: &Exchange) -> Option<u32> {
    let orders = orders_in_force(history, exchange.write_began, exchange.ended);
    orders.filter_map(|order| retries(&order.document, exchange.kind)).max()
}

/// The `retries` of a kind's route in a configuration.
fn retries(document: &serde_json::Value, kind: RouteKind) -> Option<u32> {
    let prefix = crate::configuration::prefix(kind);
    let mut routes = document["routes"].as_array()?.iter();
    let route = routes.find(|route| route["prefix"] == prefix)?;
    u32::try_from(route["retries"].as_u64()?).ok()
}
