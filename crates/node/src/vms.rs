//! Reads the platform's list of VMs.
//!
//! Watchers read it often; their heartbeats then confirm contact with the platform to all members. Other members read
//! it once a minute, and sooner when their last confirmation is too old.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guava_core::config::{BackendServer, Kind};
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{Incarnation, MemberId, Term, VmName};
use guava_core::termination::ListedVm;
use guava_core::units::Millis;
use guava_objects::{VmInfo, VmState};
use rand::Rng;

use crate::GossipState;
use crate::shared::Shared;
use crate::watchers::WatchRole;

/// Rendezvous key by which the watchers of the VM list are chosen.
pub(crate) const VM_WATCH_KEY: &str = "watch/vms";

/// Time between reads by a watcher.
const WATCHER_INTERVAL_MS: u64 = 1_500;
/// Time between reads by a member that is not a watcher.
const NON_WATCHER_INTERVAL_MS: u64 = 60_000;
/// Range of the confirmation age at which a member that is not a watcher reads the list. Each member draws a random
/// age, so that members that lose confirmation together do not all read at the same moment. The upper bound leaves time
/// for the read before the VM counts as isolated.
const UNCONFIRMED_AFTER_MS: std::ops::RangeInclusive<u64> = 3_500..=4_000;
/// First and longest pause between such reads. The backoff limits the load when the platform is down and all members
/// read the list.
const BACKOFF_MS: (u64, u64) = (2_000, 40_000);
/// Time between checks whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Gossip ports pinged per VM: the listed port and those that follow it, one for each process of a VM.
const PORTS_PER_VM: u16 = 3;
/// Most VMs without a known member that are pinged after one read.
const MAX_PINGED_VMS: usize = 2;

/// Reads the list repeatedly until the task is aborted.
pub(crate) async fn poll_loop(shared: Arc<Shared>) {
    let mut role = WatchRole::new(VM_WATCH_KEY);
    let mut last_read = Millis(0);
    let mut last_list: Option<(Millis, Vec<VmInfo>)> = None;
    let mut was_configured = false;
    let mut backoff = BACKOFF_MS.0;
    let mut unconfirmed_after = rand::rng().random_range(UNCONFIRMED_AFTER_MS);
    let mut was_confirmed = true;
    loop {
        let now = shared.clock.now();
        let is_watcher = role.is_watcher(&shared);
        let age = shared.members.confirmation_age();
        let is_confirmed = age < unconfirmed_after;
        if is_confirmed && !was_confirmed {
            unconfirmed_after = rand::rng().random_range(UNCONFIRMED_AFTER_MS);
        }
        was_confirmed = is_confirmed;
        if is_confirmed {
            backoff = BACKOFF_MS.0;
        }
        let interval = if is_watcher {
            WATCHER_INTERVAL_MS
        } else if is_confirmed {
            NON_WATCHER_INTERVAL_MS
        } else {
            backoff
        };
        if last_read == Millis(0) || now.since(last_read) >= interval {
            last_read = now;
            let vms = read_list(&shared).await;
            if vms.is_none() && !is_watcher {
                backoff = next_backoff(backoff);
            }
            if let Some(vms) = vms {
                apply_list(&shared, &vms, now).await;
                last_list = Some((now, vms));
            }
        }
        // Until this process is configured, entry VMs cannot be distinguished from backend servers.
        let is_configured = shared.is_configured();
        if is_configured
            && !was_configured
            && let Some((requested_at, vms)) = &last_list
        {
            apply_list(&shared, vms, *requested_at).await;
        }
        was_configured = is_configured;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn next_backoff(backoff: u64) -> u64 {
    let upper = (backoff * 2).min(BACKOFF_MS.1);
    rand::rng().random_range(backoff.min(upper)..=upper)
}

async fn read_list(shared: &Shared) -> Option<Vec<VmInfo>> {
    let list = tokio::time::timeout(READ_TIMEOUT, shared.vms.vms()).await;
    list.ok()?.ok()
}

/// Applies a list that was requested at `requested_at`.
async fn apply_list(shared: &Shared, vms: &[VmInfo], requested_at: Millis) {
    let entry_vms = entry_vms(shared, vms);
    let names = entry_vms
        .iter()
        .filter(|it| it.state != VmState::Ended)
        .map(|it| it.name.clone())
        .collect();
    let listed: Vec<ListedVm> = entry_vms.iter().map(|it| listed_vm(it)).collect();
    let ended = shared.members.apply_vm_list(&listed, names, requested_at);
    for (id, incarnation) in ended {
        let out = shared.members.mark_ended(&id, incarnation);
        shared.dispatch(out).await;
        publish_end(shared, id, incarnation);
    }
    ping_unknown(shared, &entry_vms).await;
}

fn listed_vm(vm: &VmInfo) -> ListedVm {
    ListedVm {
        name: vm.name.clone(),
        instance: vm.instance.clone(),
        ended: vm.state == VmState::Ended,
    }
}

fn publish_end(shared: &Shared, id: MemberId, incarnation: Incarnation) {
    shared.gossip.put(Entry {
        key: EntryKey::Ended(id),
        version: Version {
            term: Term(0),
            sequence: incarnation.0,
        },
        value: incarnation.0.to_string().into_bytes(),
    });
}

/// Listed VMs that are not configured as backend servers, neither by name nor by address.
fn entry_vms<'a>(shared: &Shared, vms: &'a [VmInfo]) -> Vec<&'a VmInfo> {
    let entries = shared
        .gossip
        .entries_where(|key| matches!(key, EntryKey::Config(Kind::Server, _)));
    let servers: Vec<BackendServer> = entries
        .iter()
        .filter_map(|it| serde_json::from_slice(&it.value).ok())
        .collect();
    let names: HashSet<&str> = servers.iter().map(|it| it.name.as_str()).collect();
    let addrs: HashSet<SocketAddr> = servers.iter().map(|it| it.addr).collect();
    vms.iter()
        .filter(|it| !names.contains(it.name.as_str()) && !addrs.contains(&it.addr))
        .collect()
}

/// Pings the gossip ports of up to [`MAX_PINGED_VMS`] listed VMs on which no member is known.
async fn ping_unknown(shared: &Shared, vms: &[&VmInfo]) {
    let mut known_vms: HashSet<VmName> = shared.members.others().into_iter().map(|it| it.id.vm).collect();
    known_vms.insert(shared.me().id.vm.clone());
    let unknown: Vec<&&VmInfo> = vms
        .iter()
        .filter(|it| it.state == VmState::Live && !known_vms.contains(&it.name))
        .collect();
    let start = if unknown.is_empty() {
        0
    } else {
        rand::rng().random_range(0..unknown.len())
    };
    for vm in unknown
        .iter()
        .cycle()
        .skip(start)
        .take(MAX_PINGED_VMS.min(unknown.len()))
    {
        for offset in 0..PORTS_PER_VM {
            let port = vm.addr.port().saturating_add(offset);
            let out = shared.members.ping_seed(SocketAddr::new(vm.addr.ip(), port));
            shared.dispatch(out).await;
        }
    }
}
