//! Quota reservations, grants between routers and checks of share ownership at one router.

use std::collections::HashMap;

use guava_core::ids::{Incarnation, MemberId, OrganisationName, RequestId, Role, Term};
use guava_core::membership::MemberInfo;
use guava_core::quota::{Admission, Ledger, Limits, RouterIncarnation, SHARES, ShareMap};
use guava_core::termination::Terminations;
use guava_core::units::Millis;

use super::{Series, membership};
use crate::allocator::retained_bytes;
use crate::process::{ns_per_call, timed};

const SIZES: [usize; 3] = [5, 100, 1_000];
const DESIGN_SIZE: f64 = 1_000.0;
const RESERVATIONS: u64 = 20_000;
const ROUTERS: [usize; 3] = [18, 300, 1_500];
const ROUTERS_AT_DESIGN: f64 = 1_500.0;
const OWNERSHIP_CHECKS: u64 = 20;
const LIMITS: Limits = Limits {
    rate: 1_000_000,
    burst: 10_000_000,
};
const TOKENS_PER_REQUEST: u64 = 50;
/// Simulated time of the measurement of grants, in which the grant cache is refilled many times.
const GRANT_SECONDS: u64 = 10;
/// Requests per second of one organisation at a router that owns none of its shares.
const REQUESTS_PER_SECOND: u64 = 100;

fn names(count: usize) -> Vec<OrganisationName> {
    (0..count)
        .map(|it| OrganisationName::new(format!("organisation-{it:04}")))
        .collect()
}

fn router_incarnation(vm: &str) -> RouterIncarnation {
    RouterIncarnation {
        member: MemberId::new(vm, Role::Router),
        incarnation: Incarnation(1),
    }
}

fn holder_ledger(now: Millis) -> Ledger {
    let mut ledger = Ledger::new(LIMITS);
    for share in 0..SHARES {
        ledger.start_share(now, share, Term(1));
    }
    ledger
}

/// Requests a grant of `need` units from the holder and returns the size in bytes of request and answer together.
fn request_grant(ledger: &mut Ledger, holder: &mut Ledger, now: Millis, need: u64) -> usize {
    let (me, other) = (router_incarnation("vm-1"), router_incarnation("vm-2"));
    let request = ledger.next_take_request(now, &other, need);
    let answer = holder.serve_take(now, &me, &request);
    ledger.apply_take_answer(now, &other, &answer);
    let json_size = |json: Result<Vec<u8>, serde_json::Error>| json.map_or(0, |it| it.len());
    json_size(serde_json::to_vec(&request)) + json_size(serde_json::to_vec(&answer))
}

fn reservations(ledgers: &mut HashMap<OrganisationName, Ledger>, names: &[OrganisationName], now: Millis) -> f64 {
    let ids: Vec<RequestId> = (0..RESERVATIONS)
        .map(|it| RequestId::new(format!("request-{it}")))
        .collect();
    ns_per_call(RESERVATIONS, |index| {
        let index = index as usize;
        if let Some(ledger) = ledgers.get_mut(&names[index * 31 % names.len()]) {
            ledger.admit(now, &ids[index], 1);
            ledger.settle(now, &ids[index], 1);
        }
    })
}

struct GrantCosts {
    calls_per_second: f64,
    bytes_per_call: f64,
    ns_per_call: f64,
}

/// Measures grants under steady demand at a router that owns no share.
fn measure_grants() -> GrantCosts {
    let mut ledger = Ledger::new(LIMITS);
    let mut holder = holder_ledger(Millis(0));
    let (mut calls, mut bytes, mut ns) = (0, 0, 0.0);
    for index in 0..GRANT_SECONDS * REQUESTS_PER_SECOND {
        let now = Millis(1_000 + index * 1_000 / REQUESTS_PER_SECOND);
        let id = RequestId::new(format!("request-{index}"));
        if let Admission::TooFewTokens(missing) = ledger.admit(now, &id, TOKENS_PER_REQUEST) {
            let (size, call_ns) = timed(|| request_grant(&mut ledger, &mut holder, now, missing));
            calls += 1;
            bytes += size;
            ns += call_ns;
            ledger.admit(now, &id, TOKENS_PER_REQUEST);
        }
        ledger.settle(now, &id, TOKENS_PER_REQUEST);
    }
    let count = f64::from(calls.max(1));
    GrantCosts {
        calls_per_second: f64::from(calls) / GRANT_SECONDS as f64,
        bytes_per_call: bytes as f64 / count,
        ns_per_call: ns / count,
    }
}

