//! Model of several routers over a faulty network, and the naive limiters that ours is compared with.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use guava_core::ids::{Incarnation, MemberId, OrganisationName, RequestId, Role};
use guava_core::quota::{
    Admission, GATHER_MS, Handover, INHERITED_MS, Ledger, Limits, MAX_HOLDER_ROUNDS, RouterLife, SHARES, ShareMap,
    TAKE_TIMEOUT_MS, TakeAnswer, TakeRequest, UNITS_PER_TOKEN,
};
use guava_core::units::Millis;
use proptest::prelude::*;
use proptest::strategy::Union;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const ROUTERS: usize = 5;
const REPEAT_MS: u64 = 20;

/// Faults that a history contains.
#[derive(Debug, Clone, Copy, Default)]
#[expect(clippy::struct_excessive_bools, reason = "faults combine freely")]
pub struct Faults {
    pub loss: bool,
    pub repetition: bool,
    pub reordering: bool,
    pub pause: bool,
    pub restart: bool,
    pub take_over: bool,
    pub hand_over: bool,
    pub rate_change: bool,
    pub outage: bool,
}

impl Faults {
    pub const ALL: Self = Self {
        loss: true,
        repetition: true,
        reordering: true,
        pause: true,
        restart: true,
        take_over: true,
        hand_over: true,
        rate_change: true,
        outage: true,
    };
}

#[derive(Debug, Clone)]
pub enum Step {
    Arrive { router: usize, tokens: u64 },
    SmallArrivals { router: usize, count: u64, tokens: u64 },
    Settle { pick: usize, percent: u64 },
    Wait(u64),
    Pause { router: usize, ms: u64 },
    Kill(usize),
    Restart(usize),
    ProveEnded,
    HandOver { router: usize, to: usize },
    Limits { rate: u64, burst: u64 },
    Outage(u64),
    Write,
}

pub fn steps(faults: Faults) -> impl Strategy<Value = Vec<Step>> {
    let router = || 0..ROUTERS;
    let any_stop = faults.restart || faults.take_over;
    let arrive = (router(), 1..400u64).prop_map(|(router, tokens)| Step::Arrive { router, tokens });
    let large = (router(), 300..1_000u64).prop_map(|(router, tokens)| Step::Arrive { router, tokens });
    let small = (router(), 5..40u64, 1..8u64);
    let small = small.prop_map(|(router, count, tokens)| Step::SmallArrivals { router, count, tokens });
    let settle = (any::<usize>(), 0..=130u64).prop_map(|(pick, percent)| Step::Settle { pick, percent });
    let pause = (router(), 50..6_000u64).prop_map(|(router, ms)| Step::Pause { router, ms });
    let hand_over = (router(), router()).prop_map(|(router, to)| Step::HandOver { router, to });
    let limits = (1..3_000u64, 1_000..3_000u64).prop_map(|(rate, burst)| Step::Limits { rate, burst });
    let choices = [
        (true, 30, arrive.boxed()),
        (true, 4, large.boxed()),
        (true, 3, small.boxed()),
        (true, 15, settle.boxed()),
        (true, 20, (1..300u64).prop_map(Step::Wait).boxed()),
        (true, 2, (300..5_000u64).prop_map(Step::Wait).boxed()),
        (faults.pause, 4, pause.boxed()),
        (any_stop, 2, router().prop_map(Step::Kill).boxed()),
        (faults.restart, 3, router().prop_map(Step::Restart).boxed()),
        (faults.take_over, 3, Just(Step::ProveEnded).boxed()),
        (any_stop, 6, Just(Step::Write).boxed()),
        (faults.hand_over, 4, hand_over.boxed()),
        (faults.rate_change, 1, limits.boxed()),
        (faults.outage, 2, (100..8_000u64).prop_map(Step::Outage).boxed()),
    ];
    let possible = choices.into_iter().filter(|(on, ..)| *on);
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
        Self {
            limits,
            debt: 0,
            at,
            worst: i128::MIN,
        }
    }

    fn add(&mut self, at: u64, units: i128) {
        self.advance(at);
        self.debt = (self.debt + units).max(0);
        self.worst = self.worst.max(self.debt - burst_units(self.limits));
    }

    fn advance(&mut self, at: u64) {
        let gained = i128::from(self.limits.rate) * SHARES as i128 * i128::from(at - self.at);
        self.debt = (self.debt - gained).max(0);
        self.at = at;
    }

    fn allow_also(&mut self, at: u64, limits: Limits) {
        self.advance(at);
        self.limits.rate = self.limits.rate.max(limits.rate);
        self.limits.burst = self.limits.burst.max(limits.burst);
    }

    fn would_admit(&mut self, at: u64, tokens: u64) -> bool {
        self.advance(at);
        self.debt + i128::from(tokens * UNITS_PER_TOKEN) <= burst_units(self.limits)
    }
}

