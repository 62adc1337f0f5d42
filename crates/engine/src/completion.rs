//! Requests and answers of the OpenAI-compatible API.
//!
//! The text of an answer depends only on the request id and the number of tokens. It begins with the request id, so
//! that a test can detect an answer that was delivered to the wrong request.

use std::borrow::Cow;
use std::io::Write as _;

use bytes::{BufMut as _, Bytes, BytesMut};
use serde::Deserialize;

/// Number of bytes of text that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of tokens in one answer, whatever the request asks for.
const MAX_COMPLETION_TOKENS: u32 = 1_000_000;

/// Endpoint that a request was sent to; it decides the JSON format of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Chat,
    Text,
}

#[derive(Debug, Deserialize)]
pub(crate) struct CompletionRequest<'a> {
    #[serde(borrow)]
    pub(crate) model: Cow<'a, str>,
    #[serde(borrow, default)]
    messages: Vec<Message<'a>>,
    #[serde(borrow)]
    prompt: Option<Text<'a>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
    stream_options: Option<StreamOptions>,
    /// Requests with a higher priority leave the queue first.
    #[serde(default)]
    pub(crate) priority: i64,
}

#[derive(Debug, Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    content: Option<Text<'a>>,
}

#[derive(Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Text<'a> {
    Plain(#[serde(borrow)] Cow<'a, str>),
    Other(serde_json::Value),
}

impl Text<'_> {
    fn as_text(&self) -> Cow<'_, str> {
        match self {
            Self::Plain(text) => Cow::Borrowed(text),
            Self::Other(value) => Cow::Owned(value.to_string()),
        }
    }
}

impl CompletionRequest<'_> {
    /// Text of all messages and of the prompt, concatenated.
    pub(crate) fn prompt_text(&self) -> Cow<'_, str> {
        let mut texts = self
            .messages
            .iter()
            .filter_map(|message| message.content.as_ref())
            .chain(&self.prompt);
        let first = texts.next().map(Text::as_text).unwrap_or_default();
        texts.fold(first, |all, text| all + text.as_text())
    }

    /// Returns the number of tokens to generate, and whether the request sets a limit. Without one, `default` applies.
    pub(crate) fn token_count(&self, default: u32) -> (u32, bool) {
        let limit = self.max_completion_tokens.or(self.max_tokens);
        (limit.unwrap_or(default).min(MAX_COMPLETION_TOKENS), limit.is_some())
    }

    pub(crate) fn includes_usage(&self) -> bool {
        self.stream_options
            .as_ref()
            .is_some_and(|options| options.include_usage)
    }
}

/// Number of tokens in `text`, rounded up.
pub(crate) fn count_tokens(text: &str) -> usize {
    text.len().div_ceil(BYTES_PER_TOKEN)
}

/// Everything that determines the answer to a completion request.
#[derive(Debug)]
pub(crate) struct Completion {
    pub(crate) endpoint: Endpoint,
    pub(crate) request_id: String,
    /// Time of the request in seconds since the Unix epoch.
    pub(crate) created: u64,
    pub(crate) model: String,
    pub(crate) prompt_tokens: usize,
    pub(crate) cached_tokens: usize,
    /// Number of tokens to generate.
    pub(crate) tokens: u32,
    /// Whether the request set a token limit, which the answer then reaches.
    pub(crate) has_token_limit: bool,
    /// Whether a streamed answer ends with an event about token usage.
    pub(crate) includes_usage: bool,
}

impl Completion {
    /// Appends the text of one token, escaped for use within a JSON string.
    fn put_token(&self, buf: &mut BytesMut, index: u32) {
        if index == 0 {
            put_escaped(buf, &self.request_id);
        } else {
            // Writing to a memory buffer cannot fail.
            let _ = write!(buf.writer(), " {index}");
        }
    }

    fn put_usage(&self, buf: &mut BytesMut) {
        let total = self.prompt_tokens + self.tokens as usize;
        let _ = write!(
            buf.writer(),
            "\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{total},\
             \"prompt_tokens_details\":{{\"cached_tokens\":{}}}}}",
            self.prompt_tokens,
            self.tokens,
            self.cached_tokens
        );
    }

