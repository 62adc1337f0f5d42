//! Requests that one VM hands to another because it reaches no backend server itself.
//!
//! A VM that has lost its links to the servers still has its callers, the store and the other VMs. It sends a request to
//! the listener of another VM for entry processes, as it would send it to a server, and passes the answer on as it
//! passes on a server's. The request stays that of the first VM: it has admitted and counted it, and it alone retries
//! after an attempt that may have run. The second VM chooses a server, as for its own callers, and hands nothing on.
//!
//! What the two tell each other beside the request stands in headers that neither callers nor servers see.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guava_core::events::Event;
use guava_fleet::binding::StreamBinding;
use guava_fleet::model::{BackendServer, ServerState};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::intake::Client;
use crate::log_event;
use crate::reply::Body;
use crate::request;
use crate::state::{EntryState, now};

/// VM that hands a request on.
const FROM: HeaderName = HeaderName::from_static("guava-from");
/// Service and version that a stream is bound to, separated by a space.
const BOUND: HeaderName = HeaderName::from_static("guava-bound");
/// Servers that were tried, separated by spaces.
const TRIED: HeaderName = HeaderName::from_static("guava-tried");
/// Server that has answered.
const SERVED_BY: HeaderName = HeaderName::from_static("guava-served-by");
/// VMs to which a request is handed in turn until one takes it.
pub const MAX_HANDOVERS: usize = 3;
/// Interval at which a VM checks whether it is cut off.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two connections with which a VM that is cut off finds out whether it still is.
const PROBE_PAUSE: Duration = Duration::from_millis(400);
/// Timeout of such a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// What the VM that a request is handed to must know of it.
#[derive(Debug, Clone, Default)]
pub struct HandedOver {
    /// Service and version that the stream is bound to; `None` if it is not.
    pub bound: Option<StreamBinding>,
    /// Servers that may have run the request.
    pub tried: Vec<String>,
}

impl HandedOver {
    /// Adds it to the headers of a request of the VM `from`.
    pub fn mark(&self, headers: &mut HeaderMap, from: &str) {
        let bound = self.bound.as_ref();
        let bound = bound.map(|it| format!("{} {}", it.service, it.version.as_deref().unwrap_or_default()));
        let tried = (!self.tried.is_empty()).then(|| self.tried.join(" "));
        for (name, value) in [(FROM, Some(from.to_owned())), (BOUND, bound), (TRIED, tried)] {
            headers.remove(&name);
            if let Some(Ok(value)) = value.map(|it| HeaderValue::from_str(&it)) {
                headers.insert(name, value);
            }
        }
    }

    /// Takes it out of the headers of a request. What cannot be read counts as missing.
    fn take(headers: &mut HeaderMap) -> Self {
        let mut text = |name: HeaderName| headers.remove(name)?.to_str().ok().map(str::to_owned);
        text(FROM);
        let bound = text(BOUND).and_then(|it| {
            let (service, version) = it.split_once(' ')?;
            Some(StreamBinding {
                service: service.to_owned(),
                version: Some(version.to_owned()).filter(|it| !it.is_empty()),
            })
        });
        let tried = text(TRIED).unwrap_or_default();
        Self {
            bound,
            tried: tried.split_whitespace().map(str::to_owned).collect(),
        }
    }
}

/// Whether a message from another process is a request that it hands on.
pub fn is_handed_over(req: &Request<Incoming>) -> bool {
    req.headers().contains_key(FROM)
}

/// Adds to an answer which server has given it.
pub fn mark_answer(answer: &mut Response<Body>, server: &str) {
    if let Ok(value) = HeaderValue::from_str(server) {
        answer.headers_mut().insert(SERVED_BY, value);
    }
}

/// Takes the id of the server that has answered out of an answer's headers.
pub fn take_server(headers: &mut HeaderMap) -> Option<String> {
    let server = headers.remove(SERVED_BY)?;
    server.to_str().ok().map(str::to_owned)
}

/// Serves a request that another VM hands on.
pub async fn serve(state: Arc<EntryState>, client: &Arc<Client>, mut req: Request<Incoming>) -> Response<Body> {
    let known = HandedOver::take(req.headers_mut());
    request::serve_handed_over(state, client, req, known).await
}

/// Finds out whether a VM that is cut off from all servers reaches one again, for as long as the process runs.
pub async fn probe_servers(state: Arc<EntryState>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if !state.is_cut_off(now()) {
            continue;
        }
        let evacuated = state.evacuated_zones();
        let servers = state.servers().into_iter();
        let servers = servers.filter(|it| !evacuated.contains(&it.zone));
        let Some(server) = servers.choose(&mut rand::rng()) else {
            continue;
        };
        let opened = timeout(PROBE_TIMEOUT, TcpStream::connect(server.address)).await;
        if matches!(opened, Ok(Ok(_))) {
            state.record_connection("-", &server, None);
            log_event!(Event::ServersReached, "-", "server={}", server.id);
            continue;
        }
        state.record_connection("-", &server, Some("not reached by a probe"));
        sleep(PROBE_PAUSE).await;
    }
}

/// VM that a request is handed to.
#[derive(Debug, Clone)]
pub struct NextVm {
    /// Name of the VM.
    pub vm: String,
    /// Address for other entry processes.
    pub address: SocketAddr,
}

impl NextVm {
    /// Stands for the server that the VM will choose, until that is known.
    pub fn as_server(&self, service: &str, version: Option<&str>) -> BackendServer {
        BackendServer {
            id: self.vm.clone(),
            service: service.to_owned(),
            address: self.address,
            zone: String::new(),
            version: version.map(str::to_owned),
            slots: 0,
            state: ServerState::Ready,
            born_ms: 0,
            writes: 0,
            leaves_in_ms: None,
            cold_left_ms: None,
            held: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        }
    }
}
