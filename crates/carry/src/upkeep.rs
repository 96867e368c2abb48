//! The call to a maintenance system that starts work on a machine: JSON over HTTP/1.1. It carries the duty's
//! token, so that the maintenance system can reject an outdated owner. Used by `run`.
//!
//! `POST /start_work` with `id`, `plan`, `machine` and `token`. The answer is 200 if work has started, now or
//! earlier under the same id, or 409 with `seen`, the higher token that fences off an outdated owner.
//! Anything else means that work has not started.

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

/// Shorter than the retry interval of the call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_800);
const MAX_ANSWER_BYTES: usize = 4_096;

pub async fn start_work(call: &WorkStartRequest) -> WorkStart {
    match timeout(CALL_TIMEOUT, post(call)).await {
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

async fn post(call: &WorkStartRequest) -> Result<(StatusCode, Value), String> {
    fn text(error: impl std::fmt::Display) -> String {
        error.to_string()
    }
    let stream = TcpStream::connect(&call.at).await.map_err(text)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(text)?;
    let connection = tokio::spawn(connection);
    let body = json!({"id": call.id, "plan": call.plan, "machine": call.machine, "token": call.token});
    let request = Request::post("/begin").header("host", &call.at).header("content-type", "application/json");
    let request = request.body(Full::new(Bytes::from(body.to_string()))).map_err(text)?;
    let answer = sender.send_request(request).await.map_err(text)?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await.map_err(text)?.to_bytes();
    connection.abort();
    Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
