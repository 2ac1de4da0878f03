//! Client of the object store.

use ntex::{
    http::{Method, StatusCode},
    util::Bytes,
};

use crate::{
    caller::{Answer, Caller, Failure},
    http::{encode, refused},
    http_cfg::HttpCfg,
    table::StoreError,
};

/// Largest object, in bytes.
pub const OBJECT_BYTES: usize = 64 << 20;

/// Client of the object store; clones share its connections.
///
/// ```no_run
/// use store::{http_cfg::HttpCfg, objects::Objects};
///
/// # async fn run() -> Result<(), store::table::StoreError> {
/// let objects = Objects::new("http://127.0.0.1:7000", HttpCfg::default()).await?;
/// objects.put("dump/1", vec![1, 2, 3]).await?;
/// assert_eq!(objects.get("dump/1").await?, Some(vec![1, 2, 3]));
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Objects {
    caller: Caller,
}

impl Objects {
    /// Makes a client of the object store at `base_url`; no connection is opened yet.
    pub async fn new(base_url: &str, cfg: HttpCfg) -> Result<Self, StoreError> {
        let caller = Caller::new(base_url, cfg).await?;
        Ok(Self { caller })
    }

    /// Writes an object of at most [`OBJECT_BYTES`], replacing an older one.
    pub async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), StoreError> {
        if bytes.len() > OBJECT_BYTES {
            return Err(StoreError::NotDone {
                reason: format!("an object has at most {OBJECT_BYTES} bytes"),
            });
        }
        self.write(Method::PUT, name, Bytes::from(bytes)).await
    }

    /// Reads an object; `None` if there is none.
    pub async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let req = self.caller.request(Method::GET, &path(name));
        let answer = self.caller.call(req, Bytes::new()).await;
        let answer = answer.map_err(Failure::of_read)?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body.to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(refused(&answer)),
        }
    }

    /// Deletes an object; deleting a missing one succeeds.
    pub async fn delete(&self, name: &str) -> Result<(), StoreError> {
        self.write(Method::DELETE, name, Bytes::new()).await
    }

    async fn write(&self, method: Method, name: &str, body: Bytes) -> Result<(), StoreError> {
        let req = self.caller.request(method, &path(name));
        let answer = self.caller.call(req, body).await;
        read_write(&answer.map_err(Failure::of_write)?)
    }
}

fn path(name: &str) -> String {
    format!("/objects/{}", encode(name))
}

fn read_write(answer: &Answer) -> Result<(), StoreError> {
    match answer.status {
        StatusCode::NO_CONTENT => Ok(()),
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE => Err(refused(answer)),
        status => Err(StoreError::Unknown {
            reason: format!("status {status}"),
        }),
    }
}
