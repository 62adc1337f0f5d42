//! Seeds that once failed, a fresh fixed one, and single faults, with the real program.

mod support;

use std::process::Stdio;
use std::time::Duration;

use guava_platform_standin::caller::{Outcome, is_ready, send};
use guava_platform_standin::settings::{BOOKING_PATH, STREAM_PATH};
use guava_soak::cmd::{Args, play};
use guava_soak::fleet::Fleet;
use rstest::rstest;
use rustix::process::Signal;
use support::{call, dir, keys, program};
use tokio::io::AsyncReadExt;

/// Streams that are under way when a process is told to stop.
const STREAMS: usize = 3;

/// Guards against each cause in REGRESSIONS.txt, and with seed 77 against new ones.
#[rstest]
#[case(1, 8)]
#[case(32, 8)]
#[case(39, 8)]
#[case(77, 5)]
#[tokio::test(flavor = "multi_thread")]
async fn promises_are_kept(#[case] seed: u64, #[case] faults: usize) {
    let args = Args {
        seed,
        seeds: 1,
        faults,
        span_s: 12,
        jobs: 1,
        program: program(),
        dir: dir(&format!("seed-{seed}")),
    };

    let report = play(&args, seed).await.expect("the run can be made");

    assert_eq!(report.broken, Vec::<String>::new(), "{:?}", report.faults);
}

/// Guards against a process that stops serving because nobody reads its log, and against one that ends when its reader
/// is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_without_a_reader_stops_nothing() {
    let dir = dir("log");
    let fleet = Fleet::start(&program(), &dir, &keys()).await.expect("the fleet starts");
    let vm = &fleet.processes[0].vm;
    let ports = [vm.callers, vm.readiness, vm.peers].map(|it| it.port());
    let settings = std::fs::read_to_string(dir.join("vm-0.toml")).expect("the settings were written");
    let moved = ports.iter().fold(settings, |text, port| {
        text.replace(&format!(":{port}"), &format!(":{}", port - 6_000))
    });
    let path = dir.join("reader.toml");
    std::fs::write(&path, moved.replace("vm-0", "vm-reader")).expect("a writable folder");

    let mut child = tokio::process::Command::new(program())
        .env("GUAVAARCH_SETTINGS", &path)
        .env("GUAVA_LOG_LEVEL", "trace")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("the program starts");
    let mut stdout = child.stdout.take().expect("standard output is piped");
    let mut first = [0; 64];
    stdout.read_exact(&mut first).await.expect("the process logs its start");
    let address = (vm.callers.ip(), vm.callers.port() - 6_000).into();
    let readiness = (vm.callers.ip(), vm.readiness.port() - 6_000).into();
    for _ in 0..200 {
        if is_ready(readiness).await {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The pipe holds 64 KiB; these requests log more than that.
    for at in 0..400 {
        let finished = send(address, call(&format!("full-{at}"), BOOKING_PATH)).await;
        assert_eq!(finished.outcome, Outcome::Served, "request {at} with a full pipe");
    }
    drop(stdout);
    for at in 0..20 {
        let finished = send(address, call(&format!("closed-{at}"), BOOKING_PATH)).await;
        assert_eq!(finished.outcome, Outcome::Served, "request {at} with a closed pipe");
    }

    assert!(child.try_wait().expect("the state of the process").is_none());
}

/// Guards against a planned stop that cuts a stream, and against requests that begin to wait at a process that closes.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_stream() {
    let dir = dir("stop");
    let mut fleet = Fleet::start(&program(), &dir, &keys()).await.expect("the fleet starts");
    let address = fleet.processes[1].vm.callers;
    // As many as a VM's own part of the rate allows, before any process coordinates.
    let streams: Vec<_> = (0..STREAMS)
        .map(|at| tokio::spawn(send(address, call(&format!("stop-{at}"), STREAM_PATH))))
        .collect();
    tokio::time::sleep(Duration::from_millis(150)).await;

    fleet.processes[1].signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let ready = is_ready(fleet.processes[1].vm.readiness).await;
    let mut outcomes = Vec::new();
    for stream in streams {
        outcomes.push(stream.await.expect("the caller's task ends").outcome);
    }
    fleet.processes[1].wait().await;

    assert!(!ready, "a process that stops must not get new connections");
    assert_eq!(outcomes, vec![Outcome::Served; STREAMS]);
}
