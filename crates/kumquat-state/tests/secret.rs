//! Tests of caller keys: they guard against keys that leak, that work for the wrong team or that can't be used.

use kumquat_state::bundle::{Bundle, CallerKey};
use kumquat_state::secret::{self, Key, Pepper};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 12;

fn pepper() -> Pepper {
    Pepper::new([7; 32])
}

fn keys(count: usize) -> Vec<Key> {
    println!("seed {SEED}");
    let mut random = StdRng::seed_from_u64(SEED);
    (0..count).map(|_| Key::generate(&mut random)).collect()
}

fn bundle(keys: &[Key]) -> Bundle {
    let caller_keys = keys
        .iter()
        .enumerate()
        .map(|(index, key)| CallerKey {
            digest: pepper().digest(key),
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

/// Guards against a key that finds another team's entry, and against unknown keys that find any.
#[test]
fn each_key_finds_its_own_entry() {
    let keys = keys(101);
    let bundle = bundle(&keys[..100]);
    for (index, key) in keys[..100].iter().enumerate() {
        let found = pepper().find(&bundle, &key.expose()).unwrap();
        assert_eq!(found.name.as_str(), format!("key-{index}"));
    }
    assert_eq!(pepper().find(&bundle, &keys[100].expose()), None);
    assert_eq!(pepper().find(&Bundle::default(), &keys[0].expose()), None);
}

/// Guards against digests that work without the deployment's own secret.
#[test]
fn another_pepper_finds_nothing() {
    let keys = keys(1);
    let other = Pepper::new([8; 32]);
    assert_eq!(other.find(&bundle(&keys), &keys[0].expose()), None);
}

/// Guards against second spellings of a key, which would survive its withdrawal in a cache.
#[test]
fn only_the_exact_text_is_a_key() {
    let keys = keys(1);
    let text = keys[0].expose();
    assert_eq!(text.len(), secret::TEXT_LENGTH_BYTES);
    assert!(text.starts_with(secret::PREFIX));
    assert_eq!(text.parse::<Key>().unwrap().expose(), text);
    for wrong in [
        String::new(),
        text.to_uppercase(),
        text[1..].to_owned(),
        format!("{text}0"),
        format!("{text} "),
        format!("kqp_{}", "é".repeat(32)),
    ] {
        assert!(wrong.parse::<Key>().is_err(), "{wrong:?} is accepted");
    }
}

/// Guards against secrets in logs.
#[test]
fn debug_and_errors_show_no_secret() {
    let keys = keys(1);
    let text = keys[0].expose();
    let shown = format!(
        "{:?} {:?} {}",
        keys[0],
        pepper(),
        text[..20].parse::<Key>().unwrap_err()
    );
    assert!(!shown.contains(&text[4..12]), "{shown}");
    assert!(!shown.contains("0707"), "{shown}");
}
