//! Meaning of failed calls to peers.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{FakePlatform, settings, start};
use guava_node::{MemberInfo, PeerError};
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// How a peer fails.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Nothing listens at the address.
    Absent,
    /// The connection is closed after the request was read.
    Closes,
    /// The request is read and never answered.
    Silent,
}

async fn faulty(member: &MemberInfo, fault: Fault) -> MemberInfo {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let rpc_addr = listener.local_addr().unwrap();
    if !matches!(fault, Fault::Absent) {
        tokio::spawn(async move {
            let mut open = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut buf = [0; 4_096];
                let _ = stream.read(&mut buf).await;
                if matches!(fault, Fault::Silent) {
                    open.push(stream);
                }
            }
        });
    }
    MemberInfo {
        rpc_addr,
        ..member.clone()
    }
}

/// Guards against a lost call that is reported as not made, which would let it be made twice.
#[rstest]
#[case(Fault::Absent, true)]
#[case(Fault::Closes, false)]
#[case(Fault::Silent, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_a_failed_connection_proves_that_nothing_ran(#[case] fault: Fault, #[case] unreachable: bool) {
    let platform = Arc::new(FakePlatform::default());
    let runtime = start(&settings("vm0", Vec::new()), &platform).await;
    let peer = faulty(runtime.node.members.me(), fault).await;

    let limit = Duration::from_secs(3);
    let answer = runtime.node.peers.call(&peer, "status", json!({}), limit).await;

    match answer {
        Err(PeerError::Unreachable(_)) => assert!(unreachable),
        Err(PeerError::OutcomeUnknown(_)) => assert!(!unreachable),
        other => panic!("unexpected: {other:?}"),
    }
}

/// Guards against a refusal that looks like a lost call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_is_reported_with_its_code() {
    let platform = Arc::new(FakePlatform::default());
    let runtime = start(&settings("vm0", Vec::new()), &platform).await;
    let me = runtime.node.members.me();

    let limit = Duration::from_secs(30);
    let answer = runtime.node.peers.call(me, "no.such", json!({}), limit).await;

    assert!(matches!(answer, Err(PeerError::Refused(-32601, _))), "{answer:?}");
}
