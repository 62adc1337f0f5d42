//! Queue of the requests that wait for one model.
//!
//! Each organisation has its own bounded sub-queue, so a burst of one organisation cannot displace the requests of
//! another. Between organisations, start-time fair queuing measured in tokens decides; within an organisation, priority
//! and then deadline. Start tags belong to organisations rather than requests, because a later request of higher
//! priority may become an organisation's next.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quick_error::quick_error;

use crate::ids::{OrganisationName, RequestId};
use crate::units::Millis;

/// Scale of virtual time, so that division by a weight keeps its fractional part.
const TAG_SCALE: u128 = 1 << 20;
/// Weight of a new measurement in the moving average of service times.
const SERVICE_TIME_GAIN: f64 = 0.1;

quick_error! {
    /// Reason why a request was not queued.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum QueueError {
        /// The organisation already has `limit` requests waiting.
        Full(limit: u32) {
            display("the organisation already has {limit} requests waiting")
        }
        /// A request with this id is already waiting.
        Duplicate {
            display("a request with this id is already waiting")
        }
    }
}

derive_value! {
    /// A waiting request.
    pub struct Waiting {
        /// Identifier of the request, unique within the queue.
        pub request: RequestId,
        /// Organisation whose sub-queue holds the request.
        pub organisation: OrganisationName,
        /// Weight of the organisation in fair queuing. The latest pushed value applies to the whole sub-queue.
        pub weight: u32,
        /// Tokens that the request reserves; its cost in fair queuing.
        pub tokens: u64,
        /// Priority within the organisation; larger values are served first.
        pub priority: u8,
        /// Time by which the request must be sent to a replica.
        pub deadline: Millis,
        /// Time at which the request was queued.
        pub since: Millis,
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    inverse_priority: u8,
    deadline: Millis,
    arrival: u64,
}

#[derive(Debug, Default)]
struct SubQueue {
    start_tag: u128,
    tokens: u64,
    weight: u32,
    waiting: BTreeMap<Rank, Waiting>,
}

/// Fair queue of the requests that wait for one model.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: u128,
    arrivals: u64,
    organisations: BTreeMap<OrganisationName, SubQueue>,
    ranks: HashMap<RequestId, (OrganisationName, Rank)>,
    deadlines: BTreeSet<(Millis, RequestId)>,
}

impl FairQueue {
    /// Adds a request unless its organisation already has `limit` waiting.
    ///
    /// # Errors
    ///
    /// Fails when the sub-queue is full or a request with the same id is already waiting.
    pub fn push(&mut self, item: Waiting, limit: u32) -> Result<(), QueueError> {
        if self.ranks.contains_key(&item.request) {
            return Err(QueueError::Duplicate);
        }
        if self.waiting_of(&item.organisation) >= limit as usize {
            return Err(QueueError::Full(limit));
        }
        self.arrivals += 1;
        let rank = Rank {
            inverse_priority: u8::MAX - item.priority,
            deadline: item.deadline,
            arrival: self.arrivals,
        };
        let queue = self.organisations.entry(item.organisation.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.start_tag = queue.start_tag.max(self.virtual_time);
        }
        queue.weight = item.weight.max(1);
        queue.tokens += item.tokens;
        self.ranks
            .insert(item.request.clone(), (item.organisation.clone(), rank.clone()));
        self.deadlines.insert((item.deadline, item.request.clone()));
        queue.waiting.insert(rank, item);
        Ok(())
    }

    /// Removes and returns the next request.
    ///
    /// Does not check deadlines; call [`FairQueue::expire`] first.
    pub fn pop(&mut self) -> Option<Waiting> {
        let backlogged = self.organisations.iter().filter(|(_, it)| !it.waiting.is_empty());
        let name = backlogged.min_by_key(|(_, it)| it.start_tag)?.0.clone();
        let queue = self.organisations.get_mut(&name)?;
        let (_, item) = queue.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        queue.start_tag += u128::from(item.tokens.max(1)) * TAG_SCALE / u128::from(queue.weight);
        queue.tokens -= item.tokens;
        self.remove_from_indexes(&item);
        self.remove_idle_organisations();
        Some(item)
    }

    /// Removes a request and returns it, or `None` when it is not waiting.
    pub fn cancel(&mut self, request: &RequestId) -> Option<Waiting> {
        let (name, rank) = self.ranks.get(request)?.clone();
        let queue = self.organisations.get_mut(&name)?;
        let item = queue.waiting.remove(&rank)?;
        queue.tokens -= item.tokens;
        self.remove_from_indexes(&item);
        self.remove_idle_organisations();
        Some(item)
    }

