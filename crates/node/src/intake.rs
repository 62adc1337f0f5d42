//! Bounds what this process holds for its clients, on top of the accounting in [`guava_core::intake`].
//!
//! Each connection is a [`Holder`]. Bytes that the process keeps for it are taken with [`Holder::take`] and returned when
//! the [`HeldBytes`] are dropped, so that no path can leak them. A holder that the accounting names is reported through
//! [`Holder::rejected`]; whoever serves its connection then refuses the request, or closes the connection.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use guava_core::events::Event;
use guava_core::intake::{HolderId, Intake, Limits, Rejection};
use parking_lot::Mutex;
use rustix::process::{Resource, getrlimit};
use tokio::sync::Notify;

use crate::mapping::Mapping;
use crate::{Clock, Timeline};

const MIB: u64 = 1024 * 1024;
/// Memory of a process without clients, in bytes: code, threads, configuration and the ring of events.
const BASE_BYTES: u64 = 40 * MIB;
/// Memory of a connection outside the budget of bytes: 64 KiB each for the head that is being read, for the part of the
/// answer that is being written, and for the receive buffer of the socket.
const CONNECTION_BYTES: u64 = 192 * 1024;
/// Descriptors of a connection: its socket, the copy that reports whether its caller has left, and the connection to a
/// backend server.
const CONNECTION_DESCRIPTORS: u64 = 3;
/// Descriptors that are kept for listeners, runtime threads and connections to other processes.
const OWN_DESCRIPTORS: u64 = 150;
/// Holders of up to this many bytes may also use the last part of the budget. Ordinary bodies have up to 9 KB.
const SMALL_BYTES: u64 = 64 * 1024;
/// Least memory for which the limits are derived, in MiB: the budget then has 8 MiB, of which a body of 4 MiB may use
/// 7 MiB.
const MIN_MEMORY_MB: u64 = 64;
const MAX_MEMORY_MB: u64 = 1024 * 1024;
const MAX_CONNECTIONS: usize = 1_000_000;
const MIN_CONNECTIONS: usize = 16;
/// Time for which an answer waits for room before clients that do not read theirs are rejected.
const ROOM_WAIT: Duration = Duration::from_secs(1);
/// Interval at which an answer that waits for room checks again for clients that do not read.
const ROOM_RECHECK: Duration = Duration::from_millis(250);
/// Bytes of a body after which progress is reported, so that small chunks do not cost a report each.
const PROGRESS_BYTES: u64 = 4_096;

/// Limits on what the process holds for its clients. A value of 0 is derived from the resources of the process.
#[derive(Debug, Clone, Default, clap::Args)]
pub struct IntakeArgs {
    /// Memory that this process may use, in MiB; 0 for half of what the machine or the control group has.
    #[arg(long, env = "GUAVA_MEMORY_MB", default_value_t = 0)]
    pub memory_mb: u64,
    /// Most bytes held for all clients together, in MiB; 0 for a third of the memory above 40 MiB.
    #[arg(long, env = "GUAVA_HELD_MB", default_value_t = 0)]
    pub held_mb: u64,
    /// Most open connections of clients; 0 to derive them from the memory and the limit on descriptors.
    #[arg(long, env = "GUAVA_MAX_CONNECTIONS", default_value_t = 0)]
    pub max_connections: usize,
    /// Most requests whose body has not been received whole; 0 for the number of connections.
    #[arg(long, env = "GUAVA_MAX_UNFINISHED_REQUESTS", default_value_t = 0)]
    pub max_unfinished_requests: usize,
    /// Percentage of each limit above which the clients of one address are rejected before others; 0 for 100, which
    /// makes no difference between addresses.
    #[arg(long, env = "GUAVA_ADDRESS_PERCENT", default_value_t = 0)]
    pub address_percent: u64,
}

