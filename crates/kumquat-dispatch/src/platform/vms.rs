//! The `vms` module provides the task that reads the platform's list of VMs.

use std::time::Duration;

use kumquat_transport::list::Client;

use super::Context;
use crate::control::Event;

/// Time between two reads of the list; the list lags behind reality by more than that.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the list while this VM holds or seeks the coordinator's lease.
pub async fn follow(mut context: Context, list: Client) {
    while context.wait_for(|direction| direction.campaign).await {
        // A failure changes nothing, because the list is a hint only.
        if let Ok(vms) = list.fetch().await {
            context.report(Event::Listed(vms)).await;
        }
        if !context.sleep(READ_INTERVAL).await {
            return;
        }
    }
}
