use super::*;

#[test]
fn coarse_values_are_within_a_tenth_and_keep_their_order() {
    let mut last = Quantized::of(0.0);
    assert_eq!(last.value(), 0.0);
    for step in 0..2_000 {
        let value = 0.02 * 1.005_f64.powi(step);
        let coarse = Quantized::of(value);
        assert!((coarse.value() / value - 1.0).abs() < 0.1 && coarse >= last, "{value}: {coarse:?}");
        last = coarse;
    }
    assert_eq!(Quantized::of(f64::NAN), Quantized(0));
    assert_eq!(Quantized::of(f64::INFINITY), Quantized(255));
}

fn backend_view(load: f64, max: f64, lost: bool) -> BackendView {
    BackendView { load: Quantized::of(load), max: Quantized::of(max), lost, ..BackendView::default() }
}

#[test]
fn a_proxy_objects_where_nothing_or_too_little_would_be_left() {
    let names = |all: &[&str]| all.iter().map(|id| id.to_string()).collect::<Vec<_>>();
    let mut view = View { queries: Quantized::of(5.0), ..View::default() };
    view.backends.insert("a".into(), backend_view(1.0, 8.0, false));
    view.backends.insert("b".into(), backend_view(0.0, 8.0, true));
    // The other backend is lost, so nothing would be left.
    assert_eq!(objections(&view, &names(&["a", "b", "z"]))[0].why, "the only backend in reach");
    assert_eq!(objections(&view, &names(&["b", "z"])), []);
    view.backends.insert("c".into(), backend_view(7.0, 8.0, false));
    assert!(objections(&view, &names(&["a"]))[0].why.contains("units on"));
    view.backends.insert("d".into(), backend_view(0.1, 8.0, false));
    assert_eq!(objections(&view, &names(&["a"])), []);
}

#[test]
fn one_liar_moves_the_sum_by_its_own_share_and_not_the_maxima() {
    let view = |load, max| {
        let mut view = View { queries: Quantized::of(10.0), ..View::default() };
        view.backends.insert("a".into(), backend_view(load, max, false));
        view
    };
    let views = [view(1.0, 8.0), view(1.0, 8.0), view(0.0, 1e6)];
    let aggregate_first = |count: usize| {
        let report = |(at, view): (usize, &'static View)| LatestReport {
            name: ["p", "q", "r", "s"][at],
            view: (at < count).then_some(view),
            objections: &[],
            revision: 3,
            age_us: 0,
            in_touch: true,
        };
        let views: &'static [View; 3] = Box::leak(Box::new(views.clone()));
        aggregate(views.iter().enumerate().map(report))
    };
    let all = aggregate_first(3);
    assert!((all.backends["a"].load - 2.0).abs() < 0.01 && (all.backends["a"].max - 8.0).abs() < 0.8);
    // A proxy that has not reported is counted at the mean of those that have.
    assert!((aggregate_first(2).backends["a"].load - 3.0).abs() < 0.01);
    assert_eq!((all.considered, all.told, aggregate_first(2).told), (3, 3, 2));
}
