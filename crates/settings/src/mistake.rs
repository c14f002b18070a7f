//! Errors in a settings file.

use std::fmt;

use model::ResultCode;

/// One error in a settings file. It never contains a value from the file, which may be a secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistake {
    /// Name of the file.
    pub file: Box<str>,
    /// Line number, counted from 1, or `None` if the error is not about a line, such as a missing
    /// setting.
    pub line: Option<usize>,
    /// Name of the section, or empty if the error is outside of a section.
    pub section: Box<str>,
    /// Name of the key, or empty if the error is not about a single key.
    pub key: Box<str>,
    /// Result code from 4001 to 4006.
    pub code: ResultCode,
    /// Explanation, such as the expected value. May be empty.
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

/// All errors in a settings file, ordered by line, with errors without a line at the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistakes(Vec<Mistake>);

impl Mistakes {
    /// Sorts the errors by line. Returns `None` if there are none.
    pub(crate) fn new(mut mistakes: Vec<Mistake>) -> Option<Mistakes> {
        mistakes.sort_by_key(|mistake| mistake.line.unwrap_or(usize::MAX));
        (!mistakes.is_empty()).then_some(Mistakes(mistakes))
    }

    /// Creates the error of a file that could not be read.
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

    /// Iterates over the errors. There is at least one.
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
