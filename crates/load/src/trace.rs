//! Trace files in JSON Lines format: one request per line, in order of arrival.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use guava_core::derive_value;

use crate::error::LoadError;

derive_value! {
    /// One request of a trace.
    #[serde(deny_unknown_fields)]
    pub struct TraceRequest {
        /// Scheduled arrival in milliseconds from the start of the trace.
        pub at_ms: u64,
        /// Organisation whose API key is used.
        pub organisation: String,
        /// Name of the model or adapter.
        pub model: String,
        /// Name of the profile; the model's own when absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub profile: Option<String>,
        /// Prompt length in tokens.
        pub prompt_tokens: u64,
        /// Output length in tokens, sent as `max_tokens`.
        pub output_tokens: u64,
        /// Whether the response is streamed; `false` when absent.
        #[serde(default)]
        pub stream: bool,
        /// Value of the idempotency key header; not sent when absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub idempotency_key: Option<String>,
    }
}

impl TraceRequest {
    /// Tokens that the request reserves from the quota: prompt and output.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// Reads a trace file and sorts it by arrival; blank lines are skipped.
///
/// # Errors
///
/// Fails when the file cannot be read or a line is not a valid request.
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

/// Writes a trace file in the given order, replacing an existing file.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write(path: &Path, requests: &[TraceRequest]) -> Result<(), LoadError> {
    let mut file = BufWriter::new(File::create(path)?);
    for req in requests {
        let line = serde_json::to_string(req).map_err(|error| LoadError::Trace(0, error))?;
        writeln!(file, "{line}")?;
    }
    file.flush()?;
    Ok(())
}
