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
struct GrantUsage {
    holder: RouterIncarnation,
    current: Report,
    sent: Report,
    acknowledged: Report,
}

/// Unspent grants of one organisation at a receiver, with the counters that it reports to the holders.
#[derive(Debug, Clone, Default)]
pub struct GrantCache {
    grants: Vec<CachedGrant>,
    usage_by_key: BTreeMap<GrantKey, GrantUsage>,
}

impl GrantCache {
    /// Adds a grant of `units` made by `holder`, which can be spent before `expires`.
    pub fn add(&mut self, holder: &RouterIncarnation, key: GrantKey, units: u64, expires: Millis) {
        self.usage_by_key.entry(key).or_insert_with(|| GrantUsage {
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
            if let Some(usage) = self.usage_by_key.get_mut(&grant.key) {
                usage.current.spent += amount;
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
        let Some(usage) = self.usage_by_key.get_mut(&key) else {
            return 0;
        };
        let unreported_units = units.min(usage.current.spent - usage.sent.spent);
        usage.current.spent -= unreported_units;
        let reported_units = units - unreported_units;
        usage.current.refunded = (usage.current.refunded + reported_units).min(usage.current.spent);
        self.insert(CachedGrant {
            key,
            expires,
            units: unreported_units,
        });
        self.drop_expired(now);
        unreported_units
    }

    /// Returns all but `keep` units; the holders learn of it by the next report.
    pub fn shrink(&mut self, now: Millis, keep: u64) {
        let mut surplus = self.level(now).saturating_sub(keep);
        for grant in &mut self.grants {
            let amount = grant.units.min(surplus);
            grant.units -= amount;
            surplus -= amount;
            if let Some(usage) = self.usage_by_key.get_mut(&grant.key) {
                usage.current.returned += amount;
            }
        }
        self.grants.retain(|it| it.units > 0);
    }

    /// Reports that `holder` has not acknowledged. They count as sent, because they may arrive even if no answer comes.
    pub fn reports(&mut self, now: Millis, holder: &RouterIncarnation) -> Vec<(GrantKey, Report)> {
        self.drop_expired(now);
        self.usage_by_key
            .iter_mut()
            .filter(|(_, usage)| usage.holder == *holder && usage.current != usage.acknowledged)
            .map(|(key, usage)| {
                usage.sent = usage.current;
                (*key, usage.current)
            })
            .collect()
    }

    /// Records that the holder has received these reports.
    pub fn acknowledge(&mut self, reports: &[(GrantKey, Report)]) {
        for (key, report) in reports {
            if let Some(usage) = self.usage_by_key.get_mut(key) {
                usage.acknowledged = *report;
            }
        }
    }

    /// Holders that have not acknowledged the present counters.
    pub fn unreported(&mut self, now: Millis) -> Vec<RouterIncarnation> {
        self.drop_expired(now);
        let mut holders: Vec<_> = self
            .usage_by_key
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
        self.usage_by_key.retain(|key, _| {
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
            if let Some(usage) = self.usage_by_key.get_mut(&grant.key) {
                usage.current.returned += grant.units;
            }
        }
    }
}
