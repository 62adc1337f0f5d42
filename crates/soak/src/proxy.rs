//! Loopback proxy that can delay bytes, hold them in one or both directions, or reset connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// State of a link, which applies to all of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Link {
    /// Bytes are forwarded at once.
    #[default]
    Open,
    /// Connecting to the target and forwarding each chunk of bytes is delayed by this time.
    Delayed(Duration),
    /// Bytes to the target, and new connections, are held until the state changes.
    SilentForth,
    /// Bytes from the target are held until the state changes.
    SilentBack,
    /// Bytes in both directions, and new connections, are held until the state changes.
    Silent,
    /// Existing connections and new ones are closed.
    Reset,
}

/// Proxy in front of one address; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Proxy {
    /// Loopback address on which it listens.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port, in state [`Link::Open`].
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = watch::Sender::new(Link::Open);
        let states = link.subscribe();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                connections.spawn(forward_connection(stream, target, states.clone()));
            }
        });
        Ok(Self { address, link, task })
    }

    /// Changes the state of the link, for existing connections as well as new ones.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward_connection(caller: TcpStream, target: SocketAddr, mut states: watch::Receiver<Link>) {
    let mut reset = states.clone();
    let forwarding = async {
        wait_until_passing(&mut states, true).await;
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let (caller_read, caller_write) = caller.into_split();
        let (server_read, server_write) = server.into_split();
        let requests = forward_bytes(caller_read, server_write, states.clone(), true);
        let answers = forward_bytes(server_read, caller_write, states, false);
        tokio::join!(requests, answers);
    };
    tokio::select! {
        () = forwarding => {}
        _ = reset.wait_for(|it| *it == Link::Reset) => {}
    }
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut states: watch::Receiver<Link>,
    to_target: bool,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        wait_until_passing(&mut states, to_target).await;
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            // Fails if the receiver has already closed the connection.
            let _ = to.shutdown().await;
            return;
        }
    }
}

async fn wait_until_passing(states: &mut watch::Receiver<Link>, to_target: bool) {
    let passes = |link: &Link| match link {
        Link::Open | Link::Delayed(_) => true,
        Link::SilentForth => !to_target,
        Link::SilentBack => to_target,
        Link::Silent | Link::Reset => false,
    };
    let Ok(link) = states.wait_for(passes).await.map(|it| *it) else {
        return;
    };
    if let Link::Delayed(delay) = link {
        tokio::time::sleep(delay).await;
    }
}
