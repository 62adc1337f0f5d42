//! Deferred requests over a fake platform.

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

use fakes::World;

mod fakes;

/// Executor that records what it ran and takes a given time.
#[derive(Debug)]
struct Recorder {
    ran: Arc<Mutex<Vec<JobId>>>,
    time: Duration,
    outcomes: Mutex<Vec<Outcome>>,
    idle: Mutex<bool>,
}

#[async_trait]
impl JobExecutor for Recorder {
    async fn execute(&self, _organisation: &OrganisationName, job: &JobId, request: &JobRequest) -> Outcome {
        self.ran.lock().push(job.clone());
        tokio::time::sleep(self.time).await;
        let planned = self.outcomes.lock().pop();
        planned.unwrap_or_else(|| Outcome::Answered(answer(&request.body)))
    }

    fn has_idle_capacity(&self) -> bool {
        *self.idle.lock()
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
    executor: Arc<Recorder>,
}

type Ran = Arc<Mutex<Vec<JobId>>>;

fn start(world: &Arc<World>, vm: &str, ran: &Ran, time: Duration) -> Router {
    let node = world.router(vm, 1);
    let executor = Arc::new(Recorder {
        ran: Arc::clone(ran),
        time,
        outcomes: Mutex::default(),
        idle: Mutex::new(true),
    });
    let service = JobService::start(node.clone(), Arc::clone(&executor) as Arc<dyn JobExecutor>);
    Router {
        node,
        service,
        executor,
    }
}

/// Ends a router with proof and gives the job's shard to another.
fn fail_over(world: &World, job: &JobId, from: &Router, to: &Router) {
    from.service.abort();
    world.end(&from.node);
    world.give_lease(&shard_lease(shard_of(job)), &to.node);
}

/// Guards against a job that does not survive its runner, and against a non-idempotent one that runs twice.
#[tokio::test(start_paused = true)]
async fn job_survives_the_end_of_its_runner() {
    for idempotent in [true, false] {
        let world = World::new(u64::from(idempotent));
        let ran = Ran::default();
        let a = start(&world, "a", &ran, Duration::from_mins(10));
        let b = start(&world, "b", &ran, Duration::from_secs(1));
        let job = a.service.accept(&organisation(), request(idempotent)).await.unwrap();
        tokio::time::sleep(Duration::from_secs(20)).await;
        let before = b.service.state(&organisation(), &job).await;

        fail_over(&world, &job, &a, &b);
        tokio::time::sleep(Duration::from_secs(40)).await;

        let after = b.service.state(&organisation(), &job).await;
        assert_eq!(before, Ok(JobState::Running));
        let (state, runs) = if idempotent {
            (JobState::Done(answer(b"write-up")), 2)
        } else {
            (JobState::OutcomeUnknown, 1)
        };
        assert_eq!(after, Ok(state));
        assert_eq!(ran.lock().len(), runs);
    }
}

/// Guards against a second run while the runner is only believed to have ended.
#[tokio::test(start_paused = true)]
async fn running_job_is_left_to_a_live_runner() {
    let world = World::new(3);
    let ran = Ran::default();
    let a = start(&world, "a", &ran, Duration::from_mins(2));
    let b = start(&world, "b", &ran, Duration::from_secs(1));
    let job = a.service.accept(&organisation(), request(true)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(10)).await;

    world.give_lease(&shard_lease(shard_of(&job)), &b.node);
    tokio::time::sleep(Duration::from_mins(3)).await;

    assert_eq!(
        b.service.state(&organisation(), &job).await,
        Ok(JobState::Done(answer(b"write-up")))
    );
    assert_eq!(ran.lock().len(), 1);
}

/// Guards against lost answers of the platform: to the acceptance, to the claim and to the result.
#[tokio::test(start_paused = true)]
async fn lost_answers_neither_lose_nor_repeat_a_job() {
    for lost in 1..=3 {
        let world = World::new(10 + lost as u64);
        let ran = Ran::default();
        let a = start(&world, "a", &ran, Duration::from_secs(1));
        world.store.lose_answers(lost);

        let job = a.service.accept(&organisation(), request(false)).await.unwrap();
        tokio::time::sleep(Duration::from_secs(30)).await;

        assert_eq!(
            a.service.state(&organisation(), &job).await,
            Ok(JobState::Done(answer(b"write-up")))
        );
        assert_eq!(ran.lock().len(), 1, "{lost} answers lost");
    }
}

/// Guards against acceptance without storage, a result lost in an outage, and a job that other callers can read.
#[tokio::test(start_paused = true)]
async fn outage_and_foreign_callers() {
    let world = World::new(20);
    let ran = Ran::default();
    let a = start(&world, "a", &ran, Duration::from_secs(5));
    world.store.set_down(true);
    let refused = a.service.accept(&organisation(), request(false)).await;
    world.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let job = a.service.accept(&organisation(), request(false)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;

    world.store.set_down(true);
    tokio::time::sleep(Duration::from_mins(1)).await;
    let down = a.service.state(&organisation(), &job).await;
    world.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(30)).await;

    assert_eq!(refused, Err(Code::JobNotAccepted));
    assert_eq!(down, Err(Code::PlatformUnavailable));
    assert_eq!(
        a.service.state(&organisation(), &job).await,
        Ok(JobState::Done(answer(b"write-up")))
    );
    assert_eq!(
        a.service.state(&OrganisationName::new("mill"), &job).await,
        Err(Code::UnknownJob)
    );
    assert_eq!(ran.lock().len(), 1);
}

/// Guards against a job dropped because it was not run, and against background work without idle capacity.
#[tokio::test(start_paused = true)]
async fn job_waits_for_capacity_and_is_tried_again() {
    let world = World::new(21);
    let ran = Ran::default();
    let a = start(&world, "a", &ran, Duration::from_secs(1));
    *a.executor.idle.lock() = false;
    a.executor.outcomes.lock().push(Outcome::NotRun);
    let job = a.service.accept(&organisation(), request(false)).await.unwrap();
    tokio::time::sleep(Duration::from_mins(5)).await;
    let without_capacity = ran.lock().len();

    *a.executor.idle.lock() = true;
    tokio::time::sleep(Duration::from_mins(1)).await;

    assert_eq!(without_capacity, 0);
    assert_eq!(
        a.service.state(&organisation(), &job).await,
        Ok(JobState::Done(answer(b"write-up")))
    );
    assert_eq!(ran.lock().len(), 2, "one attempt was not run");
}

/// Guards against results that pile up, and against one deleted before it was fetched.
#[tokio::test(start_paused = true)]
async fn fetched_results_are_kept_a_day() {
    let world = World::new(22);
    let ran = Ran::default();
    let a = start(&world, "a", &ran, Duration::from_secs(1));
    let fetched = a.service.accept(&organisation(), request(true)).await.unwrap();
    let unfetched = a.service.accept(&organisation(), request(true)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(30)).await;
    a.service.state(&organisation(), &fetched).await.unwrap();

    tokio::time::sleep(Duration::from_hours(23)).await;
    let early = world.store.objects(Kind::Job).len();
    tokio::time::sleep(Duration::from_hours(2)).await;
    let names: Vec<_> = world.store.objects(Kind::Job).into_iter().map(|it| it.name).collect();

    assert_eq!(early, 2);
    assert_eq!(names, vec![unfetched.to_string()]);
}

/// Guards against a job that the platform cannot hold being accepted.
#[tokio::test(start_paused = true)]
async fn too_large_job_is_refused() {
    let world = World::new(23);
    let a = start(&world, "a", &Ran::default(), Duration::from_secs(1));
    let large = JobRequest {
        body: vec![0xff; 900_000],
        ..request(true)
    };

    assert_eq!(a.service.accept(&organisation(), large).await, Err(Code::BodyTooLarge));
}

/// Guards against a planned stop that interrupts a job or starts another.
#[tokio::test(start_paused = true)]
async fn shutdown_finishes_running_jobs_only() {
    let world = World::new(24);
    let ran = Ran::default();
    let a = start(&world, "a", &ran, Duration::from_mins(1));
    let running = a.service.accept(&organisation(), request(false)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;

    world.begin_shutdown();
    let waiting = a.service.accept(&organisation(), request(false)).await.unwrap();
    a.service.shutdown().await;

    assert_eq!(
        a.service.state(&organisation(), &running).await,
        Ok(JobState::Done(answer(b"write-up")))
    );
    assert_eq!(a.service.state(&organisation(), &waiting).await, Ok(JobState::Accepted));
}
