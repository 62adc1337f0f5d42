//! Errors of the soak test.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Reason why a run could not be carried out or has failed.
    #[derive(Debug)]
    pub enum SoakError {
        /// A process, file or socket operation failed, or a task panicked.
        Io(e: io::Error) {
            from()
            display("{e}")
        }
        /// The entry processes did not become ready in time, or a fault did not end in time.
        TimedOut {
            display("the entry processes did not become ready in time, or a fault did not end in time")
        }
        /// The runs with these seeds violated a guarantee or could not be carried out.
        RunsFailed(seeds: Vec<u64>) {
            display("runs failed with the seeds {seeds:?}")
        }
    }
}
