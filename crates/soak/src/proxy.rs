//! Loopback proxy that can delay bytes, hold them in one or both directions, or reset connections, for all of its callers
//! or for single processes among them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// State of a link, which applies to all of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Link {
    /// Bytes are forwarded at once.
    #[default]
    Open,
    /// Connecting to the target and forwarding each chunk of bytes is delayed by this time.
    Delayed(Duration),
    /// Bytes to the target, and new connections, are held until the state changes.
    SilentForth,
    /// Bytes from the target are held until the state changes.
    SilentBack,
    /// Bytes in both directions, and new connections, are held until the state changes.
    Silent,
    /// Existing connections and new ones are closed.
    Reset,
}

/// States of the links from all callers to one address.
#[derive(Debug, Clone, Default)]
struct Links {
    all: Link,
    /// Links from single VMs, if they differ.
    by_vm: BTreeMap<usize, Link>,
}

impl Links {
    fn of(&self, vm: Option<usize>) -> Link {
        let own = vm.and_then(|it| self.by_vm.get(&it));
        own.copied().unwrap_or(self.all)
    }
}

/// Ids of the processes of a fleet by VM, from which proxies tell whose connection they accept.
#[derive(Debug, Clone, Default)]
pub struct Pids(Arc<Mutex<BTreeMap<usize, u32>>>);

impl Pids {
    /// Records the process that runs on a VM.
    pub fn put(&self, vm: usize, pid: u32) {
        self.0.lock().insert(vm, pid);
    }

    /// VM whose process has opened the connection from this address.
    fn vm_of(&self, caller: SocketAddr) -> Option<usize> {
        let inode = socket_inode(caller)?;
        let pids: Vec<(usize, u32)> = self.0.lock().iter().map(|(vm, pid)| (*vm, *pid)).collect();
        let found = pids.into_iter().find(|(_, pid)| has_socket(*pid, &inode));
        found.map(|(vm, _)| vm)
    }
}

/// Inode of the socket that is bound to a local IPv4 address, as the kernel lists it.
fn socket_inode(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let bound = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(address.ip().octets()),
        address.port()
    );
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let mut lines = table.lines().map(|it| it.split_whitespace());
    let mut line = lines.find(|it| it.clone().nth(1) == Some(&bound))?;
    line.nth(9).map(str::to_owned)
}

fn has_socket(pid: u32, inode: &str) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let socket = format!("socket:[{inode}]");
    let mut targets = files.flatten().filter_map(|it| std::fs::read_link(it.path()).ok());
    targets.any(|it| it.as_os_str() == socket.as_str())
}

/// Proxy in front of one address; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Proxy {
    /// Loopback address on which it listens.
    pub address: SocketAddr,
    links: watch::Sender<Links>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port, in state [`Link::Open`].
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::start_for(target, Pids::default()).await
    }

    /// The same for a proxy whose links from these processes may differ.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start_for(target: SocketAddr, pids: Pids) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let links = watch::Sender::new(Links::default());
        let states = links.subscribe();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, caller)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                let (states, pids) = (states.clone(), pids.clone());
                connections.spawn(async move {
                    // Looking it up takes long while thousands of closed connections are listed.
                    let differs = !states.borrow().by_vm.is_empty();
                    let vm = if differs {
                        let found = tokio::task::spawn_blocking(move || pids.vm_of(caller)).await;
                        found.ok().flatten()
                    } else {
                        None
                    };
                    forward_connection(stream, target, VmLinks { states, vm }).await;
                });
            }
        });
        Ok(Self { address, links, task })
    }

    /// Changes the state of the link, for existing connections as well as new ones.
    pub fn set(&self, link: Link) {
        self.links.send_modify(|it| it.all = link);
    }

    /// Changes the state of the link from one VM, for connections that it opens from now on; `None` makes it that of the
    /// other links.
    pub fn set_for(&self, vm: usize, link: Option<Link>) {
        self.links.send_modify(|it| match link {
            Some(link) => {
                it.by_vm.insert(vm, link);
            }
            None => {
                it.by_vm.remove(&vm);
            }
        });
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// States of the link from one VM, or from callers that are none.
#[derive(Debug, Clone)]
struct VmLinks {
    states: watch::Receiver<Links>,
    vm: Option<usize>,
}

impl VmLinks {
    /// Waits until the link is in a state that satisfies `f`; `None` if the proxy has ended.
    async fn wait_for(&mut self, f: impl Fn(Link) -> bool) -> Option<Link> {
        let vm = self.vm;
        let states = self.states.wait_for(|it| f(it.of(vm))).await.ok()?;
        Some(states.of(vm))
    }
}

async fn forward_connection(caller: TcpStream, target: SocketAddr, mut states: VmLinks) {
    let mut reset = states.clone();
    let forwarding = async {
        wait_until_passing(&mut states, true).await;
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let (caller_read, caller_write) = caller.into_split();
        let (server_read, server_write) = server.into_split();
        let requests = forward_bytes(caller_read, server_write, states.clone(), true);
        let answers = forward_bytes(server_read, caller_write, states, false);
        tokio::join!(requests, answers);
    };
    tokio::select! {
        () = forwarding => {}
        _ = reset.wait_for(|it| it == Link::Reset) => {}
    }
}

async fn forward_bytes(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut states: VmLinks, to_target: bool) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        wait_until_passing(&mut states, to_target).await;
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            // Fails if the receiver has already closed the connection.
            let _ = to.shutdown().await;
            return;
        }
    }
}

async fn wait_until_passing(states: &mut VmLinks, to_target: bool) {
    let passes = |link: Link| match link {
        Link::Open | Link::Delayed(_) => true,
        Link::SilentForth => !to_target,
        Link::SilentBack => to_target,
        Link::Silent | Link::Reset => false,
    };
    if let Some(Link::Delayed(delay)) = states.wait_for(passes).await {
        tokio::time::sleep(delay).await;
    }
}
