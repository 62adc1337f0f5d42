//! Behaviour of several runtimes on loopback: membership, gossip, leases and isolation.

mod common;

use std::sync::Arc;

use common::{FakePlatform, eventually, settings, start, start_many};
use guava_core::config::Kind;
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{Incarnation, LeaseName, MemberId, OperationId, Role, Term};
use guava_node::runtime::{NodeError, Runtime};
use guava_node::status::Status;
use guava_objects::{Expect, ObjectStore};
use serde_json::json;

fn model_entry(name: &str, sequence: u64, value: &[u8]) -> Entry {
    Entry {
        key: EntryKey::Config(Kind::Model, name.to_owned()),
        version: Version {
            term: Term(0),
            sequence,
        },
        value: value.to_vec(),
    }
}

async fn wait_until_ready(runtimes: &[Runtime]) {
    for runtime in runtimes {
        let count = runtimes.len();
        eventually("members see each other", || runtime.node.members.live().len() == count).await;
        eventually("process is ready", || runtime.ready()).await;
    }
}

/// Guards against changes that are not replicated to all members, in particular entries too large for a datagram.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_reaches_all_members() {
    let platform = Arc::new(FakePlatform::default());
    let runtimes = start_many(3, &platform).await;
    wait_until_ready(&runtimes).await;
    let small = model_entry("small", 1, b"{}");
    let large = model_entry("large", 2, &[b'x'; 10_000]);

    runtimes[1].node.gossip.put(small.clone());
    runtimes[1].node.gossip.put(large.clone());

    for runtime in &runtimes {
        for wanted in [&small, &large] {
            let gossip = &runtime.node.gossip;
            eventually("entry arrives", || gossip.get(&wanted.key).as_deref() == Some(wanted)).await;
        }
    }
}

/// Guards against configuration changes or deletions that watchers miss, and against an older version that arrives late
/// and replaces a newer one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_changes_reach_all_members_and_never_revert() {
    let platform = Arc::new(FakePlatform::default());
    let operation = OperationId::new("op");
    let put = async |expect, slots: u64| {
        let spec = json!({ "slots": slots });
        platform.put(Kind::Model, "m", &spec, expect, &operation).await.unwrap()
    };
    let first = put(Expect::Absent, 1).await;
    let runtimes = start_many(3, &platform).await;
    wait_until_ready(&runtimes).await;

    let second = put(Expect::Version(first), 2).await;

    let key = EntryKey::Config(Kind::Model, "m".to_owned());
    for runtime in &runtimes {
        let gossip = &runtime.node.gossip;
        eventually("change arrives", || gossip.newest(Kind::Model).sequence == second).await;
        assert!(!gossip.put(model_entry("m", first, b"{\"slots\":1}")));
        assert_eq!(gossip.get(&key).unwrap().value, b"{\"slots\":2}");
    }

    let deleted = platform.delete(Kind::Model, "m", second).await.unwrap();
    for runtime in &runtimes {
        let gossip = &runtime.node.gossip;
        eventually("deletion arrives", || gossip.entries().is_empty()).await;
        assert!(gossip.get(&key).unwrap().version.sequence >= deleted);
    }
}

/// Guards against a startup that requires the platform although a peer has the configuration, and against a process
/// that becomes ready with neither.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_gets_configuration_from_a_peer_during_a_platform_outage() {
    let platform = Arc::new(FakePlatform::default());
    let first = start(&settings("vm0", Vec::new()), &platform).await;
    eventually("first is ready", || first.ready()).await;
    first.node.gossip.put(model_entry("m", 7, b"{}"));
    platform.set_down(true);
    let without_peers = start(&settings("vm9", Vec::new()), &platform).await;

    let seed = first.node.members.me().gossip_addr;
    let second = start(&settings("vm1", vec![seed]), &platform).await;

    let gossip = &second.node.gossip;
    eventually("configuration comes from the peer", || {
        gossip.newest(Kind::Model).sequence == 7
    })
    .await;
    assert!(!without_peers.ready(), "ready without platform and peers");
}

