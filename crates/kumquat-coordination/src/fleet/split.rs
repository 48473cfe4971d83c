//! The `split` module provides the distribution of a route's requests over services by weight.

use std::cmp::Reverse;

/// Smooth weighted round robin.
///
/// Over as many consecutive selections as constant weights add up to, each target is selected exactly as often as its
/// weight. A random choice would keep to the weights only over many requests, which a VM with little traffic doesn't
/// have.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    // Current weight per target: raised by its weight at each selection, lowered by the total when it is selected.
    current_weights: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the next target in `weights`, which has one weight per target, without selecting it.
    ///
    /// Returns `None` if no weight is above zero.
    #[must_use]
    pub fn peek(&self, weights: &[u32]) -> Option<usize> {
        let is_restarted = self.current_weights.len() != weights.len();
        let raised = |(index, weight): (usize, &u32)| {
            let current_weight = if is_restarted {
                0
            } else {
                self.current_weights[index]
            };
            (current_weight + i64::from(*weight), Reverse(index))
        };
        let selectable = weights.iter().enumerate();
        let selectable = selectable.filter(|(_, weight)| **weight > 0);
        selectable
            .map(raised)
            .max()
            .map(|(_, Reverse(index))| index)
    }

    /// Selects the target that [`WeightedRoundRobin::peek`] returns for the same weights, and returns it.
    ///
    /// A change in the number of targets restarts the sequence.
    pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
        let selected = self.peek(weights)?;
        if self.current_weights.len() != weights.len() {
            self.current_weights = vec![0; weights.len()];
        }
        for (current_weight, weight) in self.current_weights.iter_mut().zip(weights) {
            // What a target was owed when its weight dropped to zero isn't made up for when it gets a weight again.
            *current_weight = match weight {
                0 => 0,
                weight => *current_weight + i64::from(*weight),
            };
        }
        let total: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        self.current_weights[selected] -= total;
        Some(selected)
    }
}
