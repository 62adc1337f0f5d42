//! Requests of callers at a VM that reaches no backend server, with another VM that does.

mod support;

use std::sync::Arc;
use std::time::Duration;

use guava_entry::client::Clients;
use guava_entry::coordinator::Coordinator;
use guava_entry::listeners;
use guava_entry::state::{EntryState, Member, now};
use guava_fleet::model::{BackendServer, StoreRevision};
use guava_platform_standin::settings::{BOOKING_PATH, LOOKUP_PATH, STREAM_PATH};
use rstest::rstest;
use support::{
    Entry, NOWHERE, ScriptedServer, answer_head, call, chunk, event, list_servers, list_versions, new_state,
    put_config, start_entry_with, start_server, whole_answer, write,
};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const EVENTS: u32 = 4;

/// How connections from the VM that is cut off fail.
#[derive(Debug, Clone, Copy)]
enum Cut {
    Refused,
    Hanging,
}

/// Address at which connections hang, and what must be kept for it.
async fn hanging_address() -> (std::net::SocketAddr, Vec<TcpStream>, TcpListener) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let listener = socket.listen(1).expect("listening");
    let address = listener.local_addr().expect("bound");
    let mut queued = Vec::new();
    // The queue holds two; the handshakes of all others go unanswered.
    while let Ok(Ok(stream)) = tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await {
        queued.push(stream);
    }
    (address, queued, listener)
}

/// Server that answers each request.
async fn sound_server(id: &str, is_engine: bool) -> ScriptedServer {
    start_server(id, is_engine, move |mut stream, attempt| async move {
        if !is_engine {
            write(&mut stream, &whole_answer(&attempt, "done")).await;
            return;
        }
        write(&mut stream, &answer_head(&attempt, "transfer-encoding: chunked\r\n")).await;
        for id in 1..=EVENTS {
            write(&mut stream, &chunk(&event(id))).await;
        }
        write(&mut stream, "0\r\n\r\n").await;
    })
    .await
}

/// Starts a VM that other VMs reach, and makes it known to `entry`.
async fn add_vm(entry: &Entry, name: &str, servers: &[&ScriptedServer]) -> Arc<EntryState> {
    let state = new_state(Clients::default().internal);
    put_config(&state, 1, &[support::KEY]);
    list_servers(&state, servers);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let coordinator = Arc::new(Coordinator::new(Arc::clone(&state)));
    tokio::spawn(listeners::serve_peers(Arc::clone(&state), coordinator, listener));
    let member = Member {
        vm: name.to_owned(),
        address,
        incarnation: 1,
        processor: 12,
    };
    entry.state.record_member(member, Some(now()));
    state
}

/// Lists the servers of the VM as if they were at another address.
fn list_at(entry: &Entry, servers: &[&ScriptedServer], address: std::net::SocketAddr) {
    let entries = servers.iter().map(|it| BackendServer {
        address,
        ..it.entry.clone()
    });
    let revision = StoreRevision { era: 1, number: 1 };
    entry.state.apply_server_list(entries.collect(), revision, now());
    list_versions(&entry.state);
}

/// Starts the VM whose callers are served, without servers.
async fn start_vm() -> Entry {
    let entry = start_entry_with(Clients::default().internal).await;
    put_config(&entry.state, 1, &[support::KEY]);
    entry
}

/// Guards against callers who are not served because their VM has lost its links to all servers, although other VMs have
/// theirs.
#[rstest]
#[tokio::test]
async fn callers_of_a_vm_that_reaches_no_server_are_served(
    #[values(Cut::Refused, Cut::Hanging)] cut: Cut,
    #[values(STREAM_PATH, BOOKING_PATH, LOOKUP_PATH)] path: &'static str,
) {
    let is_engine = path == STREAM_PATH;
    let servers = [sound_server("a", is_engine).await, sound_server("b", is_engine).await];
    let servers = [&servers[0], &servers[1]];
    let entry = start_vm().await;
    let hanging = hanging_address().await;
    let address = match cut {
        Cut::Refused => NOWHERE.into(),
        Cut::Hanging => hanging.0,
    };
    list_at(&entry, &servers, address);
    add_vm(&entry, "sound", &servers).await;

    for index in 0..8 {
        let (answer, is_closed) = call(entry.address, &format!("r{index}"), path).await;

        assert!(answer.starts_with("HTTP/1.1 200") && is_closed, "{index}: {answer}");
        assert!(!answer.contains("guava-"), "{answer}");
    }
    let received: Vec<String> = servers.iter().flat_map(|it| it.received.lock().clone()).collect();
    assert_eq!(received.len(), 8, "each request once");
    assert!(
        received
            .iter()
            .all(|it| it.contains("x-tenant: bangor") && !it.contains("guava-"))
    );
}
