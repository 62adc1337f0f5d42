//! Tests of numbered changes for followers.

use guava_entry::changes::VersionedMap;

/// More removals than are kept for followers.
const MANY: usize = 300;

fn map_with(ids: &[&str]) -> VersionedMap<u32> {
    let mut map = VersionedMap::default();
    for id in ids {
        map.put(id, 1, true);
    }
    map
}

/// Guards against a feed that sends all entries when one has changed.
#[test]
fn a_follower_receives_only_the_changes_it_lacks() {
    let mut map = map_with(&["a", "b", "c"]);
    let known = map.last_change();

    map.put("b", 2, true);
    map.put("c", 3, false);
    map.remove("a");
    let changes = map.changes_since(Some(known), |it| *it);

    assert!(!changes.is_whole);
    assert_eq!((changes.present, changes.gone), (vec![2], vec!["a".to_owned()]));
    assert!(map.changes_since(Some(changes.change), |it| *it).present.is_empty());
    assert_eq!(
        map.get("c"),
        Some(&3),
        "the value is stored although followers do not receive it"
    );
}

/// Guards against a follower that keeps removed entries because their removal is no longer recorded.
#[test]
fn a_follower_too_far_behind_receives_everything() {
    let mut map = map_with(&["a"]);
    let known = map.last_change();
    for at in 0..MANY {
        let id = format!("gone-{at}");
        map.put(&id, 1, true);
        map.remove(&id);
    }

    assert!(map.changes_since(Some(known), |it| *it).is_whole);
    assert!(map.changes_since(None, |it| *it).is_whole);
}
