//! The router does not pass callers' keys to backend servers.

mod fleet;

use fleet::{Fleet, FleetConfig, completion, key_text, model};
use http::Method;

/// Guards against a key that reaches a backend server in a header, for each way in which a caller can send it.
#[tokio::test(flavor = "multi_thread")]
async fn backend_server_sees_no_key() {
    let fleet = Fleet::start(&FleetConfig::new(1, 1).object(model("mistral", "lookup"))).await;
    let addr = fleet.vms[0].router_addr();
    let (key, body) = (key_text("bangor"), completion("mistral", 1, false));
    let bearer = format!("Bearer {key}");
    let query = format!("/v1/completions?api_key={key}");

    let answers = [
        fleet
            .call(
                addr,
                Method::POST,
                "/v1/completions",
                &[("authorization", &bearer)],
                Some(&body),
            )
            .await,
        fleet
            .call(
                addr,
                Method::POST,
                "/v1/completions",
                &[("x-api-key", &key)],
                Some(&body),
            )
            .await,
        fleet
            .call(
                addr,
                Method::POST,
                &query,
                &[("cookie", &key), ("x-secret", &key)],
                Some(&body),
            )
            .await,
    ];

    assert!(answers.iter().all(|it| it.status == 200), "{answers:?}");
    let record = fleet.record(0).await;
    assert_eq!(record.requests.len(), answers.len());
    let allowed = [
        "host",
        "content-type",
        "content-length",
        "accept",
        "transfer-encoding",
        "idempotency-key",
    ];
    for name in record.requests.iter().flat_map(|it| &it.headers) {
        let is_set_by_router = name.starts_with("x-guava-") || name == "x-request-id";
        assert!(
            is_set_by_router || allowed.contains(&name.as_str()),
            "header {name} reached the backend server"
        );
    }
    assert!(!serde_json::to_string(&record).unwrap_or_default().contains("secret"));
}