impl IntakeArgs {
    /// Checks the settings and returns one message per fault, with the name of the setting and the accepted values.
    pub fn check(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut require = |ok: bool, setting: &str, accepted: &str| {
            if !ok {
                faults.push(format!("{setting}: accepted is {accepted}"));
            }
        };
        let memory = MIN_MEMORY_MB..=MAX_MEMORY_MB;
        let is_memory = self.memory_mb == 0 || memory.contains(&self.memory_mb);
        require(is_memory, "--memory-mb (GUAVA_MEMORY_MB)", "0 or 64 to 1048576");
        let is_held = self.held_mb == 0 || (8..=MAX_MEMORY_MB).contains(&self.held_mb);
        require(is_held, "--held-mb (GUAVA_HELD_MB)", "0 or 8 to 1048576");
        let is_count = |it: usize| it == 0 || (MIN_CONNECTIONS..=MAX_CONNECTIONS).contains(&it);
        require(
            is_count(self.max_connections),
            "--max-connections (GUAVA_MAX_CONNECTIONS)",
            "0 or 16 to 1000000",
        );
        require(
            is_count(self.max_unfinished_requests),
            "--max-unfinished-requests (GUAVA_MAX_UNFINISHED_REQUESTS)",
            "0 or 16 to 1000000",
        );
        require(
            self.address_percent <= 100,
            "--address-percent (GUAVA_ADDRESS_PERCENT)",
            "0 to 100",
        );
        faults
    }

    /// Settings for each of several runtimes in one process, which share its memory and descriptors equally.
    #[must_use]
    pub fn for_runtimes(runtimes: u64) -> Self {
        let runtimes = runtimes.max(1);
        let memory_mb = available_memory() / 2 / runtimes / MIB;
        let memory_mb = memory_mb.clamp(MIN_MEMORY_MB, MAX_MEMORY_MB);
        let whole = Self {
            memory_mb,
            ..Self::default()
        };
        let by_descriptors = descriptor_connections() / runtimes;
        let connections = (by_descriptors as usize).min(whole.limits().connections);
        Self {
            max_connections: connections.max(MIN_CONNECTIONS),
            ..whole
        }
    }

    /// Limits that the settings grant, with derived values where a setting is 0.
    pub fn limits(&self) -> Limits {
        let memory = match self.memory_mb {
            0 => (available_memory() / 2).max(MIN_MEMORY_MB * MIB),
            mb => mb * MIB,
        };
        // One third is for bytes that are accounted, one for buffers of connections, and one for blocks that the
        // allocator keeps and for the second copy of a body while it is parsed.
        let third = memory.saturating_sub(BASE_BYTES) / 3;
        let bytes = match self.held_mb {
            0 => third,
            mb => mb * MIB,
        };
        let derived = (third / CONNECTION_BYTES).min(descriptor_connections()) as usize;
        let connections = match self.max_connections {
            0 => derived.clamp(MIN_CONNECTIONS, MAX_CONNECTIONS),
            set => set,
        };
        Limits {
            bytes,
            reserved_bytes: bytes / 8,
            small_bytes: SMALL_BYTES,
            requests: match self.max_unfinished_requests {
                0 => connections,
                set => set,
            },
            connections,
            address_percent: match self.address_percent {
                0 => 100,
                set => set,
            },
        }
    }
}

/// Memory of the control group or, without a limit there, of the machine, in bytes.
fn available_memory() -> u64 {
    let group = std::fs::read_to_string("/sys/fs/cgroup/memory.max").unwrap_or_default();
    let machine = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let machine = machine
        .lines()
        .find_map(|it| it.strip_prefix("MemTotal:"))
        .and_then(|it| it.trim().trim_end_matches(" kB").parse::<u64>().ok())
        .map_or(MIN_MEMORY_MB * 2 * MIB, |kib| kib * 1024);
    group.trim().parse().map_or(machine, |group: u64| group.min(machine))
}

/// Connections for which the limit on descriptors suffices.
fn descriptor_connections() -> u64 {
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    descriptors.saturating_sub(OWN_DESCRIPTORS) / CONNECTION_DESCRIPTORS
}

/// A client's request or connection was rejected, because the process holds too much for its clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejected;

#[derive(Debug, Default)]
struct Signal {
    is_rejected: AtomicBool,
    notify: Notify,
}

#[derive(Debug)]
struct State {
    intake: Intake,
    signals: HashMap<HolderId, Arc<Signal>>,
}

/// Budget of one process for what it holds for its clients.
#[derive(Debug)]
pub struct ClientBudget {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
    timeline: Arc<dyn Timeline>,
    /// Wakes answers that wait for room.
    freed: Notify,
    /// Held by the answer that is next to get room, so that answers get it in turn.
    turn: tokio::sync::Mutex<()>,
    rejected: AtomicU64,
}

impl ClientBudget {
    /// Creates a budget without holders. Rejections are recorded in `timeline`.
    pub fn new(limits: Limits, clock: Arc<dyn Clock>, timeline: Arc<dyn Timeline>) -> Self {
        Self {
            state: Mutex::new(State {
                intake: Intake::new(limits),
                signals: HashMap::new(),
            }),
            clock,
            timeline,
            freed: Notify::new(),
            turn: tokio::sync::Mutex::default(),
            rejected: AtomicU64::new(0),
        }
    }

