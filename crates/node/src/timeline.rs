//! Log and in-memory ring of the events of this process.

use std::collections::VecDeque;
use std::sync::Arc;

use guava_core::events::{Event, EventRecord};
use guava_core::ids::MemberId;
use parking_lot::Mutex;

use crate::{Clock, Timeline};

/// Events kept in memory.
pub(crate) const RING_CAPACITY: usize = 16_384;

/// Characters of an event's detail that are kept; bounds the memory of the ring. The log has the whole detail.
const MAX_DETAIL_CHARS: usize = 512;

#[derive(Debug, Default)]
struct Ring {
    records: VecDeque<EventRecord>,
    sequence: u64,
}

/// [`Timeline`] that logs events and keeps the latest [`RING_CAPACITY`] in memory.
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
            detail: detail.chars().take(MAX_DETAIL_CHARS).collect(),
        };
        if ring.records.len() == RING_CAPACITY {
            ring.records.pop_front();
        }
        ring.records.push_back(record);
    }

    fn events(&self, request: Option<&str>, model: Option<&str>) -> Vec<EventRecord> {
        let ring = self.ring.lock();
        let matches = |wanted: Option<&str>, actual: &Option<String>| wanted.is_none() || wanted == actual.as_deref();
        ring.records
            .iter()
            .filter(|it| matches(request, &it.request) && matches(model, &it.model))
            .cloned()
            .collect()
    }
}
