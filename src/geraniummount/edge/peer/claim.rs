//! Messages for claims of idempotency keys that one VM makes for another.
//!
//! A claim records in the platform's key-value service that a key was taken by one attempt, which
//! has a random id. Claims are hashed by key over buckets, each of which is one stored value.

use capnp::Error;

use crate::core::claims::{Answer, KeyHash};
use crate::peer_capnp::{ClaimAnswer, claim, peer};
use crate::prelude::*;

/// Request to claim a key or to release it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// Hash of the key.
    pub key: KeyHash,
    /// Attempt that is to hold the key or, for a release, that may hold it.
    pub attempt: AttemptId,
    /// Number of times that the request may still be forwarded.
    pub hops_left: u8,
    /// Whether the claim is to be released.
    pub is_release: bool,
}

/// Reply to a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimReply {
    /// Result of the claim.
    pub answer: Answer,
    /// Whether the key's bucket is contended, which means that one VM should write it on behalf of
    /// all: the fleet claims many of its keys per second, or the platform accepts no more calls.
    pub is_contended: bool,
}

impl ClaimReply {
    /// Makes a reply that does not report the bucket as contended.
    pub fn uncontended(answer: Answer) -> ClaimReply {
        ClaimReply {
            answer,
            is_contended: false,
        }
    }

    pub(super) fn write(self, mut builder: peer::claim_results::Builder<'_>) {
        builder.set_answer(match self.answer {
            Answer::Granted => ClaimAnswer::Granted,
            Answer::Duplicate => ClaimAnswer::Duplicate,
            Answer::Full => ClaimAnswer::Full,
            Answer::PlatformDown => ClaimAnswer::PlatformDown,
        });
        builder.set_contended(self.is_contended);
    }

    pub(super) fn read(reader: peer::claim_results::Reader<'_>) -> Result<ClaimReply, Error> {
        let answer = match reader.get_answer()? {
            ClaimAnswer::Granted => Answer::Granted,
            ClaimAnswer::Duplicate => Answer::Duplicate,
            ClaimAnswer::Full => Answer::Full,
            ClaimAnswer::PlatformDown => Answer::PlatformDown,
            ClaimAnswer::None => return Err(Error::failed("claim reply has no answer".to_owned())),
        };
        Ok(ClaimReply {
            answer,
            is_contended: reader.get_contended(),
        })
    }
}

impl ClaimRequest {
    pub(super) fn write(self, mut builder: claim::Builder<'_>) {
        builder.set_key_high((self.key >> 64) as u64);
        builder.set_key_low(self.key as u64);
        builder.set_attempt(self.attempt);
        builder.set_hops_left(self.hops_left);
        builder.set_release(self.is_release);
    }

    pub(super) fn read(reader: claim::Reader<'_>) -> ClaimRequest {
        ClaimRequest {
            key: u128::from(reader.get_key_high()) << 64 | u128::from(reader.get_key_low()),
            attempt: reader.get_attempt(),
            hops_left: reader.get_hops_left(),
            is_release: reader.get_release(),
        }
    }
}
