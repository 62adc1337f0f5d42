//! Entries whose changes are numbered, so that a follower gets only what it lacks.

use std::collections::{BTreeMap, HashMap};

use guava_core::derive_value;

/// Removed entries that are kept for followers; one that lacks more gets everything.
const KEPT_REMOVALS: usize = 256;

derive_value! {
    /// Changes since an earlier state.
    pub struct Changes<T> {
        /// Number of the last change.
        pub change: u64,
        /// Whether `present` holds everything.
        pub is_whole: bool,
        /// New or changed entries.
        pub present: Vec<T>,
        /// Identifiers of entries that are gone.
        pub gone: Vec<String>,
    }
}

/// Entries by identifier, with the number of the change that brought their present form.
#[derive(Debug)]
pub struct Numbered<T> {
    entries: HashMap<String, (u64, T)>,
    last: u64,
    removed: BTreeMap<u64, String>,
}

impl<T> Default for Numbered<T> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            last: 0,
            removed: BTreeMap::new(),
        }
    }
}

impl<T> Numbered<T> {
    /// Number of the last change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Entry of this identifier.
    pub fn get(&self, id: &str) -> Option<&T> {
        self.entries.get(id).map(|(_, it)| it)
    }

    /// Entry of this identifier, for what followers need not learn.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut T> {
        self.entries.get_mut(id).map(|(_, it)| it)
    }

    /// All entries with their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &T)> {
        self.entries.iter().map(|(id, (_, it))| (id, it))
    }

    /// Takes an entry; `is_change` tells whether followers should learn it.
    pub fn put(&mut self, id: &str, entry: T, is_change: bool) {
        self.last += u64::from(is_change);
        let known = self.entries.get(id).filter(|_| !is_change);
        let change = known.map_or(self.last, |(change, _)| *change);
        self.entries.insert(id.to_owned(), (change, entry));
    }

    /// Removes an entry; true when there was one.
    pub fn remove(&mut self, id: &str) -> bool {
        if self.entries.remove(id).is_none() {
            return false;
        }
        self.last += 1;
        self.removed.insert(self.last, id.to_owned());
        if self.removed.len() > KEPT_REMOVALS {
            self.removed.pop_first();
        }
        true
    }

    /// Changes since the numbered one, or everything when `since` is `None` or too long ago.
    pub fn since<U>(&self, since: Option<u64>, tell: impl Fn(&T) -> U) -> Changes<U> {
        let oldest_kept = self.removed.first_key_value().map_or(0, |(change, _)| *change);
        let is_known = |it: &u64| *it <= self.last && (self.removed.len() < KEPT_REMOVALS || *it + 1 >= oldest_kept);
        let since = since.filter(is_known);
        let entries = self.entries.values();
        let present = entries.filter(|(change, _)| since.is_none_or(|since| *change > since));
        let gone = since.map(|since| self.removed.range(since + 1..).map(|(_, id)| id.clone()).collect());
        Changes {
            change: self.last,
            is_whole: since.is_none(),
            present: present.map(|(_, it)| tell(it)).collect(),
            gone: gone.unwrap_or_default(),
        }
    }
}
