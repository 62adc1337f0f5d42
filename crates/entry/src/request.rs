//! Way of a request: checks, admission, attempts, answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use guava_core::codes::{Code, Run};
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::model::{Organisation, Route};
use guava_fleet::routes::{ActiveConfig, draw_service};
use guava_platform::headers::{self, CallerHeaders};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::admission::admit;
use crate::log_event;
use crate::path::Path;
use crate::reply::{Body, Failure};
use crate::state::{Entry, now};

/// When a caller should come back where nothing better is known.
pub const COME_BACK: Duration = Duration::from_millis(500);

/// Request with what its caller said.
#[derive(Debug)]
pub struct Inbound {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as sent.
    pub headers: HeaderMap,
    /// What they say.
    pub caller: CallerHeaders,
    /// Body.
    pub body: Bytes,
    /// Arrival of its head.
    pub arrived: Millis,
}

/// What the configuration in force says of a request.
#[derive(Debug, Clone)]
pub struct Resolved {
    /// Configuration.
    pub in_force: Arc<ActiveConfig>,
    /// Route.
    pub route: Route,
    /// Organisation of its key.
    pub organisation: Option<Organisation>,
}

/// Serves one request.
pub async fn serve(entry: Arc<Entry>, req: Request<Incoming>) -> Response<Body> {
    let arrived = now();
    let (head, body) = req.into_parts();
    let caller = headers::read_caller(&head.headers);
    let id = caller.attempt_id.clone();
    let mut unfinished = Unfinished {
        id: &id,
        arrived,
        is_over: false,
    };
    let answer = match read_body(&entry, body).await {
        Ok(body) => {
            let inbound = inbound(head, caller, body, arrived);
            handle(&entry, Arc::new(inbound)).await
        }
        Err(failure) => Err(failure),
    };
    unfinished.is_over = true;
    match answer {
        Ok(answer) => answer,
        Err(failure) => {
            let took = now().since(arrived);
            let retry = failure.retry_after.map_or(0, |it| it.as_millis());
            log_event!(
                Event::RequestRefused,
                &id,
                "code={} status={} run={:?} after_ms={took} retry_after_ms={retry}",
                failure.code,
                failure.status().as_u16(),
                failure.run
            );
            failure.response()
        }
    }
}

/// Logs a request whose caller left before it got a head of an answer, which drops the request.
struct Unfinished<'a> {
    id: &'a str,
    arrived: Millis,
    is_over: bool,
}

impl Drop for Unfinished<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            let after = now().since(self.arrived);
            log_event!(Event::CallerLeft, self.id, "stage=before the answer after_ms={after}");
        }
    }
}

fn inbound(head: Parts, caller: CallerHeaders, body: Bytes, arrived: Millis) -> Inbound {
    Inbound {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        caller,
        body,
        arrived,
    }
}

async fn read_body(entry: &Entry, body: Incoming) -> Result<Bytes, Failure> {
    let config = entry.config();
    let limits = config.as_ref().map(|it| it.config.limits.clone());
    let max = limits.as_ref().map_or(1 << 20, |it| it.body_bytes);
    let timeout = limits.map_or(3_000, |it| it.idle_timeout_ms);
    let reading = Limited::new(body, max).collect();
    match tokio::time::timeout(Duration::from_millis(timeout), reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Failure::not_run(Code::BodyTooLarge)),
        Ok(Err(_)) => Err(Failure::not_run(Code::TruncatedBody)),
        Err(_) => Err(Failure::not_run(Code::BodyTimeout)),
    }
}

async fn handle(entry: &Arc<Entry>, inbound: Arc<Inbound>) -> Result<Response<Body>, Failure> {
    let resolved = resolve(entry, &inbound)?;
    let service = draw_service(&resolved.route, &mut rand::rng()).to_owned();
    let spent = admit(entry, &inbound, &resolved).await?;
    entry.note_request(&service, now());
    let path = Path::new(Arc::clone(entry), Arc::clone(&inbound), resolved, service);
    let answer = path.run().await;
    if let Err(failure) = &answer
        && failure.run == Run::NotRun
    {
        spent.give_back(entry);
    }
    answer
}

/// Finds the route and the organisation in the configuration in force.
///
/// # Errors
///
/// Fails when nothing in it allows the request.
pub fn resolve(entry: &Entry, inbound: &Inbound) -> Result<Resolved, Failure> {
    let Some(in_force) = entry.config() else {
        return Err(Failure::not_run(Code::Starting).retry_after(COME_BACK));
    };
    let host = inbound.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| inbound.uri.host()).unwrap_or_default();
    let route = in_force.route(host, inbound.uri.path()).cloned();
    let route = route.ok_or(Failure::not_run(Code::UnknownRoute))?;
    let organisation = if route.open || !in_force.needs_keys() {
        None
    } else {
        let key = inbound.caller.key.as_deref();
        let key = key.ok_or(Failure::not_run(Code::MissingKey))?;
        let organisation = in_force.organisation(key).cloned();
        Some(organisation.ok_or(Failure::not_run(Code::UnknownKey))?)
    };
    Ok(Resolved {
        in_force,
        route,
        organisation,
    })
}
