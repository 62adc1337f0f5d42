//! Sets up the stand-ins for the platform and the backend servers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use guava_core::config::{BackendServer, Key, Kind, Object};
use guava_core::ids::{KeyId, OperationId, OrganisationName, VmName, Zone};
use guava_core::keys::KeyHasher;
use guava_engine::{EngineSettings, ServerHandle, StandInEngine, StandInService, serve_engine, serve_service};
use guava_objects::{CheckpointKind, Expect, ObjectStore, StandInPlatform, VmInfo, VmState, checkpoint_name};

use crate::error::DevError;

/// Secret of the key that each organisation gets; the whole key is `gv_<organisation>_demonstration`.
const DEMO_SECRET: &str = "demonstration";
/// Time in which the stand-in engines generate a token, in microseconds.
const DECODE_US: u64 = 2_000;
/// Response time of the stand-in plain services.
const SERVICE_LATENCY: Duration = Duration::from_millis(1);

/// Handles of the running backend servers.
#[derive(Debug, Default)]
pub struct Backends {
    servers: Vec<ServerHandle>,
}

impl Backends {
    /// Stops the backend servers one after another.
    pub async fn stop(self) {
        for server_handle in self.servers {
            server_handle.stop().await;
        }
    }
}

/// Starts a backend server for each server object and writes its actual address into the object. The platform lists the
/// servers as VMs and offers the checkpoints of all models and adapters.
pub async fn start_backends(objects: &mut [Object], platform: &StandInPlatform) -> Result<Backends, DevError> {
    let mut backends = Backends::default();
    for object in objects {
        match object {
            Object::Server(server) => {
                let server_handle = start_backend(server, platform).await?;
                server.addr = server_handle.addr();
                platform
                    .vms
                    .set(vm_info(server.name.as_str(), &server.zone, server.addr));
                backends.servers.push(server_handle);
            }
            Object::Model(it) => {
                platform.weights.add(
                    &checkpoint_name(it.name.as_str(), it.version),
                    CheckpointKind::Model,
                    it.bytes,
                );
            }
            Object::Adapter(it) => {
                let name = checkpoint_name(it.name.as_str(), it.version);
                platform.weights.add(&name, CheckpointKind::Adapter, it.bytes);
            }
            _ => {}
        }
    }
    Ok(backends)
}

/// Starts a plain service if the server has no memory for models, otherwise an engine.
async fn start_backend(server: &BackendServer, platform: &StandInPlatform) -> Result<ServerHandle, DevError> {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    if server.memory_bytes == 0 {
        let service = StandInService::new(SERVICE_LATENCY.as_millis() as u64);
        return Ok(serve_service(&service, addr).await?);
    }
    let settings = EngineSettings {
        memory_bytes: server.memory_bytes,
        checks_fence: server.checks_fence,
        forgets_orders: server.forgets_orders,
        decode_us: DECODE_US,
        ..EngineSettings::default()
    };
    let engine = StandInEngine::new(
        settings,
        Some(Arc::<guava_objects::MemoryWeightStore>::clone(&platform.weights)),
    );
    Ok(serve_engine(&engine, addr).await?)
}

/// Returns the entry of a live VM for the platform's list of VMs.
pub fn vm_info(name: &str, zone: &Zone, addr: SocketAddr) -> VmInfo {
    VmInfo {
        name: VmName::new(name),
        instance: "1".to_owned(),
        zone: zone.clone(),
        addr,
        state: VmState::Live,
    }
}

/// Returns the key object of an organisation, with the secret `demonstration`.
pub fn demo_key(organisation: &OrganisationName, pepper: &str) -> Object {
    Object::Key(Key {
        id: KeyId::new(organisation.as_str()),
        organisation: organisation.clone(),
        hash: KeyHasher::new(pepper.as_bytes()).hash(DEMO_SECRET),
        withdrawn: false,
    })
}

/// Creates the objects in the store, in order; fails if one of them exists.
pub async fn write_objects(objects: &[Object], store: &dyn ObjectStore) -> Result<(), DevError> {
    for (index, object) in objects.iter().enumerate() {
        let operation = OperationId::new(format!("start-{index}"));
        let (kind, name): (Kind, &str) = (object.kind(), object.name());
        store
            .put(kind, name, &object.spec(), Expect::Absent, &operation)
            .await?;
    }
    Ok(())
}

/// Returns the platform's object store as the trait object that the process runtime takes.
pub fn object_store(platform: &StandInPlatform) -> Arc<dyn ObjectStore> {
    Arc::<guava_objects::MemoryObjectStore>::clone(&platform.objects)
}
