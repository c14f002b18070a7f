//! Settings of a node, parsed from an INI file and validated as a whole.
//!
//! All errors in a file are reported together, each with its line and a result code. Errors contain
//! no value from the file other than a short number, because a misplaced value may be a secret.
//!
//! An empty value of a setting with a default counts as absent. Templates that are filled in by a
//! platform leave a value empty if the platform has none.
//!
//! | section | key | description | default |
//! |---|---|---|---|
//! | `node` | `name` | name of the node, unique in the fleet | required |
//! | `node` | `domain` | failure domain of the instance | required |
//! | `node` | `threads` | number of threads that serve calls | 2 |
//! | `node` | `service` | service of the upstream on the instance, sent to the upstreams it calls | none |
//! | `node` | `stop_within` | timeout of a graceful shutdown | 610s |
//! | `caller` | `listen` | listen address for callers | required |
//! | `caller` | `max_connections` | maximum number of concurrent caller connections | 4096 |
//! | `caller` | `max_head` | maximum size of a request head | 16KB |
//! | `caller` | `max_body` | maximum size of a request body | 64MB |
//! | `caller` | `idle_timeout` | time after which an idle connection is closed | 60s |
//! | `peer` | `listen` | listen address for other nodes | required |
//! | `peer` | `advertise` | address that other nodes connect to | `listen` |
//! | `upstream` | `listen` | listen address for announcements | 127.0.0.1:7071 |
//! | `upstream` | `ttl` | time without announcements after which an endpoint is removed | 3s |
//! | `upstream` | `spare_retries` | retries allowed per service and 10 s in addition to the retry budget of a route | 20 |
//! | `admission` | `overload_control` | `on`, `off`, or `auto` for what the contracts of the platform call for | auto |
//! | `routing` | `load_estimate` | how the load of endpoints is estimated: `latest` or `aged` | latest |
//! | `status` | `ready` | listen address of the readiness endpoint | none |
//! | `status` | `metrics` | listen address that serves metrics without authentication | none |
//! | `operator` | `listen` | listen address of the operator port | 127.0.0.1:7072 |
//! | `operator` | `credential` | credential of operators | required |
//! | `platform` | `url` | URL of the platform | required |
//! | `platform` | `interface` | `native`, or `platform` for the interface of the users' platform | native |
//! | `platform` | `contracts` | contracts of the platform in force, separated by commas | none |
//! | `platform` | `evacuate_within` | time in which an evacuation that the platform's operators begin has to be in effect; 0 counts as absent | evacuations of the platform are not followed |
//! | `fleet` | `secret` | shared secret that authenticates nodes to each other | required |
//! | `fleet` | `seeds` | peer addresses to fetch the configuration from while the platform is unreachable | none |
//! | `log` | `level` | minimum severity: error, warn, info, debug or trace | info |

mod mistake;
mod reader;
mod values;

use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

pub use mistake::{Mistake, Mistakes};
use model::{FailureDomain, NodeName, ResultCode, ServiceName};
use reader::SettingsReader;
pub use values::{ByteSize, Interface, LoadEstimate, LogLevel, Secret, Switch};

const MAX_FILE_BYTES: u64 = 1 << 20;

/// Upper limit of `caller.max_connections`.
const MAX_CONNECTIONS: u32 = 1_000_000;

/// Upper limit of `caller.max_head`. A head is buffered in memory as a whole.
const MAX_HEAD_SIZE: ByteSize = ByteSize(1 << 20);

/// Upper limit of `caller.max_body`.
const MAX_BODY_SIZE: ByteSize = ByteSize(1 << 30);

/// Upper limit of all settings that are a duration.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Lower limit of `node.stop_within`. Platforms express their grace time in fractions of a second.
const MIN_STOP_TIMEOUT: Duration = Duration::from_millis(1);

/// Upper limit of `upstream.spare_retries`. Larger values are valid and are reduced to it.
const MAX_SPARE_RETRIES: u32 = 1_000_000_000;

/// Upper limit of `node.threads`.
const MAX_THREADS: usize = 64;

