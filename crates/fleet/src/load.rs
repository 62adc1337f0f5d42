//! What a VM knows of the load of backend servers, and how old it is.
//!
//! The coordinator publishes how many requests of all VMs each server runs. These counts are out of date when they
//! arrive, and become more so until the next ones. The requests of this VM are known exactly. State is kept for servers
//! that this VM has considered within the last minute only.

use std::collections::HashMap;

use guava_core::units::Millis;

/// Time after which counts are not used any more, and after which a server that is no candidate is forgotten.
const EXPIRY_MS: u64 = 60_000;
/// Age from which counts of a VM that is not alone count as missing. A VM of 300 reports every 4.75 s at most, and one
/// report may be lost.
const MISSING_MS: u64 = 10_000;
/// Interval at which servers are forgotten.
const CLEANUP_INTERVAL_MS: u64 = 10_000;
/// Run time of a request, in milliseconds, that is assumed before one has finished. A short one lets the choice rely
/// less on counts.
const DEFAULT_RUN_MS: f64 = 250.0;
/// Requests over which run times are averaged.
const RUN_SAMPLES: u32 = 32;
/// Requests that count for the mean of all servers in the pace of one that has finished few.
const PACE_PRIOR: f64 = 8.0;
/// Bounds of a server's pace. Servers of a service differ by 0.6 to 1.6; a larger ratio comes from other requests.
const PACE_RANGE: (f64, f64) = (0.5, 2.0);
/// Time over which the requests that this VM has sent are averaged.
const SENT_AVERAGE_MS: f64 = 10_000.0;
/// Bound of a server's credit, in requests.
const MAX_CREDIT: f64 = 2.0;

/// Moving average of run times.
#[derive(Debug, Default, Clone, Copy)]
struct RunTime {
    ms: f64,
    samples: u32,
}

impl RunTime {
    fn record(&mut self, ms: f64) {
        self.samples = (self.samples + 1).min(RUN_SAMPLES);
        self.ms += (ms - self.ms) / f64::from(self.samples);
    }
}

/// What this VM knows of a server from its own requests.
#[derive(Debug, Default)]
struct ServerRecord {
    run: RunTime,
    /// Requests that are due to the server by its share and were not sent to it; negative if it got more.
    credit: f64,
    /// Decaying count of requests that were sent to the server.
    sent: f64,
    sent_at: Millis,
    used_at: Millis,
}

impl ServerRecord {
    fn sent_by(&self, now: Millis) -> f64 {
        self.sent * (-(now.since(self.sent_at) as f64) / SENT_AVERAGE_MS).exp()
    }
}

/// Load of backend servers as one VM knows it.
#[derive(Debug, Default)]
pub struct Loads {
    /// Running requests of the other VMs by server.
    others: HashMap<String, u32>,
    /// Count of a server that is not listed.
    unlisted: u32,
    counted_at: Option<Millis>,
    servers: HashMap<String, ServerRecord>,
    services: HashMap<String, RunTime>,
    cleaned_at: Millis,
    is_missing: bool,
}

impl Loads {
    /// Applies counts of the running requests of all VMs by server. `own` are those of this VM that they include.
    /// `age_ms` is the mean age of the counts in milliseconds. `is_complete` is false if servers with few requests may
    /// be left out; these then count as the least loaded of those that are listed.
    pub fn put_counts(
        &mut self,
        counts: Vec<(String, u32)>,
        own: &HashMap<String, u32>,
        is_complete: bool,
        age_ms: u64,
        now: Millis,
    ) {
        let others = counts.into_iter().map(|(server, count)| {
            let own = own.get(&server).copied().unwrap_or(0);
            (server, count.saturating_sub(own))
        });
        self.others = others.collect();
        let least = self.others.values().min().copied();
        self.unlisted = least.filter(|_| !is_complete).unwrap_or(0);
        self.counted_at = Some(now - age_ms);
    }

    /// Requests of other VMs that a server ran by the last counts.
    pub fn others(&self, server: &str) -> u32 {
        self.others.get(server).copied().unwrap_or(self.unlisted)
    }

