//! Targets send the beginning of an extra copy of a rejection before the answer to the next request.

use std::path::Path;
use std::sync::{Arc, Mutex};

use crate::cut_extra::{CALLERS, play};
use crate::report::Report;
use crate::target::{Manner, Runs};

/// One in this number of the requests at two targets is rejected, because the target is full; the start of an extra copy
/// comes before the answer to the next one. The site's dose of spoiled answers is 0.03.
const REJECTED_EVERY: u64 = 34;

/// Returns whether the rule was broken.
pub fn run(scratch: &Path, has_trouble: bool, report: &mut Report) -> Result<bool, String> {
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let manner = Manner::Shedding {
        every: REJECTED_EVERY,
        has_extra: has_trouble,
    };
    if has_trouble {
        report.line("TROUBLE: i-0 and i-1 send the start of an extra rejection before one in 34 of their answers");
    }
    let answers = play(scratch, manner, (2, 4), CALLERS, &runs, report)?;
    let runs = runs.lock().unwrap().clone();
    let mut twice = 0;
    for answer in &answers {
        let of_answer: Vec<_> = runs.iter().filter(|run| run.id == answer.id).collect();
        if of_answer.len() < 2 {
            continue;
        }
        twice += 1;
        report.line_at(answer.sent_at, &format!("sent {}", answer.id));
        for run in of_answer {
            report.line_at(
                run.at,
                &format!("{} runs {}: {}", run.target, run.id, run.line),
            );
        }
        let start = answer
            .message
            .as_ref()
            .map_or("none", |message| &*message.start);
        report.line_at(
            answer.got_at,
            &format!(
                "TWICE: {} ran more than once; the caller's answer: {start}",
                answer.id
            ),
        );
    }
    report.line(&format!(
        "{} requests, {} runs, {twice} requests ran more than once",
        answers.len(),
        runs.len()
    ));
    Ok(twice > 0)
}
