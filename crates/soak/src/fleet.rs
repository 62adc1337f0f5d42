//! Entry processes under test, with the stand-in of the platform that they run against.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use guava_platform_standin::caller::is_ready;
use guava_platform_standin::record::Record;
use guava_platform_standin::server::{ANY_VERSION, EVENT_INTERVAL, Server, ServerSpec};
use guava_platform_standin::settings::{self, ENGINE_SERVICE, PLAIN_SERVICE, Vm, VmLimits};
use guava_platform_standin::store::Store;
use guava_platform_standin::taking_up::EntryAddress;
use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::sleep;

use crate::error::SoakError;
use crate::proxy::{Pids, Proxy};

/// Usual number of entry processes, each on a VM of its own.
pub const VM_COUNT: usize = 4;
/// Number of model engines.
pub const ENGINE_COUNT: usize = 4;
/// Number of backend servers of the plain service.
pub const PLAIN_SERVER_COUNT: usize = 2;
/// Number of models, which is more than all engines can hold together.
pub const MODEL_COUNT: usize = 14;
/// Rate limit of each organisation in tokens per second, and its burst in tokens.
pub const RATE: f64 = 30_000.0;
/// Availability zones, among which processes and servers are spread.
const ZONES: [&str; 2] = ["caerdydd", "abertawe"];
/// Lowest port that an entry process may use.
const FIRST_PORT: u16 = 18_000;
/// Number of ports, from [`FIRST_PORT`] on, that entry processes may use.
const PORT_COUNT: u16 = 14_000;
/// Time within which all entry processes must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// An entry process, with the proxies for its links to the store and from the other entry processes.
#[derive(Debug)]
pub struct Process {
    /// Values from which its settings file is written, among them its addresses.
    pub vm: Vm,
    /// Link from this process to the store.
    pub store_link: Proxy,
    /// Link from the other entry processes to this one; its address is the one that this process advertises.
    pub peer_link: Proxy,
    program: PathBuf,
    limits: VmLimits,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    index: usize,
    pids: Pids,
}

impl Process {
    /// Writes the settings and starts the program, whose output is appended to its log file. Does not wait until the process is ready.
    ///
    /// # Errors
    ///
    /// Fails if the settings or the log file cannot be written, or the program cannot be started.
    pub fn start(&mut self) -> Result<(), SoakError> {
        std::fs::write(&self.settings, settings::limited_file(&self.vm, self.limits))?;
        let log = std::fs::File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .env("GUAVAARCH_SETTINGS", &self.settings)
            .env("GUAVA_ADVERTISE", self.peer_link.address.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        if let Some(pid) = child.id() {
            self.pids.put(self.index, pid);
        }
        self.child = Some(child);
        self.vm.is_first_start = false;
        Ok(())
    }

    /// Sends a signal to the process; without effect if it is not running.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = pid.and_then(|it| Pid::from_raw(it as i32)) {
            // Fails only if the process has ended; its id is not reused until it has been waited for.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until the process has exited; returns at once if it was never started.
    pub async fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The exit status is ignored, because the process was asked to exit.
            let _ = child.wait().await;
        }
    }

    /// Id of the running process; `None` if it is not running.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Largest resident memory of the running process so far, in bytes; `None` if it is not running.
    pub fn peak_memory(&self) -> Option<u64> {
        let pid = self.pid()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
        let kib: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kib * 1_024)
    }

    /// Whether the process has exited and has not been waited for with [`Process::wait`].
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(Child::try_wait);
        matches!(ended, Some(Ok(Some(_))))
    }
}

/// A backend server, with the proxy for the link to it.
#[derive(Debug)]
pub struct Backend {
    /// Running server; `None` while it is down.
    pub server: Option<Server>,
    /// Link from all entry processes to the server; its address is the one that the server registers.
    pub link: Proxy,
    address: SocketAddr,
    spec: ServerSpec,
    start_count: u32,
}

