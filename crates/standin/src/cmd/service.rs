//! The command `guava-standin service`.

use std::net::SocketAddr;

use guava_engine::{StandInService, serve_service, serve_service_control};

use crate::util::{ListenArgs, StandInError, print_addr, wait_for_stop};

pub(crate) const USAGE: &str = "Serve a plain service that counts its calls";

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    #[command(flatten)]
    listen: ListenArgs,
    /// Address of a second listener, which stays open during the `down` fault; printed on the second line.
    #[arg(long, env = "GUAVA_STANDIN_CONTROL_ADDR")]
    control_addr: Option<SocketAddr>,
    /// Duration of a call, in milliseconds.
    #[arg(long, env = "GUAVA_STANDIN_LATENCY_MS", default_value_t = 0)]
    latency_ms: u64,
    /// Do not record individual calls.
    #[arg(long, env = "GUAVA_STANDIN_NO_RECORD")]
    no_record: bool,
}

pub(crate) fn run(args: &Args) -> Result<(), StandInError> {
    args.listen.runtime()?.block_on(serve(args))
}

async fn serve(args: &Args) -> Result<(), StandInError> {
    let service = StandInService::new(args.latency_ms);
    service.set_recording(!args.no_record);
    let server = serve_service(&service, args.listen.addr).await?;
    print_addr(server.addr())?;
    let control_server = match args.control_addr {
        Some(addr) => Some(serve_service_control(&service, addr).await?),
        None => None,
    };
    if let Some(control_server) = &control_server {
        print_addr(control_server.addr())?;
    }
    wait_for_stop().await
}
