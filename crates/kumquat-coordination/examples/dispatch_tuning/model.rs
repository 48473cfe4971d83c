//! The `model` module provides the synthetic parts of a run: its setup, its upstreams and its report.

use std::time::Duration;

use kumquat_coordination::{balance, dispatch};
use kumquat_state::bundle::{Class, ServiceKind};
use rand::RngExt;
use rand::rngs::SmallRng;

/// Teams of a run; the first two are large.
pub const WEIGHTS: [u32; 8] = [4, 3, 1, 1, 1, 1, 1, 1];

/// Entries of a deployment.
pub const ENTRIES: usize = 9;

/// Data centres of a deployment.
pub const CENTRES: usize = 3;

/// Latency of a cold upstream relative to a warm one; it falls to 1 while the upstream warms up.
const COLD_FACTOR: f64 = 4.0;

/// Requests that wait inside an upstream beyond its slots before it sheds.
const BACKLOG: usize = 64;

/// Who decides where an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// One dispatching VM per group with an exact queue: the product.
    Groups,
    /// Each entry takes the better of two random upstreams by its own count of running requests.
    TwoChoices,
    /// Each entry holds leases of single slots, which move to the longest queue every 100 ms.
    SlotLeases,
}

/// An upstream that changes during a run.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// Number of the upstream.
    pub upstream: usize,
    /// When it changes.
    pub at: Duration,
}

/// Everything that a run depends on.
#[derive(Clone, Debug)]
pub struct SimConfig {
    /// Seed of all randomness.
    pub seed: u64,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Number of upstreams, dealt out to the data centres in turn.
    pub upstreams: usize,
    /// Slots per upstream.
    pub slots: u32,
    /// Round trip between data centres.
    pub distance: Duration,
    /// Mean service time.
    pub service: Duration,
    /// Spread of the log-normal service time.
    pub sigma: f64,
    /// Arrival rate relative to the capacity.
    pub load: f64,
    /// Factor on the rate of the last team.
    pub flood: f64,
    /// Share of urgent requests.
    pub urgent: f64,
    /// Share of urgent requests of the last team.
    pub last_urgent: f64,
    /// Share of idempotent requests.
    pub idempotent: f64,
    /// Deadline of urgent and of ordinary requests.
    pub deadlines: [Duration; 2],
    /// Length of the run.
    pub duration: Duration,
    /// Start of the measurement; before it the upstreams warm up.
    pub measured_from: Duration,
    /// Upstreams that become slower.
    pub stragglers: Vec<Change>,
    /// Factor on the service time of stragglers.
    pub slowness: f64,
    /// Upstreams that refuse all connections from then on.
    pub lost: Vec<Change>,
    /// Upstreams that turn cold.
    pub cold: Vec<Change>,
    /// Whether a cold start shows in the boot id at once.
    pub cold_is_announced: bool,
    /// Who decides.
    pub policy: Policy,
    /// Options of the groups.
    pub group: dispatch::Options,
    /// Options of the entries.
    pub balance: balance::Options,
}

impl SimConfig {
    /// A quiet run of a pool service of Port Louis.
    pub fn port_louis(seed: u64) -> Self {
        Self {
            seed,
            kind: ServiceKind::Pool,
            upstreams: 7,
            slots: 2,
            distance: Duration::from_micros(500),
            service: Duration::from_millis(4),
            sigma: 0.8,
            load: 0.5,
            flood: 1.0,
            urgent: 0.3,
            last_urgent: 0.3,
            idempotent: 0.8,
            deadlines: [Duration::from_millis(100), Duration::from_millis(200)],
            duration: Duration::from_secs(23),
            measured_from: Duration::from_secs(3),
            stragglers: Vec::new(),
            slowness: 10.0,
            lost: Vec::new(),
            cold: Vec::new(),
            cold_is_announced: true,
            policy: Policy::Groups,
            group: dispatch::Options::default(),
            balance: balance::Options::default(),
        }
    }

    /// A quiet run of a pool service of Dar es Salaam.
    pub fn dar_es_salaam(seed: u64) -> Self {
        Self {
            upstreams: 8,
            slots: 3,
            distance: Duration::from_micros(1_500),
            ..Self::port_louis(seed)
        }
    }

    /// Requests per second that all upstreams complete when they are busy.
    pub fn capacity(&self) -> f64 {
        usize_to_f64(self.upstreams) * f64::from(self.slots) / self.service.as_secs_f64()
    }
}

