//! Accept queue of the listeners that all servers use.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use guava_node::http::listen;

/// Connections opened at once.
const BURST: usize = 500;
/// Time limit of a connection. With a full accept queue it is exceeded, because the test accepts nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against an accept queue that overflows when all callers of a lost VM reconnect at once, which delays their
/// connections by a second or more.
#[test]
fn a_burst_of_connections_finds_room() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback has free ports");
    let addr = listener.local_addr().expect("the listener is bound");

    let opened = (0..BURST).map(|_| TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT));
    let opened: Vec<TcpStream> = opened.map_while(Result::ok).collect();

    assert_eq!(opened.len(), BURST);
}
