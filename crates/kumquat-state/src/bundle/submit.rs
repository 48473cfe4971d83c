//! The `submit` module provides the submission of a signed bundle to the store, as a state machine without I/O.
//!
//! Chunks are written first; then the head is replaced by compare-and-swap. Each head refers to the one it replaced,
//! so that a submission whose response was lost can find out whether it took effect, even after later submissions. See
//! `docs/design.md`, sections 4 and 7.

use crate::bundle::envelope::{self, Envelope};
use crate::document::{self, Address, Chunk, Head};
use crate::ident;

/// Store key of the bundle's document head.
pub const HEAD_KEY: &str = "bundle";

/// Maximum number of heads that are read to find out whether a submission took effect.
const HISTORY_LIMIT: u32 = 256;

/// Errors of preparing a submission.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The envelope exceeds a limit or can't be encoded.
    #[error("the envelope can't be stored: {0}")]
    Envelope(#[from] envelope::Error),
    /// The encoded envelope exceeds the maximum length of a document.
    #[error("the bundle can't be stored: {0}")]
    Document(#[from] document::Error),
}

/// Options of a submission.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of consecutive failed calls after which the submission gives up.
    pub max_failures: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_failures: 8 }
    }
}

/// A call to the store, which the caller of the state machine performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the value of a key.
    Get {
        /// Store key.
        key: String,
    },
    /// Write a value by compare-and-swap on the revision of the key.
    Put {
        /// Store key.
        key: String,
        /// Expected revision of the key; zero if the key must not exist.
        expected_revision: u64,
        /// Value to write.
        value: Vec<u8>,
    },
}

/// The next step for the caller of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Perform this call and report the response with [`Submission::handle_response`].
    Call(Call),
    /// Stop: the submission has ended.
    Finish(Outcome),
}

/// The result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The key exists.
    Found {
        /// Current revision of the key.
        revision: u64,
        /// Current value.
        value: Vec<u8>,
    },
    /// The key does not exist.
    Missing,
    /// The value was written.
    Stored,
    /// The key has another revision than expected.
    Conflict,
    /// The call failed and certainly had no effect, for example because no connection could be established.
    NoEffect,
    /// No response was received; the call may have taken effect, or may still do so later.
    Lost,
}

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The bundle was accepted.
    Accepted,
    /// Another submission took this version; this one had no effect and can't have one later.
    VersionTaken {
        /// Head of the submission that took the version.
        winner: Box<Head>,
    },
    /// The latest version in the store is older than the one that the envelope replaces.
    VersionGap {
        /// Latest version in the store; zero if there is no bundle.
        latest: ident::Version,
    },
    /// The store could not be reached; the submission had no effect.
    Unreachable,
    /// The store could not be reached after the head was sent; the submission may have taken effect.
    Unknown,
    /// The store holds inconsistent data, or its response does not match the call.
    Corrupt(String),
}

#[derive(Debug)]
enum Step {
    ReadHead,
    WriteChunk(usize),
    SwapHead,
    History(Address),
    Done(Outcome),
}

/// A submission in progress.
#[derive(Debug)]
pub struct Submission {
    options: Options,
    version: ident::Version,
    previous: ident::Version,
    head: Head,
    /// Chunks to write: those of the document, followed by the encoded head that is being replaced, if there is one.
    chunks: Vec<Chunk>,
    /// Number of leading `chunks` that belong to the document.
    document_chunks: usize,
    /// Store revision of the head that is being replaced; zero if there is none.
    expected_revision: u64,
    step: Step,
    /// Whether the head was sent without receiving a response, so that it may have been written.
    in_doubt: bool,
    /// Consecutive failed calls.
    failures: u32,
    /// Heads that were read from the history.
    heads_read: u32,
}

impl Submission {
    /// Prepares the submission of an envelope, whose signatures the caller has to verify.
    ///
    /// # Errors
    ///
    /// Returns an error if the envelope exceeds a limit.
    pub fn new(envelope: &Envelope, options: Options) -> Result<Self, Error> {
        let bytes = envelope.encode()?;
        let revision = ident::Revision(envelope.version.0);
        let (head, chunks) = document::split(&bytes, revision, envelope.operation, None)?;
        Ok(Self {
            options,
            version: envelope.version,
            previous: envelope.previous,
            head,
            document_chunks: chunks.len(),
            chunks,
            expected_revision: 0,
            step: Step::ReadHead,
            in_doubt: false,
            failures: 0,
            heads_read: 0,
        })
    }

