//! HTTP/1.1 over TCP, as far as the stand-ins speak it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Request that a stand-in has read whole.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// Serves connections, each in a thread of its own, until `has_ended`; nothing listens from then on. The handler answers on
/// the socket and returns whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    has_ended: Arc<AtomicBool>,
    handler: Arc<dyn Fn(Request, &mut TcpStream) -> bool + Send + Sync>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    std::thread::spawn(move || {
        while !has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handler(request, &mut writer) {
                        break;
                    }
                }
            });
        }
    });
    Ok(())
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = find(&headers, "content-length").and_then(|it| it.parse().ok()) {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, path, headers, body }))
}

/// Next chunk of a body; `None` at its regular end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim_end().split(';').next().unwrap_or(""), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    if size == 0 {
        let mut end = String::new();
        reader.read_line(&mut end)?;
        return Ok(None);
    }
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(Some(chunk))
}

pub fn answer(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Status of a call; `None` without an answer.
pub fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
    let (first, _) = read_head(&mut BufReader::new(stream)).ok()??;
    first.split(' ').nth(1)?.parse().ok()
}

/// Whether the other side has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}
