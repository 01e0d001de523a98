//! Selects VMs and describes one-way network cuts between them.

use super::Vm;

/// A one-way cut: nothing that the VMs of `from` send reaches the VMs of `to`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Cut {
    pub(super) from: VmSelector,
    pub(super) to: VmSelector,
}

/// The set of VMs at one end of a cut.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmSelector {
    /// All VMs of the failure domain of this name.
    Domain(String),
    /// The VM of this name.
    Vm(String),
    /// Every VM.
    All,
}

impl VmSelector {
    /// Selects all VMs of a failure domain.
    pub fn domain(name: impl Into<String>) -> VmSelector {
        VmSelector::Domain(name.into())
    }

    /// Selects one VM by its name.
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
