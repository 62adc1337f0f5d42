//! Health of backend servers derived from request outcomes, and how VMs share it.

use guava_core::units::Millis;
use guava_fleet::health::{Health, Outcomes, SharedFailure, SharedHealth};

const SERVER: &str = "i-1";
/// Age at which shared outcomes expire.
const OLD_MS: u64 = 3_000;

fn outcomes(answered: u32, failed: u32) -> Vec<Outcomes> {
    vec![Outcomes {
        server: SERVER.to_owned(),
        answered,
        failed,
    }]
}

fn shared(age_ms: u64) -> Vec<SharedFailure> {
    vec![SharedFailure {
        server: SERVER.to_owned(),
        vms: 2,
        failing: 1.0,
        age_ms,
    }]
}

/// Coordinator that has received these counts of answered and failed requests, each pair from another VM.
fn coordinator(at: Millis, reports: &[(u32, u32)]) -> SharedHealth {
    let mut health = SharedHealth::default();
    for (vm, (answered, failed)) in reports.iter().enumerate() {
        health.note(&format!("vm-{vm}"), outcomes(*answered, *failed), at);
    }
    health
}

/// Guards against each VM of a fleet of a hundred sending its own requests to a dead server before it avoids it.
#[test]
fn a_server_that_fails_for_two_vms_is_avoided_by_the_others() {
    let now = Millis(10_000);
    let mut other_vm = Health::default();

    let new_failures = other_vm.put_shared(now, coordinator(now, &[(0, 2), (0, 1)]).failures(now));

    assert_eq!(new_failures.len(), 1, "{new_failures:?}");
    assert!(other_vm.is_avoided(now, SERVER));
    assert!(other_vm.failing(now, SERVER) > 0.9);
    assert!(
        other_vm.put_shared(now, shared(0)).is_empty(),
        "a known failure is not returned again"
    );
}

/// Guards against one VM with a broken network link making all others avoid a healthy server.
#[test]
fn failures_of_one_vm_are_not_shared() {
    let now = Millis(10_000);

    assert!(coordinator(now, &[(0, 20)]).failures(now).is_empty());
    assert!(coordinator(now, &[(0, 3), (0, 3), (20, 0)]).failures(now).is_empty());
}

/// Guards against a server that stays avoided because of old reports after it has recovered.
#[test]
fn shared_failures_expire() {
    let now = Millis(10_000);
    let coordinator = coordinator(now, &[(0, 2), (0, 1)]);
    let mut health = Health::default();
    health.put_shared(now, shared(1_000));

    assert!(coordinator.failures(now + OLD_MS).is_empty());
    assert!(health.is_avoided(now, SERVER));
    assert!(!health.is_avoided(now + (OLD_MS - 1_000), SERVER));
    assert!(health.put_shared(now, shared(OLD_MS)).is_empty());
}

/// Guards against a VM that trusts older shared failures more than a later success of its own.
#[test]
fn own_success_overrides_older_shared_failures() {
    let now = Millis(10_000);
    let mut health = Health::default();
    health.put_shared(now, shared(500));

    health.record_success(now, SERVER);

    assert!(!health.is_avoided(now, SERVER));
    health.put_shared(now + 100, shared(400));
    assert!(
        !health.is_avoided(now + 100, SERVER),
        "the failure was before the success"
    );
    health.put_shared(now + 500, shared(100));
    assert!(
        health.is_avoided(now + 500, SERVER),
        "the failure was after the success"
    );
}

/// Guards against reports that grow with the number of servers of a large fleet.
#[test]
fn only_servers_that_fail_are_reported() {
    let now = Millis(10_000);
    let mut health = Health::default();
    health.record_success(now, "i-2");
    health.record_success(now, SERVER);
    health.record_failure(now, SERVER);

    let reported = health.take_outcomes();

    assert_eq!(reported, outcomes(1, 1));
    health.record_success(now, SERVER);
    assert_eq!(health.take_outcomes(), outcomes(1, 0), "the recovery is reported too");
    assert!(health.take_outcomes().is_empty());
}
