//! Tests the exchange of reports between VMs over loopback UDP sockets.

mod fixture {
    pub mod router;
}

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fixture::router::{Router, run_local_test, start_unconfigured_router};
use kumquat_router::coordination::Coordination;
use kumquat_router::peers::{Report, ReportExchange};
use kumquat_router::vm::Peer;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time after which a report counts as not sent; delivery on loopback takes a fraction of it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

async fn bind_socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.expect("a free port")
}

fn peer(name: &str, data_centre: &str, socket: &UdpSocket) -> Peer {
    Peer {
        name: name.to_owned(),
        incarnation: 1,
        data_centre: data_centre.to_owned(),
        address: socket.local_addr().expect("an address"),
    }
}

/// Binds the report exchange of a router; returns it with its address.
async fn bind_exchange(router: &Router) -> (Rc<ReportExchange>, SocketAddr) {
    let (commits, _receiver) = mpsc::unbounded_channel();
    let coordination = Coordination::new(Rc::clone(&router.vm), commits);
    let reserved = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address: SocketAddr = reserved.local_addr().expect("an address");
    drop(reserved);
    let exchange = ReportExchange::bind(Rc::clone(&router.vm), coordination, address).await;
    (exchange.expect("an exchange"), address)
}

/// Returns the next report of a sender, or `None` if no datagram arrives within [`REPORT_TIMEOUT`].
async fn next_report(socket: &UdpSocket, sender: u64) -> Option<Report> {
    let mut buffer = vec![0; 8 * 1024];
    loop {
        let received = timeout(REPORT_TIMEOUT, socket.recv(&mut buffer))
            .await
            .ok()?;
        let length = received.expect("a datagram");
        let report = Report::decode(&buffer[..length]).expect("a report");
        if report.sender == sender {
            return Some(report);
        }
    }
}

/// Guards against a forwarder that keeps a report to itself, or sends it back so that it circulates between data centres.
#[test]
fn a_report_is_forwarded_within_the_data_centre_only() {
    run_local_test(async {
        let router = start_unconfigured_router();
        let (near, far) = (bind_socket().await, bind_socket().await);
        router.vm.set_registered_peers(vec![
            peer("vm-far", "elsewhere", &far),
            peer("vm-near", &router.vm.identity.data_centre, &near),
        ]);
        let (exchange, address) = bind_exchange(&router).await;
        spawn_local(exchange.run_receiver());

        let report = Report {
            sender: 77,
            sequence: 1,
            forward: true,
            in_flight: vec![5, 2],
            ..Report::default()
        };
        far.send_to(&report.encode(), address)
            .await
            .expect("a send");

        let forwarded = next_report(&near, 77).await.expect("the report");
        assert!(!forwarded.forward);
        assert_eq!(forwarded.in_flight, report.in_flight);
        assert_eq!(next_report(&far, 77).await, None);
    });
}

/// Guards against a joining VM that refuses requests because it learns the peers' use of the rates only from the next
/// regular full report.
#[test]
fn a_joining_vm_gets_a_full_report_at_once() {
    run_local_test(async {
        let router = start_unconfigured_router();
        let joining = bind_socket().await;
        // In a fleet of this size, regular reports are half a second apart.
        let mut peers: Vec<Peer> = (0..180)
            .map(|number| peer(&format!("vm-{number:03}"), "elsewhere", &joining))
            .collect();
        peers.push(peer("vm-x", &router.vm.identity.data_centre, &joining));
        router.vm.set_registered_peers(peers);
        let (exchange, address) = bind_exchange(&router).await;
        spawn_local(Rc::clone(&exchange).run_receiver());
        spawn_local(exchange.run_sender());
        let router_incarnation = router.vm.identity.incarnation;
        next_report(&joining, router_incarnation)
            .await
            .expect("the first report");

        let report = Report {
            sender: 77,
            sequence: 1,
            ..Report::default()
        };
        let sent = joining.send_to(&report.encode(), address).await;
        sent.expect("a send");
        let join_report = timeout(
            Duration::from_millis(200),
            next_report(&joining, router_incarnation),
        )
        .await;

        let join_report = join_report.expect("a report soon").expect("a report");
        assert!(
            join_report.team_usages.is_some(),
            "the use of rates is not told"
        );
    });
}
