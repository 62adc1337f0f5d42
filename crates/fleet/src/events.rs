//! Splits an event stream into complete events.
//!
//! Only complete events are passed on, because a stream that is resumed at another backend server continues after the
//! last complete event, and a server may stop in the middle of one.

/// Largest event, in bytes; a larger one is treated as a fault of the server. Engines send a few tokens in an event, and
/// a server may send an event without end on each of its connections.
pub const MAX_EVENT_BYTES: usize = 1 << 16;

/// Incremental splitter for the bytes of one event stream.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: Vec<u8>,
    last_id: Option<String>,
}

impl Splitter {
    /// Appends received bytes and returns all events that are complete now; empty if there is none.
    ///
    /// # Errors
    ///
    /// Returns the size in bytes of an incomplete event that exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, usize> {
        let scanned = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.rest, scanned) else {
            if self.rest.len() > MAX_EVENT_BYTES {
                return Err(self.rest.len());
            }
            return Ok(Vec::new());
        };
        let tail = self.rest.split_off(end);
        let complete = std::mem::replace(&mut self.rest, tail);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Id of the last complete event that has one; `None` before the first.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Bytes received of an event that is not complete yet.
    pub fn rest(&self) -> &[u8] {
        &self.rest
    }

    /// Drops an incomplete event before the stream is resumed at another server.
    pub fn discard_rest(&mut self) {
        self.rest.clear();
    }
}

/// Whether complete events include one with data. Comments, which servers may send to keep a connection open, and empty
/// lines are no progress of a stream.
pub fn has_data(events: &[u8]) -> bool {
    let mut lines = events.split(|it| matches!(it, b'\n' | b'\r'));
    lines.any(|line| line.starts_with(b"data"))
}

/// End of the last blank line that starts at or after `from`.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for at in from..bytes.len() {
        let window = &bytes[at..];
        if window.starts_with(b"\n\n") || window.starts_with(b"\r\r") {
            end = Some(at + 2);
        } else if window.starts_with(b"\n\r\n") {
            end = Some(at + 3);
        }
    }
    end
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let lines = text.rsplit(['\n', '\r']);
    let mut ids = lines.filter_map(|line| line.strip_prefix("id:"));
    ids.next().map(|id| id.trim().to_owned())
}
