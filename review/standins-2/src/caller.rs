//! Requesters: each request on a channel of its own, with an id of its own.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Request, call};
use crate::record::Record;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

static NEXT: AtomicU64 = AtomicU64::new(1);

pub struct Asked<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub deadline: Duration,
    /// Headers beside those of all requests.
    pub headers: Vec<(&'a str, String)>,
    pub body: Vec<u8>,
}

/// Sends a request and waits for its answer until its deadline. Returns the status; `None` for no complete answer.
pub fn send(node: &str, to: SocketAddr, asked: &Asked<'_>, record: &Record) -> Option<u16> {
    let attempt = format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let mut headers = vec![
        ("host".to_owned(), HOST.to_owned()),
        ("x-attempt-id".to_owned(), attempt.clone()),
        ("x-deadline-ms".to_owned(), asked.deadline.as_millis().to_string()),
        ("authorization".to_owned(), format!("Bearer {KEY}")),
    ];
    headers.extend(asked.headers.iter().map(|(name, value)| ((*name).to_owned(), value.clone())));
    let request = Request {
        method: asked.method.to_owned(),
        target: format!("{}{}", asked.path, attempt),
        headers,
        body: asked.body.clone(),
    };
    record.note(format!("request {attempt} is sent to {node}: {} {}", asked.method, asked.path));
    let answer = call(to, &request, asked.deadline + Duration::from_millis(500));
    let text = match &answer {
        Ok(it) => format!("request {attempt} at {node} is answered {}", it.status),
        Err(e) => format!("request {attempt} at {node} has no answer: {e}"),
    };
    record.note(text);
    answer.ok().map(|it| it.status)
}
