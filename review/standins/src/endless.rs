//! One target sends an answer whose body comes in small chunks and does not end, while other callers pay deposits.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, call};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Target, Trouble, sound};
use crate::vm::{Site, Vm};
use crate::{Case, Outcome};

/// `timeout-s` of the route of the deposits.
const DEPOSIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after a route's time-out within which a request has to have its answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Time budget of a deposit, after which its consumer gives up; that of `mwakyusa-gw-grown`.
const DEPOSIT_BUDGET: Duration = Duration::from_secs(3);

/// Consumers that pay deposits, each on new connections.
const CONSUMERS: usize = 8;

/// Time for which deposits are paid.
const OBSERVED: Duration = Duration::from_secs(9);

const DESIRED_STATE: &str = r#"{"version":"r3","resources":[
    {"resource-type":"limits","metadata":{"name":"limits"},"spec":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-s":5,"idle-timeout-s":10}},
    {"resource-type":"services","metadata":{"name":"oda"},"spec":{"sharded":false}},
    {"resource-type":"services","metadata":{"name":"malipo"},"spec":{"sharded":false}},
    {"resource-type":"routes","metadata":{"name":"order"},"spec":{"host":"shop.example","prefix":"/order/","kind":"unsafe","timeout-s":6.0,"aim-s":1.0,"priority":1,"max-attempts":2,"service":"oda"}},
    {"resource-type":"routes","metadata":{"name":"deposit"},"spec":{"host":"shop.example","prefix":"/deposit/","kind":"unsafe","timeout-s":1.0,"aim-s":0.5,"priority":0,"max-attempts":2,"service":"malipo"}}
    ]}"#;

fn request(route: &str, id: &str, budget: Duration) -> String {
    let budget_ms = budget.as_millis();
    format!(
        "POST /{route}/2f HTTP/1.1\r\nHost: shop.example\r\nKumquatpond-Attempt-Id: {id}\r\n\
         Kumquatpond-Request-Deadline: {budget_ms}\r\nContent-Length: 2\r\n\r\nok"
    )
}

