//! Handing of a request to another VM while this one reaches no backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use guava_core::codes::Code;
use guava_core::events::Event;
use guava_platform::headers;

use super::{Dispatch, NextServer, SelectedServer};
use crate::attempt::{IncomingAnswer, OpenConnection, OutgoingRequest};
use crate::handover::{self, HandedOver, MAX_HANDOVERS};
use crate::log_event;
use crate::reply::Failure;
use crate::request::DEFAULT_RETRY_AFTER;
use crate::state::{now, until};

impl Dispatch {
    /// Whether the request goes to another VM, because this one reaches no server.
    pub(super) fn is_to_hand_over(&self) -> bool {
        !self.is_handed_over && self.asked_vms.len() < MAX_HANDOVERS && self.state.is_cut_off(now())
    }

    /// Opens a connection to another VM if this one reaches no server.
    pub(super) async fn connect_vm(&mut self) -> Option<NextServer> {
        while self.is_to_hand_over() {
            let Some(vm) = self
                .state
                .random_vm(&self.asked_vms, |it| self.resolved.allows_region(it), now())
            else {
                self.asked_vms.resize(MAX_HANDOVERS, String::new());
                return None;
            };
            self.asked_vms.push(vm.vm.clone());
            let connection = match OpenConnection::open(vm.address).await {
                Ok(connection) => connection,
                Err(e) => {
                    log::debug!("request {} was not handed to {}: {e}", self.id(), vm.vm);
                    self.state.record_member_failure(vm.address, now());
                    continue;
                }
            };
            log_event!(
                Event::HandedOver,
                self.id(),
                "to={} asked={}",
                vm.vm,
                self.asked_vms.len()
            );
            let selected = SelectedServer {
                server: Arc::new(vm.as_server(&self.service, self.bound_version())),
                guard: None,
            };
            return Some(NextServer {
                selected,
                connection,
                vm: Some(vm),
            });
        }
        None
    }

    pub(super) fn outgoing_to_vm(&self, last_event_id: Option<&str>) -> OutgoingRequest {
        let mut headers = headers::for_vm(&self.inbound.headers, until(self.deadline()), last_event_id);
        let from = HandedOver {
            bound: self.bound.clone(),
            tried: self.may_have_run.clone(),
        };
        from.mark(&mut headers, &self.state.settings.vm);
        OutgoingRequest {
            method: self.inbound.method.clone(),
            uri: self.inbound.uri.clone(),
            headers,
            body: self.inbound.body.clone(),
        }
    }

    /// Takes the server that has answered at another VM, and what it states, for the server of the attempt.
    pub(super) fn take_server(&mut self, selected: &mut SelectedServer, incoming: &mut IncomingAnswer) {
        let server = handover::take_server(&mut incoming.headers);
        let Some(server) = server.and_then(|it| self.state.server(&it)) else {
            return;
        };
        headers::pass_statements(incoming.status, &incoming.headers, &|stated, unreadable| {
            self.state.record_statements(self.id(), &server, stated, unreadable);
        });
        if let Some(last) = self.may_have_run.last_mut() {
            last.clone_from(&server.id);
        }
        selected.server = server;
    }

    /// Handles a VM's refusal to serve the request, which has not run there. Another VM is asked if any is left.
    pub(super) fn handle_declined(&mut self, vm: &str) -> Result<(), Failure> {
        self.may_have_run.pop();
        let may_have_run = !self.may_have_run.is_empty();
        self.inbound.may_have_run.store(may_have_run, Ordering::Relaxed);
        log_event!(
            Event::RequestRetried,
            self.id(),
            "server={vm} why=the VM does not serve it"
        );
        if self.asked_vms.len() < MAX_HANDOVERS {
            return Ok(());
        }
        let wait = self.model_wait(now()).map(Duration::from_millis);
        let retry_after = wait.unwrap_or_default().max(DEFAULT_RETRY_AFTER);
        Err(Failure::not_run(Code::NoCapacity).retry_after(retry_after))
    }
}
