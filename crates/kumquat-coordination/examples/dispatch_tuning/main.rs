//! Compares dispatch policies in virtual time: `cargo run --release -p kumquat-coordination --example dispatch_tuning`.
//!
//! With the argument `baselines` it runs the policies side by side, otherwise it lists the stated targets. All seeds are
//! fixed and printed.

mod baseline;
mod event;
mod model;
mod scenario;
mod sim;

fn main() {
    let is_baselines = std::env::args().nth(1).as_deref() == Some("baselines");
    // Each seed runs in its own thread; the order of the output stays the same.
    let outputs: Vec<String> = std::thread::scope(|scope| {
        let threads = scenario::SEEDS.map(|seed| scope.spawn(move || run(seed, is_baselines)));
        threads
            .into_iter()
            .map(|thread| thread.join().expect("a run without a fault"))
            .collect()
    });
    print!("{}", outputs.concat());
}

fn run(seed: u64, is_baselines: bool) -> String {
    let mut lines = vec![format!("seed {seed}")];
    let mut visit = |name: &str, report: &model::Report| {
        lines.push(format!("{name:<36} {}", report.line()));
    };
    if is_baselines {
        scenario::baselines(seed, visit);
    } else {
        let targets = scenario::PARTS.map(|part| scenario::targets(seed, part, false, &mut visit));
        for target in targets.iter().flatten() {
            lines.push(target.line());
        }
    }
    lines.join("\n") + "\n"
}
