//! What operators are shown for an inventory that can't be taken, pinned.

use std::path::Path;

use quincevalve_inventory::{Format, read_inventory};

/// Set it to write the expected texts anew; then read every change to them.
const UPDATE: &str = "UPDATE_FIXTURES";

fn refused(path: &Path, text: String) -> datatest_stable::Result<()> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let error = match read_inventory(&name, &text, Format::Toml) {
        Ok(_) => return Err(format!("{name} was taken").into()),
        Err(error) => format!("{}\n", error.to_string().trim_end()),
    };
    let expected = path.with_extension("txt");
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(&expected, &error)?;
    }
    let expected = std::fs::read_to_string(expected)?;
    if error == expected {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\ngot:\n{error}").into())
}

datatest_stable::harness! {
    { test = refused, root = "resources/test/fixtures", pattern = r".*\.toml$" },
}
