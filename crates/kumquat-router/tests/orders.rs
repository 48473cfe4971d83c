//! Tests how the coordinator's orders reach upstreams.

mod fixture {
    pub mod router;
}

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use fixture::router::{
    KEYED, Router, ScriptedUpstream, UpstreamAction, registration, request, run_local_test,
    send_request, single_owner_map, sleep_ms, start_router, status,
};
use kumquat_coordination::fleet::Era;
use kumquat_router::coordination::{Coordination, OwnershipCommit};
use kumquat_state::clock;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Request lines by connection, in the order of arrival.
type Connections = Rc<RefCell<Vec<Vec<String>>>>;

/// Starts an upstream that answers everything with 200 and the request's id, and keeps its connections.
async fn start_recording_upstream() -> (std::net::SocketAddr, Connections) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connections = Connections::default();
    let recorded = Rc::clone(&connections);
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let index = recorded.borrow().len();
            recorded.borrow_mut().push(Vec::new());
            let recorded = Rc::clone(&recorded);
            spawn_local(async move {
                let mut buffer = [0; 4096];
                // Each message arrives in one piece, because it is written in one.
                while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                    let line = text.lines().next().unwrap_or_default().to_owned();
                    recorded.borrow_mut()[index].push(line);
                    let id = text.lines().find(|line| line.starts_with("X-Try: "));
                    let id = id.map_or(String::new(), |line| format!("{line}\r\nX-Sign: s\r\n"));
                    let answer = format!("HTTP/1.1 200 OK\r\n{id}Content-Length: 0\r\n\r\n");
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, connections)
}

/// Starts a router with the coordination of a keyed service, whose writes all succeed and whose owner is recorded.
async fn start_coordination() -> (Router, Rc<Coordination>, Connections) {
    let unkeyed = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
    let router = start_router(&[&unkeyed]);
    let (address, connections) = start_recording_upstream().await;
    let mut owner = registration("owner", KEYED, &unkeyed);
    owner.address = address;
    router.vm.upsert_upstream(owner);
    let (commits, mut receiver) = mpsc::unbounded_channel::<OwnershipCommit>();
    let coordination = Coordination::new(Rc::clone(&router.vm), commits);
    let map = single_owner_map("owner", 7, &[]);
    router.vm.set_ownership_map(&KEYED.into(), map);
    spawn_local(Rc::clone(&coordination).run());
    let this = Rc::clone(&coordination);
    spawn_local(async move {
        while let Some(commit) = receiver.recv().await {
            this.on_committed(&commit.service, &commit.map);
        }
    });
    (router, coordination, connections)
}

fn hold_lease(coordination: &Coordination) {
    let until = clock::now() + Duration::from_mins(1);
    coordination.extend_lease(until, until);
}

/// Guards against an order whose result is a late or repeated answer to an earlier exchange on its connection.
#[test]
fn an_order_is_the_first_message_on_its_connection() {
    run_local_test(async {
        let (router, coordination, connections) = start_coordination().await;

        let text = request("GET", "/keyed/a", "t1");
        let before = send_request(router.address, &text).await;
        hold_lease(&coordination);
        sleep_ms(2_200).await;

        assert_eq!(status(&before), 200, "{before}");
        let connections = connections.borrow();
        let is_order = |line: &String| line.starts_with("POST /grant");
        let orders = connections.iter().flatten().filter(|line| is_order(line));
        assert!(orders.count() >= 2, "{connections:?}");
        let mut later = connections.iter().flat_map(|lines| lines.iter().skip(1));
        assert!(!later.any(is_order), "{connections:?}");
    });
}

/// Guards against grants of a VM whose coordinators were kept while another VM may have been the coordinator.
#[test]
fn coordinators_kept_through_an_era_without_the_lease_wait_for_its_grants() {
    run_local_test(async {
        let (_router, coordination, connections) = start_coordination().await;
        hold_lease(&coordination);
        sleep_ms(1_000).await;
        assert!(!connections.borrow().is_empty());
        coordination.begin_era(Era(2), clock::now());
        sleep_ms(7_000).await;
        coordination.begin_era(Era(3), clock::now());
        let before = connections.borrow().len();
        hold_lease(&coordination);
        sleep_ms(1_000).await;
        assert_eq!(connections.borrow().len(), before);
    });
}

/// Guards against a VM of a deployment's first start that reaches the store only after others have sent grants.
#[test]
fn a_vm_that_reaches_the_store_long_after_the_first_start_waits_for_lost_grants() {
    run_local_test(async {
        let (_router, coordination, connections) = start_coordination().await;
        coordination.assume_no_earlier_grants();
        sleep_ms(3_000).await;
        coordination.begin_era(Era(2), clock::now());
        hold_lease(&coordination);
        sleep_ms(1_000).await;
        assert_eq!(connections.borrow().len(), 0);
    });
}
