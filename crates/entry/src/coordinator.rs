//! Coordinator: the one process that orders loads and grants tokens from the central share of organisations' rate
//! limits.
//!
//! It is elected by a lease in the store. The lease is checked again before each order, on a clock that also counts
//! suspended time. A process that takes over from another VM sends its first order only when the last order that its
//! predecessor could have sent is old enough.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guava_core::derive_value;
use guava_core::events::Event;
use guava_core::ids::{Incarnation, MemberId, OperationId, Role, Term};
use guava_core::lease::{
    ACTIVE_CANDIDATES, Candidacy, Lease, LeaseCall, LeaseEvent, LeaseSpec, StoredLease, Timing, WriteOutcome, era_of,
};
use guava_core::units::Millis;
use guava_fleet::health::SharedHealth;
use guava_fleet::model::StoreRevision;
use guava_fleet::placement::{Order, OrderAges, OrderKind, OrderOutcome, Placement, QuietPeriods, Tier, Wait};
use guava_fleet::quota::{Buckets, LOCAL_PART};
use guava_fleet::statements::Statements;
use guava_fleet::succession::WIDENING_MS;
use guava_platform::headers::Unreadable;
use guava_platform::store::{Object, Written};
use guava_platform::{CallError, engine};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::changes::Changes;
use crate::feed;
use crate::log_event;
use crate::metrics;
use crate::peers::{self, QuotaAnswer, QuotaRequest, Report, ReportAnswer, ReportExtension, Resign};
use crate::state::{CoordinatorHint, EntryState, LARGE_FLEET_VMS, now};

/// Kind of the lease object in the store.
const LEASE_KIND: &str = "guava-leases";
const LEASE_NAME: &str = "coordinator";
/// Short enough that cold starts resume within seconds after the loss of a VM, long enough for a few renewals while the
/// store is slow.
const LEASE_TIMING: Timing = Timing {
    duration_ms: 3_000,
    renew_ms: 800,
    margin_ms: 500,
    rank_delay_ms: 150,
    candidate_read_ms: 400,
    retry_ms: 250,
};
/// Time without a sign of an active coordinator in the feed after which this process reads the lease.
const COORDINATOR_CONTACT_MS: u64 = 1_400;
/// Pause between two rounds of placement decisions in a small fleet, and between two steps of the lease.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// For each multiple of this number of engines, rounds and published changes are 1 ms further apart: a round examines
/// every engine, which takes 1 µs each, and each change is sent to every follower.
const ENGINES_PER_EXTRA_MS: usize = 50;
/// Fraction of the polls of cold engines that are sent.
const COLD_POLLS: f64 = 0.5;
/// Limit on concurrent polls of engines. A new coordinator polls all engines, and each poll needs a connection.
const MAX_CONCURRENT_POLLS: usize = 64;
/// Time without an answer of the store after which the coordinator releases the lease if another VM reaches the store.
const STORE_LOST_MS: u64 = 1_300;
/// Time without a connection to a server after which a coordinator steps down, in milliseconds. A VM that meets several
/// crashed servers in a row finds another one within about a second.
const CUT_OFF_MS: u64 = 2_000;
/// Another VM counts as reaching the store if the store answered it within this time; its watches wait for 2 s.
const STORE_REACHABLE_MS: u64 = 2_300;
/// Age up to which a VM's report counts as evidence of its contact with the store.
const REPORT_FRESH_MS: u64 = 700;
/// Time for which a coordinator that stepped down does not compete for the lease.
const STEP_DOWN_PAUSE_MS: u64 = 2_000;
/// Time without reports of other VMs after which the coordinator counts as isolated; they report four times a second.
const ISOLATED_MS: u64 = 1_500;
/// Time without reports after which the other VMs count as stopped rather than unreachable, and the coordinator keeps
/// the lease.
const PEERS_STOPPED_MS: u64 = 4_000;
/// Time in milliseconds for which a coordinator stays in office although VMs with more processor time are live, if
/// these did not acquire the lease when it was free.
const SUBSTITUTE_TERM_MS: u64 = 10_000;
/// Time after the start of a term when the coordinator checks whether VMs with more processor time are live; by then it
/// knows most members.
const CANDIDATE_CHECK_DELAY_MS: u64 = 1_000;
/// Interval of that check, in milliseconds; it sorts all members.
const CANDIDATE_CHECK_INTERVAL_MS: u64 = 500;
/// Timeout for announcing the start or end of a term to another process.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an order may still be in transit when its sender reports the order's age: the timeout of the call,
/// and some time for bytes that were sent before it.
const ORDER_IN_TRANSIT_MS: u64 = 500;
/// Interval at which the part of the report answers that is the same for all VMs is computed in a large fleet.
/// Computing it examines all engines, and a large fleet sends 90 reports a second.
const SHARED_ANSWER_INTERVAL_MS: u64 = 100;
/// Largest number of waits that are sent to every VM; above it, a VM receives only those of the models that it
/// reported.
const MAX_UNFILTERED_WAITS: usize = 64;

