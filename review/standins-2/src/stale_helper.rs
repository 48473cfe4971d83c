//! A VM that is partitioned from all targets passes its requests on to a VM that the store rejects.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::report::Report;
use crate::store::Store;
use crate::target::{Link, Manner, Runs, Target};
use crate::vm::{Vm, loopback, wait_for};

const ZONE: &str = "mu-north-a";

/// `rollback-slack-s` of the site.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// Time for which the store rejects one VM; the site's longest is 9 s.
const REJECTED: Duration = Duration::from_secs(8);

/// Time for which one VM is partitioned from all targets.
const PARTITIONED: Duration = Duration::from_secs(4);

fn desired_state(version: u32, service: &str) -> String {
    format!(
        "{{\"version\":\"r{version}\",\"resources\":[\
         {{\"resource-type\":\"routes\",\"metadata\":{{\"name\":\"booking\"}},\"spec\":{{\"host\":\"jepu9.example\",\
         \"prefix\":\"/booking/\",\"kind\":\"unsafe\",\"timeout-s\":0.6,\"aim-s\":0.25,\"priority\":1,\
         \"service\":\"{service}\",\"max-attempts\":2,\"anonymous\":true}}}},\
         {{\"resource-type\":\"services\",\"metadata\":{{\"name\":\"desk-old\"}},\"spec\":{{\"health-path\":\"/health\",\
         \"max-connections\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup-s\":3.0,\"warmup-per-s\":11.0}}}},\
         {{\"resource-type\":\"services\",\"metadata\":{{\"name\":\"desk-new\"}},\"spec\":{{\"health-path\":\"/health\",\
         \"max-connections\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup-s\":3.0,\"warmup-per-s\":11.0}}}},\
         {{\"resource-type\":\"limits\",\"metadata\":{{}},\"spec\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":1048576,\"header-timeout-s\":3,\"idle-timeout-s\":15}}}}]}}"
    )
}

/// Sends one request on a new connection and returns what became of it.
fn send(vm: &Vm, id: &str) -> String {
    let deadline = Instant::now() + Duration::from_millis(800);
    let request = format!(
        "POST /booking/2f HTTP/1.1\r\nHost: jepu9.example\r\nKumquatpond-Attempt-Id: {id}\r\n\
         Kumquatpond-Request-Deadline: 600\r\nContent-Length: 2\r\n\r\nhi"
    );
    let answer = Connection::open(vm.caller_address, Duration::from_millis(500)).and_then(
        |mut connection| {
            connection.write(request.as_bytes())?;
            connection.read(Some(deadline))
        },
    );
    match answer {
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body).trim().to_owned();
            format!("{} {body}", answer.status())
        }
        Err(error) => format!("no answer: {error}"),
    }
}

/// Returns whether the rule was broken.
pub fn run(scratch: &Path, has_trouble: bool, report: &mut Report) -> Result<bool, String> {
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    let accesses = [(); 3].map(|()| store.open_access(loopback(200)));
    let mut links = [(); 3].map(|()| Vec::new());
    for (number, service) in ["desk-old", "desk-old", "desk-new", "desk-new"]
        .iter()
        .enumerate()
    {
        let name = format!("i-{number}{service}");
        let ip = loopback(100);
        let target = Target::start(
            &name,
            service,
            ip,
            Duration::from_millis(20),
            Manner::Sound,
            &runs,
        );
        let key = format!("servers/{name}");
        for (access, links) in accesses.iter().zip(&mut links) {
            let link = Link::start(ip, target.address);
            access.add_link(&key, link.address);
            links.push(link);
        }
        store.register(&key, &target.entry(ZONE));
    }
    store.put("op/config", &desired_state(1, "desk-old"));

    let one = Vm::start(scratch, 1, ZONE, &accesses[0], true);
    let other = Vm::start(scratch, 2, ZONE, &accesses[1], true);
    let third = Vm::start(scratch, 3, ZONE, &accesses[2], true);
    let limit = Duration::from_secs(15);
    wait_for("the VMs", limit, || {
        [&one, &other, &third].iter().all(|vm| vm.is_ready())
    })?;
    wait_for("the registrations", limit, || {
        store.count("kumquat/vms/") == 3
    })?;
    std::thread::sleep(Duration::from_secs(2));
    report.line("three VMs are ready; r1 sends /booking/ to desk-old");

    let mut number = 0;
    let mut sent: Vec<(String, Instant)> = Vec::new();
    let mut send_for = |duration: Duration, report: &mut Report| {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            number += 1;
            let id = format!("{number:016x}");
            let sent_at = Instant::now();
            sent.push((id.clone(), sent_at));
            report.line_at(sent_at, &format!("sent {id} to {}", one.name));
            let answer = send(&one, &id);
            report.line(&format!("answered {id}: {answer}"));
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    send_for(Duration::from_millis(500), report);
    let rejected_at = Instant::now();
    if has_trouble {
        accesses[1].set_rejected(true);
        report.line(&format!(
            "TROUBLE: the store answers {} with 503",
            other.name
        ));
    }
    send_for(Duration::from_millis(500), report);
    store.put("op/config", &desired_state(2, "desk-new"));
    report.line("r2 is confirmed: it sends /booking/ to desk-new");
    send_for(Duration::from_millis(2_500), report);
    if has_trouble {
        for link in &links[0] {
            link.set_cut(true);
        }
        report.line(&format!(
            "TROUBLE: {} is partitioned from all targets",
            one.name
        ));
    }
    send_for(PARTITIONED, report);
    for link in &links[0] {
        link.set_cut(false);
    }
    report.line(&format!("{} reaches the targets again", one.name));
    if has_trouble && rejected_at.elapsed() > REJECTED + Duration::from_millis(500) {
        return Err("the rejection lasted too long".to_owned());
    }
    accesses[1].set_rejected(false);
    report.line(&format!("the store serves {} again", other.name));
    send_for(Duration::from_secs(3), report);

    let runs = runs.lock().unwrap().clone();
    for run in &runs {
        report.line_at(
            run.at,
            &format!(
                "{} ({}) runs {}: {}",
                run.target, run.service, run.id, run.line
            ),
        );
    }
    // A target saw the effect of r2 when one of desk-new ran a request that was sent to this VM.
    let is_ours = |id: &str| sent.iter().any(|(other, _)| other == id);
    let mut effects = runs
        .iter()
        .filter(|run| run.service == "desk-new" && is_ours(&run.id))
        .map(|run| run.at);
    let Some(effect_at) = effects.by_ref().min() else {
        return Err("r2 never took effect".to_owned());
    };
    let mut broken = 0;
    for run in runs.iter().filter(|run| run.service == "desk-old") {
        let Some((_, sent_at)) = sent.iter().find(|(id, _)| *id == run.id) else {
            continue;
        };
        if *sent_at > effect_at + ROLLBACK_SLACK {
            broken += 1;
            let late = sent_at.duration_since(effect_at).as_secs_f64();
            report.line(&format!(
                "CONFIG: {} was sent {late:.3} s after r2 took effect, and desk-old ran it",
                run.id
            ));
        }
    }
    let forwarded = runs.iter().filter(|run| run.at > effect_at).count();
    report.line(&format!(
        "{} requests sent, {forwarded} runs since r2 took effect, {broken} of them at desk-old",
        sent.len()
    ));
    Ok(broken > 0)
}
