use super::*;
use magpieline_degradation::{Door as LevelDoor, Ended};
use magpieline_operator_config::versions::Staging;
use magpieline_operator_config::versions::Versions;
use magpieline_operator_config::{watch, Values};

/// A way on which nothing ever comes back.
struct Silence;

impl Way for Silence {
    fn forward(&self, _: Rc<Load>, limit: Duration) -> LocalBoxFuture<'static, End> {
        Box::pin(async move {
            tokio::time::sleep(limit).await;
            End::Silent
        })
    }
}

fn exchange() -> Rc<Exchange> {
    let info = serde_json::json!({"classes": [{"name": "read", "repeat": "retryable", "hard_limit_us": 2000000}]});
    let ways: Ways = Box::new(|_, _| Ok(Rc::new(Silence)));
    Rc::new(Exchange::new(1, &info, &Chosen::default(), None, ways).expect("an exchange"))
}

fn run<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// The line of a node by its port.
fn entry(port: u16, build: u32, open: bool) -> Entry {
    let listed = Listed {
        node: 0,
        open,
        build,
        zone: 0,
        cell: 0,
        rating: 1.0,
        up_since: 0.0,
        speaks: 0,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Entry {
        uid: port.to_string(),
        listed,
        address,
        gone: false,
    }
}

#[test]
fn any_number_is_a_time() {
    assert_eq!(
        [time(0.25), time(-1.0), time(f64::NAN)],
        [Duration::from_millis(250), Duration::ZERO, Duration::ZERO]
    );
    assert_eq!([time(1e300), time(f64::INFINITY)], [Duration::MAX; 2]);
}

/// Nobody waits for an answer that a fault has eaten, and the next hit is served.
#[test]
fn a_panic_of_the_decisions_gives_the_hit_up() {
    let exchange = exchange();
    assert_eq!(exchange.ask(|_, _| panic!("on purpose")), Next::GiveUp);
    assert_eq!(exchange.ask(|_, _| Next::Nothing), Next::Nothing);
}

/// The first answer counts; whatever comes after it finds nobody, and nothing is kept.
#[test]
fn a_hit_gets_one_answer() {
    run(async {
        let exchange = exchange();
        exchange.listed(true, true, vec![entry(1, 1, true)]);
        let arrival = Arrival {
            remaining: 0.2,
            ..Arrival::default()
        };
        let load = || Load {
            id: 7,
            head: Box::new(()),
            body: Bytes::new(),
        };
        let mut ticket = exchange.take(arrival, load()).expect("a hit");
        assert!(
            exchange.take(arrival, load()).is_none(),
            "its id is in hand"
        );
        let handle = ticket.handle().expect("the decisions know it");
        exchange.answer(handle, Answer::Bounced { again_after: 0.5 });
        exchange.answer(handle, Answer::Failed);
        assert!(matches!(
            ticket.answer().await,
            Answer::Bounced { again_after: 0.5 }
        ));
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(exchange.idle());
        assert!(
            exchange.take(arrival, load()).is_some(),
            "its id is free again"
        );
    });
}

/// A way on which each hit is answered after a while, and counted.
struct Answers(Rc<Cell<u32>>, Duration);

impl Way for Answers {
    fn forward(&self, _: Rc<Load>, _: Duration) -> LocalBoxFuture<'static, End> {
        let (seen, after) = (self.0.clone(), self.1);
        seen.set(seen.get() + 1);
        Box::pin(async move {
            tokio::time::sleep(after).await;
            End::Answered {
                kind: None,
                body: Bytes::new(),
            }
        })
    }
}

const LEVELS: &str =
    "<magpieline><levels spacing-s='1' spread-s='0'><level name='busy' enter='late(pay) > 50%'
        leave='late(pay) &lt; 1% and shortage &lt; 2%' least-stay-s='60' trial='held'>
        <group name='read' share='0' WAIT/></level></levels></magpieline>";

