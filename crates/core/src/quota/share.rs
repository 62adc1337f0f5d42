//! Holder side of one share of an organisation's token bucket.

use std::collections::BTreeMap;

use super::{INHERITED_MS, Limits, Report, RouterIncarnation};
use crate::units::Millis;

derive_value! {
    /// State that the holder of a share passes to the next holder.
    #[derive(Eq, Copy)]
    pub struct Handover {
        /// Units that the next holder can spend or grant.
        pub level: u64,
        /// Granted units that receivers may still spend; the next holder keeps room for them.
        pub outstanding: u64,
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct GrantAccount {
    granted: u64,
    report: Report,
}

impl GrantAccount {
    fn outstanding(self) -> u64 {
        self.granted - self.report.spent - self.report.returned
    }
}

/// Placeholder for an unknown outstanding amount. It exceeds the capacity of any share, so nothing can accrue.
const UNKNOWN_OUTSTANDING: u64 = u64::MAX / 2;

/// One share of a token bucket: its level, its accrual and the grants whose use has not been reported yet.
#[derive(Debug, Clone)]
pub struct Share {
    limits: Limits,
    level: u64,
    updated: Millis,
    accounts: BTreeMap<RouterIncarnation, GrantAccount>,
    /// Outstanding units of all accounts.
    own_outstanding: u64,
    /// Outstanding units that the previous holder granted; counted until `inherited_until`.
    inherited: u64,
    inherited_until: Millis,
    used: bool,
}

impl Share {
    /// Starts a share of a new organisation at its full capacity.
    pub fn full(now: Millis, limits: Limits) -> Self {
        let level = limits.share_cap();
        Self::start(now, limits, Handover { level, outstanding: 0 })
    }

    /// Starts a share whose previous holder has ended without a handover. Its level counts as spent, and up to the
    /// whole capacity may be outstanding, so nothing accrues for [`INHERITED_MS`].
    pub fn taken_over(now: Millis, limits: Limits) -> Self {
        let outstanding = UNKNOWN_OUTSTANDING;
        Self::start(now, limits, Handover { level: 0, outstanding })
    }

    /// Starts a share with the state received from its previous holder.
    pub fn handed_over(now: Millis, limits: Limits, state: Handover) -> Self {
        Self::start(now, limits, state)
    }

    fn start(now: Millis, limits: Limits, state: Handover) -> Self {
        let mut share = Self {
            limits,
            level: state.level,
            updated: now,
            accounts: BTreeMap::new(),
            own_outstanding: 0,
            inherited: state.outstanding,
            inherited_until: now + INHERITED_MS,
            used: false,
        };
        share.limit_level();
        share
    }

    /// Granted units that receivers may still spend, those granted by the previous holder included.
    pub fn outstanding(&self) -> u64 {
        self.own_outstanding + self.inherited
    }

    /// Units that can be spent or granted now.
    pub fn level(&mut self, now: Millis) -> u64 {
        self.advance(now);
        self.level
    }

    /// Whether this holder has spent or granted units of the share.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Whether the accounts add up and `level + outstanding <= cap` holds. After a reduction of the burst the
    /// outstanding amount alone may exceed the cap; the level must then be zero.
    pub fn is_consistent(&self) -> bool {
        let sum: u64 = self.accounts.values().map(|it| it.outstanding()).sum();
        let bounded = self.level == 0 || self.level + self.outstanding() <= self.limits.share_cap();
        sum == self.own_outstanding && bounded
    }

    /// Applies a new rate and burst; accrual up to `now` follows the old ones.
    pub fn set_limits(&mut self, now: Millis, limits: Limits) {
        self.advance(now);
        self.limits = limits;
        self.limit_level();
    }

    /// Takes units for an admission by the holder itself. Takes nothing and returns false when there are too few.
    pub fn spend(&mut self, now: Millis, units: u64) -> bool {
        self.advance(now);
        let enough = self.level >= units;
        if enough {
            self.used = true;
            self.level -= units;
        }
        enough
    }

    /// Adds back units that the holder itself had spent; what exceeds the free capacity is lost.
    pub fn refund(&mut self, now: Millis, units: u64) {
        self.advance(now);
        self.level = self.level.saturating_add(units);
        self.limit_level();
    }

    /// Deducts up to `units` for another router and returns how many were deducted. The caller sends the grant after
    /// this, so that a lost message loses tokens but never creates any.
    pub fn grant(&mut self, now: Millis, receiver: &RouterIncarnation, units: u64) -> u64 {
        self.advance(now);
        let granted_units = units.min(self.level);
        if granted_units > 0 {
            self.used = true;
            self.level -= granted_units;
            self.own_outstanding += granted_units;
            self.accounts.entry(receiver.clone()).or_default().granted += granted_units;
        }
        granted_units
    }

    /// Applies a receiver's report and returns the refunded units that were added to the level.
    ///
    /// Ignores reports of unknown receivers, outdated or repeated reports, and reports of more units than were granted.
    pub fn report(&mut self, now: Millis, receiver: &RouterIncarnation, report: Report) -> u64 {
        self.advance(now);
        let Some(account) = self.accounts.get_mut(receiver) else {
            return 0;
        };
        let known = account.report;
        let newer = report.spent >= known.spent && report.returned >= known.returned;
        let newer = newer && report.refunded >= known.refunded && report.refunded <= report.spent;
        let covered = report
            .spent
            .checked_add(report.returned)
            .is_some_and(|it| it <= account.granted);
        if !newer || !covered {
            return 0;
        }
        account.report = report;
        let returned = report.returned - known.returned;
        self.own_outstanding -= report.spent - known.spent + returned;
        self.level += returned;
        let before = self.level;
        self.level += report.refunded - known.refunded;
        self.limit_level();
        self.level.saturating_sub(before)
    }

    /// Counts everything outstanding at a receiver that has ended as spent, and returns that amount.
    pub fn write_off(&mut self, now: Millis, receiver: &RouterIncarnation) -> u64 {
        self.advance(now);
        let written_off = self.accounts.remove(receiver).map_or(0, GrantAccount::outstanding);
        self.own_outstanding -= written_off;
        written_off
    }

    /// Receivers of grants from this holder that have not been written off.
    pub fn receivers(&self) -> impl Iterator<Item = &RouterIncarnation> {
        self.accounts.keys()
    }

    /// State for the next holder. The caller must not spend or grant from the share afterwards.
    pub fn handover(&mut self, now: Millis) -> Handover {
        self.advance(now);
        Handover {
            level: self.level,
            outstanding: self.outstanding(),
        }
    }

    fn advance(&mut self, now: Millis) {
        if self.inherited > 0 && now >= self.inherited_until {
            self.accrue(self.inherited_until);
            self.inherited = 0;
        }
        self.accrue(now);
    }

    fn accrue(&mut self, until: Millis) {
        let gained = self.limits.share_rate().saturating_mul(until.since(self.updated));
        self.updated = self.updated.max(until);
        self.level = self.level.saturating_add(gained);
        self.limit_level();
    }

    fn limit_level(&mut self) {
        let room = self.limits.share_cap().saturating_sub(self.outstanding());
        self.level = self.level.min(room);
    }
}
