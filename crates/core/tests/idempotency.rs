//! Idempotency: at most one attempt runs, against a version that checks and then writes.

use guava_core::idempotency::{
    Claimant, Decision, RECORD_KEPT_MS, Record, RecordState, decide, is_expired, is_key, record_name,
};
use guava_core::ids::{Incarnation, MemberId, OrganisationName, Role};
use guava_core::jobs::{
    JOB_SHARDS, JobAction, LEASE_CANDIDATES, Runner, Stage, is_candidate, next_action, shard_lease, shard_of,
};
use guava_core::quota::RouterIncarnation;
use proptest::prelude::*;
use proptest::test_runner::Config;
use rstest::rstest;

const ATTEMPTS: usize = 6;

fn life(number: usize) -> RouterIncarnation {
    RouterIncarnation {
        member: MemberId::new(number.to_string(), Role::Router),
        incarnation: Incarnation(1),
    }
}

fn record(attempt: &str, state: RecordState<u32>) -> Record<u32> {
    Record {
        claimant: life(0),
        attempt: attempt.to_owned(),
        digest: "d".to_owned(),
        state,
        claimed_ms: 0,
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stand {
    Reading,
    Creating,
    Running,
    Left,
}

/// How a write to the platform ends.
#[derive(Debug, Clone, Copy)]
enum WriteEnd {
    Confirmed,
    AnswerLost,
    NotSent,
}

#[derive(Debug, Clone, Copy)]
enum Op {
    Step(usize, WriteEnd),
    FinishNotRun(usize, WriteEnd),
    FinishAnswered(usize, WriteEnd),
    Kill(usize),
    Prove(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let end = prop_oneof![
        Just(WriteEnd::Confirmed),
        Just(WriteEnd::AnswerLost),
        Just(WriteEnd::NotSent)
    ];
    let at = 0..ATTEMPTS;
    prop_oneof![
        8 => (at.clone(), end.clone()).prop_map(|(at, end)| Op::Step(at, end)),
        1 => (at.clone(), end.clone()).prop_map(|(at, end)| Op::FinishNotRun(at, end)),
        1 => (at.clone(), end).prop_map(|(at, end)| Op::FinishAnswered(at, end)),
        1 => at.clone().prop_map(Op::Kill),
        1 => at.prop_map(Op::Prove),
    ]
}

/// Attempts of different routers for one key. `conditional` is false for the naive version, which writes what it has
/// decided without a condition and takes a lost answer for a failure.
#[derive(Debug)]
struct Race {
    conditional: bool,
    stored: Option<Record<u32>>,
    stands: [Stand; ATTEMPTS],
    dead: [bool; ATTEMPTS],
    proved: [bool; ATTEMPTS],
    may_have_run: [bool; ATTEMPTS],
}

impl Race {
    fn new(conditional: bool) -> Self {
        Self {
            conditional,
            stored: None,
            stands: [Stand::Reading; ATTEMPTS],
            dead: [false; ATTEMPTS],
            proved: [false; ATTEMPTS],
            may_have_run: [false; ATTEMPTS],
        }
    }

    /// Attempts that run or may have run.
    fn runs(&self) -> usize {
        self.may_have_run.iter().filter(|it| **it).count()
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Step(at, end) if !self.dead[at] => self.step(at, end),
            Op::FinishNotRun(at, end) if self.may_finish(at) => self.finish(at, end, None),
            Op::FinishAnswered(at, end) if self.may_finish(at) => self.finish(at, end, Some(7)),
            Op::Kill(at) => self.dead[at] = true,
            Op::Prove(at) => self.proved[at] = self.dead[at],
            _ => {}
        }
    }

    fn may_finish(&self, at: usize) -> bool {
        !self.dead[at] && self.stands[at] == Stand::Running
    }

    fn step(&mut self, at: usize, end: WriteEnd) {
        let attempt = at.to_string();
        match self.stands[at] {
            Stand::Reading => {
                let claimant = self.stored.as_ref().map_or(Claimant::Alive, |it| {
                    let owner: usize = it.attempt.parse().unwrap();
                    if self.proved[owner] {
                        Claimant::Ended
                    } else {
                        Claimant::Alive
                    }
                });
                match decide(self.stored.as_ref(), "d", &attempt, claimant) {
                    Decision::Create => self.stands[at] = Stand::Creating,
                    Decision::Run => self.run(at),
                    Decision::Wait => {}
                    _ => self.stands[at] = Stand::Left,
                }
            }
            Stand::Creating => {
                let created = !matches!(end, WriteEnd::NotSent) && (self.stored.is_none() || !self.conditional);
                if created {
                    self.stored = Some(record(&attempt, RecordState::Claimed));
                }
                self.stands[at] = Stand::Reading;
                if created && matches!(end, WriteEnd::Confirmed) {
                    self.run(at);
                }
            }
            Stand::Running | Stand::Left => {}
        }
    }

    fn run(&mut self, at: usize) {
        self.stands[at] = Stand::Running;
        self.may_have_run[at] = true;
    }

    fn finish(&mut self, at: usize, end: WriteEnd, answer: Option<u32>) {
        let own = self.stored.as_ref().is_some_and(|it| it.attempt == at.to_string());
        let landed = own && !matches!(end, WriteEnd::NotSent);
        match answer {
            None => {
                // Nothing ran, whether or not the record could be removed yet.
                self.may_have_run[at] = false;
                self.stored = self.stored.take().filter(|_| !landed);
            }
            Some(answer) if landed => self.stored = Some(record(&at.to_string(), RecordState::Answered(answer))),
            Some(_) => {}
        }
        self.stands[at] = Stand::Left;
    }
}

proptest! {
    #![proptest_config(Config { cases: 2_000, failure_persistence: None, ..Config::default() })]

    /// Guards against two attempts for one key that both may have run.
    #[test]
    fn at_most_one_attempt_runs(ops in prop::collection::vec(op(), 1..120)) {
        let mut race = Race::new(true);
        for op in ops {
            race.apply(op);
            prop_assert!(race.runs() <= 1, "{:?}", race);
        }
    }
}

/// Guards against histories too weak to show the fault of a version that checks and then writes.
#[test]
fn check_then_write_runs_twice() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let mut breaches = 0;
    for _ in 0..500 {
        use proptest::strategy::ValueTree;
        let ops = prop::collection::vec(op(), 1..120)
            .new_tree(&mut runner)
            .unwrap()
            .current();
        let mut race = Race::new(false);
        let mut most = 0;
        for op in ops {
            race.apply(op);
            most = most.max(race.runs());
        }
        breaches += usize::from(most > 1);
    }
    println!("check then write: {breaches} of 500 histories run twice (deterministic seed)");
    assert!(breaches > 0);
}

/// Guards against a wrong answer to a claim.
#[rstest]
#[case(None, "d", Claimant::Alive, Decision::Create)]
#[case(Some(RecordState::Claimed), "d", Claimant::Alive, Decision::Wait)]
#[case(Some(RecordState::Claimed), "d", Claimant::Ended, Decision::Unknown)]
#[case(Some(RecordState::Unknown), "d", Claimant::Alive, Decision::Unknown)]
#[case(Some(RecordState::Answered(1)), "d", Claimant::Ended, Decision::Replay)]
#[case(Some(RecordState::Answered(1)), "e", Claimant::Ended, Decision::Conflict)]
fn claim_decisions(
    #[case] state: Option<RecordState<u32>>,
    #[case] digest: &str,
    #[case] claimant: Claimant,
    #[case] expected: Decision,
) {
    let stored = state.map(|it| record("other", it));

    assert_eq!(decide(stored.as_ref(), digest, "mine", claimant), expected);
}

/// Guards against a record that disappears while its request runs.
#[test]
fn running_claims_do_not_expire() {
    let late = RECORD_KEPT_MS + 1;

    assert!(!is_expired(&record("a", RecordState::Claimed), late, Claimant::Alive));
    assert!(is_expired(&record("a", RecordState::Claimed), late, Claimant::Ended));
    assert!(is_expired(
        &record("a", RecordState::Answered(1)),
        late,
        Claimant::Alive
    ));
    assert!(!is_expired(
        &record("a", RecordState::Answered(1)),
        late - 1,
        Claimant::Alive
    ));
}

/// Guards against callers' keys in the platform and against records that two organisations share.
#[test]
fn record_name_hides_the_key() {
    let (a, b) = (OrganisationName::new("a"), OrganisationName::new("b"));
    let name = record_name(b"secret", &a, "order-17");

    assert!(!name.contains("order-17"));
    assert_ne!(name, record_name(b"secret", &b, "order-17"));
    assert_ne!(name, record_name(b"other", &a, "order-17"));
    assert!(is_key("order 17") && !is_key("") && !is_key("ö") && !is_key(&"x".repeat(256)));
}

/// Guards against a non-idempotent job that runs again, and against an idempotent one that never does.
#[rstest]
#[case(true, Runner::Ended, JobAction::Start)]
#[case(false, Runner::Ended, JobAction::EndUnknown)]
#[case(true, Runner::Alive, JobAction::Wait)]
#[case(false, Runner::Alive, JobAction::Wait)]
#[case(false, Runner::NeverStarted, JobAction::Start)]
fn job_recovery(#[case] idempotent: bool, #[case] runner: Runner, #[case] expected: JobAction) {
    let stage: Stage<u32> = Stage::Running {
        runner: life(0),
        attempt: "a".to_owned(),
    };

    assert_eq!(next_action(&stage, idempotent, runner), expected);
    assert_eq!(
        next_action(&Stage::<u32>::Accepted, idempotent, runner),
        JobAction::Start
    );
    assert_eq!(next_action(&Stage::Done(1), idempotent, runner), JobAction::Nothing);
}

/// Guards against shards without a candidate and against all routers competing for each.
#[test]
fn shards_have_few_candidates() {
    let live: Vec<_> = (0..40).map(|it| life(it).member).collect();

    for shard in 0..JOB_SHARDS {
        let candidates = live
            .iter()
            .filter(|it| is_candidate(&shard_lease(shard), it, &live))
            .count();
        assert_eq!(candidates, LEASE_CANDIDATES);
    }
    assert!(shard_of(&"job-1".into()) < JOB_SHARDS);
}
