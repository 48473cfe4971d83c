//! The `live` module provides the deployment and the mixed load of the scenarios.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use kumquat_local::{Deployment, Shape};
use kumquat_standins::observation;
use kumquat_state::bundle::{PriorityClass, ServiceKind};
use rand::RngExt;
use rand::rngs::SmallRng;
use slog::{Discard, Logger, o};
use tokio::runtime::Handle;

use crate::load::{Load, Samples, Shot};
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{float, float_len};

/// Mean service time of all upstreams.
pub const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Mean by which the timers of the stand-ins lengthen a service time.
const TIMER_STEP: Duration = Duration::from_millis(1);

/// Load of urgent services relative to the mean load, so that they still fit after the loss of a data centre.
const URGENT_LOAD: f64 = 0.7;

/// Keys that the load asks for.
const KEYS: u32 = 5_000;

/// Share of requests to ordinary routes that are not idempotent.
const POSTS: f64 = 0.3;

/// Longest time until a change is in force.
pub const LIMIT: Duration = Duration::from_secs(10);

/// A deployment with the description of its load.
#[derive(Debug)]
pub struct Live {
    /// Name of the deployment.
    pub firm: &'static str,
    /// The deployment.
    pub deployment: Deployment,
    /// Its sizes.
    pub shape: Shape,
    /// Seed of the load.
    pub seed: u64,
}

/// The sizes of both firms.
#[must_use]
pub fn firms() -> [(&'static str, Shape); 2] {
    [
        ("port-louis", Shape::port_louis()),
        ("dar", Shape::dar_es_salaam()),
    ]
}

impl Live {
    /// Starts a deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not serve in time.
    pub async fn open(firm: &'static str, mut shape: Shape, settings: &Settings) -> Result<Self> {
        for service in &mut shape.services {
            service.service_time = SERVICE_TIME;
        }
        let log = Logger::root(Discard, o!());
        let deployment = Deployment::open(&shape, &log).await?;
        let live = Self {
            firm,
            deployment,
            shape,
            seed: settings.seed,
        };
        // The first requests warm the upstreams and the connections.
        let warm_up = live.load(0.3, settings.length(5, 2)).finish().await;
        eprintln!("{firm} warm-up: {}", warm_up.failures());
        Ok(live)
    }

    /// Returns the requests per second that the upstreams of a service bear.
    #[must_use]
    pub fn capacity(&self, service: usize) -> f64 {
        let service = &self.shape.services[service];
        float_len(service.upstreams) * f64::from(service.slots)
            / (SERVICE_TIME + TIMER_STEP).as_secs_f64()
    }

    /// Returns the requests per second for each service at a mean load.
    #[must_use]
    pub fn rates(&self, load: f64) -> Vec<f64> {
        let services = 0..self.shape.services.len();
        let is_urgent =
            |service: &usize| self.shape.services[*service].class == PriorityClass::Urgent;
        let sum = |urgent: bool| -> f64 {
            let chosen = services.clone().filter(|one| is_urgent(one) == urgent);
            chosen.map(|service| self.capacity(service)).sum()
        };
        // The ordinary services get so much more that the mean is kept.
        let others = (sum(true) + sum(false) - URGENT_LOAD * sum(true)) / sum(false);
        services
            .clone()
            .map(|service| {
                let factor = if is_urgent(&service) {
                    URGENT_LOAD
                } else {
                    others
                };
                self.capacity(service) * load * factor
            })
            .collect()
    }

    /// Starts the mixed load of all teams; the tag of a sample is the number of its service.
    #[must_use]
    pub fn load(&self, load: f64, length: Duration) -> Load {
        let weights = self.shape.teams.iter().map(|team| f64::from(team.rate));
        let weights = weights.collect();
        self.load_of(&self.rates(load), weights, length)
    }

    /// Starts a load with these rates of the services and weights of the teams.
    #[must_use]
    pub fn load_of(&self, rates: &[f64], teams: Vec<f64>, length: Duration) -> Load {
        let mut mix = Mix {
            entries: self.entries(),
            keys: self.keys(),
            rates: rates.to_vec(),
            teams,
            routes: self.routes(),
        };
        let rate = rates.iter().sum();
        let observations = Some(self.deployment.observations.clone());
        let handle = Handle::current();
        Load::spawn(
            handle,
            self.seed,
            rate,
            length,
            observations,
            move |random, _| mix.draw(random),
        )
    }

    /// Returns the addresses of all entries.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let vms = self.deployment.vms.iter();
        vms.filter_map(kumquat_local::vm::Vm::address).collect()
    }

    /// Returns the caller keys of the teams, in the order of the shape.
    #[must_use]
    pub fn keys(&self) -> Vec<Arc<str>> {
        let keys = self.deployment.keys.iter();
        keys.map(|(_, key)| Arc::from(key.as_str())).collect()
    }

    fn routes(&self) -> Vec<Route> {
        let services = self.shape.services.iter();
        services
            .map(|service| Route {
                prefix: service.prefix,
                keys: if service.kind == ServiceKind::Keyed {
                    KEYS
                } else {
                    1
                },
                posts: if service.class == PriorityClass::Urgent {
                    0.0
                } else {
                    POSTS
                },
            })
            .collect()
    }

    /// Returns the numbers of the urgent services.
    #[must_use]
    pub fn urgent(&self) -> Vec<usize> {
        let services = self.shape.services.iter().enumerate();
        services
            .filter(|(_, service)| service.class == PriorityClass::Urgent)
            .map(|(number, _)| number)
            .collect()
    }

    /// Adds the violations since `before` to the report.
    pub fn add_violations(
        &self,
        scenario: &str,
        before: &observation::Report,
        report: &mut Report,
    ) {
        let now = self.deployment.observations.report();
        let counts = [
            ("wrong owner", now.wrong_owner - before.wrong_owner),
            ("ran twice", now.ran_twice - before.ran_twice),
            ("false not run", now.false_not_run - before.false_not_run),
            ("over rate", now.over_rate - before.over_rate),
            ("key leaks", now.key_leaks - before.key_leaks),
            ("cold overload", now.cold_overload - before.cold_overload),
        ];
        for (name, count) in counts {
            let bound = Some(Bound::AtMost(0.0));
            report.add((scenario, "router"), name, (float(count), "req"), bound);
        }
        for detail in now.details.iter().skip(before.details.len()) {
            report.note(format!("{scenario}: {detail}"));
        }
    }

    /// Stops the deployment.
    pub async fn stop(self) {
        self.deployment.stop().await;
    }
}

