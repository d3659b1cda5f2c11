//! Structured logs: lines for people on standard error, JSON objects for collectors on standard output.

use std::fmt;

use log::LevelFilter;
use logforth::{
    append::Stderr,
    layout::TextLayout,
    record::{Level, LevelFilter as RecordFilter},
};
use serde::{Deserialize, Serialize};

use crate::bounded_stdout::BoundedStdout;

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line on standard output, for collectors.
    Json,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the system mends itself.
    Warn,
    /// Starts, stops, changes.
    #[default]
    Info,
    /// One line a request.
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
    /// The form of a line.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: LogLevel,
}

/// Starts logging for the whole process. A second call changes nothing.
pub fn start_logs(settings: &LogSettings) {
    // Libraries log what they call a span at the trace level past the process-wide limit, so each
    // record is held against the level once more.
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
