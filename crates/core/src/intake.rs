//! Accounting of what a process holds for clients: bytes, unfinished requests and connections.
//!
//! Each connection is a holder. The bytes that it makes the process keep are taken from one budget as they arrive. When a
//! limit is exceeded, the accounting names holders to reject: those that are furthest behind an ordinary pace, weighted
//! by the bytes that they hold. Holders whose request has been received whole are not named, because their request may
//! have run, until the client is found not to read its answer.
//!
//! Pace is kept as the time up to which a holder has paid for what it holds: each received byte pays for
//! [`PACE_MS`] divided by the bytes held. This time changes only with an event of the holder, so that holders can be kept
//! in order and each call takes O(log n).

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use crate::units::Millis;

/// Time in milliseconds in which a client at an ordinary pace sends or reads as many bytes as the process holds for it.
/// 4 MiB in this time are 280 KB/s, a quarter of the slowest link that VMs have.
pub const PACE_MS: u64 = 15_000;
/// Time in milliseconds for which a client may pause, or be new, without being behind.
pub const GRACE_MS: u64 = 1_000;
/// Holders are reordered when the time up to which they have paid changes by this many microseconds.
const QUANTUM_US: u64 = 16_384;
/// Number of size classes; class n holds at least 2^n bytes.
const CLASSES: u8 = 40;

/// Identifies a holder; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// Limits of an [`Intake`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes held for all clients together.
    pub bytes: u64,
    /// Part of `bytes` that only holders of at most `small_bytes` may use, so that large bodies never shut out ordinary
    /// requests.
    pub reserved_bytes: u64,
    /// Largest number of bytes with which a holder may use `reserved_bytes`.
    pub small_bytes: u64,
    /// Requests whose head or body has not been received whole.
    pub requests: usize,
    /// Open connections.
    pub connections: usize,
    /// Percentage of each limit above which the holders of one address are rejected before all others when the limit is
    /// exceeded. At 100 addresses make no difference, which is right where a balancer or NAT hides many clients behind
    /// one address.
    pub address_percent: u64,
}

/// Limit that was exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Limit {
    /// [`Limits::bytes`].
    Bytes,
    /// [`Limits::requests`].
    Requests,
    /// [`Limits::connections`].
    Connections,
}

impl Limit {
    /// Name used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Bytes => "bytes",
            Self::Requests => "requests",
            Self::Connections => "connections",
        }
    }
}

/// Holder to reject. It is named once and stays registered until it is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Holder to reject; may be the one whose call exceeded the limit.
    pub holder: HolderId,
    /// Limit that was exceeded.
    pub limit: Limit,
}

/// What a holder is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request has begun; holds whether one has been completed before.
    Idle { was_used: bool },
    /// The head or body of a request is incomplete.
    Receiving,
    /// The request has been received and may run.
    Serving,
    /// The answer, or the rest of one whose request has ended, waits until the client reads.
    Blocked { is_serving: bool },
}

/// Order in which holders are considered for rejection, other than by size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Receiving,
    Unused,
    Used,
    Blocked,
}

#[derive(Debug)]
struct Holder {
    address: IpAddr,
    phase: Phase,
    held: u64,
    /// Time in microseconds up to which the holder has paid for what it holds.
    paid_us: u64,
    is_rejected: bool,
    place: Option<Place>,
}

/// Where a holder stands in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Place {
    rank: Rank,
    class: u8,
    paid: u64,
}

#[derive(Debug, Default)]
struct Order {
    by_size: BTreeSet<(u8, u64, HolderId)>,
    by_rank: BTreeSet<(Rank, u64, HolderId)>,
}

impl Order {
    fn insert(&mut self, id: HolderId, place: Place) {
        self.by_rank.insert((place.rank, place.paid, id));
        if matches!(place.rank, Rank::Receiving | Rank::Blocked) {
            self.by_size.insert((place.class, place.paid, id));
        }
    }

    fn remove(&mut self, id: HolderId, place: Place) {
        self.by_rank.remove(&(place.rank, place.paid, id));
        self.by_size.remove(&(place.class, place.paid, id));
    }

    /// Holder that is furthest behind among those of a rank, other than `newcomer`, with the time up to which it has paid.
    fn last_of(&self, rank: Rank, newcomer: HolderId) -> Option<(u64, HolderId)> {
        let from = self.by_rank.range((rank, 0, HolderId(0))..);
        let of_rank = from.take_while(|it| it.0 == rank);
        of_rank.map(|&(_, paid, id)| (paid, id)).find(|(_, id)| *id != newcomer)
    }