fn burst_units(limits: Limits) -> i128 {
    i128::from(limits.burst) * i128::from(UNITS_PER_TOKEN)
}

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
}

#[derive(Debug, Clone)]
enum Payload {
    Take(RouterLife, TakeRequest),
    Answer(RouterLife, TakeAnswer),
    Map(u64, ShareMap),
    State(usize, u64, Handover),
    Limits(Limits),
}

#[derive(Debug)]
struct Waiting {
    request: RequestId,
    tokens: u64,
    deadline: u64,
}

#[derive(Debug)]
struct Router {
    life: RouterLife,
    alive: bool,
    paused_until: u64,
    offset: u64,
    ledger: Ledger,
    map_version: u64,
    map: Option<ShareMap>,
    waiting: VecDeque<Waiting>,
    round: usize,
    asked: BTreeMap<RouterLife, (u64, u64)>,
    order: Vec<RouterLife>,
    frozen: bool,
    retry_at: u64,
}

/// Routers, network and platform.
#[derive(Debug)]
pub struct Model {
    now: u64,
    faults: Faults,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    ended: BTreeSet<RouterLife>,
    killed: BTreeSet<RouterLife>,
    map: ShareMap,
    version: u64,
    outage_until: u64,
    mail: Vec<(u64, RouterLife, Payload)>,
    limits: Limits,
    settled_at: Option<u64>,
    limits_pending: bool,
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
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let lives: Vec<_> = (0..ROUTERS)
            .map(|it| RouterLife {
                member: MemberId::new(format!("vm-{it}"), Role::Router),
                incarnation: Incarnation(1),
            })
            .collect();
        let map = ShareMap::new(&organisation(), &lives).unwrap();
        let routers = lives
            .into_iter()
            .map(|life| Router::new(life, limits, rng.random_range(0..1_000_000)))
            .collect();
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
            settled_at: None,
            limits_pending: false,
            checker: Checker::new(limits, 0),
            requests: 0,
            open: Vec::new(),
            figures: Figures::default(),
        };
        for at in 0..ROUTERS {
            let map = model.map.clone();
            model.learn_map(at, 1, map);
        }
        model
    }

    pub fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.step(step);
            self.settle_limits();
            for router in &self.routers {
                assert!(
                    router.ledger.is_consistent(),
                    "a share exceeds its bound at {}",
                    self.now
                );
            }
        }
        self.advance(GATHER_MS + 1);
        self.figures.overshoot = u64::try_from(self.checker.worst.max(0))
            .unwrap()
            .div_ceil(UNITS_PER_TOKEN);
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Arrive { router, tokens } => self.arrive(router, tokens),
            Step::SmallArrivals { router, count, tokens } => self.arrive_small(router, count, tokens),
            Step::Settle { pick, percent } => self.settle(pick, percent),
            Step::Wait(ms) => self.advance(ms),
            Step::Pause { router, ms } => self.routers[router].paused_until = self.now + ms,
            Step::Kill(router) => self.kill(router),
            Step::Restart(router) => self.restart(router),
            Step::ProveEnded => self.ended.extend(self.killed.iter().cloned()),
            Step::HandOver { router, to } => self.hand_over(router, to),
            Step::Limits { rate, burst } => self.change_limits(Limits { rate, burst }),
            Step::Outage(ms) => self.outage_until = self.now + ms,
            Step::Write => (0..ROUTERS).for_each(|at| self.claim(at)),
        }
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
        let deadline = self.now + GATHER_MS;
        if !self.try_admit(at, &request, tokens) {
            self.routers[at].waiting.push_back(Waiting {
                request,
                tokens,
                deadline,
            });
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
        if let Admission::Granted { .. } = admission {
            self.checker.add(self.now, i128::from(tokens * UNITS_PER_TOKEN));
            self.figures.admitted += 1;
            self.open.push((at, request.clone(), tokens));
            return true;
        }
        false
    }

    fn settle(&mut self, pick: usize, percent: u64) {
        if self.open.is_empty() {
            return;
        }
        let index = pick % self.open.len();
        let (at, request, tokens) = self.open[index].clone();
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
        let wanted: u64 = router.waiting.iter().map(|it| it.tokens * UNITS_PER_TOKEN).sum();
        let missing = wanted.saturating_sub(router.ledger.available(now));
        if router.round == 0 {
            let mut holders = router.other_holders();
            router.ledger.rank_holders(now, &mut holders);
            router.order = holders;
        }
        let holders = router.order.clone();
        while router.round < MAX_HOLDER_ROUNDS && router.asked.is_empty() {
            for (holder, need) in router.ledger.plan_round(router.round, missing, &holders) {
                router.asked.insert(holder, (need, self.now));
            }
            router.round += 1;
        }
        if router.asked.is_empty() {
            self.back_off(at);
        } else {
            self.send_takes(at);
        }
    }

    fn send_takes(&mut self, at: usize) {
        let now = self.local(at);
        for (holder, (need, _)) in self.routers[at].asked.clone() {
            let router = &mut self.routers[at];
            let request = router.ledger.take_request(now, &holder, need);
            let from = router.life.clone();
            self.send(&holder, &Payload::Take(from, request));
        }
    }

    fn drop_unanswered(&mut self, at: usize) {
        let (now, wall) = (self.local(at), self.now);
        let Router { asked, ledger, .. } = &mut self.routers[at];
        let late = |since: u64| since + TAKE_TIMEOUT_MS < wall;
        for (holder, _) in asked.iter().filter(|(_, (_, since))| late(*since)) {
            ledger.note_failure(now, holder);
        }
        asked.retain(|_, (_, since)| !late(*since));
    }

    fn serve_waiting(&mut self, at: usize) {
        let now = self.local(at);
        let waiting = std::mem::take(&mut self.routers[at].waiting);
        for it in waiting {
            if it.deadline <= self.now {
                self.refuse(it.tokens);
            } else if !self.try_admit(at, &it.request, it.tokens) {
                self.routers[at].waiting.push_back(it);
            }
        }
        if self.routers[at].waiting.is_empty() {
            self.routers[at].round = 0;
            self.routers[at].asked.clear();
            self.routers[at].ledger.shrink_wallet(now);
        }
    }

    fn back_off(&mut self, at: usize) {
        let now = self.local(at);
        let router = &mut self.routers[at];
        router.round = 0;
        router.retry_at = self.now + self.rng.random_range(5..40);
        router.ledger.empty_wallet(now);
        self.report(at);
    }

    fn refuse(&mut self, tokens: u64) {
        self.figures.refused += 1;
        if self.checker.would_admit(self.now, tokens) {
            self.figures.wrongly_refused += 1;
        }
    }

    fn report(&mut self, at: usize) {
        let now = self.local(at);
        let router = &mut self.routers[at];
        let from = router.life.clone();
        for holder in router.ledger.owed(now) {
            let request = self.routers[at].ledger.take_request(now, &holder, 0);
            self.send(&holder, &Payload::Take(from.clone(), request));
        }
    }

    fn send(&mut self, to: &RouterLife, payload: &Payload) {
        let faults = self.faults;
        if faults.loss && self.rng.random_bool(0.2) {
            return;
        }
        let copies = if faults.repetition && self.rng.random_bool(0.2) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = faults.reordering && self.rng.random_bool(0.2);
            let delay = if late { self.rng.random_range(1..4_000) } else { 1 };
            self.mail.push((self.now + delay, to.clone(), payload.clone()));
        }
    }

    fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
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
        let mut due = Vec::new();
        let mut kept = Vec::new();
        for (when, to, payload) in std::mem::take(&mut self.mail) {
            let target = self.routers.iter().position(|it| it.life == to && it.alive);
            match target {
                Some(at) if when <= self.now && self.running(at) => due.push((at, payload)),
                Some(_) => kept.push((when, to, payload)),
                None => {}
            }
        }
        self.mail = kept;
        for (at, payload) in due {
            self.receive(at, payload);
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
                router.ledger.take_answer(now, &holder, &answer);
                router.asked.remove(&holder);
                self.serve_waiting(at);
                self.ask(at);
            }
            Payload::Map(version, map) => self.learn_map(at, version, map),
            Payload::State(share, term, state) => {
                router
                    .ledger
                    .adopt_share(now, share, guava_core::ids::Term(term), state);
            }
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
            let (version, map) = (self.version, self.map.clone());
            self.learn_map(at, version, map);
            let limits = self.limits;
            self.routers[at].ledger.set_limits(now, limits);
        }
    }

    fn learn_map(&mut self, at: usize, version: u64, map: ShareMap) {
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
            router.ledger.note_term(share, holding.term);
        }
        router.ledger.retain_holders(&map.holders());
        router.asked.retain(|it, _| map.holders().contains(it));
        router.map = Some(map);
    }

    fn kill(&mut self, at: usize) {
        if self.routers[at].alive {
            self.routers[at].alive = false;
            self.killed.insert(self.routers[at].life.clone());
            self.open.retain(|(it, _, _)| *it != at);
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
        let live: Vec<_> = self
            .routers
            .iter()
            .filter(|it| it.alive)
            .map(|it| it.life.member.clone())
            .collect();
        let me = self.routers[at].life.clone();
        let claims = self
            .map
            .claims(&organisation(), &me, &live, |it| self.ended.contains(it));
        for share in claims {
            self.map = self.map.moved(share, &me);
            self.version += 1;
        }
        self.spread_map(at);
    }

    fn hand_over(&mut self, at: usize, to: usize) {
        if !self.running(at) || !self.running(to) || at == to || self.routers[at].frozen {
            return;
        }
        let (from, target) = (self.routers[at].life.clone(), self.routers[to].life.clone());
        let Some(share) = (0..SHARES).find(|it| self.map.shares[*it].holder == from) else {
            return;
        };
        let now = self.local(at);
        let Some(state) = self.routers[at].ledger.freeze_share(now, share) else {
            return;
        };
        if self.now < self.outage_until {
            self.routers[at].ledger.resume_share(share);
            return;
        }
        self.map = self.map.moved(share, &target);
        self.version += 1;
        if self.faults.loss && self.rng.random_bool(0.2) {
            // The write took effect but its answer was lost: the share stays frozen until the map is read.
            self.routers[at].frozen = true;
            return;
        }
        let term = self.map.shares[share].term.0;
        self.spread_map(at);
        self.send(&target, &Payload::State(share, term, state));
    }

    fn spread_map(&mut self, at: usize) {
        let (version, map) = (self.version, self.map.clone());
        self.learn_map(at, version, map.clone());
        let others: Vec<_> = self.routers.iter().map(|it| it.life.clone()).collect();
        for life in others {
            self.send(&life, &Payload::Map(version, map.clone()));
        }
    }

    fn change_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.checker.allow_also(self.now, limits);
        self.limits_pending = true;
        self.settled_at = None;
        let lives: Vec<_> = self.routers.iter().map(|it| it.life.clone()).collect();
        for life in lives {
            self.send(&life, &Payload::Limits(limits));
        }
    }

    /// Checks by the new limits alone once they are in force everywhere and earlier grants have expired.
    fn settle_limits(&mut self) {
        let applied = self
            .routers
            .iter()
            .filter(|it| it.alive)
            .all(|it| it.ledger.limits() == self.limits);
        if self.limits_pending && self.settled_at.is_none() && applied {
            self.settled_at = Some(self.now);
        }
        if self.limits_pending && self.settled_at.is_some_and(|it| self.now >= it + INHERITED_MS) {
            self.limits_pending = false;
            let worst = self.checker.worst;
            self.checker = Checker::new(self.limits, self.now);
            self.checker.worst = worst;
        }
    }
}

