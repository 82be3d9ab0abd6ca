//! What a running agent tells operators of its state, as JSON, and how that is shown.

use crate::clock::{duration, Micros};
use crate::net::{self, FrameReader};
use jzon::JsonValue as Json;
use magpieline_control_plane::messages::ConnectionPurpose;
use magpieline_control_plane::state_machine::Phase;
use std::fmt;
use std::io;
use std::net::SocketAddrV4;
use tokio::io::AsyncWrite;

/// An agent answers at once or not at all.
const FETCH_TIMEOUT: Micros = 2_000_000;

/// Why a view could not be fetched.
#[derive(Debug)]
pub struct FetchError {
    address: SocketAddrV4,
    cause: FetchErrorCause,
}

#[derive(Debug)]
enum FetchErrorCause {
    NoConnection(io::Error),
    Write(io::Error),
    NotAnAgent,
    Nothing,
    NotJson,
    Timeout,
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.address)?;
        match &self.cause {
            FetchErrorCause::NoConnection(error) => write!(f, "no connection: {error}"),
            FetchErrorCause::Write(error) => write!(f, "{error}"),
            FetchErrorCause::NotAnAgent => {
                write!(f, "found no view, expected an agent's inner port")
            }
            FetchErrorCause::Nothing => write!(f, "found nothing, expected a view"),
            FetchErrorCause::NotJson => write!(f, "found what is no view, expected JSON"),
            FetchErrorCause::Timeout => write!(f, "no answer in time"),
        }
    }
}

impl std::error::Error for FetchError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.cause {
            FetchErrorCause::NoConnection(error) | FetchErrorCause::Write(error) => Some(error),
            _ => None,
        }
    }
}

/// Sends a view to an operator.
pub async fn send<W: AsyncWrite + Unpin>(to: &mut W, view: &Json) {
    let _ = net::write_frame(to, &view.dump()).await;
}

/// Fetches the view of the agent at `address`.
///
/// # Errors
///
/// If there is no answer in time, or none that is a view.
pub async fn fetch(address: SocketAddrV4) -> Result<Json, FetchError> {
    let fetched = tokio::time::timeout(duration(FETCH_TIMEOUT), request(address)).await;
    let result = fetched.unwrap_or(Err(FetchErrorCause::Timeout));
    result.map_err(|cause| FetchError { address, cause })
}

async fn request(address: SocketAddrV4) -> Result<Json, FetchErrorCause> {
    let stream = net::connect(address, FETCH_TIMEOUT)
        .await
        .map_err(FetchErrorCause::NoConnection)?;
    let (read, mut write) = stream.into_split();
    let purpose = ConnectionPurpose::View;
    net::write_frame(&mut write, &purpose)
        .await
        .map_err(FetchErrorCause::Write)?;
    let answer = FrameReader::new(read).next::<String>().await;
    let text = answer
        .map_err(|_| FetchErrorCause::NotAnAgent)?
        .ok_or(FetchErrorCause::Nothing)?;
    jzon::parse(&text).map_err(|_| FetchErrorCause::NotJson)
}

/// Returns a phase's name in views, which operators may script against.
pub fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Trial => "Trial",
        Phase::Promoting => "Moving",
        Phase::Completed => "Delivered",
        Phase::RolledBack => "Returned",
    }
}

/// Formats a view as a table: names and values, one a line; what is in lists and objects is indented.
pub fn table(view: &Json) -> String {
    let mut text = String::new();
    lines(view, 0, &mut text);
    text
}

fn lines(view: &Json, depth: usize, text: &mut String) {
    let indent = "  ".repeat(depth);
    match view {
        Json::Object(object) => {
            let width = object.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
            for (name, value) in object.iter() {
                if is_plain(value) {
                    text.push_str(&format!("{indent}{name:width$}  {}\n", plain(value)));
                } else {
                    text.push_str(&format!("{indent}{name}\n"));
                    lines(value, depth + 1, text);
                }
            }
        }
        Json::Array(list) => {
            for value in list {
                if is_plain(value) {
                    text.push_str(&format!("{indent}{}\n", plain(value)));
                } else if let Some(row) = row(value) {
                    text.push_str(&format!("{indent}{row}\n"));
                } else {
                    lines(value, depth, text);
                }
            }
        }
        other => text.push_str(&format!("{indent}{}\n", plain(other))),
    }
}

fn is_plain(value: &Json) -> bool {
    !matches!(value, Json::Object(_) | Json::Array(_))
        || matches!(value, Json::Array(list) if list.is_empty())
}

fn plain(value: &Json) -> String {
    match value {
        Json::Null => "-".into(),
        Json::Array(_) => "none".into(),
        // Integers stay as they are; of fractions three digits are enough.
        Json::Number(_) if value.as_u64().is_none() => value
            .as_f64()
            .map_or_else(|| value.dump(), |n| ((n * 1e3).round() / 1e3).to_string()),
        other => other.as_str().map_or_else(|| other.dump(), str::to_owned),
    }
}

/// Formats an object of plain values as one line.
fn row(value: &Json) -> Option<String> {
    let Json::Object(object) = value else {
        return None;
    };
    let cells: Option<Vec<String>> = object
        .iter()
        .map(|(name, value)| is_plain(value).then(|| format!("{name} {}", plain(value))))
        .collect();
    cells.map(|cells| cells.join("  "))
}
