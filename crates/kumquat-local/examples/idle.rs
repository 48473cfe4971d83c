//! Shows the store calls and the control traffic of an idle deployment by VM, to check who watches the store, who seeks
//! the lease, and what staying a member costs.

use std::time::Duration;

use eyre::Result;
use kumquat_local::{Deployment, Shape};
use slog::{Discard, Logger, o};

#[tokio::main]
async fn main() -> Result<()> {
    let log = Logger::root(Discard, o!());
    let deployment = Deployment::open(&Shape::port_louis(), &log).await?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let calls = |name: &str| deployment.store.calls_of(name);
    show(&deployment);
    let before: Vec<_> = deployment
        .vms
        .iter()
        .map(|vm| calls(vm.name().as_str()))
        .collect();
    tokio::time::sleep(Duration::from_secs(10)).await;
    for (vm, before) in deployment.vms.iter().zip(before) {
        let after = calls(vm.name().as_str());
        println!("{} before {before:?} after {after:?}", vm.name());
    }
    show(&deployment);
    deployment.stop().await;
    Ok(())
}

fn show(deployment: &Deployment) {
    for vm in &deployment.vms {
        let Some(dispatch) = &vm.dispatch else {
            continue;
        };
        for line in dispatch.metrics().render().lines() {
            let shown = [
                "kumquat_dispatch_store_calls",
                "kumquat_dispatch_control_",
                "kumquat_dispatch_ledger_revision ",
            ];
            if shown.iter().any(|name| line.starts_with(name)) {
                println!("{} {line}", vm.name());
            }
        }
    }
}
