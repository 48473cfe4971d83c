//! The `fingerprint` module provides the identity of a request's content, by which repeats of the same request are
//! recognised although each has an attempt id of its own.

use kumquat_coordination::fleet::Fingerprint;

use super::{ReceivedRequest, ResolvedRequest};
use crate::config::Route;

impl ResolvedRequest<'_> {
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| of(self.team, self.route, self.received))
    }
}

/// Returns the fingerprint of a request: who sends it, and its method, host, target and body.
///
/// The team is part of it, so that no team can have another team's requests refused. Each part is preceded by its
/// length, so that different requests don't share an encoding.
pub(super) fn of(team: Option<&str>, route: &Route, received: &ReceivedRequest) -> Fingerprint {
    let parts = [
        team.unwrap_or_default().as_bytes(),
        received.head.method.as_bytes(),
        route.host.as_bytes(),
        received.head.target.as_bytes(),
        &received.body,
    ];
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        hasher.update(&length.to_le_bytes());
        hasher.update(part);
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    Fingerprint(u64::from_le_bytes(bytes))
}
