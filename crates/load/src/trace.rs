//! Recorded traces: one JSON object a line, in order of arrival.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use guava_core::derive_value;

use crate::error::LoadError;

derive_value! {
    /// One request of a trace.
    #[serde(deny_unknown_fields)]
    pub struct TraceRequest {
        /// Arrival after the start of the trace, in milliseconds.
        pub at_ms: u64,
        /// Organisation whose key is used.
        pub organisation: String,
        /// Model or adapter.
        pub model: String,
        /// Profile; the model's own when left out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub profile: Option<String>,
        /// Length of the prompt in tokens.
        pub prompt_tokens: u64,
        /// Length of the answer in tokens.
        pub output_tokens: u64,
        /// Whether the answer is streamed.
        #[serde(default)]
        pub stream: bool,
        /// Idempotency key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub idempotency_key: Option<String>,
    }
}

impl TraceRequest {
    /// Tokens that the request reserves.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// Reads a trace file.
///
/// # Errors
///
/// Fails when the file cannot be read or a line is not a request.
pub fn read(path: &Path) -> Result<Vec<TraceRequest>, LoadError> {
    let mut requests = Vec::new();
    for (index, line) in BufReader::new(File::open(path)?).lines().enumerate() {
        let line = line?;
        if !line.trim().is_empty() {
            requests.push(serde_json::from_str(&line).map_err(|error| LoadError::Trace(index + 1, error))?);
        }
    }
    requests.sort_by_key(|it: &TraceRequest| it.at_ms);
    Ok(requests)
}

/// Writes a trace file.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write(path: &Path, requests: &[TraceRequest]) -> Result<(), LoadError> {
    let mut f = BufWriter::new(File::create(path)?);
    for req in requests {
        let line = serde_json::to_string(req).map_err(|error| LoadError::Trace(0, error))?;
        writeln!(f, "{line}")?;
    }
    f.flush()?;
    Ok(())
}
