//! Lease protocol: how a process acquires, renews and releases a lease that is stored as a platform object.
//!
//! The holder counts the duration from the moment before it sent its last successful renewal, and stops acting
//! [`Timing::margin_ms`] before the lease expires. A candidate takes over only when it has seen the same version of the
//! lease object for the full duration on its own clock, when the lease was released, or when the holder is proved to
//! have ended. Clocks of different processes are never compared. States and transitions are read from
//! `charts/lease.toml`.
//!
//! A platform that was restored from an older copy begins a new *era*: it has lost the latest writes and gives out
//! versions again. Terms contain the era in their high bits, so a term of a later era is greater than all that earlier
//! eras may have given out and lost. An object whose term is of an earlier era proves nothing about the present holder:
//! the holder itself replaces it under a term of the new era, and a candidate takes over only when it has known the
//! new era for the full duration, in which every holder of an earlier era has renewed its lease or stopped.
//!
//! A write that expects a version of an earlier era may still take effect, when that version is given out again, and
//! then replaces a valid lease. The next term is therefore also greater than the version that it replaces: each
//! acquisition gives out one term and at least one version, so no term of an era is greater than the latest version.

use rand::{Rng, RngCore};

use crate::chart::{self, Chart};
use crate::ids::{Incarnation, MemberId, OperationId, Term};
use crate::units::Millis;

/// Default duration of a lease in milliseconds.
pub const DURATION_MS: u64 = 10_000;
/// Number of candidates, by rank, that read the lease object; reads by more would only load the platform.
pub const ACTIVE_CANDIDATES: usize = 3;
/// Low bits of a term, which count the acquisitions within one era of the platform.
const COUNT_BITS: u32 = 40;

/// Era of the platform in which a term was given out.
pub fn era_of(term: Term) -> u64 {
    term.0 >> COUNT_BITS
}

/// Periods of the lease protocol, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time from the last renewal to the expiry of the lease.
    pub duration_ms: u64,
    /// Interval between renewals.
    pub renew_ms: u64,
    /// Time before expiry at which the holder stops acting.
    pub margin_ms: u64,
    /// Delay of each further rank before its candidate tries to acquire a free lease.
    pub rank_delay_ms: u64,
    /// Interval between a candidate's reads of the lease object.
    pub candidate_read_ms: u64,
    /// Delay before a failed call is retried.
    pub retry_ms: u64,
}

impl Default for Timing {
    /// With [`ACTIVE_CANDIDATES`] candidates, a lease causes 1.5 reads of the platform per second.
    fn default() -> Self {
        Self {
            duration_ms: DURATION_MS,
            renew_ms: 3_000,
            margin_ms: 2_000,
            rank_delay_ms: 2_000,
            candidate_read_ms: 2_000,
            retry_ms: 1_000,
        }
    }
}

derive_value! {
    /// Content of a lease object.
    pub struct LeaseSpec {
        /// Process that holds, or last held, the lease.
        pub holder: MemberId,
        /// Incarnation of the holder.
        pub incarnation: Incarnation,
        /// Fencing token; grows by one with each acquisition, and by more with each era of the platform.
        pub term: Term,
        /// Time from a renewal to expiry, in milliseconds.
        pub duration_ms: u64,
        /// Whether the holder has released the lease; false when absent.
        #[serde(default)]
        pub released: bool,
    }

    /// Lease object as read from the platform.
    pub struct StoredLease {
        /// Version of the object; a write must name the version that it replaces.
        pub version: u64,
        /// Operation id of the last write, by which a writer recognises a write whose answer was lost.
        pub operation: OperationId,
        /// Content.
        pub spec: LeaseSpec,
    }
}

