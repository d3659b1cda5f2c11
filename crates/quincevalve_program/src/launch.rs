//! Startup of the long-running programs.

use std::{fmt, future::Future, process::ExitCode};

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

use crate::{
    arguments::{ArgumentError, Invocation, Program, parse_arguments},
    logs::{LogSettings, start_logs},
    settings::{SettingsError, read_settings},
};

/// Settings of a program, including a `[log]` section.
pub trait ProgramSettings: Serialize + DeserializeOwned {
    /// Returns the `[log]` section.
    fn log(&self) -> &LogSettings;
}

/// The error for a program that can't start.
#[derive(Debug, Snafu)]
enum LaunchError {
    #[snafu(display("{source}"))]
    Arguments { source: ArgumentError },
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    #[snafu(display("the settings can't be printed as TOML: {source}"))]
    Print { source: toml::ser::Error },
    #[snafu(display("{source}"))]
    Runtime { source: std::io::Error },
}

/// Parses the command line, reads the settings, starts logging and a runtime, and runs `main`.
pub fn launch<S, M, F, E>(program: Program, main: M) -> ExitCode
where
    S: ProgramSettings,
    M: FnOnce(S) -> F,
    F: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    let settings: S = match prepare(program) {
        Ok(Some(settings)) => settings,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => return report_failure(program, &error),
    };
    start_logs(settings.log());
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime.context(RuntimeSnafu) {
        Err(error) => report_failure(program, &error),
        Ok(runtime) => match runtime.block_on(main(settings)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => report_failure(program, &error),
        },
    }
}

fn report_failure(program: Program, error: &impl fmt::Display) -> ExitCode {
    eprintln!("{}: {error}", program.name);
    ExitCode::FAILURE
}

/// Returns the settings, or `None` if the command line only requested output, which has been printed.
#[expect(clippy::print_stdout, reason = "--check, --help and --version print to stdout")]
fn prepare<S>(program: Program) -> Result<Option<S>, LaunchError>
where
    S: ProgramSettings,
{
    let arguments = std::env::args_os().skip(1).collect();
    match parse_arguments(program, arguments).context(ArgumentsSnafu)? {
        Invocation::Print(text) => {
            println!("{text}");
            Ok(None)
        }
        Invocation::Check(file) => {
            let settings: S = read_settings(&file).context(SettingsSnafu)?;
            println!("{}", toml::to_string(&settings).context(PrintSnafu)?);
            Ok(None)
        }
        Invocation::Run(file) => read_settings(&file).context(SettingsSnafu).map(Some),
    }
}