const ADDRESS_EXPECTED: &str = "an IP address and port, such as 127.0.0.1:7070";

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Identity and runtime of the node.
    pub node: NodeSettings,
    /// Listener for callers.
    pub caller: CallerSettings,
    /// Listener for other nodes.
    pub peer: PeerSettings,
    /// Announcements and retries of upstreams.
    pub upstream: UpstreamSettings,
    /// Section `[admission]`.
    pub admission: AdmissionSettings,
    /// Choice of endpoints.
    pub routing: RoutingSettings,
    /// Listeners for monitoring.
    pub status: StatusSettings,
    /// Operator port.
    pub operator: OperatorSettings,
    /// Base URL of the platform.
    pub platform_url: Box<str>,
    /// Interface for callers, upstreams and operators.
    pub interface: Interface,
    /// Contracts of the platform that are in force, in its own words.
    pub platform_contracts: Vec<Box<str>>,
    /// Time in which an evacuation of a failure domain has to be in effect. Evacuations of the platform
    /// are not followed if it is absent.
    pub evacuate_within: Option<Duration>,
    /// Shared secret that authenticates nodes to each other.
    pub fleet_secret: Secret,
    /// Peer addresses that a starting node fetches the configuration from while the platform is
    /// unreachable.
    pub fleet_seeds: Vec<SocketAddr>,
    /// Minimum severity of logged messages.
    pub log_level: LogLevel,
}

/// Section `[node]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the node, unique in the fleet.
    pub name: NodeName,
    /// Failure domain of the instance.
    pub domain: FailureDomain,
    /// Number of threads that serve calls.
    pub threads: usize,
    /// Service of the upstream on the instance, sent to the upstreams it calls.
    pub service: Option<ServiceName>,
    /// Timeout of a graceful shutdown.
    pub stop_within: Duration,
}

/// Section `[caller]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerSettings {
    /// Listen address.
    pub listen: SocketAddr,
    /// Maximum number of concurrent connections.
    pub max_connections: u32,
    /// Maximum size of a request head.
    pub max_head: ByteSize,
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Section `[peer]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerSettings {
    /// Listen address.
    pub listen: SocketAddr,
    /// Address that other nodes connect to. Port 0 is replaced by the port that was bound.
    pub advertise: SocketAddr,
}

/// Section `[upstream]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Listen address for announcements.
    pub listen: SocketAddr,
    /// Time without announcements after which an endpoint is removed.
    pub ttl: Duration,
    /// Retries that all endpoints of a service together accept within 10 s in addition to the retry
    /// budget of the route.
    pub spare_retries: u32,
}

/// Section `[admission]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Whether calls that are not expected to get a slot in time are refused at once.
    pub overload_control: Switch,
}

/// Section `[routing]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoutingSettings {
    /// How the load of endpoints is estimated.
    pub load_estimate: LoadEstimate,
}

/// Section `[status]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusSettings {
    /// Listen address of the readiness endpoint, which tells whether the node accepts callers.
    pub ready: Option<SocketAddr>,
    /// Listen address that serves metrics without authentication.
    pub metrics: Option<SocketAddr>,
}

/// Section `[operator]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Listen address, also published in the node record.
    pub listen: SocketAddr,
    /// Credential that operators authenticate with.
    pub credential: Secret,
}

impl Settings {
    /// Reads and validates a settings file. On failure, returns all errors, with result codes 4001
    /// to 4006.
    pub fn load(path: &Path) -> Result<Settings, Mistakes> {
        let file = path.display().to_string();
        match read_file(path) {
            Ok(text) => Settings::parse(&file, &text),
            Err(reason) => Err(Mistakes::unreadable(&file, reason)),
        }
    }

    /// Parses and validates the text of a settings file. `file` is the file name shown in errors.
    ///
    /// ```
    /// let text = "
    /// [node]
    /// name = node-1
    /// domain = mid-a
    /// [caller]
    /// listen = 127.0.0.1:8080
    /// [peer]
    /// listen = 127.0.0.1:7070
    /// [operator]
    /// credential = 0123456789abcdef
    /// [platform]
    /// url = http://127.0.0.1:7000
    /// [fleet]
    /// secret = fedcba9876543210
    /// ";
    /// let settings = settings::Settings::parse("node.ini", text).unwrap();
    /// assert_eq!(settings.node.name.as_str(), "node-1");
    /// assert!(!format!("{settings:?}").contains("fedcba"));
    ///
    /// let mistakes = settings::Settings::parse("node.ini", "[node]\nnmae = a\n").unwrap_err();
    /// assert_eq!(mistakes.iter().next().unwrap().code.number(), 4001);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Settings, Mistakes> {
        let mut reader = SettingsReader::new(file, text);
        let settings = read_settings(&mut reader);
        match (settings, reader.finish()) {
            (Some(settings), None) => Ok(settings),
            (_, Some(mistakes)) => Err(mistakes),
            (None, None) => {
                unreachable!("a setting is `None` only if an error was reported for it")
            }
        }
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    let file = File::open(path).map_err(|err| err.to_string())?;
    let mut text = String::new();
    // Reads one byte beyond the limit, to tell a file that is too large from one of the maximum
    // size.
    let limited = &mut file.take(MAX_FILE_BYTES + 1);
    limited.read_to_string(&mut text).map_err(|err| err.to_string())?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(format!("larger than {MAX_FILE_BYTES} bytes"));
    }
    Ok(text)
}

