//! Stand-in of a model engine, by the pages: it carries out orders and answers with streams.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Action, Answer, Request, serve};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Order that a server has received.
#[derive(Clone, Debug)]
pub struct Order {
    pub server: String,
    pub owner: String,
    pub token: u64,
    pub at: f64,
}

/// What all servers of a case have seen.
#[derive(Clone, Default)]
pub struct Seen {
    pub orders: Arc<Mutex<Vec<Order>>>,
}

/// Time of a load of a model.
const LOAD: Duration = Duration::from_secs(6);

#[derive(Default)]
struct Engine {
    /// Models with their adapters.
    held: BTreeMap<String, BTreeSet<String>>,
    orders: u64,
    /// Model that is being loaded, and until when.
    loading: Option<(String, Instant)>,
}

impl Engine {
    fn settle(&mut self) {
        if let Some((model, _)) = self.loading.take_if(|(_, until)| *until <= Instant::now()) {
            self.held.entry(model).or_default();
        }
    }

    fn models(&self) -> String {
        let models = self.held.iter().map(|(name, adapters)| {
            let adapters: Vec<String> = adapters.iter().map(|it| format!("\"{it}\"")).collect();
            format!(r#"{{"name":"{name}","version":1,"adapters":[{}]}}"#, adapters.join(","))
        });
        models.collect::<Vec<String>>().join(",")
    }

    /// Carries an order out; the status of its answer.
    fn carry_out(&mut self, operation: &str, model: &str, adapter: &str) -> u16 {
        if adapter.is_empty() {
            if self.loading.is_some() {
                return 409;
            }
            if (operation == "load") == self.held.contains_key(model) {
                return 200;
            }
            if operation == "load" {
                self.loading = Some((model.to_owned(), Instant::now() + LOAD));
            } else {
                self.held.remove(model);
            }
            self.orders += 1;
            return 202;
        }
        let Some(adapters) = self.held.get_mut(model) else {
            return 400;
        };
        let (is_change, status) = match operation {
            "load" if adapters.insert(adapter.to_owned()) => (true, 202),
            "unload" if adapters.remove(adapter) => (true, 200),
            _ => (false, 200),
        };
        self.orders += u64::from(is_change);
        status
    }
}

struct Inner {
    id: String,
    work: Duration,
    born_ms: u64,
    /// Events of a stream, and the time between them.
    events: (u32, Duration),
    engine: Mutex<Engine>,
    record: Record,
    seen: Seen,
}

#[derive(Clone)]
pub struct Server(Arc<Inner>);

pub struct Spec<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    /// Time that a request takes.
    pub work: Duration,
    pub slots: u32,
    /// Model that the engine holds.
    pub model: &'a str,
    /// Events of a stream, and the time between them.
    pub events: (u32, Duration),
}

