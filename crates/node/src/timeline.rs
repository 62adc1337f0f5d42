//! Event ring of the process.

use std::collections::VecDeque;
use std::sync::Arc;

use guava_core::events::{Event, EventRecord};
use guava_core::ids::MemberId;
use parking_lot::Mutex;

use crate::{Clock, Timeline};

/// Events kept.
pub(crate) const RING_EVENTS: usize = 16_384;

/// Longest detail kept of an event, in characters; bounds the memory of the ring.
const MAX_DETAIL: usize = 512;

#[derive(Debug, Default)]
struct Ring {
    records: VecDeque<EventRecord>,
    sequence: u64,
}

/// Log and ring of numbered events.
#[derive(Debug)]
pub(crate) struct EventLog {
    member: String,
    clock: Arc<dyn Clock>,
    ring: Mutex<Ring>,
}

impl EventLog {
    pub(crate) fn new(member: &MemberId, clock: Arc<dyn Clock>) -> Self {
        Self {
            member: member.to_string(),
            clock,
            ring: Mutex::default(),
        }
    }
}

impl Timeline for EventLog {
    fn record(&self, event: Event, request: Option<&str>, model: Option<&str>, detail: &str) {
        log::log!(
            target: "guava",
            event.level(),
            event:% = event,
            member = self.member.as_str(),
            request = request.unwrap_or("-"),
            model = model.unwrap_or("-");
            "{}{}{detail}",
            event.text(),
            if detail.is_empty() { "" } else { " " }
        );
        let mut ring = self.ring.lock();
        ring.sequence += 1;
        let record = EventRecord {
            wall_ms: self.clock.wall_ms(),
            member: self.member.clone(),
            sequence: ring.sequence,
            event: event.number(),
            request: request.map(str::to_owned),
            model: model.map(str::to_owned),
            detail: detail.chars().take(MAX_DETAIL).collect(),
        };
        if ring.records.len() == RING_EVENTS {
            ring.records.pop_front();
        }
        ring.records.push_back(record);
    }

    fn events(&self, request: Option<&str>, model: Option<&str>) -> Vec<EventRecord> {
        let ring = self.ring.lock();
        let matches = |wanted: Option<&str>, has: &Option<String>| wanted.is_none() || wanted == has.as_deref();
        ring.records
            .iter()
            .filter(|it| matches(request, &it.request) && matches(model, &it.model))
            .cloned()
            .collect()
    }
}
