//! Messages between routers and controllers about replicas: placements and demand reports.

use std::net::SocketAddr;

use crate::ids::{AdapterName, ModelName, OrganisationName, PoolName, ProfileName, ReplicaId, ServerName, Zone};

derive_scalar! {
    /// State of a replica in a pool's plan; transitions are in `charts/replica.toml`.
    #[serde(rename_all = "snake_case")]
    pub enum ReplicaState {
        /// Memory is reserved; the load order may have been sent.
        Loading,
        /// Serves requests.
        Ready,
        /// Receives no new requests; the unload order may have been sent.
        Unloading,
        /// Its memory reservation is released, because no copy of it can occupy memory any more.
        Released,
    }
}

derive_value! {
    /// Address and state of a replica, as published to routers.
    pub struct ReplicaAddress {
        /// Replica id.
        pub replica: ReplicaId,
        /// Backend server that holds it.
        pub server: ServerName,
        /// Address of the backend server.
        pub addr: SocketAddr,
        /// Availability zone of the backend server.
        pub zone: Zone,
        /// Number of requests that it serves concurrently; further ones wait in the engine.
        pub slots: u32,
        /// State in the pool's plan.
        pub state: ReplicaState,
    }

    /// Replicas of a model or adapter: the value of `EntryKey::Placement`.
    pub struct Placement {
        /// Pool whose controller publishes the entry.
        pub pool: PoolName,
        /// Model, or base model of the adapter.
        pub model: ModelName,
        /// Adapter that the entry is for; `None` when it is for the model itself.
        pub adapter: Option<AdapterName>,
        /// Replicas of the model or adapter.
        pub replicas: Vec<ReplicaAddress>,
    }

    /// Waiting requests of one organisation in a demand report.
    pub struct OrganisationDemand {
        /// Organisation.
        pub organisation: OrganisationName,
        /// Number of its waiting requests.
        pub waiting: u32,
        /// Sum of the tokens that those requests reserve.
        pub tokens: u64,
    }

    /// A router's report of the requests for a model or adapter: the argument of `placement.demand`.
    pub struct Demand {
        /// Model, or base model of the adapter.
        pub model: ModelName,
        /// Adapter that the requests name; `None` for requests to the model itself.
        pub adapter: Option<AdapterName>,
        /// Profile with the shortest cold-start target among the waiting requests.
        pub profile: ProfileName,
        /// Number of requests waiting at the router.
        pub waiting: u32,
        /// Number of requests running on replicas.
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
