//! Values that are held for a request from its start to its end, by request id.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use crate::ids::RequestId;

/// Slots that requests occupy, by request id. Unlike a plain counter it ignores a repeated or unmatched release.
#[derive(Debug, Clone)]
pub struct SlotRegistry<T> {
    slots: HashMap<RequestId, T>,
}

impl<T> Default for SlotRegistry<T> {
    fn default() -> Self {
        Self { slots: HashMap::new() }
    }
}

impl<T> SlotRegistry<T> {
    /// Occupies a slot for a request; returns false and keeps the old value when the request has a slot already.
    pub fn acquire(&mut self, request: &RequestId, value: T) -> bool {
        match self.slots.entry(request.clone()) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(value);
                true
            }
        }
    }

    /// Frees the slot of a request and returns its value; `None` when the request has no slot.
    pub fn release(&mut self, request: &RequestId) -> Option<T> {
        self.slots.remove(request)
    }

    /// Whether a request occupies a slot.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.slots.contains_key(request)
    }

    /// Number of occupied slots.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no slot is occupied.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
