//! The HTTP endpoints for the platform's readiness checks and the gateway's metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use crankpick_gateway::Shared;
use poem::http::StatusCode;
use poem::listener::TcpListener;
use poem::web::Data;
use poem::{get, handler, EndpointExt, Route, Server};

use crate::metrics;

/// Serves the endpoints on this address until the process ends.
pub async fn serve(address: SocketAddr, shared: Arc<Shared>) -> std::io::Result<()> {
    let routes = Route::new().at("/v1/readyz", get(ready)).at("/metrics", get(serve_metrics)).data(shared);
    Server::new(TcpListener::bind(address)).run(routes).await
}

#[handler]
fn ready(shared: Data<&Arc<Shared>>) -> StatusCode {
    if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

#[handler]
fn serve_metrics(shared: Data<&Arc<Shared>>) -> String {
    metrics::text(&shared)
}
