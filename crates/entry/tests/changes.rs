//! Numbered changes for followers.

use guava_entry::changes::Numbered;

/// More removals than are kept for followers.
const MANY: usize = 300;

fn numbered(ids: &[&str]) -> Numbered<u32> {
    let mut numbered = Numbered::default();
    for id in ids {
        numbered.put(id, 1, true);
    }
    numbered
}

/// Guards against a feed that grows with all entries when one changes.
#[test]
fn a_follower_gets_only_what_it_lacks() {
    let mut numbered = numbered(&["a", "b", "c"]);
    let known = numbered.last();

    numbered.put("b", 2, true);
    numbered.put("c", 3, false);
    numbered.remove("a");
    let changes = numbered.since(Some(known), |it| *it);

    assert!(!changes.is_whole);
    assert_eq!((changes.present, changes.gone), (vec![2], vec!["a".to_owned()]));
    assert!(numbered.since(Some(changes.change), |it| *it).present.is_empty());
    assert_eq!(numbered.get("c"), Some(&3), "it is kept, though nobody is told");
}

/// Guards against a follower that keeps entries whose removal is forgotten.
#[test]
fn a_follower_that_lacks_too_much_gets_everything() {
    let mut numbered = numbered(&["a"]);
    let known = numbered.last();
    for at in 0..MANY {
        let id = format!("gone-{at}");
        numbered.put(&id, 1, true);
        numbered.remove(&id);
    }

    assert!(numbered.since(Some(known), |it| *it).is_whole);
    assert!(numbered.since(None, |it| *it).is_whole);
}
