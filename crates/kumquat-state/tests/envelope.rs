//! Tests of signed bundles: they guard against bundles in force that too few trusted operators have signed.

use kumquat_state::bundle::envelope::{
    Envelope, Error, PublicKey, SIGNATURE_LIMIT, SigningKey, Trust,
};
use kumquat_state::bundle::parse;
use kumquat_state::ident::{Operation, Version};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A small bundle text without problems.
const TEXT: &str = include_str!("fixtures/bundle.ini");

const SEED: u64 = 31;

fn keys() -> [SigningKey; 3] {
    let mut random = StdRng::seed_from_u64(SEED);
    ["asha", "bruno", "chitra"].map(|name| SigningKey::generate(name.parse().unwrap(), &mut random))
}

fn trust(threshold: usize) -> Trust {
    let [asha, bruno, _] = keys();
    Trust::new(vec![bruno.public(), asha.public()], threshold).unwrap()
}

fn envelope(signers: &[SigningKey]) -> Envelope {
    let mut envelope = Envelope {
        version: Version(3),
        previous: Version(2),
        text: TEXT.to_owned(),
        author: "asha".parse().unwrap(),
        reason: "raise the rate of pilots".to_owned(),
        operation: Operation(u128::MAX - 5),
        signatures: Vec::new(),
    };
    for key in signers {
        envelope.sign(key);
    }
    envelope
}

/// Guards against signatures that don't survive storage.
#[test]
fn a_stored_envelope_opens() {
    let [asha, bruno, _] = keys();
    let stored = envelope(&[asha, bruno]).encode().unwrap();
    let opened = Envelope::decode(&stored).unwrap().open(&trust(2));
    assert_eq!(opened, Ok(parse(TEXT).unwrap()));
}

/// Guards against one signer who counts twice, and against strangers who count at all.
#[test]
fn only_distinct_trusted_signers_count() {
    let [asha, bruno, chitra] = keys();
    let few = Err(Error::Threshold {
        valid: 1,
        needed: 2,
    });
    let mut twice = envelope(&[asha]);
    twice.signatures.push(twice.signatures[0].clone());
    assert_eq!(twice.verify(&trust(2)), few);
    assert_eq!(twice.verify(&trust(1)), Ok(()));

    // A stranger's signature under a trusted name.
    twice.sign(&chitra);
    twice.signatures[2].signer = "bruno".parse().unwrap();
    assert_eq!(twice.verify(&trust(2)), few);

    assert_eq!(envelope(&[bruno, chitra]).verify(&trust(2)), few);
}

/// Guards against fields that can be changed after signing.
#[test]
fn every_field_is_signed() {
    let [asha, ..] = keys();
    let signed = envelope(&[asha]);
    let changes: [fn(&mut Envelope); 7] = [
        |envelope| envelope.version.0 += 1,
        |envelope| envelope.previous.0 -= 1,
        |envelope| envelope.text.push(' '),
        |envelope| envelope.author = "bruno".parse().unwrap(),
        |envelope| envelope.reason.clear(),
        |envelope| envelope.operation.0 -= 1,
        // Moves a character from one field to the next.
        |envelope| {
            envelope.text.push('a');
            envelope.author = "sha".parse().unwrap();
        },
    ];
    for (index, change) in changes.iter().enumerate() {
        let mut copy = signed.clone();
        change(&mut copy);
        assert!(
            matches!(copy.open(&trust(1)), Err(Error::Threshold { valid: 0, .. })),
            "change {index}"
        );
    }
}

/// Guards against a signed bundle that skips or repeats a version.
#[test]
fn versions_have_to_agree() {
    for (version, previous) in [(3, 1), (4, 3), (3, 3), (0, u64::MAX)] {
        let [asha, ..] = keys();
        let mut envelope = envelope(&[]);
        envelope.version = Version(version);
        envelope.previous = Version(previous);
        envelope.sign(&asha);
        assert!(
            matches!(envelope.open(&trust(1)), Err(Error::Version { .. })),
            "{version} after {previous}"
        );
    }
}

/// Guards against trust lists that count one person twice or can never be met.
#[test]
fn faulty_trust_lists_are_refused() {
    let [asha, bruno, _] = keys();
    let same_key = asha.public().to_string().replace("asha", "anna");
    let cases = [
        (vec![asha.public()], 0),
        (vec![asha.public()], 2),
        (vec![asha.public(), asha.public()], 1),
        (vec![asha.public(), same_key.parse().unwrap()], 1),
        (vec![], 0),
    ];
    for (index, (keys, threshold)) in cases.into_iter().enumerate() {
        let result = Trust::new(keys, threshold);
        assert!(matches!(result, Err(Error::Trust(_))), "case {index}");
    }
    assert_eq!(Trust::new(vec![bruno.public()], 1).unwrap().threshold(), 1);
}

/// Guards against key files that are lost on the way, and against private keys in logs.
#[test]
fn keys_have_a_text_form() {
    let [asha, ..] = keys();
    let text = asha.expose();
    let restored: SigningKey = text.parse().unwrap();
    assert_eq!(restored.public(), asha.public());
    assert_eq!(asha.public().to_string().parse(), Ok(asha.public()));
    let hex = text.split_whitespace().nth(2).unwrap();
    let wrong = [&text.replace("v1", "v2"), &text[..60], &format!("{text} x")];
    for wrong in wrong {
        let error = wrong.parse::<SigningKey>().unwrap_err();
        assert!(!error.to_string().contains(&hex[..8]));
        assert!(matches!(wrong.parse::<PublicKey>(), Err(Error::Key(_))));
    }
    assert!(!format!("{asha:?}").contains(&hex[..8]));
}

/// Guards against envelopes that take unbounded work to verify.
#[test]
fn limits_are_checked() {
    let [asha, ..] = keys();
    let mut many = envelope(&[asha]);
    many.signatures = vec![many.signatures[0].clone(); SIGNATURE_LIMIT + 1];
    assert!(matches!(many.verify(&trust(1)), Err(Error::TooLong { .. })));
    assert!(matches!(many.encode(), Err(Error::TooLong { .. })));
}

/// Guards against panics on hostile bytes, and against any altered byte that still verifies with other content.
#[test]
fn arbitrary_and_mutated_bytes_give_errors() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn arbitrary(bytes: Vec<u8>) -> bool {
        Envelope::decode(&bytes).is_err()
    }
    fn mutated(place: usize, value: u8, cut: usize) -> bool {
        let [asha, ..] = keys();
        let original = envelope(&[asha]);
        let mut bytes = original.encode().unwrap();
        let length = bytes.len();
        bytes[place % length] = value;
        bytes.truncate(length - cut % 3);
        Envelope::decode(&bytes)
            .and_then(|envelope| envelope.verify(&trust(1)).map(|()| envelope))
            .map_or(true, |envelope| envelope.text == original.text)
    }
    println!("seed {SEED}");
    let runs = |tests| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(2_000, SEED))
            .tests(tests)
    };
    runs(2_000).quickcheck(arbitrary as fn(Vec<u8>) -> bool);
    runs(1_000).quickcheck(mutated as fn(usize, u8, usize) -> bool);
}
