//! A runner: an engine that holds models and answers with event streams, or a plain service.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json;
use crate::record::{unix_ms, Record};
use crate::store::Store;

/// How a runner behaves.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Requests that it runs at once, and those that it queues beyond.
    pub slots: usize,
    pub queue: usize,
    /// Time between two events.
    pub event_ms: u64,
    /// Events of a stream.
    pub events: u64,
    /// Bytes of each event's data, by the number of the event.
    pub data: fn(u64) -> Vec<u8>,
    /// Event after which streams are preempted, and for how long.
    pub pause: Option<(u64, u64)>,
    /// Event after which the runner crashes.
    pub crash_after: Option<u64>,
    /// Whether it drops a request when its channel closes, as most runners do.
    pub drops: bool,
    pub models: Vec<&'static str>,
    /// Work of a plain service, in milliseconds; `None` for an engine.
    pub work_ms: Option<u64>,
    /// How many of how many requests a plain service answers with 503 although it has run them.
    pub fails: Option<(u64, u64)>,
    /// Whether the case itself writes the runner's entry in the store.
    pub writes_nothing: bool,
}

/// Number of events that a request asks for in its body; the runner's own number if it does not.
fn events_of(req: &Request, spec: &Spec) -> u64 {
    json::number(&String::from_utf8_lossy(&req.body), &["events"]).unwrap_or(spec.events)
}

pub struct Runner {
    pub spec: Spec,
    record: Record,
    store: Store,
    born: u64,
    /// Requests that are admitted, and those of them that run.
    admitted: Mutex<usize>,
    running: Mutex<usize>,
    orders: AtomicU64,
    held: Mutex<BTreeSet<String>>,
    is_down: Arc<AtomicBool>,
    sockets: Mutex<Vec<TcpStream>>,
    worked: AtomicU64,
}

