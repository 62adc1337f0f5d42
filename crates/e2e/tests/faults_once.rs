//! Non-idempotent requests (filings) run at most once, checked against the record of the engine.

mod fleet;

use std::collections::HashMap;

use fleet::{Fleet, FleetConfig, completion, model, wait_for};
use futures::future::join_all;
use http::Method;
use serde_json::json;

async fn start_warm_fleet(vms: usize, engine_args: &[&str]) -> Fleet {
    let config = FleetConfig::new(vms, 1)
        .object(model("filing-model", "filing"))
        .engine_args(engine_args);
    let fleet = Fleet::start(&config).await;
    let answer = fleet
        .send_completion(0, "bangor", &completion("filing-model", 1, false), &[])
        .await;
    assert_eq!(answer.status, 200, "{answer:?}");
    fleet
}

/// Returns how often the engine ran the request of each idempotency key.
async fn runs_by_key(fleet: &Fleet) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for request in fleet.record(0).await.requests {
        if let Some(key) = request.idempotency_key {
            *runs.entry(key).or_default() += 1;
        }
    }
    runs
}

/// Guards against a filing that runs again when callers repeat it through other VMs, even at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_through_all_vms_run_once_and_get_the_same_answer() {
    let fleet = start_warm_fleet(3, &[]).await;
    let body = completion("filing-model", 4, false);

    let keys: Vec<String> = (0..20).map(|number| format!("order-{number}")).collect();
    let calls = keys.iter().flat_map(|key| (0..3).map(move |vm| (key, vm)));
    let answers = join_all(calls.map(async |(key, vm)| {
        let answer = fleet
            .send_completion(vm, "bangor", &body, &[("idempotency-key", key)])
            .await;
        (key, answer)
    }))
    .await;

    let mut first_bodies: HashMap<&String, Vec<u8>> = HashMap::new();
    for (key, answer) in &answers {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(
            first_bodies.entry(key).or_insert_with(|| answer.body.clone()),
            &answer.body
        );
    }
    assert!(runs_by_key(&fleet).await.values().all(|it| *it == 1));
    assert_eq!(runs_by_key(&fleet).await.len(), keys.len());
}

/// Guards against a filing that runs again after its backend server has failed in the middle of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn filing_cut_by_its_engine_is_never_run_again() {
    let fleet = start_warm_fleet(2, &[]).await;
    let body = completion("filing-model", 8, false);
    let engine = fleet.engines[0].addr;
    let faults = json!({ "die_after_tokens": 2, "die_next": 1 });
    fleet.call(engine, Method::PUT, "/faults", &[], Some(&faults)).await;

    let cut = fleet
        .send_completion(0, "bangor", &body, &[("idempotency-key", "order-cut")])
        .await;
    let repeat = fleet
        .send_completion(1, "bangor", &body, &[("idempotency-key", "order-cut")])
        .await;

    for answer in [cut, repeat] {
        assert!(answer.status >= 500, "{answer:?}");
        assert_eq!(answer.json()["error"]["run"], json!("outcome_unknown"), "{answer:?}");
    }
    assert_eq!(runs_by_key(&fleet).await["order-cut"], 1);
}

/// Guards against a filing that a repeat runs again after its router has been killed while the filing was running.
#[tokio::test(flavor = "multi_thread")]
async fn filing_of_a_killed_router_is_never_run_again() {
    let mut fleet = start_warm_fleet(3, &["--decode-us=50000"]).await;
    let body = completion("filing-model", 40, false);

    let interrupted = async {
        fleet
            .send_completion(1, "bangor", &body, &[("idempotency-key", "order-killed")])
            .await
    };
    let kill = async {
        wait_for("the filing runs", async || {
            runs_by_key(&fleet).await.contains_key("order-killed")
        })
        .await;
        fleet.vms[1].router.signal(libc::SIGKILL);
    };
    let (interrupted, ()) = tokio::join!(interrupted, kill);
    fleet.vms[1].router = fleet.start_role(1, 3, "router");
    fleet.wait_until_ready(1).await;
    let repeats =
        join_all((0..3).map(|vm| fleet.send_completion(vm, "bangor", &body, &[("idempotency-key", "order-killed")])))
            .await;

    assert!(!interrupted.is_complete || interrupted.status != 200, "{interrupted:?}");
    for repeat in repeats {
        assert_eq!(repeat.json()["error"]["run"], json!("outcome_unknown"), "{repeat:?}");
    }
    assert_eq!(runs_by_key(&fleet).await["order-killed"], 1);
}

