//! Structured logs: text on standard error, or JSON objects for log collectors on standard output.

use std::fmt;

use log::LevelFilter;
use logforth::{
    append::Stderr,
    layout::TextLayout,
    record::{Level, LevelFilter as RecordFilter},
};
use serde::{Deserialize, Serialize};

use crate::{bounded_stdout::BoundedStdout, panics::log_panics};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Readable text on standard error.
    #[default]
    Text,
    /// One JSON object per line on standard output, for log collectors.
    Json,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures from which the system recovers by itself.
    Warn,
    /// Starts, stops and changes of state.
    #[default]
    Info,
    /// One line per request.
    Debug,
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}

/// The `[log]` section of a settings file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: LogLevel,
}

/// Starts logging for the whole process, of its panics too. A second call changes nothing.
pub fn start_logs(settings: &LogSettings) {
    // Libraries log spans at the trace level without regard to the process-wide level, so each record is filtered
    // by its level again.
    let filter = RecordFilter::MoreSevereEqual(settings.level.into());
    let text = || Stderr::default().with_layout(TextLayout::default());
    let builder = match settings.format {
        LogFormat::Text => {
            logforth::starter_log::builder().dispatch(|it| it.filter(filter).append(text()))
        }
        LogFormat::Json => logforth::starter_log::builder()
            .dispatch(|it| it.filter(filter).append(BoundedStdout::start())),
    };
    if builder.try_apply().is_ok() {
        log::set_max_level(settings.level.into());
        log_panics();
    }
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}
