//! Plays seeds and says which ones went wrong: `proxy-simulation FROM HOW_MANY`.

use magpieline_proxy_simulation::play;
use std::collections::BTreeMap;
use std::process::ExitCode;

fn main() -> ExitCode {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let [from, many] = numbers[..] else {
        eprintln!("Expected: proxy-simulation FROM HOW_MANY, two numbers.");
        return ExitCode::from(2);
    };
    let (mut bad, mut met) = (0, BTreeMap::<&str, u64>::new());
    let (mut requests, mut arrivals, mut served) = (0, 0, 0);
    for seed in from..from + many {
        let played = play(seed);
        (requests, arrivals, served) = (
            requests + played.requests,
            arrivals + played.arrivals,
            served + played.served,
        );
        played
            .met
            .iter()
            .for_each(|(what, times)| *met.entry(what).or_default() += times);
        if let Some(first) = played.wrong.first() {
            bad += 1;
            println!("seed {seed}: {} wrong; {first}", played.wrong.len());
        }
    }
    println!(
        "{many} plays, {bad} wrong: {requests} requests, {arrivals} forwards, {served} served"
    );
    met.iter()
        .for_each(|(what, times)| println!("{times:>8} {what}"));
    ExitCode::from(u8::from(bad > 0))
}
