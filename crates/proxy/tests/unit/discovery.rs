use super::*;

fn objects(text: &str) -> Result<Vec<u64>, String> {
    let (mut object, mut read) = (Object::default(), Vec::new());
    for byte in text.bytes() {
        if object.takes(byte)? {
            read.push(understood(&std::mem::take(&mut object).text)?.generation);
        }
    }
    Ok(read)
}

#[test]
fn objects_of_a_watch_are_read_on_one_line_indented_or_without_a_line_between() {
    let plain = "\n{\"generation\":41,\"reset\":true,\"instances\":[]}\n\n";
    let indented =
        "{\n  \"generation\": 42,\n  \"instances\": [\n    {\"instanceId\": \"a}\\\"{\"}\n  ]\n}\n";
    assert_eq!(objects(&format!("{plain}{indented}{plain}")), Ok(vec![41, 42, 41]));
    assert_eq!(objects("{\"generation\":1}{\"generation\":2}"), Ok(vec![1, 2]));
    assert_eq!(objects("{\"generation\":1"), Ok(vec![]), "not whole yet");
    for wrong in ["x", "}", "[1]", "{\"generation\":]}"] {
        assert!(objects(wrong).is_err(), "{wrong}");
    }
}

/// A signal that moves discovery and the time to ask again may come at once: then the new place is asked for the
/// whole list all the same, as its versions may have begun anew.
#[tokio::test]
async fn a_move_is_not_missed_where_it_comes_with_the_time_to_ask_again() {
    use tokio::io::{AsyncBufReadExt, BufReader};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let new = listener.local_addr().expect("bound");
    for turn in 0..30 {
        let (moves, place) = watch::channel("127.0.0.1:9".parse().expect("an address"));
        let wanted = Arc::new(Notify::new());
        let settings = serde_json::json!({"Balancers": 1, "Discovery": "subscribe", "Workloads": []});
        let balancer = crankpick_launch::balancer(7, &settings).expect("sound");
        let peers = Arc::new(crate::peers::Peers::new(None, vec![]).expect("none"));
        let pool = Arc::new(crate::bodies::Pool::new(0));
        let backends = Arc::new(Backends::new(9, pool, SILENT, SILENT, None));
        let path = axum::http::Uri::from_static("/");
        let decide = Decide::new(balancer, 4, Arc::clone(&wanted), peers, Arc::clone(&backends), path, None);
        let discovery = Discovery::new(decide, backends, vec![], Arc::default(), false, false);
        let follows = discovery.follow(place, Arc::clone(&wanted));
        moves.send_replace(new);
        wanted.notify_one();
        let follows = tokio::spawn(follows);
        let (stream, _) = listener.accept().await.expect("it asks there");
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).await.expect("a call");
        assert_eq!(line, "GET /api/targets HTTP/1.1\r\n", "turn {turn}");
        follows.abort();
    }
}
