//! Settings of the router.

use guava_router::RouterArgs;

/// Guards against a start that reports only the first of several faults.
#[test]
fn all_faults_are_reported_together() {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let sound = RouterArgs::new(addr, "a pepper of 16 b");
    let mut broken = RouterArgs::new(addr, "short");
    broken.body_limit_bytes = 0;
    broken.drain_timeout_ms = 0;

    let faults = broken.check();

    assert_eq!(sound.check(), Vec::<String>::new());
    let flags = ["--pepper", "--body-limit-bytes", "--drain-timeout-ms"];
    assert!(
        flags.iter().all(|flag| faults.iter().any(|it| it.starts_with(flag))),
        "{faults:?}"
    );
    assert_eq!(faults.len(), flags.len());
    assert!(!format!("{broken:?}").contains("short"), "the pepper is a secret");
}