/// Call to the platform that the caller of [`Lease::step`] must make.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseCall {
    /// Read the lease object.
    Read,
    /// Write the lease object.
    Write {
        /// New content.
        spec: LeaseSpec,
        /// Version to replace; `None` creates the object.
        expect: Option<u64>,
        /// Operation id to store with the write.
        operation: OperationId,
    },
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done {
        /// New version of the object.
        version: u64,
    },
    /// The object no longer had the expected version.
    Conflict,
    /// The write certainly took no effect.
    NotRun,
    /// No answer came; the write may have taken effect or may still do so.
    Unknown,
}

/// Whether a process may compete for a lease, as derived from the membership.
#[derive(Debug, Clone, Copy, Default)]
pub struct Candidacy {
    /// Rank of this process among the live candidates, from 0; `None` when it must not acquire the lease.
    pub rank: Option<usize>,
    /// Whether the holder in the last object read is proved to have ended.
    pub holder_ended: bool,
    /// Whether the platform has never had a lease object if it has none now. Matters only on a platform with eras.
    pub is_first_start: bool,
}

/// Change of this process's ownership of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The lease was acquired in this term.
    Acquired(Term),
    /// The lease, which this process held already, was renewed under this term, because the platform was restored.
    Reissued(Term),
    /// The lease held in this term was released.
    Released(Term),
    /// The lease held in this term expired, was superseded or was abandoned.
    Lost(Term),
}

#[derive(Debug)]
struct Attempt {
    operation: OperationId,
    sent: Millis,
}

#[derive(Debug)]
struct Observed {
    lease: StoredLease,
    /// Time of the read that first returned this version, or of the sending of this process's own write.
    since: Millis,
}

/// What a process does after it has released the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Release {
    /// It does not compete for the lease any more.
    Final,
    /// It competes again after a back-off.
    BackOff,
}

/// State of one lease at one process, holder or candidate.
#[derive(Debug)]
pub struct Lease {
    me: MemberId,
    incarnation: Incarnation,
    timing: Timing,
    chart: Chart,
    state: String,
    seen: Option<Observed>,
    /// Since when the lease is known to be free to acquire.
    free_since: Option<Millis>,
    has_read: bool,
    term: Term,
    renewed: Millis,
    /// Era of the platform as far as it is known; zero for a platform without eras.
    era: u64,
    /// Since when it is known.
    era_since: Millis,
    /// Whether the lease was acquired without any earlier holder.
    is_first: bool,
    /// Unconfirmed writes that may have taken effect or may still do so.
    attempts: Vec<Attempt>,
    /// Whether the outcome of the last write is unknown and the object must be read.
    outcome_unknown: bool,
    next_call: Millis,
    /// Earliest time of the next read by a candidate.
    next_read: Millis,
    releasing: Option<Release>,
    /// Time until which this process does not compete.
    backoff_until: Millis,
    events: Vec<LeaseEvent>,
}

impl Lease {
    /// Starts as a candidate with the default [`Timing`].
    pub fn new(me: MemberId, incarnation: Incarnation) -> Self {
        Self::with_timing(me, incarnation, Timing::default())
    }

    /// Starts as a candidate with the given timing.
    ///
    /// # Panics
    ///
    /// Panics when the embedded chart is invalid; [`chart::check_all`] detects that at start.
    pub fn with_timing(me: MemberId, incarnation: Incarnation, timing: Timing) -> Self {
        let chart = Chart::parse(chart::LEASE).expect("charts are checked at start");
        Self {
            me,
            incarnation,
            timing,
            state: chart.initial().to_owned(),
            chart,
            seen: None,
            free_since: None,
            has_read: false,
            term: Term(0),
            renewed: Millis(0),
            era: 0,
            era_since: Millis(0),
            is_first: false,
            attempts: Vec::new(),
            outcome_unknown: false,
            next_call: Millis(0),
            next_read: Millis(0),
            releasing: None,
            backoff_until: Millis(0),
            events: Vec::new(),
        }
    }

    fn may_act_until(&self) -> Millis {
        self.renewed + (self.timing.duration_ms - self.timing.margin_ms)
    }

