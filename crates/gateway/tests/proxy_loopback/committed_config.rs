//! What a proxy serves by a committed configuration that is invalid by its own checks.

use crate::fixture::{request, run, until, Fixture, CONFIG};
use magpieline_control_plane::state_machine::StoredConfig;
use magpieline_gateway::proxy::NotReady;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// A route that no client uses.
const CONFIG_ROUTE: &str = r#"{"name":"n-NUMBER","sort":"safe","target":"1s","sorting":{"lane_prefix":"/n/NUMBER/"},"dispatch":{"service":"s","give_up":"9s","tries":2}},"#;

/// A route names a service with share 0 that the document doesn't list: an earlier release acknowledged that.
fn with_unknown_service() -> String {
    CONFIG.replacen(
        r#""dispatch":{"service":"s","#,
        r#""dispatch":{"apportion":[{"service":"s","share":100},{"service":"gone","share":0}],"#,
        1,
    )
}

async fn is_served(fixture: &mut Fixture, id: &str) {
    let mut client = fixture.client().await;
    let sent = request("GET", "/safe/a", id);
    client.write_all(sent.as_bytes()).await.expect("sent");
    fixture.asked().await.answer("", "");
    let text = until(&mut client, id).await;
    assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
}

/// Guards against: after a restart every proxy answered 503 to everything, as none could read the configuration that earlier
/// processes had acknowledged.
#[test]
fn a_restarted_proxy_serves_by_a_configuration_that_an_earlier_release_acknowledged() {
    run(async {
        let mut fixture = Fixture::with(&with_unknown_service()).await;
        assert_eq!(fixture.proxy.not_ready(), None);
        is_served(&mut fixture, "t1").await;
    });
}

/// What can't be read at all leaves the configuration before in force; a proxy that has none says why it is not ready.
#[test]
fn an_unreadable_configuration_leaves_the_one_before_in_force() {
    let unreadable = |version| StoredConfig {
        version,
        text: CONFIG.replace("9s", "0s").into(),
    };
    run(async {
        let mut fixture = Fixture::new().await;
        fixture.proxy.apply_config(&unreadable(2));
        assert_eq!(
            (fixture.proxy.config_version(), fixture.proxy.not_ready()),
            (Some(1), None)
        );
        is_served(&mut fixture, "t1").await;
        let restarted = Fixture::with(&unreadable(1).text).await;
        let reason = restarted.proxy.not_ready();
        assert_eq!(reason, Some(NotReady::UnreadableConfig(1)));
        // A higher version is the way out.
        restarted.proxy.apply_config(&StoredConfig {
            version: 2,
            text: CONFIG.into(),
        });
        assert_eq!(restarted.proxy.not_ready(), None);
    });
}

/// Guards against a first configuration of version 0 that is acknowledged and never in force.
#[test]
fn version_0_is_in_force() {
    run(async {
        let mut fixture = Fixture::with(&CONFIG.replace(r#""edition":1"#, r#""edition":0"#)).await;
        assert_eq!(fixture.proxy.config_version(), Some(0));
        is_served(&mut fixture, "t1").await;
        fixture.proxy.apply_config(&StoredConfig {
            version: 1,
            text: CONFIG.into(),
        });
        assert_eq!(fixture.proxy.config_version(), Some(1));
        is_served(&mut fixture, "t2").await;
    });
}

/// Guards against a proxy that goes back to an older configuration: one that comes late, or that took long to parse while a newer one
/// came.
#[test]
fn an_older_configuration_never_comes_into_force_again() {
    const ROUTES: usize = 10_000;
    // So many routes take some hundred milliseconds.
    const BEFORE_IT_IS_PARSED: Duration = Duration::from_millis(20);
    let stored = |version, text: &str| StoredConfig {
        version,
        text: text.into(),
    };
    let route = |i: usize| CONFIG_ROUTE.replace("NUMBER", &i.to_string());
    let routes: String = (0..ROUTES).map(route).collect();
    let long = CONFIG.replacen(
        r#""regulations":["#,
        &format!(r#""regulations":[{routes}"#),
        1,
    );
    run(async {
        let fixture = Fixture::new().await;
        fixture.proxy.apply_config(&stored(5, CONFIG));
        fixture.proxy.apply_config(&stored(4, CONFIG));
        assert_eq!(fixture.proxy.config_version(), Some(5));
        let (proxy, long) = (fixture.proxy.clone(), stored(6, &long));
        let parsing = std::thread::spawn(move || proxy.apply_config(&long));
        std::thread::sleep(BEFORE_IT_IS_PARSED);
        fixture.proxy.apply_config(&stored(7, CONFIG));
        parsing.join().expect("it ends");
        assert_eq!(fixture.proxy.config_version(), Some(7));
    });
}
