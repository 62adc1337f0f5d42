//! Simulation of several routers with faults of network, platform and processes, and naive limiters for comparison.

use std::collections::{BTreeMap, BTreeSet};

use guava_core::ids::{Incarnation, MemberId, OrganisationName, RequestId, Role, Term};
use guava_core::quota::{
    Admission, Handover, INHERITED_MS, Ledger, Limits, MAX_HOLDER_ROUNDS, RESERVE_TIMEOUT_MS, RouterIncarnation,
    SHARES, ShareMap, TAKE_TIMEOUT_MS, TakeAnswer, TakeRequest, UNITS_PER_TOKEN,
};
use guava_core::units::Millis;
use proptest::prelude::*;
use proptest::strategy::Union;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const ROUTERS: usize = 5;
const TICK_MS: u64 = 20;

/// Set of fault kinds that a history may contain, as bit flags.
pub type Faults = u16;
pub const LOSS: Faults = 1;
pub const REPETITION: Faults = 2;
pub const REORDERING: Faults = 4;
pub const PAUSE: Faults = 8;
pub const RESTART: Faults = 16;
pub const TAKE_OVER: Faults = 32;
pub const HAND_OVER: Faults = 64;
pub const RATE_CHANGE: Faults = 128;
pub const OUTAGE: Faults = 256;
pub const ALL: Faults = 511;

#[derive(Debug, Clone, Copy)]
pub enum Step {
    Arrive(usize, u64),
    SmallArrivals(usize, u64, u64),
    Settle(usize, u64),
    Wait(u64),
    Pause(usize, u64),
    Kill(usize),
    Restart(usize),
    ProveEnded,
    HandOver(usize, usize),
    Limits(u64, u64),
    Outage(u64),
    /// Each running router claims the shares that it should take over.
    Write,
}

pub fn steps(faults: Faults) -> impl Strategy<Value = Vec<Step>> {
    let router = || 0..ROUTERS;
    let arrive = (router(), 1..400u64).prop_map(|(index, tokens)| Step::Arrive(index, tokens));
    let large = (router(), 300..1_000u64).prop_map(|(index, tokens)| Step::Arrive(index, tokens));
    let small =
        (router(), 5..40u64, 1..8u64).prop_map(|(index, count, tokens)| Step::SmallArrivals(index, count, tokens));
    let settle = (any::<usize>(), 0..=130u64).prop_map(|(choice, percent)| Step::Settle(choice, percent));
    let pause = (router(), 50..6_000u64).prop_map(|(index, ms)| Step::Pause(index, ms));
    let hand_over = (router(), router()).prop_map(|(index, to)| Step::HandOver(index, to));
    let limits = (1..3_000u64, 1_000..3_000u64).prop_map(|(rate, burst)| Step::Limits(rate, burst));
    let choices = [
        (ALL, 30, arrive.boxed()),
        (ALL, 4, large.boxed()),
        (ALL, 3, small.boxed()),
        (ALL, 15, settle.boxed()),
        (ALL, 20, (1..300u64).prop_map(Step::Wait).boxed()),
        (ALL, 2, (300..5_000u64).prop_map(Step::Wait).boxed()),
        (PAUSE, 4, pause.boxed()),
        (RESTART | TAKE_OVER, 2, router().prop_map(Step::Kill).boxed()),
        (RESTART, 3, router().prop_map(Step::Restart).boxed()),
        (TAKE_OVER, 3, Just(Step::ProveEnded).boxed()),
        (RESTART | TAKE_OVER, 6, Just(Step::Write).boxed()),
        (HAND_OVER, 4, hand_over.boxed()),
        (RATE_CHANGE, 1, limits.boxed()),
        (OUTAGE, 2, (100..8_000u64).prop_map(Step::Outage).boxed()),
    ];
    let possible = choices
        .into_iter()
        .filter(|(fault, ..)| *fault == ALL || fault & faults > 0);
    let step = Union::new_weighted(possible.map(|(_, weight, step)| (weight, step)).collect());
    prop::collection::vec(step, 50..400)
}

