//! The one process that orders loads and holds the central part of organisations' rates.
//!
//! It is found by a lease in the store. Before each order the lease is checked again on a clock that counts suspensions.
//! A process that takes over from another VM waits before its first order until the last order that its predecessor
//! could have sent is old enough.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use guava_core::derive_value;
use guava_core::events::Event;
use guava_core::ids::{Incarnation, MemberId, OperationId, Role, Term};
use guava_core::lease::{
    ACTIVE_CANDIDATES, Candidacy, Lease, LeaseCall, LeaseEvent, LeaseSpec, StoredLease, Timing, WriteOutcome,
};
use guava_core::rendezvous;
use guava_core::units::Millis;
use guava_fleet::health::SharedHealth;
use guava_fleet::placement::{Order, OrderAges, OrderKind, OrderOutcome, Placement, Quiet, Tier, Wait};
use guava_fleet::quota::{Buckets, LOCAL_PART};
use guava_platform::store::{Object, Written};
use guava_platform::{CallError, engine};
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::changes::Changes;
use crate::log_event;
use crate::metrics;
use crate::peers::{self, QuotaAnswer, QuotaTake, Report, ReportAnswer, Resign};
use crate::state::{CoordinatorHint, Entry, LARGE_FLEET, Member, now};

/// Kind of the lease's object in the store.
const LEASE_KIND: &str = "guava-leases";
/// Name of the lease.
const LEASE_NAME: &str = "coordinator";
/// Times of the lease: short enough that cold starts resume within seconds of a VM's loss, long enough for a few
/// renewals under a slow store.
const TIMING: Timing = Timing {
    duration_ms: 3_000,
    renew_ms: 800,
    margin_ms: 500,
    rank_delay_ms: 150,
    candidate_read_ms: 400,
    retry_ms: 250,
};
/// Time since a process was known to coordinate, as the feed tells it, from which on the lease is read.
const CONTACT_MS: u64 = 1_400;
/// Time between two rounds of decisions in a small fleet.
const ROUND: Duration = Duration::from_millis(20);
/// Engines for which a round comes a millisecond later and changes are told a millisecond later: a round looks at every
/// engine, which takes 1 µs each, and each change is sent to every follower.
const ENGINES_PER_MS: usize = 50;
/// Questions for the state of engines under way at once. A new coordinator asks all engines; each question takes a
/// connection.
const POLLS_AT_ONCE: usize = 64;
/// Age of the store's last answer from which on the coordinator gives up its tenure if another VM reaches the store.
const STORE_LOST_MS: u64 = 1_300;
/// Age of the store's last answer up to which another VM counts as reaching it; its watches wait for 2 s.
const STORE_FRESH_MS: u64 = 2_300;
/// Age up to which a VM's report tells of its contact with the store.
const REPORT_FRESH_MS: u64 = 700;
/// Time for which a coordinator that gave up its tenure lets others take it.
const REST_MS: u64 = 2_000;
/// Silence of all other VMs from which on the coordinator counts as cut off; they report four times a second.
const ALONE_MS: u64 = 1_500;
/// Silence after which the other VMs count as stopped rather than cut off, and the coordinator keeps its tenure.
const ALONE_FORGET_MS: u64 = 4_000;
/// VMs with most processor time from which on only they coordinate.
const LEAST_CANDIDATES: usize = 3;
/// Time after which a coordinator looks whether VMs with more processor time are live; within it, it learns of most.
const SETTLED_MS: u64 = 1_000;
/// Time for the announcement of a resignation.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that an order may still have been on its way when its sender told its age: the time after which the call for an
/// order is given up, and a little for bytes that were sent before.
const ORDER_TRAVEL_MS: u64 = 500;
/// Interval at which the parts of answers to reports that are the same for all are computed in a large fleet: their cost
/// is that of all engines, and its reports come 90 times a second.
const TOLD_MS: u64 = 100;
/// Models up to which the waits for all are told to every VM.
const TOLD_WAITS: usize = 64;

derive_value! {
    /// Value of the lease's object.
    struct LeaseObject {
        lease: LeaseSpec,
        operation: OperationId,
        address: std::net::SocketAddr,
        /// Milliseconds for which this term has been held; tells a later life of the VM whether engines may still have
        /// orders of an earlier holder.
        held_ms: u64,
        /// Milliseconds since engines may last have had an order, in an object that gives the lease back.
        order_ages: Vec<(String, u64)>,
        /// The same for all other engines; absent when that is long ago.
        others_age_ms: Option<u64>,
    }
}

