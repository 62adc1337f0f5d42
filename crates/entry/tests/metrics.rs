//! Page of the metrics of the entry process.

use std::path::Path;

fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(path).expect("the file is in the repository")
}

/// Guards against a metric that an engineer on call finds on no page.
#[test]
fn each_metric_is_on_the_page_for_operators() {
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
