//! Identifiers shared by all processes.
//!
//! Names chosen by operators are string newtypes, so that a model name cannot be passed where an organisation is
//! expected. Numbers that order events (incarnation, term) are scalar newtypes.

use std::fmt;

derive_id! {
    /// Name of an organisation.
    OrganisationName;
    /// Name of a profile.
    ProfileName;
    /// Name of a model.
    ModelName;
    /// Name of an adapter.
    AdapterName;
    /// Name of a backend server.
    ServerName;
    /// Name of a pool of backend servers.
    PoolName;
    /// Name of a route to a plain service.
    RouteName;
    /// Public part of a caller's key.
    KeyId;
    /// Name of a VM of the system.
    VmName;
    /// Availability zone.
    Zone;
    /// Identifier of a replica, unique for ever.
    ReplicaId;
    /// Identifier of a request, unique for ever.
    RequestId;
    /// Name of a lease.
    LeaseName;
    /// Identifier of a job.
    JobId;
    /// Identifier of one write to the platform, used to recognise it after a lost answer.
    OperationId;
}

derive_scalar! {
    /// Start time of a process in milliseconds since the epoch; a restart has a larger one.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Incarnation(pub u64);

    /// Term of a lease; grows by one with each change of holder and serves as the fencing token.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Term(pub u64);

    /// Role of a process.
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// Serves callers.
        Router,
        /// Decides what is loaded where.
        Controller,
        /// Serves operators.
        Admin,
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Router => "router",
            Self::Controller => "controller",
            Self::Admin => "admin",
        })
    }
}

/// Identifier of a process: its VM and role. A restart keeps it and raises the incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct MemberId {
    /// VM the process runs on.
    pub vm: VmName,
    /// Role of the process.
    pub role: Role,
}

impl MemberId {
    /// Creates the identifier of the process with `role` on `vm`.
    pub fn new(vm: impl AsRef<str>, role: Role) -> Self {
        Self {
            vm: VmName::new(vm),
            role,
        }
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.vm, self.role)
    }
}
