//! Functions that all quincevalve programs share: command line, settings files, logs and metrics.

mod arguments;
mod bounded_stdout;
mod launch;
mod logs;
mod metrics;
mod settings;
mod stop;

pub use crate::{
    arguments::{ArgumentError, Invocation, Program, parse_arguments},
    launch::{ProgramSettings, launch},
    logs::{LogFormat, LogLevel, LogSettings, start_logs},
    metrics::{Metrics, MetricsError, MetricsSettings},
    settings::{SettingsError, parse_settings, read_settings},
    stop::stop_signal,
};
