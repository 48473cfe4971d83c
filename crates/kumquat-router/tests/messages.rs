//! Tests that truncated, split and malformed HTTP messages, reports and records are handled or refused.

use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::rollout::{Phase, Record};
use kumquat_coordination::fleet::{Holder, OwnedRange, OwnershipMap};
use kumquat_router::errors::Error;
use kumquat_router::http::{Framing, HttpConnection};
use kumquat_router::peers::{MAX_DATAGRAM_BYTES, Order, Report, Senders};
use kumquat_router::record;
use kumquat_state::clock::Instant;
use quickcheck::quickcheck;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

/// Returns a connection that receives `text` in pieces of `piece_bytes` bytes and then ends.
async fn connection_with_input(text: &str, piece_bytes: usize) -> HttpConnection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let pieces: Vec<Vec<u8>> = text
        .as_bytes()
        .chunks(piece_bytes)
        .map(<[u8]>::to_vec)
        .collect();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        for piece in pieces {
            if stream.write_all(&piece).await.is_err() {
                return;
            }
            tokio::task::yield_now().await;
        }
    });
    HttpConnection::new(TcpStream::connect(address).await.expect("a connection"))
}

/// Guards against parsing that depends on where the bytes are split into packets.
#[tokio::test]
async fn a_request_is_parsed_regardless_of_packet_boundaries() {
    let text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    for piece_bytes in [1, 2, 7, 1_000] {
        let mut connection = connection_with_input(text, piece_bytes).await;

        let first_head = connection
            .read_request_head(1_000)
            .await
            .expect("a request");
        let framing = first_head.framing().expect("a framing");
        let body = connection.read_body(framing, 100).await.expect("a body");
        let second_head = connection
            .read_request_head(1_000)
            .await
            .expect("the next request");

        assert_eq!(
            (framing, &*body),
            (Framing::Chunked, &b"abcde"[..]),
            "{piece_bytes}"
        );
        assert_eq!(
            (&*first_head.target, &*second_head.target),
            ("/a", "/b"),
            "{piece_bytes}"
        );
    }
}

/// Guards against a truncated or malformed body that is taken for a complete one.
#[tokio::test]
async fn a_truncated_or_malformed_body_is_an_error() {
    let messages = [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    ];
    for text in messages {
        let mut connection = connection_with_input(text, 1_000).await;
        let head = connection.read_response_head().await.expect("a head");
        let framing = head.framing("GET").expect("a framing");

        let body = connection.read_body(framing, 100).await;

        assert!(
            matches!(body, Err(Error::Truncated | Error::Malformed(_))),
            "{text}: {body:?}"
        );
    }
}

/// Guards against a body that counts as complete where a chunk size is missing.
#[tokio::test]
async fn a_chunk_size_without_digits_is_no_end_of_a_body() {
    for body in [
        "\r\n\r\n",
        ";x=y\r\n\r\n",
        " \r\n\r\n",
        "3\r\nabc\r\n\r\n\r\n",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
        let mut connection = connection_with_input(&text, 1_000).await;
        let head = connection.read_response_head().await.expect("a head");

        let read = connection
            .read_body(head.framing("GET").expect("a framing"), 100)
            .await;

        assert!(
            matches!(read, Err(Error::Malformed(_))),
            "{body:?}: {read:?}"
        );
    }
}

/// Guards against a coded body that is relayed without the name of its coding, or in which framing is taken for content.
#[tokio::test]
async fn a_transfer_coding_other_than_chunked_is_an_error() {
    for field in [
        "gzip, chunked",
        "gzip",
        "chunked, chunked",
        "xchunked",
        "chunked\r\nTransfer-Encoding: gzip",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {field}\r\n\r\nabc");
        let mut connection = connection_with_input(&text, 1_000).await;
        let head = connection.read_response_head().await.expect("a head");

        let framing = head.framing("GET");

        assert!(
            matches!(framing, Err(Error::Malformed(_))),
            "{field}: {framing:?}"
        );
    }
}

/// Guards against a chunk size that overflows or makes the VM run out of memory.
#[tokio::test]
async fn a_chunk_size_above_the_body_limit_is_an_error() {
    for chunk_size in ["ffffffffffffffff", "65", "fffffffffffffffff"] {
        let text =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk_size}\r\nabc");
        let mut connection = connection_with_input(&text, 1_000).await;
        let head = connection.read_response_head().await.expect("a head");

        let body = connection
            .read_body(head.framing("GET").expect("a framing"), 100)
            .await;

        assert!(
            matches!(body, Err(Error::TooLarge(_) | Error::Malformed(_))),
            "{chunk_size}: {body:?}"
        );
    }
}

