//! Client of the VM list.

use ntex::{
    http::{Method, StatusCode},
    util::Bytes,
};
use serde::{Deserialize, Serialize};

use crate::{
    http::{not_done, parse},
    http_cfg::HttpCfg,
    http_client::{CallError, HttpClient},
    table::StoreError,
    vm::Vm,
};

/// Body of the answer to `GET /vms`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmList {
    /// The VMs, in no particular order.
    pub vms: Vec<Vm>,
}

/// Client of the VM list; clones share its connections.
///
/// ```no_run
/// use store::{http_cfg::HttpCfg, vms::Vms};
///
/// # async fn run() -> Result<(), store::table::StoreError> {
/// let vms = Vms::new("http://127.0.0.1:7000", HttpCfg::default()).await?;
/// println!("{} VMs", vms.list().await?.len());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Vms {
    client: HttpClient,
}

impl Vms {
    /// Creates a client of the VM list at `base_url` without opening a connection.
    pub async fn new(base_url: &str, cfg: HttpCfg) -> Result<Self, StoreError> {
        let client = HttpClient::new(base_url, cfg).await?;
        Ok(Self { client })
    }

    /// Reads the list, which may lag behind the actual state of the VMs.
    pub async fn list(&self) -> Result<Vec<Vm>, StoreError> {
        let req = self.client.request(Method::GET, "/vms");
        let answer = self.client.call(req, Bytes::new()).await;
        let answer = answer.map_err(CallError::into_read_error)?;
        match answer.status {
            StatusCode::OK => parse::<VmList>(&answer).map(|l| l.vms),
            _ => Err(not_done(&answer)),
        }
    }
}
