//! Enforces the rate and burst of each organisation across all routers.
//!
//! The tokens of an organisation are divided into shares, each held by one router. [`guava_core::quota`] has the rules;
//! this module calls the other routers and the object service. A reservation that local tokens cover acquires only the
//! lock of its organisation and one of `RESERVATION_LOCKS` locks, and never waits. Other reservations wait in the
//! organisation's queue, for which one task per organisation requests tokens from the routers that hold shares.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use async_trait::async_trait;
use guava_core::codes::Code;
use guava_core::ids::{OrganisationName, RequestId};
use guava_core::quota::{Limits, RESERVE_TIMEOUT_MS, RouterIncarnation, UNITS_PER_TOKEN};
use guava_core::units::Millis;
use guava_node::Node;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use parking_lot::Mutex;
use tokio::task::AbortHandle;

use crate::{Quota, QuotaRefusal};
use account::{Account, ReserveResult};

mod account;
mod ownership;
mod rpc;

/// Number of locks among which unsettled reservations are divided, to reduce contention.
const RESERVATION_LOCKS: usize = 64;

/// Quota service of one router, for all organisations.
#[derive(Debug)]
pub struct QuotaService {
    node: Node,
    me: RouterIncarnation,
    accounts: ArcSwap<HashMap<OrganisationName, Arc<Account>>>,
    /// Held while an account is added to `accounts`.
    create_lock: Mutex<()>,
    /// Accounts of the unsettled reservations, by request. [`RESERVATION_LOCKS`] maps, selected by the request's hash.
    reservations: Vec<Mutex<HashMap<RequestId, Arc<Account>>>>,
    tasks: Mutex<Vec<AbortHandle>>,
    stopping: AtomicBool,
}

impl QuotaService {
    /// Starts the tasks that apply configuration changes, acquire the shares that this router should hold and serve
    /// waiting reservations.
    ///
    /// Must be called within a tokio runtime. Other routers reach the service once its [`QuotaService::rpc`] module is
    /// served.
    pub fn start(node: Node) -> Arc<Self> {
        let info = node.members.me();
        let me = RouterIncarnation {
            member: info.id.clone(),
            incarnation: info.incarnation,
        };
        let service = Arc::new(Self {
            node,
            me,
            accounts: ArcSwap::default(),
            create_lock: Mutex::new(()),
            reservations: (0..RESERVATION_LOCKS).map(|_| Mutex::default()).collect(),
            tasks: Mutex::default(),
            stopping: AtomicBool::new(false),
        });
        // Subscribes before reading the entries, so that no change in between is missed.
        let changes = service.node.gossip.subscribe();
        service.apply_entries();
        service.spawn(Arc::clone(&service).follow_gossip(changes));
        service.spawn(Arc::clone(&service).maintain_shares());
        service
    }

    /// Registers the counter of tokens granted to other routers, by organisation.
    pub fn observe(self: &Arc<Self>, meter: &Meter) {
        let service = Arc::downgrade(self);
        meter
            .u64_observable_counter("guava_quota_granted_tokens")
            .with_description("Tokens granted from shares held here to other routers")
            .with_callback(move |observer| {
                let Some(service) = service.upgrade() else {
                    return;
                };
                for (organisation, account) in service.accounts.load().iter() {
                    let granted = account.granted_units.load(Ordering::Relaxed) / UNITS_PER_TOKEN;
                    observer.observe(granted, &[KeyValue::new("organisation", organisation.to_string())]);
                }
            })
            .build();
    }

    /// Hands over all shares to other routers and stops all tasks. Reservations can still be settled afterwards, but
    /// other routers no longer learn of it.
    pub async fn shutdown(self: &Arc<Self>) {
        self.stopping.store(true, Ordering::SeqCst);
        self.hand_over_all().await;
        self.abort();
    }

    /// Stops all tasks immediately without handing over shares, as a crash would.
    pub fn abort(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        for task in self.tasks.lock().drain(..) {
            task.abort();
        }
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let handle = tokio::spawn(task).abort_handle();
        self.tasks.lock().push(handle);
    }

    fn account(&self, organisation: &OrganisationName) -> Option<Arc<Account>> {
        self.accounts.load().get(organisation).cloned()
    }

    fn set_limits(self: &Arc<Self>, organisation: &OrganisationName, limits: Limits) {
        let now = self.node.clock.now();
        if let Some(account) = self.account(organisation) {
            account.ledger.lock().set_limits(now, limits);
            return;
        }
        let create_guard = self.create_lock.lock();
        if self.account(organisation).is_some() {
            drop(create_guard);
            return self.set_limits(organisation, limits);
        }
        let account = Arc::new(Account::new(organisation.clone(), limits));
        let mut accounts = HashMap::clone(&self.accounts.load());
        accounts.insert(organisation.clone(), Arc::clone(&account));
        self.accounts.store(Arc::new(accounts));
        drop(create_guard);
        self.spawn(Arc::clone(self).serve_waiting(account));
    }

    fn reservations_lock(&self, request: &RequestId) -> &Mutex<HashMap<RequestId, Arc<Account>>> {
        use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(request);
        &self.reservations[hash as usize % RESERVATION_LOCKS]
    }

    /// Reserves from local tokens, without waiting.
    fn try_reserve(&self, account: &Arc<Account>, request: &RequestId, tokens: u64) -> ReserveResult {
        let result = account.try_reserve(&self.node, request, tokens);
        if matches!(result, ReserveResult::Reserved) {
            self.reservations_lock(request)
                .lock()
                .insert(request.clone(), Arc::clone(account));
        }
        result
    }

    fn refusal(&self, account: &Account, tokens: u64, code: Code) -> QuotaRefusal {
        account.refusal(self.node.clock.now(), tokens, code)
    }
}

/// Releases the reservation when dropped, unless its caller was told that it is granted. It may be granted just as the
/// caller stops waiting.
struct CancelGuard<'a> {
    service: &'a QuotaService,
    request: &'a RequestId,
    armed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.service.settle(self.request, 0);
        }
    }
}

#[async_trait]
impl Quota for QuotaService {
    async fn reserve(
        &self,
        organisation: &OrganisationName,
        request: &RequestId,
        tokens: u64,
        deadline: Millis,
    ) -> Result<(), QuotaRefusal> {
        let Some(account) = self.account(organisation) else {
            return Err(QuotaRefusal {
                code: Code::QuotaUnavailable,
                retry_after_ms: None,
                limit: 0,
                remaining: 0,
            });
        };
        match self.try_reserve(&account, request, tokens) {
            ReserveResult::Reserved => return Ok(()),
            ReserveResult::ExceedsBurst => return Err(self.refusal(&account, tokens, Code::RequestExceedsBurst)),
            ReserveResult::TooFewTokens => {}
        }
        let mut guard = CancelGuard {
            service: self,
            request,
            armed: true,
        };
        let now = self.node.clock.now();
        let wait_until = deadline.min(now + RESERVE_TIMEOUT_MS);
        let result_rx = account.enqueue(request.clone(), tokens, wait_until);
        let timeout = std::time::Duration::from_millis(wait_until.since(now));
        let result = match tokio::time::timeout(timeout, result_rx).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(account.shortage_code(self.node.clock.now(), tokens)),
        };
        guard.armed = result.is_err();
        result.map_err(|code| self.refusal(&account, tokens, code))
    }

    fn settle(&self, request: &RequestId, used: u64) {
        let account = self.reservations_lock(request).lock().remove(request);
        if let Some(account) = account {
            account.ledger.lock().settle(self.node.clock.now(), request, used);
        }
    }
}