/// An exchange over two nodes, the second of a build on trial, with a level that lets no reads in; how many hits
/// each has seen.
fn levelled(wait: &str) -> (Rc<Exchange>, [Rc<Cell<u32>>; 2]) {
    let info = serde_json::json!({
            "classes": [{"name": "read", "repeat": "retryable", "hard_limit_us": 2000000, "goal_time_us": 500000},
                {"name": "pay", "repeat": "fragile", "hard_limit_us": 2000000, "goal_time_us": 500000, "credit": 5.0}],
            "limits": {"retry_after": true, "max_retry_after_us": 9000000}, "family_info": {"spare_tries": 9}});
    let seen: [Rc<Cell<u32>>; 2] = Default::default();
    let both = seen.clone();
    let ways: Ways = Box::new(move |address, _| {
        let way = Answers(
            both[usize::from(address.port() - 1)].clone(),
            Duration::from_millis(20),
        );
        Ok(Rc::new(way))
    });
    let exchange =
        Rc::new(Exchange::new(1, &info, &Chosen::default(), None, ways).expect("an exchange"));
    exchange.listed(true, true, vec![entry(1, 1, true), entry(2, 2, true)]);
    exchange.heard(News {
        build: 2,
        stage: 1,
        phase: Phase::Trial,
        since: 0.0,
        cap: 0.9,
    });
    let values = magpieline_operator_config::Schema::bundled()
        .check(&LEVELS.replace("WAIT", wait))
        .expect("good");
    exchange
        .set_levels(&values, 1, None)
        .expect("it makes sense");
    (exchange, seen)
}

fn read(id: u64) -> Load {
    Load {
        id,
        head: Box::new(()),
        body: Bytes::new(),
    }
}

fn arrival(group: usize) -> Arrival {
    Arrival {
        group,
        remaining: 1.5,
        ..Arrival::default()
    }
}

/// So that the level's rules are in force.
fn held(exchange: &Exchange) {
    exchange.hold_level("busy", 60.0, "ada").expect("held");
    exchange
        .state
        .borrow_mut()
        .levels
        .as_mut()
        .expect("levels")
        .look(exchange.clock.now());
}

/// Hits that a level lets in none of are answered at once, the decisions see nothing of them, and their ids are
/// free again; other path groups go on.
#[test]
fn what_a_level_turns_away_is_answered_at_once_and_never_runs() {
    run(async {
        let (exchange, seen) = levelled("");
        held(&exchange);
        for _ in 0..3 {
            let mut ticket = exchange.take(arrival(0), read(7)).expect("its id is free");
            let answer = tokio::time::timeout(Duration::from_millis(500), ticket.answer()).await;
            match answer.expect("at once") {
                Answer::Bounced { again_after } => {
                    assert!(again_after > 0.0 && again_after <= 9.0)
                }
                _ => panic!("let in"),
            }
        }
        assert_eq!(seen.each_ref().map(|s| s.get()), [0, 0]);
        assert!(exchange.idle());
        let mut ticket = exchange.take(arrival(1), read(8)).expect("taken");
        assert!(matches!(ticket.answer().await, Answer::Delivered { .. }));
        exchange.release_level("ada").expect("released");
        assert!(exchange.release_level("ada").is_err());
        assert!(exchange.hold_level("odd", 60.0, "ada").is_err());
    });
}

/// While a level holds trial traffic the build on trial gets nothing new, whatever its cap.
#[test]
fn a_level_that_holds_the_trial_sends_nothing_there() {
    run(async {
        let (exchange, seen) = levelled("");
        let go = |from: u64| {
            let exchange = exchange.clone();
            async move {
                for id in from..from + 60 {
                    exchange
                        .state
                        .borrow_mut()
                        .balancer
                        .review(exchange.clock.now());
                    let mut ticket = exchange.take(arrival(1), read(id)).expect("taken");
                    ticket.answer().await;
                }
            }
        };
        go(100).await;
        let before = seen[1].get();
        assert!(before > 0, "the trial has its share");
        held(&exchange);
        go(200).await;
        assert_eq!(seen[1].get(), before);
        exchange.release_level("ada").expect("released");
        exchange.hold_level("full", 60.0, "ada").expect("held");
        go(300).await;
        assert!(seen[1].get() > before, "and has it again");
    });
}

