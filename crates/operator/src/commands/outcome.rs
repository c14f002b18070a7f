//! Errors and exit codes of operator commands.

use std::fmt;

use model::{ObjectKey, ResultCode, StoredObject};
use serde_json::{Value, json};
use store::StoreError;

use crate::view::StoredDocument;

/// Exit code of an operator command. The discriminants are the exit codes of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command line is invalid.
    Usage,
    /// The object or request does not exist, or the object exists already or is invalid. Nothing was
    /// changed.
    Refused,
    /// Another operator changed the object first; it does not contain this change.
    Conflict,
    /// The platform or the nodes can't be reached, or the platform throttles requests. Nothing was
    /// changed.
    Unavailable,
    /// The write may have taken effect.
    OutcomeUnknown,
    /// The change is accepted, but not all nodes have confirmed that they applied it.
    NotConfirmed,
    /// The operator credential was refused.
    Credential,
    /// The settings file has errors.
    Settings,
}

impl Exit {
    /// All exit codes, in ascending order.
    pub const ALL: [Exit; 9] = [
        Exit::Done,
        Exit::Usage,
        Exit::Refused,
        Exit::Conflict,
        Exit::Unavailable,
        Exit::OutcomeUnknown,
        Exit::NotConfirmed,
        Exit::Credential,
        Exit::Settings,
    ];

    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns the description in the documentation of the exit codes.
    pub const fn text(self) -> &'static str {
        match self {
            Exit::Done => "The command did what it was asked to do.",
            Exit::Usage => "The command line or an option can't be used.",
            Exit::Refused => "The object or request is missing, exists already or is not valid.",
            Exit::Conflict => {
                "Another operator changed the object first; it does not hold this change."
            }
            Exit::Unavailable => "The platform or the nodes can't be reached or refuse the rate.",
            Exit::OutcomeUnknown => "The change may have been made.",
            Exit::NotConfirmed => "The change is accepted, but nodes have not confirmed it.",
            Exit::Credential => "The operator credential was refused.",
            Exit::Settings => "The settings file has mistakes.",
        }
    }

    /// Returns the exit code for an error with the result code.
    pub const fn from_result_code(code: ResultCode) -> Exit {
        match code {
            ResultCode::WriteConflict => Exit::Conflict,
            ResultCode::PlatformUnavailable
            | ResultCode::NodeUnavailable
            | ResultCode::NotSynced
            | ResultCode::PlatformThrottled => Exit::Unavailable,
            ResultCode::WriteOutcomeUnknown => Exit::OutcomeUnknown,
            ResultCode::NotConfirmed => Exit::NotConfirmed,
            ResultCode::CredentialRejected => Exit::Credential,
            ResultCode::CommandInvalid => Exit::Usage,
            _ => Exit::Refused,
        }
    }
}

/// Error of an operator command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandError {
    /// Result code.
    pub code: ResultCode,
    /// What the error is about, such as the object, the node address or the cause.
    pub detail: Box<str>,
    /// Current content of the object, after a conflict.
    pub current: Option<Box<StoredObject>>,
}

impl CommandError {
    pub(crate) fn new(code: ResultCode, detail: impl fmt::Display) -> CommandError {
        CommandError { code, detail: detail.to_string().into(), current: None }
    }

    pub(crate) fn for_object(code: ResultCode, key: &ObjectKey) -> CommandError {
        CommandError::new(code, key)
    }

    pub(crate) fn from_store(err: &StoreError) -> CommandError {
        let code = err.code().unwrap_or(ResultCode::PlatformUnavailable);
        CommandError::new(code, err)
    }

    pub(crate) fn with_current(mut self, current: Option<StoredObject>) -> CommandError {
        self.current = current.map(Box::new);
        self
    }

    pub(crate) fn to_json(&self) -> Value {
        let mut error = json!({
            "code": self.code.number(),
            "text": self.code.text(),
            "detail": self.detail,
        });
        if let Some(current) = &self.current {
            error["current"] = json!(StoredDocument::from(&**current));
        }
        json!({ "error": error })
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.code, self.detail)?;
        let Some(current) = &self.current else { return Ok(()) };
        let (revision, write_id) = (current.revision, &current.write_id);
        match &current.object {
            Some(object) => {
                let document = object.to_document();
                let document = String::from_utf8_lossy(&document);
                write!(f, "\nconflicting write {write_id} at revision {revision}: {document}")
            }
            None => write!(f, "\nconflicting write {write_id} at revision {revision}: deleted"),
        }
    }
}

impl std::error::Error for CommandError {}
