//! The `balance` module provides the choice among the dispatch groups of a pool service.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kumquat_coordination::balance::{Balance, Candidate, Load, Options};
use kumquat_protocol::wire;
use kumquat_state::bundle::{Bundle, Service};
use kumquat_state::clock;
use kumquat_state::ident;
use kumquat_state::ledger::Name;

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
    balance: Balance,
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
    pub fn choose(&self, bundle: &Bundle, service: &Service) -> Option<ident::DataCentre> {
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
        entry.balance.choose(clock::now())
    }

    /// Takes the load that a group reported with an answer.
    pub fn report(&self, role: &Name, load: wire::Load) {
        let now = clock::now();
        let load = Load {
            at: now,
            queued: load.queued,
            running: load.running,
            slots: load.slots,
            service_time: Duration::from_micros(u64::from(load.attempt_us)),
        };
        self.update(role, |balance, centre| {
            balance.on_answer(now, centre, Some(load));
        });
    }

    /// Notes that a group failed to answer.
    pub fn failed(&self, role: &Name) {
        let now = clock::now();
        self.update(role, |balance, centre| balance.on_failure(now, centre));
    }

    fn update(&self, role: &Name, change: impl FnOnce(&mut Balance, &ident::DataCentre)) {
        let Name::Group {
            service,
            data_centre,
        } = role
        else {
            return;
        };
        let mut services = self.lock();
        if let Ok(index) = services.binary_search_by(|entry| entry.service.cmp(service)) {
            change(&mut services[index].balance, data_centre);
        }
    }

    fn entry(&self, service: &Service) -> Entry {
        Entry {
            service: service.name.clone(),
            bundle: ident::Version(0),
            balance: Balance::new(self.own.clone(), Options::default(), rand::random()),
        }
    }

    fn candidates(&self, bundle: &Bundle, service: &Service) -> Vec<Candidate> {
        target::data_centres(bundle, service)
            .into_iter()
            .map(|data_centre| Candidate {
                distance: if data_centre == self.own {
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
