//! Replacement of a backend server that has the request and is silent.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::model::{BackendServer, RouteKind};

use super::selection::SHORT_PACE_WAIT_MS;
use super::{Dispatch, NextServer, RETURN_MARGIN_MS};
use crate::log_event;
use crate::request::{Resolved, check_prompt, resolve};
use crate::state::{now, until};

impl Dispatch {
    /// Prepares a replacement for a server that has the request and is silent, up to an open connection. Returns `None`
    /// if there is none; the request must then stay where it is.
    pub async fn secure_replacement(
        &mut self,
        silent: &BackendServer,
        silent_ms: u64,
        has_begun: bool,
    ) -> Option<NextServer> {
        let is_new = self.silent_server.as_deref() != Some(silent.id.as_str());
        if is_new {
            self.silent_server = Some(silent.id.clone());
            self.record_failure(&silent.id, format_args!("silent for {silent_ms} ms"));
        }
        let left = until(self.deadline() - RETURN_MARGIN_MS);
        let connecting = tokio::time::timeout(left, self.connect_replacement(silent)).await;
        match connecting.unwrap_or(Err("no time left")) {
            Ok(next) => Some(next),
            Err(why) => {
                if is_new {
                    self.log_silence(&silent.id, silent_ms, has_begun, format_args!("kept why={why}"));
                }
                None
            }
        }
    }

    async fn connect_replacement(&mut self, silent: &BackendServer) -> Result<NextServer, &'static str> {
        self.check_replacement(silent)?;
        let selected = self.select_server(None).ok_or("no other server")?;
        if let Some((tokens, _)) = self.inbound.caller.tokens
            && self.resolved.route.kind == RouteKind::Streaming
        {
            let turn = self.request_pace(&selected, tokens, SHORT_PACE_WAIT_MS).await;
            let turn_ms = turn.or(Err("other servers are busy"))?;
            tokio::time::sleep(Duration::from_millis(turn_ms)).await;
        }
        let connection = match self.open_connection(&selected.server).await {
            Ok(connection) => connection,
            Err(e) => {
                self.record_failure(&selected.server.id, e);
                return Err("no connection to another server");
            }
        };
        if !self.take_place(&selected.server, 0).await {
            return Err("the other server has no place");
        }
        if !self.may_send_to(&selected.server) {
            return Err("the other server leaves or rests");
        }
        // Pacing and connecting take time, in which the route or the key may change.
        self.resolved = self.check_replacement(silent)?;
        Ok(NextServer {
            selected,
            connection,
            vm: None,
        })
    }

    /// Checks by what is in force now that the request may be sent to another server than the silent one. Changes
    /// nothing, because the request may stay where it is.
    fn check_replacement(&self, silent: &BackendServer) -> Result<Resolved, &'static str> {
        if self.is_trial {
            return Err("its prompt may crash servers");
        }
        let resolved = resolve(&self.state, &self.inbound).map_err(|e| e.code.text())?;
        if !matches!(check_prompt(&self.state, &self.inbound), Ok(false)) {
            return Err("its prompt may crash servers");
        }
        let route = &resolved.route;
        if route.kind != self.resolved.route.kind || !route.targets.iter().any(|(it, _)| *it == silent.service) {
            return Err("another service");
        }
        if !self.may_retry() || !route.may_retry() || !self.state.has_retry(&self.service, now()) {
            return Err("no retry left");
        }
        Ok(resolved)
    }

    /// Takes a retry to send the request to a replacement of a silent server. Returns false if none is left. `begun` is
    /// the time at which the head of the silent server's answer arrived.
    pub fn give_up_silent(&mut self, silent: &Arc<BackendServer>, begun: Option<Millis>, silent_ms: u64) -> bool {
        if !self.take_retry() {
            return false;
        }
        let why = format!("silent for {silent_ms} ms");
        self.log_silence(&silent.id, silent_ms, begun.is_some(), "replaced");
        log_event!(Event::RequestRetried, self.id(), "server={} why={why}", silent.id);
        self.examine_broken(silent, begun, &why);
        true
    }

    /// Logs that a server with the request has been silent; `next` states what is done about it.
    fn log_silence(&self, server: &str, silent_ms: u64, has_begun: bool, next: impl Display) {
        log_event!(
            Event::ServerSilent,
            self.id(),
            "server={server} silent_ms={silent_ms} begun={has_begun} attempts={} left_ms={} next={next}",
            self.may_have_run.len(),
            self.deadline().since(now())
        );
    }
}
