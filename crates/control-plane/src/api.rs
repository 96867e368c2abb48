//! The HTTP interface of a process of the control plane: the operator's calls and the backends' heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use crankpick_registry::{Heartbeat, HeartbeatError};
use poem::http::{header, StatusCode};
use poem::web::{Data, Path};
use poem::{get, handler, put, Body, EndpointExt, Request, Response, Route};
use serde_json::json;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::event::{Call, Event, GetAnswer, HeartbeatAnswer, PutAnswer};

/// The longest configuration taken.
pub(crate) const LONGEST_CONFIGURATION: usize = 8 << 20;
/// The longest heartbeat taken.
const LONGEST_HEARTBEAT: usize = 64 << 10;
/// Callers go on to another process after a second of silence; an answer just before that spares them the doubt.
const PATIENCE: Duration = Duration::from_millis(2_900);
/// A backend's patience.
const HEARTBEAT_PATIENCE: Duration = Duration::from_millis(900);

/// What the handlers share.
#[derive(Clone)]
pub struct Api {
    /// Where calls go.
    pub events: Sender<Event>,
    /// The port on which every process of the control plane answers.
    pub port: u16,
}

impl Api {
    async fn ask<T>(&self, within: Duration, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.events.try_send(Event::Call(call(reply))).ok()?;
        timeout(within, answer).await.ok()?.ok()
    }
}

/// All of the interface.
pub fn routes(api: Api) -> impl poem::Endpoint {
    Route::new()
        .at("/v1/config", get(read_configuration).put(take_configuration).patch(take_patch))
        .at("/v1/instances/:id", put(heartbeat).delete(leave))
        .at("/v1/status", get(describe))
        .data(api)
}

fn problem(status: StatusCode, code: &str, text: &str) -> Response {
    let body = json!({"code": code, "message": text}).to_string();
    Response::builder().status(status).content_type("application/json").body(body)
}

fn later(text: &str) -> Response {
    unavailable("CTL-101", text)
}

/// The caller is to come again, here or elsewhere.
pub(crate) fn unavailable(code: &str, text: &str) -> Response {
    let mut response = problem(StatusCode::SERVICE_UNAVAILABLE, code, text);
    response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from_static("0.3"));
    response
}

pub(crate) fn json_body(status: StatusCode, body: impl Into<Bytes>) -> Response {
    Response::builder().status(status).content_type("application/json").body(body.into())
}

#[handler]
async fn take_configuration(request: &Request, body: Body, api: Data<&Api>) -> Response {
    let call = |if_match, body, reply| Call::Put { if_match, body, reply };
    take_change(request, body, &api, call).await
}

#[handler]
async fn take_patch(request: &Request, body: Body, api: Data<&Api>) -> Response {
    let call = |if_match, body, reply| Call::Patch { if_match, body, reply };
    take_change(request, body, &api, call).await
}

async fn take_change(
    request: &Request,
    body: Body,
    api: &Api,
    call: impl FnOnce(u64, Bytes, oneshot::Sender<PutAnswer>) -> Call,
) -> Response {
    let Some(if_match) = if_match(request) else {
        return problem(StatusCode::BAD_REQUEST, "CTL-102", "If-Match names no version");
    };
    let Ok(body) = body.into_bytes_limit(LONGEST_CONFIGURATION).await else {
        return problem(
            StatusCode::PAYLOAD_TOO_LARGE,
            "CTL-103",
            "the configuration is too long or was cut short",
        );
    };
    match api.ask(PATIENCE, |reply| call(if_match, body, reply)).await {
        Some(PutAnswer::Taken) => json_body(StatusCode::OK, "{}"),
        Some(PutAnswer::Conflict) => {
            problem(StatusCode::PRECONDITION_FAILED, "CTL-104", "another version is in place")
        }
        Some(PutAnswer::Invalid(reason)) => problem(StatusCode::BAD_REQUEST, "CTL-105", &reason),
        Some(PutAnswer::Elsewhere(peer)) => redirect(peer, api.port),
        Some(PutAnswer::Unclear) | None => later("the change may be taken or not; send it again"),
    }
}

/// The version that a change builds on. Some callers write it as an entity tag: in quotes, or as a weak one.
fn if_match(request: &Request) -> Option<u64> {
    let Some(value) = request.header(header::IF_MATCH) else { return Some(0) };
    let value = value.trim();
    value.strip_prefix("W/").unwrap_or(value).trim_matches('"').trim().parse().ok()
}

#[handler]
async fn read_configuration(api: Data<&Api>) -> Response {
    match api.ask(PATIENCE, |reply| Call::Get { reply }).await {
        Some(GetAnswer::Document(document)) => json_body(StatusCode::OK, document),
        Some(GetAnswer::Nothing) => {
            problem(StatusCode::NOT_FOUND, "CTL-106", "no configuration was taken yet")
        }
        Some(GetAnswer::Elsewhere(peer)) => redirect(peer, api.port),
        Some(GetAnswer::Unclear) | None => later("the newest version is not known here; ask again"),
    }
}

fn redirect(peer: SocketAddr, port: u16) -> Response {
    let place = format!("http://{}:{port}/v1/config", peer.ip());
    Response::builder().status(StatusCode::TEMPORARY_REDIRECT).header(header::LOCATION, place).finish()
}

#[handler]
async fn heartbeat(Path(id): Path<String>, body: Body, api: Data<&Api>) -> Response {
    let Ok(body) = body.into_bytes_limit(LONGEST_HEARTBEAT).await else {
        return problem(
            StatusCode::PAYLOAD_TOO_LARGE,
            "CTL-107",
            "the heartbeat is too long or was cut short",
        );
    };
    let heartbeat: Heartbeat = match serde_json::from_slice(&body) {
        Ok(heartbeat) => heartbeat,
        Err(wrong) => return problem(StatusCode::BAD_REQUEST, "CTL-108", &wrong.to_string()),
    };
    acknowledge(api.ask(HEARTBEAT_PATIENCE, |reply| Call::Heartbeat { id, heartbeat, reply }).await)
}

fn acknowledge(answer: Option<HeartbeatAnswer>) -> Response {
    match answer {
        Some(HeartbeatAnswer::Acknowledged) => json_body(StatusCode::OK, "{}"),
        Some(HeartbeatAnswer::Unconfirmed) => {
            unavailable("CTL-110", "this process reaches no majority of the control plane; call another one")
        }
        Some(HeartbeatAnswer::Refused(HeartbeatError::Full)) => later("too many backends"),
        Some(HeartbeatAnswer::Refused(wrong)) => {
            problem(StatusCode::BAD_REQUEST, "CTL-109", &wrong.to_string())
        }
        None => later("not taken"),
    }
}

#[handler]
async fn leave(Path(id): Path<String>, api: Data<&Api>) -> Response {
    acknowledge(api.ask(HEARTBEAT_PATIENCE, |reply| Call::Leave { id, reply }).await)
}

#[handler]
async fn describe(api: Data<&Api>) -> Response {
    match api.ask(HEARTBEAT_PATIENCE, |reply| Call::Status { reply }).await {
        Some(text) => json_body(StatusCode::OK, text),
        None => later("too much else to do"),
    }
}
