//! Log lines, as the processes write them.

use serde::Deserialize;
use serde_json::{Map, Value};

/// One line of a process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Line {
    /// When it was written, by the VM's time of day.
    pub timestamp: String,
    /// The event.
    pub message: String,
    /// Its fields.
    #[serde(default)]
    pub kvs: Map<String, Value>,
    /// The VM, by the name of the file that holds the line.
    #[serde(skip)]
    pub vm: String,
}

impl Line {
    /// A field as text; empty where there is none.
    pub fn field(&self, name: &str) -> String {
        match self.kvs.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
        }
    }

    /// Whether the line is of the request `id`.
    pub fn is_of(&self, id: &str) -> bool {
        self.kvs.get("id").and_then(Value::as_str) == Some(id)
    }

    /// The fields but the request's id, in a fixed order.
    pub fn fields(&self) -> String {
        let mut names: Vec<&String> = self.kvs.keys().filter(|it| *it != "id").collect();
        names.sort_unstable();
        let fields: Vec<_> = names.iter().map(|it| format!("{it}={}", self.field(it))).collect();
        fields.join(" ")
    }
}

/// The lines of several files, oldest first, and how many could not be read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lines {
    /// Those that could be read.
    pub lines: Vec<Line>,
    /// Those that could not: cut off by a full disk or a killed process, or not ours.
    pub unreadable: usize,
}

impl Lines {
    /// Takes the lines of one VM. What stands before the first brace of a line is left out: collectors of logs put
    /// their own time and names there.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_explain::line::Lines;
    /// let mut lines = Lines::default();
    /// lines.read("vm-1", r#"{"timestamp":"t","message":"refused","kvs":{"id":"7"}}"#);
    /// lines.read("vm-1", "{\"timestamp\":\"t\",\"mess");
    /// assert_eq!((lines.lines.len(), lines.unreadable), (1, 1));
    /// assert!(lines.lines[0].is_of("7"));
    /// ```
    pub fn read(&mut self, vm: &str, text: &str) {
        for line in text.lines().filter(|it| !it.trim().is_empty()) {
            let start = line.find('{').unwrap_or(line.len());
            match serde_json::from_str::<Line>(&line[start..]) {
                Ok(line) => self.lines.push(Line { vm: vm.to_owned(), ..line }),
                Err(_) => self.unreadable += 1,
            }
        }
        self.lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    }
}
