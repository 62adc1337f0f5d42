//! Servers at which a stream may go on.
//!
//! What two software versions write does not fit together, and servers do not check which version wrote the events
//! that a request continues. A stream is therefore bound to the service and version of the server that brought its
//! first event.

use guava_core::derive_value;

use crate::model::BackendServer;

derive_value! {
    /// Service and software version that a stream is bound to.
    pub struct StreamBinding {
        /// Service of the server that brought the first event.
        pub service: String,
        /// Software version of that server; a stream of a server without one goes on nowhere.
        pub version: Option<String>,
    }
}

impl StreamBinding {
    /// Binds a stream to the service and version of a server.
    pub fn to(server: &BackendServer) -> Self {
        Self {
            service: server.service.clone(),
            version: server.version.clone(),
        }
    }

    /// Whether the stream may go on at a server.
    pub fn allows(&self, server: &BackendServer) -> bool {
        self.version.is_some() && self.version == server.version && self.service == server.service
    }
}
