//! Platform calls and processor time of lease holders and candidates against an in-memory platform, ranking of
//! candidates, and size of the platform's list of VMs.

use std::collections::HashMap;

use guava_core::ids::{Incarnation, MemberId, Role, VmName, Zone};
use guava_core::lease::{ACTIVE_CANDIDATES, Candidacy, Lease, LeaseCall, StoredLease, WriteOutcome};
use guava_core::membership::MemberInfo;
use guava_core::rendezvous;
use guava_core::units::Millis;
use guava_objects::{VmInfo, VmState};
use rand_chacha::ChaCha8Rng;

use super::{Series, membership, seeded_rng};
use crate::process::{ns_per_call, timed};

const SIZES: [usize; 3] = [10, 50, 170];
const DESIGN_SIZE: f64 = 165.0;
/// Members that compete for each lease: the active candidates and as many that only wait.
const MEMBERS: usize = 2 * ACTIVE_CANDIDATES;
const SIMULATED_SECONDS: u64 = 120;
const RANKING_SIZES: [usize; 4] = [50, 300, 1_500, 4_500];
const MEMBERS_AT_DESIGN: f64 = 4_500.0;
const RANKINGS: u64 = 5;
const VM_COUNTS: [usize; 3] = [100, 1_500, 11_500];
/// VMs at the design size: 1,500 nodes and 10,000 backend servers.
const VMS_AT_DESIGN: f64 = 11_500.0;
const STEP_MS: u64 = 200;

struct Cost {
    reads: u64,
    writes: u64,
    steps: u64,
    ns: f64,
}

struct LeaseStore {
    leases: HashMap<usize, StoredLease>,
    version: u64,
}

impl LeaseStore {
    fn execute(&mut self, name: usize, lease: &mut Lease, call: &LeaseCall, now: Millis) {
        let LeaseCall::Write {
            spec,
            expect,
            operation,
        } = call
        else {
            lease.on_read(self.leases.get(&name).cloned(), now);
            return;
        };
        let current = self.leases.get(&name).map(|it| it.version);
        if current != *expect {
            lease.on_write(call, WriteOutcome::Conflict, now);
            return;
        }
        self.version += 1;
        let stored = StoredLease {
            version: self.version,
            operation: operation.clone(),
            spec: spec.clone(),
        };
        self.leases.insert(name, stored);
        lease.on_write(call, WriteOutcome::Done { version: self.version }, now);
    }
}

fn step_all(leases: &mut [Vec<Lease>], now: Millis, rng: &mut ChaCha8Rng) -> Vec<(usize, usize, LeaseCall)> {
    let mut calls = Vec::new();
    for (name, members) in leases.iter_mut().enumerate() {
        for (rank, lease) in members.iter_mut().enumerate() {
            let candidacy = Candidacy {
                rank: Some(rank),
                holder_ended: false,
                ..Candidacy::default()
            };
            calls.extend(lease.step(candidacy, now, rng).map(|call| (name, rank, call)));
        }
    }
    calls
}

fn run(count: usize, rng: &mut ChaCha8Rng) -> Cost {
    let member = |index: usize| MemberId::new(format!("vm-{index}"), Role::Controller);
    let mut leases: Vec<Vec<Lease>> = (0..count)
        .map(|_| (0..MEMBERS).map(|it| Lease::new(member(it), Incarnation(1))).collect())
        .collect();
    let mut store = LeaseStore {
        leases: HashMap::new(),
        version: 0,
    };
    let mut cost = Cost {
        reads: 0,
        writes: 0,
        steps: 0,
        ns: 0.0,
    };
    for step in 1..=SIMULATED_SECONDS * 1_000 / STEP_MS {
        let now = Millis(step * STEP_MS);
        let (calls, ns) = timed(|| step_all(&mut leases, now, rng));
        cost.ns += ns;
        cost.steps += (count * MEMBERS) as u64;
        for (name, rank, call) in calls {
            match call {
                LeaseCall::Read => cost.reads += 1,
                LeaseCall::Write { .. } => cost.writes += 1,
            }
            store.execute(name, &mut leases[name][rank], &call, now);
        }
    }
    cost
}

/// Measures what the lease manager computes after a member has joined or left: the names of the candidates, once for
/// all leases, and the rank of this process for each lease.
fn ranking() -> [Series; 2] {
    let series = |name| Series::new(name, "members", "µs", MEMBERS_AT_DESIGN);
    let mut names_time = series("leases: names of the candidates after a change of membership, once for all leases");
    let mut rank_time = series("leases: ranking after a change of membership, per lease");
    for size in RANKING_SIZES {
        let members: Vec<MemberInfo> = (0..size).map(|it| membership::member_info(it, 0)).collect();
        let own_name = members[0].id.to_string();
        let candidate_names = || -> Vec<String> {
            let same_role = members.iter().filter(|it| it.id.role == members[0].id.role);
            same_role.map(|it| it.id.to_string()).collect()
        };
        let ns = ns_per_call(RANKINGS, |_| {
            std::hint::black_box(candidate_names());
        });
        names_time.add_point(size, ns / 1e3);
        let candidates = candidate_names();
        let ns = ns_per_call(RANKINGS, |_| {
            let candidates = candidates.iter().map(String::as_str);
            std::hint::black_box(rendezvous::position("pool/pool-001", candidates, &own_name));
        });
        rank_time.add_point(size, ns / 1e3);
    }
    [names_time, rank_time]
}

fn vm_list() -> Series {
    let mut series = Series::new(
        "platform: answer to a read of the list of VMs",
        "VMs",
        "B",
        VMS_AT_DESIGN,
    );
    for size in VM_COUNTS {
        let vms: Vec<VmInfo> = (0..size)
            .map(|it| VmInfo {
                name: VmName::new(format!("runner-{it:05}")),
                instance: format!("i-{it:016x}"),
                zone: Zone::new("zone-3"),
                addr: membership::member_info(it, 0).gossip_addr,
                state: VmState::Live,
            })
            .collect();
        series.add_point(size, serde_json::to_vec(&vms).map_or(0, |it| it.len()) as f64);
    }
    series
}

pub(super) fn measure() -> Vec<Series> {
    let mut reads = Series::new("leases: reads of the platform", "leases", "1/s", DESIGN_SIZE);
    let mut writes = Series::new("leases: writes to the platform", "leases", "1/s", DESIGN_SIZE);
    let mut cpu = Series::new(
        "leases: processor time per competing process",
        "leases",
        "µs/s",
        DESIGN_SIZE,
    );
    let mut rng = seeded_rng();
    for size in SIZES {
        let cost = run(size, &mut rng);
        let seconds = SIMULATED_SECONDS as f64;
        reads.add_point(size, cost.reads as f64 / seconds);
        writes.add_point(size, cost.writes as f64 / seconds);
        let per_step = cost.ns / cost.steps as f64;
        cpu.add_point(size, per_step / 1e3 * size as f64 * 1e3 / STEP_MS as f64);
    }
    let [names_time, rank_time] = ranking();
    vec![reads, writes, cpu, names_time, rank_time, vm_list()]
}
