//! Errors of the load tool.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Failure of the load tool.
    #[derive(Debug)]
    pub enum LoadError {
        /// A file could not be read or written.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// A line of a trace is not a request.
        Trace(line: usize, error: serde_json::Error) {
            display("trace line {line}: {error}")
        }
        /// Settings have faults.
        Settings(faults: Vec<String>) {
            display("{}", faults.join("; "))
        }
    }
}
