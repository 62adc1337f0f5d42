//! Where a request would be sent now, by the code that selects servers, without sending it or recording a choice.

use std::collections::HashSet;
use std::time::Duration;

use guava_core::codes::Code;
use guava_fleet::choice;
use guava_fleet::model::{BackendServer, ServerState};
use serde::Serialize;

use super::{Dispatch, Hindrance};
use crate::reply::Failure;
use crate::state::now;

/// What would become of a request at a service.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceExplanation {
    /// Name of the service.
    pub service: String,
    /// Weight of the service among those of the route.
    pub weight: u32,
    /// What would happen to the request.
    pub outcome: Outcome,
    /// Code of the refusal; `None` if the request would not be refused.
    pub code: Option<String>,
    /// Milliseconds after which the caller would be asked to retry, or until its model is expected to be loaded.
    pub wait_ms: Option<u64>,
    /// Age in milliseconds of what this VM knows of the other VMs' requests.
    pub load_age_ms: u64,
    /// Servers of the service, those with the largest share first.
    pub servers: Vec<ServerExplanation>,
}

/// What would happen to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It would be sent to one of the servers with a share.
    Sent,
    /// It would wait until a server can take it.
    Waits,
    /// This VM reaches no server and would hand it to another VM.
    HandedOver,
    /// It would be refused.
    Refused,
}

/// How a server takes part in the selection.
#[derive(Debug, Clone, Serialize)]
pub struct ServerExplanation {
    /// Id of the server.
    pub server: String,
    /// Availability zone of the server.
    pub zone: String,
    /// Part of such requests that this VM would send to the server, from 0 to 1; `None` if the server is left out.
    pub share: Option<f64>,
    /// Requests that the server runs or has queued, from all VMs, as far as this VM knows.
    pub running: u32,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is cold.
    pub cold: bool,
    /// Recent failure rate, from 0 to 1.
    pub failing: f64,
    /// Why the server is left out; `None` if it is not.
    pub left_out: Option<String>,
}

/// A fraction to three decimal places, for readers.
fn rounded(fraction: f64) -> f64 {
    (fraction * 1_000.0).round() / 1_000.0
}

impl Dispatch {
    /// Explains where the request would be sent now.
    pub fn explain(&self, weight: u32) -> ServiceExplanation {
        let at = now();
        let servers = self.explain_servers();
        let is_taken = servers.iter().any(|it| it.share.is_some());
        let refusal = self.find_refusal(is_taken);
        let outcome = if self.is_to_hand_over() {
            Outcome::HandedOver
        } else if refusal.is_some() {
            Outcome::Refused
        } else if is_taken {
            Outcome::Sent
        } else {
            Outcome::Waits
        };
        let refusal = refusal.filter(|_| outcome == Outcome::Refused);
        let retry_ms = refusal.and_then(|it| it.retry_after).map(|it| it.as_millis() as u64);
        let load_ms = self.model_wait(at).filter(|_| outcome == Outcome::Waits);
        ServiceExplanation {
            service: self.service.clone(),
            weight,
            outcome,
            code: refusal.map(|it| it.code.to_string()),
            wait_ms: retry_ms.or(load_ms),
            load_age_ms: self.state.loads_age_ms(at),
            servers,
        }
    }

    /// Refusal of the request, if it would be refused now; `is_taken` states whether a server can take it.
    fn find_refusal(&self, is_taken: bool) -> Option<Failure> {
        if self.state.is_draining() {
            return Some(Failure::not_run(Code::Stopping));
        }
        if is_taken {
            return None;
        }
        let at = now();
        let hindrance = self.find_hindrance(at).map(Hindrance::failure);
        let late = || {
            let wait = self.model_wait(at).filter(|it| at + *it > self.latest_start())?;
            Some(self.deadline_failure().retry_after(Duration::from_millis(wait)))
        };
        hindrance.or_else(late)
    }

    fn explain_servers(&self) -> Vec<ServerExplanation> {
        let at = now();
        let Some(service) = self.resolved.in_force.config.services.get(&self.service) else {
            return Vec::new();
        };
        let wanted = self.wanted();
        let available = self.state.candidates(&self.service, wanted, at);
        let usable: Vec<_> = available.iter().filter(|(it, _)| self.may_use(it)).collect();
        let vms = self.state.vms();
        let health = self.state.health.lock();
        let candidates: Vec<_> = usable
            .iter()
            .map(|(it, in_flight)| self.candidate(it, *in_flight, service, &health, at))
            .collect();
        let shares = choice::shares(&candidates, &self.choice_context(vms, at), &self.state.loads.lock());
        let mut explained: Vec<ServerExplanation> = candidates
            .iter()
            .zip(&shares)
            .zip(&usable)
            .map(|((candidate, share), (server, _))| ServerExplanation {
                server: server.id.clone(),
                zone: server.zone.clone(),
                share: Some(rounded(*share)),
                running: candidate.in_flight,
                slots: server.slots,
                cold: self.state.is_cold(server, service, at),
                failing: rounded(candidate.failing),
                left_out: None,
            })
            .collect();
        explained.sort_by(|a, b| b.share.partial_cmp(&a.share).unwrap_or(std::cmp::Ordering::Equal));
        let usable_ids: HashSet<&str> = usable.iter().map(|(it, _)| it.id.as_str()).collect();
        let mut others = self.state.servers();
        others.retain(|it| it.service == self.service && !usable_ids.contains(it.id.as_str()));
        others.sort_by(|a, b| a.id.cmp(&b.id));
        let own = self.state.running_by_server();
        let loads = self.state.loads.lock();
        let running = |id: &str| own.get(id).copied().unwrap_or(0).saturating_add(loads.others(id));
        explained.extend(others.iter().map(|it| ServerExplanation {
            server: it.id.clone(),
            zone: it.zone.clone(),
            share: None,
            running: running(&it.id),
            slots: it.slots,
            cold: self.state.is_cold(it, service, at),
            failing: rounded(health.failing(at, &it.id)),
            left_out: Some(self.why_left_out(it)),
        }));
        explained
    }

    /// Why a server is not among those that can take the request.
    fn why_left_out(&self, server: &BackendServer) -> String {
        let general = self.state.exclusion(server, self.wanted(), now());
        let exclusion = general.or_else(|| self.exclusion(server));
        match exclusion {
            Some(exclusion) => exclusion.to_string(),
            // It has become available since the candidates were listed.
            None if server.state == ServerState::Ready => "available again".to_owned(),
            None => "not ready".to_owned(),
        }
    }
}