/// An attempt at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub group: usize,
    pub attempt: u64,
    pub job_id: u64,
    pub sent: u64,
    /// Time at which the upstream drops it if it has not begun.
    pub deadline: u64,
}

/// What an upstream does with a new attempt.
pub enum Reception {
    /// It runs until this time.
    Runs(u64),
    /// It waits inside the upstream.
    Waits,
    /// It is refused as "not run".
    Sheds,
    /// The connection is not established.
    Refuses,
}

/// An upstream with slots, cold start and slowness.
#[derive(Debug)]
pub struct Server {
    pub slots: u32,
    pub is_cold: bool,
    pub completed: u32,
    pub slowness: f64,
    pub is_lost: bool,
    pub running: Vec<Job>,
    pub waiting: Vec<Job>,
    pub boot: u64,
    /// Time of the last restart.
    pub chilled: u64,
    /// Attempts beyond what a cold upstream bears that were sent after it had turned cold.
    pub cold_overloads: u64,
    /// Such attempts that were on their way when it turned cold, which nobody can call back.
    pub overtaken: u64,
    /// Most attempts inside the upstream at once.
    pub most: u64,
}

impl Server {
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            is_cold: true,
            completed: 0,
            slowness: 1.0,
            is_lost: false,
            running: Vec::new(),
            waiting: Vec::new(),
            boot: 1,
            chilled: 0,
            cold_overloads: 0,
            overtaken: 0,
            most: 0,
        }
    }

    fn bears(&self) -> usize {
        let bears = if self.is_cold {
            self.slots.min(1 + self.completed / 8)
        } else {
            self.slots
        };
        bears as usize
    }

    /// Restarts the upstream and returns the jobs that this breaks.
    pub fn chill(&mut self, now: u64) -> Vec<Job> {
        self.is_cold = true;
        self.completed = 0;
        self.boot += 1;
        self.chilled = now;
        self.waiting.clear();
        std::mem::take(&mut self.running)
    }

    pub fn receive(
        &mut self,
        now: u64,
        job: Job,
        setup: &SimConfig,
        rng: &mut SmallRng,
    ) -> Reception {
        if self.is_lost {
            return Reception::Refuses;
        }
        self.most = self
            .most
            .max((self.running.len() + self.waiting.len() + 1) as u64);
        if self.running.len() < self.bears() {
            self.running.push(job);
            return Reception::Runs(now + self.service(setup, rng));
        }
        if self.is_cold {
            if job.sent < self.chilled {
                self.overtaken += 1;
            } else {
                self.cold_overloads += 1;
            }
            return Reception::Sheds;
        }
        if self.waiting.len() < BACKLOG {
            self.waiting.push(job);
            return Reception::Waits;
        }
        Reception::Sheds
    }

    fn service(&self, setup: &SimConfig, rng: &mut SmallRng) -> u64 {
        let mean = setup.service.as_secs_f64();
        let location = mean.ln() - setup.sigma * setup.sigma / 2.0;
        let time = (location + setup.sigma * normal(rng)).exp();
        let warmth = f64::from(self.completed) / f64::from(8 * self.slots);
        let cold = if self.is_cold {
            1.0 + (COLD_FACTOR - 1.0) * (1.0 - warmth).max(0.0)
        } else {
            1.0
        };
        seconds_to_us(time * cold * self.slowness)
    }

    /// Ends a job; returns it if it was still running.
    pub fn complete(&mut self, job_id: u64) -> Option<Job> {
        let position = self.running.iter().position(|job| job.job_id == job_id)?;
        let job = self.running.swap_remove(position);
        self.completed += 1;
        if self.is_cold && self.completed >= 8 * self.slots {
            self.is_cold = false;
        }
        Some(job)
    }

    /// Starts the next waiting job, if any, and returns its token and end.
    pub fn advance(
        &mut self,
        now: u64,
        setup: &SimConfig,
        rng: &mut SmallRng,
    ) -> Option<(u64, u64)> {
        self.waiting.retain(|job| job.deadline > now);
        if self.waiting.is_empty() || self.running.len() >= self.bears() {
            return None;
        }
        let job = self.waiting.remove(0);
        self.running.push(job);
        Some((job.job_id, now + self.service(setup, rng)))
    }

    /// Cancels a job; returns whether it was known.
    pub fn cancel(&mut self, group: usize, attempt: u64) -> bool {
        let before = self.running.len() + self.waiting.len();
        let other = |job: &Job| job.group != group || job.attempt != attempt;
        self.running.retain(other);
        self.waiting.retain(other);
        before > self.running.len() + self.waiting.len()
    }
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Latencies in microseconds of urgent requests.
    pub urgent_latencies_us: Vec<u64>,
    /// Latencies of all requests.
    pub all_latencies_us: Vec<u64>,
    /// Latencies of all teams but the last, which may flood.
    pub other_teams_latencies_us: Vec<u64>,
    pub arrivals: u64,
    pub urgent_arrivals: u64,
    pub urgent_in_time: u64,
    pub other_teams_arrivals: u64,
    pub other_teams_in_time: u64,
    pub in_time: u64,
    pub refused: u64,
    pub attempts: u64,
    pub hedges: u64,
    pub retries: u64,
    pub ejections: u64,
    pub cold_turns: u64,
    pub cold_overloads: u64,
    pub overtaken: u64,
    pub most_at_upstream: u64,
    pub seconds: f64,
    pub capacity: f64,
    /// Time of the first ejection after a change of an upstream, in microseconds.
    pub first_ejection: Option<u64>,
}

