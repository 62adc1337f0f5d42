//! Extensions of messages between entry processes.
//!
//! A message is a postcard structure without optional fields, so a field that is added to it makes it unreadable to
//! processes of the version before. New fields stand in a second structure, the extension, which follows the message. An
//! older process ignores what follows a message; a newer one takes the default if nothing follows, or nothing that it
//! can decode. Fields cannot be added to an extension either: a new one is appended to what stands there.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{DeserializeOwned, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Extension with another one that was appended to it in a later version.
#[derive(Debug, Clone, Default)]
pub struct Appended<E, F> {
    /// Extension of the version before.
    pub first: E,
    /// What was appended; the default if the sender is of the version before.
    pub second: F,
}

impl<E: Serialize, F: Serialize> Serialize for Appended<E, F> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.first, &self.second).serialize(serializer)
    }
}

impl<'de, E: Deserialize<'de>, F: Deserialize<'de> + Default> Deserialize<'de> for Appended<E, F> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(2, AppendedVisitor(PhantomData))
    }
}

struct AppendedVisitor<E, F>(PhantomData<(E, F)>);

impl<'de, E: Deserialize<'de>, F: Deserialize<'de> + Default> Visitor<'de> for AppendedVisitor<E, F> {
    type Value = Appended<E, F>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an extension and what was appended to it")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let first = seq.next_element()?;
        Ok(Appended {
            first: first.ok_or_else(|| serde::de::Error::invalid_length(0, &self))?,
            // Fails at the end of a message of the version before.
            second: seq.next_element().ok().flatten().unwrap_or_default(),
        })
    }
}

/// Encodes a message and its extension. Empty if one of them cannot be encoded, which no receiver can decode.
pub fn encode_extended<M: Serialize, E: Serialize>(message: &M, extension: &E) -> Vec<u8> {
    let encoded = postcard::to_stdvec(message);
    let encoded = encoded.and_then(|it| postcard::to_extend(extension, it));
    encoded.unwrap_or_default()
}

/// Decodes a message and its extension, which is the default if it is missing or cannot be decoded. `None` if the
/// message cannot be decoded.
pub fn decode_extended<M: DeserializeOwned, E: DeserializeOwned + Default>(bytes: &[u8]) -> Option<(M, E)> {
    let (message, rest) = postcard::take_from_bytes(bytes).ok()?;
    let extension = postcard::from_bytes(rest).unwrap_or_default();
    Some((message, extension))
}
