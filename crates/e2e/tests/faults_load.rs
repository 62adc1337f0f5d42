//! Loads under killed and paused controllers, judged by the engines' own records.

mod fleet;

use std::time::Instant;

use fleet::{Fleet, MODEL_BYTES, Plan, completion, model, wait_for};
use futures::future::join_all;
use http::Method;
use rstest::rstest;
use serde_json::{Value, json};

/// Controller that holds the pool's lease, by VM number.
async fn holder(fleet: &Fleet, asked: usize) -> Option<usize> {
    let status = fleet.admin(asked, Method::GET, "/status", None, None).await.json();
    status["members"].as_array()?.iter().find_map(|member| {
        let leases = member["status"]["leases"].as_array()?;
        let holds = leases.iter().any(|lease| lease["name"] == json!("pool/pool"));
        let name = member["member"].as_str()?.strip_prefix("vm-")?.split('/').next()?;
        holds.then(|| name.parse().ok())?
    })
}

async fn wait_for_holder(fleet: &Fleet) -> usize {
    wait_for("a controller holds the pool", async || holder(fleet, 0).await.is_some()).await;
    holder(fleet, 0).await.expect("the holder was seen just before")
}

/// Asserts that no engine took more memory than it has or loaded a replica twice.
async fn assert_memory_kept(fleet: &Fleet) {
    for engine in 0..fleet.engines.len() {
        let record: Value = serde_json::to_value(fleet.record(engine).await).expect("a record has a JSON form");
        assert_eq!(record["overcommits"].as_array().map(Vec::len), Some(0), "{record:#}");
    }
}

async fn loads(fleet: &Fleet) -> u64 {
    let records = (0..fleet.engines.len()).map(|engine| fleet.record(engine));
    join_all(records).await.iter().map(|it| it.loads).sum()
}

/// Guards against several loads for one cold model whose first requests arrive at all routers at once.
#[tokio::test(flavor = "multi_thread")]
async fn first_requests_at_all_routers_make_one_load() {
    let fleet = Fleet::start(&Plan::new(3, 3).object(model("mistral", "lookup"))).await;
    wait_for_holder(&fleet).await;

    let body = completion("mistral", 2, false);
    let answers = join_all((0..30).map(|number| fleet.complete(number % 3, "bangor", &body, &[]))).await;

    assert!(answers.iter().all(|it| it.status == 200), "{answers:?}");
    assert_eq!(loads(&fleet).await, 1);
    assert_memory_kept(&fleet).await;
}

/// Guards against a load that is lost, doubled or overcommits when its controller is killed and the store is slow.
#[tokio::test(flavor = "multi_thread")]
async fn killed_controller_during_a_slow_load() {
    let fleet = Fleet::start(&Plan::new(3, 2).object(model("mistral", "lookup"))).await;
    let holder = wait_for_holder(&fleet).await;
    fleet.platform_faults(&json!({ "weights": { "slowdown": 4.0 } })).await;

    let answer = async { fleet.complete(0, "bangor", &completion("mistral", 2, false), &[]).await };
    let kill = async {
        wait_for("the load has started", async || loads(&fleet).await > 0).await;
        fleet.vms[holder].controller.signal(libc::SIGKILL);
        Instant::now()
    };
    let (answer, killed) = tokio::join!(answer, kill);
    println!(
        "answered {:?} after the controller was killed during the load",
        killed.elapsed()
    );

    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(loads(&fleet).await, 1);
    assert_memory_kept(&fleet).await;
}

