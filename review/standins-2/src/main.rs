//! The cases of this review that are scripts: `review-case-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. The variable `TROUBLE=0` leaves the
//! disruption out.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

mod cut_extra;
mod cut_rejection;
mod http;
mod json;
mod report;
mod run_503;
mod small_chunks;
mod stale_helper;
mod store;
mod target;
mod vm;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &*arguments else {
        eprintln!("usage: review-case-2 CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let scratch = std::env::temp_dir().join(format!("review-case-2-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        std::process::exit(2);
    }
    let mut report = report::Report::new();
    let outcome = match &**case {
        "cut-extra" => cut_extra::run(&scratch, has_trouble, &mut report),
        "cut-rejection" => cut_rejection::run(&scratch, has_trouble, &mut report),
        "run-503" => run_503::run(&scratch, has_trouble, &mut report),
        "small-chunks" => small_chunks::run(&scratch, has_trouble, &mut report),
        "stale-helper" => stale_helper::run(&scratch, has_trouble, &mut report),
        _ => Err(format!("no case {case}")),
    };
    let code = match &outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    if let Err(reason) = &outcome {
        report.line(&format!("NOT RUN: {reason}"));
    }
    report.line(&format!("trouble {has_trouble}, exit status {code}"));
    if let Err(error) = report.write(&Path::new(folder).join("record.txt")) {
        eprintln!("record.txt: {error}");
    }
    let _ = std::fs::remove_dir_all(&scratch);
    std::process::exit(code);
}
