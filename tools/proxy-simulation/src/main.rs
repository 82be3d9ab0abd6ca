//! Runs seeds and prints which ones violated a rule: `proxy-simulation FIRST COUNT`.

use magpieline_proxy_simulation::simulate;
use std::collections::BTreeMap;
use std::process::ExitCode;

fn main() -> ExitCode {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let [first, count] = numbers[..] else {
        eprintln!("Expected: proxy-simulation FIRST COUNT, two numbers.");
        return ExitCode::from(2);
    };
    let mut failed = 0;
    let (mut requests, mut arrivals, mut served) = (0, 0, 0);
    let mut counts = BTreeMap::<&str, u64>::new();
    for seed in first..first + count {
        let summary = simulate(seed);
        requests += summary.requests;
        arrivals += summary.arrivals;
        served += summary.served;
        for (what, times) in &summary.counts {
            *counts.entry(what).or_default() += times;
        }
        let violations = [summary.violations, summary.work_for_nobody].concat();
        if let Some(violation) = violations.first() {
            failed += 1;
            println!("seed {seed}: {} violations; {violation}", violations.len());
        }
    }
    println!(
        "{count} seeds, {failed} failed: {requests} requests, {arrivals} attempts, {served} served"
    );
    for (what, times) in counts {
        println!("{times:>8} {what}");
    }
    ExitCode::from(u8::from(failed > 0))
}
