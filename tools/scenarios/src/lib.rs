//! Deployments of other shapes for the bench.
//!
//! A deployment is a TOML table, read from the bench's site file. A shape is a short TOML table that the repository keeps
//! (`tools/scenarios/days/sites/`): what it names is changed, all else stays. So nothing of the bench's files is kept here.
//!
//! A shape holds, each left out if not wanted:
//! - `name`: text, the deployment's new name is the old one's with a dash and this;
//! - `set`: a table, merged into the deployment's; lists and values replace what was there;
//! - `regions`: names of regions, one for each zone, in the order of the deployment's zones; the last one goes on;
//! - `machines`: entries with `class`, and any of `count` and `spare` (whole numbers, one for each zone in order; the last
//!   one goes on) and `set` (a table, merged into each entry of that class);
//! - `troubles`: entries that are added to the deployment's, for hunts to draw from.
//!
//! Days of our own (`tools/scenarios/days/`) may take the place of the deployment's, so that a hunt plays them with many seeds.

pub mod drawn_days;

use std::fmt;
use std::path::Path;
use toml::{Table, Value};

/// Why a shape can't be given to a deployment: the place in the shape or deployment, and what was expected there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Misfit {
    /// Not TOML; the reader's words.
    Unreadable { what: &'static str, why: String },
    /// A field has another type than it should.
    Odd {
        place: String,
        expected: &'static str,
    },
    /// A shape names what no rule of this page knows.
    Unknown { place: String },
    /// A shape changes machines of a class that the deployment has not.
    NoSuchClass { class: String },
}

impl fmt::Display for Misfit {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Misfit::Unreadable { what, why } => write!(out, "{what}: {why}"),
            Misfit::Odd { place, expected } => write!(out, "{place}: expected {expected}"),
            Misfit::Unknown { place } => {
                write!(
                    out,
                    "{place}: expected one of name, set, regions, machines, troubles"
                )
            }
            Misfit::NoSuchClass { class } => {
                write!(out, "machines: the deployment has none of class '{class}'")
            }
        }
    }
}

/// Gives the shape to the deployment. Both are TOML texts; so is what comes back. `home` is the folder of the deployment's
/// file: other files that it names beside itself are then named by their path. `days` are TOML texts, each with `[[day]]`
/// entries or the fields of one; if there are any, they are the deployment's days, and no others.
pub fn train(
    deployment: &str,
    shape: &str,
    home: &Path,
    days: &[String],
) -> Result<String, Misfit> {
    let mut deployment = read("deployment", deployment)?;
    let shape = read("shape", shape)?;
    if !days.is_empty() {
        let mut own = Vec::new();
        for day in days {
            let day = read("day", day)?;
            match day.get("day") {
                Some(days) => own.extend_from_slice(list("day", days)?),
                None => own.push(Value::Table(day)),
            }
        }
        deployment.insert("day".to_owned(), Value::Array(own));
    }
    if let Some(Value::String(wire)) = deployment.get_mut("wire") {
        *wire = home.join(&*wire).to_string_lossy().into_owned();
    }
    for (key, value) in shape {
        match key.as_str() {
            "name" => rename(&mut deployment, &value)?,
            "set" => merge(&mut deployment, table("set", &value)?),
            "regions" => regions(&mut deployment, &value)?,
            "machines" => {
                for change in list("machines", &value)? {
                    machines(&mut deployment, table("machines", change)?)?;
                }
            }
            "troubles" => entries(&mut deployment, "troubles")?
                .extend(list("troubles", &value)?.iter().cloned()),
            _ => return Err(Misfit::Unknown { place: key }),
        }
    }
    Ok(deployment.to_string())
}

fn read(what: &'static str, text: &str) -> Result<Table, Misfit> {
    text.parse()
        .map_err(|why: toml::de::Error| Misfit::Unreadable {
            what,
            why: why.message().to_owned(),
        })
}

fn odd(place: &str, expected: &'static str) -> Misfit {
    Misfit::Odd {
        place: place.to_owned(),
        expected,
    }
}

fn table<'a>(place: &str, value: &'a Value) -> Result<&'a Table, Misfit> {
    value.as_table().ok_or_else(|| odd(place, "a table"))
}

fn list<'a>(place: &str, value: &'a Value) -> Result<&'a [Value], Misfit> {
    value
        .as_array()
        .map(Vec::as_slice)
        .ok_or_else(|| odd(place, "a list"))
}

fn entries<'a>(deployment: &'a mut Table, place: &str) -> Result<&'a mut Vec<Value>, Misfit> {
    let found = deployment.get_mut(place).and_then(Value::as_array_mut);
    found.ok_or_else(|| odd(place, "a list in the deployment"))
}

fn rename(deployment: &mut Table, name: &Value) -> Result<(), Misfit> {
    let name = name.as_str().ok_or_else(|| odd("name", "a text"))?;
    let old = deployment
        .get("name")
        .and_then(Value::as_str)
        .ok_or_else(|| odd("name", "a text in the deployment"))?;
    let new = format!("{old}-{name}");
    deployment.insert("name".to_owned(), Value::String(new));
    Ok(())
}

fn merge(into: &mut Table, from: &Table) {
    for (key, value) in from {
        match (into.get_mut(key), value) {
            (Some(Value::Table(inner)), Value::Table(more)) => merge(inner, more),
            _ => {
                into.insert(key.clone(), value.clone());
            }
        }
    }
}

/// The list's entry for the zone at that place; the last one goes on.
fn nth(values: &[Value], place: usize) -> Option<&Value> {
    values.get(place).or(values.last())
}

fn regions(deployment: &mut Table, names: &Value) -> Result<(), Misfit> {
    let names = list("regions", names)?;
    if names.is_empty() || names.iter().any(|name| !name.is_str()) {
        return Err(odd("regions", "a list of names"));
    }
    for (place, zone) in entries(deployment, "zones")?.iter_mut().enumerate() {
        let zone = zone
            .as_table_mut()
            .ok_or_else(|| odd("zones", "tables in the deployment"))?;
        zone.extend(nth(names, place).map(|name| ("region".to_owned(), name.clone())));
    }
    Ok(())
}

fn machines(deployment: &mut Table, change: &Table) -> Result<(), Misfit> {
    let class = change
        .get("class")
        .and_then(Value::as_str)
        .ok_or_else(|| odd("machines.class", "a text"))?;
    let zones: Vec<Value> = entries(deployment, "zones")?
        .iter()
        .filter_map(|zone| zone.get("name"))
        .cloned()
        .collect();
    let mut met = false;
    for entry in entries(deployment, "machines")? {
        let entry = entry
            .as_table_mut()
            .ok_or_else(|| odd("machines", "tables in the deployment"))?;
        if entry.get("class").and_then(Value::as_str) != Some(class) {
            continue;
        }
        met = true;
        let place = zones
            .iter()
            .position(|zone| entry.get("zone") == Some(zone))
            .unwrap_or(0);
        for (key, value) in change {
            match key.as_str() {
                "class" => {}
                "count" | "spare" => {
                    let counts = list(&format!("machines.{key}"), value)?;
                    let count = nth(counts, place).filter(|count| count.is_integer());
                    let count =
                        count.ok_or_else(|| odd(&format!("machines.{key}"), "whole numbers"))?;
                    entry.insert(key.clone(), count.clone());
                }
                "set" => merge(entry, table("machines.set", value)?),
                _ => {
                    return Err(Misfit::Unknown {
                        place: format!("machines.{key}"),
                    })
                }
            }
        }
    }
    met.then_some(()).ok_or_else(|| Misfit::NoSuchClass {
        class: class.to_owned(),
    })
}
