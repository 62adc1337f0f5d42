//! Everything one router knows about the tokens of one organisation.

use std::collections::{BTreeMap, HashMap};

use super::{
    AVOID_MS, GRANT_VALID_MS, GrantKey, Handover, Limits, Report, RouterIncarnation, SHARES, Share, ShareMap,
    SlotRegistry, UNITS_PER_TOKEN, WALLET_DIVISOR, WALLET_MS, Wallet,
};
use crate::ids::{RequestId, Term};
use crate::units::Millis;

/// Rounds in which holders are asked before a reservation is refused: the nearest one, all others for even parts, and
/// those that still have tokens.
pub const MAX_HOLDER_ROUNDS: usize = 3;

/// A request is small enough for the wallet when it needs at most this part of it.
const SMALL_REQUEST_DIVISOR: u64 = 4;

derive_value! {
    /// Request for tokens. A repeat after a lost answer has the same id.
    pub struct TakeRequest {
        /// Number of the request between these two routers, from one upwards.
        pub id: u64,
        /// Units for waiting reservations.
        pub need: u64,
        /// Further units for the wallet.
        pub extra: u64,
        /// Use of earlier grants.
        pub reports: Vec<(GrantKey, Report)>,
    }

    /// Answer to a request for tokens.
    pub struct TakeAnswer {
        /// Number of the request.
        pub id: u64,
        /// Granted units by share.
        pub grants: Vec<(GrantKey, u64)>,
        /// Units left at the holder.
        pub left: u64,
        /// Whether the answering router holds a share. One that has not received the share map yet does not know.
        pub holds: bool,
    }
}

/// Where reserved units came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// A share held here.
    Share(GrantKey),
    /// A grant that can be spent until the given time.
    Grant(GrantKey, Millis),
}

/// Units taken for a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reservation {
    sources: Vec<(Source, u64)>,
}

/// Answer to a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Tokens are reserved; the decision holds if the clock has not passed `valid_until` when it is read again.
    Granted {
        /// First expiry of a grant that was used.
        valid_until: Option<Millis>,
    },
    /// The request is reserved already.
    Repeated,
    /// So many units are missing here.
    Short(u64),
    /// The request needs more than the burst.
    ExceedsBurst,
}

