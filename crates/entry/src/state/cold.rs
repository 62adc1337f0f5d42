//! Backend servers that are cold after their start, and this VM's part in the few requests that they tolerate.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use guava_core::events::Event;
use guava_core::rendezvous;
use guava_core::units::Millis;
use guava_fleet::cold::{ColdServer, ColdShare};
use guava_fleet::model::{BackendServer, Service};
use guava_fleet::server_limits::{Limits, NamedLimit};

use super::{EntryState, now, wall_ms};
use crate::log_event;
use crate::peers::{PaceAnswer, PlaceRequest};

/// Begins the key under which the places of a cold server are kept. No id of a server contains a space, so the key names
/// no server whose own limit it could replace.
const KEY_PREFIX: &str = "cold ";
/// Wait in the answer of a VM that is not the keeper of a cold server.
pub(crate) const NOT_THE_KEEPER_MS: u64 = u64::MAX;
/// Number of VMs that are assumed while the members are not known.
const UNKNOWN_VMS: usize = 300;
/// Time after its start, in milliseconds, after which a process relies on the members that it has received by gossip.
const MEMBERS_SETTLE_MS: u64 = 10_000;

/// Limit of a cold server.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdLimit {
    /// Key of its places.
    key: String,
    service: String,
    born_ms: u64,
    /// Requests a second from all VMs together.
    per_s: f64,
    /// Milliseconds until it is warm.
    pub left_ms: u64,
}

impl ColdLimit {
    /// The limit, as it is sent to the keeper.
    pub(crate) fn as_named(&self) -> NamedLimit {
        NamedLimit {
            server: self.key.clone(),
            service: self.service.clone(),
            born_ms: self.born_ms,
            limits: Limits {
                per_s: Some(self.per_s),
                refusals: None,
            },
            age_ms: 0,
        }
    }
}

/// VM that hands out the places of a cold server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ColdKeeper {
    /// This VM.
    Own,
    /// Another one, which is live.
    Other(SocketAddr),
    /// One that does not answer, or it is not known which.
    Lost,
}

/// Whether a limit is that of a cold server.
pub(super) fn is_cold_key(server: &str) -> bool {
    server.starts_with(KEY_PREFIX)
}

impl EntryState {
    /// Whether a server of `service` is cold.
    pub fn is_cold(&self, server: &BackendServer, service: &Service, now: Millis) -> bool {
        self.cold_left_ms(server, service, now) > 0
    }

    fn cold_left_ms(&self, server: &BackendServer, service: &Service, now: Millis) -> u64 {
        if service.cold_per_s <= 0.0 {
            return 0;
        }
        self.cold.lock().left_ms(server, service.cold_ms, wall_ms(), now)
    }

    /// Limit of a server that is cold; `None` for any other, and for one whose service names no limit.
    pub fn cold_limit(&self, server: &BackendServer, now: Millis) -> Option<ColdLimit> {
        let config = self.config()?;
        let service = config.config.services.get(&server.service)?;
        let left_ms = self.cold_left_ms(server, service, now);
        (left_ms > 0).then(|| ColdLimit {
            key: format!("{KEY_PREFIX}{}", server.id),
            service: server.service.clone(),
            born_ms: server.born_ms,
            per_s: service.cold_per_s,
            left_ms,
        })
    }

    /// Records entries of servers.
    pub(super) fn observe_cold(&self, servers: &[BackendServer], now: Millis) {
        let mut cold = self.cold.lock();
        for server in servers {
            cold.observe(server, now);
        }
    }

    /// Records that an answer of a server states the milliseconds until it is warm.
    pub(super) fn record_cold_stated(&self, call: &str, server: &BackendServer, left_ms: u64, now: Millis) {
        if self.cold.lock().record_stated(server, left_ms, now) {
            log_event!(Event::ServerCold, call, "server={} left_ms={left_ms}", server.id);
        }
    }

    /// Takes a server whose zone has returned for cold until it states otherwise.
    pub(super) fn presume_cold(&self, server: &BackendServer) {
        let Some(config) = self.config() else {
            return;
        };
        let service = config.config.services.get(&server.service);
        if let Some(service) = service.filter(|it| it.cold_per_s > 0.0) {
            self.cold.lock().presume(server, service.cold_ms, now());
            log_event!(
                Event::ServerCold,
                "-",
                "server={} left_ms={} why=its zone has returned",
                server.id,
                service.cold_ms
            );
        }
    }

