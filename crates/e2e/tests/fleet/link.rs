//! A link that can be cut: forwards TCP connections to one address.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A forwarding link.
#[derive(Debug)]
pub struct Link {
    /// Address to connect to in place of the real one.
    pub addr: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Link {
    /// Starts to forward from `addr` to `to`.
    pub async fn start(addr: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).await.expect("the link's address is free");
        let (cut, is_cut) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(forward(caller, to, is_cut.clone()));
            }
        });
        Self { addr, cut }
    }

    /// Cuts the link: running connections close and new ones close at once.
    pub fn cut(&self) {
        self.cut.send_replace(true);
    }
}

async fn forward(mut caller: TcpStream, to: SocketAddr, mut is_cut: watch::Receiver<bool>) {
    if *is_cut.borrow() {
        return;
    }
    if let Ok(mut server) = TcpStream::connect(to).await {
        tokio::select! {
            _ = copy_bidirectional(&mut caller, &mut server) => {}
            _ = is_cut.changed() => {}
        }
    }
}
