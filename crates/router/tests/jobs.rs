//! Tests of the job service with a fake object service.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use guava_core::codes::Code;
use guava_core::config::Kind;
use guava_core::ids::{JobId, OrganisationName};
use guava_core::jobs::{shard_lease, shard_of};
use guava_node::Node;
use guava_router::jobs::JobService;
use guava_router::{JobExecutor, JobRequest, JobState, Jobs, Outcome, StoredAnswer};
use parking_lot::Mutex;

use fakes::FakeFleet;

mod fakes;

/// Executor that records the jobs it runs, each of which takes the given time.
#[derive(Debug)]
struct RecordingExecutor {
    runs: Arc<Mutex<Vec<JobId>>>,
    duration: Duration,
    /// Outcomes of the next runs, the last one first; later runs are answered with the request body.
    outcomes: Mutex<Vec<Outcome>>,
    has_idle_capacity: Mutex<bool>,
}

#[async_trait]
impl JobExecutor for RecordingExecutor {
    async fn execute(&self, _organisation: &OrganisationName, job: &JobId, request: &JobRequest) -> Outcome {
        self.runs.lock().push(job.clone());
        tokio::time::sleep(self.duration).await;
        let outcome = self.outcomes.lock().pop();
        outcome.unwrap_or_else(|| Outcome::Answered(answer(&request.body)))
    }

    fn has_idle_capacity(&self) -> bool {
        *self.has_idle_capacity.lock()
    }
}

fn answer(body: &[u8]) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: body.to_vec(),
    }
}

fn organisation() -> OrganisationName {
    OrganisationName::new("desk")
}

fn request(idempotent: bool) -> JobRequest {
    JobRequest {
        path: "/svc/filing".to_owned(),
        method: "POST".to_owned(),
        profile: None,
        idempotent,
        content_type: "text/plain".to_owned(),
        body: b"write-up".to_vec(),
    }
}

struct Router {
    node: Node,
    service: JobService,
    executor: Arc<RecordingExecutor>,
}

type Runs = Arc<Mutex<Vec<JobId>>>;

fn start_router(fleet: &Arc<FakeFleet>, vm: &str, runs: &Runs, duration: Duration) -> Router {
    let node = fleet.add_router(vm, 1);
    let executor = Arc::new(RecordingExecutor {
        runs: Arc::clone(runs),
        duration,
        outcomes: Mutex::default(),
        has_idle_capacity: Mutex::new(true),
    });
    let service = JobService::start(node.clone(), Arc::clone(&executor) as Arc<dyn JobExecutor>);
    Router {
        node,
        service,
        executor,
    }
}

/// Ends a router, so that the others know it has ended, and makes another one hold the lease of the job's shard.
fn fail_over(fleet: &FakeFleet, job: &JobId, from: &Router, to: &Router) {
    from.service.abort();
    fleet.end_with_proof(&from.node);
    fleet.set_lease_holder(&shard_lease(shard_of(job)), &to.node);
}

/// Guards against a job that is lost when the router that runs it ends, and against a non-idempotent job that runs twice.
#[tokio::test(start_paused = true)]
async fn job_survives_the_end_of_the_router_that_runs_it() {
    for idempotent in [true, false] {
        let fleet = FakeFleet::new(u64::from(idempotent));
        let runs = Runs::default();
        let a = start_router(&fleet, "a", &runs, Duration::from_mins(10));
        let b = start_router(&fleet, "b", &runs, Duration::from_secs(1));
        let job = a.service.accept(&organisation(), request(idempotent)).await.unwrap();
        tokio::time::sleep(Duration::from_secs(20)).await;
        let before = b.service.state(&organisation(), &job).await;

        fail_over(&fleet, &job, &a, &b);
        tokio::time::sleep(Duration::from_secs(40)).await;

        let after = b.service.state(&organisation(), &job).await;
        assert_eq!(before, Ok(JobState::Running));
        let (state, run_count) = if idempotent {
            (JobState::Done(answer(b"write-up")), 2)
        } else {
            (JobState::OutcomeUnknown, 1)
        };
        assert_eq!(after, Ok(state));
        assert_eq!(runs.lock().len(), run_count);
    }
}

/// Guards against a job that runs twice because the lease of its shard moves while the router that runs it is alive.
#[tokio::test(start_paused = true)]
async fn running_job_is_not_started_again_by_a_new_lease_holder() {
    let fleet = FakeFleet::new(3);
    let runs = Runs::default();
    let a = start_router(&fleet, "a", &runs, Duration::from_mins(2));
    let b = start_router(&fleet, "b", &runs, Duration::from_secs(1));
    let job = a.service.accept(&organisation(), request(true)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(10)).await;

    fleet.set_lease_holder(&shard_lease(shard_of(&job)), &b.node);
    tokio::time::sleep(Duration::from_mins(3)).await;

    assert_eq!(
        b.service.state(&organisation(), &job).await,
        Ok(JobState::Done(answer(b"write-up")))
    );
    assert_eq!(runs.lock().len(), 1);
}

