//! Output of the trial: a table per class, the refusals, the verdict and optionally its JSON.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    caller::{CallResult, Received},
    fault::Fault,
    operator::Race,
    options::Options,
    testbed::Testbed,
    verdict::{Verdict, percentile},
};

/// Results of a finished run.
pub(crate) struct Report {
    verdict: Verdict,
    received: Vec<Received>,
    title: String,
    store_calls: (u64, u64),
    faults: Vec<Fault>,
    races: Vec<Race>,
}

impl Report {
    pub(crate) fn new(options: &Options, testbed: &Testbed, received: Vec<Received>) -> Self {
        let faults: Vec<_> = options.faults.iter().map(|it| it.name()).collect();
        let faults = if faults.is_empty() { "none".to_owned() } else { faults.join(", ") };
        let title = format!(
            "{}: {} requests, seed {}, {} entry VMs, {} backend servers, faults: {faults}",
            options.user.name(),
            options.requests,
            options.seed,
            testbed.entries.len(),
            testbed.backends.len(),
        );
        let verdict = Verdict::from_run(options, testbed, &received);
        Self {
            verdict,
            received,
            title,
            store_calls: testbed.platform.store_calls(),
            faults: options.faults.clone(),
            races: testbed.races.clone(),
        }
    }

    pub(crate) fn is_clean(&self) -> bool {
        self.verdict.is_clean(&self.faults) && self.races.iter().all(Race::is_clean)
    }

    #[expect(clippy::print_stdout, reason = "the report is the program's output")]
    pub(crate) fn print(&self, json: bool) {
        println!("{}\n", self.title);
        println!(
            "{:<14} {:>6} {:>8} {:>8} {:>13} {:>10} {:>12} {:>12}",
            "class",
            "sent",
            "whole",
            "refused",
            "may-have-run",
            "reattached",
            "first p95",
            "end p95"
        );
        for (class, rows) in self.by_class() {
            println!("{}", class_row(class, &rows));
        }
        for line in self.failure_lines() {
            println!("{line}");
        }
        let it = &self.verdict;
        println!(
            "\nlost {}, wrong {}, ran twice {}, untruthful {}, cut off {}; tokens recomputed {}; \
             store reads {}, writes {}",
            it.lost,
            it.wrong,
            it.ran_twice,
            it.untruthful,
            it.cut_off,
            it.tokens_recomputed,
            self.store_calls.0,
            self.store_calls.1,
        );
        for race in &self.races {
            println!("{race}");
        }
        println!("{}", if self.is_clean() { "clean" } else { "NOT CLEAN" });
        if json {
            println!("{}", serde_json::to_string(it).unwrap_or_default());
        }
    }

    fn by_class(&self) -> IndexMap<&'static str, Vec<&Received>> {
        let mut classes: IndexMap<_, Vec<_>> = IndexMap::new();
        for it in &self.received {
            classes.entry(it.planned.class).or_default().push(it);
        }
        classes
    }

    /// Formats a line for every request without an answer, then the number of refusals by error code.
    fn failure_lines(&self) -> Vec<String> {
        let mut codes: IndexMap<String, u32> = IndexMap::new();
        let mut lines = Vec::new();
        for it in &self.received {
            match &it.result {
                CallResult::Refused { outcome, code } => {
                    *codes.entry(format!("{code} ({outcome})")).or_default() += 1;
                }
                CallResult::CutOff | CallResult::Nothing => {
                    let id = it.id.map_or_else(|| "no id".to_owned(), |it| it.to_string());
                    lines.push(format!(
                        "  request {} ({}, {id}): {:?} after {:?}",
                        it.planned.number, it.planned.class, it.result, it.elapsed
                    ));
                }
                CallResult::Whole(_) => {}
            }
        }
        lines.extend(codes.iter().map(|(code, count)| format!("  refused {count}: {code}")));
        lines
    }
}

fn class_row(class: &str, rows: &[&Received]) -> String {
    let count =
        |wanted: fn(&CallResult) -> bool| rows.iter().filter(|it| wanted(&it.result)).count();
    let firsts: Vec<Duration> = rows.iter().filter_map(|it| it.first_token).collect();
    let ends: Vec<Duration> = rows.iter().map(|it| it.elapsed).collect();
    format!(
        "{:<14} {:>6} {:>8} {:>8} {:>13} {:>10} {:>9.1} ms {:>9.1} ms",
        class,
        rows.len(),
        count(|it| matches!(it, CallResult::Whole(_))),
        count(|it| matches!(
            it,
            CallResult::Refused { outcome: quincevalve_names::Outcome::NotRun, .. }
        )),
        count(|it| {
            matches!(
                it,
                CallResult::Refused { outcome: quincevalve_names::Outcome::MayHaveRun, .. }
            )
        }),
        rows.iter().filter(|it| it.reattached).count(),
        percentile(firsts, 0.95).as_secs_f64() * 1_000.0,
        percentile(ends, 0.95).as_secs_f64() * 1_000.0,
    )
}
