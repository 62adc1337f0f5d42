//! HTTP server for the stand-ins of this crate.
//!
//! It uses hyper directly because a request must be cancelled as soon as its connection closes. xitca-web does not
//! check the connection while a handler runs.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of connections waiting to be accepted; the same as for the servers of `guava-node`.
const LISTEN_BACKLOG: u32 = 4_096;
/// Delay before listening or accepting is tried again after a failure.
const LISTEN_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

quick_error! {
    /// Reason to close a connection without a complete answer.
    #[derive(Debug)]
    pub enum AbortReason {
        /// An injected fault truncates the answer.
        InjectedFault {
            display("answer truncated by an injected fault")
        }
        /// The request body could not be read.
        RequestBody(error: Box<dyn std::error::Error + Send + Sync>) {
            display("cannot read the request body: {error}")
        }
    }
}

impl From<Infallible> for AbortReason {
    fn from(error: Infallible) -> Self {
        match error {}
    }
}

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, AbortReason>> + Send>>;

/// Body of an answer: sent at once, or in chunks with an unknown total length.
pub(crate) enum AnswerBody {
    Whole(Bytes),
    Chunks(Chunks),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AbortReason;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AbortReason>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Chunks(chunks) => chunks.as_mut().poll_next(cx).map(|it| it.map(|it| it.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

pub(crate) type HttpAnswer = Result<Response<AnswerBody>, AbortReason>;

/// A stand-in that can be served over HTTP.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request. The future is dropped if the connection closes first.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = HttpAnswer> + Send;

    /// Watches the `down` fault; while the value is true, the stand-in must not be reachable.
    fn watch_down(&self) -> watch::Receiver<bool>;
}

/// Handle to a running HTTP server of a stand-in. Dropping it stops the server.
#[derive(Debug)]
pub struct ServerHandle {
    addr: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl ServerHandle {
    /// Address that the server listens on, with the actual port if port 0 was asked for.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and cancels all connections. Returns once the listener is closed.
    pub async fn stop(mut self) {
        self.task.abort();
        // An error only says that the task was cancelled, as was just requested.
        drop((&mut self.task).await);
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What a server does while the `down` fault of its stand-in is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OnDown {
    /// Close the listener and all connections.
    Close,
    /// Stay reachable, so that a test can end the fault.
    StayOpen,
}

/// Serves `handler` on `addr` in the current Tokio runtime.
pub(crate) async fn serve<H: Handler>(handler: Arc<H>, addr: SocketAddr, on_down: OnDown) -> io::Result<ServerHandle> {
    let listener = listen(addr)?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let never_down = watch::Sender::new(false);
        let down = match on_down {
            OnDown::Close => handler.watch_down(),
            OnDown::StayOpen => never_down.subscribe(),
        };
        run_server(handler, listener, addr, down).await;
    });
    Ok(ServerHandle { addr, task })
}

/// Serves until the task is aborted, closing and reopening the listener as `down` changes.
async fn run_server<H: Handler>(
    handler: Arc<H>,
    listener: TcpListener,
    addr: SocketAddr,
    mut down: watch::Receiver<bool>,
) {
    let mut listener = Some(listener);
    loop {
        let current = match listener.take() {
            Some(opened) => opened,
            None => listen_again(addr).await,
        };
        // Dropping this set closes all connections.
        let mut connections = JoinSet::new();
        tokio::select! {
            () = accept_connections(&handler, &current, &mut connections) => (),
            went_down = down.wait_for(|is_down| *is_down) => if went_down.is_err() { return },
        }
        drop(current);
        connections.shutdown().await;
        if down.wait_for(|is_down| !*is_down).await.is_err() {
            return;
        }
    }
}

/// Opens a listener with a backlog long enough for bursts of connections.
fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Opens the listener again after the `down` fault has ended, retrying until it succeeds.
async fn listen_again(addr: SocketAddr) -> TcpListener {
    loop {
        match listen(addr) {
            Ok(listener) => return listener,
            Err(error) => log::warn!("cannot listen on {addr} again; retrying: {error}"),
        }
        tokio::time::sleep(LISTEN_RETRY_DELAY).await;
    }
}

async fn accept_connections<H: Handler>(handler: &Arc<H>, listener: &TcpListener, connections: &mut JoinSet<()>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(Arc::clone(handler), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(LISTEN_RETRY_DELAY).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection<H: Handler>(handler: Arc<H>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {error}");
    }
    let service = service_fn(|request| Arc::clone(&handler).handle(request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection closed with an error: {error}");
    }
}

/// Reads a request body; `None` if it exceeds the size limit.
pub(crate) async fn read_body(body: Incoming) -> Result<Option<Bytes>, AbortReason> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(Some(body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Ok(None),
        Err(error) => Err(AbortReason::RequestBody(error)),
    }
}

/// Creates an answer with the given body.
pub(crate) fn answer(status: StatusCode, content_type: &'static str, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Creates an answer whose body is `value` as JSON.
pub(crate) fn json_answer(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(body) => answer(status, "application/json", AnswerBody::Whole(body.into())),
        Err(error) => refusal(StatusCode::INTERNAL_SERVER_ERROR, "internal", &error.to_string()),
    }
}

/// Creates an error answer in the format of the OpenAI API, for a request that was not run.
pub(crate) fn refusal(status: StatusCode, code: &str, message: &str) -> Response<AnswerBody> {
    let body = serde_json::json!({ "error": { "message": message, "type": "invalid_request_error", "code": code } });
    answer(status, "application/json", AnswerBody::Whole(body.to_string().into()))
}

/// Value of a query parameter, without percent-decoding.
pub(crate) fn query_parameter<'q>(query: Option<&'q str>, name: &str) -> Option<&'q str> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
