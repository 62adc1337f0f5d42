//! One organisation's tokens at this router, and the task that asks holders for more.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use guava_core::codes::Code;
use guava_core::ids::{OrganisationName, RequestId};
use guava_core::quota::{
    Admission, GATHER_MS, Handover, Ledger, Limits, MAX_HOLDER_ROUNDS, RouterIncarnation, ShareMap, TAKE_TIMEOUT_MS,
    TakeAnswer, UNITS_PER_TOKEN,
};
use guava_core::units::Millis;
use guava_node::Node;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::{Notify, oneshot};

use super::QuotaService;
use super::rpc::{TAKE, TakeParams};
use crate::{Quota, QuotaRefusal};

/// Period of reports and repeats when nothing waits.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Bounds of the pause before holders are asked again; random, because routers that gather tokens for large requests
/// at the same time would otherwise split them in step.
const BACK_OFF_MS: std::ops::Range<u64> = 5..40;

pub(super) enum Attempt {
    Granted,
    Short,
    ExceedsBurst,
}

#[derive(Debug)]
struct Waiter {
    request: RequestId,
    tokens: u64,
    until: Millis,
    answer: oneshot::Sender<Result<(), Code>>,
}

impl Waiter {
    fn refuse(self, code: Code) {
        // A caller that has gone away needs no answer.
        let _ = self.answer.send(Err(code));
    }
}

/// A hand-over whose write has an unknown outcome.
#[derive(Debug, Clone)]
pub(super) struct OpenHandover {
    pub(super) share: usize,
    pub(super) to: RouterIncarnation,
    pub(super) state: Handover,
    /// Whether some write has an unknown outcome and may still take effect.
    pub(super) unknown: bool,
}

#[derive(Debug, Clone)]
pub(super) struct KnownMap {
    pub(super) version: u64,
    pub(super) map: ShareMap,
}

#[derive(Debug)]
pub(super) struct Account {
    pub(super) organisation: OrganisationName,
    pub(super) ledger: Mutex<Ledger>,
    pub(super) map: Mutex<Option<KnownMap>>,
    pub(super) read_again: AtomicBool,
    pub(super) open_handover: Mutex<Option<OpenHandover>>,
    pub(super) stable_since: Mutex<Option<Millis>>,
    pub(super) missing_since: Mutex<Option<Millis>>,
    /// Generation of the live routers and version of the map for which there was nothing to claim or to move.
    pub(super) settled: Mutex<Option<(u64, u64)>>,
    /// Tokens granted to other routers since the start, in units.
    pub(super) granted_units: AtomicU64,
    waiting: Mutex<VecDeque<Waiter>>,
    reached: AtomicBool,
    wake: Notify,
}

impl Account {
    pub(super) fn new(organisation: OrganisationName, limits: Limits) -> Self {
        Self {
            organisation,
            ledger: Mutex::new(Ledger::new(limits)),
            map: Mutex::default(),
            read_again: AtomicBool::new(false),
            open_handover: Mutex::default(),
            stable_since: Mutex::default(),
            missing_since: Mutex::default(),
            settled: Mutex::default(),
            granted_units: AtomicU64::new(0),
            waiting: Mutex::default(),
            reached: AtomicBool::new(false),
            wake: Notify::new(),
        }
    }

    pub(super) fn attempt(&self, node: &Node, request: &RequestId, tokens: u64) -> Attempt {
        let mut ledger = self.ledger.lock();
        loop {
            match ledger.admit(node.clock.now(), request, tokens) {
                Admission::Granted { valid_until } => {
                    // The process may have been paused since the clock was read; an expired grant must not be used.
                    let now = node.clock.now();
                    if valid_until.is_none_or(|it| now < it) {
                        return Attempt::Granted;
                    }
                    ledger.settle(now, request, 0);
                }
                Admission::Repeated => return Attempt::Granted,
                Admission::Short(_) => return Attempt::Short,
                Admission::ExceedsBurst => return Attempt::ExceedsBurst,
            }
        }
    }

    pub(super) fn wait(&self, request: RequestId, tokens: u64, until: Millis) -> oneshot::Receiver<Result<(), Code>> {
        let (answer, rx) = oneshot::channel();
        let waiter = Waiter {
            request,
            tokens,
            until,
            answer,
        };
        self.waiting.lock().push_back(waiter);
        self.wake.notify_one();
        rx
    }

    pub(super) fn refusal(&self, now: Millis, tokens: u64, code: Code) -> QuotaRefusal {
        let mut ledger = self.ledger.lock();
        let limits = ledger.limits();
        let known = ledger.known(now);
        let missing = (tokens * UNITS_PER_TOKEN).saturating_sub(known);
        let can_repeat = code != Code::RequestExceedsBurst;
        QuotaRefusal {
            code,
            retry_after_ms: can_repeat.then(|| limits.time_to_gain(missing)).flatten(),
            limit: limits.rate,
            remaining: known / UNITS_PER_TOKEN,
        }
    }

    /// Reason why `tokens` could not be had: used up, or not to be reached.
    ///
    /// Tokens that holders were last known to have are not used up; their answers are late or lost.
    pub(super) fn shortage(&self, now: Millis, tokens: u64) -> Code {
        let known = self.ledger.lock().known(now);
        if self.has_holder() && known < tokens * UNITS_PER_TOKEN {
            Code::RateExceeded
        } else {
            Code::QuotaUnavailable
        }
    }