#[derive(Debug, Clone)]
struct Pending {
    request: TakeRequest,
    first_sent: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Level {
    units: u64,
    at: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    units: u64,
    largest: u64,
}

#[derive(Debug, Clone, Default)]
struct Slot {
    share: Option<Share>,
    term: Term,
    frozen: bool,
    awaits_state: bool,
}

/// Shares held, wallet, reservations and open requests of one organisation at one router.
#[derive(Debug, Clone)]
pub struct Ledger {
    limits: Limits,
    slots: [Slot; SHARES],
    wallet: Wallet,
    reservations: SlotRegistry<Reservation>,
    pending: BTreeMap<RouterIncarnation, Pending>,
    last_take: u64,
    answers: HashMap<RouterIncarnation, TakeAnswer>,
    left: BTreeMap<RouterIncarnation, Level>,
    avoided: BTreeMap<RouterIncarnation, Millis>,
    window: Millis,
    demand: Demand,
    last_demand: Demand,
    refunded: u64,
}

impl Ledger {
    /// Ledger of an organisation of which nothing is held yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            slots: Default::default(),
            wallet: Wallet::default(),
            reservations: SlotRegistry::default(),
            pending: BTreeMap::new(),
            last_take: 0,
            answers: HashMap::new(),
            left: BTreeMap::new(),
            avoided: BTreeMap::new(),
            window: Millis::default(),
            demand: Demand::default(),
            last_demand: Demand::default(),
            refunded: 0,
        }
    }

    /// Limits in force here.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Applies a change of rate or burst.
    pub fn set_limits(&mut self, now: Millis, limits: Limits) {
        self.limits = limits;
        for share in self.slots.iter_mut().filter_map(|it| it.share.as_mut()) {
            share.set_limits(now, limits);
        }
    }

    /// Reserves tokens for a request from what is here.
    pub fn admit(&mut self, now: Millis, request: &RequestId, tokens: u64) -> Admission {
        if self.reservations.contains(request) {
            return Admission::Repeated;
        }
        if tokens > self.limits.burst {
            return Admission::ExceedsBurst;
        }
        let units = tokens * UNITS_PER_TOKEN;
        let here = self.available(now);
        if here < units {
            return Admission::Short(units - here);
        }
        self.note_demand(now, units);
        let reservation = self.take(now, units);
        let expiry = |source: &Source| match source {
            Source::Share(_) => None,
            Source::Grant(_, expires) => Some(*expires),
        };
        let valid_until = reservation.sources.iter().filter_map(|(it, _)| expiry(it)).min();
        self.reservations.acquire(request, reservation);
        Admission::Granted { valid_until }
    }

    /// Settles a reservation by use. Unknown requests change nothing; use beyond the estimate is not charged.
    ///
    /// Returns the units that re-enter the budget at once; the others follow with a report to the holder.
    pub fn settle(&mut self, now: Millis, request: &RequestId, used: u64) -> u64 {
        let Some(reservation) = self.reservations.release(request) else {
            return 0;
        };
        let reserved: u64 = reservation.sources.iter().map(|(_, units)| units).sum();
        let mut refund = reserved.saturating_sub(used.saturating_mul(UNITS_PER_TOKEN));
        let mut at_once = 0;
        for (source, units) in reservation.sources.iter().rev() {
            let piece = refund.min(*units);
            refund -= piece;
            at_once += self.refund(now, source, piece);
        }
        at_once
    }

    fn refund(&mut self, now: Millis, source: &Source, units: u64) -> u64 {
        match source {
            Source::Share(key) => self.share_mut(*key).map_or(0, |share| {
                let before = share.level(now);
                share.refund(now, units);
                share.level(now) - before
            }),
            Source::Grant(key, expires) => self.wallet.refund(now, *key, *expires, units),
        }
    }

    /// Units that can be reserved here.
    pub fn available(&mut self, now: Millis) -> u64 {
        self.held(now) + self.wallet.level(now)
    }

    /// Units that this router knows of, here and at other holders as of their last answer.
    pub fn known(&mut self, now: Millis) -> u64 {
        self.available(now) + self.left.values().map(|it| it.units).sum::<u64>()
    }

    /// Number of reservations that are not settled.
    pub fn reserved(&self) -> usize {
        self.reservations.len()
    }

    fn held(&mut self, now: Millis) -> u64 {
        self.usable().map(|(_, share)| share.level(now)).sum()
    }

    fn usable(&mut self) -> impl Iterator<Item = (GrantKey, &mut Share)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter(|(_, slot)| !slot.frozen)
            .filter_map(|(at, slot)| {
                let key = GrantKey {
                    share: at as u8,
                    term: slot.term,
                };
                Some((key, slot.share.as_mut()?))
            })
    }

    fn share_mut(&mut self, key: GrantKey) -> Option<&mut Share> {
        self.usable().find(|(it, _)| *it == key).map(|(_, share)| share)
    }

    fn take(&mut self, now: Millis, units: u64) -> Reservation {
        let mut sources = Vec::new();
        let mut missing = units;
        self.wallet.spend(now, units, |key, expires, piece| {
            sources.push((Source::Grant(key, expires), piece));
            missing -= piece;
        });
        for (key, share) in self.usable() {
            let piece = share.level(now).min(missing);
            if piece > 0 && share.spend(now, piece) {
                sources.push((Source::Share(key), piece));
                missing -= piece;
            }
        }
        Reservation { sources }
    }

    fn note_demand(&mut self, now: Millis, units: u64) {
        let passed = now.since(self.window);
        if passed >= WALLET_MS {
            self.last_demand = if passed < 2 * WALLET_MS {
                self.demand
            } else {
                Demand::default()
            };
            self.demand = Demand::default();
            self.window = now;
        }
        self.demand.units += units;
        self.demand.largest = self.demand.largest.max(units);
    }

    /// Units that the wallet should hold: recent demand, unless its requests are too large for a wallet to serve.
    pub fn wallet_target(&self, now: Millis) -> u64 {
        if now.since(self.window) >= 2 * WALLET_MS {
            return 0;
        }
        let demand = self.demand.units.max(self.last_demand.units);
        let largest = self.demand.largest.max(self.last_demand.largest);
        let target = demand.min(self.limits.share_cap() / WALLET_DIVISOR);
        if largest <= target / SMALL_REQUEST_DIVISOR {
            target
        } else {
            0
        }
    }

    /// Gives back wallet tokens beyond the target; the next report says so.
    pub fn return_surplus_grants(&mut self, now: Millis) {
        let target = self.wallet_target(now);
        self.wallet.shrink(now, target);
    }

    /// Gives back all wallet tokens, so that routers that gather tokens for large requests do not block each other.
    pub fn return_all_grants(&mut self, now: Millis) {
        self.wallet.shrink(now, 0);
    }

    /// Request to a holder: the open one again if its answer has not come, otherwise a new one.
    pub fn next_take_request(&mut self, now: Millis, holder: &RouterIncarnation, need: u64) -> TakeRequest {
        let holds_share = self.slots.iter().any(|it| it.share.is_some());
        let target = if holds_share || need == 0 {
            0
        } else {
            self.wallet_target(now)
        };
        let extra = target.saturating_sub(self.wallet.level(now));
        if let Some(pending) = self.pending.get(holder) {
            return pending.request.clone();
        }
        let reports = self.wallet.reports(now, holder);
        self.last_take += 1;
        let id = self.last_take;
        let request = TakeRequest {
            id,
            need,
            extra,
            reports,
        };
        let pending = Pending {
            request: request.clone(),
            first_sent: now,
        };
        self.pending.insert(holder.clone(), pending);
        request
    }

    /// Takes in an answer and returns the units that it brought. Late and repeated answers change nothing.
    pub fn apply_take_answer(&mut self, now: Millis, holder: &RouterIncarnation, answer: &TakeAnswer) -> u64 {
        if self.pending.get(holder).is_none_or(|it| it.request.id != answer.id) {
            return 0;
        }
        let Some(pending) = self.pending.remove(holder) else {
            return 0;
        };
        self.avoided.remove(holder);
        self.wallet.acknowledge(&pending.request.reports);
        let expires = pending.first_sent + GRANT_VALID_MS;
        for (key, units) in &answer.grants {
            self.wallet.add(holder, *key, *units, expires);
        }
        let level = Level {
            units: answer.left,
            at: now,
        };
        self.left.insert(holder.clone(), level);
        if expires > now {
            answer.grants.iter().map(|(_, units)| units).sum()
        } else {
            0
        }
    }

    /// Holders that are owed a report or the repeat of a request.
    pub fn holders_to_contact(&mut self, now: Millis) -> Vec<RouterIncarnation> {
        let mut holders = self.wallet.unreported(now);
        holders.extend(self.pending.keys().cloned());
        holders.sort();
        holders.dedup();
        self.avoided.retain(|_, until| *until > now);
        holders.retain(|it| !self.avoided.contains_key(it));
        holders
    }

    /// Forgets requests, levels and accounts of routers that hold nothing any more by this map.
    pub fn forget_earlier_holders(&mut self, map: &ShareMap) {
        let holders = map.holders();
        self.pending.retain(|it, _| holders.contains(it));
        self.left.retain(|it, _| holders.contains(it));
        for (share, holding) in map.shares.iter().enumerate() {
            let (share, term) = (share as u8, holding.term);
            self.wallet.forget_before(GrantKey { share, term });
        }
    }

    /// Notes that a holder did not answer in time.
    pub fn note_failure(&mut self, now: Millis, holder: &RouterIncarnation) {
        self.avoided.insert(holder.clone(), now + AVOID_MS);
    }

    /// Orders holders by the level they are expected to have, because a full share gains nothing, and leaves out those
    /// that did not answer lately.
    pub fn rank_holders(&mut self, now: Millis, holders: &mut Vec<RouterIncarnation>) {
        self.avoided.retain(|_, until| *until > now);
        holders.retain(|it| !self.avoided.contains_key(it));
        let cap = self.limits.share_cap();
        let gain = |it: &Level| self.limits.share_rate().saturating_mul(now.since(it.at));
        let expected = |it: &Level| it.units.saturating_add(gain(it)).min(cap);
        holders.sort_by_key(|it| std::cmp::Reverse(self.left.get(it).map_or(cap, expected)));
    }

    /// Requests of one round for units that are missing here. `holders` must keep the order that
    /// [`Ledger::rank_holders`] gave them before round 0.
    ///
    /// Round 0 asks the first holder for everything, round 1 all others for even parts, round 2 those that had tokens
    /// left. More rounds would only repeat what the holders have answered.
    pub fn plan_round(
        &self,
        round: usize,
        missing: u64,
        holders: &[RouterIncarnation],
    ) -> Vec<(RouterIncarnation, u64)> {
        match round {
            0 => holders.iter().take(1).map(|it| (it.clone(), missing)).collect(),
            1 => {
                let others = holders.get(1..).unwrap_or_default();
                let part = missing.div_ceil(others.len().max(1) as u64);
                others.iter().map(|it| (it.clone(), part)).collect()
            }
            2 => self.plan_remainder(missing, holders),
            _ => Vec::new(),
        }
    }

    fn plan_remainder(&self, missing: u64, holders: &[RouterIncarnation]) -> Vec<(RouterIncarnation, u64)> {
        let mut rest = missing;
        let mut requests = Vec::new();
        for holder in holders {
            let part = self.left.get(holder).map_or(0, |it| it.units).min(rest);
            if part > 0 {
                rest -= part;
                requests.push((holder.clone(), part));
            }
        }
        requests
    }

    /// Answers a request from another router. A repeated id gets the same answer, an older one no tokens.
    pub fn serve_take(&mut self, now: Millis, from: &RouterIncarnation, request: &TakeRequest) -> TakeAnswer {
        for (key, report) in &request.reports {
            let refunded = self.share_mut(*key).map_or(0, |it| it.report(now, from, *report));
            self.refunded += refunded;
        }
        if let Some(last) = self.answers.get(from) {
            if last.id == request.id {
                return last.clone();
            }
            if last.id > request.id {
                let (id, left) = (request.id, self.held(now));
                return TakeAnswer {
                    id,
                    grants: Vec::new(),
                    left,
                    holds: self.holds_any(),
                };
            }
        }
        let answer = self.grant(now, from, request);
        self.answers.insert(from.clone(), answer.clone());
        answer
    }

    fn grant(&mut self, now: Millis, from: &RouterIncarnation, request: &TakeRequest) -> TakeAnswer {
        let held = self.held(now);
        let spare = held.saturating_sub(request.need) / 2;
        let extra = request.extra.min(spare).min(self.limits.share_cap() / WALLET_DIVISOR);
        let mut missing = request.need.saturating_add(extra).min(held);
        let mut grants = Vec::new();
        for (key, share) in self.usable() {
            let part = share.grant(now, from, missing);
            missing -= part;
            if part > 0 {
                grants.push((key, part));
            }
        }
        let left = self.held(now);
        TakeAnswer {
            id: request.id,
            grants,
            left,
            holds: self.holds_any(),
        }
    }

    /// Refunded units that reports of other routers have brought back since the last call.
    pub fn drain_refunded(&mut self) -> u64 {
        std::mem::take(&mut self.refunded)
    }

    /// Writes off grants of receivers that have ended.
    pub fn write_off(&mut self, now: Millis, ended: impl Fn(&RouterIncarnation) -> bool) {
        for share in self.slots.iter_mut().filter_map(|it| it.share.as_mut()) {
            let gone: Vec<_> = share.receivers().filter(|it| ended(it)).cloned().collect();
            for receiver in gone {
                share.write_off(now, &receiver);
            }
        }
        self.answers.retain(|it, _| !ended(it));
    }

    /// Term of a share that is held here.
    pub fn held_term(&self, share: usize) -> Option<Term> {
        let slot = &self.slots[share];
        slot.share.as_ref().map(|_| slot.term)
    }

    /// Whether any share is held here.
    pub fn holds_any(&self) -> bool {
        self.slots.iter().any(|it| it.share.is_some())
    }

    /// Starts a share that the map gives to this life under `term`; false when that term is known already.
    ///
    /// The first term starts full. A later one starts at zero unless the previous holder's state arrives before
    /// anything was taken.
    pub fn start_share(&mut self, now: Millis, share: usize, term: Term) -> bool {
        let limits = self.limits;
        let slot = &mut self.slots[share];
        if term <= slot.term {
            return false;
        }
        let first = term == Term(1);
        let state = if first {
            Share::full(now, limits)
        } else {
            Share::taken_over(now, limits)
        };
        *slot = Slot {
            share: Some(state),
            term,
            frozen: false,
            awaits_state: !first,
        };
        true
    }

    /// Takes in the state that the previous holder handed over under `term`.
    ///
    /// Accepted once, and only while the share has not given a token under this term.
    pub fn adopt_share(&mut self, now: Millis, share: usize, term: Term, state: Handover) -> bool {
        let limits = self.limits;
        let slot = &mut self.slots[share];
        let pristine = slot.awaits_state && slot.share.as_ref().is_some_and(|it| !it.is_used());
        let open = term > slot.term || (term == slot.term && pristine && !slot.frozen);
        if !open {
            return false;
        }
        let state = Share::handed_over(now, limits, state);
        *slot = Slot {
            share: Some(state),
            term,
            frozen: false,
            awaits_state: false,
        };
        true
    }

    /// Stops the use of a share and returns the state for its next holder.
    pub fn freeze_share(&mut self, now: Millis, share: usize) -> Option<Handover> {
        let slot = &mut self.slots[share];
        let state = slot.share.as_mut()?.handover(now);
        slot.frozen = true;
        Some(state)
    }

    /// Resumes a share whose hand-over certainly did not take effect.
    pub fn resume_share(&mut self, share: usize) {
        self.slots[share].frozen = false;
    }

    /// Gives up a share after its hand-over under `term`.
    pub fn drop_share(&mut self, share: usize, term: Term) {
        let slot = &mut self.slots[share];
        if term > slot.term {
            *slot = Slot {
                share: None,
                term,
                frozen: false,
                awaits_state: false,
            };
        }
    }

    /// Whether every share here keeps its bound.
    pub fn is_consistent(&self) -> bool {
        self.slots
            .iter()
            .filter_map(|it| it.share.as_ref())
            .all(Share::is_consistent)
    }
}
