//! Mistakes in a settings file.

use std::fmt;

use model::ResultCode;

/// One mistake in a settings file. Holds no value from the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistake {
    /// Name of the file.
    pub file: Box<str>,
    /// Line, counted from 1, unless something is missing from the file.
    pub line: Option<usize>,
    /// Section, or empty outside of a section.
    pub section: Box<str>,
    /// Key, or empty if the mistake is not about one key.
    pub key: Box<str>,
    /// A code from 4001 to 4006.
    pub code: ResultCode,
    /// What is expected instead.
    pub detail: Box<str>,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        f.write_str(": ")?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.code)?;
        if !self.detail.is_empty() {
            write!(f, " ({})", self.detail)?;
        }
        Ok(())
    }
}

/// All mistakes in a settings file, in the order of the lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistakes(Vec<Mistake>);

impl Mistakes {
    pub(crate) fn new(mut mistakes: Vec<Mistake>) -> Option<Mistakes> {
        mistakes.sort_by_key(|mistake| mistake.line.unwrap_or(usize::MAX));
        (!mistakes.is_empty()).then_some(Mistakes(mistakes))
    }

    pub(crate) fn unreadable(file: &str, reason: String) -> Mistakes {
        Mistakes(vec![Mistake {
            file: file.into(),
            line: None,
            section: "".into(),
            key: "".into(),
            code: ResultCode::SettingsUnreadable,
            detail: reason.into(),
        }])
    }

    /// The mistakes; at least one.
    pub fn iter(&self) -> impl Iterator<Item = &Mistake> {
        self.0.iter()
    }
}

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, mistake) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{mistake}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Mistakes {}
