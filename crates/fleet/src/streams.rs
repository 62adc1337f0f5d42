//! Where streams began: the software versions that may begin them, and records of those that did.
//!
//! A table in the store lists the versions in play for each service. A version begins streams at a VM only after this
//! VM has found it in the table, and leaves the table only when no stream that it began can be taken up any more. So a
//! table with one version for a service tells the origin of each stream there. With several versions only records of
//! single streams tell it. See `docs/design/stream-versions.md`.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use guava_core::derive_value;
use guava_core::rendezvous;
use guava_core::units::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// Time after its first event for which a stream may be taken up, in milliseconds.
pub const TAKE_UP_MS: u64 = 60_000;
/// Time without a server of a version after which the coordinator marks the version as leaving.
pub const UNSEEN_MS: u64 = 120_000;
/// Time for which the mark must stand before the version is removed.
pub const LEAVING_MS: u64 = 60_000;
/// Time without a server of a version after which a process finds it in the table again before it begins streams there.
const CONFIRMED_MS: u64 = 30_000;
/// Age of the view of the store above which a process begins no streams. A server in a view of this age was listed when
/// the coordinator could still see it, long enough before its version is removed.
const MAX_VIEW_AGE_MS: u64 = 110_000;
/// Age of the view of the store up to which it counts as fresh.
pub const FRESH_VIEW_MS: u64 = 2_600;
/// Longest pause between two observations after which a coordinator begins to watch anew.
const MAX_PAUSE_MS: u64 = 5_000;
/// Limit on versions of one service.
const MAX_VERSIONS: usize = 32;
/// Limit on versions of one service that a process remembers to have seen.
const MAX_SEEN: usize = 64;
/// Limit on all entries of the table.
const MAX_ENTRIES: usize = 512;
/// Longest name of a service or version, in bytes.
const MAX_NAME: usize = 256;
/// Limit on the records in one memory; the oldest are dropped.
const MAX_RECORDS: usize = 65_536;
/// Limit on the records in one message or copy.
pub const MAX_SENT: usize = 16_384;
/// Shards of the records in large fleets, each kept by [`KEEPERS`] processes.
const SHARDS: u64 = 64;
/// Processes that keep a shard.
const KEEPERS: usize = 2;

/// Service and software version; `None` for servers that state no version.
pub type VersionKey = (String, Option<String>);

derive_value! {
    /// Software versions in play.
    #[derive(Default)]
    pub struct VersionTable {
        /// Era of the store for which the table was written.
        pub era: u64,
        /// Whether it holds each version whose streams may be taken up.
        pub is_complete: bool,
        /// Versions by service.
        pub entries: Vec<TableEntry>,
    }

    /// Software version in play.
    pub struct TableEntry {
        /// Service of the servers.
        pub service: String,
        /// Their software version; `None` for servers that state none.
        pub version: Option<String>,
        /// Whether the version is about to be removed; a process that sees a server of it takes this mark away first.
        pub is_leaving: bool,
    }

    /// Streams that began at one version.
    pub struct RecordGroup {
        /// Service of the servers.
        pub service: String,
        /// Their software version; `None` if they state none.
        pub version: Option<String>,
        /// Keys of the attempts, and the milliseconds since their first events.
        pub records: Vec<(u64, u64)>,
    }
}

/// Software version of the servers in a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Serving<'a> {
    /// Service of the servers.
    pub service: &'a str,
    /// Their software version; `None` if they state none.
    pub version: Option<&'a str>,
}

/// Key under which the stream of an attempt is recorded.
pub fn stream_key(attempt: &str) -> u64 {
    xxh3_64(attempt.as_bytes())
}

/// Shard of the record of a stream.
pub fn shard(key: u64) -> u64 {
    key % SHARDS
}

/// VMs that keep the records of a shard in a large fleet.
pub fn keepers<'a>(shard: u64, vms: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let shard = format!("streams/{shard}");
    let mut ranked = rendezvous::rank(&shard, vms, |it| *it);
    ranked.truncate(KEEPERS);
    ranked
}

impl VersionTable {
    /// Returns the table if it keeps to the bounds.
    pub fn checked(self) -> Option<Self> {
        let is_name = |it: &str| (1..=MAX_NAME).contains(&it.len());
        let is_valid = |it: &TableEntry| is_name(&it.service) && it.version.as_deref().is_none_or(is_name);
        let keys: HashSet<_> = self.entries.iter().map(|it| (&it.service, &it.version)).collect();
        let is_bounded = self.entries.len() <= MAX_ENTRIES && keys.len() == self.entries.len();
        (is_bounded && self.entries.iter().all(is_valid)).then_some(self)
    }

