//! Balance over many gateways that don't see one another, against plain ways.

mod support;

use crankpick_dispatch::*;
use support::figures::Figures;
use support::fleet::play;
use support::policies::{ByDispatcher, ByPlain, Plain, Policy};
use support::sites::{large, small};
use support::traffic::{Day, Site};
use support::troubles::{Dark, Troubles};

fn dispatcher(number: usize, zone: &str) -> Box<dyn Policy> {
    let settings = DispatcherSettings { zone: zone.into(), weights: weights() };
    Box::new(ByDispatcher::new(settings, number as u64 + 77))
}

/// The usual weights, or those of trials: `TUNE=name=value,...`.
fn weights() -> Weights {
    let mut weights = Weights::default();
    for pair in std::env::var("TUNE").unwrap_or_default().split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').expect("a name and a value");
        let value: f64 = value.parse().expect("a number");
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
            "silence" => weights.silence = value,
            "power" => weights.latency_cost_exponent = value,
            "foreign" => weights.outside_group_cost = value,
            _ => panic!("no such weight"),
        }
    }
    weights
}

fn rotation(number: usize, _zone: &str) -> Box<dyn Policy> {
    Box::new(ByPlain::new(Plain::Rotation, number as u64 + 77))
}

fn least_loaded(number: usize, _zone: &str) -> Box<dyn Policy> {
    Box::new(ByPlain::new(Plain::LeastLoaded, number as u64 + 77))
}

const SECONDS: f64 = 40.0;

fn days(site: &Site) -> Vec<(&'static str, Day, Troubles)> {
    let base = Day { seconds: SECONDS, scale: 1.0, burst: None, hot: None };
    let calm = Troubles::default();
    let dark = Troubles { dark: Some(Dark { from_s: 15.0, for_s: 4.0, share: 1.0 / 6.0 }), ..calm.clone() };
    let slow = Troubles { slow: vec![(2, 4.0)], ..calm.clone() };
    let busy = if site.name == "small" { 2.0 } else { 1.3 };
    vec![
        ("half", Day { scale: 0.6, ..base }, calm.clone()),
        ("base", base, calm.clone()),
        ("burst", Day { burst: Some((12.0, 20.0, 1.6)), ..base }, calm.clone()),
        ("busy", Day { scale: busy, ..base }, calm.clone()),
        ("dark", base, dark),
        ("hot", Day { hot: Some((0, 0.3)), ..base }, calm),
        ("slow", base, slow),
        ("over", Day { scale: 2.2 * busy, ..base }, Troubles::default()),
    ]
}

type Maker = fn(usize, &str) -> Box<dyn Policy>;

fn table(site: &Site) {
    let only = std::env::var("ONLY").unwrap_or_default();
    let day_only = std::env::var("DAY").unwrap_or_default();
    for (name, day, troubles) in days(site) {
        if !day_only.is_empty() && day_only != name {
            continue;
        }
        let ways: [(&str, Maker); 3] =
            [("rotation", rotation), ("least", least_loaded), ("dispatch", dispatcher)];
        for (way, maker) in ways.into_iter().filter(|(way, _)| only.is_empty() || *way == only) {
            let plays: Vec<Figures> = (1..=4).map(|seed| play(site, &day, &troubles, seed, &maker)).collect();
            println!("{:5} {name:5} {way:8} {}", site.name, show(site, &plays));
        }
    }
}

fn show(site: &Site, plays: &[Figures]) -> String {
    let mean = |of: &dyn Fn(&Figures) -> f64| plays.iter().map(of).sum::<f64>() / plays.len() as f64;
    let mut text = format!(
        "p95 {:5.0} >600 {:5.2}% again {:5.0}k/{:6.0}k cross {:5.2}MB dark {:5.1} worth {:.4} priced {:.4} |",
        mean(&|of| of.engines(site).0),
        mean(&|of| of.engines(site).1) * 100.0,
        mean(&|of| of.read_again as f64 / 1e3),
        mean(&|of| of.read as f64 / 1e3),
        mean(&|of| of.crossed_bytes as f64 / 1e6),
        mean(&|of| of.into_dark as f64),
        mean(&|of| of.worth(site).0),
        mean(&|of| of.worth(site).1),
    );
    for place in 0..6 {
        text += &format!(" {:.0}k", mean(&|of| of.again_by[place] as f64 / 1e3));
    }
    for (index, class) in site.classes.iter().enumerate() {
        text += &format!(
            " {} p95 {:.0} late {:.2}% stall {:.2}% lost {:.1} ref {:.1}%;",
            class.name,
            mean(&|of| of.classes[index].quantile(0.95)),
            mean(&|of| of.classes[index].over(class.slo_ms)) * 100.0,
            mean(&|of| of.classes[index].stalled.len() as f64 / of.classes[index].count().max(1) as f64)
                * 100.0,
            mean(&|of| of.classes[index].lost as f64),
            mean(&|of| of.classes[index].refused as f64 / of.classes[index].count().max(1) as f64) * 100.0,
        );
    }
    text
}

