//! Error type of the crate.

use std::io;

use guava_load::error::LoadError;
use quick_error::quick_error;

quick_error! {
    /// Failure to read a scenario or to write a trace or a plot.
    #[derive(Debug)]
    pub enum ReplayError {
        /// A file or directory other than a trace could not be read or written.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// A trace file could not be read or written.
        Trace(error: LoadError) {
            from()
            display("{error}")
        }
        /// A JSON file (path first) is not valid or has unknown or missing fields.
        Json(path: String, error: serde_json::Error) {
            display("{path}: {error}")
        }
        /// A plot could not be drawn or written.
        Plot(message: String) {
            display("plot: {message}")
        }
    }
}
