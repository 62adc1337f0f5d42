//! Fleet-wide rate and burst of an organisation, counted in tokens.
//!
//! The token bucket is split into [`SHARES`] shares of equal size, each held by one router. Let *available* be the sum
//! of the levels of all shares and of all granted tokens that their receivers can still spend. Every share keeps
//! `level + outstanding <= cap`, and outstanding never falls below what receivers can still spend, so available never
//! exceeds the burst. Admission takes from available, and only accrual and refunds add to it. Hence over an interval
//! of length `t` all routers together admit at most `burst + rate * t`, refunds taken off when they re-enter the budget.
//!
//! A new holder of a share may not know what the previous one had granted. Grants are therefore valid for
//! [`GRANT_VALID_MS`] from the moment before they were requested, and a share that changes hands counts the previous
//! holder's grants as outstanding for [`INHERITED_MS`]. Both periods are measured on local clocks, which must run at
//! the same rate within the difference of the two; they need not show the same time.

mod ledger;
mod map;
mod plan;
mod registry;
mod share;
mod wallet;

pub use ledger::{Admission, Ledger, MAX_HOLDER_ROUNDS, Reservation, Source, TakeAnswer, TakeRequest};
pub use map::{Holding, ShareMap};
pub use plan::plan_holders;
pub use registry::SlotRegistry;
pub use share::{Handover, Share};
pub use wallet::Wallet;

use crate::ids::{Incarnation, MemberId, Term};

/// Shares of an organisation. A router holds several while fewer routers than shares are alive, because changing the
/// number of shares would need the agreement of all holders.
pub const SHARES: usize = 4;

/// Units in a token. With four shares a rate in tokens a second is the same number of units a millisecond and share,
/// so accrual needs no rounding.
pub const UNITS_PER_TOKEN: u64 = 1_000 * SHARES as u64;

/// Time for which a granted token can be spent, from before it was requested.
pub const GRANT_VALID_MS: u64 = 2_000;

/// Time for which a share that has changed hands counts the previous holder's grants. The excess over
/// [`GRANT_VALID_MS`] covers clocks of different speed.
pub const INHERITED_MS: u64 = 3_000;

/// Demand of this period fits into a wallet.
pub const WALLET_MS: u64 = 200;

/// Time for which a reservation that finds too few tokens is tried again. Tokens can be on their way between routers
/// for some milliseconds although the organisation is within its limits.
pub const GATHER_MS: u64 = 250;

/// Time after which a request to a holder counts as failed and is repeated later, well within [`GATHER_MS`].
pub const TAKE_TIMEOUT_MS: u64 = 60;

/// Time for which a holder that did not answer is not asked, because each attempt delays waiting reservations.
pub const AVOID_MS: u64 = 1_000;

/// A wallet is at most this part of a share.
pub const WALLET_DIVISOR: u64 = 4;

derive_value! {
    /// One life of a router.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct RouterIncarnation {
        /// Identifier.
        pub member: MemberId,
        /// Start time.
        pub incarnation: Incarnation,
    }

    /// Tokens granted from one share under one term.
    #[derive(Eq, Hash, PartialOrd, Ord, Copy)]
    pub struct GrantKey {
        /// Number of the share.
        pub share: u8,
        /// Term of the holder that granted them.
        pub term: Term,
    }

    /// What a receiver has done with its grants since the first one, in units. Counters only grow, so a report may be
    /// repeated or overtaken by a later one.
    #[derive(Eq, Copy, Default)]
    pub struct Report {
        /// Spent on admissions.
        pub spent: u64,
        /// Given back without having been spent.
        pub returned: u64,
        /// Spent and later refunded by a settlement.
        pub refunded: u64,
    }
}

/// Rate and burst of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Limits {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

impl Limits {
    /// Units that one share may hold.
    pub fn share_cap(self) -> u64 {
        self.burst.saturating_mul(UNITS_PER_TOKEN / SHARES as u64)
    }

    /// Units that one share gains in a millisecond.
    pub fn share_rate(self) -> u64 {
        self.rate
    }

    /// Units that the whole organisation gains in `ms` milliseconds.
    pub fn time_gain(self, ms: u64) -> u64 {
        self.rate.saturating_mul(SHARES as u64).saturating_mul(ms)
    }

    /// Time in which the whole organisation gains `units`, in milliseconds; `None` when it gains nothing.
    pub fn time_to_gain(self, units: u64) -> Option<u64> {
        let gain = self.rate * SHARES as u64;
        (gain > 0).then(|| units.div_ceil(gain).max(1))
    }
}
