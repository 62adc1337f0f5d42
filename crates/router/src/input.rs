//! Validation of the input of callers.
//!
//! Everything a caller sends is checked here first, so that invalid input costs no more than a bounded amount of memory.
//! API keys are extracted from headers and query only here.

use bytes::Bytes;
use guava_core::codes::Code;
use guava_core::routing::{PREFIX_BYTES, prefix_hash};
use http::{HeaderMap, Uri, header};
use serde::Deserialize;
use serde_json::Value;

use crate::refusal::Refusal;

/// Largest total size of path, query and headers. Each header counts 4 bytes for its separators.
pub const HEADER_LIMIT_BYTES: usize = 32 * 1024;
/// Request header that selects a profile; it must agree with the body field `profile` if both are given.
pub const PROFILE_HEADER: &str = "x-guava-profile";
/// Request header for an API key, as an alternative to `authorization`.
pub const API_KEY_HEADER: &str = "x-api-key";
/// Query parameter for an API key. It is removed before the request is forwarded.
pub const API_KEY_PARAMETER: &str = "api_key";
/// Request header by which a repeated request is recognised, so that it does not run twice.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_CHARS: usize = 255;
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;
const MAX_CHOICES: u64 = 128;
/// Estimated average length of a token in a prompt.
const BYTES_PER_TOKEN: u64 = 4;
/// Separators of a header line: `: ` and the line break.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// Checks the total size of path, query and headers.
///
/// # Errors
///
/// Fails with `HeadersTooLarge` if it exceeds [`HEADER_LIMIT_BYTES`].
pub fn check_header_size(headers: &HeaderMap, uri: &Uri) -> Result<(), Refusal> {
    let uri_bytes = uri.path().len() + uri.query().map_or(0, str::len);
    let header_bytes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES);
    if uri_bytes + header_bytes.sum::<usize>() > HEADER_LIMIT_BYTES {
        return Err(Refusal::not_run(Code::HeadersTooLarge).limit(HEADER_LIMIT_BYTES as u64, 0));
    }
    Ok(())
}

/// Returns the value of a header that must not have several different values; `None` if it is absent.
///
/// # Errors
///
/// Fails if a value is not UTF-8 or the header is repeated with different values.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut found = None;
    for value in headers.get_all(name) {
        let text = std::str::from_utf8(value.as_bytes())
            .map_err(|error| Refusal::not_run(Code::InvalidUtf8).detail(format!("Header {name}: {error}.")))?;
        if found.is_some_and(|earlier| earlier != text) {
            let detail = format!("Header {name} comes with different values.");
            return Err(Refusal::not_run(Code::ConflictingFields).detail(detail));
        }
        found = Some(text);
    }
    Ok(found)
}

/// Returns the API key of a request, from the bearer token, the `x-api-key` header or the query parameter; `None` if
/// there is none or it is empty.
///
/// # Errors
///
/// Fails if the request has different keys or a header is not UTF-8.
pub fn presented_key(headers: &HeaderMap, query: Option<&str>) -> Result<Option<String>, Refusal> {
    let bearer = single_header(headers, header::AUTHORIZATION.as_str())?.and_then(bearer_token);
    let api_key = single_header(headers, API_KEY_HEADER)?.map(str::trim);
    let mut keys: Vec<String> = bearer.into_iter().chain(api_key).map(str::to_owned).collect();
    let parameters = form_urlencoded::parse(query.unwrap_or_default().as_bytes());
    keys.extend(
        parameters
            .filter(|(name, _)| name == API_KEY_PARAMETER)
            .map(|(_, value)| value.into_owned()),
    );
    keys.dedup();
    match keys.len() {
        0 | 1 => Ok(keys.pop().filter(|it| !it.is_empty())),
        _ => Err(Refusal::not_run(Code::ConflictingFields).detail("Different keys are presented.")),
    }
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Returns the query without the API key parameter; `None` if nothing is left. Parameter names are compared after
/// percent-decoding.
pub fn query_without_key(query: Option<&str>) -> Option<String> {
    let is_key = |pair: &str| {
        let mut parsed = form_urlencoded::parse(pair.as_bytes());
        parsed.any(|(name, _)| name == API_KEY_PARAMETER)
    };
    let remaining_pairs: Vec<&str> = query?.split('&').filter(|pair| !is_key(pair)).collect();
    let remaining_query = remaining_pairs.join("&");
    (!remaining_query.is_empty()).then_some(remaining_query)
}

/// Returns the idempotency key of a request; `None` if the header is absent.
///
/// # Errors
///
/// Fails if the key is empty, longer than 255 characters or not printable ASCII, or if the header is repeated with
/// different values.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    if headers.get(IDEMPOTENCY_KEY_HEADER).is_none() {
        return Ok(None);
    }
    let key = match single_header(headers, IDEMPOTENCY_KEY_HEADER) {
        Ok(key) => key.unwrap_or_default(),
        Err(refusal) if refusal.code == Code::InvalidUtf8 => "",
        Err(refusal) => return Err(refusal),
    };
    let is_printable = key.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    if key.trim().is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_CHARS || !is_printable {
        return Err(Refusal::not_run(Code::InvalidIdempotencyKey));
    }
    Ok(Some(key))
}

