//! Rates of organisations, retry budget, pacing of prompts and health of servers.

use guava_core::units::Millis;
use guava_fleet::budget::{BudgetLimits, RetryBudget};
use guava_fleet::choice::{self, Candidate};
use guava_fleet::health::Health;
use guava_fleet::pacing::Pacer;
use guava_fleet::quota::{Bucket, Buckets, LOCAL_PART, START_LEVEL};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const RATE: f64 = 10_000.0;
const BURST: f64 = 10_000.0;
const WINDOW_MS: u64 = 8_000;

/// Request for tokens at a VM.
#[derive(Debug, Clone)]
struct Ask {
    after_ms: u64,
    vm: usize,
    tokens: f64,
}

fn asks() -> impl Strategy<Value = Vec<Ask>> {
    let ask = (0_u64..60, 0_usize..6, 100_u64..4_000).prop_map(|(after_ms, vm, tokens)| Ask {
        after_ms,
        vm,
        tokens: tokens as f64,
    });
    prop::collection::vec(ask, 1..800)
}

/// Most tokens admitted within any window; `admitted` is in order of time.
fn most_in_window(admitted: &[(u64, f64)]) -> f64 {
    let sum_from = |start: u64| -> f64 {
        let inside = admitted
            .iter()
            .filter(|(at, _)| (start..start + WINDOW_MS).contains(at));
        inside.map(|(_, tokens)| tokens).sum()
    };
    admitted.iter().map(|(at, _)| sum_from(*at)).fold(0.0, f64::max)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an organisation that gets more than its rate and burst over all VMs, with local and central parts
    /// and reservations that are used later.
    #[test]
    fn all_vms_together_keep_to_the_rate(asks in asks()) {
        let vms = 6;
        let mut local: Vec<Buckets> = (0..vms).map(|_| Buckets::default()).collect();
        let mut central = Bucket::new(Millis(0), RATE * (1.0 - LOCAL_PART), BURST * (1.0 - LOCAL_PART), 1.0);
        let part = LOCAL_PART / f64::from(vms);
        let mut now = 0;
        let mut admitted = Vec::new();
        let mut largest = 0.0_f64;
        for ask in asks {
            now += ask.after_ms;
            let at = Millis(now);
            let bucket = local[ask.vm].bucket(at, "o", RATE * part, BURST * part, START_LEVEL);
            let wait = bucket.reserve(at, ask.tokens, 0).or_else(|_| central.reserve(at, ask.tokens, 200));
            if let Ok(wait) = wait {
                admitted.push((now + wait, ask.tokens));
                largest = largest.max(ask.tokens);
            }
        }
        admitted.sort_by_key(|(at, _)| *at);

        // A request that is larger than a bucket's burst leaves a debt there; each place has at most one such debt.
        let debts = largest * f64::from(vms + 1);
        let allowed = RATE * WINDOW_MS as f64 / 1_000.0 + BURST + debts;
        prop_assert!(most_in_window(&admitted) <= allowed);
    }

    /// Guards against a retry budget that is exceeded in some window.
    #[test]
    fn repeats_keep_to_the_budget(steps in prop::collection::vec((0_u64..200, any::<bool>()), 1..600)) {
        let limits = BudgetLimits { ratio: 0.2, slack: 12.0, window_ms: 10_000, vms: 1 };
        let mut budget = RetryBudget::default();
        let mut now = 0;
        let mut requests: Vec<u64> = Vec::new();
        let mut repeats: Vec<u64> = Vec::new();
        for (after, is_repeat) in steps {
            now += after;
            if is_repeat {
                if budget.try_repeat(Millis(now), limits) {
                    repeats.push(now);
                }
            } else {
                budget.note_request(Millis(now));
                requests.push(now);
            }
        }

        for end in &repeats {
            let start = end.saturating_sub(limits.window_ms);
            let within = |times: &[u64]| times.iter().filter(|it| (start..=*end).contains(*it)).count() as f64;
            prop_assert!(within(&repeats) <= limits.ratio * within(&requests) + limits.slack);
        }
    }
}

