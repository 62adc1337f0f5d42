//! Reading of the platform's list of VMs.
//!
//! Watchers read it often, which also confirms the contact with the platform for everybody; other members read it now
//! and then, and sooner when they have not heard of any contact.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guava_core::config::{BackendServer, Kind};
use guava_core::ids::{Incarnation, MemberId, Term, VmName};
use guava_core::spread::{Entry, EntryKey, Version};
use guava_core::termination::ListedVm;
use guava_core::units::Millis;
use guava_objects::{VmInfo, VmState};
use rand::Rng;

use crate::Spread;
use crate::shared::Shared;
use crate::watchers::WatchRole;

/// Key under which the watchers of the list are ranked.
pub(crate) const VM_WATCH_KEY: &str = "watch/vms";

/// Time between reads of a watcher.
const WATCHER_MS: u64 = 1_500;
/// Time between reads of other members.
const OTHER_MS: u64 = 60_000;
/// Bounds of the age of the last confirmation after which a member that is no watcher reads the list. Each member draws
/// its own age, so that a part of the fleet that loses confirmation at once does not read at once. The upper bound leaves
/// time for the read before the VM counts as isolated.
const UNCONFIRMED_MS: std::ops::RangeInclusive<u64> = 3_500..=4_000;
/// First and longest pause between such reads; all members make them at once when the platform is down.
const BACKOFF_MS: (u64, u64) = (2_000, 40_000);
/// Time between looks at whether a read is due.
const STEP: Duration = Duration::from_millis(500);
/// Time limit of one read.
const READ_LIMIT: Duration = Duration::from_secs(10);
/// Gossip ports of a VM's processes: the listed address and the ports that follow it.
const PORTS_PER_VM: u16 = 3;
/// VMs without a known member that are pinged after one read.
const PINGED_VMS: usize = 2;

/// Reads the list until the task is stopped.
pub(crate) async fn poll_loop(shared: Arc<Shared>) {
    let mut role = WatchRole::new(VM_WATCH_KEY);
    let mut polled = Millis(0);
    let mut known: Option<(Millis, Vec<VmInfo>)> = None;
    let mut was_configured = false;
    let mut backoff = BACKOFF_MS.0;
    let mut unconfirmed = rand::rng().random_range(UNCONFIRMED_MS);
    let mut was_confirmed = true;
    loop {
        let now = shared.clock.now();
        let is_watcher = role.is_watcher(&shared);
        let age = shared.members.age();
        let is_confirmed = age < unconfirmed;
        if is_confirmed && !was_confirmed {
            unconfirmed = rand::rng().random_range(UNCONFIRMED_MS);
        }
        was_confirmed = is_confirmed;
        if is_confirmed {
            backoff = BACKOFF_MS.0;
        }
        let gap = if is_watcher {
            WATCHER_MS
        } else if is_confirmed {
            OTHER_MS
        } else {
            backoff
        };
        if polled == Millis(0) || now.since(polled) >= gap {
            polled = now;
            let answer = read(&shared).await;
            if answer.is_none() && !is_watcher {
                backoff = next_backoff(backoff);
            }
            if let Some(vms) = answer {
                apply(&shared, &vms, now).await;
                known = Some((now, vms));
            }
        }
        // Backend servers can be told from entry VMs only once their configuration is known.
        let is_configured = shared.is_configured();
        if is_configured
            && !was_configured
            && let Some((asked, vms)) = &known
        {
            apply(&shared, vms, *asked).await;
        }
        was_configured = is_configured;
        tokio::time::sleep(STEP).await;
    }
}

fn next_backoff(backoff: u64) -> u64 {
    let longest = (backoff * 2).min(BACKOFF_MS.1);
    rand::rng().random_range(backoff.min(longest)..=longest)
}

async fn read(shared: &Shared) -> Option<Vec<VmInfo>> {
    let answer = tokio::time::timeout(READ_LIMIT, shared.vms.vms()).await;
    answer.ok()?.ok()
}

async fn apply(shared: &Shared, vms: &[VmInfo], asked: Millis) {
    let entry_vms = entry_vms(shared, vms);
    let names = entry_vms
        .iter()
        .filter(|it| it.state != VmState::Ended)
        .map(|it| it.name.clone())
        .collect();
    let listed: Vec<ListedVm> = entry_vms.iter().map(|it| listed(it)).collect();
    let proved = shared.members.listed(&listed, names, asked);
    for (id, incarnation) in proved {
        let out = shared.members.end(&id, incarnation);
        shared.dispatch(out).await;
        spread_end(shared, id, incarnation);
    }
    ping_unknown(shared, &entry_vms).await;
}

fn listed(vm: &VmInfo) -> ListedVm {
    ListedVm {
        name: vm.name.clone(),
        instance: vm.instance.clone(),
        ended: vm.state == VmState::Ended,
    }
}

fn spread_end(shared: &Shared, id: MemberId, incarnation: Incarnation) {
    shared.spread.put(Entry {
        key: EntryKey::Ended(id),
        version: Version {
            term: Term(0),
            sequence: incarnation.0,
        },
        value: incarnation.0.to_string().into_bytes(),
    });
}

/// VMs of the list that are not configured as backend servers.
fn entry_vms<'a>(shared: &Shared, vms: &'a [VmInfo]) -> Vec<&'a VmInfo> {
    let entries = shared
        .spread
        .present(|key| matches!(key, EntryKey::Config(Kind::Server, _)));
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

/// Pings the gossip ports of some listed VMs of which no member is known.
async fn ping_unknown(shared: &Shared, vms: &[&VmInfo]) {
    let mut known: HashSet<VmName> = shared.members.others().into_iter().map(|it| it.id.vm).collect();
    known.insert(shared.me().id.vm.clone());
    let unknown: Vec<&&VmInfo> = vms
        .iter()
        .filter(|it| it.state == VmState::Live && !known.contains(&it.name))
        .collect();
    let start = if unknown.is_empty() {
        0
    } else {
        rand::rng().random_range(0..unknown.len())
    };
    for vm in unknown.iter().cycle().skip(start).take(PINGED_VMS.min(unknown.len())) {
        for offset in 0..PORTS_PER_VM {
            let port = vm.addr.port().saturating_add(offset);
            let out = shared.members.ping_seed(SocketAddr::new(vm.addr.ip(), port));
            shared.dispatch(out).await;
        }
    }
}
