//! The `explain` module provides the story of a request from the log lines of several VMs.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use eyre::{WrapErr as _, eyre};
use serde_json::{Map, Value, json};

use crate::output::{Failure, Report, table};

/// Lines about what a VM believes, of which the last one before a request is shown.
///
/// Lines of a field are told apart by it: a service, or none.
const BELIEFS: [(&str, &str); 6] = [
    ("desired state in force", ""),
    ("owners changed", "service"),
    ("coordinator changed", ""),
    ("closed data centres changed", ""),
    ("store lost", ""),
    ("store regained", ""),
];

/// Lines about an upstream, which are shown if the request was sent to it or refused because of its request limit.
const UPSTREAM_LINES: [&str; 6] = [
    "upstream registered",
    "upstream removed",
    "order failed",
    "upstream announced a request limit",
    "upstream changed its request limit",
    "upstream ended its request limit",
];

/// Fields that stand in each line and are shown in columns of their own, or that say nothing about the request.
const COMMON_FIELDS: [&str; 6] = ["msg", "level", "ts", "data_centre", "vm", "program"];

/// A log line.
#[derive(Clone, Debug)]
struct Line {
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line, which may have a prefix of the system that collected it.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields = serde_json::from_str(&text[start..]).ok()?;
        let line = Self { fields };
        (!line.text("msg").is_empty() && !line.text("ts").is_empty()).then_some(line)
    }

    fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    fn details(&self) -> String {
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let fields = fields.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        });
        fields.collect::<Vec<_>>().join(" ")
    }
}

/// Shows the lines that explain what became of a request, in order.
pub fn explain(id: &str, files: &[PathBuf]) -> Result<Report, Failure> {
    let lines = read(files)?;
    let requests: Vec<&Line> = lines
        .iter()
        .filter(|line| line.text("msg") == "request" && line.text("id") == id)
        .collect();
    if requests.is_empty() {
        return Err(Failure::refused(eyre!(
            "no line of request {id} in {} log lines; lines of answered requests are left out first under load",
            lines.len()
        )));
    }
    let mut shown: Vec<&Line> = Vec::new();
    for request in requests {
        shown.extend(beliefs(&lines, request));
        shown.extend(of_upstreams(&lines, request));
        shown.push(request);
    }
    shown.sort_by_key(|line| line.text("ts"));
    shown.dedup_by(|a, b| std::ptr::eq(*a, *b));
    let rows = shown.iter().map(|line| {
        let column = |name| line.text(name).to_owned();
        vec![column("ts"), column("vm"), column("msg"), line.details()]
    });
    let text = table(
        &["time", "vm", "line", "details"],
        &rows.collect::<Vec<_>>(),
    );
    let json: Vec<&Map<String, Value>> = shown.iter().map(|line| &line.fields).collect();
    Ok(Report::done(text, json!({ "lines": json })))
}

/// Reads the lines of all files, or of standard input if there are none; other lines are skipped.
fn read(files: &[PathBuf]) -> Result<Vec<Line>, Failure> {
    let mut lines = Vec::new();
    let mut take = |reader: &mut dyn BufRead| -> std::io::Result<()> {
        for line in reader.split(b'\n') {
            lines.extend(Line::parse(&String::from_utf8_lossy(&line?)));
        }
        Ok(())
    };
    if files.is_empty() {
        take(&mut std::io::stdin().lock()).map_err(Failure::input)?;
    }
    for path in files {
        File::open(path)
            .and_then(|file| take(&mut BufReader::new(file)))
            .wrap_err_with(|| path.display().to_string())
            .map_err(Failure::input)?;
    }
    Ok(lines)
}

/// Returns the last line before a request about each thing that its VM believed.
fn beliefs<'a>(lines: &'a [Line], request: &Line) -> Vec<&'a Line> {
    let mut last: BTreeMap<&str, &Line> = BTreeMap::new();
    let before = lines.iter().filter(|line| {
        line.text("vm") == request.text("vm") && line.text("ts") <= request.text("ts")
    });
    for line in before {
        let belief = BELIEFS
            .iter()
            .find(|(message, _)| *message == line.text("msg"));
        let Some((message, field)) = belief else {
            continue;
        };
        if field.is_empty() || line.text(field) == request.text(field) {
            let known = last.entry(*message).or_insert(line);
            if known.text("ts") <= line.text("ts") {
                *known = line;
            }
        }
    }
    last.into_values().collect()
}

/// Returns the lines about the upstreams that a request was sent to, or whose request limit led to its refusal.
fn of_upstreams<'a>(lines: &'a [Line], request: &Line) -> Vec<&'a Line> {
    let upstreams = request.text("upstreams");
    let upstreams: Vec<&str> = upstreams
        .split(',')
        .chain([request.text("limited_by")])
        .filter(|name| !name.is_empty())
        .collect();
    let about = lines.iter().filter(|line| {
        UPSTREAM_LINES.contains(&line.text("msg"))
            && upstreams.contains(&line.text("upstream"))
            && (line.text("vm") == request.text("vm") || line.text("msg") == "order failed")
    });
    about.collect()
}
