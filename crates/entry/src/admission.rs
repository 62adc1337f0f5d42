//! Admission of requests under the rates of their organisations.

use std::sync::Arc;
use std::time::Duration;

use guava_core::codes::Code;
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::quota::{LOCAL_PART, START_LEVEL};
use guava_platform::CallError;

use crate::log_event;
use crate::peers;
use crate::reply::Failure;
use crate::request::{Inbound, Resolved};
use crate::state::{Entry, now};

/// Pause until a coordinator is asked for tokens again; a hand-over takes about half a second.
const QUOTA_PAUSE_MS: u64 = 50;
/// Part of its objective that a request may wait for tokens of its organisation.
const QUOTA_WAIT_DIVISOR: u64 = 3;

/// Tokens taken from an organisation's rate.
#[derive(Debug, Default)]
pub struct Spent {
    organisation: Option<String>,
    rate: f64,
    burst: f64,
    tokens: f64,
}

impl Spent {
    /// Returns the tokens of a request that has not run.
    pub fn give_back(&self, entry: &Entry) {
        let Some(organisation) = &self.organisation else {
            return;
        };
        let now = now();
        let mut quota = entry.quota.lock();
        let bucket = quota.bucket(now, organisation, self.rate, self.burst, START_LEVEL);
        bucket.give_back(now, self.tokens);
    }
}

fn log_admitted(inbound: &Inbound, resolved: &Resolved, spent: &Spent, quota: &str, wait_ms: u64) {
    log_event!(
        Event::RequestAdmitted,
        &inbound.caller.attempt_id,
        "route={} config_version={} organisation={} tokens={} quota={quota} wait_ms={wait_ms}",
        resolved.route.name,
        resolved.in_force.config.version,
        resolved.organisation.as_ref().map_or("-", |it| &it.name),
        spent.tokens
    );
}

/// Takes the request's tokens from the organisation's rate: from the local part, else from the coordinator's.
///
/// # Errors
///
/// Fails with the time to come back when the tokens will not be there soon.
pub async fn admit(entry: &Arc<Entry>, inbound: &Inbound, resolved: &Resolved) -> Result<Spent, Failure> {
    let limited = resolved.organisation.as_ref().filter(|it| it.rate > 0.0);
    let Some(organisation) = limited else {
        log_admitted(inbound, resolved, &Spent::default(), "none", 0);
        return Ok(Spent::default());
    };
    let tokens = match inbound.caller.tokens {
        _ if !organisation.counts_tokens => 1.0,
        Some((prompt, output)) => (prompt + output) as f64,
        None => organisation.plain_tokens as f64,
    };
    let part = LOCAL_PART / entry.vms() as f64;
    let spent = Spent {
        organisation: Some(organisation.name.clone()),
        rate: organisation.rate * part,
        burst: organisation.burst * part,
        tokens,
    };
    // A short wait for tokens serves the caller sooner than a refusal and a repeat.
    let max_wait = resolved.route.objective_ms / QUOTA_WAIT_DIVISOR;
    let at = now();
    let local = reserve_local(entry, &spent, at, 0);
    if local.is_ok() {
        log_admitted(inbound, resolved, &spent, "local", 0);
        return Ok(spent);
    }
    let (wait, central) = match take_central(entry, &organisation.name, tokens, max_wait).await {
        Ok(Ok(wait)) => {
            tokio::time::sleep(Duration::from_millis(wait)).await;
            log_admitted(inbound, resolved, &spent, "central", wait);
            return Ok(spent);
        }
        Ok(Err(wait)) => (wait, format!("short for {wait} ms")),
        Err(e) => (u64::MAX, e.to_string()),
    };
    let wait_local = match reserve_local(entry, &spent, now(), max_wait) {
        Ok(wait) => {
            tokio::time::sleep(Duration::from_millis(wait)).await;
            log_admitted(inbound, resolved, &spent, "local", wait);
            return Ok(spent);
        }
        Err(wait) => wait,
    };
    let wait = wait.min(wait_local);
    let retry_after = Duration::from_millis(wait.clamp(50, 10_000));
    log_event!(
        Event::QuotaRefused,
        &inbound.caller.attempt_id,
        "organisation={} tokens={tokens} rate={} local_wait_ms={wait_local} central={central}",
        organisation.name,
        organisation.rate
    );
    Err(Failure::not_run(Code::RateExceeded).retry_after(retry_after))
}

/// Takes tokens from the coordinator, and while it changes hands asks again for as long as the request can wait.
async fn take_central(
    entry: &Entry,
    organisation: &str,
    tokens: f64,
    max_wait_ms: u64,
) -> Result<Result<u64, u64>, CallError> {
    let end = now() + max_wait_ms;
    loop {
        let asked = peers::take_quota(entry, organisation, tokens, end.since(now())).await;
        if !matches!(asked, Err(CallError::NotRun(_))) || now() + QUOTA_PAUSE_MS >= end {
            return asked;
        }
        tokio::time::sleep(Duration::from_millis(QUOTA_PAUSE_MS)).await;
    }
}

fn reserve_local(entry: &Entry, spent: &Spent, at: Millis, max_wait_ms: u64) -> Result<u64, u64> {
    let Some(organisation) = &spent.organisation else {
        return Ok(0);
    };
    let mut quota = entry.quota.lock();
    let bucket = quota.bucket(at, organisation, spent.rate, spent.burst, START_LEVEL);
    bucket.reserve(at, spent.tokens, max_wait_ms)
}
