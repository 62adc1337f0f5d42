//! Health of backend servers as seen from the outcomes of requests.
//!
//! Health answers may be wrong in both directions, so only outcomes count. A server with failures in a row is avoided
//! for a time that doubles with each further failure; an avoided server is still used when there is no other.
//!
//! In a large fleet each VM sends few requests to a server, so VMs share what they saw: each reports the outcomes at
//! servers that fail, the coordinator sums them up, and a VM avoids a server that fails for others before it has sent
//! its own requests there. One VM alone convinces nobody, because its own link may be what fails, and a VM's own later
//! success outweighs what it was told.

use std::collections::HashMap;

use guava_core::derive_value;
use guava_core::units::Millis;

/// Failures in a row after which a server is avoided.
const FAILURES_TO_AVOID: u32 = 2;
/// First time for which a server is avoided.
const AVOID_MS: u64 = 1_000;
/// Longest time for which a server is avoided; a sound server that came back is not left idle for longer.
const AVOID_MAX_MS: u64 = 8_000;
/// Weight of the newest outcome in the average.
const WEIGHT: f64 = 0.15;
/// Age up to which reported outcomes count: a few reports of a VM in a large fleet, which reports every 1.2 s.
const SHARED_MS: u64 = 3_000;
/// VMs that must have seen a server fail before the others are told.
const SHARED_VMS: usize = 2;
/// Part of the requests of all VMs that must have failed before the others are told.
const SHARED_FAILING: f64 = 0.5;

derive_value! {
    /// Outcomes of one VM's requests at a server since its last report.
    pub struct Outcomes {
        /// Server.
        pub server: String,
        /// Requests that were answered.
        pub answered: u32,
        /// Requests that failed.
        pub failed: u32,
    }

    /// Server that fails for several VMs.
    pub struct SharedFailure {
        /// Server.
        pub server: String,
        /// VMs that saw it fail.
        pub vms: u32,
        /// Part of all their requests that failed.
        pub failing: f64,
        /// Milliseconds since the newest report of a failure.
        pub age_ms: u64,
    }
}

#[derive(Debug, Default)]
struct Record {
    in_row: u32,
    avoided: u32,
    until: Millis,
    failing: f64,
}

/// What was told of a server, and when the failure happened on this VM's clock.
#[derive(Debug)]
struct Told {
    failing: f64,
    at: Millis,
}

/// Outcomes by backend server.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<String, Record>,
    told: HashMap<String, Told>,
    /// Newest success by server.
    succeeded: HashMap<String, Millis>,
    /// Answered and failed requests since the last report.
    unreported: HashMap<String, (u32, u32)>,
}

impl Health {
    /// Notes that a request was answered.
    pub fn note_success(&mut self, now: Millis, server: &str) {
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
        record.in_row = 0;
        record.avoided = 0;
        record.until = Millis(0);
        record.failing *= 1.0 - WEIGHT;
        if record.failing < 0.01 {
            self.records.remove(server);
        }
    }

    /// Notes that a request failed at the server; true when the server is avoided from now on.
    pub fn note_failure(&mut self, now: Millis, server: &str) -> bool {
        self.unreported.entry(server.to_owned()).or_default().1 += 1;
        let record = self.records.entry(server.to_owned()).or_default();
        record.in_row += 1;
        record.failing = record.failing * (1.0 - WEIGHT) + WEIGHT;
        if record.in_row < FAILURES_TO_AVOID || now < record.until {
            return false;
        }
        let time = (AVOID_MS << record.avoided.min(3)).min(AVOID_MAX_MS);
        record.avoided += 1;
        record.until = now + time;
        true
    }

    /// Whether the server should be avoided.
    pub fn is_avoided(&self, now: Millis, server: &str) -> bool {
        self.records.get(server).is_some_and(|it| now < it.until) || self.told(now, server).is_some()
    }

    /// Part of the recent requests that failed.
    pub fn failing(&self, now: Millis, server: &str) -> f64 {
        let own = self.records.get(server).map_or(0.0, |it| it.failing);
        self.told(now, server).map_or(own, |it| own.max(it.failing))
    }

