//! Starts and stops all processes of the system within this one.

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
use guava_node::intake::IntakeArgs;
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

/// Objects to create at start if no file is given.
const DEFAULT_OBJECTS: &str = include_str!("../../../examples/welsh.json");
/// Secret with which keys are hashed. It may be public, because the program listens on loopback only.
const PEPPER: &str = "development-pepper";
/// Operator's token for the administration APIs.
const TOKEN: &str = "development";
/// Time between failing readiness and closing listeners at shutdown; zero because there is no load balancer.
const BALANCER_NOTICE: Duration = Duration::ZERO;
/// Interval at which the readiness of a router is polled.
const READY_POLL: Duration = Duration::from_millis(20);

/// Processes of one entry VM.
#[derive(Debug)]
struct EntryVm {
    router: (Runtime, RouterProgram),
    controller: (Runtime, ControllerHandle),
    health: HttpServer,
    admin: (Runtime, HttpServer),
}

/// Runs the system until the process receives a shutdown signal; with `--check`, returns after checking the objects.
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
    let shutdown = shutdown_signal()?;
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
    for index in 0..args.vms {
        let seeds = vms
            .iter()
            .map(|it| it.controller.0.node.members.me().gossip_addr)
            .collect();
        vms.push(start_vm(args, index, seeds, &platform).await?);
    }
    for vm in &vms {
        while !vm.router.0.ready() {
            tokio::time::sleep(READY_POLL).await;
        }
    }
    print_endpoints(&vms, organisations.first().map_or("", |it| it.as_str()));
    shutdown.await;
    for vm in vms {
        stop_vm(vm).await?;
    }
    backends.stop().await;
    Ok(())
}

async fn start_vm(
    args: &Args,
    index: u16,
    mut seeds: Vec<SocketAddr>,
    platform: &StandInPlatform,
) -> Result<EntryVm, DevError> {
    let start_runtime = async |role, seeds: &[SocketAddr]| {
        let common = common_args(args, index, seeds);
        let store = standins::object_store(platform);
        Runtime::start(
            &common,
            role,
            store,
            Arc::<guava_objects::MemoryVmList>::clone(&platform.vms),
        )
        .await
    };
    let controller = start_runtime(Role::Controller, &seeds).await?;
    let gossip_addr = controller.node.members.me().gossip_addr;
    // Without this seed, the router and the administration API of the first VM would have none, and only processes that
    // start later would find them.
    seeds.push(gossip_addr);
    platform
        .vms
        .set(standins::vm_info(&vm_name(index), &zone(index), gossip_addr));
    let engine = Arc::new(HttpEngine::new());
    let controller_handle = guava_controller::serve(
        ControllerArgs::default(),
        controller.node.clone(),
        engine,
        controller.meter(),
    )
    .await?;
    controller.serve_rpc(controller_handle.rpc_module()).await?;
    let health = health_server::serve(loopback(args.health_port + index), controller.health())?;

    let router = start_runtime(Role::Router, &seeds).await?;
    let router_args = RouterArgs::new(loopback(args.router_port + index), PEPPER);
    let router_program = RouterProgram::start(router_args, &router).await?;

    let admin = start_runtime(Role::Admin, &seeds).await?;
    admin.serve_rpc(RpcModule::new(())).await?;
    let admin_args = AdminArgs {
        admin_addr: loopback(args.admin_port + index),
        admin_token: TOKEN.to_owned(),
        pepper: PEPPER.to_owned(),
    };
    let admin_server = guava_admin::serve(&admin_args, admin.node.clone(), admin.health())?;
    Ok(EntryVm {
        router: (router, router_program),
        controller: (controller, controller_handle),
        health,
        admin: (admin, admin_server),
    })
}

async fn stop_vm(vm: EntryVm) -> Result<(), DevError> {
    let (router_runtime, router) = vm.router;
    let (controller_runtime, controller) = vm.controller;
    let (admin_runtime, admin) = vm.admin;
    router_runtime.begin_shutdown();
    router.shutdown(BALANCER_NOTICE).await?;
    router_runtime.stop().await;
    controller.stop().await;
    controller_runtime.stop().await;
    vm.health.stop();
    admin.stop();
    admin_runtime.stop().await;
    Ok(())
}

fn print_endpoints(vms: &[EntryVm], organisation: &str) {
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

fn common_args(args: &Args, index: u16, seeds: &[SocketAddr]) -> CommonArgs {
    CommonArgs {
        vm: vm_name(index),
        zone: zone(index).to_string(),
        gossip_addr: loopback(0),
        rpc_addr: loopback(0),
        // Routers and administration APIs answer health checks on their own port; `start_vm` starts the health server
        // of the controller.
        health_addr: None,
        // Not used: the platform stand-in runs in this process.
        platform_addr: loopback(1),
        seeds: seeds.to_vec(),
        log_level: args.log_level,
        log_format: "text".to_owned(),
        balancer_notice_ms: BALANCER_NOTICE.as_millis() as u64,
        // Each VM has a router, a controller and an administration API in this process.
        intake: IntakeArgs::for_runtimes(3 * u64::from(args.vms)),
        check: false,
    }
}

fn vm_name(index: u16) -> String {
    format!("vm-{}", index + 1)
}

fn zone(index: u16) -> Zone {
    Zone::new(format!("zone-{}", index + 1))
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
