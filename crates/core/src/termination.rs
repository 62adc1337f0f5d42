//! Proof that a process (an incarnation of a member) has ended.
//!
//! The platform lists each VM by name with the identifier of its current instance, but the list may be stale. An
//! incarnation is assigned to a VM instance only when the list was requested at least [`LIST_LAG_MS`] after the
//! incarnation was first seen. Without this delay, a process that has just started on a replacement VM would be
//! assigned to the instance that the VM replaces, and be considered ended with it. A later incarnation of the same
//! member also proves that all earlier ones have ended.

use std::collections::HashMap;

use crate::ids::{Incarnation, MemberId, VmName};
use crate::units::Millis;

/// Longest time in milliseconds by which the platform's VM list may be out of date.
pub const LIST_LAG_MS: u64 = 30_000;

/// A VM as listed by the platform.
#[derive(Debug, Clone)]
pub struct ListedVm {
    /// Name, which a replacement VM takes over.
    pub name: VmName,
    /// Identifier of this instance of the VM; a replacement has another one.
    pub instance: String,
    /// Whether this instance has ended.
    pub ended: bool,
}

#[derive(Debug)]
struct Process {
    incarnation: Incarnation,
    first_seen: Millis,
    /// Instance that the process is assigned to: the one it runs on, or one that started after it; `None` until
    /// assigned.
    instance: Option<String>,
}

/// Incarnations seen so far, and those proved to have ended.
#[derive(Debug, Default)]
pub struct Terminations {
    processes: HashMap<MemberId, Process>,
    /// Latest incarnation proved to have ended; all earlier ones have ended too.
    ended: HashMap<MemberId, Incarnation>,
}

impl Terminations {
    /// Records that an incarnation exists or has existed. This proves the end of all earlier ones of the member.
    pub fn record_incarnation(&mut self, id: &MemberId, incarnation: Incarnation, now: Millis) {
        let known = self.processes.get(id).map(|it| it.incarnation);
        if known.is_some_and(|it| it >= incarnation) {
            return;
        }
        if let Some(earlier) = known {
            self.end(id, earlier);
        }
        let process = Process {
            incarnation,
            first_seen: now,
            instance: None,
        };
        self.processes.insert(id.clone(), process);
    }

    /// Records that an incarnation, and every earlier one, is proved to have ended; used for proofs by other members.
    pub fn end(&mut self, id: &MemberId, incarnation: Incarnation) {
        let ended = self.ended.entry(id.clone()).or_default();
        *ended = incarnation.max(*ended);
    }

    /// Applies the platform's list as requested at `requested`; returns the incarnations newly proved to have ended.
    pub fn listed(&mut self, vms: &[ListedVm], requested: Millis) -> Vec<(MemberId, Incarnation)> {
        let by_name: HashMap<&VmName, &ListedVm> = vms.iter().map(|it| (&it.name, it)).collect();
        let mut proved = Vec::new();
        for (id, process) in &mut self.processes {
            let Some(vm) = by_name.get(&id.vm) else {
                continue;
            };
            if requested.since(process.first_seen) < LIST_LAG_MS {
                continue;
            }
            let instance = process.instance.get_or_insert_with(|| vm.instance.clone());
            if vm.ended || *instance != vm.instance {
                proved.push((id.clone(), process.incarnation));
            }
        }
        proved.retain(|(id, incarnation)| !self.has_ended(id, *incarnation));
        for (id, incarnation) in &proved {
            self.end(id, *incarnation);
        }
        proved
    }

    /// Whether an incarnation is proved to have ended, by the list, by another member or by a later incarnation.
    pub fn has_ended(&self, id: &MemberId, incarnation: Incarnation) -> bool {
        let has_later = self.processes.get(id).is_some_and(|it| it.incarnation > incarnation);
        let proved = self.ended.get(id).is_some_and(|it| *it >= incarnation);
        has_later || proved
    }

    /// Latest incarnation seen, ended or not; `None` for an unknown member.
    pub fn latest(&self, id: &MemberId) -> Option<Incarnation> {
        let latest_seen = self.processes.get(id).map(|it| it.incarnation);
        latest_seen.max(self.ended.get(id).copied())
    }
}
