//! Acquires, hands over and rebalances shares.
//!
//! The share map of each organisation is an object of the object service; routers distribute its newest version as a
//! gossip entry.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use guava_core::config::{Kind, Organisation};
use guava_core::events::Event;
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{MemberId, OperationId, OrganisationName, Role, Term};
use guava_core::quota::{Limits, RouterIncarnation, ShareMap, plan_holders};
use guava_core::units::Millis;
use guava_node::MemberInfo;
use guava_objects::{Expect, PlatformError, StoredObject};
use rand::Rng;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::RecvError;

use super::QuotaService;
use super::account::{Account, PendingHandover, VersionedMap};
use super::rpc::{HANDOVER, HandoverParams};

/// Range of the random interval at which share maps are checked.
const CHECK_INTERVAL_MS: std::ops::Range<u64> = 800..1_200;

/// Delay before the share map is adapted to the live routers, so that brief changes of that list move no shares.
///
/// A share is handed over once shares held here have been planned for other routers for this time. A router for which
/// no share is planned creates a missing map only after this time.
const STABLE_MS: u64 = 10_000;

/// Attempts to write a hand-over during one check, and attempts to send its state.
const HANDOVER_ATTEMPTS: usize = 5;

const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Age at which the list of live routers is read again during a check, which may take seconds if calls are slow.
const MAX_LIVE_AGE_MS: u64 = 200;

/// Live routers, read once for the checks of many organisations.
#[derive(Debug, Default)]
struct LiveRouters {
    /// Increases with each change of `routers`; 0 before the first update.
    generation: u64,
    read_at: Millis,
    routers: Vec<RouterIncarnation>,
    /// Identifiers of `routers`, in the same order.
    members: Vec<MemberId>,
}

impl LiveRouters {
    fn update(&mut self, now: Millis, routers: Vec<RouterIncarnation>) {
        self.read_at = now;
        if self.generation > 0 && self.routers == routers {
            return;
        }
        self.generation += 1;
        self.members = routers.iter().map(|it| it.member.clone()).collect();
        self.routers = routers;
    }
}

enum WriteResult {
    Written,
    NotWritten,
    Unknown,
}

impl QuotaService {
    pub(super) async fn follow_gossip(self: Arc<Self>, mut changes: Receiver<Arc<Entry>>) {
        loop {
            match changes.recv().await {
                Ok(entry) => self.apply_entry(&entry),
                Err(RecvError::Lagged(_)) => self.apply_entries(),
                Err(RecvError::Closed) => return,
            }
        }
    }

    pub(super) fn apply_entries(self: &Arc<Self>) {
        let entries = self.node.gossip.entries();
        // Share maps are applied last, because a map is ignored until the configuration of its organisation is applied.
        let is_share = |it: &&Arc<Entry>| matches!(it.key, EntryKey::Shares(_));
        entries
            .iter()
            .filter(|it| !is_share(it))
            .for_each(|it| self.apply_entry(it));
        entries.iter().filter(is_share).for_each(|it| self.apply_entry(it));
    }

    fn apply_entry(self: &Arc<Self>, entry: &Entry) {
        match &entry.key {
            EntryKey::Config(Kind::Organisation, name) => {
                let parsed = serde_json::from_slice::<Organisation>(&entry.value).ok();
                let limits = parsed.map_or_else(Limits::default, |it| Limits {
                    rate: it.rate,
                    burst: it.burst,
                });
                self.set_limits(&OrganisationName::new(name), limits);
            }
            EntryKey::Shares(name) => {
                let account = self.account(&OrganisationName::new(name));
                let map = serde_json::from_slice::<ShareMap>(&entry.value).ok();
                if let (Some(account), Some(map)) = (account, map) {
                    self.apply_map(&account, entry.version.sequence, map);
                }
            }
            _ => {}
        }
    }

