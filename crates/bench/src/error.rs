//! Failures of the benchmarks.

use guava_node::runtime::NodeError;
use guava_objects::PlatformError;
use guava_router::RouterError;
use quick_error::quick_error;

quick_error! {
    /// Failure of a benchmark.
    #[derive(Debug)]
    pub enum BenchError {
        /// Files, sockets or processes.
        Io(error: std::io::Error) {
            from()
            display("{error}")
        }
        /// HTTP.
        Http(error: hyper::Error) {
            from()
            display("{error}")
        }
        /// JSON.
        Json(error: serde_json::Error) {
            from()
            display("{error}")
        }
        /// Stand-in platform.
        Platform(error: PlatformError) {
            from()
            display("{error}")
        }
        /// Runtime.
        Node(error: NodeError) {
            from()
            display("{error}")
        }
        /// Router.
        Router(error: RouterError) {
            from()
            display("{error}")
        }
        /// The page lacks a marker comment.
        Marker(marker: String) {
            display("no line {marker:?}")
        }
        /// Fewer open files allowed than the benchmark needs.
        OpenFiles(needed: u64, reason: String) {
            display("{needed} open files are needed: raise the limit, for example with ulimit -n ({reason})")
        }
        /// A part that did not do its job.
        Part(reason: String) {
            display("{reason}")
        }
    }
}
