//! The record of a case: what was sent, answered and run.

use std::path::Path;
use std::time::Instant;

#[derive(Debug)]
pub struct Report {
    started: Instant,
    lines: Vec<(Instant, String)>,
}

impl Report {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Vec::new(),
        }
    }

    pub fn line(&mut self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&mut self, at: Instant, text: &str) {
        self.lines.push((at, text.to_owned()));
    }

    /// Writes the lines in the order of their times, and prints them.
    pub fn write(&mut self, path: &Path) -> std::io::Result<()> {
        self.lines.sort_by_key(|(at, _)| *at);
        let lines = self.lines.iter().map(|(at, text)| {
            let seconds = at.saturating_duration_since(self.started).as_secs_f64();
            format!("{seconds:8.3} s  {text}\n")
        });
        let text: String = lines.collect();
        print!("{text}");
        std::fs::write(path, text)
    }
}
