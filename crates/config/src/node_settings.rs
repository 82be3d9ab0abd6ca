//! The settings file: what the platform tells a machine of itself, of the network and of the rules in force.
//! Unknown fields are skipped; what is absent and has a sound default gets it.

use crate::place::{quoted, under, Complaint};
use crate::{durations, Micros};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use toml::{Table, Value};

/// What a machine is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    pub node: String,
    pub class: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    /// Whether this is the first start of the whole system.
    pub first_run: bool,
    /// Where data may be kept; none on machines without a disk.
    pub store: Option<String>,
    pub memory_mb: u64,
    pub descriptors: u64,
    pub disk_mb: u64,
    /// First and last port that agents may use among themselves.
    pub inner_ports: (u16, u16),
    /// Addresses at which some of the sorting machines are called, as of when the file was written.
    pub seeds: Vec<SocketAddrV4>,
    /// Addresses at which this machine serves, by what it serves.
    pub posts: BTreeMap<String, SocketAddrV4>,
    /// Zones and their regions.
    pub zones: BTreeMap<String, String>,
    pub carrier: Carrier,
    /// What may be lost at once while all rules are kept: machines.
    pub withstand: u64,
    /// The same: zones and regions, whatever stands in them.
    pub withstand_areas: u64,
    pub terms: Terms,
}

/// The platform's list of appliances.
#[derive(Clone, Debug, PartialEq)]
pub struct Carrier {
    pub address: Option<SocketAddrV4>,
    /// Calls a second that it takes from all agents together.
    pub per_s: f64,
    /// How far the list runs behind.
    pub lag: Micros,
}

/// Figures of the rules. Names are those of the settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub seed_lag: Micros,
    pub reuse_after: Micros,
    pub contact: Micros,
    pub receipt: Micros,
    pub catch_up: Micros,
    pub drain: Micros,
    pub grace: Micros,
    pub edition_time: Micros,
    pub outer: Micros,
    pub retry_ratio: f64,
    pub retry_window: Micros,
    pub retry_slack: f64,
    pub expose_share: f64,
    pub expose_slack: f64,
    pub recall: Micros,
}

/// Reads fields of one table and gathers all complaints, so that an operator sees them at once.
struct Fields<'a> {
    table: Option<&'a Table>,
    place: &'a str,
    wrong: &'a mut Vec<Complaint>,
}

impl<'a> Fields<'a> {
    fn complain(&mut self, name: &str, found: Option<&Value>, expected: &str) {
        let found = found.map_or("nothing".to_owned(), shown);
        self.wrong
            .push(Complaint::new(under(self.place, name), found, expected));
    }
    fn get(&self, name: &str) -> Option<&'a Value> {
        self.table?.get(name)
    }
    fn text(&mut self, name: &str) -> String {
        match self.get(name) {
            Some(Value::String(text)) if !text.is_empty() => text.clone(),
            other => {
                self.complain(name, other, "a text");
                String::new()
            }
        }
    }
    fn flag(&mut self, name: &str, otherwise: bool) -> bool {
        match self.get(name) {
            None => otherwise,
            Some(Value::Boolean(flag)) => *flag,
            other => {
                self.complain(name, other, "true or false");
                otherwise
            }
        }
    }
    fn number(&mut self, name: &str, otherwise: f64) -> f64 {
        let value = match self.get(name) {
            None => return otherwise,
            Some(Value::Integer(whole)) => *whole as f64,
            Some(Value::Float(number)) => *number,
            Some(_) => f64::NAN,
        };
        if value.is_finite() && value >= 0.0 {
            return value;
        }
        self.complain(name, self.get(name), "a number of 0 or more");
        otherwise
    }
    fn time(&mut self, name: &str, otherwise: &str) -> Micros {
        let otherwise = durations::read(otherwise).unwrap_or(0);
        match self.get(name) {
            None => otherwise,
            Some(value) => value.as_str().and_then(durations::read).unwrap_or_else(|| {
                self.complain(name, Some(value), "a time such as 1500ms or 2.5s");
                otherwise
            }),
        }
    }
    fn address(&mut self, name: &str, value: &Value) -> Option<SocketAddrV4> {
        let address = value.as_str().and_then(|text| text.parse().ok());
        if address.is_none() {
            self.complain(
                name,
                Some(value),
                "an address and a port such as 10.0.0.4:8080",
            );
        }
        address
    }
}

