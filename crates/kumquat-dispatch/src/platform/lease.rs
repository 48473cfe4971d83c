//! The `lease` module provides the task that obtains and renews the coordinator's lease.

use std::time::Duration;

use tokio::time::Instant;

use kumquat_state::clock;
use kumquat_state::ledger::Holder;
use kumquat_transport::store::{Failure, Lease};

use super::Context;
use crate::control::Event;

/// Name of the lease in the store.
const NAME: &str = "coordinator";

/// Time to live of the lease.
const TIME_TO_LIVE: Duration = Duration::from_secs(2);

/// Time between renewals; two of them may fail before the lease lapses.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);

/// Longest wait before a VM tries to obtain a free lease, so that not all VMs try at once.
const JITTER: Duration = Duration::from_millis(300);

/// Obtains and renews the lease while the control loop wants it.
pub async fn hold(mut context: Context, me: Holder) {
    let holder = format!("{}/{}", me.vm, me.incarnation);
    while context.wait_for(|direction| direction.campaign).await {
        let jitter = JITTER.mul_f64(rand::random_range(0.0..1.0));
        if !context.sleep(jitter).await {
            return;
        }
        if !context.direction.borrow().campaign {
            continue;
        }
        let begun = Instant::now();
        let acquire = context.client.acquire(NAME, &holder, TIME_TO_LIVE);
        match context.pace.call("acquire", acquire).await {
            Ok(lease) => {
                context.report(Event::Lease(Some(lease.epoch))).await;
                renew(&mut context, lease, begun).await;
                context.report(Event::Lease(None)).await;
            }
            Err(_) => {
                if !context.sleep(RENEW_INTERVAL).await {
                    return;
                }
            }
        }
    }
}

/// Renews a lease until it is lost or no longer wanted.
async fn renew(context: &mut Context, mut lease: Lease, begun: Instant) {
    // Counted from before the call, because the store may have started the time to live at any moment since.
    let lasts = clock::shortened(TIME_TO_LIVE);
    let mut valid_until = begun + lasts;
    loop {
        let wait = tokio::time::sleep(RENEW_INTERVAL);
        tokio::select! {
            () = context.ended.cancelled() => break,
            _ = context.direction.wait_for(|direction| !direction.campaign) => break,
            () = wait => {}
        }
        let begun = Instant::now();
        let result = context
            .pace
            .call("renew", context.client.renew(&lease, TIME_TO_LIVE))
            .await;
        match result {
            Ok(renewed) => {
                lease = renewed;
                valid_until = begun + lasts;
            }
            Err(Failure::Held { .. }) => return,
            Err(_) if Instant::now() >= valid_until => return,
            Err(_) => {}
        }
    }
    // Without this the next coordinator would have to wait for the lease to lapse.
    drop(context.client.release(&lease).await);
}