/// Entry processes, backend servers and store of one run.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in of the platform's store.
    pub store: Store,
    /// Requests and orders that reached the backend servers.
    pub record: Record,
    /// Entry processes, one a VM.
    pub processes: Vec<Process>,
    /// Backend servers: first [`ENGINE_COUNT`] engines, then [`PLAIN_SERVER_COUNT`] plain servers.
    pub backends: Vec<Backend>,
    organisations: Vec<(String, Vec<String>)>,
    configuration_version: u64,
    pids: Pids,
}

impl Fleet {
    /// Starts the store, the backend servers and [`VM_COUNT`] entry processes, and waits until all processes are ready.
    ///
    /// `organisations` holds the name of each organisation with its keys. Settings and logs are written to `dir`.
    ///
    /// # Errors
    ///
    /// Fails if a server or process cannot be started, or the processes are not ready in time.
    pub async fn start(program: &Path, dir: &Path, organisations: &[(String, Vec<String>)]) -> Result<Self, SoakError> {
        Self::start_sized(program, dir, organisations, VM_COUNT).await
    }

    /// The same with another number of entry processes.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub async fn start_sized(
        program: &Path,
        dir: &Path,
        organisations: &[(String, Vec<String>)],
        vms: usize,
    ) -> Result<Self, SoakError> {
        Self::start_limited(program, dir, organisations, vms, VmLimits::default()).await
    }

    /// The same with other limits of the VMs.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub async fn start_limited(
        program: &Path,
        dir: &Path,
        organisations: &[(String, Vec<String>)],
        vms: usize,
        limits: VmLimits,
    ) -> Result<Self, SoakError> {
        let store = Store::start().await?;
        store.put(
            "config",
            "main",
            settings::configuration(1, MODEL_COUNT, organisations, RATE),
        );
        let mut fleet = Self {
            store,
            record: Record::default(),
            processes: Vec::new(),
            backends: Vec::new(),
            organisations: organisations.to_vec(),
            configuration_version: 1,
            pids: Pids::default(),
        };
        for at in 0..ENGINE_COUNT {
            let models = vec![format!("m{}", 2 * at), format!("m{}", 2 * at + 1)];
            fleet.add_backend(ENGINE_SERVICE, at, Some(models)).await?;
        }
        for at in 0..PLAIN_SERVER_COUNT {
            fleet.add_backend(PLAIN_SERVICE, at, None).await?;
        }
        fleet.add_processes(program, dir, vms, limits).await?;
        for process in &mut fleet.processes {
            process.start()?;
        }
        let ready = tokio::time::timeout(START_TIMEOUT, async {
            for process in &fleet.processes {
                while !is_ready(process.vm.readiness).await {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        });
        ready.await.or(Err(SoakError::TimedOut))?;
        Ok(fleet)
    }

    async fn add_processes(
        &mut self,
        program: &Path,
        dir: &Path,
        vms: usize,
        limits: VmLimits,
    ) -> Result<(), SoakError> {
        let mut addresses = Vec::new();
        for _ in 0..vms {
            addresses.push((free_address()?, free_address()?, free_address()?));
        }
        let mut links = Vec::new();
        for (.., peers) in &addresses {
            links.push(Proxy::start(*peers).await?);
        }
        let seeds: Vec<SocketAddr> = links.iter().map(|it| it.address).take(3).collect();
        for (at, ((callers, readiness, peers), peer_link)) in addresses.into_iter().zip(links).enumerate() {
            let store_link = Proxy::start(self.store.address).await?;
            let vm = Vm {
                name: format!("vm-{at}"),
                zone: ZONES[at % ZONES.len()].to_owned(),
                callers,
                readiness,
                peers,
                seeds: seeds.clone(),
                store: store_link.address,
                is_first_start: true,
            };
            let settings = dir.join(format!("vm-{at}.toml"));
            self.processes.push(Process {
                vm,
                store_link,
                peer_link,
                program: program.to_owned(),
                limits,
                settings,
                log: dir.join(format!("vm-{at}.log")),
                child: None,
                index: at,
                pids: self.pids.clone(),
            });
        }
        Ok(())
    }

    /// Addresses of the entry processes.
    pub fn addresses(&self) -> Vec<EntryAddress> {
        let vms = self.processes.iter().map(|it| EntryAddress {
            callers: it.vm.callers,
            readiness: it.vm.readiness,
        });
        vms.collect()
    }

    /// Changes the interval between the events of streams, also for servers that are started later.
    pub fn set_event_interval(&mut self, interval: Duration) {
        for backend in &mut self.backends {
            backend.spec.event_interval = interval;
            if let Some(server) = &backend.server {
                server.set_event_interval(interval);
            }
        }
    }

    /// Writes the next version of the configuration, with other timeouts and, every other time, one more route.
    pub fn change_configuration(&mut self) {
        self.configuration_version += 1;
        let configuration =
            settings::changed_configuration(self.configuration_version, MODEL_COUNT, &self.organisations, RATE);
        self.store.put("config", "main", configuration);
    }

    /// Starts a server of `version` in place of a backend server and returns the one that was there, which goes on
    /// serving; `None` if that one is down.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn release(&mut self, index: usize, version: &str) -> Result<Option<Backend>, SoakError> {
        let before = &self.backends[index];
        if before.server.is_none() {
            return Ok(None);
        }
        let spec = ServerSpec {
            id: format!("{}-{version}", before.spec.id),
            version: version.to_owned(),
            ..before.spec.clone()
        };
        let new = self.start_backend(spec).await?;
        Ok(Some(std::mem::replace(&mut self.backends[index], new)))
    }

    async fn add_backend(&mut self, service: &str, at: usize, models: Option<Vec<String>>) -> Result<(), SoakError> {
        let spec = ServerSpec {
            id: backend_name(self.backends.len()),
            service: service.to_owned(),
            zone: ZONES[at % ZONES.len()].to_owned(),
            version: ANY_VERSION.to_owned(),
            event_interval: EVENT_INTERVAL,
            models,
            start_ms: None,
        };
        let backend = self.start_backend(spec).await?;
        self.backends.push(backend);
        Ok(())
    }

    async fn start_backend(&self, spec: ServerSpec) -> Result<Backend, SoakError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = Proxy::start_for(address, self.pids.clone()).await?;
        let server = Server::start(spec.clone(), listener, link.address, &self.store, &self.record);
        Ok(Backend {
            server: Some(server),
            link,
            address,
            spec,
            start_count: 1,
        })
    }
}

impl Backend {
    /// Starts the server again at the same address, with a new id and without loaded models.
    ///
    /// # Errors
    ///
    /// Fails if the address is still in use.
    pub fn restart(&mut self, store: &Store, record: &Record) -> Result<(), SoakError> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(256)?;
        let mut spec = self.spec.clone();
        spec.id = format!("{}-life-{}", spec.id, self.start_count);
        spec.models = spec.models.map(|_| Vec::new());
        self.start_count += 1;
        self.server = Some(Server::start(spec, listener, self.link.address, store, record));
        Ok(())
    }
}

/// Beginning of the ids of the servers that take this place among the backend servers.
pub fn backend_name(index: usize) -> String {
    match index.checked_sub(ENGINE_COUNT) {
        Some(at) => format!("{PLAIN_SERVICE}-{at}"),
        None => format!("{ENGINE_SERVICE}-{index}"),
    }
}

/// Returns a loopback address whose port is free. The port lies below those that the operating system assigns to
/// outgoing connections.
fn free_address() -> Result<SocketAddr, SoakError> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = std::process::id() as u16;
    for _ in 0..PORT_COUNT {
        let port = FIRST_PORT + offset.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if StdListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no free port for an entry process").into())
}