/// Guards against a reservation that lets tokens be used before they are there.
#[test]
fn a_reservation_waits_for_its_tokens() {
    let mut bucket = Bucket::new(Millis(0), 1_000.0, 1_000.0, 1.0);

    let first = bucket.reserve(Millis(0), 1_000.0, 0);
    let second = bucket.reserve(Millis(0), 500.0, 600);
    let third = bucket.reserve(Millis(0), 500.0, 600);

    assert_eq!((first, second, third), (Ok(0), Ok(500), Err(1_000)));
}

/// Guards against a lower limit that leaves the old level in force.
#[test]
fn a_lower_limit_cuts_the_level() {
    let mut buckets = Buckets::default();
    buckets.bucket(Millis(0), "o", 1_000.0, 1_000.0, 1.0);

    let wait = buckets
        .bucket(Millis(10), "o", 100.0, 100.0, 1.0)
        .wait_ms(Millis(10), 100.0);
    buckets
        .bucket(Millis(10), "o", 100.0, 100.0, 1.0)
        .reserve(Millis(10), 100.0, 0)
        .expect("the bucket is full");
    let after = buckets
        .bucket(Millis(10), "o", 100.0, 100.0, 1.0)
        .wait_ms(Millis(10), 100.0);

    assert_eq!((wait, after), (0, 1_000));
}

/// Guards against prompts that arrive together and stop all streams of an engine for longer than the route allows.
#[rstest]
#[case(250)]
#[case(300)]
fn prompts_leave_room_for_streams(#[case] gap_ms: u64) {
    let mut pacer = Pacer::default();
    let mut sent = Vec::new();

    for at in 0..400 {
        let now = at * 5;
        if let Ok(wait) = pacer.reserve(Millis(now), "i-1", 1_460, gap_ms, 100) {
            sent.push((now + wait, 1_460.0));
        }
    }

    let within = |start: u64| -> f64 {
        let inside = sent.iter().filter(|(at, _)| (start..start + gap_ms).contains(at));
        inside.map(|(_, tokens)| tokens).sum()
    };
    let most = sent.iter().map(|(at, _)| within(*at)).fold(0.0, f64::max);
    // An engine reads 22 tokens per millisecond; one prompt may be under way when the window begins.
    assert!(
        most <= gap_ms as f64 * 22.0 + 1_460.0,
        "{most} tokens within {gap_ms} ms"
    );
    assert!(sent.len() > 10, "only {} prompts in 2 s", sent.len());
}

/// Guards against a server that fails all its requests and is still preferred, and against one that is never used again.
#[test]
fn a_failing_server_is_avoided_for_a_time() {
    let mut health = Health::default();

    let first = health.note_failure(Millis(0), "i-1");
    let second = health.note_failure(Millis(10), "i-1");

    assert!(!first && second);
    assert!(health.is_avoided(Millis(20), "i-1"));
    assert!(!health.is_avoided(Millis(20_000), "i-1"));
    health.note_success(Millis(30), "i-1");
    assert!(!health.is_avoided(Millis(30), "i-1"));
}

/// Guards against an avoided server that is chosen while others are there, and against none when all are avoided.
#[test]
fn avoided_servers_come_last() {
    let candidate = |id, avoided| Candidate {
        id,
        same_zone: true,
        in_flight: if avoided { 0 } else { 60 },
        slots: 64,
        avoided,
        failing: 0.0,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);

    let mixed = choice::choose([candidate("bad", true), candidate("good", false)], None, &mut rng);
    let only = choice::choose([candidate("bad", true)], None, &mut rng);

    assert_eq!(mixed.map(|it| it.id), Some("good"));
    assert_eq!(only.map(|it| it.id), Some("bad"));
}
