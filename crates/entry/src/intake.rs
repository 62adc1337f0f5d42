//! Bounds on what this process holds for its clients: callers, other entry processes and monitoring.
//!
//! Each listener has an accounting of its own ([`guava_core::intake`]), so that callers cannot shut out the other VMs.
//! Bytes are charged when they arrive and returned by guards when the last copy is dropped: a body stays charged for as
//! long as any attempt may send it again, an answer until it has been written. When a limit is reached, the accounting
//! names the clients to reject; a client is reported through [`Client::rejected`], and whoever serves it refuses the request
//! or closes the connection.

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};

use bytes::Bytes;
use guava_core::events::Event;
use guava_core::intake::{HolderId, Intake, Limit, Limits, Rejection};
use guava_core::units::Millis;
use guava_platform::settings::Settings;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use parking_lot::Mutex;
use rustix::process::{Resource, getrlimit};
use tokio::sync::{Notify, watch};

use crate::log_event;
use crate::metrics;
use crate::state::now;

/// Memory of a VM, in MB, whose settings do not state it: that of the smallest one.
const DEFAULT_MEMORY_MB: u64 = 120;
/// Memory, in bytes, that the process needs without clients. Idle processes take 13 to 25 MB; the rest is for a large
/// view of the deployment and for the log.
const OWN_BYTES: u64 = 36 << 20;
/// Memory of one connection, in bytes: the read buffer, which holds two heads of the largest size, and its task.
const CONNECTION_BYTES: u64 = 32 << 10;
/// Descriptors that the platform sets aside for files; at most an eighth of all.
const FILE_DESCRIPTORS: u64 = 200;
/// Largest number of bytes with which a request may use the reserve. Ordinary bodies are up to 9 KB, heads up to 16 KB.
const SMALL_BYTES: u64 = 64 << 10;
/// Most connections of a listener for monitoring, which is asked about once a second.
const MAX_MONITOR_CONNECTIONS: u64 = 32;
/// Bytes held for clients of such a listener; a page of metrics has about 20 KB.
const MONITOR_BYTES: u64 = 1 << 20;
/// Smallest and largest block, in bytes, in which a body is kept until it is complete. One buffer that grows would leave
/// the allocator with its smaller predecessors, twice the size of the body in all.
const MIN_BLOCK_BYTES: usize = 4 << 10;
const MAX_BLOCK_BYTES: usize = 64 << 10;
/// Times that a body lets other tasks run while rejected clients still hold bytes.
const MAX_YIELDS: u32 = 64;

/// Memory and descriptors of the VM.
#[derive(Debug, Clone, Copy)]
struct Room {
    /// Bytes that are left for clients.
    bytes: u64,
    /// Descriptors that are left for connections.
    descriptors: u64,
}

impl Room {
    fn of(settings: &Settings) -> Self {
        let memory = settings.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).saturating_mul(1 << 20);
        let descriptors = settings.max_descriptors.unwrap_or_else(own_descriptors);
        Self {
            bytes: memory.saturating_sub(OWN_BYTES).max(memory / 4),
            descriptors: descriptors - FILE_DESCRIPTORS.min(descriptors / 8),
        }
    }
}

/// Limit of this process on its descriptors.
fn own_descriptors() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(1 << 20)
}

/// Limits on callers. Of the memory that is left, 3/8 are for what callers send and do not read (31.5 MB at 120 MB) and
/// 3/8 for their connections; of the descriptors 3/8, because each request may need another one to a server (1,008
/// connections at 120 MB, 1,077 at 3,075 descriptors). The rest is for answers that are read from servers, other VMs,
/// and the allocator. At 120 MB seven bodies of 4 MiB arrive at a time; a VM has some hundred connections and a few
/// requests of 9 KB a second.
pub fn caller_limits(settings: &Settings) -> Limits {
    let room = Room::of(settings);
    let given = settings.intake;
    let bytes = given
        .bytes_mb
        .map_or(room.bytes / 8 * 3, |it| it.saturating_mul(1 << 20));
    let connections = (room.bytes / 8 * 3 / CONNECTION_BYTES).min(room.descriptors / 8 * 3);
    let connections = given.connections.unwrap_or(connections).max(1) as usize;
    Limits {
        bytes,
        reserved_bytes: bytes / 8,
        small_bytes: SMALL_BYTES,
        // The others are idle, or wait for their answers.
        requests: given.requests.map_or(connections / 2, |it| it as usize).max(1),
        connections,
        address_percent: given.address_percent.unwrap_or(100),
    }
}

