//! Model of several routers over a faulty network, and the naive limiters that ours is compared with.

use std::collections::{BTreeMap, BTreeSet};

use guava_core::ids::{Incarnation, MemberId, OrganisationName, RequestId, Role, Term};
use guava_core::quota::{
    Admission, GATHER_MS, Handover, INHERITED_MS, Ledger, Limits, MAX_HOLDER_ROUNDS, RouterIncarnation, SHARES,
    ShareMap, TAKE_TIMEOUT_MS, TakeAnswer, TakeRequest, UNITS_PER_TOKEN,
};
use guava_core::units::Millis;
use proptest::prelude::*;
use proptest::strategy::Union;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const ROUTERS: usize = 5;
const REPEAT_MS: u64 = 20;

/// Faults that a history contains, as a set of bits.
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
    Write,
}

pub fn steps(faults: Faults) -> impl Strategy<Value = Vec<Step>> {
    let router = || 0..ROUTERS;
    let arrive = (router(), 1..400u64).prop_map(|(at, tokens)| Step::Arrive(at, tokens));
    let large = (router(), 300..1_000u64).prop_map(|(at, tokens)| Step::Arrive(at, tokens));
    let small = (router(), 5..40u64, 1..8u64).prop_map(|(at, count, tokens)| Step::SmallArrivals(at, count, tokens));
    let settle = (any::<usize>(), 0..=130u64).prop_map(|(pick, percent)| Step::Settle(pick, percent));
    let pause = (router(), 50..6_000u64).prop_map(|(at, ms)| Step::Pause(at, ms));
    let hand_over = (router(), router()).prop_map(|(at, to)| Step::HandOver(at, to));
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

/// Largest excess over `burst + rate * t` of any interval, in units.
#[derive(Debug, Clone)]
struct Checker {
    limits: Limits,
    debt: i128,
    at: u64,
    worst: i128,
}

impl Checker {
    fn new(limits: Limits, at: u64) -> Self {
        let (debt, worst) = (0, 0);
        Self {
            limits,
            debt,
            at,
            worst,
        }
    }

    fn add(&mut self, at: u64, units: i128) {
        self.advance(at);
        self.debt = (self.debt + units).max(0);
        self.worst = self.worst.max(self.debt - self.burst());
    }

    fn advance(&mut self, at: u64) {
        let gained = i128::from(self.limits.rate) * SHARES as i128 * i128::from(at - self.at);
        self.debt = (self.debt - gained).max(0);
        self.at = at;
    }

    fn burst(&self) -> i128 {
        units(self.limits.burst)
    }

    fn allow_also(&mut self, at: u64, limits: Limits) {
        self.advance(at);
        self.limits.rate = self.limits.rate.max(limits.rate);
        self.limits.burst = self.limits.burst.max(limits.burst);
    }

    fn would_admit(&mut self, at: u64, tokens: u64) -> bool {
        self.advance(at);
        self.debt + units(tokens) <= self.burst()
    }

    fn overshoot(&self) -> u64 {
        (self.worst as u64).div_ceil(UNITS_PER_TOKEN)
    }
}

fn units(tokens: u64) -> i128 {
    i128::from(tokens * UNITS_PER_TOKEN)
}

/// Counts of requests, and the largest overshoot in tokens.
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
    life: RouterIncarnation,
    alive: bool,
    paused_until: u64,
    offset: u64,
    ledger: Ledger,
    map_version: u64,
    holders: Vec<RouterIncarnation>,
    /// Request, tokens and deadline.
    waiting: Vec<(RequestId, u64, u64)>,
    round: usize,
    order: Vec<RouterIncarnation>,
    /// Need and time of the calls that are not answered.
    asked: BTreeMap<RouterIncarnation, (u64, u64)>,
    frozen: bool,
    retry_at: u64,
}

/// A change of limits.
#[derive(Debug)]
enum Spreading {
    No,
    Yes,
    InForceSince(u64),
}

