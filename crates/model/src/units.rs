//! Counts, rates and percentages.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Largest rate that can be parsed, which keeps token bucket arithmetic far from overflow.
const MAX_CALLS_PER_SECOND: f64 = 10_000_000.0;

/// Error of a text that is not a valid count, rate or percentage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnitError {
    expected: &'static str,
    text: Box<str>,
}

impl fmt::Display for UnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not {}", self.text, self.expected)
    }
}

impl std::error::Error for UnitError {}

/// Maximum number of calls that an endpoint runs concurrently.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Slots(pub u32);

/// Number of calls that a client account may make in one burst.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Burst(pub u32);

/// Number of rate limiter tokens. Each call consumes one token.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u32);

/// Implements conversion to and from decimal text for a counter type.
macro_rules! impl_decimal_text {
    ($name:ident, $expected:literal) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| UnitError { expected: $expected, text: text.into() })
            }
        }
    };
}

impl_decimal_text!(Slots, "a number of slots");
impl_decimal_text!(Burst, "a number of calls");
impl_decimal_text!(Tokens, "a number of tokens");

/// Rate in calls per second, with a resolution of a thousandth of a call per second.
///
/// ```
/// let rate: model::Rate = "12.5/s".parse().unwrap();
/// assert_eq!(rate.milli_per_second(), 12_500);
/// assert_eq!(rate.to_string(), "12.5/s");
/// assert!("fast".parse::<model::Rate>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Rate {
    milli_per_second: u64,
}

/// Text form of [`Rate::UNLIMITED`].
const UNLIMITED_TEXT: &str = "unlimited";

impl Rate {
    /// Rate without a limit.
    pub const UNLIMITED: Rate = Rate { milli_per_second: u64::MAX };

    /// Returns whether the rate is [`Rate::UNLIMITED`].
    pub const fn is_unlimited(self) -> bool {
        self.milli_per_second == u64::MAX
    }

    /// Creates a rate from thousandths of a call per second.
    pub const fn from_milli_per_second(milli_per_second: u64) -> Rate {
        Rate { milli_per_second }
    }

    /// Creates a rate from whole calls per second.
    pub const fn per_second(calls: u32) -> Rate {
        Rate { milli_per_second: calls as u64 * 1000 }
    }

    /// Returns the rate in thousandths of a call per second.
    pub const fn milli_per_second(self) -> u64 {
        self.milli_per_second
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_unlimited() {
            return f.write_str(UNLIMITED_TEXT);
        }
        write!(f, "{}/s", self.milli_per_second as f64 / 1000.0)
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let err = || UnitError {
            expected: "a rate from 0 to 10000000 calls per second, such as 12.5/s",
            text: text.into(),
        };
        if text == UNLIMITED_TEXT {
            return Ok(Rate::UNLIMITED);
        }
        let number = text.strip_suffix("/s").unwrap_or(text);
        let calls: f64 = number.parse().map_err(|_| err())?;
        if !(0.0..=MAX_CALLS_PER_SECOND).contains(&calls) {
            return Err(err());
        }
        Ok(Rate { milli_per_second: (calls * 1000.0).round() as u64 })
    }
}

impl Serialize for Rate {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Rate {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Rate, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Percentage from 0 to 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize)]
#[serde(transparent)]
pub struct Percent(u8);

impl Percent {
    /// 0 %.
    pub const ZERO: Percent = Percent(0);

    /// Creates a percentage, or returns `None` for a value above 100.
    pub const fn new(percent: u8) -> Option<Percent> {
        if percent > 100 { None } else { Some(Percent(percent)) }
    }

    /// Returns the percentage as a number from 0 to 100.
    pub const fn value(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let err = || UnitError { expected: "a share from 0% to 100%", text: text.into() };
        let number = text.strip_suffix('%').unwrap_or(text);
        number.parse().ok().and_then(Percent::new).ok_or_else(err)
    }
}

impl<'de> Deserialize<'de> for Percent {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Percent, D::Error> {
        let value = u8::deserialize(deserializer)?;
        Percent::new(value).ok_or_else(|| serde::de::Error::custom("share above 100"))
    }
}
