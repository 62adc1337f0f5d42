//! A client that sends one request on a channel of its own and notes what it gets.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// Request to be sent.
#[derive(Clone)]
pub struct Call {
    pub to: SocketAddr,
    pub id: String,
    pub method: &'static str,
    pub path: &'static str,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
}

/// What the client got.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    pub id: String,
    pub status: Option<u16>,
    /// Ids of the events, in order.
    pub events: Vec<u64>,
    pub body: usize,
    /// Whether the answer has its regular end.
    pub is_complete: bool,
    pub ended_ms: u64,
}

pub fn send(call: Call, record: &Record) -> JoinHandle<Outcome> {
    let record = record.clone();
    std::thread::spawn(move || {
        record.line(&format!("client sends {} to {}", call.id, call.to));
        let mut outcome = Outcome { id: call.id.clone(), ..Outcome::default() };
        let result = exchange(&call, &mut outcome);
        outcome.ended_ms = record.ms();
        let why = result.err().map_or_else(|| "-".to_owned(), |e| e.to_string());
        record.line(&format!(
            "client got for {}: status {:?}, {} events, last {:?}, {} bytes, complete {}, error {why}",
            outcome.id, outcome.status, outcome.events.len(), outcome.events.last(), outcome.body, outcome.is_complete
        ));
        outcome
    })
}

fn exchange(call: &Call, outcome: &mut Outcome) -> std::io::Result<()> {
    let stream = TcpStream::connect_timeout(&call.to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms + 1_000)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    request_on(&stream, &mut reader, call, outcome)
}

fn request_on(
    mut stream: &TcpStream,
    reader: &mut BufReader<TcpStream>,
    call: &Call,
    outcome: &mut Outcome,
) -> std::io::Result<()> {
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n",
        call.method, call.path, crate::system::HOST, call.id, call.deadline_ms, crate::system::KEY
    );
    for (name, value) in &call.headers {
        head += &format!("{name}: {value}\r\n");
    }
    if call.method != "GET" {
        head += &format!("Content-Length: {}\r\n", call.body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend(&call.body);
    stream.write_all(&bytes)?;
    let Some((first, headers)) = http::read_head(reader)? else {
        return Ok(());
    };
    outcome.status = first.split(' ').nth(1).and_then(|it| it.parse().ok());
    if http::find(&headers, "transfer-encoding").is_some() {
        let mut text = Vec::new();
        while let Some(chunk) = http::read_chunk(reader)? {
            outcome.body += chunk.len();
            text.extend(chunk);
            while let Some(end) = text.windows(2).position(|it| it == b"\n\n") {
                let event: Vec<u8> = text.drain(..end + 2).collect();
                let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id: "));
                let id: Option<u64> = line.and_then(|it| std::str::from_utf8(it).ok()?.parse().ok());
                outcome.events.extend(id);
            }
        }
        outcome.is_complete = true;
    } else {
        let length = http::find(&headers, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        outcome.body = length;
        outcome.is_complete = true;
    }
    Ok(())
}
