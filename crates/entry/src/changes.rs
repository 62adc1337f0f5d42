//! Maps with numbered changes, so that a follower receives only what it lacks.

use std::collections::{BTreeMap, HashMap};

use guava_core::derive_value;

/// Number of removals kept for followers. A follower that lacks older ones receives everything.
const MAX_KEPT_REMOVALS: usize = 256;

derive_value! {
    /// Changes since an earlier state of a [`VersionedMap`].
    pub struct Changes<T> {
        /// Number of the last change.
        pub change: u64,
        /// Whether `present` holds all entries.
        pub is_whole: bool,
        /// New or changed entries.
        pub present: Vec<T>,
        /// Ids of removed entries; empty if `is_whole`.
        pub gone: Vec<String>,
    }
}

/// Entries by id, each with the number of the change that set its current value.
#[derive(Debug)]
pub struct VersionedMap<T> {
    entries: HashMap<String, (u64, T)>,
    last_change: u64,
    removed: BTreeMap<u64, String>,
}

impl<T> Default for VersionedMap<T> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            last_change: 0,
            removed: BTreeMap::new(),
        }
    }
}

impl<T> VersionedMap<T> {
    /// Number of the last change; zero when there was none.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry with this id.
    pub fn get(&self, id: &str) -> Option<&T> {
        self.entries.get(id).map(|(_, it)| it)
    }

    /// Returns the entry with this id, for updates that followers do not need.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut T> {
        self.entries.get_mut(id).map(|(_, it)| it)
    }

    /// Iterates over all entries with their ids, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &T)> {
        self.entries.iter().map(|(id, (_, it))| (id, it))
    }

    /// Inserts or replaces an entry; `is_change` says whether followers need the change.
    pub fn put(&mut self, id: &str, entry: T, is_change: bool) {
        self.last_change += u64::from(is_change);
        let known = self.entries.get(id).filter(|_| !is_change);
        let change = known.map_or(self.last_change, |(change, _)| *change);
        self.entries.insert(id.to_owned(), (change, entry));
    }

    /// Removes an entry. Returns whether it existed.
    pub fn remove(&mut self, id: &str) -> bool {
        if self.entries.remove(id).is_none() {
            return false;
        }
        self.last_change += 1;
        self.removed.insert(self.last_change, id.to_owned());
        if self.removed.len() > MAX_KEPT_REMOVALS {
            self.removed.pop_first();
        }
        true
    }

    /// Returns the changes after change number `since`, or all entries when `since` is `None` or too old.
    pub fn changes_since<U>(&self, since: Option<u64>, convert: impl Fn(&T) -> U) -> Changes<U> {
        let oldest_kept = self.removed.first_key_value().map_or(0, |(change, _)| *change);
        let is_covered =
            |it: &u64| *it <= self.last_change && (self.removed.len() < MAX_KEPT_REMOVALS || *it + 1 >= oldest_kept);
        let since = since.filter(is_covered);
        let entries = self.entries.values();
        let present = entries.filter(|(change, _)| since.is_none_or(|since| *change > since));
        let gone = since.map(|since| self.removed.range(since + 1..).map(|(_, id)| id.clone()).collect());
        Changes {
            change: self.last_change,
            is_whole: since.is_none(),
            present: present.map(|(_, it)| convert(it)).collect(),
            gone: gone.unwrap_or_default(),
        }
    }
}
