//! In-process stand-in of the platform's list of VMs.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use guava_core::ids::VmName;
use parking_lot::Mutex;

use crate::faults::{FaultInjector, Faults};
use crate::{PlatformError, VmInfo, VmList, VmState};

/// Earlier lists kept for reads with a lag.
const EARLIER_LISTS_LIMIT: usize = 4_096;

/// In-process stand-in of the list of VMs.
#[derive(Debug)]
pub struct MemoryVmList {
    state: Mutex<State>,
    faults: FaultInjector,
}

/// VMs by name and instance; an ended instance stays in the list next to its replacement.
type Entries = BTreeMap<(VmName, String), VmInfo>;

#[derive(Debug, Default)]
struct State {
    /// Configured lag, to which the `list_lag_ms` fault is added.
    lag: Duration,
    vms: Arc<Entries>,
    /// Earlier lists with the time at which each was replaced, oldest first.
    earlier_lists: VecDeque<(Instant, Arc<Entries>)>,
}

impl Default for MemoryVmList {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryVmList {
    /// Creates an empty list without lag or faults.
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            faults: FaultInjector::new(),
        }
    }

    /// Sets the lag of the list; the `list_lag_ms` fault is added to it.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().lag = lag;
    }

    /// Adds a VM or replaces the entry of the same name and instance.
    pub fn set(&self, vm: VmInfo) {
        self.update(|vms| {
            vms.insert((vm.name.clone(), vm.instance.clone()), vm);
        });
    }

    /// Sets the state of all instances of a VM that have not ended; no effect on a VM that is not listed.
    pub fn set_state(&self, name: &VmName, state: VmState) {
        self.update(|vms| {
            vms.values_mut()
                .filter(|vm| vm.name == *name && vm.state != VmState::Ended)
                .for_each(|vm| vm.state = state);
        });
    }

    /// Removes all instances of a VM.
    pub fn remove(&self, name: &VmName) {
        self.update(|vms| vms.retain(|_, vm| vm.name != *name));
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Current faults.
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    fn update(&self, change: impl FnOnce(&mut Entries)) {
        let mut state = self.state.lock();
        let mut vms = Entries::clone(&state.vms);
        change(&mut vms);
        let replaced = std::mem::replace(&mut state.vms, Arc::new(vms));
        state.earlier_lists.push_back((Instant::now(), replaced));
        if state.earlier_lists.len() > EARLIER_LISTS_LIMIT {
            state.earlier_lists.pop_front();
        }
    }
}

impl State {
    /// The list as it was `age` ago, as far as the earlier lists reach back.
    fn as_of(&self, age: Duration) -> &Entries {
        let list_then = self.earlier_lists.iter().find(|(at, _)| at.elapsed() < age);
        list_then.map_or(&*self.vms, |(_, vms)| vms)
    }
}

#[async_trait]
impl VmList for MemoryVmList {
    async fn vms(&self) -> Result<Vec<VmInfo>, PlatformError> {
        let faults = self.faults.start_call().await?;
        let state = self.state.lock();
        let age = state.lag + Duration::from_millis(faults.list_lag_ms);
        Ok(state.as_of(age).values().cloned().collect())
    }
}
