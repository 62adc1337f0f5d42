//! Values that are held for a request from its start to its end, by request id.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use crate::ids::RequestId;

/// Values that are held for requests, by request id, at most one per request. Unlike a plain counter it ignores a
/// repeated or unmatched release.
#[derive(Debug, Clone)]
pub struct RequestRegistry<T> {
    values: HashMap<RequestId, T>,
}

impl<T> Default for RequestRegistry<T> {
    fn default() -> Self {
        Self { values: HashMap::new() }
    }
}

impl<T> RequestRegistry<T> {
    /// Holds a value for a request; returns false and keeps the old value when the request has one already.
    pub fn acquire(&mut self, request: &RequestId, value: T) -> bool {
        match self.values.entry(request.clone()) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(value);
                true
            }
        }
    }

    /// Removes the value of a request and returns it; `None` when the request has none.
    pub fn release(&mut self, request: &RequestId) -> Option<T> {
        self.values.remove(request)
    }

    /// Whether a value is held for a request.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.values.contains_key(request)
    }

    /// Number of requests with a value.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether no value is held.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}