    /// Holder of many bytes for a long time: the product of size and time behind is largest. If none is behind, the
    /// largest one.
    fn heaviest(&self, now: u64) -> Option<HolderId> {
        let mut largest = None;
        let mut chosen: Option<(u64, HolderId)> = None;
        for class in 0..CLASSES {
            let first = self.by_size.range((class, 0, HolderId(0))..).next();
            let Some(&(_, paid, id)) = first.filter(|it| it.0 == class) else {
                continue;
            };
            largest = Some(id);
            let weight = now.saturating_sub(paid) << class.min(34);
            if weight > 0 && chosen.is_none_or(|(most, _)| weight >= most) {
                chosen = Some((weight, id));
            }
        }
        chosen.map(|(_, id)| id).or(largest)
    }

    /// Holder whose connection is closed first.
    fn least_useful(&self, now: u64, newcomer: HolderId) -> Option<HolderId> {
        let last_of = |rank| self.last_of(rank, newcomer);
        let unfinished = last_of(Rank::Receiving).into_iter().chain(last_of(Rank::Unused)).min();
        let used = last_of(Rank::Used);
        let is_behind = |it: &(u64, HolderId)| it.0 < now;
        let found = unfinished.filter(is_behind).or(used.filter(is_behind));
        let found = found.or(last_of(Rank::Blocked).filter(is_behind));
        found.or(unfinished.into_iter().chain(used).min()).map(|(_, id)| id)
    }
}

/// What the holders of one address have together.
#[derive(Debug, Default)]
struct Account {
    sums: Sums,
    order: Order,
}

/// What counts against each limit.
#[derive(Debug, Default, Clone, Copy)]
struct Sums {
    bytes: u64,
    requests: u64,
    connections: u64,
}

impl Sums {
    fn of(&mut self, limit: Limit) -> &mut u64 {
        match limit {
            Limit::Bytes => &mut self.bytes,
            Limit::Requests => &mut self.requests,
            Limit::Connections => &mut self.connections,
        }
    }
}

/// Accounting of one process.
#[derive(Debug)]
pub struct Intake {
    limits: Limits,
    next_id: u64,
    holders: HashMap<HolderId, Holder>,
    /// Sums over all holders that have not been rejected.
    total: Account,
    by_address: HashMap<IpAddr, Account>,
    /// Addresses by what they have together; kept only if a share is set.
    largest: HashMap<Limit, BTreeSet<(u64, IpAddr)>>,
    /// Bytes of rejected holders that have not been returned yet.
    rejected_bytes: u64,
}

