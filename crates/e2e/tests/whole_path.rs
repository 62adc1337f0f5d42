//! Requests from a caller through all programs to an engine, for models that are not loaded yet and for loaded ones.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, FleetConfig, completion, model, oversized_model, wait_for};
use futures::future::join_all;
use http::Method;

/// Guards against a failure anywhere between router, controller, platform and engine when a request needs a load.
#[tokio::test(flavor = "multi_thread")]
async fn cold_model_answers_whole_and_streamed() {
    let config = FleetConfig::new(2, 2).object(model("mistral", "lookup"));
    let fleet = Fleet::start(&config).await;

    let non_streamed = fleet
        .send_completion(0, "bangor", &completion("mistral", 4, false), &[])
        .await;
    let streamed = fleet
        .send_completion(1, "bangor", &completion("mistral", 4, true), &[])
        .await;

    assert_eq!(non_streamed.status, 200, "{non_streamed:?}");
    let id = non_streamed.headers["x-request-id"]
        .to_str()
        .expect("the request id is text");
    let text = non_streamed.json()["choices"][0]["text"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    assert!(
        text.contains(id),
        "the answer belongs to another request than {id}: {text}"
    );
    assert_eq!(streamed.status, 200, "{streamed:?}");
    let body = String::from_utf8_lossy(&streamed.body).into_owned();
    assert!(
        streamed.is_complete && body.trim_end().ends_with("data: [DONE]"),
        "{body}"
    );
}

/// Guards against a cold start without the header that load tests count, and against that header on requests to a
/// loaded model.
#[tokio::test(flavor = "multi_thread")]
async fn router_reports_cold_starts_only() {
    const HEADER: &str = "x-guava-cold-start-ms";
    // The oversized model prevents loads ahead of demand, so that the first request for each model is a cold start.
    let config = FleetConfig::new(1, 1)
        .object(model("mistral", "lookup"))
        .object(model("filer", "filing"))
        .object(oversized_model("archive", "lookup"));
    let fleet = Fleet::start(&config).await;

    for (model, stream) in [("mistral", true), ("filer", false)] {
        let body = completion(model, 2, stream);
        let cold = fleet.send_completion(0, "bangor", &body, &[]).await;
        let warm = fleet.send_completion(0, "bangor", &body, &[]).await;

        assert_eq!((cold.status, warm.status), (200, 200), "{cold:?} {warm:?}");
        let ms = cold.headers.get(HEADER).and_then(|it| it.to_str().ok());
        assert!(ms.is_some_and(|it| it.parse::<u64>().is_ok()), "{cold:?}");
        assert!(!warm.headers.contains_key(HEADER), "{warm:?}");
    }
}

/// Guards against a graceful stop that cuts running streams or exits with an error code.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_cuts_nothing() {
    let config = FleetConfig::new(2, 1)
        .object(model("mistral", "lookup"))
        .engine_args(&["--decode-us=20000"]);
    let mut fleet = Fleet::start(&config).await;
    let warm = fleet
        .send_completion(0, "bangor", &completion("mistral", 1, false), &[])
        .await;
    assert_eq!(warm.status, 200, "{warm:?}");

    let body = completion("mistral", 150, true);
    let streams = join_all((0..8).map(|_| fleet.send_completion(0, "bangor", &body, &[])));
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
        assert!(
            answer.is_complete && text.trim_end().ends_with("data: [DONE]"),
            "{text}"
        );
    }
    let mut exit_code = None;
    for _ in 0..600 {
        exit_code = fleet.vms[0].router.exit_code();
        if exit_code.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(exit_code, Some(0));
}
