//! The HTTP interface of a process outside the core: it sends each caller to a member.

use poem::http::{header, StatusCode};
use poem::web::Data;
use poem::{get, handler, put, Body, EndpointExt, Request, Response, Route};
use tokio::sync::watch::Receiver;

use crate::api::{json_body, unavailable, LONGEST_CONFIGURATION};
use crate::redirector::Directions;

/// What the handlers share.
#[derive(Clone)]
pub struct RedirectApi {
    /// Where callers are to go.
    pub directions: Receiver<Directions>,
    /// The port on which every process of the control plane answers.
    pub port: u16,
}

/// All of the interface.
pub fn routes(api: RedirectApi) -> impl poem::Endpoint {
    Route::new()
        .at("/v1/config", get(redirect).put(redirect).patch(redirect))
        .at("/v1/instances/:id", put(redirect).delete(redirect))
        .at("/v1/status", get(describe))
        .data(api)
}

#[handler]
async fn redirect(request: &Request, body: Body, api: Data<&RedirectApi>) -> Response {
    // An answer while the body is on its way could be lost with the connection.
    let _read = body.into_bytes_limit(LONGEST_CONFIGURATION).await;
    let member = api.directions.borrow().redirects_to;
    match member {
        Some(member) => {
            let place = format!("http://{}:{}{}", member.ip(), api.port, request.uri().path());
            Response::builder()
                .status(StatusCode::TEMPORARY_REDIRECT)
                .header(header::LOCATION, place)
                .finish()
        }
        None => unavailable("CTL-111", "no member of the control plane is known to be within reach"),
    }
}

#[handler]
async fn describe(api: Data<&RedirectApi>) -> Response {
    let text = serde_json::to_string(&*api.directions.borrow()).unwrap_or_default();
    json_body(StatusCode::OK, text)
}
