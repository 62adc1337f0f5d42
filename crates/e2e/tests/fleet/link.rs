//! A network link that tests can cut: a proxy that forwards TCP connections to one address.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Proxy in front of one address; it runs until the test ends.
#[derive(Debug)]
pub struct Link {
    /// Address to which programs connect in place of the target.
    pub addr: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Link {
    /// Starts a proxy that listens on `addr` and forwards to `target`.
    pub async fn start(addr: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).await.expect("the link's address is free");
        let (cut, cut_state) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(forward(caller, target, cut_state.clone()));
            }
        });
        Self { addr, cut }
    }

    /// Cuts the link for good: open connections are closed, and new ones are closed at once.
    pub fn cut(&self) {
        self.cut.send_replace(true);
    }
}

async fn forward(mut caller: TcpStream, target: SocketAddr, mut cut_state: watch::Receiver<bool>) {
    if *cut_state.borrow() {
        return;
    }
    if let Ok(mut server) = TcpStream::connect(target).await {
        tokio::select! {
            _ = copy_bidirectional(&mut caller, &mut server) => {}
            _ = cut_state.changed() => {}
        }
    }
}
