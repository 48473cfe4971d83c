//! The `queue` module provides the queue of a dispatch group: urgent requests first, then weighted fair order by team.
//!
//! Teams that keep to their share wait together in order of arrival, which gives the shortest tail. A team that sends
//! well above its share relative to the others is taken out of this common order: it competes with the common order by
//! weight, as in start-time fair queueing, and so delays only itself. See `docs/design.md`, section 5.

use std::collections::VecDeque;

use kumquat_state::bundle::Class;
use kumquat_state::ident;

/// Virtual time that one request costs at weight 1.
const COST: u64 = 1 << 20;

/// Virtual time by which the common order may run ahead of a flooding team after it has used less than its share.
///
/// Without it, the common order waits for its turn behind a flooding team as soon as a few requests come at once.
const CREDIT: u64 = 32 * COST;

/// Arrivals per weight, in percent of those of the other teams, above which a team floods.
///
/// Random arrivals of a small team stay below it: in a window of 1,024 requests a share of 1 in 13 varies by 13 %.
const FLOOD_PERCENT: u64 = 150;

/// Recent arrivals below which a team is not judged.
const LEAST_ARRIVALS: u32 = 32;

/// Arrivals after which all arrival counts are halved.
const WINDOW: u32 = 1_024;

/// Waiting requests up to which one team's queue always counts in full for the entries.
const LONG: u32 = 4;

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
    lanes: [FlowLane; 2],
}

#[derive(Clone, Debug, Default)]
struct FlowLane {
    waiting: VecDeque<Item>,
    /// Virtual time at which the next request starts; used while the team floods.
    start: u64,
}

/// State of one class over all teams.
#[derive(Clone, Copy, Debug, Default)]
struct Lane {
    waiting: u32,
    /// Waiting requests of the teams in the common order.
    common: u32,
    /// Virtual time at which the next request of the common order starts.
    common_start: u64,
    /// Start tag of the request taken last.
    virtual_time: u64,
}

