//! Entry of a program that is a member: settings are checked, then it runs until a signal asks it to stop.

use std::fmt::Display;
use std::process::ExitCode;

/// Exit code for faults in settings.
const EXIT_SETTINGS: u8 = 2;

/// Settings of a program as its entry sees them.
#[derive(Debug)]
pub struct Checked {
    /// Name of the program, for messages.
    pub name: &'static str,
    /// All faults of the settings.
    pub faults: Vec<String>,
    /// Whether the program only checks its settings.
    pub only_check: bool,
}

/// Reports all faults at once, or runs `run` on a multi-threaded tokio runtime.
pub fn run<E: Display>(checked: &Checked, run: impl Future<Output = Result<(), E>>) -> ExitCode {
    let name = checked.name;
    if !checked.faults.is_empty() {
        checked.faults.iter().for_each(|fault| eprintln!("{name}: {fault}"));
        return ExitCode::from(EXIT_SETTINGS);
    }
    if checked.only_check {
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{name}: threads: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
