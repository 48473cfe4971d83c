//! The `submission` module makes the store calls of a submission and reports how it ended.

use std::fmt::Write as _;

use eyre::eyre;
use kumquat_state::bundle::submit::{Action, Options, Outcome, Response, Submission};
use kumquat_state::bundle::{Bundle, Change, Envelope, Surprise, check_change, diff};
use kumquat_state::document::Head;
use kumquat_transport::store;
use serde_json::{Value, json};

use crate::bundles;
use crate::output::{Failure, Report, Status};
use crate::settings::Settings;
use crate::store::{Store, backoff};
use crate::trail;

/// Verifies an envelope, checks what has to be confirmed, and submits it.
pub async fn submit(
    settings: &Settings,
    store: &Store,
    envelope: &Envelope,
    accept_surprises: bool,
) -> Result<Report, Failure> {
    let next = envelope
        .verify_and_parse(settings.trust()?)
        .map_err(Failure::refused)?;
    let previous = bundles::accepted(store).await?;

    // After a lost race the comparison would be with the winner's bundle, which says nothing about this change.
    if previous.version == envelope.previous {
        let surprises = check_change(&previous, &next);
        if !surprises.is_empty() && !accept_surprises {
            return Ok(unconfirmed(&surprises));
        }
    }

    let mut submission = Submission::new(envelope, Options::default()).map_err(Failure::input)?;
    let outcome = drive(store, &mut submission).await;
    // A submission that was repeated or overtaken is compared with the bundle that it replaced, not with the latest.
    let previous = if outcome == Outcome::Accepted && previous.version != envelope.previous {
        bundles::of_version(store, envelope.previous).await?
    } else {
        previous
    };
    report(store, envelope, &previous, &next, outcome).await
}

async fn drive(store: &Store, submission: &mut Submission) -> Outcome {
    let mut failures = 0;
    loop {
        let call = match submission.action() {
            Action::Finish(outcome) => return outcome,
            Action::Call(call) => call,
        };
        let answer = match store.submit(call).await {
            Ok(answer) => {
                failures = 0;
                answer
            }
            Err(error) => {
                failures += 1;
                backoff(failures).await;
                match error {
                    store::Failure::Unknown { .. } => Response::Lost,
                    _ => Response::NoEffect,
                }
            }
        };
        submission.handle_response(answer);
    }
}

async fn report(
    store: &Store,
    envelope: &Envelope,
    previous: &Bundle,
    next: &Bundle,
    outcome: Outcome,
) -> Result<Report, Failure> {
    let version = envelope.version;
    let operation = format!("{:032x}", envelope.operation.0);
    match outcome {
        Outcome::Accepted => {
            let mut text = format!("version {version} is accepted\n");
            let changes = diff(previous, next);
            if let Err(failure) = trail::append(store, envelope, previous, next).await {
                _ = writeln!(
                    text,
                    "warning: the audit trail may have no entries for it; submit the envelope again to add them: {:#}",
                    failure.cause
                );
            }
            for change in &changes {
                _ = writeln!(text, "  {change}");
            }
            let json = json!({
                "outcome": "accepted",
                "version": version,
                "operation": operation,
                "changes": changes_json(&changes),
            });
            Ok(Report::done(text, json))
        }
        Outcome::VersionTaken { winner } => raced(store, envelope, &winner).await,
        Outcome::VersionGap { latest } => {
            let text = format!(
                "refused: the envelope replaces version {}, but version {latest} is the latest; change the text's \
                 version to {} and sign it again",
                envelope.previous,
                latest.0 + 1
            );
            let json = json!({ "outcome": "refused", "latest": latest });
            Ok(Report::done(text, json).with_status(Status::Refused))
        }
        Outcome::Unreachable => Err(Failure::unreachable(eyre!(
            "the store does not answer; nothing has changed"
        ))),
        Outcome::Unknown => {
            let text = format!(
                "unknown: the store did not answer; version {version} may have been accepted. Submit the same envelope \
                 again: that is safe and tells the outcome (operation {operation})"
            );
            let json = json!({ "outcome": "unknown", "version": version, "operation": operation });
            Ok(Report::done(text, json).with_status(Status::Unknown))
        }
        Outcome::Corrupt(reason) => Err(Failure::refused(eyre!(
            "the store's bundle can't be used: {reason}"
        ))),
    }
}

async fn raced(store: &Store, envelope: &Envelope, winner: &Head) -> Result<Report, Failure> {
    let version = envelope.version;
    let won = bundles::envelope(store, winner).await?;
    let before = match bundles::earlier(store, winner).await? {
        Some(head) => bundles::envelope(store, &head)
            .await?
            .parse_bundle()
            .map_err(Failure::refused)?,
        None => Bundle::default(),
    };
    let after = won.parse_bundle().map_err(Failure::refused)?;
    let changes = diff(&before, &after);
    // Others may have written on top of the winner in the meantime.
    let latest = bundles::head(store)
        .await?
        .map_or(version.0, |head| head.revision.0);

    let mut text = format!(
        "lost the race: version {version} was taken by {}, reason: {:?}\n",
        won.author, won.reason
    );
    for change in &changes {
        _ = writeln!(text, "  {change}");
    }
    _ = write!(
        text,
        "your change had no effect; to rebase it, compare with `kumquatctl diff FILE`, keep the lines above, set the \
         text's version to {}, sign and submit it again",
        latest + 1
    );
    let json = json!({
        "outcome": "raced",
        "version": version,
        "author": won.author,
        "reason": won.reason,
        "changes": changes_json(&changes),
        "latest": latest,
    });
    Ok(Report::done(text, json).with_status(Status::Refused))
}

fn unconfirmed(surprises: &[Surprise]) -> Report {
    let mut text =
        "refused: these changes have to be confirmed with --accept-surprises\n".to_owned();
    for surprise in surprises {
        _ = writeln!(text, "  {surprise}");
    }
    let json = json!({ "outcome": "refused", "surprises": surprises });
    Report::done(text, json).with_status(Status::Refused)
}

/// Returns changes for programs.
pub fn changes_json(changes: &[Change]) -> Vec<Value> {
    changes
        .iter()
        .map(|change| json!({ "section": change.section(), "fields": change.fields() }))
        .collect()
}