/// Routers, network and platform.
#[derive(Debug)]
pub struct Model {
    now: u64,
    faults: Faults,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    ended: BTreeSet<RouterIncarnation>,
    killed: BTreeSet<RouterIncarnation>,
    map: ShareMap,
    version: u64,
    outage_until: u64,
    mail: Vec<(u64, RouterIncarnation, Payload)>,
    limits: Limits,
    spreading: Spreading,
    checker: Checker,
    requests: u64,
    open: Vec<(usize, RequestId, u64)>,
    pub figures: Figures,
}

fn organisation() -> OrganisationName {
    OrganisationName::new("mill")
}

impl Model {
    pub fn new(seed: u64, faults: Faults, limits: Limits) -> Self {
        let life = |it| RouterIncarnation {
            member: MemberId::new(format!("vm-{it}"), Role::Router),
            incarnation: Incarnation(1),
        };
        let lives: Vec<_> = (0..ROUTERS).map(life).collect();
        let map = ShareMap::new(&organisation(), &lives).unwrap();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut router = |life| Router::new(life, limits, rng.random_range(0..1_000_000));
        let routers = lives.into_iter().map(&mut router).collect();
        let mut model = Self {
            now: 0,
            faults,
            rng,
            routers,
            ended: BTreeSet::new(),
            killed: BTreeSet::new(),
            map,
            version: 1,
            outage_until: 0,
            mail: Vec::new(),
            limits,
            spreading: Spreading::No,
            checker: Checker::new(limits, 0),
            requests: 0,
            open: Vec::new(),
            figures: Figures::default(),
        };
        let map = model.map.clone();
        (0..ROUTERS).for_each(|at| model.learn_map(at, 1, &map));
        model
    }

