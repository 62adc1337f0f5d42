//! Backend servers that send bytes without end to many requests at a time, against an entry process of its own.

mod support;

use std::time::Duration;

use guava_platform_standin::caller::{Outcome, send};
use guava_platform_standin::raw::{answer_head, attempt_id, request_text};
use guava_platform_standin::settings::{
    BOOKING_PATH, ENGINE_SERVICE, LOOKUP_PATH, MEMORY_MB, PLAIN_SERVICE, STREAM_PATH,
};
use guava_soak::fleet::{Fleet, MODEL_COUNT};
use rstest::rstest;
use serde_json::json;
use support::{call, dir, keys, program};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const FAULTY_SERVERS: usize = 50;
const REQUESTS: usize = 500;
/// Time for which the faulty servers are observed.
const OBSERVED: Duration = Duration::from_secs(3);
/// Requests of other callers meanwhile.
const SOUND_REQUESTS: usize = 20;

/// What a faulty server sends after the head of an answer, or within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Endless {
    /// Header lines.
    Head,
    /// A body without a length.
    Body,
    /// Nearly as much of a body as any number of answers may have, and then single bytes.
    Trickle,
    /// Events, to callers that do not read.
    Events,
    /// One event.
    Event,
}

impl Endless {
    fn is_stream(self) -> bool {
        matches!(self, Self::Events | Self::Event)
    }

    fn beginning(self, attempt: &str) -> String {
        let head = answer_head(attempt, "");
        match self {
            Self::Head => head.trim_end().to_owned() + "\r\n",
            Self::Trickle => head + &"x".repeat(60 << 10),
            Self::Body | Self::Events => head,
            Self::Event => head + "data: ",
        }
    }

    fn block(self) -> String {
        match self {
            Self::Head => "x-more: more\r\n".repeat(600),
            Self::Body | Self::Event => "more".repeat(2_000),
            Self::Trickle => "x".to_owned(),
            Self::Events => format!("data: {}\n\n", "more".repeat(250)).repeat(120),
        }
    }
}

/// Sends to each connection without end.
async fn serve_faulty(listener: TcpListener, endless: Endless) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                match stream.read_u8().await {
                    Ok(byte) => head.push(byte),
                    Err(_) => return,
                }
            }
            let head = String::from_utf8_lossy(&head);
            let mut text = endless.beginning(&attempt_id(&head).unwrap_or_default());
            while stream.write_all(text.as_bytes()).await.is_ok() {
                text = endless.block();
                sleep(Duration::from_millis(2)).await;
            }
        });
    }
}

async fn add_faulty_servers(fleet: &Fleet, endless: Endless, model: &str) {
    for index in 0..FAULTY_SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        tokio::spawn(serve_faulty(listener, endless));
        let (service, models) = if endless.is_stream() {
            (ENGINE_SERVICE, json!([{"name": model, "version": 1, "adapters": []}]))
        } else {
            (PLAIN_SERVICE, json!([]))
        };
        let entry = json!({
            "service": service, "address": address, "zone": "caerdydd", "version": "v1", "slots": 64, "state": "ready",
            "models": models, "seq": 1, "born": 1,
        });
        fleet.store.put("servers", &format!("faulty-{index}"), entry);
    }
    // A process that watches the store batches changes.
    sleep(Duration::from_secs(1)).await;
}

/// Guards against a process that runs out of memory, and takes the requests of other callers with it, because it keeps what
/// faulty servers send without end.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bytes_without_end_to_many_requests_leave_memory_and_other_callers_alone(
    #[values(Endless::Head, Endless::Body, Endless::Trickle, Endless::Events, Endless::Event)] endless: Endless,
) {
    let dir = dir(&format!("endless-{endless:?}"));
    let mut fleet = Fleet::start(&program(), &dir, &keys()).await.expect("the fleet starts");
    let model = format!("m{}", MODEL_COUNT - 1);
    add_faulty_servers(&fleet, endless, &model).await;
    let address = fleet.processes[0].vm.callers;
    let path = if endless.is_stream() { STREAM_PATH } else { BOOKING_PATH };

    let mut faulty = JoinSet::new();
    for index in 0..REQUESTS {
        let text = request_text(&format!("e{index}"), path, "key-1", &model, "5,5", "");
        faulty.spawn(async move {
            let mut stream = TcpStream::connect(address)
                .await
                .expect("the process accepts connections");
            stream.write_all(text.as_bytes()).await.expect("the process reads");
            if endless != Endless::Events {
                let mut answer = Vec::new();
                let _ = timeout(OBSERVED, stream.read_to_end(&mut answer)).await;
            }
            sleep(OBSERVED).await;
        });
    }
    let other_path = if endless.is_stream() { LOOKUP_PATH } else { STREAM_PATH };
    let mut sound = JoinSet::new();
    for index in 0..SOUND_REQUESTS {
        sleep(OBSERVED / SOUND_REQUESTS as u32).await;
        sound.spawn(send(address, call(&format!("s{index}"), other_path)));
    }
    let outcomes = sound.join_all().await;

    let served = outcomes
        .iter()
        .filter(|it| matches!(it.outcome, Outcome::Served))
        .count();
    let peak = fleet.processes[0].peak_memory().expect("the process runs");
    println!(
        "{endless:?}: peak of {} MB, {served} of {SOUND_REQUESTS} sound requests served",
        peak >> 20
    );
    assert!(!fleet.processes[0].has_ended());
    assert!(peak < MEMORY_MB << 20, "{} MB", peak >> 20);
    assert_eq!(served, SOUND_REQUESTS, "{outcomes:?}");
}