    /// Term in which this process may act as the holder at `now`; `None` when it must not act.
    pub fn held(&self, now: Millis) -> Option<Term> {
        let not_expiring = now < self.may_act_until();
        (self.state == "held" && not_expiring).then_some(self.term)
    }

    /// Time until which this process may act without a further renewal; `None` when it must not act at `now`.
    pub fn held_until(&self, now: Millis) -> Option<Millis> {
        self.held(now).map(|_| self.may_act_until())
    }

    /// Content of the lease object as last read or written; `None` when it does not exist or was not read yet.
    pub fn seen(&self) -> Option<&LeaseSpec> {
        self.seen.as_ref().map(|it| &it.lease.spec)
    }

    /// Latest era of the platform that this process knows.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Whether the lease was acquired last without any earlier holder.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Records the era of the platform. In a later one, what was read before is void, and so are writes that expect a
    /// version of an earlier one.
    pub fn observe_era(&mut self, era: u64, now: Millis) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.era_since = now;
        self.seen = None;
        self.free_since = None;
        self.has_read = false;
        self.attempts.clear();
        self.outcome_unknown = self.is_holder();
        self.next_call = now;
    }

    /// Whether a lease object comes from an earlier era.
    fn is_leftover(&self, spec: &LeaseSpec) -> bool {
        era_of(spec.term) < self.era
    }

    /// Returns and clears the ownership changes since the last call.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether this process holds the lease, including the margin before expiry, in which it must not act.
    pub fn is_holder(&self) -> bool {
        self.state == "held" || self.state == "expiring"
    }

    /// Releases the lease at the next step and stops competing for it.
    pub fn release(&mut self) {
        self.releasing = Some(Release::Final);
        self.next_call = Millis(0);
    }

    /// Releases the lease at the next step and competes again `backoff_ms` after `now`.
    pub fn step_down(&mut self, now: Millis, backoff_ms: u64) {
        self.release();
        self.releasing = Some(Release::BackOff);
        self.backoff_until = now + backoff_ms;
    }

    /// Gives up the lease without a write, for a holder that cannot reach the platform. Competes again `backoff_ms`
    /// after `now`.
    pub fn abandon(&mut self, now: Millis, backoff_ms: u64) {
        self.superseded();
        self.backoff_until = now + backoff_ms;
    }

    /// Makes a candidate read the object at the next step, whatever its read interval. Does not affect a holder.
    pub fn refresh(&mut self) {
        if !self.is_holder() {
            self.has_read = false;
            self.next_call = Millis(0);
        }
    }

    /// Next call to make, if any. The caller must report the outcome before the next step, by [`Lease::on_read`],
    /// [`Lease::on_read_failed`] or [`Lease::on_write`].
    pub fn step(&mut self, candidacy: Candidacy, now: Millis, rng: &mut dyn RngCore) -> Option<LeaseCall> {
        self.advance(now);
        if now < self.next_call {
            return None;
        }
        if self.is_holder() {
            return self.step_holder(now, rng);
        }
        if self.releasing.is_some() || now < self.backoff_until {
            return None;
        }
        self.step_candidate(candidacy, now, rng)
    }

    fn step_holder(&mut self, now: Millis, rng: &mut dyn RngCore) -> Option<LeaseCall> {
        // After a write without an answer the version is not known, and another write would conflict.
        if self.outcome_unknown {
            return Some(LeaseCall::Read);
        }
        let is_outdated = era_of(self.term) < self.era;
        if self.releasing.is_none() && !is_outdated && now < self.renewed + self.timing.renew_ms {
            return None;
        }
        let expect = self.seen.as_ref().map(|it| it.lease.version);
        let term = if is_outdated { self.next_term() } else { self.term };
        let spec = self.spec(term, self.releasing.is_some());
        Some(self.write(spec, expect, now, rng))
    }

    fn step_candidate(&mut self, candidacy: Candidacy, now: Millis, rng: &mut dyn RngCore) -> Option<LeaseCall> {
        let rank = candidacy.rank.filter(|it| *it < ACTIVE_CANDIDATES)?;
        if !self.has_read || self.outcome_unknown {
            return Some(LeaseCall::Read);
        }
        let rank_delay = rank as u64 * self.timing.rank_delay_ms;
        if self.free_since.is_none() && self.may_acquire(candidacy, now) {
            self.free_since = Some(now);
        }
        let Some(free_since) = self.free_since else {
            return (now >= self.next_read).then_some(LeaseCall::Read);
        };
        if now < free_since + rank_delay {
            self.next_call = (free_since + rank_delay).min(now + self.timing.retry_ms);
            return None;
        }
        let expect = self.seen.as_ref().map(|it| it.lease.version);
        self.is_first = expect.is_none() && self.absence_is_proof(candidacy);
        let spec = self.spec(self.next_term(), false);
        Some(self.write(spec, expect, now, rng))
    }

    /// Term for an acquisition that replaces the object as last read.
    fn next_term(&self) -> Term {
        let seen = self.seen.as_ref().map(|it| &it.lease);
        let known = seen.map_or(self.term, |it| self.term.max(it.spec.term));
        let replaced = seen.filter(|it| self.is_leftover(&it.spec)).map_or(0, |it| it.version);
        let given_out = (self.era << COUNT_BITS).saturating_add(replaced);
        Term(known.0.max(given_out) + 1)
    }

    /// Whether nobody can have held the lease before if there is no lease object.
    fn absence_is_proof(&self, candidacy: Candidacy) -> bool {
        self.era == 0 || candidacy.is_first_start
    }

    fn may_acquire(&self, candidacy: Candidacy, now: Millis) -> bool {
        let earlier_eras_ended = now.since(self.era_since) >= self.timing.duration_ms;
        let Some(seen) = &self.seen else {
            return self.absence_is_proof(candidacy) || earlier_eras_ended;
        };
        let spec = &seen.lease.spec;
        let is_mine = spec.holder == self.me && spec.incarnation == self.incarnation;
        let has_expired = now.since(seen.since) >= spec.duration_ms;
        if self.is_leftover(spec) {
            return earlier_eras_ended && has_expired;
        }
        spec.released || is_mine || has_expired || candidacy.holder_ended
    }

    fn spec(&self, term: Term, released: bool) -> LeaseSpec {
        LeaseSpec {
            holder: self.me.clone(),
            incarnation: self.incarnation,
            term,
            duration_ms: self.timing.duration_ms,
            released,
        }
    }

    fn write(&mut self, spec: LeaseSpec, expect: Option<u64>, now: Millis, rng: &mut dyn RngCore) -> LeaseCall {
        let operation = OperationId::new(format!("{}-{:016x}", self.me, rng.random::<u64>()));
        self.attempts.push(Attempt {
            operation: operation.clone(),
            sent: now,
        });
        LeaseCall::Write {
            spec,
            expect,
            operation,
        }
    }

    /// Applies the result of a read answered at `now`; `None` means that the object does not exist.
    pub fn on_read(&mut self, object: Option<StoredLease>, now: Millis) {
        self.has_read = true;
        self.outcome_unknown = false;
        let read_interval = if self.is_holder() {
            0
        } else {
            self.timing.candidate_read_ms
        };
        // The lease may be free by what has just been read, so only the next read is delayed.
        self.next_call = now;
        self.next_read = now + read_interval;
        let Some(lease) = object else {
            if era_of(self.term) >= self.era {
                self.superseded();
            }
            // A create without an answer may still take effect; a replacement of a deleted object cannot.
            if self.seen.take().is_some() {
                self.attempts.clear();
            }
            return;
        };
        let own_write = self.attempts.iter().find(|it| it.operation == lease.operation);
        let own_write = own_write.map(|it| it.sent);
        if let Some(sent) = own_write {
            self.attempts.clear();
            self.apply_own_write(lease.version, lease.operation, lease.spec, sent);
            self.advance(now);
            return;
        }
        let unchanged = self.seen.as_ref().is_some_and(|it| it.lease.version == lease.version);
        if unchanged {
            return;
        }
        // The version has changed, so no earlier write of this process can take effect any more.
        self.attempts.clear();
        let is_leftover = self.is_leftover(&lease.spec);
        if !is_leftover {
            self.superseded();
        }
        self.free_since = (lease.spec.released && !is_leftover).then_some(now);
        self.seen = Some(Observed { lease, since: now });
    }

    /// Schedules a retry after a failed read.
    pub fn on_read_failed(&mut self, now: Millis) {
        self.next_call = now + self.timing.retry_ms;
    }

    /// Applies the outcome of the write `call`.
    pub fn on_write(&mut self, call: &LeaseCall, outcome: WriteOutcome, now: Millis) {
        let LeaseCall::Write { spec, operation, .. } = call else {
            return;
        };
        match outcome {
            WriteOutcome::Done { version } => {
                let sent = self.attempts.iter().find(|it| it.operation == *operation);
                let sent = sent.map(|it| it.sent);
                self.attempts.clear();
                if let Some(sent) = sent {
                    self.apply_own_write(version, operation.clone(), spec.clone(), sent);
                }
                self.advance(now);
                self.next_call = now;
            }
            // The attempts are kept: the conflict may be with an earlier write of this process without an answer.
            WriteOutcome::Conflict => {
                self.next_call = now;
                self.free_since = None;
                self.outcome_unknown = true;
            }
            WriteOutcome::NotRun => {
                self.attempts.retain(|it| it.operation != *operation);
                self.next_call = now + self.timing.retry_ms;
            }
            WriteOutcome::Unknown => {
                self.outcome_unknown = true;
                self.next_call = now + self.timing.retry_ms / 4;
            }
        }
    }

    fn apply_own_write(&mut self, version: u64, operation: OperationId, spec: LeaseSpec, sent: Millis) {
        let released = spec.released;
        let term = spec.term;
        self.seen = Some(Observed {
            lease: StoredLease {
                version,
                operation,
                spec,
            },
            since: sent,
        });
        self.free_since = None;
        if released {
            self.apply_event("released");
            self.events.push(LeaseEvent::Released(term));
            self.finish_step_down();
            return;
        }
        self.renewed = sent;
        let previous = std::mem::replace(&mut self.term, term);
        if self.is_holder() {
            self.apply_event("renewed");
            if term != previous {
                self.events.push(LeaseEvent::Reissued(term));
            }
            return;
        }
        self.apply_event("acquired");
        self.events.push(LeaseEvent::Acquired(term));
    }

    fn superseded(&mut self) {
        if self.is_holder() {
            self.apply_event("superseded");
            self.lose();
        }
    }

    fn advance(&mut self, now: Millis) {
        if self.state == "held" && now >= self.may_act_until() {
            self.apply_event("margin_reached");
        }
        if self.state == "expiring" && now >= self.renewed + self.timing.duration_ms {
            self.apply_event("expired");
            self.lose();
        }
    }

    fn lose(&mut self) {
        self.events.push(LeaseEvent::Lost(self.term));
        self.finish_step_down();
        self.apply_event("reset");
        self.has_read = false;
    }

    /// Ends a [`Lease::step_down`] once the lease is released or lost, so that this process competes again after
    /// `backoff_until`. A final release stays in force.
    fn finish_step_down(&mut self) {
        self.releasing = self.releasing.filter(|it| *it == Release::Final);
    }

    fn apply_event(&mut self, event: &str) {
        if let Some(next) = self.chart.next(&self.state, event) {
            next.clone_into(&mut self.state);
        }
    }
}
