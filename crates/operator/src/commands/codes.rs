//! Generates the documentation page of the result codes.

use std::fmt::Write;

use model::{Outcome, ResultCode};

use super::outcome::Exit;

/// Thousands digits and titles of the groups of result codes.
const GROUPS: [(u16, &str); 5] = [
    (1, "Refused, not run"),
    (2, "Outcome unknown"),
    (3, "Operator commands"),
    (4, "Settings"),
    (5, "Protocol between nodes"),
];

/// Start of the page.
const INTRODUCTION: &str = "\
# Result codes

Each result has a number. The thousands tell the group. This page is written by
`operator::commands::result_code_page`; a test compares it with the enum `model::ResultCode`.

A request that was refused with a code of group 1 did not run and may be repeated. After a code of
group 2 the request may have run; only an idempotent one may be repeated.
";

/// Returns the content of `docs/result-codes.md`.
///
/// ```
/// assert!(operator::commands::result_code_page().contains("| 3001 |"));
/// ```
pub fn result_code_page() -> String {
    let mut page = INTRODUCTION.to_owned();
    for (group, title) in GROUPS {
        let codes = ResultCode::ALL.iter().filter(|code| code.number() / 1000 == group);
        let _ = write!(page, "\n## {group}xxx: {title}\n\n");
        page.push_str(match group {
            1 | 2 => "| code | HTTP status | name | meaning |\n|---|---|---|---|\n",
            _ => "| code | name | meaning |\n|---|---|---|\n",
        });
        for code in codes {
            let (number, text) = (code.number(), code.text());
            let _ = match code.outcome() {
                Outcome::NotARequest => writeln!(page, "| {number} | `{code:?}` | {text} |"),
                _ => writeln!(page, "| {number} | {} | `{code:?}` | {text} |", code.status()),
            };
        }
    }
    page.push_str("\n## Exit codes of operator commands\n\n| exit code | meaning |\n|---|---|\n");
    for exit in Exit::ALL {
        let _ = writeln!(page, "| {} | {} |", exit.code(), exit.text());
    }
    page
}
