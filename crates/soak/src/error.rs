//! Error of the program.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why a run could not be made or has failed.
    #[derive(Debug)]
    pub enum SoakError {
        /// A process or socket failed.
        Io(e: io::Error) {
            from()
            display("{e}")
        }
        /// The processes did not become ready.
        NotReady {
            display("the processes did not become ready")
        }
        /// Promises were broken.
        Broken(seeds: Vec<u64>) {
            display("promises were broken with the seeds {seeds:?}")
        }
    }
}
