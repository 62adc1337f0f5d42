//! Fixture: a fleet of the real programs on loopback, with stand-ins as programs of their own.
//!
//! Every fleet has loopback addresses of its own, so that tests in parallel never meet. Child processes end with the
//! fixture.

#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use guava_core::config::{BackendServer, Key, Model, Object, Organisation, Pool, Profile};
use guava_core::ids::{KeyId, OperationId, VmName, Zone};
use guava_core::keys::KeyHasher;
use guava_engine::EngineRecord;
use guava_objects::{Expect, HttpObjectStore, ObjectStore, VmInfo, VmState};
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use link::Link;

mod link;

/// Secret of the deployment under test.
pub const PEPPER: &str = "pepper-for-tests-only";
/// Operator's token of the deployment under test.
pub const TOKEN: &str = "operator-token";
/// Limit of every wait. Long, so that a busy machine does not fail a test.
pub const PATIENCE: Duration = Duration::from_secs(90);
/// Memory of each engine, in bytes.
pub const ENGINE_BYTES: u64 = 1_000;
/// Memory of one replica, in bytes.
pub const MODEL_BYTES: u64 = 400;

const ROUTER_PORT: u16 = 7_100;
const ADMIN_PORT: u16 = 7_300;
const HEALTH_PORT: u16 = 7_200;
const GOSSIP_PORTS: u16 = 7_400;
const RPC_PORTS: u16 = 7_500;
const LINK_PORT: u16 = 7_600;
const SECRET: &str = "secret";

/// Numbers the fleets of one test process.
static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

/// A child process that is killed when it goes out of scope.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

impl Program {
    fn start(name: &str, args: &[&str]) -> (Self, BufReader<std::process::ChildStdout>) {
        let mut command = Command::new(binary(name));
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command
            .spawn()
            .unwrap_or_else(|error| panic!("{name}: {error}; build the workspace first"));
        let stdout = BufReader::new(child.stdout.take().expect("standard output is piped"));
        (Self { child }, stdout)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("process ids fit");
        // SAFETY: kill only takes numbers, and the child has not been waited for, so its id is still its own.
        assert_eq!(unsafe { libc::kill(pid, signal) }, 0);
    }

    /// Kills the process as a crash would.
    pub fn kill(&mut self) {
        self.child.kill().expect("child can be killed");
        self.child.wait().expect("child can be waited for");
    }

    /// Whether the process has ended, and with which exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .expect("child can be waited for")
            .and_then(|status| status.code())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of a program of this workspace, next to the directory of the test's own program.
pub fn binary(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("the test has a path");
    path.pop();
    path.pop();
    path.join(name)
}

/// Reads the first line and goes on reading, so that the child never blocks on a full pipe.
fn first_line(mut stdout: BufReader<std::process::ChildStdout>) -> String {
    let mut line = String::new();
    stdout.read_line(&mut line).expect("child prints its address");
    drain(stdout);
    line.trim().to_owned()
}

fn drain(stdout: BufReader<std::process::ChildStdout>) {
    std::thread::spawn(move || stdout.lines().map_while(Result::ok).for_each(drop));
}

/// Description of a fleet.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Entry VMs.
    pub vms: usize,
    /// Further arguments of each engine.
    pub engines: Vec<Vec<String>>,
    /// Further arguments of the platform.
    pub platform: Vec<String>,
    /// Further objects.
    pub objects: Vec<Object>,
}

impl Plan {
    /// A fleet of `vms` entry VMs and `engines` engines that load quickly.
    pub fn new(vms: usize, engines: usize) -> Self {
        Self {
            vms,
            engines: vec![Vec::new(); engines],
            platform: Vec::new(),
            objects: Vec::new(),
        }
    }

    /// Adds arguments to every engine.
    #[must_use]
    pub fn engine_args(mut self, args: &[&str]) -> Self {
        for engine in &mut self.engines {
            engine.extend(args.iter().map(|it| (*it).to_owned()));
        }
        self
    }

    /// Adds an object.
    #[must_use]
    pub fn object(mut self, object: Object) -> Self {
        self.objects.push(object);
        self
    }

    /// Adds arguments to the platform.
    #[must_use]
    pub fn platform_args(mut self, args: &[&str]) -> Self {
        self.platform.extend(args.iter().map(|it| (*it).to_owned()));
        self
    }
}

