//! The call that begins work on a machine at a maintenance system: HTTP/1.1, JSON, the duty's token with it so
//! that an old owner's is refused there. Called by `run`.
//!
//! `POST /begin` with `id`, `plan`, `machine` and `token`: 200 where it has begun, now or before under the same
//! id; 409 with `seen`, the token that stands against an old owner's; all else means not begun.

use std::time::Duration;

use bytes::Bytes;
use crankpick_fleet::node::WorkStart;
use crankpick_fleet::scheduler::WorkStartRequest;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Shorter than the wait before a call is made again.
const PATIENCE: Duration = Duration::from_millis(1_800);
const MOST_ANSWER: usize = 4_096;

pub async fn begin(call: &WorkStartRequest) -> WorkStart {
    match timeout(PATIENCE, asked(call)).await {
        Ok(Ok((StatusCode::OK, _))) => WorkStart::Started,
        Ok(Ok((StatusCode::CONFLICT, answer))) => match answer["seen"].as_u64() {
            Some(seen) if seen > call.token => WorkStart::StaleToken(seen),
            _ => WorkStart::Refused(format!("{} refuses: {answer}", call.at)),
        },
        Ok(Ok((status, _))) => WorkStart::Refused(format!("{} answers {status}", call.at)),
        Ok(Err(why)) => WorkStart::Refused(format!("{}: {why}", call.at)),
        Err(_) => WorkStart::Refused(format!("{}: no answer in time", call.at)),
    }
}

async fn asked(call: &WorkStartRequest) -> Result<(StatusCode, Value), String> {
    fn told(wrong: impl std::fmt::Display) -> String {
        wrong.to_string()
    }
    let stream = TcpStream::connect(&call.at).await.map_err(told)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(told)?;
    let connection = tokio::spawn(connection);
    let body = json!({"id": call.id, "plan": call.plan, "machine": call.machine, "token": call.token});
    let request = Request::post("/begin").header("host", &call.at).header("content-type", "application/json");
    let request = request.body(Full::new(Bytes::from(body.to_string()))).map_err(told)?;
    let answer = sender.send_request(request).await.map_err(told)?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MOST_ANSWER).collect().await.map_err(told)?.to_bytes();
    connection.abort();
    Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
