//! Requests of callers at a VM that reaches no backend server, with another VM that does.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

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

/// Guards against requests that VMs which are all cut off hand to each other, or hold until their deadline.
#[tokio::test]
async fn vms_that_are_all_cut_off_refuse_at_once() {
    let server = sound_server("a", false).await;
    let entry = start_vm().await;
    list_at(&entry, &[&server], NOWHERE.into());
    let other = add_vm(&entry, "other", &[&server]).await;
    let gone = BackendServer {
        address: NOWHERE.into(),
        ..server.entry.clone()
    };
    other.apply_server_list(vec![gone.clone()], StoreRevision { era: 1, number: 2 }, now());
    other.record_connection("-", &gone, Some("refused"));
    let started = Instant::now();

    let (answer, _) = call(entry.address, "r1", BOOKING_PATH).await;

    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    assert_eq!(server.received.lock().len(), 0);
}

/// Guards against a request that is lost with the VM that it was handed to, or one that is not asked because it stops.
#[rstest]
#[case::stops(true)]
#[case::has_ended(false)]
#[tokio::test]
async fn another_vm_is_asked_when_one_does_not_serve(#[case] stops: bool) {
    let server = sound_server("a", false).await;
    let entry = start_vm().await;
    list_at(&entry, &[&server], NOWHERE.into());
    for index in 0..2 {
        let name = format!("bad-{index}");
        if stops {
            add_vm(&entry, &name, &[&server]).await.begin_shutdown();
        } else {
            let member = Member {
                vm: name,
                address: NOWHERE.into(),
                incarnation: 1,
                processor: 12,
            };
            entry.state.record_member(member, Some(now()));
        }
    }
    add_vm(&entry, "sound", &[&server]).await;

    for index in 0..4 {
        let (answer, _) = call(entry.address, &format!("r{index}"), BOOKING_PATH).await;

        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Guards against an answer lost behind another VM that is told as "not run", or a request that runs twice.
#[rstest]
#[case::booking(BOOKING_PATH, 1)]
#[case::lookup(LOOKUP_PATH, 2)]
#[tokio::test]
async fn answer_lost_behind_another_vm_promises_nothing(#[case] path: &str, #[case] runs: usize) {
    let server = start_server("a", false, |_, _| async {}).await;
    let spare = start_server("b", false, |_, _| async {}).await;
    let entry = start_vm().await;
    list_at(&entry, &[&server, &spare], NOWHERE.into());
    add_vm(&entry, "sound", &[&server, &spare]).await;

    let (answer, _) = call(entry.address, "r1", path).await;

    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(server.received.lock().len() + spare.received.lock().len(), runs);
}

/// Guards against a stream that ends early, or holds an event twice, because its server ends behind another VM.
#[tokio::test]
async fn stream_goes_on_behind_another_vm() {
    let script = |mut stream: TcpStream, attempt: String| async move {
        write(&mut stream, &answer_head(&attempt, "transfer-encoding: chunked\r\n")).await;
        for id in 1..=2 {
            write(&mut stream, &chunk(&event(id))).await;
        }
        // Ends within the stream.
    };
    let rest = |mut stream: TcpStream, attempt: String| async move {
        write(&mut stream, &answer_head(&attempt, "transfer-encoding: chunked\r\n")).await;
        for id in 3..=EVENTS {
            write(&mut stream, &chunk(&event(id))).await;
        }
        write(&mut stream, "0\r\n\r\n").await;
    };
    let first = start_server("a", true, script).await;
    let second = start_server("b", true, rest).await;
    let entry = start_vm().await;
    list_at(&entry, &[&first, &second], NOWHERE.into());
    let sound = add_vm(&entry, "sound", &[]).await;
    // In another zone, so that it comes second.
    let far = BackendServer {
        zone: "abertawe".to_owned(),
        ..second.entry.clone()
    };
    let revision = StoreRevision { era: 1, number: 2 };
    sound.apply_server_list(vec![first.entry.clone(), far], revision, now());
    list_versions(&sound);

    let (answer, is_closed) = call(entry.address, "r1", STREAM_PATH).await;

    assert!(is_closed, "{answer}");
    for id in 1..=EVENTS {
        assert_eq!(answer.matches(&format!("piece {id}\n")).count(), 1, "{answer}");
    }
    let resumes = second.received.lock()[0].clone();
    assert!(resumes.contains("last-event-id: 2"), "{resumes}");
}

/// Guards against servers that work on for callers who have left, because another VM stands between them.
#[tokio::test]
async fn close_of_the_caller_reaches_the_server_behind_another_vm() {
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    let server = start_server("a", false, move |mut stream, _| {
        let tx = tx.clone();
        async move {
            let _ = tx.send("asked");
            let mut buf = [0; 1];
            // Returns when the connection is closed.
            let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut buf).await;
            let _ = tx.send("closed");
        }
    })
    .await;
    let entry = start_vm().await;
    list_at(&entry, &[&server], NOWHERE.into());
    add_vm(&entry, "sound", &[&server]).await;
    let mut caller = TcpStream::connect(entry.address).await.expect("listening");
    assert!(write(&mut caller, &support::request("r1", BOOKING_PATH)).await);
    assert_eq!(rx.recv().await, Some("asked"));

    drop(caller);

    let closed = tokio::time::timeout(Duration::from_millis(500), rx.recv()).await;
    assert_eq!(closed, Ok(Some("closed")));
}

/// Guards against a VM that hands requests on although it reaches servers again, or after one server of several is gone.
#[tokio::test]
async fn vm_that_reaches_a_server_serves_by_itself() {
    let servers = [sound_server("a", false).await, sound_server("b", false).await];
    let servers = [&servers[0], &servers[1]];
    let entry = start_vm().await;
    list_at(&entry, &servers, NOWHERE.into());
    let sound = add_vm(&entry, "sound", &servers).await;
    call(entry.address, "r0", BOOKING_PATH).await;
    assert!(entry.state.is_cut_off(now()));

    entry.state.record_connection("-", &servers[0].entry, None);
    list_servers(&entry.state, &servers);
    sound.begin_shutdown();
    let (answer, _) = call(entry.address, "r1", BOOKING_PATH).await;

    assert!(!entry.state.is_cut_off(now()));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    entry.state.record_connection("-", &servers[0].entry, Some("refused"));
    assert!(!entry.state.is_cut_off(now()), "only one server is gone");
}