/// Programs of one entry VM.
#[derive(Debug)]
pub struct Vm {
    /// Router.
    pub router: Program,
    /// Controller.
    pub controller: Program,
    /// Administration API.
    pub admin: Program,
    ip: Ipv4Addr,
}

impl Vm {
    /// Sends a signal to all programs of the VM.
    pub fn signal_all(&self, signal: i32) {
        for program in [&self.router, &self.controller, &self.admin] {
            program.signal(signal);
        }
    }

    /// Address of the router's HTTP API.
    pub fn router_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, ROUTER_PORT))
    }

    /// Address of the controller's health checks and metrics.
    pub fn controller_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, HEALTH_PORT))
    }

    /// Address of the administration API.
    pub fn admin_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, ADMIN_PORT))
    }
}

/// An engine with its two addresses.
#[derive(Debug)]
pub struct EngineProgram {
    /// Process.
    pub program: Program,
    /// Address that routers use.
    pub addr: SocketAddr,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Entry VMs.
    pub vms: Vec<Vm>,
    /// Engines.
    pub engines: Vec<EngineProgram>,
    /// Platform.
    pub platform: Program,
    /// Address of the platform.
    pub platform_addr: SocketAddr,
    /// Links from each VM to the platform.
    pub links: Vec<Link>,
    subnet: (u8, u8),
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Answer to a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as far as it came.
    pub body: Vec<u8>,
    /// Whether the body ended as it should.
    pub whole: bool,
}

impl Answer {
    /// Body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Result code of an error.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// Profile of tests; requests may run twice.
pub fn idempotent_profile(name: &str) -> Profile {
    Profile {
        name: name.into(),
        first_token_ms: 60_000,
        cold_start_ms: 60_000,
        timeout_ms: 120_000,
        idempotent: true,
        require_idempotency_key: false,
        deferred: false,
        priority: 0,
        max_replicas: 1,
        queue_limit: 256,
        max_output_tokens: 16,
        cold_start_weight: 0.5,
    }
}

/// Profile of tests; requests run at most once.
pub fn filing_profile(name: &str) -> Profile {
    Profile {
        idempotent: false,
        ..idempotent_profile(name)
    }
}

/// Model of tests.
pub fn model(name: &str, profile: &str) -> Object {
    model_of(name, profile, MODEL_BYTES)
}

/// Model that no engine has room for. Loads ahead of demand leave room for the largest model, so there are none beside it.
pub fn oversized_model(name: &str, profile: &str) -> Object {
    model_of(name, profile, ENGINE_BYTES + 1)
}

fn model_of(name: &str, profile: &str, bytes: u64) -> Object {
    Object::Model(Model {
        name: name.into(),
        pool: "pool".into(),
        version: 1,
        bytes,
        profile: profile.into(),
        min_replicas: 0,
        slots: 32,
    })
}

/// Organisation of tests.
pub fn organisation(name: &str, rate: u64, burst: u64) -> Object {
    Object::Organisation(Organisation {
        name: name.into(),
        rate,
        burst,
        weight: 1,
    })
}

/// Key object of an organisation; [`key_text`] is its text.
pub fn key(organisation: &str) -> Object {
    Object::Key(Key {
        id: KeyId::new(organisation),
        organisation: organisation.into(),
        hash: KeyHasher::new(PEPPER.as_bytes()).hash(SECRET),
        withdrawn: false,
    })
}

/// Text of the key of an organisation.
pub fn key_text(organisation: &str) -> String {
    format!("gv_{organisation}_{SECRET}")
}

impl Fleet {
    /// Starts a fleet and waits until every router is ready.
    pub async fn start(plan: &Plan) -> Self {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let subnet = (10 + (std::process::id() % 200) as u8, number);
        let bytes = format!("--default-checkpoint-bytes={MODEL_BYTES}");
        let own = ["platform", bytes.as_str()];
        let args: Vec<&str> = own
            .into_iter()
            .chain(plan.platform.iter().map(String::as_str))
            .collect();
        let (platform, stdout) = Program::start("guava-standin", &args);
        let platform_addr: SocketAddr = first_line(stdout).parse().expect("the platform prints its address");
        let engines = plan
            .engines
            .iter()
            .map(|args| start_engine(platform_addr, args))
            .collect();
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        let mut fleet = Self {
            vms: Vec::new(),
            engines,
            platform,
            platform_addr,
            links: Vec::new(),
            subnet,
            client,
        };
        fleet.write_objects(plan).await;
        for number in 0..plan.vms {
            let addr = SocketAddr::from((fleet.ip(number), LINK_PORT));
            fleet.links.push(Link::start(addr, platform_addr).await);
        }
        for number in 0..plan.vms {
            fleet.list_vm(number, VmState::Live, "1").await;
        }
        for number in 0..plan.vms {
            let vm = fleet.start_vm(number, plan.vms);
            fleet.vms.push(vm);
        }
        for number in 0..plan.vms {
            fleet.wait_ready(number).await;
        }
        fleet
    }

