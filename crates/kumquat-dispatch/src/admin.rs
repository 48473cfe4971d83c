//! The `admin` module provides the HTTP endpoints of a dispatch process for operators.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use kumquat_daemon::admin;
use poem::{Endpoint, Request, Response};

use kumquat_state::bundle::Bundle;
use kumquat_state::ledger::{Ledger, RoleName};

use crate::audit::Trail;
use crate::metrics::Metrics;

/// What is in force at this VM.
#[derive(Debug, Default)]
pub struct View {
    bundle: ArcSwapOption<Bundle>,
    ledger: ArcSwapOption<Ledger>,
}

impl View {
    /// Replaces the bundle.
    pub fn set_bundle(&self, bundle: &Arc<Bundle>) {
        self.bundle.store(Some(Arc::clone(bundle)));
    }

    /// Replaces the ledger.
    pub fn set_ledger(&self, ledger: &Arc<Ledger>) {
        self.ledger.store(Some(Arc::clone(ledger)));
    }

    /// Returns the bundle in force.
    #[must_use]
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.load_full()
    }

    /// Returns the ledger in force.
    #[must_use]
    pub fn ledger(&self) -> Option<Arc<Ledger>> {
        self.ledger.load_full()
    }
}

/// Endpoint of the admin listener: `/live`, `/ready`, `/metrics`, `/status` and `/audit`.
#[derive(Clone, Debug)]
pub struct Admin {
    /// What is in force.
    pub view: Arc<View>,
    /// Counters.
    pub metrics: Metrics,
    /// Audit trail.
    pub trail: Trail,
}

impl Admin {
    fn is_ready(&self) -> bool {
        self.view.bundle().is_some() && self.metrics.authority.get() == 1
    }

    fn status(&self) -> String {
        let bundle = self.view.bundle().map_or(0, |bundle| bundle.version.0);
        let mut lines = vec![format!("bundle {bundle}")];
        if let Some(ledger) = self.view.ledger() {
            lines.push(format!(
                "ledger {} coordinator {} membership {}",
                ledger.revision, ledger.coordinator, ledger.membership.version
            ));
            lines.extend(ledger.membership.members.iter().map(|member| {
                format!(
                    "member {} {} {}",
                    member.vm, member.data_centre, member.incarnation
                )
            }));
            lines.extend(ledger.roles.iter().map(|role| {
                let holders: Vec<&str> = role
                    .holders
                    .iter()
                    .map(|holder| holder.vm.as_str())
                    .collect();
                format!("role {} {}", describe(&role.name), holders.join(" "))
            }));
        }
        text(&lines)
    }

    fn audit(&self) -> String {
        let entries = self.trail.recent();
        let lines: Vec<String> = entries
            .iter()
            .map(|entry| format!("{} {entry}", entry.timestamp_ms))
            .collect();
        text(&lines)
    }
}

fn text(lines: &[String]) -> String {
    let mut text = lines.join("\n");
    text.push('\n');
    text
}

fn describe(name: &RoleName) -> String {
    match name {
        RoleName::Group {
            service,
            data_centre,
        } => format!("group {service} {data_centre}"),
        RoleName::Home { team } => format!("home {team}"),
    }
}

impl Endpoint for Admin {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let path = req.uri().path();
        if let Some(response) =
            admin::shared_response(path, || self.is_ready(), || self.metrics.render())
        {
            return Ok(response);
        }
        let response = match path {
            "/status" => Response::builder().body(self.status()),
            "/audit" => Response::builder().body(self.audit()),
            _ => admin::not_found(),
        };
        Ok(response)
    }
}
