//! Errors of the command line and their exit codes.

use std::fmt::Write as _;
use std::io;

use quick_error::quick_error;
use serde_json::Value;

quick_error! {
    /// Failure of a command.
    #[derive(Debug)]
    pub enum CtlError {
        /// A file could not be read or output not be written.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// A file or an answer is not JSON.
        Json(error: serde_json::Error) {
            from()
            display("malformed JSON: {error}")
        }
        /// Settings or arguments have faults.
        Usage(message: String) {
            display("{message}")
        }
        /// The administration API could not be reached.
        Unreachable(message: String) {
            display("administration API unreachable: {message}")
        }
        /// The administration API refused the call.
        Refused(status: u16, body: Value) {
            display("{}", describe(body))
        }
        /// Objects in files have faults.
        Faults(lines: Vec<String>) {
            display("{}", lines.join("\n"))
        }
    }
}

impl CtlError {
    /// Exit code: 1 other, 2 usage, 3 not found, 4 conflict, 5 refused, 6 unavailable.
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

/// One line for an error body of the administration API.
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
