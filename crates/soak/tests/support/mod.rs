//! Set-up of the tests with the real program.

use std::path::PathBuf;
use std::time::Duration;

use guava_platform_standin::caller::Call;
use guava_platform_standin::settings::STREAM_PATH;

/// The program, which `cargo build --bins` places beside the tests.
pub fn program() -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let dir = test
        .parent()
        .and_then(|it| it.parent())
        .expect("tests lie two folders below the programs");
    let program = dir.join("guava-entry");
    assert!(
        program.exists(),
        "build the programs first: cargo build --workspace --bins"
    );
    program
}

/// New folder of this name.
pub fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("guava-soak-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a writable folder");
    dir
}

/// Organisation with its key.
pub fn keys() -> Vec<(String, Vec<String>)> {
    vec![("bangor".to_owned(), vec!["key-1".to_owned()])]
}

/// Request of that organisation.
pub fn call(attempt: &str, path: &'static str) -> Call {
    Call {
        attempt: attempt.to_owned(),
        path,
        key: "key-1".to_owned(),
        model: (path == STREAM_PATH).then(|| "m1".to_owned()),
        deadline: Duration::from_secs(10),
    }
}
