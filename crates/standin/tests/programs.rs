//! Tests of each command of the program, run as a process.

use std::io::{BufRead as _, BufReader, Lines};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use guava_core::config::Kind;
use guava_core::ids::OperationId;
use guava_engine::{Engine as _, EngineReplicaState, HttpEngine};
use guava_objects::client::{CallError, HttpClient};
use guava_objects::{
    Expect, HttpObjectStore, HttpVmList, HttpWeightStore, ObjectStore as _, PlatformError, VmList as _,
    WeightStore as _,
};
use http::{Method, StatusCode};
use serde_json::{Value, json};

/// Timeout of calls and waits that only a failing test reaches.
const TIMEOUT: Duration = Duration::from_secs(20);

struct StandInProcess {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl StandInProcess {
    fn start(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_guava-standin"));
        let mut child = command.args(args).stdout(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        Self { child, lines }
    }

    fn next_addr(&mut self) -> SocketAddr {
        self.lines.next().unwrap().unwrap().parse().unwrap()
    }

    fn stop(mut self) -> bool {
        let pid = libc::pid_t::try_from(self.child.id()).unwrap();
        // SAFETY: this process started the child and has not waited for it, so its id cannot have been reused.
        assert_eq!(unsafe { libc::kill(pid, libc::SIGTERM) }, 0);
        self.child.wait().unwrap().success()
    }
}

impl Drop for StandInProcess {
    fn drop(&mut self) {
        // Errors are ignored: a process that has already stopped cannot be killed.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

async fn send(method: Method, addr: SocketAddr, path: &str, body: &Value) -> Result<StatusCode, CallError> {
    let client = HttpClient::new();
    let call = client.call(method, addr, path, body.to_string().into(), TIMEOUT);
    Ok(call.await?.status)
}

/// Guards against a platform command that does not serve all three stand-ins or does not stop on SIGTERM.
#[tokio::test]
async fn platform_serves_objects_vms_and_weights() {
    let mut process = StandInProcess::start(&["platform", "--threads", "1", "--default-checkpoint-bytes", "5"]);
    let addr = process.next_addr();
    let store = HttpObjectStore::new(addr);
    let vm = json!({"name": "v", "instance": "1", "zone": "a", "addr": "127.0.0.1:1", "state": "live"});

    let operation = OperationId::new("a");
    let put = store.put(Kind::Pool, "p", &json!({}), Expect::Absent, &operation).await;
    let set = send(Method::PUT, addr, "/vms/v", &vm).await;
    let vms = HttpVmList::new(addr).vms().await.unwrap();
    let checkpoint = HttpWeightStore::new(addr).checkpoint("m@1").await.unwrap().unwrap();
    let fault = send(Method::PUT, addr, "/faults", &json!({"objects": {"down": true}})).await;
    let down = store.get(Kind::Pool, "p").await;

    assert_eq!(put, Ok(1));
    assert_eq!((set, fault), (Ok(StatusCode::OK), Ok(StatusCode::OK)));
    assert_eq!((vms.len(), vms[0].name.as_str()), (1, "v"));
    assert_eq!(checkpoint.bytes, 5);
    assert!(matches!(down, Err(PlatformError::Unavailable(_))), "{down:?}");
    assert!(process.stop());
}

/// Guards against an engine command that does not serve a preloaded model, and against a `down` fault that leaves
/// the address open or cannot be cleared through the control address.
#[tokio::test]
async fn engine_recovers_from_an_outage_through_its_control_address() {
    let flags = ["--preload", "m", "--memory-load-ms", "0", "--remote-load-ms", "0"];
    let command = ["engine", "--threads", "1", "--control-addr", "127.0.0.1:0"];
    let mut process = StandInProcess::start(&[command.as_slice(), &flags].concat());
    let addr = process.next_addr();
    let control = process.next_addr();
    let engine = HttpEngine::new();
    let report = tokio::time::timeout(TIMEOUT, async {
        loop {
            let report = engine.report(addr).await.unwrap();
            if report.replicas[0].state == EngineReplicaState::Ready {
                return report;
            }
        }
    });
    let report = report.await.unwrap();

    let answered = send(Method::POST, addr, "/v1/completions", &json!({"model": "m"})).await;
    let down = send(Method::PUT, control, "/faults", &json!({"down": true})).await;
    let refused = tokio::time::timeout(TIMEOUT, async {
        while !matches!(
            send(Method::GET, addr, "/record", &json!({})).await,
            Err(CallError::NotSent(_))
        ) {}
    });
    let refused = refused.await;
    let up = send(Method::PUT, control, "/faults", &json!({})).await;
    let recovered = tokio::time::timeout(TIMEOUT, async { while engine.report(addr).await.is_err() {} });

    assert_eq!(report.replicas[0].replica.as_str(), "preload-m");
    assert_eq!(
        (answered, down, up),
        (Ok(StatusCode::OK), Ok(StatusCode::OK), Ok(StatusCode::OK))
    );
    refused.unwrap();
    recovered.await.unwrap();
    assert!(process.stop());
}

/// Guards against a service command that does not count calls, and against invalid settings that are accepted.
#[tokio::test]
async fn service_counts_calls_and_invalid_settings_are_refused() {
    let mut process = StandInProcess::start(&["service", "--threads", "1"]);
    let addr = process.next_addr();
    let mut invalid = StandInProcess::start(&["platform", "--loads-per-second", "0"]);

    let answered = send(Method::POST, addr, "/book?id=3", &json!({})).await;
    let record = HttpClient::new()
        .call(Method::GET, addr, "/record", Bytes::new(), TIMEOUT)
        .await
        .unwrap();

    let record: Value = serde_json::from_slice(&record.body).unwrap();
    assert_eq!(answered, Ok(StatusCode::OK));
    assert_eq!(record["counts"], json!({"3": 1}));
    assert_eq!(invalid.child.wait().unwrap().code(), Some(2));
    assert!(process.stop());
}
