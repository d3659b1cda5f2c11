//! Computes error budgets and burn rates.

use std::net::SocketAddr;

use indexmap::IndexMap;
use quincevalve_entry::{BurnReport, BurnRow};
use quincevalve_names::{ClassName, ClientAccountName, RequestId};
use serde::Serialize;

use crate::collect::Collected;

/// Lengths of the burn-rate windows in minutes, ascending. Short windows show current failures, long windows their
/// effect on the error budget.
pub(crate) const WINDOWS: [u64; 4] = [5, 30, 60, 360];

/// Request counts and burn rates of one client account's requests of one class.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) account: ClientAccountName,
    pub(crate) class: ClassName,
    /// Requests in the longest window that met the service level.
    pub(crate) good: u64,
    /// Requests in the longest window that did not.
    pub(crate) bad: u64,
    /// Remaining fraction of the error budget over the longest window; negative if the budget is exceeded.
    pub(crate) budget_left: f64,
    /// Burn rates in the order of [`WINDOWS`]; at 1, the budget is used up exactly at the end of the window.
    pub(crate) burn: Vec<f64>,
    /// A sample of the bad requests; each VM lists its newest last.
    pub(crate) examples: Vec<RequestId>,
}

/// Burn rates of all accounts and classes over all entry VMs that responded.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) objective: f64,
    pub(crate) window_minutes: Vec<u64>,
    pub(crate) rows: Vec<Row>,
    /// Entry VMs that could not be reached; their requests are not counted in `rows`.
    pub(crate) missing: Vec<SocketAddr>,
}

#[derive(Clone, Debug, Default)]
struct WindowCounts {
    /// Good and bad requests in each of [`WINDOWS`].
    by_window: [(u64, u64); WINDOWS.len()],
    examples: Vec<RequestId>,
}

impl Report {
    pub(crate) fn new(objective: f64, collected: &Collected) -> Self {
        let mut counts: IndexMap<(ClientAccountName, ClassName), WindowCounts> = IndexMap::new();
        for report in &collected.reports {
            for row in &report.rows {
                let key = (row.account.clone(), row.class.clone());
                counts.entry(key).or_default().add(report, row);
            }
        }
        let rows = counts
            .into_iter()
            .map(|((account, class), counts)| Row::new(objective, account, class, counts));
        Self {
            objective,
            window_minutes: WINDOWS.to_vec(),
            rows: rows.collect(),
            missing: collected.unreachable.clone(),
        }
    }

    #[expect(clippy::print_stdout, reason = "the report goes to stdout")]
    pub(crate) fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::to_string(self).unwrap_or_default());
            return;
        }
        println!("objective {} over {} minutes", self.objective, WINDOWS[WINDOWS.len() - 1]);
        println!(
            "{:<18} {:<16} {:>8} {:>6} {:>12} {:>8} {:>8} {:>8} {:>8}",
            "account", "class", "good", "bad", "budget left", "5 min", "30 min", "1 h", "6 h"
        );
        for row in &self.rows {
            let burn: Vec<_> = row.burn.iter().map(|it| format!("{it:>8.2}")).collect();
            println!(
                "{:<18} {:<16} {:>8} {:>6} {:>11.1}% {}",
                row.account.as_str(),
                row.class.as_str(),
                row.good,
                row.bad,
                row.budget_left * 100.0,
                burn.join(" "),
            );
            for example in &row.examples {
                println!("    {example}");
            }
        }
        for entry in &self.missing {
            println!("missing: {entry} could not be reached; its requests are not counted");
        }
    }
}

impl WindowCounts {
    fn add(&mut self, report: &BurnReport, row: &BurnRow) {
        for bucket in &row.buckets {
            let age = report.minute.saturating_sub(bucket.minute);
            for (window, counts) in WINDOWS.iter().zip(&mut self.by_window) {
                if age < *window {
                    counts.0 += bucket.good;
                    counts.1 += bucket.bad;
                }
            }
        }
        self.examples.extend(row.examples.iter().copied());
    }
}

impl Row {
    fn new(
        objective: f64,
        account: ClientAccountName,
        class: ClassName,
        counts: WindowCounts,
    ) -> Self {
        let burn: Vec<_> =
            counts.by_window.iter().map(|it| burn_rate(objective, it.0, it.1)).collect();
        let (good, bad) = counts.by_window[WINDOWS.len() - 1];
        let budget_left = 1.0 - burn[WINDOWS.len() - 1];
        Self { account, class, good, bad, budget_left, burn, examples: counts.examples }
    }
}

/// Returns the ratio of the observed failure rate to the failure rate that the objective allows; 0 without requests.
fn burn_rate(objective: f64, good: u64, bad: u64) -> f64 {
    let total = good + bad;
    if total == 0 {
        return 0.0;
    }
    (bad as f64 / total as f64) / (1.0 - objective)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn burn_rate_is_one_when_failures_equal_the_error_budget() {
        assert!((burn_rate(0.95, 95, 5) - 1.0).abs() < 1e-9);
        assert!(burn_rate(0.95, 100, 0).abs() < 1e-9);
        assert!(burn_rate(0.95, 0, 0).abs() < 1e-9);
        assert!((burn_rate(0.95, 0, 7) - 20.0).abs() < 1e-9);
    }

    #[test]
    fn short_window_excludes_buckets_older_than_its_length() {
        let bucket = |minute, bad| quincevalve_entry::BurnBucket { minute, good: 10, bad };
        let row = BurnRow {
            account: "a".into(),
            class: "c".into(),
            buckets: [bucket(1, 5), bucket(100, 0)].into(),
            examples: std::collections::VecDeque::new(),
        };
        let report = BurnReport { minute: 100, rows: vec![row] };
        let collected = Collected { reports: vec![report], unreachable: Vec::new() };
        let report = Report::new(0.95, &collected);
        assert!(report.rows[0].burn[0].abs() < 1e-9);
        assert!(report.rows[0].burn[3] > 1.0);
        assert_eq!((report.rows[0].good, report.rows[0].bad), (20, 5));
    }
}