impl Runner {
    pub fn start(spec: Spec, store: &Store, record: &Record) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(spec.address)?;
        let runner = Arc::new(Self {
            held: Mutex::new(spec.models.iter().map(|it| (*it).to_owned()).collect()),
            spec,
            record: record.clone(),
            store: store.clone(),
            born: unix_ms(),
            admitted: Mutex::default(),
            running: Mutex::default(),
            orders: AtomicU64::new(0),
            is_down: Arc::default(),
            sockets: Mutex::default(),
            worked: AtomicU64::new(0),
        });
        let serving = Arc::clone(&runner);
        let handler = Arc::new(move |req, stream: &mut TcpStream| serving.handle(req, stream));
        http::serve(listener, Arc::clone(&runner.is_down), handler)?;
        let beating = Arc::clone(&runner);
        std::thread::spawn(move || {
            let mut seq = 0;
            if beating.spec.writes_nothing {
                return;
            }
            while !beating.is_down.load(Ordering::SeqCst) {
                seq += 1;
                beating.store.put("servers", &beating.spec.id, &beating.entry(seq, "ready"));
                std::thread::sleep(Duration::from_millis(1_200));
            }
            // Three intervals of silence.
            std::thread::sleep(Duration::from_millis(2_400));
            beating.store.remove("servers", &beating.spec.id);
        });
        Ok(runner)
    }

    fn models(&self) -> String {
        let held = self.held.lock().unwrap();
        let models = held.iter().map(|it| format!("{{\"name\":\"{it}\",\"version\":1,\"adapters\":[]}}"));
        models.collect::<Vec<_>>().join(",")
    }

    /// The runner's entry in the store.
    pub fn entry(&self, seq: u64, state: &str) -> String {
        let Spec { service, address, zone, slots, .. } = &self.spec;
        let (models, born) = (self.models(), self.born);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"stage\":\"unified\",\"models\":[{models}],\"atHand\":{{\"inMemory\":[],\"onDisk\":[]}},\"seq\":{seq},\"born\":{born}}}"
        )
    }

    /// The process ends: all its channels close, and nothing listens any more.
    pub fn end(&self) {
        self.record.line(&format!("runner {} ends", self.spec.id));
        self.is_down.store(true, Ordering::SeqCst);
        for socket in self.sockets.lock().unwrap().iter() {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn handle(self: &Arc<Self>, req: Request, stream: &mut TcpStream) -> bool {
        if self.is_down.load(Ordering::SeqCst) {
            return false;
        }
        let expected = req.header("x-expect-instance");
        if expected.is_some_and(|it| it != self.spec.id) {
            return http::answer(stream, "421 Misdirected Request", &[("X-Instance-Id", &self.spec.id)], b"");
        }
        match req.path.as_str() {
            "/health" => return http::answer(stream, "200 OK", &[("X-Instance-Id", &self.spec.id)], b""),
            "/v1/report" => {
                let (models, seq) = (self.models(), self.orders.load(Ordering::SeqCst));
                let text = format!(
                    "{{\"stage\":\"unified\",\"models\":[{models}],\"busy\":false,\"seq\":{seq},\"queued\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":142642,\"handles\":0,\"atHand\":{{\"inMemory\":[],\"onDisk\":[]}},\"born\":{}}}",
                    self.running.lock().unwrap(),
                    self.born
                );
                return http::answer(stream, "200 OK", &[("Content-Type", "application/json")], text.as_bytes());
            }
            // No case needs an order; a runner may be carrying out another one.
            "/v1/order" => {
                self.record.line(&format!("runner {} got an order: {}", self.spec.id, String::from_utf8_lossy(&req.body)));
                return http::answer(stream, "409 Conflict", &[], b"");
            }
            _ => {}
        }
        if let Ok(socket) = stream.try_clone() {
            self.sockets.lock().unwrap().push(socket);
        }
        self.run(&req, stream)
    }

    fn run(self: &Arc<Self>, req: &Request, stream: &mut TcpStream) -> bool {
        let Spec { id, slots, queue, .. } = &self.spec;
        let attempt = req.header("x-attempt-id").unwrap_or("").to_owned();
        {
            let mut admitted = self.admitted.lock().unwrap();
            if *admitted >= slots + queue {
                self.record.line(&format!("runner {id} is full and rejects {attempt}"));
                return http::answer(stream, "503 Service Unavailable", &[("X-Not-Executed", "1"), ("X-Attempt-Id", &attempt)], b"");
            }
            *admitted += 1;
        }
        if !self.wait_for_slot(stream) {
            *self.admitted.lock().unwrap() -= 1;
            return false;
        }
        let from = req.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.record.line(&format!("runner {id} runs {attempt} after event {from}"));
        let is_open = match self.spec.work_ms {
            Some(work_ms) => self.work(&attempt, work_ms, stream),
            None => self.write_stream(req, &attempt, from, stream),
        };
        *self.running.lock().unwrap() -= 1;
        *self.admitted.lock().unwrap() -= 1;
        is_open
    }

    /// Waits in the queue; false if the channel closes meanwhile.
    fn wait_for_slot(&self, stream: &TcpStream) -> bool {
        loop {
            {
                let mut running = self.running.lock().unwrap();
                if *running < self.spec.slots {
                    *running += 1;
                    return true;
                }
            }
            if http::is_closed(stream) || self.is_down.load(Ordering::SeqCst) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn work(&self, attempt: &str, work_ms: u64, stream: &mut TcpStream) -> bool {
        std::thread::sleep(Duration::from_millis(work_ms));
        let seal = format!("{}.{attempt}", self.spec.id);
        let count = self.worked.fetch_add(1, Ordering::SeqCst);
        let fails = self.spec.fails.is_some_and(|(some, of)| (count * some) % of < some);
        let status = if fails { "503 Service Unavailable" } else { "200 OK" };
        self.record.line(&format!("runner {} has run {attempt} and answers {status}", self.spec.id));
        http::answer(stream, status, &[("X-Attempt-Id", attempt), ("X-Response-Seal", &seal)], &[b'y'; 800])
    }

    fn write_stream(&self, req: &Request, attempt: &str, from: u64, stream: &mut TcpStream) -> bool {
        let id = &self.spec.id;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {id}.{attempt}\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        let last = events_of(req, &self.spec);
        for event in from + 1..=last {
            let mut pause = Duration::from_millis(self.spec.event_ms);
            if let Some((_, pause_ms)) = self.spec.pause.filter(|(at, _)| *at + 1 == event) {
                self.record.line(&format!("runner {id} preempts {attempt} for {pause_ms} ms"));
                pause = Duration::from_millis(pause_ms);
            }
            let until = Instant::now() + pause;
            while Instant::now() < until {
                std::thread::sleep(Duration::from_millis(5).min(until.saturating_duration_since(Instant::now())));
                if self.is_down.load(Ordering::SeqCst) {
                    return false;
                }
                if is_open && http::is_closed(stream) {
                    is_open = false;
                    self.record.line(&format!("runner {id} sees that the channel of {attempt} is closed"));
                }
                if !is_open && self.spec.drops {
                    self.record.line(&format!("runner {id} drops {attempt}"));
                    return false;
                }
            }
            if !is_open {
                self.record.line(&format!("runner {id} works on {attempt}: event {event}"));
                continue;
            }
            let mut text = format!("id: {event}\ndata: ").into_bytes();
            text.extend((self.spec.data)(event));
            text.extend(b"\n\n");
            let mut chunk = format!("{:x}\r\n", text.len()).into_bytes();
            chunk.extend(&text);
            chunk.extend(b"\r\n");
            is_open = stream.write_all(&chunk).is_ok();
            if self.spec.crash_after == Some(event) {
                std::thread::sleep(Duration::from_millis(20));
                self.end();
                return false;
            }
        }
        self.record.line(&format!("runner {id} has finished {attempt}"));
        is_open && stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