    /// Records that a cold server has no place for this VM's requests for a time, in milliseconds.
    pub fn record_cold_wait(&self, call: &str, server: &BackendServer, wait_ms: u64) {
        if self.view.lock().record_cold_wait(server, wait_ms, now()) {
            log_event!(Event::NoPlace, call, "server={} wait_ms={wait_ms} cold=true", server.id);
        }
    }

    /// Servers that are known to be cold, for other processes; none in a deployment that does not limit their requests.
    pub fn cold_snapshot(&self, now: Millis) -> Vec<ColdServer> {
        if !self.config().is_some_and(|it| it.config.has_cold_limits()) {
            return Vec::new();
        }
        self.cold.lock().summary(now)
    }

    /// Number of servers that are known to be cold.
    pub fn cold_servers(&self) -> u64 {
        self.cold.lock().count(now())
    }

    /// Merges cold servers that another process reports.
    pub(super) fn merge_cold(&self, reported: Vec<ColdServer>, now: Millis) {
        if !reported.is_empty() {
            self.cold.lock().merge(reported, now);
        }
    }

    pub(super) fn remove_expired_cold(&self, now: Millis) {
        let view = self.view.lock();
        self.cold
            .lock()
            .remove_expired(|server| view.server(server).is_some(), now);
    }

    /// Records that the list of members has been read from the store.
    pub fn record_members_listed(&self) {
        self.knows_members.store(true, Ordering::Relaxed);
    }

    fn knows_members(&self, now: Millis) -> bool {
        self.knows_members.load(Ordering::Relaxed) || self.uptime_ms(now) >= MEMBERS_SETTLE_MS
    }

    /// VM that hands out the places of a cold server: one of all known VMs, live or not.
    pub(crate) fn cold_keeper(&self, limit: &ColdLimit) -> ColdKeeper {
        self.keeper_of(&limit.key, now())
    }

    fn keeper_of(&self, key: &str, at: Millis) -> ColdKeeper {
        let view = self.view.lock();
        let best = view
            .members
            .values()
            .max_by_key(|it| rendezvous::weight(key, &it.member.vm));
        let own = rendezvous::weight(key, &self.settings.vm);
        match best.filter(|it| rendezvous::weight(key, &it.member.vm) > own) {
            Some(best) if best.is_live(at) => ColdKeeper::Other(best.member.address),
            None if self.knows_members(at) => ColdKeeper::Own,
            _ => ColdKeeper::Lost,
        }
    }

    /// Takes a place at a cold server if this VM is its keeper.
    pub(super) fn reserve_cold_place(&self, request: &PlaceRequest, at: Millis) -> PaceAnswer {
        if self.keeper_of(&request.named.server, at) != ColdKeeper::Own {
            return PaceAnswer {
                granted: false,
                wait_ms: NOT_THE_KEEPER_MS,
            };
        }
        let taken = self.places.lock().take(&request.named, 1.0, request.max_wait_ms, at);
        PaceAnswer {
            granted: taken.is_ok(),
            wait_ms: taken.unwrap_or_else(|wait| wait),
        }
    }

    /// Takes this VM's turn at a cold server whose keeper does not answer.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until the turn if that is longer than `max_wait_ms`.
    pub(crate) fn reserve_cold_turn(&self, limit: &ColdLimit, max_wait_ms: u64) -> Result<u64, u64> {
        let share = {
            let view = self.view.lock();
            let own = &self.settings.vm;
            let before = view.members.keys().filter(|it| *it < own).count();
            let known = view.members.len() + 1;
            let vms = if self.knows_members(now()) {
                known
            } else {
                known.max(UNKNOWN_VMS)
            };
            let rank = if vms > known {
                rendezvous::weight("rank", own) as usize % vms
            } else {
                before
            };
            ColdShare {
                per_s: limit.per_s,
                rank,
                vms,
            }
        };
        let mut turns = self.cold_turns.lock();
        turns.take(&limit.key, &share, wall_ms(), max_wait_ms)
    }
}
