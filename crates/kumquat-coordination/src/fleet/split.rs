//! The `split` module provides the distribution of a route's requests over services by weight.

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
    /// Returns the index of the next target in `weights`, which has one weight per target.
    ///
    /// A change in the number of targets restarts the sequence. Without targets, it returns 0.
    pub fn next(&mut self, weights: &[u32]) -> usize {
        if self.current_weights.len() != weights.len() {
            self.current_weights = vec![0; weights.len()];
        }
        let total: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        for (current_weight, weight) in self.current_weights.iter_mut().zip(weights) {
            *current_weight += i64::from(*weight);
        }
        let selected = (0..weights.len())
            .max_by_key(|index| (self.current_weights[*index], std::cmp::Reverse(*index)))
            .unwrap_or(0);
        if let Some(current_weight) = self.current_weights.get_mut(selected) {
            *current_weight -= total;
        }
        selected
    }
}
