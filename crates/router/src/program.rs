//! The complete router program: the request path with its quota, idempotency and job services on the shared runtime.

use std::sync::{Arc, mpsc};
use std::time::Duration;

use guava_node::runtime::Runtime;

use crate::idempotency::RecordService;
use crate::jobs::JobService;
use crate::quota::QuotaService;
use crate::{RouterArgs, RouterError, RouterHandle, RouterParts, serve};

/// A running router together with its quota, idempotency and job services.
#[derive(Debug)]
pub struct RouterProgram {
    /// Handle of the request path and its HTTP server.
    pub handle: RouterHandle,
    quota: Arc<QuotaService>,
    records: RecordService,
    jobs: JobService,
}

impl RouterProgram {
    /// Starts the services, the HTTP server for callers and the JSON-RPC server.
    ///
    /// # Errors
    ///
    /// Fails if settings are out of range or a socket cannot be opened.
    pub async fn start(args: RouterArgs, runtime: &Runtime) -> Result<Self, RouterError> {
        let node = runtime.node.clone();
        let quota = QuotaService::start(node.clone());
        quota.observe(&runtime.meter());
        let records = RecordService::start(node.clone(), args.pepper.as_bytes());
        let jobs_node = node.clone();
        let (jobs_tx, jobs_rx) = mpsc::channel();
        let (metrics_health, ready_health) = (runtime.health(), runtime.health());
        let parts = RouterParts {
            quota: Arc::<QuotaService>::clone(&quota),
            records: Arc::new(records.clone()),
            jobs: Box::new(move |executor| {
                let jobs = JobService::start(jobs_node, executor);
                // Cannot fail: the receiver outlives the call of `serve`.
                let _ = jobs_tx.send(jobs.clone());
                Arc::new(jobs)
            }),
            meter: runtime.meter(),
            budget: runtime.budget(),
            metrics_text: Box::new(move || metrics_health.answer("/metrics").map(|it| it.body).unwrap_or_default()),
            ready: Box::new(move || ready_health.ready()),
        };
        let handle = serve(args, node, parts).await?;
        let mut rpc = handle.rpc_module()?;
        rpc.merge(quota.rpc()?)?;
        runtime.serve_rpc(rpc).await?;
        let jobs = jobs_rx.recv().map_err(|_closed| RouterError::Jobs)?;
        Ok(Self {
            handle,
            quota,
            records,
            jobs,
        })
    }

    /// Shuts the program down: keeps serving for `notice`, waits for running requests and jobs, writes pending outcomes
    /// and hands the quota shares over to other routers.
    ///
    /// # Errors
    ///
    /// Fails if requests are still in flight when the drain timeout expires.
    pub async fn shutdown(self, notice: Duration) -> Result<(), RouterError> {
        let drained = self.handle.shutdown(notice).await;
        self.jobs.shutdown().await;
        self.records.shutdown().await;
        // The quota shares are kept until now, so that requests still waiting for admission can reserve tokens.
        self.quota.shutdown().await;
        drained
    }
}
