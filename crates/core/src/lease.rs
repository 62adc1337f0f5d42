//! Decisions of a process that competes for a lease.
//!
//! The holder counts its time from the moment before it sent its last successful renewal, and stops acting
//! [`Timing::margin_ms`] before the end. A candidate takes over only after it has seen the same version of the lease object for
//! a full duration on its own clock, or when the holder is proved to have ended. No clocks are compared. States and
//! transitions are read from `charts/lease.toml`.

use rand::{Rng, RngCore};

use crate::chart::{self, Chart};
use crate::ids::{Incarnation, MemberId, OperationId, Term};
use crate::units::Millis;

/// Duration of a lease.
pub const DURATION_MS: u64 = 10_000;
/// Candidates that read the lease object; others would only use up the platform's call rate.
pub const ACTIVE_CANDIDATES: usize = 3;

/// Times of a lease, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Duration of the lease.
    pub duration_ms: u64,
    /// Time between renewals.
    pub renew_ms: u64,
    /// Time before expiry at which the holder stops acting.
    pub margin_ms: u64,
    /// Time between the attempts of candidates of successive rank.
    pub rank_delay_ms: u64,
    /// Time between a candidate's reads.
    pub candidate_read_ms: u64,
    /// Time until a failed call is repeated.
    pub retry_ms: u64,
}

impl Default for Timing {
    /// With three candidates a lease costs the platform 1.5 reads a second.
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
    /// Value of a lease object.
    pub struct LeaseSpec {
        /// Process that holds the lease.
        pub holder: MemberId,
        /// Life of the holder.
        pub incarnation: Incarnation,
        /// Fencing token; grows by one with each change of holder.
        pub term: Term,
        /// Duration in milliseconds.
        pub duration_ms: u64,
        /// Whether the holder has given the lease back.
        #[serde(default)]
        pub released: bool,
    }

    /// Lease object as read from the platform.
    pub struct StoredLease {
        /// Version of the object.
        pub version: u64,
        /// Operation id of the last write.
        pub operation: OperationId,
        /// Value.
        pub spec: LeaseSpec,
    }
}

/// Call to the platform that the manager must make next.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseCall {
    /// Read the lease object.
    Read,
    /// Write the lease object.
    Write {
        /// New value.
        spec: LeaseSpec,
        /// Version it replaces; `None` creates the object.
        expect: Option<u64>,
        /// Operation id of the write.
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
    /// Another write came first.
    Conflict,
    /// The write took no effect.
    NotRun,
    /// No answer came.
    Unknown,
}

/// What a manager knows about the other members when it decides.
#[derive(Debug, Clone, Copy, Default)]
pub struct Candidacy {
    /// Rank of this process among the live candidates; `None` when it must not acquire.
    pub rank: Option<usize>,
    /// Whether the holder last seen is proved to have ended.
    pub holder_ended: bool,
}

/// Change of tenure that the program learns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The lease is held under this term.
    Acquired(Term),
    /// The lease of this term was given back.
    Released(Term),
    /// The lease of this term is no longer held.
    Lost(Term),
}

#[derive(Debug)]
struct Attempt {
    operation: OperationId,
    sent: Millis,
}

#[derive(Debug)]
struct Seen {
    lease: StoredLease,
    since: Millis,
}

/// What follows when the lease has been given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Release {
    /// The process competes no more.
    Final,
    /// The process competes again after its rest.
    Rest,
}

/// One lease at one process.
#[derive(Debug)]
pub struct Lease {
    me: MemberId,
    incarnation: Incarnation,
    timing: Timing,
    chart: Chart,
    state: String,
    seen: Option<Seen>,
    /// Since when the object is known to be absent or released.
    open_since: Option<Millis>,
    known: bool,
    term: Term,
    renewed: Millis,
    /// Writes that may still take effect.
    attempts: Vec<Attempt>,
    /// Whether the outcome of the last write must be read back.
    unresolved: bool,
    next_call: Millis,
    releasing: Option<Release>,
    /// Until when this process lets others take the lease.
    rests_until: Millis,
    events: Vec<LeaseEvent>,
}

impl Lease {
    /// Starts as a candidate for a lease of the usual duration.
    pub fn new(me: MemberId, incarnation: Incarnation) -> Self {
        Self::with_timing(me, incarnation, Timing::default())
    }