    async fn write_objects(&self, plan: &Plan) {
        let mut objects = vec![
            Object::Profile(idempotent_profile("lookup")),
            Object::Profile(filing_profile("filing")),
            Object::Pool(Pool {
                name: "pool".into(),
                loads_per_second: 100.0,
                loads_at_once: 4,
                adapter_loads_at_once: 32,
            }),
            organisation("bangor", 1_000_000, 1_000_000),
            key("bangor"),
        ];
        for (index, engine) in self.engines.iter().enumerate() {
            let ignores = plan.engines[index].iter().any(|arg| arg == "--ignores-fence");
            objects.push(Object::Server(BackendServer {
                name: format!("runner-{index}").as_str().into(),
                addr: engine.addr,
                zone: Zone::new("zone-0"),
                pool: "pool".into(),
                memory_bytes: ENGINE_BYTES,
                checks_fence: !ignores,
                forgets_orders: false,
                draining: false,
            }));
        }
        objects.extend(plan.objects.iter().cloned());
        let store = self.store();
        for (index, object) in objects.iter().enumerate() {
            let operation = OperationId::new(format!("fixture-{index}"));
            let written = store
                .put(object.kind(), object.name(), &object.spec(), Expect::Absent, &operation)
                .await;
            written.expect("the platform takes the fixture's objects");
        }
        for (index, engine) in self.engines.iter().enumerate() {
            self.put_vm(&format!("runner-{index}"), engine.addr, VmState::Live, "1")
                .await;
        }
    }

    fn start_vm(&self, number: usize, count: usize) -> Vm {
        Vm {
            router: self.start_role(number, count, "router"),
            controller: self.start_role(number, count, "controller"),
            admin: self.start_role(number, count, "admin"),
            ip: self.ip(number),
        }
    }

    /// Starts the program of a role on a VM, again after it has ended.
    pub fn start_role(&self, number: usize, count: usize, role: &str) -> Program {
        let offset = match role {
            "router" => 0,
            "controller" => 1,
            _ => 2,
        };
        let ip = self.ip(number);
        let own = |port: u16| SocketAddr::from((ip, port)).to_string();
        let seeds: Vec<_> = (0..count)
            .flat_map(|it| (0..3).map(move |role| (it, role)))
            .map(|(it, role)| SocketAddr::from((self.ip(it), GOSSIP_PORTS + role)).to_string())
            .collect();
        let mut args = vec![
            format!("--vm=vm-{number}"),
            format!("--zone=zone-{number}"),
            format!("--gossip-addr={}", own(GOSSIP_PORTS + offset)),
            format!("--rpc-addr={}", own(RPC_PORTS + offset)),
            format!("--platform-addr={}", self.links[number].addr),
            format!("--seeds={}", seeds.join(",")),
            "--balancer-notice-ms=200".to_owned(),
            "--log-level=warn".to_owned(),
        ];
        match role {
            "router" => args.extend([
                format!("--listen-addr={}", own(ROUTER_PORT)),
                format!("--pepper={PEPPER}"),
                "--worker-threads=2".to_owned(),
            ]),
            "admin" => args.extend([
                format!("--admin-addr={}", own(ADMIN_PORT)),
                format!("--admin-token={TOKEN}"),
                format!("--pepper={PEPPER}"),
            ]),
            _ => args.push(format!("--health-addr={}", own(HEALTH_PORT))),
        }
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let (program, stdout) = Program::start(&format!("guava-{role}"), &args);
        drain(stdout);
        program
    }

    fn ip(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, number as u8 + 1)
    }

    /// Sets the state and instance of an entry VM in the platform's list.
    pub async fn list_vm(&self, number: usize, state: VmState, instance: &str) {
        let addr = SocketAddr::from((self.ip(number), GOSSIP_PORTS));
        self.put_vm(&format!("vm-{number}"), addr, state, instance).await;
    }

