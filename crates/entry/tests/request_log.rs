//! Tests of the selection of log lines that explain a request.

use guava_entry::request_log::explain_request;

const LOGS: &str = "\
2026-08-28T08:10:41.437Z INFO E2010 vm=vm-1 request=- A backend server has ended. server=i-1 revision=9
2026-08-28T08:10:42.000Z INFO E2010 vm=vm-1 request=- A backend server has ended. server=i-2 revision=10
  12.5 vm-2 2026-08-28T08:10:42.300Z DEBUG E1004 vm=vm-2 request=a1 A request was sent to a backend server. server=i-1 left_ms=900
2026-08-28T08:10:42.100Z DEBUG E1003 vm=vm-2 request=a1 A request waits for a replica. model=m1 adapter=- left_ms=990
2026-08-28T08:10:42.200Z INFO E2014 vm=vm-1 request=- An order was sent to a model engine. server=i-7 kind=Load model=m1
2026-08-28T08:10:42.350Z DEBUG E1004 vm=vm-2 request=a2 A request was sent to a backend server. server=i-1
2026-08-28T08:10:42.400Z WARN E1007 vm=vm-2 request=a1 A request failed after it was sent. server=i-1 why=reset
2026-08-28T08:10:50.000Z INFO E2010 vm=vm-1 request=- A backend server has ended. server=i-1 revision=20
not a line of ours
";

/// Guards against a result that lacks the changes of the view that affected a request, is out of order, or contains
/// lines of other requests.
#[test]
fn a_request_is_explained_with_related_view_changes() {
    let lines = explain_request(LOGS.lines(), "a1");

    let events: Vec<&str> = lines.iter().filter_map(|it| it.split(' ').nth(2)).collect();
    assert_eq!(events, ["E2010", "E1003", "E2014", "E1004", "E1007"], "{lines:#?}");
    assert!(lines[0].contains("server=i-1"));
}

/// Guards against an unknown id that yields the lines of another request.
#[test]
fn an_unknown_request_has_no_lines() {
    assert!(explain_request(LOGS.lines(), "a9").is_empty());
}
