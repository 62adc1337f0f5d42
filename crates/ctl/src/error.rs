//! Errors of commands and their exit codes.

use std::fmt::Write as _;
use std::io;

use quick_error::quick_error;
use serde_json::Value;

quick_error! {
    /// Failure of a command, shown on standard error.
    #[derive(Debug)]
    pub enum CtlError {
        /// Reading a file, writing output or starting the runtime failed.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// A file or an answer is not valid JSON, or a file does not hold objects.
        Json(error: serde_json::Error) {
            from()
            display("malformed JSON: {error}")
        }
        /// The options or arguments do not give a valid request.
        Usage(message: String) {
            display("{message}")
        }
        /// No complete answer was received; a write may have taken effect.
        Unreachable(message: String) {
            display("administration API unreachable: {message}")
        }
        /// The administration API answered with this HTTP status, which is not 2xx, and this body.
        Refused(status: u16, body: Value) {
            display("{}", describe(body))
        }
        /// Objects in files are invalid; one line for each fault.
        Faults(lines: Vec<String>) {
            display("{}", lines.join("\n"))
        }
    }
}

impl CtlError {
    /// Returns the exit code: 1 other, 2 usage, 3 not found, 4 conflict, 5 refused, 6 unavailable.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Io(_) => 1,
            Self::Usage(_) | Self::Json(_) => 2,
            Self::Faults(_) => 5,
            Self::Unreachable(_) => 6,
            Self::Refused(status, _) => match status {
                404 => 3,
                409 | 428 => 4,
                500.. => 6,
                _ => 5,
            },
        }
    }
}

/// Formats an error body of the administration API: one line, followed by one for each fault of the object.
fn describe(body: &Value) -> String {
    let error = &body["error"];
    let text = |name: &str| error[name].as_str().unwrap_or_default();
    let mut line = format!("{} {} {}", text("code"), text("message"), text("detail"));
    if let Some(current) = error.get("current_version") {
        let _ = write!(line, "; current version: {current}");
    }
    for fault in error["faults"].as_array().into_iter().flatten() {
        let _ = write!(line, "\n  {}: accepted is {}", fault["field"], fault["accepted"]);
    }
    line
}
