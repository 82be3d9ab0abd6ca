//! What operators ask of the sorting machines: a configuration, rollouts, and what is in force.

use super::check::{complaints, config_lines, read as read_file, route_table};
use super::operator_client::{call, faults, Answer, Failed};
use super::tables::pairs;
use super::{say, time, wait_for, Addresses, End};
use crate::clock::{duration, now, Micros};
use jzon::JsonValue as Json;
use magpieline_config::durations;
use magpieline_config::gateway_config::GatewayConfig;

/// A rollout that is waited for is asked about this often,
const ASK_EVERY: Micros = 500_000;
/// and for so long after its term.
const LATE: Micros = 30_000_000;

#[derive(gumdrop::Options)]
pub struct SendOptions {
    #[options(help = "prints this")]
    help: bool,
    #[options(
        free,
        required,
        help = "control addresses of sorting machines, joined by commas"
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
pub struct ReadOptions {
    #[options(help = "prints this")]
    help: bool,
    #[options(
        free,
        required,
        help = "control addresses of sorting machines, joined by commas"
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
pub struct RolloutOptions {
    #[options(help = "prints this")]
    help: bool,
    #[options(
        free,
        required,
        help = "control addresses of sorting machines, joined by commas"
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

/// Says how a command has ended: a sentence, or an object for machines.
fn ended(json: bool, done: bool, sentence: &str, mut object: Json) -> End {
    if json {
        let _ = object.insert("done", done);
        say(&format!("{}\n", object.dump()));
    } else if done {
        say(&format!("{sentence}\n"));
    } else {
        eprintln!("{sentence}");
    }
    done.into()
}

/// Says why a call has no good answer.
fn failed(json: bool, what: &str, wrong: &Failed) -> End {
    let (sentence, object) = match wrong {
        Failed::Refused { by, status, text } => {
            let faults = faults(text);
            let list: String = faults.iter().map(|f| format!("\n  {f}")).collect();
            let object = jzon::object! { refused: *status, by: by.to_string(), faults: faults };
            (format!("{what}: {by} refused it ({status}):{list}"), object)
        }
        Failed::Unclear(tried) => {
            let list: String = tried
                .iter()
                .map(|(at, wrong)| format!("\n  {at}: {wrong}"))
                .collect();
            let mut object = Json::new_object();
            tried
                .iter()
                .for_each(|(at, wrong)| drop(object.insert(&at.to_string(), wrong.as_str())));
            let sentence =
                format!("{what}: no clear answer; it may be in force or not, ask again:{list}");
            (sentence, jzon::object! { unclear: object })
        }
    };
    ended(json, false, &sentence, object)
}

pub fn send(options: &SendOptions) -> Result<End, String> {
    let file = &options.file;
    let text = match read_file(file) {
        Ok(text) => text,
        Err(e) => {
            let wrong = format!("{file}: can't be read: {e}");
            return Ok(ended(
                options.json,
                false,
                &wrong,
                jzon::object! { unreadable: e.to_string() },
            ));
        }
    };
    let edition = match GatewayConfig::parse_collecting_all(&text) {
        Ok(config) => Some(config.version),
        Err(_) if options.unchecked => magpieline_config::gateway_config::claimed_version(&text),
        Err(wrong) => {
            let list: String = wrong.iter().map(|c| format!("\n  {c}")).collect();
            let sentence = format!("{file}: not sent, as it is no sound configuration:{list}");
            return Ok(ended(
                options.json,
                false,
                &sentence,
                jzon::object! { complaints: complaints(&wrong) },
            ));
        }
    };
    wait_for(async {
        let at = &options.address.0;
        let answer = match call(at, "call=config.replace", &text, options.patience).await {
            Ok(answer) => answer,
            Err(wrong) => return failed(options.json, file, &wrong),
        };
        // An older one is acknowledged, too, and changes nothing: what is in force tells.
        let held = call(at, "call=config.read", "", options.patience)
            .await
            .ok();
        let (done, sentence) = judge(edition, &text, &answer, held.as_ref());
        let object =
            jzon::object! { edition: edition, by: answer.by.to_string(), said: sentence.as_str() };
        ended(options.json, done, &sentence, object)
    })
}

/// Whether a configuration that was acknowledged is in force, by what was read back.
fn judge(
    edition: Option<u64>,
    text: &str,
    answer: &Answer,
    held: Option<&Answer>,
) -> (bool, String) {
    let number = edition.map_or("?".to_owned(), |n| n.to_string());
    let said = format!("Edition {number} was acknowledged by {}", answer.by);
    let Some(held) = held else {
        return (true, format!("{said}; it could not be read back."));
    };
    let newest = magpieline_config::gateway_config::claimed_version(&held.text);
    let alike = held.text == text
        || matches!((jzon::parse(&held.text), jzon::parse(text)), (Ok(a), Ok(b)) if a == b);
    match newest {
        _ if alike => (true, format!("{said} and is in force.")),
        Some(newest) if newest == edition.unwrap_or(0) => (
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

pub fn read(options: &ReadOptions) -> Result<End, String> {
    wait_for(async {
        let answer = match call(&options.address.0, "call=config.read", "", options.patience).await
        {
            Ok(answer) => answer,
            Err(wrong) => return failed(options.json, "configuration", &wrong),
        };
        if options.json {
            return say(&answer.text).into();
        }
        match GatewayConfig::parse(&answer.text) {
            Ok(config) => say(&format!(
                "{}{}",
                pairs(&config_lines(&config), ""),
                route_table(&config)
            ))
            .into(),
            Err(wrong) => {
                let sentence = format!(
                    "{}: in force, but not sound to this program: {}",
                    answer.by, wrong[0]
                );
                ended(false, false, &sentence, Json::new_object())
            }
        }
    })
}

pub fn rollout(options: &RolloutOptions) -> Result<End, String> {
    let service = &options.service;
    let term = match (&options.version, options.within) {
        (Some(version), Some(within)) => Some((version, within)),
        (None, None) => None,
        (Some(_), None) => {
            return Err("--within: found nothing, expected the rollout's term such as 12s".into())
        }
        (None, Some(_)) => {
            return Err("--within: found it without a VERSION, expected both or neither".into())
        }
    };
    wait_for(async {
        if let Some((version, within)) = term {
            let body = jzon::object! { service: service.as_str(), to_edition: version.as_str(),
            within: durations::format(within) };
            let called = call(
                &options.address.0,
                "call=editions.begin",
                &body.dump(),
                options.patience,
            )
            .await;
            if let Err(wrong) = called {
                return failed(
                    options.json,
                    &format!("rollout of {service} to {version}"),
                    &wrong,
                );
            }
        }
        let until = now() + term.map_or(0, |(_, within)| within) + LATE;
        loop {
            let stands = match state(options).await {
                Ok(stands) => stands,
                Err(Failed::Refused { status: 404, .. }) => Stands {
                    state: "none".into(),
                    to: "-".into(),
                },
                Err(wrong) => {
                    return failed(options.json, &format!("rollout of {service}"), &wrong)
                }
            };
            let moves = stands.state == "in_transit";
            if options.wait && moves && now() < until {
                tokio::time::sleep(duration(ASK_EVERY)).await;
                continue;
            }
            return stands.told(options, term.map(|(version, _)| version.as_str()));
        }
    })
}

/// How a service's newest rollout stands.
struct Stands {
    state: String,
    to: String,
}

async fn state(options: &RolloutOptions) -> Result<Stands, Failed> {
    let query = format!("call=editions.read&of={}", options.service);
    let answer = call(&options.address.0, &query, "", options.patience).await?;
    let told = jzon::parse(&answer.text).unwrap_or(Json::Null);
    let text = |name: &str| told[name].as_str().unwrap_or("?").to_owned();
    Ok(Stands {
        state: text("state"),
        to: text("to_edition"),
    })
}

impl Stands {
    fn told(&self, options: &RolloutOptions, ordered: Option<&str>) -> End {
        let (service, Stands { state, to }) = (&options.service, self);
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
        ended(options.json, done, &sentence, object)
    }
}
