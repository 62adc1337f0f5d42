//! Order in which VMs compete for the coordinator's lease.
//!
//! It answers a start or loss of a coordinator, also while the platform's store turns some VMs away: a VM may be live
//! and known to all others, and yet be unable to acquire the lease. So few VMs compete at first, and more with time.

use guava_core::lease::ACTIVE_CANDIDATES;
use guava_core::rendezvous;

/// If at least this many VMs have the most processor time, those compete before all others.
const MIN_STRONG_VMS: usize = 3;
/// Time without a coordinator, in milliseconds, after which [`ACTIVE_CANDIDATES`] further VMs compete.
pub const WIDENING_MS: u64 = 400;
/// Largest number of VMs that compete in addition. While the store answers nobody, each of them calls it 2.5 times a
/// second.
const MAX_ADDED_CANDIDATES: usize = 4 * ACTIVE_CANDIDATES;

/// VM whose process is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveVm<'a> {
    /// Name of the VM.
    pub vm: &'a str,
    /// Processor time in hundredths of a core.
    pub processor: u32,
}

/// Live VMs in the order in which they compete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Succession<'a> {
    order: Vec<&'a str>,
    preferred: usize,
}

impl<'a> Succession<'a> {
    /// Orders live VMs for the lease `name`.
    ///
    /// The coordinator does the most work, so the VMs with the most processor time are preferred. If there are fewer than
    /// three of them, all VMs are equal, because so few could become unreachable together.
    pub fn new(name: &str, live: impl IntoIterator<Item = LiveVm<'a>>) -> Self {
        let mut ranked = rendezvous::rank(name, live, |it| it.vm);
        let max_processor = ranked.iter().map(|it| it.processor).max().unwrap_or(0);
        let strong = ranked.iter().filter(|it| it.processor == max_processor).count();
        let mut preferred = ranked.len();
        if strong >= MIN_STRONG_VMS {
            ranked.sort_by_key(|it| it.processor != max_processor);
            preferred = strong;
        }
        Self {
            order: ranked.into_iter().map(|it| it.vm).collect(),
            preferred,
        }
    }

    /// Rank of a VM among those that compete after `vacant_ms` without a coordinator; `None` if it must not compete yet.
    pub fn rank(&self, vm: &str, vacant_ms: u64) -> Option<usize> {
        let position = self.order.iter().position(|it| *it == vm)?;
        let steps = usize::try_from(vacant_ms / WIDENING_MS).unwrap_or(usize::MAX);
        let added = steps.saturating_mul(ACTIVE_CANDIDATES).min(MAX_ADDED_CANDIDATES);
        Some(position.saturating_sub(added)).filter(|it| *it < ACTIVE_CANDIDATES)
    }

    /// Whether a VM is one of those that compete before all others.
    pub fn prefers(&self, vm: &str) -> bool {
        self.preferred().contains(&vm)
    }

    /// VMs that compete before all others, best first.
    pub fn preferred(&self) -> &[&'a str] {
        &self.order[..self.preferred]
    }

    /// All VMs, best first.
    pub fn order(&self) -> &[&'a str] {
        &self.order
    }
}
