//! What VMs find out about prompts that crash backend servers, spread to all entry processes.
//!
//! updates are pushed at once to a few live processes, which pass on what is new to them; each exchange of the gossip
//! carries the verdicts and the open evidence as well, so a process that was cut off or has just started catches up.
//! Neither needs the store or a coordinator. The coordinator keeps a copy of the verdicts in the store, from which
//! processes start when all of them end at once.

use std::sync::Arc;
use std::time::Duration;

use guava_core::derive_value;
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::crashes::{Change, CrashFindings, Crashes, Decision, Evidence, Suspect, Verdict};
use guava_platform::CallError;
use guava_platform::store::{Object, Written};
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::coordinator::Coordinator;
use crate::log_event;
use crate::peers;
use crate::state::{EntryState, now, wall_ms};

/// Kind of the store's copy of the verdicts.
const VERDICTS_KIND: &str = "guava-verdicts";
const VERDICTS_NAME: &str = "prompts";
/// Time in which updates are batched before it is pushed.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Interval at which conclusions are drawn from what other VMs sent, and the store's copy is compared.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval, in milliseconds, at which the store's copy is renewed, so that verdicts in use do not look idle there.
const RENEWAL_MS: u64 = 120_000;

derive_value! {
    /// Value of the store's copy.
    struct StoredVerdicts {
        /// Wall time of the write in milliseconds since the Unix epoch.
        written_ms: u64,
        /// Verdicts at that time.
        verdicts: Vec<Verdict>,
    }
}

/// Findings of this VM and of others.
#[derive(Debug, Default)]
pub struct Findings {
    crashes: Mutex<Crashes>,
    /// Notified when updates are to be pushed.
    has_news: Notify,
}

impl Findings {
    /// Records an attempt of this VM that a crash broke off. Returns whether verdicts have changed.
    pub fn record_suspect(&self, now: Millis, suspect: Suspect) -> bool {
        self.update(|it| it.record_suspect(now, suspect))
    }

    /// Records that an answer to a request with these parts, which began at `begun`, runs on. Returns whether verdicts have
    /// changed.
    pub fn record_progress(&self, now: Millis, parts: &[String], begun: Millis) -> bool {
        self.update(|it| it.record_progress(now, parts, begun))
    }

    /// Records that a server survived an answer that began at `begun`. Returns whether verdicts have changed.
    pub fn record_proof(&self, now: Millis, parts: &[String], begun: Millis) -> bool {
        self.update(|it| it.record_proof(now, parts, begun))
    }

    /// Merges what another process sent. Returns whether verdicts have changed.
    pub fn merge(&self, now: Millis, findings: CrashFindings) -> bool {
        !findings.is_empty() && self.update(|it| it.merge(now, findings))
    }

    /// Applies the passing of time, with the number of servers that are known. Returns whether verdicts have changed.
    pub fn check_time(&self, now: Millis, servers: usize) -> bool {
        self.update(|it| {
            it.set_servers(servers);
            it.check_time(now)
        })
    }

    /// Decides on a request with these shared parts.
    pub fn check(&self, now: Millis, parts: &[String], is_tester: impl Fn(&str) -> bool) -> Decision {
        let mut crashes = self.crashes.lock();
        let decision = crashes.check(now, parts, is_tester);
        if decision == Decision::Try {
            self.has_news.notify_one();
        }
        decision
    }

    /// All that another process may lack.
    pub fn summary(&self, now: Millis) -> CrashFindings {
        self.crashes.lock().summary(now)
    }

    /// What is known of a request by its identity.
    pub fn evidence(&self, now: Millis, identity: &str) -> Evidence {
        self.crashes.lock().evidence(now, identity)
    }

    /// Number of verdicts.
    pub fn verdict_count(&self) -> u64 {
        self.crashes.lock().verdict_count() as u64
    }

    fn update(&self, f: impl FnOnce(&mut Crashes) -> Vec<Change>) -> bool {
        let (changes, has_news) = {
            let mut crashes = self.crashes.lock();
            let changes = f(&mut crashes);
            (changes, crashes.has_news())
        };
        if has_news {
            self.has_news.notify_one();
        }
        for change in &changes {
            match change {
                Change::Condemned(parts) => log_event!(Event::PromptCondemned, "-", "parts={}", parts.join(",")),
                Change::Lifted(parts) => log_event!(Event::PromptReleased, "-", "parts={}", parts.join(",")),
            }
        }
        !changes.is_empty()
    }
}

