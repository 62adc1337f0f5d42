//! Start and stop of the embedded system.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use guava_admin::AdminArgs;
use guava_controller::{ControllerArgs, ControllerHandle};
use guava_core::config::Object;
use guava_core::ids::{Role, Zone};
use guava_engine::HttpEngine;
use guava_node::health_server;
use guava_node::http::HttpServer;
use guava_node::runtime::Runtime;
use guava_node::settings::CommonArgs;
use guava_node::signal::shutdown_signal;
use guava_objects::StandInPlatform;
use guava_router::RouterArgs;
use guava_router::program::RouterProgram;
use jsonrpsee::RpcModule;

use crate::config::Args;
use crate::error::DevError;
use crate::standins;

/// Objects that the program starts with when no file is named.
const DEFAULT_OBJECTS: &str = include_str!("../../../examples/welsh.json");
/// Secret under which keys are hashed; the program never leaves loopback.
const PEPPER: &str = "development-pepper";
/// Operator's token of the development program.
const TOKEN: &str = "development";
/// Balancer notice: there is no balancer.
const NOTICE: Duration = Duration::ZERO;
/// Time between looks at whether a router is ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// Processes of one entry VM.
#[derive(Debug)]
struct EntryVm {
    router: (Runtime, RouterProgram),
    controller: (Runtime, ControllerHandle),
    health: HttpServer,
    admin: (Runtime, HttpServer),
}

/// Runs the system until a signal asks it to stop.
pub fn run(args: &Args) -> Result<(), DevError> {
    let objects = read_objects(args)?;
    if args.check {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(serve(args, objects))
}

fn read_objects(args: &Args) -> Result<Vec<Object>, DevError> {
    let text = match &args.config {
        Some(path) => fs::read_to_string(path)?,
        None => DEFAULT_OBJECTS.to_owned(),
    };
    let objects: Vec<Object> = serde_json::from_str(&text).map_err(|error| DevError::Objects(error.to_string()))?;
    let faults: Vec<_> = objects
        .iter()
        .flat_map(|it| {
            it.check()
                .into_iter()
                .map(|fault| format!("{} {}: {}", it.name(), fault.field, fault.accepted))
        })
        .collect();
    if faults.is_empty() {
        Ok(objects)
    } else {
        Err(DevError::Objects(faults.join("; ")))
    }
}

async fn serve(args: &Args, mut objects: Vec<Object>) -> Result<(), DevError> {
    let stop = shutdown_signal()?;
    let platform = StandInPlatform::new();
    let backends = standins::start_backends(&mut objects, &platform).await?;
    let organisations: Vec<_> = objects
        .iter()
        .filter_map(|it| {
            if let Object::Organisation(it) = it {
                Some(it.name.clone())
            } else {
                None
            }
        })
        .collect();
    objects.extend(organisations.iter().map(|it| standins::demo_key(it, PEPPER)));
    standins::write_objects(&objects, &*platform.objects).await?;
    let mut vms: Vec<EntryVm> = Vec::new();
    for number in 0..args.vms {
        let seeds = vms
            .iter()
            .map(|it| it.controller.0.node.members.me().gossip_addr)
            .collect();
        vms.push(start_vm(args, number, seeds, &platform).await?);
    }
    for vm in &vms {
        while !vm.router.0.ready() {
            tokio::time::sleep(READY_POLL).await;
        }
    }
    announce(&vms, organisations.first().map_or("", |it| it.as_str()));
    stop.await;
    for vm in vms {
        stop_vm(vm).await?;
    }
    backends.stop().await;
    Ok(())
}

async fn start_vm(
    args: &Args,
    number: u16,
    mut seeds: Vec<SocketAddr>,
    platform: &StandInPlatform,
) -> Result<EntryVm, DevError> {
    let start = async |role, seeds: &[SocketAddr]| {
        let common = common_args(args, number, seeds);
        let store = standins::object_store(platform);
        Runtime::start(
            &common,
            role,
            store,
            Arc::<guava_objects::MemoryVmList>::clone(&platform.vms),
        )
        .await
    };
    let controller = start(Role::Controller, &seeds).await?;
    let gossip_addr = controller.node.members.me().gossip_addr;
    // Without it, the first VM's other processes are only found by the ones that start later.
    seeds.push(gossip_addr);
    platform
        .vms
        .set(standins::vm(&vm_name(number), &zone(number), gossip_addr));
    let engine = Arc::new(HttpEngine::new());
    let handle = guava_controller::serve(
        ControllerArgs::default(),
        controller.node.clone(),
        engine,
        controller.meter(),
    )
    .await?;
    controller.serve_rpc(handle.rpc_module()).await?;
    let health = health_server::serve(loopback(args.health_port + number), controller.health())?;

    let router = start(Role::Router, &seeds).await?;
    let router_args = RouterArgs::new(loopback(args.router_port + number), PEPPER);
    let router_program = RouterProgram::start(router_args, &router).await?;

    let admin = start(Role::Admin, &seeds).await?;
    admin.serve_rpc(RpcModule::new(())).await?;
    let admin_args = AdminArgs {
        admin_addr: loopback(args.admin_port + number),
        admin_token: TOKEN.to_owned(),
        pepper: PEPPER.to_owned(),
    };
    let admin_handle = guava_admin::serve(&admin_args, admin.node.clone(), admin.health())?;
    Ok(EntryVm {
        router: (router, router_program),
        controller: (controller, handle),
        health,
        admin: (admin, admin_handle),
    })
}

async fn stop_vm(vm: EntryVm) -> Result<(), DevError> {
    let (router_runtime, router) = vm.router;
    let (controller_runtime, controller) = vm.controller;
    let (admin_runtime, admin) = vm.admin;
    router_runtime.begin_shutdown();
    router.shutdown(NOTICE).await?;
    router_runtime.stop().await;
    controller.stop().await;
    controller_runtime.stop().await;
    vm.health.stop();
    admin.stop();
    admin_runtime.stop().await;
    Ok(())
}

fn announce(vms: &[EntryVm], organisation: &str) {
    for vm in vms {
        println!(
            "router http://{} admin http://{} controller http://{}/metrics",
            vm.router.1.handle.addr(),
            vm.admin.1.addr,
            vm.health.addr
        );
    }
    println!("key of {organisation}: gv_{organisation}_demonstration; operator's token: {TOKEN}");
    println!("ready");
}

fn common_args(args: &Args, number: u16, seeds: &[SocketAddr]) -> CommonArgs {
    CommonArgs {
        vm: vm_name(number),
        zone: zone(number).to_string(),
        gossip_addr: loopback(0),
        rpc_addr: loopback(0),
        // Routers and administration APIs answer health checks on their own port; controllers are started below.
        health_addr: None,
        // The stand-in platform is in this process; the address is not used.
        platform_addr: loopback(1),
        seeds: seeds.to_vec(),
        log_level: args.log_level,
        log_format: "text".to_owned(),
        balancer_notice_ms: NOTICE.as_millis() as u64,
        check: false,
    }
}

fn vm_name(number: u16) -> String {
    format!("vm-{}", number + 1)
}

fn zone(number: u16) -> Zone {
    Zone::new(format!("zone-{}", number + 1))
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
