//! Guards HTTP messages and the VMs' own records against bytes that are cut, split or hostile.

use kumquat_coordination::fleet::{Holder, OwnedRange, OwnershipMap};
use kumquat_router::errors::Error;
use kumquat_router::http::{Framing, HttpConnection};
use kumquat_router::peers::Report;
use kumquat_router::record;
use quickcheck::quickcheck;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

/// Returns a connection on which `text` arrives in parts of `size` bytes and then ends.
async fn wire(text: &str, size: usize) -> HttpConnection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let parts: Vec<Vec<u8>> = text.as_bytes().chunks(size).map(<[u8]>::to_vec).collect();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        for part in parts {
            if stream.write_all(&part).await.is_err() {
                return;
            }
            tokio::task::yield_now().await;
        }
    });
    HttpConnection::new(TcpStream::connect(address).await.expect("a connection"))
}

/// Guards against a parse that depends on how the bytes are split into packets.
#[tokio::test]
async fn a_request_is_read_however_its_bytes_are_split() {
    let text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    for size in [1, 2, 7, 1_000] {
        let mut wire = wire(text, size).await;

        let first = wire.read_request_head(1_000).await.expect("a request");
        let framing = first.framing().expect("a framing");
        let body = wire.read_body(framing, 100).await.expect("a body");
        let second = wire
            .read_request_head(1_000)
            .await
            .expect("the next request");

        assert_eq!(
            (framing, &*body),
            (Framing::Chunked, &b"abcde"[..]),
            "{size}"
        );
        assert_eq!((&*first.target, &*second.target), ("/a", "/b"), "{size}");
    }
}

/// Guards against a body that ends early and counts as whole.
#[tokio::test]
async fn a_body_that_is_cut_is_not_whole() {
    let cut = [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    ];
    for text in cut {
        let mut wire = wire(text, 1_000).await;
        let head = wire.read_response_head().await.expect("a head");
        let framing = head.framing("GET").expect("a framing");

        let body = wire.read_body(framing, 100).await;

        assert!(
            matches!(body, Err(Error::Truncated | Error::Malformed(_))),
            "{text}: {body:?}"
        );
    }
}

/// Guards against a chunk size that overflows or takes the VM's memory.
#[tokio::test]
async fn a_chunk_above_the_limit_is_refused() {
    for size in ["ffffffffffffffff", "65", "fffffffffffffffff"] {
        let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{size}\r\nabc");
        let mut wire = wire(&text, 1_000).await;
        let head = wire.read_response_head().await.expect("a head");

        let body = wire
            .read_body(head.framing("GET").expect("a framing"), 100)
            .await;

        assert!(
            matches!(body, Err(Error::TooLarge(_) | Error::Malformed(_))),
            "{size}: {body:?}"
        );
    }
}

/// Guards against interim answers being taken for the final one.
#[tokio::test]
async fn interim_answers_are_skipped() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let mut wire = wire(text, 3).await;

    let head = wire.read_response_head().await.expect("an answer");

    assert_eq!(head.status, 204);
    assert_eq!(head.framing("GET").expect("a framing"), Framing::Empty);
}

fn map() -> OwnershipMap {
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

/// Guards against owners that change on their way through the store.
#[test]
fn owners_survive_their_record() {
    let bytes = record::encode_ownership_map(&map());

    let decoded = record::decode_ownership_map(&bytes).expect("owners");

    assert_eq!(decoded, map());
}

/// Guards against a map with gaps that another program has written.
#[test]
fn owners_with_gaps_are_refused() {
    let mut gap = map();
    gap.ranges[0].last = 5;

    let decoded = record::decode_ownership_map(&record::encode_ownership_map(&gap));

    decoded.unwrap_err();
}

/// Guards against a report that loses figures.
#[test]
fn a_report_survives_its_way() {
    let report = Report {
        sender: u64::MAX,
        sequence: 3,
        forward: true,
        in_flight: vec![1, 2],
        team_usages: Some(vec![5, 60, 50, 3, 2]),
        store_revision: Some(9),
        handed_over_tokens: Some(vec![(1, 2)]),
        draining: vec![3],
        latencies_percent: vec![(1, 110)],
        requested_keys: vec![(1, vec![0, 65_535])],
    };

    let decoded = Report::decode(&report.encode()).expect("a report");

    assert_eq!(decoded, report);
}

quickcheck! {
    /// Guards against datagrams and records of strangers that end the process or are taken without being valid.
    fn hostile_bytes_are_refused_without_a_panic(bytes: Vec<u8>) -> bool {
        drop(Report::decode(&bytes));
        drop(record::decode_vm_registration(&bytes));
        record::decode_ownership_map(&bytes).map_or(true, |map| map.is_valid())
    }

    /// Guards against a cut record that is taken for a whole one.
    fn cut_records_are_refused(cut: usize) -> bool {
        let bytes = record::encode_ownership_map(&map());
        let cut = cut % bytes.len();
        record::decode_ownership_map(&bytes[..cut]).is_err()
    }
}