    /// Age of the counts in milliseconds; `None` without usable ones.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        let age = self.counted_at.map(|it| now.since(it));
        age.filter(|it| *it < EXPIRY_MS)
    }

    /// Whether counts are missing for so long that an operator should know, or are received again. `None` if neither has
    /// changed since the last call. A VM that is alone needs none.
    pub fn missing_change(&mut self, vms: usize, started: Millis, now: Millis) -> Option<bool> {
        let since = self.counted_at.unwrap_or(started);
        let is_missing = vms > 1 && now.since(since) >= MISSING_MS;
        let has_changed = is_missing != self.is_missing;
        self.is_missing = is_missing;
        has_changed.then_some(is_missing)
    }

    /// Records the run time of a request that a server has answered in full, in milliseconds.
    pub fn record_run(&mut self, service: &str, server: &str, ms: u64, now: Millis) {
        let ms = ms.max(1) as f64;
        if let Some(run) = self.services.get_mut(service) {
            run.record(ms);
        } else {
            let mut run = RunTime::default();
            run.record(ms);
            self.services.insert(service.to_owned(), run);
        }
        self.update(server, now, |it| it.run.record(ms));
    }

    /// Mean run time of a service's requests in milliseconds.
    pub(crate) fn run_ms(&self, service: &str) -> f64 {
        self.services.get(service).map_or(DEFAULT_RUN_MS, |it| it.ms)
    }

    /// Speed of a server relative to the others of its service; 1 if it is not known.
    pub fn pace(&self, service: &str, server: &str) -> f64 {
        let Some(run) = self.servers.get(server).map(|it| it.run).filter(|it| it.samples > 0) else {
            return 1.0;
        };
        let samples = f64::from(run.samples);
        let measured = (self.run_ms(service) / run.ms).clamp(PACE_RANGE.0, PACE_RANGE.1);
        (samples * measured + PACE_PRIOR) / (samples + PACE_PRIOR)
    }

    /// Requests that are due to a server by its share.
    pub(crate) fn credit(&self, server: &str) -> f64 {
        self.servers.get(server).map_or(0.0, |it| it.credit)
    }

    /// Adds the share of a request that is due to a server.
    pub(crate) fn add_credit(&mut self, server: &str, share: f64, now: Millis) {
        self.update(server, now, |it| it.credit = (it.credit + share).min(MAX_CREDIT));
    }

    /// Records that a request goes to a server.
    pub(crate) fn record_choice(&mut self, server: &str, now: Millis) {
        self.update(server, now, |it| {
            it.credit = (it.credit - 1.0).max(-MAX_CREDIT);
            it.sent = it.sent_by(now) + 1.0;
            it.sent_at = now;
        });
        if now.since(self.cleaned_at) >= CLEANUP_INTERVAL_MS {
            self.cleaned_at = now;
            self.servers.retain(|_, it| now.since(it.used_at) < EXPIRY_MS);
        }
    }

    /// Fractions of the requests of this VM in the last seconds that went to each of the `limit` servers with the most,
    /// largest first.
    pub fn own_shares(&self, limit: usize, now: Millis) -> Vec<(String, f64)> {
        let total: f64 = self.servers.values().map(|it| it.sent_by(now)).sum();
        let shares = self
            .servers
            .iter()
            .map(|(id, it)| (id, it.sent_by(now) / total.max(1.0)));
        let mut shares: Vec<(&String, f64)> = shares.filter(|(_, share)| *share > 0.0).collect();
        shares.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        shares.truncate(limit);
        shares.into_iter().map(|(id, share)| (id.clone(), share)).collect()
    }

    fn update(&mut self, server: &str, now: Millis, change: impl FnOnce(&mut ServerRecord)) {
        if let Some(record) = self.servers.get_mut(server) {
            record.used_at = now;
            change(record);
            return;
        }
        let mut record = ServerRecord {
            used_at: now,
            ..ServerRecord::default()
        };
        change(&mut record);
        self.servers.insert(server.to_owned(), record);
    }
}
