//! Receiver side of grants: tokens that other routers granted to this one from shares that they hold.

use std::collections::BTreeMap;

use super::{GrantKey, Report, RouterIncarnation};
use crate::units::Millis;

#[derive(Debug, Clone)]
struct CachedGrant {
    key: GrantKey,
    expires: Millis,
    units: u64,
}

#[derive(Debug, Clone)]
struct Tally {
    holder: RouterIncarnation,
    current: Report,
    /// Counters in the latest report that was made for the holder, which may not have arrived.
    sent: Report,
    acknowledged: Report,
}

/// Unspent grants of one organisation at a receiver, with the counters that it reports to the holders.
#[derive(Debug, Clone, Default)]
pub struct GrantCache {
    grants: Vec<CachedGrant>,
    tallies: BTreeMap<GrantKey, Tally>,
}

impl GrantCache {
    /// Adds a grant of `units` made by `holder`, which can be spent before `expires`.
    pub fn add(&mut self, holder: &RouterIncarnation, key: GrantKey, units: u64, expires: Millis) {
        self.tallies.entry(key).or_insert_with(|| Tally {
            holder: holder.clone(),
            current: Report::default(),
            sent: Report::default(),
            acknowledged: Report::default(),
        });
        self.insert(CachedGrant { key, expires, units });
    }

    /// Units that can be spent now. Expired units are counted as returned.
    pub fn level(&mut self, now: Millis) -> u64 {
        self.drop_expired(now);
        self.grants.iter().map(|it| it.units).sum()
    }

    /// Spends up to `units`, earliest expiry first, and calls `on_spent` with the key, expiry and size of each part.
    pub fn spend(&mut self, now: Millis, units: u64, mut on_spent: impl FnMut(GrantKey, Millis, u64)) {
        self.drop_expired(now);
        let mut missing = units;
        for grant in &mut self.grants {
            let amount = grant.units.min(missing);
            if amount == 0 {
                continue;
            }
            grant.units -= amount;
            missing -= amount;
            if let Some(tally) = self.tallies.get_mut(&grant.key) {
                tally.current.spent += amount;
            }
            on_spent(grant.key, grant.expires, amount);
        }
        self.grants.retain(|it| it.units > 0);
    }

    /// Refunds units that were spent and returns how many of them can be spent again at once.
    ///
    /// Units that no report has declared as spent yet are still outstanding at the holder, so they go back to this
    /// cache. The others return to the budget when the holder receives a report of the refund.
    pub fn refund(&mut self, now: Millis, key: GrantKey, expires: Millis, units: u64) -> u64 {
        let Some(tally) = self.tallies.get_mut(&key) else {
            return 0;
        };
        let unsent = units.min(tally.current.spent - tally.sent.spent);
        tally.current.spent -= unsent;
        let reported = units - unsent;
        tally.current.refunded = (tally.current.refunded + reported).min(tally.current.spent);
        self.insert(CachedGrant {
            key,
            expires,
            units: unsent,
        });
        self.drop_expired(now);
        unsent
    }

    /// Returns all but `keep` units; the holders learn of it by the next report.
    pub fn shrink(&mut self, now: Millis, keep: u64) {
        let mut surplus = self.level(now).saturating_sub(keep);
        for grant in &mut self.grants {
            let amount = grant.units.min(surplus);
            grant.units -= amount;
            surplus -= amount;
            if let Some(tally) = self.tallies.get_mut(&grant.key) {
                tally.current.returned += amount;
            }
        }
        self.grants.retain(|it| it.units > 0);
    }

    /// Reports that `holder` has not acknowledged. They count as sent, because they may arrive even if no answer comes.
    pub fn reports(&mut self, now: Millis, holder: &RouterIncarnation) -> Vec<(GrantKey, Report)> {
        self.drop_expired(now);
        self.tallies
            .iter_mut()
            .filter(|(_, tally)| tally.holder == *holder && tally.current != tally.acknowledged)
            .map(|(key, tally)| {
                tally.sent = tally.current;
                (*key, tally.current)
            })
            .collect()
    }

    /// Records that the holder has received these reports.
    pub fn acknowledge(&mut self, reports: &[(GrantKey, Report)]) {
        for (key, report) in reports {
            if let Some(tally) = self.tallies.get_mut(key) {
                tally.acknowledged = *report;
            }
        }
    }

    /// Holders that have not acknowledged the present counters.
    pub fn unreported(&mut self, now: Millis) -> Vec<RouterIncarnation> {
        self.drop_expired(now);
        let mut holders: Vec<_> = self
            .tallies
            .values()
            .filter(|it| it.current != it.acknowledged)
            .map(|it| it.holder.clone())
            .collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Drops the counters of the share's terms before `current`, except those with unspent grants here.
    pub fn forget_before(&mut self, current: GrantKey) {
        let grants = &self.grants;
        self.tallies.retain(|key, _| {
            key.share != current.share || key.term >= current.term || grants.iter().any(|it| it.key == *key)
        });
    }

    fn insert(&mut self, grant: CachedGrant) {
        if grant.units > 0 {
            let index = self.grants.partition_point(|it| it.expires <= grant.expires);
            self.grants.insert(index, grant);
        }
    }

    fn drop_expired(&mut self, now: Millis) {
        let expired = self.grants.partition_point(|it| it.expires <= now);
        for grant in self.grants.drain(..expired) {
            if let Some(tally) = self.tallies.get_mut(&grant.key) {
                tally.current.returned += grant.units;
            }
        }
    }
}
