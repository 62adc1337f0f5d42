//! Coordinator of the entry processes: rounds of decisions, reports of VMs, and what is told of the engines.

use std::collections::HashMap;

use guava_core::units::Millis;
use guava_entry::changes::Changes;
use guava_entry::cluster_view::ClusterView;
use guava_fleet::model::{BackendServer, EngineSpec, HeldModel, ModelSpec, ServerState};
use guava_fleet::placement::{Demand, EngineReport, Placement, QuietPeriods, Running};

use super::Series;
use crate::process::{ns_per_call, timed};

/// Backend servers, models and VMs: the grown deployment and its sweep, with the models of the design at the end.
const SIZES: [(usize, usize, usize); 4] = [(60, 215, 30), (300, 700, 100), (1_000, 1_700, 150), (3_000, 1_700, 300)];
const DESIGN: f64 = 10_000.0;
const ROUNDS: u64 = 20;
/// One of so many models is asked for in a round.
const COLD_EVERY: usize = 20;
/// Models on an engine; they fill it.
const HELD: usize = 3;
/// Servers at which a VM has requests.
const RUNNING: usize = 10;
const SERVICE: &str = "advice";

struct Scene {
    placement: Placement,
    servers: Vec<BackendServer>,
    models: usize,
    vms: usize,
    now: Millis,
}

fn spec(models: usize) -> EngineSpec {
    let size = ModelSpec {
        mb: 60_000.0,
        adapter_mb: 60.0,
        store_ms: 7_800,
        disk_ms: 1_300,
        host_ms: 600,
    };
    EngineSpec {
        slots: 48,
        memory_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_s: 20.0,
        host_mb: 140_000.0,
        models: (0..models).map(|it| (format!("model-{it}"), size.clone())).collect(),
    }
}

fn server(index: usize, models: usize) -> BackendServer {
    let name = |slot: usize| format!("model-{}", (index * HELD + slot) % models);
    let held = |slot: usize| HeldModel {
        name: name(slot),
        adapters: Vec::new(),
    };
    BackendServer {
        id: format!("runner-{index}"),
        service: SERVICE.to_owned(),
        address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 8_000).into(),
        zone: format!("zone-{}", index % 3),
        slots: 48,
        state: ServerState::Ready,
        born_ms: 1,
        leaves_in_ms: None,
        held: (0..HELD).map(held).collect(),
        in_memory: Vec::new(),
        on_disk: (0..4 * HELD).map(name).collect(),
    }
}

fn state(server: &BackendServer) -> EngineReport {
    EngineReport {
        orders: 0,
        is_busy: false,
        held: server.held.clone(),
        in_memory: server.in_memory.clone(),
        on_disk: server.on_disk.clone(),
    }
}

fn scene((servers, models, vms): (usize, usize, usize)) -> Scene {
    let mut scene = Scene {
        placement: Placement::default(),
        servers: (0..servers).map(|it| server(it, models)).collect(),
        models,
        vms,
        now: Millis(1_000),
    };
    let specs = HashMap::from([(SERVICE.to_owned(), spec(models))]);
    scene.placement.set_specs(specs);
    scene.placement.set_servers(&scene.servers, scene.now);
    scene.placement.start_term(scene.now, QuietPeriods::default());
    scene
}

impl Scene {
    /// Report of one VM: requests at ten servers, and for every 20th model one that waits.
    fn report(&mut self, vm: usize, with_demand: bool) {
        let demand = (vm % COLD_EVERY..self.models).step_by(COLD_EVERY).map(|it| Demand {
            service: SERVICE.to_owned(),
            model: format!("model-{it}"),
            adapter: None,
            waiting: 1,
            oldest_ms: 50,
            arrived: 1,
            prompt_tokens: 1_500,
        });
        let demand = if with_demand {
            demand.take(3).collect()
        } else {
            Vec::new()
        };
        let running = (0..RUNNING).map(|it| {
            let server = &self.servers[(vm * RUNNING + it) % self.servers.len()];
            Running {
                server: server.id.clone(),
                model: server.held[0].name.clone(),
                count: 2,
            }
        });
        let running = running.collect();
        let vm = format!("vm-{vm}");
        self.placement.record_report(&vm, demand, running, 3_000, self.now);
    }

    fn reports(&mut self, with_demand: bool) {
        (0..self.vms).for_each(|vm| self.report(vm, with_demand));
    }
}

pub(super) fn measure() -> Vec<Series> {
    let mut start = Series::new("placement: start of a term, all states", "servers", "ms", DESIGN);
    let mut idle = Series::new("placement: round without demand", "servers", "µs", DESIGN);
    let mut busy = Series::new("placement: round while models wait", "servers", "µs", DESIGN);
    let mut waits = Series::new("placement: waits and loads told", "servers", "µs", DESIGN);
    let mut entry = Series::new("placement: change of one server's entry", "servers", "µs", DESIGN);
    let mut told = Series::new("placement: telling a change", "servers", "µs", DESIGN);
    for size in SIZES {
        let mut scene = scene(size);
        let (servers, ..) = size;
        let states: Vec<(String, EngineReport)> = scene.servers.iter().map(|it| (it.id.clone(), state(it))).collect();
        let mut believed = ClusterView::default();
        let ((), ns) = timed(|| {
            std::hint::black_box(scene.placement.polls(usize::MAX, scene.now));
            for (id, state) in &states {
                scene.placement.record_state(id, state, scene.now);
                tell(&mut scene, &mut believed);
            }
        });
        start.add(servers, ns / 1e6);
        scene.reports(false);
        idle.add(servers, rounds(&mut scene) / 1e3);
        scene.reports(true);
        busy.add(servers, rounds(&mut scene) / 1e3);
        let now = scene.now;
        let ns = ns_per_call(ROUNDS, |_| {
            std::hint::black_box((scene.placement.waits(now), scene.placement.published_loads(now)));
        });
        waits.add(servers, ns / 1e3);
        let ns = ns_per_call(ROUNDS, |it| {
            scene.servers[it as usize].leaves_in_ms = Some(it);
            scene.placement.set_servers(&scene.servers, now);
        });
        entry.add(servers, ns / 1e3);
        let ns = ns_per_call(ROUNDS, |it| {
            let state = if it % 2 == 0 {
                ServerState::Draining
            } else {
                ServerState::Ready
            };
            scene.servers[0].state = state;
            scene.placement.set_servers(&scene.servers, now);
            tell(&mut scene, &mut believed);
        });
        told.add(servers, ns / 1e3);
    }
    vec![start, idle, busy, waits, entry, told]
}

/// Passes what engines hold on to what the process believes, as the coordinator does after each change.
fn tell(scene: &mut Scene, believed: &mut ClusterView) {
    let version = (1, scene.placement.version());
    let (present, gone) = scene.placement.take_changes();
    let changes = Changes {
        change: 0,
        is_whole: false,
        present,
        gone,
    };
    believed.put_placement(version, changes, scene.now);
}

/// Processor time of a round.
fn rounds(scene: &mut Scene) -> f64 {
    ns_per_call(ROUNDS, |_| {
        scene.now = scene.now + 20;
        std::hint::black_box(scene.placement.next_orders(scene.now));
    })
}
