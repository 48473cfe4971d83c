//! All open connections to the store go silent for good, and a route moves to another service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::proxy::Proxy;
use crate::store::Store;
use crate::target::{Target, sound};
use crate::vm::{Site, Vm};
use crate::{Case, Outcome};

/// `contact-s` of the site: a machine is in touch so long after its connections were reset.
const CONTACT: Duration = Duration::from_secs(3);

/// `config-converge-s` of the site.
const CONVERGE: Duration = Duration::from_secs(2);

/// Time from the silence to the change.
const CHANGE_AFTER: Duration = Duration::from_millis(3_200);

/// Time after the change for which requests are sent.
const OBSERVED: Duration = Duration::from_secs(9);

const ZONES: [&str; 3] = ["mu-north-a", "mu-north-b", "mu-north-c"];

fn desired(version: u32, service: &str) -> String {
    format!(
        r#"{{"version":"r{version}","resources":[
        {{"resource-type":"limits","metadata":{{"name":"limits"}},"spec":{{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-s":5,"idle-timeout-s":10}}}},
        {{"resource-type":"services","metadata":{{"name":"till"}},"spec":{{"sharded":false}}}},
        {{"resource-type":"services","metadata":{{"name":"till-new"}},"spec":{{"sharded":false}}}},
        {{"resource-type":"routes","metadata":{{"name":"pay"}},"spec":{{"host":"pay.example","prefix":"/pay/","kind":"unsafe","timeout-s":1.0,"aim-s":0.2,"priority":0,"max-attempts":2,"service":"{service}"}}}}
        ]}}"#
    )
}

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start();
    store.put("op/config", &desired(3, "till"));
    let work = Duration::from_millis(15);
    let start = |id: &str, service: &str, zone: &str| {
        Target::start(id, service, zone, &store, record, work, sound())
    };
    let old = [
        start("i-old1", "till", ZONES[0]),
        start("i-old2", "till", ZONES[1]),
    ];
    let new = [
        start("i-new1", "till-new", ZONES[0]),
        start("i-new2", "till-new", ZONES[1]),
    ];
    let site = Site {
        memory_mb: 260,
        contact_s: CONTACT.as_secs_f64(),
        link_mbps: 1000.0,
    };
    let mut paths = Vec::new();
    let mut vms = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let path = Proxy::start(store.address);
        let ip = format!("127.{}.40.{}", case.block, number + 1);
        vms.push(Vm::start(
            &case.scratch,
            &ip,
            number,
            zone,
            path.address,
            site,
        ));
        paths.push(path);
    }
    if !vms.iter().all(Vm::wait_ready) {
        return Outcome::Unable;
    }
    // Entries change all the time on a real installation; here one does, shortly before the silence.
    thread::sleep(Duration::from_secs(4));
    old[0].register();
    thread::sleep(Duration::from_millis(600));

    let silenced_at = Instant::now();
    if case.has_trouble {
        let open: usize = paths.iter().map(Proxy::silence).sum();
        record.say(format!(
            "{open} open connections between the VMs and the store go silent; new ones work"
        ));
    }
    thread::sleep(CHANGE_AFTER);
    store.put("op/config", &desired(7, "till-new"));
    let confirmed_at = Instant::now();
    record.say("version r7 is confirmed: /pay/ moves from till to till-new");

    let next_id = AtomicU64::new(1);
    let mut sent: Vec<(String, Instant, usize)> = Vec::new();
    while confirmed_at.elapsed() < OBSERVED {
        for (number, vm) in vms.iter().enumerate() {
            let id = format!("{:016x}", next_id.fetch_add(1, Ordering::Relaxed));
            let request = format!(
                "POST /pay/2f HTTP/1.1\r\nHost: pay.example\r\nKumquatpond-Attempt-Id: {id}\r\n\
                 Kumquatpond-Request-Deadline: 600\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
            );
            let sent_at = Instant::now();
            let answer = call(vm.callers, request.as_bytes(), Duration::from_secs(2));
            let status = answer.map_or(0, |answer| answer.status());
            let after = sent_at.duration_since(confirmed_at).as_secs_f64();
            record.line(format!(
                "{id} sent to {} {after:.3} s after the confirmation: {status}",
                vm.name
            ));
            sent.push((id, sent_at, number));
        }
        thread::sleep(Duration::from_millis(100));
    }
    if !vms.iter_mut().all(Vm::is_running) {
        record.say("a VM has ended by itself");
        return Outcome::Unable;
    }
    let judged_from = (confirmed_at + CONVERGE).max(silenced_at + CONTACT);
    judge(case, &sent, &old, &new, confirmed_at, judged_from)
}

fn judge(
    case: &Case,
    sent: &[(String, Instant, usize)],
    old: &[Arc<Target>],
    new: &[Arc<Target>],
    confirmed_at: Instant,
    judged_from: Instant,
) -> Outcome {
    let ran_at = |targets: &[Arc<Target>], id: &str| {
        let mut targets = targets.iter();
        targets.any(|target| target.runs().iter().any(|run| run == id))
    };
    let judged: Vec<_> = sent.iter().filter(|(_, at, _)| *at > judged_from).collect();
    let late: Vec<_> = judged.iter().filter(|(id, _, _)| ran_at(old, id)).collect();
    let in_time = judged.iter().filter(|(id, _, _)| ran_at(new, id)).count();
    let last = late
        .iter()
        .map(|(_, at, _)| at.duration_since(confirmed_at));
    let last = last.max().unwrap_or_default().as_secs_f64();
    case.record.say(format!(
        "of {} requests sent more than 2 s after the confirmation, {} were run by the old service, the last sent after \
         {last:.2} s, and {in_time} by the new one",
        judged.len(),
        late.len()
    ));
    if judged.is_empty() || (in_time == 0 && late.is_empty()) {
        return Outcome::Unable;
    }
    if late.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