    /// The version at which all streams of a service began that may be taken up, by a table read in `era`.
    ///
    /// # Errors
    ///
    /// Tells why it is unknown.
    pub fn only_version(&self, service: &str, era: u64) -> Result<&str, &'static str> {
        if self.era != era {
            return Err("the table of versions is from before the store was restored");
        }
        if !self.is_complete {
            return Err("the table of versions may lack some");
        }
        let mut versions = self.entries.iter().filter(|it| it.service == service);
        match (versions.next(), versions.next()) {
            (None, _) => Err("no version of the service is in the table"),
            (Some(_), Some(_)) => Err("several versions are in play"),
            (Some(it), None) => it.version.as_deref().ok_or("the servers state no version"),
        }
    }

    /// Number of versions of a service.
    pub fn version_count(&self, service: &str) -> usize {
        self.entries.iter().filter(|it| it.service == service).count()
    }
}

/// Version that a process sees or has found in the table.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    /// When a server of it was last in the view.
    at: Millis,
    /// Whether it was found in the table, without a mark, since it came into the view.
    is_confirmed: bool,
}

/// Change of the known table.
#[derive(Debug, Clone, PartialEq)]
pub enum TableChange {
    /// A version is in play.
    Joined(TableEntry),
    /// A version is no longer in play.
    Left(TableEntry),
    /// The table may lack versions.
    Incomplete,
    /// The table holds all versions again.
    Complete,
}

/// What one process knows of the versions in play.
#[derive(Debug, Default)]
pub struct Versions {
    /// Last table that was read.
    table: Option<VersionTable>,
    /// Era of the store, as it was last observed.
    era: u64,
    /// By service; few versions of each.
    seen: HashMap<String, Vec<(Option<String>, Seen)>>,
    /// When the view was last observed, and its age then.
    observed: Option<(Millis, u64)>,
    /// Since when a fresh view was observed without interruption in this era.
    watching_since: Option<Millis>,
    /// Marks in the table, by the time since which they are known to stand.
    marks: HashMap<VersionKey, Millis>,
}

