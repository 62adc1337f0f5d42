//! Small HTTP servers on xitca-web: their handle and their answers.

use std::fmt;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};
use xitca_server::{ServerFuture, ServerHandle};
use xitca_web::body::ResponseBody;
use xitca_web::http::{WebResponse, header};

/// Connections that wait to be accepted. The standard library's 128 overflow when the callers of a lost VM reconnect at
/// once, and a connection that finds no room is only tried again after a second.
const BACKLOG: i32 = 4_096;

/// Opens a listener.
///
/// # Errors
///
/// Fails when the address is not free.
pub fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A running HTTP server.
pub struct HttpServer {
    /// Address it listens on.
    pub addr: SocketAddr,
    server: ServerHandle,
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Runs a server whose listener is bound to `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the server could not be started.
    pub fn spawn(addr: SocketAddr, mut server: ServerFuture) -> std::io::Result<Self> {
        let handle = server.handle()?;
        tokio::spawn(server);
        Ok(Self { addr, server: handle })
    }

    /// Stops after running calls have finished.
    pub fn stop(&self) {
        self.server.stop(true);
    }
}

/// Answer with a body of the given type.
pub fn response(status: u16, content_type: &'static str, body: String) -> WebResponse {
    let mut res = WebResponse::new(ResponseBody::from(body));
    *res.status_mut() = status.try_into().unwrap_or_default();
    res.headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    res
}
