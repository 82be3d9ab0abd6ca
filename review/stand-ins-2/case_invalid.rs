//! CONFIG: a configuration with a route that names an unknown service is acknowledged, and is in force.

use crate::deployment::{configuration, Deployment};
use crate::http::Message;
use crate::record::Record;
use crate::Verdict;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const PROXIES: usize = 1;
const ROUTE: &str = r#""dispatch":{"service":"cocciones","give_up":"3000ms","tries":2}"#;
/// The same route, split between two services that there are.
const SPLIT: &str = r#""dispatch":{"apportion":[{"service":"cocciones","share":90},{"service":"calendario","share":10}],"give_up":"3000ms","tries":2}"#;
/// The same, and a service that the configuration does not have is named.
const SPLIT_AND_UNKNOWN: &str = r#""dispatch":{"service":"archivio","apportion":[{"service":"cocciones","share":90},{"service":"calendario","share":10}],"give_up":"3000ms","tries":2}"#;

pub fn run(record: &Record, with_trouble: bool) -> Verdict {
    let mut deployment = Deployment::prepare(record, PROXIES)?;
    for service in ["calendario", "cocciones"] {
        deployment.start_endpoint(
            service,
            "v1",
            Arc::new(|_: &Message| (200, b"free".to_vec())),
        )?;
    }
    deployment.start_all(true)?;
    let receipt = Duration::from_secs(15);
    deployment
        .operate("call=config.replace", &configuration(1), receipt)
        .ok_or("no configuration")?;
    deployment.wait_until_ready(Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(4));
    let dispatch = if with_trouble {
        SPLIT_AND_UNKNOWN
    } else {
        SPLIT
    };
    let changed = configuration(2).replace(ROUTE, dispatch);
    if !changed.contains(dispatch) {
        return Err("the configuration has no such route".into());
    }
    record.line(format!(
        "the operator sends edition 2, with a route that has {dispatch}"
    ));
    let answer = deployment
        .operate("call=config.replace", &changed, Duration::from_secs(5))
        .ok_or("no answer")?;
    thread::sleep(Duration::from_secs(3));
    let read = deployment
        .operate("call=config.read", "", Duration::from_secs(5))
        .ok_or("it could not be read back")?;
    let is_in_force = read.body == changed.as_bytes();
    record.line(format!(
        "answered {}; read back and in force: {is_in_force}",
        answer.status()
    ));
    if !with_trouble {
        return match (answer.status(), is_in_force) {
            (200, true) => Ok(true),
            _ => Err("a valid configuration was not taken".into()),
        };
    }
    Ok(answer.status() != 200 && !is_in_force)
}
