//! What routers and controllers tell each other about replicas.

use std::net::SocketAddr;

use crate::ids::{AdapterName, ModelName, OrganisationName, PoolName, ProfileName, ReplicaId, ServerName, Zone};

derive_scalar! {
    /// State of a replica in a pool's plan; transitions are in `charts/replica.toml`.
    #[serde(rename_all = "snake_case")]
    pub enum ReplicaState {
        /// Memory is reserved, the order may have been sent.
        Loading,
        /// Serves requests.
        Ready,
        /// Gets no new work, its unload order may have been sent.
        Unloading,
        /// Its engine or server can no longer hold it.
        Released,
    }
}

derive_value! {
    /// A replica as routers see it.
    pub struct ReplicaAddress {
        /// Identifier of the replica.
        pub replica: ReplicaId,
        /// Backend server that holds it.
        pub server: ServerName,
        /// Address of the backend server.
        pub addr: SocketAddr,
        /// Availability zone of the backend server.
        pub zone: Zone,
        /// Concurrent requests it serves without waiting.
        pub slots: u32,
        /// State in the plan.
        pub state: ReplicaState,
    }

    /// Replicas of a model or adapter: the value of `EntryKey::Placement`.
    pub struct Placement {
        /// Pool.
        pub pool: PoolName,
        /// Model.
        pub model: ModelName,
        /// Adapter, when the entry is for one.
        pub adapter: Option<AdapterName>,
        /// Its replicas.
        pub replicas: Vec<ReplicaAddress>,
    }

    /// One organisation's part of a demand report.
    pub struct OrganisationDemand {
        /// Organisation.
        pub organisation: OrganisationName,
        /// Requests waiting.
        pub waiting: u32,
        /// Tokens those requests reserve.
        pub tokens: u64,
    }

    /// A router's report that requests wait for, or run on, a model: the argument of `placement.demand`.
    pub struct Demand {
        /// Model.
        pub model: ModelName,
        /// Adapter, when requests name one.
        pub adapter: Option<AdapterName>,
        /// Profile with the shortest cold-start target among the waiting requests.
        pub profile: ProfileName,
        /// Requests waiting.
        pub waiting: u32,
        /// Requests running.
        pub running: u32,
        /// Age of the oldest waiting request, in milliseconds.
        pub oldest_wait_ms: u64,
        /// Waiting requests by organisation.
        pub organisations: Vec<OrganisationDemand>,
    }

    /// Answer to a demand report.
    pub struct DemandReply {
        /// Estimated time until a replica is ready, in milliseconds; `None` when none can be loaded now.
        pub ready_in_ms: Option<u64>,
        /// Current placement.
        pub placement: Option<Placement>,
    }
}
