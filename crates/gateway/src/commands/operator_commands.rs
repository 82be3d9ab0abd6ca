//! Operators' commands: a configuration, rollouts, and what is in force.

use super::check::{complaints, config_lines, read_file, route_table};
use super::operator_client::{call, rejection_errors, Answer, CallError};
use super::tables::pairs;
use super::{block_on, print, time, Addresses, ExitStatus};
use crate::clock::{duration, now, Micros};
use jzon::JsonValue as Json;
use magpieline_config::diagnostic::Diagnostic;
use magpieline_config::durations;
use magpieline_config::gateway_config::GatewayConfig;

/// The state of a rollout that is waited for is read this often,
const POLL_INTERVAL: Micros = 500_000;
/// and for so long after its term.
const MAX_DELAY: Micros = 30_000_000;

#[derive(gumdrop::Options)]
pub(super) struct SendOptions {
    #[options(help = "prints this")]
    help: bool,
    #[options(
        free,
        required,
        help = "control addresses of controllers, joined by commas"
    )]
    address: Addresses,
    #[options(free, required, help = "the configuration; - is standard input")]
    file: String,
    #[options(help = "sends it even where this program finds it wrong")]
    unchecked: bool,
    #[options(
        help = "tries for so long",
        meta = "TIME",
        default = "5s",
        parse(try_from_str = "time")
    )]
    patience: Micros,
    #[options(help = "as JSON")]
    json: bool,
}

#[derive(gumdrop::Options)]
pub(super) struct ReadOptions {
    #[options(help = "prints this")]
    help: bool,
    #[options(
        free,
        required,
        help = "control addresses of controllers, joined by commas"
    )]
    address: Addresses,
    #[options(
        help = "tries for so long",
        meta = "TIME",
        default = "5s",
        parse(try_from_str = "time")
    )]
    patience: Micros,
    #[options(help = "the configuration as it was sent")]
    json: bool,
}

#[derive(gumdrop::Options)]
pub(super) struct RolloutOptions {
    #[options(help = "prints this")]
    help: bool,
    #[options(
        free,
        required,
        help = "control addresses of controllers, joined by commas"
    )]
    address: Addresses,
    #[options(free, required, help = "the service")]
    service: String,
    #[options(
        free,
        help = "the version to move it to; without one its rollout's state is told"
    )]
    version: Option<String>,
    #[options(
        help = "by then it should be delivered",
        meta = "TIME",
        parse(try_from_str = "time")
    )]
    within: Option<Micros>,
    #[options(short = "W", help = "waits until it is delivered (0) or returned (1)")]
    wait: bool,
    #[options(
        help = "tries for so long",
        meta = "TIME",
        default = "5s",
        parse(try_from_str = "time")
    )]
    patience: Micros,
    #[options(help = "as JSON")]
    json: bool,
}

/// Prints how a command has ended: a sentence, or an object for machines.
fn finish(json: bool, done: bool, sentence: &str, mut object: Json) -> ExitStatus {
    if json {
        let _ = object.insert("done", done);
        print(&format!("{}\n", object.dump()));
    } else if done {
        print(&format!("{sentence}\n"));
    } else {
        eprintln!("{sentence}");
    }
    done.into()
}

/// Prints why a call has failed.
fn fail(json: bool, what: &str, error: &CallError) -> ExitStatus {
    let (sentence, object) = match error {
        CallError::Rejected { by, status, text } => {
            let errors = rejection_errors(text);
            let list: String = errors.iter().map(|f| format!("\n  {f}")).collect();
            let object = jzon::object! { refused: *status, by: by.to_string(), faults: errors };
            (format!("{what}: {by} refused it ({status}):{list}"), object)
        }
        CallError::Unclear(tried) => {
            let list: String = tried
                .iter()
                .map(|(at, error)| format!("\n  {at}: {error}"))
                .collect();
            let mut object = Json::new_object();
            tried
                .iter()
                .for_each(|(at, error)| drop(object.insert(&at.to_string(), error.as_str())));
            let sentence =
                format!("{what}: no clear answer; it may be in force or not, ask again:{list}");
            (sentence, jzon::object! { unclear: object })
        }
    };
    finish(json, false, &sentence, object)
}

