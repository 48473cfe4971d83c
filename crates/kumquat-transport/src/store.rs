//! The `store` module provides the client of the platform's key-value store.
//!
//! Its failures tell whether a write may have taken effect: after [`Failure::Unknown`] the writer has to read again
//! and compare operation ids. The client does not retry by itself; [`crate::budget`] paces the callers. See
//! `docs/design.md`, sections 1.4 and 4.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use kumquat_state::ident;
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

mod failure;
mod submission;

pub use failure::Failure;

pub use crate::upstream::Error;

/// Largest value in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;
/// Longest key in bytes.
pub const KEY_LIMIT: usize = 256;
/// Longest answer in bytes; a listing of 10,000 chunks takes about 1 MB.
const ANSWER_LIMIT: usize = 4 << 20;

/// Properties of a client.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL of the store, such as `http://127.0.0.1:7100`.
    pub url: String,
    /// Name of this VM, which the store counts calls by.
    pub client: ident::Vm,
    /// Longest time of a call; a watch may take its waiting time in addition.
    pub timeout: Duration,
}

impl Options {
    /// Returns the usual properties of a client named `client`.
    #[must_use]
    pub fn new(url: &str, client: ident::Vm) -> Self {
        Self {
            url: url.to_owned(),
            client,
            timeout: Duration::from_secs(1),
        }
    }
}

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Content.
    pub bytes: Bytes,
    /// Revision of the key.
    pub revision: ident::Revision,
}

/// A key with its revision; in a watch, revision 0 stands for a deleted key.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listed {
    /// Key.
    pub key: String,
    /// Revision of the key.
    pub revision: ident::Revision,
}

/// What a watch saw.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Watched {
    /// Generation up to which changes have been seen; the next watch continues after it.
    pub generation: u64,
    /// Keys that have changed; empty when the watch has waited in vain.
    pub keys: Vec<Listed>,
}

/// A lease that this client holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Name of the lease.
    pub name: String,
    /// Holder, as given when it was acquired.
    pub holder: String,
    /// Epoch, which is higher than that of all earlier holders.
    pub epoch: ident::Epoch,
    /// Time to live from the moment at which the store answered. The holder has to count it from before its call.
    pub expires_in: Duration,
}

#[derive(Serialize)]
struct Acquire<'a> {
    name: &'a str,
    holder: &'a str,
    ttl_ms: u64,
}

#[derive(Serialize)]
struct Renew<'a> {
    holder: &'a str,
    epoch: ident::Epoch,
    #[serde(skip_serializing_if = "Option::is_none")]
    ttl_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Held {
    epoch: ident::Epoch,
    expires_in_ms: u64,
}

#[derive(Deserialize)]
struct Other {
    holder: String,
    epoch: ident::Epoch,
}

/// Client of the store.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    url: String,
    name: ident::Vm,
    timeout: Duration,
}

