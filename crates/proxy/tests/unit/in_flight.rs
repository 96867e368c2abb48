use super::*;
use http_body_util::BodyExt;

#[tokio::test]
async fn a_backend_is_in_hand_until_the_last_byte_of_its_answer() {
    let in_flight: Arc<InFlight> = Arc::default();
    let backends = || [("a".to_owned(), 1), ("b".to_owned(), 2)].into_iter();
    let (one, other) = (in_flight.execution(1), in_flight.execution(1));
    let query = in_flight.query();
    assert_eq!(in_flight.busy(backends()), BTreeSet::from(["a".to_owned()]));
    drop(other);
    let answer = hold_until_sent(Response::new(Body::from("long")), Some(one));
    drop(query);
    assert!(!in_flight.is_empty() && in_flight.busy(backends()).contains("a"), "it has not flowed yet");
    let whole = answer.into_body().collect().await.expect("whole").to_bytes();
    assert_eq!(whole, "long");
    assert!(in_flight.is_empty() && in_flight.busy(backends()).is_empty());
    // A client that disconnects leaves nothing in flight either.
    drop(hold_until_sent(Response::new(Body::from("long")), Some(in_flight.execution(2))));
    assert!(in_flight.is_empty());
}
