//! One share of an organisation's token bucket, at its holder.

use std::collections::BTreeMap;

use super::{INHERITED_MS, Limits, Report, RouterIncarnation};
use crate::units::Millis;

derive_value! {
    /// State that a holder passes on with a share.
    #[derive(Eq, Copy)]
    pub struct Handover {
        /// Level in units.
        pub level: u64,
        /// Units that receivers may still spend.
        pub outstanding: u64,
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Account {
    granted: u64,
    report: Report,
}

impl Account {
    fn outstanding(self) -> u64 {
        self.granted - self.report.spent - self.report.returned
    }
}

/// Stands for an outstanding amount that is not known; it leaves no room in any share.
const UNKNOWN_OUTSTANDING: u64 = u64::MAX / 2;

/// A share: level, cap, accrual and grants that are not yet accounted for.
#[derive(Debug, Clone)]
pub struct Share {
    limits: Limits,
    level: u64,
    updated: Millis,
    accounts: BTreeMap<RouterIncarnation, Account>,
    granted: u64,
    inherited: u64,
    inherited_until: Millis,
    used: bool,
}

impl Share {
    /// Share of a new organisation.
    pub fn full(now: Millis, limits: Limits) -> Self {
        let level = limits.share_cap();
        Self::start(now, limits, Handover { level, outstanding: 0 })
    }

    /// Share whose previous holder has ended: its level counts as spent and everything may have been granted.
    pub fn taken_over(now: Millis, limits: Limits) -> Self {
        let outstanding = UNKNOWN_OUTSTANDING;
        Self::start(now, limits, Handover { level: 0, outstanding })
    }

    /// Share handed over by its previous holder.
    pub fn handed_over(now: Millis, limits: Limits, state: Handover) -> Self {
        Self::start(now, limits, state)
    }

    fn start(now: Millis, limits: Limits, state: Handover) -> Self {
        let mut share = Self {
            limits,
            level: state.level,
            updated: now,
            accounts: BTreeMap::new(),
            granted: 0,
            inherited: state.outstanding,
            inherited_until: now + INHERITED_MS,
            used: false,
        };
        share.limit_level();
        share
    }

    /// Units that receivers may still spend.
    pub fn outstanding(&self) -> u64 {
        self.granted + self.inherited
    }

    /// Units that can be taken now.
    pub fn level(&mut self, now: Millis) -> u64 {
        self.advance(now);
        self.level
    }

    /// Whether units have been taken from the share under this holder.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Whether `level + outstanding <= cap` holds; after a cut of the burst only the level is bounded.
    pub fn is_consistent(&self) -> bool {
        let sum: u64 = self.accounts.values().map(|it| it.outstanding()).sum();
        let bounded = self.level == 0 || self.level + self.outstanding() <= self.limits.share_cap();
        sum == self.granted && bounded
    }

    /// Applies a change of rate or burst.
    pub fn set_limits(&mut self, now: Millis, limits: Limits) {
        self.advance(now);
        self.limits = limits;
        self.limit_level();
    }

    /// Takes units for the holder's own use; nothing when there are too few.
    pub fn spend(&mut self, now: Millis, units: u64) -> bool {
        self.advance(now);
        let enough = self.level >= units;
        if enough {
            self.used = true;
            self.level -= units;
        }
        enough
    }

    /// Puts back units that the holder itself had spent, up to the cap.
    pub fn refund(&mut self, now: Millis, units: u64) {
        self.advance(now);
        self.level = self.level.saturating_add(units);
        self.limit_level();
    }

    /// Grants up to `units` to another router. They are deducted before the grant is sent.
    pub fn grant(&mut self, now: Millis, receiver: &RouterIncarnation, units: u64) -> u64 {
        self.advance(now);
        let part = units.min(self.level);
        if part > 0 {
            self.used = true;
            self.level -= part;
            self.granted += part;
            self.accounts.entry(receiver.clone()).or_default().granted += part;
        }
        part
    }

    /// Applies a receiver's report and returns the refunded units that re-entered the level.
    ///
    /// Reports of unknown receivers and reports that are not newer change nothing.
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
        self.granted -= report.spent - known.spent + returned;
        self.level += returned;
        let before = self.level;
        self.level += report.refunded - known.refunded;
        self.limit_level();
        self.level.saturating_sub(before)
    }

    /// Counts as spent what is outstanding at a receiver that has ended.
    pub fn write_off(&mut self, now: Millis, receiver: &RouterIncarnation) -> u64 {
        self.advance(now);
        let lost = self.accounts.remove(receiver).map_or(0, Account::outstanding);
        self.granted -= lost;
        lost
    }

    /// Receivers with an account.
    pub fn receivers(&self) -> impl Iterator<Item = &RouterIncarnation> {
        self.accounts.keys()
    }

    /// State for the next holder. The caller must not use the share afterwards.
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