/// Guards against a paused holder whose orders or decisions count after another has taken over.
#[rstest]
#[case::engines_check(&[])]
#[case::engines_ignore_terms(&["--ignores-fence"])]
#[tokio::test(flavor = "multi_thread")]
async fn paused_controller_wakes_after_its_lease(#[case] engine_args: &[&str]) {
    // Each engine has memory for two replicas; six models compete for four places.
    let names: Vec<String> = (0..6).map(|number| format!("model-{number}")).collect();
    let plan = names
        .iter()
        .fold(Plan::new(3, 2).engine_args(engine_args), |plan, name| {
            plan.object(model(name, "lookup"))
        });
    let fleet = Fleet::start(&plan).await;
    let holder = wait_for_holder(&fleet).await;

    let ask = async |range: std::ops::Range<usize>| {
        join_all(range.map(|number| {
            let body = completion(&names[number % names.len()], 1, false);
            let fleet = &fleet;
            async move { fleet.complete(number % 3, "bangor", &body, &[]).await }
        }))
        .await
    };
    let first = ask(0..3).await;
    fleet.vms[holder].controller.signal(libc::SIGSTOP);
    let second = ask(3..9).await;
    fleet.vms[holder].controller.signal(libc::SIGCONT);
    let third = ask(0..12).await;

    for answer in first.iter().chain(&second).chain(&third) {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_memory_kept(&fleet).await;
    assert!(fleet.record(0).await.peak_memory_bytes <= 2 * MODEL_BYTES);
}

/// Guards against a holder that acts on an expired lease when the platform was down while it was paused.
#[tokio::test(flavor = "multi_thread")]
async fn paused_controller_with_the_platform_down() {
    let fleet = Fleet::start(
        &Plan::new(3, 1)
            .object(model("mistral", "lookup"))
            .object(model("second", "lookup")),
    )
    .await;
    let holder = wait_for_holder(&fleet).await;
    fleet
        .platform_faults(&json!({ "objects": { "down": true }, "vms": { "down": true } }))
        .await;
    fleet.vms[holder].controller.signal(libc::SIGSTOP);
    tokio::time::sleep(std::time::Duration::from_secs(12)).await;

    fleet.vms[holder].controller.signal(libc::SIGCONT);
    let while_down = loads(&fleet).await;
    fleet.platform_faults(&json!({ "objects": {}, "vms": {} })).await;
    let first = fleet.complete(0, "bangor", &completion("mistral", 1, false), &[]).await;
    let second = fleet.complete(1, "bangor", &completion("second", 1, false), &[]).await;

    assert_eq!(while_down, 0);
    assert_eq!((first.status, second.status), (200, 200), "{first:?} {second:?}");
    assert_eq!(loads(&fleet).await, 2);
    assert_memory_kept(&fleet).await;
}

/// Guards against new work for a backend server that is leaving, and against cutting what runs there.
#[tokio::test(flavor = "multi_thread")]
async fn drained_server_gets_no_new_work() {
    let plan = Plan::new(2, 2)
        .object(model("mistral", "lookup"))
        .engine_args(&["--decode-us=30000"]);
    let fleet = Fleet::start(&plan).await;
    let warm = fleet.complete(0, "bangor", &completion("mistral", 1, false), &[]).await;
    assert_eq!(warm.status, 200, "{warm:?}");
    let from = usize::from(fleet.record(0).await.requests.is_empty());

    let stream = async {
        fleet
            .complete(0, "bangor", &completion("mistral", 300, true), &[])
            .await
    };
    let drain = async {
        wait_for("the stream runs", async || fleet.record(from).await.requests.len() == 2).await;
        let path = format!("/servers/runner-{from}/drain");
        let drained = fleet.admin(1, Method::POST, &path, None, None).await;
        assert_eq!(drained.status, 200, "{drained:?}");
        tokio::time::sleep(std::time::Duration::from_secs(3)).await;
        let before = fleet.record(from).await.requests.len();
        for vm in [0, 1, 0, 1] {
            let answer = fleet
                .complete(vm, "bangor", &completion("mistral", 1, false), &[])
                .await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        fleet.record(from).await.requests.len() - before
    };
    let (streamed, new_work) = tokio::join!(stream, drain);

    assert_eq!(new_work, 0);
    let text = String::from_utf8_lossy(&streamed.body).into_owned();
    assert!(streamed.whole && text.trim_end().ends_with("data: [DONE]"), "{text}");
}
