//! Cuts between VMs and the places between which they are.

use super::Vm;

/// A direction in which nothing passes between VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Cut {
    pub(super) from: Place,
    pub(super) to: Place,
}

/// One end of a cut.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Place {
    /// All VMs of a failure domain.
    Domain(String),
    /// One VM.
    Vm(String),
    /// Every VM.
    All,
}

impl Place {
    /// All VMs of a failure domain.
    pub fn domain(name: impl Into<String>) -> Place {
        Place::Domain(name.into())
    }

    /// One VM.
    pub fn vm(name: impl Into<String>) -> Place {
        Place::Vm(name.into())
    }

    pub(super) fn has(&self, vm: &Vm) -> bool {
        match self {
            Place::Domain(name) => *name == vm.failure_domain,
            Place::Vm(name) => *name == vm.name,
            Place::All => true,
        }
    }
}
