//! Bytes of control traffic.

use prometheus_client::metrics::counter::Counter;

/// Counts control traffic, headers included.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub bytes_sent: Counter,
    /// Bytes received.
    pub bytes_received: Counter,
    /// Messages sent.
    pub messages_sent: Counter,
    /// Messages received.
    pub messages_received: Counter,
    /// Messages and connections refused: unknown secret or unreadable.
    pub refused: Counter,
}

impl Traffic {
    /// Counts a message sent.
    pub fn sent(&self, bytes: u64) {
        self.bytes_sent.inc_by(bytes);
        self.messages_sent.inc();
    }

    /// Counts a message received.
    pub fn received(&self, bytes: u64) {
        self.bytes_received.inc_by(bytes);
        self.messages_received.inc();
    }

    /// Counts a message or connection that was refused.
    pub fn refused(&self) {
        self.refused.inc();
    }
}