impl Versions {
    /// Observes the versions of all servers in a view, ready or leaving.
    pub fn observe<'a>(
        &mut self,
        now: Millis,
        serving: impl IntoIterator<Item = Serving<'a>>,
        view_age_ms: u64,
        era: u64,
    ) {
        self.observe_era(era);
        let is_interrupted = self.observed.is_none_or(|(at, _)| now.since(at) > MAX_PAUSE_MS);
        if is_interrupted || view_age_ms > FRESH_VIEW_MS {
            self.watching_since = None;
        }
        if view_age_ms <= FRESH_VIEW_MS {
            self.watching_since.get_or_insert(now);
        }
        self.observed = Some((now, view_age_ms));
        let is_outdated = view_age_ms >= MAX_VIEW_AGE_MS;
        let is_recent = |it: &Seen| !is_outdated && now.since(it.at) < CONFIRMED_MS;
        for (_, it) in self.seen.values_mut().flatten() {
            it.is_confirmed &= is_recent(it);
        }
        for it in serving {
            if let Some(seen) = self.seen_mut(it.service, it.version) {
                seen.at = now;
                continue;
            }
            let seen = Seen {
                at: now,
                is_confirmed: false,
            };
            let versions = self.seen.entry(it.service.to_owned()).or_default();
            if versions.len() < MAX_SEEN {
                versions.push((it.version.map(str::to_owned), seen));
            }
        }
        self.seen.retain(|_, versions| {
            versions.retain(|(_, it)| now.since(it.at) < UNSEEN_MS + LEAVING_MS);
            !versions.is_empty()
        });
    }

    /// Observes the era of the store.
    pub fn observe_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.watching_since = None;
        }
    }

    /// Whether streams may begin at servers of a version.
    pub fn may_begin(&self, now: Millis, service: &str, version: Option<&str>) -> bool {
        let is_recent = self.view_age(now) < MAX_VIEW_AGE_MS;
        let seen = self.seen(service, version);
        is_recent && seen.is_some_and(|it| it.is_confirmed && now.since(it.at) < CONFIRMED_MS)
    }

    /// Whether the table shows the origin of each stream of a service, so that records need not be shared.
    pub fn is_settled(&self, now: Millis, service: &str) -> bool {
        let only = self.table.as_ref().map(|it| it.only_version(service, self.era));
        self.view_age(now) <= FRESH_VIEW_MS && only.is_some_and(|it| it.is_ok())
    }

    /// Whether records are copied to the store: the table does not show the origin of streams.
    pub fn needs_copies(&self, service: &str) -> bool {
        let only = self.table.as_ref().map(|it| it.only_version(service, self.era));
        only.is_none_or(|it| it.is_err())
    }

    /// Whether all services are settled.
    pub fn is_all_settled(&self, now: Millis) -> bool {
        let mut services = self.table.iter().flat_map(|it| &it.entries);
        self.table.is_some() && services.all(|it| self.is_settled(now, &it.service))
    }

    /// Whether the table must be read now: a version in the view may not begin streams yet, or the store was restored.
    pub fn needs_read(&self, now: Millis) -> bool {
        let is_outdated = self.table.as_ref().is_none_or(|it| it.era != self.era);
        let is_unconfirmed = |it: &Seen| it.at == self.observed_at() && !it.is_confirmed;
        let has_unconfirmed = self.seen.values().flatten().any(|(_, it)| is_unconfirmed(it));
        let has_view = self.observed.is_some_and(|(at, _)| now.since(at) < MAX_PAUSE_MS);
        has_view && (has_unconfirmed || is_outdated && !self.seen.is_empty())
    }

    /// Whether a coordinator has the table to change, as far as it knows the table.
    pub fn needs_upkeep(&self, now: Millis) -> bool {
        self.table
            .as_ref()
            .is_some_and(|it| self.next_table(now, Some(it), true, false).is_some())
    }

    /// Last table that was read.
    pub fn table(&self) -> Option<&VersionTable> {
        self.table.as_ref()
    }

    /// Records a table that the store holds; `began` is when the call began that found or wrote it.
    pub fn record_table(&mut self, now: Millis, began: Millis, table: &VersionTable) -> Vec<TableChange> {
        // After a suspension of the process the table may have changed since.
        if now.since(began) > MAX_PAUSE_MS {
            return Vec::new();
        }
        for entry in &table.entries {
            let key = (entry.service.clone(), entry.version.clone());
            if entry.is_leaving {
                self.marks.entry(key).or_insert(began);
                continue;
            }
            self.marks.remove(&key);
            let observed_at = self.observed_at();
            let seen = self.seen_mut(&entry.service, entry.version.as_deref());
            if let Some(it) = seen.filter(|it| it.at == observed_at) {
                it.is_confirmed = true;
            }
        }
        self.marks.retain(|(service, version), _| {
            let mut entries = table.entries.iter();
            entries.any(|it| it.service == *service && it.version == *version)
        });
        let before = self.table.replace(table.clone());
        table_changes(before.as_ref(), table)
    }

    /// Versions that may begin streams here, for a process that cannot read the table.
    pub fn confirmed(&self, now: Millis) -> Vec<VersionKey> {
        let seen = self.seen.iter();
        let seen = seen.flat_map(|(service, versions)| versions.iter().map(move |(it, _)| (service, it)));
        let confirmed = seen.filter(|(service, version)| self.may_begin(now, service, version.as_deref()));
        let confirmed = confirmed.map(|(service, version)| (service.clone(), version.clone()));
        confirmed.take(MAX_ENTRIES).collect()
    }

    /// Takes over what another process has confirmed; `began` is when it was asked. Only versions in this view count, so
    /// the coordinator has seen them as recently as if this process had read the table.
    pub fn confirm(&mut self, now: Millis, began: Millis, confirmed: &[VersionKey]) {
        if now.since(began) > MAX_PAUSE_MS {
            return;
        }
        let observed_at = self.observed_at();
        for (service, version) in confirmed {
            let seen = self.seen_mut(service, version.as_deref());
            if let Some(it) = seen.filter(|it| it.at == observed_at) {
                it.is_confirmed = true;
            }
        }
    }

    /// The table that is to replace the one that was found; `None` if that can stay. A coordinator also removes
    /// versions and completes the table.
    pub fn next_table(
        &self,
        now: Millis,
        found: Option<&VersionTable>,
        coordinates: bool,
        is_first_start: bool,
    ) -> Option<VersionTable> {
        let mut next = found.cloned().unwrap_or_else(|| VersionTable {
            era: self.era,
            is_complete: is_first_start,
            entries: Vec::new(),
        });
        if next.era != self.era {
            next.era = self.era;
            next.is_complete = false;
        }
        let seen = self.seen.iter();
        let seen = seen.flat_map(|(service, versions)| versions.iter().map(move |it| (service, it)));
        let wanted = seen.filter(|(_, (_, it))| self.is_wanted(it));
        let mut wanted: Vec<(&String, &Option<String>)> = wanted.map(|(service, it)| (service, &it.0)).collect();
        wanted.sort();
        for (service, version) in wanted {
            let known = next
                .entries
                .iter_mut()
                .find(|it| it.service == *service && it.version == *version);
            if let Some(entry) = known {
                entry.is_leaving = false;
            } else if next.version_count(service) < MAX_VERSIONS && next.entries.len() < MAX_ENTRIES {
                next.entries.push(TableEntry {
                    service: service.clone(),
                    version: version.clone(),
                    is_leaving: false,
                });
            }
        }
        if coordinates && found.is_some_and(|it| it.era == self.era) {
            self.apply_upkeep(now, &mut next);
        }
        (found != Some(&next) && !(found.is_none() && next.entries.is_empty())).then_some(next)
    }

    /// Marks versions without servers, removes those whose mark has stood long enough, and completes the table.
    fn apply_upkeep(&self, now: Millis, next: &mut VersionTable) {
        let Some(since) = self.watching_since else {
            return;
        };
        let watched_ms = now.since(since);
        next.is_complete |= watched_ms >= UNSEEN_MS + LEAVING_MS;
        next.entries.retain_mut(|it| {
            let key = (it.service.clone(), it.version.clone());
            let seen_at = self.seen(&it.service, it.version.as_deref()).map(|it| it.at);
            let unseen_ms = now.since(seen_at.map_or(since, |at| at.max(since)));
            if unseen_ms < UNSEEN_MS {
                return true;
            }
            let marked_ms = self.marks.get(&key).map(|at| now.since(*at));
            let is_gone =
                it.is_leaving && unseen_ms >= UNSEEN_MS + LEAVING_MS && marked_ms.is_some_and(|it| it >= LEAVING_MS);
            it.is_leaving = true;
            !is_gone
        });
    }

    /// Whether a version belongs into the table.
    fn is_wanted(&self, seen: &Seen) -> bool {
        let age_ms = self.observed_at().since(seen.at);
        age_ms == 0 || seen.is_confirmed && age_ms < CONFIRMED_MS
    }

    fn seen(&self, service: &str, version: Option<&str>) -> Option<&Seen> {
        let versions = self.seen.get(service)?;
        let found = versions.iter().find(|(it, _)| it.as_deref() == version);
        found.map(|(_, it)| it)
    }

    fn seen_mut(&mut self, service: &str, version: Option<&str>) -> Option<&mut Seen> {
        let versions = self.seen.get_mut(service)?;
        let found = versions.iter_mut().find(|(it, _)| it.as_deref() == version);
        found.map(|(_, it)| it)
    }

    fn observed_at(&self) -> Millis {
        self.observed.map_or(Millis::default(), |(at, _)| at)
    }

    fn view_age(&self, now: Millis) -> u64 {
        self.observed
            .map_or(u64::MAX, |(at, age_ms)| age_ms.saturating_add(now.since(at)))
    }
}

