//! Errors of the load tool.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Failure of the load tool.
    #[derive(Debug)]
    pub enum LoadError {
        /// A file could not be read or written, or the async runtime could not be started.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// A line of a trace is not a valid request: line number, starting at 1, or 0 when writing, and the JSON error.
        Trace(line: usize, error: serde_json::Error) {
            display("trace line {line}: {error}")
        }
        /// Settings are invalid; one message per fault. Exit code 2.
        Settings(faults: Vec<String>) {
            display("{}", faults.join("; "))
        }
    }
}
