//! Settings of a node, read from an INI file and validated as a whole.
//!
//! All mistakes of a file are reported together, each with its place and a result code. No error
//! holds a value from the file, since a value in the wrong place may be a secret.
//!
//! | section | key | meaning | default |
//! |---|---|---|---|
//! | `node` | `name` | name of the node, unique in the fleet | required |
//! | `node` | `domain` | failure domain of the instance | required |
//! | `node` | `threads` | threads that serve calls | 2 |
//! | `node` | `service` | service of the upstream on the instance, told to other upstreams | none |
//! | `node` | `stop_within` | time in which a graceful stop has to end | 610s |
//! | `caller` | `listen` | address for callers | required |
//! | `caller` | `max_connections` | connections of callers at the same time | 4096 |
//! | `caller` | `max_head` | longest head of a request | 16KB |
//! | `caller` | `max_body` | longest body of a request | 64MB |
//! | `caller` | `idle_timeout` | time after which an idle connection is closed | 60s |
//! | `peer` | `listen` | address for other nodes | required |
//! | `peer` | `advertise` | address that other nodes connect to | `listen` |
//! | `upstream` | `listen` | address for announcements | 127.0.0.1:7071 |
//! | `upstream` | `ttl` | time without announcements after which an endpoint is gone | 3s |
//! | `upstream` | `spare_retries` | retries of a service in 10 s beside the share of a route | 20 |
//! | `status` | `ready` | address that answers whether the node takes callers | none |
//! | `status` | `metrics` | address that serves the metrics to everybody | none |
//! | `operator` | `listen` | address of the operator port | 127.0.0.1:7072 |
//! | `operator` | `credential` | credential of operators | required |
//! | `platform` | `url` | URL of the platform | required |
//! | `platform` | `interface` | `native`, or `platform` for that of the users' platform | native |
//! | `fleet` | `secret` | secret that nodes prove to each other | required |
//! | `fleet` | `seeds` | peer addresses to ask for the configuration while the platform is away | none |
//! | `log` | `level` | error, warn, info, debug or trace | info |

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
use reader::Reader;
pub use values::{ByteSize, Interface, LogLevel, Secret};

/// Largest settings file.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Largest number of connections that may be allowed.
const MAX_CONNECTIONS: u32 = 1_000_000;

/// Longest head that may be allowed; a head is held in memory as a whole.
const MAX_HEAD: ByteSize = ByteSize(1 << 20);

/// Longest body that may be allowed.
const MAX_BODY: ByteSize = ByteSize(1 << 30);

/// Longest idle timeout.
const MAX_IDLE: Duration = Duration::from_secs(3600);

/// Most retries of a service beside the share of a route.
const MAX_SPARE_RETRIES: u32 = 100_000;

/// Most threads that serve calls.
const MAX_THREADS: usize = 64;

const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:7070";

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The node itself.
    pub node: NodeSettings,
    /// Connections of callers.
    pub caller: CallerSettings,
    /// Links to other nodes.
    pub peer: PeerSettings,
    /// Announcements of upstreams.
    pub upstream: UpstreamSettings,
    /// Addresses that tell about the node.
    pub status: StatusSettings,
    /// The operator port.
    pub operator: OperatorSettings,
    /// URL of the platform.
    pub platform_url: Box<str>,
    /// How callers, upstreams and operators speak to the node.
    pub interface: Interface,
    /// Secret that nodes prove to each other.
    pub fleet_secret: Secret,
    /// Peer addresses of nodes that a starting node asks for the configuration while the platform
    /// is away.
    pub fleet_seeds: Vec<SocketAddr>,
    /// Lowest level that is logged.
    pub log_level: LogLevel,
}

/// Section `[node]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name, unique in the fleet.
    pub name: NodeName,
    /// Failure domain of the instance.
    pub domain: FailureDomain,
    /// Threads that serve calls.
    pub threads: usize,
    /// Service of the upstream on the instance.
    pub service: Option<ServiceName>,
    /// Time in which a graceful stop has to end.
    pub stop_within: Duration,
}

