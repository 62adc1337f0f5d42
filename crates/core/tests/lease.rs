//! Lease protocol, in a simulation with faults and in single scenarios.
//!
//! In the simulation three processes with different clocks compete for a lease in a store that is slow, loses answers,
//! applies writes late and is restored from older copies, while processes pause at random. A lease that trusts wall time
//! and one that does not know of restores serve as comparisons.

use std::collections::BTreeMap;

use guava_core::ids::{Incarnation, MemberId, OperationId, Role, Term};
use guava_core::lease::{
    Candidacy, DURATION_MS, Lease, LeaseCall, LeaseEvent, LeaseSpec, StoredLease, WriteOutcome, era_of,
};
use guava_core::units::Millis;
use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PROCESSES: usize = 3;
const STEP_MS: u64 = 100;
const FAULTY_MS: u64 = 180_000;
const FAULT_FREE_MS: u64 = 60_000;
const CALL_TIMEOUT_MS: u64 = 3_000;
/// Greatest age of the copy from which the store is restored.
const MAX_COPY_AGE_MS: u64 = 20_000;

/// Outcome of a read that got no answer.
struct ReadFailed;

/// Lease implementation that the simulation can run.
trait LeaseUnderTest {
    fn new(me: MemberId) -> Self;
    fn step(&mut self, rank: usize, now: Millis, rng: &mut ChaCha8Rng) -> Option<LeaseCall>;
    fn on_read(&mut self, found: Result<Option<StoredLease>, ReadFailed>, now: Millis);
    fn on_write(&mut self, call: &LeaseCall, outcome: WriteOutcome, now: Millis);
    /// Era that the lease knows; `None` if it does not know of eras.
    fn known_era(&self) -> Option<u64> {
        None
    }
    /// Records the era in which the store gave an answer; false if the answer is outdated.
    fn accepts_era(&mut self, _era: u64, _now: Millis) -> bool {
        true
    }
    fn held(&self, now: Millis) -> Option<Term>;
}

impl LeaseUnderTest for Lease {
    fn new(me: MemberId) -> Self {
        Self::new(me, Incarnation(1))
    }

    fn step(&mut self, rank: usize, now: Millis, rng: &mut ChaCha8Rng) -> Option<LeaseCall> {
        let candidacy = Candidacy {
            rank: Some(rank),
            ..Candidacy::default()
        };
        self.step(candidacy, now, rng)
    }

    fn known_era(&self) -> Option<u64> {
        Some(self.era())
    }

    fn accepts_era(&mut self, era: u64, now: Millis) -> bool {
        let is_current = era >= self.era();
        self.observe_era(era, now);
        is_current
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

/// Lease that does not know of restores.
struct EraBlindLease(Lease);

impl LeaseUnderTest for EraBlindLease {
    fn new(me: MemberId) -> Self {
        Self(LeaseUnderTest::new(me))
    }

    fn step(&mut self, rank: usize, now: Millis, rng: &mut ChaCha8Rng) -> Option<LeaseCall> {
        LeaseUnderTest::step(&mut self.0, rank, now, rng)
    }

    fn on_read(&mut self, found: Result<Option<StoredLease>, ReadFailed>, now: Millis) {
        LeaseUnderTest::on_read(&mut self.0, found, now);
    }

    fn on_write(&mut self, call: &LeaseCall, outcome: WriteOutcome, now: Millis) {
        self.0.on_write(call, outcome, now);
    }

    fn held(&self, now: Millis) -> Option<Term> {
        self.0.held(now)
    }
}

/// Naive lease: the object contains the expiry in wall time, and each process compares it with its own clock.
struct WallTimeLease {
    me: MemberId,
    seen: Option<StoredLease>,
    next_call: Millis,
}

impl WallTimeLease {
    /// In this lease `duration_ms` contains the time of expiry instead of a duration.
    fn expiry(lease: &StoredLease) -> Millis {
        Millis(lease.spec.duration_ms)
    }
}

impl LeaseUnderTest for WallTimeLease {
    fn new(me: MemberId) -> Self {
        Self {
            me,
            seen: None,
            next_call: Millis(0),
        }
    }

    fn step(&mut self, _rank: usize, now: Millis, rng: &mut ChaCha8Rng) -> Option<LeaseCall> {
        if now < self.next_call {
            return None;
        }
        self.next_call = now + 1_000;
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
            _ => self.next_call = Millis(0),
        }
    }

    fn held(&self, now: Millis) -> Option<Term> {
        let mine = self.seen.as_ref().filter(|it| it.spec.holder == self.me)?;
        (now < Self::expiry(mine)).then_some(mine.spec.term)
    }
}

/// Object after a call of the store, or its present version if a write conflicted.
type Applied = Result<Option<StoredLease>, Option<u64>>;

struct InFlight {
    call: LeaseCall,
    /// Era in which its expected version was read, for a lease that knows of eras.
    sent_in: u64,
    applied_at: u64,
    answered_at: u64,
    /// Whether the answer is lost although the store applies the call.
    lost: bool,
    /// Era in which the store applied the call, and the result; `None` until then.
    answer: Option<(u64, Applied)>,
}

struct Process<K> {
    lease: K,
    clock_offset: u64,
    paused_until: u64,
    call: Option<InFlight>,
}

#[derive(Default)]
struct Report {
    /// Number of steps at which more than one process held the lease by its own view.
    double_held_steps: usize,
    /// Whether exactly one process held the lease at the last step.
    held_at_end: bool,
    /// Index of the first process that held the lease in each term.
    holder_by_term: BTreeMap<Term, usize>,
    term_shared: bool,
}

struct Simulation<K> {
    rng: ChaCha8Rng,
    object: Option<StoredLease>,
    version: u64,
    era: u64,
    is_restored: bool,
    /// Times, objects and versions from which the store may be restored.
    copies: Vec<(u64, Option<StoredLease>, u64)>,
    delayed_writes: Vec<(u64, LeaseCall)>,
    processes: Vec<Process<K>>,
    report: Report,
}

impl<K: LeaseUnderTest> Simulation<K> {
    fn run(seed: u64) -> Report {
        Self::run_with(seed, false)
    }