    /// Applies a share map to the ledger, unless it is invalid or not newer than the one in force.
    fn apply_map(&self, account: &Account, version: u64, map: ShareMap) {
        let mut known = account.map.lock();
        if !map.is_valid() || known.as_ref().is_some_and(|it| it.version >= version) {
            return;
        }
        let now = self.node.clock.now();
        let mut ledger = account.ledger.lock();
        for (share, holding) in map.shares.iter().enumerate() {
            if holding.holder != self.me {
                ledger.drop_share(share, holding.term);
            } else if ledger.start_share(now, share, holding.term) {
                self.record_share_taken(&account.organisation, share, holding.term);
            }
        }
        ledger.forget_earlier_holders(&map);
        *known = Some(VersionedMap { version, map });
    }

    pub(super) fn record_share_taken(&self, organisation: &OrganisationName, share: usize, term: Term) {
        let detail = format!("share {share} of {organisation}, term {}", term.0);
        self.node.timeline.record(Event::QuotaShareTaken, None, None, &detail);
    }

    /// Distributes a map that the object service has confirmed and applies it here.
    fn publish(&self, account: &Account, version: u64, map: ShareMap) {
        if let Ok(value) = serde_json::to_vec(&map) {
            self.node.gossip.put(Entry {
                key: EntryKey::Shares(account.organisation.to_string()),
                version: Version {
                    term: Term(0),
                    sequence: version,
                },
                value,
            });
        }
        self.apply_map(account, version, map);
    }

