//! Parsing of the gateways' JSON log lines.

use serde_json::{Map, Value};

/// A log line of a gateway.
#[derive(Clone, Debug)]
pub struct Line {
    /// Time of writing, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Name of the gateway process that wrote the line.
    pub process: String,
    /// Name of the event, which determines the other fields.
    pub event: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line, skipping any prefix before the first brace.
    ///
    /// Returns `None` if the rest is not a JSON object with the fields `time_ms`, `process` and
    /// `event`.
    pub fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let time_ms = fields.remove("time_ms")?.as_u64()?;
        let process = fields.remove("process")?.as_str()?.to_owned();
        let event = fields.remove("event")?.as_str()?.to_owned();
        Some(Self { time_ms, process, event, fields })
    }

    /// Returns a field as a string; empty if it is absent or of another type.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field as a list of strings; empty if it is absent or of another type.
    pub fn texts(&self, name: &str) -> Vec<&str> {
        let list = self.fields.get(name).and_then(Value::as_array);
        list.into_iter().flatten().filter_map(Value::as_str).collect()
    }

    /// Returns a field as a number; zero if it is absent or of another type.
    pub fn number(&self, name: &str) -> f64 {
        self.fields.get(name).and_then(Value::as_f64).unwrap_or_default()
    }

    /// Formats the fields that are not in `excluded` as `name=value`, separated by spaces.
    pub fn details(&self, excluded: &[&str]) -> String {
        let shown = self.fields.iter().filter(|(name, _)| !excluded.contains(&name.as_str()));
        let pairs = shown.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        pairs.collect::<Vec<_>>().join(" ")
    }
}