    /// Registers a connection. If there are too many, another one is rejected, or this one if no other can be.
    pub fn open(self: &Arc<Self>, address: IpAddr) -> Holder {
        let signal = Arc::<Signal>::default();
        let mut state = self.state.lock();
        let (id, named) = state.intake.open(address, self.clock.now());
        state.signals.insert(id, Arc::clone(&signal));
        self.reject(state, &named);
        Holder(Arc::new(HolderInner {
            budget: Arc::clone(self),
            id,
            signal,
        }))
    }

    /// Bytes held for all clients.
    pub fn bytes(&self) -> u64 {
        self.state.lock().intake.bytes()
    }

    /// Open connections.
    pub fn connections(&self) -> u64 {
        self.state.lock().intake.connections() as u64
    }

    /// Requests that have not been received whole.
    pub fn unfinished_requests(&self) -> u64 {
        self.state.lock().intake.requests() as u64
    }

    /// Connections rejected since the start.
    pub fn rejections(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Largest answer that is kept whole, in bytes: two of them fit into the part of the budget that large ones may use.
    pub fn largest_answer(&self) -> u64 {
        let limits = self.state.lock().intake.limits();
        (limits.bytes - limits.reserved_bytes) / 2
    }

    fn reject(&self, state: parking_lot::MutexGuard<'_, State>, named: &[Rejection]) {
        let signals: Vec<_> = named
            .iter()
            .filter_map(|it| state.signals.get(&it.holder).map(Arc::clone))
            .collect();
        // The flags are set under the lock, so that a request that begins to be served is either rejected or not.
        for signal in &signals {
            signal.is_rejected.store(true, Ordering::Release);
        }
        drop(state);
        for signal in signals {
            signal.notify.notify_waiters();
        }
        for Rejection { limit, .. } in named {
            self.rejected.fetch_add(1, Ordering::Relaxed);
            self.timeline
                .record(Event::ClientRejected, None, None, &format!("limit on {}", limit.name()));
        }
    }

    /// Waits until rejected connections have closed, as far as there are more than the limit. To be called before a
    /// connection is accepted, so that the descriptors of rejected ones do not add to those of new ones.
    pub async fn wait_for_connection(&self) {
        // Connections that were accepted before are registered first.
        tokio::task::yield_now().await;
        let is_free = || {
            let state = self.state.lock();
            state.intake.connections() <= state.intake.limits().connections
        };
        while !is_free() {
            self.wait_freed(is_free).await;
        }
    }

    fn is_within_limit(&self) -> bool {
        let state = self.state.lock();
        state.intake.bytes() <= state.intake.limits().bytes
    }

    /// Waits until bytes are returned or a connection closes, unless `is_met` holds already.
    async fn wait_freed(&self, is_met: impl Fn() -> bool) {
        let freed = self.freed.notified();
        tokio::pin!(freed);
        // Registered before the check, so that a return in between is not missed.
        freed.as_mut().enable();
        if !is_met() {
            freed.await;
        }
    }

    fn has_room(&self, bytes: u64) -> bool {
        let state = self.state.lock();
        let limits = state.intake.limits();
        state.intake.bytes() + bytes <= limits.bytes - limits.reserved_bytes
    }
}

#[derive(Debug)]
struct HolderInner {
    budget: Arc<ClientBudget>,
    id: HolderId,
    signal: Arc<Signal>,
}

impl Drop for HolderInner {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock();
        state.intake.close(self.id);
        state.signals.remove(&self.id);
        drop(state);
        self.budget.freed.notify_waiters();
    }
}

/// A connection that is registered with the [`ClientBudget`] until the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Holder(Arc<HolderInner>);

impl Holder {
    /// Registers that a request has begun to arrive.
    ///
    /// # Errors
    ///
    /// Fails if the connection has been rejected.
    pub fn begin(&self) -> Result<(), Rejected> {
        let budget = &self.0.budget;
        let mut state = budget.state.lock();
        let named = state.intake.begin(self.0.id, budget.clock.now());
        budget.reject(state, &named);
        self.check()
    }

    /// Registers that the request has been received whole. It is not rejected after that.
    ///
    /// # Errors
    ///
    /// Fails if the connection has been rejected; the request must not run.
    pub fn serve(&self) -> Result<(), Rejected> {
        self.0.budget.state.lock().intake.serve(self.0.id);
        self.check()
    }

