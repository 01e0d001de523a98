//! Cuts between VMs and the places between which they are.

use super::Vm;

/// A direction in which nothing passes between VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Cut {
    pub(super) from: VmSelector,
    pub(super) to: VmSelector,
}

/// One end of a cut.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmSelector {
    /// All VMs of a failure domain.
    Domain(String),
    /// One VM.
    Vm(String),
    /// Every VM.
    All,
}

impl VmSelector {
    /// All VMs of a failure domain.
    pub fn domain(name: impl Into<String>) -> VmSelector {
        VmSelector::Domain(name.into())
    }

    /// One VM.
    pub fn vm(name: impl Into<String>) -> VmSelector {
        VmSelector::Vm(name.into())
    }

    pub(super) fn matches(&self, vm: &Vm) -> bool {
        match self {
            VmSelector::Domain(name) => *name == vm.failure_domain,
            VmSelector::Vm(name) => *name == vm.name,
            VmSelector::All => true,
        }
    }
}
