//! Guards the bounds that VMs keep together although each decides alone: team rates, retries, cold upstreams, weights.

use std::time::Duration;

use kumquat_coordination::fleet::{Bucket, Budget, Rates, Split, Taken};
use kumquat_state::clock::Instant;

const TEAM: u32 = 7;

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000 + millis)
}

/// Creates the rates of `vms` VMs for one team.
fn fleet(vms: usize, rate: f64, burst: f64) -> Vec<Rates> {
    let vm = |_| {
        let mut rates = Rates::default();
        rates.set_vms(at(0), vms);
        rates.set_teams(at(0), &[(TEAM, rate, burst)]);
        rates
    };
    (0..vms).map(vm).collect()
}

/// Plays seconds of traffic; `asks` gives the requests of a VM in each 10 ms, `hears` whether one VM hears another.
fn play(
    fleet: &mut [Rates],
    seconds: u64,
    asks: impl Fn(usize, u64) -> u32,
    hears: impl Fn(usize, usize, u64) -> bool,
) -> Vec<(u64, u32)> {
    let mut allowed = Vec::new();
    for step in 0..seconds * 100 {
        let now = at(step * 10);
        if step % 25 == 0 {
            for from in 0..fleet.len() {
                let demands = fleet[from].demands(now);
                for (to, rates) in fleet.iter_mut().enumerate() {
                    if from != to && hears(to, from, step) {
                        rates.report(now, from as u64, &demands);
                    }
                }
            }
        }
        let mut count = 0;
        for (vm, rates) in fleet.iter_mut().enumerate() {
            for _ in 0..asks(vm, step) {
                count += u32::from(rates.take(now, TEAM) == Taken::Allowed);
            }
        }
        allowed.push((step * 10, count));
    }
    allowed
}

/// Returns the most requests that were allowed in any window of five seconds.
fn most_in_window(allowed: &[(u64, u32)]) -> u32 {
    let steps = 500;
    let sums = allowed.windows(steps.min(allowed.len()));
    let sum = |window: &[(u64, u32)]| window.iter().map(|(_, count)| count).sum::<u32>();
    sums.map(sum).max().unwrap_or(0)
}

/// The largest number that the deployment allows in five seconds at rate and burst of 100.
const BOUND: u32 = 660;

/// Guards against a team that exceeds its rate because its traffic reaches many VMs, or moves between them.
#[test]
fn a_team_keeps_to_its_rate_wherever_it_asks() {
    let patterns: [fn(usize, u64) -> u32; 4] = [
        |_, _| 2,
        |vm, _| if vm == 0 { 10 } else { 0 },
        |vm, step| if vm as u64 == step / 100 % 9 { 10 } else { 0 },
        |vm, step| if step / 150 % 2 == 0 || vm > 4 { 3 } else { 0 },
    ];
    for (number, asks) in patterns.into_iter().enumerate() {
        let mut fleet = fleet(9, 100.0, 100.0);

        let allowed = play(&mut fleet, 20, asks, |_, _, _| true);

        let most = most_in_window(&allowed);
        assert!(most <= BOUND, "pattern {number}: {most} in five seconds");
    }
}

/// Guards against VMs that each use what the others can't report: cut off, one way, or flapping.
#[test]
fn a_team_keeps_to_its_rate_while_vms_do_not_hear_each_other() {
    let cuts: [fn(usize, usize, u64) -> bool; 4] = [
        |_, _, _| false,
        |to, from, _| (to < 5) == (from < 5),
        |to, _, _| to != 0,
        |_, _, step| step / 200 % 2 == 0,
    ];
    for (number, hears) in cuts.into_iter().enumerate() {
        let mut fleet = fleet(9, 100.0, 100.0);

        let allowed = play(&mut fleet, 20, |_, _| 2, hears);

        let most = most_in_window(&allowed);
        assert!(most <= BOUND, "cut {number}: {most} in five seconds");
    }
}

/// Guards against refusals within the rate when all of a team's requests reach one VM.
#[test]
fn a_team_within_its_rate_is_served_at_one_vm() {
    let mut fleet = fleet(9, 100.0, 100.0);

    // Sixty requests a second at one VM, after a second in which its share grows.
    let asks = |vm: usize, step: u64| u32::from(vm == 3 && step % 5 < 3);
    let allowed = play(&mut fleet, 10, asks, |_, _, _| true);

    let served: u32 = allowed[200..].iter().map(|(_, count)| count).sum();
    assert!(served >= 470, "{served} of 480 were served");
}

/// Guards against a debt or an unlimited level after a long pause.
#[test]
fn a_bucket_holds_no_more_than_its_burst() {
    let mut bucket = Bucket::new(at(0), 10.0, 5.0);

    let taken = (0..100).filter(|_| bucket.take(at(60_000))).count();

    assert_eq!(taken, 5);
}

/// Guards against repeats above the budget of all VMs together.
#[test]
fn repeats_of_all_vms_stay_within_the_budget() {
    let window = Duration::from_secs(10);
    let mut budgets: Vec<Budget> = (0..9).map(|_| Budget::new(window, 0.2, 58.0, 9)).collect();

    let mut repeats = 0;
    for step in 0..900 {
        let budget = &mut budgets[step % 9];
        budget.count(at(step as u64 * 10));
        repeats += u32::from(budget.take(at(step as u64 * 10)));
    }

    assert!(repeats <= 900 / 5 + 58, "{repeats} repeats");
    assert!(repeats >= 900 / 10, "{repeats} repeats");
}

/// Guards against parts of a route that get another share than their weight, also over few requests.
#[test]
fn a_split_keeps_to_its_weights() {
    let mut split = Split::default();
    let mut counts = [0; 3];

    for _ in 0..20 {
        counts[split.next(&[50, 30, 20])] += 1;
    }

    assert_eq!(counts, [10, 6, 4]);
}

/// Guards against a part of weight zero that gets requests.
#[test]
fn a_part_without_weight_gets_nothing() {
    let mut split = Split::default();

    let chosen: Vec<usize> = (0..10).map(|_| split.next(&[0, 5])).collect();

    assert!(chosen.iter().all(|part| *part == 1), "{chosen:?}");
}
