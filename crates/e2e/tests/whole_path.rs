//! From a caller through the separate programs to a model that is not loaded, and back.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Plan, completion, model, oversized_model, wait_for};
use futures::future::join_all;
use http::Method;

/// Guards against a break anywhere between router, controller, platform and engine.
#[tokio::test(flavor = "multi_thread")]
async fn cold_model_answers_whole_and_streamed() {
    let plan = Plan::new(2, 2).object(model("mistral", "lookup"));
    let fleet = Fleet::start(&plan).await;

    let whole = fleet.complete(0, "bangor", &completion("mistral", 4, false), &[]).await;
    let streamed = fleet.complete(1, "bangor", &completion("mistral", 4, true), &[]).await;

    assert_eq!(whole.status, 200, "{whole:?}");
    let id = whole.headers["x-request-id"].to_str().expect("the request id is text");
    let text = whole.json()["choices"][0]["text"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    assert!(text.contains(id), "the answer belongs to request {id}: {text}");
    assert_eq!(streamed.status, 200, "{streamed:?}");
    let body = String::from_utf8_lossy(&streamed.body).into_owned();
    assert!(streamed.whole && body.trim_end().ends_with("data: [DONE]"), "{body}");
}

/// Guards against a cold start that the load tool cannot see, and against a warm request that is counted as one.
#[tokio::test(flavor = "multi_thread")]
async fn router_tells_cold_starts_only() {
    const HEADER: &str = "x-guava-cold-start-ms";
    // Both first requests must find their model cold, however soon a controller decides.
    let plan = Plan::new(1, 1)
        .object(model("mistral", "lookup"))
        .object(model("filer", "filing"))
        .object(oversized_model("archive", "lookup"));
    let fleet = Fleet::start(&plan).await;

    for (model, stream) in [("mistral", true), ("filer", false)] {
        let body = completion(model, 2, stream);
        let cold = fleet.complete(0, "bangor", &body, &[]).await;
        let warm = fleet.complete(0, "bangor", &body, &[]).await;

        assert_eq!((cold.status, warm.status), (200, 200), "{cold:?} {warm:?}");
        let ms = cold.headers.get(HEADER).and_then(|it| it.to_str().ok());
        assert!(ms.is_some_and(|it| it.parse::<u64>().is_ok()), "{cold:?}");
        assert!(!warm.headers.contains_key(HEADER), "{warm:?}");
    }
}

/// Guards against a planned stop that cuts running streams or exits with an error.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_cuts_nothing() {
    let plan = Plan::new(2, 1)
        .object(model("mistral", "lookup"))
        .engine_args(&["--decode-us=20000"]);
    let mut fleet = Fleet::start(&plan).await;
    let warm = fleet.complete(0, "bangor", &completion("mistral", 1, false), &[]).await;
    assert_eq!(warm.status, 200, "{warm:?}");

    let body = completion("mistral", 150, true);
    let streams = join_all((0..8).map(|_| fleet.complete(0, "bangor", &body, &[])));
    let stop = async {
        let addr = fleet.engines[0].addr;
        wait_for("all streams run", async || {
            let report = fleet.call(addr, Method::GET, "/control/report", &[], None).await.json();
            report["replicas"]
                .as_array()
                .into_iter()
                .flatten()
                .any(|it| it["running"] == 8)
        })
        .await;
        fleet.vms[0].router.signal(libc::SIGTERM);
    };
    let (answers, ()) = tokio::join!(streams, stop);

    for answer in answers {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(answer.whole && text.trim_end().ends_with("data: [DONE]"), "{text}");
    }
    let mut code = None;
    for _ in 0..600 {
        code = fleet.vms[0].router.exit_code();
        if code.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(code, Some(0));
}
