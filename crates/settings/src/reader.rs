//! Reads entries with their line numbers and collects errors.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ini::{Ini, ParseOption};
use model::ResultCode;

use crate::mistake::{Mistake, Mistakes};
use crate::values::shown_value;

/// All valid settings, as section and key.
const KNOWN_SETTINGS: &[(&str, &str)] = &[
    ("node", "name"),
    ("node", "domain"),
    ("node", "threads"),
    ("node", "service"),
    ("node", "stop_within"),
    ("caller", "listen"),
    ("caller", "max_connections"),
    ("caller", "max_head"),
    ("caller", "max_body"),
    ("caller", "idle_timeout"),
    ("peer", "listen"),
    ("peer", "advertise"),
    ("upstream", "listen"),
    ("upstream", "ttl"),
    ("upstream", "spare_retries"),
    ("admission", "overload_control"),
    ("routing", "load_estimate"),
    ("status", "ready"),
    ("status", "metrics"),
    ("operator", "listen"),
    ("operator", "credential"),
    ("platform", "url"),
    ("platform", "interface"),
    ("platform", "contracts"),
    ("platform", "evacuate_within"),
    ("fleet", "secret"),
    ("fleet", "seeds"),
    ("log", "level"),
];

/// Minimum Jaro-Winkler similarity, from 0 to 1, of a name suggested for an unknown one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.75;

/// Maximum length of an unknown name that is shown in an error. A longer one may be a secret that
/// contains a '='.
const MAX_SHOWN_NAME_BYTES: usize = 20;

/// Replaces a name that may be a secret.
const REDACTED_NAME: &str = "(name not shown)";

/// Entries of a settings file, and the errors found so far.
pub(crate) struct SettingsReader {
    file: Box<str>,
    entries: BTreeMap<(Box<str>, Box<str>), Entry>,
    mistakes: Vec<Mistake>,
}

struct Entry {
    line: usize,
    value: Box<str>,
}

/// A parsed line of a settings file.
enum Line {
    Blank,
    Section(Box<str>),
    Entry(Box<str>, Box<str>),
    Invalid,
}

impl SettingsReader {
    pub fn new(file: &str, text: &str) -> SettingsReader {
        let mut reader =
            SettingsReader { file: file.into(), entries: BTreeMap::new(), mistakes: Vec::new() };
        let mut section: Option<Box<str>> = None;
        let mut sections: BTreeMap<Box<str>, usize> = BTreeMap::new();
        for (index, text) in text.lines().enumerate() {
            let line = index + 1;
            match parse_line(text) {
                Line::Blank => {}
                Line::Section(name) => {
                    reader.check_section(line, &name, &sections);
                    sections.entry(name.clone()).or_insert(line);
                    section = Some(name);
                }
                Line::Entry(key, value) => {
                    reader.insert_entry(line, section.as_deref(), &key, value);
                }
                Line::Invalid => {
                    let detail = "expected a [section], key = value, or a comment";
                    let section = section.as_deref().map_or("", redact_name);
                    reader.report(Some(line), section, "", ResultCode::SettingsSyntax, detail);
                }
            }
        }
        reader
    }

    /// Returns whether the file sets the key.
    pub fn contains(&self, section: &str, key: &str) -> bool {
        self.entries.contains_key(&(section.into(), key.into()))
    }

