//! Why a backend server is left out of the selection for a request.

use std::fmt::{Display, Formatter};

/// Why a server gets no new request now, or not this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// It leaves, or its entry is withheld.
    Leaving,
    /// The operators have evacuated its zone.
    Evacuated,
    /// It does not hold the model or the adapter.
    LacksModel,
    /// It has asked this VM for a rest, which lasts for so many milliseconds.
    Resting(u64),
    /// This VM cannot open a connection to it, and tries again after so many milliseconds.
    Unreachable(u64),
    /// It is cold, and has no place for this VM for so many milliseconds.
    NoPlace(u64),
    /// It is not in a region that the route and the organisation allow.
    Region,
    /// It runs another software version than the one that began the stream.
    Version,
    /// It runs a version that is not known to all VMs yet, so that a stream that begins there could not be resumed.
    UnlistedVersion,
}

impl Display for Exclusion {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Leaving => f.write_str("leaving"),
            Self::Evacuated => f.write_str("zone evacuated"),
            Self::LacksModel => f.write_str("lacks the model or adapter"),
            Self::Resting(ms) => write!(f, "asked for a rest, {ms} ms left"),
            Self::Unreachable(ms) => write!(f, "not reachable from this VM, next try in {ms} ms"),
            Self::NoPlace(ms) => write!(f, "cold, no place for {ms} ms"),
            Self::Region => f.write_str("region not allowed"),
            Self::Version => f.write_str("other software version"),
            Self::UnlistedVersion => f.write_str("software version not known to all VMs yet"),
        }
    }
}