    /// Registers that the answer to the request has been written, or is waiting in the buffer of the connection.
    pub fn end(&self) {
        let budget = &self.0.budget;
        budget.state.lock().intake.end(self.0.id, budget.clock.now());
    }

    /// Registers whether the answer waits until the client reads.
    pub fn set_blocked(&self, is_blocked: bool) {
        let budget = &self.0.budget;
        let now = budget.clock.now();
        budget.state.lock().intake.set_blocked(self.0.id, is_blocked, now);
    }

    /// Registers that the client has read bytes of its answer.
    pub fn progress(&self, bytes: u64) {
        let budget = &self.0.budget;
        let now = budget.clock.now();
        budget.state.lock().intake.progress(self.0.id, bytes, now);
    }

    /// Takes bytes that the process keeps for the client. Other holders may be rejected for it, or this one if its
    /// request has not been received whole.
    pub fn take(&self, bytes: u64) -> HeldBytes {
        self.reserve_more(bytes);
        HeldBytes {
            holder: self.clone(),
            bytes,
        }
    }

    fn reserve_more(&self, bytes: u64) {
        let budget = &self.0.budget;
        let mut state = budget.state.lock();
        let named = state.intake.take(self.0.id, bytes, budget.clock.now());
        budget.reject(state, &named);
    }

    /// Takes bytes for an answer that the process has not begun to read from a backend server, and waits until the
    /// budget has room for them. Must not be called while parts of the answer are held: answers that wait for each
    /// other would never end.
    pub async fn reserve_when_room(&self, bytes: u64) -> HeldBytes {
        let budget = &self.0.budget;
        let _turn = budget.turn.lock().await;
        let room = async {
            while !budget.has_room(bytes) {
                budget.wait_freed(|| budget.has_room(bytes)).await;
            }
        };
        // Fails if the room does not suffice for clients that read; those that do not are rejected below.
        drop(tokio::time::timeout(ROOM_WAIT, room).await);
        let held = self.take(bytes);
        while !budget.has_room(0) {
            drop(tokio::time::timeout(ROOM_RECHECK, budget.wait_freed(|| budget.has_room(0))).await);
            self.reserve_more(0);
        }
        held
    }

    /// Waits until what all clients hold, rejected ones included, is within the budget.
    async fn wait_for_returns(&self) -> Result<(), Rejected> {
        let budget = &self.0.budget;
        while !budget.is_within_limit() {
            self.check()?;
            drop(tokio::time::timeout(ROOM_RECHECK, budget.wait_freed(|| budget.is_within_limit())).await);
            self.reserve_more(0);
        }
        Ok(())
    }

    /// Fails if the connection has been rejected.
    ///
    /// # Errors
    ///
    /// See above.
    pub fn check(&self) -> Result<(), Rejected> {
        let is_rejected = self.0.signal.is_rejected.load(Ordering::Acquire);
        if is_rejected { Err(Rejected) } else { Ok(()) }
    }

    /// Completes when the connection is rejected.
    pub async fn rejected(&self) {
        let signal = &self.0.signal;
        loop {
            let notified = signal.notify.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if signal.is_rejected.load(Ordering::Acquire) {
                return;
            }
            notified.await;
        }
    }

    /// Largest answer that is kept whole, in bytes.
    pub fn largest_answer(&self) -> u64 {
        self.0.budget.largest_answer()
    }
}

/// Bytes that are held for a client and returned when dropped.
#[derive(Debug)]
pub struct HeldBytes {
    holder: Holder,
    bytes: u64,
}