/// Pushes updates to other processes for as long as the process runs.
pub async fn push_news(state: Arc<EntryState>) {
    loop {
        state.findings.has_news.notified().await;
        sleep(BATCH_DELAY).await;
        let at = now();
        let updates = state.findings.crashes.lock().drain_updates(at);
        if updates.is_empty() {
            continue;
        }
        let extension = updates.extension();
        peers::push(&state, "findings", (updates, extension));
    }
}

/// Reads the store's copy of the verdicts once, then keeps it up to date while this process coordinates.
pub async fn keep_copy(state: Arc<EntryState>, coordinator: Arc<Coordinator>) {
    while let Err(e) = read_copy(&state).await {
        log::debug!("read of the stored verdicts failed: {e}");
        sleep(CHECK_INTERVAL).await;
    }
    let mut written: Option<(Vec<Vec<String>>, Millis)> = None;
    let mut written_in = state.store_era();
    loop {
        sleep(CHECK_INTERVAL).await;
        let at = now();
        let era = state.store_era();
        if std::mem::replace(&mut written_in, era) != era {
            written = None;
        }
        if state.findings.check_time(at, state.server_count()) {
            state.signal_change();
        }
        if !coordinator.coordinates() {
            written = None;
            continue;
        }
        let parts = condemned_parts(&state, at);
        let is_current = written.as_ref().is_some_and(|(known, written_at)| {
            *known == parts && (parts.is_empty() || at.since(*written_at) < RENEWAL_MS)
        });
        if is_current {
            continue;
        }
        match write_copy(&state).await {
            Ok(true) => written = Some((condemned_parts(&state, at), at)),
            Ok(false) => {}
            Err(e) => log::debug!("write of the stored verdicts failed: {e}"),
        }
    }
}

fn condemned_parts(state: &EntryState, at: Millis) -> Vec<Vec<String>> {
    let verdicts = state.findings.crashes.lock().verdicts(at);
    let mut parts: Vec<Vec<String>> = verdicts.into_iter().map(|it| it.parts).collect();
    parts.sort();
    parts
}

/// Merges the store's copy; its object, if there is one.
async fn read_copy(state: &EntryState) -> Result<Option<Object>, CallError> {
    let found = state.store.get(VERDICTS_KIND, VERDICTS_NAME).await?;
    state.record_store_contact(found.era, now());
    let Some(object) = found.object else {
        return Ok(None);
    };
    match serde_json::from_value::<StoredVerdicts>(object.spec.clone()) {
        Ok(stored) => state.apply_findings(with_age(stored, wall_ms())),
        Err(e) => log::warn!("the stored verdicts cannot be read and are replaced: {e}"),
    }
    Ok(Some(object))
}

/// Adds the time since the copy was written to its ages.
fn with_age(stored: StoredVerdicts, wall_ms: u64) -> CrashFindings {
    let age_ms = wall_ms.saturating_sub(stored.written_ms);
    let verdicts = stored.verdicts.into_iter().map(|it| Verdict {
        age_ms: it.age_ms.saturating_add(age_ms),
        idle_ms: it.idle_ms.saturating_add(age_ms),
        trial_age_ms: it.trial_age_ms.saturating_add(age_ms),
        ..it
    });
    CrashFindings {
        verdicts: verdicts.collect(),
        ..CrashFindings::default()
    }
}

/// Writes the verdicts to the store, with those that are there. Returns whether it did; false if another process wrote
/// in between, or there is nothing to write.
async fn write_copy(state: &EntryState) -> Result<bool, CallError> {
    let found = read_copy(state).await?;
    let stored = StoredVerdicts {
        written_ms: wall_ms(),
        verdicts: state.findings.crashes.lock().verdicts(now()),
    };
    let value = json!(stored);
    let written = match found {
        None if stored.verdicts.is_empty() => return Ok(true),
        None => state.store.create(VERDICTS_KIND, VERDICTS_NAME, &value).await?,
        Some(object) => {
            let revision = Some(object.revision);
            state
                .store
                .replace(VERDICTS_KIND, VERDICTS_NAME, &value, revision)
                .await?
        }
    };
    Ok(matches!(written, Written::Done(_)))
}
