//! Lease logic against a naive lease that trusts wall time.
//!
//! Three processes with unequal clocks compete over a store that is slow, loses answers and applies writes late, while
//! the processes are paused at random.

use std::collections::BTreeMap;

use guava_core::ids::{Incarnation, MemberId, OperationId, Role, Term};
use guava_core::lease::{Candidacy, DURATION_MS, Lease, LeaseCall, LeaseSpec, StoredLease, WriteOutcome};
use guava_core::units::Millis;
use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PROCESSES: usize = 3;
const STEP_MS: u64 = 100;
const TROUBLE_MS: u64 = 180_000;
const CALM_MS: u64 = 60_000;
const CALL_LIMIT_MS: u64 = 3_000;

/// A read without an answer.
struct ReadFailed;

/// What the simulation needs of a lease implementation.
trait Keeper {
    fn new(me: MemberId) -> Self;
    fn step(&mut self, rank: usize, now: Millis, rng: &mut ChaCha8Rng) -> Option<LeaseCall>;
    fn on_read(&mut self, found: Result<Option<StoredLease>, ReadFailed>, now: Millis);
    fn on_write(&mut self, call: &LeaseCall, outcome: WriteOutcome, now: Millis);
    fn held(&self, now: Millis) -> Option<Term>;
}

impl Keeper for Lease {
    fn new(me: MemberId) -> Self {
        Self::new(me, Incarnation(1))
    }

    fn step(&mut self, rank: usize, now: Millis, rng: &mut ChaCha8Rng) -> Option<LeaseCall> {
        let standing = Candidacy {
            rank: Some(rank),
            holder_ended: false,
        };
        self.step(standing, now, rng)
    }

    fn on_read(&mut self, found: Result<Option<StoredLease>, ReadFailed>, now: Millis) {
        match found {
            Ok(found) => self.on_read(found, now),
            Err(ReadFailed) => self.on_read_failed(now),
        }
    }

    fn on_write(&mut self, call: &LeaseCall, outcome: WriteOutcome, now: Millis) {
        self.on_write(call, outcome, now);
    }

    fn held(&self, now: Millis) -> Option<Term> {
        self.held(now)
    }
}

/// Naive lease: the object says until when it is held in wall time, and everybody believes it.
struct WallTimeLease {
    me: MemberId,
    seen: Option<StoredLease>,
    next: Millis,
}

impl WallTimeLease {
    fn expiry(lease: &StoredLease) -> Millis {
        Millis(lease.spec.duration_ms)
    }
}

impl Keeper for WallTimeLease {
    fn new(me: MemberId) -> Self {
        Self {
            me,
            seen: None,
            next: Millis(0),
        }
    }

    fn step(&mut self, _rank: usize, now: Millis, rng: &mut ChaCha8Rng) -> Option<LeaseCall> {
        if now < self.next {
            return None;
        }
        self.next = now + 1_000;
        let (expect, term) = self
            .seen
            .as_ref()
            .map_or((None, 0), |it| (Some(it.version), it.spec.term.0));
        let mine = self.seen.as_ref().is_some_and(|it| it.spec.holder == self.me);
        let expired = self.seen.as_ref().is_some_and(|it| now > Self::expiry(it));
        if !mine && !expired && rng.random_bool(0.5) {
            return Some(LeaseCall::Read);
        }
        (mine || expired || self.seen.is_none()).then(|| LeaseCall::Write {
            spec: LeaseSpec {
                holder: self.me.clone(),
                incarnation: Incarnation(1),
                term: Term(term + u64::from(!mine)),
                duration_ms: now.0 + DURATION_MS,
                released: false,
            },
            expect,
            operation: OperationId::new(rng.random::<u64>().to_string()),
        })
    }

    fn on_read(&mut self, found: Result<Option<StoredLease>, ReadFailed>, _now: Millis) {
        self.seen = found.unwrap_or_else(|_| self.seen.take());
    }

    fn on_write(&mut self, call: &LeaseCall, outcome: WriteOutcome, _now: Millis) {
        match (call, outcome) {
            (LeaseCall::Write { spec, operation, .. }, WriteOutcome::Done { version }) => {
                self.seen = Some(StoredLease {
                    version,
                    operation: operation.clone(),
                    spec: spec.clone(),
                });
            }
            _ => self.next = Millis(0),
        }
    }