/// A hit that waits is let in once there is room, is answered when its time is up, and is forgotten when its client
/// leaves; one answer each, no id left in hand.
#[test]
fn what_waits_goes_on_or_is_answered_and_nothing_is_left() {
    run(async {
        let (exchange, seen) = levelled("most-waiting='2' longest-wait-s='0.2'");
        held(&exchange);
        // No room: the limit is in flight, of another path group.
        let many = exchange
            .state
            .borrow()
            .levels
            .as_ref()
            .expect("levels")
            .stands(0.0)
            .limit as usize;
        let each = |what: &dyn Fn(&mut Levels)| {
            let mut state = exchange.state.borrow_mut();
            (0..many).for_each(|_| what(state.levels.as_mut().expect("levels")));
        };
        let occupy = |l: &mut Levels| assert_eq!(l.take(exchange.now(), 1, 0, 1.0), LevelDoor::Go);
        let ended = Ended {
            group: 1,
            fate: None,
            spent: 0.0,
            part: 0.0,
            waited: None,
        };
        each(&occupy);
        let mut waits = exchange.take(arrival(0), read(1)).expect("taken");
        let leaves = exchange.take(arrival(0), read(2)).expect("taken");
        let mut third = exchange.take(arrival(0), read(3)).expect("taken");
        assert!(
            matches!(third.answer().await, Answer::Bounced { .. }),
            "no more than two wait"
        );
        assert!(
            exchange.take(arrival(0), read(1)).is_none(),
            "its id is in hand"
        );
        drop(leaves);
        assert_eq!(exchange.state.borrow().waiting.len(), 1);
        let begun = Instant::now();
        assert!(matches!(waits.answer().await, Answer::Bounced { .. }));
        assert!(
            (150..3000).contains(&begun.elapsed().as_millis()),
            "{:?}",
            begun.elapsed()
        );
        assert!(exchange.idle() && exchange.state.borrow().ids.is_empty());
        assert_eq!(seen[0].get(), 0);
        // Room again: one that waits goes on at the next look.
        let mut waits = exchange.take(arrival(0), read(4)).expect("taken");
        each(&|l| l.ended(exchange.now(), ended));
        exchange.let_in();
        assert!(matches!(waits.answer().await, Answer::Delivered { .. }));
        assert_eq!(seen[0].get(), 1);
        // Levels that are no more leave nobody waiting.
        each(&occupy);
        let mut waits = exchange.take(arrival(0), read(5)).expect("taken");
        exchange.set_levels(&Values::new(), 1, None).expect("none");
        assert!(matches!(waits.answer().await, Answer::Bounced { .. }));
        assert!(exchange.idle() && exchange.levels().is_none());
    });
}

/// Levels that make no sense here change nothing.
#[test]
fn levels_that_make_no_sense_here_are_refused_whole() {
    let (exchange, _) = levelled("");
    let odd = LEVELS
        .replace("WAIT", "")
        .replace("late(pay) > 50%", "late(odd) > 50%");
    let values = magpieline_operator_config::Schema::bundled()
        .check(&odd)
        .expect("good by the schema");
    let told = exchange.set_levels(&values, 1, None).expect_err("refused");
    assert!(
        told.contains("levels: level 'busy': enter: late: found 'odd', expected one of read, pay"),
        "{told}"
    );
    assert!(exchange.fits_here(&values).is_err());
    assert_eq!(exchange.levels().expect("as before").0.level, "full");
}

/// A level that comes while a node drains: what is let in goes elsewhere, the draining one gets nothing new.
#[test]
fn a_level_that_comes_during_a_drain_changes_nothing_for_the_drained() {
    run(async {
        let (exchange, seen) = levelled("");
        exchange.listed(true, true, vec![entry(1, 1, false), entry(2, 1, true)]);
        let before = seen[0].get();
        held(&exchange);
        for id in 0..40 {
            let mut ticket = exchange.take(arrival(1), read(id)).expect("taken");
            assert!(matches!(ticket.answer().await, Answer::Delivered { .. }));
        }
        assert_eq!((seen[0].get(), seen[1].get()), (before, 40));
    });
}

/// A level that comes while a change is watched is not held against the change: what it turns away is no outcome.
#[test]
fn a_level_is_not_held_against_a_change_that_is_watched() {
    run(async {
        let (exchange, _) = levelled("");
        exchange
            .hold(
                Versions::new(magpieline_operator_config::Schema::bundled()),
                1,
            )
            .expect("nothing chosen");
        for id in 0..100 {
            exchange
                .take(arrival(1), read(id))
                .expect("taken")
                .answer()
                .await;
        }
        let text = "<magpieline><hits><group name='pay' most-forwards='2'/></hits></magpieline>";
        let staged = exchange.changes(|c| c.versions.stage(text, "ada", "", 0.0));
        let Some(Ok(Staging::New(staged))) = staged else {
            panic!("a new version");
        };
        exchange.adopt(&staged).expect("staged");
        let applied = exchange.changes(|c| c.versions.apply(1, "ada", 0.0).expect("allowed"));
        exchange.adopt(&applied.expect("enabled")).expect("applied");
        held(&exchange);
        for id in 0..2000 {
            let mut ticket = exchange.take(arrival(0), read(id)).expect("taken");
            assert!(matches!(ticket.answer().await, Answer::Bounced { .. }));
            assert_eq!(exchange.look_at_change(), watch::Decision::Continue);
        }
        let doubts = exchange.changes(|c| c.watch.as_ref().is_some_and(|w| w.in_doubt()));
        assert_eq!(doubts, Some(false));
    });
}