/// Whether the caller asks for a job with `Prefer: respond-async`.
///
/// # Errors
///
/// Fails if the header is not UTF-8 or is repeated with different values.
pub fn prefers_async(headers: &HeaderMap) -> Result<bool, Refusal> {
    let preferences = single_header(headers, "prefer")?.unwrap_or_default();
    let mut tokens = preferences.split([',', ';']).map(str::trim);
    Ok(tokens.any(|it| it.eq_ignore_ascii_case("respond-async")))
}

/// Inference API, which determines the fields of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// `/v1/chat/completions`: the body has `messages`.
    Chat,
    /// `/v1/completions`: the body has `prompt`.
    Completions,
}

/// Validated body of an inference request, with the values that the router needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inference {
    /// Name of a model or an adapter; not yet looked up.
    pub model: String,
    /// Profile that the body names; `None` if it names none.
    pub profile: Option<String>,
    /// Whether the caller asks for a stream of server-sent events; false by default.
    pub stream: bool,
    /// Estimated number of tokens in the prompt, from its length in bytes.
    pub prompt_tokens: u64,
    /// Largest output of all choices together, in tokens; `None` if the request sets no limit.
    pub max_output: Option<u64>,
    /// Number of answers to generate for the prompt; 1 by default.
    pub choices: u64,
    /// Hash of the first bytes of the prompt, by which requests are routed for cache affinity.
    pub prefix: u64,
    /// Body to send to the backend server: as received, or encoded again without the field `profile` if it has one.
    pub body: Bytes,
}

/// Fields that are checked. A derived struct is used because it reports duplicate fields. Otherwise the router and the
/// backend server could each read a different one of them.
#[derive(Deserialize)]
struct Fields {
    #[serde(default)]
    model: Option<Value>,
    #[serde(default)]
    profile: Option<Value>,
    #[serde(default)]
    stream: Option<Value>,
    #[serde(default)]
    max_tokens: Option<Value>,
    #[serde(default)]
    max_completion_tokens: Option<Value>,
    #[serde(default)]
    n: Option<Value>,
    #[serde(default)]
    temperature: Option<Value>,
    #[serde(default)]
    messages: Option<Value>,
    #[serde(default)]
    prompt: Option<Value>,
}

/// Validates the body of an inference request. Fields that the router does not know are left to the backend server.
///
/// # Errors
///
/// Fails with the code of the first error found.
pub fn parse_inference(api: Api, body: &Bytes) -> Result<Inference, Refusal> {
    let text = std::str::from_utf8(body)
        .map_err(|error| Refusal::not_run(Code::InvalidUtf8).detail(format!("Body: {error}.")))?;
    if text.trim_start().starts_with('[') {
        // Serde would also read a derived struct from an array.
        return Err(Refusal::not_run(Code::InvalidField).detail("The body must be a JSON object."));
    }
    let fields: Fields = serde_json::from_str(text).map_err(|error| json_refusal(&error))?;
    let model = string_field(fields.model.as_ref(), "model")?.ok_or_else(|| missing_field("model"))?;
    let profile = string_field(fields.profile.as_ref(), "profile")?;
    let stream = match &fields.stream {
        None => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(invalid_field("stream", "true or false")),
    };
    let choices = integer_field(fields.n.as_ref(), "n", MAX_CHOICES)?.unwrap_or(1);
    let max_output = max_output(&fields)?;
    if let Some(temperature) = &fields.temperature {
        let is_valid = temperature.as_f64().is_some_and(|it| (0.0..=2.0).contains(&it));
        is_valid
            .then_some(())
            .ok_or_else(|| invalid_field("temperature", "0 to 2"))?;
    }
    let mut prompt = Prompt::default();
    match api {
        Api::Chat => {
            reject_field(fields.prompt.as_ref(), "prompt", "messages")?;
            prompt.read_messages(fields.messages.as_ref())?;
        }
        Api::Completions => {
            reject_field(fields.messages.as_ref(), "messages", "prompt")?;
            prompt.read_prompt(fields.prompt.as_ref())?;
        }
    }
    let body = if profile.is_some() {
        without_profile(text)?
    } else {
        body.clone()
    };
    Ok(Inference {
        model,
        profile,
        stream,
        prompt_tokens: prompt.bytes.div_ceil(BYTES_PER_TOKEN),
        max_output: max_output.map(|it| it * choices),
        choices,
        prefix: prefix_hash(&prompt.prefix),
        body,
    })
}

fn max_output(fields: &Fields) -> Result<Option<u64>, Refusal> {
    let max_tokens = integer_field(fields.max_tokens.as_ref(), "max_tokens", MAX_OUTPUT_TOKENS)?;
    let max_completion_tokens = integer_field(
        fields.max_completion_tokens.as_ref(),
        "max_completion_tokens",
        MAX_OUTPUT_TOKENS,
    )?;
    if let (Some(old_limit), Some(new_limit)) = (max_tokens, max_completion_tokens)
        && old_limit != new_limit
    {
        let detail = "max_tokens and max_completion_tokens differ.";
        return Err(Refusal::not_run(Code::ConflictingFields).detail(detail));
    }
    Ok(max_completion_tokens.or(max_tokens))
}