fn shown(value: &Value) -> String {
    match value {
        Value::String(text) => quoted(text),
        Value::Integer(number) => number.to_string(),
        Value::Float(number) => number.to_string(),
        Value::Boolean(flag) => flag.to_string(),
        Value::Datetime(time) => quoted(&time.to_string()),
        Value::Array(_) => "a list".into(),
        Value::Table(_) => "a table".into(),
    }
}

impl Machine {
    /// Reads a settings file. All that is wrong with it is returned at once.
    pub fn read(text: &str) -> Result<Machine, Vec<Complaint>> {
        let root: Table = match text.parse() {
            Ok(root) => root,
            Err(e) => {
                let at = e.span().map_or(0, |s| s.start.min(text.len()));
                let line = text.as_bytes()[..at]
                    .iter()
                    .filter(|b| **b == b'\n')
                    .count()
                    + 1;
                return Err(vec![Complaint::new(
                    format!("line {line}"),
                    e.message(),
                    "TOML",
                )]);
            }
        };
        let mut wrong = Vec::new();
        let part = |names: &[&str]| -> Option<&Table> {
            let mut table = &root;
            for name in names {
                table = table.get(*name)?.as_table()?;
            }
            Some(table)
        };

        let mut own = Fields {
            table: part(&["self"]),
            place: "self",
            wrong: &mut wrong,
        };
        let (node, class) = (own.text("node"), own.text("machine_class"));
        let (zone, region) = (own.text("zone"), own.text("region"));
        let first_run = own.flag("first_run", false);
        let ip = own.text("ip").parse().unwrap_or_else(|_| {
            own.complain("ip", own.get("ip"), "an IPv4 address");
            Ipv4Addr::UNSPECIFIED
        });
        let store = own.get("store_dir").map(|_| own.text("store_dir"));

        let table = part(&["self", "allowances"]);
        let mut bounds = Fields {
            table,
            place: "self.allowances",
            wrong: &mut wrong,
        };
        let memory_mb = bounds.number("memory_mb", 256.0) as u64;
        let descriptors = bounds.number("file_handles", 1024.0) as u64;
        let disk_mb = bounds.number("disk_mb", 0.0) as u64;

        let mut net = Fields {
            table: part(&["network"]),
            place: "network",
            wrong: &mut wrong,
        };
        let inner_ports = match net
            .get("inner_ports")
            .and_then(Value::as_array)
            .map(Vec::as_slice)
        {
            Some([Value::Integer(first), Value::Integer(last)])
                if (1..=65535).contains(first) && (first..=&65535).contains(&last) =>
            {
                (*first as u16, *last as u16)
            }
            _ => {
                net.complain(
                    "inner_ports",
                    net.get("inner_ports"),
                    "two ports, the first and the last",
                );
                (0, 0)
            }
        };
        let listed = net
            .get("seed_depots")
            .and_then(Value::as_array)
            .cloned()
            .unwrap_or_default();
        let seeds = listed
            .iter()
            .filter_map(|value| net.address("seed_depots", value))
            .collect();
        let table = part(&["network", "posts"]);
        let mut posts = Fields {
            table,
            place: "network.posts",
            wrong: &mut wrong,
        };
        let posts = table
            .into_iter()
            .flatten()
            .filter_map(|(name, value)| Some((name.clone(), posts.address(name, value)?)))
            .collect();
        let zones = part(&["network", "zones"])
            .into_iter()
            .flatten()
            .filter_map(|(zone, region)| Some((zone.clone(), region.as_str()?.to_owned())))
            .collect();

        let table = part(&["carrier", "carrier_api"]);
        let mut api = Fields {
            table,
            place: "carrier.carrier_api",
            wrong: &mut wrong,
        };
        let address = api
            .get("address")
            .and_then(|value| api.address("address", value));
        let carrier = Carrier {
            address,
            per_s: api.number("per_s", 10.0),
            lag: api.time("lag", "1s"),
        };

        let table = part(&["provisions", "withstand"]);
        let mut may = Fields {
            table,
            place: "provisions.withstand",
            wrong: &mut wrong,
        };
        let withstand = may.number("machines", 1.0) as u64;
        let withstand_areas = (may.number("zones", 0.0) + may.number("regions", 0.0)) as u64;
        let table = part(&["provisions", "guarantees"]);
        let mut told = Fields {
            table,
            place: "provisions.guarantees",
            wrong: &mut wrong,
        };
        let terms = Terms {
            seed_lag: told.time("seed_lag", "3s"),
            reuse_after: told.time("reuse_after", "2s"),
            contact: told.time("contact", "3s"),
            receipt: told.time("receipt", "5s"),
            catch_up: told.time("catch_up", "4s"),
            drain: told.time("drain", "2500ms"),
            grace: told.time("grace", "6s"),
            edition_time: told.time("edition_time", "2500ms"),
            outer: told.time("outer", "8s"),
            retry_ratio: told.number("retry_ratio", 0.1),
            retry_window: told.time("retry_window", "10s"),
            retry_slack: told.number("retry_slack", 10.0),
            expose_share: told.number("expose_share", 0.05),
            expose_slack: told.number("expose_slack", 10.0),
            recall: told.time("recall", "5s"),
        };
        let machine = Machine {
            node,
            class,
            ip,
            zone,
            region,
            first_run,
            store,
            memory_mb,
            descriptors,
            disk_mb,
            inner_ports,
            seeds,
            posts,
            zones,
            carrier,
            withstand,
            withstand_areas,
            terms,
        };
        if wrong.is_empty() {
            Ok(machine)
        } else {
            Err(wrong)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SOUND: &str = r#"
new_table = { anything = 1 }
[self]
node = "n-1"
machine_class = "counter"
ip = "10.1.0.13"
zone = "a"
region = "r"
first_run = true
[self.allowances]
memory_mb = 260
[network]
inner_ports = [7720,7735]
seed_depots = ["10.1.0.16:8166"]
[network.posts]
front = "10.1.0.13:8161"
[carrier.carrier_api]
address = "10.200.0.79:8169"
per_s = 47.0
lag = "800ms"
[provisions.guarantees]
drain = "2.5s"
retry_slack = 58
"#;

    /// Guards against a machine that does not start because the platform told it more, or less, than before.
    #[test]
    fn unknown_fields_are_skipped_and_absent_ones_have_defaults() {
        let machine = Machine::read(SOUND).expect("sound");
        assert_eq!(
            (machine.inner_ports, machine.memory_mb, machine.first_run),
            ((7720, 7735), 260, true)
        );
        assert_eq!(
            (machine.terms.drain, machine.terms.retry_slack),
            (2_500_000, 58.0)
        );
        assert_eq!(
            (machine.terms.grace, machine.store, machine.carrier.lag),
            (6_000_000, None, 800_000)
        );
        assert_eq!(
            machine.posts["front"],
            "10.1.0.13:8161".parse().expect("address")
        );
    }

    /// Guards against an operator who has to mend a file one complaint at a time.
    #[test]
    fn all_complaints_come_at_once_with_their_places() {
        let odd = SOUND
            .replace("\"2.5s\"", "\"soon\"")
            .replace("[7720,7735]", "[7735]")
            .replace("node = \"n-1\"", "");
        let wrong = Machine::read(&odd).expect_err("three things are wrong");
        let places: Vec<&str> = wrong.iter().map(|c| c.place.as_str()).collect();
        assert_eq!(
            places,
            [
                "self.node",
                "network.inner_ports",
                "provisions.guarantees.drain"
            ]
        );
        assert_eq!(
            wrong[2].to_string(),
            "provisions.guarantees.drain: found 'soon', expected a time such as 1500ms or 2.5s"
        );
        assert_eq!(
            Machine::read("[self").expect_err("no TOML")[0].place,
            "line 1"
        );
    }
}
