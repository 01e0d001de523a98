//! Outcome of an attempt at a leaf, that is, of one try to run a request, or its share for one
//! shard, there.

use crate::core::placement::Ending;
use crate::util::h1::Field;

/// Complete response of a leaf.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Text by which the leaf identifies itself and this response; it is sent to the caller.
    pub signature: String,
    /// Header fields that are forwarded to the caller.
    pub fields: Vec<Field>,
    /// Body.
    pub body: Vec<u8>,
}

/// Outcome of an attempt at a leaf.
#[derive(Debug)]
pub enum Reply {
    /// The leaf ran the request and returned a success status.
    Success(Response),
    /// The leaf returned an error status; the request may have run.
    Failure(Response),
    /// The leaf reports that it did not run the request.
    Rejected,
    /// A different leaf, which now uses the address, received the request and did not run it.
    Misdirected,
    /// No byte of the request was sent.
    Unreachable,
    /// Nothing was sent, because the leaf wants no requests or can't be connected to at the moment.
    Withheld,
    /// The leaf closed the connection before its response was complete; the request may have run.
    Disconnected,
    /// The request was sent but its response is unusable; the request may have run.
    Lost,
}

impl Response {
    /// Returns the number of bytes of memory that the response takes.
    pub(super) fn held_bytes(&self) -> usize {
        self.signature.capacity() + Field::held_bytes(&self.fields) + self.body.capacity()
    }

    /// Returns whether the signature can stand in the list of signatures of a gathered answer: it
    /// has to read as exactly one.
    fn is_listable(&self) -> bool {
        let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b',';
        !self.signature.is_empty() && self.signature.bytes().all(is_plain)
    }
}

impl Reply {
    /// Returns the reply as one of many that are merged, without what the merged answer does not
    /// contain. A response whose signature would make that answer wrong is unusable.
    pub(super) fn into_part(self) -> Reply {
        match self {
            Reply::Success(response) if !response.is_listable() => Reply::Lost,
            Reply::Success(response) => Reply::Success(Response {
                fields: Vec::new(),
                ..response
            }),
            Reply::Failure(response) => Reply::Failure(Response {
                status: response.status,
                ..Response::default()
            }),
            reply => reply,
        }
    }

    /// Returns how the placement rates the leaf for this reply.
    pub fn ending(&self) -> Ending {
        match self {
            Reply::Success(_) => Ending::Answered,
            Reply::Failure(_) => Ending::Failed,
            Reply::Rejected => Ending::Rejected,
            Reply::Misdirected => Ending::Misdirected,
            Reply::Unreachable => Ending::Unreachable,
            Reply::Withheld => Ending::Withheld,
            Reply::Disconnected | Reply::Lost => Ending::Lost,
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Reply::Success(_) => "success",
            Reply::Failure(_) => "failure",
            Reply::Rejected => "rejected",
            Reply::Misdirected => "misdirected",
            Reply::Unreachable => "unreachable",
            Reply::Withheld => "withheld",
            Reply::Disconnected => "disconnected",
            Reply::Lost => "lost",
        }
    }
}
