//! Parsing an inventory from TOML or JSON text.

use snafu::Snafu;

use crate::{
    Inventory,
    checks::{self, Finding},
};

/// The text format of an inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// TOML, used in the operators' files.
    Toml,
    /// JSON, used by the administration API.
    Json,
}

/// The error for an inventory that is not accepted.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The text is not valid in its format, or a field is unknown, missing or of the wrong type.
    #[snafu(display("{file}: {problem}"))]
    Syntax {
        /// The file's name, as given by the operator.
        file: String,
        /// The parser's message, with the line, the field and the allowed values.
        problem: String,
    },
    /// The text was parsed, but checks found errors in the inventory.
    #[snafu(display("{}", display_findings(file, findings)))]
    Invalid {
        /// The file's name, as given by the operator.
        file: String,
        /// All findings, not only the first.
        findings: Vec<Finding>,
    },
}

fn display_findings(file: &str, findings: &[Finding]) -> String {
    let lines: Vec<_> = findings.iter().map(|it| format!("{file}: {it}")).collect();
    lines.join("\n")
}

/// Parses an inventory and runs all checks on it; `file` is used only in errors.
///
/// # Examples
///
/// ```
/// use quincevalve_inventory::{Format, read_inventory};
/// let text = "[data_centre.erding]\nregion = \"obb\"\n";
/// let error = read_inventory("inventory.toml", text, Format::Toml).unwrap_err();
/// assert!(error.to_string().contains("data_centre.erding.region"));
/// ```
pub fn read_inventory(file: &str, text: &str, format: Format) -> Result<Inventory, ReadError> {
    let parsed = match format {
        Format::Toml => toml::from_str(text).map_err(|it| it.to_string()),
        Format::Json => serde_json::from_str(text).map_err(|it| it.to_string()),
    };
    let inventory: Inventory =
        parsed.map_err(|problem| ReadError::Syntax { file: file.to_owned(), problem })?;
    let findings = checks::run_all(&inventory);
    if findings.is_empty() {
        return Ok(inventory);
    }
    Err(ReadError::Invalid { file: file.to_owned(), findings })
}
