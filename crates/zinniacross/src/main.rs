//! The `zinniacross` binary: the node process and the commands of operators.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, positional};
use operator::commands;
use settings::Settings;

/// What was asked for on the command line.
#[derive(Debug, Clone)]
enum Command {
    Node { settings: PathBuf },
    Operator(commands::Command),
}

fn main() -> ExitCode {
    match parser().run() {
        Command::Node { settings } => run_node(&settings),
        Command::Operator(command) => run_command(&command),
    }
}

fn run_command(command: &commands::Command) -> ExitCode {
    let env = commands::Environment::from_process(&check_settings);
    match commands::run(command, &env, &mut std::io::stdout(), &mut std::io::stderr()) {
        Ok(exit) => ExitCode::from(exit.code()),
        // The reader has seen enough, as in `zinniacross state | head`. Whether the command succeeded
        // is not known, so the exit code is not 0.
        Err(err) if err.kind() == ErrorKind::BrokenPipe => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("error: the output can't be written: {err}");
            ExitCode::FAILURE
        }
    }
}

fn check_settings(path: &Path) -> Vec<commands::SettingsMistake> {
    let Err(mistakes) = Settings::load(path) else { return Vec::new() };
    let mistake = |mistake: &settings::Mistake| commands::SettingsMistake {
        text: mistake.to_string(),
        line: mistake.line,
        section: mistake.section.to_string(),
        key: mistake.key.to_string(),
        code: mistake.code,
    };
    mistakes.iter().map(mistake).collect()
}

fn parser() -> OptionParser<Command> {
    let settings = positional::<PathBuf>("SETTINGS").help("Settings file of the node");
    let node = construct!(Command::Node { settings })
        .to_options()
        .descr("Run the node process of an instance")
        .command("node");
    let operator = commands::parser().map(Command::Operator);
    construct!([node, operator])
        .to_options()
        .descr("Proxy fleet for upstreams with gray failures")
        .version(env!("CARGO_PKG_VERSION"))
}

fn run_node(path: &Path) -> ExitCode {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(mistakes) => {
            eprintln!("{mistakes}");
            return ExitCode::from(commands::Exit::Settings.code());
        }
    };
    match node::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}
