//! Settings reader that collects all invalid settings of a file, each with its key.

use std::{
    collections::BTreeSet,
    fmt, fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use thiserror::Error;
use toml::{Table, Value};

/// An invalid or missing setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Full key, such as `limits.body_bytes`.
    pub key: String,
    /// Description of the valid values.
    pub expected: String,
    /// Type and value that the file holds, or `nothing` if the key is missing.
    pub found: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}, found {}", self.key, self.expected, self.found)
    }
}

/// Reason why settings could not be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The file is not TOML.
    #[error("{}: {message}", path.display())]
    Syntax {
        /// Path of the settings file.
        path: PathBuf,
        /// Position and reason, from the TOML parser.
        message: String,
    },
    /// The file holds invalid settings.
    #[error("{}", format_mistakes(path, mistakes))]
    Mistakes {
        /// Path of the settings file.
        path: PathBuf,
        /// All invalid settings; never empty.
        mistakes: Vec<Mistake>,
    },
}

fn format_mistakes(path: &Path, mistakes: &[Mistake]) -> String {
    let lines = mistakes.iter().map(|m| format!("{}: {m}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// Reads a settings file with `parse`, which reports invalid settings to the section.
///
/// # Errors
///
/// Fails if the file cannot be read, is not TOML or if `parse` reported invalid settings.
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

/// A TOML table that is being parsed into settings.
#[derive(Debug)]
pub struct Section {
    table: Table,
    path: String,
    known: BTreeSet<String>,
    mistakes: Vec<Mistake>,
}

impl Section {
    /// Creates a section; `path` is its full key, empty for the root table.
    pub fn new(table: Table, path: String) -> Self {
        Self { table, path, known: BTreeSet::new(), mistakes: Vec::new() }
    }

    /// Parses a sub-table; a missing one counts as empty.
    pub fn section<T>(&mut self, key: &str, parse: impl FnOnce(&mut Self) -> T) -> T {
        let table = match self.lookup(key) {
            None => Table::new(),
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.mistake(key, "a table", &describe(&other));
                Table::new()
            }
        };
        let mut section = Self::new(table, self.full_key(key));
        let parsed = parse(&mut section);
        self.mistakes.extend(section.finish());
        parsed
    }

    /// Returns a required, non-empty string.
    pub fn text(&mut self, key: &str) -> String {
        match self.lookup(key) {
            Some(Value::String(s)) if !s.is_empty() => s,
            other => self.invalid(key, "a text that is not empty", other.as_ref(), String::new()),
        }
    }

    /// Returns a list of strings, empty if the key is missing.
    pub fn texts(&mut self, key: &str) -> Vec<String> {
        let Some(value) = self.lookup(key) else {
            return Vec::new();
        };
        let texts = value.as_array().map(|items| {
            items.iter().map(|v| v.as_str().map(str::to_owned)).collect::<Option<Vec<_>>>()
        });
        match texts.flatten() {
            Some(texts) => texts,
            None => self.invalid(key, "a list of texts", Some(&value), Vec::new()),
        }
    }

    /// Returns the values of a list of enumerated words, empty if the key is missing.
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

    /// Returns a required IP address with port.
    pub fn addr(&mut self, key: &str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let value = self.lookup(key);
        let parsed = value.as_ref().and_then(|v| v.as_str()).and_then(|s| s.parse().ok());
        parsed
            .unwrap_or_else(|| self.invalid(key, "an IP number and a port", value.as_ref(), unset))
    }

    /// Returns an IP address, or `None` if the key is missing.
    pub fn optional_ip(&mut self, key: &str) -> Option<IpAddr> {
        let value = self.lookup(key)?;
        let parsed = value.as_str().and_then(|s| s.parse().ok());
        parsed.or_else(|| self.invalid(key, "an IP number", Some(&value), None))
    }

    /// Returns a list of IP addresses with ports, empty if the key is missing.
    pub fn addrs(&mut self, key: &str) -> Vec<SocketAddr> {
        let texts = self.texts(key);
        let parsed: Result<Vec<SocketAddr>, _> = texts.iter().map(|t| t.parse()).collect();
        parsed.unwrap_or_else(|_| {
            self.mistake(key, "a list of IP numbers with ports", &format!("{texts:?}"));
            Vec::new()
        })
    }

    /// Returns a positive integer, or `default` if the key is missing.
    pub fn count(&mut self, key: &str, default: u32) -> u32 {
        self.optional_count(key).unwrap_or(default)
    }

    /// Returns a positive integer, or `None` if the key is missing.
    pub fn optional_count(&mut self, key: &str) -> Option<u32> {
        let value = self.lookup(key)?;
        match &value {
            Value::Integer(n) if *n > 0 && *n <= i64::from(u32::MAX) => Some(*n as u32),
            _ => self.invalid(key, "a whole number above zero", Some(&value), None),
        }
    }

    /// Returns a positive integer of milliseconds, or `default` if the key is missing.
    pub fn millis(&mut self, key: &str, default: Duration) -> Duration {
        let value = self.lookup(key);
        match &value {
            None => default,
            Some(Value::Integer(n)) if *n > 0 => Duration::from_millis(*n as u64),
            Some(_) => self.invalid(key, "milliseconds above zero", value.as_ref(), default),
        }
    }

    /// Returns a non-negative number, or `default` if the key is missing.
    pub fn number(&mut self, key: &str, default: f64) -> f64 {
        let value = self.lookup(key);
        let read = match &value {
            None => Some(default),
            Some(Value::Integer(n)) => Some(*n as f64),
            Some(Value::Float(n)) => Some(*n),
            Some(_) => None,
        };
        match read.filter(|n| *n >= 0.0 && n.is_finite()) {
            Some(n) => n,
            None => self.invalid(key, "a number that is not negative", value.as_ref(), default),
        }
    }

    /// Returns a positive number of seconds, or `default` if the key is missing.
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

    /// Returns the value of an enumerated word, or `default` if the key is missing.
    pub fn one_of<T: Copy>(&mut self, key: &str, words: &[(&str, T)], default: T) -> T {
        let Some(value) = self.lookup(key) else {
            return default;
        };
        let found = value.as_str().and_then(|s| words.iter().find(|(word, _)| *word == s));
        if let Some((_, value)) = found {
            return *value;
        }
        let names: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        self.invalid(key, &format!("one of {}", names.join(", ")), Some(&value), default)
    }

    /// Returns all invalid settings, including the keys that no call has read.
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

    /// Reports an invalid setting.
    pub fn mistake(&mut self, key: &str, expected: &str, found: &str) {
        let mistake = Mistake {
            key: self.full_key(key),
            expected: expected.to_owned(),
            found: found.to_owned(),
        };
        self.mistakes.push(mistake);
    }

    /// Reports an invalid value and returns the default to continue with.
    fn invalid<T>(&mut self, key: &str, expected: &str, found: Option<&Value>, default: T) -> T {
        let found = found.map_or_else(|| "nothing".to_owned(), describe);
        self.mistake(key, expected, &found);
        default
    }

    /// Returns the value of a key and marks the key as known.
    fn lookup(&mut self, key: &str) -> Option<Value> {
        self.known.insert(key.to_owned());
        self.table.get(key).cloned()
    }

    fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
}

fn describe(value: &Value) -> String {
    format!("{} {value}", value.type_str())
}