/// Guards against a sum of sizes that wraps around, after which the read never ends, or that ends the process.
#[tokio::test]
async fn a_body_limit_of_any_size_is_kept() {
    let bodies = [
        "Content-Length: 3\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    ];
    for body in bodies {
        let mut connection =
            connection_with_input(&format!("HTTP/1.1 200 OK\r\n{body}"), 1_000).await;
        let head = connection.read_response_head().await.expect("a head");
        let framing = head.framing("GET").expect("a framing");

        let read = connection.read_body(framing, usize::MAX).await;

        assert_eq!(read.expect("a body"), b"abc", "{body}");
    }
    let text =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nffffffffffffffff\r\nabc";
    let mut connection = connection_with_input(text, 1_000).await;
    let _head = connection.read_response_head().await.expect("a head");

    let read = connection.read_body(Framing::Chunked, usize::MAX).await;

    assert!(matches!(read, Err(Error::Truncated)), "{read:?}");
}

/// Guards against an interim response that is taken for the final one.
#[tokio::test]
async fn interim_responses_are_skipped() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let mut connection = connection_with_input(text, 3).await;

    let head = connection.read_response_head().await.expect("a response");

    assert_eq!(head.status, 204);
    assert_eq!(head.framing("GET").expect("a framing"), Framing::Empty);
}

fn ownership_map() -> OwnershipMap {
    let holder = |name: &str| Holder {
        name: name.into(),
        incarnation: 7,
    };
    OwnershipMap {
        ranges: vec![OwnedRange {
            first: 0,
            last: u16::MAX,
            owner: holder("a"),
            fencing_token: 3,
            previous_owners: vec![holder("b")],
        }],
        next_fencing_token: 4,
    }
}

/// Guards against ownership that changes when it is encoded for the store and decoded again.
#[test]
fn an_ownership_map_round_trips_through_its_record() {
    let bytes = record::encode_ownership_map(&ownership_map());

    let decoded = record::decode_ownership_map(&bytes).expect("owners");

    assert_eq!(decoded, ownership_map());
}

/// Guards against accepting an ownership map with gaps, as another program may write one.
#[test]
fn an_ownership_map_with_gaps_is_refused() {
    let mut map_with_gap = ownership_map();
    map_with_gap.ranges[0].last = 5;

    let decoded = record::decode_ownership_map(&record::encode_ownership_map(&map_with_gap));

    decoded.unwrap_err();
}

/// Guards against report fields that are lost or changed by encoding and decoding.
#[test]
fn a_report_round_trips_through_its_encoding() {
    let report = Report {
        sender: u64::MAX,
        sequence: 3,
        forward: true,
        in_flight: vec![1, 2],
        outstanding_work: vec![1, 5_000],
        team_usages: Some(vec![5, 60, 50, 3, 2]),
        limit_usages: vec![8, 6, 2, 1, 1],
        request_limits: vec![(8, Some(2_500), 40), (9, None, 3_000)],
        store_revision: Some(9),
        handed_over_tokens: Some(vec![(1, 2)]),
        draining: vec![3],
        latencies_percent: vec![(1, 110)],
        responded: vec![7, 9],
        requested_keys: vec![(1, vec![0, 65_535])],
        ended_exchanges: vec![(u64::MAX, 8, 2, 30)],
        quarantines: vec![(u64::MAX, 1, 60_000)],
        clearances: vec![(1, 20)],
        helper_offer: Some(("127.0.0.1:7101".parse().expect("an address"), vec![7])),
        observation: Some((7, u64::MAX, 1_000, 2, vec![1; 11])),
    };

    let decoded = Report::decode(&report.encode()).expect("a report");

    assert_eq!(decoded, report);
}

/// Guards against reports that exceed a datagram while many upstreams limit their requests.
#[test]
fn a_report_with_many_limited_upstreams_fits_a_datagram() {
    let id = |number: u32| u32::MAX - number;
    let counts = |number| [id(number), 90_000, 80_000, 200, 100];
    let report = Report {
        sender: u64::MAX,
        sequence: 1_000_000,
        in_flight: (0..100).flat_map(|number| [id(number), 3]).collect(),
        team_usages: Some((0..20).flat_map(counts).collect()),
        limit_usages: (0..100).flat_map(counts).collect(),
        request_limits: (0..128)
            .map(|number| (id(number), Some(2_500), 20_000))
            .collect(),
        store_revision: Some(1_000_000),
        ended_exchanges: vec![(u64::MAX, u32::MAX, 100, 3_000); 16],
        quarantines: vec![(u64::MAX, 4, 600_000); 16],
        clearances: vec![(u64::MAX, 3_000); 16],
        helper_offer: Some((
            "127.0.0.1:7101".parse().expect("an address"),
            vec![u32::MAX; 20],
        )),
        ..Report::default()
    };
    let without_limits = Report {
        limit_usages: Vec::new(),
        request_limits: Vec::new(),
        ..report.clone()
    };

    let (length, base_length) = (report.encode().len(), without_limits.encode().len());

    println!("{length} bytes, {base_length} without limits");
    assert!(length <= 8 * 1024, "{length} bytes");
}

