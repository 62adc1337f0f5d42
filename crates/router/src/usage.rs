//! Reads the number of used tokens from answers.

use serde::Deserialize;

/// Length of the end of a stream that is searched for the usage and the last event.
const TAIL_BYTES: usize = 8 * 1024;
const DONE_EVENT: &[u8] = b"data: [DONE]";
const TOTAL_FIELD: &[u8] = b"\"total_tokens\":";

#[derive(Deserialize)]
struct AnswerFields {
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

/// Returns `usage.total_tokens` of a complete answer; `None` if the answer does not have it.
pub fn of_answer(body: &[u8]) -> Option<u64> {
    let parsed: AnswerFields = serde_json::from_slice(body).ok()?;
    parsed.usage.map(|it| it.total_tokens)
}

/// Splits a stream of server-sent events into complete events, and reads its usage and its end.
#[derive(Debug, Default)]
pub struct StreamReader {
    event_count: u64,
    /// Last [`TAIL_BYTES`] of the complete events.
    tail: Vec<u8>,
    /// Bytes after the last complete event.
    incomplete: Vec<u8>,
}

impl StreamReader {
    /// Adds a part of the stream and returns the complete events to forward; `None` if no event is complete.
    ///
    /// An incomplete event is buffered, so that an interrupted stream does not end within an event.
    pub fn push(&mut self, part: &[u8]) -> Option<Vec<u8>> {
        self.incomplete.extend_from_slice(part);
        let end = last_event_end(&self.incomplete)?;
        let remainder = self.incomplete.split_off(end);
        let complete = std::mem::replace(&mut self.incomplete, remainder);
        self.event_count += memchr::memmem::find_iter(&complete, b"data:").count() as u64;
        self.tail.extend_from_slice(&complete);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
        Some(complete)
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn incomplete_bytes(&self) -> usize {
        self.incomplete.len()
    }

    /// Whether the event `[DONE]` has been received, which ends a complete stream.
    pub fn is_done(&self) -> bool {
        // Matches only at the start of a line, because generated text may contain the same characters.
        let at = memchr::memmem::rfind_iter(&self.tail, DONE_EVENT);
        at.into_iter().any(|at| at == 0 || self.tail[at - 1] == b'\n')
    }

    /// Total number of tokens that the stream reports. If it reports none, estimates `prompt_tokens` plus one token per
    /// event.
    pub fn total_tokens(&self, prompt_tokens: u64) -> u64 {
        self.reported_tokens().unwrap_or(prompt_tokens + self.event_count)
    }

    fn reported_tokens(&self) -> Option<u64> {
        let at = memchr::memmem::rfind(&self.tail, TOTAL_FIELD)? + TOTAL_FIELD.len();
        let digits = self.tail[at..].trim_ascii_start();
        let end = digits.iter().position(|b| !b.is_ascii_digit()).unwrap_or(digits.len());
        std::str::from_utf8(&digits[..end]).ok()?.parse().ok()
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let after_lf = memchr::memmem::rfind(bytes, b"\n\n").map(|at| at + 2);
    let after_crlf = memchr::memmem::rfind(bytes, b"\n\r\n").map(|at| at + 3);
    after_lf.max(after_crlf)
}
