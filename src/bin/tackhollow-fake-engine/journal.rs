//! Journal of what the engine ran; a file keeps it beyond the process's death.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::{Mutex, PoisonError},
};

use serde_json::Value;

/// Journal of what the engine ran.
#[derive(Debug)]
pub struct Journal {
    entries: Mutex<Vec<Value>>,
    file: Option<Mutex<File>>,
}

impl Journal {
    /// Opens the journal; entries are appended to `path` where given.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |p| OpenOptions::new().create(true).append(true).open(p);
        let file = path.map(open).transpose()?.map(Mutex::new);
        Ok(Self { entries: Mutex::default(), file })
    }

    /// Appends an entry.
    pub fn append(&self, entry: Value) {
        if let Some(file) = &self.file {
            let line = format!("{entry}\n");
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            if let Err(e) = file.write_all(line.as_bytes()) {
                eprintln!("the journal cannot be written: {e}");
            }
        }
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    }

    /// Returns the entries.
    pub fn entries(&self) -> Vec<Value> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