/// Reads all settings before it returns, so that all errors are reported.
fn read_settings(reader: &mut SettingsReader) -> Option<Settings> {
    let name =
        reader.required("node", "name", "a name of a-z, A-Z, 0-9, '-', '_' and '.'", from_str);
    let domain = reader.required("node", "domain", "a name like mid-a", from_str);
    let threads = reader.with_default("node", "threads", "a number from 1 to 64", "2", |text| {
        text.parse().ok().filter(|n| (1..=MAX_THREADS).contains(n))
    });
    let service = reader.with_default(
        "node",
        "service",
        "the name of a service",
        "",
        empty_as_none(from_str),
    );
    let stop_expected = "a time from 1ms to 86400s";
    let stop_within = reader.with_default("node", "stop_within", stop_expected, "610s", |text| {
        let valid = MIN_STOP_TIMEOUT..=MAX_DURATION;
        values::parse_duration(text).filter(|time| valid.contains(time))
    });
    let caller_listen = reader.required("caller", "listen", ADDRESS_EXPECTED, address);
    let caller = read_caller(reader, caller_listen);
    let peer_listen = reader.required("peer", "listen", ADDRESS_EXPECTED, address);
    let peer = read_peer(reader, peer_listen);
    let upstream_listen =
        reader.with_default("upstream", "listen", ADDRESS_EXPECTED, "127.0.0.1:7071", address);
    let ttl = reader.with_default("upstream", "ttl", "a time from 1s to 86400s", "3s", |text| {
        let valid = Duration::from_secs(1)..=MAX_DURATION;
        values::parse_duration(text).filter(|time| valid.contains(time))
    });
    let retries_expected = "a number of 0 or more";
    let spare_retries =
        reader.with_default("upstream", "spare_retries", retries_expected, "20", |text| {
            values::parse_count(text).map(|number| number.min(MAX_SPARE_RETRIES))
        });
    let estimate_expected = "latest or aged";
    let load_estimate = reader.with_default(
        "routing",
        "load_estimate",
        estimate_expected,
        "latest",
        LoadEstimate::parse,
    );
    let ready =
        reader.with_default("status", "ready", ADDRESS_EXPECTED, "", empty_as_none(address));
    let metrics =
        reader.with_default("status", "metrics", ADDRESS_EXPECTED, "", empty_as_none(address));
    // The address is published in the node record, so an unspecified address would be useless
    // there.
    let operator_expected = "a specific IP address and port, such as 127.0.0.1:7072";
    let operator_listen =
        reader.with_default("operator", "listen", operator_expected, "127.0.0.1:7072", |text| {
            address(text).filter(|addr| !addr.ip().is_unspecified())
        });
    let credential =
        reader.required("operator", "credential", values::SECRET_EXPECTED, Secret::parse);
    let url = reader.required("platform", "url", "a URL like http://10.0.0.1:7000", http_url);
    let interface_expected = "native or platform";
    let interface = reader.with_default(
        "platform",
        "interface",
        interface_expected,
        "native",
        Interface::parse,
    );
    let contracts_expected = "names separated by commas";
    let contracts = reader.with_default("platform", "contracts", contracts_expected, "", |text| {
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        Some(names.map(Box::from).collect::<Vec<Box<str>>>())
    });
    let overload_control = reader.with_default(
        "admission",
        "overload_control",
        "on, off or auto",
        "auto",
        Switch::parse,
    );
    let evacuate_expected = "a time such as 5s";
    let evacuate_within =
        reader.with_default("platform", "evacuate_within", evacuate_expected, "", |text| {
            if text.is_empty() {
                return Some(None);
            }
            let bound = values::parse_duration(text)?.min(MAX_DURATION);
            Some(Some(bound).filter(|bound| !bound.is_zero()))
        });
    let secret = reader.required("fleet", "secret", values::SECRET_EXPECTED, Secret::parse);
    let seeds_expected = "IP addresses and ports, separated by commas";
    let seeds = reader.with_default("fleet", "seeds", seeds_expected, "", |text| {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(address).collect::<Option<Vec<SocketAddr>>>()
    });
    let level_expected = "error, warn, info, debug or trace";
    let level = reader.with_default("log", "level", level_expected, "info", LogLevel::parse);
    reader.check_distinct_listeners(&[
        ("caller", caller_listen),
        ("peer", peer_listen),
        ("upstream", upstream_listen),
        ("operator", operator_listen),
        ("status", ready.flatten()),
        ("status", metrics.flatten()),
    ]);
    Some(Settings {
        node: NodeSettings {
            name: name?,
            domain: domain?,
            threads: threads?,
            service: service?,
            stop_within: stop_within?,
        },
        caller: caller?,
        peer: peer?,
        upstream: UpstreamSettings {
            listen: upstream_listen?,
            ttl: ttl?,
            spare_retries: spare_retries?,
        },
        admission: AdmissionSettings { overload_control: overload_control? },
        routing: RoutingSettings { load_estimate: load_estimate? },
        status: StatusSettings { ready: ready?, metrics: metrics? },
        operator: OperatorSettings { listen: operator_listen?, credential: credential? },
        platform_url: url?,
        interface: interface?,
        platform_contracts: contracts?,
        evacuate_within: evacuate_within?,
        fleet_secret: secret?,
        fleet_seeds: seeds?,
        log_level: level?,
    })
}

