//! The `submission` module makes the store calls of a bundle's submission.

use kumquat_state::bundle::submit::{Call, Response};
use kumquat_state::ident::Revision;

use super::{Client, Failure};

impl Client {
    /// Makes one store call of a submission. How to pace and report failed calls is left to the caller.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the store does not answer properly; a conflict is an answer.
    pub async fn submit(&self, call: Call) -> Result<Response, Failure> {
        match call {
            Call::Get { key } => Ok(match self.get(&key).await? {
                Some(value) => Response::Found {
                    revision: value.revision.0,
                    value: value.bytes.to_vec(),
                },
                None => Response::Missing,
            }),
            Call::Put {
                key,
                expected_revision,
                value,
            } => {
                let written = self
                    .compare_and_swap(&key, value.into(), Revision(expected_revision))
                    .await;
                match written {
                    Ok(_) => Ok(Response::Stored),
                    Err(Failure::Conflict { .. }) => Ok(Response::Conflict),
                    Err(failure) => Err(failure),
                }
            }
        }
    }
}
