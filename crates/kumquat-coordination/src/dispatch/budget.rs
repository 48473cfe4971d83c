//! The `budget` module provides the bound on extra work: hedged requests and retries, relative to the requests sent.

/// Credits that grow with each request and are spent by extra attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    share: f64,
    most: f64,
    credit: f64,
}

impl Budget {
    /// Creates a budget of `share` extra attempts per request, of which at most `most` are saved up.
    pub(crate) fn new(share: f64, most: f64) -> Self {
        Self {
            share,
            most,
            credit: 0.0,
        }
    }

    /// Creates a budget that starts with all its savings.
    pub(crate) fn saved(share: f64, most: f64) -> Self {
        Self {
            credit: most,
            ..Self::new(share, most)
        }
    }

    pub(crate) fn earn(&mut self) {
        self.credit = (self.credit + self.share).min(self.most);
    }

    pub(crate) fn is_available(&self) -> bool {
        self.credit >= 1.0
    }

    pub(crate) fn spend(&mut self) -> bool {
        let available = self.is_available();
        if available {
            self.credit -= 1.0;
        }
        available
    }
}
