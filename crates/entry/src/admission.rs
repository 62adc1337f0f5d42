//! Admission of requests within the rate limits of their organisations.

use std::sync::Arc;
use std::time::Duration;

use guava_core::codes::Code;
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::model::RouteKind;
use guava_fleet::quota::{LOCAL_PART, START_LEVEL, TokenWait, fits_limit};
use guava_platform::CallError;

use crate::dispatch::first_event_timeout_ms;
use crate::log_event;
use crate::peers;
use crate::reply::Failure;
use crate::request::{Inbound, Resolved};
use crate::state::{EntryState, now};

/// Interval, in milliseconds, between calls to the coordinator for tokens while none answers. A change of coordinator
/// takes about half a second.
const QUOTA_RETRY_MS: u64 = 50;

/// Tokens taken from an organisation's rate limit for one request. Empty for a request without a limit.
#[derive(Debug, Default)]
pub struct TakenTokens {
    organisation: Option<String>,
    /// Rate and burst of this VM's share of the limit.
    rate: f64,
    burst: f64,
    tokens: f64,
}

impl TakenTokens {
    /// Returns the tokens of a request that has not run to the local bucket, also those taken from the coordinator.
    pub fn refund(&self, state: &EntryState) {
        let Some(organisation) = &self.organisation else {
            return;
        };
        let now = now();
        let mut quota = state.quota.lock();
        let bucket = quota.bucket(now, organisation, self.rate, self.burst, START_LEVEL);
        bucket.refund(now, self.tokens);
    }
}

fn log_admitted(inbound: &Inbound, resolved: &Resolved, taken: &TakenTokens, quota: &str, wait_ms: u64) {
    log_event!(
        Event::RequestAdmitted,
        &inbound.caller.attempt_id,
        "route={} config_version={} organisation={} tokens={} quota={quota} wait_ms={wait_ms} takes_up={}",
        resolved.route.name,
        resolved.in_force.config.version,
        resolved.organisation.as_ref().map_or("-", |it| &it.name),
        taken.tokens,
        inbound
            .caller
            .taken_up
            .as_ref()
            .map_or("-", |it| it.attempt.as_deref().unwrap_or("unnamed"))
    );
}

/// Takes the request's tokens from its organisation's rate limit: from this VM's share first, else from the
/// coordinator's.
///
/// # Errors
///
/// Returns [`Code::RateExceeded`] with a retry time when too few tokens become available within the request's waiting
/// time.
pub async fn admit(state: &Arc<EntryState>, inbound: &Inbound, resolved: &Resolved) -> Result<TakenTokens, Failure> {
    let limited = resolved.organisation.as_ref().filter(|it| it.rate > 0.0);
    let Some(organisation) = limited else {
        log_admitted(inbound, resolved, &TakenTokens::default(), "none", 0);
        return Ok(TakenTokens::default());
    };
    let tokens = match inbound.caller.tokens {
        _ if !organisation.counts_tokens => 1.0,
        Some((prompt, output)) => prompt.saturating_add(output) as f64,
        None => organisation.plain_tokens as f64,
    };
    if !fits_limit(tokens, organisation.rate, organisation.burst) {
        log_event!(
            Event::QuotaRefused,
            &inbound.caller.attempt_id,
            "organisation={} tokens={tokens} rate={} local_wait_ms=- central=larger than the limit ever admits",
            organisation.name,
            organisation.rate
        );
        return Err(Failure::not_run(Code::RateExceeded));
    }
    let vm_share = LOCAL_PART / state.vms() as f64;
    let taken = TakenTokens {
        organisation: Some(organisation.name.clone()),
        rate: organisation.rate * vm_share,
        burst: organisation.burst * vm_share,
        tokens,
    };
    let at = now();
    let route = &resolved.route;
    let deadline_ms = inbound.caller.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let is_taken_up = route.is_resumable_stream() && inbound.caller.taken_up.is_some();
    let mut token_wait = TokenWait::new(route.objective_ms, deadline_ms, state.rates_unsettled_ms(at));
    if route.kind == RouteKind::Streaming {
        let patience_ms = first_event_timeout_ms(route).min(deadline_ms);
        token_wait = token_wait.for_stream(patience_ms.saturating_sub(at.since(inbound.arrived)), is_taken_up);
    }
    let local = reserve_local(state, &taken, at, 0);
    if local.is_ok() {
        log_admitted(inbound, resolved, &taken, "local", 0);
        return Ok(taken);
    }
    let (wait, central) = match take_central(state, &organisation.name, tokens, token_wait).await {
        Ok(Ok(wait)) => {
            tokio::time::sleep(Duration::from_millis(wait)).await;
            log_admitted(inbound, resolved, &taken, "central", wait);
            return Ok(taken);
        }
        Ok(Err(wait)) => (wait, format!("short for {wait} ms")),
        Err(e) => (u64::MAX, e.to_string()),
    };
    let elapsed_ms = if is_taken_up { now().since(at) } else { 0 };
    let left_ms = token_wait.max_ms.saturating_sub(elapsed_ms);
    let wait_local = match reserve_local(state, &taken, now(), left_ms) {
        Ok(wait) => {
            tokio::time::sleep(Duration::from_millis(wait)).await;
            log_admitted(inbound, resolved, &taken, "local", wait);
            return Ok(taken);
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

/// Takes tokens from the coordinator's share. While the coordinator changes, retries for as long as the request waits. The inner
/// error is the wait, in milliseconds, that was too long.
async fn take_central(
    state: &EntryState,
    organisation: &str,
    tokens: f64,
    token_wait: TokenWait,
) -> Result<Result<u64, u64>, CallError> {
    let answer_timeout = Duration::from_millis(token_wait.answer_ms);
    let give_up_at = now() + token_wait.max_ms;
    loop {
        let max_wait_ms = give_up_at.since(now());
        let answer = peers::request_quota(state, organisation, tokens, max_wait_ms, answer_timeout).await;
        if !matches!(answer, Err(CallError::NotRun(_))) || now() + QUOTA_RETRY_MS >= give_up_at {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(QUOTA_RETRY_MS)).await;
    }
}

fn reserve_local(state: &EntryState, taken: &TakenTokens, at: Millis, max_wait_ms: u64) -> Result<u64, u64> {
    let Some(organisation) = &taken.organisation else {
        return Ok(0);
    };
    let mut quota = state.quota.lock();
    let bucket = quota.bucket(at, organisation, taken.rate, taken.burst, START_LEVEL);
    bucket.reserve(at, taken.tokens, max_wait_ms)
}
