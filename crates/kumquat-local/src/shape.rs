//! The `shape` module provides the sizes of the deployments of `docs/design.md`, section 1.5.

use std::time::Duration;

use kumquat_state::bundle::{PriorityClass, RouteAccess, ServiceKind};

/// Size of a deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Number of VMs, spread evenly over the data centres.
    pub vms: usize,
    /// Names of the data centres.
    pub data_centres: Vec<&'static str>,
    /// Services with their routes.
    pub services: Vec<Service>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Whether upstreams start cold.
    pub starts_cold: bool,
}

/// Size of a service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: &'static str,
    /// Prefix of its route.
    pub prefix: &'static str,
    /// How requests find an upstream.
    pub kind: ServiceKind,
    /// Urgency.
    pub class: PriorityClass,
    /// Whether requests other than GET may run more than once.
    pub idempotent: bool,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Connections that each upstream accepts.
    pub connections: u32,
    /// Whether the upstreams of a keyed service check who gives them an order.
    pub checks_grants: bool,
    /// Mean service time.
    pub service_time: Duration,
    /// Time within which a request has to be answered.
    pub deadline: Duration,
}

/// Size of a team.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: &'static str,
    /// Requests per second.
    pub rate: u32,
    /// Burst.
    pub burst: u32,
}

impl Shape {
    /// Returns the sizes of Port Louis.
    #[must_use]
    pub fn port_louis() -> Self {
        let service = |name, prefix, upstreams| Service {
            name,
            prefix,
            kind: ServiceKind::Pool,
            class: PriorityClass::Ordinary,
            idempotent: false,
            access: RouteAccess::Open,
            upstreams,
            slots: 2,
            connections: 100,
            checks_grants: true,
            service_time: Duration::from_millis(10),
            deadline: Duration::from_secs(2),
        };
        let services = vec![
            Service {
                kind: ServiceKind::Keyed,
                ..service("repair-status", "/repairs/", 15)
            },
            service("bench-scheduling", "/bench/", 7),
            service("payments", "/payments/", 6),
            Service {
                class: PriorityClass::Urgent,
                ..service("pilot-readiness", "/readiness/", 6)
            },
        ];
        Self {
            vms: 9,
            data_centres: vec!["north", "south", "west"],
            services,
            teams: teams(),
            starts_cold: false,
        }
    }

    /// Returns the sizes of Dar es Salaam.
    #[must_use]
    pub fn dar_es_salaam() -> Self {
        let mut shape = Self::port_louis();
        let renamed = [
            ("catalogue", "/catalogue/", 13),
            ("orders", "/orders/", 8),
            ("payments", "/payments/", 6),
            ("shelf-lookups", "/shelf/", 6),
        ];
        for (service, (name, prefix, upstreams)) in shape.services.iter_mut().zip(renamed) {
            service.name = name;
            service.prefix = prefix;
            service.upstreams = upstreams;
            service.slots = 3;
            service.connections = 50;
        }
        shape.data_centres = vec!["ilala", "kinondoni", "temeke"];
        shape
    }

    /// Returns a small deployment for tests: three VMs, one keyed and one pool service.
    #[must_use]
    pub fn small() -> Self {
        let mut shape = Self::port_louis();
        shape.vms = 3;
        shape.services.truncate(2);
        for service in &mut shape.services {
            service.upstreams = 3;
            service.service_time = Duration::from_millis(2);
        }
        shape
    }
}

fn teams() -> Vec<Team> {
    let team = |name, rate| Team {
        name,
        rate,
        burst: rate,
    };
    vec![
        team("chandlers", 2_000),
        team("collectors", 400),
        team("couriers", 400),
        team("guides", 400),
        team("hotels", 2_000),
        team("offices", 400),
        team("pilots", 2_000),
        team("schools", 400),
    ]
}
