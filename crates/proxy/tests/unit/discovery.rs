use super::*;

fn objects(text: &str) -> Result<Vec<u64>, String> {
    let (mut object, mut read) = (ObjectParser::default(), Vec::new());
    for byte in text.bytes() {
        if object.push(byte)? {
            read.push(parse_list(&std::mem::take(&mut object).text)?.generation);
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
    for error in ["x", "}", "[1]", "{\"generation\":]}"] {
        assert!(objects(error).is_err(), "{error}");
    }
}

/// A Discovery of a single proxy that knows no backend.
fn discovery(list_requested: &Arc<Notify>) -> Discovery {
    let settings = serde_json::json!({"Balancers": 1, "Discovery": "subscribe", "Workloads": []});
    let balancer = crankpick_launch::balancer(7, &settings).expect("sound");
    let peers = Arc::new(crate::peers::Peers::new(None, vec![]).expect("none"));
    let pool = Arc::new(crate::bodies::Pool::new(0));
    let backends = Arc::new(Backends::new(9, pool, WATCH_TIMEOUT, WATCH_TIMEOUT, None));
    let path = axum::http::Uri::from_static("/");
    let balancer = BalancerHandle::new(
        balancer,
        4,
        Arc::clone(list_requested),
        peers,
        Arc::clone(&backends),
        path,
        None,
    );
    Discovery::new(balancer, backends, vec![], Arc::default(), false, false, 1)
}

/// How a watch ends if the response is `answer` and the connection is then closed.
async fn ended_after(answer: &'static [u8]) -> Failure {
    use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a call");
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        while stream.read_line(&mut line).await.expect("its head") > 2 {}
        stream.write_all(answer).await.expect("it reads");
    });
    let Err(error) = discovery(&Arc::default()).watch(address).await;
    error.failure
}

/// A 503 and a response that ends before any update show that discovery is overloaded and fail at once; an
/// unreachable address counts as silence.
#[tokio::test]
async fn refusals_and_silence_are_told_apart() {
    let no = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(ended_after(no).await, Failure::Refused);
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(ended_after(head).await, Failure::Refused);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let nobody = listener.local_addr().expect("bound");
    drop(listener);
    let Err(error) = discovery(&Arc::default()).watch(nobody).await;
    assert_eq!(error.failure, Failure::Silent);
}

/// A change of the discovery address and the next call may be due at the same time. The new address must then
/// be asked for the full list, as its generations may have restarted.
#[tokio::test]
async fn a_move_is_not_missed_where_it_comes_with_the_time_to_ask_again() {
    use tokio::io::{AsyncBufReadExt, BufReader};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let new = listener.local_addr().expect("bound");
    for turn in 0..30 {
        let (moves, address) = watch::channel("127.0.0.1:9".parse().expect("an address"));
        let list_requested = Arc::new(Notify::new());
        let discovery = discovery(&list_requested);
        let follow = discovery.follow(address, Arc::clone(&list_requested));
        moves.send_replace(new);
        list_requested.notify_one();
        let follow = tokio::spawn(follow);
        let (stream, _) = listener.accept().await.expect("it asks there");
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).await.expect("a call");
        assert_eq!(line, "GET /api/targets HTTP/1.1\r\n", "turn {turn}");
        follow.abort();
    }
}