derive_value! {
    /// Value of the lease object in the store.
    struct LeaseObject {
        lease: LeaseSpec,
        operation: OperationId,
        address: SocketAddr,
        /// Milliseconds for which this term has been held. A restarted process of the same VM uses it to decide whether
        /// engines may still process orders of an earlier holder.
        held_ms: u64,
        /// Milliseconds since the last possible order, by engine. Only set when the lease is released.
        order_ages: Vec<(String, u64)>,
        /// The same for all other engines; `None` when their last possible order is too long ago to matter.
        others_age_ms: Option<u64>,
    }
}

#[derive(Debug, Default)]
struct LeaseState {
    /// Term; zero while the process is not the coordinator.
    term: u64,
    /// Until when the process may act as coordinator.
    until: Millis,
    /// Start of the term.
    started: Millis,
    /// End of the time in which the predecessor may have granted tokens.
    granted_until: Millis,
    /// Whether the lease was free for so long that VMs competed which are not preferred.
    is_substitute: bool,
    /// Whether nobody held the lease before.
    is_first: bool,
    /// When it was last checked whether this VM is preferred.
    checked: Millis,
}

impl LeaseState {
    fn held_ms(&self, term: u64, at: Millis) -> u64 {
        if self.term == term { at.since(self.started) } else { 0 }
    }
}

/// A VM's contact with the store, from its last report.
#[derive(Debug, Clone)]
struct VmContact {
    at: Millis,
    store_age_ms: u64,
    is_cut_off: bool,
}

impl VmContact {
    /// Milliseconds since the store last answered the VM, as far as its report shows.
    fn store_age_at(&self, now: Millis) -> u64 {
        self.store_age_ms.saturating_add(now.since(self.at))
    }
}

/// End of a term that its holder announced.
#[derive(Debug, Clone)]
struct Resignation {
    term: u64,
    at: Millis,
    order_ages: OrderAges,
    successor: Option<String>,
}

/// Part of the answer to a report that is the same for all VMs.
#[derive(Debug, Default)]
struct SharedAnswer {
    at: Millis,
    waits: Vec<Wait>,
    loads: Vec<(String, u32)>,
}

impl SharedAnswer {
    /// Returns the waits for models; if there are many, only those of the requested models.
    fn waits_for(&self, requested_models: &HashSet<String>, now: Millis) -> Vec<Wait> {
        let fits_all = self.waits.len() <= MAX_UNFILTERED_WAITS;
        let waits = self
            .waits
            .iter()
            .filter(|it| fits_all || requested_models.contains(&it.model));
        let mut waits: Vec<Wait> = waits.cloned().collect();
        let age = now.since(self.at);
        for wait in &mut waits {
            wait.ms = wait.ms.saturating_sub(age);
        }
        waits
    }
}

/// Coordinator of the deployment; inactive while another process holds the lease.
#[derive(Debug)]
pub struct Coordinator {
    state: Arc<EntryState>,
    placement: Mutex<Placement>,
    quota: Mutex<Buckets>,
    lease_state: Mutex<LeaseState>,
    vms: Mutex<HashMap<String, VmContact>>,
    shared_answer: Mutex<SharedAnswer>,
    /// Outcomes of requests reported by the VMs.
    health: Mutex<SharedHealth>,
    resignation: Mutex<Option<Resignation>>,
    /// Since when this process, as the coordinator, reaches no server; `None` if it does.
    cut_off_since: Mutex<Option<Millis>>,
    /// Term of the lease as last read, and for how many milliseconds it had been held.
    last_read_lease: Mutex<(u64, u64)>,
    /// Version of the configuration and counter of server updates last passed to the placement.
    seen_inputs: Mutex<(u64, u64)>,
    /// Placement last published to this process and its followers.
    published: Mutex<Published>,
    poll_permits: Semaphore,
}

#[derive(Debug, Default)]
struct Published {
    /// Term, and version of the placement within it.
    version: (u64, u64),
    at: Millis,
}

