//! The `submit` module provides the submission of a signed bundle to the store, as a state machine without I/O.
//!
//! Chunks are written first; then the head is replaced by compare-and-swap. Each head names the one that it replaced, so
//! that a submission whose answer was lost can tell later whether it took effect, even if other operators have already
//! written on top of it. See `docs/design.md`, sections 4 and 7.

use crate::bundle::envelope::{self, Envelope};
use crate::document::{self, Address, Chunk, Head};
use crate::ident;

/// Key of the head of the bundle in the store.
pub const HEAD_KEY: &str = "bundle";

/// Most heads that are read to find out what became of a submission.
const TRACE_LIMIT: u32 = 256;

/// Errors of submissions.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The envelope can't be stored.
    #[error("the envelope can't be stored: {0}")]
    Envelope(#[from] envelope::Error),
    /// The document can't be stored.
    #[error("the bundle can't be stored: {0}")]
    Document(#[from] document::Error),
}

/// Settings of a submission.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Failed calls in a row after which the submission gives up.
    pub attempts: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { attempts: 8 }
    }
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read a value.
    Get {
        /// Key.
        key: String,
    },
    /// Write a value if the key has the expected revision.
    Put {
        /// Key.
        key: String,
        /// Expected revision; zero if the key must not exist.
        expected: u64,
        /// Value.
        value: Vec<u8>,
    },
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make this call and report its answer.
    Call(Call),
    /// The submission has ended.
    Finish(Outcome),
}

/// What the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The key has this value.
    Found {
        /// Revision of the key.
        revision: u64,
        /// Value.
        value: Vec<u8>,
    },
    /// The key does not exist.
    Missing,
    /// The value was written.
    Stored,
    /// The key has another revision than expected.
    Conflict,
    /// The call certainly had no effect, for example because no connection could be opened.
    Refused,
    /// No answer came; the call may or may not have had its effect, and may still have it later.
    Lost,
}

/// How a submission ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The bundle was accepted.
    Accepted,
    /// Another write took this version; the submission had no effect and never will.
    Raced {
        /// Head that has the version.
        winner: Box<Head>,
    },
    /// The version that the envelope replaces is not there yet.
    Gap {
        /// Latest version in the store.
        latest: ident::Version,
    },
    /// The store did not answer; the submission had no effect.
    Unreachable,
    /// The store did not answer after the decisive write; the submission may have had its effect.
    Unknown,
    /// The store holds something that is no head.
    Corrupt(String),
}

#[derive(Debug)]
enum Step {
    Read,
    Chunk(usize),
    Swap,
    Trace(Address),
    Done(Outcome),
}

/// A submission in progress.
#[derive(Debug)]
pub struct Submission {
    options: Options,
    version: ident::Version,
    previous: ident::Version,
    head: Head,
    /// Chunks to write; the last one is the head that is being replaced, if there is one.
    chunks: Vec<Chunk>,
    /// Number of chunks of the document itself.
    own_chunks: usize,
    /// Store revision of the head that is being replaced.
    expected: u64,
    step: Step,
    /// Whether a swap was sent whose effect is unknown.
    in_doubt: bool,
    failures: u32,
    traced: u32,
}

impl Submission {
    /// Prepares the submission of an envelope; the caller has verified it.
    ///
    /// # Errors
    ///
    /// Returns an error if the envelope is beyond a limit.
    pub fn new(envelope: &Envelope, options: Options) -> Result<Self, Error> {
        let bytes = envelope.encode()?;
        let revision = ident::Revision(envelope.version.0);
        let (head, chunks) = document::split(&bytes, revision, envelope.operation, None)?;
        Ok(Self {
            options,
            version: envelope.version,
            previous: envelope.previous,
            head,
            own_chunks: chunks.len(),
            chunks,
            expected: 0,
            step: Step::Read,
            in_doubt: false,
            failures: 0,
            traced: 0,
        })
    }

    /// Returns what is to be done next.
    #[must_use]
    pub fn action(&self) -> Action {
        match &self.step {
            Step::Read => Action::Call(Call::Get {
                key: HEAD_KEY.to_owned(),
            }),
            Step::Chunk(index) => Action::Call(Call::Put {
                key: self.chunks[*index].address().store_key(),
                expected: 0,
                value: self.chunks[*index].bytes().to_vec(),
            }),
            Step::Swap => match self.head.encode() {
                Ok(value) => Action::Call(Call::Put {
                    key: HEAD_KEY.to_owned(),
                    expected: self.expected,
                    value,
                }),
                Err(error) => Action::Finish(Outcome::Corrupt(error.to_string())),
            },
            Step::Trace(address) => Action::Call(Call::Get {
                key: address.store_key(),
            }),
            Step::Done(outcome) => Action::Finish(outcome.clone()),
        }
    }

