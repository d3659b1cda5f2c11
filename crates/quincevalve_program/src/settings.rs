//! Reading settings files in TOML.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// The error for settings that can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not valid TOML, or a key is unknown or missing, or a value is not allowed.
    #[snafu(display("{}: {}", file.display(), source.to_string().trim_end()))]
    Parse {
        /// The file.
        file: PathBuf,
        /// The parser's error, with the line, the key, the value and the allowed values.
        source: Box<toml::de::Error>,
    },
}

/// Reads settings from a file.
pub fn read_settings<S>(file: &Path) -> Result<S, SettingsError>
where
    S: DeserializeOwned,
{
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    parse_settings(file, &text)
}

/// Parses the text of a settings file. `file` is used only in errors.
///
/// # Examples
///
/// ```
/// use std::path::Path;
/// use quincevalve_program::{LogSettings, parse_settings};
/// let error = parse_settings::<LogSettings>(Path::new("a.toml"), "colour = true").unwrap_err();
/// assert!(error.to_string().contains("unknown field `colour`"));
/// ```
pub fn parse_settings<S>(file: &Path, text: &str) -> Result<S, SettingsError>
where
    S: DeserializeOwned,
{
    toml::from_str(text).map_err(Box::new).context(ParseSnafu { file })
}