/// Returns the part of the requests that were answered.
#[must_use]
pub fn answered(samples: &Samples) -> f64 {
    let all = float_len(samples.all.len()) + float(samples.overrun);
    crate::stats::ratio(float(samples.count(crate::load::Sample::is_answered)), all)
}

struct Route {
    prefix: &'static str,
    keys: u32,
    posts: f64,
}

struct Mix {
    entries: Vec<SocketAddr>,
    keys: Vec<Arc<str>>,
    rates: Vec<f64>,
    teams: Vec<f64>,
    routes: Vec<Route>,
}

impl Mix {
    fn draw(&mut self, random: &mut SmallRng) -> Shot {
        let tag = weighted(random, &self.rates);
        let team = weighted(random, &self.teams);
        let route = &self.routes[tag];
        Shot {
            to: Some(self.entries[random.random_range(0..self.entries.len())]),
            path: format!("{}k{}", route.prefix, random.random_range(0..route.keys)),
            key: Some(Arc::clone(&self.keys[team])),
            post: random.random_bool(route.posts),
            tag,
            team,
        }
    }
}

/// Draws a position in proportion to the weights.
pub fn weighted(random: &mut SmallRng, weights: &[f64]) -> usize {
    let mut point = random.random_range(0.0..weights.iter().sum::<f64>());
    let found = weights.iter().position(|weight| {
        point -= weight;
        point < 0.0
    });
    found.unwrap_or(weights.len() - 1)
}
