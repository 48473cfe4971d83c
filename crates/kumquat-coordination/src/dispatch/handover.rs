//! The `handover` module tells what a group still has to do, for its handover to another VM and for metrics.

use super::Group;

impl Group {
    /// Returns the number of requests that wait in the queues.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        let own: u32 = self.servers.iter().map(|server| server.queue.len()).sum();
        own + self.queue.len()
    }

    /// Returns whether attempts run on an upstream that is cold.
    ///
    /// The next holder starts each upstream at its cold limit, so that attempts which still run on a cold upstream would
    /// come on top of what it bears.
    #[must_use]
    pub fn has_cold_attempts(&self) -> bool {
        self.servers
            .iter()
            .any(|server| server.running > 0 && server.ramp.is_cold())
    }
}