#[derive(Debug, Default)]
struct Tenure {
    /// Term; zero while the process does not coordinate.
    term: u64,
    /// End of the time in which it may act.
    until: Millis,
    /// Start of the term.
    began: Millis,
}

/// VMs of live processes that may coordinate. The coordinator does the most work, so they are the ones with most
/// processor time, unless these are so few that they could be cut off together.
pub fn candidates(live: Vec<Member>) -> Vec<String> {
    let most = live.iter().map(|it| it.processor).max().unwrap_or(0);
    let strong = live.iter().filter(|it| it.processor >= most).count();
    let least = if strong < LEAST_CANDIDATES { 0 } else { most };
    let able = live.into_iter().filter(|it| it.processor >= least);
    able.map(|it| it.vm).collect()
}

impl Tenure {
    fn held_ms(&self, term: u64, at: Millis) -> u64 {
        if self.term == term { at.since(self.began) } else { 0 }
    }

    fn begin(&mut self, term: u64, at: Millis) {
        self.term = term;
        self.began = at;
    }
}

/// What a VM's last report told of its contact with the store.
#[derive(Debug, Clone)]
struct VmContact {
    at: Millis,
    store_age_ms: u64,
}

/// End of a tenure that its holder announced.
#[derive(Debug, Clone)]
struct Farewell {
    term: u64,
    at: Millis,
    order_ages: OrderAges,
}

/// Part of the answer to a report that is the same for all VMs.
#[derive(Debug, Default)]
struct Told {
    at: Millis,
    waits: Vec<Wait>,
    loads: Vec<(String, u32)>,
}

impl Told {
    /// Waits for models; when many models wait, only those of the models that the VM asks for.
    fn waits_for(&self, asked: &HashSet<String>, now: Millis) -> Vec<Wait> {
        let is_short = self.waits.len() <= TOLD_WAITS;
        let waits = self.waits.iter().filter(|it| is_short || asked.contains(&it.model));
        let mut waits: Vec<Wait> = waits.cloned().collect();
        let age = now.since(self.at);
        for wait in &mut waits {
            wait.ms = wait.ms.saturating_sub(age);
        }
        waits
    }
}

/// Coordinator's part of the process; idle while another process coordinates.
#[derive(Debug)]
pub struct Coordinator {
    entry: Arc<Entry>,
    placement: Mutex<Placement>,
    quota: Mutex<Buckets>,
    tenure: Mutex<Tenure>,
    vms: Mutex<HashMap<String, VmContact>>,
    told: Mutex<Told>,
    /// Outcomes of requests as the VMs report them.
    health: Mutex<SharedHealth>,
    farewell: Mutex<Option<Farewell>>,
    /// Term of the lease as last read, and for how long it had been held.
    last_held: Mutex<(u64, u64)>,
    /// Version of the configuration and count of server entries that the placement has seen.
    inputs: Mutex<(u64, u64)>,
    /// What was told of the placement.
    published: Mutex<Published>,
    polls: Semaphore,
}

/// What was told of the placement.
#[derive(Debug, Default)]
struct Published {
    /// Term and version.
    version: (u64, u64),
    at: Millis,
}

impl Coordinator {
    /// Starts without a lease.
    pub fn new(entry: Arc<Entry>) -> Self {
        Self {
            entry,
            placement: Mutex::default(),
            quota: Mutex::default(),
            tenure: Mutex::default(),
            vms: Mutex::default(),
            told: Mutex::default(),
            health: Mutex::default(),
            farewell: Mutex::default(),
            last_held: Mutex::default(),
            inputs: Mutex::default(),
            published: Mutex::default(),
            polls: Semaphore::new(POLLS_AT_ONCE),
        }
    }

    /// Whether this process coordinates now.
    pub fn coordinates(&self) -> bool {
        self.term().is_some()
    }

    fn term(&self) -> Option<u64> {
        let tenure = self.tenure.lock();
        (tenure.term > 0 && now() < tenure.until).then_some(tenure.term)
    }

