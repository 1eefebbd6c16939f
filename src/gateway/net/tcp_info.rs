//! What the kernel knows of a TCP connection (`TCP_INFO`).

#![expect(unused_imports, reason = "nix's macro names its other macros and modules without a path")]

use nix::{getsockopt_impl, libc, sockopt_impl, sys};

/// The first fields of `struct tcp_info`, up to those of Linux 4.6.
#[repr(C)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpInfoFields {
    head: [u8; 8],
    timing: [u32; 4],
    /// Segments that were sent and not acknowledged.
    pub unacked: u32,
    counters: [u32; 19],
    rates: [u64; 2],
    /// Bytes that the peer has acknowledged.
    pub bytes_acked: u64,
    bytes_received: u64,
    segments: [u32; 2],
    /// Bytes that were written and not sent yet.
    pub notsent_bytes: u32,
    min_rtt: u32,
}

impl TcpInfoFields {
    /// Returns the number of probes of a closed window that the peer has not answered.
    pub fn unanswered_probes(&self) -> u8 {
        self.head[3]
    }

    /// Returns whether the peer has acknowledged all that was written.
    pub fn is_drained(&self) -> bool {
        self.unacked == 0 && self.notsent_bytes == 0
    }

    /// Returns whether the peer has acknowledged all that was sent, and its window takes no more.
    pub fn is_window_closed(&self) -> bool {
        self.unacked == 0 && self.notsent_bytes > 0
    }
}

sockopt_impl!(
    /// Socket option that reads [`TcpInfoFields`].
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfoFields
);