/// Section `[caller]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Connections at the same time.
    pub max_connections: u32,
    /// Longest head of a request.
    pub max_head: ByteSize,
    /// Longest body of a request.
    pub max_body: ByteSize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Section `[peer]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that other nodes connect to. Port 0 stands for the port that was bound.
    pub advertise: SocketAddr,
}

/// Section `[upstream]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Address for announcements.
    pub listen: SocketAddr,
    /// Time without announcements after which an endpoint is gone.
    pub ttl: Duration,
    /// Retries that all endpoints of a service together may get in 10 s beside the share of a route.
    pub spare_retries: u32,
}

/// Section `[status]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusSettings {
    /// Answers whether the node takes callers.
    pub ready: Option<SocketAddr>,
    /// Serves the metrics to everybody.
    pub metrics: Option<SocketAddr>,
}

/// Section `[operator]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Address to listen on, which is also published in the node record.
    pub listen: SocketAddr,
    /// Credential of operators.
    pub credential: Secret,
}

impl Settings {
    /// Reads and validates a file. Returns every mistake, with result codes 4001 to 4006.
    pub fn load(path: &Path) -> Result<Settings, Mistakes> {
        let file = path.display().to_string();
        match read_file(path) {
            Ok(text) => Settings::parse(&file, &text),
            Err(reason) => Err(Mistakes::unreadable(&file, reason)),
        }
    }

    /// Validates the text of a file; `file` is its name in errors.
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
        let mut reader = Reader::new(file, text);
        let settings = read_settings(&mut reader);
        match (settings, reader.finish()) {
            (Some(settings), None) => Ok(settings),
            (_, Some(mistakes)) => Err(mistakes),
            (None, None) => unreachable!("a setting is left out only together with a mistake"),
        }
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    let file = File::open(path).map_err(|err| err.to_string())?;
    let mut text = String::new();
    let limited = &mut file.take(MAX_FILE_BYTES + 1);
    limited.read_to_string(&mut text).map_err(|err| err.to_string())?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(format!("larger than {MAX_FILE_BYTES} bytes"));
    }
    Ok(text)
}