/// Measures what the quota service computes about once a second, per organisation. It reads the live routers once for
/// all organisations. After a change of routers it looks for shares to take over and to hand over; without a change it
/// only checks whether a holder has ended.
fn measure_ownership_checks() -> [Series; 2] {
    let series = |name| Series::new(name, "routers", "µs", ROUTERS_AT_DESIGN);
    let mut changed = series("quota: check of an organisation's holders, mean of 1,000, after a change of routers");
    let mut unchanged = series("quota: check of an organisation's holders, mean of 1,000, without a change");
    let organisations = names(DESIGN_SIZE as usize);
    for size in ROUTERS {
        let members: Vec<MemberInfo> = (0..size * 3).map(|it| membership::member_info(it, 0)).collect();
        let routers = || -> Vec<RouterIncarnation> {
            let mut live = members.clone();
            live.sort_by(|a, b| a.id.cmp(&b.id));
            let routers = live.into_iter().filter(|it| it.id.role == Role::Router);
            let to_router_incarnation = |it: MemberInfo| RouterIncarnation {
                member: it.id,
                incarnation: it.incarnation,
            };
            routers.map(to_router_incarnation).collect()
        };
        let mut terminations = Terminations::default();
        for member in &members {
            terminations.record_incarnation(&member.id, member.incarnation, Millis(0));
        }
        let has_ended = |it: &RouterIncarnation| terminations.has_ended(&it.member, it.incarnation);
        let known_routers = routers();
        let me = known_routers[0].clone();
        let share_maps: Vec<_> = organisations
            .iter()
            .filter_map(|it| Some((it, ShareMap::new(it, &known_routers)?)))
            .collect();
        let ns = ns_per_call(OWNERSHIP_CHECKS, |_| {
            let live = routers();
            let ids: Vec<MemberId> = live.iter().map(|it| it.member.clone()).collect();
            for (organisation, map) in &share_maps {
                std::hint::black_box(map.claims(organisation, &me, &ids, has_ended));
                std::hint::black_box(map.moves(organisation, &me, &live));
            }
        });
        changed.add_point(size, ns / 1e3 / DESIGN_SIZE);
        let ns = ns_per_call(OWNERSHIP_CHECKS, |_| {
            std::hint::black_box(routers() == known_routers);
            for (_, map) in &share_maps {
                std::hint::black_box(map.shares.iter().any(|it| has_ended(&it.holder)));
            }
        });
        unchanged.add_point(size, ns / 1e3 / DESIGN_SIZE);
    }
    [changed, unchanged]
}

pub(super) fn measure() -> Vec<Series> {
    let mut share = Series::new(
        "quota: reservation and settlement from a share",
        "organisations",
        "ns",
        DESIGN_SIZE,
    );
    let mut grant_cache = Series::new(
        "quota: reservation and settlement from a wallet",
        "organisations",
        "ns",
        DESIGN_SIZE,
    );
    let mut memory = Series::new(
        "quota: memory of a router with all shares",
        "organisations",
        "B",
        DESIGN_SIZE,
    );
    let mut calls = Series::new(
        format!("quota: calls per organisation and router without a share, {REQUESTS_PER_SECOND} requests/s"),
        "organisations",
        "1/s",
        DESIGN_SIZE,
    );
    let mut bytes = Series::new(
        "quota: bytes per call (both ways, without HTTP)",
        "organisations",
        "B",
        DESIGN_SIZE,
    );
    let mut cpu = Series::new(
        "quota: logic and JSON of a call, both sides",
        "organisations",
        "ns",
        DESIGN_SIZE,
    );
    for size in SIZES {
        let names = names(size);
        let now = Millis(1_000);
        let build_ledgers = || names.iter().map(|it| (it.clone(), holder_ledger(now))).collect();
        let (mut ledgers, retained): (HashMap<_, _>, f64) = retained_bytes(build_ledgers);
        memory.add_point(size, retained);
        share.add_point(size, reservations(&mut ledgers, &names, now));
        let mut holder = holder_ledger(now);
        let with_grant_cache = |name: &OrganisationName| {
            let mut ledger = Ledger::new(LIMITS);
            request_grant(&mut ledger, &mut holder, now, 1_000_000);
            (name.clone(), ledger)
        };
        let mut ledgers = names.iter().map(with_grant_cache).collect();
        grant_cache.add_point(size, reservations(&mut ledgers, &names, now));
        let costs = measure_grants();
        calls.add_point(size, costs.calls_per_second);
        bytes.add_point(size, costs.bytes_per_call);
        cpu.add_point(size, costs.ns_per_call);
    }
    let [changed, unchanged] = measure_ownership_checks();
    vec![share, grant_cache, memory, calls, bytes, cpu, changed, unchanged]
}
