//! The `queue` module provides the queue of a dispatch group: urgent requests first, then weighted fair order by team.
//!
//! Teams that keep to their share wait in one shared FIFO, which gives the shortest tail. A team that sends
//! well above its share relative to the others is taken out of this shared FIFO: it competes with the shared FIFO by
//! weight, as in start-time fair queueing, and so delays only itself. Its urgent requests count towards its share and are
//! refused beyond it while ordinary requests of others wait: they go first and would otherwise take the whole capacity.
//! See `docs/design.md`, section 5.

use std::collections::VecDeque;

use kumquat_state::bundle::PriorityClass;
use kumquat_state::ident;

/// Virtual time that one request costs at weight 1.
const UNIT_COST: u64 = 1 << 20;

/// Virtual time by which the shared FIFO may run ahead of a flooding team after it has used less than its share.
///
/// Without it, the shared FIFO waits for its turn behind a flooding team as soon as a few requests come at once.
const SHARED_BURST_COST: u64 = 32 * UNIT_COST;

/// Arrivals per weight, in percent of those of the other teams, above which a team floods.
///
/// Random arrivals of a small team stay below it: in a window of 1,024 requests a share of 1 in 13 varies by 13 %.
const FLOOD_THRESHOLD_PERCENT: u64 = 150;

/// Recent arrivals below which a team is not classified as flooding.
const MIN_ARRIVALS: u32 = 32;

/// Arrivals after which all arrival counts are halved.
const ARRIVAL_WINDOW: u32 = 1_024;

/// Waiting requests up to which one team's queue always counts in full for the entries.
const ALWAYS_COUNTED: u32 = 4;

/// Index of the urgent requests in the lanes.
const URGENT: usize = 0;

/// Index of the ordinary requests in the lanes.
const ORDINARY: usize = 1;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Requests that may wait per class, over all teams.
    pub max_waiting: u32,
    /// Requests per class that every team may have waiting, however small its weight is.
    pub min_team_limit: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_waiting: 1_024,
            min_team_limit: 32,
        }
    }
}

/// Returned when the team's part of the queue, or the whole queue, is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the team's part of the queue is full")]
pub struct Full;

#[derive(Clone, Copy, Debug)]
struct Item {
    handle: u32,
    /// Order of arrival over all teams; zero for a request that has been taken before.
    sequence: u64,
}

#[derive(Clone, Debug)]
struct Flow {
    team: ident::Team,
    weight: u32,
    /// Recent arrivals of both classes.
    arrivals: u32,
    is_flooding: bool,
    /// Virtual time at which the next request starts; used while the team floods.
    start: u64,
    /// Waiting requests by class.
    lanes: [VecDeque<Item>; 2],
}

impl Flow {
    fn waiting(&self) -> u32 {
        self.lanes.iter().map(count).sum()
    }

    fn cost(&self) -> u64 {
        UNIT_COST / u64::from(self.weight)
    }
}

/// Counts of one class over all teams.
#[derive(Clone, Copy, Debug, Default)]
struct Lane {
    waiting: u32,
    /// Waiting requests of the teams in the shared FIFO.
    shared: u32,
}

/// Requests that wait, identified by the caller's handles.
#[derive(Clone, Debug)]
pub struct Queue {
    options: Options,
    /// Sorted by team.
    flows: Vec<Flow>,
    lanes: [Lane; 2],
    /// Virtual time at which the next ordinary request of the shared FIFO starts.
    shared_start: u64,
    /// Start tag of the request taken last, urgent requests of the shared FIFO aside.
    virtual_time: u64,
    total_weight: u32,
    shared_weight: u32,
    arrivals: u32,
    sequence: u64,
}

