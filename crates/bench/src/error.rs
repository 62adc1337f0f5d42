//! Errors of the benchmarks.

use guava_node::runtime::NodeError;
use guava_objects::PlatformError;
use guava_router::RouterError;
use quick_error::quick_error;

quick_error! {
    /// Error of a benchmark; every variant ends the command with exit code 1.
    #[derive(Debug)]
    pub enum BenchError {
        /// A file, socket or process could not be used.
        Io(error: std::io::Error) {
            from()
            display("{error}")
        }
        /// An HTTP connection of the client failed.
        Http(error: hyper::Error) {
            from()
            display("{error}")
        }
        /// An object could not be converted to JSON.
        Json(error: serde_json::Error) {
            from()
            display("{error}")
        }
        /// The in-memory platform refused a write.
        Platform(error: PlatformError) {
            from()
            display("{error}")
        }
        /// A process runtime did not start.
        Node(error: NodeError) {
            from()
            display("{error}")
        }
        /// The router did not start.
        Router(error: RouterError) {
            from()
            display("{error}")
        }
        /// The page lacks this marker comment, or the markers are out of order.
        Marker(marker: String) {
            display("marker comment {marker:?} is missing from the page or out of order")
        }
        /// The limit of open files could not be raised to the number that the benchmark needs; the reason is given by
        /// the operating system.
        OpenFiles(needed: u64, reason: String) {
            display("benchmark needs a limit of {needed} open files: raise it, for example with ulimit -n ({reason})")
        }
        /// A server process, a task or a stream failed; the text says which and why.
        Failed(reason: String) {
            display("{reason}")
        }
    }
}
