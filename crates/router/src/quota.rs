//! Fleet-wide rate and burst of organisations over peers and the platform.
//!
//! The rules are in [`guava_core::quota`]; here they meet the network. A reservation that local tokens cover takes
//! only the lock of its organisation and one of [`REGISTRY_PARTS`] registry locks, and never waits. Others wait in the
//! organisation's queue, and one task per organisation asks the holders on behalf of the whole queue.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use async_trait::async_trait;
use guava_core::codes::Code;
use guava_core::ids::{OrganisationName, RequestId};
use guava_core::quota::{GATHER_MS, Limits, RouterIncarnation, UNITS_PER_TOKEN};
use guava_core::units::Millis;
use guava_node::Node;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use parking_lot::Mutex;
use tokio::task::AbortHandle;

use crate::{Quota, QuotaRefusal};
use account::{Account, Attempt};

mod account;
mod ownership;
mod rpc;

/// Locks over which open reservations are spread, so that organisations rarely meet at one.
const REGISTRY_PARTS: usize = 64;

/// Quota of all organisations at one router.
#[derive(Debug)]
pub struct QuotaService {
    node: Node,
    me: RouterIncarnation,
    accounts: ArcSwap<HashMap<OrganisationName, Arc<Account>>>,
    create_account: Mutex<()>,
    registry: Vec<Mutex<HashMap<RequestId, Arc<Account>>>>,
    tasks: Mutex<Vec<AbortHandle>>,
    stopping: AtomicBool,
}

impl QuotaService {
    /// Starts to serve quota: follows the configuration, takes the shares that belong here and answers reservations.
    ///
    /// Must be called within a tokio runtime.
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
            create_account: Mutex::new(()),
            registry: (0..REGISTRY_PARTS).map(|_| Mutex::default()).collect(),
            tasks: Mutex::default(),
            stopping: AtomicBool::new(false),
        });
        // Subscribes before reading the entries, so that no change falls between the two.
        let changes = service.node.gossip.subscribe();
        service.apply_entries();
        service.run(Arc::clone(&service).follow_spread(changes));
        service.run(Arc::clone(&service).keep_shares());
        service
    }

    /// Registers the metrics of quota.
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

    /// Hands over all shares and stops. Reservations are still settled afterwards, without effect on others.
    pub async fn shutdown(self: &Arc<Self>) {
        self.stopping.store(true, Ordering::SeqCst);
        self.hand_over_all().await;
        self.abort();
    }

    /// Stops all tasks at once, as the end of the process does.
    pub fn abort(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        for task in self.tasks.lock().drain(..) {
            task.abort();
        }
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    fn run(&self, task: impl Future<Output = ()> + Send + 'static) {
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
        let guard = self.create_account.lock();
        if self.account(organisation).is_some() {
            drop(guard);
            return self.set_limits(organisation, limits);
        }
        let account = Arc::new(Account::new(organisation.clone(), limits));
        let mut accounts = HashMap::clone(&self.accounts.load());
        accounts.insert(organisation.clone(), Arc::clone(&account));
        self.accounts.store(Arc::new(accounts));
        drop(guard);
        self.run(Arc::clone(self).gather(account));
    }

    fn registry_of(&self, request: &RequestId) -> &Mutex<HashMap<RequestId, Arc<Account>>> {
        use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(request);
        &self.registry[hash as usize % REGISTRY_PARTS]
    }

    /// Reserves from what is here.
    fn attempt(&self, account: &Arc<Account>, request: &RequestId, tokens: u64) -> Attempt {
        let attempt = account.attempt(&self.node, request, tokens);
        if matches!(attempt, Attempt::Granted) {
            self.registry_of(request)
                .lock()
                .insert(request.clone(), Arc::clone(account));
        }
        attempt
    }

    fn refuse(&self, account: &Account, tokens: u64, code: Code) -> QuotaRefusal {
        account.refusal(self.node.clock.now(), tokens, code)
    }
}

/// Gives back a reservation whose caller has stopped waiting for it.
struct Abandoned<'a> {
    service: &'a QuotaService,
    request: &'a RequestId,
    armed: bool,
}

impl Drop for Abandoned<'_> {
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
        match self.attempt(&account, request, tokens) {
            Attempt::Granted => return Ok(()),
            Attempt::ExceedsBurst => return Err(self.refuse(&account, tokens, Code::RequestExceedsBurst)),
            Attempt::Short => {}
        }
        let mut abandoned = Abandoned {
            service: self,
            request,
            armed: true,
        };
        let now = self.node.clock.now();
        let until = deadline.min(now + GATHER_MS);
        let answer = account.wait(request.clone(), tokens, until);
        let limit = std::time::Duration::from_millis(until.since(now));
        let result = match tokio::time::timeout(limit, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(account.shortage(self.node.clock.now(), tokens)),
        };
        abandoned.armed = result.is_err();
        result.map_err(|code| self.refuse(&account, tokens, code))
    }

    fn settle(&self, request: &RequestId, used: u64) {
        let account = self.registry_of(request).lock().remove(request);
        if let Some(account) = account {
            account.ledger.lock().settle(self.node.clock.now(), request, used);
        }
    }
}
