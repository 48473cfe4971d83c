//! The `ownership` module follows which upstream owns which keys, by grants held and by running requests.

use std::collections::HashMap;

use kumquat_state::clock;

use super::Run;

/// What a grant covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Area {
    /// One slot of the key space.
    Slot(u32),
    /// One key, by its hash.
    Key(u64),
}

/// Something that an upstream holds by grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// What is held.
    pub area: Area,
    /// Epoch at which the ownership began.
    pub epoch: u64,
    /// Expiry.
    pub until: clock::Instant,
}

/// All that is held and run, by service.
#[derive(Debug, Default)]
pub(super) struct Owners {
    services: HashMap<String, Owned>,
}

#[derive(Debug, Default)]
struct Owned {
    /// Holders of each area, with the expiry of each.
    holds: HashMap<Area, Vec<Holder>>,
    /// Keys that an upstream leaves to others, although it holds their slots.
    excluded: HashMap<String, Vec<u64>>,
    /// Running requests of each key.
    running: HashMap<u64, Vec<Running>>,
    /// Highest epoch at which each key ran by the grant of its slot, and by a grant of its own. The two are compared
    /// separately, because a key that returns to its slot's owner returns to the older epoch of the slot.
    epochs: HashMap<(u64, bool), (u64, String)>,
}

#[derive(Debug)]
struct Holder {
    upstream: String,
    until: clock::Instant,
}

#[derive(Debug)]
struct Running {
    upstream: String,
    request: u128,
    grant: Option<Area>,
}

impl Owners {
    fn owned(&mut self, service: &str) -> &mut Owned {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Owned::default());
        }
        self.services.entry(service.to_owned()).or_default()
    }

    pub(super) fn grant(&mut self, service: &str, upstream: &str, holds: &[Hold]) {
        let owned = self.owned(service);
        for hold in holds {
            let holders = owned.holds.entry(hold.area).or_default();
            match holders.iter_mut().find(|other| other.upstream == upstream) {
                Some(holder) => holder.until = hold.until,
                None => holders.push(Holder {
                    upstream: upstream.to_owned(),
                    until: hold.until,
                }),
            }
        }
    }

    pub(super) fn release(&mut self, service: &str, upstream: &str, area: Area) {
        if let Some(holders) = self.owned(service).holds.get_mut(&area) {
            holders.retain(|holder| holder.upstream != upstream);
        }
    }

    pub(super) fn exclude(&mut self, service: &str, upstream: &str, keys: &[u64]) {
        let owned = self.owned(service);
        owned.excluded.insert(upstream.to_owned(), keys.to_vec());
    }

    pub(super) fn reset(&mut self, service: &str, upstream: &str) {
        let owned = self.owned(service);
        owned.excluded.remove(upstream);
        for running in owned.running.values_mut() {
            running.retain(|run| run.upstream != upstream);
        }
        for holders in owned.holds.values_mut() {
            holders.retain(|holder| holder.upstream != upstream);
        }
    }

    /// Records a run and describes another owner of its key, if there is one.
    pub(super) fn start(&mut self, run: &Run, now: clock::Instant) -> Option<String> {
        let (key, slot) = run.key?;
        let owned = self.owned(&run.service);
        let other = owned.other_owner(run, key, slot, now);
        owned.running.entry(key).or_default().push(Running {
            upstream: run.upstream.clone(),
            request: run.request,
            grant: run.grant.map(|(area, _)| area),
        });
        let passed = owned.pass_epoch(run, key);
        other.or(passed)
    }

    pub(super) fn end(&mut self, run: &Run) {
        let Some((key, _)) = run.key else { return };
        let owned = self.owned(&run.service);
        let Some(running) = owned.running.get_mut(&key) else {
            return;
        };
        let place = running
            .iter()
            .position(|other| other.request == run.request && other.upstream == run.upstream);
        if let Some(place) = place {
            running.swap_remove(place);
        }
        if running.is_empty() {
            owned.running.remove(&key);
        }
    }
}

impl Owned {
    fn holds(&self, area: Area, upstream: &str, now: clock::Instant) -> bool {
        self.holds.get(&area).is_some_and(|holders| {
            holders
                .iter()
                .any(|holder| holder.upstream == upstream && now < holder.until)
        })
    }

    fn other_holder(&self, area: Area, run: &Run, now: clock::Instant) -> Option<&Holder> {
        self.holds
            .get(&area)?
            .iter()
            .find(|holder| holder.upstream != run.upstream && now < holder.until)
    }

    fn other_owner(&self, run: &Run, key: u64, slot: u32, now: clock::Instant) -> Option<String> {
        // A run whose grant has lapsed can't take effect any more, since its upstream checks the grant again at the end.
        let runner = self.running.get(&key).into_iter().flatten().find(|other| {
            other.upstream != run.upstream
                && other
                    .grant
                    .is_none_or(|area| self.holds(area, &other.upstream, now))
        });
        if let Some(runner) = runner {
            let other = &runner.upstream;
            return Some(format!("key {key:016x} is running at {other} too"));
        }
        if let Some(holder) = self.other_holder(Area::Key(key), run, now) {
            return Some(format!("key {key:016x} is held by {}", holder.upstream));
        }
        // The grant of a key of its own goes before that of the slot.
        if self.holds(Area::Key(key), &run.upstream, now) {
            return None;
        }
        let holder = self.other_holder(Area::Slot(slot), run, now)?;
        let excluded = self.excluded.get(&holder.upstream);
        if excluded.is_some_and(|keys| keys.contains(&key)) {
            return None;
        }
        let other = &holder.upstream;
        Some(format!("slot {slot} of key {key:016x} is held by {other}"))
    }

    /// Notes the epoch of a run and describes a later epoch at which the key has already run elsewhere.
    fn pass_epoch(&mut self, run: &Run, key: u64) -> Option<String> {
        let (area, epoch) = run.grant?;
        let place = (key, matches!(area, Area::Key(_)));
        let (highest, upstream) = self
            .epochs
            .entry(place)
            .or_insert_with(|| (epoch, run.upstream.clone()));
        if epoch > *highest {
            *highest = epoch;
            run.upstream.clone_into(upstream);
            return None;
        }
        (*upstream != run.upstream).then(|| {
            format!(
                "key {key:016x} ran at epoch {epoch} after epoch {highest} at {}",
                *upstream
            )
        })
    }
}
