//! The table, with transactions.

use std::collections::BTreeMap;

use serde_json::Value;
use tackhollow::cloud::{Conflict, Row, Txn, TxnAccepted, TxnRefused};

/// The table.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, (u64, Value)>,
    version: u64,
}

impl Table {
    /// Runs a transaction.
    pub fn run(&mut self, txn: Txn) -> Result<TxnAccepted, TxnRefused> {
        let conflicts: Vec<Conflict> = txn
            .checks
            .iter()
            .filter_map(|check| {
                let (version, value) = self.rows.get(&check.key).cloned().unwrap_or_default();
                let key = check.key.clone();
                (version != check.version).then_some(Conflict { key, version, value })
            })
            .collect();
        if !conflicts.is_empty() {
            return Err(TxnRefused { conflicts });
        }
        self.version += 1;
        for put in txn.puts {
            if put.value.is_null() {
                self.rows.remove(&put.key);
            } else {
                self.rows.insert(put.key, (self.version, put.value));
            }
        }
        Ok(TxnAccepted { version: self.version })
    }

    /// Reads a row.
    pub fn get(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?.clone();
        Some(Row { key: key.to_owned(), version, value })
    }

    /// Reads rows by prefix, after a key.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let from = if after > prefix { after } else { prefix };
        self.rows
            .range(from.to_owned()..)
            .filter(|(key, _)| key.as_str() != after)
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect()
    }
}
