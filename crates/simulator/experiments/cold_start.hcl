# 1,000 gateways start within one second with their persisted lists, as after the outage of a data hall. A tenth of the
# replicas has just started too. The list service serves 85 calls per second, one after another.
from     = "release.hcl"
about    = "A cold start: 1,000 gateways within one second"
warmup   = "0s"
policies = ["module"]

gateways {
  count = 1000
}

list {
  timeout = "2s"
}

faults {
  release = null

  cold {
    at    = "0s"
    kind  = "kill_replicas"
    share = 0.1
    back  = "500ms"
  }
}
