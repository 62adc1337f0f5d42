//! Origin of streams that callers take up: the service and the software version that brought the first event.

use std::sync::Arc;

use guava_core::units::Millis;

use crate::state::EntryState;

/// Where a stream began, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The first event came from a server of this service and software version.
    Known {
        /// Service of the server.
        service: String,
        /// Software version of the server.
        version: String,
    },
    /// Not known for certain; the text says why.
    Unknown(&'static str),
}

/// Streams that began, and the software versions that may begin streams.
#[derive(Debug, Default)]
pub struct Streams;

impl Streams {
    /// Whether a stream that callers may take up may begin at a server of this version.
    pub fn may_begin(&self, _service: &str, _version: Option<&str>) -> bool {
        true
    }

    /// Records that the first event of the stream of `attempt` came from a server of this version.
    pub fn record_begun(&self, _now: Millis, _attempt: &str, _service: &str, _version: Option<&str>) {}
}

/// Finds out where the stream of `attempt` began; `services` are those to which its route leads now.
pub async fn find_origin(_state: &Arc<EntryState>, _services: &[&str], _attempt: &str) -> Origin {
    Origin::Unknown("origins of streams are not recorded")
}
