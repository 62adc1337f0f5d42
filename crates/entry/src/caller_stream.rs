//! Socket of a caller's connection that shows whether received bytes have not been read yet.
//!
//! A connection that is closed with unread bytes is reset, and the caller cannot tell whether its request has run. A
//! graceful shutdown therefore closes only connections without unread bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use rustix::io::ioctl_fionread;
use rustix::net::Shutdown;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Shared socket of a caller's connection.
#[derive(Debug, Clone)]
pub struct CallerStream(Arc<TcpStream>);

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Whether bytes have been received that were not read yet. False if the system does not tell, so that an idle
    /// connection can be closed all the same.
    pub fn has_unread_bytes(&self) -> bool {
        ioctl_fionread(&*self.0).is_ok_and(|it| it > 0)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(rustix::net::shutdown(&*self.0, Shutdown::Write).map_err(io::Error::from))
    }
}

impl CallerStream {
    fn poll_try_write(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}
