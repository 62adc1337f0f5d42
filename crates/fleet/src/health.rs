//! Health of backend servers, derived from the outcomes of requests.
//!
//! Answers to health checks can be wrong in both directions, so only request outcomes count. A server with several
//! consecutive failures is avoided for a period that doubles with each further failure. Avoided servers are still used
//! when no other server is available.
//!
//! In a large fleet each VM sends few requests to any one server, so VMs share what they observe: each reports its
//! outcomes at failing servers, the coordinator aggregates the reports, and a VM avoids a server that fails for others
//! before it has sent requests there itself. Reports of a single VM are not enough, because that VM's own network link
//! may be at fault, and a later success of a VM's own request overrides the shared failures.

use std::collections::HashMap;

use guava_core::derive_value;
use guava_core::units::Millis;

/// Consecutive failures after which a server is avoided.
const FAILURES_TO_AVOID: u32 = 2;
/// Length of the first avoidance period.
const AVOID_MIN_MS: u64 = 1_000;
/// Longest avoidance period; a server that has recovered is not left idle for longer.
const AVOID_MAX_MS: u64 = 8_000;
/// Weight of the newest outcome in the moving average of failures.
const EWMA_WEIGHT: f64 = 0.15;
/// Age at which reported outcomes expire. It spans several reports of a VM in a large fleet, which reports every 1.2 s.
const SHARED_MAX_AGE_MS: u64 = 3_000;
/// VMs that must have seen a server fail before its failures are shared.
const SHARED_MIN_VMS: usize = 2;
/// Fraction of the reported requests of all VMs that must have failed before a server's failures are shared.
const SHARED_MIN_FAILURE_RATE: f64 = 0.5;

derive_value! {
    /// Outcomes of one VM's requests to a server since the VM's last report.
    pub struct Outcomes {
        /// Id of the backend server.
        pub server: String,
        /// Number of requests that were answered.
        pub answered: u32,
        /// Number of requests that failed.
        pub failed: u32,
    }

    /// Backend server that fails for several VMs.
    pub struct SharedFailure {
        /// Id of the backend server.
        pub server: String,
        /// Number of VMs that saw it fail.
        pub vms: u32,
        /// Fraction of the reported requests of all VMs that failed, from 0 to 1.
        pub failing: f64,
        /// Milliseconds since the newest report of a failure.
        pub age_ms: u64,
    }
}

#[derive(Debug, Default)]
struct Record {
    consecutive_failures: u32,
    avoid_count: u32,
    avoided_until: Millis,
    failure_rate: f64,
}

/// Failure rate reported by other VMs, and when the failure happened on this VM's clock.
#[derive(Debug)]
struct PeerFailure {
    failure_rate: f64,
    at: Millis,
}

/// Health of the backend servers as seen by one VM.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<String, Record>,
    peer_failures: HashMap<String, PeerFailure>,
    /// Time of the newest success, by server.
    succeeded: HashMap<String, Millis>,
    /// Answered and failed requests since the last report, by server.
    unreported: HashMap<String, (u32, u32)>,
}

impl Health {
    /// Records an answered request. It ends this VM's own avoidance period and overrides older shared failures.
    pub fn record_success(&mut self, now: Millis, server: &str) {
        if let Some(at) = self.succeeded.get_mut(server) {
            *at = now;
        } else {
            self.succeeded.insert(server.to_owned(), now);
        }
        if let Some((answered, _)) = self.unreported.get_mut(server) {
            *answered += 1;
        } else {
            self.unreported.insert(server.to_owned(), (1, 0));
        }
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        record.consecutive_failures = 0;
        record.avoid_count = 0;
        record.avoided_until = Millis(0);
        record.failure_rate *= 1.0 - EWMA_WEIGHT;
        if record.failure_rate < 0.01 {
            self.records.remove(server);
        }
    }

    /// Records a failed request. Returns true if it starts a new avoidance period.
    pub fn record_failure(&mut self, now: Millis, server: &str) -> bool {
        self.unreported.entry(server.to_owned()).or_default().1 += 1;
        let record = self.records.entry(server.to_owned()).or_default();
        record.consecutive_failures += 1;
        record.failure_rate = record.failure_rate * (1.0 - EWMA_WEIGHT) + EWMA_WEIGHT;
        if record.consecutive_failures < FAILURES_TO_AVOID || now < record.avoided_until {
            return false;
        }
        let period_ms = (AVOID_MIN_MS << record.avoid_count.min(3)).min(AVOID_MAX_MS);
        record.avoid_count += 1;
        record.avoided_until = now + period_ms;
        true
    }

    /// Whether the server should be avoided, because of this VM's own failures or those that other VMs reported.
    pub fn is_avoided(&self, now: Millis, server: &str) -> bool {
        self.records.get(server).is_some_and(|it| now < it.avoided_until) || self.peer_failure(now, server).is_some()
    }

