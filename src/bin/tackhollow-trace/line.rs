//! One line of a gateway's log.

use serde_json::{Map, Value};

/// One line of a gateway's log.
#[derive(Clone, Debug)]
pub struct Line {
    /// When it was written, in milliseconds since 1970.
    pub time_ms: u64,
    /// Process that wrote it.
    pub process: String,
    /// Name of the event.
    pub event: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; what stands before its first brace is passed over.
    pub fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let time_ms = fields.remove("time_ms")?.as_u64()?;
        let process = fields.remove("process")?.as_str()?.to_owned();
        let event = fields.remove("event")?.as_str()?.to_owned();
        Some(Self { time_ms, process, event, fields })
    }

    /// Returns a field as text; empty if it is absent.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field as a list of texts; empty if it is absent.
    pub fn texts(&self, name: &str) -> Vec<&str> {
        let list = self.fields.get(name).and_then(Value::as_array);
        list.into_iter().flatten().filter_map(Value::as_str).collect()
    }

    /// Returns a field as a number; zero if it is absent.
    pub fn number(&self, name: &str) -> f64 {
        self.fields.get(name).and_then(Value::as_f64).unwrap_or_default()
    }

    /// Returns the fields that are not in `without`, as `name=value`.
    pub fn details(&self, without: &[&str]) -> String {
        let told = self.fields.iter().filter(|(name, _)| !without.contains(&name.as_str()));
        let words = told.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        words.collect::<Vec<_>>().join(" ")
    }
}
