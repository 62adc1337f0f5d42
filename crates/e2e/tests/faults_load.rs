//! Loads while controllers are killed and paused, checked against the records of the engines.

mod fleet;

use std::time::Instant;

use fleet::{Fleet, FleetConfig, MODEL_BYTES, completion, model, wait_for};
use futures::future::join_all;
use http::Method;
use rstest::rstest;
use serde_json::{Value, json};

/// Returns the VM number of the controller that holds the pool's lease, as the administration API of one VM reports it.
async fn lease_holder(fleet: &Fleet, vm: usize) -> Option<usize> {
    let status = fleet.admin(vm, Method::GET, "/status", None, None).await.json();
    status["members"].as_array()?.iter().find_map(|member| {
        let leases = member["status"]["leases"].as_array()?;
        let holds = leases.iter().any(|lease| lease["name"] == json!("pool/pool"));
        let name = member["member"].as_str()?.strip_prefix("vm-")?.split('/').next()?;
        holds.then(|| name.parse().ok())?
    })
}

async fn wait_for_lease_holder(fleet: &Fleet) -> usize {
    wait_for("a controller holds the pool's lease", async || {
        lease_holder(fleet, 0).await.is_some()
    })
    .await;
    lease_holder(fleet, 0)
        .await
        .expect("a controller has just held the lease")
}

/// Asserts that no engine received a load order for which it had too little free memory.
async fn assert_no_overcommit(fleet: &Fleet) {
    for engine in 0..fleet.engines.len() {
        let record: Value = serde_json::to_value(fleet.record(engine).await).expect("a record can be serialised");
        assert_eq!(record["overcommits"].as_array().map(Vec::len), Some(0), "{record:#}");
    }
}

async fn count_loads(fleet: &Fleet) -> u64 {
    let records = (0..fleet.engines.len()).map(|engine| fleet.record(engine));
    join_all(records).await.iter().map(|it| it.loads).sum()
}

/// Guards against several loads of one model when its first requests arrive at all routers at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn first_requests_at_all_routers_make_one_load() {
    let fleet = Fleet::start(&FleetConfig::new(3, 3).object(model("mistral", "lookup"))).await;
    wait_for_lease_holder(&fleet).await;

    let body = completion("mistral", 2, false);
    let answers = join_all((0..30).map(|number| fleet.send_completion(number % 3, "bangor", &body, &[]))).await;

    assert!(answers.iter().all(|it| it.status == 200), "{answers:?}");
    assert_eq!(count_loads(&fleet).await, 1);
    assert_no_overcommit(&fleet).await;
}

/// Guards against a load that is lost, is started twice or overcommits memory when its controller is killed while the
/// weight store is slow.
#[tokio::test(flavor = "multi_thread")]
async fn killed_controller_during_a_slow_load() {
    let fleet = Fleet::start(&FleetConfig::new(3, 2).object(model("mistral", "lookup"))).await;
    let holder = wait_for_lease_holder(&fleet).await;
    fleet
        .set_platform_faults(&json!({ "weights": { "slowdown": 4.0 } }))
        .await;

    let answer = async {
        fleet
            .send_completion(0, "bangor", &completion("mistral", 2, false), &[])
            .await
    };
    let kill = async {
        wait_for("the load has started", async || count_loads(&fleet).await > 0).await;
        fleet.vms[holder].controller.signal(libc::SIGKILL);
        Instant::now()
    };
    let (answer, killed) = tokio::join!(answer, kill);
    println!(
        "answered {:?} after the controller was killed during the load",
        killed.elapsed()
    );

    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(count_loads(&fleet).await, 1);
    assert_no_overcommit(&fleet).await;
}

