//! Beliefs about servers: lapsed entries, and changes for followers.

use guava_core::units::Millis;
use guava_entry::changes::Changes;
use guava_entry::cluster_view::{ClusterView, LAPSE_GRACE_MS};
use guava_fleet::model::{BackendServer, HeldModel, ServerState};
use guava_fleet::placement::Placed;

fn server(id: &str, state: ServerState) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        service: "advice".to_owned(),
        address: ([127, 0, 0, 1], 8_000).into(),
        zone: "caerdydd".to_owned(),
        slots: 64,
        state,
        born_ms: 1,
        leaves_in_ms: None,
        held: vec![held("m1")],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn held(name: &str) -> HeldModel {
    HeldModel {
        name: name.to_owned(),
        adapters: Vec::new(),
    }
}

/// All that engines hold, as a coordinator tells it at the start of its term.
fn whole(present: Vec<Placed>) -> Changes<Placed> {
    Changes {
        change: 0,
        is_whole: true,
        present,
        gone: Vec::new(),
    }
}

fn ids(believed: &ClusterView) -> Vec<String> {
    let mut ids: Vec<String> = believed.servers().map(|it| it.id.clone()).collect();
    ids.sort();
    ids
}

/// Guards against live servers that are dropped because their entries lapsed while the store was away.
#[test]
fn lapsed_entries_are_kept_for_a_moment_after_the_stores_return() {
    let mut believed = ClusterView::default();
    believed.note_store_contact(Millis(1_000));
    believed.put_list(
        vec![server("a", ServerState::Ready), server("b", ServerState::Ready)],
        1,
        Millis(1_000),
    );

    let was_away = believed.note_store_contact(Millis(6_000));
    believed.put_list(Vec::new(), 2, Millis(6_000));
    believed.put_server(server("a", ServerState::Ready));
    let kept = ids(&believed);
    believed.drop_lapsed(Millis(6_000 + LAPSE_GRACE_MS));

    assert!(was_away);
    assert_eq!(kept, ["a", "b"]);
    assert_eq!(ids(&believed), ["a"]);
}

/// Guards against a server that left while the store was well and goes on to get requests.
#[test]
fn a_removed_entry_counts_at_once_while_the_store_is_well() {
    let mut believed = ClusterView::default();
    believed.note_store_contact(Millis(1_000));
    believed.put_list(vec![server("a", ServerState::Ready)], 1, Millis(1_000));
    believed.note_store_contact(Millis(1_500));

    assert!(believed.drop_server("a", Millis(1_500)));
    assert_eq!(ids(&believed), Vec::<String>::new());
}

/// Guards against a follower that misses a change, gets one again, or is told what it need not know.
#[test]
fn followers_get_each_change_once() {
    let mut believed = ClusterView::default();
    believed.put_list(
        vec![server("a", ServerState::Ready), server("b", ServerState::Ready)],
        1,
        Millis(0),
    );
    let whole = believed.changes_since(None);

    let mut other_models = server("a", ServerState::Ready);
    other_models.held = vec![held("m2")];
    let is_told = believed.put_server(other_models);
    believed.put_server(server("b", ServerState::Draining));
    believed.drop_server("a", Millis(10));
    let changes = believed.changes_since(Some(whole.change));
    let none = believed.changes_since(Some(changes.change));

    assert!(whole.is_whole && whole.present.len() == 2);
    assert!(!is_told, "what an engine holds is the placement's to tell");
    assert!(!changes.is_whole);
    assert_eq!(
        changes.present.iter().map(|it| it.id.as_str()).collect::<Vec<_>>(),
        ["b"]
    );
    assert_eq!(changes.gone, ["a"]);
    assert!(none.present.is_empty() && none.gone.is_empty());
}

/// Guards against a placement that goes to each follower whole whenever one engine changes.
#[test]
fn followers_get_the_engines_that_changed() {
    let placed = |server: &str, model: &str| Placed {
        server: server.to_owned(),
        born_ms: 1,
        held: vec![held(model)],
    };
    let mut believed = ClusterView::default();
    believed.put_placement((1, 1), whole(vec![placed("a", "m1"), placed("b", "m1")]), Millis(0));
    let known = believed.placed_change();

    believed.put_placement((1, 2), whole(vec![placed("a", "m1"), placed("b", "m2")]), Millis(20));
    let changes = believed.placed_since(Some(known));
    believed.put_placement((1, 3), whole(vec![placed("b", "m2")]), Millis(40));
    let without = believed.placed_since(Some(changes.change));

    assert_eq!(changes.present, [placed("b", "m2")]);
    assert_eq!((without.present.len(), without.gone), (0, vec!["a".to_owned()]));
    assert!(believed.placed_since(None).is_whole);
}

/// Guards against a placement of an earlier life of a server, and against one that is out of date.
#[test]
fn the_placement_goes_before_the_entry_while_it_is_fresh() {
    let mut believed = ClusterView::default();
    let entry = server("a", ServerState::Ready);
    believed.put_server(entry.clone());
    let placed = Placed {
        server: "a".to_owned(),
        born_ms: 1,
        held: vec![held("m2")],
    };

    believed.put_placement((1, 1), whole(vec![placed]), Millis(0));
    let mut reborn = entry.clone();
    reborn.born_ms = 2;

    assert!(!believed.holds(&entry, "m1", None, Millis(100)) && believed.holds(&entry, "m2", None, Millis(100)));
    assert!(believed.holds(&reborn, "m1", None, Millis(100)) && !believed.holds(&reborn, "m2", None, Millis(100)));
    assert!(believed.holds(&entry, "m1", None, Millis(60_000)));
}

/// Guards against a process that goes on from a revision whose changes it does not know or has not put in force: a server
/// that is gone would get requests for as long as the process runs.
#[test]
fn a_revision_is_complete_only_when_all_changes_are_in_force() {
    let mut believed = ClusterView::default();
    believed.note_store_contact(Millis(1_000));
    believed.note_complete(7);
    let without_servers = believed.complete_to();
    believed.put_list(vec![server("a", ServerState::Ready)], 7, Millis(1_000));
    let listed = believed.complete_to();

    believed.note_store_contact(Millis(6_000));
    believed.drop_server("a", Millis(6_000));
    believed.note_complete(9);
    let lapsed = believed.complete_to();
    believed.drop_lapsed(Millis(6_000 + LAPSE_GRACE_MS));

    assert_eq!((without_servers, listed, lapsed), (0, 7, 0));
    assert_eq!(believed.complete_to(), 9);
}

/// Guards against lists of servers that grow with every copy of weights on every engine, which followers never use.
#[test]
fn followers_are_told_no_copies() {
    let mut believed = ClusterView::default();
    let mut told = server("a", ServerState::Ready);
    told.on_disk = vec!["m2".to_owned()];
    told.in_memory = vec!["m3".to_owned()];
    believed.put_list(vec![told], 1, Millis(1_000));

    let changes = believed.changes_since(None);

    assert_eq!(changes.present, [server("a", ServerState::Ready)]);
}