/// Limits on other entry processes: an eighth of the memory that is left, which is 10.5 MB at 120 MB and holds two
/// handed-over bodies of 4 MiB, and another sixteenth for their connections (168 at 120 MB, 448 at 260 MB), of the
/// descriptors at most 3/16. A coordinator has up to two connections from each of 300 VMs and closes idle ones first.
fn peer_limits(settings: &Settings) -> Limits {
    let room = Room::of(settings);
    let bytes = room.bytes / 8;
    let connections = (room.bytes / 16 / CONNECTION_BYTES).min(room.descriptors / 16 * 3);
    let connections = connections.max(1) as usize;
    Limits {
        bytes,
        reserved_bytes: bytes / 8,
        small_bytes: SMALL_BYTES,
        requests: connections,
        connections,
        address_percent: 100,
    }
}

/// Limits on the clients of a listener for monitoring: a thirty-second of the descriptors.
fn monitor_limits(settings: &Settings) -> Limits {
    let connections = (Room::of(settings).descriptors / 32).clamp(4, MAX_MONITOR_CONNECTIONS) as usize;
    Limits {
        bytes: MONITOR_BYTES,
        reserved_bytes: 0,
        small_bytes: SMALL_BYTES,
        requests: connections,
        connections,
        address_percent: 100,
    }
}

/// Blocks of 16 KiB of large answers that are read from servers at a time: a sixteenth of the VM's memory, and at least
/// one answer of the largest size.
pub fn large_answer_blocks(settings: &Settings, most: usize) -> usize {
    let memory_mb = settings.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize;
    (memory_mb * 4).clamp(64, most)
}

/// Clients of one listener.
#[derive(Debug)]
pub struct ClientIntake {
    listener: &'static str,
    limits: Limits,
    inner: Mutex<Inner>,
    /// Sockets that have not been closed yet, also those of rejected clients.
    sockets: AtomicUsize,
    socket_closed: Notify,
}

#[derive(Debug)]
struct Inner {
    intake: Intake,
    clients: HashMap<HolderId, Weak<Client>>,
}