/// Measures the largest excess of admissions over `burst + rate * t` in any interval, in units.
#[derive(Debug, Clone)]
struct LimitChecker {
    limits: Limits,
    /// Units admitted and not yet gained back by the rate; more than the burst is an excess.
    debt: i128,
    now: u64,
    max_excess: i128,
}

impl LimitChecker {
    fn new(limits: Limits, now: u64) -> Self {
        let (debt, max_excess) = (0, 0);
        Self {
            limits,
            debt,
            now,
            max_excess,
        }
    }

    fn add(&mut self, now: u64, units: i128) {
        self.advance(now);
        self.debt = (self.debt + units).max(0);
        self.max_excess = self.max_excess.max(self.debt - self.burst());
    }

    fn advance(&mut self, now: u64) {
        let gained = i128::from(self.limits.rate) * SHARES as i128 * i128::from(now - self.now);
        self.debt = (self.debt - gained).max(0);
        self.now = now;
    }

    fn burst(&self) -> i128 {
        units(self.limits.burst)
    }

    fn allow_either(&mut self, now: u64, limits: Limits) {
        self.advance(now);
        self.limits.rate = self.limits.rate.max(limits.rate);
        self.limits.burst = self.limits.burst.max(limits.burst);
    }

    fn would_admit(&mut self, now: u64, tokens: u64) -> bool {
        self.advance(now);
        self.debt + units(tokens) <= self.burst()
    }

    fn overshoot(&self) -> u64 {
        (self.max_excess as u64).div_ceil(UNITS_PER_TOKEN)
    }
}

fn units(tokens: u64) -> i128 {
    i128::from(tokens * UNITS_PER_TOKEN)
}

/// Counts of requests, and the largest excess over the limit in any interval, in tokens.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    pub arrived: u64,
    pub admitted: u64,
    pub refused: u64,
    pub wrongly_refused: u64,
    pub overshoot: u64,
}

impl Figures {
    pub fn add(&mut self, other: &Self) {
        self.arrived += other.arrived;
        self.admitted += other.admitted;
        self.refused += other.refused;
        self.wrongly_refused += other.wrongly_refused;
        self.overshoot = self.overshoot.max(other.overshoot);
    }

    fn refuse(&mut self, wrongly: bool) {
        self.refused += 1;
        self.wrongly_refused += u64::from(wrongly);
    }
}

#[derive(Debug, Clone)]
enum Payload {
    Take(RouterIncarnation, TakeRequest),
    Answer(RouterIncarnation, TakeAnswer),
    Map(u64, ShareMap),
    State(usize, Term, Handover),
    Limits(Limits),
}

#[derive(Debug)]
struct Router {
    process: RouterIncarnation,
    alive: bool,
    paused_until: u64,
    clock_offset: u64,
    ledger: Ledger,
    map_version: u64,
    holders: Vec<RouterIncarnation>,
    /// Waiting requests with their tokens and deadlines.
    waiting: Vec<(RequestId, u64, u64)>,
    round: usize,
    ranked_holders: Vec<RouterIncarnation>,
    /// Unanswered calls by holder, with the units requested and the time of sending.
    pending_calls: BTreeMap<RouterIncarnation, (u64, u64)>,
    frozen: bool,
    retry_at: u64,
}

/// Progress of the latest change of limits.
#[derive(Debug)]
enum LimitChange {
    Complete,
    Pending,
    InForceSince(u64),
}

/// Routers, network and platform, in simulated time.
#[derive(Debug)]
pub struct Model {
    now: u64,
    faults: Faults,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    /// Killed processes that are proved to have ended.
    ended: BTreeSet<RouterIncarnation>,
    killed: BTreeSet<RouterIncarnation>,
    map: ShareMap,
    map_version: u64,
    outage_until: u64,
    in_flight: Vec<(u64, RouterIncarnation, Payload)>,
    limits: Limits,
    limit_change: LimitChange,
    checker: LimitChecker,
    requests: u64,
    unsettled: Vec<(usize, RequestId, u64)>,
    pub figures: Figures,
}

fn organisation() -> OrganisationName {
    OrganisationName::new("mill")
}

