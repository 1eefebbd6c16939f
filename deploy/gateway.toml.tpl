# Settings of tackhollow-gateway, filled in by the platform at every start.
id = {{nodeName|json}}
data_centre = {{zone|json}}
log_level = "warn"
system_start = {{#bootstrap}}"first"{{/bootstrap}}{{^bootstrap}}"later"{{/bootstrap}}
# Parts of load control that have not kept every rule on the heaviest days (docs/LOAD-CONTROL.md).
off = ["admission", "engine_memory", "request_costs"]
{{#seedNodes.0}}seeds = {{seedNodes|json}}
{{/seedNodes.0}}
[listen]
callers = {{listen.frontend|json}}
directory = {{listen.directory|json}}
readiness = {{listen.readiness|json}}
peers = {{listen.controlPlane|json}}
heartbeats = "{{ip}}:{{internalPorts.0}}"

[platform]
store = {{platform.address|json}}
api = {{cloudApi.address|json}}
{{#platform.writesPerS}}writes_per_s = {{platform.writesPerS}}
{{/platform.writesPerS}}
[host]
{{#limits.memoryMb}}memory_mb = {{limits.memoryMb}}
{{/limits.memoryMb}}{{#limits.maxFds}}descriptors = {{limits.maxFds}}
{{/limits.maxFds}}
[bounds]
{{#bounds.graceS}}grace_s = {{bounds.graceS}}
{{/bounds.graceS}}{{#bounds.retryBudgetRatio}}retry_ratio = {{bounds.retryBudgetRatio}}
{{/bounds.retryBudgetRatio}}{{#bounds.budgetSlack}}retry_surplus = {{bounds.budgetSlack}}
{{/bounds.budgetSlack}}{{#bounds.budgetWindowS}}retry_window_s = {{bounds.budgetWindowS}}
{{/bounds.budgetWindowS}}{{#bounds.quotaWindowS}}quota_window_s = {{bounds.quotaWindowS}}
{{/bounds.quotaWindowS}}{{#bounds.quotaSlack}}quota_slack = {{bounds.quotaSlack}}
{{/bounds.quotaSlack}}{{#bounds.usageWindowS}}usage_window_s = {{bounds.usageWindowS}}
{{/bounds.usageWindowS}}{{#bounds.leaseMs}}lease_ms = {{bounds.leaseMs}}
{{/bounds.leaseMs}}{{#bounds.exposureShare}}exposure_share = {{bounds.exposureShare}}
{{/bounds.exposureShare}}{{#bounds.exposureSlack}}exposure_slack = {{bounds.exposureSlack}}
{{/bounds.exposureSlack}}{{#bounds.ttl_max_s}}directory_ttl_s = {{bounds.ttl_max_s}}
{{/bounds.ttl_max_s}}

[load]
control = "on"
