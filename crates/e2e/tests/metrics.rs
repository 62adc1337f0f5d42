//! Health checks and metrics of the three programs.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use fleet::{Fleet, FleetConfig, completion, model, wait_for};
use futures::future::join_all;
use guava_core::config::Object;
use http::Method;

/// Labels that the exporter adds to those of the programs: the upper bound of a bucket and the name of the meter.
const EXPORTER_LABELS: [&str; 2] = ["le", "otel_scope_name"];

/// Description of a metric, as docs/metrics.md and the programs give it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Family {
    kind: String,
    labels: BTreeSet<String>,
    meaning: String,
}

type Families = BTreeMap<String, Family>;

/// Returns the metrics that docs/metrics.md lists for a role.
fn documented_metrics(role: &str) -> Families {
    let page = include_str!("../../../docs/metrics.md");
    let rows = page.lines().filter(|line| line.starts_with("| `guava_"));
    let cells = rows.map(|line| line.trim_matches('|').split('|').map(str::trim).collect::<Vec<_>>());
    cells
        .filter(|cells| cells[4] == "all" || cells[4] == role)
        .map(|cells| {
            let labels = cells[3].split(", ").filter(|it| *it != "-");
            let family = Family {
                kind: cells[1].to_owned(),
                labels: labels.map(|it| it.trim_matches('`').to_owned()).collect(),
                meaning: cells[5].to_owned(),
            };
            (cells[0].trim_matches('`').to_owned(), family)
        })
        .collect()
}

/// Parses the metrics in the Prometheus text format, where the HELP and TYPE lines of a family precede its samples.
fn parse_metrics(text: &str) -> Families {
    let mut families = Families::new();
    let mut current = String::new();
    for line in text.lines() {
        if let Some((name, meaning)) = line.strip_prefix("# HELP ").and_then(|it| it.split_once(' ')) {
            name.clone_into(&mut current);
            let family = Family {
                kind: String::new(),
                labels: BTreeSet::new(),
                meaning: meaning.to_owned(),
            };
            families.insert(current.clone(), family);
        } else if let Some((_, kind)) = line.strip_prefix("# TYPE ").and_then(|it| it.split_once(' ')) {
            kind.clone_into(&mut families.get_mut(&current).expect("the HELP line comes first").kind);
        } else if let Some((_, labels)) = line.split_once('{') {
            let names = labels
                .split("\",")
                .filter_map(|it| it.split_once('='))
                .map(|(name, _)| name);
            let labels = &mut families.get_mut(&current).expect("the HELP line comes first").labels;
            labels.extend(names.filter(|it| !EXPORTER_LABELS.contains(it)).map(str::to_owned));
        }
    }
    families
}

/// Guards against a metric that is added, renamed or removed without a change of docs/metrics.md, and against a program
/// without health checks.
#[tokio::test(flavor = "multi_thread")]
async fn page_lists_what_the_programs_serve() {
    let one_slot = match model("mistral", "lookup") {
        Object::Model(it) => Object::Model(guava_core::config::Model { slots: 1, ..it }),
        other => other,
    };
    let config = FleetConfig::new(1, 1)
        .object(one_slot)
        .engine_args(&["--decode-us=20000"]);
    let fleet = Fleet::start(&config).await;
    let vm = &fleet.vms[0];
    // Requests wait for the load and for the only slot; a request for an unknown model is refused.
    let body = completion("mistral", 8, false);
    let answers = join_all((0..4).map(|_| fleet.send_completion(0, "bangor", &body, &[]))).await;
    assert!(answers.iter().all(|it| it.status == 200), "{answers:?}");
    let refused = fleet
        .send_completion(0, "bangor", &completion("unknown", 1, false), &[])
        .await;
    assert_eq!(refused.code(), "G1104");
    // The model is loaded now, so these requests wait only for its slot.
    let answers = join_all((0..4).map(|_| fleet.send_completion(0, "bangor", &body, &[]))).await;
    assert!(answers.iter().all(|it| it.status == 200), "{answers:?}");

    let roles = [
        ("router", vm.router_addr()),
        ("controller", vm.controller_addr()),
        ("admin", vm.admin_addr()),
    ];
    for (role, addr) in roles {
        let get = async |path: &str| fleet.call(addr, Method::GET, path, &[], None).await;
        assert_eq!(get("/healthz").await.status, 200, "{role}");
        wait_for("the process is ready", async || get("/readyz").await.status == 200).await;
        assert_ne!(get("/elsewhere").await.status, 200, "{role}");
        let families = async || parse_metrics(&String::from_utf8_lossy(&get("/metrics").await.body));
        wait_for("all listed metrics are served", async || {
            let served = families().await;
            documented_metrics(role).keys().all(|it| served.contains_key(it))
        })
        .await;

        assert_eq!(families().await, documented_metrics(role), "{role}");
    }
}
