//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client with a connection for each
//! request.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, it)| it.as_str())
    }
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }
}

/// What a handler does with a request.
pub enum Action {
    Answer(Answer),
    /// The handler has written the answer.
    Answered,
    /// The connection is to be closed.
    Close,
}

pub type Handler = Arc<dyn Fn(Request, &TcpStream) -> Action + Send + Sync>;

/// Serves connections until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = std::thread::Builder::new().stack_size(256 << 10).spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        match handler(request, &stream) {
            Action::Close => return Ok(()),
            Action::Answered => {}
            Action::Answer(answer) => write_answer(&stream, &answer)?,
        }
    }
    Ok(())
}

pub fn write_answer(mut stream: &TcpStream, answer: &Answer) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {} X\r\ncontent-length: {}\r\n", answer.status, answer.body.len());
    for (name, value) in &answer.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&answer.body);
    stream.write_all(&bytes)
}

fn invalid(why: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, why.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> std::io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("header"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)], to_end: bool) -> std::io::Result<Vec<u8>> {
    let find = |name: &str| headers.iter().find(|(it, _)| it == name).map(|(_, it)| it.as_str());
    let mut body = Vec::new();
    if find("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = usize::from_str_radix(&read_line(reader)?, 16).map_err(|_| invalid("chunk"))?;
            if size == 0 {
                read_headers(reader)?;
                return Ok(body);
            }
            let from = body.len();
            body.resize(from + size, 0);
            reader.read_exact(&mut body[from..])?;
            read_line(reader)?;
        }
    }
    if let Some(length) = find("content-length") {
        body.resize(length.parse().map_err(|_| invalid("length"))?, 0);
        reader.read_exact(&mut body)?;
    } else if to_end {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(invalid("request line"));
    };
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Ok(Some(Request { method: method.to_owned(), target: target.to_owned(), headers, body }))
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(to: SocketAddr, request: &Request, timeout: Duration) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !request.body.is_empty() || request.method != "GET" {
        text.push_str(&format!("content-length: {}\r\n", request.body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&request.body);
    stream.write_all(&bytes)?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads an answer, without the informational ones before it.
pub fn read_answer(reader: &mut impl BufRead) -> std::io::Result<Answer> {
    loop {
        let line = read_line(reader)?;
        let status = line.split(' ').nth(1).and_then(|it| it.parse().ok()).ok_or_else(|| invalid("status"))?;
        let headers = read_headers(reader)?;
        if (100..200).contains(&status) {
            continue;
        }
        let body = read_body(reader, &headers, true)?;
        return Ok(Answer { status, headers, body });
    }
}
