//! Runs one case of the review: `review-standins CASE FOLDER`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run. `TROUBLE=0` leaves the
//! disruption out.

mod endless;
mod http;
mod json;
mod proxy;
mod record;
mod restart;
mod silent;
mod store;
mod target;
mod vm;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Outcome {
    Broken,
    Held,
    Unable,
}

/// What every case gets.
pub struct Case {
    pub record: Record,
    /// Folder for settings and logs, which is removed at the end.
    pub scratch: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// Second octet of the loopback addresses of the VMs.
    pub block: u8,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        eprintln!("no folder for settings and logs");
        return ExitCode::from(2);
    }
    let context = Case {
        record: Record::create(Path::new(folder)),
        scratch: scratch.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        block: u8::try_from(200 + std::process::id() % 50).unwrap_or(200),
    };
    let outcome = match case.as_str() {
        "restart" => restart::run(&context),
        "silent" => silent::run(&context),
        "endless" => endless::run(&context),
        _ => Outcome::Unable,
    };
    let keeps_logs = std::env::var("KEEP_LOGS").is_ok();
    if !keeps_logs {
        // What is left behind lies in the folder for temporary files.
        let _ = std::fs::remove_dir_all(&scratch);
    }
    match outcome {
        Outcome::Broken => {
            context.record.say("the rule was broken");
            ExitCode::from(1)
        }
        Outcome::Held => {
            context.record.say("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Unable => {
            context.record.say("the case couldn't run");
            ExitCode::from(2)
        }
    }
}
