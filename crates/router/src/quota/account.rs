//! State of one organisation's quota at this router, and the task that requests tokens from other routers for waiting
//! reservations.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use guava_core::codes::Code;
use guava_core::ids::{OrganisationName, RequestId};
use guava_core::quota::{
    Admission, Handover, Ledger, Limits, MAX_HOLDER_ROUNDS, RESERVE_TIMEOUT_MS, RouterIncarnation, ShareMap,
    TAKE_TIMEOUT_MS, TakeAnswer, UNITS_PER_TOKEN,
};
use guava_core::units::Millis;
use guava_node::Node;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::{Notify, oneshot};

use super::QuotaService;
use super::rpc::{TAKE, TakeParams};
use crate::{Quota, QuotaRefusal};

/// Interval at which reports are sent and unanswered requests repeated while no reservation waits.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Range of the delay before holders are asked again. The delay is random, because routers that request tokens for
/// large reservations at the same time could otherwise repeatedly get only a part each.
const RETRY_DELAY_MS: std::ops::Range<u64> = 5..40;

pub(super) enum ReserveResult {
    Reserved,
    TooFewTokens,
    ExceedsBurst,
}

#[derive(Debug)]
struct Waiter {
    request: RequestId,
    tokens: u64,
    deadline: Millis,
    result_tx: oneshot::Sender<Result<(), Code>>,
}

impl Waiter {
    fn refuse(self, code: Code) {
        // Fails only if the caller has stopped waiting.
        let _ = self.result_tx.send(Err(code));
    }
}

/// A hand-over of a share that is not completed. The share is frozen meanwhile.
#[derive(Debug, Clone)]
pub(super) struct PendingHandover {
    pub(super) share: usize,
    pub(super) to: RouterIncarnation,
    pub(super) state: Handover,
    /// Whether a write of the new share map had an unknown outcome and may still take effect.
    pub(super) may_take_effect: bool,
}

#[derive(Debug, Clone)]
pub(super) struct VersionedMap {
    /// Version of the object in the object service.
    pub(super) version: u64,
    pub(super) map: ShareMap,
}

#[derive(Debug)]
pub(super) struct Account {
    pub(super) organisation: OrganisationName,
    pub(super) ledger: Mutex<Ledger>,
    /// Share map in force here; `None` until one has been received or created.
    pub(super) map: Mutex<Option<VersionedMap>>,
    /// Whether the map must be read from the object service again, because a write conflicted or has an unknown
    /// outcome.
    pub(super) reread_map: AtomicBool,
    pub(super) pending_handover: Mutex<Option<PendingHandover>>,
    /// Time since which a share held here has been planned for another router.
    pub(super) move_planned_since: Mutex<Option<Millis>>,
    /// Time at which this router first found that it has no share map.
    pub(super) map_missing_since: Mutex<Option<Millis>>,
    /// Generation of the live routers and version of the map at which no share was to be claimed or moved.
    pub(super) balanced_at: Mutex<Option<(u64, u64)>>,
    /// Units granted to other routers since the start.
    pub(super) granted_units: AtomicU64,
    waiting: Mutex<VecDeque<Waiter>>,
    /// Whether a holder answered when holders were last asked.
    holder_answered: AtomicBool,
    /// Signals that a reservation has started to wait.
    waiter_added: Notify,
}

impl Account {
    pub(super) fn new(organisation: OrganisationName, limits: Limits) -> Self {
        Self {
            organisation,
            ledger: Mutex::new(Ledger::new(limits)),
            map: Mutex::default(),
            reread_map: AtomicBool::new(false),
            pending_handover: Mutex::default(),
            move_planned_since: Mutex::default(),
            map_missing_since: Mutex::default(),
            balanced_at: Mutex::default(),
            granted_units: AtomicU64::new(0),
            waiting: Mutex::default(),
            holder_answered: AtomicBool::new(false),
            waiter_added: Notify::new(),
        }
    }

    pub(super) fn try_reserve(&self, node: &Node, request: &RequestId, tokens: u64) -> ReserveResult {
        let mut ledger = self.ledger.lock();
        loop {
            match ledger.admit(node.clock.now(), request, tokens) {
                Admission::Granted { valid_until } => {
                    // The process may have been paused since the clock was read; an expired grant must not be used.
                    let now = node.clock.now();
                    if valid_until.is_none_or(|it| now < it) {
                        return ReserveResult::Reserved;
                    }
                    ledger.settle(now, request, 0);
                }
                Admission::Repeated => return ReserveResult::Reserved,
                Admission::TooFewTokens(_) => return ReserveResult::TooFewTokens,
                Admission::ExceedsBurst => return ReserveResult::ExceedsBurst,
            }
        }
    }

