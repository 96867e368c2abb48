//! The HTTP API of a process outside the core, which redirects callers to a member.

use poem::http::{header, StatusCode};
use poem::web::Data;
use poem::{get, handler, put, Body, EndpointExt, Request, Response, Route};
use tokio::sync::watch::Receiver;

use crate::api::{json_body, unavailable, MAX_CONFIGURATION_BYTES};
use crate::redirector::RedirectState;

/// The state shared by the handlers.
#[derive(Clone)]
pub struct RedirectApi {
    /// The current redirect target.
    pub redirect_state: Receiver<RedirectState>,
    /// The port of this API, the same at every process of the control plane.
    pub port: u16,
}

/// The routes of the API.
pub fn routes(api: RedirectApi) -> impl poem::Endpoint {
    Route::new()
        .at("/v1/config", get(redirect).put(redirect).patch(redirect))
        .at("/v1/instances/:id", put(redirect).delete(redirect))
        .at("/v1/status", get(get_status))
        .data(api)
}

#[handler]
async fn redirect(request: &Request, body: Body, api: Data<&RedirectApi>) -> Response {
    // Closing a connection with unread bytes may discard the response.
    let _read = body.into_bytes_limit(MAX_CONFIGURATION_BYTES).await;
    let member = api.redirect_state.borrow().redirects_to;
    match member {
        Some(member) => {
            let location = format!("http://{}:{}{}", member.ip(), api.port, request.uri().path());
            Response::builder()
                .status(StatusCode::TEMPORARY_REDIRECT)
                .header(header::LOCATION, location)
                .finish()
        }
        None => unavailable("CTL-111", "no member of the control plane is known to be within reach"),
    }
}

#[handler]
async fn get_status(api: Data<&RedirectApi>) -> Response {
    let text = serde_json::to_string(&*api.redirect_state.borrow()).unwrap_or_default();
    json_body(StatusCode::OK, text)
}