    /// Runs with a store that is restored from older copies now and then if `is_restored`.
    fn run_with(seed: u64, is_restored: bool) -> Report {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let processes = (0..PROCESSES)
            .map(|index| Process {
                lease: K::new(MemberId::new(format!("vm{index}"), Role::Controller)),
                clock_offset: rng.random_range(0..60_000),
                paused_until: 0,
                call: None,
            })
            .collect();
        let mut simulation = Self {
            rng,
            object: None,
            version: 0,
            era: u64::from(is_restored),
            is_restored,
            copies: Vec::new(),
            delayed_writes: Vec::new(),
            processes,
            report: Report::default(),
        };
        for now in (0..FAULTY_MS + FAULT_FREE_MS).step_by(STEP_MS as usize) {
            simulation.advance(now, now < FAULTY_MS);
        }
        simulation.report
    }

    fn restore(&mut self, now: u64) {
        let made_at = now.saturating_sub(self.rng.random_range(0..MAX_COPY_AGE_MS));
        let copy = self.copies.iter().rfind(|(at, ..)| *at <= made_at);
        let (object, version) = copy.map_or((None, 0), |(_, object, version)| (object.clone(), *version));
        self.object = object;
        self.version = version;
        self.era += 1;
        self.copies.retain(|(at, ..)| *at <= made_at);
    }

    fn advance(&mut self, now: u64, with_faults: bool) {
        if self.is_restored && with_faults && self.rng.random_bool(0.005) {
            self.restore(now);
        }
        if self.is_restored {
            self.copies.push((now, self.object.clone(), self.version));
        }
        let (due, later) = std::mem::take(&mut self.delayed_writes)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.delayed_writes = later;
        let due: Vec<(u64, LeaseCall)> = due;
        for (_, call) in due {
            // The caller has already timed out.
            let _ = self.apply(&call);
        }
        for index in 0..PROCESSES {
            self.apply_due_call(index, now);
            self.run_process(index, now, with_faults);
        }
        let local = |it: &Process<K>| it.lease.held(Millis(now + it.clock_offset));
        let held: Vec<(usize, Term)> = self
            .processes
            .iter()
            .enumerate()
            .filter_map(|(index, it)| local(it).map(|term| (index, term)))
            .collect();
        self.report.double_held_steps += usize::from(held.len() > 1);
        self.report.held_at_end = held.len() == 1;
        for (index, term) in held {
            let first_holder = *self.report.holder_by_term.entry(term).or_insert(index);
            self.report.term_shared |= first_holder != index;
        }
    }