    /// Returns the next step; the result changes only by [`Submission::handle_response`].
    #[must_use]
    pub fn action(&self) -> Action {
        match &self.step {
            Step::ReadHead => Action::Call(Call::Get {
                key: HEAD_KEY.to_owned(),
            }),
            Step::WriteChunk(index) => Action::Call(Call::Put {
                key: self.chunks[*index].address().store_key(),
                expected_revision: 0,
                value: self.chunks[*index].bytes().to_vec(),
            }),
            Step::SwapHead => match self.head.encode() {
                Ok(value) => Action::Call(Call::Put {
                    key: HEAD_KEY.to_owned(),
                    expected_revision: self.expected_revision,
                    value,
                }),
                Err(error) => Action::Finish(Outcome::Corrupt(error.to_string())),
            },
            Step::History(address) => Action::Call(Call::Get {
                key: address.store_key(),
            }),
            Step::Done(outcome) => Action::Finish(outcome.clone()),
        }
    }

    /// Handles the response to the call that [`Submission::action`] returned.
    pub fn handle_response(&mut self, response: Response) {
        if matches!(self.step, Step::Done(_)) {
            return;
        }
        match response {
            Response::NoEffect => self.record_failure(),
            Response::Lost => {
                // Chunks can be written repeatedly; only a lost response to the swap leaves the outcome in doubt.
                if matches!(self.step, Step::SwapHead) {
                    self.in_doubt = true;
                    self.step = Step::ReadHead;
                }
                self.record_failure();
            }
            response => {
                self.failures = 0;
                self.advance(response);
            }
        }
    }

    fn record_failure(&mut self) {
        self.failures += 1;
        if self.failures >= self.options.max_failures {
            self.step = Step::Done(if self.in_doubt {
                Outcome::Unknown
            } else {
                Outcome::Unreachable
            });
        }
    }

    fn advance(&mut self, response: Response) {
        match (&self.step, response) {
            (Step::ReadHead, Response::Missing) => self.begin_write(0, None, ident::Version(0)),
            (Step::ReadHead, Response::Found { revision, value }) => match Head::decode(&value) {
                Ok(head) if head.revision.0 == self.previous.0 => {
                    self.begin_write(revision, Some(value), self.previous);
                }
                Ok(head) => self.search_history(head),
                Err(error) => self.finish(Outcome::Corrupt(error.to_string())),
            },
            // An existing chunk has the same content, since its key is the hash of the content.
            (Step::WriteChunk(index), Response::Stored | Response::Conflict) => {
                let next = index + 1;
                self.step = if next < self.chunks.len() {
                    Step::WriteChunk(next)
                } else {
                    Step::SwapHead
                };
            }
            (Step::SwapHead, Response::Stored) => self.finish(Outcome::Accepted),
            // The conflict may be with an earlier attempt of this submission; the current head shows which.
            (Step::SwapHead, Response::Conflict) => self.step = Step::ReadHead,
            (Step::History(_), Response::Found { value, .. }) => match Head::decode(&value) {
                Ok(head) => self.search_history(head),
                Err(error) => self.finish(Outcome::Corrupt(error.to_string())),
            },
            // If the history is incomplete, the outcome remains unknown only if the swap is in doubt.
            (Step::History(_), Response::Missing) => self.finish(self.outcome_without_history()),
            (_, response) => self.finish(Outcome::Corrupt(format!(
                "the store gave an answer that does not fit the call: {response:?}"
            ))),
        }
    }

    /// Starts to write the successor of the head that is in the store.
    fn begin_write(&mut self, revision: u64, encoded: Option<Vec<u8>>, latest: ident::Version) {
        if latest != self.previous {
            return self.finish(Outcome::VersionGap { latest });
        }
        let replaced = match encoded.map(Chunk::new).transpose() {
            Ok(replaced) => replaced,
            Err(error) => return self.finish(Outcome::Corrupt(error.to_string())),
        };
        let address = replaced.as_ref().map(Chunk::address);
        let head_unchanged = self.in_doubt && self.expected_revision == revision;
        self.expected_revision = revision;
        self.head.previous = address;
        self.chunks.truncate(self.document_chunks);
        self.chunks.extend(replaced);
        // If only the swap is repeated, the chunks have been written already.
        self.step = if head_unchanged {
            Step::SwapHead
        } else {
            Step::WriteChunk(0)
        };
    }

    /// Determines the outcome from a head of this or a later version, following the history to the former.
    fn search_history(&mut self, head: Head) {
        let head_version = ident::Version(head.revision.0);
        if head_version < self.version {
            return self.finish(Outcome::VersionGap {
                latest: head_version,
            });
        }
        if head_version == self.version {
            return self.finish(if head.operation == self.head.operation {
                Outcome::Accepted
            } else {
                Outcome::VersionTaken {
                    winner: Box::new(head),
                }
            });
        }
        self.heads_read += 1;
        match head.previous {
            Some(address) if self.heads_read < HISTORY_LIMIT => self.step = Step::History(address),
            _ => self.finish(self.outcome_without_history()),
        }
    }

    /// Returns the outcome if the head of this version is not in the history.
    fn outcome_without_history(&self) -> Outcome {
        if self.in_doubt {
            Outcome::Unknown
        } else {
            Outcome::Corrupt("the store no longer holds the head of this version".to_owned())
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.step = Step::Done(outcome);
    }
}
