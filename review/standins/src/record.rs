//! The record of what was sent, answered and run, with times since the start of the script.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    pub started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("a record");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl Display) {
        let at = self.now();
        let mut file = self.file.lock().expect("no panic elsewhere");
        writeln!(file, "{at:8.3} {text}").expect("room for the record");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: impl Display) {
        let text = text.to_string();
        println!("{text}");
        self.line(text);
    }
}
