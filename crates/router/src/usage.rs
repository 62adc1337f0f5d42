//! Tokens that an answer used, read from the answer itself.

use serde::Deserialize;

const TAIL_BYTES: usize = 8 * 1024;
const DONE_EVENT: &[u8] = b"data: [DONE]";
const TOTAL_FIELD: &[u8] = b"\"total_tokens\":";

#[derive(Deserialize)]
struct WithUsage {
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

/// Tokens that a whole answer states.
pub fn of_whole(body: &[u8]) -> Option<u64> {
    let parsed: WithUsage = serde_json::from_slice(body).ok()?;
    parsed.usage.map(|it| it.total_tokens)
}

/// Reads usage and end of a stream of server-sent events.
#[derive(Debug, Default)]
pub struct StreamReader {
    events: u64,
    tail: Vec<u8>,
    held: Vec<u8>,
}

impl StreamReader {
    /// Takes in a part and returns the whole events that can be passed on.
    ///
    /// An incomplete event is held back, so that a cut stream does not end in half an event.
    pub fn take(&mut self, part: &[u8]) -> Option<Vec<u8>> {
        self.held.extend_from_slice(part);
        let end = last_event_end(&self.held)?;
        let rest = self.held.split_off(end);
        let whole = std::mem::replace(&mut self.held, rest);
        self.events += memchr::memmem::find_iter(&whole, b"data:").count() as u64;
        self.tail.extend_from_slice(&whole);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
        Some(whole)
    }

    /// Bytes of an incomplete event.
    pub fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// Whether the stream has had its last event.
    pub fn is_done(&self) -> bool {
        // Only at the start of a line: generated text may contain the same characters.
        let at = memchr::memmem::rfind_iter(&self.tail, DONE_EVENT);
        at.into_iter().any(|at| at == 0 || self.tail[at - 1] == b'\n')
    }

    /// Tokens that the stream states, or the prompt plus one token per event.
    pub fn total_tokens(&self, prompt_tokens: u64) -> u64 {
        self.stated().unwrap_or(prompt_tokens + self.events)
    }

    fn stated(&self) -> Option<u64> {
        let at = memchr::memmem::rfind(&self.tail, TOTAL_FIELD)? + TOTAL_FIELD.len();
        let digits = self.tail[at..].trim_ascii_start();
        let end = digits.iter().position(|b| !b.is_ascii_digit()).unwrap_or(digits.len());
        std::str::from_utf8(&digits[..end]).ok()?.parse().ok()
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = memchr::memmem::rfind(bytes, b"\n\n").map(|at| at + 2);
    let with_return = memchr::memmem::rfind(bytes, b"\n\r\n").map(|at| at + 3);
    plain.max(with_return)
}
