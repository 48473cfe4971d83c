//! A target fails part of its requests with 503 after it has run them.

use std::path::Path;
use std::sync::{Arc, Mutex};

use crate::cut_extra::play;
use crate::report::Report;
use crate::target::{Manner, Runs};

/// Callers, each with one request at a time; the targets have 32 slots together.
const CALLERS: usize = 28;

/// Returns whether the rule was broken.
pub fn run(scratch: &Path, has_trouble: bool, report: &mut Report) -> Result<bool, String> {
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    // Without the disruption the same part of the requests fails, with the status that the pages name for it.
    let status = if has_trouble { 503 } else { 500 };
    let manner = Manner::FailingAs(status);
    report.line(&format!(
        "one of eight targets, i-0, fails 45 of 100 requests with {status} after it has run them"
    ));
    let answers = play(scratch, manner, (1, 8), CALLERS, &runs, report)?;
    let runs = runs.lock().unwrap().clone();
    let (mut failed, mut refused) = (0, 0);
    for run in runs.iter().filter(|run| run.status != 200) {
        failed += 1;
        report.line_at(
            run.at,
            &format!("{} runs {} and answers {}", run.target, run.id, run.status),
        );
        let Some(answer) = answers.iter().find(|answer| answer.id == run.id) else {
            continue;
        };
        report.line_at(answer.sent_at, &format!("sent {}", answer.id));
        let start = answer
            .message
            .as_ref()
            .map_or("none", |message| &*message.start);
        report.line_at(answer.got_at, &format!("answered {}: {start}", answer.id));
        if answer
            .message
            .as_ref()
            .is_some_and(|message| [408, 421, 429, 503].contains(&message.status()))
        {
            refused += 1;
            report.line_at(
                answer.got_at,
                &format!(
                    "REFUSED: {} is said not to have run, and {} has run it",
                    run.id, run.target
                ),
            );
        }
    }
    report.line(&format!("{} requests, {} runs, {failed} of them failed, {refused} of these were answered as not run", answers.len(), runs.len()));
    Ok(refused > 0)
}
