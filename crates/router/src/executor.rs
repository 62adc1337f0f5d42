//! Jobs on the router's normal path.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

use async_trait::async_trait;
use bytes::Bytes;
use guava_core::codes::{Code, Run};
use guava_core::ids::{JobId, OrganisationName};
use http::{HeaderMap, HeaderValue, Method, Uri, header};

use crate::answer::Answer;
use crate::api::{Accepted, Endpoint, Head, Prepared, caller_of};
use crate::dispatch::Service;
use crate::input::PROFILE_HEADER;
use crate::path::{Router, Work};
use crate::refusal::Refusal;
use crate::{JobExecutor, JobRequest, Outcome, StoredAnswer};

/// Codes from here on depend on load or on a part that failed; a job refused with a smaller one is refused for good.
const FIRST_TEMPORARY_CODE: u16 = 1200;

/// Runs jobs while the router lives.
#[derive(Debug)]
pub(crate) struct Executor {
    pub router: Weak<Router>,
}

impl Executor {
    /// The router, unless it stops: then it starts no more jobs.
    fn running(&self) -> Option<Arc<Router>> {
        let router = self.router.upgrade()?;
        let stopping = router.stopping.load(Ordering::Relaxed);
        (!stopping).then_some(router)
    }
}

#[async_trait]
impl JobExecutor for Executor {
    async fn execute(&self, organisation: &OrganisationName, job: &JobId, request: &JobRequest) -> Outcome {
        let Some(router) = self.running() else {
            return Outcome::NotRun;
        };
        let work = match prepare(&router, organisation, request) {
            Ok(work) => work,
            Err(refusal) => return refused(&refusal),
        };
        log::debug!("job {job} runs as request {}", work.id);
        match router.run(work).await {
            Answer::Whole(answer) => Outcome::Answered(answer.to_stored()),
            Answer::Refused(refusal) => refused(&refusal),
            Answer::Stream(_) => Outcome::Unknown,
        }
    }

    fn has_idle_capacity(&self) -> bool {
        let Some(router) = self.running() else {
            return false;
        };
        let models = router.targets.all().into_iter();
        let models = models.filter(|it| it.key.service != Service::Plain);
        let loads: Vec<_> = models.map(|it| it.load()).collect();
        let nobody_waits = loads.iter().all(|it| it.waiting == 0);
        // Half of the slots stay free for callers, whose requests arrive in bursts.
        let running: u64 = loads.iter().map(|it| it.running).sum();
        let free: u64 = loads.iter().map(|it| it.free_slots).sum();
        nobody_waits && running <= free
    }
}

/// Checks the request of a job again, because the configuration may have changed since it was stored.
fn prepare(router: &Arc<Router>, organisation: &OrganisationName, request: &JobRequest) -> Result<Work, Refusal> {
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
    let accepted = Accepted {
        head: Head {
            id: router.ids.next(),
            method,
            path: uri.path().to_owned(),
            query: uri.query().map(str::to_owned),
            headers,
        },
        endpoint,
        caller: caller_of(organisation),
        snapshot: Arc::clone(&snapshot),
        is_job: true,
    };
    match router.prepare(accepted, Bytes::from(request.body.clone()))? {
        Prepared::Now(work) => Ok(*work),
        Prepared::Job(_) => Err(Code::Internal.into()),
    }
}

fn refused(refusal: &Refusal) -> Outcome {
    let is_final = refusal.code.number() < FIRST_TEMPORARY_CODE;
    match refusal.run {
        Run::OutcomeUnknown => Outcome::Unknown,
        Run::NotRun if is_final => {
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