    pub(super) fn enqueue(
        &self,
        request: RequestId,
        tokens: u64,
        deadline: Millis,
    ) -> oneshot::Receiver<Result<(), Code>> {
        let (result_tx, result_rx) = oneshot::channel();
        let waiter = Waiter {
            request,
            tokens,
            deadline,
            result_tx,
        };
        self.waiting.lock().push_back(waiter);
        self.waiter_added.notify_one();
        result_rx
    }

    pub(super) fn refusal(&self, now: Millis, tokens: u64, code: Code) -> QuotaRefusal {
        let mut ledger = self.ledger.lock();
        let limits = ledger.limits();
        let known_units = ledger.known(now);
        let missing_units = (tokens * UNITS_PER_TOKEN).saturating_sub(known_units);
        let may_succeed_later = code != Code::RequestExceedsBurst;
        QuotaRefusal {
            code,
            retry_after_ms: may_succeed_later.then(|| limits.time_to_gain(missing_units)).flatten(),
            limit: limits.rate,
            remaining: known_units / UNITS_PER_TOKEN,
        }
    }

    /// Code for a reservation that did not get `tokens` in time.
    ///
    /// `RateExceeded` if the tokens are used up. `QuotaUnavailable` if no holder can be reached, or if this router and
    /// the last known levels of the holders together have enough, so that answers of holders are late or lost.
    pub(super) fn shortage_code(&self, now: Millis, tokens: u64) -> Code {
        let known_units = self.ledger.lock().known(now);
        if self.has_reachable_holder() && known_units < tokens * UNITS_PER_TOKEN {
            Code::RateExceeded
        } else {
            Code::QuotaUnavailable
        }
    }

    /// Whether another holder answered when last asked, or this router holds a share.
    fn has_reachable_holder(&self) -> bool {
        self.holder_answered.load(Ordering::Relaxed) || self.ledger.lock().holds_any()
    }

    fn other_holders(&self, me: &RouterIncarnation) -> Vec<RouterIncarnation> {
        let map = self.map.lock();
        let mut holders = map.as_ref().map(|it| it.map.holders()).unwrap_or_default();
        holders.retain(|it| it != me);
        holders
    }

    fn missing_units(&self, now: Millis) -> u64 {
        let needed: u64 = self.waiting.lock().iter().map(|it| it.tokens * UNITS_PER_TOKEN).sum();
        needed.saturating_sub(self.ledger.lock().available(now))
    }

    fn has_waiting(&self) -> bool {
        !self.waiting.lock().is_empty()
    }
}