impl Coordinator {
    /// Creates an inactive coordinator without a lease.
    pub fn new(state: Arc<EntryState>) -> Self {
        Self {
            state,
            placement: Mutex::default(),
            quota: Mutex::default(),
            lease_state: Mutex::default(),
            vms: Mutex::default(),
            shared_answer: Mutex::default(),
            health: Mutex::default(),
            resignation: Mutex::default(),
            cut_off_since: Mutex::default(),
            last_read_lease: Mutex::default(),
            seen_inputs: Mutex::default(),
            published: Mutex::default(),
            poll_permits: Semaphore::new(MAX_CONCURRENT_POLLS),
        }
    }

    /// Whether this process holds the lease and may act as the coordinator.
    pub fn coordinates(&self) -> bool {
        self.term().is_some()
    }

    fn term(&self) -> Option<u64> {
        let lease_state = self.lease_state.lock();
        (lease_state.term > 0 && now() < lease_state.until).then_some(lease_state.term)
    }

    /// Handles a VM's report of its demand, running requests and outcomes.
    pub fn handle_report(&self, report: Report, extension: ReportExtension) -> ReportAnswer {
        let coordinates = self.coordinates();
        let at = now();
        let contact = VmContact {
            at,
            store_age_ms: report.store_age_ms,
            is_cut_off: report.is_cut_off,
        };
        self.vms.lock().insert(report.vm.clone(), contact);
        let failures = {
            let mut health = self.health.lock();
            health.note(&report.vm, report.outcomes, at);
            health.failures(at)
        };
        let requested_models: HashSet<String> = report.demand.iter().map(|it| it.model.clone()).collect();
        let mut placement = self.placement.lock();
        placement.record_report(&report.vm, report.demand, report.running, report.next_ms, at);
        placement.record_needs(&report.vm, extension.needs);
        placement.record_lacking(extension.lacking, at);
        placement.record_rests(&report.vm, report.rests, at);
        let is_large = self.vms.lock().len() > LARGE_FLEET_VMS;
        let mut shared_answer = self.shared_answer.lock();
        if !is_large || at.since(shared_answer.at) >= SHARED_ANSWER_INTERVAL_MS {
            *shared_answer = SharedAnswer {
                at,
                waits: placement.waits(at),
                loads: placement.published_loads(at),
            };
        }
        let waits = if coordinates {
            shared_answer.waits_for(&requested_models, at)
        } else {
            Vec::new()
        };
        ReportAnswer {
            coordinates,
            loads: shared_answer.loads.clone(),
            waits,
            failures,
        }
    }

    /// Takes tokens from the central share of an organisation's rate limit, if this process is the coordinator.
    pub fn handle_quota_request(&self, request: &QuotaRequest) -> QuotaAnswer {
        let refused = QuotaAnswer {
            coordinates: false,
            granted: false,
            wait_ms: 0,
        };
        let config = self.state.config();
        let config = config.filter(|_| self.coordinates());
        // Other values would let the level of the bucket grow.
        let is_valid = request.tokens.is_finite() && request.tokens >= 0.0;
        let Some(config) = config.filter(|_| is_valid) else {
            return refused;
        };
        let organisations = &config.config.organisations;
        let Some(organisation) = organisations.iter().find(|it| it.name == request.organisation) else {
            return refused;
        };
        let at = now();
        let central_share = 1.0 - LOCAL_PART;
        let (rate, burst) = (organisation.rate * central_share, organisation.burst * central_share);
        let mut quota = self.quota.lock();
        // A new coordinator does not know what its predecessor granted, so its buckets were empty at the end of that
        // term. The first term has no predecessor, so its buckets start full.
        let (is_first, granted_until) = {
            let lease_state = self.lease_state.lock();
            (lease_state.is_first, lease_state.granted_until)
        };
        let initial_level = if is_first { 1.0 } else { 0.0 };
        let bucket = quota.bucket(granted_until, &organisation.name, rate, burst, initial_level);
        let reserved = bucket.reserve(at, request.tokens, request.max_wait_ms);
        QuotaAnswer {
            coordinates: true,
            granted: reserved.is_ok(),
            wait_ms: reserved.unwrap_or_else(|wait| wait),
        }
    }