    /// Takes a VM's report.
    pub fn take_report(&self, report: Report) -> ReportAnswer {
        let coordinates = self.coordinates();
        let at = now();
        let contact = VmContact {
            at,
            store_age_ms: report.store_age_ms,
        };
        self.vms.lock().insert(report.vm.clone(), contact);
        let failures = {
            let mut health = self.health.lock();
            health.note(&report.vm, report.outcomes, at);
            health.failures(at)
        };
        let asked: HashSet<String> = report.demand.iter().map(|it| it.model.clone()).collect();
        let mut placement = self.placement.lock();
        placement.note_report(&report.vm, report.demand, report.running, report.next_ms, at);
        let is_large = self.vms.lock().len() > LARGE_FLEET;
        let mut told = self.told.lock();
        if !is_large || at.since(told.at) >= TOLD_MS {
            *told = Told {
                at,
                waits: placement.waits(at),
                loads: placement.told_loads(at),
            };
        }
        let waits = if coordinates {
            told.waits_for(&asked, at)
        } else {
            Vec::new()
        };
        ReportAnswer {
            coordinates,
            loads: told.loads.clone(),
            waits,
            failures,
        }
    }

    /// Takes tokens from the central part of an organisation's rate.
    pub fn take_quota(&self, take: &QuotaTake) -> QuotaAnswer {
        let refused = QuotaAnswer {
            coordinates: false,
            granted: false,
            wait_ms: 0,
        };
        let config = self.entry.config();
        let config = config.filter(|_| self.coordinates());
        let Some(config) = config else {
            return refused;
        };
        let organisations = &config.config.organisations;
        let Some(organisation) = organisations.iter().find(|it| it.name == take.organisation) else {
            return refused;
        };
        let at = now();
        let part = 1.0 - LOCAL_PART;
        let (rate, burst) = (organisation.rate * part, organisation.burst * part);
        let mut quota = self.quota.lock();
        // A coordinator does not know what its predecessor granted, so its buckets start empty; the first has none.
        let (term, began) = {
            let tenure = self.tenure.lock();
            (tenure.term, tenure.began)
        };
        let part = if term == 1 { 1.0 } else { 0.0 };
        let bucket = quota.bucket(began, &organisation.name, rate, burst, part);
        let reserved = bucket.reserve(at, take.tokens, take.max_wait_ms);
        QuotaAnswer {
            coordinates: true,
            granted: reserved.is_ok(),
            wait_ms: reserved.unwrap_or_else(|wait| wait),
        }
    }

    /// Competes for the lease for as long as the process runs.
    pub async fn keep_lease(self: Arc<Self>) {
        let me = MemberId::new(&self.entry.settings.vm, Role::Controller);
        let mut lease = Lease::with_timing(me, Incarnation(self.entry.incarnation), TIMING);
        let mut is_released = false;
        loop {
            let at = now();
            if self.entry.is_stopping() && !is_released {
                lease.release();
                is_released = true;
            }
            self.hand_over_if_cut(&mut lease, at);
            self.hand_over_if_weak(&mut lease, at);
            let has_contact = self.entry.coordination_age_ms(at) < CONTACT_MS;
            let current = self.entry.coordinator().map_or(0, |it| it.term);
            let has_resigned = self.farewell.lock().as_ref().is_some_and(|it| it.term >= current);
            let has_contact = has_contact && !has_resigned;
            if lease.is_holder() || !has_contact {
                let standing = self.standing(&lease);
                let call = lease.step(standing, at, &mut rand::rng());
                if let Some(call) = call {
                    self.carry_out(&mut lease, call).await;
                }
            } else {
                lease.refresh();
            }
            self.note_tenure(&mut lease);
            sleep(ROUND).await;
        }
    }

    fn standing(&self, lease: &Lease) -> Candidacy {
        let at = now();
        let me = self.entry.settings.vm.as_str();
        let candidates = self.candidates(at);
        // The same VM with an earlier process: that process has ended.
        let farewell = self.farewell.lock();
        let holder_ended = lease.seen().is_some_and(|it| {
            let is_earlier_life = it.holder.vm.as_str() == me && it.incarnation.0 < self.entry.incarnation;
            is_earlier_life || farewell.as_ref().is_some_and(|farewell| farewell.term == it.term.0)
        });
        let rank = rendezvous::position(LEASE_NAME, candidates.iter().map(String::as_str), me);
        let rank = match lease.seen() {
            // Whether this VM held it last shows at the first read.
            None => rank.map(|it| it.min(ACTIVE_CANDIDATES - 1)),
            // The VM of the last holder needs no gap between orders, so it goes first.
            Some(seen) if seen.holder.vm.as_str() == me => rank.map(|_| 0),
            Some(_) => rank,
        };
        Candidacy { rank, holder_ended }
    }

    /// VMs that may coordinate, as far as this one knows.
    fn candidates(&self, at: Millis) -> Vec<String> {
        let live = self.entry.members().into_iter().filter(|it| it.is_live(at));
        candidates(live.map(|it| it.member).chain([self.entry.me()]).collect())
    }

