//! Reading of settings that collects every mistake with its place.

use std::{
    collections::BTreeSet,
    fmt, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use thiserror::Error;
use toml::{Table, Value};

/// A mistake in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The key, with its section.
    pub key: String,
    /// What was expected.
    pub expected: String,
    /// What was found, or `nothing`.
    pub found: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}, found {}", self.key, self.expected, self.found)
    }
}

/// Why settings could not be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not TOML.
    #[error("{}: {message}", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Where and why.
        message: String,
    },
    /// The file holds mistakes.
    #[error("{}", list(path, mistakes))]
    Mistakes {
        /// The file.
        path: PathBuf,
        /// Every mistake.
        mistakes: Vec<Mistake>,
    },
}

fn list(path: &Path, mistakes: &[Mistake]) -> String {
    let lines = mistakes.iter().map(|m| format!("{}: {m}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// Reads a settings file with `parse`, which reports mistakes to the section.
pub fn load<T>(path: &Path, parse: impl FnOnce(&mut Section) -> T) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    let table: Table = text.parse().map_err(|e: toml::de::Error| SettingsError::Syntax {
        path: path.to_owned(),
        message: e.to_string(),
    })?;
    let mut root = Section::new(table, String::new());
    let settings = parse(&mut root);
    let mistakes = root.finish();
    if mistakes.is_empty() {
        return Ok(settings);
    }
    Err(SettingsError::Mistakes { path: path.to_owned(), mistakes })
}

/// A table of settings that is being read.
#[derive(Debug)]
pub struct Section {
    table: Table,
    path: String,
    known: BTreeSet<String>,
    mistakes: Vec<Mistake>,
}

impl Section {
    /// Creates a section from a table; `path` is empty at the root.
    pub fn new(table: Table, path: String) -> Self {
        Self { table, path, known: BTreeSet::new(), mistakes: Vec::new() }
    }

    /// Reads a sub-table with `parse`; an absent one reads as empty.
    pub fn section<T>(&mut self, key: &str, parse: impl FnOnce(&mut Self) -> T) -> T {
        let table = match self.take(key) {
            None => Table::new(),
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.mistake(key, "a table", &describe(&other));
                Table::new()
            }
        };
        let mut section = Self::new(table, self.full(key));
        let parsed = parse(&mut section);
        self.mistakes.extend(section.finish());
        parsed
    }

    /// Reads a text that must be there and not empty.
    pub fn text(&mut self, key: &str) -> String {
        match self.take(key) {
            Some(Value::String(s)) if !s.is_empty() => s,
            other => self.wrong(key, "a text that is not empty", other.as_ref(), String::new()),
        }
    }

    /// Reads a list of texts; an absent one is empty.
    pub fn texts(&mut self, key: &str) -> Vec<String> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let texts = value.as_array().map(|items| {
            items.iter().map(|v| v.as_str().map(str::to_owned)).collect::<Option<Vec<_>>>()
        });
        match texts.flatten() {
            Some(texts) => texts,
            None => self.wrong(key, "a list of texts", Some(&value), Vec::new()),
        }
    }

    /// Reads a list of words of a closed set; an absent one is empty.
    pub fn some_of<T: Copy>(&mut self, key: &str, words: &[(&str, T)]) -> Vec<T> {
        let listed = self.texts(key);
        let named = |text: &String| words.iter().find(|(word, _)| word == text).map(|(_, t)| *t);
        let found: Vec<T> = listed.iter().filter_map(named).collect();
        if found.len() < listed.len() {
            let names: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            self.mistake(key, &format!("some of {}", names.join(", ")), &listed.join(", "));
        }
        found
    }

    /// Reads an address that must be there.
    pub fn addr(&mut self, key: &str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let value = self.take(key);
        let parsed = value.as_ref().and_then(|v| v.as_str()).and_then(|s| s.parse().ok());
        parsed.unwrap_or_else(|| self.wrong(key, "an IP number and a port", value.as_ref(), unset))
    }

    /// Reads a list of addresses; an absent one is empty.
    pub fn addrs(&mut self, key: &str) -> Vec<SocketAddr> {
        let texts = self.texts(key);
        let parsed: Result<Vec<SocketAddr>, _> = texts.iter().map(|t| t.parse()).collect();
        parsed.unwrap_or_else(|_| {
            self.mistake(key, "a list of IP numbers with ports", &format!("{texts:?}"));
            Vec::new()
        })
    }

    /// Reads a whole number from `1` up, or takes the default.
    pub fn count(&mut self, key: &str, default: u32) -> u32 {
        let value = self.take(key);
        match &value {
            None => default,
            Some(Value::Integer(n)) if *n > 0 && *n <= i64::from(u32::MAX) => *n as u32,
            Some(_) => self.wrong(key, "a whole number above zero", value.as_ref(), default),
        }
    }

    /// Reads a time in milliseconds from `1` up, or takes the default.
    pub fn millis(&mut self, key: &str, default: Duration) -> Duration {
        let value = self.take(key);
        match &value {
            None => default,
            Some(Value::Integer(n)) if *n > 0 => Duration::from_millis(*n as u64),
            Some(_) => self.wrong(key, "milliseconds above zero", value.as_ref(), default),
        }
    }

    /// Reads a number that is not negative, or takes the default.
    pub fn number(&mut self, key: &str, default: f64) -> f64 {
        let value = self.take(key);
        let read = match &value {
            None => Some(default),
            Some(Value::Integer(n)) => Some(*n as f64),
            Some(Value::Float(n)) => Some(*n),
            Some(_) => None,
        };
        match read.filter(|n| *n >= 0.0 && n.is_finite()) {
            Some(n) => n,
            None => self.wrong(key, "a number that is not negative", value.as_ref(), default),
        }
    }

    /// Reads a time in seconds above zero, or takes the default.
    pub fn seconds(&mut self, key: &str, default: Duration) -> Duration {
        let read = self.number(key, default.as_secs_f64());
        match Duration::try_from_secs_f64(read) {
            Ok(time) if !time.is_zero() => time,
            _ => {
                self.mistake(key, "seconds above zero", &read.to_string());
                default
            }
        }
    }

    /// Reads one of a closed set of words, or takes the default.
    pub fn one_of<T: Copy>(&mut self, key: &str, words: &[(&str, T)], default: T) -> T {
        let Some(value) = self.take(key) else {
            return default;
        };
        let found = value.as_str().and_then(|s| words.iter().find(|(word, _)| *word == s));
        if let Some((_, value)) = found {
            return *value;
        }
        let names: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        self.wrong(key, &format!("one of {}", names.join(", ")), Some(&value), default)
    }

    /// Returns the mistakes, one for each key that was not asked for included.
    pub fn finish(self) -> Vec<Mistake> {
        let mut mistakes = self.mistakes;
        let prefix = if self.path.is_empty() { String::new() } else { format!("{}.", self.path) };
        for key in self.table.keys().filter(|k| !self.known.contains(*k)) {
            let known: Vec<&str> = self.known.iter().map(String::as_str).collect();
            mistakes.push(Mistake {
                key: format!("{prefix}{key}"),
                expected: format!("one of the keys {}", known.join(", ")),
                found: "an unknown key".to_owned(),
            });
        }
        mistakes
    }

    /// Reports a mistake.
    pub fn mistake(&mut self, key: &str, expected: &str, found: &str) {
        let mistake =
            Mistake { key: self.full(key), expected: expected.to_owned(), found: found.to_owned() };
        self.mistakes.push(mistake);
    }

    fn wrong<T>(&mut self, key: &str, expected: &str, found: Option<&Value>, default: T) -> T {
        let found = found.map_or_else(|| "nothing".to_owned(), describe);
        self.mistake(key, expected, &found);
        default
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        self.known.insert(key.to_owned());
        self.table.get(key).cloned()
    }

    fn full(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
}

fn describe(value: &Value) -> String {
    format!("{} {value}", value.type_str())
}