impl Client {
    /// Opens a client; connections are established when they are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the HTTP client can't be set up.
    pub fn open(options: &Options) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            // Ends before the timeout of the call, so that a missing connection counts as not run.
            .connect_timeout(options.timeout / 2)
            .build()
            .map_err(Error::open)?;
        Ok(Self {
            http,
            url: options.url.trim_end_matches('/').to_owned(),
            name: options.client.clone(),
            timeout: options.timeout,
        })
    }

    /// Reads a value, or none if the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the store does not answer properly.
    pub async fn get(&self, key: &str) -> Result<Option<Value>, Failure> {
        let request = self.request(Method::GET, "/v1/kv/", checked(key)?);
        let (response, bytes) = self.call(request, Duration::ZERO).await?;
        match response.status {
            StatusCode::OK => Ok(Some(Value {
                revision: response.revision()?,
                bytes,
            })),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(Failure::status(status)),
        }
    }

    /// Writes a value if the key still has the revision `expected`; revision 0 means that it must not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Conflict`] with the present revision if it is another one, and [`Failure::Unknown`] if the
    /// answer was lost and the write may have taken effect.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        value: Bytes,
        expected: ident::Revision,
    ) -> Result<ident::Revision, Failure> {
        if value.len() > VALUE_LIMIT {
            return Err(Failure::rejected(&format!(
                "the value has {} bytes, expected at most {VALUE_LIMIT}",
                value.len()
            )));
        }
        let request = self
            .request(Method::PUT, "/v1/kv/", checked(key)?)
            .header("x-expected-revision", expected.0)
            .body(value);
        self.write(request).await
    }

    /// Deletes a key if it still has the revision `expected`.
    ///
    /// # Errors
    ///
    /// As for [`Client::compare_and_swap`].
    pub async fn delete(&self, key: &str, expected: ident::Revision) -> Result<(), Failure> {
        let request = self
            .request(Method::DELETE, "/v1/kv/", checked(key)?)
            .header("x-expected-revision", expected.0);
        self.write(request).await.map(drop)
    }

    /// Lists the keys that start with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the store does not answer properly.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Listed>, Failure> {
        let path = format!("/v1/list?prefix={}", checked(prefix)?);
        let request = self.request(Method::GET, &path, "");
        let (response, bytes) = self.call(request, Duration::ZERO).await?;
        response.json(&bytes)
    }

    /// Waits until something under `prefix` has changed after the generation `after`, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the store does not answer properly.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Watched, Failure> {
        let path = format!(
            "/v1/watch?prefix={}&after={after}&timeout_ms={}",
            checked(prefix)?,
            wait.as_millis()
        );
        let request = self.request(Method::GET, &path, "");
        let (response, bytes) = self.call(request, wait).await?;
        response.json(&bytes)
    }

    /// Takes a lease that no one else holds.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Held`] if another holder has it. After [`Failure::Unknown`], taking it again under the same
    /// holder name gives a new epoch.
    pub async fn acquire(
        &self,
        name: &str,
        holder: &str,
        time_to_live: Duration,
    ) -> Result<Lease, Failure> {
        let body = Acquire {
            name: checked(name)?,
            holder,
            ttl_ms: millis(time_to_live),
        };
        let request = self.request(Method::POST, "/v1/leases", "").json(&body);
        let held = self.lease(request).await?;
        Ok(Lease {
            name: name.to_owned(),
            holder: holder.to_owned(),
            epoch: held.epoch,
            expires_in: Duration::from_millis(held.expires_in_ms),
        })
    }

    /// Extends a lease.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Held`] if the lease is lost; the holder is empty if no one holds it now.
    pub async fn renew(&self, lease: &Lease, time_to_live: Duration) -> Result<Lease, Failure> {
        let body = Renew {
            holder: &lease.holder,
            epoch: lease.epoch,
            ttl_ms: Some(millis(time_to_live)),
        };
        let name = checked(&lease.name)?;
        let request = self.request(Method::PUT, "/v1/leases/", name).json(&body);
        let held = self.lease(request).await?;
        Ok(Lease {
            expires_in: Duration::from_millis(held.expires_in_ms),
            ..lease.clone()
        })
    }

    /// Gives up a lease.
    ///
    /// # Errors
    ///
    /// As for [`Client::renew`].
    pub async fn release(&self, lease: &Lease) -> Result<(), Failure> {
        let body = Renew {
            holder: &lease.holder,
            epoch: lease.epoch,
            ttl_ms: None,
        };
        let name = checked(&lease.name)?;
        let request = self
            .request(Method::DELETE, "/v1/leases/", name)
            .json(&body);
        self.lease(request).await.map(drop)
    }

    fn request(&self, method: Method, path: &str, key: &str) -> RequestBuilder {
        self.http
            .request(method, format!("{}{path}{key}", self.url))
            .header("x-client", self.name.as_str())
    }

    /// Sends a call and reads the whole answer within the timeout and `extra`.
    async fn call(
        &self,
        request: RequestBuilder,
        extra: Duration,
    ) -> Result<(Head, Bytes), Failure> {
        let answer = async {
            let response = request.send().await.map_err(|error| Failure::of(&error))?;
            let head = Head::of(&response);
            Ok((head, body(response).await?))
        };
        let answer = tokio::time::timeout(self.timeout + extra, answer).await;
        let (head, bytes) =
            answer.map_err(|_elapsed| Failure::timed_out(self.timeout + extra))??;
        match head.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(Failure::unavailable(head.status))
            }
            _ => Ok((head, bytes)),
        }
    }

    async fn write(&self, request: RequestBuilder) -> Result<ident::Revision, Failure> {
        let (response, _) = self.call(request, Duration::ZERO).await?;
        match response.status {
            StatusCode::OK => response.revision(),
            StatusCode::CONFLICT => Err(Failure::Conflict {
                revision: response.revision()?,
            }),
            status => Err(Failure::status(status)),
        }
    }

    async fn lease(&self, request: RequestBuilder) -> Result<Held, Failure> {
        let (response, bytes) = self.call(request, Duration::ZERO).await?;
        if response.status == StatusCode::CONFLICT {
            let Other { holder, epoch } = parse(&bytes)?;
            return Err(Failure::Held { holder, epoch });
        }
        response.json(&bytes)
    }
}

/// The part of an answer that is needed after its body has been read.
struct Head {
    status: StatusCode,
    revision: Option<u64>,
}

impl Head {
    fn of(response: &Response) -> Self {
        let revision = response.headers().get("x-revision");
        Self {
            status: response.status(),
            revision: revision.and_then(|text| text.to_str().ok()?.parse().ok()),
        }
    }

    fn revision(&self) -> Result<ident::Revision, Failure> {
        let revision = self
            .revision
            .ok_or_else(|| Failure::unknown("the answer has no valid x-revision"))?;
        Ok(ident::Revision(revision))
    }

    fn json<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, Failure> {
        if self.status != StatusCode::OK {
            return Err(Failure::status(self.status));
        }
        parse(bytes)
    }
}

async fn body(mut response: Response) -> Result<Bytes, Failure> {
    let mut bytes = BytesMut::new();
    while let Some(part) = response
        .chunk()
        .await
        .map_err(|error| Failure::of(&error))?
    {
        if bytes.len() + part.len() > ANSWER_LIMIT {
            return Err(Failure::unknown(&format!(
                "the answer has more than {ANSWER_LIMIT} bytes"
            )));
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes.freeze())
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes)
        .map_err(|error| Failure::unknown(&format!("the answer is not valid: {error}")))
}

/// Checks a key, which becomes part of a URL as it is.
fn checked(key: &str) -> Result<&str, Failure> {
    let valid = key.len() <= KEY_LIMIT
        && key
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-._/".contains(&byte));
    if valid {
        Ok(key)
    } else {
        Err(Failure::rejected(&format!(
            "{key:?} is not a key: expected up to {KEY_LIMIT} letters, digits, '-', '.', '_' and '/'"
        )))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
