//! Tests of the end of a coordinator's term.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use guava_entry::coordinator::Coordinator;
use guava_entry::peers::Resign;
use guava_entry::state::{EntryState, now};
use guava_fleet::placement::OrderAges;
use guava_platform::{CallError, Http};
use http::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Store that accepts all writes of the lease until it falls silent, and other processes that record announced ends of
/// terms.
#[derive(Debug, Default)]
struct FakeDeployment {
    lease: Mutex<Option<Value>>,
    is_silent: AtomicBool,
    resigned: Mutex<Vec<Resign>>,
}

#[async_trait]
impl Http for FakeDeployment {
    async fn call(&self, _: SocketAddr, req: Request<Bytes>, _: Duration) -> Result<Response<Bytes>, CallError> {
        if req.uri().path() == "/resign" {
            self.resigned
                .lock()
                .push(postcard::from_bytes(req.body()).expect("an announced end of a term"));
        }
        if !req.uri().path().contains("guava-leases") {
            return Err(CallError::NotRun("not faked".to_owned()));
        }
        if self.is_silent.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(200)).await;
            return Err(CallError::Unanswered("silent".to_owned()));
        }
        let mut lease = self.lease.lock();
        if !req.body().is_empty() {
            let mut object: Value = serde_json::from_slice(req.body()).expect("an object");
            let revision = lease
                .as_ref()
                .map_or(0, |it| it["metadata"]["revision"].as_u64().unwrap_or(0));
            object["metadata"]["revision"] = json!(revision + 1);
            *lease = Some(object);
        }
        let mut answer = Response::new(lease.as_ref().map_or_else(Bytes::new, |it| it.to_string().into()));
        if lease.is_none() {
            *answer.status_mut() = StatusCode::NOT_FOUND;
        }
        Ok(answer)
    }
}

fn coordinator(deployment: Arc<FakeDeployment>) -> (Arc<EntryState>, Arc<Coordinator>) {
    let state = support::new_state(deployment);
    support::add_peers(&state);
    let coordinator = Arc::new(Coordinator::new(Arc::clone(&state)));
    (state, coordinator)
}

async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = now();
    while !holds() {
        assert!(now().since(started) < 8_000, "{what}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a fleet that waits for the expiry of a lease, on the clocks of VMs that read it late, although its
/// holder lives and knows that its term has ended: the store fell silent for it, and no report shows that it answers
/// others.
#[tokio::test]
async fn end_of_a_term_is_announced_when_the_lease_runs_out() {
    let deployment = Arc::new(FakeDeployment::default());
    let (_state, coordinator) = coordinator(Arc::clone(&deployment));
    tokio::spawn(Arc::clone(&coordinator).maintain_lease());
    wait_until("the process acquires the lease", || coordinator.coordinates()).await;

    deployment.is_silent.store(true, Ordering::Relaxed);
    wait_until("the end is announced", || !deployment.resigned.lock().is_empty()).await;

    assert!(!coordinator.coordinates(), "nothing may follow the announced end");
    assert!(deployment.resigned.lock().iter().all(|it| it.term == 1));
}

/// Guards against an announcement of an earlier term, from a process that was frozen, that hides a later one and with it
/// the ages of the last orders.
#[tokio::test]
async fn late_announcement_does_not_hide_a_later_one() {
    let (_state, coordinator) = coordinator(Arc::default());
    let resign = |term: u64| Resign {
        term,
        order_ages: OrderAges::default(),
        successor: None,
    };

    coordinator.handle_resignation(resign(5));
    coordinator.handle_resignation(resign(3));

    assert_eq!(coordinator.last_resigned_term(), Some(5));
}