/// Removes the field `profile`, which only the router understands: engines may refuse unknown fields.
fn without_profile(text: &str) -> Result<Bytes, Refusal> {
    let mut value: serde_json::Map<String, Value> = serde_json::from_str(text).map_err(|error| json_refusal(&error))?;
    value.remove("profile");
    Ok(Bytes::from(Value::Object(value).to_string()))
}

#[derive(Default)]
struct Prompt {
    /// Length of all text; token numbers count as [`BYTES_PER_TOKEN`] each.
    bytes: u64,
    /// First [`PREFIX_BYTES`] of the text.
    prefix: Vec<u8>,
}

impl Prompt {
    fn add_text(&mut self, text: &str) {
        self.bytes += text.len() as u64;
        let remaining = PREFIX_BYTES.saturating_sub(self.prefix.len());
        self.prefix
            .extend_from_slice(&text.as_bytes()[..text.len().min(remaining)]);
    }

    fn read_messages(&mut self, messages: Option<&Value>) -> Result<(), Refusal> {
        let messages = messages.ok_or_else(|| missing_field("messages"))?;
        let messages = messages.as_array().filter(|it| !it.is_empty());
        for message in messages.ok_or_else(|| invalid_field("messages", "an array of at least one message"))? {
            let message = message
                .as_object()
                .ok_or_else(|| invalid_field("messages", "objects"))?;
            let role = message.get("role").ok_or_else(|| missing_field("messages.role"))?;
            role.as_str()
                .filter(|it| !it.is_empty())
                .ok_or_else(|| invalid_field("messages.role", "a string"))?;
            match message.get("content") {
                None | Some(Value::Null) => {}
                Some(Value::String(text)) => self.add_text(text),
                Some(Value::Array(parts)) => self.read_parts(parts)?,
                Some(_) => return Err(invalid_field("messages.content", "a string or an array of parts")),
            }
        }
        Ok(())
    }

    fn read_parts(&mut self, parts: &[Value]) -> Result<(), Refusal> {
        for part in parts {
            let part = part
                .as_object()
                .ok_or_else(|| invalid_field("messages.content", "objects"))?;
            match part.get("text") {
                Some(Value::String(text)) => self.add_text(text),
                Some(_) => return Err(invalid_field("messages.content.text", "a string")),
                None => {
                    let strings = part.values().filter_map(Value::as_str);
                    self.bytes += strings.map(|it| it.len() as u64).sum::<u64>();
                }
            }
        }
        Ok(())
    }

    fn read_prompt(&mut self, prompt: Option<&Value>) -> Result<(), Refusal> {
        let error = || invalid_field("prompt", "a string or an array of strings or token numbers");
        match prompt.ok_or_else(|| missing_field("prompt"))? {
            Value::String(text) => self.add_text(text),
            Value::Array(items) if !items.is_empty() => {
                for item in items {
                    match item {
                        Value::String(text) => self.add_text(text),
                        Value::Number(number) if number.is_u64() => self.bytes += BYTES_PER_TOKEN,
                        _ => return Err(error()),
                    }
                }
            }
            _ => return Err(error()),
        }
        Ok(())
    }
}

fn json_refusal(error: &serde_json::Error) -> Refusal {
    let message = error.to_string();
    if message.starts_with("duplicate field") {
        return Refusal::not_run(Code::ConflictingFields).detail(format!("{message}."));
    }
    match error.classify() {
        serde_json::error::Category::Data => {
            Refusal::not_run(Code::InvalidField).detail("The body must be a JSON object.")
        }
        _ => Refusal::not_run(Code::MalformedJson).detail(format!("{message}.")),
    }
}

fn string_field(value: Option<&Value>, field: &str) -> Result<Option<String>, Refusal> {
    match value {
        None => Ok(None),
        Some(Value::String(text)) if !text.is_empty() => Ok(Some(text.clone())),
        Some(_) => Err(invalid_field(field, "a string of at least one character")),
    }
}

fn integer_field(value: Option<&Value>, field: &str, max: u64) -> Result<Option<u64>, Refusal> {
    let Some(value) = value else { return Ok(None) };
    let number = value.as_u64().filter(|it| (1..=max).contains(it));
    number
        .map(Some)
        .ok_or_else(|| invalid_field(field, &format!("an integer from 1 to {max}")))
}

fn reject_field(value: Option<&Value>, field: &str, instead: &str) -> Result<(), Refusal> {
    if value.is_none() {
        return Ok(());
    }
    let detail = format!("{field} is not accepted here, use {instead}.");
    Err(Refusal::not_run(Code::ConflictingFields).detail(detail))
}

fn missing_field(field: &str) -> Refusal {
    Refusal::not_run(Code::MissingField).detail(format!("Field {field}."))
}

fn invalid_field(field: &str, accepted: &str) -> Refusal {
    Refusal::not_run(Code::InvalidField).detail(format!("Field {field} accepts {accepted}."))
}