fn table_changes(before: Option<&VersionTable>, after: &VersionTable) -> Vec<TableChange> {
    let is_in = |table: &VersionTable, entry: &TableEntry| {
        let mut entries = table.entries.iter();
        entries.any(|it| it.service == entry.service && it.version == entry.version)
    };
    let known = before.map_or(&[][..], |it| &it.entries);
    let joined = after
        .entries
        .iter()
        .filter(|it| !before.is_some_and(|before| is_in(before, it)));
    let left = known.iter().filter(|it| !is_in(after, it));
    let mut changes: Vec<TableChange> = joined.cloned().map(TableChange::Joined).collect();
    changes.extend(left.cloned().map(TableChange::Left));
    match (before.is_none_or(|it| it.is_complete), after.is_complete) {
        (true, false) => changes.push(TableChange::Incomplete),
        (false, true) => changes.push(TableChange::Complete),
        _ => {}
    }
    changes
}

/// Origin of a stream by its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedOrigin {
    /// The stream began at a server of this service and version; `None` if it states no version.
    At(Arc<VersionKey>),
    /// Records of the attempt differ.
    Ambiguous,
}

#[derive(Debug)]
struct Recorded {
    origin: RecordedOrigin,
    at: Millis,
}

/// Records of streams, bounded and for as long as the streams may be taken up.
#[derive(Debug, Default)]
pub struct Records {
    by_key: HashMap<u64, Recorded>,
    /// Keys in the order in which they came.
    order: VecDeque<u64>,
    names: HashSet<Arc<VersionKey>>,
}

