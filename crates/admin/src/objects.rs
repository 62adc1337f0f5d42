//! Creating, showing, listing, editing, deleting and watching configuration objects.
//!
//! If the answer to a write is lost, the object is read back and its operation id compared. `PlatformOutcomeUnknown` is
//! returned only if that fails as well.

use std::time::Duration;

use guava_core::codes::Code;
use guava_core::config::{Kind, Object};
use guava_core::events::Event;
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{OperationId, Term};
use guava_core::snapshot::Snapshot;

use guava_objects::{Change, Expect, PlatformError, StoredObject, put_with_readback};
use serde_json::{Value, json};

use crate::Admin;
use crate::reply::{ApiRequest, Failure, Reply};

/// Longest wait of one watch call; it then returns no changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Attempts to read an object back after the answer to its deletion was lost.
const READ_BACK_ATTEMPTS: u32 = 5;
/// Wait after the first failed read-back; doubles after each further one.
const READ_BACK_INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Returns the configuration kind with the given plural name.
///
/// # Errors
///
/// Returns `UnknownKind` for any other name, including the kinds that the system itself writes.
pub fn config_kind(plural: &str) -> Result<Kind, Failure> {
    Kind::from_plural(plural)
        .filter(|kind| Kind::CONFIG.contains(kind))
        .ok_or_else(|| {
            let known: Vec<_> = Kind::CONFIG.into_iter().map(Kind::plural).collect();
            Failure::new(Code::UnknownKind, format!("known kinds: {}", known.join(", ")))
        })
}

fn object_json(object: &StoredObject) -> Value {
    json!({ "kind": object.kind, "name": object.name, "version": object.version, "spec": object.spec })
}

impl Admin {
    /// Lists the objects of a kind, or waits for changes after a version if the query has `watch=<version>`.
    pub(crate) async fn list(&self, kind: Kind, req: &ApiRequest) -> Result<Reply, Failure> {
        if let Some(since) = req.param("watch") {
            let since = since
                .parse()
                .map_err(|_error| Failure::new(Code::InvalidField, "watch: a version"))?;
            return self.watch(kind, since).await;
        }
        let list = self.node.store.list(kind).await?;
        let items: Vec<_> = list.items.iter().map(object_json).collect();
        Ok(Reply::ok(json!({ "version": list.version, "items": items })))
    }

    async fn watch(&self, kind: Kind, since: u64) -> Result<Reply, Failure> {
        let changes = self.node.store.watch(kind, since, WATCH_TIMEOUT).await?;
        let items: Vec<_> = changes
            .iter()
            .map(|change| match change {
                Change::Put(object) => json!({ "change": "put", "object": object_json(object) }),
                Change::Deleted { name, version, .. } => {
                    json!({ "change": "deleted", "name": name, "version": version })
                }
            })
            .collect();
        Ok(Reply::ok(json!({ "changes": items })))
    }

    pub(crate) async fn show(&self, kind: Kind, name: &str) -> Result<Reply, Failure> {
        let object = self.read(kind, name).await?;
        Ok(Reply::ok(object_json(&object)))
    }

    pub(crate) async fn read(&self, kind: Kind, name: &str) -> Result<StoredObject, Failure> {
        let found = self.node.store.get(kind, name).await?;
        found.ok_or_else(|| Failure::new(Code::UnknownObject, format!("{} {name}", kind.plural())))
    }

    pub(crate) async fn create(&self, kind: Kind, req: &ApiRequest) -> Result<Reply, Failure> {
        let object = self.parse_object(kind, req.json()?)?;
        self.create_object(&object).await.map(Reply::created)
    }

    pub(crate) async fn create_object(&self, object: &Object) -> Result<Value, Failure> {
        self.write(object, Expect::Absent)
            .await
            .map_err(|failure| match failure.code {
                Code::VersionConflict => Failure {
                    code: Code::AlreadyExists,
                    ..failure
                },
                _ => failure,
            })
    }

