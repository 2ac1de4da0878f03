//! Settlement of claims with an unknown outcome by an operator.

use base::name::Name;
use claim::{
    record::Answer,
    settle::{self, Settlement},
    ticket::ExecutionOutcome,
};
use ntex::{http::StatusCode, web::HttpResponse};
use serde::{Deserialize, Serialize};

use crate::{
    body::{self, Body},
    refusal::{Code, Outcome, Refusal},
    state::Entry,
};

/// Body of `POST /claims`, which is also the answer.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Settle {
    organisation: Name,
    key: String,
    outcome: SettledOutcome,
}

/// Outcome of a request as determined by the operator.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum SettledOutcome {
    /// The backend service ran the request.
    Ran,
    /// The backend service did not run the request, so its key can be used again.
    NotRun,
}

/// Settles one claim and logs the operator who did it.
pub async fn run(cx: &Entry, operator: &Name, body: &Body) -> Result<HttpResponse, Refusal> {
    let request: Settle = body::json(&body.bytes)?;
    let settled = match request.outcome {
        SettledOutcome::NotRun => ExecutionOutcome::NotRun,
        // The backend server's answer is lost, so a retry only learns that the request ran.
        SettledOutcome::Ran => ExecutionOutcome::Completed(Answer {
            status: StatusCode::OK.as_u16(),
            content_type: "application/json".into(),
            body: Some(claim::record::Body::Text("{\"settled\":\"ran\"}".into())),
        }),
    };
    let result = settle::settle(&cx.table, &request.organisation, &request.key, settled).await;
    match result {
        Ok(Settlement::Done) => {
            let Settle {
                organisation,
                key,
                outcome,
            } = &request;
            log::info!("claim: {operator} settled {organisation}/{key} as {outcome:?}");
            Ok(HttpResponse::Ok().json(&request))
        }
        Ok(Settlement::NotFound) => {
            Err(Refusal::not_run(Code::NotFound, "the claim does not exist"))
        }
        Ok(Settlement::NotUnknown(state)) => {
            let message = format!(
                "only a claim with an unknown outcome can be settled; this claim is {state:?}"
            );
            Err(Refusal::not_run(Code::KeyConflict, message))
        }
        Ok(Settlement::Changed) => {
            let message = "the claim changed during the settlement; check it again";
            Err(Refusal::not_run(Code::KeyConflict, message))
        }
        Err(e) => {
            let refusal = Refusal::not_run(Code::StoreDown, e.to_string());
            Err(refusal.with_outcome(Outcome::Unknown))
        }
    }
}
