//! Datagrams between members.

use guava_core::gossip::Push;
use guava_core::ids::{Incarnation, MemberId};
use guava_core::membership::Message;
use serde::{Deserialize, Serialize};

/// First byte of every datagram; others are dropped.
const WIRE_VERSION: u8 = 1;

/// Content of a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// Message of the membership protocol.
    Heartbeat(Box<Heartbeat>),
    /// Changed entries.
    Push {
        /// Sender.
        from: MemberId,
        /// Changes.
        push: Push,
    },
    /// Question of a starting process for the latest incarnation of its identifier.
    Hello {
        /// Identifier of the starting process.
        id: MemberId,
    },
    /// Answer to [`Packet::Hello`].
    Welcome {
        /// Latest incarnation that the answering member has heard of.
        latest: Option<Incarnation>,
    },
}

/// Membership message with the sender's digests.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Message.
    pub(crate) message: Message,
    /// Digest of the sender's entries.
    pub(crate) digest: u64,
    /// Digest of the members the sender knows.
    pub(crate) members_digest: u64,
    /// Age of the sender's last confirmation in milliseconds.
    pub(crate) age_ms: u64,
}

/// Encodes a datagram.
pub(crate) fn encode(packet: &Packet) -> Vec<u8> {
    postcard::to_extend(packet, vec![WIRE_VERSION]).unwrap_or_default()
}

/// Decodes a datagram; `None` when it is malformed or of another version.
pub(crate) fn decode(bytes: &[u8]) -> Option<Packet> {
    let (version, body) = bytes.split_first()?;
    (*version == WIRE_VERSION)
        .then(|| postcard::from_bytes(body).ok())
        .flatten()
}
