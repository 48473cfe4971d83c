//! Guards against large bodies that are held in memory, arrive altered or hold up other requests on the same link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use kumquat_entry::gateway::Limits;
use kumquat_local::vm::loopback;
use kumquat_protocol::wire::WINDOW;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[path = "fixture/strangers.rs"]
mod fixture;

use fixture::{PATIENCE, Site, connect, read, until, wide};

/// Size of a body that passes whole.
const LARGE: usize = 8 << 20;

/// Size of a body that is not read; it exceeds what all sockets on the way hold together.
const ENDLESS: usize = 1 << 30;

/// Requests that have to pass while a large body is under way.
const OTHERS: usize = 50;

/// Most bytes that may be on their way when the last reader takes none.
///
/// Each hop holds a window and what hyper reads and writes at once (under 1 MB each way); the rest is what the system
/// itself keeps for the sockets to and from upstream and caller.
fn most_on_the_way() -> usize {
    let windows = 2 * WINDOW as usize + (4 << 20);
    let sockets = largest_buffer("tcp_rmem") + largest_buffer("tcp_wmem");
    windows + 3 * sockets
}

fn largest_buffer(name: &str) -> usize {
    let text = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{name}")).expect("a setting");
    let largest = text.split_whitespace().last().expect("three sizes");
    largest.parse().expect("a size")
}

/// An upstream that sends without end, or reads nothing of a body.
struct Raw {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    probes: Arc<AtomicUsize>,
}

impl Raw {
    async fn open() -> Self {
        let listener = TcpListener::bind(loopback()).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let (sent, probes) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let raw = Self {
            address,
            sent: Arc::clone(&sent),
            probes: Arc::clone(&probes),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&sent), Arc::clone(&probes)));
            }
        });
        raw
    }
}

async fn serve(mut stream: TcpStream, sent: Arc<AtomicUsize>, probes: Arc<AtomicUsize>) {
    while let Some(path) = read_path(&mut stream).await {
        match path.as_str() {
            "/bench/source" => {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {ENDLESS}\r\n\r\n");
                let mut written = stream.write_all(head.as_bytes()).await;
                while written.is_ok() {
                    written = stream.write_all(&[0; 16 << 10]).await;
                    sent.fetch_add(16 << 10, Ordering::Relaxed);
                }
                return;
            }
            "/bench/sink" => std::future::pending::<()>().await,
            _ => {
                probes.fetch_add(1, Ordering::Relaxed);
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                // The router may have closed the connection.
                drop(stream.write_all(answer).await);
            }
        }
    }
}

async fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    head.split(' ').nth(1).map(str::to_owned)
}

async fn open(limits: Limits) -> Site {
    let mut shape = wide();
    for service in &mut shape.services {
        service.deadline = Duration::from_mins(1);
    }
    Site::open(&shape, limits).await
}

fn pattern(length: usize) -> Vec<u8> {
    // A period that is no power of two shows parts that are swapped or lost.
    (0_u8..251).cycle().take(length).collect()
}