    /// Opens the JSON object and appends the fields that all answers and events have.
    fn put_common_fields(&self, buf: &mut BytesMut, object: &str) {
        let id_prefix = match self.endpoint {
            Endpoint::Chat => "chatcmpl-",
            Endpoint::Text => "cmpl-",
        };
        buf.put_slice(b"{\"id\":\"");
        buf.put_slice(id_prefix.as_bytes());
        put_escaped(buf, &self.request_id);
        buf.put_slice(b"\",\"object\":\"");
        buf.put_slice(object.as_bytes());
        // Writing to a memory buffer cannot fail.
        let _ = write!(buf.writer(), "\",\"created\":{},\"model\":\"", self.created);
        put_escaped(buf, &self.model);
        buf.put_slice(b"\",");
    }

    fn finish_reason(&self) -> &'static str {
        if self.has_token_limit { "length" } else { "stop" }
    }

    fn chunk_object(&self) -> &'static str {
        match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        }
    }

    /// Body of an answer that is not streamed.
    pub(crate) fn whole_body(&self) -> Bytes {
        let mut buf = BytesMut::with_capacity(384 + 8 * self.tokens as usize);
        let (object, open, close) = match self.endpoint {
            Endpoint::Chat => (
                "chat.completion",
                "\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"",
                "\"},\"finish_reason\":\"",
            ),
            Endpoint::Text => (
                "text_completion",
                "\"choices\":[{\"index\":0,\"text\":\"",
                "\",\"finish_reason\":\"",
            ),
        };
        self.put_common_fields(&mut buf, object);
        buf.put_slice(open.as_bytes());
        (0..self.tokens).for_each(|index| self.put_token(&mut buf, index));
        buf.put_slice(close.as_bytes());
        buf.put_slice(self.finish_reason().as_bytes());
        buf.put_slice(b"\"}],");
        self.put_usage(&mut buf);
        buf.put_slice(b"}");
        buf.freeze()
    }

    /// Appends the stream event for one token.
    pub(crate) fn put_token_event(&self, buf: &mut BytesMut, index: u32) {
        let (open, close) = match self.endpoint {
            Endpoint::Chat => (
                "\"choices\":[{\"index\":0,\"delta\":{\"content\":\"",
                "\"},\"finish_reason\":null}]}",
            ),
            Endpoint::Text => ("\"choices\":[{\"index\":0,\"text\":\"", "\",\"finish_reason\":null}]}"),
        };
        buf.put_slice(b"data: ");
        self.put_common_fields(buf, self.chunk_object());
        buf.put_slice(open.as_bytes());
        self.put_token(buf, index);
        buf.put_slice(close.as_bytes());
        buf.put_slice(b"\n\n");
    }

    /// Appends the events that end the stream: finish reason, usage if requested, and `[DONE]`.
    pub(crate) fn put_end_events(&self, buf: &mut BytesMut) {
        let open = match self.endpoint {
            Endpoint::Chat => "\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"",
            Endpoint::Text => "\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"",
        };
        buf.put_slice(b"data: ");
        self.put_common_fields(buf, self.chunk_object());
        buf.put_slice(open.as_bytes());
        buf.put_slice(self.finish_reason().as_bytes());
        buf.put_slice(b"\"}]}\n\n");
        if self.includes_usage {
            buf.put_slice(b"data: ");
            self.put_common_fields(buf, self.chunk_object());
            buf.put_slice(b"\"choices\":[],");
            self.put_usage(buf);
            buf.put_slice(b"}\n\n");
        }
        buf.put_slice(b"data: [DONE]\n\n");
    }
}

/// Appends `text`, escaped for use within a JSON string.
fn put_escaped(buf: &mut BytesMut, text: &str) {
    let needs_escape = |byte: u8| byte < 0x20 || byte == b'"' || byte == b'\\';
    if !text.bytes().any(needs_escape) {
        buf.put_slice(text.as_bytes());
        return;
    }
    let quoted = serde_json::Value::from(text).to_string();
    buf.put_slice(&quoted.as_bytes()[1..quoted.len() - 1]);
}
