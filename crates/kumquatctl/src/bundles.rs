//! The `bundles` module provides the accepted bundles in the store.

use eyre::{WrapErr as _, eyre};
use kumquat_state::bundle::submit::HEAD_KEY;
use kumquat_state::bundle::{Bundle, Envelope, TrustList};
use kumquat_state::document::{self, Address, Chunk, Head};
use kumquat_state::ident::Version;

use crate::output::Failure;
use crate::store::Store;

/// Reads the head of the accepted bundle, if there is one.
pub async fn head(store: &Store) -> Result<Option<Head>, Failure> {
    let Some(value) = store.get(HEAD_KEY).await? else {
        return Ok(None);
    };
    Head::decode(&value.bytes)
        .wrap_err("the store's head of the bundle can't be used")
        .map_err(Failure::refused)
        .map(Some)
}

/// Reads the head that another one replaced; none if it is the first or no longer stored.
pub async fn earlier(store: &Store, head: &Head) -> Result<Option<Head>, Failure> {
    let Some(address) = head.previous else {
        return Ok(None);
    };
    let Some(chunk) = chunk(store, address).await? else {
        return Ok(None);
    };
    Head::decode(chunk.bytes())
        .wrap_err("an earlier head can't be used")
        .map_err(Failure::refused)
        .map(Some)
}

/// Reads the envelope that a head describes.
pub async fn envelope(store: &Store, head: &Head) -> Result<Envelope, Failure> {
    let mut chunks = Vec::new();
    for address in document::missing_chunks(head, &[]) {
        let chunk = chunk(store, address)
            .await?
            .ok_or_else(|| Failure::refused(eyre!("the store no longer holds chunk {address}")))?;
        chunks.push(chunk);
    }
    let bytes = document::join(head, &chunks).map_err(Failure::refused)?;
    let envelope = Envelope::decode(&bytes).map_err(Failure::refused)?;
    if envelope.version.0 == head.revision.0 && envelope.operation == head.operation {
        Ok(envelope)
    } else {
        Err(Failure::refused(eyre!(
            "the store's head of version {} belongs to an envelope of version {}",
            head.revision,
            envelope.version
        )))
    }
}

/// Reads the accepted bundle and verifies its signatures; an empty one with version 0 if there is none yet.
///
/// Without this, an operator who changes one thing would sign whatever else someone has put into the store.
pub async fn verified(store: &Store, trust: &TrustList) -> Result<Bundle, Failure> {
    let Some(head) = head(store).await? else {
        return Ok(Bundle::default());
    };
    envelope(store, &head)
        .await?
        .verify_and_parse(trust)
        .wrap_err(
            "the accepted bundle can't be changed, because it is not signed by the trusted signers; check it with \
             `kumquatctl history`, and sign and submit a complete text instead",
        )
        .map_err(Failure::refused)
}

/// Reads the accepted bundle without looking at signatures, for comparisons; an empty one if there is none yet.
pub async fn accepted(store: &Store) -> Result<Bundle, Failure> {
    let Some(head) = head(store).await? else {
        return Ok(Bundle::default());
    };
    envelope(store, &head)
        .await?
        .parse_bundle()
        .wrap_err("the accepted bundle can't be read")
        .map_err(Failure::refused)
}

/// Reads the bundle of a version; an empty one for version 0.
pub async fn of_version(store: &Store, version: Version) -> Result<Bundle, Failure> {
    if version.0 == 0 {
        return Ok(Bundle::default());
    }
    let mut next = head(store).await?;
    while let Some(candidate) = next {
        if candidate.revision.0 == version.0 {
            return envelope(store, &candidate)
                .await?
                .parse_bundle()
                .map_err(Failure::refused);
        }
        next = earlier(store, &candidate).await?;
    }
    Err(Failure::refused(eyre!(
        "the store no longer holds version {version}"
    )))
}

async fn chunk(store: &Store, address: Address) -> Result<Option<Chunk>, Failure> {
    let Some(value) = store.get(&address.store_key()).await? else {
        return Ok(None);
    };
    let chunk = Chunk::new(value.bytes.to_vec()).map_err(Failure::refused)?;
    if chunk.address() == address {
        Ok(Some(chunk))
    } else {
        Err(Failure::refused(eyre!(
            "the store's chunk {address} has another content than its address says"
        )))
    }
}
