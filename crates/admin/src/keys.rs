//! Granting and withdrawing callers' keys, and draining backend servers.
//!
//! Operators withdraw keys and drain servers in a hurry, so these edits need no version: each reads the current object,
//! changes one field, and retries if another edit was made in between.

use guava_core::codes::Code;
use guava_core::config::{Kind, Object};
use guava_core::ids::OrganisationName;
use guava_core::keys;
use guava_objects::Expect;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::Admin;
use crate::reply::{ApiRequest, Failure, Reply};

/// Attempts of an edit that conflicts with concurrent edits.
const EDIT_ATTEMPTS: u32 = 8;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantRequest {
    organisation: OrganisationName,
}

impl Admin {
    /// Creates a key for an organisation. The answer is the only place where its secret appears; only the hash is
    /// stored.
    pub(crate) async fn grant_key(&self, req: &ApiRequest) -> Result<Reply, Failure> {
        let grant: GrantRequest =
            serde_json::from_value(req.json()?).map_err(|error| Failure::new(Code::InvalidField, error.to_string()))?;
        let id = self.random_id();
        let new_key = keys::new_key(&self.hasher, &id, &grant.organisation, &mut *self.rng.lock());
        let object = Object::Key(new_key.key);
        self.check_references(&object)?;
        let mut created = self.create_object(&object).await?;
        if let Value::Object(fields) = &mut created {
            fields.insert("key".to_owned(), json!(new_key.text));
        }
        Ok(Reply::created(created))
    }

    pub(crate) async fn withdraw_key(&self, id: &str) -> Result<Reply, Failure> {
        self.update(Kind::Key, id, |object| {
            if let Object::Key(key) = object {
                key.withdrawn = true;
            }
        })
        .await
    }

    /// Drains a backend server, or returns it to service if `draining` is false.
    pub(crate) async fn drain_server(&self, name: &str, draining: bool) -> Result<Reply, Failure> {
        self.update(Kind::Server, name, |object| {
            if let Object::Server(server) = object {
                server.draining = draining;
            }
        })
        .await
    }

    /// Applies `apply` to the current object and writes it; retries on version conflicts.
    async fn update(&self, kind: Kind, name: &str, apply: impl Fn(&mut Object)) -> Result<Reply, Failure> {
        for _ in 0..EDIT_ATTEMPTS {
            let stored = self.read(kind, name).await?;
            let mut object = Object::from_spec(kind, stored.spec)
                .map_err(|message| Failure::new(Code::Internal, format!("stored object: {message}")))?;
            apply(&mut object);
            match self.write(&object, Expect::Version(stored.version)).await {
                Err(failure) if failure.code == Code::VersionConflict => {}
                result => return result.map(Reply::ok),
            }
        }
        Err(Failure::new(
            Code::VersionConflict,
            "other edits came between; try again",
        ))
    }
}
