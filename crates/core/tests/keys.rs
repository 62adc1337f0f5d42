//! Parsing, hashing and matching of callers' keys.

use guava_core::keys::{KeyError, KeyHasher, PresentedKey, new_key};
use proptest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;

/// Guards against accepting a key whose id or secret belongs to another key, and against secrets in debug output.
#[test]
fn only_the_same_id_and_secret_match() {
    let hasher = KeyHasher::new(b"pepper of the test");
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let first = new_key(&hasher, "k1", &"repairs".into(), &mut rng);
    let second = new_key(&hasher, "k2", &"repairs".into(), &mut rng);
    let other_pepper = KeyHasher::new(b"another pepper!!");
    let presented = PresentedKey::parse(&first.text).expect("a key");

    assert!(hasher.matches(&presented, &first.key));
    assert!(!hasher.matches(&presented, &second.key));
    assert!(!other_pepper.matches(&presented, &first.key));
    let secret = first.text.rsplit('_').next().expect("a secret");
    assert!(!format!("{presented:?} {hasher:?}").contains(secret));
    assert!(!first.key.hash.contains(secret));
}

/// Guards against accepting text that is not a key.
#[rstest]
#[case("")]
#[case("gv_")]
#[case("gv_k1")]
#[case("gv_k1_")]
#[case("gv__secret")]
#[case("sk_k1_secret")]
#[case("gv_k1_sec ret")]
#[case("gv_k1_sec_ret")]
#[case("gv_k\u{e9}_secret")]
fn malformed_keys_are_rejected(#[case] text: &str) {
    assert_eq!(PresentedKey::parse(text), Err(KeyError::Malformed));
}

proptest! {
    /// Guards against a panic on arbitrary text from callers.
    #[test]
    fn any_text_can_be_parsed(text in "\\PC{0,80}") {
        let _ = PresentedKey::parse(&text);
        let _ = PresentedKey::parse(&format!("gv_{text}"));
    }
}
