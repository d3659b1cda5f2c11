//! Compares the errors that operators see for invalid inventories with fixtures.

use std::path::Path;

use quincevalve_inventory::{Format, read_inventory};

/// Environment variable that makes the test rewrite the expected texts. Review every change to them.
const UPDATE_VARIABLE: &str = "UPDATE_FIXTURES";

fn rejects_with_expected_errors(path: &Path, text: String) -> datatest_stable::Result<()> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let error = match read_inventory(&name, &text, Format::Toml) {
        Ok(_) => return Err(format!("{name} was accepted").into()),
        Err(error) => format!("{}\n", error.to_string().trim_end()),
    };
    let expected = path.with_extension("txt");
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        std::fs::write(&expected, &error)?;
    }
    let expected = std::fs::read_to_string(expected)?;
    if error == expected {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\ngot:\n{error}").into())
}

datatest_stable::harness! {
    { test = rejects_with_expected_errors, root = "resources/test/fixtures", pattern = r".*\.toml$" },
}
