//! HTTP client of the workers.

use std::net;

use ntex::{
    client::{Client, Connector},
    http::StatusCode,
    io::IoConfig,
    service::cfg::SharedCfg,
    time,
};
use plan::event::WorkerInfo;
use store::table::StoreError;

use crate::{
    cfg::WorkersCfg,
    worker_link::{FencedBody, OrdersAnswer, OrdersBody},
};

/// Maximum number of connections to all workers together.
const MAX_CONNECTIONS: usize = 4_096;
/// Maximum size of an answer from a worker, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Result of a call with orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WorkerReply {
    /// The worker accepted the orders.
    Taken(OrdersAnswer),
    /// The worker has seen a higher fencing token.
    Fenced(u64),
    /// The call failed, or the answer was malformed.
    Failed(String),
}

/// HTTP client of the workers.
#[derive(Clone, Debug)]
pub(crate) struct WorkerClient {
    client: Client,
    timeout: time::Millis,
}

impl WorkerClient {
    pub(crate) async fn new(cfg: &WorkersCfg) -> Result<Self, StoreError> {
        let timeout = time::Millis(cfg.timeout_ms.0 as u32);
        let io = IoConfig::new().set_connect_timeout(timeout);
        let shared: SharedCfg = SharedCfg::new("workers").add(io).into();
        let client = Client::builder()
            .connector::<Connector>(Connector::default().limit(MAX_CONNECTIONS))
            .disable_redirects()
            .response_timeout(timeout)
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(shared)
            .await
            .map_err(|e| StoreError::NotDone {
                reason: e.to_string(),
            })?;
        Ok(Self { client, timeout })
    }

    /// Requests the description of a worker.
    pub(crate) async fn info(&self, addr: net::SocketAddr) -> Result<WorkerInfo, String> {
        let req = self.client.get(format!("http://{addr}/info")).address(addr);
        let exchange = async {
            let resp = req.send().await.map_err(|e| e.to_string())?;
            resp.json().await.map_err(|e| e.to_string())
        };
        let result = time::timeout(self.timeout, exchange).await;
        result.unwrap_or_else(|()| Err("no answer in time".into()))
    }

    /// Sends renewals and orders to a worker.
    pub(crate) async fn orders(&self, addr: net::SocketAddr, call: &OrdersBody) -> WorkerReply {
        let result = time::timeout(self.timeout, self.exchange(addr, call)).await;
        match result {
            Ok(Ok(reply)) => reply,
            Ok(Err(reason)) => WorkerReply::Failed(reason),
            Err(()) => WorkerReply::Failed("no answer in time".into()),
        }
    }

    async fn exchange(
        &self,
        addr: net::SocketAddr,
        call: &OrdersBody,
    ) -> Result<WorkerReply, String> {
        let url = format!("http://{addr}/orders");
        let req = self.client.post(url).address(addr);
        let resp = req.send_json(call).await.map_err(|e| e.to_string())?;
        match resp.status() {
            StatusCode::OK => {
                let answer = resp.json().limit(MAX_ANSWER_BYTES).await;
                answer.map(WorkerReply::Taken).map_err(|e| e.to_string())
            }
            StatusCode::CONFLICT => {
                let fenced: FencedBody = resp.json().await.map_err(|e| e.to_string())?;
                Ok(WorkerReply::Fenced(fenced.highest_fence))
            }
            status => Err(format!("unexpected status {status}")),
        }
    }
}