    /// Replaces an object if it still has the version in `If-Match`.
    pub(crate) async fn edit(&self, kind: Kind, name: &str, req: &ApiRequest) -> Result<Reply, Failure> {
        let version = required_version(req)?;
        let object = self.parse_object(kind, req.json()?)?;
        if object.name() != name {
            return Err(Failure::new(
                Code::ConflictingFields,
                "the name in the path and in the body differ",
            ));
        }
        self.write(&object, Expect::Version(version)).await.map(Reply::ok)
    }

    /// Deletes an object if it still has the version in `If-Match` and no other object references it.
    pub(crate) async fn delete(&self, kind: Kind, name: &str, req: &ApiRequest) -> Result<Reply, Failure> {
        let version = required_version(req)?;
        if let Some(referrer) = self.find_referrer(kind, name) {
            return Err(Failure::new(Code::StillReferenced, referrer));
        }
        let deleted_version = match self.node.store.delete(kind, name, version).await {
            Ok(deleted_version) => deleted_version,
            Err(PlatformError::OutcomeUnknown(reason)) => self.read_back_deletion(kind, name, version, reason).await?,
            Err(PlatformError::Conflict(None)) => {
                return Err(Failure::new(Code::UnknownObject, format!("{} {name}", kind.plural())));
            }
            Err(error) => return Err(error.into()),
        };
        self.publish(kind, name, deleted_version, Vec::new());
        self.node.timeline.record(
            Event::ObjectWritten,
            None,
            None,
            &format!("deleted {} {name}", kind.plural()),
        );
        Ok(Reply::ok(json!({ "name": name, "version": deleted_version })))
    }

    /// Parses a spec and checks its values and references.
    fn parse_object(&self, kind: Kind, spec: Value) -> Result<Object, Failure> {
        let object = Object::from_spec(kind, spec).map_err(|message| Failure::new(Code::InvalidField, message))?;
        let faults = object.check();
        if !faults.is_empty() {
            return Err(Failure::new(Code::InvalidObject, "see faults").with_fields(json!({ "faults": faults })));
        }
        self.check_references(&object)?;
        Ok(object)
    }

    /// Writes an object to the platform and publishes it by gossip.
    pub(crate) async fn write(&self, object: &Object, expect: Expect) -> Result<Value, Failure> {
        let (kind, name, spec) = (object.kind(), object.name(), object.spec());
        let operation = OperationId::new(self.random_id());
        let version = match put_with_readback(&*self.node.store, kind, name, &spec, expect, &operation).await {
            Ok(version) => version,
            Err(PlatformError::Conflict(None)) if expect != Expect::Absent => {
                return Err(Failure::new(Code::UnknownObject, format!("{} {name}", kind.plural())));
            }
            Err(error) => return Err(error.into()),
        };
        self.publish(kind, name, version, spec.to_string().into_bytes());
        self.node.timeline.record(
            Event::ObjectWritten,
            None,
            None,
            &format!("{} {name} {version}", kind.plural()),
        );
        Ok(json!({ "kind": kind, "name": name, "version": version, "spec": spec }))
    }

    /// Returns the version of the tombstone after a deletion of version `deleted` whose answer was lost.
    ///
    /// Returns `PlatformOutcomeUnknown` if the object still exists or cannot be read.
    async fn read_back_deletion(&self, kind: Kind, name: &str, deleted: u64, reason: String) -> Result<u64, Failure> {
        match self.read_with_retries(kind, name).await {
            // The platform's watch reports the actual version of the deletion later. Until then, a tombstone with the
            // version after the deleted one hides the object.
            Some(None) => Ok(deleted + 1),
            _ => Err(Failure::new(Code::PlatformOutcomeUnknown, reason)),
        }
    }

