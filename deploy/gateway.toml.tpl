# Settings of tackhollow-gateway, filled in by the platform at every start.
id = {{nodeName|json}}
data_centre = {{zone|json}}
log_level = "warn"
seeds = {{seedNodes|json}}

[listen]
callers = {{listen.frontend|json}}
directory = {{listen.directory|json}}
readiness = {{listen.readiness|json}}
peers = {{listen.controlPlane|json}}
heartbeats = "{{ip}}:{{internalPorts.0}}"

[platform]
store = {{platform.address|json}}
api = {{cloudApi.address|json}}

[bounds]
grace_s = {{bounds.graceS}}
retry_ratio = {{bounds.retryBudgetRatio}}
retry_surplus = {{bounds.budgetSlack}}
retry_window_s = {{bounds.budgetWindowS}}
usage_window_s = {{bounds.usageWindowS}}
usage_due_s = {{bounds.usageLateS}}
lease_ms = {{bounds.leaseMs}}
directory_ttl_s = {{bounds.ttl_max_s}}

[capacity]
reclaimable_factor = 3.0
survive_share = 0.8
on_demand_floor = 0
needed_floor = 6.0
prefill_share = 0.55
slot_share = 0.5
