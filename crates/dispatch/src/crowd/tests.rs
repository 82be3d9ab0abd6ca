use super::*;

fn run<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(Duration::from_secs(5), test)
            .await
            .expect("in time")
    })
}

#[test]
fn when_room_is_short_strangers_go_first_then_the_longest_idle() {
    let (crowd, visit) = (Crowd::new(OTHERS + 6), || Visit::new(Rc::default()));
    let (_, busy) = crowd.enter(visit());
    busy.brought();
    let (_, idle) = crowd.enter(visit());
    idle.brought();
    idle.wait();
    assert!(crowd.room(0, usize::MAX));
    let (place, stranger) = crowd.enter(visit());
    assert!(!crowd.room(0, usize::MAX));
    let long_ago = Instant::now()
        .checked_sub(2 * SHORT)
        .expect("a clock that has run");
    stranger.since.set(long_ago);
    assert!(!crowd.room(0, usize::MAX));
    run(stranger.evict.notified());
    stranger.known.set(true);
    stranger.wait();
    [&busy, &idle]
        .iter()
        .for_each(|visit| visit.since.set(long_ago));
    assert!(!crowd.room(0, usize::MAX));
    run(idle.evict.notified());
    crowd.leave(place);
    assert!(crowd.room(0, usize::MAX));
}

/// Each front is sure of its part: what one has filled it gives back to the other, and idle ones leave for that.
#[test]
fn fronts_share_places_by_weight() {
    let crowd = Crowd::new(OTHERS + 32); // sixteen places
    let other = crowd.join(3.0);
    let mut first = Vec::new();
    while crowd.room(0, usize::MAX) {
        first.push(crowd.enter(Visit::new(Rc::default())));
    }
    assert_eq!(first.len(), 4, "twelve are kept for the other one");
    let mut second = Vec::new();
    while crowd.room(other, usize::MAX) {
        second.push(crowd.enter(Visit::to(other, Rc::default())));
    }
    assert_eq!(second.len(), 12);
    second.drain(..).for_each(|(place, _)| crowd.leave(place));
    assert!(
        !crowd.room(0, usize::MAX),
        "what the other is sure of stays free for it"
    );
    // A bound that shrinks leaves one with more than its part: that one's idle ones go when the other asks.
    let long_ago = Instant::now()
        .checked_sub(2 * SHORT)
        .expect("a clock that has run");
    first
        .iter()
        .for_each(|(_, visit)| visit.since.set(long_ago));
    assert!(!crowd.room(other, 4));
    run(first[0].1.evict.notified());
}

/// While connections are many a new one sends the longest idle away, one with a hit in hand never.
#[test]
fn who_asks_once_and_stays_gives_way_to_new_clients() {
    let (crowd, visit) = (Crowd::new(12), || Visit::new(Rc::default()));
    let all = [
        crowd.enter(visit()).1,
        crowd.enter(visit()).1,
        crowd.enter(visit()).1,
    ];
    all.iter().for_each(|v| v.brought());
    all[1..].iter().for_each(|v| v.wait());
    let ago = |n| {
        Instant::now()
            .checked_sub(n * BRIEF)
            .expect("a clock that has run")
    };
    all.iter()
        .zip([9, 2, 3])
        .for_each(|(v, n)| v.since.set(ago(n)));
    crowd.enter(visit());
    run(all[2].evict.notified());
    run(async {
        let other = futures_util::future::select(
            Box::pin(all[0].evict.notified()),
            Box::pin(all[1].evict.notified()),
        );
        assert!(tokio::time::timeout(GREET, other).await.is_err());
    });
}
