//! In-process stand-in of the platform's list of VMs.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use guava_core::ids::VmName;
use parking_lot::Mutex;

use crate::faults::{FaultSwitch, Faults};
use crate::{PlatformError, VmInfo, VmList, VmState};

/// Snapshots kept for lagging reads.
const SNAPSHOT_LIMIT: usize = 4_096;

/// In-process stand-in of the list of VMs.
#[derive(Debug)]
pub struct MemoryVmList {
    state: Mutex<State>,
    faults: FaultSwitch,
}

/// VMs by name and instance: an ended instance stays listed next to its replacement.
type Entries = BTreeMap<(VmName, String), VmInfo>;

#[derive(Debug, Default)]
struct State {
    /// Lag without faults.
    lag: Duration,
    vms: Arc<Entries>,
    /// Earlier lists with the moment at which each was replaced, oldest first.
    earlier: VecDeque<(Instant, Arc<Entries>)>,
}

impl Default for MemoryVmList {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryVmList {
    /// Creates an empty list without lag.
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            faults: FaultSwitch::new(),
        }
    }

    /// Sets the lag of the list; the `list_lag_ms` fault is added to it.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().lag = lag;
    }

    /// Adds a VM or replaces the entry of the same name and instance.
    pub fn set(&self, vm: VmInfo) {
        self.edit(|vms| {
            vms.insert((vm.name.clone(), vm.instance.clone()), vm);
        });
    }

    /// Changes the state of all instances of a VM that have not ended.
    pub fn set_state(&self, name: &VmName, state: VmState) {
        self.edit(|vms| {
            vms.values_mut()
                .filter(|vm| vm.name == *name && vm.state != VmState::Ended)
                .for_each(|vm| vm.state = state);
        });
    }

    /// Removes all instances of a VM.
    pub fn remove(&self, name: &VmName) {
        self.edit(|vms| vms.retain(|_, vm| vm.name != *name));
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.set(faults);
    }

    /// Faults in force.
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    fn edit(&self, change: impl FnOnce(&mut Entries)) {
        let mut state = self.state.lock();
        let mut vms = Entries::clone(&state.vms);
        change(&mut vms);
        let replaced = std::mem::replace(&mut state.vms, Arc::new(vms));
        state.earlier.push_back((Instant::now(), replaced));
        if state.earlier.len() > SNAPSHOT_LIMIT {
            state.earlier.pop_front();
        }
    }
}

impl State {
    fn aged(&self, age: Duration) -> &Entries {
        let replaced_since = self.earlier.iter().find(|(at, _)| at.elapsed() < age);
        replaced_since.map_or(&*self.vms, |(_, vms)| vms)
    }
}

#[async_trait]
impl VmList for MemoryVmList {
    async fn vms(&self) -> Result<Vec<VmInfo>, PlatformError> {
        let faults = self.faults.enter().await?;
        let state = self.state.lock();
        let age = state.lag + Duration::from_millis(faults.list_lag_ms);
        Ok(state.aged(age).values().cloned().collect())
    }
}
