//! The `model` module provides the synthetic parts of a simulation: its configuration, upstreams and report.

use std::time::Duration;

use kumquat_coordination::{balance, dispatch};
use kumquat_state::bundle::{PriorityClass, ServiceKind};
use rand::RngExt;
use rand::rngs::SmallRng;

/// Weights of the teams; the first two are large, and the last one may flood.
pub const TEAM_WEIGHTS: [u32; 8] = [4, 3, 1, 1, 1, 1, 1, 1];

/// Number of entries in a deployment.
pub const ENTRIES: usize = 9;

/// Number of data centres in a deployment.
pub const DATA_CENTRES: usize = 3;

/// Latency of a cold upstream relative to a warm one; it falls to 1 while the upstream warms up.
const COLD_LATENCY_FACTOR: f64 = 4.0;

/// Requests beyond its slots that an upstream queues before it sheds.
const UPSTREAM_BACKLOG: usize = 64;

/// Policy that chooses the upstream of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// One dispatching VM per group with an exact queue, as in the product.
    Groups,
    /// Each entry takes the less loaded of two random upstreams by its own count of requests in flight.
    TwoChoices,
    /// Each entry holds leases of single slots; unused leases move to the entry with the longest queue every 100 ms.
    SlotLeases,
}

/// Time at which an upstream changes during a run.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamChange {
    /// Index of the upstream.
    pub upstream: usize,
    /// Virtual time of the change.
    pub at: Duration,
}

/// Configuration of a run, which determines its result.
#[derive(Clone, Debug)]
pub struct SimConfig {
    /// Seed of all random choices.
    pub seed: u64,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Number of upstreams, assigned to the data centres round-robin.
    pub upstreams: usize,
    /// Slots per upstream.
    pub slots: u32,
    /// Network round-trip time between data centres.
    pub inter_data_centre_rtt: Duration,
    /// Mean service time.
    pub mean_service_time: Duration,
    /// Standard deviation of the logarithm of the service time, which is log-normal.
    pub service_time_sigma: f64,
    /// Arrival rate without a flood, relative to the capacity.
    pub load: f64,
    /// Factor on the arrival rate of the last team.
    pub flood_factor: f64,
    /// Fraction of urgent requests of all teams but the last.
    pub urgent_fraction: f64,
    /// Fraction of urgent requests of the last team.
    pub last_team_urgent_fraction: f64,
    /// Fraction of idempotent requests.
    pub idempotent_fraction: f64,
    /// Time from arrival to deadline of urgent and of ordinary requests.
    pub deadlines: [Duration; 2],
    /// Virtual time that the run takes.
    pub duration: Duration,
    /// Start of the measurement; before it the upstreams warm up.
    pub measured_from: Duration,
    /// Upstreams that become stragglers.
    pub stragglers: Vec<UpstreamChange>,
    /// Factor on the service time of stragglers.
    pub slowdown: f64,
    /// Upstreams that refuse all connections after the change.
    pub lost_upstreams: Vec<UpstreamChange>,
    /// Upstreams that restart and turn cold.
    pub cold_starts: Vec<UpstreamChange>,
    /// Whether the group learns the new boot id of a restarted upstream at once.
    pub cold_start_is_announced: bool,
    /// Policy under test.
    pub policy: Policy,
    /// Options of the dispatch groups.
    pub group_options: dispatch::Options,
    /// Options of the balancers in the entries.
    pub balance_options: balance::Options,
}

impl SimConfig {
    /// Pool service of the Port Louis deployment without any fault.
    pub fn port_louis(seed: u64) -> Self {
        Self {
            seed,
            kind: ServiceKind::Pool,
            upstreams: 7,
            slots: 2,
            inter_data_centre_rtt: Duration::from_micros(500),
            mean_service_time: Duration::from_millis(4),
            service_time_sigma: 0.8,
            load: 0.5,
            flood_factor: 1.0,
            urgent_fraction: 0.3,
            last_team_urgent_fraction: 0.3,
            idempotent_fraction: 0.8,
            deadlines: [Duration::from_millis(100), Duration::from_millis(200)],
            duration: Duration::from_secs(23),
            measured_from: Duration::from_secs(3),
            stragglers: Vec::new(),
            slowdown: 10.0,
            lost_upstreams: Vec::new(),
            cold_starts: Vec::new(),
            cold_start_is_announced: true,
            policy: Policy::Groups,
            group_options: dispatch::Options::default(),
            balance_options: balance::Options::default(),
        }
    }

