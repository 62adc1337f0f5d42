//! The program with each of its commands, as a process.

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

/// Far beyond any time that a call here needs.
const LONG: Duration = Duration::from_secs(20);

struct Program {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Program {
    fn start(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_guava-standin"));
        let mut child = command.args(args).stdout(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        Self { child, lines }
    }

    fn addr(&mut self) -> SocketAddr {
        self.lines.next().unwrap().unwrap().parse().unwrap()
    }

    fn stop(mut self) -> bool {
        let pid = libc::pid_t::try_from(self.child.id()).unwrap();
        // SAFETY: the process was started here and has not been waited for, so that its id is still its own.
        assert_eq!(unsafe { libc::kill(pid, libc::SIGTERM) }, 0);
        self.child.wait().unwrap().success()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // A program that has already stopped cannot be killed, which is no fault.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

async fn send(method: Method, addr: SocketAddr, path: &str, body: &Value) -> Result<StatusCode, CallError> {
    let caller = HttpClient::new();
    let call = caller.call(method, addr, path, body.to_string().into(), LONG);
    Ok(call.await?.status)
}

/// Guards against a platform program that does not serve all three stand-ins or does not stop.
#[tokio::test]
async fn platform_serves_objects_vms_and_weights() {
    let mut program = Program::start(&["platform", "--threads", "1", "--default-checkpoint-bytes", "5"]);
    let addr = program.addr();
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
    assert!(program.stop());
}

/// Guards against an engine program that cannot be brought back after an outage.
#[tokio::test]
async fn engine_serves_and_comes_back_through_its_control_address() {
    let flags = ["--preload", "m", "--memory-load-ms", "0", "--remote-load-ms", "0"];
    let start = ["engine", "--threads", "1", "--control-addr", "127.0.0.1:0"];
    let mut program = Program::start(&[start.as_slice(), &flags].concat());
    let addr = program.addr();
    let control = program.addr();
    let engine = HttpEngine::new();
    let report = tokio::time::timeout(LONG, async {
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
    let refused = tokio::time::timeout(LONG, async {
        while !matches!(
            send(Method::GET, addr, "/record", &json!({})).await,
            Err(CallError::NotSent(_))
        ) {}
    });
    let refused = refused.await;
    let up = send(Method::PUT, control, "/faults", &json!({})).await;
    let back = tokio::time::timeout(LONG, async { while engine.report(addr).await.is_err() {} });

    assert_eq!(report.replicas[0].replica.as_str(), "preload-m");
    assert_eq!(
        (answered, down, up),
        (Ok(StatusCode::OK), Ok(StatusCode::OK), Ok(StatusCode::OK))
    );
    refused.unwrap();
    back.await.unwrap();
    assert!(program.stop());
}

/// Guards against a service program that does not count, and against wrong settings that are accepted.
#[tokio::test]
async fn service_counts_and_wrong_settings_are_refused() {
    let mut program = Program::start(&["service", "--threads", "1"]);
    let addr = program.addr();
    let mut wrong = Program::start(&["platform", "--loads-per-second", "0"]);

    let answered = send(Method::POST, addr, "/book?id=3", &json!({})).await;
    let record = HttpClient::new()
        .call(Method::GET, addr, "/record", Bytes::new(), LONG)
        .await
        .unwrap();

    let record: Value = serde_json::from_slice(&record.body).unwrap();
    assert_eq!(answered, Ok(StatusCode::OK));
    assert_eq!(record["counts"], json!({"3": 1}));
    assert_eq!(wrong.child.wait().unwrap().code(), Some(2));
    assert!(program.stop());
}
