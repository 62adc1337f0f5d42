//! Identifiers shared by all processes.
//!
//! Names chosen by operators are string newtypes, so that a model name cannot be passed where an organisation is
//! expected. Numbers that order events (incarnation, term) are scalar newtypes.

use std::fmt;

derive_id! {
    /// Name of an organisation, chosen by the operator.
    OrganisationName;
    /// Name of a profile, chosen by the operator.
    ProfileName;
    /// Name of a model as callers use it.
    ModelName;
    /// Name of an adapter, which callers use like a model name.
    AdapterName;
    /// Name of a backend server, chosen by the operator.
    ServerName;
    /// Name of a pool of backend servers, chosen by the operator.
    PoolName;
    /// Name of a route to plain services, as in the path `/svc/<name>/...`.
    RouteName;
    /// Public part of a caller's key `gv_<id>_<secret>`.
    KeyId;
    /// Name of a VM that runs processes of the system.
    VmName;
    /// Name of an availability zone.
    Zone;
    /// Identifier of a replica, never reused.
    ReplicaId;
    /// Identifier of a request, never reused.
    RequestId;
    /// Name of a lease, such as `jobs/7` for a shard of jobs.
    LeaseName;
    /// Identifier of a deferred request.
    JobId;
    /// Identifier of one write to the platform, by which the writer recognises it after a lost answer.
    OperationId;
}

derive_scalar! {
    /// Start time of a process in milliseconds since the epoch. A restarted process has a larger one.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Incarnation(pub u64);

    /// Term of a lease. Grows with each change of holder and serves as the fencing token.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Term(pub u64);

    /// Role of a process.
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// Serves callers' requests.
        Router,
        /// Decides which models are loaded on which backend servers.
        Controller,
        /// Serves the administration API.
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

/// Identifier of a process: its VM and role. A restarted process keeps it and has a larger incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct MemberId {
    /// VM the process runs on.
    pub vm: VmName,
    /// Role, which distinguishes the processes of one VM.
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
