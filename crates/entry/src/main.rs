//! Program of the entry process: arguments, settings, logging and the runtime.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use guava_entry::{logging, program};
use guava_platform::settings::{IntakeSettings, PATH_VARIABLE, Settings};
use log::LevelFilter;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Serves callers on one VM of the users' platform and takes part in the control of the deployment.
#[derive(Debug, Parser)]
#[command(name = "guava-entry", version)]
struct Args {
    /// Check the settings file and exit.
    #[arg(long)]
    check: bool,
    /// Lowest level that is logged: error, warn, info, debug or trace. Decisions on single requests are logged at
    /// debug.
    #[arg(long, env = "GUAVA_LOG_LEVEL", default_value = "debug")]
    log_level: LevelFilter,
    /// Port of the metrics page, at /metrics on the callers' address. Without a port no metrics are served.
    #[arg(long, env = "GUAVA_METRICS_PORT")]
    metrics_port: Option<u16>,
    /// Address that other entry processes use for this one, if it is behind a forwarder.
    #[arg(long, env = "GUAVA_ADVERTISE")]
    advertise: Option<SocketAddr>,
    /// Bytes held for callers, in MB; derived from the VM's memory if missing.
    #[arg(long, env = "GUAVA_INTAKE_MB")]
    intake_mb: Option<u64>,
    /// Requests of callers that have not been received whole; half of the connections if missing.
    #[arg(long, env = "GUAVA_INTAKE_REQUESTS")]
    intake_requests: Option<u64>,
    /// Connections of callers; derived from the VM's memory and descriptors if missing.
    #[arg(long, env = "GUAVA_INTAKE_CONNECTIONS")]
    intake_connections: Option<u64>,
    /// Percentage of these limits above which the clients of one address are rejected first; 100 for no difference
    /// between addresses.
    #[arg(long, env = "GUAVA_INTAKE_ADDRESS_PERCENT", value_parser = clap::value_parser!(u64).range(1..=100))]
    intake_address_percent: Option<u64>,
}

fn main() -> ExitCode {
    // The allocator asks for huge pages of 2 MB. A process that uses 1 MB took up 8.5 MB with them.
    if let Err(e) = rustix::thread::disable_transparent_huge_pages(true) {
        eprintln!("guava-entry: huge pages remain in use: {e}");
    }
    let args = Args::parse();
    let mut settings = match Settings::load() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("guava-entry: {e} (the file is named by ${PATH_VARIABLE})");
            return ExitCode::from(2);
        }
    };
    if let Some(address) = args.advertise {
        settings.advertised = address;
    }
    settings.intake = IntakeSettings {
        bytes_mb: args.intake_mb,
        requests: args.intake_requests,
        connections: args.intake_connections,
        address_percent: args.intake_address_percent,
    };
    if args.check {
        println!("settings of {} are valid", settings.vm);
        return ExitCode::SUCCESS;
    }
    logging::init(&settings.vm, args.log_level);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("guava-entry: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(program::run(settings, args.metrics_port)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("guava-entry: {e}");
            ExitCode::FAILURE
        }
    }
}
