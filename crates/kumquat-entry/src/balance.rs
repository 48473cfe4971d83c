//! The `balance` module provides the choice among the dispatch groups of a pool service.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kumquat_coordination::balance::{Candidate, GroupBalancer, Load, Options};
use kumquat_protocol::wire;
use kumquat_state::bundle::{Bundle, PriorityClass, Service};
use kumquat_state::clock;
use kumquat_state::ident;

use crate::target;

/// Extra time that a request to another data centre takes.
///
/// The measured distances are 0.5 to 1.5 ms; a middle value is enough to break ties in favour of the own data centre.
const DISTANCE: Duration = Duration::from_millis(1);

/// Choices for all pool services in use.
#[derive(Debug)]
pub struct Choice {
    own: ident::DataCentre,
    // Sorted by service.
    services: Mutex<Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    service: ident::Service,
    bundle: ident::Version,
    balance: GroupBalancer,
}

/// A request in flight at a chosen group.
#[derive(Debug)]
pub struct Chosen<'a> {
    choice: &'a Choice,
    service: ident::Service,
    data_centre: ident::DataCentre,
    class: PriorityClass,
    end: End,
}

/// How a request ended at a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The caller hung up, or the end says nothing about the group.
    Unknown,
    /// The group answered or refused and told its load.
    Load(wire::Load),
    /// The group's VM was out of reach or did not act for it.
    Failed,
}

impl Chosen<'_> {
    /// Returns the data centre of the group.
    #[must_use]
    pub const fn data_centre(&self) -> &ident::DataCentre {
        &self.data_centre
    }

    /// Ends the request.
    pub fn end(mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Chosen<'_> {
    fn drop(&mut self) {
        let now = clock::now();
        let mut services = self.choice.lock();
        let found = services.binary_search_by(|entry| entry.service.cmp(&self.service));
        let Ok(index) = found else { return };
        let balance = &mut services[index].balance;
        match self.end {
            End::Unknown => balance.on_response(now, &self.data_centre, self.class, None),
            End::Load(load) => {
                let load = Load {
                    reported_at: now,
                    urgent: load.urgent,
                    ordinary: load.ordinary,
                    running: load.running,
                    slots: load.slots,
                    service_time: Duration::from_micros(u64::from(load.attempt_us)),
                };
                balance.on_response(now, &self.data_centre, self.class, Some(load));
            }
            End::Failed => balance.on_failure(now, &self.data_centre, self.class),
        }
    }
}

impl Choice {
    /// Creates the choice for an entry in data centre `own`.
    #[must_use]
    pub const fn new(own: ident::DataCentre) -> Self {
        Self {
            own,
            services: Mutex::new(Vec::new()),
        }
    }

    /// Chooses the data centre whose group gets the next request of a service.
    ///
    /// The request counts as in flight there until the returned value is dropped.
    #[must_use]
    pub fn choose(
        &self,
        bundle: &Bundle,
        service: &Service,
        class: PriorityClass,
    ) -> Option<Chosen<'_>> {
        let mut services = self.lock();
        let index = match services.binary_search_by(|entry| entry.service.cmp(&service.name)) {
            Ok(index) => index,
            Err(index) => {
                services.insert(index, self.entry(service));
                index
            }
        };
        let entry = &mut services[index];
        if entry.bundle != bundle.version {
            entry.bundle = bundle.version;
            entry.balance.set_groups(&self.candidates(bundle, service));
        }
        let data_centre = entry.balance.choose(clock::now(), class)?;
        Some(Chosen {
            choice: self,
            service: service.name.clone(),
            data_centre,
            class,
            end: End::Unknown,
        })
    }

    fn entry(&self, service: &Service) -> Entry {
        Entry {
            service: service.name.clone(),
            bundle: ident::Version(0),
            balance: GroupBalancer::new(self.own.clone(), Options::default(), rand::random()),
        }
    }

    fn candidates(&self, bundle: &Bundle, service: &Service) -> Vec<Candidate> {
        target::data_centres(bundle, service)
            .into_iter()
            .map(|data_centre| Candidate {
                round_trip: if data_centre == self.own {
                    Duration::ZERO
                } else {
                    DISTANCE
                },
                data_centre,
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
