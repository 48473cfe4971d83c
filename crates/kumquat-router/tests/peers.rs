//! Guards the exchange of reports between VMs over real sockets.

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

/// Time after which a report counts as not sent; loopback needs a fraction of it.
const SILENCE: Duration = Duration::from_millis(300);

async fn socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.expect("a free port")
}

fn peer(name: &str, data_centre: &str, socket: &UdpSocket) -> Peer {
    Peer {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        address: socket.local_addr().expect("an address"),
    }
}

/// Returns the exchange of a router's reports and its address.
async fn exchange(router: &Router) -> (Rc<ReportExchange>, SocketAddr) {
    let (commits, _receiver) = mpsc::unbounded_channel();
    let coordination = Coordination::new(Rc::clone(&router.vm), commits);
    let reserved = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address: SocketAddr = reserved.local_addr().expect("an address");
    drop(reserved);
    let exchange = ReportExchange::bind(Rc::clone(&router.vm), coordination, address).await;
    (exchange.expect("an exchange"), address)
}

/// Returns the next report of a sender that arrives.
async fn heard(socket: &UdpSocket, from: u64) -> Option<Report> {
    let mut buffer = vec![0; 8 * 1024];
    loop {
        let received = timeout(SILENCE, socket.recv(&mut buffer)).await.ok()?;
        let length = received.expect("a datagram");
        let report = Report::decode(&buffer[..length]).expect("a report");
        if report.from == from {
            return Some(report);
        }
    }
}

/// Guards against reports that end at the VM that should pass them on, or go round between data centres.
#[test]
fn a_report_is_passed_on_within_the_data_centre_only() {
    run_local_test(async {
        let router = start_unconfigured_router();
        let (near, far) = (socket().await, socket().await);
        router.vm.set_peers(vec![
            peer("vm-far", "elsewhere", &far),
            peer("vm-near", &router.vm.identity.data_centre, &near),
        ]);
        let (exchange, address) = exchange(&router).await;
        spawn_local(exchange.run_receiver());

        let report = Report {
            from: 77,
            number: 1,
            pass_on: true,
            running: vec![5, 2],
            ..Report::default()
        };
        far.send_to(&report.encode(), address)
            .await
            .expect("a send");

        let passed = heard(&near, 77).await.expect("the report");
        assert!(!passed.pass_on);
        assert_eq!(passed.running, report.running);
        assert_eq!(heard(&far, 77).await, None);
    });
}

/// Guards against a VM that refuses requests after its start because the others tell it late what they use.
#[test]
fn a_vm_that_joins_is_told_at_once() {
    run_local_test(async {
        let router = start_unconfigured_router();
        let joining = socket().await;
        // In a fleet of this size regular reports are half a second apart.
        let mut peers: Vec<Peer> = (0..180)
            .map(|number| peer(&format!("vm-{number:03}"), "elsewhere", &joining))
            .collect();
        peers.push(peer("vm-x", &router.vm.identity.data_centre, &joining));
        router.vm.set_peers(peers);
        let (exchange, address) = exchange(&router).await;
        spawn_local(Rc::clone(&exchange).run_receiver());
        spawn_local(exchange.run_sender());
        let own = router.vm.identity.incarnation;
        heard(&joining, own).await.expect("the first report");

        let report = Report {
            from: 77,
            number: 1,
            ..Report::default()
        };
        let sent = joining.send_to(&report.encode(), address).await;
        sent.expect("a send");
        let greeting = timeout(Duration::from_millis(200), heard(&joining, own)).await;

        let greeting = greeting.expect("a report soon").expect("a report");
        assert!(greeting.usages.is_some(), "the use of rates is not told");
    });
}
