//! Fleet-wide rate limit of an organisation: a distributed token bucket.
//!
//! The bucket is split into [`SHARES`] shares of equal size, each held by one router. A holder admits requests from its
//! shares and grants tokens to routers that hold none. Let *available* be the sum of the levels of all shares and of
//! all granted tokens that their receivers can still spend. Every share keeps `level + outstanding <= cap`, and
//! outstanding never falls below what receivers can still spend, so available never exceeds the burst. Admission takes
//! from available; only accrual and refunds add to it. Hence over any interval of length `t` all routers together admit
//! at most `burst + rate * t`, less the refunds that returned to the budget in that interval.
//!
//! A new holder of a share may not know what the previous holder granted. Grants therefore expire [`GRANT_VALID_MS`]
//! after the receiver sent its request, and a share that changes holders counts the previous holder's grants as
//! outstanding for [`INHERITED_MS`]. Each router measures these periods on its own clock. The clocks need not show the
//! same time, but over [`INHERITED_MS`] they must not drift apart by more than the difference of the two periods.

mod grant_cache;
mod ledger;
mod map;
mod plan;
mod registry;
mod share;

pub use grant_cache::GrantCache;
pub use ledger::{Admission, Ledger, MAX_HOLDER_ROUNDS, Reservation, Source, TakeAnswer, TakeRequest};
pub use map::{Holding, ShareMap};
pub use plan::plan_holders;
pub use registry::RequestRegistry;
pub use share::{Handover, Share};

use crate::ids::{Incarnation, MemberId, Term};

/// Number of shares of each organisation. It is fixed because changing it would need the agreement of all holders; with
/// fewer live routers than shares, a router holds several.
pub const SHARES: usize = 4;

/// Units per token. Chosen so that a rate in tokens per second equals the units that one share gains per millisecond,
/// and accrual needs no rounding.
pub const UNITS_PER_TOKEN: u64 = 1_000 * SHARES as u64;

/// Validity of a grant in milliseconds, counted from the moment at which the receiver first sent its request.
pub const GRANT_VALID_MS: u64 = 2_000;

/// Time in milliseconds for which the new holder of a share counts the previous holder's grants as outstanding. The
/// excess over [`GRANT_VALID_MS`] allows for clock drift.
pub const INHERITED_MS: u64 = 3_000;

/// Period in milliseconds over which demand is measured; a grant cache is sized to the demand of one such period.
pub const DEMAND_WINDOW_MS: u64 = 200;

/// Time in milliseconds for which a reservation that found too few tokens is retried before the request is refused.
/// Tokens can be in transit between routers for some milliseconds although the organisation is within its limits.
pub const RESERVE_TIMEOUT_MS: u64 = 250;

/// Timeout in milliseconds of a request to a holder. Well below [`RESERVE_TIMEOUT_MS`], so that it can be repeated in
/// that time.
pub const TAKE_TIMEOUT_MS: u64 = 60;

/// Time in milliseconds for which a holder that did not answer is skipped, because each attempt delays waiting
/// reservations.
pub const HOLDER_BACKOFF_MS: u64 = 1_000;

/// A grant cache holds at most the capacity of a share divided by this number.
pub const GRANT_CACHE_DIVISOR: u64 = 4;

derive_value! {
    /// One run of a router process, from start to exit.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct RouterIncarnation {
        /// Router; the same for all its runs.
        pub member: MemberId,
        /// Start time of this run; a later run has a larger one.
        pub incarnation: Incarnation,
    }

    /// Identifies all grants made from one share in one term of its holder.
    #[derive(Eq, Hash, PartialOrd, Ord, Copy)]
    pub struct GrantKey {
        /// Index of the share, below [`SHARES`].
        pub share: u8,
        /// Term in which the holder made the grants.
        pub term: Term,
    }

    /// Use that a receiver has made of all its grants of one [`GrantKey`], in units. The counters never decrease, so
    /// reports may arrive twice or out of order.
    #[derive(Eq, Copy, Default)]
    pub struct Report {
        /// Spent on admissions.
        pub spent: u64,
        /// Returned unspent, either on purpose or because the grant expired.
        pub returned: u64,
        /// Part of `spent` that settlements have refunded.
        pub refunded: u64,
    }
}

/// Configured rate limit of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Limits {
    /// Tokens per second.
    pub rate: u64,
    /// Capacity of the token bucket, in tokens.
    pub burst: u64,
}

impl Limits {
    /// Capacity of one share, in units.
    pub fn share_cap(self) -> u64 {
        self.burst.saturating_mul(UNITS_PER_TOKEN / SHARES as u64)
    }

    /// Units that one share gains per millisecond.
    pub fn share_rate(self) -> u64 {
        self.rate
    }

    /// Units that the whole organisation gains in `ms` milliseconds.
    pub fn time_gain(self, ms: u64) -> u64 {
        self.rate.saturating_mul(SHARES as u64).saturating_mul(ms)
    }

    /// Time in milliseconds in which the whole organisation gains `units`, at least 1; `None` when the rate is 0.
    pub fn time_to_gain(self, units: u64) -> Option<u64> {
        let gain = self.rate * SHARES as u64;
        (gain > 0).then(|| units.div_ceil(gain).max(1))
    }
}
