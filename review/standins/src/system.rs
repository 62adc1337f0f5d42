//! The entry processes of a small deployment, started as the deploy file says.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// The child gets SIGKILL when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Addresses of one run: 127.x.y.0/24, so that each VM has the same ports.
pub struct Net {
    x: u8,
    y: u8,
}

impl Net {
    /// Finds a part of the loopback range in which the ports are free.
    pub fn find() -> Option<Self> {
        let seed = std::process::id() as usize + crate::record::unix_ms() as usize;
        (0..200).find_map(|step| {
            let net = Self { x: 10 + ((seed + step * 7) % 200) as u8, y: 1 + ((seed / 200 + step) % 250) as u8 };
            let wanted = [(200, 8225), (10, 8221), (10, 9464), (100, 8080)];
            wanted.iter().all(|(host, port)| TcpListener::bind(net.at(*host, *port)).is_ok()).then_some(net)
        })
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.x, self.y, host], port))
    }

    pub fn store(&self) -> SocketAddr {
        self.at(200, 8225)
    }
}

pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// VMs of the deployment; all processes are ended when it is dropped.
pub struct System {
    pub vms: Vec<Vm>,
    pub folder: PathBuf,
    root: PathBuf,
}

pub const ZONES: [&str; 6] = ["caerdydd", "caerdydd", "caerdydd", "abertawe", "abertawe", "wrecsam"];

impl System {
    pub fn new(net: &Net, root: &Path) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-scene-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let seeds = (0..3).map(|i| format!("\"{}\"", net.at(10 + i, 8229))).collect::<Vec<_>>().join(",");
        let vms = ZONES.iter().enumerate().map(|(i, zone)| {
            let host = 10 + i as u8;
            let name = format!("front-{zone}-{}", i + 1);
            let vm = Vm {
                front: net.at(host, 8221),
                ready: net.at(host, 8224),
                settings: folder.join(format!("{name}.toml")),
                log: folder.join(format!("{name}.log")),
                child: None,
                name,
            };
            let text = settings(net, host, &vm.name, zone, &seeds);
            fs::write(&vm.settings, text).map(|()| vm)
        });
        Ok(Self { vms: vms.collect::<Result<_, _>>()?, folder, root: root.to_owned() })
    }

    pub fn start(&mut self, i: usize) -> std::io::Result<()> {
        let vm = &mut self.vms[i];
        let log = File::options().create(true).append(true).open(&vm.log)?;
        let mut command = Command::new(self.root.join("target/release/guava-entry"));
        command.args(["--metrics-port", "9464"]).current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("GUAVAARCH_SETTINGS", &vm.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // SAFETY: one system call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, 9);
                Ok(())
            })
        };
        vm.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn start_all(&mut self) -> std::io::Result<()> {
        (0..self.vms.len()).try_for_each(|i| self.start(i))
    }

    /// Waits until all processes say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.vms.iter().all(|it| http::status_of(it.ready, "/v1/ready") == Some(200)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, i: usize, signal: i32, record: &Record) {
        if let Some(child) = &self.vms[i].child {
            record.line(&format!("signal {signal} to {}", self.vms[i].name));
            // SAFETY: a call of the C library without memory; the process is this one's child and not waited for yet.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.vms[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for i in 0..self.vms.len() {
            self.kill(i);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn settings(net: &Net, host: u8, name: &str, zone: &str, seeds: &str) -> String {
    let (ip, store) = (net.at(host, 1).ip(), net.store());
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
bootstrap = true
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
front = "{ip}:8221"
readyAddr = "{ip}:8224"
control = "{ip}:8229"
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
"#
    )
}
