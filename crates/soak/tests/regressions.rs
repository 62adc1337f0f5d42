//! Seeds that have failed before, one further seed, and single faults, run with the entry processes themselves.

mod support;

use std::process::Stdio;
use std::time::Duration;

use guava_platform_standin::caller::{Outcome, is_ready, send};
use guava_platform_standin::settings::{BOOKING_PATH, STREAM_PATH};
use guava_soak::cmd::{Args, run_seed};
use guava_soak::fleet::Fleet;
use rstest::rstest;
use rustix::process::Signal;
use support::{call, dir, keys, program};
use tokio::io::AsyncReadExt;

/// Number of streams that are running when a process is told to stop.
const STREAM_COUNT: usize = 3;

/// Guards against a return of the faults in REGRESSIONS.txt, and with seed 77 against new ones.
#[rstest]
#[case(1, 8)]
#[case(32, 8)]
#[case(39, 8)]
#[case(77, 5)]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_faults(#[case] seed: u64, #[case] faults: usize) {
    let args = args(seed, faults, 0);

    let report = run_seed(&args, seed).await.expect("the run can be carried out");

    assert_eq!(report.violations, Vec::<String>::new(), "{:?}", report.faults);
}

/// Guards against faults that show only beside releases, silent servers and changes of the configuration.
#[rstest]
#[case(101, 6, 4)]
#[case(102, 0, 8)]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_beside_planned_work(#[case] seed: u64, #[case] faults: usize, #[case] work: usize) {
    let args = args(seed, faults, work);

    let report = run_seed(&args, seed).await.expect("the run can be carried out");

    println!("seed {seed}: {:?}", report.outcomes);
    assert_eq!(report.violations, Vec::<String>::new(), "{:?}", report.faults);
}

fn args(seed: u64, faults: usize, work: usize) -> Args {
    Args {
        seed,
        seeds: 1,
        faults,
        work,
        span_s: 12,
        jobs: 1,
        program: program(),
        dir: dir(&format!("seed-{seed}")),
    }
}

/// Guards against a process that blocks when the pipe of its log is full, and against one that exits when the reader of
/// the pipe has closed it.
#[tokio::test(flavor = "multi_thread")]
async fn process_serves_when_nobody_reads_its_log() {
    let dir = dir("log");
    let fleet = Fleet::start(&program(), &dir, &keys()).await.expect("the fleet starts");
    let vm = &fleet.processes[0].vm;
    let ports = [vm.callers, vm.readiness, vm.peers].map(|it| it.port());
    let settings = std::fs::read_to_string(dir.join("vm-0.toml")).expect("the settings were written");
    let with_new_ports = ports.iter().fold(settings, |text, port| {
        text.replace(&format!(":{port}"), &format!(":{}", port - 6_000))
    });
    let path = dir.join("reader.toml");
    std::fs::write(&path, with_new_ports.replace("vm-0", "vm-reader")).expect("the settings can be written");

    let mut child = tokio::process::Command::new(program())
        .env("GUAVAARCH_SETTINGS", &path)
        .env("GUAVA_LOG_LEVEL", "trace")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("the program starts");
    let mut stdout = child.stdout.take().expect("standard output is piped");
    let mut first_bytes = [0; 64];
    stdout
        .read_exact(&mut first_bytes)
        .await
        .expect("the process logs its start");
    let address = (vm.callers.ip(), vm.callers.port() - 6_000).into();
    let readiness = (vm.callers.ip(), vm.readiness.port() - 6_000).into();
    for _ in 0..200 {
        if is_ready(readiness).await {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The pipe holds 64 KiB; these requests log more than that.
    for index in 0..400 {
        let finished = send(address, call(&format!("full-{index}"), BOOKING_PATH)).await;
        assert_eq!(finished.outcome, Outcome::Served, "request {index} with a full pipe");
    }
    drop(stdout);
    for index in 0..20 {
        let finished = send(address, call(&format!("closed-{index}"), BOOKING_PATH)).await;
        assert_eq!(finished.outcome, Outcome::Served, "request {index} with a closed pipe");
    }

    assert!(child.try_wait().expect("the state of the process is known").is_none());
}

/// Guards against a graceful stop that cuts running streams, and against a stopping process that still reports that it
/// is ready and so gets new connections.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_cuts_no_stream() {
    let dir = dir("stop");
    let mut fleet = Fleet::start(&program(), &dir, &keys()).await.expect("the fleet starts");
    let address = fleet.processes[1].vm.callers;
    // Not more than a VM admits from its own share of the rate before a coordinator exists.
    let streams: Vec<_> = (0..STREAM_COUNT)
        .map(|index| tokio::spawn(send(address, call(&format!("stop-{index}"), STREAM_PATH))))
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

    assert!(!ready, "a process that is stopping must not get new connections");
    assert_eq!(outcomes, vec![Outcome::Served; STREAM_COUNT]);
}
