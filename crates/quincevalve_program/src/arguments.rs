//! The command line of the long-running programs.

use std::{ffi::OsString, path::PathBuf};

use snafu::{ResultExt, Snafu};

/// A program's name and its description in the output of `--help`.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The name of the binary.
    pub name: &'static str,
    /// A one-line description.
    pub about: &'static str,
}

/// The action requested on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invocation {
    /// Run with a settings file.
    Run(PathBuf),
    /// Print the effective settings and exit.
    Check(PathBuf),
    /// Print a text and exit.
    Print(String),
}

/// The error for an invalid command line.
#[derive(Debug, Snafu)]
pub enum ArgumentError {
    /// An option's value is missing or invalid.
    #[snafu(display("{source}; see --help"))]
    Option {
        /// The parser's error.
        source: pico_args::Error,
    },
    /// There are arguments that belong to no option.
    #[snafu(display("unknown argument {}; see --help", argument.display()))]
    Unknown {
        /// The first unknown argument.
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