impl Report {
    pub fn add(&mut self, class: Class, is_last_team: bool, latency: u64, in_time: bool) {
        self.all_latencies_us.push(latency);
        self.in_time += u64::from(in_time);
        if class == Class::Urgent {
            self.urgent_latencies_us.push(latency);
            self.urgent_in_time += u64::from(in_time);
        }
        if !is_last_team {
            self.other_teams_latencies_us.push(latency);
            self.other_teams_in_time += u64::from(in_time);
        }
    }

    /// Answers in time per second, relative to the capacity.
    pub fn goodput(&self) -> f64 {
        to_f64(self.in_time) / self.seconds / self.capacity
    }

    /// Refused requests, relative to the requests.
    pub fn refused_ratio(&self) -> f64 {
        to_f64(self.refused) / to_f64(self.arrivals.max(1))
    }

    /// Extra attempts by hedging, relative to the requests.
    pub fn hedge_ratio(&self) -> f64 {
        to_f64(self.hedges) / to_f64(self.arrivals.max(1))
    }

    pub fn line(&self) -> String {
        format!(
            "p50 {:>6} p99 {:>6} | urgent p99 {:>6} in time {:.4} | others p99 {:>6} in time {:.4} | goodput {:.3} \
             refused {:.4} hedged {:.4} retried {:.4} | ejected {} cold {} overloads {}+{} most {}",
            percentile_us(&self.all_latencies_us, 50),
            percentile_us(&self.all_latencies_us, 99),
            percentile_us(&self.urgent_latencies_us, 99),
            to_f64(self.urgent_in_time) / to_f64(self.urgent_arrivals.max(1)),
            percentile_us(&self.other_teams_latencies_us, 99),
            to_f64(self.other_teams_in_time) / to_f64(self.other_teams_arrivals.max(1)),
            self.goodput(),
            to_f64(self.refused) / to_f64(self.arrivals.max(1)),
            self.hedge_ratio(),
            to_f64(self.retries) / to_f64(self.arrivals.max(1)),
            self.ejections,
            self.cold_turns,
            self.cold_overloads,
            self.overtaken,
            self.most_at_upstream,
        )
    }
}

/// Returns the percentile of latencies, in microseconds; zero without any.
pub fn percentile_us(values: &[u64], percent: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let position = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted.get(position).copied().unwrap_or(0)
}

/// A sample of the standard normal distribution (Box-Muller).
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// A sample of the exponential distribution, in microseconds.
pub fn exponential(rng: &mut SmallRng, rate: f64) -> u64 {
    seconds_to_us(-(1.0 - rng.random::<f64>()).ln() / rate)
}

/// Converts seconds to microseconds.
pub fn seconds_to_us(seconds: f64) -> u64 {
    Duration::try_from_secs_f64(seconds).map_or(u64::MAX / 2, duration_us)
}

/// Converts a duration to microseconds.
pub fn duration_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX / 2)
}

/// Converts a total to a float.
pub fn to_f64(value: u64) -> f64 {
    u32::try_from(value).map_or(f64::MAX, f64::from)
}

fn usize_to_f64(value: usize) -> f64 {
    u32::try_from(value).map_or(f64::MAX, f64::from)
}
