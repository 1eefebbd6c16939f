//! Sockets: HTTP towards callers and upstreams, WebSocket and datagrams
//! between processes.

pub mod gossip_socket;
pub mod http_client;
pub mod http_server;
pub mod peer_link;
pub mod sse;
