//! Classification of failed calls to peers.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{FakePlatform, settings, start};
use guava_node::{MemberInfo, PeerError};
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Failure of a peer.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Nothing listens at the address.
    Absent,
    /// The connection is closed after the request has been read.
    Closes,
    /// The request is read but never answered.
    Silent,
}

/// Copy of `member` whose address belongs to a peer with `fault`.
async fn faulty_peer(member: &MemberInfo, fault: Fault) -> MemberInfo {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let rpc_addr = listener.local_addr().unwrap();
    if !matches!(fault, Fault::Absent) {
        tokio::spawn(async move {
            let mut kept_open = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut buf = [0; 4_096];
                let _ = stream.read(&mut buf).await;
                if matches!(fault, Fault::Silent) {
                    kept_open.push(stream);
                }
            }
        });
    }
    MemberInfo {
        rpc_addr,
        ..member.clone()
    }
}

/// Guards against a call with an unknown outcome that is reported as not delivered, so that a caller repeats it and it
/// runs twice.
#[rstest]
#[case(Fault::Absent, true)]
#[case(Fault::Closes, false)]
#[case(Fault::Silent, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_a_failed_connection_is_reported_as_unreachable(#[case] fault: Fault, #[case] unreachable: bool) {
    let platform = Arc::new(FakePlatform::default());
    let runtime = start(&settings("vm0", Vec::new()), &platform).await;
    let peer = faulty_peer(runtime.node.members.me(), fault).await;

    let timeout = Duration::from_secs(3);
    let answer = runtime.node.peers.call(&peer, "status", json!({}), timeout).await;

    match answer {
        Err(PeerError::Unreachable(_)) => assert!(unreachable),
        Err(PeerError::OutcomeUnknown(_)) => assert!(!unreachable),
        other => panic!("unexpected: {other:?}"),
    }
}

/// Guards against a refused call that is reported as one with an unknown outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_is_reported_with_its_code() {
    let platform = Arc::new(FakePlatform::default());
    let runtime = start(&settings("vm0", Vec::new()), &platform).await;
    let me = runtime.node.members.me();

    let timeout = Duration::from_secs(30);
    let answer = runtime.node.peers.call(me, "no.such", json!({}), timeout).await;

    assert!(matches!(answer, Err(PeerError::Refused(-32601, _))), "{answer:?}");
}
