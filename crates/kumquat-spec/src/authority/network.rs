//! The `network` module provides the passage of time and of messages in a cell.

use std::collections::VecDeque;

use kumquat_coordination::authority::{Action, Message};
use kumquat_state::ledger::Holder;

use super::{Cell, State, name};
use crate::mutation::Mutation;

impl Cell {
    /// Lets all running VMs do what is due in the next tick.
    pub(super) fn tick(&self, state: &mut State) {
        state.tick += 1;
        for index in 0..state.nodes.len() {
            if state.nodes[index].paused {
                continue;
            }
            if state.nodes[index].known < state.pushed {
                Self::learn(state, index, state.pushed);
            }
            let now = state.now();
            let predecessors = predecessors(state, index);
            let machine = state.nodes[index].machine.edit();
            let mut actions = machine.tick(now);
            for target in &predecessors {
                actions.extend(machine.seek_fence(now, target));
            }
            self.pass(state, index, actions);
        }
        state.capture = None;
        for node in &mut state.nodes {
            node.machine.seal();
        }
    }

    /// Delivers the messages that a fault held back.
    pub(super) fn deliver_held(&self, state: &mut State) {
        let held = std::mem::take(&mut state.held);
        for (to, message) in held {
            if !state.nodes[to].paused {
                let actions = self.deliver(state, to, message);
                self.pass(state, to, actions);
            }
        }
        for node in &mut state.nodes {
            node.machine.seal();
        }
    }

    /// Delivers messages over the working links until none is left.
    fn pass(&self, state: &mut State, from: usize, actions: Vec<Action>) {
        let mut queue: VecDeque<(usize, Action)> =
            actions.into_iter().map(|action| (from, action)).collect();
        while let Some((from, action)) = queue.pop_front() {
            let Action::Send { to, message } = action else {
                continue;
            };
            let receiver = state
                .nodes
                .iter()
                .position(|node| node.machine.inner.me().vm == to);
            let Some(to) = receiver else {
                continue;
            };
            if let Message::Heartbeat(heartbeat) = &message {
                state.nodes[from].sequence = heartbeat.sequence;
            }
            if let Some((_, twice)) = state.capture.filter(|(captured, _)| *captured == from) {
                state.held.push((to, message.clone()));
                if !twice {
                    continue;
                }
            }
            let cut = state.isolated.is_some_and(|cut| cut == from || cut == to);
            if cut || state.closed == Some((from, to)) || state.nodes[to].paused {
                continue;
            }
            let actions = self.deliver(state, to, message);
            queue.extend(actions.into_iter().map(|action| (to, action)));
        }
    }

    fn deliver(&self, state: &mut State, to: usize, mut message: Message) -> Vec<Action> {
        let now = state.now();
        let node = &mut state.nodes[to];
        if self.is(Mutation::EchoFromArrival)
            && let Message::Heartbeat(heartbeat) = &mut message
            && let Some(echo) = &mut heartbeat.echo
        {
            echo.sequence = node.sequence;
        }
        let machine = node.machine.edit();
        match &message {
            Message::Heartbeat(message) => machine.on_heartbeat(now, message),
            Message::FenceRequest(message) => machine.on_fence_request(now, message),
            Message::FenceReply(message) => machine.on_fence_reply(now, message),
        }
    }
}

/// Returns the holders that a VM has to see fenced before it acts.
fn predecessors(state: &State, index: usize) -> Vec<Holder> {
    let Some(known) = state.nodes[index].known.checked_sub(1) else {
        return Vec::new();
    };
    let Some(role) = state.history.ledgers[known].role(&name()) else {
        return Vec::new();
    };
    let me = state.me(index);
    let rank = role.holders.iter().position(|holder| holder == me);
    role.holders[..rank.unwrap_or(0)].to_vec()
}
