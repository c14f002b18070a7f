//! Numbered result codes. `docs/result-codes.md` documents each code for operators.

use std::fmt;

/// Whether a request ran, as far as a result code tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The request was refused before it ran.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The code does not concern a request.
    NotARequest,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::NotRun => "not run",
            Outcome::Unknown => "outcome unknown",
            Outcome::NotARequest => "not a request",
        })
    }
}

macro_rules! result_codes {
    ($($number:literal $status:literal $name:ident $text:literal,)*) => {
        /// A numbered result. The thousands digit is the group: 1 for refused and not run, 2 for
        /// outcome unknown, 3 for operator commands, 4 for settings, 5 for the protocol between
        /// nodes.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ResultCode {
            $(
                #[doc = $text]
                $name,
            )*
        }

        impl ResultCode {
            /// Every code, in ascending order.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name,)*];

            /// Number shown to callers and operators.
            pub const fn number(self) -> u16 {
                match self { $(ResultCode::$name => $number,)* }
            }

            /// HTTP status sent to the caller, or 0 for a code that is never sent to a caller.
            pub const fn status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)* }
            }

            /// Human-readable description, one sentence.
            pub const fn text(self) -> &'static str {
                match self { $(ResultCode::$name => $text,)* }
            }

            /// Looks up a code by its number.
            pub const fn from_number(number: u16) -> Option<ResultCode> {
                match number { $($number => Some(ResultCode::$name),)* _ => None }
            }
        }
    };
}

result_codes! {
    1001 404 NoRoute "No route matches the request.",
    1002 401 KeyMissing "The route needs a key and the request carries none.",
    1003 401 KeyRejected "The key is not valid.",
    1004 400 KeyConflict "The request carries more than one key.",
    1005 400 KeyMisplaced "The key stands in the path, from where it can't be removed.",
    1006 429 RateExceeded "The client account has used up its rate and burst.",
    1007 503 LimiterUnavailable "No owner of the account's rate answered in time.",
    1008 503 NoUpstream "No healthy upstream matches the route.",
    1009 503 QueueFull "Every tried upstream had a full queue.",
    1010 503 DeadlineBeforeStart "The request waited for a slot for as long as it may, or its deadline passed before it started to run.",
    1011 503 EndpointSuspect "The upstream has failed its latest calls and takes only calls that may be repeated.",
    1012 503 NotSynced "This node has no confirmed configuration yet.",
    1013 503 Stopping "This node is stopping.",
    1014 400 MalformedRequest "The request is malformed.",
    1015 431 HeadTooLarge "The head of the request is too large.",
    1016 413 BodyTooLarge "The body of the request is too large.",
    1017 503 ConnectFailed "The upstream did not accept a connection.",
    1018 503 EndpointLeaving "The upstream is leaving and takes no new work.",
    1019 503 EndpointUnknown "The node does not stand before this upstream.",
    1020 503 UpstreamShed "The upstream refused the work as not run.",
    1021 503 TooManyConnections "The node has as many connections as it accepts.",
    1022 503 AttemptRepeated "The attempt was already seen and was not run again.",
    1023 503 AttemptFenced "The attempt was fenced before it started.",
    1024 408 BodyTimeout "The body of the request did not arrive in time, before the request started.",
    1025 503 LinkUnavailable "The node before the upstream could not be reached, and nothing was sent.",
    1026 503 Superseded "The newer configuration of the node before the upstream does not allow the request.",
    1027 503 RetriesExhausted "The upstream takes no further retries now.",
    1028 503 DomainEvacuated "The failure domain of the upstream is evacuated.",
    1029 503 EndpointReplaced "Another upstream has taken the address of this one.",
    2001 504 DeadlineAfterStart "The deadline passed after the request was handed on.",
    2002 502 LinkLost "The link to the node before the upstream was lost after the request was handed on.",
    2003 502 UpstreamLost "The connection to the upstream was lost after the request was sent.",
    2004 502 AnswerInvalid "The upstream sent an answer that is not valid.",
    2005 504 StoppedAfterStart "This node stopped before the answer arrived, after the request was handed on.",
    3001 0 WriteConflict "Another operator changed the object first.",
    3002 0 ObjectNotFound "The object does not exist.",
    3003 0 ObjectExists "The object exists already.",
    3004 0 ObjectInvalid "The object is not valid.",
    3005 0 PlatformUnavailable "The platform can't be reached.",
    3006 0 NotConfirmed "The change is accepted, but nodes have not confirmed it.",
    3007 0 NodeUnavailable "No node could be reached.",
    3008 0 CredentialRejected "The operator credential was refused.",
    3009 0 RequestNotRecorded "No reached node has a record of the request.",
    3010 0 PlatformThrottled "The platform refuses calls above its rate.",
    3011 0 WriteOutcomeUnknown "The write may have taken effect; the platform could not be asked.",
    3012 0 CommandInvalid "The command lacks an option or has one that can't be used.",
    3013 0 AccountUnknown "The node knows no client account of this name.",
    3014 0 KeyIdUnknown "The node knows no key with this id.",
    3015 0 RouteUnknown "The node knows no route of this name.",
    3016 0 MethodInvalid "The method of the described request is not valid.",
    3017 0 HostInvalid "The host of the described request is not valid.",
    3018 0 PathInvalid "The path of the described request is not valid.",
    4001 0 SettingUnknown "The settings hold an unknown section or key.",
    4002 0 SettingMissing "A required setting is missing.",
    4003 0 SettingInvalid "A setting has an invalid value.",
    4004 0 SettingsSyntax "The settings file can't be parsed.",
    4005 0 SettingsUnreadable "The settings file can't be read.",
    4006 0 SettingRepeated "A setting is given twice.",
    5001 0 FrameInvalid "A frame can't be decoded.",
    5002 0 VersionUnsupported "The peer speaks an unsupported protocol version.",
    5003 0 FrameTooLarge "A frame is larger than allowed.",
    5004 0 PeerUnauthenticated "The peer did not prove that it knows the fleet secret.",
    5005 0 FrameUnexpected "A frame arrived that the state of the link does not allow.",
    5006 0 AnnouncementInvalid "An upstream's announcement is not valid.",
}

impl ResultCode {
    /// Returns whether the request ran, derived from the group of the code.
    pub const fn outcome(self) -> Outcome {
        match self.number() / 1000 {
            1 => Outcome::NotRun,
            2 => Outcome::Unknown,
            _ => Outcome::NotARequest,
        }
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}
