//! Compares dispatch policies in virtual time: `cargo run --release -p kumquat-coordination --example dispatch_tuning`.
//!
//! With the argument `baselines` it prints the reports of all policies, otherwise those of the dispatch group and its
//! targets. All seeds are fixed and printed.

mod baseline;
mod event;
mod model;
mod scenario;
mod sim;

fn main() {
    let runs_baselines = std::env::args().nth(1).as_deref() == Some("baselines");
    // Each seed runs in its own thread; the outputs are joined in the order of the seeds.
    let outputs: Vec<String> = std::thread::scope(|scope| {
        let threads = scenario::SEEDS.map(|seed| scope.spawn(move || run(seed, runs_baselines)));
        threads
            .into_iter()
            .map(|thread| thread.join().expect("a run without a fault"))
            .collect()
    });
    print!("{}", outputs.concat());
}

fn run(seed: u64, runs_baselines: bool) -> String {
    let mut lines = vec![format!("seed {seed}")];
    let mut on_report = |name: &str, report: &model::Report| {
        lines.push(format!("{name:<36} {}", report.line()));
    };
    if runs_baselines {
        scenario::baselines(seed, on_report);
    } else {
        let targets =
            scenario::PARTS.map(|part| scenario::targets(seed, part, false, &mut on_report));
        for target in targets.iter().flatten() {
            lines.push(target.line());
        }
    }
    lines.join("\n") + "\n"
}