impl Server {
    /// Starts a server and writes its entry into the store.
    pub fn start(spec: &Spec<'_>, store: &Store, record: &Record, seen: &Seen) -> std::io::Result<Self> {
        let listener = TcpListener::bind(spec.address)?;
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64);
        let server = Self(Arc::new(Inner {
            id: spec.id.to_owned(),
            work: spec.work,
            born_ms,
            events: spec.events,
            engine: Mutex::new(Engine { held: [(spec.model.to_owned(), BTreeSet::new())].into(), ..Engine::default() }),
            record: record.clone(),
            seen: seen.clone(),
        }));
        let model = spec.model;
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","coldLeftMs":0,"seq":1,"born":{born_ms},"stage":"unified","models":[{{"name":"{model}","version":1,"adapters":[]}}],"atHand":{{"inMemory":["{model}"],"onDisk":["{model}"]}}}}"#,
            spec.service, spec.address, spec.zone, spec.slots
        );
        store.put("servers", spec.id, &entry);
        let handling = server.clone();
        serve(listener, Arc::new(move |request, stream| handling.handle(&request, stream)));
        Ok(server)
    }

    fn handle(&self, request: &Request, stream: &TcpStream) -> Action {
        let inner = &*self.0;
        if request.header("x-expect-instance").is_some_and(|it| it != inner.id) {
            return Action::Answer(Answer::new(421, "").with("x-instance-id", &inner.id));
        }
        match (request.method.as_str(), request.target.as_str()) {
            ("GET", "/health") => Action::Answer(Answer::new(200, "").with("x-instance-id", &inner.id)),
            ("GET", "/v1/report") => Action::Answer(self.report()),
            ("POST", "/v1/order") => Action::Answer(self.order(request)),
            _ => self.run(request, stream),
        }
    }

    fn report(&self) -> Answer {
        let mut engine = self.0.engine.lock().unwrap();
        engine.settle();
        let text = format!(
            r#"{{"stage":"unified","models":[{}],"busy":{},"seq":{},"queued":0,"running":0,"kvUsed":0,"kvTotal":140000,"handles":0,"born":{},"coming":[],"atHand":{{"inMemory":[],"onDisk":[]}}}}"#,
            engine.models(),
            engine.loading.is_some(),
            engine.orders,
            self.0.born_ms
        );
        Answer::new(200, text).with("content-type", "application/json")
    }

    fn order(&self, request: &Request) -> Answer {
        let inner = &*self.0;
        let body = std::str::from_utf8(&request.body).ok().and_then(Json::parse).unwrap_or(Json::Null);
        let text = |name: &str| body.get(name).and_then(Json::text).unwrap_or_default().to_owned();
        let (owner, token) = (text("owner"), body.get("fencingToken").and_then(Json::number));
        let Some(token) = token.filter(|_| !owner.is_empty()) else {
            return Answer::new(400, "");
        };
        let (operation, adapter) = (text("operation"), text("adapter"));
        let expected = body.get("expected").and_then(Json::number);
        let mut engine = inner.engine.lock().unwrap();
        engine.settle();
        let status = if expected.is_some_and(|it| it != engine.orders) {
            409
        } else {
            engine.carry_out(&operation, &text("model"), &adapter)
        };
        drop(engine);
        let (server, model) = (inner.id.clone(), text("model"));
        let at = inner.record.note(format!(
            "server {server} gets an order of {owner}, fence {token}: {operation} {model} {adapter}, answered {status}"
        ));
        inner.seen.orders.lock().unwrap().push(Order { server, owner, token, at });
        Answer::new(status, "")
    }

    fn run(&self, request: &Request, stream: &TcpStream) -> Action {
        let inner = &*self.0;
        let Some(attempt) = request.header("x-attempt-id").map(str::to_owned) else {
            return Action::Answer(Answer::new(400, "").with("x-not-executed", 1));
        };
        let wanted = request.header("x-model").unwrap_or_default();
        let (model, adapter) = wanted.split_once('/').unwrap_or((wanted, ""));
        let holds = {
            let mut engine = inner.engine.lock().unwrap();
            engine.settle();
            engine.held.get(model).is_some_and(|it| adapter.is_empty() || it.contains(adapter))
        };
        if !holds {
            return Action::Answer(Answer::new(421, "").with("x-attempt-id", &attempt));
        }
        inner.record.note(format!("server {} begins to run {attempt}", inner.id));
        std::thread::sleep(inner.work);
        let answer = Answer::new(200, "")
            .with("x-attempt-id", &attempt)
            .with("x-response-seal", format!("seal.{}.{attempt}", inner.id));
        let after = request.header("last-event-id").and_then(|it| it.trim().parse().ok()).unwrap_or(0);
        match self.stream(&answer, &attempt, after, stream) {
            Ok(()) => Action::Answered,
            Err(_) => Action::Close,
        }
    }

    /// Sends the events after the one that the requester has received last.
    fn stream(&self, answer: &Answer, attempt: &str, after: u32, mut to: &TcpStream) -> std::io::Result<()> {
        let mut head = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n".to_owned();
        for (name, value) in &answer.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        to.write_all(format!("{head}\r\n").as_bytes())?;
        let (count, pause) = self.0.events;
        for id in after + 1..=count {
            let event = format!("id: {id}\ndata: {attempt} piece {id}\n\n");
            to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(pause);
        }
        to.write_all(b"0\r\n\r\n")
    }
}
