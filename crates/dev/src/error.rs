//! Errors of `guava-dev`.

use guava_admin::AdminError;
use guava_controller::ControllerError;
use guava_node::runtime::NodeError;
use guava_objects::PlatformError;
use guava_router::RouterError;
use quick_error::quick_error;

quick_error! {
    /// Failure to start, run or stop the system.
    #[derive(Debug)]
    pub enum DevError {
        /// Reading the file of objects, or starting the runtime or a server, failed.
        Io(error: std::io::Error) {
            from()
            display("{error}")
        }
        /// The objects are malformed or invalid.
        Objects(message: String) {
            display("objects: {message}")
        }
        /// The platform stand-in rejected an object.
        Platform(error: PlatformError) {
            from()
            display("{error}")
        }
        /// The runtime of a process failed.
        Node(error: NodeError) {
            from()
            display("{error}")
        }
        /// A router failed to start or to drain.
        Router(error: RouterError) {
            from()
            display("router: {error}")
        }
        /// A controller failed to start.
        Controller(error: ControllerError) {
            from()
            display("controller: {error}")
        }
        /// An administration API failed to start.
        Admin(error: AdminError) {
            from()
            display("administration API: {error}")
        }
        /// A JSON-RPC method was registered twice.
        Rpc(error: jsonrpsee::core::RegisterMethodError) {
            from()
            display("JSON-RPC: {error}")
        }
    }
}

impl DevError {
    /// Returns the exit code: 1 other, 2 usage or settings.
    pub fn exit_code(&self) -> u8 {
        if matches!(self, Self::Objects(_)) { 2 } else { 1 }
    }
}
