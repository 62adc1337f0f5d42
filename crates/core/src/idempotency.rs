//! Records that let a request with an idempotency key run at most once.
//!
//! A record is created under the condition that none exists, before the request is sent. The attempt whose id is in
//! the record may run, and nobody else ever may until that attempt declares that nothing ran and removes the record.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::ids::OrganisationName;
use crate::quota::RouterIncarnation;

/// Time for which a record is kept, in milliseconds.
pub const RECORD_KEPT_MS: u64 = 24 * 3_600_000;

/// Largest record that is stored, in bytes. The platform holds 1 MB, of which the object's frame takes a part.
pub const MAX_RECORD_BYTES: usize = 900_000;

/// Longest accepted key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

derive_value! {
    /// State of a record.
    #[serde(rename_all = "snake_case")]
    pub enum RecordState<A> {
        /// The claimant's attempt runs or may run.
        Claimed,
        /// The attempt has this answer.
        Answered(A),
        /// The attempt may have run; its answer is not known or too large to store.
        Unknown,
    }

    /// Record of a key.
    pub struct Record<A> {
        /// Router that claimed the key.
        pub claimant: RouterIncarnation,
        /// Attempt that may run.
        pub attempt: String,
        /// Digest of the request.
        pub digest: String,
        /// State.
        pub state: RecordState<A>,
        /// Wall time of the claim in milliseconds since the epoch; only expiry depends on it.
        pub claimed_ms: u64,
    }
}

/// What is known of a claimant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claimant {
    /// Not proved to have ended.
    Alive,
    /// Proved to have ended.
    Ended,
}

/// What an attempt does about a record that it has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Create the record under the condition that none exists, and read again if the answer is lost.
    Create,
    /// Run the request: the record is this attempt's own.
    Run,
    /// Give the stored answer.
    Replay,
    /// Wait for the claimant.
    Wait,
    /// Answer that the outcome is unknown.
    Unknown,
    /// Refuse: the key was used with a different request.
    Conflict,
}

/// Decides on a claim by the record as read, the caller's attempt id and what is known of the claimant.
pub fn decide<A>(record: Option<&Record<A>>, digest: &str, attempt: &str, claimant: Claimant) -> Decision {
    let Some(record) = record else {
        return Decision::Create;
    };
    if record.digest != digest {
        return Decision::Conflict;
    }
    match (&record.state, claimant) {
        (RecordState::Answered(_), _) => Decision::Replay,
        (RecordState::Claimed, _) if record.attempt == attempt => Decision::Run,
        (RecordState::Claimed, Claimant::Alive) => Decision::Wait,
        (RecordState::Unknown, _) | (RecordState::Claimed, Claimant::Ended) => Decision::Unknown,
    }
}

/// Whether a record may be deleted at the given wall time. A claim of a running router is kept.
pub fn is_expired<A>(record: &Record<A>, wall_ms: u64, claimant: Claimant) -> bool {
    let old = wall_ms.saturating_sub(record.claimed_ms) > RECORD_KEPT_MS;
    let running = matches!(record.state, RecordState::Claimed) && claimant == Claimant::Alive;
    old && !running
}

/// Whether callers may use this key.
pub fn is_key(key: &str) -> bool {
    let printable = key.bytes().all(|it| it.is_ascii_graphic() || it == b' ');
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && printable
}

/// Name of the record's object: the organisation and a keyed hash, because the platform must not see callers' keys.
///
/// # Panics
///
/// Never: HMAC accepts secrets of any length.
pub fn record_name(secret: &[u8], organisation: &OrganisationName, key: &str) -> String {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts secrets of any length");
    mac.update(organisation.as_str().as_bytes());
    mac.update(&[0]);
    mac.update(key.as_bytes());
    let hash = mac.finalize().into_bytes();
    format!("{organisation}.{}", hex::encode(&hash[..16]))
}
