//! HTTP side of the administration API on xitca-web.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use guava_core::codes::Code;
use guava_node::http::{HttpServer, listen, response};
use subtle::ConstantTimeEq;
use xitca_web::handler::body::Limit;
use xitca_web::handler::handler_service;
use xitca_web::http::{HeaderMap, WebResponse, header};
use xitca_web::{App, WebContext};

use crate::reply::{ApiRequest, Failure, Reply};
use crate::{Admin, AdminError, objects};

/// Largest accepted body; an object may be a megabyte.
const BODY_LIMIT: usize = 1 << 20;
/// Threads that serve operators.
const WORKER_THREADS: usize = 1;

pub(crate) fn serve(addr: SocketAddr, admin: Arc<Admin>) -> Result<HttpServer, AdminError> {
    let listener = listen(addr)?;
    let addr = listener.local_addr()?;
    let server = App::new()
        .with_state(admin)
        .at("/{*path}", handler_service(handle))
        .serve()
        .disable_signal()
        .worker_threads(WORKER_THREADS)
        .listen(listener)?
        .run();
    Ok(HttpServer::spawn(addr, server)?)
}

async fn handle(cx: &WebContext<'_, Arc<Admin>>) -> WebResponse {
    if let Some(answer) = cx.state().health.answer(cx.req().uri().path()) {
        return response(answer.status, answer.content_type, answer.body);
    }
    let result = match parse(cx).await {
        Ok(req) => cx.state().dispatch(&req).await,
        Err(failure) => Err(failure),
    };
    let (status, body) = match result {
        Ok(Reply { status, body }) => (status, body),
        Err(failure) => (failure.code.status(), failure.body()),
    };
    response(status, "application/json", body.to_string())
}

async fn parse(cx: &WebContext<'_, Arc<Admin>>) -> Result<ApiRequest, Failure> {
    let req = cx.req();
    cx.state().authorise(req.headers())?;
    let path = req.uri().path().trim_matches('/');
    let path = path
        .strip_prefix("admin/v1")
        .ok_or_else(|| Failure::new(Code::UnknownPath, "paths start with /admin/v1"))?
        .split('/')
        .filter(|segment| !segment.is_empty())
        .map(decode)
        .collect::<Result<_, _>>()?;
    let pairs = req
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter(|pair| !pair.is_empty());
    let query = pairs
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .map(|(key, value)| Ok((decode(key)?, decode(value)?)))
        .collect::<Result<_, Failure>>()?;
    let version = version(req.headers())?;
    let method = req.method().to_string();
    let (body, _) = cx
        .extract::<(Bytes, Limit<BODY_LIMIT>)>()
        .await
        .map_err(|error| Failure::new(Code::BodyTooLarge, error.to_string()))?;
    Ok(ApiRequest {
        method,
        path,
        query,
        version,
        body,
    })
}

fn decode(text: &str) -> Result<String, Failure> {
    let decoded = percent_encoding::percent_decode_str(text).decode_utf8();
    decoded
        .map(Cow::into_owned)
        .map_err(|error| Failure::new(Code::InvalidUtf8, error.to_string()))
}

fn version(headers: &HeaderMap) -> Result<Option<u64>, Failure> {
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    text.parse()
        .map(Some)
        .map_err(|_error| Failure::new(Code::InvalidField, "If-Match: the version as a number"))
}

impl Admin {
    fn authorise(&self, headers: &HeaderMap) -> Result<(), Failure> {
        let token = headers
            .get(header::AUTHORIZATION)
            .and_then(|it| it.to_str().ok())
            .unwrap_or_default();
        let token = token.strip_prefix("Bearer ").unwrap_or_default();
        if bool::from(token.as_bytes().ct_eq(self.token.as_bytes())) {
            return Ok(());
        }
        Err(Failure::new(
            Code::Unauthorised,
            "send Authorization: Bearer with the operator's token",
        ))
    }

    /// Runs one call of the administration API.
    ///
    /// # Errors
    ///
    /// Returns the refusal with its numbered code.
    pub async fn dispatch(&self, req: &ApiRequest) -> Result<Reply, Failure> {
        let segments: Vec<&str> = req.path.iter().map(String::as_str).collect();
        match (req.method.as_str(), segments.as_slice()) {
            ("GET", ["status"]) => self.status().await,
            ("GET", ["timeline"]) => self.timeline(req).await,
            ("GET", ["explain"]) => self.explain(req).await,
            ("PUT", ["members", vm, role, "log-level"]) => self.set_log_level(vm, role, req).await,
            ("POST", ["grant"]) => self.grant_key(req).await,
            ("POST", ["keys", id, "withdraw"]) => self.withdraw_key(id).await,
            ("POST", ["servers", name, "drain"]) => self.drain_server(name, true).await,
            ("POST", ["servers", name, "undrain"]) => self.drain_server(name, false).await,
            ("GET", [kind]) => self.list(objects::config_kind(kind)?, req).await,
            ("POST", [kind]) => self.create(objects::config_kind(kind)?, req).await,
            ("GET", [kind, name]) => self.show(objects::config_kind(kind)?, name).await,
            ("PUT", [kind, name]) => self.edit(objects::config_kind(kind)?, name, req).await,
            ("DELETE", [kind, name]) => self.delete(objects::config_kind(kind)?, name, req).await,
            (method, [kind] | [kind, _]) if objects::config_kind(kind).is_ok() => {
                Err(Failure::new(Code::MethodNotAllowed, method))
            }
            _ => Err(Failure::new(Code::UnknownPath, req.path.join("/"))),
        }
    }
}