/// Requests that wait, identified by the caller's handles.
#[derive(Clone, Debug)]
pub struct Queue {
    options: Options,
    /// Sorted by team.
    flows: Vec<Flow>,
    lanes: [Lane; 2],
    total_weight: u32,
    common_weight: u32,
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
            total_weight: 0,
            common_weight: 0,
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
            flow.lanes.iter().any(|lane| !lane.waiting.is_empty())
                || weights.iter().any(|(team, _)| *team == flow.team)
        });
        self.arrivals = self.flows.iter().map(|flow| flow.arrivals).sum();
        self.update_weights();
    }

    /// Counts an arrival, admitted or not, by which teams that flood are told from the others.
    pub fn count_arrival(&mut self, team: &ident::Team) {
        let index = self.flow(team);
        self.flows[index].arrivals += 1;
        self.arrivals += 1;
        if self.arrivals >= WINDOW {
            for flow in &mut self.flows {
                flow.arrivals /= 2;
            }
            self.arrivals = self.flows.iter().map(|flow| flow.arrivals).sum();
            for index in 0..self.flows.len() {
                self.judge(index);
            }
        } else {
            self.judge(index);
        }
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
        if self.lanes[lane].waiting >= self.options.total
            || count(&self.flows[index].lanes[lane].waiting) >= part
        {
            return Err(Full);
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.enter(index, lane);
        let waiting = &mut self.flows[index].lanes[lane].waiting;
        waiting.push_back(Item { handle, sequence });
        Ok(())
    }

    /// Puts a request that has been taken before back to the front of its team's part, without a bound.
    pub fn push_front(&mut self, team: &ident::Team, class: Class, handle: u32) {
        let index = self.flow(team);
        let lane = lane(class);
        self.enter(index, lane);
        let waiting = &mut self.flows[index].lanes[lane].waiting;
        waiting.push_front(Item {
            handle,
            sequence: 0,
        });
    }

    /// Takes the request that is next in order.
    pub fn pop(&mut self) -> Option<u32> {
        let lane = usize::from(self.lanes[0].waiting == 0);
        let mut best: Option<(u64, u64, usize)> = None;
        for (index, flow) in self.flows.iter().enumerate() {
            let state = &flow.lanes[lane];
            let Some(item) = state.waiting.front() else {
                continue;
            };
            // At equal tags the common order goes first, in order of arrival.
            let key = if flow.is_flooding {
                (state.start, u64::MAX, index)
            } else {
                (self.lanes[lane].common_start, item.sequence, index)
            };
            if best.is_none_or(|best| key < best) {
                best = Some(key);
            }
        }
        let (start, _, index) = best?;
        let common_cost = self.common_cost();
        let flow = &mut self.flows[index];
        let total = &mut self.lanes[lane];
        if flow.is_flooding {
            flow.lanes[lane].start += COST / u64::from(flow.weight);
        } else {
            total.common_start += common_cost;
            total.common -= 1;
        }
        total.waiting -= 1;
        // The common order has a start tag in the past while it uses its credit, which does not turn the time back.
        total.virtual_time = total.virtual_time.max(start);
        flow.lanes[lane].waiting.pop_front().map(|item| item.handle)
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub fn remove(&mut self, team: &ident::Team, class: Class, handle: u32) -> bool {
        let lane = lane(class);
        let Ok(index) = self.find(team) else {
            return false;
        };
        let flow = &mut self.flows[index];
        let waiting = &mut flow.lanes[lane].waiting;
        let Some(position) = waiting.iter().position(|item| item.handle == handle) else {
            return false;
        };
        waiting.remove(position);
        self.lanes[lane].waiting -= 1;
        self.lanes[lane].common -= u32::from(!flow.is_flooding);
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
        let total = &self.lanes[lane];
        let own = self.find(team).ok().map(|index| &self.flows[index]);
        let own = own.filter(|flow| flow.is_flooding);
        let common_start = total.common_start.max(self.earliest(lane));
        // The tag up to which others go first, and the requests in front that share the tag's line.
        let (tag, mut ahead) = if let Some(flow) = own {
            let waiting = count(&flow.lanes[lane].waiting);
            let start = flow.lanes[lane].start.max(total.virtual_time);
            let tag = start + u64::from(waiting) * (COST / u64::from(flow.weight));
            (
                tag,
                waiting + overtaking(tag, common_start, self.common_cost(), total.common),
            )
        } else {
            let tag = common_start + u64::from(total.common) * self.common_cost();
            (tag, total.common)
        };
        for flow in self.flows.iter().filter(|flow| flow.is_flooding) {
            if flow.team != *team {
                let state = &flow.lanes[lane];
                let cost = COST / u64::from(flow.weight);
                ahead += overtaking(tag, state.start, cost, count(&state.waiting));
            }
        }
        match class {
            Class::Urgent => ahead,
            Class::Ordinary => self.lanes[0].waiting + ahead,
        }
    }

    /// Returns the number of waiting requests of a class.
    #[must_use]
    pub fn len_of(&self, class: Class) -> u32 {
        self.lanes[lane(class)].waiting
    }

    /// Returns the number of waiting requests of a class, where the longest queue of a team counts no more than all others together.
    ///
    /// The entries choose groups by it: a team that floods would otherwise decide for the others where they go.
    #[must_use]
    pub fn even_len_of(&self, class: Class) -> u32 {
        let lane = lane(class);
        let longest = self
            .flows
            .iter()
            .map(|flow| count(&flow.lanes[lane].waiting));
        let longest = longest.max().unwrap_or(0);
        let others = self.lanes[lane].waiting - longest;
        others + longest.min(others.max(LONG))
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

    fn part(&self, weight: u32) -> u32 {
        let share =
            u64::from(self.options.total) * u64::from(weight) / u64::from(self.total_weight.max(1));
        u32::try_from(share)
            .unwrap_or(u32::MAX)
            .max(self.options.least_part)
    }

    /// Counts a request that begins to wait, and sets the start tag if it is the first.
    fn enter(&mut self, index: usize, lane: usize) {
        let earliest = self.earliest(lane);
        let flow = &mut self.flows[index];
        let total = &mut self.lanes[lane];
        if flow.is_flooding {
            if flow.lanes[lane].waiting.is_empty() {
                let start = &mut flow.lanes[lane].start;
                *start = (*start).max(total.virtual_time);
            }
        } else {
            if total.common == 0 {
                total.common_start = total.common_start.max(earliest);
            }
            total.common += 1;
        }
        total.waiting += 1;
    }

    /// Moves a team into or out of the common order.
    fn judge(&mut self, index: usize) {
        let flow = &self.flows[index];
        let others = u64::from(self.arrivals - flow.arrivals);
        let others_weight = u64::from(self.total_weight - flow.weight);
        // Arrivals per weight are compared by cross-multiplication.
        let own = u64::from(flow.arrivals) * others_weight * 100;
        let is_flooding = flow.arrivals >= LEAST_ARRIVALS
            && own > others * u64::from(flow.weight) * FLOOD_PERCENT;
        if is_flooding == flow.is_flooding {
            return;
        }
        for lane in 0..2 {
            let earliest = self.earliest(lane);
            let total = &mut self.lanes[lane];
            let state = &mut self.flows[index].lanes[lane];
            let waiting = count(&state.waiting);
            if is_flooding {
                state.start = state.start.max(total.virtual_time);
                total.common -= waiting;
            } else {
                if total.common == 0 {
                    total.common_start = total.common_start.max(earliest);
                }
                total.common += waiting;
            }
        }
        self.flows[index].is_flooding = is_flooding;
        self.update_weights();
    }

    fn update_weights(&mut self) {
        self.total_weight = self.flows.iter().map(|flow| flow.weight).sum();
        let common = self.flows.iter().filter(|flow| !flow.is_flooding);
        self.common_weight = common.map(|flow| flow.weight).sum();
    }

    fn common_cost(&self) -> u64 {
        COST / u64::from(self.common_weight.max(1))
    }

    /// Returns the lowest start tag that the common order may have when it begins to wait.
    fn earliest(&self, lane: usize) -> u64 {
        self.lanes[lane].virtual_time.saturating_sub(CREDIT)
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
                lanes: [FlowLane::default(), FlowLane::default()],
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

fn lane(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Ordinary => 1,
    }
}

fn count(waiting: &VecDeque<Item>) -> u32 {
    u32::try_from(waiting.len()).unwrap_or(u32::MAX)
}
