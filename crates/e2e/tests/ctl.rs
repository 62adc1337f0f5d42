//! Tests of the operator's command `guavactl` with the real programs.

mod fleet;

use std::io::Write;
use std::process::{Command, Output, Stdio};

use fleet::{
    ADMIN_TOKEN, Fleet, FleetConfig, binary, completion, idempotent_profile, model, oversized_model, wait_for,
};
use guava_core::config::{Kind, Object, Profile};
use http::Method;
use serde_json::{Value, json};

/// Exit code and output of a program that has ended. The code is `None` if a signal ended it.
#[derive(Debug)]
struct CommandOutput {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

impl CommandOutput {
    fn of(output: &Output) -> Self {
        Self {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }

    /// Standard output of a command that must succeed, as JSON.
    fn json(&self) -> Value {
        assert_eq!(self.code, Some(0), "{self:?}");
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

fn command(addr: &str, args: &[&str]) -> Command {
    let mut command = Command::new(binary("guavactl"));
    command
        .arg(format!("--admin-addr={addr}"))
        .arg(format!("--admin-token={ADMIN_TOKEN}"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

/// Runs `guavactl` with `input` on standard input.
fn run(addr: &str, args: &[&str], input: &str) -> CommandOutput {
    let mut child = command(addr, args).spawn().expect("guavactl is built");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The write fails if a command that reads no input has already ended.
    drop(stdin.write_all(input.as_bytes()));
    drop(stdin);
    CommandOutput::of(&child.wait_with_output().expect("guavactl ends"))
}

/// `guavactl` with the address of the administration API that it uses.
struct Ctl(String);

impl Ctl {
    fn new(fleet: &Fleet, vm: usize) -> Self {
        Self(fleet.vms[vm].admin_addr().to_string())
    }

    fn run(&self, args: &[&str]) -> CommandOutput {
        run(&self.0, args, "")
    }

    fn with_input(&self, args: &[&str], input: &Value) -> CommandOutput {
        run(&self.0, args, &input.to_string())
    }

    fn json(&self, args: &[&str]) -> Value {
        let args: Vec<&str> = ["--output", "json"].iter().chain(args).copied().collect();
        self.run(&args).json()
    }
}

fn profile(name: &str, priority: u8) -> Value {
    let profile = Profile {
        priority,
        ..idempotent_profile(name)
    };
    json!({ "kind": "profile", "spec": Object::Profile(profile).spec() })
}

fn check_objects(ctl: &Ctl) {
    let created = ctl.with_input(&["create", "-", "--output", "json"], &json!([profile("night", 1)]));
    let created = created.json();
    let first = created[0]["version"].as_u64().expect("versions are numbers");
    let again = ctl.with_input(&["create", "-"], &profile("night", 1));
    assert_eq!(again.code, Some(4), "{again:?}");
    let invalid = ctl.with_input(&["create", "-"], &profile("", 1));
    assert_eq!(invalid.code, Some(5), "{invalid:?}");

    let shown = ctl.json(&["show", "profiles", "night"]);
    assert_eq!(shown["version"], first);
    assert_eq!(shown["spec"]["priority"], 1);
    let listed = ctl.json(&["list", "profiles"]);
    assert!(listed["items"].as_array().is_some_and(|it| it.len() == 3), "{listed}");
    let table = ctl.run(&["list", "profiles"]);
    assert!(
        table.stdout.contains("VERSION") && table.stdout.contains("night"),
        "{table:?}"
    );

    let old = first.to_string();
    let edited = ctl.with_input(&["edit", "--version", &old, "-"], &profile("night", 2));
    assert_eq!(edited.code, Some(0), "{edited:?}");
    let current = ctl.json(&["show", "profiles", "night"])["version"]
        .as_u64()
        .expect("versions are numbers");
    assert!(current > first);
    for conflict in [
        ctl.with_input(&["edit", "--version", &old, "-"], &profile("night", 3)),
        ctl.run(&["delete", "--version", &old, "profiles", "night"]),
    ] {
        assert_eq!(conflict.code, Some(4), "{conflict:?}");
        let expected_message = format!("current version: {current}");
        assert!(conflict.stderr.contains(&expected_message), "{conflict:?}");
    }
    assert_eq!(ctl.json(&["show", "profiles", "night"])["spec"]["priority"], 2);

    let used = ctl.json(&["show", "profiles", "lookup"])["version"].to_string();
    let refused = ctl.run(&["delete", "--version", &used, "profiles", "lookup"]);
    assert_eq!(
        refused.code,
        Some(4),
        "a profile in use must not be deleted: {refused:?}"
    );
    let deleted = ctl.run(&["delete", "--version", &current.to_string(), "profiles", "night"]);
    assert_eq!(deleted.code, Some(0), "{deleted:?}");
    assert_eq!(ctl.run(&["show", "profiles", "night"]).code, Some(3));
}

fn check_exit_codes(ctl: &Ctl) {
    let unknown_kind = ctl.run(&["list", "vehicles"]);
    assert_eq!(unknown_kind.code, Some(2));
    assert!(unknown_kind.stderr.contains("known kinds"), "{unknown_kind:?}");
    let unreachable = run("127.0.0.1:1", &["status"], "");
    assert_eq!(unreachable.code, Some(6), "{unreachable:?}");
    let unauthorised = ctl.run(&["--admin-token=wrong-token", "status"]);
    assert_ne!(unauthorised.code, Some(0), "{unauthorised:?}");
}

/// Guards against a watch that misses or repeats changes, or that does not end after the given number of changes.
async fn check_watch(ctl: &Ctl) {
    let mut watch = command(&ctl.0, &["watch", "--count", "2", "organisations"])
        .spawn()
        .expect("guavactl is built");
    // The watch may begin after the first changes, so changes are made until the command has received two and ends.
    let mut number = 0;
    while watch.try_wait().expect("the command can be waited for").is_none() {
        number += 1;
        let spec = json!({ "name": format!("watched-{number}"), "rate": 1, "burst": 1, "weight": 1 });
        let created = ctl.with_input(&["create", "-"], &json!({ "kind": "organisation", "spec": spec }));
        assert_eq!(created.code, Some(0), "{created:?}");
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        assert!(number < 200, "the watch does not end");
    }
    let output = CommandOutput::of(&watch.wait_with_output().expect("the command has ended"));

    assert_eq!(output.code, Some(0), "{output:?}");
    let changes: Vec<Value> = output
        .stdout
        .lines()
        .map(|it| serde_json::from_str(it).unwrap())
        .collect();
    assert!(changes.len() >= 2, "{changes:?}");
    let versions: Vec<u64> = changes
        .iter()
        .map(|it| it["object"]["version"].as_u64().expect("versions are numbers"))
        .collect();
    assert!(versions.is_sorted_by(|a, b| a < b), "{versions:?}");
    assert!(changes.iter().all(|it| it["change"] == "put"), "{changes:?}");
}

/// Guards against an edit, conflict or failure that an operator's command reports incorrectly or with a wrong exit
/// code.
#[tokio::test(flavor = "multi_thread")]
async fn objects_are_edited_by_version() {
    let fleet = Fleet::start(&FleetConfig::new(1, 1).object(model("mistral", "lookup"))).await;
    let ctl = Ctl::new(&fleet, 0);
    wait_for("the administration API is ready", async || {
        ctl.run(&["list", "models"]).code == Some(0)
    })
    .await;

    check_objects(&ctl);
    check_exit_codes(&ctl);
    check_watch(&ctl).await;
}

async fn check_keys(fleet: &Fleet, ctl: &Ctl) {
    let granted = ctl.json(&["grant", "bangor"]);
    let key = granted["key"].as_str().expect("the answer contains the key").to_owned();
    let id = granted["name"].as_str().expect("the key has a name");
    let bearer = format!("Bearer {key}");
    let body = completion("mistral", 1, false);
    let status = async || {
        let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
        let addr = fleet.vms[1].router_addr();
        fleet
            .call(addr, Method::POST, "/v1/completions", &headers, Some(&body))
            .await
            .status
    };
    wait_for("the key works", async || status().await == 200).await;
    let listed = ctl.run(&["list", "keys"]);
    let secret = key.rsplit('_').next().expect("a key has parts");
    assert!(
        !listed.stdout.contains(secret),
        "the list contains a secret: {listed:?}"
    );

    assert_eq!(ctl.run(&["withdraw", id]).code, Some(0));

    wait_for("the key no longer works", async || status().await == 401).await;
    assert_eq!(ctl.run(&["withdraw", "unknown"]).code, Some(3));
    assert_eq!(ctl.run(&["grant", "unknown"]).code, Some(5));
}

fn replicas(ctl: &Ctl) -> Vec<String> {
    let answer = ctl.json(&["explain", "--organisation", "bangor", "--model", "mistral"]);
    let replicas = answer["explanation"]["replicas"].as_array().into_iter().flatten();
    replicas
        .map(|it| it["server"].as_str().unwrap_or_default().to_owned())
        .collect()
}

async fn check_drain(fleet: &Fleet, ctl: &Ctl) {
    let [server] = replicas(ctl).try_into().expect("one replica is loaded");
    assert_eq!(ctl.run(&["drain", &server]).code, Some(0));
    assert_eq!(ctl.json(&["show", "servers", &server])["spec"]["draining"], true);
    wait_for("the drained server is no longer used", async || {
        !replicas(ctl).contains(&server)
    })
    .await;
    let answer = fleet
        .send_completion(0, "bangor", &completion("mistral", 1, false), &[])
        .await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(ctl.run(&["drain", "--undo", &server]).code, Some(0));
    assert_eq!(ctl.json(&["show", "servers", &server])["spec"]["draining"], false);
    assert_eq!(ctl.run(&["drain", "unknown"]).code, Some(3));
}

async fn check_status(ctl: &Ctl) {
    let created = ctl.with_input(&["create", "-", "--output", "json"], &json!([profile("seen", 1)]));
    let version = created.json()[0]["version"].as_u64().expect("versions are numbers");
    wait_for("the change is in force everywhere", async || {
        ctl.json(&["status"])["in_force_everywhere"] == true
    })
    .await;
    let status = ctl.json(&["status"]);
    assert_eq!(status["newest"][Kind::Profile.plural()], version);
    let members = status["members"].as_array().expect("members are listed");
    assert_eq!(members.len(), 6, "{status}");
    for member in members {
        let known = &member["status"]["newest"][Kind::Profile.plural()]["sequence"];
        assert_eq!(*known, version, "{member}");
    }
    let table = ctl.run(&["status"]);
    assert!(table.stdout.contains("vm-1/controller"), "{table:?}");
}

/// Guards against a member that does not answer and is reported as up to date.
async fn check_paused_member(fleet: &Fleet, ctl: &Ctl) {
    fleet.vms[1].controller.signal(libc::SIGSTOP);
    wait_for(
        "the status does not report the paused member as up to date",
        async || {
            let status = ctl.json(&["status"]);
            let members = status["members"].as_array().cloned().unwrap_or_default();
            let paused = members.iter().find(|it| it["member"] == "vm-1/controller");
            // The status omits a member that has been declared down.
            paused.is_none_or(|it| it["in_force"] == false && it["error"].is_string())
        },
    )
    .await;
    fleet.vms[1].controller.signal(libc::SIGCONT);
    wait_for("all members are up to date again", async || {
        let status = ctl.json(&["status"]);
        let members = status["members"].as_array().map_or(0, Vec::len);
        members == 6 && status["in_force_everywhere"] == true
    })
    .await;
}

fn check_timeline(ctl: &Ctl, request: &str) {
    let timeline = ctl.json(&["timeline", "--request", request]);
    let events = timeline["events"].as_array().expect("events are listed");
    let times: Vec<u64> = events.iter().filter_map(|it| it["wall_ms"].as_u64()).collect();
    assert!(times.is_sorted(), "{timeline}");
    // Request queued, replica decided, load ordered, replica ready, request sent, request finished.
    let positions: Vec<Option<usize>> = [1003, 2001, 2002, 2003, 1004, 1006]
        .iter()
        .map(|number| events.iter().position(|it| it["event"] == *number))
        .collect();
    assert!(positions.iter().all(Option::is_some), "{positions:?} {timeline}");
    assert!(positions.is_sorted(), "{positions:?} {timeline}");
    let members: Vec<&str> = events.iter().filter_map(|it| it["member"].as_str()).collect();
    assert!(members.iter().any(|it| it.ends_with("/router")), "{members:?}");
    assert!(members.iter().any(|it| it.ends_with("/controller")), "{members:?}");
    assert!(
        events
            .iter()
            .all(|it| it["request"].is_null() || it["request"] == request),
        "{timeline}"
    );
}

/// Checks that tables are readable: times of day in place of milliseconds, and no JSON in cells.
fn check_tables(ctl: &Ctl, request: &str) {
    let timeline = ctl.run(&["timeline", "--request", request]).stdout;
    let first = timeline.lines().nth(1).unwrap_or_default();
    assert!(first.contains("Z ") && first.contains(" +0 ms "), "{timeline}");
    assert!(timeline.contains(" E1006 "), "{timeline}");

    let explained = ctl.run(&["explain", "--organisation", "bangor", "--model", "mistral"]);
    assert!(!explained.stdout.contains('{'), "{explained:?}");
    let lines: Vec<&str> = explained.stdout.lines().map(str::trim).collect();
    let admitted = lines.iter().find(|it| it.starts_with("ADMITTED"));
    assert!(admitted.is_some_and(|it| it.ends_with("yes")), "{explained:?}");
    let replicas = lines.iter().position(|it| it.starts_with("REPLICA"));
    let replicas = replicas.map(|it| lines.len() - it - 1);
    assert_eq!(replicas, Some(1), "{explained:?}");
}

/// Guards against operators' commands that have no effect on the fleet, and against a timeline that is incomplete or
/// out of order.
#[tokio::test(flavor = "multi_thread")]
async fn operator_commands_work_on_a_running_fleet() {
    // The oversized model prevents loads ahead of demand, so that the first request is a cold start.
    let config = FleetConfig::new(2, 2)
        .object(model("mistral", "lookup"))
        .object(oversized_model("archive", "lookup"));
    let fleet = Fleet::start(&config).await;
    let ctl = Ctl::new(&fleet, 0);
    wait_for("the status contains all members", async || {
        let status = ctl.run(&["status", "--output", "json"]);
        status.code == Some(0) && status.json()["members"].as_array().is_some_and(|it| it.len() == 6)
    })
    .await;
    let cold = fleet
        .send_completion(0, "bangor", &completion("mistral", 2, false), &[])
        .await;
    assert_eq!(cold.status, 200, "{cold:?}");
    let request = cold.headers["x-request-id"].to_str().expect("the request id is text");

    check_timeline(&ctl, request);
    check_tables(&ctl, request);
    let of_model = ctl.json(&["timeline", "--model", "mistral"]);
    assert!(of_model["events"].as_array().is_some_and(|it| !it.is_empty()));
    let unknown = ctl.json(&["explain", "--organisation", "bangor", "--model", "unknown"]);
    assert_eq!(unknown["explanation"]["code"], "G1104", "{unknown}");
    let known = ctl.json(&["explain", "--organisation", "bangor", "--model", "mistral"]);
    assert_eq!(known["explanation"]["admitted"], true, "{known}");
    check_keys(&fleet, &ctl).await;
    check_drain(&fleet, &ctl).await;
    check_status(&ctl).await;
    let level = ctl.json(&["log-level", "vm-1", "router", "debug"]);
    assert_eq!((&level["level"], &level["previous"]), (&json!("debug"), &json!("warn")));
    assert_eq!(ctl.run(&["log-level", "vm-1", "router", "loud"]).code, Some(5));
    assert_eq!(ctl.run(&["log-level", "vm-9", "router", "debug"]).code, Some(3));
    check_paused_member(&fleet, &ctl).await;
}

/// Guards against an example configuration that the programs do not accept.
#[test]
fn examples_pass_the_check() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for name in ["welsh.json", "ecuador.json"] {
        let output = run("127.0.0.1:1", &["check", &format!("{examples}/{name}")], "");
        assert_eq!(output.code, Some(0), "{output:?}");
        assert!(output.stdout.contains("objects checked"), "{output:?}");
    }
    let invalid = run(
        "127.0.0.1:1",
        &["check", "-"],
        &json!([profile("", 1), profile("a b", 1)]).to_string(),
    );
    assert_eq!(invalid.code, Some(5), "{invalid:?}");
    assert!(
        invalid.stderr.lines().count() >= 2,
        "all errors must be reported at once: {invalid:?}"
    );
}

/// Guards against a program that reports invalid settings one at a time.
#[test]
fn programs_report_all_invalid_settings_at_once() {
    let common = [
        "--vm=a/b",
        "--zone=",
        "--gossip-addr=0.0.0.0:0",
        "--rpc-addr=0.0.0.0:0",
        "--health-addr=0.0.0.0:0",
        "--platform-addr=127.0.0.1:0",
        "--log-format=xml",
        "--balancer-notice-ms=600001",
        "--check",
    ];
    let program_args: [(&str, &[&str]); 3] = [
        ("guava-router", &["--pepper=short", "--worker-threads=0"]),
        ("guava-controller", &["--round-ms=0", "--loading-policy=none"]),
        ("guava-admin", &["--pepper=short", "--admin-token=short"]),
    ];
    for (program, args) in program_args {
        let output = Command::new(binary(program)).args(common).args(args).output();
        let output = CommandOutput::of(&output.expect("the program is built"));

        assert_eq!(output.code, Some(2), "{program}: {output:?}");
        let names = common.iter().take(8).chain(args);
        for name in names.filter_map(|it| it.split('=').next()) {
            assert!(
                output.stderr.contains(name),
                "{program} does not name {name}: {output:?}"
            );
        }
    }
}