    /// Steps down after a start at which this process did not know the VMs with more processor time yet.
    fn hand_over_if_weak(&self, lease: &mut Lease, at: Millis) {
        let Some(term) = self.term() else {
            return;
        };
        let is_settled = at.since(self.tenure.lock().began) > SETTLED_MS;
        if !is_settled || self.candidates(at).contains(&self.entry.settings.vm) {
            return;
        }
        log_event!(
            Event::LeaseReleased,
            "-",
            "term={term} reason=VMs with more processor time are live"
        );
        self.tenure.lock().term = 0;
        lease.step_down(at, REST_MS);
    }

    async fn carry_out(&self, lease: &mut Lease, call: LeaseCall) {
        let store = &self.entry.store;
        match &call {
            LeaseCall::Read => match store.get(LEASE_KIND, LEASE_NAME).await {
                Ok(found) => {
                    self.entry.note_store_contact(now());
                    let found = found.as_ref().and_then(|it| self.decode(it));
                    lease.on_read(found, now());
                }
                Err(_) => lease.on_read_failed(now()),
            },
            LeaseCall::Write {
                spec,
                expect,
                operation,
            } => {
                let told_ages = if spec.released {
                    self.order_ages()
                } else {
                    OrderAges::default()
                };
                let object = LeaseObject {
                    lease: spec.clone(),
                    operation: operation.clone(),
                    address: self.entry.settings.advertised,
                    held_ms: self.tenure.lock().held_ms(spec.term.0, now()),
                    order_ages: told_ages.by_engine,
                    others_age_ms: told_ages.others_ms,
                };
                let value = json!(object);
                let written = match expect {
                    None => store.create(LEASE_KIND, LEASE_NAME, &value).await,
                    Some(revision) => store.replace(LEASE_KIND, LEASE_NAME, &value, Some(*revision)).await,
                };
                if written.is_ok() {
                    self.entry.note_store_contact(now());
                }
                let outcome = match written {
                    Ok(Written::Done(object)) => WriteOutcome::Done {
                        version: object.revision,
                    },
                    Ok(Written::Conflict(_)) => WriteOutcome::Conflict,
                    Err(CallError::NotRun(_)) => WriteOutcome::NotRun,
                    Err(_) => WriteOutcome::Unknown,
                };
                lease.on_write(&call, outcome, now());
            }
        }
    }

    /// Gives the tenure to another process when this one is cut off from the store or from all other VMs.
    fn hand_over_if_cut(&self, lease: &mut Lease, at: Millis) {
        let Some(term) = self.term() else {
            return;
        };
        let store_age = self.entry.store_age_ms(at);
        let others = self.vms.lock().clone();
        let others = others.into_iter().filter(|(vm, _)| *vm != self.entry.settings.vm);
        let others: Vec<(String, VmContact)> = others.collect();
        if store_age > STORE_LOST_MS {
            let fresh = others.iter().filter(|(_, it)| at.since(it.at) < REPORT_FRESH_MS);
            let able = fresh.filter(|(_, it)| it.store_age_ms < STORE_FRESH_MS).count();
            if able == 0 {
                return;
            }
            lease.abandon(at, REST_MS);
            self.note_tenure(lease);
            log_event!(
                Event::LeaseReleased,
                "-",
                "term={term} reason=store age {store_age} ms able_vms={able}"
            );
            self.announce_end(term);
            return;
        }
        let last_heard = others.iter().map(|(_, it)| it.at).max();
        if last_heard.is_some_and(|it| at.since(it) > ALONE_MS && at.since(it) < ALONE_FORGET_MS) {
            self.vms.lock().clear();
            log_event!(
                Event::LeaseReleased,
                "-",
                "term={term} reason=no report of another VM for {ALONE_MS} ms"
            );
            self.tenure.lock().term = 0;
            lease.step_down(at, REST_MS);
        }
    }

    fn order_ages(&self) -> OrderAges {
        let gap = self.entry.settings.order_gap_ms + ORDER_TRAVEL_MS;
        self.placement.lock().order_ages(gap, now())
    }

    /// Tells all other processes that this one's tenure has ended, so that one takes the lease at once.
    fn announce_end(&self, term: u64) {
        let resign = Resign {
            term,
            order_ages: self.order_ages(),
        };
        for member in self.entry.members() {
            let entry = Arc::clone(&self.entry);
            let resign = resign.clone();
            tokio::spawn(async move {
                let address = member.member.address;
                let told = peers::call::<_, bool>(&entry, address, "resign", &resign, RESIGN_TIMEOUT).await;
                if let Err(e) = told {
                    log::debug!("resignation to {address}: {e}");
                }
            });
        }
    }

