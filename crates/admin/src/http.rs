//! HTTP server and routing of the administration API.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;

use guava_core::codes::Code;
use guava_node::http::{HttpServer, listen, response};
use guava_node::intake::Rejected;
use guava_node::limited_server::{self, ActiveRequest, BodyError};
use subtle::ConstantTimeEq;
use xitca_web::handler::handler_service;
use xitca_web::http::header::HeaderValue;
use xitca_web::http::{HeaderMap, WebResponse, header};
use xitca_web::{App, WebContext};

use crate::reply::{ApiRequest, Failure, Reply};
use crate::{Admin, AdminError, objects};

/// Largest accepted request body in bytes; an object may have up to 1 MiB.
const BODY_LIMIT: usize = 1 << 20;

pub(crate) fn serve(addr: SocketAddr, admin: Arc<Admin>) -> Result<HttpServer, AdminError> {
    let listener = listen(addr)?;
    let budget = admin.health.budget();
    let app = App::new()
        .with_state(admin)
        .at("/{*path}", handler_service(handle))
        .finish();
    Ok(limited_server::serve(listener, app, budget)?)
}

async fn handle(cx: &WebContext<'_, Arc<Admin>>) -> WebResponse {
    if let Some(health_response) = cx.state().health.answer(cx.req().uri().path()) {
        return response(
            health_response.status,
            health_response.content_type,
            health_response.body,
        );
    }
    let result = match ActiveRequest::begin(cx.req().body().socket_addr()) {
        Ok(active) => answer(cx, &active).await,
        Err(Rejected) => Err(rejected()),
    };
    let is_rejected = result.as_ref().is_err_and(|it| it.code == Code::IntakeFull);
    let (status, body) = match result {
        Ok(Reply { status, body }) => (status, body),
        Err(failure) => (failure.code.status(), failure.body()),
    };
    let mut response = response(status, "application/json", body.to_string());
    if is_rejected {
        let headers = response.headers_mut();
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(cx: &WebContext<'_, Arc<Admin>>, active: &ActiveRequest) -> Result<Reply, Failure> {
    let req = parse_request(cx, active).await?;
    cx.state().dispatch(&req).await
}

fn rejected() -> Failure {
    Failure::new(Code::IntakeFull, "the request has not run; try again after a second")
}

/// Checks the operator's token, then parses the request.
async fn parse_request(cx: &WebContext<'_, Arc<Admin>>, active: &ActiveRequest) -> Result<ApiRequest, Failure> {
    let req = cx.req();
    cx.state().authorise(req.headers())?;
    let path = req.uri().path().trim_matches('/');
    let path = path
        .strip_prefix("admin/v1")
        .ok_or_else(|| Failure::new(Code::UnknownPath, "paths start with /admin/v1"))?
        .split('/')
        .filter(|segment| !segment.is_empty())
        .map(percent_decode)
        .collect::<Result<_, _>>()?;
    let raw_params = req
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter(|pair| !pair.is_empty());
    let query = raw_params
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .map(|(key, value)| Ok((percent_decode(key)?, percent_decode(value)?)))
        .collect::<Result<_, Failure>>()?;
    let version = if_match_version(req.headers())?;
    let method = req.method().to_string();
    let announced = req
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|it| it.to_str().ok()?.parse().ok());
    let mut body = std::mem::take(&mut *cx.body_borrow_mut());
    let body = active.receive(&mut body, announced, BODY_LIMIT).await;
    let body = body.map_err(|error| match error {
        BodyError::TooLarge => Failure::new(Code::BodyTooLarge, format!("a body may have {BODY_LIMIT} bytes")),
        BodyError::Timeout => Failure::new(Code::BodyTimeout, ""),
        BodyError::Broken => Failure::new(Code::TruncatedBody, ""),
        BodyError::Rejected => rejected(),
    })?;
    Ok(ApiRequest {
        method,
        path,
        query,
        version,
        body,
    })
}

fn percent_decode(text: &str) -> Result<String, Failure> {
    let decoded = percent_encoding::percent_decode_str(text).decode_utf8();
    decoded
        .map(Cow::into_owned)
        .map_err(|error| Failure::new(Code::InvalidUtf8, error.to_string()))
}

/// Returns the object version in `If-Match`, with or without quotes; `None` if the header is absent.
fn if_match_version(headers: &HeaderMap) -> Result<Option<u64>, Failure> {
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    text.parse()
        .map(Some)
        .map_err(|_error| Failure::new(Code::InvalidField, "If-Match: the version as a number"))
}

impl Admin {
    /// Compares the bearer token with the operator's token in constant time.
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

    /// Routes a request to its handler. The bearer token must have been checked before.
    ///
    /// # Errors
    ///
    /// Returns the error response: `UnknownPath`, `UnknownKind`, `MethodNotAllowed` or the failure of the handler.
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
