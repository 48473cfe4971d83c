//! Guards dispatch processes against peers that don't know the secret, break the protocol or never finish: each is
//! counted by kind, and the cell goes on serving.

use std::net::{IpAddr, SocketAddr};

use futures_util::{SinkExt, StreamExt};
use kumquat_dispatch::handshakes::{Handshakes, PER_ADDRESS, TOTAL};
use kumquat_entry::gateway::Limits;
use kumquat_protocol::frame::LIMIT;
use kumquat_protocol::handshake::{Initiator, Program, Secret, Session};
use kumquat_protocol::wire::{Cancel, Confirmed, Message};
use kumquat_transport::link;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as Packet;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

#[path = "fixture/strangers.rs"]
mod fixture;

use fixture::{Site, cell_secret, connect, identity, narrow, until};

type Socket = WebSocketStream<TcpStream>;

fn dispatch(site: &Site) -> SocketAddr {
    let dispatch = site.deployment.vms[0].dispatch.as_ref();
    dispatch.expect("the dispatch process runs").address()
}

fn rejected(site: &Site, kind: &str) -> u64 {
    let dispatch = site.deployment.vms[0].dispatch.as_ref();
    let metrics = dispatch.expect("the dispatch process runs").metrics();
    metrics.rejected_messages.with_label_values(&[kind]).get()
}

/// Waits until rejections of a kind are counted and checks that the cell still serves.
async fn assert_rejected(site: &Site, kind: &str, count: u64) {
    until(kind, || rejected(site, kind) >= count).await;
    assert_eq!(rejected(site, kind), count, "{kind}");
    assert_eq!(
        site.post("/bench/a", "").await.status,
        200,
        "the cell serves"
    );
}

/// Opens a WebSocket that may send more than the protocol allows.
async fn socket(address: SocketAddr) -> Socket {
    let stream = connect(address).await;
    let limits = WebSocketConfig::default().max_frame_size(None);
    let url = format!("ws://{address}/peer");
    let opened = tokio_tungstenite::client_async_with_config(url, stream, Some(limits)).await;
    opened.expect("a WebSocket").0
}

fn hello(secret: &Secret) -> (Initiator, Vec<u8>) {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let identity = identity("vm-x", Program::Entry, address);
    Initiator::start(secret, &identity, [1; 16]).expect("a hello")
}

async fn receive(socket: &mut Socket) -> Vec<u8> {
    let packet = socket.next().await.expect("a packet").expect("no error");
    packet.into_data().to_vec()
}

async fn send(socket: &mut Socket, bytes: Vec<u8>) {
    socket
        .send(Packet::Binary(bytes.into()))
        .await
        .expect("sent");
}

/// Runs the whole handshake by hand, so that the test can break the frames that follow.
async fn session(address: SocketAddr) -> (Socket, Session) {
    let mut socket = socket(address).await;
    let (initiator, hello) = hello(&cell_secret());
    send(&mut socket, hello).await;
    let answer = receive(&mut socket).await;
    let (proving, proof) = initiator.prove(&answer).expect("a proof");
    send(&mut socket, proof).await;
    let proof = receive(&mut socket).await;
    (socket, proving.finish(&proof).expect("a session"))
}

/// Guards against peers that get in without the secret or with another version of the protocol.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_are_refused_in_the_handshake() {
    let site = Site::open(&narrow(), Limits::default()).await;
    let address = dispatch(&site);

    let options = link::Options {
        identity: identity("vm-x", Program::Dispatch, address),
        secret: Secret::new([1; 32]),
    };
    link::open(address, &options)
        .await
        .expect_err("a wrong secret");
    assert_rejected(&site, "authentication", 1).await;

    let (_, mut newer) = hello(&cell_secret());
    let name = newer
        .windows(7)
        .position(|part| part == b"version")
        .expect("a version");
    newer[name + 7] += 1;
    let mut versioned = socket(address).await;
    send(&mut versioned, newer).await;
    assert_rejected(&site, "version", 1).await;

    let mut oversized = socket(address).await;
    send(&mut oversized, vec![0; 1_000]).await;
    assert_rejected(&site, "oversized", 1).await;

    let mut malformed = socket(address).await;
    send(&mut malformed, vec![0xff; 100]).await;
    assert_rejected(&site, "malformed", 1).await;
    let mut text = socket(address).await;
    text.send(Packet::Text("hello".into())).await.expect("sent");
    assert_rejected(&site, "malformed", 2).await;

    let mut stranger = connect(address).await;
    stranger
        .write_all(b"\x01\x02\x03 no HTTP\r\n\r\n")
        .await
        .expect("sent");
    assert_rejected(&site, "malformed", 3).await;
    site.finish().await;
}