impl Router {
    fn new(life: RouterLife, limits: Limits, offset: u64) -> Self {
        Self {
            life,
            alive: true,
            paused_until: 0,
            offset,
            ledger: Ledger::new(limits),
            map_version: 0,
            map: None,
            waiting: VecDeque::new(),
            round: 0,
            asked: BTreeMap::new(),
            order: Vec::new(),
            frozen: false,
            retry_at: 0,
        }
    }

    fn other_holders(&self) -> Vec<RouterLife> {
        let mut holders = self.map.as_ref().map(ShareMap::holders).unwrap_or_default();
        holders.retain(|it| *it != self.life);
        holders
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
    let own = Limits {
        rate: limits.rate / divisor,
        burst: limits.burst / divisor,
    };
    let mut buckets: Vec<_> = (0..ROUTERS).map(|_| Checker::new(own, 0)).collect();
    let mut checker = Checker::new(limits, 0);
    let mut figures = Figures::default();
    let mut now = 0;
    for step in steps {
        match *step {
            Step::Wait(ms) => now += ms,
            Step::Restart(router) => buckets[router] = Checker::new(own, now),
            Step::SmallArrivals { count, .. } => now += 3 * count,
            Step::Arrive { router, tokens } => {
                let bucket = if matches!(kind, Naive::CounterReset) { 0 } else { router };
                let units = i128::from(tokens * UNITS_PER_TOKEN);
                figures.arrived += 1;
                if buckets[bucket].would_admit(now, tokens) {
                    buckets[bucket].add(now, units);
                    checker.add(now, units);
                    figures.admitted += 1;
                } else {
                    figures.refused += 1;
                    figures.wrongly_refused += u64::from(checker.would_admit(now, tokens));
                }
            }
            _ => {}
        }
    }
    figures.overshoot = u64::try_from(checker.worst.max(0)).unwrap().div_ceil(UNITS_PER_TOKEN);
    figures
}