async fn others_pass(site: &Site) {
    for number in 0..OTHERS {
        let reply = site.post(&format!("/bench/fine-{number}"), "").await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}

/// Guards against bodies that are altered, cut or held up when writer and reader are slow.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_passes_whole_both_ways() {
    let site = open(Limits::default()).await;
    let head = site.head("POST", "/bench/a?mode=echo");
    let sent = pattern(LARGE);
    let stream = connect(site.address()).await;
    let (mut reading, mut writing) = stream.into_split();
    let request = format!("{head}content-length: {LARGE}\r\n\r\n");

    let body = sent.clone();
    let writer = tokio::spawn(async move {
        writing.write_all(request.as_bytes()).await.expect("sent");
        for piece in body.chunks(256 << 10) {
            writing.write_all(piece).await.expect("sent");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        // The sending side stays open until the answer is there; closing it would be hanging up.
        writing
    });
    let reader = tokio::spawn(async move {
        let mut bytes = Vec::new();
        let mut piece = vec![0; 256 << 10];
        while !bytes.ends_with(b"\r\n0\r\n\r\n") {
            let count = reading.read(&mut piece).await.expect("an answer");
            assert_ne!(count, 0, "the answer breaks off");
            bytes.extend_from_slice(&piece[..count]);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        bytes
    });
    others_pass(&site).await;
    let bytes = tokio::time::timeout(PATIENCE, reader)
        .await
        .expect("in time")
        .expect("no panic");
    drop(writer.await.expect("no panic"));

    assert!(
        bytes.starts_with(b"HTTP/1.1 200"),
        "{}",
        String::from_utf8_lossy(&bytes[..64])
    );
    assert!(unchunk(&bytes) == sent, "the body was altered");
    site.finish().await;
}

/// Returns the body of a chunked answer.
fn unchunk(bytes: &[u8]) -> Vec<u8> {
    let find = |bytes: &[u8], what: &[u8]| {
        let position = bytes.windows(what.len()).position(|part| part == what);
        position.expect("a delimiter") + what.len()
    };
    let mut rest = &bytes[find(bytes, b"\r\n\r\n")..];
    let mut body = Vec::new();
    loop {
        let start = find(rest, b"\r\n");
        let text = String::from_utf8_lossy(&rest[..start]);
        let size = usize::from_str_radix(text.trim(), 16).expect("a size");
        if size == 0 {
            return body;
        }
        body.extend_from_slice(&rest[start..start + size]);
        rest = &rest[start + size + 2..];
    }
}

/// Guards against an answer that is read ahead without bound for a caller that does not read.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_not_read_is_bounded_and_holds_up_no_other() {
    let mut site = open(Limits::default()).await;
    let raw = Raw::open().await;
    site.redirect(raw.address, || raw.probes.load(Ordering::Relaxed) > 0)
        .await;
    let head = site.head("POST", "/bench/source");

    let caller = site
        .open_request(&format!("{head}content-length: 0\r\n\r\n"))
        .await;
    until("the answer is under way", || {
        raw.sent.load(Ordering::Relaxed) > 1 << 20
    })
    .await;
    others_pass(&site).await;
    let sent = raw.sent.load(Ordering::Relaxed);

    assert!(sent <= most_on_the_way(), "{sent} bytes are on their way");
    drop(caller);
    site.finish().await;
}

/// Guards against a body that is read ahead without bound, or that waits without bound, for an upstream that does not
/// read.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_not_read_is_bounded_and_holds_up_no_other() {
    let limits = Limits {
        body: 2 * ENDLESS,
        ..Limits::default()
    };
    let mut site = open(limits).await;
    let raw = Raw::open().await;
    site.redirect(raw.address, || raw.probes.load(Ordering::Relaxed) > 0)
        .await;
    let head = site.head("POST", "/bench/sink");
    let caller = site
        .open_request(&format!("{head}content-length: {ENDLESS}\r\n\r\n"))
        .await;
    let (mut reading, mut writing) = caller.into_split();

    let written = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&written);
    let writer = tokio::spawn(async move {
        while writing.write_all(&[0; 16 << 10]).await.is_ok() {
            count.fetch_add(16 << 10, Ordering::Relaxed);
        }
    });
    until("the body is under way", || {
        written.load(Ordering::Relaxed) > 1 << 20
    })
    .await;
    others_pass(&site).await;
    let taken = written.load(Ordering::Relaxed);
    let mut status = [0; 12];
    let read = reading.read_exact(&mut status);
    tokio::time::timeout(PATIENCE, read)
        .await
        .expect("in time")
        .expect("an answer");

    assert!(taken <= most_on_the_way(), "{taken} bytes are on their way");
    assert_eq!(&status, b"HTTP/1.1 502");
    assert_eq!(site.refused("body-not-taken"), 1);
    drop(reading);
    writer.abort();
    site.finish().await;
}

/// Guards against a request whose body breaks off and that the upstream takes for a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_breaks_off_completes_nothing() {
    let site = open(Limits::default()).await;
    let completed = site.sum(|counts| counts.completed);
    let head = site.head("POST", "/bench/a");
    let piece = format!("{:x}\r\n{}\r\n", 100_000, "a".repeat(100_000));
    let broken = site
        .ask(&format!(
            "{head}transfer-encoding: chunked\r\n\r\n{piece}zz\r\n"
        ))
        .await;
    let hung_up = site
        .open_request(&format!("{head}transfer-encoding: chunked\r\n\r\n{piece}"))
        .await;
    until("the request runs", || site.running() == 1).await;
    drop(hung_up);
    until("the request has ended", || site.running() == 0).await;

    assert_eq!(broken.status, 400, "{broken:?}");
    assert_eq!(broken.header("kumquat-outcome"), Some("unknown"));
    assert_eq!(site.sum(|counts| counts.completed), completed);
    // The connection is read no further, so that the rest of the body is not taken for a request.
    let mut again = connect(site.address()).await;
    let text = format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n{head}\r\n");
    again.write_all(text.as_bytes()).await.expect("sent");
    assert_eq!(read(&mut again).await.status, 400);
    assert_eq!(read(&mut again).await.status, 0, "the connection is closed");
    drop(again);
    site.finish().await;
}
