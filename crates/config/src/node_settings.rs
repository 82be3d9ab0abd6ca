//! The settings file of a node: what the platform tells a machine of itself, of the network and of the rules in force. Unknown
//! fields are skipped, and absent ones have defaults.

use crate::diagnostic::{child, quoted, Diagnostic};
use crate::{durations, Micros};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use toml::{Table, Value};

/// What a machine is told.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Its name.
    pub node: String,
    /// Its class (`counter` or `sorting`).
    pub machine_class: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Whether this is the first start of the whole system.
    pub first_run: bool,
    /// Where data may be stored; none on machines without a disk.
    pub store_dir: Option<String>,
    /// Its memory, in MB.
    pub memory_mb: u64,
    /// File descriptors that a process may have.
    pub max_descriptors: u64,
    /// Its disk, in MB.
    pub disk_mb: u64,
    /// First and last port that agents may use among themselves.
    pub agent_ports: (u16, u16),
    /// Where some of the controllers take operators' calls, as of when the file was written.
    pub controller_seeds: Vec<SocketAddrV4>,
    /// Where this machine listens, by what it serves there.
    pub listen_addresses: BTreeMap<String, SocketAddrV4>,
    /// Zones and their regions.
    pub zones: BTreeMap<String, String>,
    /// The platform's list of endpoints.
    pub platform: PlatformApi,
    /// How many machines may fail at once while all rules are kept.
    pub tolerated_machines: u64,
    /// How many zones and regions may, whatever is in them.
    pub tolerated_areas: u64,
    /// The figures of the rules.
    pub guarantees: Guarantees,
}

impl NodeSettings {
    /// Returns the controllers of `controller_seeds` at another port.
    pub fn controllers_at(&self, port: u16) -> Vec<SocketAddrV4> {
        let seeds = self.controller_seeds.iter();
        seeds
            .map(|seed| SocketAddrV4::new(*seed.ip(), port))
            .collect()
    }
}

/// The platform's list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformApi {
    /// Where it is.
    pub address: Option<SocketAddrV4>,
    /// Calls a second that it accepts from all agents together.
    pub calls_per_second: f64,
    /// How far the list is behind.
    pub lag: Micros,
}

/// The figures of the rules, under the names that they have in the settings file. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "the operators' pages define these figures")]
pub struct Guarantees {
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

/// Reads the fields of one table, and gathers all diagnostics, so that an operator sees them at once.
struct Fields<'a> {
    table: Option<&'a Table>,
    path: &'a str,
    diagnostics: &'a mut Vec<Diagnostic>,
}

impl<'a> Fields<'a> {
    /// The fields of the table at `path`, which joins its names by dots.
    fn of(root: &'a Table, path: &'a str, diagnostics: &'a mut Vec<Diagnostic>) -> Fields<'a> {
        let subtable = |table: &'a Table, name| table.get(name)?.as_table();
        let table = path.split('.').try_fold(root, subtable);
        Fields {
            table,
            path,
            diagnostics,
        }
    }

    fn report(&mut self, name: &str, found: Option<&Value>, expected: &str) {
        let found = found.map_or("nothing".to_owned(), shown);
        self.diagnostics
            .push(Diagnostic::new(child(self.path, name), found, expected));
    }

    fn get(&self, name: &str) -> Option<&'a Value> {
        self.table?.get(name)
    }

    fn entries(&self) -> impl Iterator<Item = (&'a String, &'a Value)> {
        self.table.into_iter().flatten()
    }

    fn text(&mut self, name: &str) -> String {
        match self.get(name) {
            Some(Value::String(text)) if !text.is_empty() => text.clone(),
            other => {
                self.report(name, other, "a text");
                String::new()
            }
        }
    }

    fn flag(&mut self, name: &str, default: bool) -> bool {
        match self.get(name) {
            None => default,
            Some(Value::Boolean(flag)) => *flag,
            other => {
                self.report(name, other, "true or false");
                default
            }
        }
    }

    fn number(&mut self, name: &str, default: f64) -> f64 {
        let value = match self.get(name) {
            None => return default,
            Some(Value::Integer(number)) => *number as f64,
            Some(Value::Float(number)) => *number,
            Some(_) => f64::NAN,
        };
        if value.is_finite() && value >= 0.0 {
            return value;
        }
        self.report(name, self.get(name), "a number of 0 or more");
        default
    }

    fn duration(&mut self, name: &str, default: &str) -> Micros {
        let default = durations::parse(default).unwrap_or(0);
        let Some(value) = self.get(name) else {
            return default;
        };
        value
            .as_str()
            .and_then(durations::parse)
            .unwrap_or_else(|| {
                self.report(name, Some(value), "a time such as 1500ms or 2.5s");
                default
            })
    }

    fn address(&mut self, name: &str, value: &Value) -> Option<SocketAddrV4> {
        let address = value.as_str().and_then(|text| text.parse().ok());
        if address.is_none() {
            self.report(
                name,
                Some(value),
                "an address and a port such as 10.0.0.4:8080",
            );
        }
        address
    }

    fn ip(&mut self, name: &str) -> Ipv4Addr {
        self.text(name).parse().unwrap_or_else(|_| {
            self.report(name, self.get(name), "an IPv4 address");
            Ipv4Addr::UNSPECIFIED
        })
    }

    /// A range of ports, from the first to the last.
    fn ports(&mut self, name: &str) -> (u16, u16) {
        let value = self.get(name);
        if let Some([Value::Integer(first), Value::Integer(last)]) =
            value.and_then(Value::as_array).map(Vec::as_slice)
        {
            let port = |number: i64| u16::try_from(number).ok().filter(|port| *port > 0);
            if let (Some(first), Some(last)) = (port(*first), port(*last)) {
                if first <= last {
                    return (first, last);
                }
            }
        }
        self.report(name, value, "two ports, the first and the last");
        (0, 0)
    }

