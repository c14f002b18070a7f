//! The `zinniacross` binary: the node process and the commands of operators.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::{OptionParser, Parser, construct, positional};
use model::HeaderNames;
use node::{Features, Interfaces};
use operator::commands;
use platform::{Heartbeats, HttpConfigSource, HttpEvacuationSource, HttpStore, HttpStoreConfig};
use settings::{Interface, Settings};
use upstream::NativeFormat;

/// Environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "ZINNIACROSS_SETTINGS";

/// What was asked for on the command line.
#[derive(Debug, Clone)]
enum Command {
    Node { settings: Option<PathBuf> },
    Operator(Box<commands::Command>),
}

fn main() -> ExitCode {
    match parser().run() {
        Command::Node { settings } => run_node(settings),
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
    let settings = positional::<PathBuf>("SETTINGS")
        .help("Settings file of the node; $ZINNIACROSS_SETTINGS if it is not given")
        .optional();
    let node = construct!(Command::Node { settings })
        .to_options()
        .descr("Run the node process of an instance")
        .command("node");
    let operator = commands::parser().map(|command| Command::Operator(Box::new(command)));
    construct!([node, operator])
        .to_options()
        .descr("Proxy fleet for upstreams with gray failures")
        .version(env!("CARGO_PKG_VERSION"))
}

fn run_node(path: Option<PathBuf>) -> ExitCode {
    let Some(path) = path.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)) else {
        eprintln!("error: give the settings file or set {SETTINGS_VARIABLE}");
        return ExitCode::from(commands::Exit::Settings.code());
    };
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(mistakes) => {
            eprintln!("{mistakes}");
            return ExitCode::from(commands::Exit::Settings.code());
        }
    };
    let ran = interfaces(&settings).and_then(|interfaces| node::run(&path, settings, interfaces));
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

/// What the node speaks with, by its settings.
fn interfaces(settings: &Settings) -> eyre::Result<Interfaces> {
    let url = &settings.platform_url;
    let cfg = HttpStoreConfig::default();
    let store = HttpStore::new(url, cfg)?;
    let config_source = HttpConfigSource::new(url, cfg)?.with_era_of(&store);
    let evacuations = HttpEvacuationSource::new(url, cfg)?.with_era_of(&store);
    let store = Arc::new(store);
    Ok(match settings.interface {
        Interface::Native => Interfaces {
            store,
            config_source: None,
            evacuation_source: None,
            announcements: Arc::new(NativeFormat),
            headers: HeaderNames::NATIVE,
            ready_path: "/ready",
            called_for: Features::default(),
        },
        Interface::Platform => Interfaces {
            store,
            config_source: Some(Arc::new(config_source)),
            evacuation_source: match settings.evacuate_within {
                Some(_) => Some(Arc::new(evacuations)),
                None => None,
            },
            announcements: Arc::new(Heartbeats::default()),
            headers: platform::HEADERS,
            ready_path: platform::READY_PATH,
            called_for: platform_features(&settings.platform_contracts),
        },
    })
}

/// Features that the contracts of the platform call for.
fn platform_features(contracts: &[Box<str>]) -> Features {
    Features { overload_control: platform::has_overload_contract(contracts) }
}
