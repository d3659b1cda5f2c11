//! Functions that all quincevalve programs share: command line, settings files, logs, metrics and panics.

// Values from outside must not end a task. An exception gives its reason at the place.
#![warn(
    clippy::disallowed_methods,
    clippy::expect_used,
    clippy::get_unwrap,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::string_slice,
    clippy::todo,
    clippy::unimplemented,
    clippy::unreachable
)]

mod arguments;
mod bounded_stdout;
mod launch;
mod logs;
mod metrics;
mod panics;
mod settings;
mod stop;

pub use crate::{
    arguments::{ArgumentError, Invocation, Program, parse_arguments},
    launch::{ProgramSettings, launch},
    logs::{LogFormat, LogLevel, LogSettings, start_logs},
    metrics::{Metrics, MetricsError, MetricsSettings},
    panics::{contain_panic, describe_panic},
    settings::{SettingsError, parse_settings, read_settings},
    stop::stop_signal,
};
