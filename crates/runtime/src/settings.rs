//! The settings file of a process.
//!
//! Unknown fields are ignored; optional fields that are absent or null take their defaults.

mod deserialize;
mod error;
mod revision_term;
mod sections;
mod time_limits;
mod validation;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_norway::Value;
use snafu::{OptionExt, ResultExt, ensure};

use error::{InvalidSnafu, NoPathSnafu, NotYamlSnafu, UnreadableSnafu};

pub use error::{Finding, SettingsError};
pub use revision_term::RevisionTerm;
pub use sections::{Caps, CloudApi, ListenOn, PortRange, Role, Withstand};
pub use time_limits::TimeLimits;

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "TULIPRIDGE_SETTINGS";

// Offsets of the internal ports from the first of `sparePorts`. All processes of the system have to use the same.
const CONTROL_PORT_OFFSET: u16 = 0;
const FEED_PORT_OFFSET: u16 = 1;
const PEER_SAMPLING_PORT_OFFSET: u16 = 2;
const LOOPBACK_FEED_PORT_OFFSET: u16 = 3;

/// The settings of a process: the top level of the settings file, hence the many fields. The platform defines the names
/// of the fields.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Name of the job in the deployment.
    pub job: String,
    /// Class of the machine.
    pub machine_type: String,
    /// The parties outside the system that the machine serves.
    pub handles_role: Vec<Role>,
    /// Address of the machine.
    pub ip_address: Ipv4Addr,
    /// Zone of the machine.
    pub area: String,
    /// Region of the machine.
    pub site: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Listen addresses, which depend on the role.
    pub listen_on: ListenOn,
    /// Ports for traffic inside the system.
    pub spare_ports: PortRange,
    /// Addresses of some members of the control plane, from which a process finds the others.
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, with empty disks.
    pub first_boot: bool,
    /// Whether the loss of this machine counts against `withstand`.
    pub loss_counts: bool,
    /// Resource limits of the process.
    pub caps: Caps,
    /// Data directory on the machine's disk; `None` on machines without a disk.
    pub data_folder: Option<PathBuf>,
    /// How replicas are discovered.
    pub finder: String,
    /// How clients reach the system.
    pub way_in: String,
    /// Time between heartbeats of replicas, in milliseconds.
    pub heartbeat_ms: u64,
    /// The platform's names of the rules that are in force.
    #[serde(rename = "promises")]
    pub rules_in_force: Vec<String>,
    /// Losses that the system has to tolerate without breaking a rule.
    pub withstand: Withstand,
    /// Durations and ratios of the rules.
    pub time_limits: TimeLimits,
    /// The platform's list service, which names the replicas.
    pub cloud_api: Option<CloudApi>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            node_name: String::new(),
            job: String::new(),
            machine_type: String::new(),
            handles_role: Vec::new(),
            ip_address: Ipv4Addr::UNSPECIFIED,
            area: String::new(),
            site: String::new(),
            zones: BTreeMap::new(),
            listen_on: ListenOn::default(),
            spare_ports: PortRange::default(),
            seed_nodes: Vec::new(),
            first_boot: false,
            loss_counts: false,
            caps: Caps::default(),
            data_folder: None,
            finder: String::new(),
            way_in: String::new(),
            heartbeat_ms: 1200,
            rules_in_force: Vec::new(),
            withstand: Withstand::default(),
            time_limits: TimeLimits::default(),
            cloud_api: None,
        }
    }
}

impl Settings {
    /// Reads the file that the environment variable [`PATH_VARIABLE`] names.
    ///
    /// # Errors
    /// [`SettingsError::NoPath`], and those of [`Settings::read`].
    pub fn load() -> Result<Self, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).context(NoPathSnafu { variable: PATH_VARIABLE })?;
        Self::read(Path::new(&path))
    }

    /// Reads a file.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`], and those of [`Settings::parse`].
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Parses settings and validates them.
    ///
    /// # Errors
    /// [`SettingsError::NotYaml`], or [`SettingsError::Invalid`] with all findings.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let document: Value = serde_norway::from_str(text).context(NotYamlSnafu)?;
        let document = validation::without_nulls(document);
        let Value::Mapping(fields) = &document else {
            let findings = vec![Finding::new("the document", "must be a mapping of fields")];
            return InvalidSnafu { findings }.fail();
        };
        let mut findings = validation::missing_fields(fields);
        let settings = match serde_path_to_error::deserialize::<_, Settings>(document) {
            Ok(settings) => settings,
            Err(error) => {
                findings.push(Finding::new(error.path().to_string(), error.inner().to_string()));
                return InvalidSnafu { findings }.fail();
            }
        };
        // The default of a missing field may be out of range; such a field is reported once, as missing.
        let mut out_of_range = validation::out_of_range_values(&settings);
        out_of_range.retain(|finding| findings.iter().all(|missing| missing.field != finding.field));
        findings.append(&mut out_of_range);
        ensure!(findings.is_empty(), InvalidSnafu { findings });
        Ok(settings)
    }

    /// The address where the control plane's member on machine `ip` accepts connections of other members (TCP).
    #[must_use]
    pub fn control_socket(&self, ip: Ipv4Addr) -> SocketAddr {
        self.spare_socket(ip, CONTROL_PORT_OFFSET)
    }

    /// The address where the control plane's member on machine `ip` publishes the feed (TCP).
    #[must_use]
    pub fn feed_socket(&self, ip: Ipv4Addr) -> SocketAddr {
        self.spare_socket(ip, FEED_PORT_OFFSET)
    }

    /// The address where the process on machine `ip` receives datagrams of peer sampling (UDP).
    #[must_use]
    pub fn peer_sampling_socket(&self, ip: Ipv4Addr) -> SocketAddr {
        self.spare_socket(ip, PEER_SAMPLING_PORT_OFFSET)
    }

    /// The address where the agent publishes the feed to the proxy beside it (TCP).
    #[must_use]
    pub fn loopback_feed(&self) -> SocketAddr {
        self.spare_socket(Ipv4Addr::LOCALHOST, LOOPBACK_FEED_PORT_OFFSET)
    }

    /// Addresses of the seeds' machines, in the order of the settings.
    #[must_use]
    pub fn seed_ips(&self) -> Vec<Ipv4Addr> {
        let ipv4 = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        };
        self.seed_nodes.iter().filter_map(ipv4).collect()
    }

    fn spare_socket(&self, ip: Ipv4Addr, offset: u16) -> SocketAddr {
        SocketAddrV4::new(ip, self.spare_ports.first + offset).into()
    }
}
