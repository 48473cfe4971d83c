//! The `path` module tells the loss of a VM's own path to a service's upstreams from the loss of single upstreams.
//!
//! A partition between one VM and all upstreams looks, connection by connection, like the end of each upstream. The VM
//! suspects its path when several upstreams of a service fail in a row with no answer from any, and then probes others.

use std::time::Duration;

use kumquat_state::clock::Instant;

/// Upstreams that must have failed since the last answer from any upstream for the path to be suspected.
const MIN_FAILED_UPSTREAMS: usize = 2;

/// Upstreams to which connections are tried in one round of probes.
const PROBES_PER_ROUND: usize = 3;

/// Upstreams that are tried before a path counts as lost, so that it doesn't while a large part of them is down.
const CONFIRMING_PROBES: usize = 6;

/// Confirming probes of which fewer than one in this number must reach an upstream for the path to count as lost.
///
/// A partition can spare a few upstreams; a VM that reaches only these serves its callers worse than the others.
const LOSS_DIVISOR: usize = 4;

/// Interval between rounds of probes while the path is lost; callers wait for its return.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a round of probes that found the path intact before the path is suspected again.
///
/// It bounds the connections that upstreams get while many of them are down.
const SUSPICION_PAUSE: Duration = Duration::from_millis(300);

/// What a VM knows of its path to the upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathState {
    /// Upstreams answer, or nothing speaks against it.
    #[default]
    Intact,
    /// Several upstreams failed in a row; probes will tell.
    Suspected,
    /// The first probes failed as well; more will confirm the loss.
    Doubted,
    /// No upstream could be reached, or hardly any.
    Lost,
}

/// A change between an intact and a lost path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The path was lost.
    Lost {
        /// Number of upstreams that had failed since the last answer, without the probed ones.
        failed: usize,
    },
    /// The path is back.
    Regained {
        /// Time for which it was lost.
        duration: Duration,
    },
}

/// The state of a VM's path to the upstreams of one service, from the results of its exchanges and probes.
#[derive(Clone, Debug, Default)]
pub struct PathMonitor {
    state: PathState,
    // Short ids of the upstreams that failed since the last answer.
    failed: Vec<u32>,
    lost_at: Instant,
    next_probe_at: Instant,
    // Whether the last round of probes of a lost path reached an upstream.
    is_partial: bool,
}

impl PathMonitor {
    /// Returns what is known of the path.
    #[must_use]
    pub const fn state(&self) -> PathState {
        self.state
    }

    /// Records that an upstream sent an answer, which ends a suspicion.
    ///
    /// A lost path comes back by probes only: a single old connection may have survived the partition.
    pub fn record_success(&mut self) {
        self.failed.clear();
        if matches!(self.state, PathState::Suspected | PathState::Doubted) {
            self.state = PathState::Intact;
        }
    }

    /// Records that an upstream could not be reached or did not answer; returns whether probes are due now.
    pub fn record_failure(&mut self, now: Instant, upstream: u32) -> bool {
        if self.state != PathState::Intact {
            return false;
        }
        if !self.failed.contains(&upstream) {
            self.failed.push(upstream);
        }
        if self.failed.len() < MIN_FAILED_UPSTREAMS || now < self.next_probe_at {
            return false;
        }
        self.state = PathState::Suspected;
        true
    }

    /// Makes probes due because the path to another service was lost, unless some were made lately.
    pub fn suspect(&mut self, now: Instant) {
        if self.state == PathState::Intact && now >= self.next_probe_at {
            self.state = PathState::Suspected;
        }
    }

    /// Returns the time until the next round of probes is due, or `None` while the path is intact.
    #[must_use]
    pub fn probe_wait(&self, now: Instant) -> Option<Duration> {
        match self.state {
            PathState::Intact => None,
            PathState::Suspected | PathState::Doubted => Some(Duration::ZERO),
            PathState::Lost => Some(now.until(self.next_probe_at)),
        }
    }

    /// Returns the number of upstreams to try in the next round of probes.
    #[must_use]
    pub const fn probe_count(&self) -> usize {
        match self.state {
            PathState::Doubted => CONFIRMING_PROBES,
            PathState::Intact | PathState::Suspected | PathState::Lost => PROBES_PER_ROUND,
        }
    }

    /// Records the result of a round of probes: how many of the `tried` upstreams could be `reached`.
    ///
    /// One that is reached refutes a suspicion. A lost path is back once the greater part is reached, because a partition
    /// can end for some upstreams before others.
    pub fn record_probes(
        &mut self,
        now: Instant,
        reached: usize,
        tried: usize,
    ) -> Option<PathChange> {
        match self.state {
            // An answer has arrived while the probes were under way.
            PathState::Intact => None,
            PathState::Suspected if reached > 0 || tried == 0 => {
                self.refute(now);
                None
            }
            PathState::Doubted if reached * LOSS_DIVISOR >= tried => {
                self.refute(now);
                None
            }
            PathState::Suspected => {
                self.state = PathState::Doubted;
                None
            }
            PathState::Doubted => {
                self.state = PathState::Lost;
                self.lost_at = now;
                self.next_probe_at = now + PROBE_INTERVAL;
                self.is_partial = reached > 0;
                Some(PathChange::Lost {
                    failed: self.failed.len(),
                })
            }
            PathState::Lost if reached * 2 > tried => {
                self.state = PathState::Intact;
                self.failed.clear();
                Some(PathChange::Regained {
                    duration: now.saturating_since(self.lost_at),
                })
            }
            PathState::Lost => {
                self.is_partial = reached > 0;
                self.next_probe_at = now + PROBE_INTERVAL;
                None
            }
        }
    }

    /// Returns whether a lost path still leads to a few upstreams, which is better than none if no other VM can help.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.state == PathState::Lost && self.is_partial
    }

    /// Ends a suspicion that probes have refuted.
    fn refute(&mut self, now: Instant) {
        self.state = PathState::Intact;
        self.failed.clear();
        self.next_probe_at = now + SUSPICION_PAUSE;
    }
}