/// Sends a configuration, and reads back whether it is in force.
///
/// # Errors
///
/// If there is no runtime.
pub(super) fn send(options: &SendOptions) -> Result<ExitStatus, String> {
    let file = &options.file;
    let text = match read_file(file) {
        Ok(text) => text,
        Err(e) => {
            let error = format!("{file}: can't be read: {e}");
            return Ok(finish(
                options.json,
                false,
                &error,
                jzon::object! { unreadable: e.to_string() },
            ));
        }
    };
    let version = match GatewayConfig::parse_collecting_all(&text) {
        Ok(config) => Some(config.version),
        Err(_) if options.unchecked => magpieline_config::gateway_config::claimed_version(&text),
        Err(error) => {
            let list: String = error.iter().map(|c| format!("\n  {c}")).collect();
            let sentence = format!("{file}: not sent, as it is no sound configuration:{list}");
            return Ok(finish(
                options.json,
                false,
                &sentence,
                jzon::object! { complaints: complaints(&error) },
            ));
        }
    };
    block_on(async {
        let at = &options.address.0;
        let answer = match call(at, "call=config.replace", &text, options.patience).await {
            Ok(answer) => answer,
            Err(error) => return fail(options.json, file, &error),
        };
        // An older one is acknowledged, too, and changes nothing: what is in force tells.
        let current = call(at, "call=config.read", "", options.patience)
            .await
            .ok();
        let (done, sentence) = judge(version, &text, &answer, current.as_ref());
        let object =
            jzon::object! { edition: version, by: answer.by.to_string(), said: sentence.as_str() };
        finish(options.json, done, &sentence, object)
    })
}

/// Whether a configuration that was acknowledged is in force, by what was read back.
fn judge(
    version: Option<u64>,
    text: &str,
    answer: &Answer,
    current: Option<&Answer>,
) -> (bool, String) {
    let number = version.map_or("?".to_owned(), |n| n.to_string());
    let said = format!("Edition {number} was acknowledged by {}", answer.by);
    let Some(current) = current else {
        return (true, format!("{said}; it could not be read back."));
    };
    let newest = magpieline_config::gateway_config::claimed_version(&current.text);
    let alike = current.text == text
        || matches!((jzon::parse(&current.text), jzon::parse(text)), (Ok(a), Ok(b)) if a == b);
    match newest {
        _ if alike => (true, format!("{said} and is in force.")),
        Some(newest) if newest == version.unwrap_or(0) => (
            false,
            format!("{said} and changes nothing: another text is in force under this number."),
        ),
        Some(newest) => (
            false,
            format!("{said} and changes nothing: edition {newest} is in force."),
        ),
        None => (true, format!("{said}; what was read back has no number.")),
    }
}

/// Shows the configuration in force.
///
/// # Errors
///
/// If there is no runtime.
pub(super) fn read(options: &ReadOptions) -> Result<ExitStatus, String> {
    block_on(async {
        let answer = match call(&options.address.0, "call=config.read", "", options.patience).await
        {
            Ok(answer) => answer,
            Err(error) => return fail(options.json, "configuration", &error),
        };
        if options.json {
            return print(&answer.text).into();
        }
        match GatewayConfig::parse_committed(&answer.text.as_str().into(), None) {
            Ok(config) => print(&format!(
                "{}{}{}",
                pairs(&config_lines(&config), ""),
                route_table(&config),
                unknown_services(&config)
            ))
            .into(),
            Err(error) => {
                let sentence = format!(
                    "{}: in force, but not sound to this program: {}",
                    answer.by, error[0]
                );
                finish(false, false, &sentence, Json::new_object())
            }
        }
    })
}

/// Returns a line for each name of a service that routes have and the configuration doesn't list.
fn unknown_services(config: &GatewayConfig) -> String {
    let line = |unknown: &Diagnostic| format!("invalid by today's checks: {unknown}\n");
    config.unknown_services.iter().map(line).collect()
}

/// A rollout that is ordered.
struct Order<'a> {
    version: &'a str,
    within: Micros,
}

