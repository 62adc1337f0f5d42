//! State of one organisation's rate limit at one router: the shares it holds, the grants it has received, its
//! reservations, and the take protocol by which routers request tokens from share holders.

use std::collections::{BTreeMap, HashMap};

use super::{
    DEMAND_WINDOW_MS, GRANT_CACHE_DIVISOR, GRANT_VALID_MS, GrantCache, GrantKey, HOLDER_BACKOFF_MS, Handover, Limits,
    Report, RequestRegistry, RouterIncarnation, SHARES, Share, ShareMap, UNITS_PER_TOKEN,
};
use crate::ids::{RequestId, Term};
use crate::units::Millis;

/// Rounds of requests to holders after which a router starts over; [`Ledger::plan_round`] describes each.
pub const MAX_HOLDER_ROUNDS: usize = 3;

/// The grant cache is used only if the largest recent request needs at most the target size divided by this number.
const SMALL_REQUEST_DIVISOR: u64 = 4;

derive_value! {
    /// Request for tokens to a share holder. A retry after a lost answer has the same id.
    pub struct TakeRequest {
        /// Increases with each new request of the sending router, from 1.
        pub id: u64,
        /// Units that waiting reservations lack.
        pub need: u64,
        /// Units wanted in addition, for the sender's grant cache.
        pub extra: u64,
        /// Use that the sender has made of the receiver's earlier grants.
        pub reports: Vec<(GrantKey, Report)>,
    }

    /// Answer to a [`TakeRequest`].
    pub struct TakeAnswer {
        /// Id of the request.
        pub id: u64,
        /// Granted units by share; empty when nothing was granted.
        pub grants: Vec<(GrantKey, u64)>,
        /// Units left at the holder after the grants.
        pub left: u64,
        /// Whether the answering router holds a share. Also false at a holder that has not received the share map yet.
        pub holds: bool,
    }
}

/// Where reserved units were taken from; refunds go back there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// A share held by this router.
    Share(GrantKey),
    /// A received grant with its expiry.
    Grant(GrantKey, Millis),
}

/// Units reserved for one request, by source.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reservation {
    sources: Vec<(Source, u64)>,
}

/// Result of [`Ledger::admit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Tokens are reserved. The caller must read the clock again afterwards and discard the admission if `valid_until`
    /// has passed, for the process may have been paused in between.
    Granted {
        /// Earliest expiry of the grants used; `None` when only shares were used.
        valid_until: Option<Millis>,
    },
    /// The request has a reservation already; nothing was taken.
    Repeated,
    /// This router lacks the given number of units (not tokens); nothing was taken.
    TooFewTokens(u64),
    /// The request needs more tokens than the burst and can never be admitted.
    ExceedsBurst,
}

#[derive(Debug, Clone)]
struct PendingTake {
    request: TakeRequest,
    first_sent: Millis,
}