impl Model {
    pub fn new(seed: u64, faults: Faults, limits: Limits) -> Self {
        let process = |it| RouterIncarnation {
            member: MemberId::new(format!("vm-{it}"), Role::Router),
            incarnation: Incarnation(1),
        };
        let processes: Vec<_> = (0..ROUTERS).map(process).collect();
        let map = ShareMap::new(&organisation(), &processes).unwrap();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut router = |process| Router::new(process, limits, rng.random_range(0..1_000_000));
        let routers = processes.into_iter().map(&mut router).collect();
        let mut model = Self {
            now: 0,
            faults,
            rng,
            routers,
            ended: BTreeSet::new(),
            killed: BTreeSet::new(),
            map,
            map_version: 1,
            outage_until: 0,
            in_flight: Vec::new(),
            limits,
            limit_change: LimitChange::Complete,
            checker: LimitChecker::new(limits, 0),
            requests: 0,
            unsettled: Vec::new(),
            figures: Figures::default(),
        };
        let map = model.map.clone();
        (0..ROUTERS).for_each(|index| model.apply_map(index, 1, &map));
        model
    }

    pub fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.step(*step);
            self.complete_limit_change();
            let consistent = self.routers.iter().all(|it| it.ledger.is_consistent());
            assert!(consistent, "a share exceeds its bound at {}", self.now);
        }
        self.advance(RESERVE_TIMEOUT_MS + 1);
        self.figures.overshoot = self.checker.overshoot();
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(index, tokens) => self.arrive(index, tokens),
            Step::SmallArrivals(index, count, tokens) => self.arrive_small(index, count, tokens),
            Step::Settle(choice, percent) => self.settle(choice, percent),
            Step::Wait(ms) => self.advance(ms),
            Step::Pause(index, ms) => self.routers[index].paused_until = self.now + ms,
            Step::Kill(index) => self.kill(index),
            Step::Restart(index) => self.restart(index),
            Step::ProveEnded => self.ended.extend(self.killed.iter().cloned()),
            Step::HandOver(index, to) => self.hand_over(index, to),
            Step::Limits(rate, burst) => self.change_limits(Limits { rate, burst }),
            Step::Outage(ms) => self.outage_until = self.now + ms,
            Step::Write => (0..ROUTERS).for_each(|index| self.claim(index)),
        }
    }

    fn fault_occurs(&mut self, fault: Faults) -> bool {
        self.faults & fault > 0 && self.rng.random_bool(0.2)
    }

    fn is_running(&self, index: usize) -> bool {
        self.routers[index].alive && self.routers[index].paused_until <= self.now
    }

    fn local_time(&self, index: usize) -> Millis {
        Millis(self.now + self.routers[index].clock_offset)
    }

    fn arrive(&mut self, index: usize, tokens: u64) {
        if !self.is_running(index) {
            return;
        }
        self.figures.arrived += 1;
        self.requests += 1;
        let request = RequestId::new(format!("r{}", self.requests));
        if !self.try_admit(index, &request, tokens) {
            let deadline = self.now + RESERVE_TIMEOUT_MS;
            self.routers[index].waiting.push((request, tokens, deadline));
            self.request_tokens(index);
        }
    }

    /// Arrivals that are small and frequent enough for a grant cache.
    fn arrive_small(&mut self, index: usize, count: u64, tokens: u64) {
        for _ in 0..count {
            self.arrive(index, tokens);
            self.advance(3);
        }
    }

    fn try_admit(&mut self, index: usize, request: &RequestId, tokens: u64) -> bool {
        let now = self.local_time(index);
        let admission = self.routers[index].ledger.admit(now, request, tokens);
        let granted = matches!(admission, Admission::Granted { .. });
        if granted {
            self.checker.add(self.now, units(tokens));
            self.figures.admitted += 1;
            self.unsettled.push((index, request.clone(), tokens));
        }
        granted
    }

    fn settle(&mut self, choice: usize, percent: u64) {
        let entry_index = choice % self.unsettled.len().max(1);
        let Some((index, request, tokens)) = self.unsettled.get(entry_index).cloned() else {
            return;
        };
        if !self.is_running(index) {
            return;
        }
        // A third of the settled requests stays in the list, so that settlements are repeated.
        if !choice.is_multiple_of(3) {
            self.unsettled.swap_remove(entry_index);
        }
        let now = self.local_time(index);
        let refunded = self.routers[index].ledger.settle(now, &request, tokens * percent / 100);
        self.checker.add(self.now, -i128::from(refunded));
    }

    fn request_tokens(&mut self, index: usize) {
        let now = self.local_time(index);
        let router = &mut self.routers[index];
        if !router.pending_calls.is_empty() || router.waiting.is_empty() || router.retry_at > self.now {
            return;
        }
        let needed: u64 = router.waiting.iter().map(|it| it.1 * UNITS_PER_TOKEN).sum();
        let missing = needed.saturating_sub(router.ledger.available(now));
        if router.round == 0 {
            router.ranked_holders = router.holders.clone();
            router.ranked_holders.retain(|it| *it != router.process);
            router.ledger.rank_holders(now, &mut router.ranked_holders);
        }
        while router.round < MAX_HOLDER_ROUNDS && router.pending_calls.is_empty() {
            let requests = router.ledger.plan_round(router.round, missing, &router.ranked_holders);
            let entries = requests.into_iter().map(|(holder, need)| (holder, (need, self.now)));
            router.pending_calls.extend(entries);
            router.round += 1;
        }
        if router.pending_calls.is_empty() {
            router.round = 0;
            router.retry_at = self.now + self.rng.random_range(5..40);
            router.ledger.return_all_grants(now);
            self.report(index);
        } else {
            self.send_takes(index);
        }
    }

    fn send_takes(&mut self, index: usize) {
        for (holder, (need, _)) in self.routers[index].pending_calls.clone() {
            self.send_take(index, &holder, need);
        }
    }

    fn send_take(&mut self, index: usize, holder: &RouterIncarnation, need: u64) {
        let now = self.local_time(index);
        let request = self.routers[index].ledger.next_take_request(now, holder, need);
        let from = self.routers[index].process.clone();
        self.send(holder, &Payload::Take(from, request));
    }

    fn report(&mut self, index: usize) {
        let now = self.local_time(index);
        for holder in self.routers[index].ledger.holders_to_contact(now) {
            self.send_take(index, &holder, 0);
        }
    }

    fn time_out_calls(&mut self, index: usize) {
        let (now, wall) = (self.local_time(index), self.now);
        let Router {
            pending_calls, ledger, ..
        } = &mut self.routers[index];
        let is_late = |since: u64| since + TAKE_TIMEOUT_MS < wall;
        let failed = pending_calls.iter().filter(|(_, (_, since))| is_late(*since));
        failed.for_each(|(holder, _)| ledger.record_failure(now, holder));
        pending_calls.retain(|_, (_, since)| !is_late(*since));
    }

    fn serve_waiting(&mut self, index: usize) {
        for (request, tokens, deadline) in std::mem::take(&mut self.routers[index].waiting) {
            if deadline <= self.now {
                let wrongly = self.checker.would_admit(self.now, tokens);
                self.figures.refuse(wrongly);
            } else if !self.try_admit(index, &request, tokens) {
                self.routers[index].waiting.push((request, tokens, deadline));
            }
        }
        let now = self.local_time(index);
        let router = &mut self.routers[index];
        if router.waiting.is_empty() {
            router.round = 0;
            router.pending_calls.clear();
            router.ledger.return_surplus_grants(now);
        }
    }

    fn send(&mut self, to: &RouterIncarnation, payload: &Payload) {
        if self.fault_occurs(LOSS) {
            return;
        }
        let copies = if self.fault_occurs(REPETITION) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = if self.fault_occurs(REORDERING) {
                self.rng.random_range(1..4_000)
            } else {
                1
            };
            self.in_flight.push((self.now + delay, to.clone(), payload.clone()));
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            self.deliver();
            if self.now.is_multiple_of(TICK_MS) {
                (0..ROUTERS).for_each(|index| self.tick(index));
            }
        }
    }

    fn deliver(&mut self) {
        if !self.in_flight.iter().any(|(due_at, ..)| *due_at <= self.now) {
            return;
        }
        for (due_at, to, payload) in std::mem::take(&mut self.in_flight) {
            match self.routers.iter().position(|it| it.process == to && it.alive) {
                Some(index) if due_at <= self.now && self.is_running(index) => self.receive(index, payload),
                Some(_) => self.in_flight.push((due_at, to, payload)),
                None => {}
            }
        }
    }

    fn receive(&mut self, index: usize, payload: Payload) {
        let now = self.local_time(index);
        let router = &mut self.routers[index];
        match payload {
            Payload::Take(from, request) => {
                let answer = router.ledger.serve_take(now, &from, &request);
                let refunded = router.ledger.drain_refunded();
                let process = router.process.clone();
                self.checker.add(self.now, -i128::from(refunded));
                self.send(&from, &Payload::Answer(process, answer));
            }
            Payload::Answer(holder, answer) => {
                router.ledger.apply_take_answer(now, &holder, &answer);
                router.pending_calls.remove(&holder);
                self.serve_waiting(index);
                self.request_tokens(index);
            }
            Payload::Map(map_version, map) => self.apply_map(index, map_version, &map),
            Payload::State(share, term, state) => drop(router.ledger.accept_handover(now, share, term, state)),
            Payload::Limits(limits) => router.ledger.set_limits(now, limits),
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let now = self.local_time(index);
        self.serve_waiting(index);
        self.routers[index].ledger.write_off(now, |it| self.ended.contains(it));
        self.time_out_calls(index);
        self.send_takes(index);
        self.request_tokens(index);
        self.report(index);
        // Models anti-entropy: the router obtains maps and limits that the network lost.
        if self.rng.random_bool(0.2) {
            let map = self.map.clone();
            self.apply_map(index, self.map_version, &map);
            self.routers[index].ledger.set_limits(now, self.limits);
        }
    }

    fn apply_map(&mut self, index: usize, map_version: u64, map: &ShareMap) {
        let now = self.local_time(index);
        let router = &mut self.routers[index];
        if map_version <= router.map_version {
            return;
        }
        router.map_version = map_version;
        router.frozen = false;
        for (share, holding) in map.shares.iter().enumerate() {
            if holding.holder == router.process {
                router.ledger.start_share(now, share, holding.term);
            } else {
                router.ledger.drop_share(share, holding.term);
            }
        }
        router.holders = map.holders();
        router.ledger.forget_earlier_holders(map);
        router.pending_calls.retain(|it, _| router.holders.contains(it));
    }

    fn kill(&mut self, index: usize) {
        if self.routers[index].alive {
            self.routers[index].alive = false;
            self.killed.insert(self.routers[index].process.clone());
            self.unsettled.retain(|(it, ..)| *it != index);
        }
    }

    fn restart(&mut self, index: usize) {
        self.kill(index);
        let mut process = self.routers[index].process.clone();
        self.ended.insert(process.clone());
        process.incarnation.0 += 1;
        let clock_offset = self.rng.random_range(0..1_000_000);
        self.routers[index] = Router::new(process, self.limits, clock_offset);
        self.claim(index);
    }

    fn claim(&mut self, index: usize) {
        if !self.is_running(index) || self.now < self.outage_until {
            return;
        }
        let alive = self.routers.iter().filter(|it| it.alive);
        let live: Vec<_> = alive.map(|it| it.process.member.clone()).collect();
        let me = self.routers[index].process.clone();
        let ended = |it: &RouterIncarnation| self.ended.contains(it);
        for share in self.map.claims(&organisation(), &me, &live, ended) {
            self.map = self.map.moved(share, &me);
            self.map_version += 1;
        }
        self.publish_map(index);
    }

    fn hand_over(&mut self, index: usize, to: usize) {
        if !self.is_running(index) || !self.is_running(to) || index == to || self.routers[index].frozen {
            return;
        }
        let (now, target) = (self.local_time(index), self.routers[to].process.clone());
        let router = &mut self.routers[index];
        let held = (0..SHARES).find(|it| self.map.shares[*it].holder == router.process);
        let state = held.and_then(|it| router.ledger.freeze_share(now, it));
        let (Some(share), Some(state)) = (held, state) else {
            return;
        };
        if self.now < self.outage_until {
            return router.ledger.resume_share(share);
        }
        self.map = self.map.moved(share, &target);
        self.map_version += 1;
        if self.fault_occurs(LOSS) {
            // The write took effect but its answer is lost, so the share stays frozen until the router reads the map.
            self.routers[index].frozen = true;
            return;
        }
        let term = self.map.shares[share].term;
        self.publish_map(index);
        self.send(&target, &Payload::State(share, term, state));
    }

    fn publish_map(&mut self, index: usize) {
        let map = self.map.clone();
        self.apply_map(index, self.map_version, &map);
        self.broadcast(&Payload::Map(self.map_version, map));
    }

    fn broadcast(&mut self, payload: &Payload) {
        let processes: Vec<_> = self.routers.iter().map(|it| it.process.clone()).collect();
        for process in &processes {
            self.send(process, payload);
        }
    }

    fn change_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.checker.allow_either(self.now, limits);
        self.limit_change = LimitChange::Pending;
        self.broadcast(&Payload::Limits(limits));
    }

    /// Starts to check by the new limits alone, once all routers apply them and earlier grants have expired.
    fn complete_limit_change(&mut self) {
        let mut alive = self.routers.iter().filter(|it| it.alive);
        let applied = alive.all(|it| it.ledger.limits() == self.limits);
        match self.limit_change {
            LimitChange::Pending if applied => self.limit_change = LimitChange::InForceSince(self.now),
            LimitChange::InForceSince(since) if self.now >= since + INHERITED_MS => {
                let max_excess = self.checker.max_excess;
                self.checker = LimitChecker {
                    max_excess,
                    ..LimitChecker::new(self.limits, self.now)
                };
                self.limit_change = LimitChange::Complete;
            }
            _ => {}
        }
    }
}

