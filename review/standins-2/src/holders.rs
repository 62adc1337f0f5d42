//! ONE: machines are stopped and started in turn. The first process that is back takes the coordinator's lease over from
//! the machine that was stopped last, and sends orders to a backend server at once, to which that machine has sent some
//! less than `leaseMs` before.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::caller::{Asked, send};
use crate::entry::SIGTERM;
use crate::server::{Order, Server, Spec};
use crate::{Case, Verdict, engine_service};

const LEASE_S: f64 = 3.0;
const MACHINES: u8 = 6;
/// Between two machines; site malwr-desk names `roll_term` with `x = 1` and `gap_s = 1.0`.
const GAP_S: f64 = 1.0;
/// Until the platform starts a process again that has exited.
const RESTART: Duration = Duration::from_millis(100);
const SERVICE: &str = "huvo11a";
/// Model with adapters, and one of longer streams.
const ADAPTED: &str = "daka510000";
const PLAIN: &str = "rada7437b5";
const ADAPTERS: u32 = 26;
/// Another adapter is asked for each time that this has passed.
const NEW_ADAPTER_S: f64 = 0.9;

pub fn run(case: &Case) -> Verdict {
    let routes = [
        case.route("lohu930", "streaming", SERVICE, 15_000, 500, 2),
        case.route("pufi791", "streaming", SERVICE, 30_000, 3_000, 1),
    ];
    let services = [engine_service(SERVICE, &[(ADAPTED, ADAPTERS), (PLAIN, 0)])];
    case.configure(7, &routes, &services, 1_000_000, 1_000_000);
    let servers = [
        ("i-7f3a91c2", ADAPTED, (3, Duration::from_millis(20))),
        // 57 events, one in a hundred milliseconds; pauses of 250 ms are on time.
        ("i-02d9e6b4", PLAIN, (57, Duration::from_millis(100))),
    ];
    for (at, (id, model, events)) in servers.into_iter().enumerate() {
        let spec = Spec {
            id,
            service: SERVICE,
            zone: "caerdydd",
            address: case.net.at(100 + at as u8, 8080),
            work: Duration::from_millis(20),
            slots: 64,
            model,
            events,
        };
        if let Err(e) = Server::start(&spec, &case.store, &case.record, &case.seen) {
            return Verdict::NotRun(e.to_string());
        }
    }
    // The machine that starts first coordinates. It comes last in the turn and is no seed.
    let mut entries = case.entries(MACHINES);
    let last = entries.len() - 1;
    for at in std::iter::once(last).chain(0..last) {
        if let Err(e) = entries[at].start() {
            return Verdict::NotRun(e.to_string());
        }
        if at == last {
            std::thread::sleep(Duration::from_millis(200));
        }
    }
    if !entries.iter().all(|it| it.wait_until_ready(Duration::from_secs(20))) {
        return Verdict::NotRun("the entry processes are not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let addresses: Vec<_> = entries.iter().map(|it| (it.name.clone(), it.front(), it.ready_address())).collect();
    let traffic = Traffic::start(case, &addresses);
    std::thread::sleep(Duration::from_millis(500));
    let holder = case.store.get("guava-leases", "coordinator").map(|it| it.to_string()).unwrap_or_default();
    if !holder.contains(&format!("\"{}/", entries[last].name)) {
        return Verdict::NotRun("another machine coordinates than the first one".to_owned());
    }
    if case.has_trouble {
        // Each machine is stopped while it answers a request.
        let long: Vec<JoinHandle<()>> = entries.iter().map(|it| long_stream(case, &it.name, it.front())).collect();
        let first = case.record.now() + 0.2;
        let mut stopped = 0;
        let mut is_back = vec![false; entries.len()];
        while is_back.contains(&false) {
            if stopped < entries.len() && case.record.now() >= first + GAP_S * stopped as f64 {
                entries[stopped].signal(SIGTERM);
                stopped += 1;
            }
            let ended: Vec<usize> = (0..stopped).filter(|it| !is_back[*it] && entries[*it].has_ended()).collect();
            if !ended.is_empty() {
                std::thread::sleep(RESTART);
            }
            for at in ended {
                entries[at].wait();
                if let Err(e) = entries[at].start() {
                    return Verdict::NotRun(e.to_string());
                }
                is_back[at] = true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(Duration::from_secs(4));
        for it in long {
            let _ = it.join();
        }
    } else {
        std::thread::sleep(Duration::from_secs(14));
    }
    let served = traffic.stop();
    drop(entries);
    let orders = case.seen.orders.lock().unwrap().clone();
    if served < 20 || orders.len() < 10 {
        return Verdict::NotRun(format!("only {served} requests were served and {} orders sent", orders.len()));
    }
    match turns(&orders) {
        None => Verdict::Held,
        Some((a, b)) => Verdict::Broken(format!(
            "ONE: {} got an order of {} with fence {} at {:.3} s and one of {} with fence {} {:.0} ms later",
            a.server,
            a.owner,
            a.token,
            a.at,
            b.owner,
            b.token,
            (b.at - a.at) * 1_000.0
        )),
    }
}

/// First two orders of two holders to one server within the time of the lease.
fn turns(orders: &[Order]) -> Option<(Order, Order)> {
    let mut sorted = orders.to_vec();
    sorted.sort_by(|a, b| a.at.total_cmp(&b.at));
    for (at, b) in sorted.iter().enumerate() {
        let earlier = sorted[..at].iter().rev().filter(|it| it.server == b.server);
        let mut within = earlier.take_while(|it| b.at - it.at < LEASE_S);
        if let Some(a) = within.find(|it| it.owner != b.owner) {
            return Some((a.clone(), b.clone()));
        }
    }
    None
}

fn long_stream(case: &Case, name: &str, front: std::net::SocketAddr) -> JoinHandle<()> {
    let (name, record) = (name.to_owned(), case.record.clone());
    std::thread::spawn(move || {
        let asked = Asked {
            method: "POST",
            path: "/pufi791/",
            deadline: Duration::from_secs(30),
            headers: vec![
                ("x-model", PLAIN.to_owned()),
                ("x-token-count", "300,171".to_owned()),
                ("x-prompt-prefix", "5c1e07a2:100,e4402b7d:200".to_owned()),
            ],
            body: vec![b'x'; 300],
        };
        send(&name, front, &asked, &record);
    })
}

/// Requests for one adapter after the other, each at a machine that takes new channels.
struct Traffic {
    stops: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    fn start(case: &Case, addresses: &[(String, std::net::SocketAddr, std::net::SocketAddr)]) -> Self {
        let stops = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicUsize::new(0));
        let ready: Arc<Mutex<Vec<bool>>> = Arc::new(Mutex::new(vec![true; addresses.len()]));
        let mut threads = Vec::new();
        for (at, (_, _, address)) in addresses.iter().enumerate() {
            let (address, ready, stops) = (*address, Arc::clone(&ready), Arc::clone(&stops));
            threads.push(std::thread::spawn(move || {
                while !stops.load(Ordering::Relaxed) {
                    let request = crate::http::Request {
                        method: "GET".to_owned(),
                        target: "/v1/ready".to_owned(),
                        headers: vec![
                            ("host".to_owned(), "ready".to_owned()),
                            ("connection".to_owned(), "close".to_owned()),
                        ],
                        body: Vec::new(),
                    };
                    let answer = crate::http::call(address, &request, Duration::from_millis(300));
                    ready.lock().unwrap()[at] = answer.is_ok_and(|it| it.status == 200);
                    std::thread::sleep(Duration::from_millis(50));
                }
            }));
        }
        for thread in 0..4 {
            let (stops, served, ready, record) =
                (Arc::clone(&stops), Arc::clone(&served), Arc::clone(&ready), case.record.clone());
            let addresses = addresses.to_vec();
            threads.push(std::thread::spawn(move || {
                let mut turn = thread;
                let started = record.now();
                while !stops.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(150));
                    turn += 4;
                    let ready = ready.lock().unwrap().clone();
                    let usable: Vec<usize> = (0..addresses.len()).filter(|it| ready[*it]).collect();
                    let Some(at) = usable.get(turn % usable.len().max(1)) else {
                        continue;
                    };
                    let (name, front, _) = &addresses[*at];
                    let adapter = ((record.now() - started) / NEW_ADAPTER_S) as u32 % ADAPTERS + 1;
                    let asked = Asked {
                        method: "POST",
                        path: "/lohu930/",
                        deadline: Duration::from_secs(2),
                        headers: vec![
                            ("x-model", format!("{ADAPTED}/a{adapter}")),
                            ("x-token-count", "100,9".to_owned()),
                            ("x-prompt-prefix", format!("5c1e07a2:60,{turn:08x}:40")),
                        ],
                        body: vec![b'x'; 300],
                    };
                    if send(name, *front, &asked, &record) == Some(200) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }));
        }
        Self { stops, served, threads }
    }

    fn stop(self) -> usize {
        self.stops.store(true, Ordering::Relaxed);
        for it in self.threads {
            let _ = it.join();
        }
        self.served.load(Ordering::Relaxed)
    }
}
