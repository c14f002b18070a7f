//! Sizes and rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Largest accepted rate, in calls per second; keeps token arithmetic far from overflow.
const MAX_CALLS_PER_SECOND: f64 = 10_000_000.0;

/// A text was rejected as a size or rate.
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

/// Number of calls that an endpoint runs at the same time.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Slots(pub u32);

/// Number of calls that a client account may make at once.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Burst(pub u32);

/// Number of rate limit tokens; a call takes one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u32);

macro_rules! count_text {
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

count_text!(Slots, "a number of slots");
count_text!(Burst, "a number of calls");
count_text!(Tokens, "a number of tokens");

/// Calls per second, kept in thousandths of a call.
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

/// Text of [`Rate::UNLIMITED`].
const UNLIMITED: &str = "unlimited";

impl Rate {
    /// No limit.
    pub const UNLIMITED: Rate = Rate { milli_per_second: u64::MAX };

    /// Tells whether there is no limit.
    pub const fn is_unlimited(self) -> bool {
        self.milli_per_second == u64::MAX
    }

    /// Makes a rate from thousandths of a call per second.
    pub const fn from_milli_per_second(milli_per_second: u64) -> Rate {
        Rate { milli_per_second }
    }

    /// Makes a rate from whole calls per second.
    pub const fn per_second(calls: u32) -> Rate {
        Rate { milli_per_second: calls as u64 * 1000 }
    }

    /// Thousandths of a call per second.
    pub const fn milli_per_second(self) -> u64 {
        self.milli_per_second
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_unlimited() {
            return f.write_str(UNLIMITED);
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
        if text == UNLIMITED {
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

/// A share from 0 to 100 in a hundred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize)]
#[serde(transparent)]
pub struct Percent(u8);

impl Percent {
    /// Nothing.
    pub const ZERO: Percent = Percent(0);

    /// Makes a share, or `None` above 100.
    pub const fn new(percent: u8) -> Option<Percent> {
        if percent > 100 { None } else { Some(Percent(percent)) }
    }

    /// The share in hundredths.
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
