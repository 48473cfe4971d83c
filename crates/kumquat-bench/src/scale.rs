//! The `scale` module measures how the costs of control grow with the number of VMs.

use std::time::Duration;

use eyre::Result;
use kumquat_local::{Deployment, Shape};
use slog::{Discard, Logger, o};
use tokio::runtime::Runtime;

use crate::cpu;
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{Line, fit, float, float_len};

mod cells;
mod cost;

/// Size that is expected in two years.
const EXPECTED: f64 = 1_700.0;

/// Numbers of VMs in virtual time.
const SIZES: [usize; 3] = [9, 50, 200];

/// Numbers of VMs of real deployments. A deployment is one cell, and a cell has at most 15 members.
const REAL_SIZES: [usize; 3] = [3, 9, 15];

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error if a deployment can't be started.
pub fn run(settings: &Settings) -> Result<Report> {
    let mut report = Report::new(
        "scale",
        settings,
        ["VMs", "control bytes per second and VM"],
    );
    machines(settings, &mut report)?;
    deployments(settings, &mut report)?;
    cost::run(settings, &mut report);
    Ok(report)
}

/// Authority machines in cells, in virtual time.
fn machines(settings: &Settings, report: &mut Report) -> Result<()> {
    let length = settings.length(30, 5);
    let before = cpu::resident();
    let mut columns: [Vec<(f64, f64)>; 4] = Default::default();
    for size in SIZES {
        let usage = cells::run(size, length, before)?;
        let values = [usage.messages, usage.bytes, usage.cpu, usage.memory];
        for (column, value) in columns.iter_mut().zip(values) {
            column.push((float_len(size), value));
        }
    }
    report.note(
        "virtual: authority machines in cells of at most 9 with sealed wire messages; heartbeats only, without frames of \
         TCP and WebSocket, credits, reports and documents",
    );
    let names = [
        ("messages sent", "per s", None),
        ("bytes sent", "B/s", Some(Bound::AtMost(6_000.0))),
        ("CPU", "% core", Some(Bound::AtMost(1.6))),
        ("memory", "MiB", Some(Bound::AtMost(256.0))),
    ];
    for ((name, unit, aim), points) in names.into_iter().zip(&columns) {
        add_per_vm(("virtual", "router"), name, unit, (points, aim), report);
    }
    report.curve("heartbeat bytes per VM (virtual)", columns[1].clone());
    Ok(())
}

/// Real deployments without callers.
fn deployments(settings: &Settings, report: &mut Report) -> Result<()> {
    let length = settings.length(30, 5);
    let mut columns: [Vec<(f64, f64)>; 4] = Default::default();
    // Memory that a smaller deployment has given back is used again, so that all count from the same beginning.
    let before = cpu::resident();
    for size in REAL_SIZES {
        let runtime = Runtime::new()?;
        let values = runtime.block_on(idle(size, length, before))?;
        for (column, value) in columns.iter_mut().zip(values) {
            column.push((float_len(size), value));
        }
    }
    report.note(
        "real: idle deployments of one cell; the CPU time and memory of store and upstreams are counted too, so that \
         those per VM are upper bounds",
    );
    let names = [
        ("CPU", "% core", Some(Bound::AtMost(1.6))),
        ("memory", "MiB", Some(Bound::AtMost(256.0))),
    ];
    let place = ("real", "router");
    for ((name, unit, aim), points) in names.into_iter().zip(&columns) {
        add_per_vm(place, name, unit, (points, aim), report);
    }
    for (name, points) in [("store reads", &columns[2]), ("store writes", &columns[3])] {
        add_total(place, name, "per s", points, report);
    }
    // The store's load grows with the number of cells, not within a cell as the line would have it.
    let cells = EXPECTED / 9.0;
    for (name, column, budget) in [
        ("reads", &columns[2], 1_000.0),
        ("writes", &columns[3], 200.0),
    ] {
        let of_nine = column[1].1;
        let measure = format!("store {name} of {cells:.0} cells of 9, extrapolated");
        let bound = Some(Bound::AtMost(budget));
        let place = ("extrapolation", "router");
        report.add(place, &measure, (of_nine * cells, "per s"), bound);
    }
    report.note(
        "the number of keys in use enters neither messages nor the ledger, which hold slots; extrapolations to 1.4 \
         billion keys therefore equal those to 1,700 VMs with the slot counts of the cost table",
    );
    Ok(())
}

/// Returns CPU, memory, store reads and store writes of an idle deployment.
async fn idle(size: usize, length: Duration, before: u64) -> Result<[f64; 4]> {
    let mut shape = Shape::port_louis();
    shape.vms = size;
    let deployment = Deployment::open(&shape, &Logger::root(Discard, o!())).await?;
    // The roles settle before the measurement.
    tokio::time::sleep(length).await;
    let (calls, busy) = (deployment.store.calls(), cpu::time());
    tokio::time::sleep(length).await;
    let (later, end) = (deployment.store.calls(), cpu::time());
    let memory = float(cpu::resident().saturating_sub(before)) / f64::from(1 << 20);
    deployment.stop().await;
    let seconds = length.as_secs_f64();
    let vms = float_len(size);
    Ok([
        end.saturating_sub(busy).as_secs_f64() / seconds / vms * 100.0,
        memory / vms,
        float(later.reads - calls.reads) / seconds,
        float(later.writes - calls.writes) / seconds,
    ])
}

/// Adds values of one VM, and the line through those of all VMs: its slope is the cost of one more VM, and its intercept
/// that of the parts that exist once.
fn add_per_vm(
    place: (&str, &str),
    name: &str,
    unit: &'static str,
    (points, aim): (&[(f64, f64)], Option<Bound>),
    report: &mut Report,
) {
    for (size, value) in points {
        report.add(
            place,
            &format!("{name} per VM, {size} VMs"),
            (*value, unit),
            aim,
        );
    }
    let totals: Vec<(f64, f64)> = points
        .iter()
        .map(|(size, one)| (*size, size * one))
        .collect();
    let Some(line) = add_fit(place, name, unit, &totals, report) else {
        return;
    };
    let measure = format!("{name} per VM, extrapolated to {EXPECTED} VMs");
    let value = line.at(EXPECTED) / EXPECTED;
    report.add(("extrapolation", place.0), &measure, (value, unit), aim);
}

/// Adds values of the whole, and their line.
fn add_total(
    place: (&str, &str),
    name: &str,
    unit: &'static str,
    points: &[(f64, f64)],
    report: &mut Report,
) {
    for (size, value) in points {
        report.add(place, &format!("{name}, {size} VMs"), (*value, unit), None);
    }
    add_fit(place, name, unit, points, report);
}

fn add_fit(
    place: (&str, &str),
    name: &str,
    unit: &'static str,
    points: &[(f64, f64)],
    report: &mut Report,
) -> Option<Line> {
    let line = fit(points)?;
    report.add(
        place,
        &format!("{name}, slope per VM"),
        (line.slope, unit),
        None,
    );
    report.add(
        place,
        &format!("{name}, intercept"),
        (line.intercept, unit),
        None,
    );
    Some(line)
}