/// Guards against a startup that never completes because the platform rate-limits some list calls of every attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_becomes_ready_although_most_list_calls_are_rate_limited() {
    let platform = Arc::new(FakePlatform::default());
    platform.refuse_most_lists();

    let runtime = start(&settings("vm0", Vec::new()), &platform).await;

    eventually("ready", || runtime.ready()).await;
}

/// Guards against a lease that stays without a holder after its holder stops or crashes, against two holders at a time,
/// and against a term that does not grow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lease_moves_when_its_holder_stops_or_crashes() {
    let platform = Arc::new(FakePlatform::default());
    let mut runtimes = start_many(3, &platform).await;
    wait_until_ready(&runtimes).await;
    let name = LeaseName::new("pool-a");
    let holder = |runtimes: &[Runtime]| {
        let held = runtimes.iter().map(|it| it.node.leases.held(&name));
        let holders: Vec<(usize, Term)> = held.enumerate().filter_map(|(i, it)| it.map(|it| (i, it))).collect();
        assert!(holders.len() <= 1, "two holders: {holders:?}");
        holders.first().copied()
    };
    platform.lose_next_answer();
    for runtime in &runtimes {
        runtime.node.leases.compete(&name);
    }
    eventually("a first holder", || holder(&runtimes).is_some()).await;
    assert!(platform.answer_was_lost());
    let (index, first_term) = holder(&runtimes).unwrap();

    runtimes.remove(index).stop().await;
    eventually("a second holder", || holder(&runtimes).is_some()).await;
    let (index, second_term) = holder(&runtimes).unwrap();
    drop(runtimes.remove(index));
    eventually("a third holder", || holder(&runtimes).is_some()).await;

    let (_, third_term) = holder(&runtimes).unwrap();
    assert_eq!(first_term, Term(1));
    assert_eq!(second_term, Term(2));
    assert_eq!(third_term, Term(3));
    let last = &runtimes[0].node;
    assert_eq!(last.leases.holder(&name).as_ref(), Some(&last.members.me().id));
}

/// Guards against a lease that stays with the earlier incarnation of a restarted holder although that incarnation is
/// proved to have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_proves_that_the_earlier_incarnation_has_ended() {
    let platform = Arc::new(FakePlatform::default());
    let other = start(&settings("vm0", Vec::new()), &platform).await;
    let cfg = settings("vm1", vec![other.node.members.me().gossip_addr]);
    let first = start(&cfg, &platform).await;
    let earlier = first.node.members.me().clone();
    let name = LeaseName::new("pool-a");
    first.node.leases.compete(&name);
    eventually("first incarnation holds the lease", || {
        first.node.leases.held(&name) == Some(Term(1))
    })
    .await;
    let gossip = &other.node.gossip;
    eventually("holder is gossiped", || {
        gossip.get(&EntryKey::Lease(name.clone())).is_some()
    })
    .await;
    assert_eq!(other.node.leases.holder(&name).as_ref(), Some(&earlier.id));
    assert!(!other.node.members.has_ended(&earlier.id, earlier.incarnation));
    drop(first);

    let second = start(&cfg, &platform).await;
    second.node.leases.compete(&name);

    let members = &other.node.members;
    eventually("end is proved", || members.has_ended(&earlier.id, earlier.incarnation)).await;
    let me = second.node.members.me();
    assert!(me.incarnation > earlier.incarnation);
    assert!(!members.has_ended(&me.id, me.incarnation));
    eventually("second incarnation holds the lease", || {
        second.node.leases.held(&name) == Some(Term(2))
    })
    .await;
}

