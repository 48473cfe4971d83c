//! Tests of caller keys: lookup by digest, the text form, and secrets in debug output and errors.

use kumquat_state::bundle::{Bundle, CallerKey};
use kumquat_state::secret::{self, Key, Pepper};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 12;

fn test_pepper() -> Pepper {
    Pepper::new([7; 32])
}

fn generate_keys(count: usize) -> Vec<Key> {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    (0..count).map(|_| Key::generate(&mut rng)).collect()
}

fn bundle_with(keys: &[Key]) -> Bundle {
    let caller_keys = keys
        .iter()
        .enumerate()
        .map(|(index, key)| CallerKey {
            digest: test_pepper().digest(key),
            name: format!("key-{index}").parse().unwrap(),
            team: format!("team-{index}").parse().unwrap(),
        })
        .collect();
    let mut bundle = Bundle {
        caller_keys,
        ..Bundle::default()
    };
    bundle.sort();
    bundle
}

/// Guards against a key that authenticates as another team, and against unknown keys that authenticate at all.
#[test]
fn find_returns_the_entry_of_known_keys_only() {
    let keys = generate_keys(101);
    let bundle = bundle_with(&keys[..100]);
    for (index, key) in keys[..100].iter().enumerate() {
        let found = test_pepper().find(&bundle, &key.expose()).unwrap();
        assert_eq!(found.name.as_str(), format!("key-{index}"));
    }
    assert_eq!(test_pepper().find(&bundle, &keys[100].expose()), None);
    assert_eq!(
        test_pepper().find(&Bundle::default(), &keys[0].expose()),
        None
    );
}

/// Guards against digests that can be matched without the secret of the deployment.
#[test]
fn find_with_another_pepper_returns_none() {
    let keys = generate_keys(1);
    let other = Pepper::new([8; 32]);
    assert_eq!(other.find(&bundle_with(&keys), &keys[0].expose()), None);
}

/// Guards against alternative spellings of a key, which could stay valid in a cache after the key was withdrawn.
#[test]
fn only_the_canonical_text_parses() {
    let keys = generate_keys(1);
    let text = keys[0].expose();
    assert_eq!(text.len(), secret::TEXT_LENGTH_BYTES);
    assert!(text.starts_with(secret::PREFIX));
    assert_eq!(text.parse::<Key>().unwrap().expose(), text);
    for malformed in [
        String::new(),
        text.to_uppercase(),
        text[1..].to_owned(),
        format!("{text}0"),
        format!("{text} "),
        format!("kqp_{}", "é".repeat(32)),
    ] {
        assert!(
            malformed.parse::<Key>().is_err(),
            "{malformed:?} is accepted"
        );
    }
}

/// Guards against secrets that reach logs through debug output or error messages.
#[test]
fn debug_and_errors_contain_no_secret() {
    let keys = generate_keys(1);
    let text = keys[0].expose();
    let output = format!(
        "{:?} {:?} {}",
        keys[0],
        test_pepper(),
        text[..20].parse::<Key>().unwrap_err()
    );
    assert!(!output.contains(&text[4..12]), "{output}");
    assert!(!output.contains("0707"), "{output}");
}
