//! Compares the fair queue with a naive implementation and with a FIFO queue.

use std::collections::BTreeMap;

use guava_core::ids::{OrganisationName, RequestId};
use guava_core::queue::{FairQueue, QueueError, ServiceTime, WaitEstimate, Waiting};
use guava_core::units::Millis;
use proptest::prelude::*;

const LIMIT: u32 = 6;
const SCALE: u128 = 1 << 20;

#[derive(Debug, Clone)]
enum Op {
    Push {
        organisation: u8,
        tokens: u64,
        priority: u8,
        deadline: u64,
    },
    Pop,
    Cancel(usize),
    Expire(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let push =
        (0u8..3, 1u64..2_000, 0u8..3, 0u64..200).prop_map(|(organisation, tokens, priority, deadline)| Op::Push {
            organisation,
            tokens,
            priority,
            deadline,
        });
    let op = prop_oneof![
        5 => push,
        3 => Just(Op::Pop),
        1 => (0usize..80).prop_map(Op::Cancel),
        1 => (0u64..200).prop_map(Op::Expire),
    ];
    prop::collection::vec(op, 0..80)
}

fn weight(organisation: u8) -> u32 {
    u32::from(organisation) + 1
}

fn waiting(id: usize, organisation: u8, tokens: u64, priority: u8, deadline: u64) -> Waiting {
    Waiting {
        request: RequestId::new(format!("q{id}")),
        organisation: OrganisationName::new(format!("o{organisation}")),
        weight: weight(organisation),
        tokens,
        priority,
        deadline: Millis(deadline),
        since: Millis(0),
    }
}

/// Naive implementation of the same rules: one list and linear searches.
#[derive(Default)]
struct NaiveQueue {
    items: Vec<Waiting>,
    starts: BTreeMap<String, u128>,
    virtual_time: u128,
}

impl NaiveQueue {
    fn backlogged(&self, name: &str) -> bool {
        self.items.iter().any(|it| it.organisation.as_str() == name)
    }

    fn push(&mut self, item: Waiting) -> bool {
        let name = item.organisation.to_string();
        let waiting = self
            .items
            .iter()
            .filter(|it| it.organisation == item.organisation)
            .count();
        if waiting >= LIMIT as usize {
            return false;
        }
        if waiting == 0 {
            let start = self.starts.get(&name).copied().unwrap_or(0);
            self.starts.insert(name, start.max(self.virtual_time));
        }
        self.items.push(item);
        true
    }

    fn pop(&mut self) -> Option<Waiting> {
        let backlogged = self.starts.iter().filter(|(name, _)| self.backlogged(name));
        let (name, start) = backlogged
            .min_by_key(|(_, start)| **start)
            .map(|(name, start)| (name.clone(), *start))?;
        let own = self
            .items
            .iter()
            .enumerate()
            .filter(|(_, it)| it.organisation.as_str() == name);
        let best = own.min_by_key(|(index, it)| (u8::MAX - it.priority, it.deadline, *index));
        let index = best.map(|(index, _)| index)?;
        let item = self.items.remove(index);
        self.virtual_time = self.virtual_time.max(start);
        self.starts
            .insert(name, start + u128::from(item.tokens) * SCALE / u128::from(item.weight));
        self.reset_when_idle();
        Some(item)
    }

    fn remove(&mut self, condition: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let (removed, kept) = std::mem::take(&mut self.items)
            .into_iter()
            .partition(|it| condition(it));
        self.items = kept;
        self.reset_when_idle();
        removed
    }

