//! The roll-outs of one service: the observed evidence on both versions and the decisions based on it.

use std::fmt::Write;

use crate::line::{LogLine, LogLines};

/// Roll-out events that are printed with their fields.
const PRINTED_EVENTS: [&str; 5] = [
    "rollout-ordered",
    "rollout-order-removed",
    "rollout-halted",
    "rollout-step",
    "rollout-call-failed",
];
/// Width of a full bar, in characters.
const BAR_COLUMNS: usize = 20;

/// Returns a service's roll-outs as a table: a row for each evaluation of both versions, and the other events between.
///
/// The bars show the new version's share of all answers, the fraction of its answers that failed, and the logarithm of
/// the likelihood ratio relative to the bound at which the version is rolled back. Returns `None` if no line belongs to
/// the service.
///
/// # Examples
///
/// ```
/// use quincevalve_explain::{line::LogLines, rollout::rollout};
/// let mut lines = LogLines::default();
/// lines.parse("vm-1", concat!(
///     r#"{"timestamp":"t1","message":"rollout-look","kvs":{"service":"lm","new_answers":40,"new_failed":10,"#,
///     r#""old_answers":360,"old_failed":0,"failures":21.0,"bound":7.0}}"#,
/// ));
/// let text = rollout(&lines, "lm").unwrap();
/// assert!(text.contains("10.0%") && text.contains("25.0%"), "{text}");
/// assert_eq!(rollout(&lines, "seats"), None);
/// ```
pub fn rollout(lines: &LogLines, service: &str) -> Option<String> {
    let of_service = |it: &&LogLine| {
        it.message.starts_with("rollout-") && it.kvs.get("service").is_some_and(|it| it == service)
    };
    let mut text = String::new();
    for line in lines.lines.iter().filter(of_service) {
        match line.message.as_str() {
            "rollout-look" => write_evaluation(&mut text, line),
            name if PRINTED_EVENTS.contains(&name) => {
                let _ = writeln!(text, "{} {} {name} {}", line.timestamp, line.vm, line.fields());
            }
            _ => {}
        }
    }
    (!text.is_empty()).then_some(text)
}

fn write_evaluation(text: &mut String, line: &LogLine) {
    let number = |name: &str| line.field(name).parse::<f64>().unwrap_or_default();
    let (new, old) = (number("new_answers"), number("old_answers"));
    let share = fraction(new, new + old);
    let failed = fraction(number("new_failed"), new);
    let old_failed = fraction(number("old_failed"), old);
    let statistic = number("failures");
    let bound = number("bound");
    let _ = writeln!(
        text,
        "{} share {:5.1}% |{}| failed {:5.1}% |{}| (old {:.1}%) statistic {statistic:6.1} of {bound:.1} |{}| {}",
        line.timestamp,
        100.0 * share,
        bar(share),
        100.0 * failed,
        bar(failed),
        100.0 * old_failed,
        bar(fraction(statistic, bound)),
        line.field("verdict"),
    );
}

fn fraction(numerator: f64, denominator: f64) -> f64 {
    if denominator > 0.0 { numerator / denominator } else { 0.0 }
}

/// Draws a bar of [`BAR_COLUMNS`] characters that is full at 1.
fn bar(value: f64) -> String {
    let filled = (value.clamp(0.0, 1.0) * BAR_COLUMNS as f64).round() as usize;
    format!("{}{}", "#".repeat(filled), " ".repeat(BAR_COLUMNS - filled))
}