    /// Recent failure rate of the server, from 0 to 1: the higher of this VM's own moving average and the shared rate.
    pub fn failing(&self, now: Millis, server: &str) -> f64 {
        let own = self.records.get(server).map_or(0.0, |it| it.failure_rate);
        self.peer_failure(now, server)
            .map_or(own, |it| own.max(it.failure_rate))
    }

    /// Whether the server has answered a request of this VM since `at`.
    pub fn has_answered_since(&self, server: &str, at: Millis) -> bool {
        self.succeeded.get(server).is_some_and(|it| *it > at)
    }

    /// Failure reported by other VMs, unless it has expired or this VM has received an answer since.
    fn peer_failure(&self, now: Millis, server: &str) -> Option<&PeerFailure> {
        let peer_failure = self
            .peer_failures
            .get(server)
            .filter(|it| now.since(it.at) < SHARED_MAX_AGE_MS)?;
        let succeeded = self.succeeded.get(server);
        succeeded.is_none_or(|it| *it < peer_failure.at).then_some(peer_failure)
    }

    /// Merges the failures that other VMs saw, and returns those of servers that were not known to fail. Expired
    /// failures and those older than the known ones are ignored.
    pub fn put_shared(&mut self, now: Millis, shared: Vec<SharedFailure>) -> Vec<SharedFailure> {
        self.peer_failures.retain(|_, it| now.since(it.at) < SHARED_MAX_AGE_MS);
        self.succeeded.retain(|_, at| now.since(*at) < SHARED_MAX_AGE_MS);
        let mut new_failures = Vec::new();
        for failure in shared {
            let at = now - failure.age_ms;
            let known = self.peer_failures.get(&failure.server);
            if known.is_some_and(|it| it.at >= at) || failure.age_ms >= SHARED_MAX_AGE_MS {
                continue;
            }
            let peer_failure = PeerFailure {
                failure_rate: failure.failing,
                at,
            };
            if self
                .peer_failures
                .insert(failure.server.clone(), peer_failure)
                .is_none()
            {
                new_failures.push(failure);
            }
        }
        new_failures
    }

    /// Takes the outcomes since the last call, only for servers that failed since then or were already known to fail.
    pub fn take_outcomes(&mut self) -> Vec<Outcomes> {
        let unreported = std::mem::take(&mut self.unreported);
        let is_known_to_fail =
            |server: &str| self.records.contains_key(server) || self.peer_failures.contains_key(server);
        let failing_servers = unreported
            .into_iter()
            .filter(|(server, (_, failed))| *failed > 0 || is_known_to_fail(server));
        failing_servers
            .map(|(server, (answered, failed))| Outcomes {
                server,
                answered,
                failed,
            })
            .collect()
    }
}

#[derive(Debug)]
struct VmOutcomes {
    answered: u32,
    failed: u32,
    at: Millis,
}

/// Outcomes that VMs have reported to the coordinator: at most one entry per server and VM, until it expires.
#[derive(Debug, Default)]
pub struct SharedHealth {
    reported: HashMap<String, HashMap<String, VmOutcomes>>,
}

impl SharedHealth {
    /// Records a VM's report; it replaces the VM's earlier outcomes for the same servers.
    pub fn note(&mut self, vm: &str, outcomes: Vec<Outcomes>, now: Millis) {
        for vms in self.reported.values_mut() {
            vms.retain(|_, it| now.since(it.at) < SHARED_MAX_AGE_MS);
        }
        self.reported.retain(|_, vms| !vms.is_empty());
        for Outcomes {
            server,
            answered,
            failed,
        } in outcomes
        {
            let reported = VmOutcomes {
                answered,
                failed,
                at: now,
            };
            let vms = self.reported.entry(server).or_default();
            vms.insert(vm.to_owned(), reported);
        }
    }

    /// Servers that fail for enough VMs and at a high enough rate to be shared.
    pub fn failures(&self, now: Millis) -> Vec<SharedFailure> {
        let servers = self.reported.iter();
        servers
            .filter_map(|(server, vms)| shared_failure(server, vms, now))
            .collect()
    }
}

fn shared_failure(server: &str, vms: &HashMap<String, VmOutcomes>, now: Millis) -> Option<SharedFailure> {
    let recent = || vms.values().filter(|it| now.since(it.at) < SHARED_MAX_AGE_MS);
    let vms_with_failures = recent().filter(|it| it.failed > 0).count();
    let failed: u32 = recent().map(|it| it.failed).sum();
    let total: u32 = recent().map(|it| it.failed + it.answered).sum();
    let failing = f64::from(failed) / f64::from(total.max(1));
    let newest = recent().filter(|it| it.failed > 0).map(|it| it.at).max()?;
    (vms_with_failures >= SHARED_MIN_VMS && failing >= SHARED_MIN_FAILURE_RATE).then(|| SharedFailure {
        server: server.to_owned(),
        vms: u32::try_from(vms_with_failures).unwrap_or(u32::MAX),
        failing,
        age_ms: now.since(newest),
    })
}
