//! The platform's metadata store: objects by kind and name, one revision counter, conditional writes and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    history: Vec<(u64, String, String, String, bool)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = self.objects.get(&key) {
            if known == spec {
                return object(name, *revision, known);
            }
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, spec.to_owned()));
        let text = object(name, self.revision, spec);
        self.history.push((self.revision, kind.to_owned(), name.to_owned(), text.clone(), false));
        text
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some((_, spec)) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let text = object(name, self.revision, &spec);
        self.history.push((self.revision, kind.to_owned(), name.to_owned(), text, true));
        true
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        store.0 .0.lock().unwrap().revision = 100;
        let serving = store.clone();
        let handler = Arc::new(move |req, stream: &mut TcpStream| serving.handle(req, stream));
        http::serve(TcpListener::bind(address)?, Arc::default(), handler)?;
        Ok(store)
    }

    /// Writes an object as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.0 .0.lock().unwrap().put(kind, name, spec);
        self.0 .1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.0 .0.lock().unwrap().remove(kind, name);
        self.0 .1.notify_all();
    }

    fn handle(&self, req: Request, stream: &mut TcpStream) -> bool {
        let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
        let param = |name: &str| query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='));
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return http::answer(stream, "404 Not Found", &[], b"{}");
        };
        let (kind, name) = path.split_once('/').map_or((path, None), |(kind, name)| (kind, Some(name)));
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let spec = json::get(&body, &["spec"]).unwrap_or("null").to_owned();
        if let Some(since) = param("watch") {
            let wait = param("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
            let text = self.watch(kind, since.parse().unwrap_or(0), Duration::from_millis(wait));
            return reply(stream, "200 OK", &text);
        }
        let mut state = self.0 .0.lock().unwrap();
        let key = |name: &str| (kind.to_owned(), name.to_owned());
        let (status, text) = match (req.method.as_str(), name) {
            ("GET", None) => {
                let after = param("after").unwrap_or("");
                let items: Vec<String> = state
                    .objects
                    .iter()
                    .filter(|((it, name), _)| it == kind && name.as_str() > after)
                    .map(|((_, name), (revision, spec))| object(name, *revision, spec))
                    .collect();
                let items = items.join(",");
                ("200 OK", format!("{{\"items\":[{items}],\"truncated\":false,\"currentRev\":{}}}", state.revision))
            }
            ("GET", Some(name)) => match state.objects.get(&key(name)) {
                Some((revision, spec)) => ("200 OK", object(name, *revision, spec)),
                None => ("404 Not Found", "{}".to_owned()),
            },
            ("POST", None) => {
                let name = json::string(&body, &["metadata", "name"]).unwrap_or_default();
                match state.objects.get(&key(&name)) {
                    Some((revision, spec)) => ("409 Conflict", object(&name, *revision, spec)),
                    None => ("201 Created", state.put(kind, &name, &spec)),
                }
            }
            ("PUT", Some(name)) => match state.objects.get(&key(name)).cloned() {
                None => ("404 Not Found", "{}".to_owned()),
                Some((revision, known)) => {
                    let expected = json::number(&body, &["metadata", "revision"]);
                    if expected.is_some_and(|it| it != revision) {
                        ("409 Conflict", object(name, revision, &known))
                    } else {
                        ("200 OK", state.put(kind, name, &spec))
                    }
                }
            },
            ("DELETE", Some(name)) => {
                let name = name.to_owned();
                if state.remove(kind, &name) {
                    ("200 OK", "{}".to_owned())
                } else {
                    ("404 Not Found", "{}".to_owned())
                }
            }
            _ => ("405 Method Not Allowed", "{}".to_owned()),
        };
        drop(state);
        self.0 .1.notify_all();
        reply(stream, status, &text)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.0 .0.lock().unwrap();
        loop {
            let mut events: BTreeMap<&str, String> = BTreeMap::new();
            for (_, _, name, text, is_deleted) in state.history.iter().filter(|it| it.0 > since && it.1 == kind) {
                events.insert(name, format!("{{\"deleted\":{is_deleted},\"object\":{text}}}"));
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events: Vec<String> = events.into_values().collect();
                return format!("{{\"events\":[{}],\"currentRev\":{}}}", events.join(","), state.revision);
            }
            state = self.0 .1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn reply(stream: &mut TcpStream, status: &str, text: &str) -> bool {
    http::answer(stream, status, &[("Content-Type", "application/json")], text.as_bytes())
}
