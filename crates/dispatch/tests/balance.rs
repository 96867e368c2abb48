//! Balance over many gateways that don't see one another, against plain ways.

mod support;

use crankpick_dispatch::*;
use support::figures::Figures;
use support::fleet::{play, Dark, Troubles};
use support::policies::{ByDispatcher, ByPlain, Plain, Policy};
use support::sites::{large, small};
use support::traffic::{Day, Site};

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
            "cross" => weights.crossing_per_kb = value,
            "reread" => weights.reread_per_k = value,
            "elsewhere" => weights.shared_elsewhere = value,
            "first" => weights.kept_at_first = value,
            "near" => weights.kept_near = value,
            "late" => weights.late_share = value,
            "tau" => weights.others_tau_ms = value,
            "silence" => weights.silence = value,
            "power" => weights.lateness_power = value,
            "foreign" => weights.foreign = value,
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
    for (index, class) in site.classes.iter().enumerate() {
        text += &format!(
            " {} p95 {:.0} late {:.2}% lost {:.1} ref {:.1}%;",
            class.name,
            mean(&|of| of.classes[index].quantile(0.95)),
            mean(&|of| of.classes[index].over(class.slo_ms)) * 100.0,
            mean(&|of| of.classes[index].lost as f64),
            mean(&|of| of.classes[index].refused as f64 / of.classes[index].count().max(1) as f64) * 100.0,
        );
    }
    text
}

#[test]
#[ignore = "prints the figures of all days and ways"]
fn figures_of_all_ways() {
    table(&small());
    table(&large());
}
