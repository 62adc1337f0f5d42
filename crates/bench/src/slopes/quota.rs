//! Reservations and grants at one router.

use std::collections::HashMap;

use guava_core::ids::{Incarnation, MemberId, OrganisationName, RequestId, Role, Term};
use guava_core::membership::MemberInfo;
use guava_core::quota::{Admission, Ledger, Limits, RouterIncarnation, SHARES, ShareMap};
use guava_core::termination::Terminations;
use guava_core::units::Millis;

use super::{Series, membership};
use crate::allocator::kept_bytes;
use crate::process::{ns_per_call, timed};

const SIZES: [usize; 3] = [5, 100, 1_000];
const DESIGN: f64 = 1_000.0;
const RESERVATIONS: u64 = 20_000;
const ROUTERS: [usize; 3] = [18, 300, 1_500];
const ROUTERS_AT_DESIGN: f64 = 1_500.0;
const CHECKS: u64 = 20;
const LIMITS: Limits = Limits {
    rate: 1_000_000,
    burst: 10_000_000,
};
const TOKENS: u64 = 50;
/// Time of the measurement of grants, in which a wallet is refilled many times.
const GRANT_SECONDS: u64 = 10;
/// Requests a second of one organisation at the router without a share.
const DEMAND: u64 = 100;

fn names(count: usize) -> Vec<OrganisationName> {
    (0..count)
        .map(|it| OrganisationName::new(format!("organisation-{it:04}")))
        .collect()
}

fn life(vm: &str) -> RouterIncarnation {
    RouterIncarnation {
        member: MemberId::new(vm, Role::Router),
        incarnation: Incarnation(1),
    }
}

fn holder(now: Millis) -> Ledger {
    let mut ledger = Ledger::new(LIMITS);
    for share in 0..SHARES {
        ledger.start_share(now, share, Term(1));
    }
    ledger
}

