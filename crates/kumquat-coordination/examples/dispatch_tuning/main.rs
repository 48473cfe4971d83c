//! Compares dispatch policies in virtual time: `cargo run --release -p kumquat-coordination --example dispatch_tuning`.
//!
//! With the argument `baselines` it runs the policies side by side, otherwise it lists the stated targets. All seeds are
//! fixed and printed.

mod baseline;
mod model;
mod scenario;
mod sim;

fn main() {
    let is_baselines = std::env::args().nth(1).as_deref() == Some("baselines");
    for seed in scenario::SEEDS {
        println!("seed {seed}");
        let visit = |name: &str, report: &model::Report| {
            println!("{name:<36} {}", report.line());
        };
        if is_baselines {
            scenario::baselines(seed, visit);
            continue;
        }
        for target in scenario::targets(seed, visit) {
            let sign = if target.is_upper {
                "at most"
            } else {
                "at least"
            };
            let verdict = if target.is_met() { "met" } else { "MISSED" };
            println!(
                "{verdict:<7} {:<52} {:.4} ({sign} {})",
                target.name, target.value, target.bound
            );
        }
    }
}
