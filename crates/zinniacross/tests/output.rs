//! The output of commands.

use std::process::Command;

/// Guards against an error message when the reader of the output ends first, as `head` does.
#[test]
fn a_reader_that_has_seen_enough_is_no_error() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let ran = Command::new(env!("CARGO_BIN_EXE_zinniacross"))
        .args(["check-settings", "no-such-file.ini"])
        .stdout(writer)
        .output()
        .unwrap();
    assert_eq!(String::from_utf8_lossy(&ran.stderr), "");
    assert_eq!(ran.status.code(), Some(1));
}
