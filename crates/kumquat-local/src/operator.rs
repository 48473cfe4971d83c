//! The `operator` module provides an operator's side: signing and submitting bundles.

use std::time::Duration;

use eyre::{Result, bail, eyre};

use kumquat_state::bundle::envelope::{SigningKey, TrustList};
use kumquat_state::bundle::submit::{Action, Call, Options, Outcome, Response, Submission};
use kumquat_state::bundle::{Bundle, Envelope, render};
use kumquat_state::ident::{Operation, Version};
use kumquat_transport::store::{self, Client, Failure};

/// An operator with a signing key and a connection to the store.
#[derive(Debug)]
pub struct Operator {
    key: SigningKey,
    client: Client,
}

impl Operator {
    /// Creates an operator with a new signing key.
    ///
    /// # Errors
    ///
    /// Returns an error if the store's client can't be opened.
    pub fn open(store: &str) -> Result<Self> {
        let signer = "operator".parse()?;
        let options = store::Options::new(store, "operator".parse()?);
        Ok(Self {
            key: SigningKey::generate(signer, &mut rand::rng()),
            client: Client::open(&options)?,
        })
    }

    /// Returns the trust list that names this operator alone.
    ///
    /// # Errors
    ///
    /// Returns an error if the key can't be listed.
    pub fn trust(&self) -> Result<TrustList> {
        Ok(TrustList::new(vec![self.key.public()], 1)?)
    }

    /// Signs and submits a bundle, whose version has to be one above the stored one.
    ///
    /// # Errors
    ///
    /// Returns an error if the bundle was not accepted.
    pub async fn submit(&self, bundle: &Bundle) -> Result<()> {
        let mut envelope = Envelope {
            version: bundle.version,
            previous: Version(bundle.version.0 - 1),
            text: render(bundle),
            author: self.key.signer().clone(),
            reason: "local deployment".to_owned(),
            operation: Operation(rand::random()),
            signatures: Vec::new(),
        };
        envelope.sign(&self.key);
        let mut submission = Submission::new(&envelope, Options::default())?;
        loop {
            match submission.action() {
                Action::Finish(Outcome::Accepted) => return Ok(()),
                Action::Finish(outcome) => bail!("the bundle was not accepted: {outcome:?}"),
                Action::Call(call) => submission.handle_response(self.call(call).await?),
            }
        }
    }

    async fn call(&self, call: Call) -> Result<Response> {
        match self.client.submit(call).await {
            Ok(answer) => Ok(answer),
            Err(Failure::Unknown { .. }) => Ok(Response::Lost),
            Err(Failure::Unavailable { .. }) => {
                tokio::time::sleep(Duration::from_millis(50)).await;
                Ok(Response::NoEffect)
            }
            Err(failure) => Err(eyre!(failure)),
        }
    }
}
