use super::*;
use crate::peers::Peers;
use crankpick::interface::{Listed, Phase};
use serde_json::json;

/// Without an outcome each such execution would count as running on the only backend forever, until nothing is
/// sent there.
#[tokio::test]
async fn an_execution_decided_as_the_client_goes_is_not_left_out_there() {
    let settings = json!({
        "Balancers": 1, "Discovery": "subscribe", "Limits": {"MaxExecutions": 4, "Cancel": true},
        "Workloads": [{"Name": "read", "Repeat": "retryable", "SloTimeUs": 1_000_000, "Importance": 1.0}],
    });
    let balancer = crankpick_launch::balancer(7, &settings).expect("sound");
    let peers = Arc::new(Peers::new(None, vec![]).expect("none"));
    let backends = Arc::new(Backends::new(9, Arc::new(Pool::new(0)), RESPONSE_MARGIN, RESPONSE_MARGIN, None));
    let path = axum::http::Uri::from_static("/");
    let balancer = BalancerHandle::new(balancer, 4, Arc::default(), peers, backends, path, None);
    balancer.list(true, &[Listed { backend: 1, phase: Phase::Ready, weight: 1.0, ..Listed::default() }]);
    for turn in 0..50 {
        let id = turn.to_string();
        let mut decisions = balancer.query(&id, 0, 0, 5_000_000, None, false).ok().expect("taken");
        let first = decisions.try_recv();
        assert!(matches!(first, Ok(Decision::Execute { .. })), "turn {turn}: {first:?}");
        // As if the decision were still on its way to the query's task.
        let (late, decisions) = mpsc::channel(9);
        late.try_send(first.expect("there")).expect("room");
        drop(ActiveQuery::new(Arc::clone(&balancer), id, decisions));
    }
}