    async fn put_vm(&self, name: &str, addr: SocketAddr, state: VmState, instance: &str) {
        let vm = VmInfo {
            name: VmName::new(name),
            instance: instance.to_owned(),
            zone: Zone::new("zone-0"),
            addr,
            state,
        };
        let body = serde_json::to_value(vm).expect("a VM has a JSON form");
        let answer = self
            .call(
                self.platform_addr,
                Method::PUT,
                &format!("/vms/{name}"),
                &[],
                Some(&body),
            )
            .await;
        assert!(answer.status < 300, "the list takes a VM: {answer:?}");
    }

    /// The platform's object service.
    pub fn store(&self) -> HttpObjectStore {
        HttpObjectStore::new(self.platform_addr)
    }

    /// Sets faults of the platform.
    pub async fn platform_faults(&self, faults: &Value) {
        let answer = self
            .call(self.platform_addr, Method::PUT, "/faults", &[], Some(faults))
            .await;
        assert!(answer.status < 300, "the platform takes faults: {answer:?}");
    }

    /// Record of an engine.
    pub async fn record(&self, engine: usize) -> EngineRecord {
        let answer = self
            .call(self.engines[engine].addr, Method::GET, "/record", &[], None)
            .await;
        serde_json::from_slice(&answer.body).expect("the engine shows its record")
    }

    /// Waits until a router says that it is ready.
    pub async fn wait_ready(&self, number: usize) {
        let addr = SocketAddr::from((self.ip(number), ROUTER_PORT));
        wait_for("the router is ready", async || {
            self.call(addr, Method::GET, "/readyz", &[], None).await.status == 200
        })
        .await;
    }

    /// Sends one call on a fresh connection; no answer gives status 0.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Answer {
        let mut req = Request::builder().method(method).uri(format!("http://{addr}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let body = body.map(Value::to_string).unwrap_or_default();
        let req = req.body(Full::new(Bytes::from(body))).expect("the request is valid");
        let Ok(res) = self.client.request(req).await else {
            return Answer {
                status: 0,
                headers: HeaderMap::new(),
                body: Vec::new(),
                whole: false,
            };
        };
        let (status, headers) = (res.status().as_u16(), res.headers().clone());
        let mut answer = Answer {
            status,
            headers,
            body: Vec::new(),
            whole: true,
        };
        let mut body = res.into_body();
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => answer.body.extend(frame.into_data().unwrap_or_default()),
                Err(_error) => {
                    answer.whole = false;
                    break;
                }
            }
        }
        answer
    }

    /// Sends a completion to a router with the key of `organisation`.
    pub async fn complete(&self, vm: usize, organisation: &str, body: &Value, headers: &[(&str, &str)]) -> Answer {
        let bearer = format!("Bearer {}", key_text(organisation));
        let mut all = vec![("authorization", bearer.as_str()), ("content-type", "application/json")];
        all.extend_from_slice(headers);
        self.call(
            self.vms[vm].router_addr(),
            Method::POST,
            "/v1/completions",
            &all,
            Some(body),
        )
        .await
    }

    /// Calls the administration API of a VM.
    pub async fn admin(
        &self,
        vm: usize,
        method: Method,
        path: &str,
        version: Option<u64>,
        body: Option<&Value>,
    ) -> Answer {
        let bearer = format!("Bearer {TOKEN}");
        let version = version.map(|it| it.to_string());
        let mut headers = vec![("authorization", bearer.as_str())];
        headers.extend(version.as_deref().map(|it| ("if-match", it)));
        self.call(
            self.vms[vm].admin_addr(),
            method,
            &format!("/admin/v1{path}"),
            &headers,
            body,
        )
        .await
    }
}

fn start_engine(platform_addr: SocketAddr, args: &[String]) -> EngineProgram {
    let own = [
        "engine".to_owned(),
        format!("--weights-addr={platform_addr}"),
        format!("--memory-bytes={ENGINE_BYTES}"),
        "--threads=2".to_owned(),
    ];
    let args: Vec<&str> = own.iter().chain(args).map(String::as_str).collect();
    let (program, stdout) = Program::start("guava-standin", &args);
    let addr = first_line(stdout).parse().expect("the engine prints its address");
    EngineProgram { program, addr }
}

/// Body of a completion.
pub fn completion(model: &str, max_tokens: u64, stream: bool) -> Value {
    json!({ "model": model, "prompt": "check the pump", "max_tokens": max_tokens, "stream": stream })
}

/// Waits until `condition` holds, for at most [`PATIENCE`].
pub async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < PATIENCE, "waited too long until {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