    fn held(&self, now: Millis) -> Option<Term> {
        let mine = self.seen.as_ref().filter(|it| it.spec.holder == self.me)?;
        (now < Self::expiry(mine)).then_some(mine.spec.term)
    }
}

struct InFlight {
    call: LeaseCall,
    applied_at: u64,
    answered_at: u64,
    /// Whether the answer never arrives, although the store applies the call.
    lost: bool,
    answer: Option<Result<Option<StoredLease>, Option<u64>>>,
}

struct Process<K> {
    manager: K,
    clock_offset: u64,
    paused_until: u64,
    call: Option<InFlight>,
}

#[derive(Default)]
struct Report {
    /// Moments at which two processes believed that they held the lease.
    double: usize,
    /// Whether one process held it at the end.
    held_at_end: bool,
    /// Terms with the processes that held them.
    terms: BTreeMap<Term, usize>,
    term_shared: bool,
}

struct Simulation<K> {
    rng: ChaCha8Rng,
    object: Option<StoredLease>,
    version: u64,
    late: Vec<(u64, LeaseCall)>,
    processes: Vec<Process<K>>,
    report: Report,
}

impl<K: Keeper> Simulation<K> {
    fn run(seed: u64) -> Report {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let processes = (0..PROCESSES)
            .map(|index| Process {
                manager: K::new(MemberId::new(format!("vm{index}"), Role::Controller)),
                clock_offset: rng.random_range(0..60_000),
                paused_until: 0,
                call: None,
            })
            .collect();
        let mut simulation = Self {
            rng,
            object: None,
            version: 0,
            late: Vec::new(),
            processes,
            report: Report::default(),
        };
        for now in (0..TROUBLE_MS + CALM_MS).step_by(STEP_MS as usize) {
            simulation.advance(now, now < TROUBLE_MS);
        }
        simulation.report
    }

    fn advance(&mut self, now: u64, trouble: bool) {
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late = later;
        let due: Vec<(u64, LeaseCall)> = due;
        for (_, call) in due {
            // The caller has given up on the answer.
            let _ = self.apply(&call);
        }
        for index in 0..PROCESSES {
            self.serve(index, now);
            self.act(index, now, trouble);
        }
        let local = |it: &Process<K>| it.manager.held(Millis(now + it.clock_offset));
        let held: Vec<(usize, Term)> = self
            .processes
            .iter()
            .enumerate()
            .filter_map(|(index, it)| local(it).map(|term| (index, term)))
            .collect();
        self.report.double += usize::from(held.len() > 1);
        self.report.held_at_end = held.len() == 1;
        for (index, term) in held {
            let owner = *self.report.terms.entry(term).or_insert(index);
            self.report.term_shared |= owner != index;
        }
    }

    /// Lets the store apply the process's call when its time has come.
    fn serve(&mut self, index: usize, now: u64) {
        let Some(mut call) = self.processes[index].call.take() else {
            return;
        };
        if call.answer.is_none() && call.applied_at <= now {
            call.answer = Some(self.apply(&call.call));
        }
        self.processes[index].call = Some(call);
    }

    fn apply(&mut self, call: &LeaseCall) -> Result<Option<StoredLease>, Option<u64>> {
        let LeaseCall::Write {
            spec,
            expect,
            operation,
        } = call
        else {
            return Ok(self.object.clone());
        };
        let current = self.object.as_ref().map(|it| it.version);
        if current != *expect {
            return Err(current);
        }
        self.version += 1;
        self.object = Some(StoredLease {
            version: self.version,
            operation: operation.clone(),
            spec: spec.clone(),
        });
        Ok(self.object.clone())
    }

