//! Callers' keys: `gv_<id>_<secret>`.
//!
//! Only a keyed hash of the secret is stored. Hashes are compared in constant time, so that response times reveal
//! nothing about the stored one.

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
/// Minimum length of the pepper, in bytes. The programs check it at start.
pub const MIN_PEPPER_BYTES: usize = 16;

quick_error! {
    /// Error of [`PresentedKey::parse`].
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum KeyError {
        /// The text does not have the form `gv_<id>_<secret>`.
        Malformed {
            display("not of the form gv_<id>_<secret>")
        }
    }
}

/// A key as presented by a caller, split into its parts. Its debug output omits the secret.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct PresentedKey<'a> {
    /// Public part, by which the stored key is looked up.
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
    /// Parses the text of a key.
    ///
    /// # Errors
    ///
    /// Fails when the text does not have the form `gv_<id>_<secret>`, or a part is too long or has other characters than
    /// ASCII letters, digits and, in the id, `-` and `.`.
    pub fn parse(text: &'a str) -> Result<Self, KeyError> {
        let id_and_secret = text.strip_prefix(PREFIX).ok_or(KeyError::Malformed)?;
        let (id, secret) = id_and_secret.split_once('_').ok_or(KeyError::Malformed)?;
        let is_id_valid = !id.is_empty()
            && id.len() <= MAX_ID_CHARS
            && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'.');
        let is_secret_valid =
            !secret.is_empty() && secret.len() <= MAX_SECRET_CHARS && secret.bytes().all(|b| b.is_ascii_alphanumeric());
        if is_id_valid && is_secret_valid {
            Ok(Self { id, secret })
        } else {
            Err(KeyError::Malformed)
        }
    }
}

/// Computes HMAC-SHA-256 of secrets under the deployment's pepper.
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
    /// Creates a hasher. All processes of a deployment must use the same pepper.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    pub fn new(pepper: &[u8]) -> Self {
        Self {
            keyed: Hmac::new_from_slice(pepper).expect("HMAC takes keys of any length"),
        }
    }

    /// Hash of a secret in hexadecimal, as stored in [`Key::hash`].
    pub fn hash(&self, secret: &str) -> String {
        let mut mac = self.keyed.clone();
        mac.update(secret.as_bytes());
        hex::encode(mac.finalize().into_bytes())
    }

    /// Whether `presented` has the id and the secret of `stored`. Does not check whether the key has been withdrawn.
    pub fn matches(&self, presented: &PresentedKey<'_>, stored: &Key) -> bool {
        let mut expected = [0; 32];
        if hex::decode_to_slice(&stored.hash, &mut expected).is_err() {
            return false;
        }
        let mut mac = self.keyed.clone();
        mac.update(presented.secret.as_bytes());
        // `verify_slice` compares in constant time.
        let is_same_secret = mac.verify_slice(&expected).is_ok();
        is_same_secret && stored.id.as_str() == presented.id
    }
}

/// A generated key.
#[derive(Debug, Clone, PartialEq)]
pub struct NewKey {
    /// Object to store; it holds only the hash of the secret.
    pub key: Key,
    /// Text of the key with its secret, to be shown to the operator once and never stored.
    pub text: String,
}

/// Generates a key of an organisation with a random secret.
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
