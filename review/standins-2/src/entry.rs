//! Entry processes, each a process of its own started by the command of the deploy file, with the settings that
//! a machine of a small deployment gets.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Addresses of one case: 127.A.B.x, of which none was in use at its start.
#[derive(Clone, Copy)]
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    pub fn choose() -> Option<Self> {
        let seed = std::process::id();
        (0..200).map(|step| seed.wrapping_mul(2_654_435_761).wrapping_add(step * 40_503)).find_map(|it| {
            let net = Self { a: 20 + (it >> 8) as u8 % 200, b: it as u8 };
            let ports = [(2, 8225), (10, 8221), (11, 8221), (10, 9464), (100, 8080)];
            let is_free = |(host, port)| TcpListener::bind(net.at(host, port)).is_ok();
            ports.into_iter().all(is_free).then_some(net)
        })
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.a, self.b, host), port).into()
    }
}

pub struct Entry {
    pub name: String,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    pub bootstrap: bool,
    index: u8,
    net: Net,
    dir: PathBuf,
    record: Record,
    child: Option<Child>,
}

impl Entry {
    pub fn new(index: u8, zone: &str, net: Net, dir: &std::path::Path, record: &Record) -> Self {
        Self {
            name: format!("front-{zone}-{}", index + 1),
            zone: zone.to_owned(),
            seeds: Vec::new(),
            bootstrap: true,
            index,
            net,
            dir: dir.to_owned(),
            record: record.clone(),
            child: None,
        }
    }

    pub fn front(&self) -> SocketAddr {
        self.net.at(10 + self.index, 8221)
    }

    pub fn ready_address(&self) -> SocketAddr {
        self.net.at(10 + self.index, 8224)
    }

    pub fn control(&self) -> SocketAddr {
        self.net.at(10 + self.index, 8229)
    }

    fn settings(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|it| format!("\"{it}\"")).collect();
        format!(
            r#"node = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "cymru"
portRange = [7600,7615]
seeds = [{seeds}]
bootstrap = {bootstrap}
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
caerdydd = "cymru"
abertawe = "cymru"
wrecsam = "cymru"
[listen]
front = "{front}"
readyAddr = "{ready}"
control = "{control}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
strictRevoke = false
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 11000
recoveryS = 12
passMs = 120
retryAfterS = 0
requireFence = false
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingOverage = 1.1
[provider]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
            name = self.name,
            ip = self.front().ip(),
            zone = self.zone,
            seeds = seeds.join(","),
            bootstrap = self.bootstrap,
            front = self.front(),
            ready = self.ready_address(),
            control = self.control(),
            store = self.net.at(2, 8225),
        )
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let settings = self.dir.join(format!("{}.toml", self.name));
        std::fs::write(&settings, self.settings())?;
        let log = self.dir.join(format!("{}.log", self.name));
        let log = std::fs::File::options().create(true).append(true).open(log)?;
        let deploy = std::fs::read_to_string("deploy/system.toml")?;
        let run = deploy.lines().find_map(|it| it.trim().strip_prefix("run = \""));
        let run = run.and_then(|it| it.strip_suffix('"')).ok_or_else(|| std::io::Error::other("no command"))?;
        let mut words = run.split_whitespace();
        let program = words.next().unwrap_or_default();
        let child = Command::new(program)
            .args(words)
            .env("GUAVAARCH_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(format!("{} starts", self.name));
        self.child = Some(child);
        self.bootstrap = false;
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        let name = if signal == SIGTERM { "SIGTERM" } else { "a signal" };
        self.record.note(format!("{} gets {name}", self.name));
        if let Some(child) = &self.child {
            // SAFETY: a signal to a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let status = child.wait();
            self.record.note(format!("{} has exited: {status:?}", self.name));
        }
    }

    /// Whether the process has exited by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let request = Request {
            method: "GET".to_owned(),
            target: "/v1/ready".to_owned(),
            headers: vec![("host".to_owned(), "ready".to_owned()), ("connection".to_owned(), "close".to_owned())],
            body: Vec::new(),
        };
        http::call(self.ready_address(), &request, Duration::from_millis(500)).is_ok_and(|it| it.status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.note(format!("{} is ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // SAFETY: as above.
            unsafe { kill(child.id() as i32, SIGKILL) };
            let _ = child.wait();
        }
    }
}