    fn act(&mut self, index: usize, now: u64, trouble: bool) {
        let process = &mut self.processes[index];
        if now < process.paused_until {
            return;
        }
        if trouble && self.rng.random_bool(0.004) {
            process.paused_until = now + self.rng.random_range(500..25_000);
            return;
        }
        let local = Millis(now + process.clock_offset);
        if let Some(call) = process.call.take() {
            if call.answered_at > now {
                process.call = Some(call);
                return;
            }
            let is_write = matches!(call.call, LeaseCall::Write { .. });
            let is_applied = call.answer.is_some();
            match call.answer.filter(|_| !call.lost) {
                Some(Ok(found)) if !is_write => process.manager.on_read(Ok(found), local),
                Some(Err(_)) => process.manager.on_write(&call.call, WriteOutcome::Conflict, local),
                Some(Ok(Some(lease))) => {
                    let version = lease.version;
                    process
                        .manager
                        .on_write(&call.call, WriteOutcome::Done { version }, local);
                }
                _ if is_write => {
                    process.manager.on_write(&call.call, WriteOutcome::Unknown, local);
                    if !is_applied {
                        self.late.push((call.applied_at, call.call));
                    }
                }
                _ => process.manager.on_read(Err(ReadFailed), local),
            }
        }
        if let Some(call) = process.manager.step(index, local, &mut self.rng) {
            let slow = trouble && self.rng.random_bool(0.1);
            let latency = if slow {
                self.rng.random_range(0..12_000)
            } else {
                STEP_MS
            };
            let lost = trouble && self.rng.random_bool(0.1);
            let answered = if lost { now + CALL_LIMIT_MS } else { now + latency };
            process.call = Some(InFlight {
                applied_at: now + latency,
                answered_at: answered.min(now + CALL_LIMIT_MS),
                lost,
                answer: None,
                call,
            });
        }
    }
}

/// Keeps the seeds of failures next to this file.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against two holders, a term used twice and a lease that nobody takes over.
    #[test]
    fn at_most_one_process_holds_the_lease(seed: u64) {
        let report = Simulation::<Lease>::run(seed);

        prop_assert_eq!(report.double, 0);
        prop_assert!(!report.term_shared);
        prop_assert!(report.held_at_end);
        prop_assert!(!report.terms.is_empty());
    }
}

/// Shows the fault that own clocks prevent: with wall time and unequal clocks two processes hold the lease at once.
#[test]
fn wall_time_lease_has_two_holders() {
    let double: usize = (0..20).map(|seed| Simulation::<WallTimeLease>::run(seed).double).sum();

    assert!(double > 0);
}

fn lease_of(vm: &str) -> Lease {
    Lease::new(MemberId::new(vm, Role::Controller), Incarnation(1))
}

fn first() -> Candidacy {
    Candidacy {
        rank: Some(0),
        holder_ended: false,
    }
}

/// Acquires an absent lease at `now` and returns the written object.
fn acquire(lease: &mut Lease, now: Millis, rng: &mut ChaCha8Rng) -> StoredLease {
    assert_eq!(lease.step(first(), now, rng), Some(LeaseCall::Read));
    lease.on_read(None, now);
    let call = lease.step(first(), now + 2_000, rng).unwrap();
    let LeaseCall::Write { spec, operation, .. } = call.clone() else {
        panic!("expected a write: {call:?}");
    };
    lease.on_write(&call, WriteOutcome::Done { version: 1 }, now + 2_000);
    StoredLease {
        version: 1,
        operation,
        spec,
    }
}

/// Guards against a holder that acts after a pause longer than its margin allows.
#[test]
fn holder_stops_acting_before_expiry() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut lease = lease_of("vm0");
    acquire(&mut lease, Millis(0), &mut rng);
    let sent = 2_000;

    assert_eq!(lease.held(Millis(sent + 7_999)), Some(Term(1)));
    assert_eq!(lease.held(Millis(sent + 8_000)), None);
}

/// Guards against an acquisition whose answer was lost: it is found by its operation id and counted from its sending.
#[test]
fn lost_answer_is_read_back() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut lease = lease_of("vm0");
    lease.step(first(), Millis(0), &mut rng);
    lease.on_read(None, Millis(0));
    let call = lease.step(first(), Millis(2_000), &mut rng).unwrap();
    let LeaseCall::Write { spec, operation, .. } = call.clone() else {
        panic!("expected a write: {call:?}");
    };

    lease.on_write(&call, WriteOutcome::Unknown, Millis(5_000));
    let next = lease.step(first(), Millis(6_000), &mut rng);
    let found = StoredLease {
        version: 4,
        operation,
        spec,
    };
    lease.on_read(Some(found), Millis(6_100));

    assert_eq!(next, Some(LeaseCall::Read));
    assert_eq!(lease.held(Millis(9_999)), Some(Term(1)));
    assert_eq!(lease.held(Millis(10_000)), None);
}

