//! The `state` module provides the content of the store stand-in, its faults and its call counters.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use poem::http::StatusCode;
use serde::Serialize;
use tokio::time::Instant;

use super::Options;

/// Longest time to live of a lease.
const LEASE_LIMIT: Duration = Duration::from_hours(1);

/// Faults of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Refuses all calls with 503.
    pub outage: bool,
    /// Refuses the calls of these clients with 503, by the name in their `x-client` header.
    pub outage_clients: Vec<String>,
    /// Time before each call takes effect.
    pub delay: Duration,
    /// Number of coming writes that take effect but get no answer.
    pub lose_answers: u32,
    /// Every write of this ordinal takes effect but gets no answer; 0 for none.
    pub lose_every: u32,
    /// Limits lost answers to writes of this key.
    pub lose_key: Option<String>,
    /// Starts an outage together with the next lost answer.
    pub outage_after_loss: bool,
    /// Answers reads of single keys with the previous value.
    pub stale_reads: bool,
}

/// Counted calls; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads that were served.
    pub reads: u64,
    /// Writes that were served.
    pub writes: u64,
    /// Calls refused because of the call rate.
    pub refused: u64,
    /// Calls refused because of an outage.
    pub out: u64,
}

/// A key with its revision; revision 0 stands for a deleted key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Listed {
    /// Key.
    pub key: String,
    /// Revision.
    pub revision: u64,
}

/// A lease that is held, as answered.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(super) struct Held {
    pub(super) epoch: u64,
    pub(super) expires_in_ms: u64,
}

/// The holder that stands in the way, as answered.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(super) struct Other {
    pub(super) holder: String,
    pub(super) epoch: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Read,
    Write,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lost {
    Yes,
    No,
}

#[derive(Debug, Default)]
struct Entry {
    value: Option<Bytes>,
    revision: u64,
    generation: u64,
    previous: Option<(Bytes, u64)>,
}

#[derive(Debug, Default)]
struct Lease {
    holder: String,
    epoch: u64,
    expires: Option<Instant>,
}

/// Token bucket of one kind of call.
#[derive(Debug)]
struct Ceiling {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Ceiling {
    fn new(rate: u32, burst: u32, now: Instant) -> Self {
        let burst = f64::from(burst);
        Self {
            rate: f64::from(rate),
            burst,
            level: burst,
            at: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) faults: Faults,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<String, Lease>,
    generation: u64,
    reads: Ceiling,
    writes: Ceiling,
    effective_writes: u64,
    calls: BTreeMap<String, Calls>,
}

impl State {
    pub(super) fn new(options: Options, now: Instant) -> Self {
        Self {
            faults: Faults::default(),
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            generation: 0,
            reads: Ceiling::new(options.reads, options.read_burst, now),
            writes: Ceiling::new(options.writes, options.write_burst, now),
            effective_writes: 0,
            calls: BTreeMap::new(),
        }
    }

    pub(super) fn is_out(&self, client: &str) -> bool {
        self.faults.outage || self.faults.outage_clients.iter().any(|name| name == client)
    }