impl Queue {
    /// Creates an empty queue; teams without a configured weight have weight 1.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            flows: Vec::new(),
            lanes: [Lane::default(); 2],
            shared_start: 0,
            virtual_time: 0,
            total_weight: 0,
            shared_weight: 0,
            arrivals: 0,
            sequence: 0,
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
            flow.waiting() > 0 || weights.iter().any(|(team, _)| *team == flow.team)
        });
        self.arrivals = self.flows.iter().map(|flow| flow.arrivals).sum();
        self.update_weights();
    }

    /// Counts an arrival, admitted or not, by which teams that flood are told from the others.
    pub fn count_arrival(&mut self, team: &ident::Team) {
        let index = self.flow(team);
        self.flows[index].arrivals += 1;
        self.arrivals += 1;
        if self.arrivals >= ARRIVAL_WINDOW {
            for flow in &mut self.flows {
                flow.arrivals /= 2;
            }
            self.arrivals = self.flows.iter().map(|flow| flow.arrivals).sum();
            for index in 0..self.flows.len() {
                self.update_flooding(index);
            }
        } else {
            self.update_flooding(index);
        }
    }

    /// Appends a request to its team's part of the queue.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if the team's part or the whole queue is full, and for an urgent request of a flooding team that
    /// has used its share while ordinary requests of others wait.
    pub fn push(
        &mut self,
        team: &ident::Team,
        class: PriorityClass,
        handle: u32,
    ) -> Result<(), Full> {
        let index = self.flow(team);
        let lane = lane(class);
        let part = self.team_limit(self.flows[index].weight);
        if self.lanes[lane].waiting >= self.options.max_waiting
            || count(&self.flows[index].lanes[lane]) >= part
            || lane == URGENT && self.has_used_share(index)
        {
            return Err(Full);
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.count_waiting(index, lane);
        let waiting = &mut self.flows[index].lanes[lane];
        waiting.push_back(Item { handle, sequence });
        Ok(())
    }

    /// Puts a request that has been taken before back to the front of its team's part, without a bound.
    pub fn push_front(&mut self, team: &ident::Team, class: PriorityClass, handle: u32) {
        let index = self.flow(team);
        let lane = lane(class);
        self.count_waiting(index, lane);
        let waiting = &mut self.flows[index].lanes[lane];
        waiting.push_front(Item {
            handle,
            sequence: 0,
        });
    }

    /// Takes the request that is next in order.
    pub fn pop(&mut self) -> Option<u32> {
        let lane = usize::from(self.lanes[URGENT].waiting == 0);
        let mut best: Option<(u64, u64, usize)> = None;
        for (index, flow) in self.flows.iter().enumerate() {
            let Some(item) = flow.lanes[lane].front() else {
                continue;
            };
            // At equal tags the shared FIFO goes first, in order of arrival.
            let key = match (flow.is_flooding, lane) {
                (true, _) => (flow.start, u64::MAX, index),
                (false, URGENT) => (0, item.sequence, index),
                (false, _) => (self.shared_start, item.sequence, index),
            };
            if best.is_none_or(|best| key < best) {
                best = Some(key);
            }
        }
        let (start, _, index) = best?;
        let shared_cost = self.shared_cost();
        let flow = &mut self.flows[index];
        // An urgent request of a flooding team that goes before its turn doesn't move the time on.
        let is_in_turn = if flow.is_flooding {
            flow.start += flow.cost();
            lane == ORDINARY || self.lanes[ORDINARY].shared == 0
        } else {
            self.lanes[lane].shared -= 1;
            self.shared_start += if lane == ORDINARY { shared_cost } else { 0 };
            lane == ORDINARY
        };
        if is_in_turn {
            // While the shared FIFO uses its burst allowance, its start tag lies in the past; virtual time doesn't go
            // back.
            self.virtual_time = self.virtual_time.max(start);
        }
        self.lanes[lane].waiting -= 1;
        flow.lanes[lane].pop_front().map(|item| item.handle)
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub fn remove(&mut self, team: &ident::Team, class: PriorityClass, handle: u32) -> bool {
        let lane = lane(class);
        let Ok(index) = self.find(team) else {
            return false;
        };
        let flow = &mut self.flows[index];
        let waiting = &mut flow.lanes[lane];
        let Some(position) = waiting.iter().position(|item| item.handle == handle) else {
            return false;
        };
        waiting.remove(position);
        self.lanes[lane].waiting -= 1;
        self.lanes[lane].shared -= u32::from(!flow.is_flooding);
        true
    }

    /// Takes every waiting request, in order.
    pub fn drain(&mut self) -> Vec<u32> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    /// Returns how many waiting requests a new request of this team and class would let pass first.
    #[must_use]
    pub fn ahead(&self, team: &ident::Team, class: PriorityClass) -> u32 {
        let own = self.find(team).ok().map(|index| &self.flows[index]);
        let own = own.filter(|flow| flow.is_flooding);
        let urgent = match (class, own) {
            (PriorityClass::Urgent, None) => return self.lanes[URGENT].shared,
            (PriorityClass::Urgent, Some(_)) => return self.lanes[URGENT].waiting,
            (PriorityClass::Ordinary, _) => self.lanes[URGENT].waiting,
        };
        let shared = self.lanes[ORDINARY].shared;
        let shared_start = self.shared_start.max(self.min_shared_start());
        // The tag up to which others go first, and the requests in front that share the tag's line.
        let (tag, mut ahead) = if let Some(flow) = own {
            let waiting = count(&flow.lanes[ORDINARY]);
            let tag = flow.start.max(self.virtual_time) + u64::from(flow.waiting()) * flow.cost();
            (
                tag,
                waiting + overtaking(tag, shared_start, self.shared_cost(), shared),
            )
        } else {
            let tag = shared_start + u64::from(shared) * self.shared_cost();
            (tag, shared)
        };
        for flow in self.flows.iter().filter(|flow| flow.is_flooding) {
            if flow.team != *team {
                let start = flow.start + u64::from(count(&flow.lanes[URGENT])) * flow.cost();
                ahead += overtaking(tag, start, flow.cost(), count(&flow.lanes[ORDINARY]));
            }
        }
        urgent + ahead
    }

    /// Returns the number of waiting requests of a class.
    #[must_use]
    pub fn len_of(&self, class: PriorityClass) -> u32 {
        self.lanes[lane(class)].waiting
    }

    /// Returns the number of waiting requests of a class, where the longest queue of a team counts no more than all others together.
    ///
    /// The entries choose groups by it: a team that floods would otherwise decide for the others where they go.
    #[must_use]
    pub fn capped_len_of(&self, class: PriorityClass) -> u32 {
        let lane = lane(class);
        let longest = self.flows.iter().map(|flow| count(&flow.lanes[lane]));
        let longest = longest.max().unwrap_or(0);
        let others = self.lanes[lane].waiting - longest;
        others + longest.min(others.max(ALWAYS_COUNTED))
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.lanes[0].waiting + self.lanes[1].waiting
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn team_limit(&self, weight: u32) -> u32 {
        let share = u64::from(self.options.max_waiting) * u64::from(weight)
            / u64::from(self.total_weight.max(1));
        u32::try_from(share)
            .unwrap_or(u32::MAX)
            .max(self.options.min_team_limit)
    }

    /// Returns whether a flooding team is ahead of the shared FIFO, which waits.
    fn has_used_share(&self, index: usize) -> bool {
        let flow = &self.flows[index];
        let tag = flow.start + u64::from(flow.waiting()) * flow.cost();
        flow.is_flooding && self.lanes[ORDINARY].shared > 0 && tag > self.shared_start
    }

    /// Counts a request that begins to wait, and sets the start tag if it is the first.
    fn count_waiting(&mut self, index: usize, lane: usize) {
        let flow = &mut self.flows[index];
        if !flow.is_flooding {
            self.count_shared(lane, 1);
        } else if flow.waiting() == 0 {
            flow.start = flow.start.max(self.virtual_time);
        }
        self.lanes[lane].waiting += 1;
    }

    fn count_shared(&mut self, lane: usize, count: u32) {
        if lane == ORDINARY && self.lanes[lane].shared == 0 {
            self.shared_start = self.shared_start.max(self.min_shared_start());
        }
        self.lanes[lane].shared += count;
    }

    /// Moves a team into or out of the shared FIFO.
    fn update_flooding(&mut self, index: usize) {
        let flow = &mut self.flows[index];
        let others = u64::from(self.arrivals - flow.arrivals);
        let others_weight = u64::from(self.total_weight - flow.weight);
        // Arrivals per weight are compared by cross-multiplication.
        let own = u64::from(flow.arrivals) * others_weight * 100;
        let is_flooding = flow.arrivals >= MIN_ARRIVALS
            && own > others * u64::from(flow.weight) * FLOOD_THRESHOLD_PERCENT;
        if is_flooding == flow.is_flooding {
            return;
        }
        flow.is_flooding = is_flooding;
        flow.start = flow.start.max(self.virtual_time);
        let waiting = [count(&flow.lanes[URGENT]), count(&flow.lanes[ORDINARY])];
        for (lane, waiting) in waiting.into_iter().enumerate() {
            if is_flooding {
                self.lanes[lane].shared -= waiting;
            } else {
                self.count_shared(lane, waiting);
            }
        }
        self.update_weights();
    }

    fn update_weights(&mut self) {
        self.total_weight = self.flows.iter().map(|flow| flow.weight).sum();
        let shared = self.flows.iter().filter(|flow| !flow.is_flooding);
        self.shared_weight = shared.map(|flow| flow.weight).sum();
    }

    fn shared_cost(&self) -> u64 {
        UNIT_COST / u64::from(self.shared_weight.max(1))
    }

    /// Returns the lowest start tag that the shared FIFO may have when it begins to wait.
    fn min_shared_start(&self) -> u64 {
        self.virtual_time.saturating_sub(SHARED_BURST_COST)
    }

    fn find(&self, team: &ident::Team) -> Result<usize, usize> {
        self.flows.binary_search_by(|flow| flow.team.cmp(team))
    }

    fn flow(&mut self, team: &ident::Team) -> usize {
        self.find(team).unwrap_or_else(|index| {
            let flow = Flow {
                team: team.clone(),
                weight: 1,
                arrivals: 0,
                is_flooding: false,
                start: 0,
                lanes: [VecDeque::new(), VecDeque::new()],
            };
            self.flows.insert(index, flow);
            self.update_weights();
            index
        })
    }
}

/// Returns how many of `waiting` requests with tags from `start` on go before a request with this tag.
fn overtaking(tag: u64, start: u64, cost: u64, waiting: u32) -> u32 {
    if tag < start {
        return 0;
    }
    let earlier = (tag - start) / cost.max(1) + 1;
    waiting.min(u32::try_from(earlier).unwrap_or(u32::MAX))
}

fn lane(class: PriorityClass) -> usize {
    match class {
        PriorityClass::Urgent => URGENT,
        PriorityClass::Ordinary => ORDINARY,
    }
}

fn count(waiting: &VecDeque<Item>) -> u32 {
    u32::try_from(waiting.len()).unwrap_or(u32::MAX)
}