    /// Takes the announcement of the coordinator that it has stopped.
    pub fn take_resignation(&self, resign: Resign) -> bool {
        let farewell = Farewell {
            term: resign.term,
            at: now(),
            order_ages: resign.order_ages,
        };
        *self.farewell.lock() = Some(farewell);
        true
    }

    fn decode(&self, object: &Object) -> Option<StoredLease> {
        let value: LeaseObject = serde_json::from_value(object.spec.clone()).ok()?;
        *self.last_held.lock() = (value.lease.term.0, value.held_ms);
        if value.lease.released {
            let farewell = Farewell {
                term: value.lease.term.0,
                at: now(),
                order_ages: OrderAges {
                    by_engine: value.order_ages.clone(),
                    others_ms: value.others_age_ms,
                },
            };
            self.farewell.lock().get_or_insert(farewell);
        } else {
            self.entry.note_coordinator(CoordinatorHint {
                vm: value.lease.holder.vm.as_str().to_owned(),
                address: value.address,
                term: value.lease.term.0,
            });
        }
        Some(StoredLease {
            version: object.revision,
            operation: value.operation,
            spec: value.lease,
        })
    }

    /// Follows the lease: a new tenure begins with empty buckets and unknown engines.
    fn note_tenure(&self, lease: &mut Lease) {
        for event in lease.take_events() {
            match event {
                LeaseEvent::Acquired(term) => self.begin(term),
                LeaseEvent::Released(term) => {
                    self.tenure.lock().term = 0;
                    log_event!(Event::LeaseReleased, "-", "term={}", term.0);
                    self.announce_end(term.0);
                }
                LeaseEvent::Lost(term) => {
                    self.tenure.lock().term = 0;
                    log_event!(Event::LeaseLost, "-", "term={}", term.0);
                }
            }
        }
        let held = lease.held_until(now());
        let mut tenure = self.tenure.lock();
        tenure.until = held.unwrap_or_default();
    }

    fn begin(&self, term: Term) {
        let at = now();
        let gap = self.entry.settings.order_gap_ms;
        let last_holder = self.entry.coordinator().filter(|it| it.term < term.0);
        let is_other = last_holder.as_ref().is_some_and(|it| it.vm != self.entry.settings.vm);
        let farewell = self.farewell.lock().take().filter(|it| it.term + 1 == term.0);
        self.tenure.lock().begin(term.0, at);
        self.quota.lock().clear();
        self.vms.lock().clear();
        let quiet = match &farewell {
            // This VM's own orders need no gap, but those of the holder before its earlier life may be recent.
            _ if !is_other => {
                let (last_term, held_ms) = *self.last_held.lock();
                let held_ms = if last_term + 1 == term.0 { held_ms } else { 0 };
                let wait = if term.0 == 1 {
                    0
                } else {
                    (gap + ORDER_TRAVEL_MS).saturating_sub(held_ms)
                };
                Quiet {
                    others_from: at + wait,
                    own_until: (term.0 > 1).then_some(at),
                    ..Quiet::default()
                }
            }
            None => Quiet {
                others_from: at + gap,
                ..Quiet::default()
            },
            Some(farewell) => {
                let quiet_from = farewell.at + gap + ORDER_TRAVEL_MS;
                let ages = farewell.order_ages.by_engine.iter();
                let others_ms = farewell.order_ages.others_ms;
                Quiet {
                    until: ages.map(|(engine, age)| (engine.clone(), quiet_from - *age)).collect(),
                    others_from: others_ms.map_or(at, |age| quiet_from - age),
                    own_until: None,
                }
            }
        };
        self.placement.lock().start_term(at, quiet);
        self.entry.note_coordinator(CoordinatorHint {
            vm: self.entry.settings.vm.clone(),
            address: self.entry.settings.advertised,
            term: term.0,
        });
        let predecessor = match (&farewell, is_other) {
            (_, false) => "none",
            (Some(_), true) => "resigned",
            (None, true) => "silent",
        };
        log_event!(Event::LeaseAcquired, "-", "term={} predecessor={predecessor}", term.0);
    }