    /// Acquires, renews and releases the lease for as long as the process runs.
    pub async fn maintain_lease(self: Arc<Self>) {
        let own_id = MemberId::new(&self.state.settings.vm, Role::Controller);
        let mut lease = Lease::with_timing(own_id, Incarnation(self.state.incarnation), LEASE_TIMING);
        let mut is_released = false;
        loop {
            let at = now();
            lease.observe_era(self.state.store_era(), at);
            if self.state.is_stopping() && !is_released {
                lease.release();
                is_released = true;
            }
            self.release_if_isolated(&mut lease, at);
            self.release_if_not_preferred(&mut lease, at);
            let has_contact = self.state.coordination_age_ms(at) < COORDINATOR_CONTACT_MS;
            let current = self.state.coordinator().map_or(0, |it| it.term);
            let has_resigned = self.resignation.lock().as_ref().is_some_and(|it| it.term >= current);
            let has_contact = has_contact && !has_resigned;
            if lease.is_holder() || !has_contact {
                let candidacy = if lease.is_holder() {
                    Candidacy::default()
                } else {
                    self.candidacy(&lease)
                };
                let call = lease.step(candidacy, at, &mut rand::rng());
                if let Some(call) = call {
                    self.execute_call(&mut lease, call).await;
                }
            } else {
                lease.refresh();
            }
            self.apply_lease_events(&mut lease);
            sleep(ROUND_PAUSE).await;
        }
    }

    fn candidacy(&self, lease: &Lease) -> Candidacy {
        let at = now();
        let own_vm = self.state.settings.vm.as_str();
        let vacant_ms = self.vacant_ms(at);
        let (rank, is_preferred) = self.state.with_succession(LEASE_NAME, at, |succession| {
            (succession.rank(own_vm, vacant_ms), succession.prefers(own_vm))
        });
        // A lease held by an earlier process of this VM is free, because that process has ended.
        let resignation = self.resignation.lock();
        let ended = |it: &LeaseSpec| {
            let is_earlier_process = it.holder.vm.as_str() == own_vm && it.incarnation.0 < self.state.incarnation;
            is_earlier_process || resignation.as_ref().is_some_and(|end| end.term == it.term.0)
        };
        let holder_ended = lease.seen().is_some_and(ended);
        let is_named = resignation.as_ref().is_some_and(|end| {
            let is_last = lease.seen().is_none_or(|it| it.term.0 == end.term);
            is_last && end.successor.as_deref() == Some(own_vm)
        });
        // A VM without links to servers cannot order loads; it waits until the others had their turn.
        let min_rank = if self.state.is_cut_off(at) {
            ACTIVE_CANDIDATES - 1
        } else {
            0
        };
        let rank = match lease.seen() {
            _ if is_named => Some(0),
            // Until the first read it is unknown whether this VM held the lease last, so the process must be among the
            // candidates that read it.
            None if is_preferred => rank.or(Some(ACTIVE_CANDIDATES - 1)),
            // The VM of the last holder needs no quiet period before its first order, so it comes first.
            Some(seen) if seen.holder.vm.as_str() == own_vm && is_preferred => Some(0),
            _ => rank,
        };
        Candidacy {
            rank: rank.map(|it| it.max(min_rank)),
            holder_ended,
            is_first_start: self.state.is_first_start(),
        }
    }

    /// Milliseconds for which no process has been known to be the coordinator.
    fn vacant_ms(&self, at: Millis) -> u64 {
        let current = self.state.coordinator().map_or(0, |it| it.term);
        let resigned = self
            .resignation
            .lock()
            .as_ref()
            .filter(|it| it.term >= current)
            .map(|it| it.at);
        let silent_since = at - self.state.coordination_age_ms(at).min(self.state.uptime_ms(at));
        at.since(resigned.unwrap_or(silent_since + COORDINATOR_CONTACT_MS))
    }

    /// Steps down if VMs with more processor time are live. This process acquires the lease before them if it does not
    /// know them yet, because it has just started, or if the store turns them away; then it stays for a while.
    fn release_if_not_preferred(&self, lease: &mut Lease, at: Millis) {
        let Some(term) = self.term() else {
            return;
        };
        let is_due = {
            let mut lease_state = self.lease_state.lock();
            let min_term_ms = if lease_state.is_substitute {
                SUBSTITUTE_TERM_MS
            } else {
                CANDIDATE_CHECK_DELAY_MS
            };
            let is_due = at.since(lease_state.started) > min_term_ms
                && at.since(lease_state.checked) > CANDIDATE_CHECK_INTERVAL_MS;
            if is_due {
                lease_state.checked = at;
            }
            is_due
        };
        let own_vm = self.state.settings.vm.as_str();
        if !is_due || self.state.with_succession(LEASE_NAME, at, |it| it.prefers(own_vm)) {
            return;
        }
        log_event!(
            Event::LeaseReleased,
            "-",
            "term={term} reason=VMs with more processor time are live"
        );
        self.lease_state.lock().term = 0;
        lease.step_down(at, STEP_DOWN_PAUSE_MS);
    }

