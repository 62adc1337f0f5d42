//! The processes under test and the platform around them.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use guava_platform_standin::caller::is_ready;
use guava_platform_standin::record::Record;
use guava_platform_standin::server::{Server, ServerSpec};
use guava_platform_standin::settings::{self, ENGINE_SERVICE, PLAIN_SERVICE, Vm};
use guava_platform_standin::store::Store;
use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::sleep;

use crate::error::SoakError;
use crate::proxy::Proxy;

/// Entry processes.
pub const VMS: usize = 4;
/// Model engines.
pub const ENGINE_COUNT: usize = 4;
/// Plain servers.
pub const DESK_COUNT: usize = 2;
/// Models; more than the engines hold together.
pub const MODELS: usize = 14;
/// Rate of each organisation in tokens per second.
pub const RATE: f64 = 30_000.0;
/// Availability zones.
const ZONES: [&str; 2] = ["caerdydd", "abertawe"];
/// First port of the entry processes.
const FIRST_PORT: u16 = 18_000;
/// Ports from which those of the entry processes are taken.
const PORTS: u16 = 14_000;
/// Longest time until the processes are ready.
const START: Duration = Duration::from_secs(20);

/// One entry process with the proxies before its store and its peers' port.
#[derive(Debug)]
pub struct Process {
    /// Its settings.
    pub vm: Vm,
    /// Link to the store.
    pub store_link: Proxy,
    /// Link from the other entry processes.
    pub peer_link: Proxy,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts the program.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub fn start(&mut self) -> Result<(), SoakError> {
        let log = std::fs::File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .env("GUAVAARCH_SETTINGS", &self.settings)
            .env("GUAVA_ADVERTISE", self.peer_link.address.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process that this one has started.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = pid.and_then(|it| Pid::from_raw(it as i32)) {
            // The process may have ended, and its id is not given away before it is waited for.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for the end of the process.
    pub async fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The status is of no interest: the process was told to end.
            let _ = child.wait().await;
        }
    }

    /// Whether it has ended although nobody told it to.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(Child::try_wait);
        matches!(ended, Some(Ok(Some(_))))
    }
}

/// Backend server and the proxy before it.
#[derive(Debug)]
pub struct Backend {
    /// Server; `None` while it is down.
    pub server: Option<Server>,
    /// Link from the entry processes.
    pub link: Proxy,
    address: SocketAddr,
    spec: ServerSpec,
    lives: u32,
}

/// Everything that runs.
#[derive(Debug)]
pub struct Fleet {
    /// Store.
    pub store: Store,
    /// What backend servers saw.
    pub record: Record,
    /// Entry processes.
    pub processes: Vec<Process>,
    /// Backend servers, engines first.
    pub backends: Vec<Backend>,
}

impl Fleet {
    /// Starts the platform and the processes and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Fails when something does not start.
    pub async fn start(program: &Path, dir: &Path, keys: &[(String, Vec<String>)]) -> Result<Self, SoakError> {
        let store = Store::start().await?;
        store.put("config", "main", settings::configuration(1, MODELS, keys, RATE));
        let mut fleet = Self {
            store,
            record: Record::default(),
            processes: Vec::new(),
            backends: Vec::new(),
        };
        for at in 0..ENGINE_COUNT {
            let models = vec![format!("m{}", 2 * at), format!("m{}", 2 * at + 1)];
            fleet.add_backend(ENGINE_SERVICE, at, Some(models)).await?;
        }
        for at in 0..DESK_COUNT {
            fleet.add_backend(PLAIN_SERVICE, at, None).await?;
        }
        fleet.add_processes(program, dir).await?;
        for process in &mut fleet.processes {
            process.start()?;
        }
        let ready = tokio::time::timeout(START, async {
            for process in &fleet.processes {
                while !is_ready(process.vm.readiness).await {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        });
        ready.await.or(Err(SoakError::NotReady))?;
        Ok(fleet)
    }

    async fn add_processes(&mut self, program: &Path, dir: &Path) -> Result<(), SoakError> {
        let mut ports = Vec::new();
        for _ in 0..VMS {
            ports.push((free_address()?, free_address()?, free_address()?));
        }
        let mut links = Vec::new();
        for (.., peers) in &ports {
            links.push(Proxy::start(*peers).await?);
        }
        let seeds: Vec<SocketAddr> = links.iter().map(|it| it.address).take(3).collect();
        for (at, ((callers, readiness, peers), peer_link)) in ports.into_iter().zip(links).enumerate() {
            let store_link = Proxy::start(self.store.address).await?;
            let vm = Vm {
                name: format!("vm-{at}"),
                zone: ZONES[at % ZONES.len()].to_owned(),
                callers,
                readiness,
                peers,
                seeds: seeds.clone(),
                store: store_link.address,
            };
            let settings = dir.join(format!("vm-{at}.toml"));
            std::fs::write(&settings, settings::file(&vm))?;
            self.processes.push(Process {
                vm,
                store_link,
                peer_link,
                program: program.to_owned(),
                settings,
                log: dir.join(format!("vm-{at}.log")),
                child: None,
            });
        }
        Ok(())
    }

    async fn add_backend(&mut self, service: &str, at: usize, models: Option<Vec<String>>) -> Result<(), SoakError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = Proxy::start(address).await?;
        let spec = ServerSpec {
            id: format!("{service}-{at}"),
            service: service.to_owned(),
            zone: ZONES[at % ZONES.len()].to_owned(),
            models,
        };
        let server = Server::start(spec.clone(), listener, link.address, &self.store, &self.record);
        self.backends.push(Backend {
            server: Some(server),
            link,
            address,
            spec,
            lives: 1,
        });
        Ok(())
    }
}

impl Backend {
    /// Starts a new life with an id of its own at the same address.
    ///
    /// # Errors
    ///
    /// Fails when the address is not free again.
    pub fn restart(&mut self, store: &Store, record: &Record) -> Result<(), SoakError> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(256)?;
        let mut spec = self.spec.clone();
        spec.id = format!("{}-life-{}", spec.id, self.lives);
        spec.models = spec.models.map(|_| Vec::new());
        self.lives += 1;
        self.server = Some(Server::start(spec, listener, self.link.address, store, record));
        Ok(())
    }
}

/// Address of a port that is free now, below the ports that the system hands out for outgoing connections.
fn free_address() -> Result<SocketAddr, SoakError> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id() as u16;
    for _ in 0..PORTS {
        let port = FIRST_PORT + first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if StdListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no port is free").into())
}
