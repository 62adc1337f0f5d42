//! HTTP server of the stand-ins of this crate.
//!
//! It uses hyper's server directly, since a request must be cancelled as soon as its connection closes: xitca-web
//! does not look at the connection while a handler runs.

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

/// Largest accepted body.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Connections that wait to be accepted, as at the servers of `guava-node`.
const BACKLOG: u32 = 4_096;
/// Pause before the listener is opened again after a failure.
const REBIND_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

quick_error! {
    /// Reason to close a connection without a whole answer.
    #[derive(Debug)]
    pub enum Cut {
        /// A fault is in force.
        Fault {
            display("cut by a fault")
        }
        /// The request could not be read.
        Body(error: Box<dyn std::error::Error + Send + Sync>) {
            display("body: {error}")
        }
    }
}

impl From<Infallible> for Cut {
    fn from(error: Infallible) -> Self {
        match error {}
    }
}

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Cut>> + Send>>;

/// Body of an answer.
pub(crate) enum AnswerBody {
    Whole(Bytes),
    Pieces(Pieces),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Pieces(pieces) => pieces.as_mut().poll_next(cx).map(|it| it.map(|it| it.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

pub(crate) type HttpAnswer = Result<Response<AnswerBody>, Cut>;

/// What a front serves.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = HttpAnswer> + Send;

    /// True while the server must not listen.
    fn watch_down(&self) -> watch::Receiver<bool>;
}

/// A running HTTP front; dropping it stops it.
#[derive(Debug)]
pub struct Front {
    addr: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Front {
    /// Address that the front listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and all connections.
    pub async fn stop(mut self) {
        self.task.abort();
        // The only possible error is the cancellation just asked for.
        drop((&mut self.task).await);
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether a front closes while its stand-in is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outage {
    Obey,
    /// For control: the fault must be reachable to be ended.
    Ignore,
}

/// Serves `handler` on `addr` in the current runtime.
pub(crate) async fn serve<H: Handler>(handler: Arc<H>, addr: SocketAddr, outage: Outage) -> io::Result<Front> {
    let listener = listen(addr)?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let never_down = watch::Sender::new(false);
        let down = match outage {
            Outage::Obey => handler.watch_down(),
            Outage::Ignore => never_down.subscribe(),
        };
        run(handler, listener, addr, down).await;
    });
    Ok(Front { addr, task })
}

async fn run<H: Handler>(handler: Arc<H>, listener: TcpListener, addr: SocketAddr, mut down: watch::Receiver<bool>) {
    let mut listener = Some(listener);
    loop {
        let open = match listener.take() {
            Some(open) => open,
            None => rebind(addr).await,
        };
        // All connections close when the set of their tasks is dropped.
        let mut connections = JoinSet::new();
        tokio::select! {
            () = accept(&handler, &open, &mut connections) => (),
            ended = down.wait_for(|is_down| *is_down) => if ended.is_err() { return },
        }
        drop(open);
        connections.shutdown().await;
        if down.wait_for(|is_down| !*is_down).await.is_err() {
            return;
        }
    }
}

/// Opens a listener whose queue holds the connections of a burst.
fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

async fn rebind(addr: SocketAddr) -> TcpListener {
    loop {
        match listen(addr) {
            Ok(listener) => return listener,
            Err(error) => log::warn!("cannot listen on {addr} again: {error}"),
        }
        tokio::time::sleep(REBIND_PAUSE).await;
    }
}

async fn accept<H: Handler>(handler: &Arc<H>, listener: &TcpListener, connections: &mut JoinSet<()>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(Arc::clone(handler), stream));
            }
            Err(error) => {
                log::warn!("accept: {error}");
                tokio::time::sleep(REBIND_PAUSE).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection<H: Handler>(handler: Arc<H>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("set_nodelay: {error}");
    }
    let service = service_fn(|request| Arc::clone(&handler).handle(request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection: {error}");
    }
}

/// Reads a whole body.
pub(crate) async fn read_body(body: Incoming) -> Result<Option<Bytes>, Cut> {
    match Limited::new(body, BODY_LIMIT_BYTES).collect().await {
        Ok(body) => Ok(Some(body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Ok(None),
        Err(error) => Err(Cut::Body(error)),
    }
}

/// Answer with the given bytes.
pub(crate) fn answer(status: StatusCode, content_type: &'static str, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Answer with a JSON document.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(body) => answer(status, "application/json", AnswerBody::Whole(body.into())),
        Err(error) => refusal(StatusCode::INTERNAL_SERVER_ERROR, "internal", &error.to_string()),
    }
}

/// Refusal in the shape of the OpenAI API; nothing has run.
pub(crate) fn refusal(status: StatusCode, code: &str, message: &str) -> Response<AnswerBody> {
    let body = serde_json::json!({ "error": { "message": message, "type": "invalid_request_error", "code": code } });
    answer(status, "application/json", AnswerBody::Whole(body.to_string().into()))
}

/// Value of a query parameter, percent-encoding left as it is.
pub(crate) fn parameter<'q>(query: Option<&'q str>, name: &str) -> Option<&'q str> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
