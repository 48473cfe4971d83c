//! The `fingerprint` module provides the identity of a request's content, by which repeats of the same request are
//! recognised although each has an attempt id of its own.

use kumquat_coordination::fleet::Fingerprint;

use super::ResolvedRequest;

impl ResolvedRequest<'_> {
    /// Returns the fingerprint of the request: who sends it, and its method, host, target and body.
    ///
    /// The team is part of it, so that no team can have another team's requests refused.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.digest())
    }

    fn digest(&self) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        // Without the lengths, different requests could share an encoding.
        let add_length = |hasher: &mut blake3::Hasher, length: usize| {
            let length = u64::try_from(length).unwrap_or(u64::MAX);
            hasher.update(&length.to_le_bytes());
        };
        let parts = [
            self.team.unwrap_or_default().as_bytes(),
            self.received.head.method.as_bytes(),
            self.route.host.as_bytes(),
            self.received.head.target.as_bytes(),
        ];
        for part in parts {
            add_length(&mut hasher, part.len());
            hasher.update(part);
        }
        add_length(&mut hasher, self.received.body.len());
        for slice in self.received.body.slices() {
            hasher.update(slice);
        }
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(u64::from_le_bytes(bytes))
    }
}