fn read_caller(reader: &mut SettingsReader, listen: Option<SocketAddr>) -> Option<CallerSettings> {
    let connections_expected = "a number from 1 to 1000000";
    let max_connections =
        reader.with_default("caller", "max_connections", connections_expected, "4096", |text| {
            text.parse().ok().filter(|n| (1..=MAX_CONNECTIONS).contains(n))
        });
    let head_expected = "a size from 1KB to 1MB";
    let max_head = reader.with_default("caller", "max_head", head_expected, "16KB", |text| {
        ByteSize::parse(text).filter(|size| (ByteSize(1024)..=MAX_HEAD_SIZE).contains(size))
    });
    let body_expected = "a size from 1B to 1GB";
    let max_body = reader.with_default("caller", "max_body", body_expected, "64MB", |text| {
        ByteSize::parse(text).filter(|size| (ByteSize(1)..=MAX_BODY_SIZE).contains(size))
    });
    let idle_expected = "a time from 100ms to 86400s";
    let idle_timeout =
        reader.with_default("caller", "idle_timeout", idle_expected, "60s", |text| {
            let valid = Duration::from_millis(100)..=MAX_DURATION;
            values::parse_duration(text).filter(|time| valid.contains(time))
        });
    Some(CallerSettings {
        listen: listen?,
        max_connections: max_connections?,
        max_head: max_head?,
        max_body: max_body?,
        idle_timeout: idle_timeout?,
    })
}

fn read_peer(reader: &mut SettingsReader, listen: Option<SocketAddr>) -> Option<PeerSettings> {
    let expected = "a specific IP address and port that other nodes can reach";
    let specific_address = |text: &str| address(text).filter(|addr| !addr.ip().is_unspecified());
    if reader.contains("peer", "advertise") {
        let advertise = reader.required("peer", "advertise", expected, specific_address);
        return Some(PeerSettings { listen: listen?, advertise: advertise? });
    }
    let listen = listen?;
    if listen.ip().is_unspecified() {
        let detail = "needed because the listen address does not name one interface";
        reader.report(None, "peer", "advertise", ResultCode::SettingMissing, detail);
        return None;
    }
    Some(PeerSettings { listen, advertise: listen })
}

fn from_str<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Wraps a parser so that an empty value is parsed as `None`.
fn empty_as_none<T>(parse: impl Fn(&str) -> Option<T>) -> impl Fn(&str) -> Option<Option<T>> {
    move |text| if text.is_empty() { Some(None) } else { parse(text).map(Some) }
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn http_url(text: &str) -> Option<Box<str>> {
    let rest = text.strip_prefix("http://")?;
    let host = rest.strip_suffix('/').unwrap_or(rest);
    let is_allowed =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b':' | b'[' | b']');
    let has_host_name = host.bytes().any(|b| b.is_ascii_alphanumeric()) && !host.starts_with(':');
    (has_host_name && host.bytes().all(is_allowed)).then(|| format!("http://{host}").into())
}