impl QuotaService {
    /// Runs the task that grants or refuses the waiting reservations of one organisation, and sends reports while none
    /// waits.
    pub(super) async fn serve_waiting(self: Arc<Self>, account: Arc<Account>) {
        loop {
            if !account.has_waiting() {
                tokio::select! {
                    () = account.waiter_added.notified() => {}
                    () = tokio::time::sleep(REPORT_INTERVAL) => self.send_reports(&account).await,
                }
                continue;
            }
            self.ask_holders(&account).await;
            if self.grant_waiting(&account) {
                let now = self.node.clock.now();
                account.ledger.lock().return_surplus_grants(now);
                continue;
            }
            self.refuse_unattainable(&account);
            account.ledger.lock().return_all_grants(self.node.clock.now());
            self.send_reports(&account).await;
            let delay_ms = rand::rng().random_range(RETRY_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    async fn ask_holders(&self, account: &Account) {
        let now = self.node.clock.now();
        let mut holders = account.other_holders(&self.me);
        account.ledger.lock().rank_holders(now, &mut holders);
        let mut holder_answered = false;
        for round in 0..MAX_HOLDER_ROUNDS {
            if self.grant_waiting(account) {
                return;
            }
            let missing_units = account.missing_units(self.node.clock.now());
            let requests = account.ledger.lock().plan_round(round, missing_units, &holders);
            let calls = requests
                .iter()
                .map(|(holder, need)| self.request_units(account, holder, *need));
            holder_answered |= join_all(calls).await.contains(&true);
        }
        account.holder_answered.store(holder_answered, Ordering::Relaxed);
    }

    /// Grants the waiting reservations that local tokens cover and removes those that have expired or been cancelled.
    /// Returns true if none is left waiting.
    fn grant_waiting(&self, account: &Account) -> bool {
        let Some(shared_account) = self.account(&account.organisation) else {
            return true;
        };
        let now = self.node.clock.now();
        let waiting = std::mem::take(&mut *account.waiting.lock());
        let mut still_waiting = VecDeque::new();
        for waiter in waiting {
            // Dropping an expired waiter closes its channel, and `reserve` then determines the code of the refusal.
            if waiter.result_tx.is_closed() || waiter.deadline <= now {
                continue;
            }
            match self.try_reserve(&shared_account, &waiter.request, waiter.tokens) {
                ReserveResult::Reserved => {
                    if waiter.result_tx.send(Ok(())).is_err() {
                        self.settle(&waiter.request, 0);
                    }
                }
                ReserveResult::TooFewTokens => still_waiting.push_back(waiter),
                ReserveResult::ExceedsBurst => waiter.refuse(Code::RequestExceedsBurst),
            }
        }
        let mut waiting = account.waiting.lock();
        still_waiting.append(&mut waiting);
        *waiting = still_waiting;
        waiting.is_empty()
    }

    /// Refuses the waiting reservations that need more than the known tokens and what accrues within the longest wait.
    /// Refuses none while no holder can be reached, because the known tokens may then be out of date.
    fn refuse_unattainable(&self, account: &Account) {
        let now = self.node.clock.now();
        let (known_units, limits) = {
            let mut ledger = account.ledger.lock();
            (ledger.known(now), ledger.limits())
        };
        let attainable_units = known_units.saturating_add(limits.time_gain(RESERVE_TIMEOUT_MS));
        if !account.has_reachable_holder() {
            return;
        }
        let waiting = std::mem::take(&mut *account.waiting.lock());
        let mut still_waiting = VecDeque::new();
        for waiter in waiting {
            if waiter.tokens * UNITS_PER_TOKEN > attainable_units {
                waiter.refuse(Code::RateExceeded);
            } else {
                still_waiting.push_back(waiter);
            }
        }
        let mut waiting = account.waiting.lock();
        still_waiting.append(&mut waiting);
        *waiting = still_waiting;
    }

    /// Sends reports on the use of granted tokens and repeats requests whose answer was lost.
    pub(super) async fn send_reports(&self, account: &Account) {
        let now = self.node.clock.now();
        let map = account.map.lock().clone();
        let holders = {
            let mut ledger = account.ledger.lock();
            if let Some(versioned) = map {
                ledger.forget_earlier_holders(&versioned.map);
            }
            ledger.write_off(now, |it| self.node.members.has_ended(&it.member, it.incarnation));
            if !account.has_waiting() {
                ledger.return_surplus_grants(now);
            }
            ledger.holders_to_contact(now)
        };
        join_all(holders.iter().map(|it| self.request_units(account, it, 0))).await;
    }

    /// Sends a request for `need` units to a holder. Returns true if the holder answered.
    async fn request_units(&self, account: &Account, holder: &RouterIncarnation, need: u64) -> bool {
        let now = self.node.clock.now();
        let live = self.node.members.live();
        let Some(info) = live
            .iter()
            .find(|it| it.id == holder.member && it.incarnation == holder.incarnation)
        else {
            account.ledger.lock().record_failure(now, holder);
            return false;
        };
        let request = account.ledger.lock().next_take_request(now, holder, need);
        let params = TakeParams {
            organisation: account.organisation.clone(),
            from: self.me.clone(),
            to: holder.clone(),
            request,
        };
        let Ok(params) = serde_json::to_value(params) else {
            return false;
        };
        let answer = self
            .node
            .peers
            .call(info, TAKE, params, Duration::from_millis(TAKE_TIMEOUT_MS))
            .await;
        let answer = answer.ok().and_then(|it| serde_json::from_value::<TakeAnswer>(it).ok());
        let now = self.node.clock.now();
        let Some(answer) = answer else {
            account.ledger.lock().record_failure(now, holder);
            return false;
        };
        account.ledger.lock().apply_take_answer(now, holder, &answer);
        self.grant_waiting(account);
        true
    }
}
