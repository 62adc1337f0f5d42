//! Socket of a client's connection. It reports to the accounting what is read and written, and shows whether received
//! bytes have not been read yet, and whether bytes of an answer still wait for the client to read.
//!
//! A connection that is closed with unread bytes is reset, and the caller cannot tell whether its request has run. One
//! that is closed with unsent bytes cuts an answer. A graceful shutdown therefore closes only connections without either.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use guava_core::units::Millis;
use rustix::io::ioctl_fionread;
use rustix::net::Shutdown;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::intake::Client;
use crate::state::now;

/// Shared socket of a caller's connection.
#[derive(Debug, Clone)]
pub struct CallerStream(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    client: Arc<Client>,
    /// Whether the last write found the send buffer full.
    is_blocked: AtomicBool,
    /// Whether a write has found the send buffer full since all was written.
    waits: AtomicBool,
    /// Time of the last successful write, in milliseconds of [`now`].
    written: AtomicU64,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, client: Arc<Client>) -> Self {
        Self(Arc::new(Shared {
            stream,
            client,
            is_blocked: AtomicBool::new(false),
            waits: AtomicBool::new(false),
            written: AtomicU64::new(now().0),
        }))
    }

    /// Whether bytes of an answer wait until the caller reads.
    pub fn has_unsent_bytes(&self) -> bool {
        self.0.is_blocked.load(Ordering::Relaxed)
    }

    /// When bytes were last written, or else when the connection was accepted.
    pub fn last_write(&self) -> Millis {
        Millis(self.0.written.load(Ordering::Relaxed))
    }

    /// Reads and drops what the client still sends, until it closes the connection.
    pub async fn discard(&self) {
        let mut buf = [0; 4_096];
        while self.0.stream.readable().await.is_ok() {
            match self.0.stream.try_read(&mut buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
    }

    /// Whether bytes have been received that were not read yet. False if the system does not tell, so that an idle
    /// connection can be closed all the same.
    pub fn has_unread_bytes(&self) -> bool {
        ioctl_fionread(&self.0.stream).is_ok_and(|it| it > 0)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    if count > 0 {
                        let filled = buf.filled();
                        self.0.client.received(&filled[filled.len() - count..]);
                    }
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
        // All that was buffered has been written.
        if self.0.waits.swap(false, Ordering::Relaxed) {
            self.0.client.set_blocked(false);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(rustix::net::shutdown(&self.0.stream, Shutdown::Write).map_err(io::Error::from))
    }
}

impl CallerStream {
    fn poll_try_write(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let shared = &*self.0;
        loop {
            let Poll::Ready(ready) = shared.stream.poll_write_ready(cx) else {
                shared.is_blocked.store(true, Ordering::Relaxed);
                if !shared.waits.swap(true, Ordering::Relaxed) {
                    shared.client.set_blocked(true);
                }
                return Poll::Pending;
            };
            ready?;
            match write(&shared.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    shared.is_blocked.store(false, Ordering::Relaxed);
                    shared.written.store(now().0, Ordering::Relaxed);
                    if let Ok(count) = result
                        && shared.waits.load(Ordering::Relaxed)
                    {
                        shared.client.progress(count);
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }
}
