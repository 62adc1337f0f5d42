//! Runs the requests of jobs on the same path as those of callers.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

use async_trait::async_trait;
use bytes::Bytes;
use guava_core::codes::{Code, Run};
use guava_core::ids::{JobId, OrganisationName};
use http::{HeaderMap, HeaderValue, Method, Uri, header};

use crate::answer::Answer;
use crate::api::{AcceptedRequest, Endpoint, Prepared, RequestHead, caller_without_key};
use crate::dispatch::Service;
use crate::input::PROFILE_HEADER;
use crate::path::{CheckedRequest, Router};
use crate::refusal::Refusal;
use crate::{JobExecutor, JobRequest, Outcome, StoredAnswer};

/// Codes from this number on depend on load or on a failed component and may pass; a smaller code is a permanent
/// refusal.
const FIRST_TEMPORARY_CODE: u16 = 1200;

/// Runs jobs until the router shuts down.
#[derive(Debug)]
pub(crate) struct Executor {
    pub router: Weak<Router>,
}

impl Executor {
    /// Returns the router, or `None` once it shuts down; no job is started then.
    fn active_router(&self) -> Option<Arc<Router>> {
        let router = self.router.upgrade()?;
        let stopping = router.stopping.load(Ordering::Relaxed);
        (!stopping).then_some(router)
    }
}

#[async_trait]
impl JobExecutor for Executor {
    async fn execute(&self, organisation: &OrganisationName, job: &JobId, request: &JobRequest) -> Outcome {
        let Some(router) = self.active_router() else {
            return Outcome::NotRun;
        };
        let checked = match prepare(&router, organisation, request) {
            Ok(checked) => checked,
            Err(refusal) => return outcome_of(&refusal),
        };
        log::debug!("running job {job} as request {}", checked.id);
        match router.run(checked).await {
            Answer::Whole(answer) => Outcome::Answered(answer.to_stored()),
            Answer::Refused(refusal) => outcome_of(&refusal),
            Answer::Stream(_) => Outcome::Unknown,
        }
    }

    fn has_idle_capacity(&self) -> bool {
        let Some(router) = self.active_router() else {
            return false;
        };
        let models = router.targets.all().into_iter();
        let models = models.filter(|it| it.key.service != Service::Plain);
        let loads: Vec<_> = models.map(|it| it.load()).collect();
        let queues_are_empty = loads.iter().all(|it| it.waiting == 0);
        // Jobs use at most half of the slots, because callers' requests arrive in bursts.
        let running: u64 = loads.iter().map(|it| it.running).sum();
        let free: u64 = loads.iter().map(|it| it.free_slots).sum();
        queues_are_empty && running <= free
    }
}

/// Checks the request of a job again, because the configuration may have changed since the job was stored.
fn prepare(
    router: &Arc<Router>,
    organisation: &OrganisationName,
    request: &JobRequest,
) -> Result<CheckedRequest, Refusal> {
    let snapshot = router.config.current();
    let organisation = snapshot.organisations.get(organisation).ok_or(Code::UnknownKey)?;
    let uri: Uri = request
        .path
        .parse()
        .map_err(|_invalid| Refusal::not_run(Code::UnknownPath))?;
    let method =
        Method::from_bytes(request.method.as_bytes()).map_err(|_invalid| Refusal::not_run(Code::MethodNotAllowed))?;
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&request.content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    if let Some(Ok(value)) = request.profile.as_deref().map(HeaderValue::from_str) {
        headers.insert(PROFILE_HEADER, value);
    }
    let endpoint = Endpoint::find(&method, uri.path())?;
    let accepted = AcceptedRequest {
        head: RequestHead {
            id: router.ids.next(),
            method,
            path: uri.path().to_owned(),
            query: uri.query().map(str::to_owned),
            headers,
        },
        endpoint,
        caller: caller_without_key(organisation),
        snapshot: Arc::clone(&snapshot),
        holder: None,
        is_job: true,
    };
    match router.prepare(accepted, Bytes::from(request.body.clone()))? {
        Prepared::Run(checked) => Ok(*checked),
        Prepared::Job(_) => Err(Code::Internal.into()),
    }
}

fn outcome_of(refusal: &Refusal) -> Outcome {
    let is_permanent = refusal.code.number() < FIRST_TEMPORARY_CODE;
    match refusal.run {
        Run::OutcomeUnknown => Outcome::Unknown,
        Run::NotRun if is_permanent => {
            let answer = refusal.answer();
            Outcome::Answered(StoredAnswer {
                status: answer.status.as_u16(),
                content_type: "application/json".to_owned(),
                body: answer.body.to_vec(),
            })
        }
        Run::NotRun => Outcome::NotRun,
    }
}
