//! Checks of callers' input.
//!
//! Everything a caller sends is checked here, before it costs more than memory within the limits. Keys are taken out of
//! headers and query here and nowhere else.

use bytes::Bytes;
use guava_core::codes::Code;
use guava_core::routing::{PREFIX_BYTES, prefix_hash};
use http::{HeaderMap, Uri, header};
use serde::Deserialize;
use serde_json::Value;

use crate::refusal::Refusal;

/// Largest sum of the headers and the request line, in bytes.
pub const HEADER_LIMIT_BYTES: usize = 32 * 1024;
/// Header that names a profile.
pub const PROFILE_HEADER: &str = "x-guava-profile";
/// Header that carries a key.
pub const API_KEY_HEADER: &str = "x-api-key";
/// Query parameter that carries a key.
pub const API_KEY_PARAMETER: &str = "api_key";
/// Header that makes a repeat recognisable.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_CHARS: usize = 255;
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;
const MAX_CHOICES: u64 = 128;
const BYTES_PER_TOKEN: u64 = 4;
const HEADER_OVERHEAD_BYTES: usize = 4;

/// Checks the size of the headers and the request line.
///
/// # Errors
///
/// Fails when they are larger than the limit.
pub fn check_header_size(headers: &HeaderMap, uri: &Uri) -> Result<(), Refusal> {
    let line = uri.path().len() + uri.query().map_or(0, str::len);
    let fields = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES);
    if line + fields.sum::<usize>() > HEADER_LIMIT_BYTES {
        return Err(Refusal::not_run(Code::HeadersTooLarge).limit(HEADER_LIMIT_BYTES as u64, 0));
    }
    Ok(())
}

/// Value of a header that may come at most once.
///
/// # Errors
///
/// Fails when the value is not UTF-8 or the header comes with different values.
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

/// Key presented by a caller: as bearer token, as `x-api-key` or as query parameter.
///
/// # Errors
///
/// Fails when different keys are presented or a value is not UTF-8.
pub fn presented_key(headers: &HeaderMap, query: Option<&str>) -> Result<Option<String>, Refusal> {
    let bearer = single_header(headers, header::AUTHORIZATION.as_str())?.and_then(bearer_token);
    let header = single_header(headers, API_KEY_HEADER)?.map(str::trim);
    let mut keys: Vec<String> = bearer.into_iter().chain(header).map(str::to_owned).collect();
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

/// Query without the parameter that carries a key; names are compared in decoded form.
pub fn clean_query(query: Option<&str>) -> Option<String> {
    let is_key = |pair: &str| {
        let mut parsed = form_urlencoded::parse(pair.as_bytes());
        parsed.any(|(name, _)| name == API_KEY_PARAMETER)
    };
    let kept: Vec<&str> = query?.split('&').filter(|pair| !is_key(pair)).collect();
    let kept = kept.join("&");
    (!kept.is_empty()).then_some(kept)
}

/// Idempotency key of a request.
///
/// # Errors
///
/// Fails when it is empty, too long or not printable ASCII.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    if headers.get(IDEMPOTENCY_KEY_HEADER).is_none() {
        return Ok(None);
    }
    let key = match single_header(headers, IDEMPOTENCY_KEY_HEADER) {
        Ok(key) => key.unwrap_or_default(),
        Err(refusal) if refusal.code == Code::InvalidUtf8 => "",
        Err(refusal) => return Err(refusal),
    };
    let printable = key.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    if key.trim().is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_CHARS || !printable {
        return Err(Refusal::not_run(Code::InvalidIdempotencyKey));
    }
    Ok(Some(key))
}

/// Whether the caller asks for a job with `Prefer: respond-async`.
///
/// # Errors
///
/// Fails when the header is not UTF-8.
pub fn prefers_async(headers: &HeaderMap) -> Result<bool, Refusal> {
    let preferences = single_header(headers, "prefer")?.unwrap_or_default();
    let mut tokens = preferences.split([',', ';']).map(str::trim);
    Ok(tokens.any(|it| it.eq_ignore_ascii_case("respond-async")))
}

/// Inference API that a body belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completions,
}

/// What the router needs from the body of an inference request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inference {
    /// Model or adapter.
    pub model: String,
    /// Profile named in the body.
    pub profile: Option<String>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Tokens of the prompt by estimate.
    pub prompt_tokens: u64,
    /// Largest output, when the request names one, over all choices, in tokens.
    pub max_output: Option<u64>,
    /// Choices.
    pub choices: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Body for the backend server.
    pub body: Bytes,
}

/// Fields that are checked. A derived struct is used because it reports duplicate fields, of which the router and a
/// backend server could otherwise read different ones.
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