/// Guards against a filing that runs while the platform, which records earlier runs, is down, and against an answer
/// that wrongly says that the filing has not run.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_filing_is_refused_as_not_run_while_the_platform_is_down() {
    let fleet = start_warm_fleet(2, &[]).await;
    fleet.set_platform_faults(&json!({ "objects": { "down": true } })).await;
    let body = completion("filing-model", 2, false);

    let refused = fleet
        .send_completion(0, "bangor", &body, &[("idempotency-key", "order-down")])
        .await;

    assert_eq!(refused.json()["error"]["run"], json!("not_run"), "{refused:?}");
    assert!(!runs_by_key(&fleet).await.contains_key("order-down"));
    fleet.set_platform_faults(&json!({ "objects": {} })).await;
    let repeat = fleet
        .send_completion(1, "bangor", &body, &[("idempotency-key", "order-down")])
        .await;
    assert_eq!(repeat.status, 200, "{repeat:?}");
    assert_eq!(runs_by_key(&fleet).await["order-down"], 1);
}

/// Guards against a filing that runs twice, or is answered without having run, because answers of the platform were
/// lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_platform_answers_do_not_double_filings() {
    let fleet = start_warm_fleet(2, &[]).await;
    fleet
        .set_platform_faults(&json!({ "objects": { "lose_write_probability": 0.4, "seed": 11 } }))
        .await;
    let body = completion("filing-model", 2, false);

    let keys: Vec<String> = (0..12).map(|number| format!("order-{number}")).collect();
    let calls = keys.iter().flat_map(|key| [(key, 0), (key, 1)]);
    let answers = join_all(calls.map(|(key, vm)| {
        let (fleet, body) = (&fleet, &body);
        async move {
            (
                key,
                fleet
                    .send_completion(vm, "bangor", body, &[("idempotency-key", key)])
                    .await,
            )
        }
    }))
    .await;

    let runs = runs_by_key(&fleet).await;
    assert!(runs.values().all(|it| *it == 1), "{runs:?}");
    for (key, answer) in answers {
        let ran = runs.contains_key(key.as_str());
        assert!(
            answer.status != 200 || ran,
            "{key} was answered but did not run: {answer:?}"
        );
    }
}

/// Guards against a job that is lost or runs twice when the router that accepted it is killed.
#[tokio::test(flavor = "multi_thread")]
async fn job_survives_the_death_of_its_router() {
    let mut fleet = start_warm_fleet(3, &["--decode-us=20000"]).await;
    let body = completion("filing-model", 20, false);
    let headers = [("prefer", "respond-async"), ("idempotency-key", "job-1")];

    let accepted = fleet.send_completion(0, "bangor", &body, &headers).await;
    assert_eq!(accepted.status, 202, "{accepted:?}");
    fleet.vms[0].router.signal(libc::SIGKILL);
    let job = accepted.json()["id"].as_str().unwrap_or_default().to_owned();

    let bearer = format!("Bearer {}", fleet::key_text("bangor"));
    let addr = fleet.vms[1].router_addr();
    fleet.register_vm(0, guava_objects::VmState::Ended, "1").await;
    wait_for("the job has ended", async || {
        let path = format!("/v1/jobs/{job}");
        let state = fleet
            .call(addr, Method::GET, &path, &[("authorization", &bearer)], None)
            .await;
        let text = String::from_utf8_lossy(&state.body).into_owned();
        text.contains("done") || text.contains("outcome_unknown") || state.status == 200 && text.contains("choices")
    })
    .await;
    fleet.vms[0].router = fleet.start_role(0, 3, "router");

    let record = fleet.record(0).await;
    // The first request loaded the model; the job is the only other one.
    assert!(record.requests.len() <= 2, "{:?}", record.requests);
}