    /// Lets the store apply the pending call of a process when it is due.
    fn apply_due_call(&mut self, index: usize, now: u64) {
        let Some(mut call) = self.processes[index].call.take() else {
            return;
        };
        if call.answer.is_none() && call.applied_at <= now {
            call.answer = Some((self.era, self.apply(&call.call)));
        }
        self.processes[index].call = Some(call);
    }

    fn apply(&mut self, call: &LeaseCall) -> Applied {
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

    fn run_process(&mut self, index: usize, now: u64, with_faults: bool) {
        let process = &mut self.processes[index];
        if now < process.paused_until {
            return;
        }
        if with_faults && self.rng.random_bool(0.004) {
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
            let (era, answer) = call.answer.filter(|_| !call.lost).unzip();
            match answer {
                Some(Ok(found)) if !is_write => {
                    let is_current = process.lease.accepts_era(era.unwrap_or(0), local);
                    let found = if is_current { Ok(found) } else { Err(ReadFailed) };
                    process.lease.on_read(found, local);
                }
                Some(Err(_)) => process.lease.on_write(&call.call, WriteOutcome::Conflict, local),
                Some(Ok(Some(_))) if era != Some(call.sent_in) => {
                    process.lease.on_write(&call.call, WriteOutcome::Unknown, local);
                }
                Some(Ok(Some(lease))) => {
                    let version = lease.version;
                    process
                        .lease
                        .on_write(&call.call, WriteOutcome::Done { version }, local);
                }
                _ if is_write => {
                    process.lease.on_write(&call.call, WriteOutcome::Unknown, local);
                    if !is_applied {
                        self.delayed_writes.push((call.applied_at, call.call));
                    }
                }
                _ => process.lease.on_read(Err(ReadFailed), local),
            }
        }
        if let Some(call) = process.lease.step(index, local, &mut self.rng) {
            let slow = with_faults && self.rng.random_bool(0.1);
            let latency = if slow {
                self.rng.random_range(0..12_000)
            } else {
                STEP_MS
            };
            let lost = with_faults && self.rng.random_bool(0.1);
            let answered = if lost { now + CALL_TIMEOUT_MS } else { now + latency };
            process.call = Some(InFlight {
                applied_at: now + latency,
                answered_at: answered.min(now + CALL_TIMEOUT_MS),
                lost,
                answer: None,
                call,
                sent_in: process.lease.known_era().unwrap_or(self.era),
            });
        }
    }
}

/// Stores the seeds of failing cases next to this file.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against two simultaneous holders, a term held by two processes, and a lease that no process acquires
    /// after the faults end.
    #[test]
    fn at_most_one_process_holds_the_lease(seed: u64) {
        let report = Simulation::<Lease>::run(seed);

        prop_assert_eq!(report.double_held_steps, 0);
        prop_assert!(!report.term_shared);
        prop_assert!(report.held_at_end);
        prop_assert!(!report.holder_by_term.is_empty());
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against two holders, and against a term that is given out again, after the store was restored from a copy
    /// that lacks the latest lease.
    #[test]
    fn at_most_one_process_holds_the_lease_of_a_restored_store(seed: u64) {
        let report = Simulation::<Lease>::run_with(seed, true);

        prop_assert_eq!(report.double_held_steps, 0);
        prop_assert!(!report.term_shared);
        prop_assert!(report.held_at_end);
        prop_assert!(report.holder_by_term.keys().all(|it| era_of(*it) > 0));
    }
}

/// Guards against a simulation too weak to show terms that are given out again.
#[test]
fn lease_that_does_not_know_of_restores_gives_terms_out_again() {
    let reports = (0..20).map(|seed| Simulation::<EraBlindLease>::run_with(seed, true));

    let (shared, double) = reports.fold((0, 0), |(shared, double), it| {
        (shared + usize::from(it.term_shared), double + it.double_held_steps)
    });

    assert!(
        shared > 0 && double > 0,
        "{shared} terms shared, {double} steps with two holders"
    );
}

/// Guards against a simulation too weak to show two holders: a lease by wall time must fail under different clocks.
#[test]
fn wall_time_lease_has_two_holders() {
    let double_held_steps: usize = (0..20)
        .map(|seed| Simulation::<WallTimeLease>::run(seed).double_held_steps)
        .sum();

    assert!(double_held_steps > 0);
}

fn lease_of(vm: &str) -> Lease {
    Lease::new(MemberId::new(vm, Role::Controller), Incarnation(1))
}

fn first_candidate() -> Candidacy {
    Candidacy {
        rank: Some(0),
        ..Candidacy::default()
    }
}

/// Acquires an absent lease at `now` and returns the written object.
fn acquire(lease: &mut Lease, now: Millis, rng: &mut ChaCha8Rng) -> StoredLease {
    assert_eq!(lease.step(first_candidate(), now, rng), Some(LeaseCall::Read));
    lease.on_read(None, now);
    let call = lease.step(first_candidate(), now + 2_000, rng).unwrap();
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

/// Guards against a holder that still acts when less than the margin is left before expiry.
#[test]
fn holder_stops_acting_before_expiry() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut lease = lease_of("vm0");
    acquire(&mut lease, Millis(0), &mut rng);
    let sent = 2_000;

    assert_eq!(lease.held(Millis(sent + 7_999)), Some(Term(1)));
    assert_eq!(lease.held(Millis(sent + 8_000)), None);
}

/// Guards against an acquisition that is not recognised after its answer was lost, or whose duration counts from the
/// read instead of from the sending of the write.
#[test]
fn write_is_recognised_after_a_lost_answer() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut lease = lease_of("vm0");
    lease.step(first_candidate(), Millis(0), &mut rng);
    lease.on_read(None, Millis(0));
    let call = lease.step(first_candidate(), Millis(2_000), &mut rng).unwrap();
    let LeaseCall::Write { spec, operation, .. } = call.clone() else {
        panic!("expected a write: {call:?}");
    };