/// Guards against a VM that stays ready without contact to the platform and a majority of VMs, and against one that
/// becomes unready while only the platform is down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_without_platform_and_majority_is_isolated() {
    let platform = Arc::new(FakePlatform::default());
    let servers = ["s0", "s1", "s2", "s3", "s4"];
    for name in servers {
        let spec = json!({ "name": name, "addr": "127.0.0.1:8", "zone": "z1", "pool": "p" });
        let operation = OperationId::new(name);
        let put = platform.put(Kind::Server, name, &spec, Expect::Absent, &operation);
        put.await.unwrap();
    }
    // VMs of backend servers are in the list too, but must not count towards the majority.
    platform.list_vms(&[["vm0", "vm1", "vm2"].as_slice(), &servers].concat());
    let mut runtimes = start_many(3, &platform).await;
    wait_until_ready(&runtimes).await;
    platform.set_down(true);
    tokio::time::sleep(std::time::Duration::from_secs(8)).await;
    // Without contact to a majority no process would be ready again during the outage.
    eventually("ready with a majority", || runtimes.iter().all(Runtime::ready)).await;

    runtimes.truncate(1);
    let last = &runtimes[0];
    eventually("isolation", || last.node.members.isolated()).await;
    assert!(!last.ready());
    platform.set_down(false);

    eventually("ready after contact with the platform", || last.ready()).await;
}

/// Guards against two processes that share an address, and against a restarted process with a smaller incarnation than
/// before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn addresses_are_exclusive_and_incarnations_grow() {
    let platform = Arc::new(FakePlatform::default());
    let first = start(&settings("vm0", Vec::new()), &platform).await;
    let me = first.node.members.me().clone();
    let id = MemberId::new("vm1", Role::Controller);
    let future_incarnation = Incarnation(u64::MAX / 2);

    for (gossip, rpc) in [(Some(me.gossip_addr), None), (None, Some(me.rpc_addr))] {
        let mut cfg = settings("vm1", Vec::new());
        cfg.gossip_addr = gossip.unwrap_or(cfg.gossip_addr);
        cfg.rpc_addr = rpc.unwrap_or(cfg.rpc_addr);
        let platform = Arc::<FakePlatform>::clone(&platform);
        let vms = Arc::<FakePlatform>::clone(&platform);
        let second = Runtime::start(&cfg, Role::Controller, platform, vms).await;
        assert!(matches!(second, Err(NodeError::Socket(_))), "{second:?}");
    }

    first.node.gossip.put(Entry {
        key: EntryKey::Ended(id.clone()),
        version: Version {
            term: Term(0),
            sequence: future_incarnation.0,
        },
        value: b"1".to_vec(),
    });
    let restarted = start(&settings("vm1", vec![me.gossip_addr]), &platform).await;
    assert!(restarted.node.members.me().incarnation > future_incarnation);
    assert!(first.node.members.has_ended(&id, future_incarnation));
}

/// Guards against runtime methods, metrics or readiness that return nothing or wrong values.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runtime_methods_return_status_events_and_log_level() {
    let platform = Arc::new(FakePlatform::default());
    let runtimes = start_many(2, &platform).await;
    wait_until_ready(&runtimes).await;
    let other = runtimes[1].node.members.me();
    let call = async |method: &str, params| {
        let timeout = std::time::Duration::from_secs(30);
        runtimes[0].node.peers.call(other, method, params, timeout).await
    };

    let status: Status = serde_json::from_value(call("status", json!({})).await.unwrap()).unwrap();
    let events = call("timeline.events", json!({})).await.unwrap();
    let rejected = call("log.level", json!({ "level": "loud" })).await;
    let accepted = call("log.level", json!({ "level": "warn" })).await.unwrap();

    assert_eq!(status.member, other.id);
    assert_eq!(status.members.len(), 2);
    assert!(status.ready);
    assert!(events.to_string().contains("4001"));
    assert_eq!(accepted["level"], "warn");
    assert!(rejected.unwrap_err().to_string().contains("info"));
    assert!(runtimes[0].metrics_text().contains("guava_members_live"));
    runtimes[0].begin_shutdown();
    assert_eq!(runtimes[0].health().answer("/readyz").unwrap().status, 503);
}