/// Guards against a job that is lost or runs twice because the object service's answer to its acceptance, its claim or
/// its outcome is lost.
#[tokio::test(start_paused = true)]
async fn lost_answers_neither_lose_nor_repeat_a_job() {
    for lost_answers in 1..=3 {
        let fleet = FakeFleet::new(10 + lost_answers as u64);
        let runs = Runs::default();
        let a = start_router(&fleet, "a", &runs, Duration::from_secs(1));
        fleet.store.lose_answers(lost_answers);

        let job = a.service.accept(&organisation(), request(false)).await.unwrap();
        tokio::time::sleep(Duration::from_secs(30)).await;

        assert_eq!(
            a.service.state(&organisation(), &job).await,
            Ok(JobState::Done(answer(b"write-up")))
        );
        assert_eq!(runs.lock().len(), 1, "{lost_answers} answers lost");
    }
}

/// Guards against a job that is accepted without being stored, a result that is lost in an outage of the object service,
/// and a job that another organisation can read.
#[tokio::test(start_paused = true)]
async fn outage_and_other_organisations() {
    let fleet = FakeFleet::new(20);
    let runs = Runs::default();
    let a = start_router(&fleet, "a", &runs, Duration::from_secs(5));
    fleet.store.set_down(true);
    let refused = a.service.accept(&organisation(), request(false)).await;
    fleet.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let job = a.service.accept(&organisation(), request(false)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;

    fleet.store.set_down(true);
    tokio::time::sleep(Duration::from_mins(1)).await;
    let during_outage = a.service.state(&organisation(), &job).await;
    fleet.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(30)).await;

    assert_eq!(refused, Err(Code::JobNotAccepted));
    assert_eq!(during_outage, Err(Code::PlatformUnavailable));
    assert_eq!(
        a.service.state(&organisation(), &job).await,
        Ok(JobState::Done(answer(b"write-up")))
    );
    assert_eq!(
        a.service.state(&OrganisationName::new("mill"), &job).await,
        Err(Code::UnknownJob)
    );
    assert_eq!(runs.lock().len(), 1);
}

/// Guards against a job that is dropped because an attempt did not run it, and against jobs that run without idle
/// capacity.
#[tokio::test(start_paused = true)]
async fn job_waits_for_capacity_and_is_retried() {
    let fleet = FakeFleet::new(21);
    let runs = Runs::default();
    let a = start_router(&fleet, "a", &runs, Duration::from_secs(1));
    *a.executor.has_idle_capacity.lock() = false;
    a.executor.outcomes.lock().push(Outcome::NotRun);
    let job = a.service.accept(&organisation(), request(false)).await.unwrap();
    tokio::time::sleep(Duration::from_mins(5)).await;
    let runs_without_capacity = runs.lock().len();

    *a.executor.has_idle_capacity.lock() = true;
    tokio::time::sleep(Duration::from_mins(1)).await;

    assert_eq!(runs_without_capacity, 0);
    assert_eq!(
        a.service.state(&organisation(), &job).await,
        Ok(JobState::Done(answer(b"write-up")))
    );
    assert_eq!(runs.lock().len(), 2, "the first attempt did not run the job");
}

/// Guards against fetched results that are never deleted, and against results that are deleted before they are fetched.
#[tokio::test(start_paused = true)]
async fn fetched_results_are_deleted_after_a_day() {
    let fleet = FakeFleet::new(22);
    let runs = Runs::default();
    let a = start_router(&fleet, "a", &runs, Duration::from_secs(1));
    let fetched = a.service.accept(&organisation(), request(true)).await.unwrap();
    let unfetched = a.service.accept(&organisation(), request(true)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(30)).await;
    a.service.state(&organisation(), &fetched).await.unwrap();

    tokio::time::sleep(Duration::from_hours(23)).await;
    let count_before_expiry = fleet.store.objects(Kind::Job).len();
    tokio::time::sleep(Duration::from_hours(2)).await;
    let names: Vec<_> = fleet.store.objects(Kind::Job).into_iter().map(|it| it.name).collect();

    assert_eq!(count_before_expiry, 2);
    assert_eq!(names, vec![unfetched.to_string()]);
}

/// Guards against accepting a job that exceeds the size limit of objects.
#[tokio::test(start_paused = true)]
async fn too_large_job_is_refused() {
    let fleet = FakeFleet::new(23);
    let a = start_router(&fleet, "a", &Runs::default(), Duration::from_secs(1));
    let large = JobRequest {
        body: vec![0xff; 900_000],
        ..request(true)
    };

    assert_eq!(a.service.accept(&organisation(), large).await, Err(Code::BodyTooLarge));
}

/// Guards against a graceful shutdown that interrupts a running job or starts another one.
#[tokio::test(start_paused = true)]
async fn shutdown_finishes_running_jobs_and_starts_none() {
    let fleet = FakeFleet::new(24);
    let runs = Runs::default();
    let a = start_router(&fleet, "a", &runs, Duration::from_mins(1));
    let running = a.service.accept(&organisation(), request(false)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;

    fleet.begin_shutdown();
    let waiting = a.service.accept(&organisation(), request(false)).await.unwrap();
    a.service.shutdown().await;

    assert_eq!(
        a.service.state(&organisation(), &running).await,
        Ok(JobState::Done(answer(b"write-up")))
    );
    assert_eq!(a.service.state(&organisation(), &waiting).await, Ok(JobState::Accepted));
}
