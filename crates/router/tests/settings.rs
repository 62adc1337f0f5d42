//! Tests of the router's settings.

use guava_router::RouterArgs;

/// Guards against reporting only the first of several settings that are out of range.
#[test]
fn all_faults_are_reported_together() {
    let addr = "127.0.0.1:0".parse().expect("a valid address");
    let valid = RouterArgs::new(addr, "a pepper of 16 b");
    let mut invalid = RouterArgs::new(addr, "short");
    invalid.body_limit_bytes = 0;
    invalid.drain_timeout_ms = 0;

    let faults = invalid.check();

    assert_eq!(valid.check(), Vec::<String>::new());
    let flags = ["--pepper", "--body-limit-bytes", "--drain-timeout-ms"];
    assert!(
        flags.iter().all(|flag| faults.iter().any(|it| it.starts_with(flag))),
        "{faults:?}"
    );
    assert_eq!(faults.len(), flags.len());
    assert!(!format!("{invalid:?}").contains("short"), "the pepper is a secret");
}