impl Intake {
    /// Starts without holders.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            next_id: 0,
            holders: HashMap::new(),
            total: Account::default(),
            by_address: HashMap::new(),
            largest: HashMap::new(),
            rejected_bytes: 0,
        }
    }

    /// Limits in force.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Bytes held for all holders, including rejected ones that have not returned theirs yet.
    pub fn bytes(&self) -> u64 {
        self.total.sums.bytes + self.rejected_bytes
    }

    /// Bytes of rejected holders that have not been returned yet.
    pub fn rejected_bytes(&self) -> u64 {
        self.rejected_bytes
    }

    /// Requests that have not been received whole, without those of rejected holders.
    pub fn requests(&self) -> usize {
        self.total.sums.requests as usize
    }

    /// Holders that have not been closed, including rejected ones.
    pub fn connections(&self) -> usize {
        self.holders.len()
    }

    /// Bytes that a holder has taken and not returned; zero if it is not known.
    pub fn held_by(&self, id: HolderId) -> u64 {
        self.holders.get(&id).map_or(0, |it| it.held)
    }

    /// Registers a new connection.
    #[must_use = "the named holders must be rejected"]
    pub fn open(&mut self, address: IpAddr, now: Millis) -> (HolderId, Vec<Rejection>) {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            address,
            phase: Phase::Idle { was_used: false },
            held: 0,
            paid_us: fresh(now),
            is_rejected: false,
            place: None,
        };
        self.holders.insert(id, holder);
        self.add(address, Limit::Connections, 1);
        self.place(id);
        let mut named = Vec::new();
        while self.total.sums.connections > self.limits.connections as u64 {
            let now = quanta(now.0 * 1_000);
            let most = self.crowded(Limit::Connections);
            let found = most.least_useful(now, id).unwrap_or(id);
            self.reject(found, Limit::Connections, &mut named);
        }
        (id, named)
    }

    /// Registers that the first byte of a request has arrived.
    #[must_use = "the named holders must be rejected"]
    pub fn begin(&mut self, id: HolderId, now: Millis) -> Vec<Rejection> {
        let mut named = Vec::new();
        let Some(holder) = self.holders.get_mut(&id) else {
            return named;
        };
        holder.paid_us = fresh(now);
        self.enter(id, Phase::Receiving);
        while self.total.sums.requests > self.limits.requests as u64 {
            let most = self.crowded(Limit::Requests);
            let found = most.last_of(Rank::Receiving, id).map_or(id, |(_, id)| id);
            self.reject(found, Limit::Requests, &mut named);
        }
        named
    }

    /// Takes bytes that a holder has sent, which count as progress while the request is being received. They are taken
    /// also if the limit is exceeded, and are to be returned by those that are named.
    #[must_use = "the named holders must be rejected"]
    pub fn take(&mut self, id: HolderId, bytes: u64, now: Millis) -> Vec<Rejection> {
        self.charge(id, bytes, bytes, now)
    }

    /// Takes bytes that are kept for a holder and are no progress of it, such as a buffer or an answer.
    #[must_use = "the named holders must be rejected"]
    pub fn hold(&mut self, id: HolderId, bytes: u64, now: Millis) -> Vec<Rejection> {
        self.charge(id, bytes, 0, now)
    }

    fn charge(&mut self, id: HolderId, bytes: u64, received: u64, now: Millis) -> Vec<Rejection> {
        let mut named = Vec::new();
        let Some(holder) = self.holders.get_mut(&id) else {
            return named;
        };
        holder.held += bytes;
        let (held, address, is_serving) = (holder.held, holder.address, holder.phase == Phase::Serving);
        if holder.is_rejected {
            self.rejected_bytes += bytes;
            return named;
        }
        self.add(address, Limit::Bytes, bytes);
        self.place(id);
        self.progress(id, received, now);
        let reserved = if held <= self.limits.small_bytes {
            0
        } else {
            self.limits.reserved_bytes
        };
        let limit = self.limits.bytes.saturating_sub(reserved);
        while self.total.sums.bytes > limit {
            let now = quanta(now.0 * 1_000);
            let most = self.crowded(Limit::Bytes);
            let found = most.heaviest(now);
            // A request that may have run is not refused for what is kept of its answer.
            let Some(found) = found.or((!is_serving).then_some(id)) else {
                break;
            };
            self.reject(found, Limit::Bytes, &mut named);
            if found == id {
                break;
            }
        }
        named
    }

    /// Records that a client has sent or read bytes.
    pub fn progress(&mut self, id: HolderId, bytes: u64, now: Millis) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if !matches!(holder.phase, Phase::Receiving | Phase::Blocked { .. }) {
            return;
        }
        let paid = bytes.saturating_mul(PACE_MS * 1_000) / holder.held.max(1);
        holder.paid_us = holder.paid_us.saturating_add(paid).min(fresh(now));
        self.place(id);
    }

    /// Returns bytes; at most those that the holder has taken.
    pub fn give_back(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(holder.held);
        holder.held -= bytes;
        let address = holder.address;
        if holder.is_rejected {
            self.rejected_bytes -= bytes;
            return;
        }
        self.subtract(address, Limit::Bytes, bytes);
        self.place(id);
    }

    /// Records that a request has been received whole. It may then run, and the holder is not named.
    pub fn serve(&mut self, id: HolderId) {
        self.enter(id, Phase::Serving);
    }

    /// Records whether an answer waits until the client reads.
    pub fn set_blocked(&mut self, id: HolderId, is_blocked: bool, now: Millis) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let phase = match (holder.phase, is_blocked) {
            (Phase::Serving, true) => Phase::Blocked { is_serving: true },
            (Phase::Idle { was_used: true }, true) => Phase::Blocked { is_serving: false },
            (Phase::Blocked { is_serving: true }, false) => Phase::Serving,
            (Phase::Blocked { is_serving: false }, false) => Phase::Idle { was_used: true },
            _ => return,
        };
        holder.paid_us = fresh(now);
        self.enter(id, phase);
    }

    /// Records the end of a request, after which the connection waits for the next one.
    pub fn end(&mut self, id: HolderId, now: Millis) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if matches!(holder.phase, Phase::Blocked { .. }) {
            self.enter(id, Phase::Blocked { is_serving: false });
            return;
        }
        holder.paid_us = fresh(now);
        self.enter(id, Phase::Idle { was_used: true });
    }

    /// Removes a holder with all that it still holds.
    pub fn close(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get(&id) else {
            return;
        };
        if holder.is_rejected {
            self.rejected_bytes -= holder.held;
        } else {
            self.withdraw(id);
        }
        self.holders.remove(&id);
    }

    fn add(&mut self, address: IpAddr, limit: Limit, amount: u64) {
        self.change(address, limit, |sum| sum + amount);
    }

    fn subtract(&mut self, address: IpAddr, limit: Limit, amount: u64) {
        self.change(address, limit, |sum| sum - amount);
    }

    fn change(&mut self, address: IpAddr, limit: Limit, change: impl Fn(u64) -> u64) {
        let total = self.total.sums.of(limit);
        *total = change(*total);
        let sum = self.by_address.entry(address).or_default().sums.of(limit);
        let before = std::mem::replace(sum, change(*sum));
        if self.limits.address_percent < 100 {
            let largest = self.largest.entry(limit).or_default();
            largest.remove(&(before, address));
            if *sum > 0 {
                largest.insert((*sum, address));
            }
        }
    }

    fn enter(&mut self, id: HolderId, phase: Phase) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut holder.phase, phase);
        let address = holder.address;
        if holder.is_rejected {
            return;
        }
        match (before == Phase::Receiving, phase == Phase::Receiving) {
            (false, true) => self.add(address, Limit::Requests, 1),
            (true, false) => self.subtract(address, Limit::Requests, 1),
            _ => {}
        }
        self.place(id);
    }

    /// Puts a holder at its place in the order.
    fn place(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get_mut(&id).filter(|it| !it.is_rejected) else {
            return;
        };
        let rank = match holder.phase {
            Phase::Idle { was_used: false } => Some(Rank::Unused),
            Phase::Idle { was_used: true } => Some(Rank::Used),
            Phase::Receiving => Some(Rank::Receiving),
            Phase::Blocked { .. } => Some(Rank::Blocked),
            Phase::Serving => None,
        };
        let place = rank.map(|rank| Place {
            rank,
            class: (holder.held.max(1).ilog2() as u8).min(CLASSES - 1),
            paid: quanta(holder.paid_us),
        });
        let before = std::mem::replace(&mut holder.place, place);
        if before == place {
            return;
        }
        for account in [&mut self.total, self.by_address.entry(holder.address).or_default()] {
            if let Some(before) = before {
                account.order.remove(id, before);
            }
            if let Some(place) = place {
                account.order.insert(id, place);
            }
        }
    }

    /// Order in which holders are considered: that of the address with most if it has more than its share.
    fn crowded(&self, limit: Limit) -> &Order {
        let allowed = match limit {
            Limit::Bytes => self.limits.bytes,
            Limit::Requests => self.limits.requests as u64,
            Limit::Connections => self.limits.connections as u64,
        };
        let largest = self.largest.get(&limit).and_then(|it| it.last());
        let beyond =
            largest.filter(|(sum, _)| sum.saturating_mul(100) > allowed.saturating_mul(self.limits.address_percent));
        let account = beyond.and_then(|(_, address)| self.by_address.get(address));
        &account.unwrap_or(&self.total).order
    }

    fn reject(&mut self, id: HolderId, limit: Limit, named: &mut Vec<Rejection>) {
        self.withdraw(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_rejected = true;
            self.rejected_bytes += holder.held;
            named.push(Rejection { holder: id, limit });
        }
    }

    /// Removes a holder from the sums and the order.
    fn withdraw(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let place = holder.place.take();
        let (address, held) = (holder.address, holder.held);
        let is_receiving = holder.phase == Phase::Receiving;
        for account in [&mut self.total, self.by_address.entry(address).or_default()] {
            if let Some(place) = place {
                account.order.remove(id, place);
            }
        }
        self.subtract(address, Limit::Connections, 1);
        self.subtract(address, Limit::Requests, u64::from(is_receiving));
        self.subtract(address, Limit::Bytes, held);
        if self.by_address.get(&address).is_some_and(|it| it.sums.connections == 0) {
            self.by_address.remove(&address);
        }
    }
}

/// Time in microseconds up to which a holder has paid that is new or has kept the pace.
fn fresh(now: Millis) -> u64 {
    (now.0 + GRACE_MS) * 1_000
}

fn quanta(us: u64) -> u64 {
    us / QUANTUM_US
}
