//! Compares the error messages for invalid settings with fixtures.

use std::path::Path;

use quincevalve_entry::EntrySettings;
use quincevalve_program::parse_settings;

/// Environment variable that makes the test rewrite the expected texts. Review every change to them.
const UPDATE: &str = "UPDATE_FIXTURES";

fn error_matches_fixture(path: &Path, text: String) -> datatest_stable::Result<()> {
    let name = path.file_name().unwrap_or_default();
    let error = match parse_settings::<EntrySettings>(Path::new(name), &text) {
        Ok(_) => return Err("the settings were accepted".into()),
        Err(error) => format!("{error}\n"),
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
    { test = error_matches_fixture, root = "resources/test/fixtures/settings", pattern = r".*\.toml$" },
}