/// Guards against a controller that is paused while it holds the pool's lease, and whose orders or decisions still take
/// effect after another controller has acquired the lease. Also covers engines that do not check the fencing token.
#[rstest]
#[case::engines_check(&[])]
#[case::engines_ignore_terms(&["--ignores-fence"])]
#[tokio::test(flavor = "multi_thread")]
async fn paused_controller_wakes_after_its_lease(#[case] engine_args: &[&str]) {
    // Each engine has memory for two replicas, so the two engines hold four of the six models.
    let names: Vec<String> = (0..6).map(|number| format!("model-{number}")).collect();
    let config = names
        .iter()
        .fold(FleetConfig::new(3, 2).engine_args(engine_args), |config, name| {
            config.object(model(name, "lookup"))
        });
    let fleet = Fleet::start(&config).await;
    let holder = wait_for_lease_holder(&fleet).await;

    let send_requests = async |range: std::ops::Range<usize>| {
        join_all(range.map(|number| {
            let body = completion(&names[number % names.len()], 1, false);
            let fleet = &fleet;
            async move { fleet.send_completion(number % 3, "bangor", &body, &[]).await }
        }))
        .await
    };
    let first = send_requests(0..3).await;
    fleet.vms[holder].controller.signal(libc::SIGSTOP);
    let second = send_requests(3..9).await;
    fleet.vms[holder].controller.signal(libc::SIGCONT);
    let third = send_requests(0..12).await;

    for answer in first.iter().chain(&second).chain(&third) {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_no_overcommit(&fleet).await;
    assert!(fleet.record(0).await.peak_memory_bytes <= 2 * MODEL_BYTES);
}

/// Guards against a controller that acts on an expired lease after a pause during which the platform was down.
#[tokio::test(flavor = "multi_thread")]
async fn paused_controller_with_the_platform_down() {
    let fleet = Fleet::start(
        &FleetConfig::new(3, 1)
            .object(model("mistral", "lookup"))
            .object(model("second", "lookup")),
    )
    .await;
    let holder = wait_for_lease_holder(&fleet).await;
    fleet
        .set_platform_faults(&json!({ "objects": { "down": true }, "vms": { "down": true } }))
        .await;
    fleet.vms[holder].controller.signal(libc::SIGSTOP);
    tokio::time::sleep(std::time::Duration::from_secs(12)).await;

    fleet.vms[holder].controller.signal(libc::SIGCONT);
    let while_down = count_loads(&fleet).await;
    fleet.set_platform_faults(&json!({ "objects": {}, "vms": {} })).await;
    let first = fleet
        .send_completion(0, "bangor", &completion("mistral", 1, false), &[])
        .await;
    let second = fleet
        .send_completion(1, "bangor", &completion("second", 1, false), &[])
        .await;

    assert_eq!(while_down, 0);
    assert_eq!((first.status, second.status), (200, 200), "{first:?} {second:?}");
    assert_eq!(count_loads(&fleet).await, 2);
    assert_no_overcommit(&fleet).await;
}

/// Guards against sending new requests to a drained backend server, and against cutting the streams that run on it.
#[tokio::test(flavor = "multi_thread")]
async fn drained_server_gets_no_new_work() {
    let config = FleetConfig::new(2, 2)
        .object(model("mistral", "lookup"))
        .engine_args(&["--decode-us=30000"]);
    let fleet = Fleet::start(&config).await;
    let warm = fleet
        .send_completion(0, "bangor", &completion("mistral", 1, false), &[])
        .await;
    assert_eq!(warm.status, 200, "{warm:?}");
    let loaded_engine = usize::from(fleet.record(0).await.requests.is_empty());

    let stream = async {
        fleet
            .send_completion(0, "bangor", &completion("mistral", 300, true), &[])
            .await
    };
    let drain = async {
        wait_for("the stream runs", async || {
            fleet.record(loaded_engine).await.requests.len() == 2
        })
        .await;
        let path = format!("/servers/runner-{loaded_engine}/drain");
        let drained = fleet.admin(1, Method::POST, &path, None, None).await;
        assert_eq!(drained.status, 200, "{drained:?}");
        tokio::time::sleep(std::time::Duration::from_secs(3)).await;
        let before = fleet.record(loaded_engine).await.requests.len();
        for vm in [0, 1, 0, 1] {
            let answer = fleet
                .send_completion(vm, "bangor", &completion("mistral", 1, false), &[])
                .await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        fleet.record(loaded_engine).await.requests.len() - before
    };
    let (streamed, new_work) = tokio::join!(stream, drain);

    assert_eq!(new_work, 0);
    let text = String::from_utf8_lossy(&streamed.body).into_owned();
    assert!(
        streamed.is_complete && text.trim_end().ends_with("data: [DONE]"),
        "{text}"
    );
}