    /// Counts a call and returns the status of its refusal, if it is refused.
    pub(super) fn admit(
        &mut self,
        client: &str,
        kind: Kind,
        now: Instant,
    ) -> Result<(), StatusCode> {
        let out = self.is_out(client);
        let calls = self.calls.entry(client.to_owned()).or_default();
        if out {
            calls.out += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let (ceiling, count) = match kind {
            Kind::Read => (&mut self.reads, &mut calls.reads),
            Kind::Write => (&mut self.writes, &mut calls.writes),
        };
        if !ceiling.take(now) {
            calls.refused += 1;
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        *count += 1;
        Ok(())
    }

    /// Decides whether the answer of a write that has taken effect is lost; `key` is none for lease calls.
    pub(super) fn lose_answer(&mut self, key: Option<&str>) -> Lost {
        if self.faults.lose_key.is_some() && self.faults.lose_key.as_deref() != key {
            return Lost::No;
        }
        self.effective_writes += 1;
        let every = u64::from(self.faults.lose_every);
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
        } else if every == 0 || !self.effective_writes.is_multiple_of(every) {
            return Lost::No;
        }
        if std::mem::take(&mut self.faults.outage_after_loss) {
            self.faults.outage = true;
        }
        Lost::Yes
    }

    pub(super) fn calls(&self) -> Calls {
        self.calls
            .values()
            .fold(Calls::default(), |sum, calls| Calls {
                reads: sum.reads + calls.reads,
                writes: sum.writes + calls.writes,
                refused: sum.refused + calls.refused,
                out: sum.out + calls.out,
            })
    }

    pub(super) fn calls_of(&self, client: &str) -> Calls {
        self.calls.get(client).copied().unwrap_or_default()
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    pub(super) fn get(&self, key: &str, stale: bool) -> Option<(Bytes, u64)> {
        let entry = self.entries.get(key)?;
        if stale && entry.previous.is_some() {
            return entry.previous.clone();
        }
        Some((entry.value.clone()?, entry.revision))
    }

    /// Writes or deletes a key and returns its new revision, or the current one if `expected` differs from it.
    pub(super) fn put(
        &mut self,
        key: &str,
        value: Option<Bytes>,
        expected: Option<u64>,
    ) -> Result<u64, u64> {
        let existing = self.entries.get(key);
        let current = existing.map_or(0, |entry| {
            if entry.value.is_some() {
                entry.revision
            } else {
                0
            }
        });
        if expected.is_some_and(|expected| expected != current) {
            return Err(current);
        }
        // Deleting what does not exist changes nothing.
        if value.is_none() && current == 0 {
            return Ok(existing.map_or(0, |entry| entry.revision));
        }

        self.generation += 1;
        let entry = self.entries.entry(key.to_owned()).or_default();
        entry.previous = entry.value.take().map(|value| (value, entry.revision));
        entry.value = value;
        entry.revision += 1;
        entry.generation = self.generation;
        Ok(entry.revision)
    }

    pub(super) fn list(&self, prefix: &str) -> Vec<Listed> {
        self.under(prefix)
            .filter(|(_, entry)| entry.value.is_some())
            .map(|(key, entry)| Listed {
                key: key.clone(),
                revision: entry.revision,
            })
            .collect()
    }

    /// Returns the keys that have changed after the generation `after`; deleted keys have revision 0.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Vec<Listed> {
        self.under(prefix)
            .filter(|(_, entry)| entry.generation > after)
            .map(|(key, entry)| Listed {
                key: key.clone(),
                revision: if entry.value.is_some() {
                    entry.revision
                } else {
                    0
                },
            })
            .collect()
    }

    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Entry)> {
        self.entries
            .range::<str, _>((
                std::ops::Bound::Included(prefix),
                std::ops::Bound::Unbounded,
            ))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Takes a lease. A holder that takes its own lease again gets a new epoch, because it may not know the present one.
    pub(super) fn acquire(
        &mut self,
        name: &str,
        holder: &str,
        ttl_ms: u64,
        now: Instant,
    ) -> Result<Held, Other> {
        let lease = self.leases.entry(name.to_owned()).or_default();
        if lease.is_valid(now) && lease.holder != holder {
            return Err(lease.other(now));
        }
        lease.epoch += 1;
        holder.clone_into(&mut lease.holder);
        Ok(lease.extend(ttl_ms, now))
    }

    pub(super) fn renew(
        &mut self,
        name: &str,
        holder: &str,
        epoch: u64,
        ttl_ms: u64,
        now: Instant,
    ) -> Result<Held, Other> {
        let lease = self.leases.entry(name.to_owned()).or_default();
        if !lease.is_valid(now) || lease.holder != holder || lease.epoch != epoch {
            return Err(lease.other(now));
        }
        Ok(lease.extend(ttl_ms, now))
    }

    pub(super) fn release(
        &mut self,
        name: &str,
        holder: &str,
        epoch: u64,
        now: Instant,
    ) -> Result<Held, Other> {
        let lease = self.leases.entry(name.to_owned()).or_default();
        if !lease.is_valid(now) || lease.holder != holder || lease.epoch != epoch {
            return Err(lease.other(now));
        }
        lease.expires = None;
        Ok(Held {
            epoch,
            expires_in_ms: 0,
        })
    }

    pub(super) fn expire_lease(&mut self, name: &str) {
        if let Some(lease) = self.leases.get_mut(name) {
            lease.expires = None;
        }
    }
}

impl Lease {
    fn is_valid(&self, now: Instant) -> bool {
        self.expires.is_some_and(|expires| now < expires)
    }

    fn extend(&mut self, ttl_ms: u64, now: Instant) -> Held {
        self.expires = Some(now + Duration::from_millis(ttl_ms).min(LEASE_LIMIT));
        Held {
            epoch: self.epoch,
            expires_in_ms: ttl_ms,
        }
    }

    /// Describes the holder; a lapsed lease has none.
    fn other(&self, now: Instant) -> Other {
        let holder = if self.is_valid(now) {
            self.holder.clone()
        } else {
            String::new()
        };
        Other {
            holder,
            epoch: self.epoch,
        }
    }
}
