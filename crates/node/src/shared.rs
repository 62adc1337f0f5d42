//! State shared by the background tasks of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use guava_core::events::Event;
use guava_core::membership::{MemberEvent, MemberInfo, Output};
use guava_objects::{ObjectStore, VmList};
use tokio::sync::watch;

use crate::gossip::DatagramSender;
use crate::gossip_map::SharedGossipMap;
use crate::intake::ClientBudget;
use crate::members::MemberTable;
use crate::{Clock, Members, Peers, Timeline};

/// Parts of the runtime as its background tasks use them; programs get a [`Node`](crate::Node) instead.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) members: Arc<MemberTable>,
    pub(crate) gossip: Arc<SharedGossipMap>,
    pub(crate) peers: Arc<dyn Peers>,
    pub(crate) timeline: Arc<dyn Timeline>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) vms: Arc<dyn VmList>,
    pub(crate) sender: DatagramSender,
    pub(crate) budget: Arc<ClientBudget>,
    pub(crate) shutdown: watch::Sender<bool>,
    /// Set once the initial synchronisation has completed.
    pub(crate) configured: AtomicBool,
}

impl Shared {
    pub(crate) fn me(&self) -> &MemberInfo {
        self.members.me()
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        *self.shutdown.borrow()
    }

    pub(crate) fn is_configured(&self) -> bool {
        self.configured.load(Ordering::Acquire)
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.is_configured() && !self.is_shutting_down() && !self.members.isolated()
    }

    /// Starts a graceful shutdown, unless one has been started before.
    pub(crate) fn begin_shutdown(&self, reason: &str) {
        let started = self.shutdown.send_if_modified(|it| !std::mem::replace(it, true));
        if started {
            self.timeline.record(Event::ShutdownStarted, None, None, reason);
        }
    }

    /// Records the events of a step of the membership protocol and sends its messages.
    pub(crate) async fn dispatch(&self, out: Output) {
        for event in &out.events {
            self.record_event(event);
        }
        let digest = self.gossip.digest();
        let members_digest = self.members.digest();
        let age_ms = self.members.confirmation_age();
        for (addr, message) in out.send {
            self.sender
                .heartbeat(addr, message, digest, members_digest, age_ms)
                .await;
        }
    }

    fn record_event(&self, event: &MemberEvent) {
        let (event, detail) = match event {
            MemberEvent::Up(member) => (Event::MemberUp, describe_member(member)),
            MemberEvent::Suspected(member) => (Event::MemberSuspected, describe_member(member)),
            MemberEvent::Down(member) => (Event::MemberDown, describe_member(member)),
            MemberEvent::PingEnded { .. } | MemberEvent::Superseded(_) => return,
        };
        self.timeline.record(event, None, None, &detail);
    }
}

fn describe_member(member: &MemberInfo) -> String {
    format!("{} incarnation {}", member.id, member.incarnation.0)
}
