//! Proof that an incarnation of a member has ended.
//!
//! The platform lists a VM by name with the identifier of its current instance, and the list lags. An incarnation is
//! tied to an instance only after the list has had [`LIST_LAG_MS`] to catch up with the moment at which the incarnation
//! was first heard of; otherwise a process that just started on a replacement would be taken for one that ended with
//! the VM it replaces. A later incarnation of the same member proves the end of all earlier ones.

use std::collections::HashMap;

use crate::ids::{Incarnation, MemberId, VmName};
use crate::units::Millis;

/// Longest lag of the platform's list that is tolerated.
pub const LIST_LAG_MS: u64 = 30_000;

/// One VM of the platform's list.
#[derive(Debug, Clone)]
pub struct ListedVm {
    /// Name.
    pub name: VmName,
    /// Identifier of this life of the VM.
    pub instance: String,
    /// Whether this life has ended.
    pub ended: bool,
}

#[derive(Debug)]
struct Life {
    incarnation: Incarnation,
    first_heard: Millis,
    /// Instance on which, or before which, the process started.
    instance: Option<String>,
}

/// Knowledge about ended incarnations.
#[derive(Debug, Default)]
pub struct Terminations {
    lives: HashMap<MemberId, Life>,
    /// Largest incarnation proved to have ended.
    ended: HashMap<MemberId, Incarnation>,
}

impl Terminations {
    /// Notes that a process exists or has existed.
    pub fn heard(&mut self, id: &MemberId, incarnation: Incarnation, now: Millis) {
        let known = self.lives.get(id).map(|it| it.incarnation);
        if known.is_some_and(|it| it >= incarnation) {
            return;
        }
        if let Some(earlier) = known {
            self.end(id, earlier);
        }
        let life = Life {
            incarnation,
            first_heard: now,
            instance: None,
        };
        self.lives.insert(id.clone(), life);
    }

    /// Notes a proof made by another member.
    pub fn end(&mut self, id: &MemberId, incarnation: Incarnation) {
        let ended = self.ended.entry(id.clone()).or_default();
        *ended = incarnation.max(*ended);
    }

    /// Reads the platform's list, requested at `asked`; returns the incarnations that it newly proves to have ended.
    pub fn listed(&mut self, vms: &[ListedVm], asked: Millis) -> Vec<(MemberId, Incarnation)> {
        let by_name: HashMap<&VmName, &ListedVm> = vms.iter().map(|it| (&it.name, it)).collect();
        let mut proved = Vec::new();
        for (id, life) in &mut self.lives {
            let Some(vm) = by_name.get(&id.vm) else {
                continue;
            };
            if asked.since(life.first_heard) < LIST_LAG_MS {
                continue;
            }
            let instance = life.instance.get_or_insert_with(|| vm.instance.clone());
            if vm.ended || *instance != vm.instance {
                proved.push((id.clone(), life.incarnation));
            }
        }
        proved.retain(|(id, incarnation)| !self.has_ended(id, *incarnation));
        for (id, incarnation) in &proved {
            self.end(id, *incarnation);
        }
        proved
    }

    /// Whether an incarnation is proved to have ended.
    pub fn has_ended(&self, id: &MemberId, incarnation: Incarnation) -> bool {
        let later_known = self.lives.get(id).is_some_and(|it| it.incarnation > incarnation);
        let proved = self.ended.get(id).is_some_and(|it| *it >= incarnation);
        later_known || proved
    }

    /// Largest incarnation heard of, whether it has ended or not.
    pub fn latest(&self, id: &MemberId) -> Option<Incarnation> {
        let life = self.lives.get(id).map(|it| it.incarnation);
        life.max(self.ended.get(id).copied())
    }
}
