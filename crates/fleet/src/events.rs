//! Splits an event stream into whole events.
//!
//! Only whole events are passed on, because a stream that is resumed at another backend server goes on after the last
//! whole event, and a server may stop in the middle of one.

/// Bytes of one event; an event that is larger is taken for a fault of the server.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Incremental splitter.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: Vec<u8>,
    last_id: Option<String>,
}

impl Splitter {
    /// Adds bytes and returns those that end the events that are now whole.
    ///
    /// # Errors
    ///
    /// Returns the size of an unfinished event that is over the limit.
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
        let whole = std::mem::replace(&mut self.rest, tail);
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(whole)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Bytes of an event that is not whole.
    pub fn rest(&self) -> &[u8] {
        &self.rest
    }

    /// Drops an unfinished event, before the stream goes on at another server.
    pub fn discard_rest(&mut self) {
        self.rest.clear();
    }
}

/// End of the last blank line at or after `from`.
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
