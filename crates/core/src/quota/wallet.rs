//! Tokens granted to a router that does not hold the share they come from.

use std::collections::BTreeMap;

use super::{GrantKey, Report, RouterIncarnation};
use crate::units::Millis;

#[derive(Debug, Clone)]
struct Part {
    key: GrantKey,
    expires: Millis,
    units: u64,
}

#[derive(Debug, Clone)]
struct Tally {
    holder: RouterIncarnation,
    current: Report,
    sent: Report,
    acknowledged: Report,
}

/// Grants of one organisation at a receiver.
#[derive(Debug, Clone, Default)]
pub struct Wallet {
    parts: Vec<Part>,
    tallies: BTreeMap<GrantKey, Tally>,
}

impl Wallet {
    /// Adds a grant that was requested at a time which ends its validity at `expires`.
    pub fn add(&mut self, holder: &RouterIncarnation, key: GrantKey, units: u64, expires: Millis) {
        self.tallies.entry(key).or_insert_with(|| Tally {
            holder: holder.clone(),
            current: Report::default(),
            sent: Report::default(),
            acknowledged: Report::default(),
        });
        self.insert(Part { key, expires, units });
    }

    /// Units that can be spent now. Expired units are marked as returned.
    pub fn level(&mut self, now: Millis) -> u64 {
        self.drop_expired(now);
        self.parts.iter().map(|it| it.units).sum()
    }

    /// Spends up to `units`, the first to expire first, and passes each piece with its expiry to `taken`.
    pub fn spend(&mut self, now: Millis, units: u64, mut taken: impl FnMut(GrantKey, Millis, u64)) {
        self.drop_expired(now);
        let mut missing = units;
        for part in &mut self.parts {
            let piece = part.units.min(missing);
            if piece == 0 {
                continue;
            }
            part.units -= piece;
            missing -= piece;
            if let Some(tally) = self.tallies.get_mut(&part.key) {
                tally.current.spent += piece;
            }
            taken(part.key, part.expires, piece);
        }
        self.parts.retain(|it| it.units > 0);
    }

    /// Refunds units that were spent and returns those that re-enter the budget at once.
    ///
    /// What no sent report has called spent is still outstanding at the holder and returns to the wallet; the rest
    /// re-enters the budget when the holder receives the report.
    pub fn refund(&mut self, now: Millis, key: GrantKey, expires: Millis, units: u64) -> u64 {
        let Some(tally) = self.tallies.get_mut(&key) else {
            return 0;
        };
        let unsent = units.min(tally.current.spent - tally.sent.spent);
        tally.current.spent -= unsent;
        let rest = units - unsent;
        tally.current.refunded = (tally.current.refunded + rest).min(tally.current.spent);
        self.insert(Part {
            key,
            expires,
            units: unsent,
        });
        self.drop_expired(now);
        unsent
    }

    /// Gives back what exceeds `keep` units.
    pub fn shrink(&mut self, now: Millis, keep: u64) {
        let mut surplus = self.level(now).saturating_sub(keep);
        for part in &mut self.parts {
            let piece = part.units.min(surplus);
            part.units -= piece;
            surplus -= piece;
            if let Some(tally) = self.tallies.get_mut(&part.key) {
                tally.current.returned += piece;
            }
        }
        self.parts.retain(|it| it.units > 0);
    }

    /// Reports for a holder; they count as sent from here on, because they may arrive even if no answer comes.
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

    /// Notes that a holder has received reports.
    pub fn acknowledge(&mut self, reports: &[(GrantKey, Report)]) {
        for (key, report) in reports {
            if let Some(tally) = self.tallies.get_mut(key) {
                tally.acknowledged = *report;
            }
        }
    }

    /// Holders to which something is to be reported.
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

    /// Forgets accounts of earlier terms that no longer have tokens here.
    pub fn forget_before(&mut self, current: GrantKey) {
        let parts = &self.parts;
        self.tallies.retain(|key, _| {
            key.share != current.share || key.term >= current.term || parts.iter().any(|it| it.key == *key)
        });
    }

    fn insert(&mut self, part: Part) {
        if part.units > 0 {
            let at = self.parts.partition_point(|it| it.expires <= part.expires);
            self.parts.insert(at, part);
        }
    }

    fn drop_expired(&mut self, now: Millis) {
        let expired = self.parts.partition_point(|it| it.expires <= now);
        for part in self.parts.drain(..expired) {
            if let Some(tally) = self.tallies.get_mut(&part.key) {
                tally.current.returned += part.units;
            }
        }
    }
}
