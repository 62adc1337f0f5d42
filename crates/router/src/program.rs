//! The router with its real quota, idempotency records and jobs on a process runtime.

use std::sync::{Arc, mpsc};
use std::time::Duration;

use guava_node::runtime::Runtime;

use crate::idempotency::RecordService;
use crate::jobs::JobService;
use crate::quota::QuotaService;
use crate::{RouterArgs, RouterError, RouterHandle, RouterParts, serve};

/// A running router together with its quota service.
#[derive(Debug)]
pub struct RouterProgram {
    /// Request path.
    pub handle: RouterHandle,
    quota: Arc<QuotaService>,
    records: RecordService,
    jobs: JobService,
}

impl RouterProgram {
    /// Starts all parts and the process's JSON-RPC server.
    ///
    /// # Errors
    ///
    /// Fails when settings have faults or a socket cannot be opened.
    pub async fn start(args: RouterArgs, runtime: &Runtime) -> Result<Self, RouterError> {
        let node = runtime.node.clone();
        let quota = QuotaService::start(node.clone());
        quota.observe(&runtime.meter());
        let records = RecordService::start(node.clone(), args.pepper.as_bytes());
        let jobs_node = node.clone();
        let (started_jobs, jobs) = mpsc::channel();
        let (health, ready) = (runtime.health(), runtime.health());
        let parts = RouterParts {
            quota: Arc::<QuotaService>::clone(&quota),
            records: Arc::new(records.clone()),
            jobs: Box::new(move |executor| {
                let jobs = JobService::start(jobs_node, executor);
                // The receiver lives until `serve` has returned.
                let _ = started_jobs.send(jobs.clone());
                Arc::new(jobs)
            }),
            meter: runtime.meter(),
            metrics_text: Box::new(move || health.answer("/metrics").map(|it| it.body).unwrap_or_default()),
            ready: Box::new(move || ready.ready()),
        };
        let handle = serve(args, node, parts).await?;
        let mut rpc = handle.rpc_module()?;
        rpc.merge(quota.rpc()?)?;
        runtime.serve_rpc(rpc).await?;
        let jobs = jobs.recv().map_err(|_closed| RouterError::Jobs)?;
        Ok(Self {
            handle,
            quota,
            records,
            jobs,
        })
    }

    /// Serves on for `notice`, finishes requests and jobs at hand, writes outcomes and hands over the quota shares.
    ///
    /// # Errors
    ///
    /// Fails when requests are still running at the end of the drain time.
    pub async fn shutdown(self, notice: Duration) -> Result<(), RouterError> {
        let drained = self.handle.shutdown(notice).await;
        self.jobs.shutdown().await;
        self.records.shutdown().await;
        // Shares stay until the last request has been admitted, so that waiting requests can still reserve.
        self.quota.shutdown().await;
        drained
    }
}