/// All days of one name, some seeds of each way: rotation, least loaded, dispatcher.
fn compared(site: &Site, day_name: &str) -> [Vec<Figures>; 3] {
    let (_, day, troubles) =
        days(site).into_iter().find(|(name, ..)| *name == day_name).expect("a day of this name");
    let ways: [Maker; 3] = [rotation, least_loaded, dispatcher];
    ways.map(|maker| (1..=3).map(|seed| play(site, &day, &troubles, seed, &maker)).collect())
}

fn mean(plays: &[Figures], of: impl Fn(&Figures) -> f64) -> f64 {
    plays.iter().map(of).sum::<f64>() / plays.len() as f64
}

#[test]
fn twelve_gateways_beat_the_plain_ways_at_base_load() {
    for site in [small(), large()] {
        let [rotation, least, dispatch] = compared(&site, "base");
        let p95 = |plays: &[Figures]| mean(plays, |of| of.engines(&site).0);
        assert!(p95(&dispatch) < 0.8 * p95(&rotation), "{}: {}", site.name, p95(&dispatch));
        assert!(p95(&dispatch) < 0.8 * p95(&least), "{}: {}", site.name, p95(&dispatch));
        let over = |plays: &[Figures]| mean(plays, |of| of.engines(&site).1);
        assert!(over(&dispatch) < 0.75 * over(&rotation), "{}: {}", site.name, over(&dispatch));
    }
}

#[test]
fn sessions_are_read_again_far_less_and_bytes_cross_less() {
    for site in [small(), large()] {
        let [rotation, _, dispatch] = compared(&site, "base");
        let again = |plays: &[Figures]| mean(plays, |of| of.read_again as f64);
        assert!(again(&dispatch) < 0.35 * again(&rotation), "{}: {}", site.name, again(&dispatch));
        let crossed = |plays: &[Figures]| mean(plays, |of| of.crossed_bytes as f64);
        assert!(crossed(&dispatch) < 0.7 * crossed(&rotation), "{}: {}", site.name, crossed(&dispatch));
    }
}

#[test]
fn bursts_and_hot_sessions_are_borne() {
    for (site, day) in [(small(), "burst"), (large(), "burst"), (small(), "hot"), (large(), "hot")] {
        let [rotation, _, dispatch] = compared(&site, day);
        let priced = |plays: &[Figures]| mean(plays, |of| of.worth(&site).1);
        assert!(priced(&dispatch) > priced(&rotation) + 0.03, "{} {day}: {}", site.name, priced(&dispatch));
        let worth = |plays: &[Figures]| mean(plays, |of| of.worth(&site).0);
        assert!(worth(&dispatch) > worth(&rotation), "{} {day}: {}", site.name, worth(&dispatch));
    }
}

#[test]
fn dark_backends_get_few_requests() {
    for site in [small(), large()] {
        let [rotation, _, dispatch] = compared(&site, "dark");
        let dark = |plays: &[Figures]| mean(plays, |of| of.into_dark as f64);
        assert!(dark(&dispatch) < 0.5 * dark(&rotation), "{}: {}", site.name, dark(&dispatch));
    }
}

#[test]
fn a_backend_four_times_slower_costs_little() {
    for site in [small(), large()] {
        let [rotation, _, dispatch] = compared(&site, "slow");
        let lost = |plays: &[Figures]| 1.0 - mean(plays, |of| of.worth(&site).0);
        assert!(lost(&dispatch) < 0.5 * lost(&rotation), "{}: {}", site.name, lost(&dispatch));
    }
}

#[test]
#[ignore = "prints the figures of all days and ways"]
fn figures_of_all_ways() {
    table(&small());
    table(&large());
}
