//! Reads entries with their lines and collects mistakes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ini::{Ini, ParseOption};
use model::ResultCode;

use crate::mistake::{Mistake, Mistakes};

/// Every section and key.
const KNOWN: &[(&str, &str)] = &[
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
    ("status", "ready"),
    ("status", "metrics"),
    ("operator", "listen"),
    ("operator", "credential"),
    ("platform", "url"),
    ("platform", "interface"),
    ("fleet", "secret"),
    ("fleet", "seeds"),
    ("log", "level"),
];

/// Least similarity of a suggestion.
const MIN_SIMILARITY: f64 = 0.75;

/// Longest unknown name that is shown in an error. A line with a long name may be a secret that
/// holds a '='.
const MAX_SHOWN_NAME: usize = 20;

const HIDDEN_NAME: &str = "(name not shown)";

pub(crate) struct Reader {
    file: Box<str>,
    entries: BTreeMap<(Box<str>, Box<str>), Entry>,
    mistakes: Vec<Mistake>,
}

struct Entry {
    line: usize,
    value: Box<str>,
}

enum Line {
    Blank,
    Section(Box<str>),
    Entry(Box<str>, Box<str>),
    Invalid,
}

impl Reader {
    pub fn new(file: &str, text: &str) -> Reader {
        let mut reader =
            Reader { file: file.into(), entries: BTreeMap::new(), mistakes: Vec::new() };
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
                    reader.insert(line, section.as_deref(), &key, value);
                }
                Line::Invalid => {
                    let detail = "expected a [section], key = value, or a comment";
                    let section = section.as_deref().map_or("", shown);
                    reader.report(Some(line), section, "", ResultCode::SettingsSyntax, detail);
                }
            }
        }
        reader
    }

    pub fn has(&self, section: &str, key: &str) -> bool {
        self.entries.contains_key(&(section.into(), key.into()))
    }

    /// Reads a setting, or reports that it is missing or invalid.
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
            let (line, detail) = (entry.line, format!("expected {expected}"));
            self.report(Some(line), section, key, ResultCode::SettingInvalid, &detail);
        }
        value
    }

    /// Reads a setting that has a default.
    pub fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        default: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        match self.has(section, key) {
            true => self.required(section, key, expected, parse),
            false => parse(default),
        }
    }

    /// Reports listeners that have the same address.
    pub fn check_distinct_listeners(&mut self, listeners: &[(&str, Option<SocketAddr>)]) {
        for (index, (section, addr)) in listeners.iter().enumerate() {
            let Some(addr) = addr.filter(|addr| addr.port() != 0) else { continue };
            let same = |other: &&(&str, Option<SocketAddr>)| {
                other.1.is_some_and(|other| overlap(other, addr))
            };
            let Some((first, _)) = listeners[..index].iter().find(same) else { continue };
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
            self.report(Some(line), shown(name), "", ResultCode::SettingRepeated, &detail);
        } else if !is_section(name) {
            let detail = match closest(name, KNOWN.iter().map(|(section, _)| *section)) {
                Some(section) => format!("did you mean [{section}]?"),
                None => String::new(),
            };
            self.report(Some(line), shown(name), "", ResultCode::SettingUnknown, &detail);
        }
    }

    fn insert(&mut self, line: usize, section: Option<&str>, key: &str, value: Box<str>) {
        let Some(section) = section else {
            let detail = "expected a [section] before the first key";
            self.report(Some(line), "", shown(key), ResultCode::SettingsSyntax, detail);
            return;
        };
        if !is_section(section) {
            // The section is reported already, and its keys are unknown with it.
            return;
        }
        if !KNOWN.contains(&(section, key)) {
            let detail = suggestion(section, key);
            self.report(Some(line), section, shown(key), ResultCode::SettingUnknown, &detail);
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

/// Parses one line. Lines are parsed one by one, since `rust-ini` stops at the first error and
/// does not tell the lines of the entries.
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
    // More than one element on a line comes from a carriage return inside of it.
    if sections.next().is_some() { Line::Invalid } else { line }
}

fn is_section(name: &str) -> bool {
    KNOWN.iter().any(|(section, _)| *section == name)
}

fn suggestion(section: &str, key: &str) -> String {
    let of_section = KNOWN.iter().filter(|(known, _)| *known == section).map(|(_, key)| *key);
    if let Some(key) = closest(key, of_section) {
        return format!("did you mean {key}?");
    }
    let elsewhere = KNOWN.iter().find(|(_, known)| *known == key);
    elsewhere.map_or_else(String::new, |(section, key)| format!("did you mean [{section}] {key}?"))
}

fn closest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.map(|known| (strsim::jaro_winkler(name, known), known));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= MIN_SIMILARITY).then_some(best.1)
}

/// A name from the file as it may be shown.
fn shown(name: &str) -> &str {
    let plain = |b: u8| b.is_ascii_lowercase() || matches!(b, b'_' | b'-');
    if name.len() <= MAX_SHOWN_NAME && name.bytes().all(plain) { name } else { HIDDEN_NAME }
}

/// Tells whether two listeners can't both be bound.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && same_ip
}
