//! The settings file of a node: what the platform tells a machine of itself, of the network and of the rules in force.
//!
//! Fields are read by name. Whatever else stands in the file, in any table, is skipped; absent fields have defaults; a known
//! field that is malformed is an error.

use crate::diagnostic::Diagnostic;
use crate::settings_reader::{parse_table, SettingsReader};
use crate::Micros;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

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
    /// Where this machine listens.
    pub listen_addresses: ListenAddresses,
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

/// Where a machine listens; none for what it does not serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For clients.
    pub front: Option<SocketAddrV4>,
    /// For questions whether it is ready.
    pub ready: Option<SocketAddrV4>,
    /// For operators.
    pub control: Option<SocketAddrV4>,
}

impl ListenAddresses {
    /// Returns those that there are, with their names in the file.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, SocketAddrV4)> {
        let all = [
            ("control", self.control),
            ("front", self.front),
            ("ready", self.ready),
        ];
        all.into_iter()
            .filter_map(|(name, address)| Some((name, address?)))
    }
}

/// A settings file that was parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSettings {
    /// What it says.
    pub settings: NodeSettings,
    /// The paths of what was skipped: tables and fields that are unknown, and entries of lists that can't be read.
    pub skipped: Vec<String>,
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

impl NodeSettings {
    /// Parses a settings file.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub fn parse(text: &str) -> Result<NodeSettings, Vec<Diagnostic>> {
        NodeSettings::parse_naming_skipped(text).map(|parsed| parsed.settings)
    }

    /// Parses a settings file, and names what is skipped.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub fn parse_naming_skipped(text: &str) -> Result<ParsedSettings, Vec<Diagnostic>> {
        let root = parse_table(text).map_err(|diagnostic| vec![diagnostic])?;
        let mut reader = SettingsReader::new(&root);
        let settings = NodeSettings::read(&mut reader);
        let skipped = reader.finish()?;
        Ok(ParsedSettings { settings, skipped })
    }

    fn read(reader: &mut SettingsReader<'_>) -> NodeSettings {
        let mut own = reader.table("self");
        let (node, machine_class) = (own.text("node"), own.text("machine_class"));
        let (zone, region) = (own.text("zone"), own.text("region"));
        let first_run = own.flag("first_run", false);
        let ip = own.ip("ip");
        let store_dir = own.optional_text("store_dir");

        let mut limits = reader.table("self.allowances");
        let memory_mb = limits.number("memory_mb", 256.0) as u64;
        let max_descriptors = limits.number("file_handles", 1024.0) as u64;
        let disk_mb = limits.number("disk_mb", 0.0) as u64;

        let mut network = reader.table("network");
        let agent_ports = network.ports("inner_ports");
        let controller_seeds = network.addresses("seed_depots");
        let listen_addresses = ListenAddresses::read(reader);
        // The names there are the platform's own: each text is a zone's region.
        let zones = reader.table("network.zones").texts();
        let platform = PlatformApi::read(reader);

        let mut tolerated = reader.table("provisions.withstand");
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
            guarantees: Guarantees::read(reader),
        }
    }
}

impl ListenAddresses {
    fn read(reader: &mut SettingsReader<'_>) -> ListenAddresses {
        let mut posts = reader.table("network.posts");
        ListenAddresses {
            front: posts.address("front"),
            ready: posts.address("ready"),
            control: posts.address("control"),
        }
    }
}

impl PlatformApi {
    fn read(reader: &mut SettingsReader<'_>) -> PlatformApi {
        let mut api = reader.table("carrier.carrier_api");
        PlatformApi {
            address: api.address("address"),
            calls_per_second: api.number("per_s", 10.0),
            lag: api.duration("lag", "1s"),
        }
    }
}

impl Guarantees {
    fn read(reader: &mut SettingsReader<'_>) -> Guarantees {
        let mut guarantees = reader.table("provisions.guarantees");
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
