//! Guards the framing and the handshake: a peer without the secret, an altered or replayed frame, or arbitrary bytes must
//! lead to an error, never to a message or a panic.

use bytes::Bytes;
use kumquat_protocol::Error;
use kumquat_protocol::frame::{LIMIT, Opener, Sealer};
use kumquat_protocol::handshake::{self, Identity, Initiator, Program, Secret, Session};
use kumquat_protocol::wire::{Body, Cancel, Message};
use kumquat_state::ident::Incarnation;
use quickcheck::{QuickCheck, TestResult};

fn identity(vm: &str) -> Identity {
    Identity {
        vm: vm.parse().expect("a valid name"),
        incarnation: Incarnation(7),
        program: Program::Dispatch,
        data_centre: "a".parse().expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("a valid address"),
    }
}

fn connect(nonce: u8) -> (Session, Session) {
    let secret = Secret::new([9; 32]);
    let (initiator, hello) =
        Initiator::start(&secret, &identity("vm-1"), [nonce; 16]).expect("hello");
    let (verifying, answer) =
        handshake::respond(&secret, &identity("vm-2"), [nonce + 1; 16], &hello).expect("answer");
    let (proving, proof) = initiator.prove(&answer).expect("proof");
    let (accepted, answer) = verifying.finish(&proof).expect("verified");
    (proving.finish(&answer).expect("verified"), accepted)
}

fn ends(nonce: u8) -> (Sealer, Opener) {
    let (connecting, accepting) = connect(nonce);
    (connecting.sealer, accepting.opener)
}

fn message(stream: u64) -> Message {
    Message::Cancel(Cancel { stream })
}

/// Guards against two sides that derive different keys or identities.
#[test]
fn both_sides_agree() {
    let (mut connecting, mut accepting) = connect(1);

    let there = connecting.sealer.seal(&message(1)).expect("sealed");
    let back = accepting.sealer.seal(&message(2)).expect("sealed");

    assert_eq!(accepting.opener.open(&there).expect("opened"), message(1));
    assert_eq!(connecting.opener.open(&back).expect("opened"), message(2));
    assert_eq!(connecting.peer, identity("vm-2"));
    assert_eq!(accepting.peer, identity("vm-1"));
}

/// Guards against a frame that is taken twice or out of order.
#[test]
fn replayed_frame_is_rejected() {
    let (mut sealer, mut opener) = ends(1);
    let first = sealer.seal(&message(1)).expect("sealed");
    opener.open(&first).expect("opened");

    let replayed = opener.open(&first);

    assert!(matches!(replayed, Err(Error::Authentication(_))));
}

/// Guards against a frame of one connection that is taken on another one.
#[test]
fn frame_of_another_connection_is_rejected() {
    let (mut sealer, _) = ends(1);
    let (_, mut opener) = ends(3);
    let frame = sealer.seal(&message(1)).expect("sealed");

    let moved = opener.open(&frame);

    assert!(matches!(moved, Err(Error::Authentication(_))));
}

/// Guards against a frame that is sent back to its sender.
#[test]
fn reflected_frame_is_rejected() {
    let (mut connecting, _) = connect(1);
    let frame = connecting.sealer.seal(&message(1)).expect("sealed");

    let reflected = connecting.opener.open(&frame);

    assert!(matches!(reflected, Err(Error::Authentication(_))));
}

/// Guards against a peer that does not know the cell's secret.
#[test]
fn peer_without_the_secret_is_rejected() {
    let (initiator, hello) =
        Initiator::start(&Secret::new([1; 32]), &identity("vm-1"), [1; 16]).expect("hello");
    let (verifying, answer) =
        handshake::respond(&Secret::new([2; 32]), &identity("vm-2"), [2; 16], &hello)
            .expect("answer");
    let (_, proof) = initiator.prove(&answer).expect("proof");

    let result = verifying.finish(&proof);

    assert!(matches!(result, Err(Error::Authentication(_))));
}

/// Guards against the proof of an old connection that is used for a new one.
#[test]
fn proof_of_another_connection_is_rejected() {
    let secret = Secret::new([9; 32]);
    let begin = |nonce: u8| {
        let (initiator, hello) =
            Initiator::start(&secret, &identity("vm-1"), [nonce; 16]).expect("hello");
        let (verifying, answer) =
            handshake::respond(&secret, &identity("vm-2"), [nonce + 1; 16], &hello)
                .expect("answer");
        (initiator.prove(&answer).expect("proof").1, verifying)
    };
    let (old_proof, _) = begin(1);
    let (_, verifying) = begin(5);

    let result = verifying.finish(&old_proof);

    assert!(matches!(result, Err(Error::Authentication(_))));
}

/// Guards against a peer of another version that is taken for one of ours.
#[test]
fn other_version_is_refused_by_name() {
    #[derive(serde::Serialize)]
    struct Hello {
        version: u16,
        identity: Identity,
        nonce: [u8; 16],
    }
    let hello = Hello {
        version: handshake::VERSION + 1,
        identity: identity("vm-1"),
        nonce: [0; 16],
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&hello, &mut bytes).expect("encoded");

    let result = handshake::respond(&Secret::new([9; 32]), &identity("vm-2"), [1; 16], &bytes);

    assert!(matches!(result, Err(Error::Version { peer, .. }) if peer == handshake::VERSION + 1));
}

/// Guards against frames that grow without bound.
#[test]
fn oversized_frames_are_refused_on_both_sides() {
    let (mut sealer, mut opener) = ends(1);
    let body = Message::Body(Body {
        stream: 1,
        data: Bytes::from(vec![0; LIMIT]),
        last: true,
    });

    let sending = sealer.seal(&body);
    let receiving = opener.open(&vec![0; LIMIT + 1]);

    assert!(matches!(sending, Err(Error::Oversized { .. })));
    assert!(matches!(receiving, Err(Error::Oversized { .. })));
}

/// Guards against a panic or a message from arbitrary or altered bytes.
#[test]
fn arbitrary_bytes_are_errors() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(bytes: Vec<u8>, flip: usize) -> TestResult {
        let (mut sealer, mut opener) = ends(1);
        opener.open(&bytes).expect_err("arbitrary bytes");

        let mut frame = sealer.seal(&message(1)).expect("sealed");
        let place = flip % frame.len();
        frame[place] ^= 1;
        let (_, mut opener) = ends(1);
        opener.open(&frame).expect_err("an altered frame");

        let secret = Secret::new([9; 32]);
        let hello = handshake::respond(&secret, &identity("vm-2"), [1; 16], &bytes);
        TestResult::from_bool(hello.is_err())
    }
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(property as fn(Vec<u8>, usize) -> TestResult);
}
