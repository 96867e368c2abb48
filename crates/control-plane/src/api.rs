//! The HTTP API of a member of the control plane: the operator's requests and the backends' heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use crankpick_control::Departure;
use crankpick_registry::{Heartbeat, HeartbeatError};
use poem::http::{header, StatusCode};
use poem::web::{Data, Path};
use poem::{delete, get, handler, put, Body, EndpointExt, Request, Response, Route};
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::event::{ApiRequest, ChangeResponse, DepartureResponse, Event, GetResponse, HeartbeatResponse};

/// The longest request body accepted for a configuration, in bytes.
pub(crate) const MAX_CONFIGURATION_BYTES: usize = 8 << 20;
/// An oversized body is read up to this many bytes, so that the client has finished sending when it gets the response.
const MAX_READ_BYTES: u64 = 32 << 20;
/// The longest request body accepted for a heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 64 << 10;
/// The timeout of configuration requests. It is just below the callers' own timeout, after which they try another
/// process: the response then tells them that the outcome is unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2_900);
/// The timeout of heartbeat requests, below the one second after which backends time out.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// The state shared by the handlers.
#[derive(Clone)]
pub struct Api {
    /// Sends requests to the host.
    pub events: Sender<Event>,
    /// The port of this API, the same at every process of the control plane. Used in redirects.
    pub port: u16,
}

impl Api {
    async fn send_request<T>(
        &self,
        time_limit: Duration,
        request: impl FnOnce(oneshot::Sender<T>) -> ApiRequest,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.events.try_send(Event::ApiRequest(request(reply))).ok()?;
        timeout(time_limit, answer).await.ok()?.ok()
    }
}

/// The routes of the API.
pub fn routes(api: Api) -> impl poem::Endpoint {
    Route::new()
        .at("/v1/config", get(get_configuration).put(put_configuration).patch(patch_configuration))
        .at("/v1/instances/:id", put(put_instance).delete(delete_instance))
        .at("/v1/machines/:address", delete(declare_machine_gone))
        .at("/v1/status", get(get_status))
        .data(api)
}

fn error_response(status: StatusCode, code: &str, text: &str) -> Response {
    let body = json!({"code": code, "message": text}).to_string();
    Response::builder().status(status).content_type("application/json").body(body)
}

fn retry_later(text: &str) -> Response {
    unavailable("CTL-101", text)
}

/// A response 503 that asks the caller to retry, here or at another process.
pub(crate) fn unavailable(code: &str, text: &str) -> Response {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, code, text);
    response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from_static("0.3"));
    response
}

pub(crate) fn json_body(status: StatusCode, body: impl Into<Bytes>) -> Response {
    Response::builder().status(status).content_type("application/json").body(body.into())
}

#[handler]
async fn put_configuration(http_request: &Request, body: Body, api: Data<&Api>) -> Response {
    let request = |if_match, body, reply| ApiRequest::Put { if_match, body, reply };
    change_configuration(http_request, body, &api, request).await
}

#[handler]
async fn patch_configuration(http_request: &Request, body: Body, api: Data<&Api>) -> Response {
    let request = |if_match, body, reply| ApiRequest::Patch { if_match, body, reply };
    change_configuration(http_request, body, &api, request).await
}

async fn change_configuration(
    http_request: &Request,
    body: Body,
    api: &Api,
    request: impl FnOnce(u64, Bytes, oneshot::Sender<ChangeResponse>) -> ApiRequest,
) -> Response {
    // Read the body before any error response: closing a connection with unread bytes may discard the response.
    let body = read_body(body, MAX_CONFIGURATION_BYTES).await;
    let Some(if_match) = if_match(http_request) else {
        return error_response(StatusCode::BAD_REQUEST, "CTL-102", "If-Match names no version");
    };
    let Some(body) = body else {
        return error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "CTL-103",
            "the configuration is too long or was cut short",
        );
    };
    match api.send_request(CHANGE_TIMEOUT, |reply| request(if_match, body, reply)).await {
        Some(ChangeResponse::Committed) => json_body(StatusCode::OK, "{}"),
        Some(ChangeResponse::Conflict) => {
            error_response(StatusCode::PRECONDITION_FAILED, "CTL-104", "another version is in place")
        }
        Some(ChangeResponse::Invalid(reason)) => error_response(StatusCode::BAD_REQUEST, "CTL-105", &reason),
        Some(ChangeResponse::Redirect(peer)) => redirect(peer, api.port, "/v1/config"),
        Some(ChangeResponse::Unknown) | None => retry_later("the change may be taken or not; send it again"),
    }
}