    fn addresses(&mut self, name: &str) -> Vec<SocketAddrV4> {
        let list = self
            .get(name)
            .and_then(Value::as_array)
            .cloned()
            .unwrap_or_default();
        list.iter()
            .filter_map(|value| self.address(name, value))
            .collect()
    }
}

/// Returns what a TOML value looks like in a diagnostic.
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

/// Parses TOML; a syntax error is reported with its line.
fn parse_table(text: &str) -> Result<Table, Diagnostic> {
    text.parse().map_err(|error: toml::de::Error| {
        let offset = error.span().map_or(0, |span| span.start.min(text.len()));
        let newlines = text.as_bytes()[..offset]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count();
        Diagnostic::new(format!("line {}", newlines + 1), error.message(), "TOML")
    })
}

impl NodeSettings {
    /// Parses a settings file.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub fn parse(text: &str) -> Result<NodeSettings, Vec<Diagnostic>> {
        let root = parse_table(text).map_err(|diagnostic| vec![diagnostic])?;
        let mut diagnostics = Vec::new();
        let settings = NodeSettings::from_table(&root, &mut diagnostics);
        if diagnostics.is_empty() {
            Ok(settings)
        } else {
            Err(diagnostics)
        }
    }

    fn from_table(root: &Table, diagnostics: &mut Vec<Diagnostic>) -> NodeSettings {
        let mut own = Fields::of(root, "self", diagnostics);
        let (node, machine_class) = (own.text("node"), own.text("machine_class"));
        let (zone, region) = (own.text("zone"), own.text("region"));
        let first_run = own.flag("first_run", false);
        let ip = own.ip("ip");
        let store_dir = own.get("store_dir").map(|_| own.text("store_dir"));

        let mut limits = Fields::of(root, "self.allowances", diagnostics);
        let memory_mb = limits.number("memory_mb", 256.0) as u64;
        let max_descriptors = limits.number("file_handles", 1024.0) as u64;
        let disk_mb = limits.number("disk_mb", 0.0) as u64;

        let mut network = Fields::of(root, "network", diagnostics);
        let agent_ports = network.ports("inner_ports");
        let controller_seeds = network.addresses("seed_depots");
        let listen_addresses = listen_addresses(root, diagnostics);
        let zones = zones(root, diagnostics);
        let platform = PlatformApi::from_table(root, diagnostics);

        let mut tolerated = Fields::of(root, "provisions.withstand", diagnostics);
        let tolerated_machines = tolerated.number("machines", 1.0) as u64;
        let tolerated_areas =
            (tolerated.number("zones", 0.0) + tolerated.number("regions", 0.0)) as u64;
        NodeSettings {
            node,
            machine_class,
            ip,
            zone,
            region,
            first_run,
            store_dir,
            memory_mb,
            max_descriptors,
            disk_mb,
            agent_ports,
            controller_seeds,
            listen_addresses,
            zones,
            platform,
            tolerated_machines,
            tolerated_areas,
            guarantees: Guarantees::from_table(root, diagnostics),
        }
    }
}

fn listen_addresses(
    root: &Table,
    diagnostics: &mut Vec<Diagnostic>,
) -> BTreeMap<String, SocketAddrV4> {
    let mut posts = Fields::of(root, "network.posts", diagnostics);
    let entries: Vec<_> = posts.entries().collect();
    let address =
        |(name, value): (&String, &Value)| Some((name.clone(), posts.address(name, value)?));
    entries.into_iter().filter_map(address).collect()
}

fn zones(root: &Table, diagnostics: &mut Vec<Diagnostic>) -> BTreeMap<String, String> {
    let zones = Fields::of(root, "network.zones", diagnostics);
    let region =
        |(zone, region): (&String, &Value)| Some((zone.clone(), region.as_str()?.to_owned()));
    zones.entries().filter_map(region).collect()
}

impl PlatformApi {
    fn from_table(root: &Table, diagnostics: &mut Vec<Diagnostic>) -> PlatformApi {
        let mut api = Fields::of(root, "carrier.carrier_api", diagnostics);
        PlatformApi {
            address: api
                .get("address")
                .and_then(|value| api.address("address", value)),
            calls_per_second: api.number("per_s", 10.0),
            lag: api.duration("lag", "1s"),
        }
    }
}

impl Guarantees {
    fn from_table(root: &Table, diagnostics: &mut Vec<Diagnostic>) -> Guarantees {
        let mut guarantees = Fields::of(root, "provisions.guarantees", diagnostics);
        Guarantees {
            seed_lag: guarantees.duration("seed_lag", "3s"),
            reuse_after: guarantees.duration("reuse_after", "2s"),
            contact: guarantees.duration("contact", "3s"),
            receipt: guarantees.duration("receipt", "5s"),
            catch_up: guarantees.duration("catch_up", "4s"),
            drain: guarantees.duration("drain", "2500ms"),
            grace: guarantees.duration("grace", "6s"),
            edition_time: guarantees.duration("edition_time", "2500ms"),
            outer: guarantees.duration("outer", "8s"),
            retry_ratio: guarantees.number("retry_ratio", 0.1),
            retry_window: guarantees.duration("retry_window", "10s"),
            retry_slack: guarantees.number("retry_slack", 10.0),
            expose_share: guarantees.number("expose_share", 0.05),
            expose_slack: guarantees.number("expose_slack", 10.0),
            recall: guarantees.duration("recall", "5s"),
        }
    }
}
