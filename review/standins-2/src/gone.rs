//! DRAIN: a machine that has just been frozen goes on to send requests to a backend server whose entry was removed after
//! the machine had woken, for longer than `drainMs`, when it is in touch again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::caller::{Asked, Sent, send};
use crate::entry::{SIGCONT, SIGSTOP};
use crate::server::{Server, Spec};
use crate::{Case, Verdict, plain_service};

const DRAIN_S: f64 = 2.0;
const STABLE_S: f64 = 3.0;
/// Time for which the machine stands still; site malwr-desk names `node_freeze` with `for_s = 4.0`.
const FREEZE_S: f64 = 4.0;
/// From the thaw until the server's entry is removed.
const REMOVED_AFTER_S: f64 = 1.8;
/// How long the server serves on beyond `drainMs`: "a little longer".
const LONGER_S: f64 = 0.6;

pub fn run(case: &Case) -> Verdict {
    let routes = [
        case.route("puxa403", "non_idempotent", "wuno96b", 1_500, 150, 1),
        case.route("cufi504", "idempotent", "wuno96b", 1_500, 150, 2),
    ];
    case.configure(7, &routes, &[plain_service("wuno96b")], 1_000_000, 1_000_000);
    let zones = ["caerdydd", "abertawe", "wrecsam"];
    let mut servers = Vec::new();
    for (at, zone) in zones.iter().enumerate() {
        let id = format!("i-7f3a91c{at}");
        let spec = Spec {
            id: &id,
            service: "wuno96b",
            zone,
            address: case.net.at(100 + at as u8, 8080),
            work: Duration::from_millis(30),
            slots: 6,
            model: None,
            events: (0, Duration::ZERO),
        };
        match Server::start(&spec, &case.store, &case.record, &case.seen) {
            Ok(server) => servers.push(server),
            Err(e) => return Verdict::NotRun(e.to_string()),
        }
    }
    let mut entries = case.entries(3);
    for it in &mut entries {
        if let Err(e) = it.start() {
            return Verdict::NotRun(e.to_string());
        }
    }
    if !entries.iter().all(|it| it.wait_until_ready(Duration::from_secs(20))) {
        return Verdict::NotRun("the entry processes are not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(5));
    // Requesters of all machines: each sends a request, waits for its answer and sends the next one.
    let stops = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut threads = Vec::new();
    for it in &entries {
        for at in 0..4 {
            let (stops, sent, record) = (Arc::clone(&stops), Arc::clone(&sent), case.record.clone());
            let (name, front) = (it.name.clone(), it.front());
            threads.push(std::thread::spawn(move || {
                while !stops.load(Ordering::Relaxed) {
                    let asked = Asked {
                        method: if at % 2 == 0 { "POST" } else { "GET" },
                        path: if at % 2 == 0 { "/puxa403/" } else { "/cufi504/" },
                        deadline: Duration::from_millis(1_500),
                        headers: Vec::new(),
                        body: if at % 2 == 0 { vec![b'x'; 600] } else { Vec::new() },
                    };
                    let one = send(&name, front, &asked, &record);
                    sent.lock().unwrap().push(one);
                    std::thread::sleep(Duration::from_millis(60));
                }
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    // Machine 3 does not coordinate the fleet: the one that holds the lease is left alone.
    let holder = case.store.get("guava-leases", "coordinator").map(|it| it.to_string()).unwrap_or_default();
    let frozen = entries.iter().position(|it| !holder.contains(&format!("\"{}/", it.name))).unwrap_or(0);
    if case.has_trouble {
        entries[frozen].signal(SIGSTOP);
        std::thread::sleep(Duration::from_secs_f64(FREEZE_S));
        entries[frozen].signal(SIGCONT);
    } else {
        std::thread::sleep(Duration::from_secs_f64(FREEZE_S));
    }
    let thawed = case.record.now();
    case.sleep_until(thawed + REMOVED_AFTER_S);
    case.store.remove("servers", servers[0].id());
    let removed = case.record.note(format!("the store confirms the removal of the entry of {}", servers[0].id()));
    case.sleep_until(removed + DRAIN_S + LONGER_S);
    servers[0].end();
    std::thread::sleep(Duration::from_secs(2));
    stops.store(true, Ordering::Relaxed);
    for it in threads {
        let _ = it.join();
    }
    if entries.iter_mut().any(|it| it.has_ended()) {
        return Verdict::Broken("an entry process has ended by itself".to_owned());
    }
    drop(entries);
    let runs = case.seen.runs.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    if sent.iter().filter(|it| it.status == Some(200)).count() < 100 {
        return Verdict::NotRun("hardly any request was served".to_owned());
    }
    let late = runs.iter().filter(|it| it.server == servers[0].id() && it.at > removed + DRAIN_S);
    // Sent by a requester to a machine in touch, and passed on by it while in touch.
    let late = late.filter_map(|run| {
        let one = sent.iter().find(|it| it.attempt == run.attempt)?;
        (one.at > thawed + STABLE_S).then_some((run, one))
    });
    let late: Vec<_> = late.collect();
    let Some((first, one)) = late.first() else {
        return Verdict::Held;
    };
    let cut = late.iter().filter(|(_, it)| it.status != Some(200)).count();
    Verdict::Broken(format!(
        "DRAIN: {} requests reached {} later than {DRAIN_S} s after its removal was confirmed; the first, {}, {:.0} ms \
         after it, from {} {:.1} s after it was woken; {cut} of them were not served",
        late.len(),
        servers[0].id(),
        first.attempt,
        (first.at - removed) * 1_000.0,
        one.node,
        one.at - thawed
    ))
}