    /// Whether a router that holds a share has answered, or this one holds one.
    fn has_holder(&self) -> bool {
        self.reached.load(Ordering::Relaxed) || self.ledger.lock().holds_any()
    }

    fn holders(&self, me: &RouterIncarnation) -> Vec<RouterIncarnation> {
        let map = self.map.lock();
        let mut holders = map.as_ref().map(|it| it.map.holders()).unwrap_or_default();
        holders.retain(|it| it != me);
        holders
    }

    fn missing(&self, now: Millis) -> u64 {
        let wanted: u64 = self.waiting.lock().iter().map(|it| it.tokens * UNITS_PER_TOKEN).sum();
        wanted.saturating_sub(self.ledger.lock().available(now))
    }

    fn has_waiting(&self) -> bool {
        !self.waiting.lock().is_empty()
    }
}

impl QuotaService {
    /// Serves the waiting reservations of one organisation.
    pub(super) async fn gather(self: Arc<Self>, account: Arc<Account>) {
        loop {
            if !account.has_waiting() {
                tokio::select! {
                    () = account.wake.notified() => {}
                    () = tokio::time::sleep(REPORT_PERIOD) => self.report(&account).await,
                }
                continue;
            }
            self.ask_holders(&account).await;
            if self.serve_waiting(&account) {
                let now = self.node.clock.now();
                account.ledger.lock().return_surplus_grants(now);
                continue;
            }
            self.refuse_unattainable(&account);
            account.ledger.lock().return_all_grants(self.node.clock.now());
            self.report(&account).await;
            let pause = rand::rng().random_range(BACK_OFF_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn ask_holders(&self, account: &Account) {
        let now = self.node.clock.now();
        let mut holders = account.holders(&self.me);
        account.ledger.lock().rank_holders(now, &mut holders);
        let mut reached = false;
        for round in 0..MAX_HOLDER_ROUNDS {
            if self.serve_waiting(account) {
                return;
            }
            let missing = account.missing(self.node.clock.now());
            let requests = account.ledger.lock().plan_round(round, missing, &holders);
            let calls = requests.iter().map(|(holder, need)| self.take(account, holder, *need));
            reached |= join_all(calls).await.contains(&true);
        }
        account.reached.store(reached, Ordering::Relaxed);
    }

    /// Admits what can be admitted; true when nothing waits any more.
    fn serve_waiting(&self, account: &Account) -> bool {
        let Some(shared) = self.account(&account.organisation) else {
            return true;
        };
        let now = self.node.clock.now();
        let waiting = std::mem::take(&mut *account.waiting.lock());
        let mut kept = VecDeque::new();
        for waiter in waiting {
            if waiter.answer.is_closed() || waiter.until <= now {
                continue;
            }
            match self.attempt(&shared, &waiter.request, waiter.tokens) {
                Attempt::Granted => {
                    if waiter.answer.send(Ok(())).is_err() {
                        self.settle(&waiter.request, 0);
                    }
                }
                Attempt::Short => kept.push_back(waiter),
                Attempt::ExceedsBurst => waiter.refuse(Code::RequestExceedsBurst),
            }
        }
        let mut waiting = account.waiting.lock();
        kept.append(&mut waiting);
        *waiting = kept;
        waiting.is_empty()
    }

    /// Refuses at once what the known tokens and the accrual of the remaining wait cannot cover.
    fn refuse_unattainable(&self, account: &Account) {
        let now = self.node.clock.now();
        let (known, limits) = {
            let mut ledger = account.ledger.lock();
            (ledger.known(now), ledger.limits())
        };
        let reach = known.saturating_add(limits.time_gain(GATHER_MS));
        if !account.has_holder() {
            return;
        }
        let waiting = std::mem::take(&mut *account.waiting.lock());
        let mut kept = VecDeque::new();
        for waiter in waiting {
            if waiter.tokens * UNITS_PER_TOKEN > reach {
                waiter.refuse(Code::RateExceeded);
            } else {
                kept.push_back(waiter);
            }
        }
        let mut waiting = account.waiting.lock();
        kept.append(&mut waiting);
        *waiting = kept;
    }

    /// Sends reports and repeats requests whose answer was lost.
    pub(super) async fn report(&self, account: &Account) {
        let now = self.node.clock.now();
        let map = account.map.lock().clone();
        let holders = {
            let mut ledger = account.ledger.lock();
            if let Some(known) = map {
                ledger.forget_earlier_holders(&known.map);
            }
            ledger.write_off(now, |it| self.node.members.has_ended(&it.member, it.incarnation));
            if !account.has_waiting() {
                ledger.return_surplus_grants(now);
            }
            ledger.holders_to_contact(now)
        };
        join_all(holders.iter().map(|it| self.take(account, it, 0))).await;
    }

    /// Sends one request to a holder; true when it has answered.
    async fn take(&self, account: &Account, holder: &RouterIncarnation, need: u64) -> bool {
        let now = self.node.clock.now();
        let live = self.node.members.live();
        let Some(info) = live
            .iter()
            .find(|it| it.id == holder.member && it.incarnation == holder.incarnation)
        else {
            account.ledger.lock().note_failure(now, holder);
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
            account.ledger.lock().note_failure(now, holder);
            return false;
        };
        account.ledger.lock().apply_take_answer(now, holder, &answer);
        self.serve_waiting(account);
        true
    }
}
