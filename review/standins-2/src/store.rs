//! Stand-in of the platform's store, by the pages: objects by kind and name, one counter of revisions, conditional
//! writes, lists and watches. It answers after 4 ms.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Action, Answer, Request, serve};
use crate::json::Json;

/// Time of an answer of a sound store.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Stored {
    revision: u64,
    created: u64,
    spec: Json,
}

struct Change {
    revision: u64,
    kind: String,
    name: String,
    object: Json,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    history: Vec<Change>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn number(it: u64) -> Json {
    Json::Number(it.to_string())
}

fn object(name: &str, it: &Stored) -> Json {
    let metadata = vec![
        ("name".to_owned(), Json::Text(name.to_owned())),
        ("revision".to_owned(), number(it.revision)),
        ("created".to_owned(), number(it.created)),
        ("finalizers".to_owned(), Json::List(Vec::new())),
        ("deleting".to_owned(), Json::Bool(false)),
    ];
    Json::Object(vec![
        ("metadata".to_owned(), Json::Object(metadata)),
        ("spec".to_owned(), it.spec.clone()),
        ("status".to_owned(), Json::Null),
    ])
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(it) = self.objects.get(&key).filter(|it| it.spec == spec) {
            return object(name, it);
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |it| it.created);
        let stored = Stored { revision: self.revision, created, spec };
        let value = object(name, &stored);
        self.objects.insert(key, stored);
        self.change(kind, name, value.clone(), false);
        value
    }

    fn remove(&mut self, kind: &str, name: &str) -> Option<Json> {
        let mut stored = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        stored.revision = self.revision;
        let value = object(name, &stored);
        self.change(kind, name, value.clone(), true);
        Some(value)
    }

    fn change(&mut self, kind: &str, name: &str, object: Json, deleted: bool) {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.history.push(Change { revision: self.revision, kind, name, object, deleted });
    }

    fn handle(&mut self, request: &Request, kind: &str, name: Option<&str>, query: &BTreeMap<&str, &str>) -> Answer {
        let body = std::str::from_utf8(&request.body).ok().and_then(Json::parse).unwrap_or(Json::Null);
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let metadata = body.get("metadata");
        let stored = |name: &str| self.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let json =
            |status: u16, it: &Json| Answer::new(status, it.to_string()).with("content-type", "application/json");
        match (request.method.as_str(), name) {
            ("GET", None) => {
                let after = query.get("after").copied().unwrap_or_default();
                let items = self.objects.iter().filter(|((of, name), _)| of == kind && name.as_str() > after);
                let items: Vec<Json> = items.map(|((_, name), it)| object(name, it)).collect();
                let page = vec![
                    ("items".to_owned(), Json::List(items)),
                    ("truncated".to_owned(), Json::Bool(false)),
                    ("currentRev".to_owned(), number(self.revision)),
                ];
                json(200, &Json::Object(page))
            }
            ("GET", Some(name)) => match stored(name) {
                Some(it) => json(200, &object(name, &it)),
                None => Answer::new(404, ""),
            },
            ("POST", None) => {
                let Some(name) = metadata.and_then(|it| it.get("name")).and_then(Json::text).map(str::to_owned) else {
                    return Answer::new(400, "");
                };
                match stored(&name) {
                    Some(it) => json(409, &object(&name, &it)),
                    None => json(201, &self.put(kind, &name, spec)),
                }
            }
            ("PUT", Some(name)) => {
                let expected = metadata.and_then(|it| it.get("revision")).and_then(Json::number);
                match stored(name) {
                    None => Answer::new(404, ""),
                    Some(it) if expected.is_some_and(|expected| expected != it.revision) => {
                        json(409, &object(name, &it))
                    }
                    Some(_) => json(200, &self.put(kind, name, spec)),
                }
            }
            ("DELETE", Some(name)) => match self.remove(kind, name) {
                Some(it) => json(200, &it),
                None => Answer::new(404, ""),
            },
            _ => Answer::new(405, ""),
        }
    }

    fn events(&self, kind: &str, since: u64) -> Option<Answer> {
        let changes: Vec<&Change> = self.history.iter().filter(|it| it.kind == kind && it.revision > since).collect();
        if changes.is_empty() {
            return None;
        }
        Some(self.watch_answer(&changes))
    }

    fn watch_answer(&self, changes: &[&Change]) -> Answer {
        // The last change of each object is enough.
        let is_last = |at: usize| !changes[at + 1..].iter().any(|it| it.name == changes[at].name);
        let last = (0..changes.len()).filter(|at| is_last(*at)).map(|at| changes[at]);
        let events: Vec<Json> = last
            .map(|it| {
                Json::Object(vec![
                    ("deleted".to_owned(), Json::Bool(it.deleted)),
                    ("object".to_owned(), it.object.clone()),
                ])
            })
            .collect();
        let answer = Json::Object(vec![
            ("events".to_owned(), Json::List(events)),
            ("currentRev".to_owned(), number(self.revision)),
        ]);
        Answer::new(200, answer.to_string()).with("content-type", "application/json")
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = State { revision: 10, ..State::default() };
        let store = Self { shared: Arc::new((Mutex::new(state), Condvar::new())), address };
        let handler = store.clone();
        serve(listener, Arc::new(move |request, _| Action::Answer(handler.handle(&request))));
        Ok(store)
    }

    /// Writes an object as the operator or a backend server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).unwrap_or_else(|| panic!("spec of {kind}/{name}"));
        self.shared.0.lock().unwrap().put(kind, name, spec);
        self.shared.1.notify_all();
    }

    /// Spec of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.shared.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|it| it.spec.clone())
    }

    fn handle(&self, request: &Request) -> Answer {
        let (lock, changed) = &*self.shared;
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|it| it.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return Answer::new(404, "");
        };
        let (kind, name) = path.split_once('/').map_or((path, None), |(kind, name)| (kind, Some(name)));
        if request.method != "GET" || !query.contains_key("watch") {
            std::thread::sleep(ANSWER / 2);
            let answer = lock.lock().unwrap().handle(request, kind, name, &query);
            changed.notify_all();
            std::thread::sleep(ANSWER / 2);
            return answer;
        }
        let since: u64 = query["watch"].parse().unwrap_or(0);
        let wait: u64 = query.get("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = lock.lock().unwrap();
        let answer = loop {
            if let Some(answer) = state.events(kind, since) {
                break answer;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break state.watch_answer(&[]);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        };
        drop(state);
        std::thread::sleep(ANSWER);
        answer
    }
}
