//! One service's roll-outs: what was seen of both versions, and what was decided by it.

use std::fmt::Write;

use crate::line::{Line, Lines};

/// Events of a roll-out that are told as they are.
const STEPS: [&str; 5] = [
    "rollout-ordered",
    "rollout-order-removed",
    "rollout-halted",
    "rollout-step",
    "rollout-call-failed",
];
/// Columns of a bar.
const BAR: usize = 20;

/// A service's roll-outs as a table, a row for each look at both versions, with the steps between.
///
/// The bars draw the new version's share of all answers, the failures among its answers, and the logarithm of the
/// likelihood ratio against the bound at which it is rolled back. `None` where no line is of the service.
///
/// # Examples
///
/// ```
/// use quincevalve_explain::{line::Lines, rollout::rollout};
/// let mut lines = Lines::default();
/// lines.read("vm-1", concat!(
///     r#"{"timestamp":"t1","message":"rollout-look","kvs":{"service":"lm","new_answers":40,"new_failed":10,"#,
///     r#""old_answers":360,"old_failed":0,"failures":21.0,"bound":7.0}}"#,
/// ));
/// let text = rollout(&lines, "lm").unwrap();
/// assert!(text.contains("10.0%") && text.contains("25.0%"), "{text}");
/// assert_eq!(rollout(&lines, "seats"), None);
/// ```
pub fn rollout(lines: &Lines, service: &str) -> Option<String> {
    let of_service = |it: &&Line| {
        it.message.starts_with("rollout-") && it.kvs.get("service").is_some_and(|it| it == service)
    };
    let mut text = String::new();
    for line in lines.lines.iter().filter(of_service) {
        match line.message.as_str() {
            "rollout-look" => write_look(&mut text, line),
            name if STEPS.contains(&name) => {
                let _ = writeln!(text, "{} {} {name} {}", line.timestamp, line.vm, line.fields());
            }
            _ => {}
        }
    }
    (!text.is_empty()).then_some(text)
}

fn write_look(text: &mut String, line: &Line) {
    let number = |name: &str| line.field(name).parse::<f64>().unwrap_or_default();
    let (new, old) = (number("new_answers"), number("old_answers"));
    let share = part(new, new + old);
    let failed = part(number("new_failed"), new);
    let old_failed = part(number("old_failed"), old);
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
        bar(part(statistic, bound)),
        line.field("verdict"),
    );
}

fn part(of: f64, whole: f64) -> f64 {
    if whole > 0.0 { of / whole } else { 0.0 }
}

/// A bar that is full at 1.
fn bar(part: f64) -> String {
    let filled = (part.clamp(0.0, 1.0) * BAR as f64).round() as usize;
    format!("{}{}", "#".repeat(filled), " ".repeat(BAR - filled))
}
