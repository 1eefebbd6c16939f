//! Calls that only the holder of a lease makes: usage reports and orders of engines.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hyper::{Method, Request, header::HeaderValue};
use serde::Serialize;

use super::PlatformError;
use crate::{
    gateway::{
        model::{CustomerName, ServiceName},
        net::{RequestBody, connect, json_request},
    },
    ids::DataCentre,
};

/// Longest time to open a connection to the platform's API.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for an answer: a lost call is made again while the lease holds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An order of engines of one kind for a service in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EngineOrder {
    /// Service.
    pub service: ServiceName,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Whether the engines may be reclaimed.
    pub reclaimable: bool,
    /// Number of engines of this kind that should run there.
    pub count: u32,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// It is carried out.
    Accepted,
    /// No engines of this kind are to be had there at the moment.
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

/// Client of the platform's API, for the holder of a lease.
#[derive(Clone, Debug)]
pub struct DutyClient {
    address: SocketAddr,
    holder: String,
}

impl DutyClient {
    /// Creates a client for the process `holder`.
    pub fn new(address: SocketAddr, holder: String) -> Self {
        Self { address, holder }
    }

    /// Reports how many requests of each customer began in a window. `fence`
    /// returns the fencing number while the lease is held; it is asked right
    /// before the call is sent.
    ///
    /// # Errors
    ///
    /// Fails if the platform did not take the report, or may not have.
    pub async fn report_usage(
        &self,
        fence: impl Fn() -> Option<u64>,
        window: u64,
        counts: &BTreeMap<CustomerName, u64>,
    ) -> Result<(), PlatformError> {
        let body = serde_json::to_vec(&WireUsage { window_number: window, counts })
            .map_err(PlatformError::malformed("usage"))?;
        match self.call("/usage", body, fence).await? {
            200..=299 => Ok(()),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Orders engines; `fence` as for [`Self::report_usage`].
    ///
    /// # Errors
    ///
    /// Fails if the platform did not take the order, or may not have.
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
        match self.call("/scale", body, fence).await? {
            200..=299 => Ok(OrderOutcome::Accepted),
            409 => Ok(OrderOutcome::NoneAvailable),
            status => Err(PlatformError::Refused(status)),
        }
    }

    async fn call(
        &self,
        path: &str,
        body: Vec<u8>,
        fence: impl Fn() -> Option<u64>,
    ) -> Result<u16, PlatformError> {
        let mut connection = connect(self.address, CONNECT_TIMEOUT).await?;
        let host = self.address.to_string();
        let mut request: Request<RequestBody> =
            json_request(Method::POST, path, &host, body.into());
        let headers = request.headers_mut();
        if let Ok(holder) = HeaderValue::from_str(&self.holder) {
            headers.insert("x-duty-holder", holder);
        }
        // Asked for last: opening the connection may have taken long.
        let fence = fence().ok_or(PlatformError::LeaseLost)?;
        headers.insert("x-fencing-token", HeaderValue::from(fence));
        let called = tokio::time::timeout(CALL_TIMEOUT, connection.call(request)).await;
        let answer = called.map_err(|_elapsed| PlatformError::Timeout)??;
        Ok(answer.status.as_u16())
    }
}