    async fn execute_call(&self, lease: &mut Lease, call: LeaseCall) {
        let store = &self.state.store;
        match &call {
            LeaseCall::Read => match store.get(LEASE_KIND, LEASE_NAME).await {
                Ok(found) => {
                    self.state.record_store_contact(found.era, now());
                    lease.observe_era(found.era, now());
                    if found.era < lease.era() {
                        return lease.on_read_failed(now());
                    }
                    let stored = found.object.as_ref().and_then(|it| self.decode(it));
                    lease.on_read(stored, now());
                }
                Err(_) => lease.on_read_failed(now()),
            },
            LeaseCall::Write {
                spec,
                expect,
                operation,
            } => {
                let held_ms = self.lease_state.lock().held_ms(spec.term.0, now());
                let order_ages = if spec.released {
                    // No order may follow the ages that the successor learns.
                    self.lease_state.lock().term = 0;
                    self.order_ages()
                } else {
                    OrderAges::default()
                };
                let object = LeaseObject {
                    lease: spec.clone(),
                    operation: operation.clone(),
                    address: self.state.settings.advertised,
                    held_ms,
                    order_ages: order_ages.by_engine,
                    others_age_ms: order_ages.others_ms,
                };
                let value = json!(object);
                let written = match expect {
                    None => store.create(LEASE_KIND, LEASE_NAME, &value).await,
                    Some(number) => {
                        let era = lease.era();
                        let revision = StoreRevision { era, number: *number };
                        store.replace(LEASE_KIND, LEASE_NAME, &value, Some(revision)).await
                    }
                };
                let outcome = match written {
                    Ok(Written::Done(object)) => {
                        let StoreRevision { era, number } = object.revision;
                        self.state.record_store_contact(era, now());
                        if era == lease.era() {
                            WriteOutcome::Done { version: number }
                        } else {
                            WriteOutcome::Unknown
                        }
                    }
                    Ok(Written::Conflict(found)) => {
                        let era = found.map_or(0, |it| it.revision.era);
                        self.state.record_store_contact(era, now());
                        WriteOutcome::Conflict
                    }
                    Err(CallError::NotRun(_)) => WriteOutcome::NotRun,
                    Err(_) => WriteOutcome::Unknown,
                };
                lease.on_write(&call, outcome, now());
            }
        }
    }

    /// Releases the lease when the store does not answer this process but answers another VM, or when other VMs have
    /// recently stopped reporting to this process.
    fn release_if_isolated(&self, lease: &mut Lease, at: Millis) {
        let Some(term) = self.term() else {
            return;
        };
        let store_age = self.state.store_age_ms(at);
        let (able, last_report) = {
            let contacts = self.vms.lock();
            let others = contacts.iter().filter(|(vm, _)| **vm != self.state.settings.vm);
            let others = others.map(|(_, contact)| contact);
            let fresh = others.clone().filter(|it| at.since(it.at) < REPORT_FRESH_MS);
            let able = fresh.filter(|it| it.store_age_ms < STORE_REACHABLE_MS).count();
            (able, others.map(|it| it.at).max())
        };
        if store_age > STORE_LOST_MS {
            if able == 0 && self.state.follower_store_age_ms(at) > STORE_REACHABLE_MS {
                return;
            }
            log_event!(
                Event::LeaseReleased,
                "-",
                "term={term} reason=store age {store_age} ms able_vms={able}"
            );
            lease.abandon(at, STEP_DOWN_PAUSE_MS);
            self.apply_lease_events(lease);
            return;
        }
        let is_able = |it: &VmContact| at.since(it.at) < REPORT_FRESH_MS && !it.is_cut_off;
        let mut cut_off_since = self.cut_off_since.lock();
        if self.state.is_cut_off(at) {
            cut_off_since.get_or_insert(at);
        } else {
            *cut_off_since = None;
        }
        let is_cut_off = cut_off_since.is_some_and(|it| at.since(it) >= CUT_OFF_MS);
        drop(cut_off_since);
        if is_cut_off && self.vms.lock().values().any(is_able) {
            log_event!(
                Event::LeaseReleased,
                "-",
                "term={term} reason=this VM reaches no server and others do"
            );
            self.lease_state.lock().term = 0;
            lease.step_down(at, STEP_DOWN_PAUSE_MS);
            return;
        }
        if last_report.is_some_and(|it| at.since(it) > ISOLATED_MS && at.since(it) < PEERS_STOPPED_MS) {
            self.vms.lock().clear();
            log_event!(
                Event::LeaseReleased,
                "-",
                "term={term} reason=no report of another VM for {ISOLATED_MS} ms"
            );
            self.lease_state.lock().term = 0;
            lease.step_down(at, STEP_DOWN_PAUSE_MS);
        }
    }

