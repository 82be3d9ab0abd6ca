use super::*;

#[test]
fn the_same_seed_plays_the_same_and_rest_is_in_time() {
    let plan = Plan {
        control: Control::Levels,
        agents: 3,
        load: 2.0,
        slows: 1.0,
        returns: 0.0,
        restarts: None,
        seed: 7,
    };
    let course = play(&plan);
    assert_eq!(course, play(&plan));
    assert!(course.at_rest.iter().all(|p| *p > 0.98), "{course:?}");
    assert!(
        course.closest >= 30.0 && course.entered < 15.0,
        "{course:?}"
    );
}

/// Payments in time while the load is up, with the module alone and with levels, which never change twice in 30 s.
fn payments(plan: Plan) -> [f64; 2] {
    [Control::Bounces, Control::Levels].map(|control| {
        let course = play(&Plan { control, ..plan });
        assert!(course.closest >= 30.0, "{course:?}");
        course.in_time[GROUPS - 1]
    })
}

const PLAN: Plan = Plan {
    control: Control::Levels,
    agents: 10,
    load: 2.0,
    slows: 1.0,
    returns: 0.0,
    restarts: None,
    seed: 3,
};

#[test]
fn a_step_to_three_times_and_back() {
    let [alone, levels] = payments(Plan { load: 3.0, ..PLAN });
    assert!(levels > 0.9 && levels > alone + 0.1, "{alone} {levels}");
}

/// Who was turned away comes back once, eight in ten of them.
#[test]
fn a_retry_storm() {
    let [alone, levels] = payments(Plan {
        returns: 0.8,
        ..PLAN
    });
    assert!(levels > 0.9 && levels > alone, "{alone} {levels}");
}

#[test]
fn a_shared_slowdown_that_looks_like_load() {
    let [alone, levels] = payments(Plan {
        load: 0.8,
        slows: 1.6,
        ..PLAN
    });
    assert!(levels > 0.9 && levels >= alone, "{alone} {levels}");
}

#[test]
fn all_agents_restart_at_once_in_the_middle() {
    let [alone, levels] = payments(Plan {
        restarts: Some(55.0),
        ..PLAN
    });
    assert!(levels > 0.85 && levels > alone, "{alone} {levels}");
}
