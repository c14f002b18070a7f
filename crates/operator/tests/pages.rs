//! Tests of the command line and of the page of the result codes.

use bpaf::Parser;
use expect_test::{Expect, expect, expect_file};
use operator::commands::{Exit, parser, result_code_page};

fn help(args: &[&str]) -> String {
    parser().to_options().run_inner(args).unwrap_err().unwrap_stdout()
}

fn check(actual: String, expect: Expect) {
    expect.assert_eq(&actual);
}

/// Guards against a page that differs from the enum.
#[test]
fn result_code_page_matches_the_enum() {
    expect_file!["../../../docs/result-codes.md"].assert_eq(&result_code_page());
}

/// Guards against two exit codes with one number, and against codes that leave the page.
#[test]
fn exit_codes_are_distinct() {
    let codes: Vec<u8> = Exit::ALL.iter().map(|exit| exit.code()).collect();
    assert_eq!(codes, (0..9).collect::<Vec<u8>>());
}

/// Guards against commands without help.
#[test]
fn every_command_has_help() {
    check(
        help(&["--help"]),
        expect![[r#"
        Usage: COMMAND ...

        Available options:
            -h, --help      Prints help information

        Available commands:
            route           Routes, which pick upstreams for requests
            account         Client accounts with their rate and burst
            key             Keys of client accounts
            endpoint        Endpoints, their labels and drains
            fleet           The nodes of the fleet
            explain         Show the recorded decisions of a request
            check-settings  Validate a settings file without starting a node
    "#]],
    );
    check(
        help(&["account", "set", "--help"]),
        expect![[r#"
        Change rate or burst of a client account

        Usage: account update [--platform=URL] [--operator=ADDR]... [--credential-file=FILE] [--json] [
        --wait] [--rate=RATE] [--burst=CALLS] [--if-revision=REVISION] NAME

        Available positional items:
            NAME                 Name of the object

        Available options:
                --platform=URL   URL of the platform
                                 [env:ZINNIACROSS_PLATFORM: N/A]
                --operator=ADDR  Operator port of a node; may be repeated. Default: the ports in the node
                                 records
                --credential-file=FILE  File that holds the operator credential
                --json           Write JSON instead of tables
                --wait           After a change, wait up to 6 s until every node has applied it
                --rate=RATE      Calls per second over the whole fleet
                --burst=CALLS    Calls that may be made at once
                --if-revision=REVISION  Change the object only if its last write has this revision
            -h, --help           Prints help information

        Exit codes: 0 done, 1 usage, 2 refused, 3 conflict, 4 unavailable, 5 outcome unknown, 6 not
        confirmed, 7 credential refused, 8 mistakes in settings. The operator credential comes from
        --credential-file or ZINNIACROSS_CREDENTIAL.
    "#]],
    );
    let commands = [
        "route list",
        "route create",
        "route show",
        "route update",
        "route delete",
        "account list",
        "account create",
        "account show",
        "account delete",
        "key list",
        "key issue",
        "key show",
        "key withdraw",
        "endpoint list",
        "endpoint show",
        "endpoint label set",
        "endpoint label remove",
        "endpoint drain",
        "endpoint undrain",
        "fleet state",
        "explain",
        "check-settings",
    ];
    for command in commands {
        let words: Vec<&str> = command.split(' ').chain(["--help"]).collect();
        assert!(help(&words).contains("Exit codes:"), "{command}");
    }
}

/// Guards against a credential on the command line, where other users of the machine see it, and
/// against values that are checked only by the platform.
#[test]
fn wrong_command_lines() {
    let refused = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        parser().to_options().run_inner(&words[..]).unwrap_err().unwrap_stderr()
    };
    check(
        refused("fleet state --credential secret"),
        expect!["`--credential` is not expected in this context"],
    );
    check(
        refused("account create a/b --rate 5/s --burst 1"),
        expect![[r#"
        couldn't parse `a/b`: "a/b" is not a valid client account name: expected 1 to 128 characters from
        a-z, A-Z, 0-9, '-', '_' and '.'"#]],
    );
    check(
        refused("account create a --rate fast --burst 1"),
        expect![[
            r#"couldn't parse `fast`: "fast" is not a rate from 0 to 10000000 calls per second, such as 12.5/s"#
        ]],
    );
    check(
        refused("route set a --floor 101"),
        expect![[r#"couldn't parse `101`: "101" is not a share from 0% to 100%"#]],
    );
    check(
        refused("route set a --idempotent get"),
        expect![[r#"couldn't parse `get`: "get" is not a method in upper case"#]],
    );
    check(
        refused("endpoint label set a tier=gold,x=y"),
        expect![[
            r#"couldn't parse `tier=gold,x=y`: "tier=gold,x=y" is not a label like tier=gold"#
        ]],
    );
    check(
        refused("endpoint label set a tier!=gold"),
        expect![[r#"couldn't parse `tier!=gold`: "tier!=gold" is not a label like tier=gold"#]],
    );
    check(refused("endpoint label set a"), expect!["give a label"]);
}

/// Guards against a shell completion that does not know the commands.
#[test]
fn shell_completion() {
    let failure = parser()
        .to_options()
        .run_inner(bpaf::Args::from(&["account", ""][..]).set_comp(8))
        .unwrap_err();
    check(
        failure.unwrap_stdout(),
        expect![[r#"
        COMPREPLY+=('list                     -- List the client accounts')
        COMPREPLY+=('create                   -- Create a client account')
        COMPREPLY+=('show                     -- Show a client account')
        COMPREPLY+=('update                   -- Change rate or burst of a client account')
        COMPREPLY+=('delete                   -- Delete a client account')
    "#]],
    );
}