    fn order_ages(&self) -> OrderAges {
        let gap = self.state.settings.order_gap_ms + ORDER_IN_TRANSIT_MS;
        self.placement.lock().order_ages(gap, now())
    }

    /// First VM in the succession that the store has answered after it last answered this one. `None` if no report shows
    /// one, or if this process has had no contact with the store.
    fn served_successor(&self, at: Millis) -> Option<String> {
        let own_age = self.state.store_age_ms(at);
        let contacts = self.vms.lock();
        let is_served = |vm: &str| contacts.get(vm).is_some_and(|it| it.store_age_at(at) < own_age);
        let own_vm = self.state.settings.vm.as_str();
        self.state.with_succession(LEASE_NAME, at, |succession| {
            let others = succession.order().iter().filter(|it| **it != own_vm);
            let first = others.copied().find(|it| is_served(it));
            first.map(str::to_owned)
        })
    }

    /// Notifies all other processes that this one's term has ended, so that one acquires the lease at once.
    fn announce_resignation(&self, term: u64, successor: Option<String>) {
        let resign = Resign {
            term,
            order_ages: self.order_ages(),
            successor,
        };
        let members = self.state.members();
        self.announce::<_, bool>("resign", &resign, members.iter().map(|it| it.member.address));
    }

    /// Sends a message to other processes without waiting for their answers.
    fn announce<M, A>(&self, name: &'static str, message: &M, to: impl IntoIterator<Item = SocketAddr>)
    where
        M: Serialize + Clone + Send + Sync + 'static,
        A: DeserializeOwned + Send,
    {
        for address in to {
            let state = Arc::clone(&self.state);
            let message = message.clone();
            tokio::spawn(async move {
                let sent = peers::call::<_, A>(&state, address, name, &message, ANNOUNCE_TIMEOUT).await;
                if let Err(e) = sent {
                    log::debug!("{name} notice to {address} failed: {e}");
                }
            });
        }
    }

    /// Records that the coordinator has ended its term. Always returns true, which is the answer to the message.
    pub fn handle_resignation(&self, resign: Resign) -> bool {
        let mut resignation = self.resignation.lock();
        if resignation.as_ref().is_none_or(|it| it.term <= resign.term) {
            *resignation = Some(Resignation {
                term: resign.term,
                at: now(),
                order_ages: resign.order_ages,
                successor: resign.successor,
            });
        }
        true
    }

    /// Term whose end was announced last, until this process starts a term.
    pub fn last_resigned_term(&self) -> Option<u64> {
        self.resignation.lock().as_ref().map(|it| it.term)
    }

    fn decode(&self, object: &Object) -> Option<StoredLease> {
        let value: LeaseObject = serde_json::from_value(object.spec.clone()).ok()?;
        *self.last_read_lease.lock() = (value.lease.term.0, value.held_ms);
        // The term of an older copy may have been followed by others since.
        let is_leftover = era_of(value.lease.term) < object.revision.era;
        if value.lease.released && is_leftover {
            log::debug!(
                "the lease of an earlier era was released in term {}",
                value.lease.term.0
            );
        } else if value.lease.released {
            let resignation = Resignation {
                term: value.lease.term.0,
                at: now(),
                order_ages: OrderAges {
                    by_engine: value.order_ages.clone(),
                    others_ms: value.others_age_ms,
                },
                successor: None,
            };
            self.resignation.lock().get_or_insert(resignation);
        } else {
            self.state.record_coordinator(CoordinatorHint {
                vm: value.lease.holder.vm.as_str().to_owned(),
                address: value.address,
                term: value.lease.term.0,
            });
        }
        Some(StoredLease {
            version: object.revision.number,
            operation: value.operation,
            spec: value.lease,
        })
    }

    /// Whether the predecessor named this VM as its successor for a term.
    fn is_named_successor(&self, term: Term) -> bool {
        let resignation = self.resignation.lock();
        let named = resignation.as_ref().filter(|it| it.term + 1 == term.0);
        named.and_then(|it| it.successor.as_ref()) == Some(&self.state.settings.vm)
    }

    /// Applies lease events and the lease's expiry. A new term starts with empty buckets and unknown engine states.
    fn apply_lease_events(&self, lease: &mut Lease) {
        for event in lease.take_events() {
            match event {
                LeaseEvent::Acquired(term) => self.start_term(term, lease.is_first()),
                LeaseEvent::Reissued(term) => self.continue_term(term),
                LeaseEvent::Released(term) => {
                    self.lease_state.lock().term = 0;
                    log_event!(Event::LeaseReleased, "-", "term={}", term.0);
                    self.announce_resignation(term.0, None);
                }
                LeaseEvent::Lost(term) => {
                    self.lease_state.lock().term = 0;
                    let successor = self.served_successor(now());
                    let name = successor.as_deref().unwrap_or("-");
                    log_event!(Event::LeaseLost, "-", "term={} successor={name}", term.0);
                    // Without this, the others wait until the lease expires on their clocks.
                    let is_current = self.state.coordinator().is_none_or(|it| it.term <= term.0);
                    if is_current {
                        self.announce_resignation(term.0, successor);
                    }
                }
            }
        }
        let held = lease.held_until(now());
        let mut lease_state = self.lease_state.lock();
        lease_state.until = held.unwrap_or_default();
    }

    /// Goes on as the coordinator under a new term, after the store was restored.
    fn continue_term(&self, term: Term) {
        let previous = std::mem::replace(&mut self.lease_state.lock().term, term.0);
        log_event!(Event::LeaseReissued, "-", "term={} previous={previous}", term.0);
        self.announce_term(term);
    }

    /// Records this process as the coordinator, and tells its direct followers, which pass it on by their feeds.
    fn announce_term(&self, term: Term) {
        let hint = CoordinatorHint {
            vm: self.state.settings.vm.clone(),
            address: self.state.settings.advertised,
            term: term.0,
        };
        self.state.record_coordinator(hint.clone());
        self.announce::<_, ()>("coordinator", &hint, feed::direct_followers(&self.state));
    }

    fn start_term(&self, term: Term, is_first: bool) {
        let at = now();
        let gap = self.state.settings.order_gap_ms;
        let previous_holder = self.state.coordinator().filter(|it| it.term < term.0);
        let is_other_vm = previous_holder
            .as_ref()
            .is_some_and(|it| it.vm != self.state.settings.vm);
        let is_substitute = self.vacant_ms(at) >= WIDENING_MS || self.is_named_successor(term);
        let resignation = self.resignation.lock().take().filter(|it| it.term + 1 == term.0);
        let is_first_term = self.lease_state.lock().started == Millis::default();
        let granted_until = match &resignation {
            Some(resignation) => resignation.at,
            // An earlier process of this VM ended before this one started.
            None if !is_other_vm && is_first_term => at - self.state.uptime_ms(at),
            None => at,
        };
        *self.lease_state.lock() = LeaseState {
            term: term.0,
            started: at,
            granted_until,
            is_substitute,
            is_first,
            ..LeaseState::default()
        };
        self.quota.lock().clear();
        self.vms.lock().clear();
        let quiet = match &resignation {
            // The last known holder was an earlier process of this VM, or there is none. Orders from this VM need no
            // quiet period, but a holder on another VM may have sent orders shortly before that process's term.
            _ if !is_other_vm => {
                let (last_term, held_ms) = *self.last_read_lease.lock();
                let held_ms = if last_term + 1 == term.0 { held_ms } else { 0 };
                let wait = if is_first {
                    0
                } else {
                    (gap + ORDER_IN_TRANSIT_MS).saturating_sub(held_ms)
                };
                QuietPeriods {
                    others_from: at + wait,
                    own_until: (!is_first).then_some(at),
                    ..QuietPeriods::default()
                }
            }
            None => QuietPeriods {
                others_from: at + gap,
                ..QuietPeriods::default()
            },
            Some(resignation) => {
                let quiet_from = resignation.at + gap + ORDER_IN_TRANSIT_MS;
                let ages = resignation.order_ages.by_engine.iter();
                let others_ms = resignation.order_ages.others_ms;
                QuietPeriods {
                    until: ages.map(|(engine, age)| (engine.clone(), quiet_from - *age)).collect(),
                    others_from: others_ms.map_or(at, |age| quiet_from - age),
                    own_until: None,
                }
            }
        };
        self.placement.lock().start_term(at, quiet);
        let predecessor = match (&resignation, is_other_vm) {
            (_, false) => "none",
            (Some(_), true) => "resigned",
            (None, true) => "silent",
        };
        log_event!(Event::LeaseAcquired, "-", "term={} predecessor={predecessor}", term.0);
        self.announce_term(term);
    }

    /// Publishes the placement to this process and, through its feed, to the others.
    fn publish(&self) {
        let Some(term) = self.term() else {
            return;
        };
        let at = now();
        self.state.record_own_coordination(at);
        // Locked until the changes are applied, so that concurrent calls apply them in order.
        let mut published = self.published.lock();
        let changes = {
            let mut placement = self.placement.lock();
            let version = (term, placement.version());
            let batch_ms = (placement.engine_count() / ENGINES_PER_EXTRA_MS) as u64;
            let is_whole = published.version.0 != term;
            let is_due = is_whole || at.since(published.at) >= batch_ms;
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
        self.state.apply_placement(published.version, changes, at);
    }

    /// Makes placement decisions and sends orders while this process is the coordinator.
    pub async fn run_placement(self: Arc<Self>) {
        loop {
            if self.coordinates() {
                self.placement_round();
            }
            let engines = self.placement.lock().engine_count();
            sleep(ROUND_PAUSE + Duration::from_millis((engines / ENGINES_PER_EXTRA_MS) as u64)).await;
        }
    }

    fn placement_round(self: &Arc<Self>) {
        let at = now();
        if !self.state.knows_evacuations(at) {
            self.publish();
            return;
        }
        let (polls, orders) = {
            let mut placement = self.placement.lock();
            self.update_inputs(&mut placement, at);
            placement.set_rests(&self.state.rests(0, at), at);
            placement.set_evacuated(self.state.evacuated_zones());
            let orders = placement.next_orders(at);
            (placement.polls(self.poll_permits.available_permits(), at), orders)
        };
        for order in orders {
            tokio::spawn(Arc::clone(self).send_order(order));
        }
        for server in polls {
            tokio::spawn(Arc::clone(self).poll_engine(server));
        }
        self.publish();
    }

    /// Passes a changed configuration or changed servers to the placement.
    fn update_inputs(&self, placement: &mut Placement, at: Millis) {
        let config = self.state.config();
        let version = config.as_ref().map_or(0, |it| it.config.version);
        let updates = self.state.server_updates();
        let (known_version, known_updates) = std::mem::replace(&mut *self.seen_inputs.lock(), (version, updates));
        if let Some(config) = config.filter(|_| version != known_version) {
            let engines = config.config.services.iter();
            let specs = engines.filter_map(|(name, it)| Some((name.clone(), it.engine.clone()?)));
            placement.set_specs(specs.collect());
        }
        if (version, updates) != (known_version, known_updates) {
            let servers = self.state.servers();
            placement.set_servers(servers.iter().map(AsRef::as_ref), at);
        }
    }

    async fn send_order(self: Arc<Self>, order: Order) {
        // The order was decided a moment ago; meanwhile the server may have stated that it leaves or wants a rest.
        let server = self
            .state
            .server(&order.server)
            .filter(|it| it.address == order.address);
        let server = server.filter(|it| self.state.takes_requests(it, now()));
        let (Some(term), Some(server)) = (self.term(), server) else {
            let mut placement = self.placement.lock();
            placement.record_outcome(&order, OrderOutcome::Conflict, now());
            return;
        };
        let at = now();
        let holder = &self.state.settings.vm;
        let sink = |stated: &Statements, unreadable: &[Unreadable]| {
            self.state.record_statements("order", &server, stated, unreadable);
        };
        let outcome = engine::send_order(&*self.state.clients.orders, &order, holder, term, &sink).await;
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
        self.placement.lock().record_outcome(&order, outcome, now());
        self.publish();
    }

    async fn poll_engine(self: Arc<Self>, server: guava_fleet::model::BackendServer) {
        let _permit = self.poll_permits.acquire().await;
        if !self.state.takes_requests(&server, now()) {
            return;
        }
        // A cold engine bears few requests; without an answer it is polled again after the poll's timeout.
        if let Some(limit) = self.state.cold_limit(&server, now()) {
            let is_due = rand::random_bool(COLD_POLLS);
            if !is_due || peers::request_cold_place(&self.state, &limit, 0).await.is_err() {
                return;
            }
        }
        let sink = |stated: &Statements, unreadable: &[Unreadable]| {
            self.state.record_statements("report", &server, stated, unreadable);
        };
        match engine::fetch_report(&*self.state.clients.reports, &server, &sink).await {
            Ok(report) => {
                let changed = self.placement.lock().record_state(&server.id, &report, now());
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
                log::debug!("poll of {} failed: {e}", server.id);
                self.placement.lock().record_poll_failure(&server.id, now());
            }
        }
        self.publish();
    }
}
