//! Set-up of the tests that start the entry process.

use std::path::PathBuf;
use std::time::Duration;

use guava_platform_standin::caller::{ANY_PROMPT, Call};
use guava_platform_standin::settings::STREAM_PATH;

/// Returns the path of the entry process, which `cargo build --bins` places in the parent of the tests' directory.
pub fn program() -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let dir = test
        .parent()
        .and_then(|it| it.parent())
        .expect("the test lies in a subdirectory of the programs' directory");
    let program = dir.join("guava-entry");
    assert!(
        program.exists(),
        "build the programs first: cargo build --workspace --bins"
    );
    program
}

/// Creates a temporary directory whose name contains `name` and the process id.
pub fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("guava-soak-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary directory can be created");
    dir
}

/// Returns the only organisation of the tests with its key.
pub fn keys() -> Vec<(String, Vec<String>)> {
    vec![("bangor".to_owned(), vec!["key-1".to_owned()])]
}

/// Returns a request of that organisation; streams ask for model m1.
pub fn call(attempt: &str, path: &'static str) -> Call {
    Call {
        attempt: attempt.to_owned(),
        path,
        key: "key-1".to_owned(),
        model: (path == STREAM_PATH).then(|| "m1".to_owned()),
        prompt: ANY_PROMPT.to_owned(),
        body: attempt.to_owned(),
        deadline: Duration::from_secs(10),
    }
}
