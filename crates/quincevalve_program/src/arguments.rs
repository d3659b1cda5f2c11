//! The command line that all long-running programs have in common.

use std::{ffi::OsString, path::PathBuf};

use snafu::{ResultExt, Snafu};

/// A program's name and what `--help` says of it.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The binary's name.
    pub name: &'static str,
    /// What it does, one line.
    pub about: &'static str,
}

/// What the operator asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invocation {
    /// Run with this settings file.
    Run(PathBuf),
    /// Print the settings in force and exit.
    Check(PathBuf),
    /// Print this text and exit.
    Print(String),
}

/// A command line that can't be understood.
#[derive(Debug, Snafu)]
pub enum ArgumentError {
    /// An option has no value or a wrong one.
    #[snafu(display("{source}; see --help"))]
    Option {
        /// The parser's error.
        source: pico_args::Error,
    },
    /// There are words that no option takes.
    #[snafu(display("unknown argument {}; see --help", argument.display()))]
    Unknown {
        /// The first of them.
        argument: OsString,
    },
}

/// Parses `--settings FILE [--check]`, `--help` and `--version`.
///
/// # Examples
///
/// ```
/// use quincevalve_program::{Invocation, Program, parse_arguments};
/// let program = Program { name: "quincevalve-entry", about: "The request path." };
/// let invocation = parse_arguments(program, vec!["--settings".into(), "a.toml".into()])?;
/// assert_eq!(invocation, Invocation::Run("a.toml".into()));
/// # Ok::<(), quincevalve_program::ArgumentError>(())
/// ```
pub fn parse_arguments(
    program: Program,
    arguments: Vec<OsString>,
) -> Result<Invocation, ArgumentError> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Invocation::Print(help(program)));
    }
    if arguments.contains(["-V", "--version"]) {
        let version = format!("{} {}", program.name, env!("CARGO_PKG_VERSION"));
        return Ok(Invocation::Print(version));
    }
    let check = arguments.contains("--check");
    let settings = arguments
        .value_from_os_str("--settings", |it| Ok::<_, std::convert::Infallible>(PathBuf::from(it)))
        .context(OptionSnafu)?;
    if let Some(argument) = arguments.finish().into_iter().next() {
        return UnknownSnafu { argument }.fail();
    }
    Ok(if check { Invocation::Check(settings) } else { Invocation::Run(settings) })
}

fn help(program: Program) -> String {
    format!(
        "{about}\n\nUsage: {name} --settings FILE [--check]\n\n\
         Options:\n  \
         --settings FILE  the TOML settings of this process\n  \
         --check          print the settings in force and exit\n  \
         -h, --help       print this text\n  \
         -V, --version    print the version",
        about = program.about,
        name = program.name,
    )
}