    /// Removes and returns the requests whose deadline is at or before `now`, earliest first.
    pub fn expire(&mut self, now: Millis) -> Vec<Waiting> {
        let mut expired = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first() {
            if *deadline > now {
                break;
            }
            let request = request.clone();
            expired.extend(self.cancel(&request));
        }
        expired
    }

    /// Number of waiting requests of all organisations.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Number of waiting requests of an organisation.
    pub fn waiting_of(&self, organisation: &OrganisationName) -> usize {
        self.organisations.get(organisation).map_or(0, |it| it.waiting.len())
    }

    /// Organisations with waiting requests: name, number of requests and sum of their tokens.
    pub fn by_organisation(&self) -> impl Iterator<Item = (&OrganisationName, usize, u64)> {
        let backlogged = self.organisations.iter().filter(|(_, it)| !it.waiting.is_empty());
        backlogged.map(|(name, it)| (name, it.waiting.len(), it.tokens))
    }

    /// Time at which the oldest waiting request was queued; `None` when the queue is empty.
    pub fn oldest(&self) -> Option<Millis> {
        let all = self.organisations.values().flat_map(|it| it.waiting.values());
        all.map(|it| it.since).min()
    }

    /// Tokens expected to be served before a new request of an organisation.
    ///
    /// While the organisation's own requests ahead are served, every other organisation is served in proportion to its
    /// weight, up to the tokens that it has waiting.
    pub fn tokens_ahead(&self, organisation: &OrganisationName, weight: u32, priority: u8) -> u64 {
        let weight = u64::from(weight.max(1));
        let is_ahead = |rank: &Rank| u8::MAX - rank.inverse_priority >= priority;
        let own: u64 = self.organisations.get(organisation).map_or(0, |it| {
            let ahead = it.waiting.iter().filter(|(rank, _)| is_ahead(rank));
            ahead.map(|(_, item)| item.tokens).sum()
        });
        let others = self.organisations.iter().filter(|(name, _)| *name != organisation);
        let others: u64 = others
            .map(|(_, it)| it.tokens.min(own.saturating_mul(u64::from(it.weight)) / weight))
            .sum();
        own.saturating_add(others)
    }

    fn remove_from_indexes(&mut self, item: &Waiting) {
        self.ranks.remove(&item.request);
        self.deadlines.remove(&(item.deadline, item.request.clone()));
    }

    /// Removes organisations without waiting requests. One whose start tag is ahead of virtual time is kept, because the
    /// tag accounts for the tokens that it was served.
    fn remove_idle_organisations(&mut self) {
        let now = self.virtual_time;
        if self.ranks.is_empty() {
            self.organisations.clear();
            self.virtual_time = 0;
        } else {
            self.organisations
                .retain(|_, it| !it.waiting.is_empty() || it.start_tag > now);
        }
    }
}

/// Moving average of the time that a replica's slot is busy per token.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    ms_per_token: Option<f64>,
}

impl ServiceTime {
    /// Adds the duration of a finished request, in milliseconds, to the average.
    pub fn observe(&mut self, tokens: u64, duration_ms: u64) {
        let sample = duration_ms as f64 / tokens.max(1) as f64;
        self.ms_per_token = Some(match self.ms_per_token {
            Some(average) => average + SERVICE_TIME_GAIN * (sample - average),
            None => sample,
        });
    }

    /// Expected wait in milliseconds behind `tokens_ahead` on `slots` slots, or `None` before the first measurement.
    pub fn wait_ms(self, tokens_ahead: u64, slots: u64) -> Option<u64> {
        let per_token = self.ms_per_token?;
        Some((tokens_ahead as f64 * per_token / slots.max(1) as f64) as u64)
    }
}

/// Estimates by which a request is refused early when it would miss its deadline.
#[derive(Debug, Clone, Copy)]
pub struct WaitEstimate {
    /// Time until a replica is ready, in milliseconds; absent when one is ready or the controller gave no estimate.
    pub ready_in_ms: Option<u64>,
    /// Expected wait in the queue, in milliseconds; absent before the first measurement.
    pub queue_ms: Option<u64>,
}

impl WaitEstimate {
    /// Whether a request would miss this deadline. Absent estimates count as zero.
    pub fn misses(self, now: Millis, deadline: Millis) -> bool {
        let wait = self.ready_in_ms.unwrap_or(0).saturating_add(self.queue_ms.unwrap_or(0));
        now + wait > deadline
    }
}
