//! Networking: HTTP client connections, the connection pool for upstreams, and the HTTP
//! server for callers.

mod answer_head;
mod answer_stream;
mod buffer_budget;
mod connect;
mod framing;
mod input;
mod intake;
mod pool;
mod server;
mod shutdown;
mod tcp_info;
mod tunnel;
mod unread;
mod upstream_body;
mod window;

pub use answer_head::{HeadFault, check_head, state_length_once};
pub use buffer_budget::{BufferBudget, BufferLease};
pub use connect::{
    Answer, CallError, ConnectError, HttpConnection, Path, RequestBody, SendError, connect,
    connect_from, connect_stream, get_request, json_request,
};
pub use framing::Framing;
pub use input::ReceivedBody;
pub use intake::{
    BodyLease, Intake, IntakeConnection, IntakeMetrics, ReadBodyError, RequestGuard, read_body,
};
pub use pool::{Pool, PoolError, PooledConnection};
pub use server::{
    AnswerBody, BodyError, ServerState, Service, buffered_body, channel_body, frame_until_close,
    full_body, serve, serve_connection,
};
pub use shutdown::{Phase, Shutdown};
pub use tunnel::{
    TUNNEL_PATH, TunnelError, TunnelRefusal, open_tunnel, tunnel_response, tunnelled_request,
};
pub use unread::{DEFAULT_MAX_UNREAD, Reader, UnreadAnswers, UnreadMetrics};
pub use upstream_body::{BodyEnd, BodyPart, UpstreamBody};