impl Records {
    /// Records where a stream began at the time `at`. Returns whether that is new.
    pub fn record(&mut self, now: Millis, key: u64, service: &str, version: Option<&str>, at: Millis) -> bool {
        if now.since(at) >= TAKE_UP_MS {
            return false;
        }
        let name = self.name(service, version);
        if let Some(known) = self.by_key.get_mut(&key) {
            known.at = known.at.max(at);
            let is_same = matches!(&known.origin, RecordedOrigin::At(it) if *it == name);
            let is_news = !is_same && known.origin != RecordedOrigin::Ambiguous;
            if !is_same {
                known.origin = RecordedOrigin::Ambiguous;
            }
            return is_news;
        }
        self.expire(now);
        let origin = RecordedOrigin::At(name);
        self.by_key.insert(key, Recorded { origin, at });
        self.order.push_back(key);
        true
    }

    /// Records that the origin of a stream is ambiguous.
    pub fn record_ambiguous(&mut self, now: Millis, key: u64) {
        self.record(now, key, "", None, now);
        if let Some(known) = self.by_key.get_mut(&key) {
            known.origin = RecordedOrigin::Ambiguous;
        }
    }

    /// Origin of a stream, and the milliseconds since it began.
    pub fn get(&self, now: Millis, key: u64) -> Option<(RecordedOrigin, u64)> {
        let known = self.by_key.get(&key).filter(|it| now.since(it.at) < TAKE_UP_MS)?;
        Some((known.origin.clone(), now.since(known.at)))
    }

    /// Records what another process or a copy tells, as far as it is valid. Returns the number that was new.
    pub fn merge(&mut self, now: Millis, groups: &[RecordGroup]) -> usize {
        let is_name = |it: &str| (1..=MAX_NAME).contains(&it.len());
        let is_valid = |it: &&RecordGroup| is_name(&it.service) && it.version.as_deref().is_none_or(is_name);
        let groups = groups.iter().filter(is_valid).take(MAX_ENTRIES);
        let reported = groups.flat_map(|group| group.records.iter().map(move |it| (group, it)));
        let mut updates = 0;
        for (group, (key, age_ms)) in reported.take(MAX_SENT).filter(|(_, it)| it.1 < TAKE_UP_MS) {
            let is_news = self.record(now, *key, &group.service, group.version.as_deref(), now - *age_ms);
            updates += usize::from(is_news);
        }
        updates
    }

    /// Records of the given streams, for another process; ambiguous ones are left out.
    pub fn groups(&self, now: Millis, keys: impl IntoIterator<Item = u64>) -> Vec<RecordGroup> {
        let mut groups: HashMap<&VersionKey, Vec<(u64, u64)>> = HashMap::new();
        for key in keys.into_iter().take(MAX_SENT) {
            let Some(known) = self.by_key.get(&key) else { continue };
            let RecordedOrigin::At(name) = &known.origin else {
                continue;
            };
            let age_ms = now.since(known.at);
            if age_ms < TAKE_UP_MS {
                groups.entry(name).or_default().push((key, age_ms));
            }
        }
        let groups = groups.into_iter().map(|(name, records)| RecordGroup {
            service: name.0.clone(),
            version: name.1.clone(),
            records,
        });
        groups.collect()
    }

    /// Keys of the latest streams, latest first.
    pub fn latest(&self) -> impl Iterator<Item = u64> {
        self.order.iter().rev().copied()
    }

    /// Service at which a stream began, if that is known.
    pub fn service(&self, key: u64) -> Option<&str> {
        match &self.by_key.get(&key)?.origin {
            RecordedOrigin::At(name) => Some(&name.0),
            RecordedOrigin::Ambiguous => None,
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Drops the records whose streams cannot be taken up any more.
    pub fn expire(&mut self, now: Millis) {
        while let Some(key) = self.order.front() {
            let is_expired = self.by_key.get(key).is_none_or(|it| now.since(it.at) >= TAKE_UP_MS);
            if !is_expired && self.order.len() < MAX_RECORDS {
                break;
            }
            self.by_key.remove(key);
            self.order.pop_front();
        }
        if self.names.len() > MAX_ENTRIES {
            self.names.retain(|it| Arc::strong_count(it) > 1);
        }
    }

    fn name(&mut self, service: &str, version: Option<&str>) -> Arc<VersionKey> {
        let key = (service.to_owned(), version.map(str::to_owned));
        if let Some(known) = self.names.get(&key) {
            return Arc::clone(known);
        }
        let name = Arc::new(key);
        self.names.insert(Arc::clone(&name));
        name
    }
}
