//! Load balancing by many independent gateways, compared with baseline policies in a simulated fleet.

mod support;

use crankpick_dispatch::*;
use support::deployments::{large, small};
use support::faults::{Faults, Outage};
use support::policies::{Baseline, BaselinePolicy, DispatcherPolicy, Policy};
use support::simulation::simulate;
use support::stats::RunStats;
use support::traffic::{Deployment, Workload};

fn dispatcher(number: usize, zone: &str) -> Box<dyn Policy> {
    let settings = DispatcherSettings { zone: zone.into(), weights: weights() };
    Box::new(DispatcherPolicy::new(settings, number as u64 + 77))
}

/// The default weights, with overrides from the environment: `TUNE=name=value,...`.
fn weights() -> Weights {
    let mut weights = Weights::default();
    for pair in std::env::var("TUNE").unwrap_or_default().split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').expect("TUNE holds name=value pairs");
        let value: f64 = value.parse().expect("the value is a number");
        match name {
            "cross" => weights.cross_zone_cost_per_kb = value,
            "reread" => weights.reprefill_cost_per_k_tokens = value,
            "elsewhere" => weights.remote_use_probability = value,
            "first" => weights.home_cached_probability = value,
            "near" => weights.same_zone_home_cached_probability = value,
            "stall" => weights.stall_cost_per_stream = value,
            "stallms" => weights.stall_prefill_ms = value,
            "late" => weights.excess_latency_smoothing = value,
            "tau" => weights.external_wait_decay_ms = value,
            "silence" => weights.silence_wait_factor = value,
            "power" => weights.latency_cost_exponent = value,
            "foreign" => weights.outside_group_cost = value,
            _ => panic!("unknown weight {name:?}"),
        }
    }
    weights
}

fn round_robin(number: usize, _zone: &str) -> Box<dyn Policy> {
    Box::new(BaselinePolicy::new(Baseline::RoundRobin, number as u64 + 77))
}

fn least_loaded(number: usize, _zone: &str) -> Box<dyn Policy> {
    Box::new(BaselinePolicy::new(Baseline::LeastLoaded, number as u64 + 77))
}

const SECONDS: f64 = 40.0;

fn scenarios(deployment: &Deployment) -> Vec<(&'static str, Workload, Faults)> {
    let base = Workload { seconds: SECONDS, scale: 1.0, burst: None, hot_session: None };
    let no_faults = Faults::default();
    let outage =
        Faults { outage: Some(Outage { from_s: 15.0, for_s: 4.0, share: 1.0 / 6.0 }), ..no_faults.clone() };
    let slow_engine = Faults { slowness: vec![(2, 4.0)], ..no_faults.clone() };
    let busy_scale = if deployment.name == "small" { 2.0 } else { 1.3 };
    vec![
        ("half", Workload { scale: 0.6, ..base }, no_faults.clone()),
        ("base", base, no_faults.clone()),
        ("burst", Workload { burst: Some((12.0, 20.0, 1.6)), ..base }, no_faults.clone()),
        ("busy", Workload { scale: busy_scale, ..base }, no_faults.clone()),
        ("dark", base, outage),
        ("hot", Workload { hot_session: Some((0, 0.3)), ..base }, no_faults),
        ("slow", base, slow_engine),
        ("over", Workload { scale: 2.2 * busy_scale, ..base }, Faults::default()),
    ]
}

type PolicyFactory = fn(usize, &str) -> Box<dyn Policy>;

fn print_table(deployment: &Deployment) {
    let policy_filter = std::env::var("ONLY").unwrap_or_default();
    let scenario_filter = std::env::var("DAY").unwrap_or_default();
    for (name, workload, faults) in scenarios(deployment) {
        if !scenario_filter.is_empty() && scenario_filter != name {
            continue;
        }
        let policies: [(&str, PolicyFactory); 3] =
            [("rotation", round_robin), ("least", least_loaded), ("dispatch", dispatcher)];
        for (policy, factory) in
            policies.into_iter().filter(|(policy, _)| policy_filter.is_empty() || *policy == policy_filter)
        {
            let runs: Vec<RunStats> =
                (1..=4).map(|seed| simulate(deployment, &workload, &faults, seed, &factory)).collect();
            println!("{:5} {name:5} {policy:8} {}", deployment.name, format_stats(deployment, &runs));
        }
    }
}

fn format_stats(deployment: &Deployment, runs: &[RunStats]) -> String {
    let mean = |of: &dyn Fn(&RunStats) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    let mut text = format!(
        "p95 {:5.0} >600 {:5.2}% reprefilled {:5.0}k of {:6.0}k cross-zone {:5.2}MB to unresponsive {:5.1} value {:.4} net {:.4} |",
        mean(&|stats| stats.engine_latency(deployment).0),
        mean(&|stats| stats.engine_latency(deployment).1) * 100.0,
        mean(&|stats| stats.reprefilled_tokens as f64 / 1e3),
        mean(&|stats| stats.prefilled_tokens as f64 / 1e3),
        mean(&|stats| stats.cross_zone_bytes as f64 / 1e6),
        mean(&|stats| stats.sent_to_unresponsive as f64),
        mean(&|stats| stats.value(deployment).0),
        mean(&|stats| stats.value(deployment).1),
    );
    for index in 0..6 {
        text += &format!(" {:.0}k", mean(&|stats| stats.reprefilled_by_part[index] as f64 / 1e3));
    }
    for (index, class) in deployment.classes.iter().enumerate() {
        text += &format!(
            " {} p95 {:.0} late {:.2}% stalled {:.2}% failed {:.1} rejected {:.1}%;",
            class.name,
            mean(&|stats| stats.classes[index].quantile(0.95)),
            mean(&|stats| stats.classes[index].share_over(class.slo_ms)) * 100.0,
            mean(&|stats| stats.classes[index].stalled.len() as f64
                / stats.classes[index].count().max(1) as f64)
                * 100.0,
            mean(&|stats| stats.classes[index].failed as f64),
            mean(&|stats| stats.classes[index].rejected as f64 / stats.classes[index].count().max(1) as f64)
                * 100.0,
        );
    }
    text
}

