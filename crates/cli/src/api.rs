//! HTTP client for an entry.

use std::{fmt::Display, fs, future::Future};

use eyre::WrapErr;
use ntex::{client, http, rt};
use schema::config::Config;
use serde::{Deserialize, de::DeserializeOwned};

use crate::exit::Failure;

/// Time limit for an answer, in milliseconds. A configuration change is answered only once it is in
/// force everywhere.
const ANSWER_TIMEOUT_MS: u32 = 15_000;
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Runs a future to completion on a new runtime.
pub fn block_on<F: Future<Output = T> + 'static, T: 'static>(future: F) -> T {
    rt::System::new("command", rt::DefaultRuntime).block_on(future)
}

/// Client for one entry, with the access token that it sends.
#[derive(Clone, Debug)]
pub struct Api {
    base_url: String,
    token: Option<String>,
    /// Whether commands print machine-readable JSON.
    pub json: bool,
}

/// Body of every error answer.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    code: String,
    outcome: Option<String>,
    message: String,
}

/// Answer to `GET /config`.
#[derive(Debug, Deserialize)]
struct ConfigAnswer {
    config: Config,
}

impl Api {
    /// Returns the configuration in force.
    pub async fn config(&self) -> eyre::Result<Config> {
        let answer: ConfigAnswer = self.send_json(http::Method::GET, "/config", None).await?;
        Ok(answer.config)
    }

    /// Returns a client that uses the token in `token_file`, if one is given.
    pub fn new(entry: &str, token_file: Option<&str>, json: bool) -> eyre::Result<Self> {
        let token = match token_file {
            None => None,
            Some(path) => {
                let text = fs::read_to_string(path)
                    .wrap_err_with(|| format!("can't read the token file {path}"))?;
                Some(text.trim().to_owned())
            }
        };
        Ok(Self {
            base_url: format!("http://{entry}"),
            token,
            json,
        })
    }

    /// Returns a client that uses `token`.
    pub fn with_token(entry: &str, token: &str) -> Self {
        Self {
            base_url: format!("http://{entry}"),
            token: Some(token.into()),
            json: false,
        }
    }

    /// Returns a client for the same entry that uses `token`.
    pub fn for_token(&self, token: &str) -> Self {
        Self {
            token: Some(token.into()),
            ..self.clone()
        }
    }

    /// Sends a request, with an idempotency key if there is one, and returns the body of the answer.
    ///
    /// Without a complete answer a `GET` counts as failed, and the outcome of any other request as
    /// unknown.
    pub async fn send(
        &self,
        method: http::Method,
        path: &str,
        body: Option<String>,
        key: Option<&str>,
    ) -> eyre::Result<String> {
        let client = client::Client::builder()
            .response_timeout(ntex::time::Millis(ANSWER_TIMEOUT_MS))
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(ntex::SharedCfg::new("command"))
            .await
            .map_err(|e| Failure::refused(e.to_string()))?;
        let mut req = client.request(method.clone(), format!("{}{path}", self.base_url));
        if let Some(token) = &self.token {
            req = req.bearer_auth(token);
        }
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let sent = match body {
            Some(body) => req.content_type("application/json").send_body(body).await,
            None => req.send().await,
        };
        let no_answer = |e: &dyn Display| {
            let message = format!("no complete answer from {}: {e}", self.base_url);
            without_answer(&method, message)
        };
        let answer = sent.map_err(|e| no_answer(&e))?;
        let status = answer.status();
        let body = answer.body().await.map_err(|e| no_answer(&e))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if status.is_success() {
            return Ok(text);
        }
        Err(error_from(status, &text))
    }

    /// Sends a request and parses the answer as JSON.
    pub async fn send_json<T: DeserializeOwned>(
        &self,
        method: http::Method,
        path: &str,
        body: Option<String>,
    ) -> eyre::Result<T> {
        let text = self.send(method.clone(), path, body, None).await?;
        serde_json::from_str(&text).map_err(|e| {
            let message = format!("the entry's answer is malformed: {e}");
            without_answer(&method, message)
        })
    }
}

/// Returns the failure of a request whose answer was lost or can't be read. Only a `GET` certainly
/// had no effect.
fn without_answer(method: &http::Method, message: String) -> eyre::Report {
    if *method == http::Method::GET {
        Failure::refused(message)
    } else {
        Failure::unknown(message)
    }
}

fn error_from(status: http::StatusCode, text: &str) -> eyre::Report {
    let Ok(error) = serde_json::from_str::<ErrorBody>(text) else {
        return Failure::unknown(format!("unexpected answer with status {status}: {text}"));
    };
    let message = format!("{} ({})", error.message, error.code);
    match error.outcome.as_deref() {
        Some("unknown") => Failure::unknown(message),
        _ if status == http::StatusCode::BAD_REQUEST => Failure::bad_input(message),
        _ => Failure::refused(message),
    }
}
