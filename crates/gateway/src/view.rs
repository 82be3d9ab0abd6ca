//! What a running agent is asked for by operators: its own view of things, as JSON, and how that is shown.

use crate::clock::Micros;
use crate::net::{self, Frames};
use jzon::JsonValue as Json;
use magpieline_control_plane::messages::Opening;
use std::net::SocketAddrV4;
use tokio::io::AsyncWrite;

/// An agent answers at once or not at all.
const WITHIN: Micros = 2_000_000;

/// Answers an operator with a view.
pub async fn answer<W: AsyncWrite + Unpin>(to: &mut W, view: &Json) {
    let _ = net::say(to, &view.dump()).await;
}

/// Asks an agent for its view.
pub async fn ask(at: SocketAddrV4) -> Result<Json, String> {
    let failed = |what: &str| format!("{at}: {what}");
    let asking = async {
        let stream = net::connect(at, WITHIN)
            .await
            .map_err(|e| failed(&format!("no connection: {e}")))?;
        let (read, mut write) = stream.into_split();
        net::say(&mut write, &Opening::View)
            .await
            .map_err(|e| failed(&e.to_string()))?;
        let text: Option<String> = Frames::new(read)
            .next()
            .await
            .map_err(|_| failed("found no view, expected an agent's inner port"))?;
        let text = text.ok_or_else(|| failed("found nothing, expected a view"))?;
        jzon::parse(&text).map_err(|_| failed("found what is no view, expected JSON"))
    };
    tokio::time::timeout(crate::clock::span(WITHIN), asking)
        .await
        .map_err(|_| failed("no answer in time"))?
}

/// A view as a table: names and values, one a line; what is in lists and objects is indented.
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
        // Whole numbers stay as they are; nobody reads more than three digits of a part.
        Json::Number(_) if value.as_u64().is_none() => value
            .as_f64()
            .map_or_else(|| value.dump(), |n| ((n * 1e3).round() / 1e3).to_string()),
        other => other.as_str().map_or_else(|| other.dump(), str::to_owned),
    }
}

/// An object of plain values as one line.
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

#[cfg(test)]
mod tests {
    /// Guards against a table that hides what the JSON says.
    #[test]
    fn a_table_holds_all_that_the_view_holds() {
        let view = jzon::object! { role: "Leader", voters: [{ address: "10.0.0.1:7720", life: 0 }], learners: [],
        services: { s: { version: "v1", rollout: null, usual_ms: 42.002895853 } } };
        let table = super::table(&view);
        let lines: Vec<&str> = table.lines().collect();
        assert_eq!(lines[0], "role      Leader");
        assert_eq!(lines[2], "  address 10.0.0.1:7720  life 0");
        assert_eq!(lines[3], "learners  none");
        let expected = [
            "services",
            "  s",
            "    version   v1",
            "    rollout   -",
            "    usual_ms  42.003",
        ];
        assert_eq!(&lines[4..], expected);
    }
}
