//! Which shares this router holds: the platform object of each organisation and its spread entry.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use guava_core::config::{Kind, Organisation};
use guava_core::events::Event;
use guava_core::ids::{MemberId, OperationId, OrganisationName, Role, Term};
use guava_core::quota::{Limits, RouterIncarnation, ShareMap, plan_holders};
use guava_core::spread::{Entry, EntryKey, Version};
use guava_core::units::Millis;
use guava_node::MemberInfo;
use guava_objects::{Expect, PlatformError, StoredObject};
use rand::Rng;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::RecvError;

use super::QuotaService;
use super::account::{Account, KnownMap, OpenHandover};
use super::rpc::{HANDOVER, HandoverParams};

/// Bounds of the period in which share maps are checked, in milliseconds.
const KEEP_PERIOD_MS: std::ops::Range<u64> = 800..1_200;

/// Time for which the plan must have wanted a share elsewhere before it is handed over, because membership flaps.
const STABLE_MS: u64 = 10_000;

/// Attempts to write or to send one hand-over at a time.
const HANDOVER_ATTEMPTS: usize = 5;

/// Pause between attempts of a hand-over.
const HANDOVER_PAUSE: Duration = Duration::from_millis(100);

/// Time limit of one hand-over message.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Age after which the live routers are read again within a round; a round that waits for calls may last for seconds.
const LIVE_AGE_MS: u64 = 200;

/// Live routers, read once for many organisations.
#[derive(Debug, Default)]
struct LiveRouters {
    /// Grows with each change of the routers.
    generation: u64,
    read: Millis,
    lives: Vec<RouterIncarnation>,
    members: Vec<MemberId>,
}

impl LiveRouters {
    fn update(&mut self, now: Millis, lives: Vec<RouterIncarnation>) {
        self.read = now;
        if self.generation > 0 && self.lives == lives {
            return;
        }
        self.generation += 1;
        self.members = lives.iter().map(|it| it.member.clone()).collect();
        self.lives = lives;
    }
}

enum WriteResult {
    Written,
    NotWritten,
    Unknown,
}