    /// Pool service of the Dar es Salaam deployment without any fault.
    pub fn dar_es_salaam(seed: u64) -> Self {
        Self {
            upstreams: 8,
            slots: 3,
            inter_data_centre_rtt: Duration::from_micros(1_500),
            ..Self::port_louis(seed)
        }
    }

    /// Requests per second that all upstreams complete when all slots are in use.
    pub fn capacity_per_s(&self) -> f64 {
        usize_to_f64(self.upstreams) * f64::from(self.slots) / self.mean_service_time.as_secs_f64()
    }
}

/// An attempt inside an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub group: usize,
    pub attempt: u64,
    pub id: u64,
    pub sent_at_us: u64,
    /// Time at which the upstream drops the job if it has not started.
    pub deadline_us: u64,
}

/// Result of an attempt that reaches an upstream.
pub enum Received {
    /// The attempt runs until this time, in microseconds.
    Started(u64),
    /// The attempt waits for a slot inside the upstream.
    Queued,
    /// The upstream sheds the attempt as not run.
    Shed,
    /// The connection is not established.
    ConnectionRefused,
}

/// Simulated upstream with slots, cold starts and a slowdown.
#[derive(Debug)]
pub struct SimUpstream {
    pub slots: u32,
    pub is_cold: bool,
    pub completions: u32,
    pub slowdown: f64,
    pub is_lost: bool,
    pub running: Vec<Job>,
    pub queued: Vec<Job>,
    pub boot_id: u64,
    /// Time of the last restart.
    pub restarted_at_us: u64,
    /// Attempts above the limit of a cold upstream that were sent after its restart.
    pub cold_overloads: u64,
    /// Attempts above that limit that were in transit when it restarted, which no policy can prevent.
    pub overloads_in_transit: u64,
    /// Largest number of attempts inside the upstream at once.
    pub max_jobs: u64,
}

impl SimUpstream {
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            is_cold: true,
            completions: 0,
            slowdown: 1.0,
            is_lost: false,
            running: Vec::new(),
            queued: Vec::new(),
            boot_id: 1,
            restarted_at_us: 0,
            cold_overloads: 0,
            overloads_in_transit: 0,
            max_jobs: 0,
        }
    }

    fn limit(&self) -> usize {
        let limit = if self.is_cold {
            self.slots.min(1 + self.completions / 8)
        } else {
            self.slots
        };
        limit as usize
    }

    /// Restarts the upstream and returns the running jobs, which break.
    pub fn restart(&mut self, now_us: u64) -> Vec<Job> {
        self.is_cold = true;
        self.completions = 0;
        self.boot_id += 1;
        self.restarted_at_us = now_us;
        self.queued.clear();
        std::mem::take(&mut self.running)
    }

    pub fn receive(
        &mut self,
        now_us: u64,
        job: Job,
        config: &SimConfig,
        rng: &mut SmallRng,
    ) -> Received {
        if self.is_lost {
            return Received::ConnectionRefused;
        }
        self.max_jobs = self
            .max_jobs
            .max((self.running.len() + self.queued.len() + 1) as u64);
        if self.running.len() < self.limit() {
            self.running.push(job);
            return Received::Started(now_us + self.sample_service_time_us(config, rng));
        }
        if self.is_cold {
            if job.sent_at_us < self.restarted_at_us {
                self.overloads_in_transit += 1;
            } else {
                self.cold_overloads += 1;
            }
            return Received::Shed;
        }
        if self.queued.len() < UPSTREAM_BACKLOG {
            self.queued.push(job);
            return Received::Queued;
        }
        Received::Shed
    }

    fn sample_service_time_us(&self, config: &SimConfig, rng: &mut SmallRng) -> u64 {
        let mean = config.mean_service_time.as_secs_f64();
        let log_mean = mean.ln() - config.service_time_sigma * config.service_time_sigma / 2.0;
        let service_time_s =
            (log_mean + config.service_time_sigma * sample_standard_normal(rng)).exp();
        let ramp_progress = f64::from(self.completions) / f64::from(8 * self.slots);
        let cold_factor = if self.is_cold {
            1.0 + (COLD_LATENCY_FACTOR - 1.0) * (1.0 - ramp_progress).max(0.0)
        } else {
            1.0
        };
        seconds_to_us(service_time_s * cold_factor * self.slowdown)
    }

    /// Ends a job; returns it if it was still running.
    pub fn complete(&mut self, job_id: u64) -> Option<Job> {
        let position = self.running.iter().position(|job| job.id == job_id)?;
        let job = self.running.swap_remove(position);
        self.completions += 1;
        if self.is_cold && self.completions >= 8 * self.slots {
            self.is_cold = false;
        }
        Some(job)
    }

    /// Starts the next queued job, if any, and returns its id and the time of its end.
    pub fn start_next(
        &mut self,
        now_us: u64,
        config: &SimConfig,
        rng: &mut SmallRng,
    ) -> Option<(u64, u64)> {
        self.queued.retain(|job| job.deadline_us > now_us);
        if self.queued.is_empty() || self.running.len() >= self.limit() {
            return None;
        }
        let job = self.queued.remove(0);
        self.running.push(job);
        Some((job.id, now_us + self.sample_service_time_us(config, rng)))
    }

    /// Cancels a job; returns whether it was known.
    pub fn cancel(&mut self, group: usize, attempt: u64) -> bool {
        let before = self.running.len() + self.queued.len();
        let is_other = |job: &Job| job.group != group || job.attempt != attempt;
        self.running.retain(is_other);
        self.queued.retain(is_other);
        before > self.running.len() + self.queued.len()
    }
}

/// Measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Latencies of answered urgent requests.
    pub urgent_latencies_us: Vec<u64>,
    /// Latencies of all answered requests.
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
    pub cold_starts: u64,
    pub cold_overloads: u64,
    pub overloads_in_transit: u64,
    pub max_at_upstream: u64,
    pub measured_s: f64,
    pub capacity_per_s: f64,
    /// Virtual time of the first ejection in the run.
    pub first_ejection_us: Option<u64>,
}

impl Report {
    pub fn record_response(
        &mut self,
        class: PriorityClass,
        is_last_team: bool,
        latency_us: u64,
        in_time: bool,
    ) {
        self.all_latencies_us.push(latency_us);
        self.in_time += u64::from(in_time);
        if class == PriorityClass::Urgent {
            self.urgent_latencies_us.push(latency_us);
            self.urgent_in_time += u64::from(in_time);
        }
        if !is_last_team {
            self.other_teams_latencies_us.push(latency_us);
            self.other_teams_in_time += u64::from(in_time);
        }
    }

    /// Returns the responses before their deadline per second, relative to the capacity.
    pub fn goodput(&self) -> f64 {
        to_f64(self.in_time) / self.measured_s / self.capacity_per_s
    }

    /// Returns the refused requests per request.
    pub fn refused_ratio(&self) -> f64 {
        to_f64(self.refused) / to_f64(self.arrivals.max(1))
    }

    /// Returns the hedged attempts per request.
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
            self.cold_starts,
            self.cold_overloads,
            self.overloads_in_transit,
            self.max_at_upstream,
        )
    }
}

/// Returns the percentile of latencies, or zero if there are none.
pub fn percentile_us(values: &[u64], percent: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let position = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted.get(position).copied().unwrap_or(0)
}

/// Samples the standard normal distribution with the Box-Muller transform.
fn sample_standard_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Samples the time between two events of the given rate, which is exponentially distributed.
pub fn sample_exponential_us(rng: &mut SmallRng, rate_per_s: f64) -> u64 {
    seconds_to_us(-(1.0 - rng.random::<f64>()).ln() / rate_per_s)
}

/// Converts seconds to microseconds; a value that a duration can't hold becomes `u64::MAX / 2`.
pub fn seconds_to_us(seconds: f64) -> u64 {
    Duration::try_from_secs_f64(seconds).map_or(u64::MAX / 2, duration_us)
}

/// Converts a duration to microseconds.
pub fn duration_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX / 2)
}

/// Converts a count to a float; one above `u32::MAX` becomes `f64::MAX`.
pub fn to_f64(value: u64) -> f64 {
    u32::try_from(value).map_or(f64::MAX, f64::from)
}

fn usize_to_f64(value: usize) -> f64 {
    u32::try_from(value).map_or(f64::MAX, f64::from)
}
