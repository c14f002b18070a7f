//! Value types of settings.

use std::fmt;
use std::time::Duration;

/// Minimum length of a secret. Shorter secrets are too easy to guess.
const MIN_SECRET_BYTES: usize = 16;

/// Maximum length of a secret, so that it fits into a header.
const MAX_SECRET_BYTES: usize = 256;

pub(crate) const SECRET_EXPECTED: &str = "16 to 256 visible ASCII characters without spaces";

/// A secret. `Debug` redacts it, and `Display` is not implemented.
///
/// ```
/// let secret = settings::Secret::parse("0123456789abcdef").unwrap();
/// assert_eq!(format!("{secret:?}"), "Secret(..)");
/// assert_eq!(secret.reveal(), "0123456789abcdef");
/// assert!(settings::Secret::parse("short").is_none());
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Parses a secret of 16 to 256 visible ASCII characters.
    pub fn parse(text: &str) -> Option<Secret> {
        let allowed_length = MIN_SECRET_BYTES..=MAX_SECRET_BYTES;
        let valid =
            allowed_length.contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        valid.then(|| Secret(text.into()))
    }

    /// Returns the secret in plain text.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Size in bytes.
///
/// ```
/// assert_eq!(settings::ByteSize::parse("16KB"), Some(settings::ByteSize(16384)));
/// assert_eq!(settings::ByteSize::parse("16"), Some(settings::ByteSize(16)));
/// assert_eq!(settings::ByteSize::parse("16 parsecs"), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// Parses a whole number with an optional unit: B, KB (1024 bytes), MB or GB.
    pub fn parse(text: &str) -> Option<ByteSize> {
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let factor: u64 = match unit.trim() {
            "" | "B" => 1,
            "KB" => 1 << 10,
            "MB" => 1 << 20,
            "GB" => 1 << 30,
            _ => return None,
        };
        number.parse::<u64>().ok()?.checked_mul(factor).map(ByteSize)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

/// Minimum severity of logged messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Faults that need operator action.
    Error,
    /// Events that may need operator action.
    Warn,
    /// Decisions and state changes.
    Info,
    /// Details for developers.
    Debug,
    /// Every processing step.
    Trace,
}

impl LogLevel {
    /// Parses the lower-case name of a level.
    pub fn parse(text: &str) -> Option<LogLevel> {
        let levels =
            [LogLevel::Error, LogLevel::Warn, LogLevel::Info, LogLevel::Debug, LogLevel::Trace];
        levels.into_iter().find(|level| level.as_str() == text)
    }

    /// Returns the name of the level, in a form that `log::LevelFilter` parses.
    pub const fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }
}

/// Parses a number of 0 or more, which may have a fraction, with the unit ms, s or m.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    // A bound that a platform computes may have an exponent, as in `1e3ms`.
    let units = [("ms", 1.0), ("s", 1000.0), ("m", 60_000.0)];
    let (number, millis_per_unit) = units
        .iter()
        .find_map(|(unit, millis)| Some((text.strip_suffix(unit)?.trim_end(), millis)))?;
    let millis = (parse_number(number)? * millis_per_unit).round();
    Some(Duration::from_millis(millis as u64))
}

/// Parses a count of 0 or more. A fraction is rounded down, and a count that exceeds the type is
/// reduced to its maximum, since a bound that a platform computes may be of any size.
pub(crate) fn parse_count(text: &str) -> Option<u32> {
    parse_number(text).map(|number| number as u32)
}

/// Parses a finite number of 0 or more. Unlike `f64::from_str`, accepts no words such as `inf`.
fn parse_number(text: &str) -> Option<f64> {
    let is_number = text.starts_with(|c: char| c.is_ascii_digit());
    let number: f64 = text.parse().ok().filter(|_| is_number)?;
    number.is_finite().then_some(number)
}

/// Maximum length of a value that is shown in an error. A secret is longer.
const MAX_SHOWN_VALUE_BYTES: usize = MIN_SECRET_BYTES - 1;

/// Returns a value from the file as it may be shown in an error: a short number, with or without a
/// unit. Any other value may be a secret.
pub(crate) fn shown_value(value: &str) -> Option<&str> {
    let is_number = value.starts_with(|c: char| c.is_ascii_digit() || c == '-');
    let has_known_unit = {
        let unit = value.trim_start_matches(|c: char| c.is_ascii_digit() || "+-.eE".contains(c));
        ["", "B", "KB", "MB", "GB", "ms", "s", "m"].contains(&unit.trim())
    };
    (is_number && has_known_unit && value.len() <= MAX_SHOWN_VALUE_BYTES).then_some(value)
}

/// Interface of a node for callers, upstreams and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// The project's own interface.
    Native,
    /// The interface of the users' platform.
    Platform,
}

impl Interface {
    /// Parses `native` or `platform`.
    pub fn parse(text: &str) -> Option<Interface> {
        match text {
            "native" => Some(Interface::Native),
            "platform" => Some(Interface::Platform),
            _ => None,
        }
    }
}

/// Whether a feature is in use.
///
/// ```
/// use settings::Switch;
///
/// assert_eq!(Switch::parse("auto"), Some(Switch::Auto));
/// assert!(Switch::Auto.resolve(true));
/// assert!(!Switch::Off.resolve(true));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Switch {
    /// The feature is in use.
    On,
    /// The feature is not in use.
    Off,
    /// The feature is in use if the environment of the node calls for it.
    Auto,
}

impl Switch {
    /// Parses `on`, `off` or `auto`.
    pub fn parse(text: &str) -> Option<Switch> {
        match text {
            "on" => Some(Switch::On),
            "off" => Some(Switch::Off),
            "auto" => Some(Switch::Auto),
            _ => None,
        }
    }

    /// Whether the feature is in use, given whether the environment calls for it.
    pub fn resolve(self, is_called_for: bool) -> bool {
        match self {
            Switch::On => true,
            Switch::Off => false,
            Switch::Auto => is_called_for,
        }
    }
}

/// How an entry estimates the load of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadEstimate {
    /// By the last report of each endpoint.
    Latest,
    /// By the load that is expected now, given the age of the report and the other entries.
    Aged,
}

impl LoadEstimate {
    /// Parses `latest` or `aged`.
    pub fn parse(text: &str) -> Option<LoadEstimate> {
        match text {
            "latest" => Some(LoadEstimate::Latest),
            "aged" => Some(LoadEstimate::Aged),
            _ => None,
        }
    }
}