    /// What others saw, unless it is too old or this VM has had an answer since.
    fn told(&self, now: Millis, server: &str) -> Option<&Told> {
        let told = self.told.get(server).filter(|it| now.since(it.at) < SHARED_MS)?;
        let succeeded = self.succeeded.get(server);
        succeeded.is_none_or(|it| *it < told.at).then_some(told)
    }

    /// Takes what other VMs saw, and returns the servers that were not known to fail.
    pub fn put_shared(&mut self, now: Millis, shared: Vec<SharedFailure>) -> Vec<SharedFailure> {
        self.told.retain(|_, it| now.since(it.at) < SHARED_MS);
        self.succeeded.retain(|_, at| now.since(*at) < SHARED_MS);
        let mut unknown = Vec::new();
        for failure in shared {
            let at = now - failure.age_ms;
            let known = self.told.get(&failure.server);
            if known.is_some_and(|it| it.at >= at) || failure.age_ms >= SHARED_MS {
                continue;
            }
            let told = Told {
                failing: failure.failing,
                at,
            };
            if self.told.insert(failure.server.clone(), told).is_none() {
                unknown.push(failure);
            }
        }
        unknown
    }

    /// Outcomes since the last report at servers that failed.
    pub fn take_outcomes(&mut self) -> Vec<Outcomes> {
        let unreported = std::mem::take(&mut self.unreported);
        let is_suspect = |server: &str| self.records.contains_key(server) || self.told.contains_key(server);
        let suspect = unreported
            .into_iter()
            .filter(|(server, (_, failed))| *failed > 0 || is_suspect(server));
        suspect
            .map(|(server, (answered, failed))| Outcomes {
                server,
                answered,
                failed,
            })
            .collect()
    }
}

#[derive(Debug)]
struct Reported {
    answered: u32,
    failed: u32,
    at: Millis,
}

/// Outcomes that VMs have reported to the coordinator: per server at most one entry a VM, for a few seconds.
#[derive(Debug, Default)]
pub struct SharedHealth {
    reported: HashMap<String, HashMap<String, Reported>>,
}

impl SharedHealth {
    /// Takes a VM's outcomes.
    pub fn note(&mut self, vm: &str, outcomes: Vec<Outcomes>, now: Millis) {
        for vms in self.reported.values_mut() {
            vms.retain(|_, it| now.since(it.at) < SHARED_MS);
        }
        self.reported.retain(|_, vms| !vms.is_empty());
        for Outcomes {
            server,
            answered,
            failed,
        } in outcomes
        {
            let reported = Reported {
                answered,
                failed,
                at: now,
            };
            let vms = self.reported.entry(server).or_default();
            vms.insert(vm.to_owned(), reported);
        }
    }

    /// Servers that fail for several VMs.
    pub fn failures(&self, now: Millis) -> Vec<SharedFailure> {
        let servers = self.reported.iter();
        servers.filter_map(|(server, vms)| summary(server, vms, now)).collect()
    }
}

fn summary(server: &str, vms: &HashMap<String, Reported>, now: Millis) -> Option<SharedFailure> {
    let fresh = || vms.values().filter(|it| now.since(it.at) < SHARED_MS);
    let saw_it_fail = fresh().filter(|it| it.failed > 0).count();
    let failed: u32 = fresh().map(|it| it.failed).sum();
    let all: u32 = fresh().map(|it| it.failed + it.answered).sum();
    let failing = f64::from(failed) / f64::from(all.max(1));
    let newest = fresh().filter(|it| it.failed > 0).map(|it| it.at).max()?;
    (saw_it_fail >= SHARED_VMS && failing >= SHARED_FAILING).then(|| SharedFailure {
        server: server.to_owned(),
        vms: u32::try_from(saw_it_fail).unwrap_or(u32::MAX),
        failing,
        age_ms: now.since(newest),
    })
}