    /// Parses a setting, and reports an error if it is missing or invalid.
    pub fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(entry) = self.entries.get(&(section.into(), key.into())) else {
            let detail = format!("expected {expected}");
            self.report(None, section, key, ResultCode::SettingMissing, &detail);
            return None;
        };
        let value = parse(&entry.value);
        if value.is_none() {
            let found = shown_value(&entry.value);
            let found = found.map_or_else(String::new, |value| format!(", found {value}"));
            let (line, detail) = (entry.line, format!("expected {expected}{found}"));
            self.report(Some(line), section, key, ResultCode::SettingInvalid, &detail);
        }
        value
    }

    /// Parses a setting, or its default if the file does not set it or leaves its value empty.
    pub fn with_default<T>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        default: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let entry = self.entries.get(&(section.into(), key.into()));
        match entry.is_some_and(|entry| !entry.value.is_empty()) {
            true => self.required(section, key, expected, parse),
            false => parse(default),
        }
    }

    /// Reports listeners whose addresses conflict. Port 0 never conflicts, since the operating
    /// system chooses a free port.
    pub fn check_distinct_listeners(&mut self, listeners: &[(&str, Option<SocketAddr>)]) {
        for (index, (section, addr)) in listeners.iter().enumerate() {
            let Some(addr) = addr.filter(|addr| addr.port() != 0) else { continue };
            let conflicts = |other: &&(&str, Option<SocketAddr>)| {
                other.1.is_some_and(|other| listeners_conflict(other, addr))
            };
            let Some((first, _)) = listeners[..index].iter().find(conflicts) else { continue };
            let entry = self.entries.get(&((*section).into(), "listen".into()));
            let line = entry.map(|entry| entry.line);
            let detail = format!("the address is also the one of [{first}] listen");
            self.report(line, section, "listen", ResultCode::SettingInvalid, &detail);
        }
    }

    pub fn report(
        &mut self,
        line: Option<usize>,
        section: &str,
        key: &str,
        code: ResultCode,
        detail: &str,
    ) {
        self.mistakes.push(Mistake {
            file: self.file.clone(),
            line,
            section: section.into(),
            key: key.into(),
            code,
            detail: detail.into(),
        });
    }

    pub fn finish(self) -> Option<Mistakes> {
        Mistakes::new(self.mistakes)
    }

    fn check_section(&mut self, line: usize, name: &str, seen: &BTreeMap<Box<str>, usize>) {
        if let Some(first) = seen.get(name) {
            let detail = format!("first given in line {first}");
            self.report(Some(line), redact_name(name), "", ResultCode::SettingRepeated, &detail);
        } else if !is_known_section(name) {
            let detail =
                match closest_match(name, KNOWN_SETTINGS.iter().map(|(section, _)| *section)) {
                    Some(section) => format!("did you mean [{section}]?"),
                    None => String::new(),
                };
            self.report(Some(line), redact_name(name), "", ResultCode::SettingUnknown, &detail);
        }
    }

    fn insert_entry(&mut self, line: usize, section: Option<&str>, key: &str, value: Box<str>) {
        let Some(section) = section else {
            let detail = "expected a [section] before the first key";
            self.report(Some(line), "", redact_name(key), ResultCode::SettingsSyntax, detail);
            return;
        };
        if !is_known_section(section) {
            // The section has been reported, so its keys are not reported again.
            return;
        }
        if !KNOWN_SETTINGS.contains(&(section, key)) {
            let detail = suggest_setting(section, key);
            self.report(Some(line), section, redact_name(key), ResultCode::SettingUnknown, &detail);
            return;
        }
        let id = (section.into(), key.into());
        if let Some(first) = self.entries.get(&id) {
            let detail = format!("first given in line {}", first.line);
            self.report(Some(line), section, key, ResultCode::SettingRepeated, &detail);
            return;
        }
        self.entries.insert(id, Entry { line, value });
    }
}

/// Parses one line. Lines are parsed separately, because `rust-ini` stops at the first error and
/// does not return the line numbers of entries.
fn parse_line(text: &str) -> Line {
    let opt = ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
    let text = text.trim();
    if text.is_empty() {
        return Line::Blank;
    }
    let Ok(ini) = Ini::load_from_str_opt(text, opt) else { return Line::Invalid };
    let mut sections = ini.iter().filter(|(name, entries)| name.is_some() || !entries.is_empty());
    let line = match sections.next() {
        None if text.starts_with([';', '#']) => Line::Blank,
        Some((Some(name), entries)) if entries.is_empty() => Line::Section(name.into()),
        Some((None, entries)) if entries.len() == 1 => match entries.iter().next() {
            Some((key, value)) => Line::Entry(key.into(), value.trim().into()),
            None => Line::Invalid,
        },
        _ => Line::Invalid,
    };
    // `rust-ini` finds more than one element if the line contains a carriage return.
    if sections.next().is_some() { Line::Invalid } else { line }
}

fn is_known_section(name: &str) -> bool {
    KNOWN_SETTINGS.iter().any(|(section, _)| *section == name)
}

/// Suggests a setting for an unknown key: a similar key of the section, or the same key of another
/// section.
fn suggest_setting(section: &str, key: &str) -> String {
    let keys_of_section =
        KNOWN_SETTINGS.iter().filter(|(known, _)| *known == section).map(|(_, key)| *key);
    if let Some(key) = closest_match(key, keys_of_section) {
        return format!("did you mean {key}?");
    }
    let elsewhere = KNOWN_SETTINGS.iter().find(|(_, known)| *known == key);
    elsewhere.map_or_else(String::new, |(section, key)| format!("did you mean [{section}] {key}?"))
}

fn closest_match<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.map(|known| (strsim::jaro_winkler(name, known), known));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= MIN_SUGGESTION_SIMILARITY).then_some(best.1)
}

/// Returns a name from the file as it may be shown in an error. Only short names of lower-case
/// letters, '_' and '-' are shown, since any other may be a secret.
fn redact_name(name: &str) -> &str {
    let is_plain = |b: u8| b.is_ascii_lowercase() || matches!(b, b'_' | b'-');
    if name.len() <= MAX_SHOWN_NAME_BYTES && name.bytes().all(is_plain) {
        name
    } else {
        REDACTED_NAME
    }
}

/// Returns whether the two addresses can't both be bound.
fn listeners_conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && same_ip
}