    /// Starts as a candidate.
    ///
    /// # Panics
    ///
    /// Panics when the embedded chart has a fault; [`chart::check_all`] finds it at start.
    pub fn with_timing(me: MemberId, incarnation: Incarnation, timing: Timing) -> Self {
        let chart = Chart::parse(chart::LEASE).expect("charts are checked at start");
        Self {
            me,
            incarnation,
            timing,
            state: chart.initial().to_owned(),
            chart,
            seen: None,
            open_since: None,
            known: false,
            term: Term(0),
            renewed: Millis(0),
            attempts: Vec::new(),
            unresolved: false,
            next_call: Millis(0),
            releasing: None,
            rests_until: Millis(0),
            events: Vec::new(),
        }
    }

    /// Time until which a holder may act without a further renewal.
    fn acts_until(&self) -> Millis {
        self.renewed + (self.timing.duration_ms - self.timing.margin_ms)
    }

    /// Term under which this process may act at `now`.
    pub fn held(&self, now: Millis) -> Option<Term> {
        let in_time = now < self.acts_until();
        (self.state == "held" && in_time).then_some(self.term)
    }

    /// Time until which this process may act without a further renewal.
    pub fn held_until(&self, now: Millis) -> Option<Millis> {
        self.held(now).map(|_| self.acts_until())
    }

    /// Lease object as last seen.
    pub fn seen(&self) -> Option<&LeaseSpec> {
        self.seen.as_ref().map(|it| &it.lease.spec)
    }

    /// Takes the changes of tenure since the last call.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether this process still counts as holder, its margin included.
    pub fn is_holder(&self) -> bool {
        self.state == "held" || self.state == "expiring"
    }

    /// Gives the lease back at the next step and competes no more.
    pub fn release(&mut self) {
        self.releasing = Some(Release::Final);
        self.next_call = Millis(0);
    }

    /// Gives the lease back at the next step and competes again after `rest_ms`.
    pub fn step_down(&mut self, now: Millis, rest_ms: u64) {
        self.release();
        self.releasing = Some(Release::Rest);
        self.rests_until = now + rest_ms;
    }

    /// Stops acting at once without a write, for a holder that cannot reach the platform; competes again after `rest_ms`.
    pub fn abandon(&mut self, now: Millis, rest_ms: u64) {
        self.superseded();
        self.rests_until = now + rest_ms;
    }

    /// Makes a candidate read the object at the next step, because its holder has changed or given it back.
    pub fn refresh(&mut self) {
        if !self.is_holder() {
            self.known = false;
            self.next_call = Millis(0);
        }
    }

    /// Next call to make, if any; the caller reports its outcome before it asks again.
    pub fn step(&mut self, standing: Candidacy, now: Millis, rng: &mut dyn RngCore) -> Option<LeaseCall> {
        self.advance(now);
        if now < self.next_call {
            return None;
        }
        if self.is_holder() {
            return self.step_holder(now, rng);
        }
        if self.releasing.is_some() || now < self.rests_until {
            return None;
        }
        self.step_candidate(standing, now, rng)
    }

    fn step_holder(&mut self, now: Millis, rng: &mut dyn RngCore) -> Option<LeaseCall> {
        // An unanswered write is read back first: its version is not known, so a new write would conflict with it.
        if self.unresolved {
            return Some(LeaseCall::Read);
        }
        if self.releasing.is_none() && now < self.renewed + self.timing.renew_ms {
            return None;
        }
        let expect = self.seen.as_ref().map(|it| it.lease.version);
        let spec = self.spec(self.term, self.releasing.is_some());
        Some(self.write(spec, expect, now, rng))
    }

    fn step_candidate(&mut self, standing: Candidacy, now: Millis, rng: &mut dyn RngCore) -> Option<LeaseCall> {
        let rank = standing.rank.filter(|it| *it < ACTIVE_CANDIDATES)?;
        if !self.known || self.unresolved {
            return Some(LeaseCall::Read);
        }
        let turn = rank as u64 * self.timing.rank_delay_ms;
        if self.open_since.is_none() && self.may_take(standing, now) {
            self.open_since = Some(now);
        }
        let Some(open) = self.open_since else {
            return Some(LeaseCall::Read);
        };
        if now < open + turn {
            self.next_call = (open + turn).min(now + self.timing.retry_ms);
            return None;
        }
        let (expect, last) = self
            .seen
            .as_ref()
            .map_or((None, Term(0)), |it| (Some(it.lease.version), it.lease.spec.term));
        let spec = self.spec(Term(last.0 + 1), false);
        Some(self.write(spec, expect, now, rng))
    }

