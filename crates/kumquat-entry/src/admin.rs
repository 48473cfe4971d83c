//! The `admin` module provides the HTTP endpoints for operators and the balancer.

use std::sync::Arc;

use kumquat_daemon::admin;
use poem::{Endpoint, Request, Response};
use tokio_util::sync::CancellationToken;

use crate::config::Config;
use crate::metrics::Metrics;

/// Endpoint of the admin listener: `/live`, `/ready`, `/metrics` and `/status`.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Bundle and ledger in force.
    pub config: Arc<Config>,
    /// Counters.
    pub metrics: Metrics,
    /// Set once the entry drains.
    pub draining: CancellationToken,
}

impl Admin {
    fn is_ready(&self) -> bool {
        !self.draining.is_cancelled()
            && self.config.is_fresh()
            && self.config.bundle().is_some()
            && self.config.ledger().is_some()
    }

    fn status(&self) -> String {
        let bundle = self.config.bundle().map_or(0, |bundle| bundle.version.0);
        let ledger = self.config.ledger().map_or(0, |ledger| ledger.revision.0);
        format!(
            "{{\"bundle\":{bundle},\"ledger\":{ledger},\"fresh\":{},\"draining\":{}}}\n",
            self.config.is_fresh(),
            self.draining.is_cancelled()
        )
    }

    fn metrics(&self) -> String {
        let version = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let bundle = self.config.bundle().map_or(0, |bundle| bundle.version.0);
        let ledger = self.config.ledger().map_or(0, |ledger| ledger.revision.0);
        self.metrics.bundle_version.set(version(bundle));
        self.metrics.ledger_revision.set(version(ledger));
        self.metrics.render()
    }
}

impl Endpoint for Admin {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let path = req.uri().path();
        if let Some(response) = admin::shared_response(path, || self.is_ready(), || self.metrics())
        {
            return Ok(response);
        }
        let response = match path {
            "/status" => Response::builder()
                .content_type("application/json")
                .body(self.status()),
            _ => admin::not_found(),
        };
        Ok(response)
    }
}