/// Guards against counts of a service with many routes that the coordinator never gets.
#[test]
fn the_largest_observation_of_a_rollout_fits_a_datagram() {
    let report = Report {
        sender: u64::MAX,
        observation: Some((u32::MAX, u64::MAX, 1_000, u32::MAX, vec![u32::MAX; 64 * 11])),
        ..Report::default()
    };

    let length = report.encode().len();

    println!("{length} bytes");
    assert!(length <= MAX_DATAGRAM_BYTES, "{length} bytes");
}

/// Guards against the state of a rollout that changes when it is encoded for the store, and against one that
/// can't be read.
#[test]
fn the_state_of_a_rollout_round_trips_through_its_record() {
    let state = Record {
        order: u64::MAX,
        target: Arc::from("v2"),
        phase: Phase::RolledBack,
        share: 20,
        elapsed: Duration::from_millis(900),
        barred: vec![Arc::from("v2")],
    };

    let decoded = record::decode_rollout(&record::encode_rollout(&state)).expect("a state");
    let unknown = record::decode_rollout(&record::encode_rollout(&state)[1..]);

    assert_eq!(decoded, state);
    unknown.unwrap_err();
}

/// Guards against requested keys and latencies that never reach the coordinator, because they are dropped above a number
/// or are in a datagram that the receiver can't hold.
#[test]
fn all_keys_and_latencies_reach_the_coordinator_in_datagrams_that_fit() {
    let id = |number: u32| u32::MAX - number;
    for (key_count, latency_count) in [(0, 0), (5, 0), (0, 5), (256, 384), (3_000, 1_000)] {
        let keys: Vec<(u32, u16)> = (0..key_count)
            .map(|number| (id(u32::from(number) % 700), u16::MAX - number))
            .collect();
        let latencies: Vec<(u32, f64)> = (0..latency_count)
            .map(|number| (id(number), 5_000_000.0))
            .collect();

        let reports = Report::for_coordinator(u64::MAX, &keys, &latencies);

        let mut received_keys = Vec::new();
        let mut received_latencies = Vec::new();
        for report in &reports {
            let length = report.encode().len();
            assert!(length <= MAX_DATAGRAM_BYTES, "{length} bytes");
            for (service, keys) in &report.requested_keys {
                received_keys.extend(keys.iter().map(|key| (*service, *key)));
            }
            received_latencies.extend(report.latencies_percent.iter().map(|(id, _)| *id));
        }
        received_keys.sort_unstable();
        let mut sent_keys = keys.clone();
        sent_keys.sort_unstable();
        assert_eq!(received_keys, sent_keys);
        let sent_latencies: Vec<u32> = latencies.iter().map(|(id, _)| *id).collect();
        assert_eq!(received_latencies, sent_latencies);
        assert!(reports.len() <= 12, "{} reports", reports.len());
    }
}

/// Guards against reports that are applied twice or out of order, and against senders that are kept for ever.
#[test]
fn reports_are_in_order_and_silent_senders_are_forgotten() {
    let at = |seconds| Instant::from_millis(seconds * 1_000);
    let mut senders = Senders::default();

    let orders = [3, 2, 3, 4].map(|sequence| senders.record(at(1), 7, sequence));
    for number in 0..1_000 {
        senders.record(at(10 + number), 100 + number, 1);
    }

    assert_eq!(
        orders,
        [Order::First, Order::Outdated, Order::Outdated, Order::Newer]
    );
    assert!(senders.count() <= 61, "{} senders", senders.count());
}

quickcheck! {
    /// Guards against arbitrary datagrams and records that cause a panic or are decoded to an invalid map.
    fn arbitrary_bytes_are_decoded_without_a_panic(bytes: Vec<u8>) -> bool {
        drop(Report::decode(&bytes));
        drop(record::decode_vm_registration(&bytes));
        record::decode_ownership_map(&bytes).map_or(true, |map| map.is_valid())
    }

    /// Guards against a truncated record that is taken for a complete one.
    fn truncated_records_are_refused(length: usize) -> bool {
        let bytes = record::encode_ownership_map(&ownership_map());
        let length = length % bytes.len();
        record::decode_ownership_map(&bytes[..length]).is_err()
    }
}