/// Runs a scenario with three seeds under each policy: round robin, least loaded, dispatcher.
fn compare(deployment: &Deployment, scenario: &str) -> [Vec<RunStats>; 3] {
    let (_, workload, faults) =
        scenarios(deployment).into_iter().find(|(name, ..)| *name == scenario).expect("the scenario exists");
    let policies: [PolicyFactory; 3] = [round_robin, least_loaded, dispatcher];
    policies
        .map(|factory| (1..=3).map(|seed| simulate(deployment, &workload, &faults, seed, &factory)).collect())
}

fn mean(runs: &[RunStats], of: impl Fn(&RunStats) -> f64) -> f64 {
    runs.iter().map(of).sum::<f64>() / runs.len() as f64
}

#[test]
fn dispatcher_outperforms_baselines_at_base_load() {
    for deployment in [small(), large()] {
        let [round_robin, least_loaded, dispatch] = compare(&deployment, "base");
        let p95 = |runs: &[RunStats]| mean(runs, |stats| stats.engine_latency(&deployment).0);
        assert!(p95(&dispatch) < 0.8 * p95(&round_robin), "{}: {}", deployment.name, p95(&dispatch));
        assert!(p95(&dispatch) < 0.8 * p95(&least_loaded), "{}: {}", deployment.name, p95(&dispatch));
        let share_over = |runs: &[RunStats]| mean(runs, |stats| stats.engine_latency(&deployment).1);
        assert!(
            share_over(&dispatch) < 0.75 * share_over(&round_robin),
            "{}: {}",
            deployment.name,
            share_over(&dispatch)
        );
    }
}

#[test]
fn dispatcher_reduces_repeated_prefill_and_cross_zone_traffic() {
    for deployment in [small(), large()] {
        let [round_robin, _, dispatch] = compare(&deployment, "base");
        let reprefilled = |runs: &[RunStats]| mean(runs, |stats| stats.reprefilled_tokens as f64);
        assert!(
            reprefilled(&dispatch) < 0.35 * reprefilled(&round_robin),
            "{}: {}",
            deployment.name,
            reprefilled(&dispatch)
        );
        let cross_zone_bytes = |runs: &[RunStats]| mean(runs, |stats| stats.cross_zone_bytes as f64);
        assert!(
            cross_zone_bytes(&dispatch) < 0.7 * cross_zone_bytes(&round_robin),
            "{}: {}",
            deployment.name,
            cross_zone_bytes(&dispatch)
        );
    }
}

#[test]
fn dispatcher_handles_bursts_and_hot_sessions() {
    for (deployment, scenario) in [(small(), "burst"), (large(), "burst"), (small(), "hot"), (large(), "hot")]
    {
        let [round_robin, _, dispatch] = compare(&deployment, scenario);
        let net_value = |runs: &[RunStats]| mean(runs, |stats| stats.value(&deployment).1);
        assert!(
            net_value(&dispatch) > net_value(&round_robin) + 0.03,
            "{} {scenario}: {}",
            deployment.name,
            net_value(&dispatch)
        );
        let value = |runs: &[RunStats]| mean(runs, |stats| stats.value(&deployment).0);
        assert!(
            value(&dispatch) > value(&round_robin),
            "{} {scenario}: {}",
            deployment.name,
            value(&dispatch)
        );
    }
}

#[test]
fn unresponsive_backends_receive_few_requests() {
    for deployment in [small(), large()] {
        let [round_robin, _, dispatch] = compare(&deployment, "dark");
        let sent_to_unresponsive = |runs: &[RunStats]| mean(runs, |stats| stats.sent_to_unresponsive as f64);
        assert!(
            sent_to_unresponsive(&dispatch) < 0.5 * sent_to_unresponsive(&round_robin),
            "{}: {}",
            deployment.name,
            sent_to_unresponsive(&dispatch)
        );
    }
}

#[test]
fn a_backend_four_times_slower_has_little_effect() {
    for deployment in [small(), large()] {
        let [round_robin, _, dispatch] = compare(&deployment, "slow");
        let lost_value = |runs: &[RunStats]| 1.0 - mean(runs, |stats| stats.value(&deployment).0);
        assert!(
            lost_value(&dispatch) < 0.5 * lost_value(&round_robin),
            "{}: {}",
            deployment.name,
            lost_value(&dispatch)
        );
    }
}

#[test]
#[ignore = "prints the statistics of all scenarios and policies"]
fn statistics_of_all_policies() {
    print_table(&small());
    print_table(&large());
}
