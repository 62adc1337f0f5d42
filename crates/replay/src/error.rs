//! Errors of the replay.

use std::io;

use guava_load::error::LoadError;
use quick_error::quick_error;

quick_error! {
    /// Failure of a replay.
    #[derive(Debug)]
    pub enum ReplayError {
        /// A file could not be read or written.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// A trace could not be read or written.
        Trace(error: LoadError) {
            from()
            display("{error}")
        }
        /// A file does not have the expected shape.
        Shape(path: String, error: serde_json::Error) {
            display("{path}: {error}")
        }
        /// A plot could not be drawn.
        Plot(message: String) {
            display("plot: {message}")
        }
    }
}