    pub fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.step(*step);
            self.settle_limits();
            let consistent = self.routers.iter().all(|it| it.ledger.is_consistent());
            assert!(consistent, "a share exceeds its bound at {}", self.now);
        }
        self.advance(GATHER_MS + 1);
        self.figures.overshoot = self.checker.overshoot();
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(at, tokens) => self.arrive(at, tokens),
            Step::SmallArrivals(at, count, tokens) => self.arrive_small(at, count, tokens),
            Step::Settle(pick, percent) => self.settle(pick, percent),
            Step::Wait(ms) => self.advance(ms),
            Step::Pause(at, ms) => self.routers[at].paused_until = self.now + ms,
            Step::Kill(at) => self.kill(at),
            Step::Restart(at) => self.restart(at),
            Step::ProveEnded => self.ended.extend(self.killed.iter().cloned()),
            Step::HandOver(at, to) => self.hand_over(at, to),
            Step::Limits(rate, burst) => self.change_limits(Limits { rate, burst }),
            Step::Outage(ms) => self.outage_until = self.now + ms,
            Step::Write => (0..ROUTERS).for_each(|at| self.claim(at)),
        }
    }

    fn has(&mut self, fault: Faults) -> bool {
        self.faults & fault > 0 && self.rng.random_bool(0.2)
    }

    fn running(&self, at: usize) -> bool {
        self.routers[at].alive && self.routers[at].paused_until <= self.now
    }

    fn local(&self, at: usize) -> Millis {
        Millis(self.now + self.routers[at].offset)
    }

    fn arrive(&mut self, at: usize, tokens: u64) {
        if !self.running(at) {
            return;
        }
        self.figures.arrived += 1;
        self.requests += 1;
        let request = RequestId::new(format!("r{}", self.requests));
        if !self.try_admit(at, &request, tokens) {
            let deadline = self.now + GATHER_MS;
            self.routers[at].waiting.push((request, tokens, deadline));
            self.ask(at);
        }
    }

    /// Arrivals small and dense enough for a wallet.
    fn arrive_small(&mut self, at: usize, count: u64, tokens: u64) {
        for _ in 0..count {
            self.arrive(at, tokens);
            self.advance(3);
        }
    }

    fn try_admit(&mut self, at: usize, request: &RequestId, tokens: u64) -> bool {
        let now = self.local(at);
        let admission = self.routers[at].ledger.admit(now, request, tokens);
        let granted = matches!(admission, Admission::Granted { .. });
        if granted {
            self.checker.add(self.now, units(tokens));
            self.figures.admitted += 1;
            self.open.push((at, request.clone(), tokens));
        }
        granted
    }

    fn settle(&mut self, pick: usize, percent: u64) {
        let index = pick % self.open.len().max(1);
        let Some((at, request, tokens)) = self.open.get(index).cloned() else {
            return;
        };
        if !self.running(at) {
            return;
        }
        // Some settlements stay in the list and are repeated.
        if !pick.is_multiple_of(3) {
            self.open.swap_remove(index);
        }
        let now = self.local(at);
        let refunded = self.routers[at].ledger.settle(now, &request, tokens * percent / 100);
        self.checker.add(self.now, -i128::from(refunded));
    }

    fn ask(&mut self, at: usize) {
        let now = self.local(at);
        let router = &mut self.routers[at];
        if !router.asked.is_empty() || router.waiting.is_empty() || router.retry_at > self.now {
            return;
        }
        let wanted: u64 = router.waiting.iter().map(|it| it.1 * UNITS_PER_TOKEN).sum();
        let missing = wanted.saturating_sub(router.ledger.available(now));
        if router.round == 0 {
            router.order = router.holders.clone();
            router.order.retain(|it| *it != router.life);
            router.ledger.rank_holders(now, &mut router.order);
        }
        while router.round < MAX_HOLDER_ROUNDS && router.asked.is_empty() {
            let requests = router.ledger.plan_round(router.round, missing, &router.order);
            let entries = requests.into_iter().map(|(holder, need)| (holder, (need, self.now)));
            router.asked.extend(entries);
            router.round += 1;
        }
        if router.asked.is_empty() {
            router.round = 0;
            router.retry_at = self.now + self.rng.random_range(5..40);
            router.ledger.return_all_grants(now);
            self.report(at);
        } else {
            self.send_takes(at);
        }
    }

    fn send_takes(&mut self, at: usize) {
        for (holder, (need, _)) in self.routers[at].asked.clone() {
            self.send_take(at, &holder, need);
        }
    }

    fn send_take(&mut self, at: usize, holder: &RouterIncarnation, need: u64) {
        let now = self.local(at);
        let request = self.routers[at].ledger.next_take_request(now, holder, need);
        let from = self.routers[at].life.clone();
        self.send(holder, &Payload::Take(from, request));
    }

    fn report(&mut self, at: usize) {
        let now = self.local(at);
        for holder in self.routers[at].ledger.holders_to_contact(now) {
            self.send_take(at, &holder, 0);
        }
    }

    fn drop_unanswered(&mut self, at: usize) {
        let (now, wall) = (self.local(at), self.now);
        let Router { asked, ledger, .. } = &mut self.routers[at];
        let late = |since: u64| since + TAKE_TIMEOUT_MS < wall;
        let failed = asked.iter().filter(|(_, (_, since))| late(*since));
        failed.for_each(|(holder, _)| ledger.note_failure(now, holder));
        asked.retain(|_, (_, since)| !late(*since));
    }

    fn serve_waiting(&mut self, at: usize) {
        for (request, tokens, deadline) in std::mem::take(&mut self.routers[at].waiting) {
            if deadline <= self.now {
                let wrongly = self.checker.would_admit(self.now, tokens);
                self.figures.refuse(wrongly);
            } else if !self.try_admit(at, &request, tokens) {
                self.routers[at].waiting.push((request, tokens, deadline));
            }
        }
        let now = self.local(at);
        let router = &mut self.routers[at];
        if router.waiting.is_empty() {
            router.round = 0;
            router.asked.clear();
            router.ledger.return_surplus_grants(now);
        }
    }

    fn send(&mut self, to: &RouterIncarnation, payload: &Payload) {
        if self.has(LOSS) {
            return;
        }
        let copies = if self.has(REPETITION) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = if self.has(REORDERING) {
                self.rng.random_range(1..4_000)
            } else {
                1
            };
            self.mail.push((self.now + delay, to.clone(), payload.clone()));
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            self.deliver();
            if self.now.is_multiple_of(REPEAT_MS) {
                (0..ROUTERS).for_each(|at| self.tick(at));
            }
        }
    }

    fn deliver(&mut self) {
        if !self.mail.iter().any(|(when, ..)| *when <= self.now) {
            return;
        }
        for (when, to, payload) in std::mem::take(&mut self.mail) {
            match self.routers.iter().position(|it| it.life == to && it.alive) {
                Some(at) if when <= self.now && self.running(at) => self.receive(at, payload),
                Some(_) => self.mail.push((when, to, payload)),
                None => {}
            }
        }
    }

    fn receive(&mut self, at: usize, payload: Payload) {
        let now = self.local(at);
        let router = &mut self.routers[at];
        match payload {
            Payload::Take(from, request) => {
                let answer = router.ledger.serve_take(now, &from, &request);
                let refunded = router.ledger.drain_refunded();
                let life = router.life.clone();
                self.checker.add(self.now, -i128::from(refunded));
                self.send(&from, &Payload::Answer(life, answer));
            }
            Payload::Answer(holder, answer) => {
                router.ledger.apply_take_answer(now, &holder, &answer);
                router.asked.remove(&holder);
                self.serve_waiting(at);
                self.ask(at);
            }
            Payload::Map(version, map) => self.learn_map(at, version, &map),
            Payload::State(share, term, state) => drop(router.ledger.adopt_share(now, share, term, state)),
            Payload::Limits(limits) => router.ledger.set_limits(now, limits),
        }
    }

    fn tick(&mut self, at: usize) {
        if !self.running(at) {
            return;
        }
        let now = self.local(at);
        self.serve_waiting(at);
        self.routers[at].ledger.write_off(now, |it| self.ended.contains(it));
        self.drop_unanswered(at);
        self.send_takes(at);
        self.ask(at);
        self.report(at);
        // Anti-entropy repairs what the network lost.
        if self.rng.random_bool(0.2) {
            let map = self.map.clone();
            self.learn_map(at, self.version, &map);
            self.routers[at].ledger.set_limits(now, self.limits);
        }
    }

    fn learn_map(&mut self, at: usize, version: u64, map: &ShareMap) {
        let now = self.local(at);
        let router = &mut self.routers[at];
        if version <= router.map_version {
            return;
        }
        router.map_version = version;
        router.frozen = false;
        for (share, holding) in map.shares.iter().enumerate() {
            if holding.holder == router.life {
                router.ledger.start_share(now, share, holding.term);
            } else {
                router.ledger.drop_share(share, holding.term);
            }
        }
        router.holders = map.holders();
        router.ledger.forget_earlier_holders(map);
        router.asked.retain(|it, _| router.holders.contains(it));
    }

    fn kill(&mut self, at: usize) {
        if self.routers[at].alive {
            self.routers[at].alive = false;
            self.killed.insert(self.routers[at].life.clone());
            self.open.retain(|(it, ..)| *it != at);
        }
    }

    fn restart(&mut self, at: usize) {
        self.kill(at);
        let mut life = self.routers[at].life.clone();
        self.ended.insert(life.clone());
        life.incarnation.0 += 1;
        let offset = self.rng.random_range(0..1_000_000);
        self.routers[at] = Router::new(life, self.limits, offset);
        self.claim(at);
    }

    fn claim(&mut self, at: usize) {
        if !self.running(at) || self.now < self.outage_until {
            return;
        }
        let alive = self.routers.iter().filter(|it| it.alive);
        let live: Vec<_> = alive.map(|it| it.life.member.clone()).collect();
        let me = self.routers[at].life.clone();
        let ended = |it: &RouterIncarnation| self.ended.contains(it);
        for share in self.map.claims(&organisation(), &me, &live, ended) {
            self.map = self.map.moved(share, &me);
            self.version += 1;
        }
        self.spread_map(at);
    }

    fn hand_over(&mut self, at: usize, to: usize) {
        if !self.running(at) || !self.running(to) || at == to || self.routers[at].frozen {
            return;
        }
        let (now, target) = (self.local(at), self.routers[to].life.clone());
        let router = &mut self.routers[at];
        let held = (0..SHARES).find(|it| self.map.shares[*it].holder == router.life);
        let state = held.and_then(|it| router.ledger.freeze_share(now, it));
        let (Some(share), Some(state)) = (held, state) else {
            return;
        };
        if self.now < self.outage_until {
            return router.ledger.resume_share(share);
        }
        self.map = self.map.moved(share, &target);
        self.version += 1;
        if self.has(LOSS) {
            // The write took effect but its answer was lost: the share stays frozen until the map is read.
            self.routers[at].frozen = true;
            return;
        }
        let term = self.map.shares[share].term;
        self.spread_map(at);
        self.send(&target, &Payload::State(share, term, state));
    }

    fn spread_map(&mut self, at: usize) {
        let map = self.map.clone();
        self.learn_map(at, self.version, &map);
        self.send_to_all(&Payload::Map(self.version, map));
    }

    fn send_to_all(&mut self, payload: &Payload) {
        let lives: Vec<_> = self.routers.iter().map(|it| it.life.clone()).collect();
        for life in &lives {
            self.send(life, payload);
        }
    }

    fn change_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.checker.allow_also(self.now, limits);
        self.spreading = Spreading::Yes;
        self.send_to_all(&Payload::Limits(limits));
    }

    /// Checks by the new limits alone once they are in force everywhere and earlier grants have expired.
    fn settle_limits(&mut self) {
        let mut alive = self.routers.iter().filter(|it| it.alive);
        let applied = alive.all(|it| it.ledger.limits() == self.limits);
        match self.spreading {
            Spreading::Yes if applied => self.spreading = Spreading::InForceSince(self.now),
            Spreading::InForceSince(since) if self.now >= since + INHERITED_MS => {
                let worst = self.checker.worst;
                self.checker = Checker {
                    worst,
                    ..Checker::new(self.limits, self.now)
                };
                self.spreading = Spreading::No;
            }
            _ => {}
        }
    }
}

impl Router {
    fn new(life: RouterIncarnation, limits: Limits, offset: u64) -> Self {
        Self {
            life,
            alive: true,
            paused_until: 0,
            offset,
            ledger: Ledger::new(limits),
            map_version: 0,
            holders: Vec::new(),
            waiting: Vec::new(),
            round: 0,
            order: Vec::new(),
            asked: BTreeMap::new(),
            frozen: false,
            retry_at: 0,
        }
    }
}

/// Naive limiters on the same history.
#[derive(Debug, Clone, Copy)]
pub enum Naive {
    /// Every VM enforces the whole rate and burst.
    WholeEach,
    /// Router 0 counts for all and starts full after a restart.
    CounterReset,
    /// Every VM enforces an equal part.
    PartEach,
}

pub fn run_naive(kind: Naive, steps: &[Step], limits: Limits) -> Figures {
    let divisor = if matches!(kind, Naive::PartEach) {
        ROUTERS as u64
    } else {
        1
    };
    let (rate, burst) = (limits.rate / divisor, limits.burst / divisor);
    let full = |now| Checker::new(Limits { rate, burst }, now);
    let mut buckets: Vec<_> = (0..ROUTERS).map(|_| full(0)).collect();
    let mut checker = Checker::new(limits, 0);
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
