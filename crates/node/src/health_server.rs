//! HTTP server for health checks and metrics, for programs without an HTTP API of their own.

use std::net::SocketAddr;

use xitca_web::handler::handler_service;
use xitca_web::http::{Method, WebResponse};
use xitca_web::{App, WebContext};

use crate::health::{Health, HealthResponse};
use crate::http::{HttpServer, listen, response};
use crate::limited_server;

/// Serves the endpoints of `health` on `addr`, and 404 for every other path.
///
/// # Errors
///
/// Fails when the listener cannot be opened or the server cannot be started.
pub fn serve(addr: SocketAddr, health: Health) -> std::io::Result<HttpServer> {
    let listener = listen(addr)?;
    let budget = health.budget();
    let app = App::new()
        .with_state(health)
        .at("/{*path}", handler_service(handle))
        .finish();
    limited_server::serve(listener, app, budget)
}

async fn handle(cx: &WebContext<'_, Health>) -> WebResponse {
    let is_get_or_head = matches!(*cx.req().method(), Method::GET | Method::HEAD);
    if !is_get_or_head {
        return response(405, "text/plain", String::new());
    }
    match cx.state().answer(cx.req().uri().path()) {
        Some(HealthResponse {
            status,
            content_type,
            body,
        }) => response(status, content_type, body),
        None => response(404, "text/plain", "not found\n".to_owned()),
    }
}
