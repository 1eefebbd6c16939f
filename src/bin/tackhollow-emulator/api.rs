//! API of the platform for the lease holder. It records every call.

use std::rc::Rc;

use hyper::{Request, Response, StatusCode, body::Incoming};
use serde_json::json;
use tackhollow::gateway::net::{AnswerBody, IntakeConnection, Service};

use crate::{
    answer::{empty, read_json},
    platform::Platform,
};

/// Service that answers and records API calls.
pub struct Api {
    /// The emulated platform.
    pub platform: Rc<Platform>,
}

impl Service for Api {
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        _: Rc<IntakeConnection>,
    ) -> Response<AnswerBody> {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (holder, fence) = (header("x-duty-holder"), header("x-fencing-token"));
        let path = request.uri().path().to_owned();
        let body = read_json(request.into_body()).await;
        let fence: u64 = fence.parse().unwrap_or_default();
        let call = json!({ "path": path, "holder": holder, "fence": fence, "body": body });
        self.platform.state.borrow_mut().api_calls.push(call);
        empty(StatusCode::OK)
    }
}