    /// Returns `None` if no attempt got an answer, and `Some(None)` if the object does not exist.
    async fn read_with_retries(&self, kind: Kind, name: &str) -> Option<Option<StoredObject>> {
        let mut backoff = READ_BACK_INITIAL_BACKOFF;
        for _ in 0..READ_BACK_ATTEMPTS {
            if let Ok(found) = self.node.store.get(kind, name).await {
                return Some(found);
            }
            tokio::time::sleep(backoff).await;
            backoff *= 2;
        }
        None
    }

    /// Publishes a configuration entry by gossip; an empty value marks the object as deleted.
    fn publish(&self, kind: Kind, name: &str, version: u64, value: Vec<u8>) {
        let version = Version {
            term: Term(0),
            sequence: version,
        };
        let key = EntryKey::Config(kind, name.to_owned());
        self.node.gossip.put(Entry { key, version, value });
    }

    /// Configuration known to this process by gossip.
    fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        for entry in self.node.gossip.entries() {
            snapshot.apply(&entry);
        }
        snapshot
    }

    /// Returns `UnknownReference` if the object references one that is not known to this process.
    ///
    /// The check uses the entries received by gossip and can miss a concurrent edit; routers refuse requests for which
    /// a referenced object is missing.
    pub(crate) fn check_references(&self, object: &Object) -> Result<(), Failure> {
        let references = match object {
            Object::Model(it) => vec![(Kind::Pool, it.pool.as_str()), (Kind::Profile, it.profile.as_str())],
            Object::Adapter(it) => vec![(Kind::Model, it.model.as_str())],
            Object::Key(it) => vec![(Kind::Organisation, it.organisation.as_str())],
            Object::Server(it) => vec![(Kind::Pool, it.pool.as_str())],
            Object::Route(it) => vec![(Kind::Pool, it.pool.as_str())],
            Object::Profile(_) | Object::Organisation(_) | Object::Pool(_) => Vec::new(),
        };
        match references.into_iter().find(|(kind, name)| !self.is_known(*kind, name)) {
            Some((kind, name)) => Err(Failure::new(
                Code::UnknownReference,
                format!("{} {name}", kind.plural()),
            )),
            None => Ok(()),
        }
    }

    fn is_known(&self, kind: Kind, name: &str) -> bool {
        let entry = self.node.gossip.get(&EntryKey::Config(kind, name.to_owned()));
        entry.is_some_and(|it| !it.value.is_empty())
    }

    /// Returns the name of an object that references the object `name` of `kind`. Withdrawn keys do not count.
    fn find_referrer(&self, kind: Kind, name: &str) -> Option<String> {
        let config = self.snapshot();
        match kind {
            Kind::Pool => {
                let model = config
                    .models
                    .values()
                    .find(|it| it.pool.as_str() == name)
                    .map(|it| it.name.to_string());
                let server = || {
                    config
                        .servers
                        .values()
                        .find(|it| it.pool.as_str() == name)
                        .map(|it| it.name.to_string())
                };
                let route = || {
                    config
                        .routes
                        .values()
                        .find(|it| it.pool.as_str() == name)
                        .map(|it| it.name.to_string())
                };
                model.or_else(server).or_else(route)
            }
            Kind::Profile => config
                .models
                .values()
                .find(|it| it.profile.as_str() == name)
                .map(|it| it.name.to_string()),
            Kind::Model => config
                .adapters
                .values()
                .find(|it| it.model.as_str() == name)
                .map(|it| it.name.to_string()),
            Kind::Organisation => {
                let is_active_key = |it: &&guava_core::config::Key| it.organisation.as_str() == name && !it.withdrawn;
                config.keys.values().find(is_active_key).map(|it| it.id.to_string())
            }
            _ => None,
        }
    }
}

fn required_version(req: &ApiRequest) -> Result<u64, Failure> {
    req.version
        .ok_or_else(|| Failure::new(Code::MissingVersion, "send If-Match with the version that was shown"))
}
