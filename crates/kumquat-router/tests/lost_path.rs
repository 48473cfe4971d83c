//! Tests what callers of a VM get that has lost its path to all upstreams.

mod fixture {
    pub mod mortal;
    pub mod router;
}

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use fixture::mortal::{DeadlyRecord, MortalUpstream, start_fleet};
use fixture::router::{Router, request, run_local_test, send_request, status};
use kumquat_router::vm::Vm;
use socket2::{Domain, Socket, Type};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Time from the beginning of a cut from which callers are to be served, as the deployments require.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time for which the first tries are counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// Interval between the requests to each VM.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// Number of VMs, of which the first ones lose their paths.
const VM_COUNT: usize = 3;

/// Number of upstreams.
const UPSTREAM_COUNT: usize = 5;

/// An address to which connections are neither established nor refused.
#[derive(Debug)]
struct Blackhole {
    address: SocketAddr,
    _listener: Socket,
    _queued: Vec<Socket>,
}

impl Blackhole {
    fn bind() -> Self {
        let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let listener = socket();
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        listener.bind(&any.into()).expect("a free port");
        listener.listen(0).expect("a listener");
        let address = listener.local_addr().expect("an address");
        // The kernel drops further connection attempts while the queue of the listener is full.
        let queued = (0..4).map(|_| {
            let queued = socket();
            queued.set_nonblocking(true).expect("an open socket");
            drop(queued.connect(&address));
            queued
        });
        Self {
            address: address.as_socket().expect("an IP address"),
            _queued: queued.collect(),
            _listener: listener,
        }
    }
}

/// Returns an address that refuses connections.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Counts of requests and of those that were served at the first try.
#[derive(Debug, Default)]
struct Counts {
    sent: Cell<u32>,
    served: Cell<u32>,
}

/// Sends requests to a VM for a while, and counts those that are sent after a time.
async fn send_requests(router: &Router, counted_from: Instant, end: Instant, counts: &Rc<Counts>) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let (method, path) = if number % 2 == 0 {
            ("POST", "/once/1")
        } else {
            ("GET", "/safe/1")
        };
        let text = request(method, path, &format!("r{number}"));
        let (address, counts) = (router.address, Rc::clone(counts));
        spawn_local(async move {
            let is_counted = Instant::now() >= counted_from;
            let answer = send_request(address, &text).await;
            if is_counted {
                counts.sent.set(counts.sent.get() + 1);
                let is_served = status(&answer) == 200;
                counts
                    .served
                    .set(counts.served.get() + u32::from(is_served));
            }
        });
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Cuts the first `cut_count` VMs from all upstreams, and returns the counts for those and for the others.
async fn play_cut(cut_address: impl Fn() -> SocketAddr, cut_count: usize) -> [(u32, u32); 2] {
    let routers = start_fleet(VM_COUNT).await;
    let vms: Rc<[Rc<Vm>]> = routers.iter().map(|router| Rc::clone(&router.vm)).collect();
    let record = Rc::new(DeadlyRecord::default());
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAM_COUNT {
        upstreams.push(MortalUpstream::start(&format!("u{number}"), &vms, &record).await);
    }
    sleep(Duration::from_millis(500)).await;

    for vm in &vms[..cut_count] {
        for upstream in &upstreams {
            let mut registration = upstream.registration();
            registration.address = cut_address();
            vm.upsert_upstream(registration);
        }
    }
    let counted_from = Instant::now() + CONTACT_TIME;
    let end = counted_from + OBSERVATION_TIME;
    let counts = [Rc::new(Counts::default()), Rc::new(Counts::default())];
    let mut tasks = Vec::new();
    for (number, router) in routers.into_iter().enumerate() {
        let counts = Rc::clone(&counts[usize::from(number >= cut_count)]);
        tasks.push(spawn_local(async move {
            send_requests(&router, counted_from, end, &counts).await;
        }));
    }
    for task in tasks {
        task.await.expect("the requests are sent");
    }
    sleep(Duration::from_secs(1)).await;
    counts.map(|counts| (counts.served.get(), counts.sent.get()))
}

/// Panics if VMs without a path serve less than two thirds as often as the others, and too many of their tries fail.
fn assert_served(counts: [(u32, u32); 2]) {
    let [(served, sent), (others_served, others_sent)] = counts;
    println!("without a path {served} of {sent}, the others {others_served} of {others_sent}");
    let share = f64::from(served) / f64::from(sent);
    let others_share = f64::from(others_served) / f64::from(others_sent);
    let failed = sent - served;
    let allowed = 10 + (sent + others_sent) / 50;
    assert!(share * 3.0 >= others_share * 2.0 || failed <= allowed);
    assert!(others_share > 0.9, "the VMs with a path have to serve");
}

/// Guards against a VM that refuses its callers while it has no path, although other VMs have one.
#[test]
fn callers_are_served_while_connections_of_their_vm_to_all_upstreams_hang() {
    run_local_test(async {
        let blackhole = Blackhole::bind();

        let counts = play_cut(|| blackhole.address, 2).await;

        assert_served(counts);
    });
}

/// Guards against the same where the connections are refused, as a partition may do.
#[test]
fn callers_are_served_while_connections_of_their_vm_to_all_upstreams_are_refused() {
    run_local_test(async {
        let counts = play_cut(closed_address, 2).await;

        assert_served(counts);
    });
}
