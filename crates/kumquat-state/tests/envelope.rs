//! Tests of signed bundles: a bundle must not be accepted unless enough trusted operators have signed it.

use kumquat_state::bundle::envelope::{
    Envelope, Error, PublicKey, SIGNATURE_LIMIT, SigningKey, TrustList,
};
use kumquat_state::bundle::parse;
use kumquat_state::ident::{Operation, Version};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A small valid bundle.
const BUNDLE_TEXT: &str = include_str!("fixtures/bundle.ini");

const SEED: u64 = 31;

fn test_keys() -> [SigningKey; 3] {
    let mut rng = StdRng::seed_from_u64(SEED);
    ["asha", "bruno", "chitra"].map(|name| SigningKey::generate(name.parse().unwrap(), &mut rng))
}

fn trust_list(threshold: usize) -> TrustList {
    let [asha, bruno, _] = test_keys();
    TrustList::new(vec![bruno.public(), asha.public()], threshold).unwrap()
}

fn signed_envelope(signers: &[SigningKey]) -> Envelope {
    let mut envelope = Envelope {
        version: Version(3),
        previous: Version(2),
        text: BUNDLE_TEXT.to_owned(),
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

/// Guards against signatures that become invalid when the envelope is stored.
#[test]
fn encoded_envelope_verifies_after_decoding() {
    let [asha, bruno, _] = test_keys();
    let stored = signed_envelope(&[asha, bruno]).encode().unwrap();
    let opened = Envelope::decode(&stored)
        .unwrap()
        .verify_and_parse(&trust_list(2));
    assert_eq!(opened, Ok(parse(BUNDLE_TEXT).unwrap()));
}

/// Guards against counting a signer twice, and against counting signers that are not trusted.
#[test]
fn only_distinct_trusted_signers_count() {
    let [asha, bruno, chitra] = test_keys();
    let too_few = Err(Error::TooFewSignatures {
        valid: 1,
        needed: 2,
    });
    let mut envelope_with_duplicate = signed_envelope(&[asha]);
    envelope_with_duplicate
        .signatures
        .push(envelope_with_duplicate.signatures[0].clone());
    assert_eq!(envelope_with_duplicate.verify(&trust_list(2)), too_few);
    assert_eq!(envelope_with_duplicate.verify(&trust_list(1)), Ok(()));

    // A signature by an untrusted key under a trusted name.
    envelope_with_duplicate.sign(&chitra);
    envelope_with_duplicate.signatures[2].signer = "bruno".parse().unwrap();
    assert_eq!(envelope_with_duplicate.verify(&trust_list(2)), too_few);

    assert_eq!(
        signed_envelope(&[bruno, chitra]).verify(&trust_list(2)),
        too_few
    );
}

/// Guards against fields that can be modified after signing.
#[test]
fn every_field_is_signed() {
    let [asha, ..] = test_keys();
    let signed = signed_envelope(&[asha]);
    let changes: [fn(&mut Envelope); 7] = [
        |envelope| envelope.version.0 += 1,
        |envelope| envelope.previous.0 -= 1,
        |envelope| envelope.text.push(' '),
        |envelope| envelope.author = "bruno".parse().unwrap(),
        |envelope| envelope.reason.clear(),
        |envelope| envelope.operation.0 -= 1,
        // Moves a character from a field to the one before it.
        |envelope| {
            envelope.text.push('a');
            envelope.author = "sha".parse().unwrap();
        },
    ];
    for (index, change) in changes.iter().enumerate() {
        let mut copy = signed.clone();
        change(&mut copy);
        assert!(
            matches!(
                copy.verify_and_parse(&trust_list(1)),
                Err(Error::TooFewSignatures { valid: 0, .. })
            ),
            "change {index}"
        );
    }
}

/// Guards against signed bundles that skip or repeat a version.
#[test]
fn inconsistent_versions_are_rejected() {
    for (version, previous) in [(3, 1), (4, 3), (3, 3), (0, u64::MAX)] {
        let [asha, ..] = test_keys();
        let mut envelope = signed_envelope(&[]);
        envelope.version = Version(version);
        envelope.previous = Version(previous);
        envelope.sign(&asha);
        assert!(
            matches!(
                envelope.verify_and_parse(&trust_list(1)),
                Err(Error::VersionMismatch { .. })
            ),
            "{version} after {previous}"
        );
    }
}

/// Guards against trust lists that count one person twice or whose threshold can't be reached.
#[test]
fn invalid_trust_lists_are_rejected() {
    let [asha, bruno, _] = test_keys();
    let same_key = asha.public().to_string().replace("asha", "anna");
    let cases = [
        (vec![asha.public()], 0),
        (vec![asha.public()], 2),
        (vec![asha.public(), asha.public()], 1),
        (vec![asha.public(), same_key.parse().unwrap()], 1),
        (vec![], 0),
    ];
    for (index, (keys, threshold)) in cases.into_iter().enumerate() {
        let result = TrustList::new(keys, threshold);
        assert!(
            matches!(result, Err(Error::InvalidTrust(_))),
            "case {index}"
        );
    }
    assert_eq!(
        TrustList::new(vec![bruno.public()], 1).unwrap().threshold(),
        1
    );
}

/// Guards against keys that change in a text round trip, and against private keys in errors and debug output.
#[test]
fn key_files_round_trip_and_errors_contain_no_secret() {
    let [asha, ..] = test_keys();
    let text = asha.expose();
    let restored: SigningKey = text.parse().unwrap();
    assert_eq!(restored.public(), asha.public());
    assert_eq!(asha.public().to_string().parse(), Ok(asha.public()));
    let hex = text.split_whitespace().nth(2).unwrap();
    let malformed_texts = [&text.replace("v1", "v2"), &text[..60], &format!("{text} x")];
    for malformed in malformed_texts {
        let error = malformed.parse::<SigningKey>().unwrap_err();
        assert!(!error.to_string().contains(&hex[..8]));
        assert!(matches!(
            malformed.parse::<PublicKey>(),
            Err(Error::InvalidKey(_))
        ));
    }
    assert!(!format!("{asha:?}").contains(&hex[..8]));
}

/// Guards against envelopes whose verification takes unbounded time.
#[test]
fn too_many_signatures_are_rejected() {
    let [asha, ..] = test_keys();
    let mut oversized = signed_envelope(&[asha]);
    oversized.signatures = vec![oversized.signatures[0].clone(); SIGNATURE_LIMIT + 1];
    assert!(matches!(
        oversized.verify(&trust_list(1)),
        Err(Error::TooLong { .. })
    ));
    assert!(matches!(oversized.encode(), Err(Error::TooLong { .. })));
}

/// Guards against panics on malformed bytes, and against modified envelopes that verify with a different text.
#[test]
fn arbitrary_and_mutated_envelopes_yield_no_other_text() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn rejects_arbitrary_bytes(bytes: Vec<u8>) -> bool {
        Envelope::decode(&bytes).is_err()
    }
    fn never_verifies_other_text(position: usize, value: u8, truncation: usize) -> bool {
        let [asha, ..] = test_keys();
        let original = signed_envelope(&[asha]);
        let mut bytes = original.encode().unwrap();
        let length = bytes.len();
        bytes[position % length] = value;
        bytes.truncate(length - truncation % 3);
        Envelope::decode(&bytes)
            .and_then(|envelope| envelope.verify(&trust_list(1)).map(|()| envelope))
            .map_or(true, |envelope| envelope.text == original.text)
    }
    println!("seed {SEED}");
    let runner = |tests| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(2_000, SEED))
            .tests(tests)
    };
    runner(2_000).quickcheck(rejects_arbitrary_bytes as fn(Vec<u8>) -> bool);
    runner(1_000).quickcheck(never_verifies_other_text as fn(usize, u8, usize) -> bool);
}
