//! Errors of the development program.

use guava_admin::AdminError;
use guava_controller::ControllerError;
use guava_node::runtime::NodeError;
use guava_objects::PlatformError;
use guava_router::RouterError;
use quick_error::quick_error;

quick_error! {
    /// Failure of the development program.
    #[derive(Debug)]
    pub enum DevError {
        /// A file or socket.
        Io(error: std::io::Error) {
            from()
            display("{error}")
        }
        /// A file of objects is not valid.
        Objects(message: String) {
            display("objects: {message}")
        }
        /// The platform's stand-in.
        Platform(error: PlatformError) {
            from()
            display("{error}")
        }
        /// The process runtime.
        Node(error: NodeError) {
            from()
            display("{error}")
        }
        /// A router.
        Router(error: RouterError) {
            from()
            display("router: {error}")
        }
        /// A controller.
        Controller(error: ControllerError) {
            from()
            display("controller: {error}")
        }
        /// An administration API.
        Admin(error: AdminError) {
            from()
            display("administration API: {error}")
        }
        /// JSON-RPC methods.
        Rpc(error: jsonrpsee::core::RegisterMethodError) {
            from()
            display("JSON-RPC: {error}")
        }
    }
}

impl DevError {
    /// Exit code: 1 other, 2 usage or settings.
    pub fn exit_code(&self) -> u8 {
        if matches!(self, Self::Objects(_)) { 2 } else { 1 }
    }
}
