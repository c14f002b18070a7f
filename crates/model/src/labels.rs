//! Labels of upstreams, and selectors that match them.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Maximum number of terms in a selector.
const MAX_TERMS: usize = 32;

/// Maximum length of a label key or value.
const MAX_LABEL_BYTES: usize = 63;

/// Labels of an upstream, by key.
pub type Labels = BTreeMap<Box<str>, Box<str>>;

/// Error of a text that is not a valid selector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectorError {
    term: Box<str>,
    reason: &'static str,
}

impl fmt::Display for SelectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid selector term {:?}: {}", self.term, self.reason)
    }
}

impl std::error::Error for SelectorError {}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Term {
    Equals(Box<str>, Box<str>),
    NotEquals(Box<str>, Box<str>),
    Exists(Box<str>),
    Absent(Box<str>),
}

/// A conjunction of conditions on labels. The empty selector matches every upstream.
///
/// ```
/// use model::{Labels, Selector};
///
/// let selector: Selector = "tier=gold,!retired,track!=canary".parse().unwrap();
/// let mut labels = Labels::new();
/// labels.insert("tier".into(), "gold".into());
/// assert!(selector.matches(&labels));
/// labels.insert("retired".into(), "yes".into());
/// assert!(!selector.matches(&labels));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    terms: Vec<Term>,
}

impl Selector {
    /// Returns whether an upstream with these labels satisfies every term.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.terms.iter().all(|term| match term {
            Term::Equals(key, value) => labels.get(key) == Some(value),
            Term::NotEquals(key, value) => labels.get(key) != Some(value),
            Term::Exists(key) => labels.contains_key(key),
            Term::Absent(key) => !labels.contains_key(key),
        })
    }
}

impl FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Selector, SelectorError> {
        if text.trim().is_empty() {
            return Ok(Selector::default());
        }
        let terms: Vec<Term> =
            text.split(',').map(|term| parse_term(term.trim())).collect::<Result<_, _>>()?;
        if terms.len() > MAX_TERMS {
            let truncated = text.chars().take(MAX_LABEL_BYTES).collect::<String>();
            return Err(SelectorError { term: truncated.into(), reason: "more than 32 terms" });
        }
        Ok(Selector { terms })
    }
}

fn parse_term(term: &str) -> Result<Term, SelectorError> {
    let label_part = |text: &str| {
        parse_label_part(text.trim()).map_err(|reason| SelectorError {
            term: term.chars().take(MAX_LABEL_BYTES).collect::<String>().into(),
            reason,
        })
    };
    if let Some((key, value)) = term.split_once("!=") {
        return Ok(Term::NotEquals(label_part(key)?, label_part(value)?));
    }
    if let Some((key, value)) = term.split_once('=') {
        return Ok(Term::Equals(label_part(key)?, label_part(value)?));
    }
    if let Some(key) = term.strip_prefix('!') {
        return Ok(Term::Absent(label_part(key)?));
    }
    Ok(Term::Exists(label_part(term)?))
}

/// Validates a label key or value.
fn parse_label_part(text: &str) -> Result<Box<str>, &'static str> {
    if text.is_empty() {
        return Err("a label key or value is empty");
    }
    if text.len() > MAX_LABEL_BYTES {
        return Err("a label key or value is longer than 63 bytes");
    }
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'/');
    if !text.bytes().all(is_allowed) {
        return Err(
            "a label key or value has a character outside a-z, A-Z, 0-9, '-', '_', '.', '/'",
        );
    }
    Ok(text.into())
}

impl TryFrom<String> for Selector {
    type Error = SelectorError;

    fn try_from(text: String) -> Result<Selector, SelectorError> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> String {
        selector.to_string()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, term) in self.terms.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            match term {
                Term::Equals(key, value) => write!(f, "{key}={value}")?,
                Term::NotEquals(key, value) => write!(f, "{key}!={value}")?,
                Term::Exists(key) => f.write_str(key)?,
                Term::Absent(key) => write!(f, "!{key}")?,
            }
        }
        Ok(())
    }
}