    /// Tells this process, and through its feed the others, what engines hold.
    fn publish(&self) {
        let Some(term) = self.term() else {
            return;
        };
        let at = now();
        self.entry.note_coordinates(at);
        // Held until the changes are applied, so that they are applied in their order.
        let mut published = self.published.lock();
        let changes = {
            let mut placement = self.placement.lock();
            let version = (term, placement.version());
            let gather_ms = (placement.engine_count() / ENGINES_PER_MS) as u64;
            let is_whole = published.version.0 != term;
            let is_due = is_whole || at.since(published.at) >= gather_ms;
            (is_due && published.version != version).then(|| {
                *published = Published { version, at };
                let (present, gone) = placement.take_changes();
                Changes {
                    change: 0,
                    is_whole,
                    present,
                    gone,
                }
            })
        };
        self.entry.apply_placement(published.version, changes, at);
    }

    /// Decides and sends orders while this process coordinates.
    pub async fn place(self: Arc<Self>) {
        loop {
            if self.coordinates() {
                self.round();
            }
            let engines = self.placement.lock().engine_count();
            sleep(ROUND + Duration::from_millis((engines / ENGINES_PER_MS) as u64)).await;
        }
    }

    fn round(self: &Arc<Self>) {
        let at = now();
        let (polls, orders) = {
            let mut placement = self.placement.lock();
            self.update_inputs(&mut placement, at);
            let orders = placement.next_orders(at);
            (placement.polls(self.polls.available_permits(), at), orders)
        };
        for order in orders {
            tokio::spawn(Arc::clone(self).send(order));
        }
        for server in polls {
            tokio::spawn(Arc::clone(self).poll(server));
        }
        self.publish();
    }

    /// Passes changes of configuration and servers on to the placement.
    fn update_inputs(&self, placement: &mut Placement, at: Millis) {
        let config = self.entry.config();
        let version = config.as_ref().map_or(0, |it| it.config.version);
        let entries = self.entry.entries_taken();
        let (known_version, known_entries) = std::mem::replace(&mut *self.inputs.lock(), (version, entries));
        if let Some(config) = config.filter(|_| version != known_version) {
            let engines = config.config.services.iter();
            let specs = engines.filter_map(|(name, it)| Some((name.clone(), it.engine.clone()?)));
            placement.set_specs(specs.collect());
        }
        if (version, entries) != (known_version, known_entries) {
            let servers = self.entry.servers();
            placement.set_servers(servers.iter().map(AsRef::as_ref), at);
        }
    }

    async fn send(self: Arc<Self>, order: Order) {
        let Some(term) = self.term() else {
            let mut placement = self.placement.lock();
            placement.note_outcome(&order, OrderOutcome::Conflict, now());
            return;
        };
        let at = now();
        let holder = &self.entry.settings.vm;
        let outcome = engine::send_order(&*self.entry.http, &order, holder, term).await;
        let (event, label) = match outcome {
            OrderOutcome::Accepted => (Event::OrderSent, "accepted"),
            OrderOutcome::Done => (Event::OrderSent, "done"),
            OrderOutcome::Conflict => (Event::OrderFailed, "conflict"),
            OrderOutcome::Refused => (Event::OrderFailed, "refused"),
            OrderOutcome::Unanswered => (Event::OrderFailed, "unanswered"),
        };
        metrics::order(now().since(at), label);
        if order.kind == OrderKind::Load && outcome == OrderOutcome::Accepted {
            let tier = self.placement.lock().tier(&order.server, &order.model);
            metrics::load(tier.map_or("unknown", Tier::name));
        }
        log_event!(
            event,
            "-",
            "server={} kind={:?} model={} follows={} term={term} outcome={outcome:?} took_ms={}",
            order.server,
            order.kind,
            order.model,
            order.follows,
            now().since(at)
        );
        self.placement.lock().note_outcome(&order, outcome, now());
        self.publish();
    }

    async fn poll(self: Arc<Self>, server: guava_fleet::model::BackendServer) {
        let _place = self.polls.acquire().await;
        match engine::report(&*self.entry.http, &server).await {
            Ok(report) => {
                let changed = self.placement.lock().note_state(&server.id, &report, now());
                if changed {
                    let held: Vec<&str> = report.held.iter().map(|it| it.name.as_str()).collect();
                    log_event!(
                        Event::EngineState,
                        "-",
                        "server={} orders={} held={}",
                        server.id,
                        report.orders,
                        held.join(",")
                    );
                }
            }
            Err(e) => {
                log::debug!("report of {}: {e}", server.id);
                self.placement.lock().note_poll_failed(&server.id, now());
            }
        }
        self.publish();
    }
}
