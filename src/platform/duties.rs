//! Calls that only the holder of a lease makes: usage reports and engine orders.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hyper::{Method, Request, header::HeaderValue};
use serde::Serialize;

use super::{CallTarget, PlatformError};
use crate::{
    gateway::{
        model::{CustomerName, ServiceName},
        net::{RequestBody, connect, json_request},
    },
    ids::DataCentre,
};

/// Timeout for opening a connection to the platform's API.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for an answer; a call without one is retried while the lease is held.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An order that sets the number of engines of one kind for a service in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EngineOrder {
    /// Service that the engines run.
    pub service: ServiceName,
    /// Data centre that the engines run in.
    pub data_centre: DataCentre,
    /// Whether the order is for reclaimable engines.
    pub reclaimable: bool,
    /// Desired total number of engines of this kind in the data centre.
    pub count: u32,
}

/// Outcome of an engine order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The platform carries the order out.
    Accepted,
    /// No engines of this kind are available in the data centre at the moment.
    NoneAvailable,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireUsage<'a> {
    window_number: u64,
    counts: &'a BTreeMap<CustomerName, u64>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireScale<'a> {
    service: &'a str,
    zone: &'a str,
    desired_count: u32,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    spot: bool,
}

/// Client of the platform API calls that need a lease.
#[derive(Clone, Debug)]
pub struct DutyClient {
    address: SocketAddr,
    holder: String,
}

impl DutyClient {
    /// Creates a client of the API at `address`, for the gateway with identifier `holder`.
    pub fn new(address: SocketAddr, holder: String) -> Self {
        Self { address, holder }
    }

    /// Reports how many requests of each customer began in a window. `fence` returns the
    /// fencing token while the lease is held; it is called right before the report is sent.
    ///
    /// # Errors
    ///
    /// Fails if the platform did not accept the report or did not confirm it.
    pub async fn report_usage(
        &self,
        fence: impl Fn() -> Option<u64>,
        window: u64,
        counts: &BTreeMap<CustomerName, u64>,
    ) -> Result<(), PlatformError> {
        let body = serde_json::to_vec(&WireUsage { window_number: window, counts })
            .map_err(PlatformError::malformed("usage"))?;
        match self.call(CallTarget::new("/usage"), body, fence).await? {
            200..=299 => Ok(()),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Orders engines; `fence` is used as in [`Self::report_usage`].
    ///
    /// # Errors
    ///
    /// Fails if the platform did not accept the order or did not confirm it.
    pub async fn order_engines(
        &self,
        fence: impl Fn() -> Option<u64>,
        order: &EngineOrder,
    ) -> Result<OrderOutcome, PlatformError> {
        let wire = WireScale {
            service: &order.service,
            zone: &order.data_centre,
            desired_count: order.count,
            spot: order.reclaimable,
        };
        let body = serde_json::to_vec(&wire).map_err(PlatformError::malformed("order"))?;
        match self.call(CallTarget::new("/scale"), body, fence).await? {
            200..=299 => Ok(OrderOutcome::Accepted),
            409 => Ok(OrderOutcome::NoneAvailable),
            status => Err(PlatformError::Refused(status)),
        }
    }

    async fn call(
        &self,
        target: CallTarget,
        body: Vec<u8>,
        fence: impl Fn() -> Option<u64>,
    ) -> Result<u16, PlatformError> {
        let mut connection = connect(self.address, CONNECT_TIMEOUT).await?;
        let host = self.address.to_string();
        let mut request: Request<RequestBody> =
            json_request(Method::POST, target.into_uri()?, &host, body.into());
        let headers = request.headers_mut();
        if let Ok(holder) = HeaderValue::from_str(&self.holder) {
            headers.insert("x-duty-holder", holder);
        }
        // Checked last: the lease may have ended while the connection was opened.
        let fence = fence().ok_or(PlatformError::LeaseLost)?;
        headers.insert("x-fencing-token", HeaderValue::from(fence));
        let called = tokio::time::timeout(CALL_TIMEOUT, connection.call(request)).await;
        let answer = called.map_err(|_elapsed| PlatformError::Timeout)??;
        Ok(answer.status.as_u16())
    }
}
