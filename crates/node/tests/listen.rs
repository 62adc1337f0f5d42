//! Listeners of all servers.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use guava_node::http::listen;

/// Connections of a burst.
const BURST: usize = 500;
/// Time for a connection; one that finds no room is not opened at all while nothing is accepted.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against callers of a lost VM that reconnect at once and wait a second and longer for a place in the queue.
#[test]
fn a_burst_of_connections_finds_room() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback has free ports");
    let addr = listener.local_addr().expect("the listener is bound");

    let opened = (0..BURST).map(|_| TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT));
    let opened: Vec<TcpStream> = opened.map_while(Result::ok).collect();

    assert_eq!(opened.len(), BURST);
}
