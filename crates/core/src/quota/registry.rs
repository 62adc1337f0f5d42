//! Registry of slots by request id.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use crate::ids::RequestId;

/// What each request occupies. Unlike a counter it can neither be released twice nor below zero.
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
    /// Enters a request; false when it is entered already.
    pub fn acquire(&mut self, request: &RequestId, value: T) -> bool {
        match self.slots.entry(request.clone()) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(value);
                true
            }
        }
    }

    /// Removes a request; `None` when it is not entered.
    pub fn release(&mut self, request: &RequestId) -> Option<T> {
        self.slots.remove(request)
    }

    /// Whether a request is entered.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.slots.contains_key(request)
    }

    /// Number of requests entered.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no request is entered.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