    fn may_take(&self, standing: Candidacy, now: Millis) -> bool {
        let Some(seen) = &self.seen else {
            return true;
        };
        let spec = &seen.lease.spec;
        let is_mine = spec.holder == self.me && spec.incarnation == self.incarnation;
        let ran_out = now.since(seen.since) >= spec.duration_ms;
        spec.released || is_mine || ran_out || standing.holder_ended
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

    /// Notes the outcome of a read that was answered at `now`.
    pub fn on_read(&mut self, found: Option<StoredLease>, now: Millis) {
        self.known = true;
        self.unresolved = false;
        let candidate_gap = if self.is_holder() {
            0
        } else {
            self.timing.candidate_read_ms
        };
        self.next_call = now + candidate_gap;
        let Some(lease) = found else {
            self.superseded();
            // A create whose answer was lost may still arrive, but a replacement of a deleted object cannot.
            if self.seen.take().is_some() {
                self.attempts.clear();
            }
            self.open_since.get_or_insert(now);
            self.next_call = now;
            return;
        };
        let own = self.attempts.iter().find(|it| it.operation == lease.operation);
        let own = own.map(|it| it.sent);
        if let Some(sent) = own {
            self.attempts.clear();
            self.written(lease.version, lease.operation, lease.spec, sent);
            self.advance(now);
            return;
        }
        let unchanged = self.seen.as_ref().is_some_and(|it| it.lease.version == lease.version);
        if unchanged {
            return;
        }
        // The object has a new version, so no earlier write of this process can take effect any more.
        self.attempts.clear();
        self.superseded();
        self.open_since = lease.spec.released.then_some(now);
        if lease.spec.released {
            self.next_call = now;
        }
        self.seen = Some(Seen { lease, since: now });
    }

    /// Notes that a read failed.
    pub fn on_read_failed(&mut self, now: Millis) {
        self.next_call = now + self.timing.retry_ms;
    }

    /// Notes the outcome of the last write.
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
                    self.written(version, operation.clone(), spec.clone(), sent);
                }
                self.advance(now);
                self.next_call = now;
            }
            // The attempts stay: the conflict may be with an earlier write whose answer was lost.
            WriteOutcome::Conflict => {
                self.next_call = now;
                self.open_since = None;
                self.unresolved = true;
            }
            WriteOutcome::NotRun => {
                self.attempts.retain(|it| it.operation != *operation);
                self.next_call = now + self.timing.retry_ms;
            }
            WriteOutcome::Unknown => {
                self.unresolved = true;
                self.next_call = now + self.timing.retry_ms / 4;
            }
        }
    }

    fn written(&mut self, version: u64, operation: OperationId, spec: LeaseSpec, sent: Millis) {
        let released = spec.released;
        let term = spec.term;
        self.seen = Some(Seen {
            lease: StoredLease {
                version,
                operation,
                spec,
            },
            since: sent,
        });
        self.open_since = None;
        if released {
            self.fire("released");
            self.events.push(LeaseEvent::Released(term));
            self.end_rest();
            return;
        }
        self.renewed = sent;
        if self.is_holder() {
            self.fire("renewed");
            return;
        }
        self.term = term;
        self.fire("acquired");
        self.events.push(LeaseEvent::Acquired(term));
    }

    fn superseded(&mut self) {
        if self.is_holder() {
            self.fire("superseded");
            self.lose();
        }
    }

    fn advance(&mut self, now: Millis) {
        if self.state == "held" && now >= self.acts_until() {
            self.fire("margin_reached");
        }
        if self.state == "expiring" && now >= self.renewed + self.timing.duration_ms {
            self.fire("expired");
            self.lose();
        }
    }

    fn lose(&mut self) {
        self.events.push(LeaseEvent::Lost(self.term));
        self.end_rest();
        self.fire("reset");
        self.known = false;
    }

    fn end_rest(&mut self) {
        self.releasing = self.releasing.filter(|it| *it == Release::Final);
    }

    fn fire(&mut self, event: &str) {
        if let Some(next) = self.chart.next(&self.state, event) {
            next.clone_into(&mut self.state);
        }
    }
}