/// Guards against frames that are altered, replayed, cut, too large or make no sense.
#[tokio::test(flavor = "multi_thread")]
async fn bad_frames_end_their_link_only() {
    let site = Site::open(&narrow(), Limits::default()).await;
    let address = dispatch(&site);
    let message = Message::Cancel(Cancel { stream: 1 });

    let (mut altered, mut session_a) = session(address).await;
    let mut frame = session_a.sealer.seal(&message).expect("sealed");
    *frame.last_mut().expect("bytes") ^= 1;
    send(&mut altered, frame).await;
    assert_rejected(&site, "authentication", 1).await;

    let (mut replayed, mut session_b) = session(address).await;
    let frame = session_b.sealer.seal(&message).expect("sealed");
    send(&mut replayed, frame.clone()).await;
    send(&mut replayed, frame).await;
    assert_rejected(&site, "authentication", 2).await;

    let (mut cut, _session) = session(address).await;
    send(&mut cut, vec![0; 15]).await;
    assert_rejected(&site, "malformed", 1).await;

    let (mut oversized, _session) = session(address).await;
    // The peer may close the connection before all has been sent.
    drop(
        oversized
            .send(Packet::Binary(vec![0; LIMIT + 1].into()))
            .await,
    );
    assert_rejected(&site, "oversized", 1).await;

    // An entry has no say in the coordination of the cell.
    let (mut senseless, mut session_c) = session(address).await;
    let confirmed = Message::Confirmed(Confirmed {
        revision: u64::MAX,
        acting: Vec::new(),
    });
    send(
        &mut senseless,
        session_c.sealer.seal(&confirmed).expect("sealed"),
    )
    .await;
    assert_rejected(&site, "entry", 1).await;
    site.finish().await;
}

/// Guards against connections that never finish the handshake.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_handshakes_are_bounded_in_time() {
    let site = Site::open(&narrow(), Limits::default()).await;
    let address = dispatch(&site);

    let silent = connect(address).await;
    assert_rejected(&site, "handshake-timeout", 1).await;
    let mut half = socket(address).await;
    send(&mut half, hello(&cell_secret()).1).await;
    assert_rejected(&site, "handshake-timeout", 2).await;

    drop((silent, half));
    site.finish().await;
}

/// Guards against a stranger that floods a process with unfinished handshakes and so keeps its peers from returning.
#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_handshakes_keeps_nobody_else_out() {
    let site = Site::open(&narrow(), Limits::default()).await;
    let address = dispatch(&site);
    let flood = tokio::spawn(async move {
        let mut open = Vec::new();
        loop {
            open.push(connect_from([127, 0, 0, 2], address).await);
            // The connections stay open longer than the handshakes may take.
            open.drain(..open.len().saturating_sub(200));
        }
    });
    until("the bound is met", || {
        rejected(&site, "too-many-handshakes") > 0
    })
    .await;

    let options = link::Options {
        identity: identity("vm-y", Program::Entry, address),
        secret: cell_secret(),
    };
    for _ in 0..10 {
        link::open(address, &options)
            .await
            .expect("a link from another address");
    }
    assert_eq!(
        site.post("/bench/a", "").await.status,
        200,
        "open links serve on"
    );

    flood.abort();
    site.finish().await;
}

/// Guards against a flood from many addresses that together use up memory and files.
#[test]
fn handshakes_are_bounded_per_address_and_in_total() {
    let handshakes = Handshakes::default();
    let mut running = Vec::new();
    let address = |number: u8| IpAddr::from([192, 0, 2, number]);

    for number in 0..u8::MAX {
        let before = running.len();
        while let Some(handshake) = handshakes.begin(address(number)) {
            running.push(handshake);
        }
        assert!(running.len() - before <= PER_ADDRESS);
    }
    assert_eq!(running.len(), TOTAL);

    running.clear();
    assert!(
        handshakes.begin(address(0)).is_some(),
        "ended handshakes count no more"
    );
}

async fn connect_from(from: [u8; 4], to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from((from, 0))).expect("bound");
    socket.connect(to).await.expect("connected")
}