/// Reads a body to its end, or up to `MAX_READ_BYTES`. `None` if it is longer than `max_bytes` or was truncated.
async fn read_body(body: Body, max_bytes: usize) -> Option<Bytes> {
    let mut reader = body.into_async_read().take(MAX_READ_BYTES);
    let mut bytes = BytesMut::new();
    let mut is_too_long = false;
    while reader.read_buf(&mut bytes).await.ok()? > 0 {
        is_too_long |= bytes.len() > max_bytes;
        if is_too_long {
            bytes.clear();
        }
    }
    (!is_too_long).then(|| bytes.freeze())
}

/// The base version of a change: 0 without an `If-Match` header, `None` if the header isn't a number.
///
/// Accepts entity tags as well, quoted or weak, since some callers send them.
fn if_match(http_request: &Request) -> Option<u64> {
    let Some(value) = http_request.header(header::IF_MATCH) else { return Some(0) };
    let value = value.trim();
    value.strip_prefix("W/").unwrap_or(value).trim_matches('"').trim().parse().ok()
}

#[handler]
async fn get_configuration(api: Data<&Api>) -> Response {
    match api.send_request(CHANGE_TIMEOUT, |reply| ApiRequest::Get { reply }).await {
        Some(GetResponse::Document(document)) => json_body(StatusCode::OK, document),
        Some(GetResponse::NotFound) => {
            error_response(StatusCode::NOT_FOUND, "CTL-106", "no configuration was taken yet")
        }
        Some(GetResponse::Redirect(peer)) => redirect(peer, api.port, "/v1/config"),
        Some(GetResponse::Unknown) | None => retry_later("the newest version is not known here; ask again"),
    }
}

fn redirect(peer: SocketAddr, port: u16, path: &str) -> Response {
    let location = format!("http://{}:{port}{path}", peer.ip());
    Response::builder().status(StatusCode::TEMPORARY_REDIRECT).header(header::LOCATION, location).finish()
}

#[handler]
async fn put_instance(Path(id): Path<String>, body: Body, api: Data<&Api>) -> Response {
    let Some(body) = read_body(body, MAX_HEARTBEAT_BYTES).await else {
        return error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "CTL-107",
            "the heartbeat is too long or was cut short",
        );
    };
    let heartbeat: Heartbeat = match serde_json::from_slice(&body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, "CTL-108", &error.to_string()),
    };
    heartbeat_response(
        api.send_request(HEARTBEAT_TIMEOUT, |reply| ApiRequest::Heartbeat { id, heartbeat, reply }).await,
    )
}

fn heartbeat_response(answer: Option<HeartbeatResponse>) -> Response {
    match answer {
        Some(HeartbeatResponse::Acknowledged) => json_body(StatusCode::OK, "{}"),
        Some(HeartbeatResponse::Unconfirmed) => {
            unavailable("CTL-110", "this process reaches no majority of the control plane; call another one")
        }
        Some(HeartbeatResponse::Rejected(HeartbeatError::Full)) => retry_later("too many backends"),
        Some(HeartbeatResponse::Rejected(error)) => {
            error_response(StatusCode::BAD_REQUEST, "CTL-109", &error.to_string())
        }
        None => retry_later("not taken"),
    }
}

#[handler]
async fn delete_instance(Path(id): Path<String>, api: Data<&Api>) -> Response {
    heartbeat_response(api.send_request(HEARTBEAT_TIMEOUT, |reply| ApiRequest::Leave { id, reply }).await)
}

#[handler]
async fn declare_machine_gone(Path(address): Path<String>, api: Data<&Api>) -> Response {
    let Ok(machine) = address.parse() else {
        return error_response(StatusCode::BAD_REQUEST, "CTL-114", "not an address with a port");
    };
    let request = |reply| ApiRequest::MachineGone { address: machine, reply };
    match api.send_request(CHANGE_TIMEOUT, request).await {
        Some(DepartureResponse::Answered(Departure::Recorded)) => json_body(StatusCode::OK, "{}"),
        Some(DepartureResponse::Answered(Departure::StillHere)) => {
            error_response(StatusCode::CONFLICT, "CTL-112", "the machine votes, or is heard: it isn't gone")
        }
        Some(DepartureResponse::Answered(Departure::UnknownMachine)) => {
            error_response(StatusCode::NOT_FOUND, "CTL-113", "nothing is known of a machine at this address")
        }
        Some(DepartureResponse::Redirect(head)) => {
            redirect(head, api.port, &format!("/v1/machines/{machine}"))
        }
        Some(DepartureResponse::Unknown) | None => retry_later("no head is known; send it again"),
    }
}

#[handler]
async fn get_status(api: Data<&Api>) -> Response {
    match api.send_request(HEARTBEAT_TIMEOUT, |reply| ApiRequest::Status { reply }).await {
        Some(text) => json_body(StatusCode::OK, text),
        None => retry_later("too much else to do"),
    }
}
