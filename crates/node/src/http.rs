//! Helpers for HTTP servers on xitca-web: listener, server handle and responses.

use std::fmt;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};
use xitca_server::{ServerFuture, ServerHandle};
use xitca_web::body::ResponseBody;
use xitca_web::http::{WebResponse, header};

/// Length of the accept queue. The standard library's 128 overflows when all callers of a lost VM reconnect at once,
/// and a dropped connection attempt is retried only after a second.
const LISTEN_BACKLOG: i32 = 4_096;
/// Receive buffer of each accepted socket; the kernel may use twice as much. Bytes that were received and not read count
/// as memory of the process, and the kernel would let them grow to megabytes for each connection.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Opens a blocking TCP listener with a long accept queue. Port 0 lets the operating system choose a free port.
///
/// # Errors
///
/// Fails when the address is in use or is not an address of this host.
pub fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// A running HTTP server.
pub struct HttpServer {
    /// Address the server listens on, with the actual port.
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
    /// Spawns `server`, whose listener must be bound to `addr`. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the server did not start.
    pub fn spawn(addr: SocketAddr, mut server: ServerFuture) -> std::io::Result<Self> {
        let handle = server.handle()?;
        tokio::spawn(server);
        Ok(Self { addr, server: handle })
    }

    /// Starts a graceful stop and returns at once; requests in flight are still answered.
    pub fn stop(&self) {
        self.server.stop(true);
    }
}

/// Builds a response. An invalid `status` becomes 200.
pub fn response(status: u16, content_type: &'static str, body: String) -> WebResponse {
    let mut res = WebResponse::new(ResponseBody::from(body));
    *res.status_mut() = status.try_into().unwrap_or_default();
    res.headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    res
}