/// Answers the first request without end if `is_faulty`, and runs the others.
fn endless_answer(is_faulty: bool, record: &Record) -> Arc<Trouble> {
    let is_faulty = AtomicBool::new(is_faulty);
    let record = record.clone();
    Arc::new(move |request: &Message, connection: &mut Connection| {
        if !is_faulty.swap(false, Ordering::SeqCst) {
            return None;
        }
        let id = request.header("Kumquatpond-Attempt-Id").unwrap_or_default();
        record.line(format!("i-oda1 answers {id} with a body that does not end"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nKumquatpond-Attempt-Id: {id}\r\nKumquatpond-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let chunks = b"1\r\nx\r\n".repeat(1_024);
        let (started, mut sent) = (Instant::now(), 0);
        if connection.write(head.as_bytes()) {
            while connection.write(&chunks) {
                sent += chunks.len();
            }
        }
        let rate = sent as f64 / 1e6 / started.elapsed().as_secs_f64().max(0.001);
        record.line(format!(
            "i-oda1 sees the connection end after {sent} bytes, {rate:.1} MB a second"
        ));
        Some(false)
    })
}

/// Sends one order and reads what comes, as a consumer that waits for its answer.
fn place_order(callers: SocketAddr, record: &Record) {
    let budget = Duration::from_secs(6);
    let Ok(mut stream) = TcpStream::connect(callers) else {
        return record.line("the order finds no connection");
    };
    let _ = stream.set_read_timeout(Some(budget));
    record.line("order 0001 sent");
    if stream
        .write_all(request("order", "0001", budget).as_bytes())
        .is_err()
    {
        return record.line("order 0001 not sent");
    }
    let (mut bytes, mut total) = (vec![0; 1 << 20], 0);
    let started = Instant::now();
    while started.elapsed() < budget + Duration::from_secs(1) {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(count) => total += count,
        }
        // A whole answer of a sound target is shorter than this.
        if total < 400 {
            break;
        }
    }
    record.line(format!(
        "order 0001 ends with {total} bytes after {:.2} s",
        started.elapsed().as_secs_f64()
    ));
}

/// Pays deposits one after the other; returns how long after its sending each was answered.
fn pay_deposits(
    number: usize,
    callers: SocketAddr,
    record: &Record,
) -> Vec<(Duration, Option<Duration>)> {
    let mut deposits = Vec::new();
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < OBSERVED {
        count += 1;
        let id = format!("d{number}{count:04}");
        let (at, sent_at) = (started.elapsed(), Instant::now());
        let bytes = request("deposit", &id, DEPOSIT_BUDGET);
        let answer = call(callers, bytes.as_bytes(), DEPOSIT_BUDGET);
        let took = answer.as_ref().map(|_| sent_at.elapsed());
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!(
            "deposit {id} ends after {:.3} s: {status}",
            sent_at.elapsed().as_secs_f64()
        ));
        deposits.push((at, took));
        thread::sleep(Duration::from_millis(100));
    }
    deposits
}

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start();
    store.put("op/config", DESIRED_STATE);
    let work = Duration::from_millis(15);
    let zone = "dar-kariakoo";
    let trouble = endless_answer(case.has_trouble, record);
    let _faulty = Target::start("i-oda1", "oda", zone, &store, record, work, trouble);
    let _sound: Vec<_> = ["i-malipo1", "i-malipo2", "i-malipo3", "i-malipo4"]
        .iter()
        .map(|id| Target::start(id, "malipo", zone, &store, record, work, sound()))
        .collect();
    let site = Site {
        memory_mb: 260,
        contact_s: 3.0,
        link_mbps: 1000.0,
    };
    let ip = format!("127.{}.41.1", case.block);
    let mut vm = Vm::start(&case.scratch, &ip, 1, zone, store.address, site);
    if !vm.wait_ready() {
        return Outcome::Unable;
    }
    // The machine is in touch `contact-s` after its start.
    thread::sleep(Duration::from_secs(4));
    let callers = vm.callers;
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || pay_deposits(number, callers, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let order = {
        let record = record.clone();
        thread::spawn(move || place_order(callers, &record))
    };
    let asked = Instant::now();
    let mut longest_silence = Duration::ZERO;
    while asked.elapsed() < OBSERVED {
        thread::sleep(Duration::from_millis(200));
        let question = Instant::now();
        let ready = vm.ready(Duration::from_secs(10));
        longest_silence = longest_silence.max(question.elapsed());
        record.line(format!(
            "ready: {} after {:.3} s",
            ready.is_some(),
            question.elapsed().as_secs_f64()
        ));
    }
    let mut deposits = Vec::new();
    for consumer in consumers {
        deposits.extend(consumer.join().unwrap_or_default());
    }
    let _ = order.join();
    record.say(format!(
        "the longest answer to a readiness question took {:.2} s",
        longest_silence.as_secs_f64()
    ));
    if !vm.is_running() {
        record.say("the VM has ended by itself");
        return Outcome::Broken;
    }
    judge(record, &deposits)
}

/// Applies the rule: of the requests still unanswered at their route's time-out, more than half, and at least eight, have no
/// answer half a second later.
fn judge(record: &Record, deposits: &[(Duration, Option<Duration>)]) -> Outcome {
    let at_timeout = |took: &Option<Duration>| took.is_none_or(|took| took > DEPOSIT_TIMEOUT);
    let at_slack =
        |took: &Option<Duration>| took.is_none_or(|took| took > DEPOSIT_TIMEOUT + ANSWER_SLACK);
    let unanswered = deposits.iter().filter(|(_, took)| at_timeout(took)).count();
    let late = deposits.iter().filter(|(_, took)| at_slack(took)).count();
    let never = deposits.iter().filter(|(_, took)| took.is_none()).count();
    record.say(format!(
        "of {} deposits {unanswered} had no answer at the time-out of their route and {late} none half a second later; \
         {never} were never answered within their time budget of {} s",
        deposits.len(),
        DEPOSIT_BUDGET.as_secs()
    ));
    if deposits.len() < 100 && late == 0 {
        return Outcome::Unable;
    }
    if late >= 8 && late * 2 > unanswered {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