impl ClientIntake {
    fn new(listener: &'static str, limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            listener,
            limits,
            inner: Mutex::new(Inner {
                intake: Intake::new(limits),
                clients: HashMap::new(),
            }),
            sockets: AtomicUsize::new(0),
            socket_closed: Notify::new(),
        })
    }

    /// Limits of the listener for callers, from the memory and descriptors of the VM.
    pub fn for_callers(settings: &Settings) -> Arc<Self> {
        Self::new("callers", caller_limits(settings))
    }

    /// Limits of the listener for other entry processes.
    pub fn for_peers(settings: &Settings) -> Arc<Self> {
        Self::new("peers", peer_limits(settings))
    }

    /// Limits of a listener to which only the balancer and the operators connect.
    pub fn for_monitoring(settings: &Settings, listener: &'static str) -> Arc<Self> {
        Self::new(listener, monitor_limits(settings))
    }

    /// Bytes held for clients.
    pub fn bytes(&self) -> u64 {
        self.inner.lock().intake.bytes()
    }

    /// Requests that have not been received whole.
    pub fn requests(&self) -> u64 {
        self.inner.lock().intake.requests() as u64
    }

    /// Open connections.
    pub fn connections(&self) -> u64 {
        self.sockets.load(Ordering::Relaxed) as u64
    }

    /// Whether rejected clients may be given time to read why.
    pub fn has_room(&self) -> bool {
        self.sockets.load(Ordering::Relaxed) < self.limits.connections
    }

    /// Waits until another connection may be accepted: one beyond the limit, for which another is then closed.
    pub async fn room(&self) {
        while self.sockets.load(Ordering::Relaxed) > self.limits.connections {
            self.socket_closed.notified().await;
        }
    }

    /// Lets rejected clients return what they hold, if the limit on bytes would otherwise be exceeded in the meantime.
    async fn returned(&self) {
        for _ in 0..MAX_YIELDS {
            let is_over = {
                let inner = self.inner.lock();
                inner.intake.rejected_bytes() > 0 && inner.intake.bytes() > self.limits.bytes
            };
            if !is_over {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Registers an accepted connection. The guard is to be dropped after the socket.
    pub fn accept(self: &Arc<Self>, address: IpAddr) -> (Arc<Client>, SocketGuard) {
        self.sockets.fetch_add(1, Ordering::Relaxed);
        let guard = SocketGuard(Arc::clone(self));
        let (client, named) = {
            let mut inner = self.inner.lock();
            let (id, named) = inner.intake.open(address, now());
            let client = Arc::new(Client {
                intake: Arc::clone(self),
                id,
                address,
                rejected: watch::Sender::new(None),
                stage: AtomicU8::new(IDLE),
                is_blocked: AtomicBool::new(false),
                head_bytes: AtomicU64::new(0),
                head_since: AtomicU64::new(0),
            });
            inner.clients.insert(id, Arc::downgrade(&client));
            (client, named)
        };
        self.reject(&named);
        (client, guard)
    }

    fn update(&self, change: impl FnOnce(&mut Intake) -> Vec<Rejection>) {
        let named = change(&mut self.inner.lock().intake);
        self.reject(&named);
    }

    fn reject(&self, named: &[Rejection]) {
        for Rejection { holder, limit } in named {
            let (client, held) = {
                let inner = self.inner.lock();
                let client = inner.clients.get(holder).and_then(Weak::upgrade);
                (client, inner.intake.held_by(*holder))
            };
            let Some(client) = client else {
                continue;
            };
            metrics::client_rejected(self.listener, limit.name());
            log_event!(
                Event::ClientRejected,
                "-",
                "listener={} limit={} address={} held_bytes={held} bytes={} connections={}",
                self.listener,
                limit.name(),
                client.address,
                self.bytes(),
                self.connections()
            );
            client.rejected.send_replace(Some(*limit));
        }
    }
}

/// Counts a socket as open until dropped.
#[derive(Debug)]
pub struct SocketGuard(Arc<ClientIntake>);

impl Drop for SocketGuard {
    fn drop(&mut self) {
        self.0.sockets.fetch_sub(1, Ordering::Relaxed);
        self.0.socket_closed.notify_one();
    }
}

/// No request has begun on the connection.
const IDLE: u8 = 0;
/// The head of a request is incomplete.
const HEAD: u8 = 1;
/// The head of a request has been read, and its body has not.
const BODY: u8 = 2;
/// The request has been received whole and has not ended.
const SERVING: u8 = 3;

/// Connection of a client, which is registered until the last charge for it has been returned.
#[derive(Debug)]
pub struct Client {
    intake: Arc<ClientIntake>,
    id: HolderId,
    address: IpAddr,
    rejected: watch::Sender<Option<Limit>>,
    stage: AtomicU8,
    /// Whether an answer waits until the client reads.
    is_blocked: AtomicBool,
    /// Bytes charged for the head, and what has been read with it.
    head_bytes: AtomicU64,
    /// Time of the first byte of the head, in milliseconds of [`now`].
    head_since: AtomicU64,
}

impl Client {
    /// Records bytes that were read from the socket. Those of a body are charged when they are kept.
    pub fn received(&self, bytes: &[u8]) {
        let stage = self.stage.load(Ordering::Relaxed);
        // Empty lines between requests begin none.
        if stage >= BODY || stage == IDLE && bytes.iter().all(|it| matches!(it, b'\r' | b'\n')) {
            return;
        }
        if stage == IDLE {
            self.begin(HEAD);
        }
        let count = bytes.len() as u64;
        self.head_bytes.fetch_add(count, Ordering::Relaxed);
        self.intake.update(|it| it.take(self.id, count, now()));
    }

    fn begin(&self, stage: u8) {
        self.stage.store(stage, Ordering::Relaxed);
        self.head_since.store(now().0, Ordering::Relaxed);
        self.intake.update(|it| it.begin(self.id, now()));
    }

    /// Records that the head of a request has been read.
    pub fn begin_request(&self) {
        // A pipelined request may have been read together with the one before.
        if self.stage.swap(BODY, Ordering::Relaxed) == IDLE {
            self.begin(BODY);
        }
    }

    /// Records that the request has been received whole and may run, unless the client has been rejected before.
    /// Returns whether it may run.
    pub fn begin_serving(&self) -> bool {
        if self.is_rejected() {
            return false;
        }
        self.stage.store(SERVING, Ordering::Relaxed);
        let mut inner = self.intake.inner.lock();
        inner.intake.serve(self.id);
        // A pipelined request is read while the answer to the one before waits.
        if self.is_blocked.load(Ordering::Relaxed) {
            inner.intake.set_blocked(self.id, true, now());
        }
        true
    }

    /// Records that the request has ended. What is charged for its body or answer stays charged.
    pub fn end_request(&self) {
        self.stage.store(IDLE, Ordering::Relaxed);
        let head_bytes = self.head_bytes.swap(0, Ordering::Relaxed);
        let mut inner = self.intake.inner.lock();
        inner.intake.give_back(self.id, head_bytes);
        inner.intake.end(self.id, now());
    }

    /// Milliseconds since the first byte of a head that is incomplete; zero if there is none.
    pub fn head_ms(&self) -> u64 {
        if self.stage.load(Ordering::Relaxed) != HEAD {
            return 0;
        }
        now().since(Millis(self.head_since.load(Ordering::Relaxed)))
    }

    /// Whether the head of a request has been read and the request has not ended.
    pub fn is_in_request(&self) -> bool {
        self.stage.load(Ordering::Relaxed) >= BODY
    }

    /// Whether the request has been received whole and has not ended.
    pub fn is_received(&self) -> bool {
        self.stage.load(Ordering::Relaxed) == SERVING
    }

    /// Records whether an answer waits until the client reads.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.is_blocked.store(is_blocked, Ordering::Relaxed);
        self.intake.inner.lock().intake.set_blocked(self.id, is_blocked, now());
    }

    /// Records that the client has sent bytes of a body, or has read bytes that waited for it.
    pub fn progress(&self, bytes: usize) {
        self.intake.inner.lock().intake.progress(self.id, bytes as u64, now());
    }

    /// Whether the client is to be rejected.
    pub fn is_rejected(&self) -> bool {
        self.rejected.borrow().is_some()
    }

    /// Waits until the client is to be rejected.
    pub async fn rejected(&self) {
        // Cannot fail: the sender is a field.
        let _ = self.rejected.subscribe().wait_for(Option::is_some).await;
    }

    /// Charges bytes that are kept for the client.
    pub fn charge(self: &Arc<Self>, bytes: usize) -> Charge {
        let mut charge = Charge {
            client: Arc::clone(self),
            bytes: 0,
        };
        charge.grow(bytes as u64);
        charge
    }

    /// Keeps bytes of an answer charged until their last copy is dropped.
    pub fn hold(self: &Arc<Self>, data: Bytes) -> Bytes {
        if data.is_empty() {
            return data;
        }
        let charge = self.charge(data.len());
        Bytes::from_owner(Held { data, _charge: charge })
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut inner = self.intake.inner.lock();
        inner.intake.close(self.id);
        inner.clients.remove(&self.id);
    }
}

/// Bytes that are charged to a client until dropped.
#[derive(Debug)]
pub struct Charge {
    client: Arc<Client>,
    bytes: u64,
}

impl Charge {
    /// Charges more bytes.
    pub fn grow(&mut self, more: u64) {
        self.bytes += more;
        self.client.intake.update(|it| it.hold(self.client.id, more, now()));
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.client
            .intake
            .inner
            .lock()
            .intake
            .give_back(self.client.id, self.bytes);
    }
}

/// Bytes together with their charge.
struct Held<T> {
    data: T,
    _charge: Charge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

/// Why a body was not read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// It is or was announced to be larger than the limit.
    TooLarge,
    /// It ended early or was malformed.
    Truncated,
    /// The client was rejected.
    Rejected,
}

/// Body that is being received, copied into blocks, so that small chunks take no more memory than large ones.
#[derive(Debug, Default)]
struct Blocks {
    full: VecDeque<Vec<u8>>,
    last: Vec<u8>,
    size: usize,
}

impl Blocks {
    /// Size of the block that is to be added for `size` more bytes; `None` if they fit. `left` is the most that can come.
    fn missing(&self, size: usize, left: usize) -> Option<usize> {
        let room = self.last.capacity() - self.last.len();
        let missing = size.checked_sub(room).filter(|it| *it > 0)?;
        let wanted = (self.last.capacity() * 2).clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        Some(wanted.min(left - room).max(missing))
    }

    /// Appends bytes; what does not fit goes into a new block of this size.
    fn push(&mut self, mut part: &[u8], block: Option<usize>) {
        self.size += part.len();
        if let Some(block) = block {
            let (first, rest) = part.split_at(self.last.capacity() - self.last.len());
            self.last.extend_from_slice(first);
            let full = std::mem::replace(&mut self.last, Vec::with_capacity(block));
            if !full.is_empty() {
                self.full.push_back(full);
            }
            part = rest;
        }
        self.last.extend_from_slice(part);
    }

    /// Joins the blocks, each of which is freed once it has been copied.
    fn join(mut self) -> Vec<u8> {
        if self.full.is_empty() {
            return self.last;
        }
        let mut whole = Vec::with_capacity(self.size);
        while let Some(block) = self.full.pop_front() {
            whole.extend_from_slice(&block);
        }
        whole.extend_from_slice(&self.last);
        whole
    }
}

/// Reads a whole body into one buffer. From its end on the request may run.
///
/// # Errors
///
/// Fails if the body is larger than `max` bytes, incomplete, or the client is rejected in the meantime.
pub async fn read_whole(client: &Arc<Client>, mut body: Incoming, max: usize) -> Result<Bytes, Unread> {
    let announced = body.size_hint().exact();
    if announced.is_some_and(|it| it > max as u64) {
        return Err(Unread::TooLarge);
    }
    let largest = announced.map_or(max, |it| it as usize);
    let mut charge = client.charge(0);
    let mut blocks = Blocks::default();
    let mut rejected = client.rejected.subscribe();
    loop {
        let frame = tokio::select! {
            biased;
            _ = rejected.wait_for(Option::is_some) => return Err(Unread::Rejected),
            frame = body.frame() => frame,
        };
        let part = match frame {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return Err(Unread::Truncated),
        };
        let left = largest.saturating_sub(blocks.size);
        if part.len() > left {
            return Err(Unread::TooLarge);
        }
        let block = blocks.missing(part.len(), left);
        if let Some(block) = block {
            charge.grow(block as u64);
            client.intake.returned().await;
            if client.is_rejected() {
                return Err(Unread::Rejected);
            }
        }
        client.progress(part.len());
        blocks.push(&part, block);
    }
    if !client.begin_serving() {
        return Err(Unread::Rejected);
    }
    if blocks.size == 0 {
        return Ok(Bytes::new());
    }
    let data = blocks.join();
    Ok(Bytes::from_owner(Held { data, _charge: charge }))
}
