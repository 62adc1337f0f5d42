//! Encoding of the datagrams that members exchange.

use guava_core::gossip::Push;
use guava_core::ids::{Incarnation, MemberId};
use guava_core::membership::Message;
use serde::{Deserialize, Serialize};

/// First byte of every datagram; datagrams of other versions are dropped.
const WIRE_VERSION: u8 = 1;

/// Payload of a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// Message of the membership protocol.
    Heartbeat(Box<Heartbeat>),
    /// Changed entries, pushed to random members.
    Push {
        from: MemberId,
        /// Entries, and notices of those that are too large for a datagram.
        push: Push,
    },
    /// Request of a starting process for the latest known incarnation of its identifier.
    Hello {
        /// Identifier of the starting process.
        id: MemberId,
    },
    /// Reply to [`Packet::Hello`].
    Welcome {
        /// Latest incarnation known to the replying member; `None` when it knows none.
        latest: Option<Incarnation>,
    },
}

/// Membership message with the sender's digests and confirmation age.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) message: Message,
    /// Digest of the sender's entries.
    pub(crate) digest: u64,
    /// Digest of the members known to the sender.
    pub(crate) members_digest: u64,
    /// Sender's confirmation age (see `MemberTable::confirmation_age`), in milliseconds.
    pub(crate) age_ms: u64,
}

pub(crate) fn encode(packet: &Packet) -> Vec<u8> {
    postcard::to_extend(packet, vec![WIRE_VERSION]).unwrap_or_default()
}

/// Decodes a datagram; `None` when it is malformed or has another version.
pub(crate) fn decode(bytes: &[u8]) -> Option<Packet> {
    let (version, body) = bytes.split_first()?;
    (*version == WIRE_VERSION)
        .then(|| postcard::from_bytes(body).ok())
        .flatten()
}