    /// Takes the answer to the call of [`Submission::action`].
    pub fn answer(&mut self, answer: Answer) {
        if matches!(self.step, Step::Done(_)) {
            return;
        }
        match answer {
            Answer::Refused => self.fail(),
            Answer::Lost => {
                // Only the swap of the head has an effect that matters; chunks can be written any number of times.
                if matches!(self.step, Step::Swap) {
                    self.in_doubt = true;
                    self.step = Step::Read;
                }
                self.fail();
            }
            answer => {
                self.failures = 0;
                self.proceed(answer);
            }
        }
    }

    fn fail(&mut self) {
        self.failures += 1;
        if self.failures >= self.options.attempts {
            self.step = Step::Done(if self.in_doubt {
                Outcome::Unknown
            } else {
                Outcome::Unreachable
            });
        }
    }

    fn proceed(&mut self, answer: Answer) {
        match (&self.step, answer) {
            (Step::Read, Answer::Missing) => self.start(0, None, ident::Version(0)),
            (Step::Read, Answer::Found { revision, value }) => match Head::decode(&value) {
                Ok(head) if head.revision.0 == self.previous.0 => {
                    self.start(revision, Some(value), self.previous);
                }
                Ok(head) => self.trace(head),
                Err(error) => self.finish(Outcome::Corrupt(error.to_string())),
            },
            // A chunk that is already there has the same content, because its key is its hash.
            (Step::Chunk(index), Answer::Stored | Answer::Conflict) => {
                let next = index + 1;
                self.step = if next < self.chunks.len() {
                    Step::Chunk(next)
                } else {
                    Step::Swap
                };
            }
            (Step::Swap, Answer::Stored) => self.finish(Outcome::Accepted),
            // The conflict may be with this submission's own earlier write, so the head tells what happened.
            (Step::Swap, Answer::Conflict) => self.step = Step::Read,
            (Step::Trace(_), Answer::Found { value, .. }) => match Head::decode(&value) {
                Ok(head) => self.trace(head),
                Err(error) => self.finish(Outcome::Corrupt(error.to_string())),
            },
            // Without the earlier heads, only a write in doubt keeps the outcome open.
            (Step::Trace(_), Answer::Missing) => self.finish(self.untraceable()),
            (_, answer) => self.finish(Outcome::Corrupt(format!(
                "the store gave an answer that does not fit the call: {answer:?}"
            ))),
        }
    }

    /// Starts writing on top of the head that is in the store.
    fn start(&mut self, revision: u64, encoded: Option<Vec<u8>>, latest: ident::Version) {
        if latest != self.previous {
            return self.finish(Outcome::Gap { latest });
        }
        let replaced = match encoded.map(Chunk::new).transpose() {
            Ok(replaced) => replaced,
            Err(error) => return self.finish(Outcome::Corrupt(error.to_string())),
        };
        let address = replaced.as_ref().map(Chunk::address);
        let unchanged = self.in_doubt && self.expected == revision;
        self.expected = revision;
        self.head.previous = address;
        self.chunks.truncate(self.own_chunks);
        self.chunks.extend(replaced);
        // After a lost swap that has not taken effect, the chunks are already there.
        self.step = if unchanged {
            Step::Swap
        } else {
            Step::Chunk(0)
        };
    }

    /// Looks for this submission in the chain of heads.
    fn trace(&mut self, head: Head) {
        let found = ident::Version(head.revision.0);
        if found < self.version {
            return self.finish(Outcome::Gap { latest: found });
        }
        if found == self.version {
            return self.finish(if head.operation == self.head.operation {
                Outcome::Accepted
            } else {
                Outcome::Raced {
                    winner: Box::new(head),
                }
            });
        }
        self.traced += 1;
        match head.previous {
            Some(address) if self.traced < TRACE_LIMIT => self.step = Step::Trace(address),
            _ => self.finish(self.untraceable()),
        }
    }

    fn untraceable(&self) -> Outcome {
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
