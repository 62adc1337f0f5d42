//! Prints the log lines of all processes that explain one request.

use std::io::{self, Read, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use guava_entry::request_log::explain_request;

/// Prints the log lines of all processes that explain one request.
#[derive(Debug, Parser)]
#[command(name = "guava-story", version)]
struct Args {
    /// Id of the request.
    #[arg(long)]
    request: String,
    /// Log files of the processes; standard input if there are none.
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(0) => {
            eprintln!("guava-story: no log line has this request id");
            ExitCode::from(3)
        }
        Ok(_) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("guava-story: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> io::Result<usize> {
    let mut text = String::new();
    if args.files.is_empty() {
        io::stdin().read_to_string(&mut text)?;
    }
    for path in &args.files {
        text.push_str(&std::fs::read_to_string(path)?);
        text.push('\n');
    }
    let lines = explain_request(text.lines(), &args.request);
    let mut out = io::stdout().lock();
    for line in &lines {
        writeln!(out, "{line}")?;
    }
    Ok(lines.len())
}
