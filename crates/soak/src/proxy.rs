//! Loopback proxy whose link can be cut, silenced, delayed and reset.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Link {
    /// Bytes pass.
    #[default]
    Open,
    /// Bytes pass after this time.
    Delayed(Duration),
    /// Bytes to the target are held back.
    SilentForth,
    /// Bytes from the target are held back.
    SilentBack,
    /// Bytes are held back both ways.
    Silent,
    /// Connections are reset, new ones too.
    Reset,
}

/// Proxy in front of one address; it ends when dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which it listens.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = watch::Sender::new(Link::Open);
        let states = link.subscribe();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                connections.spawn(carry(stream, target, states.clone()));
            }
        });
        Ok(Self { address, link, task })
    }

    /// Changes the state of the link.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(near: TcpStream, target: SocketAddr, mut states: watch::Receiver<Link>) {
    let mut resets = states.clone();
    let carrying = async {
        wait_until_open(&mut states, true).await;
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let forth = copy(near_read, far_write, states.clone(), true);
        let back = copy(far_read, near_write, states, false);
        tokio::join!(forth, back);
    };
    tokio::select! {
        () = carrying => {}
        _ = resets.wait_for(|it| *it == Link::Reset) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut states: watch::Receiver<Link>, is_forth: bool) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        wait_until_open(&mut states, is_forth).await;
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            // The other half may be gone already.
            let _ = to.shutdown().await;
            return;
        }
    }
}

async fn wait_until_open(states: &mut watch::Receiver<Link>, is_forth: bool) {
    let passes = |link: &Link| match link {
        Link::Open | Link::Delayed(_) => true,
        Link::SilentForth => !is_forth,
        Link::SilentBack => is_forth,
        Link::Silent | Link::Reset => false,
    };
    let Ok(link) = states.wait_for(passes).await.map(|it| *it) else {
        return;
    };
    if let Link::Delayed(time) = link {
        tokio::time::sleep(time).await;
    }
}