/// Checks the body of an inference request.
///
/// # Errors
///
/// Returns the first fault with its own code.
pub fn parse_inference(api: Api, body: &Bytes) -> Result<Inference, Refusal> {
    let text = std::str::from_utf8(body)
        .map_err(|error| Refusal::not_run(Code::InvalidUtf8).detail(format!("Body: {error}.")))?;
    if text.trim_start().starts_with('[') {
        // A derived struct also reads arrays, field by field.
        return Err(Refusal::not_run(Code::InvalidField).detail("The body must be a JSON object."));
    }
    let fields: Fields = serde_json::from_str(text).map_err(|error| json_fault(&error))?;
    let model = string(fields.model.as_ref(), "model")?.ok_or_else(|| missing("model"))?;
    let profile = string(fields.profile.as_ref(), "profile")?;
    let stream = match &fields.stream {
        None => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(invalid("stream", "true or false")),
    };
    let choices = integer(fields.n.as_ref(), "n", MAX_CHOICES)?.unwrap_or(1);
    let max_output = max_output(&fields)?;
    if let Some(temperature) = &fields.temperature {
        let accepted = temperature.as_f64().is_some_and(|it| (0.0..=2.0).contains(&it));
        accepted.then_some(()).ok_or_else(|| invalid("temperature", "0 to 2"))?;
    }
    let mut prompt = Prompt::default();
    match api {
        Api::Chat => {
            unexpected(fields.prompt.as_ref(), "prompt", "messages")?;
            prompt.read_messages(fields.messages.as_ref())?;
        }
        Api::Completions => {
            unexpected(fields.messages.as_ref(), "messages", "prompt")?;
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
    let older = integer(fields.max_tokens.as_ref(), "max_tokens", MAX_OUTPUT_TOKENS)?;
    let newer = integer(
        fields.max_completion_tokens.as_ref(),
        "max_completion_tokens",
        MAX_OUTPUT_TOKENS,
    )?;
    if let (Some(older), Some(newer)) = (older, newer)
        && older != newer
    {
        let detail = "max_tokens and max_completion_tokens differ.";
        return Err(Refusal::not_run(Code::ConflictingFields).detail(detail));
    }
    Ok(newer.or(older))
}

/// The profile field is the router's own; engines may refuse unknown fields.
fn without_profile(text: &str) -> Result<Bytes, Refusal> {
    let mut value: serde_json::Map<String, Value> = serde_json::from_str(text).map_err(|error| json_fault(&error))?;
    value.remove("profile");
    Ok(Bytes::from(Value::Object(value).to_string()))
}

#[derive(Default)]
struct Prompt {
    bytes: u64,
    prefix: Vec<u8>,
}

impl Prompt {
    fn add(&mut self, text: &str) {
        self.bytes += text.len() as u64;
        let room = PREFIX_BYTES.saturating_sub(self.prefix.len());
        self.prefix.extend_from_slice(&text.as_bytes()[..text.len().min(room)]);
    }

    fn read_messages(&mut self, messages: Option<&Value>) -> Result<(), Refusal> {
        let messages = messages.ok_or_else(|| missing("messages"))?;
        let messages = messages.as_array().filter(|it| !it.is_empty());
        for message in messages.ok_or_else(|| invalid("messages", "an array of at least one message"))? {
            let message = message.as_object().ok_or_else(|| invalid("messages", "objects"))?;
            let role = message.get("role").ok_or_else(|| missing("messages.role"))?;
            role.as_str()
                .filter(|it| !it.is_empty())
                .ok_or_else(|| invalid("messages.role", "a string"))?;
            match message.get("content") {
                None | Some(Value::Null) => {}
                Some(Value::String(text)) => self.add(text),
                Some(Value::Array(parts)) => self.read_parts(parts)?,
                Some(_) => return Err(invalid("messages.content", "a string or an array of parts")),
            }
        }
        Ok(())
    }

    fn read_parts(&mut self, parts: &[Value]) -> Result<(), Refusal> {
        for part in parts {
            let part = part.as_object().ok_or_else(|| invalid("messages.content", "objects"))?;
            match part.get("text") {
                Some(Value::String(text)) => self.add(text),
                Some(_) => return Err(invalid("messages.content.text", "a string")),
                None => {
                    let texts = part.values().filter_map(Value::as_str);
                    self.bytes += texts.map(|it| it.len() as u64).sum::<u64>();
                }
            }
        }
        Ok(())
    }

    fn read_prompt(&mut self, prompt: Option<&Value>) -> Result<(), Refusal> {
        let fault = || invalid("prompt", "a string or an array of strings or token numbers");
        match prompt.ok_or_else(|| missing("prompt"))? {
            Value::String(text) => self.add(text),
            Value::Array(items) if !items.is_empty() => {
                for item in items {
                    match item {
                        Value::String(text) => self.add(text),
                        Value::Number(number) if number.is_u64() => self.bytes += BYTES_PER_TOKEN,
                        _ => return Err(fault()),
                    }
                }
            }
            _ => return Err(fault()),
        }
        Ok(())
    }
}

fn json_fault(error: &serde_json::Error) -> Refusal {
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

fn string(value: Option<&Value>, field: &str) -> Result<Option<String>, Refusal> {
    match value {
        None => Ok(None),
        Some(Value::String(text)) if !text.is_empty() => Ok(Some(text.clone())),
        Some(_) => Err(invalid(field, "a string of at least one character")),
    }
}

fn integer(value: Option<&Value>, field: &str, max: u64) -> Result<Option<u64>, Refusal> {
    let Some(value) = value else { return Ok(None) };
    let number = value.as_u64().filter(|it| (1..=max).contains(it));
    number
        .map(Some)
        .ok_or_else(|| invalid(field, &format!("an integer from 1 to {max}")))
}

fn unexpected(value: Option<&Value>, field: &str, instead: &str) -> Result<(), Refusal> {
    if value.is_none() {
        return Ok(());
    }
    let detail = format!("{field} is not accepted here, use {instead}.");
    Err(Refusal::not_run(Code::ConflictingFields).detail(detail))
}

fn missing(field: &str) -> Refusal {
    Refusal::not_run(Code::MissingField).detail(format!("Field {field}."))
}

fn invalid(field: &str, accepted: &str) -> Refusal {
    Refusal::not_run(Code::InvalidField).detail(format!("Field {field} accepts {accepted}."))
}
