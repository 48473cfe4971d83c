//! Tests that a request that ends each upstream that executes it is kept from the upstreams.

mod fixture {
    pub mod mortal;
    pub mod router;
}

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use fixture::mortal::{DeadlyRecord, MortalUpstream, start_fleet};
use fixture::router::{header_field, request, run_local_test, send_request, status};
use kumquat_coordination::fleet::{Fingerprint, ReportedHold};
use kumquat_router::caller::quarantine_page;
use kumquat_router::vm::Vm;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Time after the third end from which the tries are bounded, as the deployments require.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Tries that may reach upstreams after that.
const MAX_LATE_TRIES: usize = 3;

/// Interval between the deadly requests.
const DEADLY_INTERVAL: Duration = Duration::from_millis(100);

/// Guards against a request that ends upstream after upstream, because no VM remembers what it did to the others.
#[test]
fn a_request_that_has_ended_three_upstreams_reaches_at_most_three_more() {
    run_local_test(async {
        let routers = start_fleet(4).await;
        let vms: Rc<[Rc<Vm>]> = routers.iter().map(|router| Rc::clone(&router.vm)).collect();
        let record = Rc::new(DeadlyRecord::default());
        for number in 0..10 {
            MortalUpstream::start(&format!("u{number}"), &vms, &record).await;
        }
        let addresses: Vec<_> = routers.iter().map(|router| router.address).collect();
        let (served, sent) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));

        let started_at = Instant::now();
        let mut number = 0;
        while started_at.elapsed() < Duration::from_secs(9) {
            let address = addresses[number % addresses.len()];
            let deadly = request("GET", "/safe/deadly", &format!("d{number}"));
            spawn_local(async move { send_request(address, &deadly).await });
            for ordinary in 0..3 {
                let text = request("GET", "/safe/other", &format!("o{number}-{ordinary}"));
                let (served, sent) = (Rc::clone(&served), Rc::clone(&sent));
                let address = addresses[(number + ordinary) % addresses.len()];
                spawn_local(async move {
                    sent.set(sent.get() + 1);
                    if status(&send_request(address, &text).await) == 200 {
                        served.set(served.get() + 1);
                    }
                });
            }
            number += 1;
            sleep(DEADLY_INTERVAL).await;
        }
        sleep(Duration::from_secs(1)).await;

        let ends = record.ends.borrow().clone();
        assert!(
            ends.len() >= 3,
            "the request has to end upstreams: {}",
            ends.len()
        );
        let bounded_from = ends[2] + CONTACT_TIME;
        let arrivals = record.arrivals.borrow();
        let late_tries = arrivals.iter().filter(|at| **at > bounded_from).count();
        println!(
            "ends: {}, tries: {}, late: {late_tries}, other requests served: {} of {}",
            ends.len(),
            arrivals.len(),
            served.get(),
            sent.get()
        );
        assert!(late_tries <= MAX_LATE_TRIES, "{late_tries} tries came late");
    });
}

/// Guards against a content that operators can neither see nor release.
#[test]
fn an_operator_sees_and_lifts_a_quarantine() {
    run_local_test(async {
        let routers = start_fleet(1).await;
        let vm = &routers[0].vm;
        vm.adopt_quarantine(&ReportedHold {
            fingerprint: Fingerprint(0xab),
            round: 2,
            remaining: Duration::from_secs(40),
        });

        let page = quarantine_page(vm, "GET", "/quarantine");
        let malformed = quarantine_page(vm, "DELETE", "/quarantine/xyz");
        let lifted = quarantine_page(vm, "DELETE", "/quarantine/00000000000000ab");
        let again = quarantine_page(vm, "DELETE", "/quarantine/00000000000000ab");

        let (status, page) = page.expect("a page");
        let page = String::from_utf8(page).expect("text");
        assert_eq!(status, 200);
        assert!(
            page.starts_with("00000000000000ab round=2 remaining_s="),
            "{page}"
        );
        assert_eq!(malformed.map(|page| page.0), Some(400));
        assert_eq!(lifted.map(|page| page.0), Some(200));
        assert_eq!(again.map(|page| page.0), Some(404));
        assert!(quarantine_page(vm, "GET", "/metrics").is_none());
    });
}

/// Guards against a refusal that callers repeat at once, because it tells them to come back within two seconds.
#[test]
fn a_quarantined_request_is_refused_until_the_end_of_its_quarantine() {
    run_local_test(async {
        let routers = start_fleet(1).await;
        let vms: Rc<[Rc<Vm>]> = routers.iter().map(|router| Rc::clone(&router.vm)).collect();
        let record = Rc::new(DeadlyRecord::default());
        for number in 0..4 {
            MortalUpstream::start(&format!("u{number}"), &vms, &record).await;
        }
        let address = routers[0].address;
        while vms[0].quarantines().is_empty() {
            send_request(address, &request("POST", "/once/deadly", "d")).await;
            sleep(Duration::from_millis(2)).await;
            send_request(address, &request("GET", "/safe/other", "o")).await;
        }

        let answer = send_request(address, &request("POST", "/once/deadly", "late")).await;

        assert_eq!(status(&answer), 503, "{answer}");
        let retry_after = header_field(&answer, "Retry-After").expect("a field");
        let retry_after: f64 = retry_after.parse().expect("seconds");
        assert!((30.0..=90.0).contains(&retry_after), "{retry_after}");
        assert!(record.arrivals.borrow().len() <= 4);
    });
}
