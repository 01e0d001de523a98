//! Claims of idempotency keys that one VM makes for another.

use capnp::Error;

use crate::core::claims::{Answer, KeyHash};
use crate::peer_capnp::{ClaimAnswer, claim, peer};
use crate::prelude::*;

/// A claim that is asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// Key.
    pub key: KeyHash,
    /// Attempt that is to hold it.
    pub attempt: AttemptId,
    /// How often it may be sent on.
    pub hops_left: u8,
    /// Whether the claim is to be taken out instead.
    pub release: bool,
}

/// How a claim ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claimed {
    /// The answer.
    pub answer: Answer,
    /// Whether the fleet claims so many keys that one VM should write the
    /// value for all.
    pub contended: bool,
}

impl Claimed {
    /// An answer that tells nothing of the value.
    pub fn of(answer: Answer) -> Claimed {
        Claimed {
            answer,
            contended: false,
        }
    }

    pub(super) fn write(self, mut builder: peer::claim_results::Builder<'_>) {
        builder.set_answer(match self.answer {
            Answer::Granted => ClaimAnswer::Granted,
            Answer::Duplicate => ClaimAnswer::Duplicate,
            Answer::Full => ClaimAnswer::Full,
            Answer::PlatformDown => ClaimAnswer::PlatformDown,
        });
        builder.set_contended(self.contended);
    }

    pub(super) fn read(reader: peer::claim_results::Reader<'_>) -> Result<Claimed, Error> {
        let answer = match reader.get_answer()? {
            ClaimAnswer::Granted => Answer::Granted,
            ClaimAnswer::Duplicate => Answer::Duplicate,
            ClaimAnswer::Full => Answer::Full,
            ClaimAnswer::PlatformDown => Answer::PlatformDown,
            ClaimAnswer::None => return Err(Error::failed("no answer to a claim".to_owned())),
        };
        Ok(Claimed {
            answer,
            contended: reader.get_contended(),
        })
    }
}

impl Wanted {
    pub(super) fn write(self, mut builder: claim::Builder<'_>) {
        builder.set_key_high((self.key >> 64) as u64);
        builder.set_key_low(self.key as u64);
        builder.set_attempt(self.attempt);
        builder.set_hops_left(self.hops_left);
        builder.set_release(self.release);
    }

    pub(super) fn read(reader: claim::Reader<'_>) -> Wanted {
        Wanted {
            key: u128::from(reader.get_key_high()) << 64 | u128::from(reader.get_key_low()),
            attempt: reader.get_attempt(),
            hops_left: reader.get_hops_left(),
            release: reader.get_release(),
        }
    }
}
