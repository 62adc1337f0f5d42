//! Listening socket that closes when its server stops.
//!
//! xitca-server keeps its listeners until the last connection has ended, and the kernel would go on accepting
//! connections that nobody serves.

use std::io;
use std::sync::Arc;

use parking_lot::RwLock;
use tokio::net::TcpListener;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// Listening socket before the server's runtime exists.
#[derive(Debug)]
pub(crate) struct Unregistered(pub std::net::TcpListener);

/// Listening socket shared by the server's threads.
#[derive(Debug)]
pub(crate) struct ClosingListener(RwLock<Option<Arc<TcpListener>>>);

impl IntoListener for Unregistered {
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
                // Without a code of the operating system the error means that the server's runtime has stopped.
                if error.raw_os_error().is_none() {
                    *self.0.write() = None;
                }
                Err(error)
            }
        }
    }
}
