//! HTTP server for health checks and metrics, for programs without an HTTP API of their own.

use std::fmt;
use std::net::{SocketAddr, TcpListener};

use xitca_web::body::ResponseBody;
use xitca_web::handler::handler_service;
use xitca_web::http::{Method, StatusCode, WebResponse, header};
use xitca_web::{App, WebContext};

use crate::health::{Health, HealthAnswer};

/// Threads that serve health checks.
const WORKER_THREADS: usize = 1;

/// A running health server.
pub struct HealthServer {
    /// Address it listens on.
    pub addr: SocketAddr,
    server: xitca_server::ServerHandle,
}

impl fmt::Debug for HealthServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HealthServer")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl HealthServer {
    /// Serves `health` on `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be opened.
    pub fn start(addr: SocketAddr, health: Health) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let mut server = App::new()
            .with_state(health)
            .at("/{*path}", handler_service(handle))
            .serve()
            .disable_signal()
            .worker_threads(WORKER_THREADS)
            .listen(listener)?
            .run();
        let handle = server.handle()?;
        tokio::spawn(server);
        Ok(Self { addr, server: handle })
    }

    /// Stops after running calls have finished.
    pub fn stop(&self) {
        self.server.stop(true);
    }
}

async fn handle(cx: &WebContext<'_, Health>) -> WebResponse {
    let is_read = matches!(*cx.req().method(), Method::GET | Method::HEAD);
    if !is_read {
        return response(StatusCode::METHOD_NOT_ALLOWED, "text/plain", String::new());
    }
    match cx.state().answer(cx.req().uri().path()) {
        Some(HealthAnswer {
            status,
            content_type,
            body,
        }) => response(status.try_into().unwrap_or_default(), content_type, body),
        None => response(StatusCode::NOT_FOUND, "text/plain", "not found\n".to_owned()),
    }
}

fn response(status: StatusCode, content_type: &'static str, body: String) -> WebResponse {
    let mut res = WebResponse::new(ResponseBody::from(body));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    res
}
