//! The `rate` module provides this VM's share of the teams' rates.
//!
//! The rate of a team holds over all VMs together. VMs report their demand to each other; those that hear one another
//! divide their part of the rate by demand, and keep the equal part of each VM that they don't hear unused. A VM that
//! hears nobody therefore has exactly its equal part, which everyone else leaves to it.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::Bucket;

/// Time constant of the demand estimate.
const DEMAND_WINDOW_S: f64 = 1.0;

/// Age at which a peer's report of its demand no longer counts.
const REPORT_LIFE: Duration = Duration::from_millis(1_200);

/// Part of a team's rate that the VMs use; the rest covers the time in which their views of the demand differ.
const RATE_USED: f64 = 0.98;

/// Part of each VM's equal share that it keeps whatever the others ask for, so that its first requests are not refused.
const FLOOR: f64 = 0.25;

/// Interval at which shares are divided anew.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(200);

/// Whether a request may use its team's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It may.
    Allowed,
    /// The team's share is used up for this many seconds.
    Exhausted {
        /// Seconds until the next token.
        wait: f64,
    },
}

#[derive(Clone, Debug)]
struct Team {
    id: u32,
    rate: f64,
    burst: f64,
    demand: f64,
    counted: Instant,
    bucket: Bucket,
    peers: Vec<Report>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    peer: u64,
    demand: f64,
    at: Instant,
}

/// The teams with a rate.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    teams: Vec<Team>,
    vms: usize,
    heard: Vec<(u64, Instant)>,
    divided: Instant,
}

impl Rates {
    /// Sets the teams as id, rate and burst; a rate of zero means no limit.
    pub fn set_teams(&mut self, now: Instant, limits: &[(u32, f64, f64)]) {
        let mut teams: Vec<Team> = limits
            .iter()
            .filter(|(_, rate, _)| *rate > 0.0)
            .map(|&(id, rate, burst)| match self.position(id) {
                Some(position) => Team {
                    rate,
                    burst,
                    ..self.teams[position].clone()
                },
                None => Team {
                    id,
                    rate,
                    burst,
                    demand: 0.0,
                    counted: now,
                    bucket: self.first_bucket(now, rate, burst),
                    peers: Vec::new(),
                },
            })
            .collect();
        teams.sort_by_key(|team| team.id);
        teams.dedup_by_key(|team| team.id);
        self.teams = teams;
        self.divide(now);
    }

    /// Sets the number of VMs among which rates are divided, this one included.
    pub fn set_vms(&mut self, now: Instant, vms: usize) {
        if self.vms != vms {
            self.vms = vms;
            self.divide(now);
        }
    }

    /// Takes a peer's report of its demand, in requests a second by team.
    pub fn report(&mut self, now: Instant, peer: u64, demands: &[(u32, f64)]) {
        match self.heard.binary_search_by_key(&peer, |heard| heard.0) {
            Ok(position) => self.heard[position].1 = now,
            Err(position) => self.heard.insert(position, (peer, now)),
        }
        for team in &mut self.teams {
            team.peers.retain(|report| report.peer != peer);
        }
        for &(id, demand) in demands {
            if let Some(position) = self.position(id) {
                let report = Report {
                    peer,
                    demand,
                    at: now,
                };
                self.teams[position].peers.push(report);
            }
        }
    }

    /// Returns the demand at this VM, for the report to its peers.
    pub fn demands(&mut self, now: Instant) -> Vec<(u32, f64)> {
        for team in &mut self.teams {
            team.decay(now);
        }
        let demands = self.teams.iter().map(|team| (team.id, team.demand));
        demands.filter(|(_, demand)| *demand > 0.05).collect()
    }

    /// Takes a request of a team from its share.
    pub fn take(&mut self, now: Instant, id: u32) -> Taken {
        if now.saturating_since(self.divided) >= DIVIDE_INTERVAL {
            self.divide(now);
        }
        let Some(position) = self.position(id) else {
            return Taken::Allowed;
        };
        let team = &mut self.teams[position];
        team.decay(now);
        team.demand += 1.0 / DEMAND_WINDOW_S;
        if team.bucket.take(now) {
            Taken::Allowed
        } else {
            Taken::Exhausted {
                wait: team.bucket.wait(),
            }
        }
    }

    /// Counts a repeated send of a request, which the upstreams see as one more.
    pub fn repeat(&mut self, now: Instant, id: u32) {
        if let Some(position) = self.position(id) {
            self.teams[position].bucket.force(now);
        }
    }

    /// Returns what a request took that was never sent.
    pub fn put_back(&mut self, id: u32) {
        if let Some(position) = self.position(id) {
            self.teams[position].bucket.put_back();
        }
    }

    fn position(&self, id: u32) -> Option<usize> {
        self.teams.binary_search_by_key(&id, |team| team.id).ok()
    }

    fn first_bucket(&self, now: Instant, rate: f64, burst: f64) -> Bucket {
        let part = 1.0 / parts(self.vms);
        // An empty bucket at the start: the burst may have been used up by the VM that ran here before.
        let mut bucket = Bucket::new(now, rate * part * RATE_USED, 0.0);
        bucket.set(now, rate * part * RATE_USED, (burst * part).max(1.0));
        bucket
    }

    fn divide(&mut self, now: Instant) {
        self.divided = now;
        self.heard
            .retain(|(_, at)| now.saturating_since(*at) < REPORT_LIFE);
        let vms = parts(self.vms);
        let heard = parts(self.heard.len() + 1).min(vms);
        for team in &mut self.teams {
            team.decay(now);
            team.peers
                .retain(|report| now.saturating_since(report.at) < REPORT_LIFE);
            let share = team.share(vms, heard);
            let rate = team.rate * share * RATE_USED;
            team.bucket.set(now, rate, (team.burst * share).max(1.0));
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a fleet has far fewer than 2^52 VMs"
)]
fn parts(vms: usize) -> f64 {
    vms.max(1) as f64
}

impl Team {
    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_since(self.counted).as_secs_f64();
        if passed > 0.0 {
            self.demand *= (-passed / DEMAND_WINDOW_S).exp();
            self.counted = now;
        }
    }

    /// Returns this VM's share of the rate, from 0 to 1.
    fn share(&self, vms: f64, heard: f64) -> f64 {
        let floor = FLOOR / vms;
        let divisible = heard / vms - floor * heard;
        let others: f64 = self.peers.iter().map(|report| report.demand).sum();
        // One request a second is added for each VM, so that shares of an idle team are equal and its growth is damped.
        let own = self.demand + 1.0;
        let total = own + others + (heard - 1.0);
        floor + divisible * own / total
    }
}
