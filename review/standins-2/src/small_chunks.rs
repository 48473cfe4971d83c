//! Callers outside the limits send bodies in chunks of one byte, while ordinary callers go on.

use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::report::Report;
use crate::store::Store;
use crate::target::{Link, Manner, Runs, Target};
use crate::vm::{Vm, loopback, wait_for};

const ZONE: &str = "mu-north-a";

/// `timeout-s` of the route.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Time after the timeout within which the rule wants an answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Connections that send small chunks at once; a VM has 4,100 descriptors.
const SENDERS: usize = 300;

/// Time for which they send.
const FLOOD: Duration = Duration::from_secs(6);

/// Body of each of them; the limit is 64 MB.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Bytes a second that all senders together stay below; the VM's link carries 125 million.
const MAX_RATE: f64 = 120_000_000.0;

/// Ordinary callers, each with one request at a time.
const CALLERS: usize = 10;

/// Pause of an ordinary caller between two requests.
const PAUSE: Duration = Duration::from_millis(100);

const DESIRED_STATE: &str = concat!(
    r#"{"version":"r1","resources":["#,
    r#"{"resource-type":"routes","metadata":{"name":"booking"},"spec":{"host":"jepu9.example","#,
    r#""prefix":"/booking/","kind":"unsafe","timeout-s":0.6,"aim-s":0.25,"priority":1,"service":"desk","#,
    r#""max-attempts":2,"anonymous":true}},"#,
    r#"{"resource-type":"services","metadata":{"name":"desk"},"spec":{"health-path":"/health","#,
    r#""max-connections":110,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":11.0}},"#,
    r#"{"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"#,
    r#""max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]}"#
);

/// What became of an ordinary request.
#[derive(Clone, Debug)]
struct Outcome {
    sent_at: Instant,
    ended_at: Instant,
    /// Status, or 0 without an answer.
    status: u16,
}

/// Sends one ordinary request on a new connection and waits for its answer until the rule's time has passed.
fn send_ordinary(vm: std::net::SocketAddr, id: &str) -> Outcome {
    let sent_at = Instant::now();
    let deadline = sent_at + TIMEOUT + ANSWER_SLACK;
    let request = format!(
        "POST /booking/2f HTTP/1.1\r\nHost: jepu9.example\r\nKumquatpond-Attempt-Id: {id}\r\n\
         Kumquatpond-Request-Deadline: 600\r\nContent-Length: 400\r\n\r\n{}",
        "x".repeat(400)
    );
    let answer = Connection::open(vm, Duration::from_secs(1)).and_then(|mut connection| {
        connection.write(request.as_bytes())?;
        connection.read(Some(deadline))
    });
    Outcome {
        sent_at,
        ended_at: Instant::now(),
        status: answer.map_or(0, |answer| answer.status()),
    }
}

/// Sends one body in chunks of one byte, all but its end, and stays open until the VM closes the connection.
fn send_chunks(
    vm: std::net::SocketAddr,
    id: &str,
    until: Instant,
    sent: &AtomicU64,
    started: Instant,
) {
    let Ok(mut connection) = Connection::open(vm, Duration::from_secs(1)) else {
        return;
    };
    let head = format!(
        "POST /booking/2f HTTP/1.1\r\nHost: jepu9.example\r\nKumquatpond-Attempt-Id: {id}\r\n\
         Kumquatpond-Request-Deadline: 600\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let block = b"1\r\ny\r\n".repeat(2_000);
    let _ = connection
        .stream
        .set_write_timeout(Some(Duration::from_secs(4)));
    if connection.write(head.as_bytes()).is_err() {
        return;
    }
    for _ in 0..BODY_BYTES / 2_000 - 1 {
        while sent.load(Ordering::Relaxed) as f64 > started.elapsed().as_secs_f64() * MAX_RATE {
            std::thread::sleep(Duration::from_millis(2));
        }
        if Instant::now() > until || connection.stream.write_all(&block).is_err() {
            return;
        }
        sent.fetch_add(block.len() as u64, Ordering::Relaxed);
    }
    let _ = connection.read(Some(until));
}

/// Returns whether the rule was broken.
pub fn run(scratch: &Path, has_trouble: bool, report: &mut Report) -> Result<bool, String> {
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    let access = store.open_access(loopback(200));
    for number in 0..4 {
        let name = format!("i-{number}");
        let ip = loopback(100);
        let target = Target::start(
            &name,
            "desk",
            ip,
            Duration::from_millis(20),
            Manner::Sound,
            &runs,
        );
        let key = format!("servers/{name}");
        access.add_link(&key, Link::start(ip, target.address).address);
        store.register(&key, &target.entry(ZONE));
    }
    store.put("op/config", DESIRED_STATE);
    let mut vm = Vm::start(scratch, 1, ZONE, &access, true);
    wait_for("the VM", Duration::from_secs(15), || vm.is_ready())?;
    std::thread::sleep(Duration::from_secs(1));
    report.line("the VM is ready");

    let address = vm.caller_address;
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (outcomes, is_over) = (Arc::clone(&outcomes), Arc::clone(&is_over));
            std::thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let outcome = send_ordinary(address, &format!("{caller:02x}{number:014x}"));
                    outcomes.lock().unwrap().push(outcome);
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let flood_at = Instant::now();
    let until = flood_at + FLOOD;
    let sent = Arc::new(AtomicU64::new(0));
    if has_trouble {
        report.line(&format!(
            "TROUBLE: {SENDERS} connections begin to send bodies in chunks of one byte"
        ));
        let senders: Vec<_> = (0..SENDERS)
            .map(|sender| {
                let sent = Arc::clone(&sent);
                std::thread::spawn(move || {
                    let mut number = 0;
                    // One that the VM has closed comes again.
                    while Instant::now() < until {
                        number += 1;
                        send_chunks(
                            address,
                            &format!("ff{sender:06x}{number:08x}"),
                            until,
                            &sent,
                            flood_at,
                        );
                        std::thread::sleep(Duration::from_millis(100));
                    }
                })
            })
            .collect();
        for sender in senders {
            let _ = sender.join();
        }
        let rate = sent.load(Ordering::Relaxed) as f64 / flood_at.elapsed().as_secs_f64() / 1e6;
        report.line(&format!(
            "the senders have ended; they sent {rate:.1} million bytes a second"
        ));
    } else {
        std::thread::sleep(FLOOD);
    }
    let flood_end = Instant::now();
    std::thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let is_running = vm.runs();
    let outcomes = outcomes.lock().unwrap().clone();
    let (mut late, mut unanswered) = (0, 0);
    for outcome in &outcomes {
        let took = outcome.ended_at.duration_since(outcome.sent_at);
        let status = outcome.status;
        report.line_at(
            outcome.sent_at,
            &format!(
                "ordinary request: status {status} after {:.3} s",
                took.as_secs_f64()
            ),
        );
        // Requests that came while the senders were at work, and that were not answered within the timeout.
        if outcome.sent_at < flood_at
            || outcome.sent_at > flood_end
            || (took < TIMEOUT && status != 0)
        {
            continue;
        }
        late += 1;
        unanswered += u32::from(status == 0 && took >= TIMEOUT + ANSWER_SLACK);
    }
    report.line(&format!(
        "{} ordinary requests; of {late} without an answer at the timeout {unanswered} had none 0.5 s later; the process \
         runs: {is_running}",
        outcomes.len()
    ));
    Ok(!is_running || (unanswered >= 8 && unanswered * 2 > late))
}
