//! Backend servers that fall silent for about a second and go on, beside quick changes of the configuration.

mod support;

use std::time::{Duration, Instant};

use guava_platform_standin::caller::{Call, Finished, Outcome, send};
use guava_platform_standin::settings::{BOOKING_PATH, LOOKUP_PATH, REPORT_PATH, STREAM_PATH};
use guava_soak::fleet::Fleet;
use support::{call, dir, keys, program};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Routes on which requests are sent.
const PATHS: [&str; 4] = [STREAM_PATH, BOOKING_PATH, REPORT_PATH, LOOKUP_PATH];
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Time for which requests are sent.
const DURING: Duration = Duration::from_secs(16);
/// Interval between the events of a stream, so that it lasts for 1.5 to 4.4 s.
const EVENT_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which a server is silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Interval between the beginnings of two silences.
const SILENCE_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between two changes of the configuration.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(150);

/// Sends requests to the VMs in turn until the time is over.
fn send_requests(fleet: &Fleet) -> JoinHandle<Vec<Finished>> {
    let vms = fleet.addresses();
    tokio::spawn(async move {
        let started = Instant::now();
        let mut running = Vec::new();
        while started.elapsed() < DURING {
            let number = running.len();
            let path = PATHS[number % PATHS.len()];
            let request = Call {
                model: [STREAM_PATH, REPORT_PATH].contains(&path).then(|| "m1".to_owned()),
                ..call(&format!("silent-{number}"), path)
            };
            running.push(tokio::spawn(send(vms[number / 3 % vms.len()].callers, request)));
            sleep(PAUSE).await;
        }
        let mut finished = Vec::new();
        for request in running {
            finished.push(request.await.expect("the caller's task ends"));
        }
        finished
    })
}

/// Guards against requests that end without a complete answer or a refusal because a server is silent for a second.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_when_servers_fall_silent_beside_configuration_changes() {
    let dir = dir("silent");
    let mut fleet = Fleet::start(&program(), &dir, &keys()).await.expect("the fleet starts");
    sleep(Duration::from_secs(4)).await;

    fleet.set_event_interval(EVENT_INTERVAL);
    let requests = send_requests(&fleet);
    let started = Instant::now();
    let mut silenced = 0;
    while started.elapsed() < DURING {
        if started.elapsed() > silenced * SILENCE_INTERVAL {
            let servers = fleet.backends.iter().filter_map(|it| it.server.as_ref());
            servers.for_each(|it| it.fall_silent(SILENCE));
            silenced += 1;
        }
        fleet.change_configuration();
        sleep(CONFIGURATION_INTERVAL).await;
    }
    let finished = requests.await.expect("it ends");

    let describe = |it: &Finished| {
        let (after, events) = ((it.ended - it.at).as_millis(), it.tries[0].events);
        format!(
            "{} {}: {:?} after {after} ms and {events} events",
            it.call.attempt, it.call.path, it.outcome
        )
    };
    let has_answer = |it: &&Finished| matches!(it.outcome, Outcome::Served | Outcome::NotRun(_) | Outcome::Failed(_));
    let lost: Vec<String> = finished.iter().filter(|it| !has_answer(it)).map(describe).collect();
    let failed = finished.iter().filter(|it| matches!(it.outcome, Outcome::Failed(_)));
    println!("{} of {} lost, {} failed", lost.len(), finished.len(), failed.count());
    assert!(lost.is_empty(), "{} of {} lost: {lost:#?}", lost.len(), finished.len());
}
