//! Targets send the beginning of an extra answer before an answer that is a failure.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::report::Report;
use crate::store::Store;
use crate::target::{Link, Manner, Runs, Target};
use crate::vm::{Vm, loopback, wait_for};

pub const ZONE: &str = "mu-north-a";

/// One in this number of the answers of two targets is a failure, before which an extra answer begins; the site's dose of
/// spoiled answers is 0.03.
const FAULTY_EVERY: u64 = 34;

/// Time for which callers send; the site's impairment lasts 5 s.
pub const DURATION: Duration = Duration::from_secs(5);

/// Callers, each with one request at a time.
pub const CALLERS: usize = 12;

pub const DESIRED_STATE: &str = concat!(
    r#"{"version":"r1","resources":["#,
    r#"{"resource-type":"routes","metadata":{"name":"booking"},"spec":{"host":"jepu9.example","#,
    r#""prefix":"/booking/","kind":"unsafe","timeout-s":0.6,"aim-s":0.25,"priority":1,"service":"desk","#,
    r#""max-attempts":2,"anonymous":true}},"#,
    r#"{"resource-type":"services","metadata":{"name":"desk"},"spec":{"health-path":"/health","#,
    r#""max-connections":110,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":11.0}},"#,
    r#"{"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"#,
    r#""max-body-bytes":1048576,"header-timeout-s":3,"idle-timeout-s":15}}]}"#
);

/// An answer that a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub sent_at: Instant,
    pub got_at: Instant,
    pub message: Option<Message>,
}

/// Sends requests on kept connections, one after the other.
pub fn run_caller(vm: SocketAddr, caller: usize, until: Instant, answers: &Mutex<Vec<Answer>>) {
    let mut kept: Option<Connection> = None;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("{caller:02x}{number:014x}");
        let request = format!(
            "POST /booking/2f HTTP/1.1\r\nHost: jepu9.example\r\nKumquatpond-Attempt-Id: {id}\r\n\
             Kumquatpond-Request-Deadline: 600\r\nContent-Length: 2\r\n\r\nhi"
        );
        let sent_at = Instant::now();
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(vm, Duration::from_secs(1)),
        };
        let message = connection.and_then(|mut connection| {
            connection.write(request.as_bytes())?;
            let message = connection.read(Some(sent_at + Duration::from_secs(1)))?;
            if message.header("connection").is_none() {
                kept = Some(connection);
            }
            Ok(message)
        });
        answers.lock().unwrap().push(Answer {
            id,
            sent_at,
            got_at: Instant::now(),
            message: message.ok(),
        });
    }
}

/// Starts a VM with targets, of which the first ones are of one manner, and sends requests for [`DURATION`].
pub fn play(
    scratch: &Path,
    manner: Manner,
    (of_manner, count): (usize, usize),
    callers: usize,
    runs: &Runs,
    report: &mut Report,
) -> Result<Vec<Answer>, String> {
    let store = Store::start();
    let access = store.open_access(loopback(200));
    for number in 0..count {
        let name = format!("i-{number}");
        let ip = loopback(100);
        let manner = if number < of_manner {
            manner
        } else {
            Manner::Sound
        };
        let target = Target::start(&name, "desk", ip, Duration::from_millis(15), manner, runs);
        let key = format!("servers/{name}");
        access.add_link(&key, Link::start(ip, target.address).address);
        store.register(&key, &target.entry(ZONE));
    }
    store.put("op/config", DESIRED_STATE);
    let vm = Vm::start(scratch, 1, ZONE, &access, true);
    wait_for("the VM", Duration::from_secs(15), || vm.is_ready())?;
    std::thread::sleep(Duration::from_millis(500));
    report.line("the VM is ready");

    let answers = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + DURATION;
    let address = vm.caller_address;
    let callers: Vec<_> = (0..callers)
        .map(|caller| {
            let answers = Arc::clone(&answers);
            std::thread::spawn(move || run_caller(address, caller, until, &answers))
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    let answers = answers.lock().unwrap().clone();
    Ok(answers)
}

/// Returns whether the rule was broken.
pub fn run(scratch: &Path, has_trouble: bool, report: &mut Report) -> Result<bool, String> {
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let manner = Manner::Failing {
        every: FAULTY_EVERY,
        has_extra: has_trouble,
    };
    if has_trouble {
        report.line("TROUBLE: i-0 and i-1 send the start of an extra answer before one in 34 of their answers");
    }
    let answers = play(scratch, manner, (2, 4), CALLERS, &runs, report)?;
    let runs = runs.lock().unwrap().clone();
    let mut wrong = 0;
    let failures = runs.iter().filter(|run| run.status == 500).count();
    for run in runs.iter().filter(|run| run.status == 500) {
        report.line_at(
            run.at,
            &format!("{} runs {} and answers 500", run.target, run.id),
        );
        let Some(answer) = answers.iter().find(|answer| answer.id == run.id) else {
            continue;
        };
        report.line_at(answer.sent_at, &format!("sent {}", answer.id));
        let text = answer
            .message
            .as_ref()
            .map_or("no answer".to_owned(), |message| {
                let signature = message
                    .header("kumquatpond-response-signature")
                    .unwrap_or("none");
                format!(
                    "{:?}, signature {signature}, body {:?}",
                    message.start,
                    String::from_utf8_lossy(&message.body)
                )
            });
        report.line_at(answer.got_at, &format!("answered {}: {text}", answer.id));
        if answer
            .message
            .as_ref()
            .is_some_and(|message| (200..300).contains(&message.status()))
        {
            wrong += 1;
            report.line_at(
                answer.got_at,
                &format!(
                    "MIXED: {} got a success where {} had answered 500",
                    run.id, run.target
                ),
            );
        }
    }
    report.line(&format!(
        "{} requests, {} runs, {failures} of them answered with 500 by the target, {wrong} of these got a success",
        answers.len(),
        runs.len()
    ));
    Ok(wrong > 0)
}
