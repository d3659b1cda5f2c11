//! JSON log lines, as the processes write them.

use serde::Deserialize;
use serde_json::{Map, Value};

/// A log line of one process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct LogLine {
    /// When the line was written, by the VM's wall clock.
    pub timestamp: String,
    /// The name of the event.
    pub message: String,
    /// The fields of the event.
    #[serde(default)]
    pub kvs: Map<String, Value>,
    /// The VM, named after the file that holds the line.
    #[serde(skip)]
    pub vm: String,
}

impl LogLine {
    /// Returns a field as text, or an empty string if the line does not have the field.
    pub fn field(&self, name: &str) -> String {
        match self.kvs.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
        }
    }

    /// Returns whether the line belongs to the request `id`.
    pub fn belongs_to_request(&self, id: &str) -> bool {
        self.kvs.get("id").and_then(Value::as_str) == Some(id)
    }

    /// Returns all fields except the request id, sorted by name, as `name=value` separated by spaces.
    pub fn fields(&self) -> String {
        let mut names: Vec<&String> = self.kvs.keys().filter(|it| *it != "id").collect();
        names.sort_unstable();
        let fields: Vec<_> = names.iter().map(|it| format!("{it}={}", self.field(it))).collect();
        fields.join(" ")
    }
}

/// The lines of several files, oldest first, and the number of lines that could not be parsed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogLines {
    /// The lines that could be parsed.
    pub lines: Vec<LogLine>,
    /// Number of lines that could not be parsed: truncated by a full disk or a killed process, or written by other
    /// software.
    pub unreadable: usize,
}

impl LogLines {
    /// Parses the log of one VM and adds its lines. Text before the first brace of a line is ignored: log collectors
    /// put their own timestamps and names there.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_explain::line::LogLines;
    /// let mut lines = LogLines::default();
    /// lines.parse("vm-1", r#"{"timestamp":"t","message":"refused","kvs":{"id":"7"}}"#);
    /// lines.parse("vm-1", "{\"timestamp\":\"t\",\"mess");
    /// assert_eq!((lines.lines.len(), lines.unreadable), (1, 1));
    /// assert!(lines.lines[0].belongs_to_request("7"));
    /// ```
    pub fn parse(&mut self, vm: &str, text: &str) {
        for line in text.lines().filter(|it| !it.trim().is_empty()) {
            let start = line.find('{').unwrap_or(line.len());
            match serde_json::from_str::<LogLine>(&line[start..]) {
                Ok(line) => self.lines.push(LogLine { vm: vm.to_owned(), ..line }),
                Err(_) => self.unreadable += 1,
            }
        }
        self.lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    }
}
