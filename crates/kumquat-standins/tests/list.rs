//! Tests of the stand-in of the platform's list of VMs.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use kumquat_standins::list::{self, List, State, Vm};

const HOUR: Duration = Duration::from_hours(1);

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn vm(name: &str) -> Vm {
    Vm {
        vm: name.parse().expect("name"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000)),
        data_centre: "ebene".parse().expect("name"),
        state: State::Live,
    }
}

async fn shown(list: &List) -> Vec<Vm> {
    let response = reqwest::get(format!("{}/v1/vms", list.url())).await;
    let body = response.expect("answer").bytes().await.expect("body");
    serde_json::from_slice(&body).expect("JSON")
}

/// Guards against a list that is never out of date, with which the system would not be tested.
#[tokio::test]
async fn changes_show_after_the_lag() {
    let list = list::bind(loopback(), vec![vm("vm-1")], HOUR).await;
    let list = list.expect("free port");

    list.change(|vms| {
        vms[0].state = State::Leaving;
        vms.push(vm("vm-2"));
    });
    let before = shown(&list).await;
    list.set_lag(Duration::ZERO);
    let after = shown(&list).await;

    let leaving = Vm {
        state: State::Leaving,
        ..vm("vm-1")
    };
    assert_eq!(before, [vm("vm-1")]);
    assert_eq!(after, [leaving, vm("vm-2")]);
    list.stop().await;
}