/// Reads every setting before it returns, so that all mistakes are found.
fn read_settings(reader: &mut Reader) -> Option<Settings> {
    let name = reader.required("node", "name", "a name of a-z, A-Z, 0-9, '-', '_' and '.'", id);
    let domain = reader.required("node", "domain", "a name like mid-a", id);
    let threads = reader.optional("node", "threads", "a number from 1 to 64", "2", |text| {
        text.parse().ok().filter(|n| (1..=MAX_THREADS).contains(n))
    });
    let service = reader.optional("node", "service", "the name of a service", "", optional(id));
    let stop = "a time from 1s to 3600s";
    let stop_within = reader.optional("node", "stop_within", stop, "610s", |text| {
        let valid = Duration::from_secs(1)..=MAX_IDLE;
        values::parse_duration(text).filter(|time| valid.contains(time))
    });
    let caller_listen = reader.required("caller", "listen", ADDRESS, address);
    let caller = read_caller(reader, caller_listen);
    let peer_listen = reader.required("peer", "listen", ADDRESS, address);
    let peer = read_peer(reader, peer_listen);
    let upstream = reader.optional("upstream", "listen", ADDRESS, "127.0.0.1:7071", address);
    let ttl = reader.optional("upstream", "ttl", "a time from 1s to 3600s", "3s", |text| {
        let valid = Duration::from_secs(1)..=MAX_IDLE;
        values::parse_duration(text).filter(|time| valid.contains(time))
    });
    let numbers = "a number from 0 to 100000";
    let spare_retries = reader.optional("upstream", "spare_retries", numbers, "20", |text| {
        text.parse().ok().filter(|number| *number <= MAX_SPARE_RETRIES)
    });
    let ready = reader.optional("status", "ready", ADDRESS, "", optional(address));
    let metrics = reader.optional("status", "metrics", ADDRESS, "", optional(address));
    // The address is published in the node record, where an unspecified address has no meaning.
    let specific = "a specific IP address and port, such as 127.0.0.1:7072";
    let operator = reader.optional("operator", "listen", specific, "127.0.0.1:7072", |text| {
        address(text).filter(|addr| !addr.ip().is_unspecified())
    });
    let credential =
        reader.required("operator", "credential", values::SECRET_EXPECTED, Secret::parse);
    let url = reader.required("platform", "url", "a URL like http://10.0.0.1:7000", http_url);
    let interfaces = "native or platform";
    let interface =
        reader.optional("platform", "interface", interfaces, "native", Interface::parse);
    let secret = reader.required("fleet", "secret", values::SECRET_EXPECTED, Secret::parse);
    let addresses = "IP addresses and ports, separated by commas";
    let seeds = reader.optional("fleet", "seeds", addresses, "", |text| {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(address).collect::<Option<Vec<SocketAddr>>>()
    });
    let levels = "error, warn, info, debug or trace";
    let level = reader.optional("log", "level", levels, "info", LogLevel::parse);
    reader.check_distinct_listeners(&[
        ("caller", caller_listen),
        ("peer", peer_listen),
        ("upstream", upstream),
        ("operator", operator),
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
        upstream: UpstreamSettings { listen: upstream?, ttl: ttl?, spare_retries: spare_retries? },
        status: StatusSettings { ready: ready?, metrics: metrics? },
        operator: OperatorSettings { listen: operator?, credential: credential? },
        platform_url: url?,
        interface: interface?,
        fleet_secret: secret?,
        fleet_seeds: seeds?,
        log_level: level?,
    })
}

fn read_caller(reader: &mut Reader, listen: Option<SocketAddr>) -> Option<CallerSettings> {
    let connections = "a number from 1 to 1000000";
    let max_connections =
        reader.optional("caller", "max_connections", connections, "4096", |text| {
            text.parse().ok().filter(|n| (1..=MAX_CONNECTIONS).contains(n))
        });
    let head = "a size from 1KB to 1MB";
    let max_head = reader.optional("caller", "max_head", head, "16KB", |text| {
        ByteSize::parse(text).filter(|size| (ByteSize(1024)..=MAX_HEAD).contains(size))
    });
    let body = "a size from 1B to 1GB";
    let max_body = reader.optional("caller", "max_body", body, "64MB", |text| {
        ByteSize::parse(text).filter(|size| (ByteSize(1)..=MAX_BODY).contains(size))
    });
    let idle = "a time from 100ms to 3600s";
    let idle_timeout = reader.optional("caller", "idle_timeout", idle, "60s", |text| {
        let valid = Duration::from_millis(100)..=MAX_IDLE;
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

fn read_peer(reader: &mut Reader, listen: Option<SocketAddr>) -> Option<PeerSettings> {
    let specific = "a specific IP address and port that other nodes can reach";
    let specific_address = |text: &str| address(text).filter(|addr| !addr.ip().is_unspecified());
    if reader.has("peer", "advertise") {
        let advertise = reader.required("peer", "advertise", specific, specific_address);
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

fn id<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Reads a value that may be empty.
fn optional<T>(read: impl Fn(&str) -> Option<T>) -> impl Fn(&str) -> Option<Option<T>> {
    move |text| if text.is_empty() { Some(None) } else { read(text).map(Some) }
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn http_url(text: &str) -> Option<Box<str>> {
    let rest = text.strip_prefix("http://")?;
    let host = rest.strip_suffix('/').unwrap_or(rest);
    let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b':' | b'[' | b']');
    let has_name = host.bytes().any(|b| b.is_ascii_alphanumeric()) && !host.starts_with(':');
    (has_name && host.bytes().all(valid)).then(|| format!("http://{host}").into())
}
