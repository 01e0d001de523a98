//! What a finding is about.

use super::Severity;

/// What a finding is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The document cannot be read.
    Unreadable,
    /// The version is not higher than the one in force.
    VersionNotHigher,
    /// A service is listed twice.
    RepeatedService,
    /// A route names a service that is not listed.
    UnknownService,
    /// A gather names no service.
    EmptyGather,
    /// A gather names a service twice.
    RepeatedShard,
    /// The minimum coverage of a gather is outside 0 to 1.
    CoverageOutOfRange,
    /// A gather returns no records.
    NoRecords,
    /// A route allows no attempt.
    NoAttempts,
    /// No part of a split has a positive weight.
    SplitWithoutWeight,
    /// Two routes have the same host and prefix.
    RepeatedPrefix,
    /// The prefix of a route does not begin and end with a slash.
    MalformedPrefix,
    /// A part of a split has no positive weight.
    PartWithoutWeight,
    /// No route uses a service.
    UnusedService,
    /// A tenant has no keys, and no route is anonymous.
    TenantWithoutKeys,
    /// No failure domain is in the allowed regions.
    NoDomainInRegions,
    /// The target latency is over the timeout.
    TargetOverTimeout,
    /// A tenant has a burst but no rate.
    BurstWithoutRate,
    /// No body is allowed.
    NoBody,
    /// A service has a warm-up rate but no slow start.
    WarmUpWithoutSlowStart,
    /// An entry is new.
    Added,
    /// An entry is gone.
    Removed,
    /// An entry has changed.
    Changed,
}

impl Kind {
    /// Returns how severe findings of the kind are.
    pub fn severity(self) -> Severity {
        match self {
            Kind::Unreadable
            | Kind::VersionNotHigher
            | Kind::RepeatedService
            | Kind::UnknownService
            | Kind::EmptyGather
            | Kind::RepeatedShard
            | Kind::CoverageOutOfRange
            | Kind::NoRecords
            | Kind::NoAttempts
            | Kind::SplitWithoutWeight => Severity::Error,
            Kind::RepeatedPrefix
            | Kind::MalformedPrefix
            | Kind::PartWithoutWeight
            | Kind::UnusedService
            | Kind::TenantWithoutKeys
            | Kind::NoDomainInRegions
            | Kind::TargetOverTimeout
            | Kind::BurstWithoutRate
            | Kind::NoBody
            | Kind::WarmUpWithoutSlowStart => Severity::Warning,
            Kind::Added | Kind::Removed | Kind::Changed => Severity::Difference,
        }
    }

    /// Returns the name used in output.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Unreadable => "unreadable",
            Kind::VersionNotHigher => "version-not-higher",
            Kind::RepeatedService => "repeated-service",
            Kind::UnknownService => "unknown-service",
            Kind::EmptyGather => "empty-gather",
            Kind::RepeatedShard => "repeated-shard",
            Kind::CoverageOutOfRange => "coverage-out-of-range",
            Kind::NoRecords => "no-records",
            Kind::NoAttempts => "no-attempts",
            Kind::SplitWithoutWeight => "split-without-weight",
            Kind::RepeatedPrefix => "repeated-prefix",
            Kind::MalformedPrefix => "malformed-prefix",
            Kind::PartWithoutWeight => "part-without-weight",
            Kind::UnusedService => "unused-service",
            Kind::TenantWithoutKeys => "tenant-without-keys",
            Kind::NoDomainInRegions => "no-domain-in-regions",
            Kind::TargetOverTimeout => "target-over-timeout",
            Kind::BurstWithoutRate => "burst-without-rate",
            Kind::NoBody => "no-body",
            Kind::WarmUpWithoutSlowStart => "warm-up-without-slow-start",
            Kind::Added => "added",
            Kind::Removed => "removed",
            Kind::Changed => "changed",
        }
    }
}