impl Order<'_> {
    /// Returns the order that the options make; none: the state is asked for.
    fn of(options: &RolloutOptions) -> Result<Option<Order<'_>>, String> {
        match (&options.version, options.within) {
            (Some(version), Some(within)) => Ok(Some(Order { version, within })),
            (None, None) => Ok(None),
            (Some(_), None) => {
                Err("--within: found nothing, expected the rollout's term such as 12s".into())
            }
            (None, Some(_)) => {
                Err("--within: found it without a VERSION, expected both or neither".into())
            }
        }
    }
}

/// Orders a rollout, or shows a service's newest one.
///
/// # Errors
///
/// If the options contradict each other.
pub(super) fn rollout(options: &RolloutOptions) -> Result<ExitStatus, String> {
    let order = Order::of(options)?;
    block_on(async {
        if let Some(order) = &order {
            if let Err(error) = begin_rollout(options, order).await {
                let what = format!("rollout of {} to {}", options.service, order.version);
                return fail(options.json, &what, &error);
            }
        }
        match final_state(options, order.as_ref()).await {
            Ok(state) => state.finish(options, order.map(|order| order.version)),
            Err(error) => fail(
                options.json,
                &format!("rollout of {}", options.service),
                &error,
            ),
        }
    })
}

async fn begin_rollout(options: &RolloutOptions, order: &Order<'_>) -> Result<Answer, CallError> {
    let body = jzon::object! {
        service: options.service.as_str(),
        to_edition: order.version,
        within: durations::format(order.within)
    };
    let addresses = &options.address.0;
    call(
        addresses,
        "call=editions.begin",
        &body.dump(),
        options.patience,
    )
    .await
}

/// Returns the state of the newest rollout; if the options say so, once it is over.
async fn final_state(
    options: &RolloutOptions,
    order: Option<&Order<'_>>,
) -> Result<RolloutState, CallError> {
    let deadline = now() + order.map_or(0, |order| order.within) + MAX_DELAY;
    loop {
        let state = match state(options).await {
            Err(CallError::Rejected { status: 404, .. }) => RolloutState {
                state: "none".into(),
                to: "-".into(),
            },
            state => state?,
        };
        let is_active = state.state == "in_transit";
        if !options.wait || !is_active || now() >= deadline {
            return Ok(state);
        }
        tokio::time::sleep(duration(POLL_INTERVAL)).await;
    }
}

/// The state of a service's newest rollout.
struct RolloutState {
    state: String,
    to: String,
}

async fn state(options: &RolloutOptions) -> Result<RolloutState, CallError> {
    let query = format!("call=editions.read&of={}", options.service);
    let answer = call(&options.address.0, &query, "", options.patience).await?;
    let parsed = jzon::parse(&answer.text).unwrap_or(Json::Null);
    let text = |name: &str| parsed[name].as_str().unwrap_or("?").to_owned();
    Ok(RolloutState {
        state: text("state"),
        to: text("to_edition"),
    })
}

impl RolloutState {
    fn finish(&self, options: &RolloutOptions, ordered: Option<&str>) -> ExitStatus {
        let (service, RolloutState { state, to }) = (&options.service, self);
        let object = jzon::object! { service: service.as_str(), state: state.as_str(), to_edition: to.as_str() };
        let meant = ordered.is_none_or(|version| version == to);
        let moved = ordered.is_some() || options.wait;
        let done = match &state[..] {
            "delivered" => meant,
            "in_transit" => meant && !options.wait,
            // Asked how it stands, this is an answer; asked to move it, it is none.
            "returned" => !moved,
            _ => false,
        };
        let sentence = match (ordered, &state[..]) {
            (Some(version), _) if !meant => format!(
                "{service} was not moved: it stands with {version} already; newest rollout: {state}, to {to}."
            ),
            (None, "none") => format!("{service}: no rollout was ordered yet."),
            (_, "in_transit") if options.wait => {
                format!("{service} to {to}: in_transit still, past its term.")
            }
            (_, state) => format!("{service} to {to}: {state}."),
        };
        finish(options.json, done, &sentence, object)
    }
}