/// Level of a holder's shares according to its last answer.
#[derive(Debug, Clone, Copy)]
struct HolderLevel {
    units: u64,
    at: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct WindowDemand {
    units: u64,
    largest: u64,
}

#[derive(Debug, Clone, Default)]
struct ShareSlot {
    share: Option<Share>,
    /// Newest known term of the share, also when another router holds it; zero before the first one.
    term: Term,
    /// Whether the share is being handed over and must not be used.
    frozen: bool,
    /// Whether the share started at zero and the previous holder's state may still arrive.
    awaits_handover: bool,
}

/// Shares held, received grants, reservations and unanswered take requests of one organisation at one router.
#[derive(Debug, Clone)]
pub struct Ledger {
    limits: Limits,
    slots: [ShareSlot; SHARES],
    grant_cache: GrantCache,
    reservations: RequestRegistry<Reservation>,
    pending: BTreeMap<RouterIncarnation, PendingTake>,
    last_request_id: u64,
    last_answers: HashMap<RouterIncarnation, TakeAnswer>,
    reported_levels: BTreeMap<RouterIncarnation, HolderLevel>,
    skipped_until: BTreeMap<RouterIncarnation, Millis>,
    window_start: Millis,
    demand: WindowDemand,
    last_demand: WindowDemand,
    refunded: u64,
}

impl Ledger {
    /// Creates a ledger without shares or grants.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            slots: Default::default(),
            grant_cache: GrantCache::default(),
            reservations: RequestRegistry::default(),
            pending: BTreeMap::new(),
            last_request_id: 0,
            last_answers: HashMap::new(),
            reported_levels: BTreeMap::new(),
            skipped_until: BTreeMap::new(),
            window_start: Millis::default(),
            demand: WindowDemand::default(),
            last_demand: WindowDemand::default(),
            refunded: 0,
        }
    }

    /// Limits that this router applies; a change reaches routers at different times.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Applies a new rate and burst to all shares held here.
    pub fn set_limits(&mut self, now: Millis, limits: Limits) {
        self.limits = limits;
        for share in self.slots.iter_mut().filter_map(|it| it.share.as_mut()) {
            share.set_limits(now, limits);
        }
    }

    /// Reserves tokens for a request from the shares and grants at this router.
    pub fn admit(&mut self, now: Millis, request: &RequestId, tokens: u64) -> Admission {
        if self.reservations.contains(request) {
            return Admission::Repeated;
        }
        if tokens > self.limits.burst {
            return Admission::ExceedsBurst;
        }
        let units = tokens * UNITS_PER_TOKEN;
        let available = self.available(now);
        if available < units {
            return Admission::TooFewTokens(units - available);
        }
        self.record_demand(now, units);
        let reservation = self.take(now, units);
        let expiry = |source: &Source| match source {
            Source::Share(_) => None,
            Source::Grant(_, expires) => Some(*expires),
        };
        let valid_until = reservation.sources.iter().filter_map(|(it, _)| expiry(it)).min();
        self.reservations.acquire(request, reservation);
        Admission::Granted { valid_until }
    }

    /// Ends a reservation and refunds what exceeds the `used` tokens. Unknown requests change nothing; use beyond the
    /// reserved tokens is not charged.
    ///
    /// Returns the units that return to the budget at once; the others do so when their holder receives a report.
    pub fn settle(&mut self, now: Millis, request: &RequestId, used: u64) -> u64 {
        let Some(reservation) = self.reservations.release(request) else {
            return 0;
        };
        let reserved: u64 = reservation.sources.iter().map(|(_, units)| units).sum();
        let mut refund = reserved.saturating_sub(used.saturating_mul(UNITS_PER_TOKEN));
        let mut refunded_now = 0;
        for (source, units) in reservation.sources.iter().rev() {
            let amount = refund.min(*units);
            refund -= amount;
            refunded_now += self.refund(now, source, amount);
        }
        refunded_now
    }

    fn refund(&mut self, now: Millis, source: &Source, units: u64) -> u64 {
        match source {
            Source::Share(key) => self.share_mut(*key).map_or(0, |share| {
                let before = share.level(now);
                share.refund(now, units);
                share.level(now) - before
            }),
            Source::Grant(key, expires) => self.grant_cache.refund(now, *key, *expires, units),
        }
    }

    /// Units that [`Ledger::admit`] can reserve now without asking other routers.
    pub fn available(&mut self, now: Millis) -> u64 {
        self.held_level(now) + self.grant_cache.level(now)
    }

    /// Units available at this router plus those that other holders reported as left in their last answers.
    pub fn known(&mut self, now: Millis) -> u64 {
        self.available(now) + self.reported_levels.values().map(|it| it.units).sum::<u64>()
    }

    /// Number of reservations that have not been settled.
    pub fn reserved(&self) -> usize {
        self.reservations.len()
    }

    fn held_level(&mut self, now: Millis) -> u64 {
        self.active_shares().map(|(_, share)| share.level(now)).sum()
    }

    fn active_shares(&mut self) -> impl Iterator<Item = (GrantKey, &mut Share)> {
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
        self.active_shares().find(|(it, _)| *it == key).map(|(_, share)| share)
    }

    fn take(&mut self, now: Millis, units: u64) -> Reservation {
        let mut sources = Vec::new();
        let mut missing = units;
        self.grant_cache.spend(now, units, |key, expires, amount| {
            sources.push((Source::Grant(key, expires), amount));
            missing -= amount;
        });
        for (key, share) in self.active_shares() {
            let amount = share.level(now).min(missing);
            if amount > 0 && share.spend(now, amount) {
                sources.push((Source::Share(key), amount));
                missing -= amount;
            }
        }
        Reservation { sources }
    }

    fn record_demand(&mut self, now: Millis, units: u64) {
        let elapsed = now.since(self.window_start);
        if elapsed >= DEMAND_WINDOW_MS {
            self.last_demand = if elapsed < 2 * DEMAND_WINDOW_MS {
                self.demand
            } else {
                WindowDemand::default()
            };
            self.demand = WindowDemand::default();
            self.window_start = now;
        }
        self.demand.units += units;
        self.demand.largest = self.demand.largest.max(units);
    }

    /// Units that the grant cache should hold: the demand of a recent [`DEMAND_WINDOW_MS`], or zero when its largest
    /// request is too large to be served from a cache of that size.
    pub fn grant_cache_target(&self, now: Millis) -> u64 {
        if now.since(self.window_start) >= 2 * DEMAND_WINDOW_MS {
            return 0;
        }
        let demand = self.demand.units.max(self.last_demand.units);
        let largest = self.demand.largest.max(self.last_demand.largest);
        let target = demand.min(self.limits.share_cap() / GRANT_CACHE_DIVISOR);
        if largest <= target / SMALL_REQUEST_DIVISOR {
            target
        } else {
            0
        }
    }

    /// Returns cached grants beyond the target size; the holders learn of it by the next report.
    pub fn return_surplus_grants(&mut self, now: Millis) {
        let target = self.grant_cache_target(now);
        self.grant_cache.shrink(now, target);
    }

    /// Returns all cached grants, so that routers collecting tokens for large requests do not deadlock.
    pub fn return_all_grants(&mut self, now: Millis) {
        self.grant_cache.shrink(now, 0);
    }

    /// Request to send to `holder`: the unanswered one again if there is one, otherwise a new one for `need` units.
    ///
    /// When `need` is above zero and this router holds no share, a new request also asks for the units that the grant
    /// cache lacks.
    pub fn next_take_request(&mut self, now: Millis, holder: &RouterIncarnation, need: u64) -> TakeRequest {
        let holds_share = self.slots.iter().any(|it| it.share.is_some());
        let target = if holds_share || need == 0 {
            0
        } else {
            self.grant_cache_target(now)
        };
        let extra = target.saturating_sub(self.grant_cache.level(now));
        if let Some(pending) = self.pending.get(holder) {
            return pending.request.clone();
        }
        let reports = self.grant_cache.reports(now, holder);
        self.last_request_id += 1;
        let id = self.last_request_id;
        let request = TakeRequest {
            id,
            need,
            extra,
            reports,
        };
        let pending = PendingTake {
            request: request.clone(),
            first_sent: now,
        };
        self.pending.insert(holder.clone(), pending);
        request
    }

    /// Applies an answer and returns the units that it granted. Late and duplicate answers change nothing.
    pub fn apply_take_answer(&mut self, now: Millis, holder: &RouterIncarnation, answer: &TakeAnswer) -> u64 {
        if self.pending.get(holder).is_none_or(|it| it.request.id != answer.id) {
            return 0;
        }
        let Some(pending) = self.pending.remove(holder) else {
            return 0;
        };
        self.skipped_until.remove(holder);
        self.grant_cache.acknowledge(&pending.request.reports);
        let expires = pending.first_sent + GRANT_VALID_MS;
        for (key, units) in &answer.grants {
            self.grant_cache.add(holder, *key, *units, expires);
        }
        let level = HolderLevel {
            units: answer.left,
            at: now,
        };
        self.reported_levels.insert(holder.clone(), level);
        if expires > now {
            answer.grants.iter().map(|(_, units)| units).sum()
        } else {
            0
        }
    }

    /// Holders that need a report or a retry of an unanswered request, except those skipped after a timeout.
    pub fn holders_to_contact(&mut self, now: Millis) -> Vec<RouterIncarnation> {
        let mut holders = self.grant_cache.unreported(now);
        holders.extend(self.pending.keys().cloned());
        holders.sort();
        holders.dedup();
        self.skipped_until.retain(|_, until| *until > now);
        holders.retain(|it| !self.skipped_until.contains_key(it));
        holders
    }

    /// Drops requests, levels and usage counters that refer to holders or terms that this map has replaced.
    pub fn forget_earlier_holders(&mut self, map: &ShareMap) {
        let holders = map.holders();
        self.pending.retain(|it, _| holders.contains(it));
        self.reported_levels.retain(|it, _| holders.contains(it));
        for (share, holding) in map.shares.iter().enumerate() {
            let (share, term) = (share as u8, holding.term);
            self.grant_cache.forget_before(GrantKey { share, term });
        }
    }

    /// Records a timeout of a request to `holder`, which is then skipped for [`HOLDER_BACKOFF_MS`].
    pub fn record_failure(&mut self, now: Millis, holder: &RouterIncarnation) {
        self.skipped_until.insert(holder.clone(), now + HOLDER_BACKOFF_MS);
    }

    /// Sorts holders by expected level, highest first, and removes those that did not answer recently. A full share
    /// gains nothing until units are taken from it.
    pub fn rank_holders(&mut self, now: Millis, holders: &mut Vec<RouterIncarnation>) {
        self.skipped_until.retain(|_, until| *until > now);
        holders.retain(|it| !self.skipped_until.contains_key(it));
        let cap = self.limits.share_cap();
        let gain = |it: &HolderLevel| self.limits.share_rate().saturating_mul(now.since(it.at));
        let expected = |it: &HolderLevel| it.units.saturating_add(gain(it)).min(cap);
        holders.sort_by_key(|it| std::cmp::Reverse(self.reported_levels.get(it).map_or(cap, expected)));
    }

    /// Holders to ask in a round, with the units to request from each. `holders` must keep the order that
    /// [`Ledger::rank_holders`] gave it before round 0.
    ///
    /// Round 0 requests everything from the first holder, round 1 equal parts from all others, and round 2 what is
    /// still missing from holders that reported tokens left. Further rounds would only get the same answers again.
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
                let amount = missing.div_ceil(others.len().max(1) as u64);
                others.iter().map(|it| (it.clone(), amount)).collect()
            }
            2 => self.plan_by_reported_levels(missing, holders),
            _ => Vec::new(),
        }
    }

    fn plan_by_reported_levels(&self, missing: u64, holders: &[RouterIncarnation]) -> Vec<(RouterIncarnation, u64)> {
        let mut rest = missing;
        let mut requests = Vec::new();
        for holder in holders {
            let amount = self.reported_levels.get(holder).map_or(0, |it| it.units).min(rest);
            if amount > 0 {
                rest -= amount;
                requests.push((holder.clone(), amount));
            }
        }
        requests
    }

    /// Answers a request from another router. A duplicate gets the stored answer, an older request gets no tokens.
    pub fn serve_take(&mut self, now: Millis, from: &RouterIncarnation, request: &TakeRequest) -> TakeAnswer {
        for (key, report) in &request.reports {
            let refunded = self.share_mut(*key).map_or(0, |it| it.report(now, from, *report));
            self.refunded += refunded;
        }
        if let Some(last) = self.last_answers.get(from) {
            if last.id == request.id {
                return last.clone();
            }
            if last.id > request.id {
                let (id, left) = (request.id, self.held_level(now));
                return TakeAnswer {
                    id,
                    grants: Vec::new(),
                    left,
                    holds: self.holds_any(),
                };
            }
        }
        let answer = self.grant(now, from, request);
        self.last_answers.insert(from.clone(), answer.clone());
        answer
    }

    fn grant(&mut self, now: Millis, from: &RouterIncarnation, request: &TakeRequest) -> TakeAnswer {
        let held_level = self.held_level(now);
        let spare = held_level.saturating_sub(request.need) / 2;
        let extra = request
            .extra
            .min(spare)
            .min(self.limits.share_cap() / GRANT_CACHE_DIVISOR);
        let mut missing = request.need.saturating_add(extra).min(held_level);
        let mut grants = Vec::new();
        for (key, share) in self.active_shares() {
            let amount = share.grant(now, from, missing);
            missing -= amount;
            if amount > 0 {
                grants.push((key, amount));
            }
        }
        let left = self.held_level(now);
        TakeAnswer {
            id: request.id,
            grants,
            left,
            holds: self.holds_any(),
        }
    }

    /// Units that returned to the shares held here by refunds in other routers' reports since the last call.
    pub fn drain_refunded(&mut self) -> u64 {
        std::mem::take(&mut self.refunded)
    }

    /// Counts grants to receivers that have ended as spent. `ended` must rest on proof of termination.
    pub fn write_off(&mut self, now: Millis, ended: impl Fn(&RouterIncarnation) -> bool) {
        for share in self.slots.iter_mut().filter_map(|it| it.share.as_mut()) {
            let ended_receivers: Vec<_> = share.receivers().filter(|it| ended(it)).cloned().collect();
            for receiver in ended_receivers {
                share.write_off(now, &receiver);
            }
        }
        self.last_answers.retain(|it, _| !ended(it));
    }

    /// Term in which this router holds the share; `None` when it does not hold it.
    pub fn held_term(&self, share: usize) -> Option<Term> {
        let slot = &self.slots[share];
        slot.share.as_ref().map(|_| slot.term)
    }

    /// Whether this router holds any share of the organisation.
    pub fn holds_any(&self) -> bool {
        self.slots.iter().any(|it| it.share.is_some())
    }

    /// Starts a share that the map assigns to this router in `term`; returns false when that term or a later one
    /// is already known.
    ///
    /// The first term starts full. A later term starts at zero, unless [`Ledger::accept_handover`] receives the
    /// previous holder's state before anything is taken from the share.
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
        *slot = ShareSlot {
            share: Some(state),
            term,
            frozen: false,
            awaits_handover: !first,
        };
        true
    }

    /// Applies the state that the previous holder handed over to this router in `term`; returns whether it was
    /// accepted.
    ///
    /// A state is accepted once per term, and only before anything is taken from the share in that term.
    pub fn accept_handover(&mut self, now: Millis, share: usize, term: Term, state: Handover) -> bool {
        let limits = self.limits;
        let slot = &mut self.slots[share];
        let unused = slot.awaits_handover && slot.share.as_ref().is_some_and(|it| !it.is_used());
        let acceptable = term > slot.term || (term == slot.term && unused && !slot.frozen);
        if !acceptable {
            return false;
        }
        let state = Share::handed_over(now, limits, state);
        *slot = ShareSlot {
            share: Some(state),
            term,
            frozen: false,
            awaits_handover: false,
        };
        true
    }

    /// Stops spending and granting from a share and returns the state for its next holder; `None` if it is not held
    /// here.
    pub fn freeze_share(&mut self, now: Millis, share: usize) -> Option<Handover> {
        let slot = &mut self.slots[share];
        let state = slot.share.as_mut()?.handover(now);
        slot.frozen = true;
        Some(state)
    }

    /// Resumes a frozen share after a handover that is known not to have taken effect.
    pub fn resume_share(&mut self, share: usize) {
        self.slots[share].frozen = false;
    }

    /// Drops a share that the map assigns to another router in `term`, unless that term or a later one is
    /// already known.
    pub fn drop_share(&mut self, share: usize, term: Term) {
        let slot = &mut self.slots[share];
        if term > slot.term {
            *slot = ShareSlot {
                share: None,
                term,
                frozen: false,
                awaits_handover: false,
            };
        }
    }

    /// Whether every share held here satisfies [`Share::is_consistent`].
    pub fn is_consistent(&self) -> bool {
        self.slots
            .iter()
            .filter_map(|it| it.share.as_ref())
            .all(Share::is_consistent)
    }
}
