//! Listening socket that closes when the server starts to shut down.
//!
//! xitca-server keeps its listeners open until the last connection has closed; until then, the kernel would go on
//! accepting connections that are never served.

use std::io;
use std::sync::Arc;

use parking_lot::RwLock;
use tokio::net::TcpListener;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// Listening socket that is not yet registered with the server's runtime.
#[derive(Debug)]
pub(crate) struct UnregisteredListener(pub std::net::TcpListener);

/// Listening socket shared by the server's threads; `None` once closed.
#[derive(Debug)]
pub(crate) struct ClosingListener(RwLock<Option<Arc<TcpListener>>>);

impl IntoListener for UnregisteredListener {
    type Listener = ClosingListener;

    fn into_listener(self) -> io::Result<ClosingListener> {
        self.0.set_nonblocking(true)?;
        let listener = TcpListener::from_std(self.0)?;
        Ok(ClosingListener(RwLock::new(Some(Arc::new(listener)))))
    }
}

impl Listen for ClosingListener {
    async fn accept(&self) -> io::Result<Stream> {
        let listener = self.0.read().as_ref().map(Arc::clone);
        let listener = listener.ok_or_else(|| io::Error::other("the listener is closed"))?;
        match listener.accept().await {
            Ok((socket, addr)) => Ok(Stream::Tcp(socket.into_std()?, addr)),
            Err(error) => {
                // An error without an operating system code means that the server's runtime is shutting down.
                if error.raw_os_error().is_none() {
                    *self.0.write() = None;
                }
                Err(error)
            }
        }
    }
}
