//! The `change` module provides the commands that change one thing of the accepted bundle.

use std::fmt::Write as _;
use std::path::Path;

use eyre::{Report as Cause, eyre};
use kumquat_state::bundle::{Bundle, Envelope, Placement, ServiceKind, UpstreamState};
use kumquat_state::{hash, ident};
use serde_json::json;

use crate::args::{Change, Command, Direction};
use crate::bundles;
use crate::commands::sign;
use crate::output::{Failure, Report, Status};
use crate::settings::Settings;
use crate::store::Store;
use crate::submission;

/// A change of one thing.
#[derive(Debug)]
pub enum Edit {
    /// Take a data centre out of service, or put it back.
    DataCentre {
        /// Name.
        name: ident::DataCentre,
        /// Whether it is in service afterwards.
        active: bool,
    },
    /// Set the state of an upstream.
    Upstream {
        /// Name.
        name: ident::Upstream,
        /// State afterwards.
        state: UpstreamState,
    },
    /// Withdraw a caller key.
    Withdraw(ident::CallerKey),
    /// Place a key, or remove its placement.
    Place {
        /// Service of the key.
        service: ident::Service,
        /// Hash of the key.
        key: u64,
        /// Owner afterwards; none removes the placement.
        upstream: Option<ident::Upstream>,
    },
}

impl Edit {
    /// Returns the change that a subcommand asks for.
    pub fn from_command(command: Command) -> Result<(Self, Change), Failure> {
        let place = |service, key: &str, upstream| Self::Place {
            service,
            key: hash::key(key.as_bytes()),
            upstream,
        };
        Ok(match command {
            Command::DataCentre { direction } => {
                let (name, active, change) = match direction {
                    Direction::Out { name, change } => (name, false, change),
                    Direction::Back { name, change } => (name, true, change),
                };
                (Self::DataCentre { name, active }, change)
            }
            Command::Drain { upstream, change } => {
                let state = UpstreamState::Draining;
                let name = upstream;
                (Self::Upstream { name, state }, change)
            }
            Command::Undrain { upstream, change } => {
                let state = UpstreamState::Active;
                let name = upstream;
                (Self::Upstream { name, state }, change)
            }
            Command::Withdraw { caller_key, change } => (Self::Withdraw(caller_key), change),
            Command::Place {
                service,
                key,
                upstream,
                change,
            } => (place(service, &key, Some(upstream)), change),
            Command::Unplace {
                service,
                key,
                change,
            } => (place(service, &key, None), change),
            command => {
                return Err(Failure::input(eyre!("{command:?} is not a change")));
            }
        })
    }

    /// Makes the change.
    fn apply(&self, bundle: &mut Bundle) -> Result<(), Cause> {
        match self {
            Self::DataCentre { name, active } => {
                let centre = bundle
                    .data_centres
                    .iter_mut()
                    .find(|centre| centre.name == *name)
                    .ok_or_else(|| eyre!("there is no data centre {name}"))?;
                centre.active = *active;
            }
            Self::Upstream { name, state } => {
                let upstream = bundle
                    .upstreams
                    .iter_mut()
                    .find(|upstream| upstream.name == *name)
                    .ok_or_else(|| eyre!("there is no upstream {name}"))?;
                upstream.state = *state;
            }
            // A key that is not there is withdrawn already; to repeat a withdrawal is no mistake.
            Self::Withdraw(name) => bundle.caller_keys.retain(|key| key.name != *name),
            Self::Place {
                service,
                key,
                upstream,
            } => {
                bundle
                    .placements
                    .retain(|placement| placement.service != *service || placement.key != *key);
                if let Some(upstream) = upstream {
                    check_placement(bundle, service, upstream)?;
                    bundle.placements.push(Placement {
                        service: service.clone(),
                        key: *key,
                        upstream: upstream.clone(),
                    });
                    bundle.sort();
                }
            }
        }
        Ok(())
    }
}

fn check_placement(
    bundle: &Bundle,
    service: &ident::Service,
    upstream: &ident::Upstream,
) -> Result<(), Cause> {
    let found = bundle
        .service(service)
        .ok_or_else(|| eyre!("there is no service {service}"))?;
    if found.kind == ServiceKind::Pool {
        return Err(eyre!(
            "{service} is a pool service, whose keys have no owner"
        ));
    }
    let owner = bundle
        .upstream(upstream)
        .ok_or_else(|| eyre!("there is no upstream {upstream}"))?;
    if owner.service == *service {
        Ok(())
    } else {
        Err(eyre!("{upstream} is an upstream of {}", owner.service))
    }
}

/// Changes the accepted bundle and submits it, or writes it to a file for others to sign.
pub async fn run(
    settings: &Settings,
    store: &Store,
    edit: &Edit,
    change: &Change,
) -> Result<Report, Failure> {
    let previous = bundles::verified(store, settings.trust()?).await?;
    if previous.version.0 == 0 {
        return Err(Failure::refused(eyre!(
            "no bundle has been accepted yet; sign and submit one first"
        )));
    }
    let mut next = previous.clone();
    edit.apply(&mut next).map_err(Failure::input)?;
    if next == previous {
        let text = format!(
            "nothing to change: version {} says so already",
            previous.version
        );
        let json = json!({ "outcome": "unchanged", "version": previous.version });
        return Ok(Report::done(text, json));
    }
    next.version.0 += 1;

    let envelope = sign::seal(&next, &change.signing)?;
    if let Some(out) = &change.out {
        return sign::write(&envelope, out);
    }
    let report = submission::submit(settings, store, &envelope, change.accept_surprises).await?;
    if report.status == Status::Unknown {
        return keep(report, &envelope);
    }
    Ok(report)
}

/// Writes an envelope whose outcome is unknown to a file, so that the operator can submit the same one again.
fn keep(mut report: Report, envelope: &Envelope) -> Result<Report, Failure> {
    let file = format!("kumquat-{:032x}.kqe", envelope.operation.0);
    sign::write(envelope, Path::new(&file))?;
    _ = write!(report.text, "\nthe envelope is in {file}");
    report.json["envelope"] = json!(file);
    Ok(report)
}
