use super::{DecayingMean, LatencyModel};
use std::time::Duration;

/// A model trained with first events of an engine of this speed; 30 % of them are delayed by queueing.
fn trained_model(tokens_per_ms: f64, overhead_ms: f64) -> LatencyModel {
    let mut model = LatencyModel::default();
    let mut rng = fastrand::Rng::with_seed(4);
    for index in 0..600 {
        let tokens = if index % 2 == 0 { 100.0 + 200.0 * rng.f64() } else { 2000.0 + 8000.0 * rng.f64() };
        let queueing_ms = if rng.f64() < 0.3 { 150.0 * rng.f64() } else { 0.0 };
        model.observe_first_event(tokens, overhead_ms + tokens / tokens_per_ms + queueing_ms);
    }
    model
}

#[test]
fn rate_and_overhead_are_estimated_despite_queueing_noise() {
    for (tokens_per_ms, overhead_ms) in [(100.0, 9.0), (62.0, 8.0), (20.0, 30.0)] {
        let model = trained_model(tokens_per_ms, overhead_ms);
        let rate = 10_000.0 / model.prefill_ms(10_000.0);
        assert!((rate / tokens_per_ms - 1.0).abs() < 0.25, "{rate} for {tokens_per_ms}");
        let overhead = model.first_event_ms(0.0);
        assert!((overhead / overhead_ms - 1.0).abs() < 0.5, "{overhead} for {overhead_ms}");
    }
}

#[test]
fn response_time_follows_measurements() {
    let mut model = LatencyModel::default();
    (0..200).for_each(|_| model.observe_response(60.0));
    assert!((model.response_ms() - 60.0).abs() < 1.0);
}

#[test]
fn a_decaying_mean_returns_to_the_baseline() {
    let mut wait = DecayingMean::new(0.0, 500.0);
    wait.observe(Duration::from_secs(1), 20.0, 220.0, 1.0);
    assert!((wait.value(Duration::from_secs(1), 20.0) - 220.0).abs() < 1e-6);
    let later = wait.value(Duration::from_millis(1500), 20.0);
    assert!((later - (20.0 + 200.0 / std::f64::consts::E)).abs() < 1e-6, "{later}");
    assert!((wait.value(Duration::from_secs(60), 20.0) - 20.0).abs() < 1e-6);
}