    lease.on_write(&call, WriteOutcome::Unknown, Millis(5_000));
    let next_call = lease.step(first_candidate(), Millis(6_000), &mut rng);
    let found = StoredLease {
        version: 4,
        operation,
        spec,
    };
    lease.on_read(Some(found), Millis(6_100));

    assert_eq!(next_call, Some(LeaseCall::Read));
    assert_eq!(lease.held(Millis(9_999)), Some(Term(1)));
    assert_eq!(lease.held(Millis(10_000)), None);
}

/// Guards against a candidate that waits for the expiry of a lease whose holder has released it or is proved to have
/// ended.
#[test]
fn lease_of_a_released_or_ended_holder_is_acquired_before_expiry() {
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
        ..first_candidate()
    };

    for (object, candidacy, acquires) in [
        (released, first_candidate(), true),
        (held.clone(), ended, true),
        (held, first_candidate(), false),
    ] {
        let mut candidate = lease_of("vm1");
        candidate.step(candidacy, Millis(0), &mut rng);
        candidate.on_read(Some(object), Millis(10));
        let call = candidate.step(candidacy, Millis(2_010), &mut rng);
        let term = match call {
            Some(LeaseCall::Write { spec, .. }) => Some(spec.term),
            _ => None,
        };
        assert_eq!(term, acquires.then_some(Term(2)));
    }
}

/// Guards against a candidate that waits for its read interval before it acquires a lease that it has read as absent or
/// released.
#[test]
fn free_lease_is_acquired_without_another_read_interval() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let held = acquire(&mut lease_of("vm0"), Millis(0), &mut rng);
    let released = StoredLease {
        spec: LeaseSpec {
            released: true,
            ..held.spec.clone()
        },
        ..held.clone()
    };

    for (object, acquires) in [(None, true), (Some(released), true), (Some(held), false)] {
        let mut candidate = lease_of("vm1");
        candidate.step(first_candidate(), Millis(0), &mut rng);
        candidate.on_read(object, Millis(10));
        let call = candidate.step(first_candidate(), Millis(10), &mut rng);
        assert_eq!(matches!(call, Some(LeaseCall::Write { .. })), acquires, "{call:?}");
    }
}

/// Guards against a holder that still acts after stepping down or abandoning the lease, that competes during its
/// back-off, or that never competes again.
#[test]
fn holder_backs_off_after_giving_up_and_competes_again() {
    for abandons in [false, true] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut lease = Lease::new(MemberId::new("vm-1", Role::Controller), Incarnation(1));
        let candidacy = Candidacy {
            rank: Some(0),
            ..Candidacy::default()
        };
        let mut now = Millis(1_000);
        let mut version = 0;
        let mut stored = None;
        let mut execute_next_call = |lease: &mut Lease, now: Millis| {
            let Some(call) = lease.step(candidacy, now, &mut rng) else {
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
            execute_next_call(&mut lease, now);
            now = now + 150;
        }
        assert_eq!(lease.held(now), Some(Term(1)));

        if abandons {
            lease.abandon(now, 2_000);
            assert_eq!(lease.held(now), None);
        } else {
            lease.step_down(now, 2_000);
            execute_next_call(&mut lease, now);
            assert_eq!(lease.held(now), None);
        }
        for _ in 0..10 {
            now = now + 150;
            execute_next_call(&mut lease, now);
            assert_eq!(
                lease.held(now),
                None,
                "holds the lease during its back-off, abandons={abandons}"
            );
        }
        for _ in 0..200 {
            now = now + 150;
            execute_next_call(&mut lease, now);
        }

        assert!(lease.held(now).is_some(), "does not compete again, abandons={abandons}");
    }
}

