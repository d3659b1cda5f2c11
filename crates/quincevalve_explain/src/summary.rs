//! The decisions in a time range, counted by event and cause.

use std::fmt::Write;

use indexmap::IndexMap;

use crate::line::{LogLine, LogLines};

/// Counts the lines with `from <= timestamp < until` by event and cause, most frequent first.
///
/// # Examples
///
/// ```
/// use quincevalve_explain::{line::LogLines, summary::summary};
/// let mut lines = LogLines::default();
/// let line = r#"{"timestamp":"2026-01-01T00:00:01","message":"refused","kvs":{"id":"7","cause":"busy"}}"#;
/// lines.parse("vm-1", line);
/// assert_eq!(summary(&lines, "2026-01-01T00:00:00", "2026-01-01T00:00:02"), "     1 refused busy\n");
/// ```
pub fn summary(lines: &LogLines, from: &str, until: &str) -> String {
    let mut counts: IndexMap<String, u64> = IndexMap::new();
    let is_within = |it: &&LogLine| it.timestamp.as_str() >= from && it.timestamp.as_str() < until;
    for line in lines.lines.iter().filter(is_within) {
        *counts.entry(decision(line)).or_default() += 1;
    }
    counts.sort_by(|a, left, b, right| right.cmp(left).then_with(|| a.cmp(b)));
    let mut text = String::new();
    for (decision, count) in &counts {
        let _ = writeln!(text, "{count:>6} {decision}");
    }
    text
}

/// Returns the event's name, followed by the first field that states its cause or outcome.
fn decision(line: &LogLine) -> String {
    let kind = ["cause", "how", "status", "outcome", "error"].iter().find_map(|name| {
        let value = line.field(name);
        (!value.is_empty()).then_some(value)
    });
    match kind {
        Some(kind) => format!("{} {kind}", line.message),
        None => line.message.clone(),
    }
}
