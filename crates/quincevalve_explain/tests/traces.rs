//! Compares the traces of failed requests with fixtures. The log lines were written by the real program; those of
//! quota owners in `over-quota-by-owner` were added by hand.
//!
//! The first line of a `.log` fixture is the request's id; the others are log lines of one VM. The `.txt` fixture
//! beside it holds the expected trace. `UPDATE_FIXTURES=1 cargo test -p quincevalve_explain` rewrites the expected
//! traces; review every change to them.

use std::{fs, path::Path};

use quincevalve_explain::{line::LogLines, trace::trace};

fn trace_matches_fixture(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let (id, log) = text.split_once('\n').ok_or("a fixture without an id")?;
    let mut lines = LogLines::default();
    lines.parse("vm", log);
    let actual = trace(&lines, id).ok_or("no line of the request")?;
    let expected = path.with_extension("txt");
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        fs::write(&expected, &actual)?;
    }
    let expected = fs::read_to_string(expected)?;
    if actual != expected {
        return Err(format!("actual:\n{actual}\nexpected:\n{expected}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = trace_matches_fixture, root = "resources/test/fixtures", pattern = r"\.log$" },
}