/// Asks `from` for `need` units and returns the bytes of both messages.
fn take(ledger: &mut Ledger, from: &mut Ledger, now: Millis, need: u64) -> usize {
    let (me, other) = (life("vm-1"), life("vm-2"));
    let request = ledger.next_take_request(now, &other, need);
    let answer = from.serve_take(now, &me, &request);
    ledger.apply_take_answer(now, &other, &answer);
    let size = |json: Result<Vec<u8>, serde_json::Error>| json.map_or(0, |it| it.len());
    size(serde_json::to_vec(&request)) + size(serde_json::to_vec(&answer))
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

struct Grants {
    calls_per_second: f64,
    bytes_per_call: f64,
    ns_per_call: f64,
}

/// Steady demand at a router without a share.
fn grants() -> Grants {
    let mut ledger = Ledger::new(LIMITS);
    let mut from = holder(Millis(0));
    let (mut calls, mut bytes, mut ns) = (0, 0, 0.0);
    for index in 0..GRANT_SECONDS * DEMAND {
        let now = Millis(1_000 + index * 1_000 / DEMAND);
        let id = RequestId::new(format!("request-{index}"));
        if let Admission::TooFewTokens(missing) = ledger.admit(now, &id, TOKENS) {
            let (size, spent) = timed(|| take(&mut ledger, &mut from, now, missing));
            calls += 1;
            bytes += size;
            ns += spent;
            ledger.admit(now, &id, TOKENS);
        }
        ledger.settle(now, &id, TOKENS);
    }
    let count = f64::from(calls.max(1));
    Grants {
        calls_per_second: f64::from(calls) / GRANT_SECONDS as f64,
        bytes_per_call: bytes as f64 / count,
        ns_per_call: ns / count,
    }
}

/// What the quota service computes about once a second, per organisation: it reads the live routers once for all
/// organisations. After a change of routers it looks for shares to take over and to hand over; without one it only looks
/// up whether a holder has ended.
fn ownership() -> [Series; 2] {
    let series = |what| Series::new(what, "routers", "µs", ROUTERS_AT_DESIGN);
    let mut changed = series("quota: check of an organisation's holders, mean of 1,000, after a change of routers");
    let mut unchanged = series("quota: check of an organisation's holders, mean of 1,000, without a change");
    let organisations = names(DESIGN as usize);
    for size in ROUTERS {
        let members: Vec<MemberInfo> = (0..size * 3).map(|it| membership::info(it, 0)).collect();
        let routers = || -> Vec<RouterIncarnation> {
            let mut live = members.clone();
            live.sort_by(|a, b| a.id.cmp(&b.id));
            let routers = live.into_iter().filter(|it| it.id.role == Role::Router);
            let to_life = |it: MemberInfo| RouterIncarnation {
                member: it.id,
                incarnation: it.incarnation,
            };
            routers.map(to_life).collect()
        };
        let mut terminations = Terminations::default();
        for member in &members {
            terminations.record_incarnation(&member.id, member.incarnation, Millis(0));
        }
        let ended = |it: &RouterIncarnation| terminations.has_ended(&it.member, it.incarnation);
        let known = routers();
        let me = known[0].clone();
        let maps: Vec<_> = organisations
            .iter()
            .filter_map(|it| Some((it, ShareMap::new(it, &known)?)))
            .collect();
        let ns = ns_per_call(CHECKS, |_| {
            let live = routers();
            let ids: Vec<MemberId> = live.iter().map(|it| it.member.clone()).collect();
            for (organisation, map) in &maps {
                std::hint::black_box(map.claims(organisation, &me, &ids, ended));
                std::hint::black_box(map.moves(organisation, &me, &live));
            }
        });
        changed.add(size, ns / 1e3 / DESIGN);
        let ns = ns_per_call(CHECKS, |_| {
            std::hint::black_box(routers() == known);
            for (_, map) in &maps {
                std::hint::black_box(map.shares.iter().any(|it| ended(&it.holder)));
            }
        });
        unchanged.add(size, ns / 1e3 / DESIGN);
    }
    [changed, unchanged]
}

pub(super) fn measure() -> Vec<Series> {
    let mut share = Series::new(
        "quota: reservation and settlement from a share",
        "organisations",
        "ns",
        DESIGN,
    );
    let mut wallet = Series::new(
        "quota: reservation and settlement from a wallet",
        "organisations",
        "ns",
        DESIGN,
    );
    let mut memory = Series::new(
        "quota: memory of a router with all shares",
        "organisations",
        "B",
        DESIGN,
    );
    let mut calls = Series::new(
        format!("quota: calls per organisation and router without a share, {DEMAND} requests/s"),
        "organisations",
        "1/s",
        DESIGN,
    );
    let mut bytes = Series::new(
        "quota: bytes per call (both ways, without HTTP)",
        "organisations",
        "B",
        DESIGN,
    );
    let mut cpu = Series::new(
        "quota: logic and JSON of a call, both sides",
        "organisations",
        "ns",
        DESIGN,
    );
    for size in SIZES {
        let names = names(size);
        let now = Millis(1_000);
        let make = || names.iter().map(|it| (it.clone(), holder(now))).collect();
        let (mut ledgers, kept): (HashMap<_, _>, f64) = kept_bytes(make);
        memory.add(size, kept);
        share.add(size, reservations(&mut ledgers, &names, now));
        let mut from = holder(now);
        let with_wallet = |name: &OrganisationName| {
            let mut ledger = Ledger::new(LIMITS);
            take(&mut ledger, &mut from, now, 1_000_000);
            (name.clone(), ledger)
        };
        let mut ledgers = names.iter().map(with_wallet).collect();
        wallet.add(size, reservations(&mut ledgers, &names, now));
        let found = grants();
        calls.add(size, found.calls_per_second);
        bytes.add(size, found.bytes_per_call);
        cpu.add(size, found.ns_per_call);
    }
    let [changed, unchanged] = ownership();
    vec![share, wallet, memory, calls, bytes, cpu, changed, unchanged]
}
