//! Callers' keys: `gv_<id>_<secret>`.
//!
//! Only a keyed hash of the secret is stored. The comparison takes constant time, so that response times tell nothing
//! about the stored hash.

use hmac::{Hmac, Mac};
use quick_error::quick_error;
use rand::RngCore;
use sha2::Sha256;

use crate::config::Key;
use crate::ids::{KeyId, OrganisationName};

const PREFIX: &str = "gv_";
const SECRET_BYTES: usize = 24;
const MAX_ID_CHARS: usize = 64;
const MAX_SECRET_CHARS: usize = 128;
/// Shortest accepted pepper, in bytes.
pub const MIN_PEPPER_BYTES: usize = 16;

quick_error! {
    /// Text that is not a key.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum KeyError {
        /// The text does not have the form `gv_<id>_<secret>`.
        Malformed {
            display("not of the form gv_<id>_<secret>")
        }
    }
}

/// A presented key in its two parts.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct PresentedKey<'a> {
    /// Public part.
    pub id: &'a str,
    secret: &'a str,
}

impl std::fmt::Debug for PresentedKey<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PresentedKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl<'a> PresentedKey<'a> {
    /// Splits the text of a key.
    ///
    /// # Errors
    ///
    /// Fails when the text does not have the form of a key.
    pub fn parse(text: &'a str) -> Result<Self, KeyError> {
        let rest = text.strip_prefix(PREFIX).ok_or(KeyError::Malformed)?;
        let (id, secret) = rest.split_once('_').ok_or(KeyError::Malformed)?;
        let id_ok = !id.is_empty()
            && id.len() <= MAX_ID_CHARS
            && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'.');
        let secret_ok =
            !secret.is_empty() && secret.len() <= MAX_SECRET_CHARS && secret.bytes().all(|b| b.is_ascii_alphanumeric());
        if id_ok && secret_ok {
            Ok(Self { id, secret })
        } else {
            Err(KeyError::Malformed)
        }
    }
}

/// Hashes secrets under the deployment's pepper.
#[derive(Clone)]
pub struct KeyHasher {
    keyed: Hmac<Sha256>,
}

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyHasher").finish_non_exhaustive()
    }
}

impl KeyHasher {
    /// Creates a hasher with the given pepper.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    pub fn new(pepper: &[u8]) -> Self {
        Self {
            keyed: Hmac::new_from_slice(pepper).expect("HMAC takes keys of any length"),
        }
    }

    /// Hexadecimal hash of a secret.
    pub fn hash(&self, secret: &str) -> String {
        let mut mac = self.keyed.clone();
        mac.update(secret.as_bytes());
        hex::encode(mac.finalize().into_bytes())
    }

    /// Whether `presented` is the key that `stored` describes; says nothing about withdrawal.
    pub fn matches(&self, presented: &PresentedKey<'_>, stored: &Key) -> bool {
        let mut expected = [0; 32];
        if hex::decode_to_slice(&stored.hash, &mut expected).is_err() {
            return false;
        }
        let mut mac = self.keyed.clone();
        mac.update(presented.secret.as_bytes());
        // `verify_slice` compares in constant time.
        let same_secret = mac.verify_slice(&expected).is_ok();
        same_secret && stored.id.as_str() == presented.id
    }
}

/// A new key: the object to store and the text that is shown to the operator once.
#[derive(Debug, Clone, PartialEq)]
pub struct NewKey {
    /// Object to store.
    pub key: Key,
    /// Text for the caller.
    pub text: String,
}

/// Makes a new key of an organisation.
pub fn new_key(hasher: &KeyHasher, id: &str, organisation: &OrganisationName, rng: &mut dyn RngCore) -> NewKey {
    let mut bytes = [0; SECRET_BYTES];
    rng.fill_bytes(&mut bytes);
    let secret = hex::encode(bytes);
    NewKey {
        text: format!("{PREFIX}{id}_{secret}"),
        key: Key {
            id: KeyId::new(id),
            organisation: organisation.clone(),
            hash: hasher.hash(&secret),
            withdrawn: false,
        },
    }
}