impl HeldBytes {
    /// Takes or returns bytes, so that `bytes` are held.
    pub fn set(&mut self, bytes: u64) {
        if bytes > self.bytes {
            self.holder.reserve_more(bytes - self.bytes);
        } else {
            self.give_back(self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    fn give_back(&self, bytes: u64) {
        let budget = &self.holder.0.budget;
        budget.state.lock().intake.give_back(self.holder.0.id, bytes);
        budget.freed.notify_waiters();
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.give_back(self.bytes);
    }
}

/// Content of a [`BodyBuffer`].
#[derive(Debug)]
enum Content {
    Small(Vec<u8>),
    Large(Mapping),
}

impl AsRef<[u8]> for Content {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Small(bytes) => bytes,
            Self::Large(bytes) => bytes.as_ref(),
        }
    }
}

impl Content {
    /// Appends a part. `expected` is the number of bytes that the content is to have in the end.
    fn append(&mut self, part: &[u8], expected: usize) {
        let needed = self.as_ref().len() + part.len();
        let is_full = match self {
            Self::Small(_) => needed > SMALL_BYTES as usize,
            Self::Large(mapping) => part.len() > mapping.remaining(),
        };
        if is_full {
            match Mapping::new(expected.max(needed)) {
                Ok(mut mapping) => {
                    mapping.append(self.as_ref());
                    *self = Self::Large(mapping);
                }
                Err(error) => {
                    log::debug!("failed to map memory for a body: {error}");
                    *self = Self::Small(self.as_ref().to_vec());
                }
            }
        }
        match self {
            Self::Small(bytes) => bytes.extend_from_slice(part),
            Self::Large(mapping) => mapping.append(part),
        }
    }
}

/// Content with the bytes that are held for it; both are released together.
struct OwnedBuffer {
    content: Content,
    _held: HeldBytes,
}

impl AsRef<[u8]> for OwnedBuffer {
    fn as_ref(&self) -> &[u8] {
        self.content.as_ref()
    }
}

/// Contiguous buffer for a body whose parts arrive one after another. What it takes up is held, whatever the size of the
/// parts: up to twice its content if that is small, else its content rounded up.
#[derive(Debug)]
pub struct BodyBuffer {
    content: Content,
    held: HeldBytes,
    expected: usize,
    /// Bytes received since the last one that was reported as progress.
    unreported: u64,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body with the announced length or, without one, of up to `limit` bytes.
    pub fn new(holder: &Holder, announced: Option<u64>, limit: usize) -> Self {
        Self {
            content: Content::Small(Vec::new()),
            held: holder.take(0),
            expected: announced.map_or(limit, |it| it as usize),
            unreported: 0,
        }
    }

    /// Creates an empty buffer of `length` bytes once the budget has room for them; see [`Holder::reserve_when_room`].
    /// A small one does not wait.
    pub async fn with_room(holder: &Holder, length: usize) -> Self {
        let held = if length as u64 <= SMALL_BYTES {
            holder.take(length as u64)
        } else {
            holder.reserve_when_room(length as u64).await
        };
        Self {
            held,
            content: Content::Small(Vec::new()),
            expected: length,
            unreported: 0,
        }
    }

    /// Number of bytes received.
    pub fn len(&self) -> usize {
        self.content.as_ref().len()
    }

    /// Whether nothing has been received.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends a part that the client has sent.
    ///
    /// # Errors
    ///
    /// Fails if the client has been rejected.
    pub async fn push(&mut self, part: &[u8]) -> Result<(), Rejected> {
        self.unreported += part.len() as u64;
        if self.unreported >= PROGRESS_BYTES {
            self.held.holder.progress(std::mem::take(&mut self.unreported));
        }
        if self.hold_for(part.len()) {
            // Nothing is allocated before rejected clients have returned what they hold.
            self.held.holder.wait_for_returns().await?;
        }
        self.held.holder.check()?;
        self.content.append(part, self.expected);
        Ok(())
    }

    /// Appends a part of an answer for the client, whether it has been rejected or not.
    pub fn append(&mut self, part: &[u8]) {
        self.hold_for(part.len());
        self.content.append(part, self.expected);
    }

    /// Holds enough bytes for `more` after the content. Returns whether more bytes were taken.
    fn hold_for(&mut self, more: usize) -> bool {
        let needed = (self.len() + more) as u64;
        if needed <= self.held.bytes {
            return false;
        }
        let bytes = if needed <= SMALL_BYTES {
            needed.max((self.held.bytes * 2).min(self.expected as u64))
        } else {
            needed.next_multiple_of(SMALL_BYTES)
        };
        self.held.set(bytes);
        true
    }

    /// Returns the content. Its bytes are held until the last clone is dropped.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(OwnedBuffer {
            content: self.content,
            _held: self.held,
        })
    }
}

/// Body that replaces another one, whose bytes stay held until the replacement is dropped.
struct Replacement {
    content: Bytes,
    _original: Bytes,
}

impl AsRef<[u8]> for Replacement {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// Returns `content` with the lifetime of the bytes held for `original` extended to that of the result.
pub fn replace_body(content: Bytes, original: &Bytes) -> Bytes {
    if content.is_empty() || std::ptr::eq(content.as_ptr(), original.as_ptr()) {
        return content;
    }
    Bytes::from_owner(Replacement {
        content,
        _original: original.clone(),
    })
}