    fn reset_when_idle(&mut self) {
        if self.items.is_empty() {
            self.starts.clear();
            self.virtual_time = 0;
        }
    }
}

fn ids(items: &[Waiting]) -> Vec<String> {
    let mut ids: Vec<String> = items.iter().map(|it| it.request.to_string()).collect();
    ids.sort();
    ids
}

proptest! {
    /// Guards against inconsistent indexes of the queue: lost, duplicated or wrongly ordered requests.
    #[test]
    fn the_queue_agrees_with_its_naive_version(ops in ops()) {
        let mut queue = FairQueue::default();
        let mut naive = NaiveQueue::default();
        for (id, op) in ops.into_iter().enumerate() {
            match op {
                Op::Push { organisation, tokens, priority, deadline } => {
                    let item = waiting(id, organisation, tokens, priority, deadline);
                    let pushed = queue.push(item.clone(), LIMIT);
                    prop_assert_eq!(pushed.is_ok(), naive.push(item));
                }
                Op::Pop => {
                    prop_assert_eq!(queue.pop(), naive.pop());
                }
                Op::Cancel(target) => {
                    let request = RequestId::new(format!("q{target}"));
                    let removed = naive.remove(|it| it.request == request);
                    prop_assert_eq!(queue.cancel(&request), removed.into_iter().next());
                }
                Op::Expire(now) => {
                    let removed = naive.remove(|it| it.deadline <= Millis(now));
                    prop_assert_eq!(ids(&queue.expire(Millis(now))), ids(&removed));
                }
            }
            prop_assert_eq!(queue.len(), naive.items.len());
            let tokens: u64 = queue.by_organisation().map(|(_, _, tokens)| tokens).sum();
            prop_assert_eq!(tokens, naive.items.iter().map(|it| it.tokens).sum::<u64>());
        }
    }

    /// Guards against unnecessary reordering: with a single organisation the queue must be a FIFO.
    #[test]
    fn a_single_organisation_is_served_like_a_fifo(tokens in prop::collection::vec(1u64..2_000, 1..40)) {
        let mut queue = FairQueue::default();
        for (id, tokens) in tokens.iter().enumerate() {
            queue.push(waiting(id, 0, *tokens, 0, 100), u32::MAX).expect("there is room");
        }
        let served: Vec<String> = std::iter::from_fn(|| queue.pop()).map(|it| it.request.to_string()).collect();
        let fifo: Vec<String> = (0..tokens.len()).map(|id| format!("q{id}")).collect();
        prop_assert_eq!(served, fifo);
    }

    /// Guards against starvation: while both organisations have requests waiting, the tokens served to each, divided by
    /// its weight, differ by no more than one largest request of each. A FIFO exceeds this bound when one organisation
    /// queues a burst first.
    #[test]
    fn backlogged_organisations_get_their_shares(
        first in prop::collection::vec(1u64..1_000, 1..40),
        second in prop::collection::vec(1u64..1_000, 1..40),
    ) {
        let mut queue = FairQueue::default();
        let requests = first.iter().map(|it| (0u8, *it)).chain(second.iter().map(|it| (1u8, *it)));
        for (id, (organisation, tokens)) in requests.enumerate() {
            queue.push(waiting(id, organisation, tokens, 0, 100), u32::MAX).expect("there is room");
        }
        let mut served = [0.0_f64; 2];
        let bound = 1_000.0 / f64::from(weight(0)) + 1_000.0 / f64::from(weight(1)) + 1.0;
        loop {
            let backlogged = queue.by_organisation().count() == 2;
            if !backlogged {
                break;
            }
            let Some(item) = queue.pop() else { break };
            let index = usize::from(item.organisation.as_str() == "o1");
            served[index] += item.tokens as f64 / f64::from(item.weight);
            prop_assert!((served[0] - served[1]).abs() <= bound, "{served:?}");
        }
    }
}

/// Guards against a small request that waits until the whole burst of another organisation has been served.
#[test]
fn a_burst_does_not_starve_another_organisation() {
    let mut queue = FairQueue::default();
    let mut fifo = Vec::new();
    for id in 0..100 {
        queue
            .push(waiting(id, 0, 100, 9, 100), u32::MAX)
            .expect("there is room");
        fifo.push(id);
    }
    queue
        .push(waiting(100, 1, 100, 0, 100), u32::MAX)
        .expect("there is room");
    fifo.push(100);

    let served: Vec<String> = std::iter::from_fn(|| queue.pop())
        .map(|it| it.request.to_string())
        .collect();

    assert_eq!(fifo.iter().position(|id| *id == 100), Some(100));
    assert!(
        served.iter().position(|id| id == "q100").is_some_and(|at| at <= 1),
        "{served:?}"
    );
}

/// Guards against an organisation whose full sub-queue keeps another organisation from queuing.
#[test]
fn a_full_sub_queue_leaves_others_open() {
    let mut queue = FairQueue::default();
    for id in 0..2 {
        queue.push(waiting(id, 0, 1, 0, 100), 2).expect("there is room");
    }

    let full = queue.push(waiting(2, 0, 1, 0, 100), 2);
    let other = queue.push(waiting(3, 1, 1, 0, 100), 2);
    let twice = queue.push(waiting(3, 1, 1, 0, 100), 2);

    assert_eq!(full, Err(QueueError::Full(2)));
    assert_eq!(other, Ok(()));
    assert_eq!(twice, Err(QueueError::Duplicate));
}

/// Guards against early refusals before anything was measured, and against queuing requests that would miss their
/// deadline.
#[test]
fn a_request_is_refused_early_only_by_an_estimate() {
    let mut time = ServiceTime::default();
    let unknown = WaitEstimate {
        ready_in_ms: None,
        queue_ms: time.wait_ms(1_000_000, 1),
    };
    time.observe(100, 1_000);
    let known = WaitEstimate {
        ready_in_ms: None,
        queue_ms: time.wait_ms(1_000, 2),
    };

    assert!(!unknown.misses(Millis(0), Millis(1)));
    assert_eq!(known.queue_ms, Some(5_000));
    assert!(known.misses(Millis(0), Millis(4_999)));
    assert!(!known.misses(Millis(0), Millis(5_000)));
}

/// Guards against an estimate that adds the whole queue of a busy organisation to the wait of an idle one.
#[test]
fn a_quiet_organisation_expects_a_short_wait() {
    let mut queue = FairQueue::default();
    for id in 0..50 {
        queue
            .push(waiting(id, 0, 100, 0, 100), u32::MAX)
            .expect("there is room");
    }

    let idle = queue.tokens_ahead(&OrganisationName::new("o1"), 1, 0);
    let busy = queue.tokens_ahead(&OrganisationName::new("o0"), 1, 0);

    assert_eq!((idle, busy), (0, 5_000));
}