    /// Claims, hands over and rebalances shares until the service stops.
    pub(super) async fn maintain_shares(self: Arc<Self>) {
        let mut live = LiveRouters::default();
        while !self.is_stopping() {
            let accounts: Vec<_> = self.accounts.load().values().cloned().collect();
            live.update(self.node.clock.now(), self.live_routers());
            for account in accounts {
                let now = self.node.clock.now();
                if now.since(live.read_at) >= MAX_LIVE_AGE_MS {
                    live.update(now, self.live_routers());
                }
                self.maintain_shares_of(&account, &live).await;
            }
            let interval_ms = rand::rng().random_range(CHECK_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        }
    }

    async fn maintain_shares_of(&self, account: &Account, live: &LiveRouters) {
        self.apply_earlier_entry(account);
        if account.reread_map.load(Ordering::SeqCst) || self.should_create_map(account, &live.routers) {
            self.read_map(account).await;
        }
        if self.is_balanced(account, live) {
            return;
        }
        let Some(known) = account.map.lock().clone() else {
            return;
        };
        let pending = account.pending_handover.lock().clone();
        if let Some(pending) = pending {
            return self.hand_over(account, pending).await;
        }
        let has_ended = |it: &RouterIncarnation| self.has_ended(it);
        let claims = known
            .map
            .claims(&account.organisation, &self.me, &live.members, has_ended);
        if claims.is_empty() {
            self.rebalance(account, &known, live).await;
        } else {
            let next = claims
                .iter()
                .fold(known.map.clone(), |map, share| map.moved(*share, &self.me));
            self.write_map(account, &next, Expect::Version(known.version)).await;
        }
    }

    /// Whether the last check found no share to claim or move and nothing has changed since. Whether a holder has ended
    /// is looked up each time, because that can become known without a change of the live routers.
    fn is_balanced(&self, account: &Account, live: &LiveRouters) -> bool {
        let Some((generation, version)) = *account.balanced_at.lock() else {
            return false;
        };
        let has_pending_work = account.pending_handover.lock().is_some()
            || account.move_planned_since.lock().is_some()
            || account.reread_map.load(Ordering::SeqCst);
        let map = account.map.lock();
        let is_unchanged = |it: &&VersionedMap| generation == live.generation && version == it.version;
        let unchanged = map.as_ref().filter(is_unchanged);
        !has_pending_work
            && unchanged.is_some_and(|it| !it.map.shares.iter().any(|share| self.has_ended(&share.holder)))
    }

    fn has_ended(&self, router: &RouterIncarnation) -> bool {
        self.node.members.has_ended(&router.member, router.incarnation)
    }

    /// Whether this router should read a missing map and create it if it does not exist: immediately if it would hold a
    /// share, otherwise after [`STABLE_MS`].
    fn should_create_map(&self, account: &Account, live: &[RouterIncarnation]) -> bool {
        if account.map.lock().is_some() {
            return false;
        }
        let now = self.node.clock.now();
        let since = *account.map_missing_since.lock().get_or_insert(now);
        let planned = ShareMap::new(&account.organisation, live);
        let holds = planned.is_some_and(|it| it.shares.iter().any(|it| it.holder == self.me));
        holds || now.since(since) >= STABLE_MS
    }

    /// Applies a gossip entry that arrived before the configuration of its organisation.
    fn apply_earlier_entry(&self, account: &Account) {
        let key = EntryKey::Shares(account.organisation.to_string());
        let known_version = account.map.lock().as_ref().map(|it| it.version);
        if let Some(entry) = self.node.gossip.get(&key)
            && known_version.is_none_or(|it| it < entry.version.sequence)
            && let Ok(map) = serde_json::from_slice(&entry.value)
        {
            self.apply_map(account, entry.version.sequence, map);
        }
    }

    async fn read_map(&self, account: &Account) {
        let name = account.organisation.as_str();
        match self.node.store.get(Kind::Shares, name).await {
            Ok(Some(object)) => {
                account.reread_map.store(false, Ordering::SeqCst);
                self.publish_object(account, &object);
            }
            Ok(None) => self.create_map(account).await,
            Err(_) => {}
        }
    }

    fn publish_object(&self, account: &Account, object: &StoredObject) {
        if let Ok(map) = serde_json::from_value(object.spec.clone()) {
            self.publish(account, object.version, map);
        }
    }

    async fn create_map(&self, account: &Account) {
        let live = self.live_routers();
        let Some(map) = ShareMap::new(&account.organisation, &live) else {
            return;
        };
        self.write_map(account, &map, Expect::Absent).await;
    }

    async fn write_map(&self, account: &Account, map: &ShareMap, expect: Expect) -> WriteResult {
        let Ok(spec) = serde_json::to_value(map) else {
            return WriteResult::NotWritten;
        };
        let operation = self.new_operation_id();
        let name = account.organisation.as_str();
        match self.node.store.put(Kind::Shares, name, &spec, expect, &operation).await {
            Ok(version) => {
                self.publish(account, version, map.clone());
                WriteResult::Written
            }
            Err(PlatformError::OutcomeUnknown(_) | PlatformError::Malformed(_)) => {
                account.reread_map.store(true, Ordering::SeqCst);
                WriteResult::Unknown
            }
            Err(PlatformError::Conflict(_)) => {
                account.reread_map.store(true, Ordering::SeqCst);
                WriteResult::NotWritten
            }
            Err(_) => WriteResult::NotWritten,
        }
    }

    fn new_operation_id(&self) -> OperationId {
        let number: u64 = rand::rng().random();
        OperationId::new(format!("{}-{}-{number:016x}", self.me.member, self.me.incarnation.0))
    }

    fn live_routers(&self) -> Vec<RouterIncarnation> {
        let live = self.node.members.live();
        live.iter()
            .filter(|it| it.id.role == Role::Router)
            .map(incarnation_of)
            .collect()
    }

    /// Hands over one share that has been planned for another router for [`STABLE_MS`].
    async fn rebalance(&self, account: &Account, known: &VersionedMap, live: &LiveRouters) {
        let moves = known.map.moves(&account.organisation, &self.me, &live.routers);
        let Some((share, to)) = moves.into_iter().next() else {
            *account.move_planned_since.lock() = None;
            *account.balanced_at.lock() = Some((live.generation, known.version));
            return;
        };
        *account.balanced_at.lock() = None;
        let now = self.node.clock.now();
        let since = *account.move_planned_since.lock().get_or_insert(now);
        if now.since(since) >= STABLE_MS {
            *account.move_planned_since.lock() = None;
            self.start_handover(account, share, to).await;
        }
    }

    async fn start_handover(&self, account: &Account, share: usize, to: RouterIncarnation) {
        let now = self.node.clock.now();
        let state = account.ledger.lock().freeze_share(now, share);
        if let Some(state) = state {
            let pending = PendingHandover {
                share,
                to,
                state,
                may_take_effect: false,
            };
            self.hand_over(account, pending).await;
        }
    }

    /// Writes the new holder to the share map until the outcome is known, then sends it the state of the share.
    ///
    /// While a write has an unknown outcome the share stays frozen: the write may still take effect, and then the new
    /// holder uses the share. It is resumed only if no write can have taken effect or still take effect.
    async fn hand_over(&self, account: &Account, mut pending: PendingHandover) {
        for _ in 0..HANDOVER_ATTEMPTS {
            *account.pending_handover.lock() = Some(pending.clone());
            if account.reread_map.load(Ordering::SeqCst) {
                self.read_map(account).await;
            }
            let Some(known) = account.map.lock().clone() else {
                break;
            };
            let holding = &known.map.shares[pending.share];
            if holding.holder != self.me {
                *account.pending_handover.lock() = None;
                if holding.holder == pending.to {
                    self.send_state(account, &pending, holding.term).await;
                }
                return;
            }
            let next = known.map.moved(pending.share, &pending.to);
            match self.write_map(account, &next, Expect::Version(known.version)).await {
                WriteResult::Written => continue,
                WriteResult::Unknown => pending.may_take_effect = true,
                WriteResult::NotWritten if !pending.may_take_effect && !account.reread_map.load(Ordering::SeqCst) => {
                    account.ledger.lock().resume_share(pending.share);
                    *account.pending_handover.lock() = None;
                    return;
                }
                WriteResult::NotWritten => {}
            }
            tokio::time::sleep(HANDOVER_RETRY_INTERVAL).await;
        }
        *account.pending_handover.lock() = Some(pending);
    }

    async fn send_state(&self, account: &Account, pending: &PendingHandover, term: Term) {
        let params = HandoverParams {
            organisation: account.organisation.clone(),
            to: pending.to.clone(),
            share: pending.share,
            term,
            state: pending.state,
        };
        let live = self.node.members.live();
        let info = live.iter().find(|it| incarnation_of(it) == pending.to);
        let (Some(info), Ok(params)) = (info, serde_json::to_value(params)) else {
            return;
        };
        let detail = format!(
            "share {} of {} to {}",
            pending.share, account.organisation, pending.to.member
        );
        self.node
            .timeline
            .record(Event::QuotaShareReleased, None, None, &detail);
        for _ in 0..HANDOVER_ATTEMPTS {
            let answer = self
                .node
                .peers
                .call(info, HANDOVER, params.clone(), HANDOVER_TIMEOUT)
                .await;
            if answer.is_ok() {
                return;
            }
            tokio::time::sleep(HANDOVER_RETRY_INTERVAL).await;
        }
    }

    /// Hands over every share to the router that is planned to hold it once this router has left.
    pub(super) async fn hand_over_all(&self) {
        let accounts: Vec<_> = self.accounts.load().values().cloned().collect();
        let tasks = accounts.iter().map(|it| self.hand_over_shares_of(it));
        futures::future::join_all(tasks).await;
    }

    async fn hand_over_shares_of(&self, account: &Account) {
        account.ledger.lock().return_all_grants(self.node.clock.now());
        self.send_reports(account).await;
        let pending = account.pending_handover.lock().clone();
        if let Some(pending) = pending {
            self.hand_over(account, pending).await;
        }
        let Some(known) = account.map.lock().clone() else {
            return;
        };
        let mut others = self.live_routers();
        others.retain(|it| *it != self.me);
        let members: Vec<_> = others.iter().map(|it| it.member.clone()).collect();
        let holders = known.map.shares.iter().map(|it| &it.holder);
        let remaining_holders: Vec<_> = holders.map(|it| (*it != self.me).then(|| it.member.clone())).collect();
        let Some(planned) = plan_holders(&account.organisation, &remaining_holders, &members) else {
            return;
        };
        for (share, member) in planned.iter().enumerate() {
            let held = account.ledger.lock().held_term(share).is_some();
            let target = others.iter().find(|it| it.member == *member);
            if let (true, Some(to)) = (held, target) {
                self.start_handover(account, share, to.clone()).await;
            }
        }
    }
}

fn incarnation_of(info: &MemberInfo) -> RouterIncarnation {
    RouterIncarnation {
        member: info.id.clone(),
        incarnation: info.incarnation,
    }
}
