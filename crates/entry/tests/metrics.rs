//! Test of the documentation of the entry process's metrics.

use std::path::Path;

fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(path).expect("the file is in the repository")
}

/// Guards against a metric that the operators' page does not describe.
#[test]
fn each_metric_is_on_the_operators_page() {
    let source = read("src/metrics.rs");
    let page = read("../../docs/OPERATIONS.md");

    let names = source
        .split('"')
        .filter(|it| it.starts_with("guava_") && !it.contains(' '));
    let names: Vec<&str> = names.collect();
    let missing: Vec<&&str> = names.iter().filter(|it| !page.contains(&format!("`{it}"))).collect();

    assert!(names.len() > 10, "names were found: {names:?}");
    assert!(missing.is_empty(), "{missing:?}");
}