/// Guards against a restarted process that waits for the next read of the lease although the first one has shown that an
/// earlier process of its VM held it.
#[test]
fn lease_of_a_holder_that_ended_is_taken_right_after_the_first_read() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let me = MemberId::new("vm-0", Role::Controller);
    let mut lease = Lease::new(me.clone(), Incarnation(2));
    let before = StoredLease {
        version: 7,
        operation: OperationId::new("before"),
        spec: LeaseSpec {
            holder: me,
            incarnation: Incarnation(1),
            term: Term(3),
            duration_ms: DURATION_MS,
            released: false,
        },
    };
    let candidacy = |holder_ended| Candidacy {
        rank: Some(0),
        holder_ended,
        ..Candidacy::default()
    };

    let first = lease.step(candidacy(false), Millis(1_000), &mut rng);
    lease.on_read(Some(before), Millis(1_010));
    let waits = lease.step(candidacy(false), Millis(1_020), &mut rng);
    let second = lease.step(candidacy(true), Millis(1_030), &mut rng);

    assert_eq!(first, Some(LeaseCall::Read));
    assert_eq!(
        waits, None,
        "a lease that is held is read again after the interval only"
    );
    assert!(matches!(second, Some(LeaseCall::Write { ref spec, .. }) if spec.term == Term(4)));
}

/// Guards against a holder that loses its lease because the store was restored from a copy without it.
#[test]
fn holder_goes_on_under_a_later_term_after_a_restore() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut lease = lease_of("vm0");
    acquire(&mut lease, Millis(0), &mut rng);

    lease.observe_era(1, Millis(4_000));
    let held = lease.held(Millis(4_000));
    let read = lease.step(first_candidate(), Millis(4_000), &mut rng);
    lease.on_read(None, Millis(4_010));
    let write = lease.step(first_candidate(), Millis(4_010), &mut rng).expect("a write");
    lease.on_write(&write, WriteOutcome::Done { version: 1 }, Millis(4_020));

    let reissued = Term((1 << 40) + 1);
    assert_eq!((held, read), (Some(Term(1)), Some(LeaseCall::Read)));
    assert!(matches!(write, LeaseCall::Write { expect: None, .. }));
    assert_eq!(
        lease.take_events(),
        [LeaseEvent::Acquired(Term(1)), LeaseEvent::Reissued(reissued)]
    );
    assert_eq!(lease.held(Millis(12_000)), Some(reissued));
}

/// Guards against a candidate that trusts what an older copy says of the holder: the copy may lack later ones.
#[test]
fn candidate_waits_for_holders_that_a_restored_store_has_lost() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut lease = lease_of("vm1");
    let candidacy = Candidacy {
        holder_ended: true,
        ..first_candidate()
    };
    let copy = StoredLease {
        version: 7,
        operation: OperationId::new("vm0-1"),
        spec: LeaseSpec {
            holder: MemberId::new("vm0", Role::Controller),
            incarnation: Incarnation(1),
            term: Term(4),
            duration_ms: DURATION_MS,
            released: true,
        },
    };

    lease.observe_era(2, Millis(1_000));
    lease.step(candidacy, Millis(1_000), &mut rng);
    lease.on_read(Some(copy.clone()), Millis(1_000));
    let early = lease.step(candidacy, Millis(1_000 + DURATION_MS - 1), &mut rng);
    lease.on_read(Some(copy), Millis(1_000 + DURATION_MS - 1));
    let later = lease.step(candidacy, Millis(1_000 + DURATION_MS), &mut rng);

    assert_eq!(early, Some(LeaseCall::Read));
    let Some(LeaseCall::Write { spec, expect, .. }) = later else {
        panic!("expected a write: {later:?}");
    };
    assert_eq!((spec.term, expect), (Term((2 << 40) + 8), Some(7)));
}
