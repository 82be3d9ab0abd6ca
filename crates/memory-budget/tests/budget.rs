//! The budget under drawn reservations, and at its edges.

use magpieline_memory_budget::{Budget, Limits, Purpose, Refusal, WaitId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::BTreeMap;

const MB: u64 = 1 << 20;

/// The sums of all that is reserved, told from the reservations themselves.
#[derive(Default)]
struct Model {
    held: Vec<(Purpose, u64)>,
    waiting: BTreeMap<WaitId, (Purpose, u64)>,
}

impl Model {
    fn granted(&mut self, ids: Vec<WaitId>) {
        for id in ids {
            let reservation = self.waiting.remove(&id).expect("it waited");
            self.held.push(reservation);
        }
    }

    fn check(&self, budget: &Budget, seed: u64) {
        let limits = budget.limits();
        let used: u64 = self.held.iter().map(|(_, bytes)| bytes).sum();
        assert_eq!(
            (budget.used(), budget.waiting()),
            (used, self.waiting.len()),
            "seed {seed}"
        );
        assert!(used <= limits.total(), "seed {seed}");
        for purpose in Purpose::ALL {
            let is_large =
                |(of, bytes): &&(Purpose, u64)| *of == purpose && *bytes > Limits::SMALL_BYTES;
            let large: u64 = self
                .held
                .iter()
                .filter(is_large)
                .map(|(_, bytes)| bytes)
                .sum();
            assert!(large <= limits.large(purpose), "seed {seed}");
            let of_purpose = self.held.iter().filter(|(of, _)| *of == purpose);
            let all: u64 = of_purpose.map(|(_, bytes)| bytes).sum();
            assert_eq!(budget.used_for(purpose), all, "seed {seed}");
            assert!(all <= limits.all(purpose), "seed {seed}");
        }
        // Nothing waits that would find room.
        for (purpose, bytes) in self.waiting.values() {
            let refused = budget.clone().reserve(*purpose, *bytes);
            assert_eq!(refused, Err(Refusal::Exhausted), "seed {seed}");
        }
    }
}

fn draw_bytes(rng: &mut ChaCha8Rng) -> u64 {
    match rng.gen_range(0..3) {
        0 => rng.gen_range(0..=Limits::SMALL_BYTES),
        1 => rng.gen_range(0..4 * MB),
        _ => rng.gen_range(0..40 * MB),
    }
}

/// Whatever is reserved, resized, waited for and released, in any order: the sums stay within their limits, and nothing is lost.
#[test]
fn the_sum_of_all_reservations_stays_within_the_limits() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let memory = [16, 64, 260][rng.gen_range(0..3)] * MB;
        let (mut budget, mut model) = (Budget::new(Limits::of_memory(memory)), Model::default());
        for _ in 0..400 {
            let purpose = Purpose::ALL[rng.gen_range(0..2)];
            let bytes = draw_bytes(&mut rng);
            let index = rng.gen_range(0..model.held.len().max(1));
            match rng.gen_range(0..8) {
                0..=2 => match budget.reserve(purpose, bytes) {
                    Ok(()) => model.held.push((purpose, bytes)),
                    Err(Refusal::Exhausted) => {
                        if let Ok(id) = budget.enqueue(purpose, bytes) {
                            model.waiting.insert(id, (purpose, bytes));
                        }
                    }
                    Err(refusal) => assert_eq!(budget.enqueue(purpose, bytes), Err(refusal)),
                },
                3 if !model.held.is_empty() => {
                    let (purpose, from) = model.held[index];
                    if budget.resize(purpose, from, from + bytes / 8).is_ok() {
                        model.held[index].1 = from + bytes / 8;
                    }
                }
                4 => {
                    if let Some(id) = model.waiting.keys().next().copied() {
                        assert!(budget.cancel(id));
                        model.waiting.remove(&id);
                    }
                }
                _ if !model.held.is_empty() => {
                    let (purpose, bytes) = model.held.swap_remove(index);
                    let granted = budget.release(purpose, bytes);
                    model.granted(granted);
                }
                _ => {}
            }
            model.check(&budget, seed);
        }
        while let Some((purpose, bytes)) = model.held.pop() {
            let granted = budget.release(purpose, bytes);
            model.granted(granted);
        }
        assert_eq!((budget.used(), budget.waiting()), (0, 0), "seed {seed}");
    }
}

/// Long bodies leave room for short ones, and those of requests for responses.
#[rstest]
#[case(64)]
#[case(260)]
#[case(4096)]
fn long_requests_leave_room_for_short_ones_and_for_responses(#[case] memory_mb: u64) {
    let mut budget = Budget::new(Limits::of_memory(memory_mb * MB));
    while budget.reserve(Purpose::Request, MB).is_ok() {}
    assert_eq!(
        budget.reserve(Purpose::Request, MB),
        Err(Refusal::Exhausted)
    );
    assert_eq!(
        budget.reserve(Purpose::Request, Limits::SMALL_BYTES),
        Ok(())
    );
    assert_eq!(budget.reserve(Purpose::Response, MB), Ok(()));
}

/// What fits passes by what doesn't; what never fits doesn't wait; only so many wait.
#[test]
fn a_long_one_that_waits_holds_up_none_that_fits() {
    let mut budget = Budget::new(Limits::of_memory(240 * MB));
    assert_eq!(budget.limits().longest(Purpose::Request), 120 * MB);
    assert_eq!(
        budget.enqueue(Purpose::Request, 121 * MB),
        Err(Refusal::TooLong)
    );
    budget.reserve(Purpose::Request, 60 * MB).expect("room");
    budget.reserve(Purpose::Request, 60 * MB).expect("room");
    let long = budget
        .enqueue(Purpose::Request, 100 * MB)
        .expect("it waits");
    let short = budget.enqueue(Purpose::Request, 50 * MB).expect("it waits");
    assert_eq!(budget.release(Purpose::Request, 60 * MB), [short]);
    assert_eq!(budget.release(Purpose::Request, 60 * MB), []);
    assert_eq!(budget.release(Purpose::Request, 50 * MB), [long]);
    assert!(!budget.cancel(long), "it has its reservation");
    let queued = (0..).take_while(|_| budget.enqueue(Purpose::Request, 100 * MB).is_ok());
    assert_eq!(
        queued.count(),
        budget.limits().max_waiting(Purpose::Request)
    );
    assert_eq!(
        budget.enqueue(Purpose::Request, MB),
        Err(Refusal::QueueFull)
    );
}

/// New settings hold for what comes next; more memory is given to those that wait.
#[test]
fn limits_change_while_bytes_are_reserved() {
    let mut budget = Budget::new(Limits::of_memory(240 * MB));
    budget.reserve(Purpose::Request, 100 * MB).expect("room");
    assert_eq!(budget.set_limits(Limits::of_memory(120 * MB)), []);
    assert_eq!(
        budget.reserve(Purpose::Request, MB),
        Err(Refusal::Exhausted)
    );
    let waiting = budget.enqueue(Purpose::Request, 30 * MB).expect("it waits");
    assert_eq!(budget.set_limits(Limits::of_memory(280 * MB)), [waiting]);
    assert_eq!(budget.peak(), 130 * MB);
}