impl QuotaService {
    pub(super) async fn follow_spread(self: Arc<Self>, mut changes: Receiver<Arc<Entry>>) {
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
                self.record_taken(&account.organisation, share, holding.term);
            }
        }
        ledger.forget_earlier_holders(&map);
        *known = Some(KnownMap { version, map });
    }

    pub(super) fn record_taken(&self, organisation: &OrganisationName, share: usize, term: Term) {
        let detail = format!("share {share} of {organisation}, term {}", term.0);
        self.node.timeline.record(Event::QuotaShareTaken, None, None, &detail);
    }

    /// Spreads a map that the platform has confirmed and puts it in force here.
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

    /// Takes over, starts and balances shares until the service stops.
    pub(super) async fn keep_shares(self: Arc<Self>) {
        let mut live = LiveRouters::default();
        while !self.is_stopping() {
            let accounts: Vec<_> = self.accounts.load().values().cloned().collect();
            live.update(self.node.clock.now(), self.live_routers());
            for account in accounts {
                let now = self.node.clock.now();
                if now.since(live.read) >= LIVE_AGE_MS {
                    live.update(now, self.live_routers());
                }
                self.keep_account(&account, &live).await;
            }
            let period = rand::rng().random_range(KEEP_PERIOD_MS);
            tokio::time::sleep(Duration::from_millis(period)).await;
        }
    }

    async fn keep_account(&self, account: &Account, live: &LiveRouters) {
        self.apply_known_entry(account);
        if account.read_again.load(Ordering::SeqCst) || self.should_create(account, &live.lives) {
            self.read_map(account).await;
        }
        if self.is_settled(account, live) {
            return;
        }
        let Some(known) = account.map.lock().clone() else {
            return;
        };
        let open = account.open_handover.lock().clone();
        if let Some(open) = open {
            return self.hand_over(account, open).await;
        }
        let ended = |it: &RouterIncarnation| self.has_ended(it);
        let claims = known.map.claims(&account.organisation, &self.me, &live.members, ended);
        if claims.is_empty() {
            self.balance(account, &known, live).await;
        } else {
            let next = claims
                .iter()
                .fold(known.map.clone(), |map, share| map.moved(*share, &self.me));
            self.write_map(account, &next, Expect::Version(known.version)).await;
        }
    }

    /// Whether the last check found nothing to do and nothing has changed since. The end of a holder is looked up each
    /// time, because it can be proved without a change of the live routers.
    fn is_settled(&self, account: &Account, live: &LiveRouters) -> bool {
        let Some((generation, version)) = *account.settled.lock() else {
            return false;
        };
        let is_open = account.open_handover.lock().is_some()
            || account.stable_since.lock().is_some()
            || account.read_again.load(Ordering::SeqCst);
        let map = account.map.lock();
        let is_same = |it: &&KnownMap| generation == live.generation && version == it.version;
        let known = map.as_ref().filter(is_same);
        !is_open && known.is_some_and(|it| !it.map.shares.iter().any(|share| self.has_ended(&share.holder)))
    }

    fn has_ended(&self, life: &RouterIncarnation) -> bool {
        self.node.members.has_ended(&life.member, life.incarnation)
    }

    /// Whether this router is to look for a missing map: at once if it would hold a share, else after some time.
    fn should_create(&self, account: &Account, live: &[RouterIncarnation]) -> bool {
        if account.map.lock().is_some() {
            return false;
        }
        let now = self.node.clock.now();
        let since = *account.missing_since.lock().get_or_insert(now);
        let planned = ShareMap::new(&account.organisation, live);
        let holds = planned.is_some_and(|it| it.shares.iter().any(|it| it.holder == self.me));
        holds || now.since(since) >= STABLE_MS
    }

    /// Applies the spread entry that may have arrived before the organisation itself.
    fn apply_known_entry(&self, account: &Account) {
        let key = EntryKey::Shares(account.organisation.to_string());
        let known = account.map.lock().as_ref().map(|it| it.version);
        if let Some(entry) = self.node.gossip.get(&key)
            && known.is_none_or(|it| it < entry.version.sequence)
            && let Ok(map) = serde_json::from_slice(&entry.value)
        {
            self.apply_map(account, entry.version.sequence, map);
        }
    }

    async fn read_map(&self, account: &Account) {
        let name = account.organisation.as_str();
        match self.node.store.get(Kind::Shares, name).await {
            Ok(Some(object)) => {
                account.read_again.store(false, Ordering::SeqCst);
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
        let operation = self.operation();
        let name = account.organisation.as_str();
        match self.node.store.put(Kind::Shares, name, &spec, expect, &operation).await {
            Ok(version) => {
                self.publish(account, version, map.clone());
                WriteResult::Written
            }
            Err(PlatformError::OutcomeUnknown(_) | PlatformError::Malformed(_)) => {
                account.read_again.store(true, Ordering::SeqCst);
                WriteResult::Unknown
            }
            Err(PlatformError::Conflict(_)) => {
                account.read_again.store(true, Ordering::SeqCst);
                WriteResult::NotWritten
            }
            Err(_) => WriteResult::NotWritten,
        }
    }

    fn operation(&self) -> OperationId {
        let number: u64 = rand::rng().random();
        OperationId::new(format!("{}-{}-{number:016x}", self.me.member, self.me.incarnation.0))
    }

    fn live_routers(&self) -> Vec<RouterIncarnation> {
        let live = self.node.members.live();
        live.iter()
            .filter(|it| it.id.role == Role::Router)
            .map(life_of)
            .collect()
    }

    /// Hands over one share that the plan has wanted elsewhere for some time.
    async fn balance(&self, account: &Account, known: &KnownMap, live: &LiveRouters) {
        let moves = known.map.moves(&account.organisation, &self.me, &live.lives);
        let Some((share, to)) = moves.into_iter().next() else {
            *account.stable_since.lock() = None;
            *account.settled.lock() = Some((live.generation, known.version));
            return;
        };
        *account.settled.lock() = None;
        let now = self.node.clock.now();
        let since = *account.stable_since.lock().get_or_insert(now);
        if now.since(since) >= STABLE_MS {
            *account.stable_since.lock() = None;
            self.start_handover(account, share, to).await;
        }
    }

    async fn start_handover(&self, account: &Account, share: usize, to: RouterIncarnation) {
        let now = self.node.clock.now();
        let state = account.ledger.lock().freeze_share(now, share);
        if let Some(state) = state {
            let open = OpenHandover {
                share,
                to,
                state,
                unknown: false,
            };
            self.hand_over(account, open).await;
        }
    }

    /// Writes a hand-over until its outcome is known, then sends the state.
    ///
    /// A share whose write has an unknown outcome stays frozen: the write may still take effect, and the next holder
    /// would then use it as well. It is resumed only after a write that certainly did not and cannot take effect.
    async fn hand_over(&self, account: &Account, mut open: OpenHandover) {
        for _ in 0..HANDOVER_ATTEMPTS {
            *account.open_handover.lock() = Some(open.clone());
            if account.read_again.load(Ordering::SeqCst) {
                self.read_map(account).await;
            }
            let Some(known) = account.map.lock().clone() else {
                break;
            };
            let holding = &known.map.shares[open.share];
            if holding.holder != self.me {
                *account.open_handover.lock() = None;
                if holding.holder == open.to {
                    self.send_state(account, &open, holding.term).await;
                }
                return;
            }
            let next = known.map.moved(open.share, &open.to);
            match self.write_map(account, &next, Expect::Version(known.version)).await {
                WriteResult::Written => continue,
                WriteResult::Unknown => open.unknown = true,
                WriteResult::NotWritten if !open.unknown && !account.read_again.load(Ordering::SeqCst) => {
                    account.ledger.lock().resume_share(open.share);
                    *account.open_handover.lock() = None;
                    return;
                }
                WriteResult::NotWritten => {}
            }
            tokio::time::sleep(HANDOVER_PAUSE).await;
        }
        *account.open_handover.lock() = Some(open);
    }

    async fn send_state(&self, account: &Account, open: &OpenHandover, term: Term) {
        let params = HandoverParams {
            organisation: account.organisation.clone(),
            to: open.to.clone(),
            share: open.share,
            term,
            state: open.state,
        };
        let live = self.node.members.live();
        let info = live.iter().find(|it| life_of(it) == open.to);
        let (Some(info), Ok(params)) = (info, serde_json::to_value(params)) else {
            return;
        };
        let detail = format!("share {} of {} to {}", open.share, account.organisation, open.to.member);
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
            tokio::time::sleep(HANDOVER_PAUSE).await;
        }
    }

    /// Hands over every share to the router that the plan names when this one is left out.
    pub(super) async fn hand_over_all(&self) {
        let accounts: Vec<_> = self.accounts.load().values().cloned().collect();
        let tasks = accounts.iter().map(|it| self.leave(it));
        futures::future::join_all(tasks).await;
    }

    async fn leave(&self, account: &Account) {
        account.ledger.lock().return_all_grants(self.node.clock.now());
        self.report(account).await;
        let open = account.open_handover.lock().clone();
        if let Some(open) = open {
            self.hand_over(account, open).await;
        }
        let Some(known) = account.map.lock().clone() else {
            return;
        };
        let mut others = self.live_routers();
        others.retain(|it| *it != self.me);
        let members: Vec<_> = others.iter().map(|it| it.member.clone()).collect();
        let holders = known.map.shares.iter().map(|it| &it.holder);
        let kept: Vec<_> = holders.map(|it| (*it != self.me).then(|| it.member.clone())).collect();
        let Some(planned) = plan_holders(&account.organisation, &kept, &members) else {
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

fn life_of(info: &MemberInfo) -> RouterIncarnation {
    RouterIncarnation {
        member: info.id.clone(),
        incarnation: info.incarnation,
    }
}
