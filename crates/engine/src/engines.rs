//! In-process implementation of the [`Engine`] trait.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use parking_lot::RwLock;

use crate::standin::StandInEngine;
use crate::{Engine, EngineError, EngineReport, Order};

/// Stand-in engines in this process, by address. Orders and reports reach them without a network.
#[derive(Debug, Default)]
pub struct StandInEngines {
    engines: RwLock<HashMap<SocketAddr, Arc<StandInEngine>>>,
}

impl StandInEngines {
    /// Registers `engine` at `addr`, replacing any engine registered there before.
    pub fn set(&self, addr: SocketAddr, engine: Arc<StandInEngine>) {
        self.engines.write().insert(addr, engine);
    }

    /// Removes the engine at `addr`; calls to that address then fail as unreachable.
    pub fn remove(&self, addr: SocketAddr) {
        self.engines.write().remove(&addr);
    }

    fn find(&self, addr: SocketAddr) -> Result<Arc<StandInEngine>, EngineError> {
        let found = self.engines.read().get(&addr).cloned();
        found
            .filter(|it| !it.faults().down)
            .ok_or_else(|| EngineError::Unreachable(format!("no engine at {addr}")))
    }
}

#[async_trait]
impl Engine for StandInEngines {
    async fn order(&self, server: SocketAddr, order: &Order) -> Result<(), EngineError> {
        self.find(server)?.take_order(order)
    }

    async fn report(&self, server: SocketAddr) -> Result<EngineReport, EngineError> {
        Ok(self.find(server)?.current_report())
    }
}
