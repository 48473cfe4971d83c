//! All VMs of an installation with narrow links are killed at once, after its desired state has grown.

use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::proxy::Proxy;
use crate::store::Store;
use crate::target::{Target, sound};
use crate::vm::{Site, Vm};
use crate::{Case, Outcome};

/// Link of the narrow machines of the site.
const LINK_MBPS: f64 = 10.0;

/// `recovery-s` of the site.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time for which requests are sent before the kill, and after the time for the recovery.
const OBSERVED: Duration = Duration::from_secs(10);

/// Routes by which the desired state grows, one version after the other; no more at once than in the site file.
const GROWTH: [usize; 3] = [1_400, 1_400, 1_000];

/// Largest value of the store.
const VALUE_BYTES: usize = 1_048_576;

const ZONES: [&str; 2] = ["mu-north-a", "mu-north-b"];

fn desired(version: u32, routes: usize) -> String {
    let mut text = format!(
        "{{\"version\":\"r{version}\",\"resources\":[\
         {{\"resource-type\":\"limits\",\"metadata\":{{\"name\":\"limits\"}},\"spec\":{{\"max-header-bytes\":16384,\"max-body-bytes\":65536,\"header-timeout-s\":5,\"idle-timeout-s\":10}}}},\
         {{\"resource-type\":\"services\",\"metadata\":{{\"name\":\"till\"}},\"spec\":{{\"sharded\":false}}}},\
         {{\"resource-type\":\"routes\",\"metadata\":{{\"name\":\"pay\"}},\"spec\":{{\"host\":\"pay.example\",\"prefix\":\"/pay/\",\"kind\":\"unsafe\",\"timeout-s\":1.0,\"aim-s\":0.3,\"priority\":0,\"max-attempts\":2,\"service\":\"till\"}}}}"
    );
    for number in 0..routes {
        text.push_str(&format!(
            ",{{\"resource-type\":\"routes\",\"metadata\":{{\"name\":\"route-{number:05}\"}},\"spec\":{{\"host\":\"shop{number:05}.example\",\"prefix\":\"/counter{number:05}/\",\"kind\":\"unsafe\",\"timeout-s\":1.2,\"aim-s\":0.3,\"priority\":1,\"max-attempts\":2,\"service\":\"till\"}}}}"
        ));
    }
    text.push_str("]}");
    text
}

/// Pays at each VM in turn for some time; returns how many payments were sent and served.
fn pay(case: &Case, vms: &[Vm], label: &str, duration: Duration) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    let started = Instant::now();
    while started.elapsed() < duration {
        let vm = &vms[sent % vms.len()];
        sent += 1;
        let request = format!(
            "POST /pay/2f HTTP/1.1\r\nHost: pay.example\r\nKumquatpond-Attempt-Id: {label}{sent:04}\r\n\
             Kumquatpond-Request-Deadline: 800\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
        );
        let answer = call(vm.callers, request.as_bytes(), Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        served += usize::from(status == 200);
        case.record
            .line(format!("{label}{sent:04} at {}: {status}", vm.name));
        thread::sleep(Duration::from_millis(50));
    }
    (sent, served)
}

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start();
    store.put("op/config", &desired(1, 0));
    let _targets: Vec<_> = (1..=4)
        .map(|number| {
            let (id, zone) = (format!("i-till{number}"), ZONES[number % 2]);
            Target::start(
                &id,
                "till",
                zone,
                &store,
                record,
                Duration::from_millis(15),
                sound(),
            )
        })
        .collect();
    let site = Site {
        memory_mb: 160,
        contact_s: 3.0,
        link_mbps: LINK_MBPS,
    };
    let mut links = Vec::new();
    let mut vms = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let link = Proxy::with_bandwidth(store.address, Some(LINK_MBPS * 1e6 / 8.0));
        let ip = format!("127.{}.43.{}", case.block, number + 1);
        vms.push(Vm::start(
            &case.scratch,
            &ip,
            number,
            zone,
            link.address,
            site,
        ));
        links.push(link);
    }
    if !vms.iter().all(Vm::wait_ready) {
        return Outcome::Unable;
    }
    let mut routes = 0;
    for (step, growth) in GROWTH.iter().enumerate() {
        routes += growth;
        let state = desired(10 + step as u32, routes);
        assert!(
            state.len() <= VALUE_BYTES,
            "the store takes no larger value"
        );
        store.put("op/config", &state);
        record.say(format!(
            "the desired state has {routes} routes more and {} bytes",
            state.len()
        ));
        thread::sleep(Duration::from_secs(4));
    }
    let (sent_before, served_before) = pay(case, &vms, "b", OBSERVED);
    record.say(format!(
        "before: {served_before} of {sent_before} payments served"
    ));
    if served_before * 4 < sent_before {
        return Outcome::Unable;
    }
    if case.has_trouble {
        record.say("all VMs are killed, and started again a second later");
        vms.iter_mut().for_each(Vm::kill);
        thread::sleep(Duration::from_secs(1));
        vms.iter_mut().for_each(Vm::restart);
    }
    thread::sleep(RECOVERY);
    let (sent, served) = pay(case, &vms, "a", OBSERVED);
    let ready = vms
        .iter()
        .filter(|vm| vm.ready(Duration::from_secs(1)).is_some())
        .count();
    record.say(format!(
        "later than {} s after the start: {served} of {sent} payments served; {ready} of {} VMs are ready; {} times \"store lost\" in their logs",
        RECOVERY.as_secs(),
        vms.len(),
        vms.iter().map(|vm| vm.count_in_log("store lost")).sum::<usize>()
    ));
    if served * 4 < sent {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