impl Router {
    fn new(process: RouterIncarnation, limits: Limits, clock_offset: u64) -> Self {
        Self {
            process,
            alive: true,
            paused_until: 0,
            clock_offset,
            ledger: Ledger::new(limits),
            map_version: 0,
            holders: Vec::new(),
            waiting: Vec::new(),
            round: 0,
            ranked_holders: Vec::new(),
            pending_calls: BTreeMap::new(),
            frozen: false,
            retry_at: 0,
        }
    }
}

/// Naive limiters that run the same history.
#[derive(Debug, Clone, Copy)]
pub enum Naive {
    /// Each VM enforces the full rate and burst.
    WholeEach,
    /// Router 0 counts for all routers and starts with a full bucket after a restart.
    CounterReset,
    /// Each VM enforces an equal part of the rate and burst.
    PartEach,
}

pub fn run_naive(kind: Naive, steps: &[Step], limits: Limits) -> Figures {
    let divisor = if matches!(kind, Naive::PartEach) {
        ROUTERS as u64
    } else {
        1
    };
    let (rate, burst) = (limits.rate / divisor, limits.burst / divisor);
    let full = |now| LimitChecker::new(Limits { rate, burst }, now);
    let mut buckets: Vec<_> = (0..ROUTERS).map(|_| full(0)).collect();
    let mut checker = LimitChecker::new(limits, 0);
    let mut figures = Figures::default();
    let mut now = 0;
    for step in steps {
        let (router, count, tokens) = match *step {
            Step::Arrive(router, tokens) => (router, 1, tokens),
            Step::SmallArrivals(router, count, tokens) => (router, count, tokens),
            Step::Wait(ms) => {
                now += ms;
                continue;
            }
            Step::Restart(router) => {
                buckets[router] = full(now);
                continue;
            }
            _ => continue,
        };
        let bucket = if matches!(kind, Naive::CounterReset) { 0 } else { router };
        for _ in 0..count {
            figures.arrived += 1;
            if buckets[bucket].would_admit(now, tokens) {
                buckets[bucket].add(now, units(tokens));
                checker.add(now, units(tokens));
                figures.admitted += 1;
            } else {
                figures.refuse(checker.would_admit(now, tokens));
            }
            now += if count > 1 { 3 } else { 0 };
        }
    }
    figures.overshoot = checker.overshoot();
    figures
}