/// Guards against a long wait for a lease whose holder has given it back or is proved to have ended.
#[test]
fn released_or_ended_holder_is_followed_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut holder = lease_of("vm0");
    let held = acquire(&mut holder, Millis(0), &mut rng);
    let released = StoredLease {
        spec: LeaseSpec {
            released: true,
            ..held.spec.clone()
        },
        ..held.clone()
    };
    let ended = Candidacy {
        holder_ended: true,
        ..first()
    };

    for (object, standing, takes) in [
        (released, first(), true),
        (held.clone(), ended, true),
        (held, first(), false),
    ] {
        let mut candidate = lease_of("vm1");
        candidate.step(standing, Millis(0), &mut rng);
        candidate.on_read(Some(object), Millis(10));
        let call = candidate.step(standing, Millis(2_010), &mut rng);
        let term = match call {
            Some(LeaseCall::Write { spec, .. }) => Some(spec.term),
            _ => None,
        };
        assert_eq!(term, takes.then_some(Term(2)));
    }
}

/// Guards against a fleet that starts, or loses a holder that said goodbye, and waits for the time between reads before
/// anybody takes the lease that was read as free.
#[test]
fn a_lease_read_as_free_is_taken_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let held = acquire(&mut lease_of("vm0"), Millis(0), &mut rng);
    let released = StoredLease {
        spec: LeaseSpec {
            released: true,
            ..held.spec.clone()
        },
        ..held.clone()
    };

    for (object, takes) in [(None, true), (Some(released), true), (Some(held), false)] {
        let mut candidate = lease_of("vm1");
        candidate.step(first(), Millis(0), &mut rng);
        candidate.on_read(object, Millis(10));
        let call = candidate.step(first(), Millis(10), &mut rng);
        assert_eq!(matches!(call, Some(LeaseCall::Write { .. })), takes, "{call:?}");
    }
}

/// Guards against a holder that goes on to act after it has stepped down or cannot reach the platform, and against one
/// that never competes again.
#[test]
fn a_holder_that_steps_down_rests_and_competes_again() {
    for abandons in [false, true] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut lease = Lease::new(MemberId::new("vm-1", Role::Controller), Incarnation(1));
        let standing = Candidacy {
            rank: Some(0),
            holder_ended: false,
        };
        let mut now = Millis(1_000);
        let mut version = 0;
        let mut stored = None;
        let mut carry_out = |lease: &mut Lease, now: Millis| {
            let Some(call) = lease.step(standing, now, &mut rng) else {
                return;
            };
            match &call {
                LeaseCall::Read => lease.on_read(stored.clone(), now),
                LeaseCall::Write { spec, operation, .. } => {
                    version += 1;
                    stored = Some(StoredLease {
                        version,
                        operation: operation.clone(),
                        spec: spec.clone(),
                    });
                    lease.on_write(&call, WriteOutcome::Done { version }, now);
                }
            }
        };
        while lease.held(now).is_none() && now < Millis(20_000) {
            carry_out(&mut lease, now);
            now = now + 150;
        }
        assert_eq!(lease.held(now), Some(Term(1)));

        if abandons {
            lease.abandon(now, 2_000);
            assert_eq!(lease.held(now), None);
        } else {
            lease.step_down(now, 2_000);
            carry_out(&mut lease, now);
            assert_eq!(lease.held(now), None);
        }
        for _ in 0..10 {
            now = now + 150;
            carry_out(&mut lease, now);
            assert_eq!(lease.held(now), None, "acts while it rests, abandons={abandons}");
        }
        for _ in 0..200 {
            now = now + 150;
            carry_out(&mut lease, now);
        }

        assert!(lease.held(now).is_some(), "competes again, abandons={abandons}");
    }
}
