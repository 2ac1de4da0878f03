//! Client of the object store.

use ntex::{
    http::{Method, StatusCode},
    util::Bytes,
};

use crate::{
    http::{encode, not_done},
    http_cfg::HttpCfg,
    http_client::{Answer, CallError, HttpClient},
    table::StoreError,
};

/// Maximum size of an object in bytes.
pub const MAX_OBJECT_BYTES: usize = 64 << 20;

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
    client: HttpClient,
}

impl Objects {
    /// Creates a client of the object store at `base_url` without opening a connection.
    pub async fn new(base_url: &str, cfg: HttpCfg) -> Result<Self, StoreError> {
        let client = HttpClient::new(base_url, cfg).await?;
        Ok(Self { client })
    }

    /// Writes an object of at most [`MAX_OBJECT_BYTES`], replacing an existing one.
    pub async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), StoreError> {
        if bytes.len() > MAX_OBJECT_BYTES {
            return Err(StoreError::NotDone {
                reason: format!(
                    "the object has {} bytes; the maximum is {MAX_OBJECT_BYTES}",
                    bytes.len()
                ),
            });
        }
        self.write(Method::PUT, name, Bytes::from(bytes)).await
    }

    /// Reads an object; returns `None` if it does not exist.
    pub async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let req = self.client.request(Method::GET, &path(name));
        let answer = self.client.call(req, Bytes::new()).await;
        let answer = answer.map_err(CallError::into_read_error)?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body.to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(not_done(&answer)),
        }
    }

    /// Deletes an object; succeeds if it does not exist.
    pub async fn delete(&self, name: &str) -> Result<(), StoreError> {
        self.write(Method::DELETE, name, Bytes::new()).await
    }

    async fn write(&self, method: Method, name: &str, body: Bytes) -> Result<(), StoreError> {
        let req = self.client.request(method, &path(name));
        let answer = self.client.call(req, body).await;
        parse_write(&answer.map_err(CallError::into_write_error)?)
    }
}

fn path(name: &str) -> String {
    format!("/objects/{}", encode(name))
}

fn parse_write(answer: &Answer) -> Result<(), StoreError> {
    match answer.status {
        StatusCode::NO_CONTENT => Ok(()),
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE => Err(not_done(answer)),
        status => Err(StoreError::Unknown {
            reason: format!("status {status}"),
        }),
    }
}
