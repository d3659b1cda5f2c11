//! Error budgets and burn rates.

use std::net::SocketAddr;

use indexmap::IndexMap;
use quincevalve_entry::{BurnReport, BurnRow};
use quincevalve_names::{ClassName, ClientAccountName, RequestId};
use serde::Serialize;

use crate::collect::Collected;

/// The windows, in minutes. A short one shows what happens now, a long one what it costs.
pub(crate) const WINDOWS: [u64; 4] = [5, 30, 60, 360];

/// One account's requests of one class.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) account: ClientAccountName,
    pub(crate) class: ClassName,
    pub(crate) good: u64,
    pub(crate) bad: u64,
    /// The part of the error budget of the longest window that is left; below 0 if overspent.
    pub(crate) budget_left: f64,
    /// Burn rates in the order of [`WINDOWS`]: 1 spends the budget exactly in its window.
    pub(crate) burn: Vec<f64>,
    /// Some of the bad requests, the newest last.
    pub(crate) examples: Vec<RequestId>,
}

/// The report.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) objective: f64,
    pub(crate) window_minutes: Vec<u64>,
    pub(crate) rows: Vec<Row>,
    /// Entry VMs that could not be reached: their requests are not in the rows.
    pub(crate) missing: Vec<SocketAddr>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    by_window: [(u64, u64); WINDOWS.len()],
    examples: Vec<RequestId>,
}

impl Report {
    pub(crate) fn new(objective: f64, collected: &Collected) -> Self {
        let mut counts: IndexMap<(ClientAccountName, ClassName), Counts> = IndexMap::new();
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
            missing: collected.missing.clone(),
        }
    }

    #[expect(clippy::print_stdout, reason = "the report is what the program is for")]
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

impl Counts {
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
    fn new(objective: f64, account: ClientAccountName, class: ClassName, counts: Counts) -> Self {
        let burn: Vec<_> =
            counts.by_window.iter().map(|it| burn_rate(objective, it.0, it.1)).collect();
        let (good, bad) = counts.by_window[WINDOWS.len() - 1];
        let budget_left = 1.0 - burn[WINDOWS.len() - 1];
        Self { account, class, good, bad, budget_left, burn, examples: counts.examples }
    }
}

/// How many times as fast as the objective allows the budget is spent.
fn burn_rate(objective: f64, good: u64, bad: u64) -> f64 {
    let all = good + bad;
    if all == 0 {
        return 0.0;
    }
    (bad as f64 / all as f64) / (1.0 - objective)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_burn_of_one_spends_the_budget_exactly() {
        assert!((burn_rate(0.95, 95, 5) - 1.0).abs() < 1e-9);
        assert!(burn_rate(0.95, 100, 0).abs() < 1e-9);
        assert!(burn_rate(0.95, 0, 0).abs() < 1e-9);
        assert!((burn_rate(0.95, 0, 7) - 20.0).abs() < 1e-9);
    }

    #[test]
    fn old_minutes_leave_the_short_window() {
        let bucket = |minute, bad| quincevalve_entry::BurnBucket { minute, good: 10, bad };
        let row = BurnRow {
            account: "a".into(),
            class: "c".into(),
            buckets: [bucket(1, 5), bucket(100, 0)].into(),
            examples: std::collections::VecDeque::new(),
        };
        let report = BurnReport { minute: 100, rows: vec![row] };
        let collected = Collected { reports: vec![report], missing: Vec::new() };
        let report = Report::new(0.95, &collected);
        assert!(report.rows[0].burn[0].abs() < 1e-9);
        assert!(report.rows[0].burn[3] > 1.0);
        assert_eq!((report.rows[0].good, report.rows[0].bad), (20, 5));
    }
}
