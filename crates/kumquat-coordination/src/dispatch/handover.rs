//! The `handover` module tells when a group may be handed over to another VM.

use super::Group;

impl Group {
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
