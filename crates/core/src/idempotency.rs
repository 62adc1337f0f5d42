//! Records that let a request with an idempotency key run at most once.
//!
//! Before the request is sent, a record is created under the condition that none exists. Only the attempt whose id is in
//! the record may run. Another attempt may run only after that one has found that nothing ran and removed the record.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::ids::OrganisationName;
use crate::quota::RouterIncarnation;

/// Time in milliseconds from the claim until a record may be deleted.
pub const RECORD_RETENTION_MS: u64 = 24 * 3_600_000;

/// Size limit of a stored record, in bytes. The platform's limit of 1 MB includes the object's metadata.
pub const MAX_RECORD_BYTES: usize = 900_000;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

derive_value! {
    /// State of a record. `A` is the type of the stored answer.
    #[serde(rename_all = "snake_case")]
    pub enum RecordState<A> {
        /// The claimant's attempt may be running.
        Claimed,
        /// The attempt ended with this answer.
        Answered(A),
        /// The attempt may have run, and its answer is unknown or too large to store.
        Unknown,
    }

    /// Record of an idempotency key.
    pub struct Record<A> {
        /// Router process that claimed the key.
        pub claimant: RouterIncarnation,
        /// Identifier of the only attempt that may run.
        pub attempt: String,
        /// Digest of the request, to detect a key that is used with a different one.
        pub digest: String,
        /// Progress of the attempt.
        pub state: RecordState<A>,
        /// Wall time of the claim in milliseconds since the epoch; only expiry depends on it.
        pub claimed_ms: u64,
    }
}

/// What is known about the process that claimed a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claimant {
    /// The process has not been proved to have ended.
    Alive,
    /// The process has been proved to have ended.
    Ended,
}

/// Next action of an attempt after it has read the record of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Create the record under the condition that none exists; read it again if the platform's answer is lost.
    Create,
    /// Run the request, because the record names this attempt.
    Run,
    /// Return the stored answer.
    Replay,
    /// Wait until the claimant's attempt ends.
    Wait,
    /// Report that the outcome is unknown.
    Unknown,
    /// Refuse, because the key was used with a different request.
    Conflict,
}

/// Chooses the next action of `attempt` for a request with this digest.
///
/// `record` is the record as read and `claimant` what is known about the process that it names.
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

/// Whether a record may be deleted at the given wall time in milliseconds since the epoch.
///
/// A claim of a router that has not ended is kept, because its attempt may still be running.
pub fn is_expired<A>(record: &Record<A>, wall_ms: u64, claimant: Claimant) -> bool {
    let is_old = wall_ms.saturating_sub(record.claimed_ms) > RECORD_RETENTION_MS;
    let is_running = matches!(record.state, RecordState::Claimed) && claimant == Claimant::Alive;
    is_old && !is_running
}

/// Whether `key` is accepted as an idempotency key: 1 to [`MAX_KEY_BYTES`] bytes of printable ASCII.
pub fn is_key(key: &str) -> bool {
    let is_printable = key.bytes().all(|it| it.is_ascii_graphic() || it == b' ');
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && is_printable
}

/// Name of the record's object: the organisation and a keyed hash, so that the platform never sees callers' keys.
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
