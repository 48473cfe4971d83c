//! The `queue` module provides the queue of a dispatch group: urgent requests first, then weighted fair order by team.
//!
//! Fairness uses start tags as in start-time fair queueing. The tag belongs to the team and not to the request, so that
//! a request that leaves the queue early costs its team nothing. See `docs/design.md`, section 5.

use std::collections::VecDeque;

use kumquat_state::bundle::Class;
use kumquat_state::ident;

/// Virtual time that one request costs a team of weight 1.
const COST: u64 = 1 << 20;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Requests that may wait per class, over all teams.
    pub total: u32,
    /// Requests per class that every team may have waiting, however small its weight is.
    pub least_part: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            total: 1_024,
            least_part: 32,
        }
    }
}

/// Returned when the team's part of the queue, or the whole queue, is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the team's part of the queue is full")]
pub struct Full;

#[derive(Clone, Debug)]
struct Flow {
    team: ident::Team,
    weight: u32,
    waiting: [VecDeque<u32>; 2],
    /// Virtual time at which the next request of the team starts, per class.
    start: [u64; 2],
}

impl Flow {
    fn cost(&self) -> u64 {
        COST / u64::from(self.weight)
    }
}

/// Requests that wait, identified by the caller's handles.
#[derive(Clone, Debug)]
pub struct Queue {
    options: Options,
    /// Sorted by team.
    flows: Vec<Flow>,
    total_weight: u32,
    /// Start tag of the request taken last, per class.
    virtual_time: [u64; 2],
    waiting: [u32; 2],
}

impl Queue {
    /// Creates an empty queue; teams without a configured weight have weight 1.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            flows: Vec::new(),
            total_weight: 0,
            virtual_time: [0; 2],
            waiting: [0; 2],
        }
    }

    /// Sets the weights of teams; a team that is not listed falls back to weight 1.
    pub fn set_weights(&mut self, weights: &[(ident::Team, u32)]) {
        for flow in &mut self.flows {
            flow.weight = 1;
        }
        for (team, weight) in weights {
            let index = self.flow(team);
            self.flows[index].weight = (*weight).max(1);
        }
        // Teams that are neither listed nor waiting are dropped, so that removed teams leave no state behind.
        self.flows.retain(|flow| {
            flow.waiting.iter().any(|waiting| !waiting.is_empty())
                || weights.iter().any(|(team, _)| *team == flow.team)
        });
        self.total_weight = self.flows.iter().map(|flow| flow.weight).sum();
    }

    /// Appends a request to its team's part of the queue.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if the team's part or the whole queue is full.
    pub fn push(&mut self, team: &ident::Team, class: Class, handle: u32) -> Result<(), Full> {
        let index = self.flow(team);
        let lane = lane(class);
        let part = self.part(self.flows[index].weight);
        if self.waiting[lane] >= self.options.total
            || count(&self.flows[index].waiting[lane]) >= part
        {
            return Err(Full);
        }
        self.activate(index, lane);
        self.flows[index].waiting[lane].push_back(handle);
        self.waiting[lane] += 1;
        Ok(())
    }

    /// Puts a request that has been taken before back to the front of its team's part, without a bound.
    pub fn push_front(&mut self, team: &ident::Team, class: Class, handle: u32) {
        let index = self.flow(team);
        let lane = lane(class);
        self.activate(index, lane);
        self.flows[index].waiting[lane].push_front(handle);
        self.waiting[lane] += 1;
    }

    /// Takes the request that is next in order.
    pub fn pop(&mut self) -> Option<u32> {
        let lane = usize::from(self.waiting[0] == 0);
        let flow = self
            .flows
            .iter_mut()
            .filter(|flow| !flow.waiting[lane].is_empty())
            .min_by_key(|flow| flow.start[lane])?;
        let handle = flow.waiting[lane].pop_front()?;
        self.virtual_time[lane] = flow.start[lane];
        flow.start[lane] += flow.cost();
        self.waiting[lane] -= 1;
        Some(handle)
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub fn remove(&mut self, team: &ident::Team, class: Class, handle: u32) -> bool {
        let lane = lane(class);
        let Ok(index) = self.find(team) else {
            return false;
        };
        let waiting = &mut self.flows[index].waiting[lane];
        let Some(position) = waiting.iter().position(|other| *other == handle) else {
            return false;
        };
        waiting.remove(position);
        self.waiting[lane] -= 1;
        true
    }

    /// Takes every waiting request, in order.
    pub fn drain(&mut self) -> Vec<u32> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    /// Returns how many waiting requests a new request of this team and class would let pass first.
    #[must_use]
    pub fn ahead(&self, team: &ident::Team, class: Class) -> u32 {
        let lane = lane(class);
        let (own, weight, start) = match self.find(team) {
            Ok(index) => {
                let flow = &self.flows[index];
                (
                    count(&flow.waiting[lane]),
                    flow.weight,
                    flow.start[lane].max(self.virtual_time[lane]),
                )
            }
            Err(_) => (0, 1, self.virtual_time[lane]),
        };
        let tag = start + u64::from(own) * (COST / u64::from(weight));
        let same_class: u32 = self
            .flows
            .iter()
            .map(|flow| {
                // Another team's requests go first as far as their tags are below the tag of the new request.
                let waiting = count(&flow.waiting[lane]);
                if flow.team == *team {
                    return waiting;
                }
                let lead = tag.saturating_sub(flow.start[lane]) / flow.cost();
                waiting.min(u32::try_from(lead + 1).unwrap_or(u32::MAX))
            })
            .sum();
        match class {
            Class::Urgent => same_class,
            Class::Ordinary => self.waiting[0] + same_class,
        }
    }

    /// Returns the number of waiting requests of a class.
    #[must_use]
    pub fn len_of(&self, class: Class) -> u32 {
        self.waiting[lane(class)]
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.waiting[0] + self.waiting[1]
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn part(&self, weight: u32) -> u32 {
        let share =
            u64::from(self.options.total) * u64::from(weight) / u64::from(self.total_weight.max(1));
        u32::try_from(share)
            .unwrap_or(u32::MAX)
            .max(self.options.least_part)
    }

    /// Moves an idle team to the present, so that it neither saves up credit nor pays for its past.
    fn activate(&mut self, index: usize, lane: usize) {
        let flow = &mut self.flows[index];
        if flow.waiting[lane].is_empty() {
            flow.start[lane] = flow.start[lane].max(self.virtual_time[lane]);
        }
    }

    fn find(&self, team: &ident::Team) -> Result<usize, usize> {
        self.flows.binary_search_by(|flow| flow.team.cmp(team))
    }

    fn flow(&mut self, team: &ident::Team) -> usize {
        self.find(team).unwrap_or_else(|index| {
            let flow = Flow {
                team: team.clone(),
                weight: 1,
                waiting: [VecDeque::new(), VecDeque::new()],
                start: self.virtual_time,
            };
            self.flows.insert(index, flow);
            self.total_weight += 1;
            index
        })
    }
}

fn lane(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Ordinary => 1,
    }
}

fn count(waiting: &VecDeque<u32>) -> u32 {
    u32::try_from(waiting.len()).unwrap_or(u32::MAX)
}
